//! Validates the set of all records that would be in force: unique names and keys, and references.

use std::collections::{BTreeMap, BTreeSet};

use super::{CheckError, Problem, problem, quoted_list};
use crate::hash::Digest;
use crate::key::{DomainKey, OrganisationKey, OriginKey, RegionKey, ServiceKey, UpstreamKey};
use crate::record::{
    Drain, DrainTargetKind, Organisations, Places, RawRecord, RecordBody, Service, Steering,
};
use crate::schema::ValuePath;

/// The namespaces of names: a name must be unique within its namespace.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Namespace {
    Region,
    Domain,
    Service,
    Upstream,
    Organisation,
    Origin,
}

impl Namespace {
    fn label(self) -> &'static str {
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
pub(super) type IndexedRecord<'a> = (Option<usize>, &'a RawRecord);

/// All records that would be in force.
pub(super) struct RecordSet<'a> {
    bodies: Vec<(IndexedRecord<'a>, RecordBody)>,
    names: BTreeMap<(Namespace, Box<str>), &'a RawRecord>,
    keys: BTreeMap<(Namespace, u32), Box<str>>,
    problems: Vec<Problem>,
}

impl<'a> RecordSet<'a> {
    pub(super) fn new(records: &[IndexedRecord<'a>]) -> Self {
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
            self.check_references(*record, body);
        }
        self.problems
    }

    fn report(&mut self, record: IndexedRecord<'a>, path: ValuePath, error: CheckError) {
        self.problems.push(problem(record.1, record.0, path, error));
    }

    fn define(&mut self, record: IndexedRecord<'a>, body: &RecordBody) {
        match body {
            RecordBody::Places(places) => self.define_places(record, places),
            RecordBody::Service(service) => self.define_service(record, service),
            RecordBody::Organisations(body) => self.define_organisations(record, body),
            RecordBody::Steering(steering) => {
                for (index, group) in steering.groups.iter().enumerate() {
                    let path = ValuePath::field("groups").with_item(index).with_field("origin");
                    self.key(record, path, Namespace::Origin, &group.origin);
                }
            }
            RecordBody::Clients(clients) => {
                for (index, block) in clients.blocks.iter().enumerate() {
                    let path = ValuePath::field("blocks").with_item(index).with_field("origin");
                    self.key(record, path, Namespace::Origin, &block.origin);
                }
            }
            RecordBody::Drain(_) => {}
        }
    }

