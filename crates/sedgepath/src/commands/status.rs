use std::io::Write;

use getopts::Options;
use sedgepath_wire::rpc::Status;

use super::{Command, data_options};
use crate::cli::Context;
use crate::error::CliError;

/// `sedgepath status`
pub const COMMAND: Command = Command {
    name: "status",
    arguments: "[OPTIONS]",
    about: "Show a node's state and the members that it knows\n\nThe age of the head is the time \
            since anyone whom the node hears of has read the platform; it\nrises while the \
            platform can't be reached.",
    options,
    exec,
};

fn options(options: &mut Options) {
    data_options(options);
}

fn exec(context: &mut Context<'_>) -> Result<(), CliError> {
    context.no_arguments()?;
    let answer = context.client()?.ask(|client| async move { client.status().await })?;
    if context.json() {
        return context.write_json(&answer.value);
    }
    write(context.out, &answer.value)?;
    Ok(())
}

fn write(out: &mut dyn Write, status: &Status) -> std::io::Result<()> {
    let Status { node, revision, head_age_ms, ready, unread, members, .. } = status;
    let ready = if *ready { "serves" } else { "does not serve yet" };
    writeln!(out, "{node} {ready} by revision {revision}; the head was read {head_age_ms} ms ago")?;
    for record in unread {
        writeln!(out, "unread: {} {}: {}", record.kind, record.name, record.reason)?;
    }
    let behind = members.iter().filter(|member| member.revision < *revision).count();
    writeln!(out, "{} members, {behind} of them behind:", members.len())?;
    for member in members {
        let state = match (member.suspect, member.leaving) {
            (true, _) => "suspect",
            (false, true) => "leaving",
            (false, false) => "live",
        };
        let (name, address) = (&member.name, member.operators);
        let (revision, silent_ms) = (member.revision, member.silent_ms);
        writeln!(
            out,
            "{name:<24} {state:<8} revision {revision}, heard {silent_ms} ms ago, at {address}"
        )?;
    }
    Ok(())
}
