use std::io::Write;
use std::net::{IpAddr, Ipv4Addr};
use std::path::Path;

use getopts::Options;
use sedgepath_core::explain::{AdmissionCheck, ExplainRequest, Explanation};
use sedgepath_core::hash::Digest;
use sedgepath_core::request::Class;

use super::{Command, add_data_options};
use crate::cli::Context;
use crate::error::CliError;
use crate::operations::logs;

/// The command `sedgepath explain`.
pub const COMMAND: Command = Command {
    name: "explain",
    arguments: "SERVICE [OPTIONS] | REQUEST --logs DIR",
    about: "Show why a request of a caller would go where it goes, or where one went\n\nShows the caller's origin \
            group and class, the shares that hold, and what the node knows of each\nfailure domain \
            and how old that is. With --logs, shows from collected log files what happened\nto \
            one request, and what its VM believed then.",
    options,
    exec,
};

fn options(options: &mut Options) {
    add_data_options(options);
    options.optopt("f", "from", "the caller's address; 127.0.0.1 unless given", "ADDRESS");
    options.optopt("l", "logs", "read the collected log files of this directory", "DIR");
    options.optopt("", "key-digest", "the digest of the organisation's key", "DIGEST");
}

fn exec(context: &mut Context<'_>) -> Result<(), CliError> {
    match context.matches.opt_str("logs") {
        Some(dir) => explain_from_logs(context, Path::new(&dir)),
        None => explain_from_node(context),
    }
}

fn explain_from_logs(context: &mut Context<'_>, dir: &Path) -> Result<(), CliError> {
    let request = context.single_argument("the id of the request")?;
    let lines = logs::read(dir)?;
    let selected = logs::lines_explaining(&lines, &request);
    if selected.is_empty() {
        return Err(CliError::RequestNotFound { request });
    }
    context.write_lines(selected)
}

fn explain_from_node(context: &mut Context<'_>) -> Result<(), CliError> {
    let service = context.single_argument("the service")?;
    let source = match context.matches.opt_str("from") {
        None => IpAddr::V4(Ipv4Addr::LOCALHOST),
        Some(text) => text.parse().ok().ok_or_else(|| {
            context
                .usage_error(format!("invalid value `{text}` for `--from`: expected an IP address"))
        })?,
    };
    let key_digest = match context.matches.opt_str("key-digest") {
        None => None,
        Some(hex) => Some(Digest::from_hex(&hex).ok_or_else(|| {
            context.usage_error(
                "invalid value for `--key-digest`: expected a digest as `sedgepath key` prints it",
            )
        })?),
    };
    let request = ExplainRequest { service, source, key_digest };
    let response = context.client()?.call_any(|client| {
        let request = request.clone();
        async move { client.explain(request).await }
    })?;
    if context.wants_json() {
        return context.write_json(&response.value);
    }
    write_text(context.out, &request, &response.value)?;
    Ok(())
}

fn write_text(
    out: &mut dyn Write,
    request: &ExplainRequest,
    explanation: &Explanation,
) -> std::io::Result<()> {
    let admission = match explanation.entrance {
        AdmissionCheck::Open => "accepts it",
        AdmissionCheck::NotReady => "rejects it: it has no configuration yet",
        AdmissionCheck::Refused => "rejects it: it can't read the service's records",
        AdmissionCheck::NoService => "rejects it: there is no such service",
        AdmissionCheck::UnknownOrganisation => "rejects it: the organisation's key is unknown",
    };
    writeln!(
        out,
        "{} {admission}; it decides by revision {}",
        explanation.node, explanation.revision
    )?;
    let block =
        if explanation.origin_by_block { "a block of clients" } else { "no block of clients" };
    writeln!(out, "origin group: {} ({block} holds {})", explanation.origin, request.source)?;
    let class = explanation.class.map_or("none", Class::name);
    let organisation = explanation.organisation.as_deref().unwrap_or("none");
    writeln!(out, "class: {class}, organisation: {organisation}")?;
    let Some(shares_of) = &explanation.shares_of else {
        return writeln!(out, "no steering record names the service");
    };
    let schema = explanation.schema.unwrap_or_default();
    writeln!(out, "shares: those of group {shares_of}, schema {schema}")?;
    if let Some(cap) = explanation.cap {
        writeln!(out, "cap: {}% in {} ms", cap.percent, cap.window_ms)?;
    }
    writeln!(out, "rule: {}", explanation.policy)?;
    for candidate in &explanation.candidates {
        let state = match (candidate.serves, candidate.draining) {
            (false, _) => ", no entry VM takes work",
            (true, true) => ", draining",
            (true, false) => "",
        };
        let traffic_share = candidate.standing.map_or("none".into(), |share| format!("{share:.3}"));
        writeln!(
            out,
            "{:<16} in {:<12} share {:.3}, current share {traffic_share}, {} of {} slots taken ({} declared), reported {} ms ago{state}",
            candidate.domain,
            candidate.region,
            candidate.share,
            candidate.in_flight,
            candidate.slots,
            candidate.declared_slots,
            candidate.report_age_ms,
        )?;
        for upstream in &candidate.drained_upstreams {
            writeln!(out, "{:<16} {upstream} is drained", "")?;
        }
    }
    Ok(())
}
