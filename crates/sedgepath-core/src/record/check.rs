//! Validates records before a change is accepted: each record alone, and all of them together.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};
use serde_json::Value;

use super::{NEWEST_SCHEMA, RawRecord, fields};
use crate::schema::{self, ValuePath};

mod record_set;

use record_set::RecordSet;

/// The maximum length of a record's body in bytes. Table rows and pages between nodes carry each
/// body whole.
pub const MAX_RECORD_BODY_BYTES: usize = 512 * 1024;

/// What is wrong with a record.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
#[serde(rename_all = "snake_case", tag = "error")]
pub enum CheckError {
    /// A value of the body does not match its field.
    #[error(transparent)]
    Fault {
        /// The mismatch.
        fault: schema::Fault,
    },
    /// The record's name is not a valid name.
    #[error("`{name}` is no name; a name has 1 to 64 of the characters a-z, 0-9, `.`, `_` and `-`")]
    Name {
        /// The record's name.
        name: Box<str>,
    },
    /// The kind is not known to this version.
    #[error("records of kind `{kind}` are not known to this version; the kinds are {known}")]
    Kind {
        /// The kind.
        kind: Box<str>,
        /// The kinds that this version knows.
        known: Box<str>,
    },
    /// The schema is not known to this version.
    #[error("schema {schema} is not known to this version; it knows 1 to {newest}")]
    Schema {
        /// The schema.
        schema: u32,
        /// The newest schema that this version knows.
        newest: u32,
    },
    /// The body is not valid JSON.
    #[error("the body can't be read: {reason}")]
    Body {
        /// The parser's error.
        reason: Box<str>,
    },
    /// The body is too long.
    #[error("the record has {bytes} bytes; at most {most} are kept in one, so split it")]
    #[serde(rename = "long")]
    BodyTooLong {
        /// The body's length in bytes.
        bytes: usize,
        /// The maximum length in bytes.
        most: usize,
    },
    /// Two records of a change have the same kind and name.
    #[error("the change has another record of this kind and name")]
    Repeated,
    /// A name that must be unique is used more than once.
    #[error("the {what} `{name}` is named twice; the other is in {other}")]
    Duplicate {
        /// The type of the named thing.
        what: Box<str>,
        /// The name.
        name: Box<str>,
        /// Where else the name is used.
        other: Box<str>,
    },
    /// Two names hash to the same key.
    #[error("the {what} `{name}` has the same key as `{other}`; choose another name")]
    Collision {
        /// The type of the named things.
        what: Box<str>,
        /// The name.
        name: Box<str>,
        /// The other name.
        other: Box<str>,
    },
    /// A name refers to something that does not exist.
    #[error("there is no {what} `{name}`; known are {known}")]
    #[serde(rename = "dangling")]
    UnknownReference {
        /// The type of thing that the name should refer to.
        what: Box<str>,
        /// The name.
        name: Box<str>,
        /// The first known names of that type.
        known: Box<str>,
    },
    /// The sum of a group's weights is not a finite number above 0.
    #[error("the weights of this group add up to {sum}; their sum should be above 0")]
    Weights {
        /// The sum of the weights.
        sum: Box<str>,
    },
    /// `cold_slots` exceeds `slots`.
    #[error("{cold} cold slots are more than the {slots} slots")]
    ColdSlots {
        /// The value of `cold_slots`.
        cold: u32,
        /// The value of `slots`.
        slots: u32,
    },
}

/// A validation error and its location.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Problem {
    /// The record's kind.
    pub kind: Box<str>,
    /// The record's name.
    pub name: Box<str>,
    /// The index of the record in the change, from 0; `None` for a record in force that the change
    /// would break.
    pub index: Option<usize>,
    /// The path of the value in the record's body.
    pub path: ValuePath,
    /// The error.
    pub error: CheckError,
}

impl PartialOrd for CheckError {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for CheckError {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        self.to_string().cmp(&other.to_string())
    }
}

