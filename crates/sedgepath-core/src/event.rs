//! The events that a node handles and the actions that it requests from its driver.

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

/// A caller's query for the entry VMs to use for a service.
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
    /// The entry VMs, best first.
    pub entry_vms: Arc<[EntryVm]>,
    /// Until when the answer is valid, in milliseconds of the answering node's clock.
    pub expires_at_ms: u64,
    /// How long the answer is valid, in milliseconds, for callers whose clock differs.
    pub expires_after_ms: u64,
    /// The configuration revision that the answer is based on.
    pub revision: u64,
}

/// The error of a look-up.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum LookUpError {
    /// No service has the requested name.
    #[error("no service has this name")]
    NoService,
    /// The node has no usable configuration of the service; another node may have one.
    #[error("this node has no usable configuration of the service")]
    Configuration,
}

/// A VM in the platform's list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedVm {
    /// The VM's name.
    pub name: Box<str>,
    /// Its failure domain's name.
    pub domain: Box<str>,
    /// The address for frames and datagrams of peers.
    pub peer_address: SocketAddr,
    /// Whether the platform is about to remove the VM.
    pub leaving: bool,
}

/// An input of the node's state machine.
#[derive(Debug)]
pub enum Event {
    /// A caller asks which entry VMs to use.
    LookUp {
        /// Identifies the query in the answer.
        reply: ReplyKey,
        /// The query.
        look_up: LookUp,
    },
    /// A caller asks for tickets.
    MintTickets {
        /// Identifies the query in the answer.
        reply: ReplyKey,
        /// The name of the service that the tickets are for.
        service: Box<str>,
        /// The number of tickets.
        count: u32,
    },
    /// A caller's request has arrived completely.
    Request {
        /// Identifies the request in later events and actions.
        request: RequestKey,
        /// The properties of the request.
        head: RequestHead,
    },
    /// The head of an upstream's answer has arrived from the owner.
    HopAnswered {
        /// The request.
        request: RequestKey,
        /// The attempt that brought it.
        attempt: u32,
        /// The head of the answer.
        head: AnswerHead,
    },
    /// A hop has ended without an answer.
    HopEnded {
        /// The request.
        request: RequestKey,
        /// The attempt that ended.
        attempt: u32,
        /// How the hop ended.
        end: HopFailure,
    },
    /// The relay of an answer to the caller has completed or was interrupted.
    RelayEnded {
        /// The request.
        request: RequestKey,
        /// Whether the whole answer was relayed.
        whole: bool,
        /// The answer to store for repeats, if the request is once-only and the answer small.
        stored: Option<StoredAnswer>,
    },
    /// The caller disconnected before its answer was relayed.
    CallerDisconnected {
        /// The request.
        request: RequestKey,
    },
    /// A peer, or this node itself, dispatches a request for an upstream that this node owns.
    Dispatched {
        /// Identifies the dispatch in later events and actions.
        exchange: ExchangeKey,
        /// The ingress.
        from: VmKey,
        /// The dispatch.
        dispatch: Dispatch,
    },
    /// A call to an upstream has ended.
    CallEnded {
        /// The dispatch.
        exchange: ExchangeKey,
        /// How it ended.
        end: CallOutcome,
        /// The duration of the call, in milliseconds.
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
        /// The report.
        report: UpstreamReport,
    },
    /// A connection to an upstream was opened or closed.
    ConnectionsChanged {
        /// The upstream.
        upstream: UpstreamKey,
        /// The number of open connections now.
        open: u32,
    },
    /// An authenticated datagram has arrived.
    Datagram(Envelope),
    /// A request to the table has ended.
    Table {
        /// The request's key.
        operation: OperationKey,
        /// The result.
        result: TableResult,
    },
    /// The platform's list of VMs was read.
    VmList(Vec<ListedVm>),
    /// The fetch of a page of a peer's records has ended.
    PageFetched {
        /// The request's key.
        operation: OperationKey,
        /// The page, or `None` if the peer did not answer.
        page: Option<RecordPage>,
    },
    /// An operator asks for a change of the configuration.
    Change {
        /// Identifies the change in the answer.
        reply: ReplyKey,
        /// The change.
        request: ChangeRequest,
    },
    /// A stopping peer has handed its tickets over to this node.
    TicketsReceived(TicketHandover),
    /// The handover of this node's tickets to a peer has ended.
    TicketHandoverEnded {
        /// The call's key.
        operation: OperationKey,
        /// Whether the peer has taken the tickets over.
        taken: bool,
    },
    /// The process was asked to stop.
    StopRequested,
}

