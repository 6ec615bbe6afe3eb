//! What the node is told, and what it asks its shell to do.

use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::configuration::change::{ChangeOutcome, ChangeRequest};
use crate::configuration::store::{RecordPage, RecordPosition};
use crate::deduplication::row::TicketHandover;
use crate::deduplication::tickets::MintError;
use crate::key::{
    BootId, DomainKey, ExchangeKey, OperationKey, ReplyKey, RequestKey, UpstreamKey, VmKey,
};
use crate::message::Envelope;
use crate::request::{
    AnswerHead, CallOutcome, Dispatch, EntryVm, HopFailure, Outcome, RequestHead, StoredAnswer,
    Ticket,
};
use crate::table::{TableRequest, TableResult};
use crate::timeline::TimelineEntry;

/// A caller's question which entry VMs to use.
#[derive(Debug, Clone)]
pub struct LookUp {
    /// The name of the service.
    pub service: Box<str>,
    /// The caller's address.
    pub source: IpAddr,
    /// The highest configuration revision that the caller has seen.
    pub revision_seen: u64,
}

/// The answer to a look-up.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LookUpAnswer {
    /// The entry VMs, the best first.
    pub entry_vms: Arc<[EntryVm]>,
    /// Until when the answer may be used, in milliseconds of the answering node's clock.
    pub expires_at_ms: u64,
    /// The same as a time from now, for callers whose clock differs.
    pub expires_after_ms: u64,
    /// The configuration revision that the answer follows.
    pub revision: u64,
}

/// Why a look-up has no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum LookUpError {
    /// No such service.
    #[error("no service has this name")]
    NoService,
    /// The node can't answer for it now; another may.
    #[error("this node has no configuration that answers for the service")]
    Configuration,
}

/// One VM of the platform's list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedVm {
    /// The VM's name.
    pub name: Box<str>,
    /// Its failure domain's name.
    pub domain: Box<str>,
    /// Where it takes frames and datagrams of peers.
    pub peer_address: SocketAddr,
    /// Whether the platform is about to take it away.
    pub leaving: bool,
}

/// What the node is told.
#[derive(Debug)]
pub enum Event {
    /// A caller asks which entry VMs to use.
    LookUp {
        /// Names the question in the answer.
        reply: ReplyKey,
        /// The question.
        look_up: LookUp,
    },
    /// A caller asks for tickets.
    MintTickets {
        /// Names the question in the answer.
        reply: ReplyKey,
        /// The name of the service that they are for.
        service: Box<str>,
        /// How many.
        count: u32,
    },
    /// A caller's request has arrived whole.
    Request {
        /// Names the request from now on.
        request: RequestKey,
        /// The request.
        head: RequestHead,
    },
    /// The head of an upstream's answer has come back over the hop.
    HopAnswered {
        /// The request.
        request: RequestKey,
        /// The attempt that brought it.
        attempt: u32,
        /// The answer's head.
        head: AnswerHead,
    },
    /// A hop has ended without an answer.
    HopEnded {
        /// The request.
        request: RequestKey,
        /// The attempt that ended.
        attempt: u32,
        /// How.
        end: HopFailure,
    },
    /// The answer has been relayed to the caller to its end, or has broken off.
    RelayEnded {
        /// The request.
        request: RequestKey,
        /// Whether it was whole.
        whole: bool,
        /// The answer, kept for repeats if the request was once-only and the answer small.
        stored: Option<StoredAnswer>,
    },
    /// The caller has gone away before its answer.
    CallerDisconnected {
        /// The request.
        request: RequestKey,
    },
    /// A peer, or this node itself, hands over a request for an upstream that this node owns.
    Dispatched {
        /// Names the dispatch from now on.
        exchange: ExchangeKey,
        /// The ingress.
        from: VmKey,
        /// The dispatch.
        dispatch: Dispatch,
    },
    /// An upstream call has ended.
    CallEnded {
        /// The dispatch.
        exchange: ExchangeKey,
        /// How it ended.
        end: CallOutcome,
        /// The time that the upstream took, in milliseconds.
        took_ms: u64,
    },
    /// The ingress no longer waits for a dispatch.
    DispatchCanceled {
        /// The dispatch.
        exchange: ExchangeKey,
    },
    /// An upstream has reported its load, with an answer or on its own.
    UpstreamReport {
        /// The upstream.
        upstream: UpstreamKey,
        /// What it says.
        report: UpstreamReport,
    },
    /// A connection to an upstream was opened or closed.
    ConnectionsChanged {
        /// The upstream.
        upstream: UpstreamKey,
        /// The open connections now.
        open: u32,
    },
    /// A datagram that was authenticated.
    Datagram(Envelope),
    /// A request to the table has ended.
    Table {
        /// The request's key.
        operation: OperationKey,
        /// What became of it.
        result: TableResult,
    },
    /// The platform's list of VMs was read.
    VmList(Vec<ListedVm>),
    /// A page of a peer's records was fetched, or could not be.
    PageFetched {
        /// The request's key.
        operation: OperationKey,
        /// The page, unless the peer did not answer.
        page: Option<RecordPage>,
    },
    /// An operator asks for a change of the configuration.
    Change {
        /// Names the question in the answer.
        reply: ReplyKey,
        /// The change.
        request: ChangeRequest,
    },
    /// A peer that stops has handed its tickets over.
    TicketsReceived(TicketHandover),
    /// A peer has taken this node's tickets over, or could not be reached.
    TicketHandoverEnded {
        /// The call's key.
        operation: OperationKey,
        /// Whether it has taken them.
        taken: bool,
    },
    /// The process was asked to stop.
    StopRequested,
}

