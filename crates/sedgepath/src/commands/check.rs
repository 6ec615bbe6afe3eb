use getopts::Options;

use super::{Command, node_option};
use crate::cli::Context;
use crate::error::CliError;
use crate::operations;
use crate::records::FileRecords;

/// `sedgepath check`
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
    node_option(options);
}

fn exec(context: &mut Context<'_>) -> Result<(), CliError> {
    if context.matches.free.is_empty() {
        return Err(context.usage("the files to check are missing"));
    }
    let records = FileRecords::read(&context.matches.free)?;
    let nodes = context.named_nodes()?;
    let in_force = if nodes.is_empty() { None } else { Some(context.client()?.in_force()?) };
    operations::check(&records, in_force.as_ref())?;
    let count = records.records().len();
    match in_force {
        Some(in_force) => {
            let revision = in_force.revision;
            writeln!(context.out, "{count} records are in order on top of revision {revision}")?;
        }
        None => writeln!(context.out, "{count} records are in order")?,
    }
    Ok(())
}
