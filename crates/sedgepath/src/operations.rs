//! What the commands do, from plain options.

use sedgepath_core::configuration::change::{ChangeOutcome, ChangeRefusal, ChangeRequest};
use sedgepath_core::record::RawRecord;
use sedgepath_core::record::check;
use serde::Serialize;

use crate::client::{Client, InForce, Silence};
use crate::error::{CliError, Tried};
use crate::records::FileRecords;

pub mod drain;
pub mod logs;
pub mod losses;
pub mod timeline;
pub mod vm_status;

/// How often all nodes are asked about a change whose outcome is not known.
const ROUNDS: u32 = 2;

/// Checks records, together with those in force if these are given.
///
/// # Errors
///
/// Fails with all mistakes at their places.
pub fn check(records: &FileRecords, in_force: Option<&InForce>) -> Result<(), CliError> {
    let problems = match in_force {
        Some(in_force) => {
            check::check_change(in_force.rows.iter().map(|row| &row.record), records.records())
        }
        None if records.records().iter().any(|record| &*record.kind == "places") => {
            check::check_change([], records.records())
        }
        None => check::check_records(records.records()),
    };
    if problems.is_empty() { Ok(()) } else { Err(records.report(problems)) }
}

/// A change to ask for.
#[derive(Debug, Clone)]
pub struct ApplyOptions {
    request: ChangeRequest,
}

impl ApplyOptions {
    /// Creates a change with a new number.
    pub fn new(records: Vec<RawRecord>) -> Self {
        let change_id = format!("{:016x}", fastrand::u64(..)).into();
        let request =
            ChangeRequest { change_id, records, expected_revision: None, note: Box::default() };
        Self { request }
    }

    /// Sets the revision that the change builds on.
    pub fn with_expected_revision(mut self, revision: Option<u64>) -> Self {
        self.request.expected_revision = revision;
        self
    }

    /// Sets the note, if there is one.
    pub fn with_note(mut self, note: Option<String>) -> Self {
        self.request.note = note.unwrap_or_default().into();
        self
    }

    /// Sets the number of an earlier try, if there was one.
    pub fn with_change_id(mut self, change_id: Option<String>) -> Self {
        if let Some(change_id) = change_id {
            self.request.change_id = change_id.into();
        }
        self
    }
}

/// An accepted change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Accepted {
    /// The revision that it made.
    pub revision: u64,
    /// Its number.
    pub change_id: Box<str>,
}

/// Asks for a change until its outcome is known.
///
/// The next node is asked with the same number when one does not answer, so the change is never made
/// twice.
///
/// # Errors
///
/// Fails if the change is not accepted, or its outcome is not known.
pub fn apply(
    client: &Client,
    options: ApplyOptions,
    files: &FileRecords,
) -> Result<Accepted, CliError> {
    let request = options.request;
    let change_id = request.change_id.clone();
    let mut in_doubt = false;
    let mut tried = Vec::new();
    for _ in 0..ROUNDS {
        for &node in client.nodes() {
            let answer = client.ask_one(node, |client| {
                let request = request.clone();
                async move { client.change(request).await }
            });
            match answer {
                Ok(ChangeOutcome::Accepted { revision }) => {
                    return Ok(Accepted { revision, change_id });
                }
                Ok(ChangeOutcome::Conflict { revision, other }) => {
                    return Err(CliError::Conflict { revision, other: other.map(Box::new) });
                }
                // A refusal says nothing of an earlier try through another node.
                Ok(ChangeOutcome::NotAccepted { refusal }) if !in_doubt => {
                    return Err(refused(refusal, files));
                }
                Ok(ChangeOutcome::NotAccepted { .. } | ChangeOutcome::Unknown) => in_doubt = true,
                Err(Silence { reason, sent: false, try_next: false }) if !in_doubt => {
                    return Err(CliError::Node { node, reason });
                }
                Err(Silence { reason, sent, .. }) => {
                    in_doubt |= sent;
                    tried.push(Tried { node, reason });
                }
            }
        }
        if !in_doubt {
            return Err(CliError::Unreachable { tried });
        }
    }
    Err(CliError::Unknown { change_id })
}

fn refused(refusal: ChangeRefusal, files: &FileRecords) -> CliError {
    match refusal {
        ChangeRefusal::InvalidRecords { problems } => files.report(problems),
        other => CliError::NotAccepted(other),
    }
}
