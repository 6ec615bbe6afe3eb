//! Finds the command and runs it.

use std::io::Write;
use std::net::SocketAddr;

use getopts::{Matches, Options};
use sedgepath_wire::signed_call;

use crate::client::Client;
use crate::commands::{COMMANDS, Command};
use crate::error::{CliError, Exit};
use crate::operations::logs::LogLine;

/// The variable that names the nodes to ask, separated by commas or blanks.
pub const NODES_VARIABLE: &str = "SEDGEPATH_NODES";

/// The variable that holds the operator's key.
pub const KEY_VARIABLE: &str = "SEDGEPATH_KEY";

/// What the environment says.
#[derive(Clone, Default)]
pub struct Environment {
    /// The nodes to ask, separated by commas or blanks.
    pub nodes: Option<String>,
    /// The operator's key.
    pub key: Option<String>,
}

impl std::fmt::Debug for Environment {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        // The key stays out of logs and panics.
        f.debug_struct("Environment").field("nodes", &self.nodes).finish_non_exhaustive()
    }
}

impl Environment {
    /// Reads the process's own.
    pub fn of_process() -> Self {
        Self { nodes: std::env::var(NODES_VARIABLE).ok(), key: std::env::var(KEY_VARIABLE).ok() }
    }
}

/// The width of the column of the commands' names.
const NAME_WIDTH: usize = 10;

/// What a command works with.
pub struct Context<'a> {
    /// The command.
    pub command: &'static Command,
    /// Its options and arguments.
    pub matches: Matches,
    /// What the environment says.
    pub environment: &'a Environment,
    /// Where the output goes.
    pub out: &'a mut dyn Write,
}

impl std::fmt::Debug for Context<'_> {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Context").field("command", &self.command.name).finish_non_exhaustive()
    }
}

impl Context<'_> {
    /// Creates a usage error of this command.
    pub fn usage(&self, message: impl Into<Box<str>>) -> CliError {
        CliError::Usage { message: message.into(), command: self.command.name.into() }
    }

    /// Returns the only argument.
    ///
    /// # Errors
    ///
    /// Fails if there is none or more than one.
    pub fn argument(&self, what: &str) -> Result<Box<str>, CliError> {
        match &*self.matches.free {
            [argument] => Ok(argument.as_str().into()),
            [] => Err(self.usage(format!("{what} is missing"))),
            _ => Err(self.usage(format!("there should be one argument, {what}"))),
        }
    }

    /// Fails if there are arguments.
    ///
    /// # Errors
    ///
    /// Fails if there are any.
    pub fn no_arguments(&self) -> Result<(), CliError> {
        match self.matches.free.first() {
            Some(argument) => Err(self.usage(format!("`{argument}` is one argument too many"))),
            None => Ok(()),
        }
    }

    /// Returns the value of an option that is a number.
    ///
    /// # Errors
    ///
    /// Fails if it is none.
    pub fn number(&self, option: &str) -> Result<Option<u64>, CliError> {
        let Some(text) = self.matches.opt_str(option) else { return Ok(None) };
        match text.parse() {
            Ok(number) => Ok(Some(number)),
            Err(_) => Err(self.usage(format!("`--{option} {text}` is no whole number"))),
        }
    }

    /// Writes lines of logs, as text or JSON.
    ///
    /// # Errors
    ///
    /// Fails if the output can't be written.
    pub fn write_lines<'a>(
        &mut self,
        lines: impl IntoIterator<Item = &'a LogLine>,
    ) -> Result<(), CliError> {
        let lines: Vec<&LogLine> = lines.into_iter().collect();
        if self.json() {
            return self.write_json(&lines);
        }
        for line in lines {
            writeln!(self.out, "at={}.{} {}", line.stamp.time_ms, line.stamp.count, line.text)?;
        }
        Ok(())
    }

    /// Whether the output is to be JSON.
    pub fn json(&self) -> bool {
        self.matches.opt_defined("json") && self.matches.opt_present("json")
    }

    /// Writes a value as JSON.
    ///
    /// # Errors
    ///
    /// Fails if it can't be written.
    pub fn write_json(&mut self, value: &impl serde::Serialize) -> Result<(), CliError> {
        writeln!(self.out, "{}", serde_json::to_string_pretty(value)?)?;
        Ok(())
    }

    /// Returns the nodes that are named, by the options or else by the environment.
    ///
    /// # Errors
    ///
    /// Fails if one is no address.
    pub fn named_nodes(&self) -> Result<Vec<SocketAddr>, CliError> {
        let mut names = self.matches.opt_strs("node");
        if names.is_empty() {
            let listed = self.environment.nodes.as_deref().unwrap_or_default();
            let listed = listed.split([',', ' ']).filter(|name| !name.is_empty());
            names.extend(listed.map(str::to_owned));
        }
        let addresses = names.iter().map(|name| {
            name.parse().ok().ok_or_else(|| {
                self.usage(format!("`{name}` is no address; it should be like 192.0.2.1:7003"))
            })
        });
        addresses.collect()
    }

    /// Returns a client of the nodes that are named.
    ///
    /// # Errors
    ///
    /// Fails if none is named or one is no address, or there is no key.
    pub fn client(&self) -> Result<Client, CliError> {
        let nodes = self.named_nodes()?;
        let key = match self.matches.opt_str("key-file") {
            Some(file) => Some(
                std::fs::read_to_string(&file)
                    .map_err(|source| CliError::File { file: file.into(), source })?,
            ),
            None => self.environment.key.clone(),
        };
        let key = key.ok_or(CliError::NoKey)?;
        Client::new(nodes, signed_call::derive_call_key(key.trim()))
    }
}

/// Runs the command line without the program's name; errors go to standard error.
pub fn run(arguments: &[String], environment: &Environment, out: &mut dyn Write) -> Exit {
    match execute(arguments, environment, out) {
        Ok(()) => Exit::Success,
        Err(error) => {
            let exit = error.exit();
            eprintln!("{:?}", miette::Report::new(error));
            exit
        }
    }
}

/// Runs the command line without the program's name.
///
/// # Errors
///
/// Fails as the command does.
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
            return Ok(writeln!(out, "{}", help(find(name)?))?);
        }
        _ => {}
    }
    let command = find(first)?;
    let matches = options(command).parse(rest).map_err(|error| CliError::Usage {
        message: error.to_string().into(),
        command: command.name.into(),
    })?;
    if matches.opt_present("help") {
        return Ok(writeln!(out, "{}", help(command))?);
    }
    (command.exec)(&mut Context { command, matches, environment, out })
}

fn find(name: &str) -> Result<&'static Command, CliError> {
    COMMANDS.iter().copied().find(|command| command.name == name).ok_or_else(|| CliError::Usage {
        message: format!("there is no command `{name}`; `sedgepath --help` lists them").into(),
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
        text.extend(std::iter::repeat_n(' ', NAME_WIDTH.saturating_sub(command.name.len())));
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
