//! Plans, starts and ends drains.

use sedgepath_core::catalogue::Catalogue;
use sedgepath_core::drain::{DrainPlan, DrainStep, DrainTarget};
use sedgepath_core::key::{DomainKey, UpstreamKey};
use sedgepath_core::record::{Drain, DrainTargetKind, RawRecord};
use serde::Serialize;

use super::{ApplyOptions, apply};
use crate::client::{Client, RecordsInForce};
use crate::error::CliError;
use crate::records::FileRecords;

/// The schema version of the drain records that are written.
const DRAIN_SCHEMA: u32 = 1;

/// The parameters of a drain; [`end`] ignores the times.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DrainOptions {
    /// The name of the upstream or failure domain.
    pub target: Box<str>,
    /// What the name refers to. If `None`, an upstream of this name is preferred to a failure
    /// domain.
    pub kind: Option<DrainTargetKind>,
    /// The current time, in milliseconds since the Unix epoch.
    pub now_ms: u64,
    /// The time by which the drain has to end, in milliseconds since the Unix epoch.
    pub finish_by_ms: u64,
}

/// A step of a drain: the target's share of traffic from `at_ms`.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct DrainReportStep {
    /// When the share takes effect, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// The fraction of the origin group's requests to the service that the target receives.
    pub share: f64,
}

/// The drain of one service for callers of one origin group.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct DrainReportGroup {
    /// The name of the service.
    pub service: Box<str>,
    /// The name of the origin group.
    pub origin: Box<str>,
    /// The shares, by time.
    pub steps: Vec<DrainReportStep>,
}

/// The result of planning, starting or ending a drain.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct DrainReport {
    /// The name of the upstream or failure domain.
    pub target: Box<str>,
    /// The planned shares by service and origin group; empty when a drain is ended.
    pub groups: Vec<DrainReportGroup>,
    /// When the last request in flight at the target is expected to end, in milliseconds since the
    /// Unix epoch; none when a drain is ended.
    pub predicted_end_ms: Option<u64>,
    /// The revision that the change created; none for a plan.
    pub revision: Option<u64>,
}

/// Plans a drain without starting it.
///
/// # Errors
///
/// Fails if the target is unknown or can't be drained in time.
pub fn plan(in_force: &RecordsInForce, options: &DrainOptions) -> Result<DrainReport, CliError> {
    let catalogue = Catalogue::new(in_force.rows.iter().map(|row| &row.record));
    let target = match resolve_kind(&catalogue, options)? {
        DrainTargetKind::Upstream => DrainTarget::Upstream(UpstreamKey::of(&options.target)),
        DrainTargetKind::Domain => DrainTarget::Domain(DomainKey::of(&options.target)),
    };
    let plan = DrainPlan::new(&catalogue, target, options.now_ms, options.finish_by_ms)?;
    let report_step = |step: &DrainStep| DrainReportStep { at_ms: step.at_ms, share: step.share };
    let groups = plan.groups.iter().map(|group| DrainReportGroup {
        service: catalogue
            .services
            .get(&group.service)
            .map(|service| service.name.clone())
            .unwrap_or_default(),
        origin: catalogue.origins.get(&group.origin).cloned().unwrap_or_default(),
        steps: group.steps.iter().map(report_step).collect(),
    });
    Ok(DrainReport {
        target: options.target.clone(),
        groups: groups.collect(),
        predicted_end_ms: Some(plan.predicted_end_ms),
        revision: None,
    })
}

/// Plans a drain and starts it if the plan succeeds.
///
/// The drain is applied only if the records still have the revision that was planned against, since
/// another change could invalidate the plan. `complete_options` sets the remaining apply options,
/// such as the note.
///
/// # Errors
///
/// Fails if the target is unknown, can't be drained in time, or the change is not accepted.
pub fn start(
    client: &Client,
    in_force: &RecordsInForce,
    options: &DrainOptions,
    complete_options: impl FnOnce(ApplyOptions) -> ApplyOptions,
) -> Result<DrainReport, CliError> {
    let report = plan(in_force, options)?;
    let revision = apply_drain_record(client, in_force, options, true, complete_options)?;
    Ok(DrainReport { revision: Some(revision), ..report })
}

/// Ends a drain, so that the target gets traffic again.
///
/// `complete_options` sets the remaining apply options, such as the note.
///
/// # Errors
///
/// Fails if the target is unknown or the change is not accepted.
pub fn end(
    client: &Client,
    in_force: &RecordsInForce,
    options: &DrainOptions,
    complete_options: impl FnOnce(ApplyOptions) -> ApplyOptions,
) -> Result<DrainReport, CliError> {
    let revision = apply_drain_record(client, in_force, options, false, complete_options)?;
    Ok(DrainReport {
        target: options.target.clone(),
        groups: Vec::new(),
        predicted_end_ms: None,
        revision: Some(revision),
    })
}

fn apply_drain_record(
    client: &Client,
    in_force: &RecordsInForce,
    options: &DrainOptions,
    active: bool,
    complete_options: impl FnOnce(ApplyOptions) -> ApplyOptions,
) -> Result<u64, CliError> {
    let catalogue = Catalogue::new(in_force.rows.iter().map(|row| &row.record));
    let drain = Drain { target: resolve_kind(&catalogue, options)?, active };
    let record = RawRecord {
        schema: DRAIN_SCHEMA,
        kind: "drain".into(),
        name: options.target.clone(),
        body: serde_json::to_string(&drain)?.into(),
    };
    let options = ApplyOptions::new(vec![record]).with_expected_revision(Some(in_force.revision));
    Ok(apply(client, complete_options(options), &FileRecords::default())?.revision)
}

fn resolve_kind(
    catalogue: &Catalogue,
    options: &DrainOptions,
) -> Result<DrainTargetKind, CliError> {
    let is_upstream = catalogue.upstreams.contains_key(&UpstreamKey::of(&options.target));
    let is_domain = catalogue.domains.contains_key(&DomainKey::of(&options.target));
    match (options.kind, is_upstream, is_domain) {
        (None | Some(DrainTargetKind::Upstream), true, _) => Ok(DrainTargetKind::Upstream),
        (None | Some(DrainTargetKind::Domain), _, true) => Ok(DrainTargetKind::Domain),
        _ => Err(CliError::TargetNotFound { target: options.target.clone() }),
    }
}
