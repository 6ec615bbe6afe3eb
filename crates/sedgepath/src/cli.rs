//! Parses the command line and runs the command that it names.

use std::io::Write;
use std::net::SocketAddr;

use getopts::{Matches, Options};
use sedgepath_wire::signed_call;

use crate::client::Client;
use crate::commands::{COMMANDS, Command};
use crate::error::{CliError, ExitStatus};
use crate::operations::logs::LogLine;

/// The environment variable with the nodes to call, separated by commas or spaces.
pub const NODES_VARIABLE: &str = "SEDGEPATH_NODES";

/// The environment variable with the operator's key.
pub const KEY_VARIABLE: &str = "SEDGEPATH_KEY";

/// The settings that come from environment variables.
#[derive(Clone, Default)]
pub struct Environment {
    /// The nodes to call, separated by commas or spaces.
    pub nodes: Option<String>,
    /// The operator's key, which signs calls.
    pub key: Option<String>,
}

impl std::fmt::Debug for Environment {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        // Omits the key, so that it can't appear in logs or panic messages.
        f.debug_struct("Environment").field("nodes", &self.nodes).finish_non_exhaustive()
    }
}

impl Environment {
    /// Reads the environment variables of the process.
    pub fn from_process() -> Self {
        Self { nodes: std::env::var(NODES_VARIABLE).ok(), key: std::env::var(KEY_VARIABLE).ok() }
    }
}

/// The width of the command names in the overview, in characters.
const COMMAND_COLUMN_WIDTH: usize = 10;

/// The input and output of a running command.
pub struct Context<'a> {
    /// The command that runs.
    pub command: &'static Command,
    /// The parsed options and arguments.
    pub matches: Matches,
    /// The settings from environment variables.
    pub environment: &'a Environment,
    /// The standard output, or a buffer in tests.
    pub out: &'a mut dyn Write,
}

impl std::fmt::Debug for Context<'_> {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Context").field("command", &self.command.name).finish_non_exhaustive()
    }
}

impl Context<'_> {
    /// Creates a usage error that refers to this command's help.
    pub fn usage_error(&self, message: impl Into<Box<str>>) -> CliError {
        CliError::Usage { message: message.into(), command: self.command.name.into() }
    }

    /// Returns the only argument; `what` describes it in errors.
    ///
    /// # Errors
    ///
    /// Fails unless there is exactly one argument.
    pub fn single_argument(&self, what: &str) -> Result<Box<str>, CliError> {
        match &*self.matches.free {
            [argument] => Ok(argument.as_str().into()),
            [] => Err(self.usage_error(format!("missing argument: {what}"))),
            _ => Err(self.usage_error(format!("expected exactly one argument: {what}"))),
        }
    }

    /// Checks that there are no arguments.
    ///
    /// # Errors
    ///
    /// Fails with a usage error if there are any.
    pub fn expect_no_arguments(&self) -> Result<(), CliError> {
        match self.matches.free.first() {
            Some(argument) => Err(self.usage_error(format!("unexpected argument `{argument}`"))),
            None => Ok(()),
        }
    }

    /// Returns the value of a numeric option, if it is given.
    ///
    /// # Errors
    ///
    /// Fails if the value is not a whole number.
    pub fn number_option(&self, option: &str) -> Result<Option<u64>, CliError> {
        let Some(text) = self.matches.opt_str(option) else { return Ok(None) };
        match text.parse() {
            Ok(number) => Ok(Some(number)),
            Err(_) => Err(self.usage_error(format!(
                "invalid value `{text}` for `--{option}`: expected a whole number"
            ))),
        }
    }

    /// Writes log lines as text, or as JSON if that is requested.
    ///
    /// # Errors
    ///
    /// Fails if the output can't be written.
    pub fn write_lines<'a>(
        &mut self,
        lines: impl IntoIterator<Item = &'a LogLine>,
    ) -> Result<(), CliError> {
        let lines: Vec<&LogLine> = lines.into_iter().collect();
        if self.wants_json() {
            return self.write_json(&lines);
        }
        for line in lines {
            writeln!(self.out, "at={}.{} {}", line.stamp.time_ms, line.stamp.count, line.text)?;
        }
        Ok(())
    }

    /// Whether the command has the option `--json` and it is given.
    pub fn wants_json(&self) -> bool {
        self.matches.opt_defined("json") && self.matches.opt_present("json")
    }

    /// Writes a value as indented JSON.
    ///
    /// # Errors
    ///
    /// Fails if the value can't be serialized or the output can't be written.
    pub fn write_json(&mut self, value: &impl serde::Serialize) -> Result<(), CliError> {
        writeln!(self.out, "{}", serde_json::to_string_pretty(value)?)?;
        Ok(())
    }

    /// Returns the nodes named by `--node`, or those of the environment if there are none.
    ///
    /// # Errors
    ///
    /// Fails if a node is not a socket address.
    pub fn node_addresses(&self) -> Result<Vec<SocketAddr>, CliError> {
        let mut names = self.matches.opt_strs("node");
        if names.is_empty() {
            let list = self.environment.nodes.as_deref().unwrap_or_default();
            let listed = list.split([',', ' ']).filter(|name| !name.is_empty());
            names.extend(listed.map(str::to_owned));
        }
        let addresses = names.iter().map(|name| {
            name.parse().ok().ok_or_else(|| {
                self.usage_error(format!(
                    "invalid node address `{name}`: expected one like 192.0.2.1:7003"
                ))
            })
        });
        addresses.collect()
    }

    /// Returns a client for the named nodes, with the key of `--key-file` or of the environment.
    ///
    /// # Errors
    ///
    /// Fails if no node is named, a node is not a socket address, or there is no readable key.
    pub fn client(&self) -> Result<Client, CliError> {
        let nodes = self.node_addresses()?;
        let key = match self.matches.opt_str("key-file") {
            Some(file) => Some(
                std::fs::read_to_string(&file)
                    .map_err(|source| CliError::ReadFile { file: file.into(), source })?,
            ),
            None => self.environment.key.clone(),
        };
        let key = key.ok_or(CliError::MissingKey)?;
        Client::new(nodes, signed_call::derive_call_key(key.trim()))
    }
}

