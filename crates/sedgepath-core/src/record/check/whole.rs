//! Validates the set of all records that would be in force: unique names and keys, and references.

use std::collections::{BTreeMap, BTreeSet};

use super::{CheckError, Problem, list, problem};
use crate::hash::Digest;
use crate::key::{DomainKey, OrganisationKey, OriginKey, RegionKey, ServiceKey, UpstreamKey};
use crate::record::{
    Drain, DrainTargetKind, Organisations, Places, RawRecord, RecordBody, Service, Steering,
};
use crate::schema::ValuePath;

/// The namespaces of names: a name must be unique within its namespace.
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

/// A record with its index in the change; `None` for a record in force.
pub(super) type Numbered<'a> = (Option<usize>, &'a RawRecord);

/// All records that would be in force.
pub(super) struct Whole<'a> {
    bodies: Vec<(Numbered<'a>, RecordBody)>,
    names: BTreeMap<(What, Box<str>), &'a RawRecord>,
    keys: BTreeMap<(What, u32), Box<str>>,
    problems: Vec<Problem>,
}

impl<'a> Whole<'a> {
    pub(super) fn new(records: &[Numbered<'a>]) -> Self {
        // Unparsable records are reported by `check_records`, or have a newer schema.
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

    /// Collects all definitions, then checks that all references resolve.
    pub(super) fn check(mut self) -> Vec<Problem> {
        let bodies = std::mem::take(&mut self.bodies);
        for (record, body) in &bodies {
            self.define(*record, body);
        }
        for (record, body) in &bodies {
            self.refer(*record, body);
        }
        self.problems
    }

    fn report(&mut self, record: Numbered<'a>, path: ValuePath, error: CheckError) {
        self.problems.push(problem(record.1, record.0, path, error));
    }

    fn define(&mut self, record: Numbered<'a>, body: &RecordBody) {
        match body {
            RecordBody::Places(places) => self.define_places(record, places),
            RecordBody::Service(service) => self.define_service(record, service),
            RecordBody::Organisations(body) => self.define_organisations(record, body),
            RecordBody::Steering(steering) => {
                for (index, group) in steering.groups.iter().enumerate() {
                    let path = ValuePath::field("groups").with_item(index).with_field("origin");
                    self.key(record, path, What::Origin, &group.origin);
                }
            }
            RecordBody::Clients(clients) => {
                for (index, block) in clients.blocks.iter().enumerate() {
                    let path = ValuePath::field("blocks").with_item(index).with_field("origin");
                    self.key(record, path, What::Origin, &block.origin);
                }
            }
            RecordBody::Drain(_) => {}
        }
    }

    /// Registers a name that must be unique.
    fn name(&mut self, record: Numbered<'a>, path: ValuePath, what: What, name: &str) {
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

    /// Registers the key of a name, and reports a collision with the key of another name.
    ///
    /// Messages carry keys instead of names, so a collision would misroute traffic.
    fn key(&mut self, record: Numbered<'a>, path: ValuePath, what: What, name: &str) {
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
            let path = ValuePath::field("regions").with_item(index);
            self.name(record, path.with_field("name"), What::Region, &region.name);
            for (item, domain) in region.domains.iter().enumerate() {
                let path = path.with_field("domains").with_item(item);
                self.name(record, path, What::Domain, domain);
            }
        }
    }

    fn define_service(&mut self, record: Numbered<'a>, service: &Service) {
        self.name(record, ValuePath::field("name"), What::Service, &record.1.name);
        for (index, upstream) in service.upstreams.iter().enumerate() {
            let path = ValuePath::field("upstreams").with_item(index);
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
            let path = ValuePath::field("organisations").with_item(index);
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
                    let path = ValuePath::field("upstreams").with_item(index).with_field("domain");
                    self.known(record, path, What::Domain, &upstream.domain);
                }
            }
            RecordBody::Steering(steering) => self.refer_steering(record, steering),
            RecordBody::Drain(drain) => self.refer_drain(record, drain),
            RecordBody::Places(_) | RecordBody::Organisations(_) | RecordBody::Clients(_) => {}
        }
    }

    fn known(&mut self, record: Numbered<'a>, path: ValuePath, what: What, name: &str) {
        if self.names.contains_key(&(what, name.into())) {
            return;
        }
        let known = self.names.keys().filter(|(known, _)| *known == what);
        let known = list(known.map(|(_, name)| &**name));
        let error = CheckError::Dangling { what: what.word().into(), name: name.into(), known };
        self.report(record, path, error);
    }

    fn refer_steering(&mut self, record: Numbered<'a>, steering: &Steering) {
        self.known(record, ValuePath::field("name"), What::Service, &record.1.name);
        let mut origins = BTreeSet::new();
        for (index, group) in steering.groups.iter().enumerate() {
            let path = ValuePath::field("groups").with_item(index);
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

    fn twice(&mut self, record: Numbered<'a>, path: ValuePath, what: What, name: &str) {
        let error = CheckError::Duplicate {
            what: what.word().into(),
            name: name.into(),
            other: "the same list".into(),
        };
        self.report(record, path, error);
    }

    fn refer_drain(&mut self, record: Numbered<'a>, drain: &Drain) {
        let what = match drain.target {
            DrainTargetKind::Upstream => What::Upstream,
            DrainTargetKind::Domain => What::Domain,
        };
        // The record of an ended drain stays after its target is removed.
        if drain.active {
            self.known(record, ValuePath::field("name"), what, &record.1.name);
        }
    }
}
