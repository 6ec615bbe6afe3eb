//! Plans drains and puts them in force.

use sedgepath_core::catalogue::Catalogue;
use sedgepath_core::drain::{DrainPlan, DrainStep, DrainTarget};
use sedgepath_core::key::{DomainKey, UpstreamKey};
use sedgepath_core::record::{Drain, DrainTargetKind, RawRecord};
use serde::Serialize;

use super::{ApplyOptions, apply};
use crate::client::{Client, InForce};
use crate::error::CliError;
use crate::records::FileRecords;

/// What to drain, and by when.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DrainOptions {
    /// The name of the upstream or failure domain.
    pub target: Box<str>,
    /// What the name names; found in the records if it is not given.
    pub kind: Option<DrainTargetKind>,
    /// The time now, in milliseconds.
    pub now_ms: u64,
    /// The time by which the drain has to end, in milliseconds.
    pub finish_by_ms: u64,
}

/// The share that is still at the target from a time on.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct ReportedStep {
    /// The time, in milliseconds.
    pub at_ms: u64,
    /// The share of the origin group's traffic of the service, from 0 to 1.
    pub share: f64,
}

/// The drain of one service for callers of one origin group.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct ReportedGroup {
    /// The service.
    pub service: Box<str>,
    /// The origin group.
    pub origin: Box<str>,
    /// The shares in the order of time.
    pub steps: Vec<ReportedStep>,
}

/// What became of a step of a drain.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct DrainReport {
    /// The name of the upstream or failure domain.
    pub target: Box<str>,
    /// How its traffic goes away.
    pub groups: Vec<ReportedGroup>,
    /// When the last request in flight has ended, in milliseconds; none if the drain was ended.
    pub predicted_end_ms: Option<u64>,
    /// The revision that was made; none for a plan.
    pub revision: Option<u64>,
}

/// Plans a drain.
///
/// # Errors
///
/// Fails if the target is unknown or can't be drained in time.
pub fn plan(in_force: &InForce, options: &DrainOptions) -> Result<DrainReport, CliError> {
    let catalogue = Catalogue::new(in_force.rows.iter().map(|row| &row.record));
    let target = match kind(&catalogue, options)? {
        DrainTargetKind::Upstream => DrainTarget::Upstream(UpstreamKey::of(&options.target)),
        DrainTargetKind::Domain => DrainTarget::Domain(DomainKey::of(&options.target)),
    };
    let plan = DrainPlan::new(&catalogue, target, options.now_ms, options.finish_by_ms)?;
    let step = |step: &DrainStep| ReportedStep { at_ms: step.at_ms, share: step.share };
    let groups = plan.groups.iter().map(|group| ReportedGroup {
        service: catalogue
            .services
            .get(&group.service)
            .map(|it| it.name.clone())
            .unwrap_or_default(),
        origin: catalogue.origins.get(&group.origin).cloned().unwrap_or_default(),
        steps: group.steps.iter().map(step).collect(),
    });
    Ok(DrainReport {
        target: options.target.clone(),
        groups: groups.collect(),
        predicted_end_ms: Some(plan.predicted_end_ms),
        revision: None,
    })
}

/// Plans a drain and puts it in force if the plan holds.
///
/// The change builds on the revision that the plan was made from: another one in between may take
/// away what the plan relies on.
///
/// # Errors
///
/// Fails if there is no plan, or the change is not accepted.
pub fn start(
    client: &Client,
    in_force: &InForce,
    options: &DrainOptions,
    with: impl FnOnce(ApplyOptions) -> ApplyOptions,
) -> Result<DrainReport, CliError> {
    let report = plan(in_force, options)?;
    let revision = change(client, in_force, options, true, with)?;
    Ok(DrainReport { revision: Some(revision), ..report })
}

/// Ends a drain.
///
/// # Errors
///
/// Fails if the target is unknown or the change is not accepted.
pub fn end(
    client: &Client,
    in_force: &InForce,
    options: &DrainOptions,
    with: impl FnOnce(ApplyOptions) -> ApplyOptions,
) -> Result<DrainReport, CliError> {
    let revision = change(client, in_force, options, false, with)?;
    Ok(DrainReport {
        target: options.target.clone(),
        groups: Vec::new(),
        predicted_end_ms: None,
        revision: Some(revision),
    })
}

fn change(
    client: &Client,
    in_force: &InForce,
    options: &DrainOptions,
    active: bool,
    with: impl FnOnce(ApplyOptions) -> ApplyOptions,
) -> Result<u64, CliError> {
    let catalogue = Catalogue::new(in_force.rows.iter().map(|row| &row.record));
    let drain = Drain { target: kind(&catalogue, options)?, active };
    let record = RawRecord {
        schema: 1,
        kind: "drain".into(),
        name: options.target.clone(),
        body: serde_json::to_string(&drain)?.into(),
    };
    let options = ApplyOptions::new(vec![record]).with_expected_revision(Some(in_force.revision));
    Ok(apply(client, with(options), &FileRecords::default())?.revision)
}

fn kind(catalogue: &Catalogue, options: &DrainOptions) -> Result<DrainTargetKind, CliError> {
    let is_upstream = catalogue.upstreams.contains_key(&UpstreamKey::of(&options.target));
    let is_domain = catalogue.domains.contains_key(&DomainKey::of(&options.target));
    match (options.kind, is_upstream, is_domain) {
        (None | Some(DrainTargetKind::Upstream), true, _) => Ok(DrainTargetKind::Upstream),
        (None | Some(DrainTargetKind::Domain), _, true) => Ok(DrainTargetKind::Domain),
        _ => Err(CliError::NoTarget { target: options.target.clone() }),
    }
}