/// Validates each record of a change alone, and that no two have the same kind and name.
pub fn check_records(records: &[RawRecord]) -> Vec<Problem> {
    let mut problems = Vec::new();
    for (index, record) in records.iter().enumerate() {
        let found = check_record(record).into_iter();
        problems.extend(found.map(|(path, error)| problem(record, Some(index), path, error)));
        let repeated = records[..index].iter().any(|earlier| has_same_key(earlier, record));
        if repeated {
            problems.push(problem(record, Some(index), ValuePath::default(), CheckError::Repeated));
        }
    }
    problems
}

/// Validates the records of a change, together with the records in force.
///
/// Problems that records in force already have without the change are not reported.
pub fn check_change<'a>(
    in_force: impl IntoIterator<Item = &'a RawRecord>,
    records: &[RawRecord],
) -> Vec<Problem> {
    let mut problems = check_records(records);
    let before: Vec<_> = in_force.into_iter().map(|record| (None, record)).collect();
    let mut after: Vec<_> = before
        .iter()
        .copied()
        .filter(|(_, old)| !records.iter().any(|new| has_same_key(old, new)))
        .collect();
    after.extend(records.iter().enumerate().map(|(index, record)| (Some(index), record)));
    let old: BTreeSet<_> = RecordSet::new(&before).check().into_iter().collect();
    let new = RecordSet::new(&after).check();
    problems.extend(
        new.into_iter().filter(|problem| problem.index.is_some() || !old.contains(problem)),
    );
    problems
}

fn has_same_key(a: &RawRecord, b: &RawRecord) -> bool {
    a.kind == b.kind && a.name == b.name
}

fn problem(
    record: &RawRecord,
    index: Option<usize>,
    path: ValuePath,
    error: CheckError,
) -> Problem {
    Problem { kind: record.kind.clone(), name: record.name.clone(), index, path, error }
}

/// Validates a record without regard to other records.
fn check_record(record: &RawRecord) -> Vec<(ValuePath, CheckError)> {
    let mut found = Vec::new();
    if !schema::is_name(&record.name) {
        found.push((ValuePath::field("name"), CheckError::Name { name: record.name.clone() }));
    }
    if record.body.len() > MAX_RECORD_BODY_BYTES {
        let error =
            CheckError::BodyTooLong { bytes: record.body.len(), most: MAX_RECORD_BODY_BYTES };
        found.push((ValuePath::default(), error));
    }
    if !(1..=NEWEST_SCHEMA).contains(&record.schema) {
        let error = CheckError::Schema { schema: record.schema, newest: NEWEST_SCHEMA };
        found.push((ValuePath::field("schema"), error));
        return found;
    }
    let Some(fields) = fields::fields_of_kind(&record.kind) else {
        let known = fields::RECORD_KINDS.iter().map(|kind| kind.name);
        let error = CheckError::Kind { kind: record.kind.clone(), known: quoted_list(known) };
        found.push((ValuePath::field("kind"), error));
        return found;
    };
    match serde_json::from_str::<Value>(&record.body) {
        Ok(body) => {
            let faults = schema::check(&body, fields, record.schema).into_iter();
            found.extend(
                faults.map(|placed| (placed.path, CheckError::Fault { fault: placed.fault })),
            );
        }
        Err(error) => {
            let error = CheckError::Body { reason: error.to_string().into() };
            found.push((ValuePath::default(), error));
        }
    }
    found
}

/// The maximum number of names that an error message lists.
const MAX_LISTED_NAMES: usize = 12;

fn quoted_list<'a>(names: impl IntoIterator<Item = &'a str>) -> Box<str> {
    let names: Vec<_> = names.into_iter().map(|name| format!("`{name}`")).collect();
    if names.is_empty() {
        return "none".into();
    }
    let shown = names[..names.len().min(MAX_LISTED_NAMES)].join(", ");
    match names.len().checked_sub(MAX_LISTED_NAMES) {
        Some(more @ 1..) => format!("{shown} and {more} more").into(),
        _ => shown.into(),
    }
}
