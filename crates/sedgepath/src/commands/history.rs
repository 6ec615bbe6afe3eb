use getopts::Options;

use super::{Command, add_data_options};
use crate::cli::Context;
use crate::error::{ChangeLine, CliError};

/// The number of shown changes without `--limit`.
const DEFAULT_LIMIT: u64 = 20;

/// The command `sedgepath history`.
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
    add_data_options(options);
    options.optopt("l", "limit", "show so many changes; 20 unless given", "NUMBER");
}

fn exec(context: &mut Context<'_>) -> Result<(), CliError> {
    context.expect_no_arguments()?;
    let limit = context.number_option("limit")?.unwrap_or(DEFAULT_LIMIT) as u32;
    let client = context.client()?;
    let response = client.call_any(|client| async move { client.history(limit).await })?;
    if context.wants_json() {
        return context.write_json(&response.value);
    }
    for change in &response.value {
        writeln!(context.out, "{}", ChangeLine(change))?;
    }
    Ok(())
}
