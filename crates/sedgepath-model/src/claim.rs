//! Claims and tickets: an action that must run at most once.
//!
//! # Problem
//!
//! A caller asks for an action that must not run twice, through any entry VM, and repeats the
//! request through another one when it hears nothing. Writes to the platform's table may take
//! effect late or be repeated while their answers are lost, a node may be paused anywhere or crash,
//! and the upstream may start the request after the node has stopped waiting for it. The caller
//! believes two things: that the action runs at most once, and that *not run* means it never will.
//!
//! # Ways weighed
//!
//! - *A lease on the claim*, so that another node may take over: a lapse proves nothing, as the
//!   holder may only be paused ([`Safeguard::ClaimNeverTakenOver`]).
//! - *Believing a read that shows no claim*: an insert under way may still land
//!   ([`Safeguard::TombstoneBeforeNotRun`]).
//! - *A retry may claim any row that says not run*: a request of the same key that was delayed on
//!   its way to a paused node would claim it too, after the caller heard that the action did not
//!   run. Requests therefore carry an attempt number that rises with each, a row that says not run
//!   keeps the highest one it speaks for, and only a later attempt may claim anew
//!   ([`Safeguard::AttemptNumber`]).
//! - *A node that has sent nothing may say not run without the table*: true for its own request,
//!   but a repeat asks about the action, and an earlier request may have run elsewhere. Without the
//!   table a repeat is therefore told *unknown* ([`Safeguard::RepeatSettledByTable`]).
//! - *A list of used tickets for the peer on a planned stop, and *not run* for all others*: a
//!   ticket that was used and has expired is not on the list either. The list names the tickets
//!   that have not expired, used or not, and is made when nothing more is run
//!   ([`Safeguard::UnlistedIsUnknown`], [`Safeguard::HandOverIsFinal`]).
//!
//! # Properties
//!
//! 1. The key runs at most once ([`Violation::RanTwice`]).
//! 2. A request that was told *not run* never runs, before or later; and when the caller hears *not
//!    run* from its newest request, none of its requests up to then ever does
//!    ([`Violation::RanAfterNotRun`]).
//! 3. A key is run only on the path that it began on ([`Violation::PathChanged`]).
//! 4. After *not run* no claim stands that nobody will release; it would turn every retry into
//!    *unknown* ([`Violation::OrphanedClaim`]).
//!
//! # How it is modelled
//!
//! One key, either chosen by the caller or minted as a ticket by the first boot of node 0; two
//! nodes, three requests, two crashes. A write to the table, once issued, may be applied at any
//! later time and any number of times, which covers late, lost and repeated writes. The condition
//! of a claim is stated as one ("absent, or not run with a lower attempt"); the node reaches it by
//! an insert and, after a conflict, a write conditional on the version seen, which applies in fewer
//! cases. A caller listens only to its newest request. A pause is any step that comes late.
//!
//! # Left out
//!
//! Several keys in one transaction, keys reused with another request (refused by digest), the
//! expiry of finished rows, a request that the network delivers twice, and everything about time.
//! That the caller gets an answer at all is not a property here. A holder that crashes leaves its
//! claim *unknown* for good; property 4 allows for it, as such a holder said nothing.

mod state;

use crate::search::{Model, Step, Steps};
use crate::variant::Variant;

pub use state::{
    AtUpstream, HandOver, KeyKind, Place, Record, RequestState, State, Told, Work, Write,
};

type ModelSteps = Steps<Action, State>;

/// Nodes in the model.
const NODES: usize = 2;
/// Requests that the caller makes at most.
const REQUESTS: usize = 3;
/// Crashes that happen at most.
const CRASHES: u8 = 2;
/// The node that mints the ticket.
const HOME: Node = 0;
/// The boot of the home node that mints the ticket.
const HOME_BOOT: u8 = 0;

/// A node, by index.
pub type Node = usize;
/// A request, by index; its attempt number is the same.
pub type Request = usize;

