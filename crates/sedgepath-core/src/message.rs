//! The datagrams that nodes exchange.
//!
//! They are encoded with postcard, so the order of fields and variants is part of the format.
//!
//! A relay is a node that periodically sends a summary of its failure domain's members to another
//! failure domain. The receiver forwards the summary within its own domain.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::clock::HybridTimestamp;
use crate::key::{BootId, DomainKey, OriginKey, ServiceKey, UpstreamKey, VmKey};

/// A datagram with its sender and its sequence number.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Envelope {
    /// The VM that sent the datagram.
    pub from: VmKey,
    /// The boot of that VM.
    pub boot: BootId,
    /// The number of the datagram within the boot, by which the receiver drops duplicates.
    pub sequence: u64,
    /// The hybrid timestamp of sending.
    pub stamp: HybridTimestamp,
    /// The content, by kind of datagram.
    pub message: Message,
}

/// The content of a datagram.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// Reports the sender's state to a member of the same failure domain.
    Heartbeat(Box<Heartbeat>),
    /// Announces a configuration revision that the sender has just put in force.
    Revision(RevisionNotice),
    /// Asks for the current shares; sent by a node that has just started.
    BaselineRequest,
    /// Answers [`Self::BaselineRequest`].
    Baseline(Baseline),
    /// Asks a member when it last heard directly from another member.
    Probe(Probe),
    /// Answers [`Self::Probe`].
    ProbeAnswer(ProbeAnswer),
    /// Reports the sender's view of the members of a failure domain.
    Summary(MembershipSummary),
    /// Announces that the sender's boot has no requests in flight and sends nothing to upstreams
    /// any more.
    BootEnded,
    /// Lists upstreams that the sender knows to be leaving.
    LeavingUpstreams(LeavingUpstreams),
}

/// The state of a node's configuration, sent with every heartbeat.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigurationStatus {
    /// The revision that the node has in force.
    pub revision: u64,
    /// The age of the newest successful read of the head, the latest revision in the platform's
    /// table, by any node that this node has heard from, in milliseconds. A duration, since clocks
    /// differ between nodes.
    pub head_age_ms: u64,
}

/// A notice that the sender has just put a revision in force.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct RevisionNotice {
    /// The state of the sender's configuration.
    pub configuration: ConfigurationStatus,
    /// The sender's address for remote calls, where the records can be fetched.
    pub operator_address: SocketAddr,
}

/// The current shares of traffic, for a node that has just started.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Baseline {
    /// The configuration revision that the sender has in force.
    pub revision: u64,
    /// The current shares of the origin groups for which they differ from the steering record.
    pub moved: Vec<GroupShares>,
}

/// The current shares of an origin group's traffic for a service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct GroupShares {
    /// The service that the traffic is for.
    pub service: ServiceKey,
    /// The origin group's key in the steering record.
    pub group: OriginKey,
    /// The shares, one entry for each failure domain.
    pub shares: Vec<DomainShare>,
}

/// The current and recent shares of a failure domain.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct DomainShare {
    /// The failure domain that the traffic goes to.
    pub domain: DomainKey,
    /// The current share.
    pub now: f64,
    /// The share one window of the shift cap ago.
    pub one_window_ago: f64,
    /// The share two windows of the shift cap ago.
    pub two_windows_ago: f64,
}

/// A heartbeat, which also carries the sender's load and its lease claim.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// When the heartbeat was sent, in milliseconds by the sender's clock; returned in the
    /// acknowledgement.
    pub sent_at_ms: u64,
    /// The sender's name and addresses, sent until the receiver has acknowledged them.
    pub descriptor: Option<MemberDescriptor>,
    /// The state of the sender's configuration.
    pub configuration: ConfigurationStatus,
    /// The sender's load by service.
    pub loads: Vec<ServiceLoad>,
    /// The digest of the sender's roster: the members of its failure domain and their boots.
    pub roster_digest: u64,
    /// The state of the sender's claim to an exclusive lease of its upstreams.
    pub claim: LeaseClaim,
    /// The longest time for which the sender assumes that a request at an upstream may run, in
    /// milliseconds.
    pub longest_deadline_ms: u64,
    /// The acknowledgement of the latest heartbeat received from the receiver.
    pub acknowledgement: Option<Acknowledgement>,
}

