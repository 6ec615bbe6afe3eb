//! The state of the model that checks how claims prevent an operation from running twice.

use super::{MAX_REQUESTS, MINTING_BOOT, NODE_COUNT, Node, Request};

/// The origin of an idempotency key, which determines where its requests are recorded.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum KeyKind {
    /// Chosen by the caller and claimed in the table.
    Chosen,
    /// Issued by node 0, the ticket's home, and recorded in that node's memory.
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
    /// The request was rejected or canceled before it started, and will never start.
    NeverStarts,
}

/// The record of the key, in the table or in the memory of the ticket's home.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum KeyRecord {
    /// No record.
    Absent,
    /// Claimed by a request whose result is not recorded.
    Claimed(Request),
    /// A tombstone: neither this request nor an earlier one runs the operation.
    NotRun(Request),
    /// The operation ran, and its response is stored.
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
    /// Whether an earlier request might have run, as far as the caller knew when it sent this one.
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
    /// The record of the key in the memory of each node, as for a ticket.
    pub memories: [KeyRecord; NODE_COUNT],
    /// Whether the ticket's home dropped the record because the ticket expired.
    pub ticket_expired: bool,
    /// The list entry that the home sent before its planned stop.
    pub sent_handover: Option<TicketHandover>,
    /// The list entry that the other node received.
    pub received_handover: Option<TicketHandover>,
    /// The row of the key in the table.
    pub row: KeyRecord,
    /// The writes issued so far, as bits; each may be applied at any time.
    pub issued_writes: u16,
    /// Whether a request with a caller's key was handled like a ticket, or one with a ticket like a
    /// caller's key.
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

    /// Records the outcome of a request, unless the request already has one. Only a *not run*
    /// of the newest request changes [`State::settled_requests`].
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

    /// Returns whether the request was reported *not run*, directly or by a later request.
    pub(super) fn was_reported_not_run(&self, request: Request) -> bool {
        request < self.settled_requests
            || self.requests[request].reported == ReportedOutcome::NotRun
    }

    /// Returns whether the row holds the claim of an inactive request that was reported *not run*,
    /// and no write that removes the claim was issued.
    pub(super) fn has_orphaned_claim(&self, request: Request) -> bool {
        self.row == KeyRecord::Claimed(request)
            && self.requests[request].location == RequestLocation::Inactive
            && self.requests[request].reported == ReportedOutcome::NotRun
            && !self.is_write_issued(TableWrite::Release(request))
            && !self.is_write_issued(TableWrite::Tombstone(request))
    }
}
