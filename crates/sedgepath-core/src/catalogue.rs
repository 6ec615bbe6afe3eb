//! Lookup tables built from the records of one configuration revision.

use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;

use crate::blocks::{BlockTable, Cidr};
use crate::hash::{Digest, Map, Set};
use crate::key::{DomainKey, OrganisationKey, OriginKey, RegionKey, ServiceKey, UpstreamKey};
use crate::record::{self, DrainTargetKind, Plan, RawRecord, RecordBody, RecordError, TrafficCap};
use crate::request::Class;

/// The origin group whose shares apply to callers of groups that have no shares of their own.
pub const ANY_ORIGIN: &str = "any";

/// A configured failure domain.
#[derive(Debug, Clone)]
pub struct DomainEntry {
    /// The name from the `places` record.
    pub name: Box<str>,
    /// The region that contains the domain.
    pub region: RegionKey,
    /// Whether an active drain targets the domain.
    pub draining: bool,
}

/// A configured upstream.
#[derive(Debug, Clone)]
pub struct UpstreamEntry {
    /// The name, unique over all services.
    pub name: Box<str>,
    /// The service that the upstream belongs to.
    pub service: ServiceKey,
    /// The failure domain that the upstream is in.
    pub domain: DomainKey,
    /// The address that requests are sent to.
    pub address: SocketAddr,
    /// The maximum number of concurrent requests.
    pub slots: u32,
    /// The maximum number of open connections.
    pub connections: u32,
    /// The maximum number of new connections per second.
    pub new_connections_per_s: u32,
    /// The maximum number of concurrent requests while the upstream is cold.
    pub cold_slots: u32,
    /// The time in milliseconds over which the limit rises from `cold_slots` to `slots`.
    pub warm_up_ms: u64,
    /// Whether an active drain targets the upstream itself.
    pub draining: bool,
}

/// The shares and caps of a service.
#[derive(Debug, Clone)]
pub struct SteeringEntry {
    /// The schema of the record.
    pub schema: u32,
    /// The weights by origin group, normalized to a sum of 1 and sorted by domain key.
    pub shares: Map<OriginKey, Vec<(DomainKey, f64)>>,
    /// The maximum traffic that a shift may move.
    pub cap: TrafficCap,
    /// The maximum traffic that a failover may move.
    pub failover_cap: TrafficCap,
    /// The delay in milliseconds before an idempotent request may be hedged. Hedging is not
    /// implemented.
    pub hedge_after_ms: Option<u64>,
}

/// A configured service.
#[derive(Debug, Clone)]
pub struct ServiceEntry {
    /// The name of the `service` record.
    pub name: Box<str>,
    /// The longest deadline that a request may carry, in milliseconds.
    pub longest_deadline_ms: u64,
    /// Whether requests must carry an idempotency key or a ticket.
    pub once_only: bool,
    /// The service's upstreams, sorted by key.
    pub upstreams: Vec<UpstreamKey>,
    /// The shares and caps; `None` if the service has no steering record.
    pub steering: Option<SteeringEntry>,
}

/// A configured organisation.
#[derive(Debug, Clone)]
pub struct OrganisationEntry {
    /// The name from the `organisations` record.
    pub name: Box<str>,
    /// The plan, which determines the class of the organisation's requests.
    pub plan: Plan,
}

/// A record that this version can't parse.
#[derive(Debug, Clone)]
pub struct UnreadableRecord {
    /// The record's kind.
    pub kind: Box<str>,
    /// The record's name.
    pub name: Box<str>,
    /// Why the record could not be parsed.
    pub error: Arc<RecordError>,
}

/// The tables of one configuration revision.
#[derive(Debug, Default)]
pub struct Catalogue {
    /// The names of the regions.
    pub regions: Map<RegionKey, Box<str>>,
    /// The failure domains of all regions.
    pub domains: Map<DomainKey, DomainEntry>,
    /// The services, each with its steering entry.
    pub services: Map<ServiceKey, ServiceEntry>,
    /// The upstreams of all services.
    pub upstreams: Map<UpstreamKey, UpstreamEntry>,
    /// The admitted organisations.
    pub organisations: Map<OrganisationKey, OrganisationEntry>,
    /// The names of the origin groups.
    pub origins: Map<OriginKey, Box<str>>,
    /// Services with a service or steering record that can't be parsed. This node rejects their
    /// requests.
    pub rejected_services: Set<ServiceKey>,
    /// The records that could not be parsed.
    pub unreadable_records: Vec<UnreadableRecord>,
    keys: Map<Digest, OrganisationKey>,
    blocks: Arc<BlockTable>,
}