/// A rule that the protocol relies on; the model can leave one out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Safeguard {
    /// After a lost answer the node reads the row before it sends anything.
    ReadBack,
    /// *Not run* is told to a repeat only after a row was written that late inserts collide with.
    TombstoneBeforeNotRun,
    /// A node that gives up its own insert leaves a tombstone.
    TombstoneAfterOwnInsert,
    /// A claim held by another request is never taken over, however old.
    ClaimNeverTakenOver,
    /// A release names the claim that it releases.
    ReleaseNamesHolder,
    /// A row that says not run is claimed anew only by a later attempt.
    AttemptNumber,
    /// A repeat is told *not run* only if the table says so.
    RepeatSettledByTable,
    /// A timeout is never taken as proof that nothing ran.
    TimeoutIsNoProof,
    /// A cancellation counts only once the upstream has confirmed it.
    CancellationConfirmed,
    /// Only the boot that minted a ticket runs it.
    TicketBoundToBoot,
    /// The home of a ticket remembers that it was used.
    UsedTicketsRemembered,
    /// The home runs no ticket that has expired, since it forgets those that were used.
    ExpiredTicketsRefused,
    /// Before a planned stop the home runs nothing more once it has listed its tickets for the
    /// peer.
    HandOverIsFinal,
    /// The peer says *not run* only of tickets on the list.
    UnlistedIsUnknown,
    /// A key never passes from one path to the other.
    PathsKeptApart,
}

impl Safeguard {
    /// All safeguards, in the order in which they are reported.
    pub const ALL: [Self; 15] = [
        Self::ReadBack,
        Self::TombstoneBeforeNotRun,
        Self::TombstoneAfterOwnInsert,
        Self::ClaimNeverTakenOver,
        Self::ReleaseNamesHolder,
        Self::AttemptNumber,
        Self::RepeatSettledByTable,
        Self::TimeoutIsNoProof,
        Self::CancellationConfirmed,
        Self::TicketBoundToBoot,
        Self::UsedTicketsRemembered,
        Self::ExpiredTicketsRefused,
        Self::HandOverIsFinal,
        Self::UnlistedIsUnknown,
        Self::PathsKeptApart,
    ];
}

/// What the search looks for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Violation {
    /// The upstreams started the action twice.
    RanTwice,
    /// The action ran although the caller was told that it did not.
    RanAfterNotRun,
    /// A key was run on the path that it did not begin on.
    PathChanged,
    /// A claim stands for a request that was told *not run*, and nobody is going to release it.
    OrphanedClaim,
}

impl Violation {
    /// All violations, the gravest first.
    pub const ALL: [Self; 4] =
        [Self::RanTwice, Self::RanAfterNotRun, Self::PathChanged, Self::OrphanedClaim];

    fn is_in(self, state: &State) -> bool {
        let mut requests = 0..state.issued;
        match self {
            Self::RanTwice => requests.filter(|&request| state.ran(request)).count() > 1,
            Self::RanAfterNotRun => {
                requests.any(|request| state.ran(request) && state.is_denied(request))
            }
            Self::PathChanged => state.path_changed,
            Self::OrphanedClaim => requests.any(|request| state.is_orphaned(request)),
        }
    }
}

