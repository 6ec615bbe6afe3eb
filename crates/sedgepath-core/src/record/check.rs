//! Checks records before they are accepted: each by itself, and all of them together.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};
use serde_json::Value;

use super::{Drain, DrainTarget, NEWEST_SCHEMA, Places, RawRecord, RecordBody, Service, Steering};
use super::{Organisations, fields};
use crate::hash::Digest;
use crate::key::{DomainKey, OrganisationKey, OriginKey, RegionKey, ServiceKey, UpstreamKey};
use crate::schema::{self, Path};

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
    pub path: Path,
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
pub fn each(records: &[RawRecord]) -> Vec<Problem> {
    let mut problems = Vec::new();
    for (index, record) in records.iter().enumerate() {
        let found = alone(record).into_iter();
        problems.extend(found.map(|(path, error)| problem(record, Some(index), path, error)));
        let repeated = records[..index].iter().any(|earlier| same(earlier, record));
        if repeated {
            problems.push(problem(record, Some(index), Path::default(), CheckError::Repeated));
        }
    }
    problems
}

/// Checks the records of a change, together with the records in force.
///
/// A record in force that had the same problem before is not held against the change.
pub fn change<'a>(
    in_force: impl IntoIterator<Item = &'a RawRecord>,
    records: &[RawRecord],
) -> Vec<Problem> {
    let mut problems = each(records);
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

fn problem(record: &RawRecord, index: Option<usize>, path: Path, error: CheckError) -> Problem {
    Problem { kind: record.kind.clone(), name: record.name.clone(), index, path, error }
}

/// Checks a record by itself.
fn alone(record: &RawRecord) -> Vec<(Path, CheckError)> {
    let mut found = Vec::new();
    if !schema::is_name(&record.name) {
        found.push((Path::field("name"), CheckError::Name { name: record.name.clone() }));
    }
    if record.body.len() > MAX_BODY_BYTES {
        let error = CheckError::Long { bytes: record.body.len(), most: MAX_BODY_BYTES };
        found.push((Path::default(), error));
    }
    if !(1..=NEWEST_SCHEMA).contains(&record.schema) {
        let error = CheckError::Schema { schema: record.schema, newest: NEWEST_SCHEMA };
        found.push((Path::field("schema"), error));
        return found;
    }
    let Some(fields) = fields::of_kind(&record.kind) else {
        let known = fields::KINDS.iter().map(|kind| kind.name);
        let error = CheckError::Kind { kind: record.kind.clone(), known: list(known) };
        found.push((Path::field("kind"), error));
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
            found.push((Path::default(), error));
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

/// What a name names, for messages and to tell names apart.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum What {
    Region,
    Domain,
    Service,
    Upstream,
    Organisation,
    Origin,
}

impl What {
    fn word(self) -> &'static str {
        match self {
            Self::Region => "region",
            Self::Domain => "failure domain",
            Self::Service => "service",
            Self::Upstream => "upstream",
            Self::Organisation => "organisation",
            Self::Origin => "origin group",
        }
    }

    fn key(self, name: &str) -> u32 {
        match self {
            Self::Region => RegionKey::of(name).0,
            Self::Domain => DomainKey::of(name).0,
            Self::Service => ServiceKey::of(name).0,
            Self::Upstream => UpstreamKey::of(name).0,
            Self::Organisation => OrganisationKey::of(name).0,
            Self::Origin => OriginKey::of(name).0,
        }
    }
}

/// A record of the whole, with its number in the change.
type Numbered<'a> = (Option<usize>, &'a RawRecord);

/// All records that would be in force.
struct Whole<'a> {
    bodies: Vec<(Numbered<'a>, RecordBody)>,
    names: BTreeMap<(What, Box<str>), &'a RawRecord>,
    keys: BTreeMap<(What, u32), Box<str>>,
    problems: Vec<Problem>,
}

