use getopts::Options;

use super::{Command, add_change_options, add_data_options};
use crate::cli::Context;
use crate::error::CliError;
use crate::operations::{self, ApplyOptions};
use crate::records::FileRecords;

/// The command `sedgepath apply`.
pub const COMMAND: Command = Command {
    name: "apply",
    arguments: "FILE... [OPTIONS]",
    about: "Put records in force everywhere\n\nAll records of all files are one change: accepted \
            as a whole or not at all. Once accepted it is in\nforce at all reachable nodes within \
            seconds and never reverts. With `--expect` it is accepted only if\nthat revision is \
            still the newest; another change that came first is shown.",
    options,
    exec,
};

fn options(options: &mut Options) {
    add_data_options(options);
    options.optopt("e", "expect", "accept only on top of this revision", "REVISION");
    add_change_options(options);
}

fn exec(context: &mut Context<'_>) -> Result<(), CliError> {
    if context.matches.free.is_empty() {
        return Err(context.usage_error("missing argument: the files to apply"));
    }
    let expected_revision = context.number_option("expect")?;
    let records = FileRecords::read(&context.matches.free)?;
    let options = ApplyOptions::new(records.records().to_vec())
        .with_expected_revision(expected_revision)
        .with_note(context.matches.opt_str("note"))
        .with_change_id(context.matches.opt_str("change-id"));
    let accepted = operations::apply(&context.client()?, options, &records)?;
    if context.wants_json() {
        return context.write_json(&accepted);
    }
    writeln!(context.out, "revision {} is accepted", accepted.revision)?;
    Ok(())
}
