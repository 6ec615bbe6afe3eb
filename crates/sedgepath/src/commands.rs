//! The commands, one in each file with its options beside what carries them out.

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
mod status;
mod timeline;

/// A command.
#[derive(Debug)]
pub struct Command {
    /// Its name.
    pub name: &'static str,
    /// Its arguments, for the help text.
    pub arguments: &'static str,
    /// What it does; the first line stands in the overview.
    pub about: &'static str,
    /// Adds its options.
    pub options: fn(&mut Options),
    /// Carries it out.
    pub exec: fn(&mut Context<'_>) -> Result<(), CliError>,
}

/// All commands in the order of the overview.
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
];

fn node_option(options: &mut Options) {
    options.optmulti("n", "node", "ask this node; may be repeated", "ADDRESS");
    options.optopt("", "key-file", "prove who asks by the key in this file", "FILE");
}

fn data_options(options: &mut Options) {
    node_option(options);
    options.optflag("j", "json", "print JSON");
}

fn change_options(options: &mut Options) {
    options.optopt("m", "note", "note why, for the history", "TEXT");
    options.optopt("", "change-id", "ask again about a change whose outcome is not known", "ID");
}