    /// Registers a name that must be unique.
    fn define_unique_name(
        &mut self,
        record: IndexedRecord<'a>,
        path: ValuePath,
        what: Namespace,
        name: &str,
    ) {
        if let Some(other) = self.names.insert((what, name.into()), record.1) {
            let error = CheckError::Duplicate {
                what: what.label().into(),
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
    fn key(&mut self, record: IndexedRecord<'a>, path: ValuePath, what: Namespace, name: &str) {
        let known = self.keys.entry((what, what.key(name))).or_insert_with(|| name.into());
        if &**known != name {
            let error = CheckError::Collision {
                what: what.label().into(),
                name: name.into(),
                other: known.clone(),
            };
            self.report(record, path, error);
        }
    }

    fn define_places(&mut self, record: IndexedRecord<'a>, places: &Places) {
        for (index, region) in places.regions.iter().enumerate() {
            let path = ValuePath::field("regions").with_item(index);
            self.define_unique_name(
                record,
                path.with_field("name"),
                Namespace::Region,
                &region.name,
            );
            for (item, domain) in region.domains.iter().enumerate() {
                let path = path.with_field("domains").with_item(item);
                self.define_unique_name(record, path, Namespace::Domain, domain);
            }
        }
    }

    fn define_service(&mut self, record: IndexedRecord<'a>, service: &Service) {
        self.define_unique_name(
            record,
            ValuePath::field("name"),
            Namespace::Service,
            &record.1.name,
        );
        for (index, upstream) in service.upstreams.iter().enumerate() {
            let path = ValuePath::field("upstreams").with_item(index);
            self.define_unique_name(
                record,
                path.with_field("name"),
                Namespace::Upstream,
                &upstream.name,
            );
            if let Some(cold) = upstream.cold_slots.filter(|cold| *cold > upstream.slots) {
                let error = CheckError::ColdSlots { cold, slots: upstream.slots };
                self.report(record, path.with_field("cold_slots"), error);
            }
        }
    }

    fn define_organisations(&mut self, record: IndexedRecord<'a>, body: &Organisations) {
        let mut digests: BTreeMap<Digest, &str> = BTreeMap::new();
        for (index, organisation) in body.organisations.iter().enumerate() {
            let path = ValuePath::field("organisations").with_item(index);
            self.define_unique_name(
                record,
                path.with_field("name"),
                Namespace::Organisation,
                &organisation.name,
            );
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

    fn check_references(&mut self, record: IndexedRecord<'a>, body: &RecordBody) {
        match body {
            RecordBody::Service(service) => {
                for (index, upstream) in service.upstreams.iter().enumerate() {
                    let path = ValuePath::field("upstreams").with_item(index).with_field("domain");
                    self.require_defined(record, path, Namespace::Domain, &upstream.domain);
                }
            }
            RecordBody::Steering(steering) => self.check_steering(record, steering),
            RecordBody::Drain(drain) => self.check_drain(record, drain),
            RecordBody::Places(_) | RecordBody::Organisations(_) | RecordBody::Clients(_) => {}
        }
    }

    fn require_defined(
        &mut self,
        record: IndexedRecord<'a>,
        path: ValuePath,
        what: Namespace,
        name: &str,
    ) {
        if self.names.contains_key(&(what, name.into())) {
            return;
        }
        let known = self.names.keys().filter(|(known, _)| *known == what);
        let known = quoted_list(known.map(|(_, name)| &**name));
        let error =
            CheckError::UnknownReference { what: what.label().into(), name: name.into(), known };
        self.report(record, path, error);
    }

    fn check_steering(&mut self, record: IndexedRecord<'a>, steering: &Steering) {
        self.require_defined(record, ValuePath::field("name"), Namespace::Service, &record.1.name);
        let mut origins = BTreeSet::new();
        for (index, group) in steering.groups.iter().enumerate() {
            let path = ValuePath::field("groups").with_item(index);
            if !origins.insert(&group.origin) {
                self.report_duplicate(
                    record,
                    path.with_field("origin"),
                    Namespace::Origin,
                    &group.origin,
                );
            }
            let mut domains = BTreeSet::new();
            for (item, share) in group.shares.iter().enumerate() {
                let path = path.with_field("shares").with_item(item).with_field("domain");
                if !domains.insert(&share.domain) {
                    self.report_duplicate(record, path.clone(), Namespace::Domain, &share.domain);
                }
                self.require_defined(record, path, Namespace::Domain, &share.domain);
            }
            let sum: f64 = group.shares.iter().map(|share| share.weight).sum();
            if !(sum > 0.0 && sum.is_finite()) {
                let error = CheckError::Weights { sum: sum.to_string().into() };
                self.report(record, path.with_field("shares"), error);
            }
        }
    }

    fn report_duplicate(
        &mut self,
        record: IndexedRecord<'a>,
        path: ValuePath,
        what: Namespace,
        name: &str,
    ) {
        let error = CheckError::Duplicate {
            what: what.label().into(),
            name: name.into(),
            other: "the same list".into(),
        };
        self.report(record, path, error);
    }

    fn check_drain(&mut self, record: IndexedRecord<'a>, drain: &Drain) {
        let what = match drain.target {
            DrainTargetKind::Upstream => Namespace::Upstream,
            DrainTargetKind::Domain => Namespace::Domain,
        };
        // The record of an ended drain stays after its target is removed.
        if drain.active {
            self.require_defined(record, ValuePath::field("name"), what, &record.1.name);
        }
    }
}