/// What can happen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Action {
    /// The caller makes its next request through this node.
    Issue(Node),
    /// The request reaches its node, which takes it up.
    TakeUp(Request),
    /// The request reaches its node, which refuses it.
    Refuse(Request),
    /// The request reaches its node, which runs it on the path that the key did not begin on.
    ChangePath(Request),
    /// The request reaches a node that forwards it to the home of its ticket.
    Forward(Request),
    /// The forwarding node stops waiting for the home of the ticket.
    ForwardTimeout(Request),
    /// The table applies the request's write and its answer arrives.
    TableAnswers(Request),
    /// The node stops waiting for the table.
    TableTimeout(Request),
    /// The node reads the row after a lost answer.
    ReadBack(Request),
    /// The node cannot read the row after a lost answer.
    ReadFails(Request),
    /// The node sends without having read the row.
    AssumeClaimed(Request),
    /// The holder sends the request to the upstream.
    Send(Request),
    /// The holder gives up before it sends.
    GiveUp(Request),
    /// The holder asks the upstream to cancel.
    Cancel(Request),
    /// The holder stops waiting for the upstream.
    UpstreamTimeout(Request),
    /// The upstream's word on the request reaches the holder.
    UpstreamAnswers(Request),
    /// The upstream starts the request.
    Start(Request),
    /// The upstream refuses the request, or its cancellation comes in time.
    Drop(Request),
    /// The table applies a write whose answer nobody gets.
    ApplyLate(Write),
    /// The ticket expires by the home's clock.
    Expire,
    /// The home lists its tickets for the peer.
    HandOver,
    /// The list reaches the peer.
    ReceiveHandOver,
    /// The node loses its memory and boots anew.
    Crash(Node),
}

/// The model of claims and tickets.
#[derive(Debug, Clone)]
pub struct ClaimModel {
    variant: Variant<Safeguard, Violation>,
    kind: Option<KeyKind>,
}

impl ClaimModel {
    /// Creates the model with all safeguards, searched for every violation.
    pub fn new() -> Self {
        Self { variant: Variant::new(), kind: None }
    }

    /// Explores only keys of this kind.
    pub fn with_kind(self, kind: KeyKind) -> Self {
        Self { kind: Some(kind), ..self }
    }

    /// Leaves out one safeguard.
    pub fn with_removed(self, removed: Safeguard) -> Self {
        Self { variant: self.variant.with_removed(removed), ..self }
    }

    /// Searches for this violation only, also past states that show another.
    pub fn with_searched(self, searched: Violation) -> Self {
        Self { variant: self.variant.with_searched(searched), ..self }
    }

    fn keeps(&self, safeguard: Safeguard) -> bool {
        self.variant.keeps(safeguard)
    }

    /// Applies a write if its condition holds.
    fn apply(&self, row: Record, write: Write) -> Record {
        match write {
            Write::Claim(request) if self.claimable(row, request) => Record::Claimed(request),
            Write::Tombstone(request) if tombstone_fits(row, request) => Record::NotRun(request),
            // A release is repeated when its answer is lost. By then another request may hold the
            // key; without the holder's name in the condition its claim would be wiped out and a
            // third request could run the action again.
            Write::Release(request)
                if row == Record::Claimed(request)
                    || !self.keeps(Safeguard::ReleaseNamesHolder) =>
            {
                Record::NotRun(request)
            }
            Write::Finish(request) if row == Record::Claimed(request) => Record::Done,
            _ => row,
        }
    }

    /// Says whether a request may claim the key.
    ///
    /// A request may reach a paused node long before the caller gives it up and be taken up after
    /// the caller heard *not run* from a later one. It carries the lower attempt number, so it
    /// can't claim the row that the later one left.
    fn claimable(&self, record: Record, request: Request) -> bool {
        match record {
            Record::Absent => true,
            Record::NotRun(last) => last < request || !self.keeps(Safeguard::AttemptNumber),
            Record::Claimed(_) | Record::Done => false,
        }
    }

    /// Lists what can happen to a request on its way to a node.
    fn arrivals(&self, state: &State, request: Request, node: Node, steps: &mut ModelSteps) {
        match state.kind {
            KeyKind::Chosen => self.chosen_arrives(request, node, steps),
            KeyKind::Ticket if node == HOME => self.ticket_arrives(state, request, steps),
            KeyKind::Ticket => {
                if let Some(handover) = state.received {
                    steps.add(Action::TakeUp(request), |s| {
                        s.end(request, self.told_by_handover(handover));
                    });
                    return;
                }
                steps.add(Action::Forward(request), |s| {
                    s.move_to(request, Place::ToHome);
                });
                if !self.keeps(Safeguard::PathsKeptApart) {
                    steps.add(Action::ChangePath(request), |s| {
                        s.path_changed = true;
                        claim(s, request, node);
                    });
                }
            }
        }
    }

