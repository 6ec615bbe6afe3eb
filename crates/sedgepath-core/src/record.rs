//! Records that operators write, in their schemas.
//!
//! A record is kept and relayed as the text it was accepted with. Each node reads the kinds and
//! schemas that it knows; one that it does not know stays in force elsewhere and is passed on
//! unchanged, and only what it concerns is refused on this node.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

pub mod check;
pub mod fields;

/// The newest schema that this version reads.
pub const NEWEST_SCHEMA: u32 = 2;

/// A record as accepted: its heading, and its body as JSON text.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RawRecord {
    /// The schema that the body follows.
    pub schema: u32,
    /// What the record is about; see [`RecordBody`].
    pub kind: Box<str>,
    /// The record's name, unique within its kind.
    pub name: Box<str>,
    /// The body as JSON text.
    pub body: Box<str>,
}

/// The body of a record, by kind.
#[derive(Debug, Clone, PartialEq)]
pub enum RecordBody {
    /// Kind `places`.
    Places(Places),
    /// Kind `service`; the record's name is the service's.
    Service(Service),
    /// Kind `steering`; the record's name is the service's.
    Steering(Steering),
    /// Kind `organisations`.
    Organisations(Organisations),
    /// Kind `clients`.
    Clients(Clients),
    /// Kind `drain`; the record's name is the upstream's or the failure domain's.
    Drain(Drain),
}

/// Why the body of a record could not be read.
#[derive(Debug, thiserror::Error)]
pub enum RecordError {
    /// The schema is not known to this version.
    #[error("schema {schema} of kind {kind} is not known to this version")]
    UnknownSchema {
        /// The record's schema.
        schema: u32,
        /// The record's kind.
        kind: Box<str>,
    },
    /// The kind is not known to this version.
    #[error("records of kind {kind} are not known to this version")]
    UnknownKind {
        /// The record's kind.
        kind: Box<str>,
    },
    /// The body does not have the shape that its kind and schema ask for.
    #[error("the body of a {kind} record does not follow its schema")]
    Malformed {
        /// The record's kind.
        kind: Box<str>,
        /// What the parser found.
        #[source]
        source: serde_json::Error,
    },
}

impl RawRecord {
    /// Reads the body.
    ///
    /// # Errors
    ///
    /// Fails if the kind or the schema is unknown, or the body does not follow it.
    pub fn parse(&self) -> Result<RecordBody, RecordError> {
        if self.schema == 0 || self.schema > NEWEST_SCHEMA {
            return Err(RecordError::UnknownSchema {
                schema: self.schema,
                kind: self.kind.clone(),
            });
        }
        let body = match &*self.kind {
            "places" => serde_json::from_str(&self.body).map(RecordBody::Places),
            "service" => serde_json::from_str(&self.body).map(RecordBody::Service),
            "steering" => serde_json::from_str(&self.body).map(RecordBody::Steering),
            "organisations" => serde_json::from_str(&self.body).map(RecordBody::Organisations),
            "clients" => serde_json::from_str(&self.body).map(RecordBody::Clients),
            "drain" => serde_json::from_str(&self.body).map(RecordBody::Drain),
            _ => {
                return Err(RecordError::UnknownKind { kind: self.kind.clone() });
            }
        };
        body.map_err(|source| RecordError::Malformed { kind: self.kind.clone(), source })
    }
}

/// The regions and their failure domains.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Places {
    /// The regions.
    pub regions: Vec<Region>,
}

/// A region and its failure domains.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Region {
    /// The region's name.
    pub name: Box<str>,
    /// The names of its failure domains.
    pub domains: Vec<Box<str>>,
}

/// A service and its upstreams.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// The longest deadline that a request may carry, in milliseconds.
    pub longest_deadline_ms: u64,
    /// Whether requests must carry an idempotency key or a ticket.
    #[serde(default)]
    pub once_only: bool,
    /// The upstreams.
    pub upstreams: Vec<Upstream>,
}

/// An upstream of a service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Upstream {
    /// The upstream's name, unique over all services.
    pub name: Box<str>,
    /// The failure domain it is in.
    pub domain: Box<str>,
    /// Its address.
    pub address: SocketAddr,
    /// The most requests it runs at once.
    pub slots: u32,
    /// The most connections it takes.
    #[serde(default = "default_connections")]
    pub connections: u32,
    /// The most new connections it takes in a second.
    #[serde(default = "default_new_connections_per_s")]
    pub new_connections_per_s: u32,
    /// The slots it may use when cold; they rise to `slots` over `warm_up_ms`.
    #[serde(default)]
    pub cold_slots: Option<u32>,
    /// The time in milliseconds over which a cold upstream warms up.
    #[serde(default)]
    pub warm_up_ms: u64,
}

fn default_connections() -> u32 {
    350
}

fn default_new_connections_per_s() -> u32 {
    100
}

/// Which callers go where, and how much any shift may move.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Steering {
    /// The shares by origin group; callers of other groups follow the group `any`.
    pub groups: Vec<Group>,
    /// The most traffic that a shift may move.
    pub cap: TrafficCap,
    /// The most that a failover may move; `cap` holds where it is absent. Since schema 2.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub failover_cap: Option<TrafficCap>,
    /// After which time in milliseconds an idempotent request may also be sent to a second upstream.
    /// Since schema 2. No request is: in the experiment of policies it made nothing better.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub hedge_after_ms: Option<u64>,
}

/// Where the callers of an origin group go.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Group {
    /// The origin group's name.
    pub origin: Box<str>,
    /// The weight of each failure domain.
    pub shares: Vec<Share>,
}

/// The weight of a failure domain.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Share {
    /// The failure domain's name.
    pub domain: Box<str>,
    /// Its weight against the others of the group.
    pub weight: f64,
}

/// In any window, at most a share of the traffic moves.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TrafficCap {
    /// The most traffic that moves, in percent.
    pub percent: f64,
    /// The length of the window in milliseconds.
    pub window_ms: u64,
}

/// The organisations that are admitted.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Organisations {
    /// The organisations.
    pub organisations: Vec<Organisation>,
}

/// An organisation whose members or partners call.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Organisation {
    /// The organisation's name.
    pub name: Box<str>,
    /// What it pays.
    pub plan: Plan,
    /// The digests of its keys, as 32 hexadecimal digits each; see `sedgepath key`.
    pub key_digests: Vec<Box<str>>,
}

/// Whether an organisation pays.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Plan {
    /// It pays.
    Paying,
    /// It is on a free trial.
    Trial,
}

/// The blocks of clients of each origin group.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Clients {
    /// The blocks.
    pub blocks: Vec<Block>,
}

/// A block of client addresses.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Block {
    /// The block in the form `192.0.2.0/24`.
    pub block: Box<str>,
    /// The name of its origin group.
    pub origin: Box<str>,
}

/// A planned drain.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Drain {
    /// What is drained.
    pub target: DrainTargetKind,
    /// Whether the drain is in force; a record with `false` ends it.
    pub active: bool,
}

/// What a drain takes out of service; the record's name names it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DrainTargetKind {
    /// One upstream.
    Upstream,
    /// All upstreams of a failure domain.
    Domain,
}
