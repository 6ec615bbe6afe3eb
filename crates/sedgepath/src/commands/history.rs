use getopts::Options;

use super::{Command, data_options};
use crate::cli::Context;
use crate::error::{ChangeLine, CliError};

/// The changes that are shown unless the operator says how many.
const DEFAULT_LIMIT: u64 = 20;

/// `sedgepath history`
pub const COMMAND: Command = Command {
    name: "history",
    arguments: "[OPTIONS]",
    about: "Show the newest accepted changes\n\nThe newest comes first. The history is read from \
            the platform; the records in force are shown\nby `sedgepath get`, also while the \
            platform is down.",
    options,
    exec,
};

fn options(options: &mut Options) {
    data_options(options);
    options.optopt("l", "limit", "show so many changes; 20 unless given", "NUMBER");
}

fn exec(context: &mut Context<'_>) -> Result<(), CliError> {
    context.no_arguments()?;
    let limit = context.number("limit")?.unwrap_or(DEFAULT_LIMIT) as u32;
    let client = context.client()?;
    let answer = client.ask(|client| async move { client.history(limit).await })?;
    if context.json() {
        return context.write_json(&answer.value);
    }
    for change in &answer.value {
        writeln!(context.out, "{}", ChangeLine(change))?;
    }
    Ok(())
}