    fn chosen_arrives(&self, request: Request, node: Node, steps: &mut ModelSteps) {
        steps.add(Action::TakeUp(request), |s| claim(s, request, node));
        steps.add(Action::Refuse(request), |s| {
            self.refuse_chosen(s, request, node);
        });
        if !self.keeps(Safeguard::PathsKeptApart) {
            steps.add(Action::ChangePath(request), |s| {
                s.path_changed = true;
                self.run_as_ticket(s, request, node);
            });
        }
    }

    /// Refuses a request with a chosen key.
    ///
    /// An earlier request of the same key may have its insert under way. If a repeat were told *not
    /// run* because no row is there, the insert would land later and its holder run the action. The
    /// tombstone makes that insert collide.
    fn refuse_chosen(&self, state: &mut State, request: Request, node: Node) {
        let settled_here =
            !state.requests[request].repeat || !self.keeps(Safeguard::RepeatSettledByTable);
        if settled_here {
            state.end(request, Told::NotRun);
        } else if self.keeps(Safeguard::TombstoneBeforeNotRun) {
            state.issue(Write::Tombstone(request));
            state.move_to(request, Place::At(node, Work::Tombstoning));
        } else {
            let told = match state.row {
                Record::Absent | Record::NotRun(_) => Told::NotRun,
                Record::Claimed(_) => Told::Unknown,
                Record::Done => Told::Answered,
            };
            state.end(request, told);
        }
    }

    fn ticket_arrives(&self, state: &State, request: Request, steps: &mut ModelSteps) {
        // A new boot does not know which tickets the last one used. It says *unknown* of all of
        // them; were it to run them, a used ticket would run twice.
        let alive = state.boots[HOME] == HOME_BOOT || !self.keeps(Safeguard::TicketBoundToBoot);
        if !alive {
            steps.add(Action::TakeUp(request), |s| {
                s.end(request, Told::Unknown);
            });
            return;
        }
        // After a run whose ticket was forgotten, the expired ticket looks unused.
        if state.expired && self.keeps(Safeguard::ExpiredTicketsRefused) {
            steps.add(Action::TakeUp(request), |s| s.end(request, Told::Unknown));
            return;
        }
        // What runs after the list was made is missing from it, and the peer would call it not run.
        if let Some(handover) = state.handover
            && self.keeps(Safeguard::HandOverIsFinal)
        {
            steps.add(Action::TakeUp(request), |s| {
                s.end(request, self.told_by_handover(handover));
            });
            return;
        }
        steps.add(Action::TakeUp(request), |s| {
            self.run_as_ticket(s, request, HOME);
        });
        if self.claimable(state.memories[HOME], request) {
            steps.add(Action::Refuse(request), |s| {
                s.memories[HOME] = Record::NotRun(request);
                s.end(request, Told::NotRun);
            });
        }
    }

    /// What a caller is told of a ticket whose home has prepared its stop.
    ///
    /// A ticket that was never used is certainly not run, as its home runs nothing more. One that
    /// is missing may have been used and forgotten, by a clock that is ahead of the peer's.
    fn told_by_handover(&self, handover: HandOver) -> Told {
        match handover {
            HandOver::Listed(Record::Done) => Told::Answered,
            HandOver::Listed(Record::Absent | Record::NotRun(_)) => Told::NotRun,
            HandOver::Unlisted if !self.keeps(Safeguard::UnlistedIsUnknown) => Told::NotRun,
            HandOver::Listed(Record::Claimed(_)) | HandOver::Unlisted => Told::Unknown,
        }
    }