/// An upstream's own word on its load.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct UpstreamReport {
    /// The requests that it has in flight, if it says.
    pub in_flight: Option<u32>,
    /// The slots that it has, if it says.
    pub slots: Option<u32>,
    /// Whether it is about to leave.
    pub leaving: bool,
    /// When the report was made, in milliseconds by this node's clock.
    pub made_at_ms: u64,
}

/// What the node asks its shell to do.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Answers a look-up.
    AnswerLookUp {
        /// The question.
        reply: ReplyKey,
        /// The answer.
        answer: Result<LookUpAnswer, LookUpError>,
    },
    /// Answers a caller who asked for tickets.
    AnswerTickets {
        /// The question.
        reply: ReplyKey,
        /// The tickets.
        tickets: Result<Vec<Ticket>, MintError>,
    },
    /// Sends a request over the hop to the owner of an upstream.
    Forward {
        /// The request.
        request: RequestKey,
        /// The number of the attempt.
        attempt: u32,
        /// The owner; this node itself if it is the owner.
        to: VmKey,
        /// Where the owner takes frames.
        address: SocketAddr,
        /// What to tell the owner.
        dispatch: Dispatch,
        /// When the hop is given up, in milliseconds by this node's clock.
        deadline_at_ms: u64,
    },
    /// Sends a request whole to the home of its ticket.
    ForwardHome {
        /// The request.
        request: RequestKey,
        /// The number of the attempt.
        attempt: u32,
        /// The home.
        to: VmKey,
        /// The boot that minted the ticket.
        boot: BootId,
        /// Where the home takes frames.
        address: SocketAddr,
        /// When the hop is given up, in milliseconds by this node's clock.
        deadline_at_ms: u64,
    },
    /// Relays the answer of an attempt to the caller; other attempts are abandoned.
    RelayResponse {
        /// The request.
        request: RequestKey,
        /// The attempt whose answer is relayed.
        attempt: u32,
    },
    /// Abandons an attempt.
    CancelAttempt {
        /// The request.
        request: RequestKey,
        /// The attempt.
        attempt: u32,
    },
    /// Gives a request its final outcome.
    Conclude {
        /// The request.
        request: RequestKey,
        /// The outcome.
        outcome: Outcome,
    },
    /// Sends a dispatched request to an upstream.
    CallUpstream {
        /// The dispatch.
        exchange: ExchangeKey,
        /// The upstream.
        upstream: UpstreamKey,
        /// The failure domain of the upstream.
        domain: DomainKey,
        /// The upstream's address.
        address: SocketAddr,
        /// Whether a new connection may be opened if none is idle.
        may_open: bool,
        /// The moment after which nothing may be sent any more, by this node's clock: the node's
        /// right to the upstream ends then.
        send_by_ms: u64,
        /// When the call is given up, in milliseconds by this node's clock.
        deadline_at_ms: u64,
    },
    /// Refuses a dispatch.
    RejectDispatch {
        /// The dispatch.
        exchange: ExchangeKey,
        /// Why, and when to come back.
        refusal: crate::request::Rejection,
    },
    /// Cancels an upstream call, or a dispatch that still waits in the queue.
    CancelCall {
        /// The dispatch.
        exchange: ExchangeKey,
    },
    /// Sends a datagram.
    SendDatagram {
        /// Where to.
        to: SocketAddr,
        /// The datagram.
        envelope: Envelope,
    },
    /// Sends a request to the table.
    Table {
        /// Names the request in its result.
        operation: OperationKey,
        /// The request.
        request: TableRequest,
    },
    /// Fetches a page of a peer's records.
    FetchPage {
        /// Names the request in its result.
        operation: OperationKey,
        /// Where the peer takes remote calls.
        from: SocketAddr,
        /// The place behind which the page begins.
        after: RecordPosition,
    },
    /// Tells an operator what became of a change.
    AnswerChange {
        /// The question.
        reply: ReplyKey,
        /// The outcome.
        outcome: ChangeOutcome,
    },
    /// Hands this node's tickets over to a peer.
    HandOverTickets {
        /// Names the call in its result.
        operation: OperationKey,
        /// The peer.
        to: VmKey,
        /// Where it takes frames.
        address: SocketAddr,
        /// The tickets.
        tickets: TicketHandover,
    },
    /// Logs an entry of the time line.
    Log(TimelineEntry),
    /// The node has handed over or finished all of its work; the process may end.
    Stopped,
}
