//! Datagrams between nodes.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::clock::HybridTimestamp;
use crate::key::{BootId, DomainKey, OriginKey, ServiceKey, UpstreamKey, VmKey};

/// A datagram: who sent it, in which order, and what it says.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Envelope {
    /// The sender.
    pub from: VmKey,
    /// The sender's boot.
    pub boot: BootId,
    /// The number of the datagram within the boot, to drop repeated ones.
    pub sequence: u64,
    /// The sender's place in the time line.
    pub stamp: HybridTimestamp,
    /// What it says.
    pub message: Message,
}

/// What a datagram says.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// A sign of life to a member of the same failure domain.
    Heartbeat(Box<Heartbeat>),
    /// A new configuration revision.
    Revision(RevisionNotice),
    /// A node that has just started asks where traffic stands.
    BaselineRequest,
    /// The answer to it.
    Baseline(Baseline),
    /// Asks a member when it last heard directly of another.
    Probe(Probe),
    /// Answers a probe.
    ProbeAnswer(ProbeAnswer),
    /// What a relay knows of the members of a failure domain.
    Summary(MembershipSummary),
    /// The sender's boot has ended all of its work and will never send to an upstream again.
    BootEnded,
    /// Upstreams that the sender knows to leave.
    LeavingUpstreams(LeavingUpstreams),
}

/// What a node knows of the configuration, passed on with every sign of life.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigurationStatus {
    /// The revision that the node has in force.
    pub revision: u64,
    /// The time since the newest successful reading of the platform's head that the node knows of,
    /// in milliseconds; a time on the wire, since clocks differ between nodes.
    pub head_age_ms: u64,
}

/// Tells of a revision that the sender has just put in force.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct RevisionNotice {
    /// What the sender knows of the configuration.
    pub configuration: ConfigurationStatus,
    /// Where the sender takes remote calls, to fetch the records from.
    pub operator_address: SocketAddr,
}

/// Where traffic stands, for a node that has just started.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Baseline {
    /// The configuration revision that the sender has in force.
    pub revision: u64,
    /// The shares that differ from the records'.
    pub moved: Vec<GroupShares>,
}

/// Where the traffic of an origin group stands, while it differs from the record.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct GroupShares {
    /// The service.
    pub service: ServiceKey,
    /// The origin group of the record.
    pub group: OriginKey,
    /// The shares by failure domain.
    pub shares: Vec<DomainShare>,
}

/// The share of a failure domain, and on which way it came there.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct DomainShare {
    /// The failure domain.
    pub domain: DomainKey,
    /// The share now.
    pub now: f64,
    /// The share one window ago.
    pub one_window_ago: f64,
    /// The share two windows ago.
    pub two_windows_ago: f64,
}

/// A sign of life.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// When it was sent, in milliseconds by the sender's clock; comes back in the acknowledgement.
    pub sent_at_ms: u64,
    /// The sender's name and addresses, until the receiver has acknowledged them.
    pub descriptor: Option<MemberDescriptor>,
    /// What the sender knows of the configuration.
    pub configuration: ConfigurationStatus,
    /// The sender's load by service.
    pub loads: Vec<ServiceLoad>,
    /// The digest of the sender's roster: the members of its failure domain and their boots.
    pub roster_digest: u64,
    /// What the sender does about its right to whole upstreams.
    pub claim: LeaseClaim,
    /// The longest deadline by which the sender admits and promises, in milliseconds.
    pub longest_deadline_ms: u64,
    /// Acknowledges the last heartbeat of the receiver that the sender has.
    pub acknowledgement: Option<Acknowledgement>,
}

/// What the sender of a heartbeat does about its right to whole upstreams.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum LeaseClaim {
    /// It asks for the right; an acknowledgement grants it.
    Requested,
    /// It has given the right up, but has more in flight at some upstream than its part.
    Releasing,
    /// It has given the right up and has no more in flight anywhere than its part. Promises made to
    /// it are void, and so are all grants for earlier heartbeats.
    Released,
}

/// Says which heartbeat of the receiver was the last to arrive, and grants what that one claims.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Acknowledgement {
    /// The boot that sent the heartbeat.
    pub boot: BootId,
    /// When that boot sent it, by its own clock.
    pub sent_at_ms: u64,
    /// Whether the card that is known says that its member is leaving; none if no card is known.
    pub descriptor_leaving: Option<bool>,
    /// What the granter still has in flight at the receiver's upstreams.
    pub in_flight: Vec<UpstreamInFlight>,
    /// Whether the granter's boot is so young that the one before may have left requests running.
    pub predecessor_may_run: bool,
    /// Whether the receiver surely has no earlier boot that may have left requests running.
    pub receiver_has_no_predecessor: bool,
}

/// The requests in flight at an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamInFlight {
    /// The upstream.
    pub upstream: UpstreamKey,
    /// Their number.
    pub in_flight: u32,
}

/// Asks a member when it last heard directly of another.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Probe {
    /// The member that the sender has not heard of for a while.
    pub member: VmKey,
}

/// Answers a probe.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProbeAnswer {
    /// The member that was asked about.
    pub member: VmKey,
    /// Its boot.
    pub boot: BootId,
    /// How long ago it was heard of directly, in milliseconds; a time on the wire, since clocks
    /// differ.
    pub age_ms: u64,
}

/// What a relay knows of the members of a failure domain.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MembershipSummary {
    /// The failure domain.
    pub domain: DomainKey,
    /// Whether the receiver is to pass it on inside its own failure domain.
    pub forward_in_domain: bool,
    /// The members.
    pub members: Vec<MemberSummary>,
}

/// What a relay knows of one member.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberSummary {
    /// The member.
    pub vm: VmKey,
    /// Its boot.
    pub boot: BootId,
    /// How long ago it was heard of, in milliseconds; a time on the wire, since clocks differ.
    pub age_ms: u64,
    /// The configuration revision that it has in force.
    pub revision: u64,
    /// Whether it is about to stop.
    pub leaving: bool,
    /// Its load by service.
    pub loads: Vec<ServiceLoad>,
    /// Its name and addresses; not in every summary.
    pub descriptor: Option<MemberDescriptor>,
}

/// What others need to know to reach a node.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberDescriptor {
    /// The VM's name.
    pub name: Box<str>,
    /// Its failure domain.
    pub domain: DomainKey,
    /// Where it takes callers' requests.
    pub caller_address: SocketAddr,
    /// Where it takes frames and datagrams of peers.
    pub peer_address: SocketAddr,
    /// Where it takes remote calls of operators and peers.
    pub operator_address: SocketAddr,
    /// Whether it is about to stop and takes no new work.
    pub leaving: bool,
}

/// What an owner has left of a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceLoad {
    /// The service.
    pub service: ServiceKey,
    /// The slots of the upstreams that the node may use.
    pub slots: u32,
    /// Those taken.
    pub in_flight: u32,
}

/// Upstreams that are about to leave.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeavingUpstreams {
    /// The upstreams, at most [`Self::MAX_UPSTREAMS`].
    pub upstreams: Vec<LeavingUpstream>,
}

impl LeavingUpstreams {
    /// The most upstreams that one datagram names.
    pub const MAX_UPSTREAMS: usize = 100;
}

/// An upstream that is about to leave.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeavingUpstream {
    /// The upstream.
    pub upstream: UpstreamKey,
    /// How long this is still to be remembered, in milliseconds; a time on the wire, since clocks
    /// differ.
    pub remaining_ms: u64,
}