    /// Runs a request whose key is kept in the node's memory, unless the memory forbids it.
    fn run_as_ticket(&self, state: &mut State, request: Request, node: Node) {
        let memory = state.memories[node];
        // A repeat reaches the home after the first request has used the ticket; without the
        // memory of it the home would run the action for each of them.
        let free = self.claimable(memory, request) || !self.keeps(Safeguard::UsedTicketsRemembered);
        if free {
            state.memories[node] = Record::Claimed(request);
            send(state, request, node);
            return;
        }
        let told = match memory {
            Record::Done => Told::Answered,
            Record::NotRun(_) => Told::NotRun,
            Record::Absent | Record::Claimed(_) => Told::Unknown,
        };
        state.end(request, told);
    }

    /// Lists what a node can do with a request that it works on.
    fn work(
        &self,
        state: &State,
        request: Request,
        node: Node,
        work: Work,
        steps: &mut ModelSteps,
    ) {
        match work {
            Work::Claiming => {
                steps.add(Action::TableAnswers(request), |s| {
                    self.claim_answered(s, request, node);
                });
                steps.add(Action::TableTimeout(request), |s| {
                    s.move_to(request, Place::At(node, Work::Uncertain));
                });
            }
            Work::Uncertain => self.uncertain(request, node, steps),
            Work::Tombstoning => {
                steps.add(Action::TableAnswers(request), |s| {
                    s.row = self.apply(s.row, Write::Tombstone(request));
                    let told = told_by_row(s.row);
                    s.end(request, told);
                });
                steps.add(Action::TableTimeout(request), |s| {
                    self.end_without_table(s, request);
                });
            }
            Work::Holding => {
                steps.add(Action::Send(request), |s| send(s, request, node));
                steps.add(Action::GiveUp(request), |s| {
                    not_run(s, request, node);
                });
            }
            Work::Sent | Work::Cancelling => self.sent(state, request, node, work, steps),
        }
    }

    fn claim_answered(&self, state: &mut State, request: Request, node: Node) {
        state.row = self.apply(state.row, Write::Claim(request));
        // A claim that looks lapsed may belong to a node that is only paused, between its claim and
        // its send. Taken over, the action would run here and again when that node wakes.
        let lapsed = matches!(state.row, Record::Claimed(holder) if holder != request);
        if lapsed && !self.keeps(Safeguard::ClaimNeverTakenOver) {
            state.row = Record::Claimed(request);
        }
        if state.row == Record::Claimed(request) {
            state.move_to(request, Place::At(node, Work::Holding));
        } else {
            let told = told_by_row(state.row);
            state.end(request, told);
        }
    }

    /// Lists what a node does that got no answer to its claim.
    fn uncertain(&self, request: Request, node: Node, steps: &mut ModelSteps) {
        // The claim may have lost against another one. Sending without a look at the row would run
        // the action next to the holder's run.
        if !self.keeps(Safeguard::ReadBack) {
            steps.add(Action::AssumeClaimed(request), |s| {
                s.move_to(request, Place::At(node, Work::Holding));
            });
        }
        steps.add(Action::ReadBack(request), |s| {
            self.read_back(s, request, node);
        });
        steps.add(Action::ReadFails(request), |s| {
            // Nothing was sent, so nothing ran; but the insert may still land and would hold the
            // key for good. The tombstone collides with it, or turns the claim to not run.
            if self.keeps(Safeguard::TombstoneAfterOwnInsert) {
                s.issue(Write::Tombstone(request));
            }
            self.end_without_table(s, request);
        });
    }

    fn read_back(&self, state: &mut State, request: Request, node: Node) {
        if state.row == Record::Claimed(request) {
            state.move_to(request, Place::At(node, Work::Holding));
        } else if !self.claimable(state.row, request) {
            let told = told_by_row(state.row);
            state.end(request, told);
        } else if self.keeps(Safeguard::TombstoneAfterOwnInsert) {
            state.issue(Write::Tombstone(request));
            state.move_to(request, Place::At(node, Work::Tombstoning));
        } else {
            state.end(request, Told::NotRun);
        }
    }

