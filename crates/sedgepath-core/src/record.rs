//! Configuration records and their schemas.
//!
//! A record is stored and relayed as the text that was accepted. Each node parses the kinds and
//! schemas that it knows. A record that a node can't parse is still relayed, unchanged; the node
//! rejects requests only for the service that the record configures.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

pub mod check;
pub mod fields;

/// The newest schema that this version reads.
pub const NEWEST_SCHEMA: u32 = 2;

/// An unparsed record: its schema, kind and name, and its body as JSON text.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RawRecord {
    /// The schema that the body follows.
    pub schema: u32,
    /// The name of a [`RecordBody`] variant in lower case.
    pub kind: Box<str>,
    /// The record's name, unique within its kind.
    pub name: Box<str>,
    /// The JSON text of the body, as accepted.
    pub body: Box<str>,
}

/// The parsed body of a record, by kind.
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

/// Why the body of a record could not be parsed.
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
    /// The body does not match the schema of its kind.
    #[error("the body of a {kind} record does not follow its schema")]
    Malformed {
        /// The record's kind.
        kind: Box<str>,
        /// The parser's error.
        #[source]
        source: serde_json::Error,
    },
}

impl RawRecord {
    /// Parses the body by the record's kind.
    ///
    /// # Errors
    ///
    /// Returns an error if the kind or the schema is unknown or the body does not match the kind.
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

/// The body of the `places` record: the regions and their failure domains.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Places {
    /// All regions of the deployment.
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

/// The body of a `service` record.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// The longest deadline that a request may carry, in milliseconds.
    pub longest_deadline_ms: u64,
    /// Whether requests must carry an idempotency key or a ticket.
    #[serde(default)]
    pub once_only: bool,
    /// The upstreams that serve the service.
    pub upstreams: Vec<Upstream>,
}

/// An upstream of a service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Upstream {
    /// The upstream's name, unique over all services.
    pub name: Box<str>,
    /// The name of the failure domain that the upstream is in.
    pub domain: Box<str>,
    /// The address that requests are sent to.
    pub address: SocketAddr,
    /// The maximum number of concurrent requests.
    pub slots: u32,
    /// The maximum number of open connections.
    #[serde(default = "default_connections")]
    pub connections: u32,
    /// The maximum number of new connections per second.
    #[serde(default = "default_new_connections_per_s")]
    pub new_connections_per_s: u32,
    /// The maximum number of concurrent requests while the upstream is cold; rises to `slots` over
    /// `warm_up_ms`.
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

/// The body of a `steering` record: how traffic is split, and how fast the split may change.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Steering {
    /// The shares by origin group; the group `any` applies to callers of all other groups.
    pub groups: Vec<OriginGroup>,
    /// The maximum traffic that a shift may move.
    pub cap: TrafficCap,
    /// The maximum traffic that a failover may move; defaults to `cap`. Since schema 2.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub failover_cap: Option<TrafficCap>,
    /// The delay in milliseconds before an idempotent request may also be sent to a second
    /// upstream. Since schema 2. Accepted but not used: hedging is not implemented.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub hedge_after_ms: Option<u64>,
}

/// How the traffic of an origin group is split among failure domains.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OriginGroup {
    /// The origin group's name.
    pub origin: Box<str>,
    /// The weights of the failure domains.
    pub shares: Vec<DomainShare>,
}

/// The weight of a failure domain.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DomainShare {
    /// The failure domain's name.
    pub domain: Box<str>,
    /// The weight relative to the other domains of the group.
    pub weight: f64,
}

/// A limit on the share of traffic that moves within any window of a given length.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TrafficCap {
    /// The maximum traffic that may move within a window, in percent.
    pub percent: f64,
    /// The length of the window in milliseconds.
    pub window_ms: u64,
}

/// The body of the `organisations` record: the admitted organisations.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Organisations {
    /// The admitted organisations, each with its plan and keys.
    pub organisations: Vec<Organisation>,
}

/// An organisation whose members or partners send requests.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Organisation {
    /// The organisation's name.
    pub name: Box<str>,
    /// The plan, which decides the class of the organisation's requests.
    pub plan: Plan,
    /// The digests of the organisation's keys, 32 hexadecimal digits each; see `sedgepath key`.
    pub key_digests: Vec<Box<str>>,
}

/// The payment plan of an organisation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Plan {
    /// A paid plan.
    Paying,
    /// A free trial.
    Trial,
}

/// The body of a `clients` record: which client addresses belong to which origin group.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Clients {
    /// The blocks of client addresses.
    pub blocks: Vec<ClientBlock>,
}

/// A block of client addresses.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClientBlock {
    /// The block in CIDR notation, such as `192.0.2.0/24`.
    pub block: Box<str>,
    /// The name of the block's origin group.
    pub origin: Box<str>,
}

/// The body of a `drain` record.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Drain {
    /// The type of the drained target; the record's name is the target's name.
    pub target: DrainTargetKind,
    /// Whether the drain is in force; a record with `false` ends it.
    pub active: bool,
}

/// The type of target that a drain takes out of service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DrainTargetKind {
    /// One upstream.
    Upstream,
    /// All upstreams of a failure domain.
    Domain,
}