/// A load report of an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct UpstreamReport {
    /// The number of requests in flight, if reported.
    pub in_flight: Option<u32>,
    /// The number of slots, if reported.
    pub slots: Option<u32>,
    /// Whether the upstream is about to leave.
    pub leaving: bool,
    /// When the report was made, in milliseconds by this node's clock.
    pub made_at_ms: u64,
}

/// An output of the node's state machine, carried out by its driver.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Answers a look-up.
    AnswerLookUp {
        /// The look-up.
        reply: ReplyKey,
        /// The answer.
        answer: Result<LookUpAnswer, LookUpError>,
    },
    /// Answers a caller who asked for tickets.
    AnswerTickets {
        /// The query.
        reply: ReplyKey,
        /// The tickets, or why none were minted.
        tickets: Result<Vec<Ticket>, MintError>,
    },
    /// Sends a request to the owner of an upstream.
    Forward {
        /// The request.
        request: RequestKey,
        /// The number of the attempt.
        attempt: u32,
        /// The owner; this node itself if it is the owner.
        to: VmKey,
        /// The owner's address for frames.
        address: SocketAddr,
        /// The dispatch that precedes the request.
        dispatch: Dispatch,
        /// When the hop is given up, in milliseconds by this node's clock.
        deadline_at_ms: u64,
    },
    /// Sends a request unchanged to the VM that minted its ticket.
    ForwardHome {
        /// The request.
        request: RequestKey,
        /// The number of the attempt.
        attempt: u32,
        /// The VM that minted the ticket.
        to: VmKey,
        /// The boot that minted the ticket.
        boot: BootId,
        /// The address of that VM for frames.
        address: SocketAddr,
        /// When the hop is given up, in milliseconds by this node's clock.
        deadline_at_ms: u64,
    },
    /// Relays the answer of an attempt to the caller.
    RelayResponse {
        /// The request.
        request: RequestKey,
        /// The attempt whose answer is relayed.
        attempt: u32,
    },
    /// Stops waiting for an attempt and drops its answer.
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
        /// The time after which nothing may be sent, in milliseconds by this node's clock: the node's
        /// lease of the upstream ends then.
        send_by_ms: u64,
        /// When the call is given up, in milliseconds by this node's clock.
        deadline_at_ms: u64,
    },
    /// Refuses a dispatch.
    RejectDispatch {
        /// The dispatch.
        exchange: ExchangeKey,
        /// The reason, and when to retry.
        refusal: crate::request::Rejection,
    },
    /// Tries to cancel a call to an upstream.
    CancelCall {
        /// The dispatch.
        exchange: ExchangeKey,
    },
    /// Sends a datagram.
    SendDatagram {
        /// The receiver's address.
        to: SocketAddr,
        /// The datagram.
        envelope: Envelope,
    },
    /// Sends a request to the table.
    Table {
        /// Identifies the request in its result.
        operation: OperationKey,
        /// The request.
        request: TableRequest,
    },
    /// Fetches a page of a peer's records.
    FetchPage {
        /// Identifies the request in its result.
        operation: OperationKey,
        /// The peer's address for remote calls.
        from: SocketAddr,
        /// The position after which the page begins.
        after: RecordPosition,
    },
    /// Answers an operator who asked for a change of the configuration.
    AnswerChange {
        /// The change.
        reply: ReplyKey,
        /// The outcome.
        outcome: ChangeOutcome,
    },
    /// Hands this node's tickets over to a peer.
    HandOverTickets {
        /// Identifies the call in its result.
        operation: OperationKey,
        /// The peer.
        to: VmKey,
        /// The peer's address for frames.
        address: SocketAddr,
        /// The tickets.
        tickets: TicketHandover,
    },
    /// Logs an entry of the timeline.
    Log(TimelineEntry),
    /// Ends the process: the node has no work left, or was asked to stop a second time.
    Stopped,
}