impl<'a> Whole<'a> {
    fn new(records: &[Numbered<'a>]) -> Self {
        // What can't be read is reported with the record itself, or is of a newer schema.
        let bodies = records.iter().filter_map(|numbered| {
            let body = numbered.1.parse().ok()?;
            Some((*numbered, body))
        });
        Self {
            bodies: bodies.collect(),
            names: BTreeMap::new(),
            keys: BTreeMap::new(),
            problems: Vec::new(),
        }
    }

    fn check(mut self) -> Vec<Problem> {
        let bodies = std::mem::take(&mut self.bodies);
        for (record, body) in &bodies {
            self.define(*record, body);
        }
        for (record, body) in &bodies {
            self.refer(*record, body);
        }
        self.problems
    }

    fn report(&mut self, record: Numbered<'a>, path: Path, error: CheckError) {
        self.problems.push(problem(record.1, record.0, path, error));
    }

    fn define(&mut self, record: Numbered<'a>, body: &RecordBody) {
        match body {
            RecordBody::Places(places) => self.define_places(record, places),
            RecordBody::Service(service) => self.define_service(record, service),
            RecordBody::Organisations(body) => self.define_organisations(record, body),
            RecordBody::Steering(steering) => {
                for (index, group) in steering.groups.iter().enumerate() {
                    let path = Path::field("groups").with_item(index).with_field("origin");
                    self.key(record, path, What::Origin, &group.origin);
                }
            }
            RecordBody::Clients(clients) => {
                for (index, block) in clients.blocks.iter().enumerate() {
                    let path = Path::field("blocks").with_item(index).with_field("origin");
                    self.key(record, path, What::Origin, &block.origin);
                }
            }
            RecordBody::Drain(_) => {}
        }
    }

    /// Takes in a name that may stand once only.
    fn name(&mut self, record: Numbered<'a>, path: Path, what: What, name: &str) {
        if let Some(other) = self.names.insert((what, name.into()), record.1) {
            let error = CheckError::Duplicate {
                what: what.word().into(),
                name: name.into(),
                other: format!("{} `{}`", other.kind, other.name).into(),
            };
            self.report(record, path, error);
            return;
        }
        self.key(record, path, what, name);
    }

    /// Takes in a name, and refuses it if another one has the same key.
    ///
    /// Messages carry keys in place of names; with two names of one key, traffic of the one would
    /// go where the other's record says.
    fn key(&mut self, record: Numbered<'a>, path: Path, what: What, name: &str) {
        let known = self.keys.entry((what, what.key(name))).or_insert_with(|| name.into());
        if &**known != name {
            let error = CheckError::Collision {
                what: what.word().into(),
                name: name.into(),
                other: known.clone(),
            };
            self.report(record, path, error);
        }
    }

    fn define_places(&mut self, record: Numbered<'a>, places: &Places) {
        for (index, region) in places.regions.iter().enumerate() {
            let path = Path::field("regions").with_item(index);
            self.name(record, path.with_field("name"), What::Region, &region.name);
            for (item, domain) in region.domains.iter().enumerate() {
                let path = path.with_field("domains").with_item(item);
                self.name(record, path, What::Domain, domain);
            }
        }
    }

    fn define_service(&mut self, record: Numbered<'a>, service: &Service) {
        self.name(record, Path::field("name"), What::Service, &record.1.name);
        for (index, upstream) in service.upstreams.iter().enumerate() {
            let path = Path::field("upstreams").with_item(index);
            self.name(record, path.with_field("name"), What::Upstream, &upstream.name);
            if let Some(cold) = upstream.cold_slots.filter(|cold| *cold > upstream.slots) {
                let error = CheckError::ColdSlots { cold, slots: upstream.slots };
                self.report(record, path.with_field("cold_slots"), error);
            }
        }
    }

    fn define_organisations(&mut self, record: Numbered<'a>, body: &Organisations) {
        let mut digests: BTreeMap<Digest, &str> = BTreeMap::new();
        for (index, organisation) in body.organisations.iter().enumerate() {
            let path = Path::field("organisations").with_item(index);
            self.name(record, path.with_field("name"), What::Organisation, &organisation.name);
            for (item, hex) in organisation.key_digests.iter().enumerate() {
                let Some(digest) = Digest::from_hex(hex) else { continue };
                if let Some(other) = digests.insert(digest, &organisation.name) {
                    let error = CheckError::Duplicate {
                        what: "key digest".into(),
                        name: hex.clone(),
                        other: format!("organisation `{other}`").into(),
                    };
                    let path = path.with_field("key_digests").with_item(item);
                    self.report(record, path, error);
                }
            }
        }
    }

    fn refer(&mut self, record: Numbered<'a>, body: &RecordBody) {
        match body {
            RecordBody::Service(service) => {
                for (index, upstream) in service.upstreams.iter().enumerate() {
                    let path = Path::field("upstreams").with_item(index).with_field("domain");
                    self.known(record, path, What::Domain, &upstream.domain);
                }
            }
            RecordBody::Steering(steering) => self.refer_steering(record, steering),
            RecordBody::Drain(drain) => self.refer_drain(record, drain),
            RecordBody::Places(_) | RecordBody::Organisations(_) | RecordBody::Clients(_) => {}
        }
    }

    fn known(&mut self, record: Numbered<'a>, path: Path, what: What, name: &str) {
        if self.names.contains_key(&(what, name.into())) {
            return;
        }
        let known = self.names.keys().filter(|(known, _)| *known == what);
        let known = list(known.map(|(_, name)| &**name));
        let error = CheckError::Dangling { what: what.word().into(), name: name.into(), known };
        self.report(record, path, error);
    }

    fn refer_steering(&mut self, record: Numbered<'a>, steering: &Steering) {
        self.known(record, Path::field("name"), What::Service, &record.1.name);
        let mut origins = BTreeSet::new();
        for (index, group) in steering.groups.iter().enumerate() {
            let path = Path::field("groups").with_item(index);
            if !origins.insert(&group.origin) {
                self.twice(record, path.with_field("origin"), What::Origin, &group.origin);
            }
            let mut domains = BTreeSet::new();
            for (item, share) in group.shares.iter().enumerate() {
                let path = path.with_field("shares").with_item(item).with_field("domain");
                if !domains.insert(&share.domain) {
                    self.twice(record, path.clone(), What::Domain, &share.domain);
                }
                self.known(record, path, What::Domain, &share.domain);
            }
            let sum: f64 = group.shares.iter().map(|share| share.weight).sum();
            if !(sum > 0.0 && sum.is_finite()) {
                let error = CheckError::Weights { sum: sum.to_string().into() };
                self.report(record, path.with_field("shares"), error);
            }
        }
    }

    fn twice(&mut self, record: Numbered<'a>, path: Path, what: What, name: &str) {
        let error = CheckError::Duplicate {
            what: what.word().into(),
            name: name.into(),
            other: "the same list".into(),
        };
        self.report(record, path, error);
    }

    fn refer_drain(&mut self, record: Numbered<'a>, drain: &Drain) {
        let what = match drain.target {
            DrainTarget::Upstream => What::Upstream,
            DrainTarget::Domain => What::Domain,
        };
        // A drain that has ended may outlive its target.
        if drain.active {
            self.known(record, Path::field("name"), what, &record.1.name);
        }
    }
}
