//! The commands. Each file holds one command with its options and its output.

use getopts::Options;

use crate::cli::Context;
use crate::error::CliError;

mod apply;
mod check;
mod drain;
mod explain;
mod get;
mod history;
mod key;
mod losses;
mod peer_key;
mod status;
mod timeline;

/// A subcommand of the command line.
#[derive(Debug)]
pub struct Command {
    /// The name on the command line.
    pub name: &'static str,
    /// The arguments, as the usage line shows them.
    pub arguments: &'static str,
    /// The help text; its first line is shown in the overview.
    pub about: &'static str,
    /// Declares the options.
    pub options: fn(&mut Options),
    /// Runs the command.
    pub exec: fn(&mut Context<'_>) -> Result<(), CliError>,
}

/// All commands, in the order of the overview.
pub const COMMANDS: &[&Command] = &[
    &check::COMMAND,
    &apply::COMMAND,
    &get::COMMAND,
    &history::COMMAND,
    &drain::COMMAND,
    &status::COMMAND,
    &explain::COMMAND,
    &timeline::COMMAND,
    &losses::COMMAND,
    &key::COMMAND,
    &peer_key::COMMAND,
];

fn add_node_options(options: &mut Options) {
    options.optmulti("n", "node", "ask this node; may be repeated", "ADDRESS");
    options.optopt("", "key-file", "prove who asks by the key in this file", "FILE");
}

fn add_data_options(options: &mut Options) {
    add_node_options(options);
    options.optflag("j", "json", "print JSON");
}

fn add_change_options(options: &mut Options) {
    options.optopt("m", "note", "note why, for the history", "TEXT");
    options.optopt("", "change-id", "ask again about a change whose outcome is not known", "ID");
}
