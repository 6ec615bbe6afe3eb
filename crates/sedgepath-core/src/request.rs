//! Callers' requests, their outcomes, and the dispatches that carry them between nodes.

use std::net::{IpAddr, SocketAddr};

use serde::{Deserialize, Serialize};

use crate::hash::Digest;
use crate::key::{BootId, DomainKey, OriginKey, ServiceKey, UpstreamKey, VmKey};

/// The class of the caller, in order of precedence.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Class {
    /// A member or partner of a paying organisation.
    Paying,
    /// A member or partner of an organisation with a trial.
    Trial,
    /// A caller without a key.
    Guest,
}

impl Class {
    /// All classes in the order of precedence.
    pub const ALL: [Self; 3] = [Self::Paying, Self::Trial, Self::Guest];

    /// Returns the class's name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Paying => "paying",
            Self::Trial => "trial",
            Self::Guest => "guest",
        }
    }
}

/// A single-use idempotency key that a VM mints and that only the same boot of this VM may accept.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Ticket {
    /// The VM that minted the ticket.
    pub home: VmKey,
    /// The boot of that VM.
    pub boot: BootId,
    /// The number of the ticket within the boot.
    pub number: u64,
    /// The service that the ticket is for.
    pub service: ServiceKey,
    /// When the ticket expires, in milliseconds by the clock of its home.
    pub expires_at_ms: u64,
}

/// The protection of a request against running twice.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Deduplication {
    /// The request may run more than once.
    Repeatable,
    /// The request runs at most once under a key that the caller chose, given by the key's digest.
    Key(Digest),
    /// The request runs at most once under a ticket.
    Ticket(Ticket),
}

/// The properties of a completely received request that the ingress decides by.
#[derive(Debug, Clone)]
pub struct RequestHead {
    /// The name of the service.
    pub service: Box<str>,
    /// The caller's address.
    pub source: IpAddr,
    /// The digest of the organisation's key, if one was sent.
    pub key_digest: Option<Digest>,
    /// The caller's deadline, in milliseconds by this node's clock.
    pub deadline_at_ms: u64,
    /// The protection against running twice.
    pub deduplication: Deduplication,
    /// The number of the caller's attempt under its key or ticket, from 1; 0 if not given.
    pub attempt: u32,
    /// Whether the method is idempotent, so that it may be retried.
    pub idempotent: bool,
    /// The digest of method, path and body, which distinguishes a retry from another request.
    pub digest: Digest,
    /// The highest configuration revision that the caller has seen.
    pub revision_seen: u64,
    /// The VM that forwarded the request because this node minted its ticket.
    pub forwarded_by: Option<VmKey>,
}

/// The header that the ingress sends to the owner of an upstream ahead of the request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Dispatch {
    /// The service that the request is for.
    pub service: ServiceKey,
    /// The class determined by the ingress.
    pub class: Class,
    /// The origin group determined by the ingress.
    pub origin: OriginKey,
    /// The time left until the caller's deadline, in milliseconds. A duration, since clocks differ
    /// between nodes.
    pub remaining_ms: u64,
    /// Whether the request must not run more than once.
    pub once_only: bool,
    /// An upstream that must not get the request.
    pub avoid_upstream: Option<UpstreamKey>,
    /// The configuration revision in force at the ingress.
    pub revision: u64,
}

/// The reason why a request was rejected without being run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RejectionReason {
    /// No upstream of the service can be reached.
    NoUpstream,
    /// No slot is free for the class, and the queue is full or too slow for the deadline.
    Full,
    /// The shift cap does not let the traffic move yet.
    ShiftCap,
    /// The node does not own an upstream of the service.
    NotOwner,
    /// The node's configuration is older than the caller's, or a record has an unknown schema.
    Configuration,
    /// The node has not finished its start or is about to stop.
    NotReady,
    /// The upstream rejected the request before starting it.
    UpstreamRefused,
    /// The deadline had passed before the request was sent.
    Deadline,
    /// The platform's table did not confirm the claim of the key; tickets need no claim.
    Claim,
    /// The ticket was not used and is no longer valid: it has expired, or its home has stopped.
    TicketVoid,
    /// The retry budget is spent.
    RetryBudget,
    /// The peer could not be reached, and nothing was sent.
    PeerUnreachable,
    /// The dispatch was cancelled before the request ran.
    Cancelled,
}

impl RejectionReason {
    /// Returns the reason's name in logs and in responses to callers.
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

/// A rejection with its retry delay, which proves that the request was not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rejection {
    /// Why the request was rejected.
    pub reason: RejectionReason,
    /// The time after which to retry, in milliseconds. A duration, since clocks differ between
    /// nodes.
    pub retry_after_ms: u64,
}

/// The properties of an upstream's response on which the node's decisions depend.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnswerHead {
    /// The HTTP status.
    pub status: u16,
    /// The upstream that sent the response.
    pub upstream: UpstreamKey,
    /// The failure domain of that upstream.
    pub domain: DomainKey,
}

/// An entry VM that a caller may use.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryVm {
    /// The VM's name.
    pub name: Box<str>,
    /// The address for callers' requests.
    pub address: SocketAddr,
}

/// The stored response to a once-only request, which is replayed to retries.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredAnswer {
    /// The HTTP status.
    pub status: u16,
    /// The content type, if the response had one.
    pub content_type: Option<Box<str>>,
    /// The body as text, or in hexadecimal digits if `hex` is set.
    pub body: Box<str>,
    /// Whether the body is encoded in hexadecimal digits because it is not UTF-8.
    pub hex: bool,
}

/// The final outcome of a request that ends without a relayed response.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// The request was not run and will not be.
    NotRun {
        /// The reason and the retry delay.
        refusal: Rejection,
        /// Other entry VMs to try.
        others: Vec<EntryVm>,
    },
    /// The request may have run; a retry with the same key or ticket shows whether it has.
    Unknown {
        /// The time after which to retry, in milliseconds.
        retry_after_ms: u64,
    },
    /// The request ran earlier, with this response.
    Repeated(StoredAnswer),
    /// The key was used for another request before.
    KeyReused,
    /// No service has the requested name.
    NoService,
    /// The organisation's key is unknown.
    UnknownOrganisation,
    /// The service accepts only requests with an idempotency key or a ticket.
    KeyRequired,
}

/// How a call to an upstream ended, from the point of view of the node that sent it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum CallOutcome {
    /// The whole response arrived.
    Completed,
    /// The upstream rejected the request before starting it.
    Refused,
    /// No connection could be made, so nothing was sent.
    NotSent,
    /// The upstream confirmed that it cancelled the request before it ran.
    Cancelled,
    /// The connection broke or the deadline passed after the request was sent; it may have run.
    Lost,
}

/// How an attempt ended without a response, from the ingress's point of view.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HopFailure {
    /// The owner rejected the request, which was not run.
    Refused(Rejection),
    /// No connection could be made, so nothing was sent.
    NotSent,
    /// The connection broke or the attempt timed out after the request was sent; it may have run.
    Lost,
}