impl Catalogue {
    /// Builds the tables from all records of a revision.
    ///
    /// Records that can't be parsed are listed in [`Self::unreadable_records`]; the others still
    /// apply.
    pub fn new<'a>(records: impl IntoIterator<Item = &'a RawRecord>) -> Self {
        let mut blocks = Vec::new();
        let mut catalogue = Self::default();
        catalogue.add_records(records, |catalogue, clients| {
            catalogue.add_blocks(clients, &mut blocks);
        });
        catalogue.blocks = Arc::new(BlockTable::new(blocks));
        catalogue
    }

    /// Builds the tables of a revision that has the same `clients` records as `previous`.
    ///
    /// Client blocks make up most of the records' text. Reusing the parsed block table shortens the
    /// time for which a change blocks the node's thread, and thus look-ups.
    pub fn with_client_blocks_of<'a>(
        records: impl IntoIterator<Item = &'a RawRecord>,
        previous: &Self,
    ) -> Self {
        let mut catalogue = Self { blocks: Arc::clone(&previous.blocks), ..Self::default() };
        catalogue.origins.clone_from(&previous.origins);
        let other_records = records.into_iter().filter(|raw| &*raw.kind != "clients");
        catalogue.add_records(other_records, |_, _| {});
        let unreadable =
            previous.unreadable_records.iter().filter(|record| &*record.kind == "clients");
        catalogue.unreadable_records.extend(unreadable.cloned());
        catalogue
    }

    fn add_records<'a>(
        &mut self,
        records: impl IntoIterator<Item = &'a RawRecord>,
        mut add_blocks: impl FnMut(&mut Self, &record::Clients),
    ) {
        let catalogue = self;
        let mut steering = Vec::new();
        let mut drains = Vec::new();
        for raw in records {
            match raw.parse() {
                Ok(RecordBody::Places(places)) => catalogue.add_places(&places),
                Ok(RecordBody::Service(service)) => catalogue.add_service(&raw.name, &service),
                Ok(RecordBody::Organisations(record)) => catalogue.add_organisations(&record),
                Ok(RecordBody::Clients(clients)) => add_blocks(catalogue, &clients),
                Ok(RecordBody::Steering(body)) => steering.push((raw, body)),
                Ok(RecordBody::Drain(drain)) => drains.push((raw, drain)),
                Err(error) => catalogue.add_unreadable(raw, error),
            }
        }
        for (raw, body) in &steering {
            catalogue.add_steering(raw, body);
        }
        for (raw, drain) in drains.iter().filter(|(_, drain)| drain.active) {
            catalogue.add_drain(&raw.name, drain.target);
        }
        for service in catalogue.services.values_mut() {
            service.upstreams.sort_unstable();
        }
    }

    /// Returns the origin group of a caller's address, or [`ANY_ORIGIN`] if no block contains it.
    pub fn origin_of_address(&self, address: IpAddr) -> OriginKey {
        self.blocks.origin(address).unwrap_or_else(|| OriginKey::of(ANY_ORIGIN))
    }

    /// Returns the organisation that a key belongs to, given the key's digest.
    pub fn organisation_of_key(&self, key_digest: Digest) -> Option<OrganisationKey> {
        self.keys.get(&key_digest).copied()
    }

    /// Returns the class of a caller, given the digest of its organisation's key.
    ///
    /// A caller without a key is a guest. Returns `None` for an unknown key.
    pub fn class_of_key(&self, key_digest: Option<Digest>) -> Option<Class> {
        let Some(key_digest) = key_digest else {
            return Some(Class::Guest);
        };
        match self.organisations.get(&self.organisation_of_key(key_digest)?)?.plan {
            Plan::Paying => Some(Class::Paying),
            Plan::Trial => Some(Class::Trial),
        }
    }

    /// Returns the shares of a service for callers of an origin group, or else those of
    /// [`ANY_ORIGIN`].
    pub fn shares(&self, service: ServiceKey, origin: OriginKey) -> Option<&[(DomainKey, f64)]> {
        let steering = self.services.get(&service)?.steering.as_ref()?;
        let shares = steering.shares.get(&origin);
        shares.or_else(|| steering.shares.get(&OriginKey::of(ANY_ORIGIN))).map(Vec::as_slice)
    }

    /// Returns whether the upstream or its failure domain is being drained. True for an unknown
    /// upstream.
    pub fn is_draining(&self, upstream: UpstreamKey) -> bool {
        self.upstreams.get(&upstream).is_none_or(|entry| {
            entry.draining || self.domains.get(&entry.domain).is_some_and(|domain| domain.draining)
        })
    }

    /// Returns whether a drain targets the upstream itself.
    ///
    /// Such an upstream gets no new requests, while a draining domain keeps serving the traffic
    /// that the cap does not allow to move yet.
    pub fn has_own_drain(&self, upstream: UpstreamKey) -> bool {
        self.upstreams.get(&upstream).is_some_and(|entry| entry.draining)
    }

    fn add_places(&mut self, places: &record::Places) {
        for region in &places.regions {
            let region_key = RegionKey::of(&region.name);
            self.regions.insert(region_key, region.name.clone());
            for name in &region.domains {
                let entry = DomainEntry { name: name.clone(), region: region_key, draining: false };
                self.domains.insert(DomainKey::of(name), entry);
            }
        }
    }

    fn add_service(&mut self, name: &str, record: &record::Service) {
        let service = ServiceKey::of(name);
        let mut upstreams = Vec::with_capacity(record.upstreams.len());
        for upstream in &record.upstreams {
            let key = UpstreamKey::of(&upstream.name);
            upstreams.push(key);
            let entry = UpstreamEntry {
                name: upstream.name.clone(),
                service,
                domain: DomainKey::of(&upstream.domain),
                address: upstream.address,
                slots: upstream.slots,
                connections: upstream.connections,
                new_connections_per_s: upstream.new_connections_per_s,
                cold_slots: upstream.cold_slots.unwrap_or(upstream.slots),
                warm_up_ms: upstream.warm_up_ms,
                draining: false,
            };
            self.upstreams.insert(key, entry);
        }
        let entry = ServiceEntry {
            name: name.into(),
            longest_deadline_ms: record.longest_deadline_ms,
            once_only: record.once_only,
            upstreams,
            steering: None,
        };
        self.services.insert(service, entry);
    }

    fn add_steering(&mut self, raw: &RawRecord, record: &record::Steering) {
        let mut shares = Map::default();
        for group in &record.groups {
            let origin = OriginKey::of(&group.origin);
            self.origins.insert(origin, group.origin.clone());
            shares.insert(origin, normalize_shares(&group.shares));
        }
        if let Some(service) = self.services.get_mut(&ServiceKey::of(&raw.name)) {
            service.steering = Some(SteeringEntry {
                schema: raw.schema,
                shares,
                cap: record.cap,
                failover_cap: record.failover_cap.unwrap_or(record.cap),
                hedge_after_ms: record.hedge_after_ms,
            });
        }
    }

    fn add_organisations(&mut self, record: &record::Organisations) {
        for organisation in &record.organisations {
            let key = OrganisationKey::of(&organisation.name);
            let entry =
                OrganisationEntry { name: organisation.name.clone(), plan: organisation.plan };
            self.organisations.insert(key, entry);
            for digest in organisation.key_digests.iter().filter_map(|hex| Digest::from_hex(hex)) {
                self.keys.insert(digest, key);
            }
        }
    }

    fn add_blocks(&mut self, clients: &record::Clients, blocks: &mut Vec<(Cidr, OriginKey)>) {
        for block in &clients.blocks {
            let origin = OriginKey::of(&block.origin);
            self.origins.entry(origin).or_insert_with(|| block.origin.clone());
            if let Ok(cidr) = Cidr::parse(&block.block) {
                blocks.push((cidr, origin));
            }
        }
    }

    fn add_drain(&mut self, name: &str, target: DrainTargetKind) {
        match target {
            DrainTargetKind::Upstream => {
                if let Some(upstream) = self.upstreams.get_mut(&UpstreamKey::of(name)) {
                    upstream.draining = true;
                }
            }
            DrainTargetKind::Domain => {
                if let Some(domain) = self.domains.get_mut(&DomainKey::of(name)) {
                    domain.draining = true;
                }
            }
        }
    }

    /// Lists an unreadable record and rejects the service that it configures.
    ///
    /// Serving without the record could route callers to destinations that it rules out.
    fn add_unreadable(&mut self, raw: &RawRecord, error: RecordError) {
        if matches!(&*raw.kind, "service" | "steering") {
            self.rejected_services.insert(ServiceKey::of(&raw.name));
        }
        self.unreadable_records.push(UnreadableRecord {
            kind: raw.kind.clone(),
            name: raw.name.clone(),
            error: Arc::new(error),
        });
    }
}

fn normalize_shares(shares: &[record::DomainShare]) -> Vec<(DomainKey, f64)> {
    let sum = shares.iter().map(|share| share.weight).sum::<f64>();
    let mut weights: Vec<_> = shares
        .iter()
        .map(|share| {
            (DomainKey::of(&share.domain), if sum > 0.0 { share.weight / sum } else { 0.0 })
        })
        .collect();
    weights.sort_unstable_by_key(|weight| weight.0);
    weights
}
