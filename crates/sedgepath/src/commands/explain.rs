use std::io::Write;
use std::net::{IpAddr, Ipv4Addr};
use std::path::Path;

use getopts::Options;
use sedgepath_core::explain::{AdmissionCheck, ExplainRequest, Explanation};
use sedgepath_core::hash::Digest;
use sedgepath_core::request::Class;

use super::{Command, data_options};
use crate::cli::Context;
use crate::error::CliError;
use crate::operations::logs;

/// `sedgepath explain`
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
    data_options(options);
    options.optopt("f", "from", "the caller's address; 127.0.0.1 unless given", "ADDRESS");
    options.optopt("l", "logs", "read the collected log files of this directory", "DIR");
    options.optopt("", "key-digest", "the digest of the organisation's key", "DIGEST");
}

fn exec(context: &mut Context<'_>) -> Result<(), CliError> {
    match context.matches.opt_str("logs") {
        Some(dir) => exec_on_logs(context, Path::new(&dir)),
        None => exec_on_node(context),
    }
}

fn exec_on_logs(context: &mut Context<'_>, dir: &Path) -> Result<(), CliError> {
    let request = context.argument("the request's id")?;
    let lines = logs::read(dir)?;
    let picked = logs::about(&lines, &request);
    if picked.is_empty() {
        return Err(CliError::NoSuchRequest { request });
    }
    context.write_lines(picked)
}

fn exec_on_node(context: &mut Context<'_>) -> Result<(), CliError> {
    let service = context.argument("the service")?;
    let source = match context.matches.opt_str("from") {
        None => IpAddr::V4(Ipv4Addr::LOCALHOST),
        Some(text) => text
            .parse()
            .ok()
            .ok_or_else(|| context.usage(format!("`--from {text}` is no IP address")))?,
    };
    let key_digest =
        match context.matches.opt_str("key-digest") {
            None => None,
            Some(hex) => Some(Digest::from_hex(&hex).ok_or_else(|| {
                context.usage("the digest should be as `sedgepath key` prints it")
            })?),
        };
    let question = ExplainRequest { service, source, key_digest };
    let answer = context.client()?.ask(|client| {
        let question = question.clone();
        async move { client.explain(question).await }
    })?;
    if context.json() {
        return context.write_json(&answer.value);
    }
    write(context.out, &question, &answer.value)?;
    Ok(())
}

fn write(
    out: &mut dyn Write,
    question: &ExplainRequest,
    told: &Explanation,
) -> std::io::Result<()> {
    let entrance = match told.entrance {
        AdmissionCheck::Open => "lets it in",
        AdmissionCheck::NotReady => "refuses it: it has no configuration to serve by yet",
        AdmissionCheck::Refused => "refuses it: it can't read the service's records",
        AdmissionCheck::NoService => "refuses it: there is no such service",
        AdmissionCheck::UnknownOrganisation => "refuses it: the organisation's key is unknown",
    };
    writeln!(out, "{} {entrance}; it decides by revision {}", told.node, told.revision)?;
    let by = if told.origin_by_block { "a block of clients" } else { "no block of clients" };
    writeln!(out, "origin group: {} ({by} holds {})", told.origin, question.source)?;
    let class = told.class.map_or("none", Class::name);
    let organisation = told.organisation.as_deref().unwrap_or("none");
    writeln!(out, "class: {class}, organisation: {organisation}")?;
    let Some(shares_of) = &told.shares_of else {
        return writeln!(out, "no steering record names the service");
    };
    let schema = told.schema.unwrap_or_default();
    writeln!(out, "shares: those of group {shares_of}, schema {schema}")?;
    if let Some(cap) = told.cap {
        writeln!(out, "cap: {}% in {} ms", cap.percent, cap.window_ms)?;
    }
    writeln!(out, "rule: {}", told.policy)?;
    for candidate in &told.candidates {
        let state = match (candidate.serves, candidate.draining) {
            (false, _) => ", no entry VM takes work",
            (true, true) => ", draining",
            (true, false) => "",
        };
        let standing = candidate.standing.map_or("none".into(), |share| format!("{share:.3}"));
        writeln!(
            out,
            "{:<16} in {:<12} share {:.3}, stands at {standing}, {} of {} slots taken ({} declared), heard {} ms ago{state}",
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
