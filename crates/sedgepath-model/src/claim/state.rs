//! State of the claim model.

use super::{MAX_REQUESTS, MINTING_BOOT, NODE_COUNT, Node, Request};

/// The origin of a key, which determines the path on which it runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum KeyKind {
    /// Chosen by the caller and claimed in the table.
    Chosen,
    /// Minted by node 0, its home, and recorded in its memory.
    Ticket,
}

/// The outcome of a request as reported to the caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum ReportedOutcome {
    /// No outcome was reported.
    Pending,
    /// The operation's response.
    Answered,
    /// The operation did not run.
    NotRun,
    /// The operation may have run.
    Unknown,
}

/// A node's progress with a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum NodeWork {
    /// The claim was sent to the table; its response is outstanding.
    WritingClaim,
    /// The table did not respond to the claim.
    ClaimUnconfirmed,
    /// A tombstone was sent to the table; its response is outstanding.
    WritingTombstone,
    /// The node holds the claim and has not sent the request.
    HoldingClaim,
    /// The request was sent to the upstream.
    AwaitingUpstream,
    /// The request and its cancellation were sent to the upstream.
    AwaitingCancellation,
}

/// The location of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum RequestLocation {
    /// The caller has not sent the request.
    NotIssued,
    /// In flight from the caller to a node.
    ToNode(Node),
    /// In flight from another node to the home of its ticket.
    ToHome,
    /// A node works on the request.
    AtNode(Node, NodeWork),
    /// No node works on the request any more.
    Inactive,
}

/// The state of a request at the upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum UpstreamState {
    /// The request was never sent.
    NotSent,
    /// In flight or queued; the upstream has neither started nor dropped the request.
    Pending,
    /// The upstream started the request.
    Started,
    /// The request was rejected or canceled before it started and never will start.
    NeverStarts,
}

/// The record of the key, in the table or in the memory of the ticket's home.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum KeyRecord {
    /// No record.
    Absent,
    /// Held by a request.
    Claimed(Request),
    /// Not run by any request up to this one.
    NotRun(Request),
    /// Run, with a stored response.
    Completed,
}

/// The entry of the ticket in the list that its home sends before a planned stop.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum TicketHandover {
    /// The ticket is listed as not expired, with its record.
    Listed(KeyRecord),
    /// The ticket is not on the list.
    Unlisted,
}

/// A write to the table.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum TableWrite {
    /// Claims the key.
    Claim(Request),
    /// Records that no request up to this one runs.
    Tombstone(Request),
    /// Releases a claim whose request did not run.
    Release(Request),
    /// Stores the response.
    Complete(Request),
}

impl TableWrite {
    /// Returns the bit of this write in [`State::issued_writes`].
    pub(super) fn bit(self) -> u16 {
        let (kind, request) = match self {
            Self::Claim(request) => (0, request),
            Self::Tombstone(request) => (1, request),
            Self::Release(request) => (2, request),
            Self::Complete(request) => (3, request),
        };
        1 << (kind * MAX_REQUESTS + request)
    }
}

/// A request of the caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct RequestState {
    /// The location of the request.
    pub location: RequestLocation,
    /// Whether an earlier request was not settled as *not run* when this one was sent.
    pub is_retry: bool,
    /// The outcome reported for the request.
    pub reported: ReportedOutcome,
    /// The state of the request at the upstream.
    pub upstream_state: UpstreamState,
}

/// The state of the caller, the nodes, the table and the upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct State {
    /// The origin of the key.
    pub key_kind: KeyKind,
    /// The requests; the first [`State::issued_requests`] were sent.
    pub requests: [RequestState; MAX_REQUESTS],
    /// The number of requests sent.
    pub issued_requests: usize,
    /// The number of requests, from the first, that the caller knows were not run.
    pub settled_requests: usize,
    /// The boot number of each node.
    pub boots: [u8; NODE_COUNT],
    /// Each node's record of the key as a ticket.
    pub memories: [KeyRecord; NODE_COUNT],
    /// Whether the ticket has expired at its home, which dropped its record.
    pub ticket_expired: bool,
    /// The list entry that the home sent before its planned stop.
    pub sent_handover: Option<TicketHandover>,
    /// The list entry that the peer received.
    pub received_handover: Option<TicketHandover>,
    /// The row of the key in the table.
    pub row: KeyRecord,
    /// The writes issued so far, as bits; each may be applied at any time.
    pub issued_writes: u16,
    /// Whether a request was run on the path that the key did not begin on.
    pub path_changed: bool,
}

impl State {
    pub(super) fn new(key_kind: KeyKind) -> Self {
        let request = RequestState {
            location: RequestLocation::NotIssued,
            is_retry: false,
            reported: ReportedOutcome::Pending,
            upstream_state: UpstreamState::NotSent,
        };
        Self {
            key_kind,
            requests: [request; MAX_REQUESTS],
            issued_requests: 0,
            settled_requests: 0,
            boots: [MINTING_BOOT; NODE_COUNT],
            memories: [KeyRecord::Absent; NODE_COUNT],
            ticket_expired: false,
            sent_handover: None,
            received_handover: None,
            row: KeyRecord::Absent,
            issued_writes: 0,
            path_changed: false,
        }
    }

    pub(super) fn issue_write(&mut self, write: TableWrite) {
        self.issued_writes |= write.bit();
    }

    pub(super) fn is_write_issued(&self, write: TableWrite) -> bool {
        self.issued_writes & write.bit() != 0
    }

    pub(super) fn set_location(&mut self, request: Request, location: RequestLocation) {
        self.requests[request].location = location;
    }

    /// Reports an outcome, unless one was reported before. The caller reads only that of its newest
    /// request.
    pub(super) fn report_outcome(&mut self, request: Request, outcome: ReportedOutcome) {
        if self.requests[request].reported != ReportedOutcome::Pending {
            return;
        }
        self.requests[request].reported = outcome;
        if outcome == ReportedOutcome::NotRun && request + 1 == self.issued_requests {
            self.settled_requests = self.issued_requests;
        }
    }

    pub(super) fn finish_request(&mut self, request: Request, outcome: ReportedOutcome) {
        self.report_outcome(request, outcome);
        self.set_location(request, RequestLocation::Inactive);
    }

    pub(super) fn has_run(&self, request: Request) -> bool {
        self.requests[request].upstream_state == UpstreamState::Started
    }

    /// Returns whether the caller knows that the request did not run.
    pub(super) fn was_reported_not_run(&self, request: Request) -> bool {
        request < self.settled_requests
            || self.requests[request].reported == ReportedOutcome::NotRun
    }

    /// Returns whether a claim is left for a request that was reported *not run* and no write will
    /// release it.
    pub(super) fn has_orphaned_claim(&self, request: Request) -> bool {
        self.row == KeyRecord::Claimed(request)
            && self.requests[request].location == RequestLocation::Inactive
            && self.requests[request].reported == ReportedOutcome::NotRun
            && !self.is_write_issued(TableWrite::Release(request))
            && !self.is_write_issued(TableWrite::Tombstone(request))
    }
}
