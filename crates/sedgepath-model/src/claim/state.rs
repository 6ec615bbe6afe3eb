//! What the caller, the nodes, the table and the upstream know of one key.

use super::{HOME_BOOT, NODES, Node, REQUESTS, Request};

/// Where a key comes from, and so the path on which it runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum KeyKind {
    /// Chosen by the caller; claimed in the table.
    Chosen,
    /// Minted by node 0, its home; remembered there.
    Ticket,
}

/// What a caller is told.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Told {
    /// Nothing so far.
    Nothing,
    /// The answer of the action.
    Answered,
    /// The action did not run.
    NotRun,
    /// The action may have run.
    Unknown,
}

/// What a node is doing with a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Work {
    /// The claim is written; its answer is awaited.
    Claiming,
    /// The answer to the claim did not come.
    Uncertain,
    /// A tombstone is written; its answer is awaited.
    Tombstoning,
    /// The claim is held; nothing is sent.
    Holding,
    /// The request is sent to the upstream.
    Sent,
    /// The request is sent and so is its cancellation.
    Cancelling,
}

/// Where a request is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Place {
    /// The caller has not made it.
    NotIssued,
    /// On its way from the caller to a node.
    ToNode(Node),
    /// On its way from another node to the home of its ticket.
    ToHome,
    /// At a node.
    At(Node, Work),
    /// No node works on it.
    Gone,
}

/// What the upstream knows of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum AtUpstream {
    /// It was never sent.
    Nothing,
    /// It is on its way or waits there.
    Waiting,
    /// It was started.
    Started,
    /// It was refused or cancelled before it started, and never will be.
    NotStarted,
}

/// What the table, or the memory of a ticket's home, says of the key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Record {
    /// Nothing.
    Absent,
    /// Held by a request.
    Claimed(Request),
    /// Not run by any request up to this one.
    NotRun(Request),
    /// Run and answered.
    Done,
}

/// What the home of a ticket says of it before a planned stop.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum HandOver {
    /// The ticket is on the list of those that have not expired, with what became of it.
    Listed(Record),
    /// The ticket is not on the list.
    Unlisted,
}

/// A write to the table.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Write {
    /// Claims the key.
    Claim(Request),
    /// Says that no request up to this one runs.
    Tombstone(Request),
    /// Gives a claim back without a run.
    Release(Request),
    /// Stores the answer.
    Finish(Request),
}

impl Write {
    /// The bit of this write in [`State::writes`].
    pub(super) fn bit(self) -> u16 {
        let (kind, request) = match self {
            Self::Claim(request) => (0, request),
            Self::Tombstone(request) => (1, request),
            Self::Release(request) => (2, request),
            Self::Finish(request) => (3, request),
        };
        1 << (kind * REQUESTS + request)
    }
}

/// One request of the caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct RequestState {
    /// Where it is.
    pub place: Place,
    /// Whether it was made while an earlier one was not settled as not run.
    pub repeat: bool,
    /// What was told in answer to it.
    pub told: Told,
    /// What the upstream knows of it.
    pub at_upstream: AtUpstream,
}

/// The state of all parties.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct State {
    /// Where the key comes from.
    pub kind: KeyKind,
    /// The requests; the first [`State::issued`] were made.
    pub requests: [RequestState; REQUESTS],
    /// The number of requests made.
    pub issued: usize,
    /// The number of requests, from the first, that the caller knows were not run.
    pub settled: usize,
    /// The boot number of each node.
    pub boots: [u8; NODES],
    /// What each node remembers of the key as a ticket.
    pub memories: [Record; NODES],
    /// Whether the home holds the ticket for expired and has forgotten what became of it.
    pub expired: bool,
    /// What the home said of the ticket when it prepared its planned stop.
    pub handover: Option<HandOver>,
    /// What the peer has received of it.
    pub received: Option<HandOver>,
    /// The row of the key in the table.
    pub row: Record,
    /// The writes issued so far, as bits; each may be applied at any time.
    pub writes: u16,
    /// Whether a request was run on the path that the key did not begin on.
    pub path_changed: bool,
}

impl State {
    pub(super) fn new(kind: KeyKind) -> Self {
        let request = RequestState {
            place: Place::NotIssued,
            repeat: false,
            told: Told::Nothing,
            at_upstream: AtUpstream::Nothing,
        };
        Self {
            kind,
            requests: [request; REQUESTS],
            issued: 0,
            settled: 0,
            boots: [HOME_BOOT; NODES],
            memories: [Record::Absent; NODES],
            expired: false,
            handover: None,
            received: None,
            row: Record::Absent,
            writes: 0,
            path_changed: false,
        }
    }

    pub(super) fn issue(&mut self, write: Write) {
        self.writes |= write.bit();
    }

    pub(super) fn is_issued(&self, write: Write) -> bool {
        self.writes & write.bit() != 0
    }

    pub(super) fn move_to(&mut self, request: Request, place: Place) {
        self.requests[request].place = place;
    }

    /// Answers a request, unless it was answered before. The caller listens to its newest only.
    pub(super) fn tell(&mut self, request: Request, told: Told) {
        if self.requests[request].told != Told::Nothing {
            return;
        }
        self.requests[request].told = told;
        if told == Told::NotRun && request + 1 == self.issued {
            self.settled = self.issued;
        }
    }

    pub(super) fn end(&mut self, request: Request, told: Told) {
        self.tell(request, told);
        self.move_to(request, Place::Gone);
    }

    pub(super) fn ran(&self, request: Request) -> bool {
        self.requests[request].at_upstream == AtUpstream::Started
    }

    /// Whether the caller was told of this request that it did not run.
    pub(super) fn is_denied(&self, request: Request) -> bool {
        request < self.settled || self.requests[request].told == Told::NotRun
    }

    /// Whether a claim stands for a request that was told *not run* and no write will release it.
    pub(super) fn is_orphaned(&self, request: Request) -> bool {
        self.row == Record::Claimed(request)
            && self.requests[request].place == Place::Gone
            && self.requests[request].told == Told::NotRun
            && !self.is_issued(Write::Release(request))
            && !self.is_issued(Write::Tombstone(request))
    }
}