    /// Ends a request that was never sent and of which the table says nothing.
    ///
    /// The caller of a repeat asks about the action, not about this request: an earlier one may
    /// have run through another node. Only the table can exclude that, so without it a repeat is
    /// told *unknown*.
    fn end_without_table(&self, state: &mut State, request: Request) {
        let told = if state.requests[request].repeat && self.keeps(Safeguard::RepeatSettledByTable)
        {
            Told::Unknown
        } else {
            Told::NotRun
        };
        state.end(request, told);
    }

    /// Lists what happens to a request that was sent to the upstream.
    fn sent(
        &self,
        state: &State,
        request: Request,
        node: Node,
        work: Work,
        steps: &mut ModelSteps,
    ) {
        let current = &state.requests[request];
        if matches!(current.at_upstream, AtUpstream::Started | AtUpstream::NotStarted) {
            steps.add(Action::UpstreamAnswers(request), |s| {
                if s.ran(request) {
                    finish(s, request, node);
                } else {
                    not_run(s, request, node);
                }
            });
        }
        if work == Work::Sent {
            steps.add(Action::Cancel(request), |s| {
                // The request may have started before the cancellation reached the upstream.
                if !self.keeps(Safeguard::CancellationConfirmed) {
                    s.tell(request, Told::NotRun);
                }
                s.move_to(request, Place::At(node, Work::Cancelling));
            });
        }
        if current.told == Told::Nothing {
            steps.add(Action::UpstreamTimeout(request), |s| {
                s.tell(request, self.timeout());
            });
        }
    }

    /// What a caller is told after a timeout.
    ///
    /// Silence does not show whether the other side has the request: it may start it at any later
    /// moment. The caller would take *not run* for leave to act again.
    fn timeout(&self) -> Told {
        if self.keeps(Safeguard::TimeoutIsNoProof) { Told::Unknown } else { Told::NotRun }
    }

    fn request_steps(&self, state: &State, request: Request, steps: &mut ModelSteps) {
        match state.requests[request].place {
            Place::NotIssued | Place::Gone => {}
            Place::ToNode(node) => self.arrivals(state, request, node, steps),
            Place::ToHome => {
                self.ticket_arrives(state, request, steps);
                if state.requests[request].told == Told::Nothing {
                    steps.add(Action::ForwardTimeout(request), |s| {
                        s.tell(request, self.timeout());
                    });
                }
            }
            Place::At(node, work) => self.work(state, request, node, work, steps),
        }
        if state.requests[request].at_upstream == AtUpstream::Waiting {
            for (action, outcome) in [
                (Action::Start(request), AtUpstream::Started),
                (Action::Drop(request), AtUpstream::NotStarted),
            ] {
                steps.add(action, |s| s.requests[request].at_upstream = outcome);
            }
        }
    }

    fn table_steps(&self, state: &State, steps: &mut ModelSteps) {
        for request in 0..state.issued {
            for write in [
                Write::Claim(request),
                Write::Tombstone(request),
                Write::Release(request),
                Write::Finish(request),
            ] {
                if state.is_issued(write) {
                    steps.add(Action::ApplyLate(write), |s| {
                        s.row = self.apply(s.row, write);
                    });
                }
            }
        }
    }
}

impl Default for ClaimModel {
    fn default() -> Self {
        Self::new()
    }
}

fn tombstone_fits(row: Record, request: Request) -> bool {
    match row {
        Record::Absent => true,
        Record::NotRun(last) => last < request,
        Record::Claimed(holder) => holder == request,
        Record::Done => false,
    }
}

fn claim(state: &mut State, request: Request, node: Node) {
    state.issue(Write::Claim(request));
    state.move_to(request, Place::At(node, Work::Claiming));
}

