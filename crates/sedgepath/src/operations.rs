//! The work of the commands, independent of option parsing and output.

use sedgepath_core::configuration::change::{ChangeOutcome, ChangeRefusal, ChangeRequest};
use sedgepath_core::record::RawRecord;
use sedgepath_core::record::check;
use serde::Serialize;

use crate::client::{CallFailure, Client, RecordsInForce};
use crate::error::{CliError, NodeFailure};
use crate::records::FileRecords;

pub mod drain;
pub mod logs;
pub mod losses;
pub mod peer_keys;
pub mod timeline;
pub mod vm_status;

/// How often all nodes are asked for a change while its outcome is unknown.
const MAX_APPLY_ROUNDS: u32 = 2;

/// Checks records, together with the records in force if they are given.
///
/// Without records in force, references between records are checked only if `records` has the record of
/// places.
///
/// # Errors
///
/// Fails with all problems at their locations in the files.
pub fn check(records: &FileRecords, in_force: Option<&RecordsInForce>) -> Result<(), CliError> {
    let problems = match in_force {
        Some(in_force) => {
            check::check_change(in_force.rows.iter().map(|row| &row.record), records.records())
        }
        None if records.records().iter().any(|record| &*record.kind == "places") => {
            check::check_change([], records.records())
        }
        None => check::check_records(records.records()),
    };
    if problems.is_empty() { Ok(()) } else { Err(records.problems_error(problems)) }
}

/// The change that [`apply`] requests.
#[derive(Debug, Clone)]
pub struct ApplyOptions {
    request: ChangeRequest,
}

impl ApplyOptions {
    /// Creates a change of these records with a new random id.
    pub fn new(records: Vec<RawRecord>) -> Self {
        let change_id = format!("{:016x}", fastrand::u64(..)).into();
        let request =
            ChangeRequest { change_id, records, expected_revision: None, note: Box::default() };
        Self { request }
    }

    /// Accepts the change only if this revision is still the newest.
    pub fn with_expected_revision(mut self, revision: Option<u64>) -> Self {
        self.request.expected_revision = revision;
        self
    }

    /// Sets the note for the history, if there is one.
    pub fn with_note(mut self, note: Option<String>) -> Self {
        self.request.note = note.unwrap_or_default().into();
        self
    }

    /// Reuses the id of an earlier request for the same change, if there was one.
    pub fn with_change_id(mut self, change_id: Option<String>) -> Self {
        if let Some(change_id) = change_id {
            self.request.change_id = change_id.into();
        }
        self
    }
}

/// The result of an accepted change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct AcceptedChange {
    /// The revision that the change created.
    pub revision: u64,
    /// The id under which the change was requested.
    pub change_id: Box<str>,
}

/// Requests a change from the nodes in turn until its outcome is known.
///
/// All requests carry the same id, so the change is never made twice.
///
/// # Errors
///
/// Fails if the change is not accepted, or its outcome stays unknown.
pub fn apply(
    client: &Client,
    options: ApplyOptions,
    files: &FileRecords,
) -> Result<AcceptedChange, CliError> {
    let request = options.request;
    let change_id = request.change_id.clone();
    let mut may_be_accepted = false;
    let mut failures = Vec::new();
    for _ in 0..MAX_APPLY_ROUNDS {
        for &node in client.nodes() {
            let response = client.call_node(node, |client| {
                let request = request.clone();
                async move { client.change(request).await }
            });
            match response {
                Ok(ChangeOutcome::Accepted { revision }) => {
                    return Ok(AcceptedChange { revision, change_id });
                }
                Ok(ChangeOutcome::Conflict { revision, other }) => {
                    return Err(CliError::Conflict { revision, other: other.map(Box::new) });
                }
                // A rejection is final only if no earlier request may have been accepted.
                Ok(ChangeOutcome::NotAccepted { refusal }) if !may_be_accepted => {
                    return Err(rejection_error(refusal, files));
                }
                Ok(ChangeOutcome::NotAccepted { .. } | ChangeOutcome::Unknown) => {
                    may_be_accepted = true;
                }
                Err(CallFailure { reason, may_have_run: false, try_next: false })
                    if !may_be_accepted =>
                {
                    return Err(CliError::NodeError { node, reason });
                }
                Err(CallFailure { reason, may_have_run, .. }) => {
                    may_be_accepted |= may_have_run;
                    failures.push(NodeFailure { node, reason });
                }
            }
        }
        if !may_be_accepted {
            return Err(CliError::Unreachable { failures });
        }
    }
    Err(CliError::OutcomeUnknown { change_id })
}

fn rejection_error(refusal: ChangeRefusal, files: &FileRecords) -> CliError {
    match refusal {
        ChangeRefusal::InvalidRecords { problems } => files.problems_error(problems),
        other => CliError::NotAccepted(other),
    }
}
