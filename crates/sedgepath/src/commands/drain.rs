use std::io::Write;

use getopts::Options;
use sedgepath_core::record::DrainTargetKind;
use sedgepath_wire::time::unix_ms;

use super::{Command, add_change_options, add_data_options};
use crate::cli::Context;
use crate::error::CliError;
use crate::operations::ApplyOptions;
use crate::operations::drain::{self, DrainOptions, DrainReport};
use crate::time;

/// The command `sedgepath drain`.
pub const COMMAND: Command = Command {
    name: "drain",
    arguments: "plan|start|end TARGET [OPTIONS]",
    about: "Plan, start or end the drain of an upstream or a failure domain\n\n`plan` says when the \
            drain would end under the caps of the steering records, or why it can't\nfinish in \
            time. `start` plans again and puts the drain in force if the plan holds. `end` lets the\n\
            target take work again.",
    options,
    exec,
};

fn options(options: &mut Options) {
    add_data_options(options);
    options.optopt(
        "b",
        "finish-by",
        "refuse unless it ends within this time (90s, 15m, 2h) or by it (2026-12-02T22:00:00Z)",
        "TIME",
    );
    options.optopt("k", "kind", "what TARGET names: upstream or domain", "KIND");
    add_change_options(options);
}

fn exec(context: &mut Context<'_>) -> Result<(), CliError> {
    let arguments = context.matches.free.clone();
    let [step, target] = &*arguments else {
        return Err(context.usage_error("expected `plan`, `start` or `end`, and one target"));
    };
    let now_ms = unix_ms();
    let options = DrainOptions {
        target: target.as_str().into(),
        kind: kind_option(context)?,
        now_ms,
        finish_by_ms: finish_by_option_ms(context, now_ms)?,
    };
    let client = context.client()?;
    let in_force = client.records_in_force()?;
    let with_change_options = |options: ApplyOptions| {
        options
            .with_note(context.matches.opt_str("note"))
            .with_change_id(context.matches.opt_str("change-id"))
    };
    let report = match step.as_str() {
        "plan" => drain::plan(&in_force, &options)?,
        "start" => drain::start(&client, &in_force, &options, with_change_options)?,
        "end" => drain::end(&client, &in_force, &options, with_change_options)?,
        other => {
            return Err(context.usage_error(format!(
                "unknown step `{other}`: expected `plan`, `start` or `end`"
            )));
        }
    };
    if context.wants_json() {
        return context.write_json(&report);
    }
    write_text(context.out, &report, now_ms)?;
    Ok(())
}

fn kind_option(context: &Context<'_>) -> Result<Option<DrainTargetKind>, CliError> {
    match context.matches.opt_str("kind").as_deref() {
        None => Ok(None),
        Some("upstream") => Ok(Some(DrainTargetKind::Upstream)),
        Some("domain") => Ok(Some(DrainTargetKind::Domain)),
        Some(other) => {
            let message =
                format!("invalid value `{other}` for `--kind`: expected `upstream` or `domain`");
            Err(context.usage_error(message))
        }
    }
}

fn finish_by_option_ms(context: &Context<'_>, now_ms: u64) -> Result<u64, CliError> {
    let Some(text) = context.matches.opt_str("finish-by") else { return Ok(u64::MAX) };
    time::parse_duration_ms(&text)
        .map(|duration_ms| now_ms.saturating_add(duration_ms))
        .or_else(|| time::parse_utc_ms(&text))
        .ok_or_else(|| {
            context.usage_error(format!(
                "invalid value `{text}` for `--finish-by`: expected a duration or a UTC time"
            ))
        })
}

fn write_text(out: &mut dyn Write, report: &DrainReport, now_ms: u64) -> std::io::Result<()> {
    for group in &report.groups {
        writeln!(out, "service {}, callers of group {}:", group.service, group.origin)?;
        for step in &group.steps {
            let after_s = step.at_ms.saturating_sub(now_ms) / 1_000;
            let percent = step.share * 100.0;
            writeln!(out, "  after {after_s:>6} s: {percent:>5.1}% of its traffic at the target")?;
        }
    }
    if let Some(end_ms) = report.predicted_end_ms {
        let after_s = end_ms.saturating_sub(now_ms).div_ceil(1_000);
        let end = time::format_utc(end_ms);
        writeln!(out, "the drain of {} would end after {after_s} s, at {end}", report.target)?;
    }
    if let Some(revision) = report.revision {
        writeln!(out, "revision {revision} is accepted")?;
    }
    Ok(())
}