/// The state of a node's claim to an exclusive lease of its upstreams.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum LeaseClaim {
    /// The sender asks for the lease, which an acknowledgement of the heartbeat grants.
    Requested,
    /// The sender has given up the lease, but has more requests in flight at an upstream than its
    /// share of the upstream's slots without the lease.
    Releasing,
    /// The sender has given up the lease and has no more requests in flight at any upstream than
    /// its share. This revokes all grants to the sender, including those for earlier heartbeats.
    Released,
}

/// Acknowledges the latest heartbeat received from the receiver, and grants its claim.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Acknowledgement {
    /// The receiver's boot that sent the acknowledged heartbeat.
    pub boot: BootId,
    /// When that boot sent the heartbeat, in milliseconds by its own clock.
    pub sent_at_ms: u64,
    /// Whether the receiver is leaving according to its last descriptor that the sender knows;
    /// `None` if the sender knows none.
    pub descriptor_leaving: Option<bool>,
    /// The requests that the sender still has in flight at the receiver's upstreams.
    pub in_flight: Vec<UpstreamInFlight>,
    /// Whether the sender booted so recently that requests of its previous boot may still be
    /// running.
    pub predecessor_may_run: bool,
    /// Whether the receiver certainly has no earlier boot whose requests may still be running.
    pub receiver_has_no_predecessor: bool,
}

/// The number of requests in flight at an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamInFlight {
    /// The upstream where the requests may be running.
    pub upstream: UpstreamKey,
    /// The number of requests, including lost calls.
    pub in_flight: u32,
}

/// Asks a member when it last heard directly from another member.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Probe {
    /// The member that the sender has not heard from recently.
    pub member: VmKey,
}

/// The answer to a probe.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProbeAnswer {
    /// The member named in the probe.
    pub member: VmKey,
    /// The boot from which the member was last heard.
    pub boot: BootId,
    /// The time since the answering node last heard directly from the member, in milliseconds. A
    /// duration, since clocks differ between nodes.
    pub age_ms: u64,
}

/// The sender's view of the members of a failure domain, mostly sent by a relay.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MembershipSummary {
    /// The failure domain of the members.
    pub domain: DomainKey,
    /// Whether the receiver should forward the summary within its own failure domain.
    pub forward_in_domain: bool,
    /// The members; a summary may omit some.
    pub members: Vec<MemberSummary>,
}

/// The sender's view of one member.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberSummary {
    /// The member's VM.
    pub vm: VmKey,
    /// The member's boot.
    pub boot: BootId,
    /// The time since the sender last heard from the member, in milliseconds. A duration, since
    /// clocks differ between nodes.
    pub age_ms: u64,
    /// The configuration revision that the member has in force.
    pub revision: u64,
    /// Whether the member is about to stop.
    pub leaving: bool,
    /// The member's load by service.
    pub loads: Vec<ServiceLoad>,
    /// The member's name and addresses, which a relay omits from most of its summaries.
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
    /// The address for frames and datagrams from peers.
    pub peer_address: SocketAddr,
    /// The address for remote calls from operators and peers.
    pub operator_address: SocketAddr,
    /// Whether the member is about to stop and accepts no new work.
    pub leaving: bool,
}

/// A node's load for a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceLoad {
    /// The service whose upstreams are counted.
    pub service: ServiceKey,
    /// The slots of the upstreams that the node may use.
    pub slots: u32,
    /// The number of the node's requests in flight there.
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

/// An upstream that is about to leave, with the remaining validity of that information.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeavingUpstream {
    /// The upstream that is about to leave.
    pub upstream: UpstreamKey,
    /// How long the upstream still counts as leaving, in milliseconds. A duration, since clocks
    /// differ between nodes.
    pub remaining_ms: u64,
}
