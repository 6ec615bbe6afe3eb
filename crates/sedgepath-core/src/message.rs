//! The datagrams that nodes exchange.
//!
//! They are encoded with postcard, so the order of fields and variants is part of the format.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::clock::HybridTimestamp;
use crate::key::{BootId, DomainKey, OriginKey, ServiceKey, UpstreamKey, VmKey};

/// A datagram with its sender and its position in the sender's sequence.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Envelope {
    /// The sender.
    pub from: VmKey,
    /// The sender's boot.
    pub boot: BootId,
    /// The number of the datagram within the boot, used to drop duplicates.
    pub sequence: u64,
    /// The sender's hybrid timestamp.
    pub stamp: HybridTimestamp,
    /// The content.
    pub message: Message,
}

/// The content of a datagram.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// A heartbeat to a member of the same failure domain.
    Heartbeat(Box<Heartbeat>),
    /// The sender has put a new configuration revision in force.
    Revision(RevisionNotice),
    /// A node that has just started asks for the current shares.
    BaselineRequest,
    /// The answer to a baseline request.
    Baseline(Baseline),
    /// Asks a member when it last heard directly from another member.
    Probe(Probe),
    /// Answers a probe.
    ProbeAnswer(ProbeAnswer),
    /// A relay's state of the members of a failure domain.
    Summary(MembershipSummary),
    /// The sender's boot has no work left and will never send to an upstream again.
    BootEnded,
    /// Upstreams that the sender knows to be leaving.
    LeavingUpstreams(LeavingUpstreams),
}

/// A node's state of the configuration, sent with every heartbeat.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigurationStatus {
    /// The revision that the node has in force.
    pub revision: u64,
    /// The time since the last successful read of the platform's head known to the node, in
    /// milliseconds. A duration, since clocks differ between nodes.
    pub head_age_ms: u64,
}

/// A notice that the sender has just put a revision in force.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct RevisionNotice {
    /// The sender's state of the configuration.
    pub configuration: ConfigurationStatus,
    /// The sender's address for remote calls, from which the records can be fetched.
    pub operator_address: SocketAddr,
}

/// The current shares of traffic, for a node that has just started.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Baseline {
    /// The configuration revision that the sender has in force.
    pub revision: u64,
    /// The origin groups whose current shares differ from the record.
    pub moved: Vec<GroupShares>,
}

/// The current shares of an origin group for a service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct GroupShares {
    /// The service.
    pub service: ServiceKey,
    /// The origin group, as named in the steering record.
    pub group: OriginKey,
    /// The shares by failure domain.
    pub shares: Vec<DomainShare>,
}

/// The current and recent shares of a failure domain.
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

/// A heartbeat, which also carries the sender's load and its lease claim.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// When it was sent, in milliseconds by the sender's clock; returned in the acknowledgement.
    pub sent_at_ms: u64,
    /// The sender's name and addresses, sent until the receiver has acknowledged them.
    pub descriptor: Option<MemberDescriptor>,
    /// The sender's state of the configuration.
    pub configuration: ConfigurationStatus,
    /// The sender's load by service.
    pub loads: Vec<ServiceLoad>,
    /// The digest of the sender's roster: the members of its failure domain and their boots.
    pub roster_digest: u64,
    /// The state of the sender's claim to an exclusive lease of its upstreams.
    pub claim: LeaseClaim,
    /// The longest request deadline that the sender's admissions and grants assume, in milliseconds.
    pub longest_deadline_ms: u64,
    /// The acknowledgement of the receiver's last heartbeat that has arrived.
    pub acknowledgement: Option<Acknowledgement>,
}

/// The state of a node's claim to an exclusive lease of its upstreams.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum LeaseClaim {
    /// The sender asks for the lease; an acknowledgement grants it.
    Requested,
    /// The sender has given up the lease, but has more in flight at an upstream than its part.
    Releasing,
    /// The sender has given up the lease and has no more in flight at any upstream than its part.
    /// All grants to it, including those for earlier heartbeats, are void.
    Released,
}

/// Acknowledges the receiver's last heartbeat that has arrived, and grants its claim.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Acknowledgement {
    /// The boot that sent the heartbeat.
    pub boot: BootId,
    /// When that boot sent the heartbeat, in milliseconds by its own clock.
    pub sent_at_ms: u64,
    /// Whether the receiver is leaving according to its last known descriptor; `None` if none is
    /// known.
    pub descriptor_leaving: Option<bool>,
    /// The requests that the granter still has in flight at the receiver's upstreams.
    pub in_flight: Vec<UpstreamInFlight>,
    /// Whether the granter booted so recently that its previous boot may have left requests running.
    pub predecessor_may_run: bool,
    /// Whether the receiver certainly has no earlier boot that may have left requests running.
    pub receiver_has_no_predecessor: bool,
}

/// The number of requests in flight at an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamInFlight {
    /// The upstream.
    pub upstream: UpstreamKey,
    /// The number of requests.
    pub in_flight: u32,
}

/// Asks a member when it last heard directly from another member.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Probe {
    /// The member that the sender has not heard from for a while.
    pub member: VmKey,
}

/// Answers a probe.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProbeAnswer {
    /// The member that was asked about.
    pub member: VmKey,
    /// The member's boot.
    pub boot: BootId,
    /// The time since the member was last heard from directly, in milliseconds. A duration, since
    /// clocks differ between nodes.
    pub age_ms: u64,
}

/// A relay's state of the members of a failure domain.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MembershipSummary {
    /// The failure domain.
    pub domain: DomainKey,
    /// Whether the receiver forwards the summary within its own failure domain.
    pub forward_in_domain: bool,
    /// The members.
    pub members: Vec<MemberSummary>,
}

/// A relay's state of one member.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberSummary {
    /// The member.
    pub vm: VmKey,
    /// The member's boot.
    pub boot: BootId,
    /// The time since the member was last heard from, in milliseconds. A duration, since clocks differ
    /// between nodes.
    pub age_ms: u64,
    /// The configuration revision that the member has in force.
    pub revision: u64,
    /// Whether the member is about to stop.
    pub leaving: bool,
    /// The member's load by service.
    pub loads: Vec<ServiceLoad>,
    /// The member's name and addresses, which only some summaries carry.
    pub descriptor: Option<MemberDescriptor>,
}

/// The name, addresses and state of a member.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberDescriptor {
    /// The VM's name.
    pub name: Box<str>,
    /// The VM's failure domain.
    pub domain: DomainKey,
    /// The address for callers' requests.
    pub caller_address: SocketAddr,
    /// The address for frames and datagrams of peers.
    pub peer_address: SocketAddr,
    /// The address for remote calls of operators and peers.
    pub operator_address: SocketAddr,
    /// Whether the member is about to stop and takes no new work.
    pub leaving: bool,
}

/// An owner's load for a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceLoad {
    /// The service.
    pub service: ServiceKey,
    /// The slots of the upstreams that the node may use.
    pub slots: u32,
    /// The slots in use.
    pub in_flight: u32,
}

/// Upstreams that are about to leave.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeavingUpstreams {
    /// The leaving upstreams, at most [`Self::MAX_UPSTREAMS`].
    pub upstreams: Vec<LeavingUpstream>,
}

impl LeavingUpstreams {
    /// The maximum number of upstreams in a datagram.
    pub const MAX_UPSTREAMS: usize = 100;
}

/// An upstream that is about to leave, with the remaining lifetime of that information.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeavingUpstream {
    /// The upstream.
    pub upstream: UpstreamKey,
    /// How long the upstream still counts as leaving, in milliseconds. A duration, since clocks differ
    /// between nodes.
    pub remaining_ms: u64,
}
