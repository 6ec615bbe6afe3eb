//! Checks records before they are accepted: each by itself, and all of them together.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};
use serde_json::Value;

use super::{NEWEST_SCHEMA, RawRecord, fields};
use crate::schema::{self, ValuePath};

mod whole;

use whole::Whole;

/// The most text of one record's body, in bytes: rows of the table and pages between nodes carry it
/// whole.
pub const MAX_BODY_BYTES: usize = 512 * 1024;

/// What is wrong with a record.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
#[serde(rename_all = "snake_case", tag = "error")]
pub enum CheckError {
    /// A value of the body is wrong by itself.
    #[error(transparent)]
    Fault {
        /// What is wrong.
        fault: schema::Fault,
    },
    /// The record's name is no name.
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
        /// The kinds known.
        known: Box<str>,
    },
    /// The schema is not known to this version.
    #[error("schema {schema} is not known to this version; it knows 1 to {newest}")]
    Schema {
        /// The schema.
        schema: u32,
        /// The newest schema known.
        newest: u32,
    },
    /// The body is no JSON text.
    #[error("the body can't be read: {reason}")]
    Body {
        /// What the parser found.
        reason: Box<str>,
    },
    /// The body is too long.
    #[error("the record has {bytes} bytes; at most {most} are kept in one, so split it")]
    Long {
        /// Its length in bytes.
        bytes: usize,
        /// The most.
        most: usize,
    },
    /// Two records of a change have the same kind and name.
    #[error("the change has another record of this kind and name")]
    Repeated,
    /// A name stands twice.
    #[error("the {what} `{name}` is named twice; the other is in {other}")]
    Duplicate {
        /// What the name names.
        what: Box<str>,
        /// The name.
        name: Box<str>,
        /// The record that has the other.
        other: Box<str>,
    },
    /// Two names have the same key.
    #[error("the {what} `{name}` has the same key as `{other}`; choose another name")]
    Collision {
        /// What the names name.
        what: Box<str>,
        /// The name.
        name: Box<str>,
        /// The other name.
        other: Box<str>,
    },
    /// What a name refers to is not there.
    #[error("there is no {what} `{name}`; known are {known}")]
    Dangling {
        /// What the name should name.
        what: Box<str>,
        /// The name.
        name: Box<str>,
        /// The names known, or as many as fit a line.
        known: Box<str>,
    },
    /// All weights of a group are zero.
    #[error("the weights of this group add up to {sum}; their sum should be above 0")]
    Weights {
        /// The sum.
        sum: Box<str>,
    },
    /// The cold slots are more than the slots.
    #[error("{cold} cold slots are more than the {slots} slots")]
    ColdSlots {
        /// The cold slots.
        cold: u32,
        /// The slots.
        slots: u32,
    },
}

/// Something wrong, and where.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Problem {
    /// The record's kind.
    pub kind: Box<str>,
    /// The record's name.
    pub name: Box<str>,
    /// The number of the record in the change, from 0; none if it is a record in force that the
    /// change would break.
    pub index: Option<usize>,
    /// The way to the value in the record's body.
    pub path: ValuePath,
    /// What is wrong.
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

/// Checks the records of a change by themselves.
pub fn check_records(records: &[RawRecord]) -> Vec<Problem> {
    let mut problems = Vec::new();
    for (index, record) in records.iter().enumerate() {
        let found = alone(record).into_iter();
        problems.extend(found.map(|(path, error)| problem(record, Some(index), path, error)));
        let repeated = records[..index].iter().any(|earlier| same(earlier, record));
        if repeated {
            problems.push(problem(record, Some(index), ValuePath::default(), CheckError::Repeated));
        }
    }
    problems
}

/// Checks the records of a change, together with the records in force.
///
/// A record in force that had the same problem before is not held against the change.
pub fn check_change<'a>(
    in_force: impl IntoIterator<Item = &'a RawRecord>,
    records: &[RawRecord],
) -> Vec<Problem> {
    let mut problems = check_records(records);
    let before: Vec<_> = in_force.into_iter().map(|record| (None, record)).collect();
    let mut after: Vec<_> = before
        .iter()
        .copied()
        .filter(|(_, old)| !records.iter().any(|new| same(old, new)))
        .collect();
    after.extend(records.iter().enumerate().map(|(index, record)| (Some(index), record)));
    let old: BTreeSet<_> = Whole::new(&before).check().into_iter().collect();
    let new = Whole::new(&after).check();
    problems.extend(
        new.into_iter().filter(|problem| problem.index.is_some() || !old.contains(problem)),
    );
    problems
}

fn same(a: &RawRecord, b: &RawRecord) -> bool {
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

/// Checks a record by itself.
fn alone(record: &RawRecord) -> Vec<(ValuePath, CheckError)> {
    let mut found = Vec::new();
    if !schema::is_name(&record.name) {
        found.push((ValuePath::field("name"), CheckError::Name { name: record.name.clone() }));
    }
    if record.body.len() > MAX_BODY_BYTES {
        let error = CheckError::Long { bytes: record.body.len(), most: MAX_BODY_BYTES };
        found.push((ValuePath::default(), error));
    }
    if !(1..=NEWEST_SCHEMA).contains(&record.schema) {
        let error = CheckError::Schema { schema: record.schema, newest: NEWEST_SCHEMA };
        found.push((ValuePath::field("schema"), error));
        return found;
    }
    let Some(fields) = fields::of_kind(&record.kind) else {
        let known = fields::RECORD_KINDS.iter().map(|kind| kind.name);
        let error = CheckError::Kind { kind: record.kind.clone(), known: list(known) };
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

/// The most names that a message lists.
const MAX_LISTED: usize = 12;

fn list<'a>(names: impl IntoIterator<Item = &'a str>) -> Box<str> {
    let names: Vec<_> = names.into_iter().map(|name| format!("`{name}`")).collect();
    if names.is_empty() {
        return "none".into();
    }
    let shown = names[..names.len().min(MAX_LISTED)].join(", ");
    match names.len().checked_sub(MAX_LISTED) {
        Some(more @ 1..) => format!("{shown} and {more} more").into(),
        _ => shown.into(),
    }
}
