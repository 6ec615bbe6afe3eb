//! Validates records before a change is accepted: each record alone, and all of them together.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};
use serde_json::Value;

use super::{NEWEST_SCHEMA, RawRecord, fields};
use crate::schema::{self, ValuePath};

mod record_set;

use record_set::RecordSet;

/// The maximum length of a record's body in bytes. A body is not split among table rows or among the
/// pages that nodes exchange.
pub const MAX_RECORD_BODY_BYTES: usize = 512 * 1024;

/// Why a record is invalid.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
#[serde(rename_all = "snake_case", tag = "error")]
pub enum CheckError {
    /// A value of the body does not match the schema.
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
        /// The type of the object that has the name, such as `service`.
        what: Box<str>,
        /// The name.
        name: Box<str>,
        /// The record or list that also uses the name.
        other: Box<str>,
    },
    /// Two names hash to the same key.
    #[error("the {what} `{name}` has the same key as `{other}`; choose another name")]
    Collision {
        /// The type of the objects that have the names, such as `service`.
        what: Box<str>,
        /// The name.
        name: Box<str>,
        /// The other name.
        other: Box<str>,
    },
    /// A name refers to an object that does not exist.
    #[error("there is no {what} `{name}`; known are {known}")]
    #[serde(rename = "dangling")]
    UnknownReference {
        /// The type of object that the name should refer to.
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
    /// would make invalid.
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

/// Validates each record of a change by itself, and checks that no two have the same kind and name.
pub fn check_records(records: &[RawRecord]) -> Vec<Problem> {
    let mut problems = Vec::new();
    for (index, record) in records.iter().enumerate() {
        let errors = check_record(record).into_iter();
        problems.extend(errors.map(|(path, error)| problem(record, Some(index), path, error)));
        let is_repeated = records[..index].iter().any(|earlier| is_same_record(earlier, record));
        if is_repeated {
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
        .filter(|(_, old)| !records.iter().any(|new| is_same_record(old, new)))
        .collect();
    after.extend(records.iter().enumerate().map(|(index, record)| (Some(index), record)));
    let old_problems: BTreeSet<_> = RecordSet::new(&before).check().into_iter().collect();
    let new_problems = RecordSet::new(&after).check().into_iter();
    problems.extend(
        new_problems.filter(|problem| problem.index.is_some() || !old_problems.contains(problem)),
    );
    problems
}

fn is_same_record(a: &RawRecord, b: &RawRecord) -> bool {
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
    let mut errors = Vec::new();
    if !schema::is_name(&record.name) {
        errors.push((ValuePath::field("name"), CheckError::Name { name: record.name.clone() }));
    }
    if record.body.len() > MAX_RECORD_BODY_BYTES {
        let error =
            CheckError::BodyTooLong { bytes: record.body.len(), most: MAX_RECORD_BODY_BYTES };
        errors.push((ValuePath::default(), error));
    }
    if !(1..=NEWEST_SCHEMA).contains(&record.schema) {
        let error = CheckError::Schema { schema: record.schema, newest: NEWEST_SCHEMA };
        errors.push((ValuePath::field("schema"), error));
        return errors;
    }
    let Some(fields) = fields::fields_of_kind(&record.kind) else {
        let known = fields::RECORD_KINDS.iter().map(|kind| kind.name);
        let error = CheckError::Kind { kind: record.kind.clone(), known: quoted_list(known) };
        errors.push((ValuePath::field("kind"), error));
        return errors;
    };
    match serde_json::from_str::<Value>(&record.body) {
        Ok(body) => {
            let faults = schema::check(&body, fields, record.schema).into_iter();
            errors.extend(
                faults.map(|located| (located.path, CheckError::Fault { fault: located.fault })),
            );
        }
        Err(error) => {
            let error = CheckError::Body { reason: error.to_string().into() };
            errors.push((ValuePath::default(), error));
        }
    }
    errors
}

/// The maximum number of names that an error message lists.
const MAX_LISTED_NAMES: usize = 12;

/// Returns the names in backticks, separated by commas, or `none`.
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