fn send(state: &mut State, request: Request, node: Node) {
    state.requests[request].at_upstream = AtUpstream::Waiting;
    state.move_to(request, Place::At(node, Work::Sent));
}

/// Whether the key is held in the node's memory by this request, not by a claim in the table.
fn held_in_memory(state: &State, request: Request, node: Node) -> bool {
    state.memories[node] == Record::Claimed(request)
}

fn finish(state: &mut State, request: Request, node: Node) {
    if held_in_memory(state, request, node) {
        state.memories[node] = Record::Done;
    } else {
        state.issue(Write::Finish(request));
    }
    state.end(request, Told::Answered);
}

fn not_run(state: &mut State, request: Request, node: Node) {
    if held_in_memory(state, request, node) {
        state.memories[node] = Record::NotRun(request);
    } else {
        state.issue(Write::Release(request));
    }
    state.end(request, Told::NotRun);
}

/// What a row that the request does not hold says to its caller.
fn told_by_row(row: Record) -> Told {
    match row {
        Record::NotRun(_) => Told::NotRun,
        Record::Done => Told::Answered,
        Record::Absent | Record::Claimed(_) => Told::Unknown,
    }
}

fn caller_steps(state: &State, steps: &mut ModelSteps) {
    let newest = state.issued.checked_sub(1).map(|newest| state.requests[newest].told);
    if state.issued == REQUESTS || newest == Some(Told::Answered) {
        return;
    }
    for node in 0..NODES {
        steps.add(Action::Issue(node), |s| {
            let request = &mut s.requests[s.issued];
            request.place = Place::ToNode(node);
            request.repeat = s.settled < s.issued;
            s.issued += 1;
        });
    }
}

/// Lists what happens to the ticket's home apart from requests.
fn home_steps(state: &State, steps: &mut ModelSteps) {
    let memory = state.memories[HOME];
    let busy = matches!(memory, Record::Claimed(_));
    if state.kind != KeyKind::Ticket || state.boots[HOME] != HOME_BOOT || busy {
        return;
    }
    if !state.expired {
        steps.add(Action::Expire, |s| {
            s.expired = true;
            s.memories[HOME] = Record::Absent;
        });
    }
    if state.handover.is_none() {
        let handover = if state.expired { HandOver::Unlisted } else { HandOver::Listed(memory) };
        steps.add(Action::HandOver, |s| s.handover = Some(handover));
    }
}

fn crash_steps(state: &State, steps: &mut ModelSteps) {
    if state.boots.iter().sum::<u8>() == CRASHES {
        return;
    }
    for node in 0..NODES {
        steps.add(Action::Crash(node), |s| {
            s.boots[node] += 1;
            s.memories[node] = Record::Absent;
            if node != HOME {
                s.received = None;
            }
            for request in &mut s.requests {
                if matches!(request.place, Place::At(at, _) if at == node) {
                    request.place = Place::Gone;
                }
            }
        });
    }
}

impl Model for ClaimModel {
    type State = State;
    type Action = Action;
    type Violation = Violation;

    fn initial_states(&self) -> Vec<State> {
        [KeyKind::Chosen, KeyKind::Ticket]
            .into_iter()
            .filter(|kind| self.kind.is_none_or(|only| only == *kind))
            .map(State::new)
            .collect()
    }

    fn steps(&self, state: &State) -> Vec<Step<Action, State>> {
        let mut steps = Steps::new(state);
        caller_steps(state, &mut steps);
        for request in 0..state.issued {
            self.request_steps(state, request, &mut steps);
        }
        self.table_steps(state, &mut steps);
        home_steps(state, &mut steps);
        if state.handover.is_some() {
            steps.add(Action::ReceiveHandOver, |s| s.received = s.handover);
        }
        crash_steps(state, &mut steps);
        steps.into_vec()
    }

    fn violation(&self, state: &State) -> Option<Violation> {
        self.variant.first_violation(Violation::ALL, |violation| violation.is_in(state))
    }
}
