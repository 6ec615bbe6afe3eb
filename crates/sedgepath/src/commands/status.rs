use std::io::Write;

use getopts::Options;
use sedgepath_core::direct::status::{QuotaStatus, ReportedReach, VmStatus};
use sedgepath_wire::rpc::NodeStatus;

use super::{Command, add_data_options};
use crate::cli::Context;
use crate::error::CliError;
use crate::operations::vm_status;

/// The command `sedgepath status`.
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
    add_data_options(options);
    options.optmulti("", "metrics", "show the VM whose metrics are at this address", "ADDRESS");
}

fn exec(context: &mut Context<'_>) -> Result<(), CliError> {
    context.expect_no_arguments()?;
    let addresses = context.matches.opt_strs("metrics");
    if !addresses.is_empty() {
        return show_direct_vms(context, &addresses);
    }
    let response = context.client()?.call_any(|client| async move { client.status().await })?;
    if context.wants_json() {
        return context.write_json(&response.value);
    }
    write_node_status(context.out, &response.value)?;
    Ok(())
}

/// Shows the state of VMs that send requests to upstreams themselves.
fn show_direct_vms(context: &mut Context<'_>, addresses: &[String]) -> Result<(), CliError> {
    let statuses = addresses.iter().map(|address| vm_status::fetch(address));
    let statuses = statuses.collect::<Result<Vec<_>, _>>()?;
    if context.wants_json() {
        return context.write_json(&statuses);
    }
    for status in &statuses {
        write_vm_status(context.out, status)?;
    }
    Ok(())
}

fn write_vm_status(out: &mut dyn Write, status: &VmStatus) -> std::io::Result<()> {
    let VmStatus { name, domain, configuration_version, sharing_vm_count, .. } = status;
    let state = match (status.leaving, status.can_serve) {
        (true, _) => "is leaving",
        (false, true) if status.cut_off => "reaches no upstream",
        (false, true) => "serves",
        (false, false) => "does not serve yet",
    };
    writeln!(out, "{name} in {domain} {state} by configuration {configuration_version}")?;
    if !status.evacuated.is_empty() {
        writeln!(out, "being evacuated: {}", status.evacuated.join(", "))?;
    }
    for (service, service_status) in &status.services {
        writeln!(
            out,
            "{service:<24} {} upstreams ({} leaving, {} cold, {} left out), load {:.0} of {} slots, \
             {} in flight from here, {} repeats for {} requests",
            service_status.upstreams,
            service_status.leaving,
            service_status.cold,
            service_status.ejected,
            service_status.load,
            service_status.slots,
            service_status.in_flight,
            service_status.repeats,
            service_status.requests
        )?;
    }
    for quota in &status.quotas {
        let QuotaStatus { account, rate_per_s, burst, held_tokens, lenders } = quota;
        writeln!(
            out,
            "account {account:<16} {rate_per_s} requests a second, {burst} at once; {held_tokens} tokens \
             held here; lent by {}",
            lenders.join(", ")
        )?;
    }
    writeln!(
        out,
        "{} other VMs heard; limits are split among {sharing_vm_count}:",
        status.other_vms.len()
    )?;
    for other in &status.other_vms {
        let state = match (other.leaving, other.ready) {
            (true, _) => "leaving",
            (false, true) if other.reach == ReportedReach::CutOff => "cut off",
            (false, true) => "ready",
            (false, false) => "not ready",
        };
        let store =
            if other.store_reachable { "reaches the store" } else { "does not reach the store" };
        let (name, domain, silent_ms) = (&other.name, &other.domain, other.silent_ms);
        writeln!(out, "{name:<24} {state:<9} in {domain}, heard {silent_ms} ms ago, {store}")?;
    }
    Ok(())
}

fn write_node_status(out: &mut dyn Write, status: &NodeStatus) -> std::io::Result<()> {
    let NodeStatus { node, revision, head_age_ms, ready, unreadable_records, members, .. } = status;
    let ready = if *ready { "serves" } else { "does not serve yet" };
    writeln!(out, "{node} {ready} by revision {revision}; the head was read {head_age_ms} ms ago")?;
    for record in unreadable_records {
        writeln!(out, "unreadable: {} {}: {}", record.kind, record.name, record.reason)?;
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