/// Runs the arguments after the program name and prints an error to standard error.
pub fn run(arguments: &[String], environment: &Environment, out: &mut dyn Write) -> ExitStatus {
    match execute(arguments, environment, out) {
        Ok(()) => ExitStatus::Success,
        Err(error) => {
            let exit = error.exit();
            eprintln!("{:?}", miette::Report::new(error));
            exit
        }
    }
}

/// Runs the arguments after the program name.
///
/// # Errors
///
/// Fails if the command line is invalid or the command fails.
pub fn execute(
    arguments: &[String],
    environment: &Environment,
    out: &mut dyn Write,
) -> Result<(), CliError> {
    let (first, rest) = match arguments.split_first() {
        None => return Ok(writeln!(out, "{}", overview())?),
        Some((first, rest)) => (first.as_str(), rest),
    };
    match first {
        "--help" | "-h" => return Ok(writeln!(out, "{}", overview())?),
        "--version" | "-V" => {
            return Ok(writeln!(out, "sedgepath {}", env!("CARGO_PKG_VERSION"))?);
        }
        "help" => {
            let Some(name) = rest.first() else { return Ok(writeln!(out, "{}", overview())?) };
            return Ok(writeln!(out, "{}", help(find_command(name)?))?);
        }
        _ => {}
    }
    let command = find_command(first)?;
    let matches = options(command).parse(rest).map_err(|error| CliError::Usage {
        message: error.to_string().into(),
        command: command.name.into(),
    })?;
    if matches.opt_present("help") {
        return Ok(writeln!(out, "{}", help(command))?);
    }
    (command.exec)(&mut Context { command, matches, environment, out })
}

fn find_command(name: &str) -> Result<&'static Command, CliError> {
    COMMANDS.iter().copied().find(|command| command.name == name).ok_or_else(|| CliError::Usage {
        message: format!("unknown command `{name}`; `sedgepath --help` lists the commands").into(),
        command: Box::default(),
    })
}

fn options(command: &Command) -> Options {
    let mut options = Options::new();
    (command.options)(&mut options);
    options.optflag("h", "help", "print this help");
    options
}

fn help(command: &Command) -> String {
    let usage = format!("Usage: sedgepath {} {}", command.name, command.arguments);
    let brief = format!("{}\n\n{}", usage.trim_end(), command.about);
    options(command).usage(&brief)
}

fn overview() -> String {
    let mut text = String::from(
        "Usage: sedgepath COMMAND [OPTIONS]\n\nDrives sedgepath: records, drains, and what was \
         decided and why.\n\nCommands:\n",
    );
    for command in COMMANDS {
        let summary = command.about.lines().next().unwrap_or_default();
        text.push_str("    ");
        text.push_str(command.name);
        text.extend(std::iter::repeat_n(
            ' ',
            COMMAND_COLUMN_WIDTH.saturating_sub(command.name.len()),
        ));
        text.push_str(summary);
        text.push('\n');
    }
    text += "\n`sedgepath COMMAND --help` shows a command's options.\n\nNodes are named by `--node \
             ADDRESS`, which may be repeated, or by the variable SEDGEPATH_NODES, separated by \
             commas;\nthe next one is tried when one can't be reached. The key that proves who asks is \
             read from\n`--key-file FILE` or the variable SEDGEPATH_KEY.\n\nExit codes: 0 done, 1 \
             failed, 2 wrong command line, 3 another change came first, 4 no node reached,\n5 \
             not known whether the change was accepted, 6 refused by the check or the plan.";
    text
}
