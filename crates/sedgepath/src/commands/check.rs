use getopts::Options;

use super::{Command, add_node_options};
use crate::cli::Context;
use crate::error::CliError;
use crate::operations;
use crate::records::FileRecords;

/// The command `sedgepath check`.
pub const COMMAND: Command = Command {
    name: "check",
    arguments: "FILE... [OPTIONS]",
    about: "Check records without applying them\n\nChecks every field and shows each mistake at \
            its place. With a node named, the records are\nchecked together with those in force \
            there; else references are checked only if the files hold\nthe record of places too.",
    options,
    exec,
};

fn options(options: &mut Options) {
    add_node_options(options);
}

fn exec(context: &mut Context<'_>) -> Result<(), CliError> {
    if context.matches.free.is_empty() {
        return Err(context.usage_error("missing argument: the files to check"));
    }
    let records = FileRecords::read(&context.matches.free)?;
    let nodes = context.node_addresses()?;
    let in_force =
        if nodes.is_empty() { None } else { Some(context.client()?.records_in_force()?) };
    operations::check(&records, in_force.as_ref())?;
    let count = records.records().len();
    match in_force {
        Some(in_force) => {
            let revision = in_force.revision;
            writeln!(context.out, "{count} records are valid on top of revision {revision}")?;
        }
        None => writeln!(context.out, "{count} records are valid")?,
    }
    Ok(())
}
