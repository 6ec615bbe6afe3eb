//! Validates all records as they would be after a change: unique names and keys, references, cold
//! slots and weights.

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

    /// Returns the key that messages carry for a name.
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

/// A record with its index in the change, or with `None` if it is in force and not in the change.
pub(super) type IndexedRecord<'a> = (Option<usize>, &'a RawRecord);

/// All records as they would be after a change, or as they are before it.
pub(super) struct RecordSet<'a> {
    bodies: Vec<(IndexedRecord<'a>, RecordBody)>,
    names: BTreeMap<(Namespace, Box<str>), &'a RawRecord>,
    keys: BTreeMap<(Namespace, u32), Box<str>>,
    problems: Vec<Problem>,
}

impl<'a> RecordSet<'a> {
    pub(super) fn new(records: &[IndexedRecord<'a>]) -> Self {
        // Unparsable records are reported by `check_records`, or have a newer schema.
        let bodies = records.iter().filter_map(|record| {
            let body = record.1.parse().ok()?;
            Some((*record, body))
        });
        Self {
            bodies: bodies.collect(),
            names: BTreeMap::new(),
            keys: BTreeMap::new(),
            problems: Vec::new(),
        }
    }

    /// Registers all names, then checks references and the rules that involve several values.
    pub(super) fn check(mut self) -> Vec<Problem> {
        let bodies = std::mem::take(&mut self.bodies);
        for (record, body) in &bodies {
            self.register_names(*record, body);
        }
        for (record, body) in &bodies {
            self.check_body(*record, body);
        }
        self.problems
    }

    fn report(&mut self, record: IndexedRecord<'a>, path: ValuePath, error: CheckError) {
        self.problems.push(problem(record.1, record.0, path, error));
    }

    fn register_names(&mut self, record: IndexedRecord<'a>, body: &RecordBody) {
        match body {
            RecordBody::Places(places) => self.register_places(record, places),
            RecordBody::Service(service) => self.register_service(record, service),
            RecordBody::Organisations(body) => self.register_organisations(record, body),
            RecordBody::Steering(steering) => {
                for (index, group) in steering.groups.iter().enumerate() {
                    let path = ValuePath::field("groups").with_item(index).with_field("origin");
                    self.register_key(record, path, Namespace::Origin, &group.origin);
                }
            }
            RecordBody::Clients(clients) => {
                for (index, block) in clients.blocks.iter().enumerate() {
                    let path = ValuePath::field("blocks").with_item(index).with_field("origin");
                    self.register_key(record, path, Namespace::Origin, &block.origin);
                }
            }
            RecordBody::Drain(_) => {}
        }
    }

    /// Registers a name that must be unique.
    fn register_unique_name(
        &mut self,
        record: IndexedRecord<'a>,
        path: ValuePath,
        namespace: Namespace,
        name: &str,
    ) {
        if let Some(other) = self.names.insert((namespace, name.into()), record.1) {
            let error = CheckError::Duplicate {
                what: namespace.label().into(),
                name: name.into(),
                other: format!("{} `{}`", other.kind, other.name).into(),
            };
            self.report(record, path, error);
            return;
        }
        self.register_key(record, path, namespace, name);
    }

    /// Registers the key of a name, and reports a collision with the key of another name.
    ///
    /// Messages carry keys instead of names, so a collision would misroute traffic.
    fn register_key(
        &mut self,
        record: IndexedRecord<'a>,
        path: ValuePath,
        namespace: Namespace,
        name: &str,
    ) {
        let registered_name =
            self.keys.entry((namespace, namespace.key(name))).or_insert_with(|| name.into());
        if &**registered_name != name {
            let error = CheckError::Collision {
                what: namespace.label().into(),
                name: name.into(),
                other: registered_name.clone(),
            };
            self.report(record, path, error);
        }
    }

    fn register_places(&mut self, record: IndexedRecord<'a>, places: &Places) {
        for (index, region) in places.regions.iter().enumerate() {
            let path = ValuePath::field("regions").with_item(index);
            self.register_unique_name(
                record,
                path.with_field("name"),
                Namespace::Region,
                &region.name,
            );
            for (domain_index, domain) in region.domains.iter().enumerate() {
                let path = path.with_field("domains").with_item(domain_index);
                self.register_unique_name(record, path, Namespace::Domain, domain);
            }
        }
    }

    /// Registers the names of a service and its upstreams, and checks their cold slots.
    fn register_service(&mut self, record: IndexedRecord<'a>, service: &Service) {
        self.register_unique_name(
            record,
            ValuePath::field("name"),
            Namespace::Service,
            &record.1.name,
        );
        for (index, upstream) in service.upstreams.iter().enumerate() {
            let path = ValuePath::field("upstreams").with_item(index);
            self.register_unique_name(
                record,
                path.with_field("name"),
                Namespace::Upstream,
                &upstream.name,
            );
            if let Some(cold_slots) = upstream.cold_slots.filter(|cold| *cold > upstream.slots) {
                let error = CheckError::ColdSlots { cold: cold_slots, slots: upstream.slots };
                self.report(record, path.with_field("cold_slots"), error);
            }
        }
    }

    /// Registers the names of organisations, and checks that no key digest is listed twice.
    fn register_organisations(&mut self, record: IndexedRecord<'a>, body: &Organisations) {
        let mut digests: BTreeMap<Digest, &str> = BTreeMap::new();
        for (index, organisation) in body.organisations.iter().enumerate() {
            let path = ValuePath::field("organisations").with_item(index);
            self.register_unique_name(
                record,
                path.with_field("name"),
                Namespace::Organisation,
                &organisation.name,
            );
            for (digest_index, hex) in organisation.key_digests.iter().enumerate() {
                let Some(digest) = Digest::from_hex(hex) else { continue };
                if let Some(other) = digests.insert(digest, &organisation.name) {
                    let error = CheckError::Duplicate {
                        what: "key digest".into(),
                        name: hex.clone(),
                        other: format!("organisation `{other}`").into(),
                    };
                    let path = path.with_field("key_digests").with_item(digest_index);
                    self.report(record, path, error);
                }
            }
        }
    }

    fn check_body(&mut self, record: IndexedRecord<'a>, body: &RecordBody) {
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

    /// Reports a reference to a name that no record defines.
    fn require_defined(
        &mut self,
        record: IndexedRecord<'a>,
        path: ValuePath,
        namespace: Namespace,
        name: &str,
    ) {
        if self.names.contains_key(&(namespace, name.into())) {
            return;
        }
        let registered = self.names.keys().filter(|(other, _)| *other == namespace);
        let known_names = quoted_list(registered.map(|(_, name)| &**name));
        let error = CheckError::UnknownReference {
            what: namespace.label().into(),
            name: name.into(),
            known: known_names,
        };
        self.report(record, path, error);
    }

    /// Checks the references of a steering record, its duplicates and the sum of its weights.
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
            for (share_index, share) in group.shares.iter().enumerate() {
                let path = path.with_field("shares").with_item(share_index).with_field("domain");
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

    /// Reports a name that a list contains more than once.
    fn report_duplicate(
        &mut self,
        record: IndexedRecord<'a>,
        path: ValuePath,
        namespace: Namespace,
        name: &str,
    ) {
        let error = CheckError::Duplicate {
            what: namespace.label().into(),
            name: name.into(),
            other: "the same list".into(),
        };
        self.report(record, path, error);
    }

    fn check_drain(&mut self, record: IndexedRecord<'a>, drain: &Drain) {
        let namespace = match drain.target {
            DrainTargetKind::Upstream => Namespace::Upstream,
            DrainTargetKind::Domain => Namespace::Domain,
        };
        // An ended drain may refer to a target that no longer exists.
        if drain.active {
            self.require_defined(record, ValuePath::field("name"), namespace, &record.1.name);
        }
    }
}
