use std::io::Write;

use getopts::Options;
use sedgepath_core::direct::status::VmStatus;
use sedgepath_wire::rpc::NodeStatus;

use super::{Command, data_options};
use crate::cli::Context;
use crate::error::CliError;
use crate::operations::vm_status;

/// `sedgepath status`
pub const COMMAND: Command = Command {
    name: "status",
    arguments: "[OPTIONS]",
    about: "Show a node's state and the members that it knows\n\nThe age of the head is the time \
            since anyone whom the node hears of has read the platform; it\nrises while the \
            platform can't be reached.\n\nWith --metrics, which may be repeated, show VMs that \
            send to upstreams themselves: their services,\nwith upstreams by state and the retry \
            budget, and the other VMs that they hear.",
    options,
    exec,
};

fn options(options: &mut Options) {
    data_options(options);
    options.optmulti("", "metrics", "show the VM whose metrics are at this address", "ADDRESS");
}

fn exec(context: &mut Context<'_>) -> Result<(), CliError> {
    context.no_arguments()?;
    let addresses = context.matches.opt_strs("metrics");
    if !addresses.is_empty() {
        return of_direct_vms(context, &addresses);
    }
    let answer = context.client()?.ask(|client| async move { client.status().await })?;
    if context.json() {
        return context.write_json(&answer.value);
    }
    write(context.out, &answer.value)?;
    Ok(())
}

/// Shows VMs that send to upstreams themselves.
fn of_direct_vms(context: &mut Context<'_>, addresses: &[String]) -> Result<(), CliError> {
    let statuses = addresses.iter().map(|address| vm_status::read(address));
    let statuses = statuses.collect::<Result<Vec<_>, _>>()?;
    if context.json() {
        return context.write_json(&statuses);
    }
    for status in &statuses {
        write_direct(context.out, status)?;
    }
    Ok(())
}

fn write_direct(out: &mut dyn Write, status: &VmStatus) -> std::io::Result<()> {
    let VmStatus { name, domain, configuration_version, sharing_vm_count: sharing, .. } = status;
    let state = match (status.leaving, status.can_serve) {
        (true, _) => "leaves",
        (false, true) => "serves",
        (false, false) => "does not serve yet",
    };
    writeln!(out, "{name} in {domain} {state} by configuration {configuration_version}")?;
    if !status.evacuated.is_empty() {
        writeln!(out, "being emptied: {}", status.evacuated.join(", "))?;
    }
    for (service, of) in &status.services {
        writeln!(
            out,
            "{service:<24} {} upstreams ({} leaving, {} cold, {} left out), load {:.0} of {} slots, \
             {} in flight from here, {} repeats for {} requests",
            of.upstreams,
            of.leaving,
            of.cold,
            of.ejected,
            of.load,
            of.slots,
            of.in_flight,
            of.repeats,
            of.requests
        )?;
    }
    writeln!(out, "{} other VMs heard; limits are split among {sharing}:", status.other_vms.len())?;
    for other in &status.other_vms {
        let state = match (other.leaving, other.ready) {
            (true, _) => "leaving",
            (false, true) => "ready",
            (false, false) => "not ready",
        };
        let store =
            if other.store_reachable { "has the store" } else { "does not follow the store" };
        let (name, domain, silent_ms) = (&other.name, &other.domain, other.silent_ms);
        writeln!(out, "{name:<24} {state:<9} in {domain}, heard {silent_ms} ms ago, {store}")?;
    }
    Ok(())
}

fn write(out: &mut dyn Write, status: &NodeStatus) -> std::io::Result<()> {
    let NodeStatus {
        node, revision, head_age_ms, ready, unreadable_records: unread, members, ..
    } = status;
    let ready = if *ready { "serves" } else { "does not serve yet" };
    writeln!(out, "{node} {ready} by revision {revision}; the head was read {head_age_ms} ms ago")?;
    for record in unread {
        writeln!(out, "unread: {} {}: {}", record.kind, record.name, record.reason)?;
    }
    let behind = members.iter().filter(|member| member.revision < *revision).count();
    writeln!(out, "{} members, {behind} of them behind:", members.len())?;
    for member in members {
        let state = match (member.suspected, member.leaving) {
            (true, _) => "suspect",
            (false, true) => "leaving",
            (false, false) => "live",
        };
        let (name, address) = (&member.name, member.operator_address);
        let (revision, silent_ms) = (member.revision, member.silent_ms);
        writeln!(
            out,
            "{name:<24} {state:<8} revision {revision}, heard {silent_ms} ms ago, at {address}"
        )?;
    }
    Ok(())
}
