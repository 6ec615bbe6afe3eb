//! Requests of callers, their outcomes, and the dispatches between nodes that serve them.

use std::net::{IpAddr, SocketAddr};

use serde::{Deserialize, Serialize};

use crate::hash::Digest;
use crate::key::{BootId, DomainKey, OriginKey, ServiceKey, UpstreamKey, VmKey};

/// Whose traffic a request is; the order is the order of precedence.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Class {
    /// A member or partner of an organisation that pays.
    Paying,
    /// A member or partner of an organisation on trial.
    Trial,
    /// A caller without a key.
    Guest,
}

impl Class {
    /// All classes in the order of precedence.
    pub const ALL: [Self; 3] = [Self::Paying, Self::Trial, Self::Guest];

    /// Returns the class's name as logged and measured.
    pub fn name(self) -> &'static str {
        match self {
            Self::Paying => "paying",
            Self::Trial => "trial",
            Self::Guest => "guest",
        }
    }
}

/// A key that the system mints and that only one boot of one VM may spend, once.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Ticket {
    /// The VM that minted it.
    pub home: VmKey,
    /// The boot of that VM.
    pub boot: BootId,
    /// Its number within the boot.
    pub number: u64,
    /// The service it is for.
    pub service: ServiceKey,
    /// When it lapses, by the clock of its home.
    pub expires_at_ms: u64,
}

/// How a request is kept from running twice.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Deduplication {
    /// It may run more than once.
    Repeatable,
    /// It runs at most once under a key that the caller chose, given by its digest.
    Key(Digest),
    /// It runs at most once under a ticket.
    Ticket(Ticket),
}

/// What the ingress knows of a request once it has arrived whole.
#[derive(Debug, Clone)]
pub struct RequestHead {
    /// The name of the service.
    pub service: Box<str>,
    /// The caller's address.
    pub source: IpAddr,
    /// The digest of the organisation's key, if one was sent.
    pub key_digest: Option<Digest>,
    /// When the caller stops waiting, in milliseconds by this node's clock.
    pub deadline_at_ms: u64,
    /// How it is kept from running twice.
    pub deduplication: Deduplication,
    /// The number of the attempt under its key or ticket, from 1; 0 if the caller did not say.
    pub attempt: u32,
    /// Whether the method is idempotent, so that it may be retried.
    pub idempotent: bool,
    /// The digest of method, path and body, to tell a repeat from another request.
    pub digest: Digest,
    /// The highest configuration revision that the caller has seen.
    pub revision_seen: u64,
    /// The VM that forwarded the request because this node is its ticket's home.
    pub forwarded_by: Option<VmKey>,
}

/// What travels from the ingress to the owner of an upstream, ahead of the request itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Dispatch {
    /// The service.
    pub service: ServiceKey,
    /// The class, as the ingress found it.
    pub class: Class,
    /// The origin group, as the ingress found it.
    pub origin: OriginKey,
    /// The time left until the caller's deadline, in milliseconds; a time on the wire, since clocks differ
    /// between nodes.
    pub remaining_ms: u64,
    /// Whether the request must not run twice.
    pub once_only: bool,
    /// An upstream that this request has failed at and should avoid.
    pub avoid_upstream: Option<UpstreamKey>,
    /// The configuration revision by which the ingress decided.
    pub revision: u64,
}

/// Why a request was refused without being run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RejectionReason {
    /// No upstream of the service can be reached.
    NoUpstream,
    /// All slots that the class may use are taken and the queue would outlast the deadline.
    Full,
    /// The shift cap does not let the traffic move yet.
    ShiftCap,
    /// The node does not own an upstream of the service.
    NotOwner,
    /// The node's configuration is behind what the caller has seen, or of an unknown schema.
    Configuration,
    /// The node has not finished its start or is about to stop.
    NotReady,
    /// The upstream refused before it started.
    UpstreamRefused,
    /// The deadline had passed before the request was sent.
    Deadline,
    /// The platform's table did not confirm the claim; tickets do without it.
    Claim,
    /// The ticket was never run and will not be: it has lapsed, or its home has stopped.
    TicketVoid,
    /// The retry budget is spent.
    RetryBudget,
    /// The peer could not be reached, and nothing was sent.
    PeerUnreachable,
    /// The caller asked for this request to be cancelled, and the upstream confirmed it.
    Cancelled,
}

impl RejectionReason {
    /// Returns the reason's name as logged and sent to callers.
    pub fn name(self) -> &'static str {
        match self {
            Self::NoUpstream => "no_upstream",
            Self::Full => "full",
            Self::ShiftCap => "shift_cap",
            Self::NotOwner => "not_owner",
            Self::Configuration => "configuration",
            Self::NotReady => "not_ready",
            Self::UpstreamRefused => "upstream_refused",
            Self::Deadline => "deadline",
            Self::Claim => "claim",
            Self::TicketVoid => "ticket_void",
            Self::RetryBudget => "retry_budget",
            Self::PeerUnreachable => "peer_unreachable",
            Self::Cancelled => "cancelled",
        }
    }
}

/// A refusal with the time to come back: proof that the request was not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rejection {
    /// Why.
    pub reason: RejectionReason,
    /// In how many milliseconds a new try makes sense; a time on the wire, since clocks differ.
    pub retry_after_ms: u64,
}

/// The head of an upstream's answer, as far as the node decides by it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnswerHead {
    /// The HTTP status.
    pub status: u16,
    /// The upstream that gave it.
    pub upstream: UpstreamKey,
    /// The failure domain of that upstream.
    pub domain: DomainKey,
}

/// An entry VM that a caller may use.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryVm {
    /// Its name.
    pub name: Box<str>,
    /// Where it takes callers' requests.
    pub address: SocketAddr,
}

/// A stored answer of a once-only request, given again to repeats.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredAnswer {
    /// The HTTP status.
    pub status: u16,
    /// The content type, if there was one.
    pub content_type: Option<Box<str>>,
    /// The body as text; hexadecimal where `hex` is set.
    pub body: Box<str>,
    /// Whether the body is written in hexadecimal digits because it is not UTF-8.
    pub hex: bool,
}

/// The final outcome of a request that no upstream's answer is relayed for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// It was not run and will not be.
    NotRun {
        /// Why, and when to come back.
        refusal: Rejection,
        /// Other entry VMs to try.
        others: Vec<EntryVm>,
    },
    /// It may have run; asking again with the same key tells.
    Unknown {
        /// In how many milliseconds to ask again.
        retry_after_ms: u64,
    },
    /// It ran earlier, and this was its answer.
    Repeated(StoredAnswer),
    /// The key came with another request before.
    KeyReused,
    /// No such service.
    NoService,
    /// The organisation's key is unknown.
    UnknownOrganisation,
    /// The service takes only requests with an idempotency key or a ticket.
    KeyRequired,
}

/// How an attempt at an upstream ended, as the owner learnt it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum CallOutcome {
    /// The whole answer arrived.
    Completed,
    /// The upstream said that it did not start the request.
    Refused,
    /// No connection could be made, so nothing was sent.
    NotSent,
    /// The upstream confirmed that it cancelled the request before it ran.
    Cancelled,
    /// The connection broke or the deadline passed after the request was sent; it may have run.
    Lost,
}

/// How the hop to the owner ended, as the ingress learnt it, when it brought no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HopFailure {
    /// The owner refused: the request was not run.
    Refused(Rejection),
    /// No connection could be made, so nothing was sent.
    NotSent,
    /// The hop broke after the request was sent; it may have run.
    Lost,
}
