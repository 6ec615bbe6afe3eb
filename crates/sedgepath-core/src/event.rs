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

/// A look-up: a caller's query for the entry VMs of a service.
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
    /// When the answer expires, in milliseconds by the answering node's clock.
    pub expires_at_ms: u64,
    /// The time for which the answer is valid, in milliseconds. A duration, since clocks differ.
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

/// A VM in the platform's list of VMs.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedVm {
    /// The VM's name.
    pub name: Box<str>,
    /// The name of the VM's failure domain.
    pub domain: Box<str>,
    /// The address for frames and datagrams from peers.
    #[serde(rename = "peers")]
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
        /// The service, the caller's address and the revision that the caller knows.
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
    /// The head of an upstream's response has arrived from the owner.
    HopAnswered {
        /// The key of the request.
        request: RequestKey,
        /// The number of the attempt that got the response.
        attempt: u32,
        /// The head of the response.
        head: AnswerHead,
    },
    /// An attempt has ended without a response.
    HopEnded {
        /// The key of the request.
        request: RequestKey,
        /// The number of the attempt.
        attempt: u32,
        /// How the attempt ended.
        end: HopFailure,
    },
    /// The relaying of a response to the caller has completed or was interrupted.
    RelayEnded {
        /// The key of the request.
        request: RequestKey,
        /// Whether the whole response was relayed.
        whole: bool,
        /// The response to store for retries, if the request is once-only and the response small.
        stored: Option<StoredAnswer>,
    },
    /// The caller disconnected before the response was relayed.
    CallerDisconnected {
        /// The key of the request.
        request: RequestKey,
    },
    /// A peer, or this node itself, has dispatched a request to this node for an upstream that it
    /// owns.
    Dispatched {
        /// Identifies the dispatch in later events and actions.
        exchange: ExchangeKey,
        /// The VM that received the request from the caller.
        from: VmKey,
        /// The header of the dispatched request.
        dispatch: Dispatch,
    },
    /// A call to an upstream has ended.
    CallEnded {
        /// The key of the dispatch.
        exchange: ExchangeKey,
        /// How the call ended.
        end: CallOutcome,
        /// The duration of the call, in milliseconds.
        took_ms: u64,
    },
    /// The ingress no longer waits for a dispatch.
    DispatchCanceled {
        /// The key of the dispatch.
        exchange: ExchangeKey,
    },
    /// An upstream has reported its load, with a response or separately.
    UpstreamReport {
        /// The upstream that the report is about.
        upstream: UpstreamKey,
        /// The reported load and state.
        report: UpstreamReport,
    },
    /// A connection to an upstream was opened or closed.
    ConnectionsChanged {
        /// The upstream that the connections are to.
        upstream: UpstreamKey,
        /// The number of connections that are open now.
        open: u32,
    },
    /// An authenticated datagram has arrived.
    Datagram(Envelope),
    /// A request to the table has ended.
    Table {
        /// The key of the operation that requested it.
        operation: OperationKey,
        /// The result of the request.
        result: TableResult,
    },
    /// The platform's list of VMs was read.
    VmList(Vec<ListedVm>),
    /// The fetch of a page of a peer's records has ended.
    PageFetched {
        /// The key of the operation that requested the page.
        operation: OperationKey,
        /// The page, or `None` if the fetch failed.
        page: Option<RecordPage>,
    },
    /// An operator asks for a change of the configuration.
    Change {
        /// Identifies the change in the answer.
        reply: ReplyKey,
        /// The requested change.
        request: ChangeRequest,
    },
    /// A stopping peer has handed its tickets over to this node.
    TicketsReceived(TicketHandover),
    /// The handover of this node's tickets to a peer has ended.
    TicketHandoverEnded {
        /// The key of the operation that requested the handover.
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
    /// The number of requests in flight from all nodes, if reported.
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
        /// The key of the query.
        reply: ReplyKey,
        /// The answer, or the reason why there is none.
        answer: Result<LookUpAnswer, LookUpError>,
    },
    /// Answers a caller who asked for tickets.
    AnswerTickets {
        /// The key of the query.
        reply: ReplyKey,
        /// The tickets, or the reason why none were minted.
        tickets: Result<Vec<Ticket>, MintError>,
    },
    /// Sends a request to the owner of an upstream.
    Forward {
        /// The key of the request.
        request: RequestKey,
        /// The number of the attempt.
        attempt: u32,
        /// The owner, which may be this node itself.
        to: VmKey,
        /// The owner's address for frames.
        address: SocketAddr,
        /// The header that is sent ahead of the request.
        dispatch: Dispatch,
        /// When the attempt times out, in milliseconds by this node's clock.
        deadline_at_ms: u64,
    },
    /// Sends a request unchanged to the VM that minted its ticket.
    ForwardHome {
        /// The key of the request.
        request: RequestKey,
        /// The number of the attempt.
        attempt: u32,
        /// The VM that minted the ticket.
        to: VmKey,
        /// The boot that minted the ticket.
        boot: BootId,
        /// The address of that VM for frames.
        address: SocketAddr,
        /// When the attempt times out, in milliseconds by this node's clock.
        deadline_at_ms: u64,
    },
    /// Relays the response to an attempt to the caller.
    RelayResponse {
        /// The key of the request.
        request: RequestKey,
        /// The number of the attempt.
        attempt: u32,
    },
    /// Stops waiting for an attempt and drops any response to it.
    CancelAttempt {
        /// The key of the request.
        request: RequestKey,
        /// The number of the attempt.
        attempt: u32,
    },
    /// Concludes a request with its final outcome.
    Conclude {
        /// The key of the request.
        request: RequestKey,
        /// The final outcome, for the caller.
        outcome: Outcome,
    },
    /// Sends a dispatched request to an upstream.
    CallUpstream {
        /// The key of the dispatch.
        exchange: ExchangeKey,
        /// The upstream that the request is sent to.
        upstream: UpstreamKey,
        /// The failure domain of the upstream.
        domain: DomainKey,
        /// The upstream's address.
        address: SocketAddr,
        /// Whether a new connection may be opened if none is idle.
        may_open: bool,
        /// The time after which nothing may be sent, in milliseconds by this node's clock: the
        /// node's lease of the upstream ends then.
        send_by_ms: u64,
        /// When the call times out, in milliseconds by this node's clock.
        deadline_at_ms: u64,
    },
    /// Rejects a dispatch.
    RejectDispatch {
        /// The key of the dispatch.
        exchange: ExchangeKey,
        /// The reason and the retry delay.
        refusal: crate::request::Rejection,
    },
    /// Tries to cancel a call to an upstream.
    CancelCall {
        /// The key of the dispatch.
        exchange: ExchangeKey,
    },
    /// Sends a datagram.
    SendDatagram {
        /// The receiver's address.
        to: SocketAddr,
        /// The datagram with its metadata.
        envelope: Envelope,
    },
    /// Sends a request to the table.
    Table {
        /// Identifies the request in its result.
        operation: OperationKey,
        /// The transaction or read.
        request: TableRequest,
    },
    /// Fetches a page of a peer's records.
    FetchPage {
        /// Identifies the request in its result.
        operation: OperationKey,
        /// The peer's address for remote calls.
        from: SocketAddr,
        /// The position in the records after which the page begins.
        after: RecordPosition,
    },
    /// Answers an operator who asked for a change of the configuration.
    AnswerChange {
        /// The key of the change.
        reply: ReplyKey,
        /// The outcome of the change.
        outcome: ChangeOutcome,
    },
    /// Hands this node's tickets over to a peer.
    HandOverTickets {
        /// Identifies the handover in its result.
        operation: OperationKey,
        /// The peer that takes the tickets over.
        to: VmKey,
        /// The peer's address for frames.
        address: SocketAddr,
        /// The used tickets and the range of minted ones.
        tickets: TicketHandover,
    },
    /// Writes an entry of the timeline to the log.
    Log(TimelineEntry),
    /// Ends the process: the node has no work left, or was asked to stop a second time.
    Stopped,
}
