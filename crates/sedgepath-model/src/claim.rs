//! Model of claims and tickets: operations that must run at most once.
//!
//! A caller sends an operation through any entry VM and retries it through another one when it gets
//! no response. Writes to the table may be applied late or repeatedly, nodes may be paused or
//! crash, and the upstream may start a request after the node has stopped waiting for it.
//! [`Safeguard`] lists the rules that keep the properties.
//!
//! # Properties
//!
//! 1. A key runs at most once ([`Violation::RanTwice`]).
//! 2. A request that was reported *not run* never runs. If the newest request is reported *not
//!    run*, no earlier request runs either ([`Violation::RanAfterNotRun`]).
//! 3. A key runs only on the path that it began on ([`Violation::PathChanged`]).
//! 4. After *not run*, no claim is left that nobody will release ([`Violation::OrphanedClaim`]).
//!
//! # Scope
//!
//! One key, chosen by the caller or minted as a ticket; two nodes, three requests, two crashes. An
//! issued write may be applied at any later time and any number of times. The caller only reads the
//! response to its newest request. Not modeled: transactions with several keys, reuse of a key for
//! another request, expiry of finished rows, and requests delivered twice.

mod state;

use crate::search::{Model, Step, Steps};
use crate::variant::Variant;

pub use state::{
    KeyKind, KeyRecord, NodeWork, ReportedOutcome, RequestLocation, RequestState, State,
    TableWrite, TicketHandover, UpstreamState,
};

type ModelSteps = Steps<Action, State>;

const NODE_COUNT: usize = 2;
const MAX_REQUESTS: usize = 3;
const MAX_CRASHES: u8 = 2;
/// The node that mints the ticket.
const HOME_NODE: Node = 0;
/// The boot of [`HOME_NODE`] that mints the ticket.
const MINTING_BOOT: u8 = 0;

/// A node, by index.
pub type Node = usize;
/// A request, by index; the index is also its attempt number.
pub type Request = usize;

/// A rule of the protocol that a model can omit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Safeguard {
    /// After a table timeout, the node reads the row before it sends the request.
    ReadBack,
    /// A retry is reported *not run* only after a tombstone was written, so that a late insert
    /// conflicts.
    TombstoneBeforeNotRun,
    /// A node that cancels its own insert leaves a tombstone.
    TombstoneAfterOwnInsert,
    /// A claim held by another request is never taken over, regardless of its age.
    ClaimNeverTakenOver,
    /// A release is conditional on the claim that it releases.
    ReleaseNamesHolder,
    /// Only a request with a higher attempt number may claim a row that says not run.
    AttemptNumber,
    /// A retry is reported *not run* only if the table says so.
    RetrySettledByTable,
    /// A timeout is reported as *unknown*, because the operation may still run.
    TimeoutIsUnknown,
    /// A cancellation takes effect only when the upstream has confirmed it.
    CancellationConfirmed,
    /// Only the boot that minted a ticket runs it.
    TicketBoundToBoot,
    /// The home of a ticket records that the ticket was used.
    UsedTicketsRecorded,
    /// The home does not run expired tickets, because it drops the records of used ones.
    ExpiredTicketsRejected,
    /// Before a planned stop, the home runs no ticket after it has listed its tickets for the peer.
    NoRunsAfterHandover,
    /// The peer reports *unknown* for a ticket that is not on the list.
    UnlistedTicketIsUnknown,
    /// A key is never run both through the table and as a ticket.
    SeparatePaths,
}

impl Safeguard {
    /// All safeguards, in the order of the report.
    pub const ALL: [Self; 15] = [
        Self::ReadBack,
        Self::TombstoneBeforeNotRun,
        Self::TombstoneAfterOwnInsert,
        Self::ClaimNeverTakenOver,
        Self::ReleaseNamesHolder,
        Self::AttemptNumber,
        Self::RetrySettledByTable,
        Self::TimeoutIsUnknown,
        Self::CancellationConfirmed,
        Self::TicketBoundToBoot,
        Self::UsedTicketsRecorded,
        Self::ExpiredTicketsRejected,
        Self::NoRunsAfterHandover,
        Self::UnlistedTicketIsUnknown,
        Self::SeparatePaths,
    ];
}

/// A broken property.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Violation {
    /// The upstreams started the operation twice.
    RanTwice,
    /// The operation ran although the caller was told that it did not.
    RanAfterNotRun,
    /// A key was run on the path that it did not begin on.
    PathChanged,
    /// A claim is held for a request that was reported *not run*, and no write will release it.
    OrphanedClaim,
}

impl Violation {
    /// All violations, in the order in which a state is checked for them.
    pub const ALL: [Self; 4] =
        [Self::RanTwice, Self::RanAfterNotRun, Self::PathChanged, Self::OrphanedClaim];

    fn is_in(self, state: &State) -> bool {
        let mut requests = 0..state.issued_requests;
        match self {
            Self::RanTwice => requests.filter(|&request| state.has_run(request)).count() > 1,
            Self::RanAfterNotRun => requests
                .any(|request| state.has_run(request) && state.was_reported_not_run(request)),
            Self::PathChanged => state.path_changed,
            Self::OrphanedClaim => requests.any(|request| state.has_orphaned_claim(request)),
        }
    }
}

/// A step of the model.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Action {
    /// The caller sends its next request to the node.
    Issue(Node),
    /// The request reaches its node, which accepts it.
    Accept(Request),
    /// The request reaches its node, which rejects it.
    Reject(Request),
    /// The request reaches its node, which runs it on the other path.
    ChangePath(Request),
    /// The request reaches a node that forwards it to the ticket's home.
    Forward(Request),
    /// The forwarding node stops waiting for the ticket's home.
    ForwardTimeout(Request),
    /// The table applies the request's write and the node receives the response.
    TableResponds(Request),
    /// The node stops waiting for the table.
    TableTimeout(Request),
    /// The node reads the row after a table timeout.
    ReadBack(Request),
    /// The node cannot read the row after a table timeout.
    ReadBackFails(Request),
    /// The node assumes that it holds the claim without reading the row.
    AssumeClaimed(Request),
    /// The holder sends the request to the upstream.
    Send(Request),
    /// The holder cancels the request before it is sent.
    CancelBeforeSend(Request),
    /// The holder asks the upstream to cancel the request.
    Cancel(Request),
    /// The holder stops waiting for the upstream.
    UpstreamTimeout(Request),
    /// The upstream's response reaches the holder.
    UpstreamResponds(Request),
    /// The upstream starts the request.
    Start(Request),
    /// The upstream rejects the request, or cancels it before it starts.
    DropUnstarted(Request),
    /// The table applies a write whose response is lost.
    ApplyLate(TableWrite),
    /// The ticket expires by the home's clock.
    Expire,
    /// The home sends the list of its tickets to the peer.
    HandOverTickets,
    /// The list of tickets reaches the peer.
    ReceiveTickets,
    /// The node loses its memory and boots again.
    Crash(Node),
}

/// A model of claims and tickets.
#[derive(Debug, Clone)]
pub struct ClaimModel {
    variant: Variant<Safeguard, Violation>,
    key_kind: Option<KeyKind>,
}

impl ClaimModel {
    /// Creates a model with all safeguards, checked for every violation.
    pub fn new() -> Self {
        Self { variant: Variant::new(), key_kind: None }
    }

    /// Restricts the model to keys of one kind.
    pub fn with_key_kind(self, key_kind: KeyKind) -> Self {
        Self { key_kind: Some(key_kind), ..self }
    }

    /// Omits one safeguard.
    pub fn without_safeguard(self, removed: Safeguard) -> Self {
        Self { variant: self.variant.without_safeguard(removed), ..self }
    }

    /// Checks for one violation only and continues past states with another.
    pub fn with_target_violation(self, target: Violation) -> Self {
        Self { variant: self.variant.with_target_violation(target), ..self }
    }

    fn enforces(&self, safeguard: Safeguard) -> bool {
        self.variant.enforces(safeguard)
    }

    /// Returns the row after a write, which is applied only if its condition holds.
    fn apply_write(&self, row: KeyRecord, write: TableWrite) -> KeyRecord {
        match write {
            TableWrite::Claim(request) if self.can_claim(row, request) => {
                KeyRecord::Claimed(request)
            }
            TableWrite::Tombstone(request) if can_write_tombstone(row, request) => {
                KeyRecord::NotRun(request)
            }
            // A release is sent again when its response is lost. Another request may hold the key
            // by then, and an unconditional release would delete its claim.
            TableWrite::Release(request)
                if row == KeyRecord::Claimed(request)
                    || !self.enforces(Safeguard::ReleaseNamesHolder) =>
            {
                KeyRecord::NotRun(request)
            }
            TableWrite::Complete(request) if row == KeyRecord::Claimed(request) => {
                KeyRecord::Completed
            }
            _ => row,
        }
    }

    /// Returns whether a request may claim the key.
    ///
    /// A request that was delayed on its way to a paused node may be accepted after the caller got
    /// *not run* for a later one. Its lower attempt number keeps it from claiming the later
    /// request's row.
    fn can_claim(&self, record: KeyRecord, request: Request) -> bool {
        match record {
            KeyRecord::Absent => true,
            KeyRecord::NotRun(last) => last < request || !self.enforces(Safeguard::AttemptNumber),
            KeyRecord::Claimed(_) | KeyRecord::Completed => false,
        }
    }

    /// Adds the steps of a request that has not reached its node.
    fn arrival_steps(&self, state: &State, request: Request, node: Node, steps: &mut ModelSteps) {
        match state.key_kind {
            KeyKind::Chosen => self.chosen_key_steps(request, node, steps),
            KeyKind::Ticket if node == HOME_NODE => self.ticket_steps(state, request, steps),
            KeyKind::Ticket => {
                if let Some(handover) = state.received_handover {
                    steps.add(Action::Accept(request), |s| {
                        s.finish_request(request, self.outcome_from_handover(handover));
                    });
                    return;
                }
                steps.add(Action::Forward(request), |s| {
                    s.set_location(request, RequestLocation::ToHome);
                });
                if !self.enforces(Safeguard::SeparatePaths) {
                    steps.add(Action::ChangePath(request), |s| {
                        s.path_changed = true;
                        write_claim(s, request, node);
                    });
                }
            }
        }
    }

    fn chosen_key_steps(&self, request: Request, node: Node, steps: &mut ModelSteps) {
        steps.add(Action::Accept(request), |s| write_claim(s, request, node));
        steps.add(Action::Reject(request), |s| {
            self.reject_chosen_key(s, request, node);
        });
        if !self.enforces(Safeguard::SeparatePaths) {
            steps.add(Action::ChangePath(request), |s| {
                s.path_changed = true;
                self.run_as_ticket(s, request, node);
            });
        }
    }

    /// Rejects a request with a chosen key.
    ///
    /// The insert of an earlier request with the same key may still be applied, and its holder
    /// would run the operation. The tombstone makes that insert conflict.
    fn reject_chosen_key(&self, state: &mut State, request: Request, node: Node) {
        let needs_no_table =
            !state.requests[request].is_retry || !self.enforces(Safeguard::RetrySettledByTable);
        if needs_no_table {
            state.finish_request(request, ReportedOutcome::NotRun);
        } else if self.enforces(Safeguard::TombstoneBeforeNotRun) {
            state.issue_write(TableWrite::Tombstone(request));
            state.set_location(request, RequestLocation::AtNode(node, NodeWork::WritingTombstone));
        } else {
            let outcome = match state.row {
                KeyRecord::Absent | KeyRecord::NotRun(_) => ReportedOutcome::NotRun,
                KeyRecord::Claimed(_) => ReportedOutcome::Unknown,
                KeyRecord::Completed => ReportedOutcome::Answered,
            };
            state.finish_request(request, outcome);
        }
    }

    fn ticket_steps(&self, state: &State, request: Request, steps: &mut ModelSteps) {
        // A new boot does not know which tickets the previous boot used, so it reports *unknown*.
        let is_minting_boot =
            state.boots[HOME_NODE] == MINTING_BOOT || !self.enforces(Safeguard::TicketBoundToBoot);
        if !is_minting_boot {
            steps.add(Action::Accept(request), |s| {
                s.finish_request(request, ReportedOutcome::Unknown);
            });
            return;
        }
        // An expired ticket looks unused once its record is dropped.
        if state.ticket_expired && self.enforces(Safeguard::ExpiredTicketsRejected) {
            steps.add(Action::Accept(request), |s| {
                s.finish_request(request, ReportedOutcome::Unknown);
            });
            return;
        }
        // A run after the list was sent is missing from the list, and the peer would report *not
        // run*.
        if let Some(handover) = state.sent_handover
            && self.enforces(Safeguard::NoRunsAfterHandover)
        {
            steps.add(Action::Accept(request), |s| {
                s.finish_request(request, self.outcome_from_handover(handover));
            });
            return;
        }
        steps.add(Action::Accept(request), |s| {
            self.run_as_ticket(s, request, HOME_NODE);
        });
        if self.can_claim(state.memories[HOME_NODE], request) {
            steps.add(Action::Reject(request), |s| {
                s.memories[HOME_NODE] = KeyRecord::NotRun(request);
                s.finish_request(request, ReportedOutcome::NotRun);
            });
        }
    }

    /// Returns the outcome of a ticket whose home has sent its list before a planned stop.
    ///
    /// A listed unused ticket is *not run*, as its home runs no more tickets. An unlisted ticket
    /// may have been used, expired by the home's clock and dropped.
    fn outcome_from_handover(&self, handover: TicketHandover) -> ReportedOutcome {
        match handover {
            TicketHandover::Listed(KeyRecord::Completed) => ReportedOutcome::Answered,
            TicketHandover::Listed(KeyRecord::Absent | KeyRecord::NotRun(_)) => {
                ReportedOutcome::NotRun
            }
            TicketHandover::Unlisted if !self.enforces(Safeguard::UnlistedTicketIsUnknown) => {
                ReportedOutcome::NotRun
            }
            TicketHandover::Listed(KeyRecord::Claimed(_)) | TicketHandover::Unlisted => {
                ReportedOutcome::Unknown
            }
        }
    }

    /// Runs a request whose key is recorded in the node's memory, unless the record forbids it.
    fn run_as_ticket(&self, state: &mut State, request: Request, node: Node) {
        let memory = state.memories[node];
        // Without the record of the first run, the home would run the operation again for each
        // retry.
        let may_run =
            self.can_claim(memory, request) || !self.enforces(Safeguard::UsedTicketsRecorded);
        if may_run {
            state.memories[node] = KeyRecord::Claimed(request);
            send_to_upstream(state, request, node);
            return;
        }
        let outcome = match memory {
            KeyRecord::Completed => ReportedOutcome::Answered,
            KeyRecord::NotRun(_) => ReportedOutcome::NotRun,
            KeyRecord::Absent | KeyRecord::Claimed(_) => ReportedOutcome::Unknown,
        };
        state.finish_request(request, outcome);
    }

    /// Adds the steps of a node that works on a request.
    fn work_steps(
        &self,
        state: &State,
        request: Request,
        node: Node,
        work: NodeWork,
        steps: &mut ModelSteps,
    ) {
        match work {
            NodeWork::WritingClaim => {
                steps.add(Action::TableResponds(request), |s| {
                    self.handle_claim_response(s, request, node);
                });
                steps.add(Action::TableTimeout(request), |s| {
                    s.set_location(
                        request,
                        RequestLocation::AtNode(node, NodeWork::ClaimUnconfirmed),
                    );
                });
            }
            NodeWork::ClaimUnconfirmed => self.unconfirmed_claim_steps(request, node, steps),
            NodeWork::WritingTombstone => {
                steps.add(Action::TableResponds(request), |s| {
                    s.row = self.apply_write(s.row, TableWrite::Tombstone(request));
                    let outcome = outcome_from_row(s.row);
                    s.finish_request(request, outcome);
                });
                steps.add(Action::TableTimeout(request), |s| {
                    self.finish_without_table(s, request);
                });
            }
            NodeWork::HoldingClaim => {
                steps.add(Action::Send(request), |s| send_to_upstream(s, request, node));
                steps.add(Action::CancelBeforeSend(request), |s| {
                    record_not_run(s, request, node);
                });
            }
            NodeWork::AwaitingUpstream | NodeWork::AwaitingCancellation => {
                self.upstream_steps(state, request, node, work, steps);
            }
        }
    }

    fn handle_claim_response(&self, state: &mut State, request: Request, node: Node) {
        state.row = self.apply_write(state.row, TableWrite::Claim(request));
        // The holder may be paused between its claim and its send. A takeover would run the
        // operation twice.
        let held_by_other = matches!(state.row, KeyRecord::Claimed(holder) if holder != request);
        if held_by_other && !self.enforces(Safeguard::ClaimNeverTakenOver) {
            state.row = KeyRecord::Claimed(request);
        }
        if state.row == KeyRecord::Claimed(request) {
            state.set_location(request, RequestLocation::AtNode(node, NodeWork::HoldingClaim));
        } else {
            let outcome = outcome_from_row(state.row);
            state.finish_request(request, outcome);
        }
    }

    /// Adds the steps of a node whose claim got no response.
    fn unconfirmed_claim_steps(&self, request: Request, node: Node, steps: &mut ModelSteps) {
        // Another request may hold the claim, so sending without a read could run the operation
        // twice.
        if !self.enforces(Safeguard::ReadBack) {
            steps.add(Action::AssumeClaimed(request), |s| {
                s.set_location(request, RequestLocation::AtNode(node, NodeWork::HoldingClaim));
            });
        }
        steps.add(Action::ReadBack(request), |s| {
            self.handle_read_back(s, request, node);
        });
        steps.add(Action::ReadBackFails(request), |s| {
            // Nothing was sent, but the insert may still be applied and would hold the key forever.
            // The tombstone conflicts with the insert or turns the claim into not run.
            if self.enforces(Safeguard::TombstoneAfterOwnInsert) {
                s.issue_write(TableWrite::Tombstone(request));
            }
            self.finish_without_table(s, request);
        });
    }

    fn handle_read_back(&self, state: &mut State, request: Request, node: Node) {
        if state.row == KeyRecord::Claimed(request) {
            state.set_location(request, RequestLocation::AtNode(node, NodeWork::HoldingClaim));
        } else if !self.can_claim(state.row, request) {
            let outcome = outcome_from_row(state.row);
            state.finish_request(request, outcome);
        } else if self.enforces(Safeguard::TombstoneAfterOwnInsert) {
            state.issue_write(TableWrite::Tombstone(request));
            state.set_location(request, RequestLocation::AtNode(node, NodeWork::WritingTombstone));
        } else {
            state.finish_request(request, ReportedOutcome::NotRun);
        }
    }

    /// Ends a request that was never sent, without a result from the table.
    ///
    /// An earlier request may have run the operation through another node. Only the table can rule
    /// that out, so a retry is reported *unknown*.
    fn finish_without_table(&self, state: &mut State, request: Request) {
        let outcome =
            if state.requests[request].is_retry && self.enforces(Safeguard::RetrySettledByTable) {
                ReportedOutcome::Unknown
            } else {
                ReportedOutcome::NotRun
            };
        state.finish_request(request, outcome);
    }

    /// Adds the steps of a request that was sent to the upstream.
    fn upstream_steps(
        &self,
        state: &State,
        request: Request,
        node: Node,
        work: NodeWork,
        steps: &mut ModelSteps,
    ) {
        let current = &state.requests[request];
        if matches!(current.upstream_state, UpstreamState::Started | UpstreamState::NeverStarts) {
            steps.add(Action::UpstreamResponds(request), |s| {
                if s.has_run(request) {
                    record_completed(s, request, node);
                } else {
                    record_not_run(s, request, node);
                }
            });
        }
        if work == NodeWork::AwaitingUpstream {
            steps.add(Action::Cancel(request), |s| {
                // The request may have started before the cancellation reached the upstream.
                if !self.enforces(Safeguard::CancellationConfirmed) {
                    s.report_outcome(request, ReportedOutcome::NotRun);
                }
                s.set_location(
                    request,
                    RequestLocation::AtNode(node, NodeWork::AwaitingCancellation),
                );
            });
        }
        if current.reported == ReportedOutcome::Pending {
            steps.add(Action::UpstreamTimeout(request), |s| {
                s.report_outcome(request, self.timeout_outcome());
            });
        }
    }

    /// Returns the outcome reported after a timeout.
    ///
    /// The other side may still start the request, and a caller that got *not run* would send the
    /// operation again.
    fn timeout_outcome(&self) -> ReportedOutcome {
        if self.enforces(Safeguard::TimeoutIsUnknown) {
            ReportedOutcome::Unknown
        } else {
            ReportedOutcome::NotRun
        }
    }

    fn request_steps(&self, state: &State, request: Request, steps: &mut ModelSteps) {
        match state.requests[request].location {
            RequestLocation::NotIssued | RequestLocation::Inactive => {}
            RequestLocation::ToNode(node) => self.arrival_steps(state, request, node, steps),
            RequestLocation::ToHome => {
                self.ticket_steps(state, request, steps);
                if state.requests[request].reported == ReportedOutcome::Pending {
                    steps.add(Action::ForwardTimeout(request), |s| {
                        s.report_outcome(request, self.timeout_outcome());
                    });
                }
            }
            RequestLocation::AtNode(node, work) => {
                self.work_steps(state, request, node, work, steps);
            }
        }
        if state.requests[request].upstream_state == UpstreamState::Pending {
            for (action, outcome) in [
                (Action::Start(request), UpstreamState::Started),
                (Action::DropUnstarted(request), UpstreamState::NeverStarts),
            ] {
                steps.add(action, |s| s.requests[request].upstream_state = outcome);
            }
        }
    }

    fn table_steps(&self, state: &State, steps: &mut ModelSteps) {
        for request in 0..state.issued_requests {
            for write in [
                TableWrite::Claim(request),
                TableWrite::Tombstone(request),
                TableWrite::Release(request),
                TableWrite::Complete(request),
            ] {
                if state.is_write_issued(write) {
                    steps.add(Action::ApplyLate(write), |s| {
                        s.row = self.apply_write(s.row, write);
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

fn can_write_tombstone(row: KeyRecord, request: Request) -> bool {
    match row {
        KeyRecord::Absent => true,
        KeyRecord::NotRun(last) => last < request,
        KeyRecord::Claimed(holder) => holder == request,
        KeyRecord::Completed => false,
    }
}

fn write_claim(state: &mut State, request: Request, node: Node) {
    state.issue_write(TableWrite::Claim(request));
    state.set_location(request, RequestLocation::AtNode(node, NodeWork::WritingClaim));
}

fn send_to_upstream(state: &mut State, request: Request, node: Node) {
    state.requests[request].upstream_state = UpstreamState::Pending;
    state.set_location(request, RequestLocation::AtNode(node, NodeWork::AwaitingUpstream));
}

/// Returns whether the request holds the key in the node's memory instead of the table.
fn is_held_in_memory(state: &State, request: Request, node: Node) -> bool {
    state.memories[node] == KeyRecord::Claimed(request)
}

fn record_completed(state: &mut State, request: Request, node: Node) {
    if is_held_in_memory(state, request, node) {
        state.memories[node] = KeyRecord::Completed;
    } else {
        state.issue_write(TableWrite::Complete(request));
    }
    state.finish_request(request, ReportedOutcome::Answered);
}

fn record_not_run(state: &mut State, request: Request, node: Node) {
    if is_held_in_memory(state, request, node) {
        state.memories[node] = KeyRecord::NotRun(request);
    } else {
        state.issue_write(TableWrite::Release(request));
    }
    state.finish_request(request, ReportedOutcome::NotRun);
}

/// Returns the outcome of a request that does not hold the row.
fn outcome_from_row(row: KeyRecord) -> ReportedOutcome {
    match row {
        KeyRecord::NotRun(_) => ReportedOutcome::NotRun,
        KeyRecord::Completed => ReportedOutcome::Answered,
        KeyRecord::Absent | KeyRecord::Claimed(_) => ReportedOutcome::Unknown,
    }
}

fn caller_steps(state: &State, steps: &mut ModelSteps) {
    let newest = state.issued_requests.checked_sub(1).map(|newest| state.requests[newest].reported);
    if state.issued_requests == MAX_REQUESTS || newest == Some(ReportedOutcome::Answered) {
        return;
    }
    for node in 0..NODE_COUNT {
        steps.add(Action::Issue(node), |s| {
            let request = &mut s.requests[s.issued_requests];
            request.location = RequestLocation::ToNode(node);
            request.is_retry = s.settled_requests < s.issued_requests;
            s.issued_requests += 1;
        });
    }
}

/// Adds the steps of the ticket's home that concern no single request.
fn home_steps(state: &State, steps: &mut ModelSteps) {
    let memory = state.memories[HOME_NODE];
    let busy = matches!(memory, KeyRecord::Claimed(_));
    if state.key_kind != KeyKind::Ticket || state.boots[HOME_NODE] != MINTING_BOOT || busy {
        return;
    }
    if !state.ticket_expired {
        steps.add(Action::Expire, |s| {
            s.ticket_expired = true;
            s.memories[HOME_NODE] = KeyRecord::Absent;
        });
    }
    if state.sent_handover.is_none() {
        let handover = if state.ticket_expired {
            TicketHandover::Unlisted
        } else {
            TicketHandover::Listed(memory)
        };
        steps.add(Action::HandOverTickets, |s| s.sent_handover = Some(handover));
    }
}

fn crash_steps(state: &State, steps: &mut ModelSteps) {
    if state.boots.iter().sum::<u8>() == MAX_CRASHES {
        return;
    }
    for node in 0..NODE_COUNT {
        steps.add(Action::Crash(node), |s| {
            s.boots[node] += 1;
            s.memories[node] = KeyRecord::Absent;
            if node != HOME_NODE {
                s.received_handover = None;
            }
            for request in &mut s.requests {
                if matches!(request.location, RequestLocation::AtNode(at, _) if at == node) {
                    request.location = RequestLocation::Inactive;
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
            .filter(|kind| self.key_kind.is_none_or(|wanted| wanted == *kind))
            .map(State::new)
            .collect()
    }

    fn steps(&self, state: &State) -> Vec<Step<Action, State>> {
        let mut steps = Steps::new(state);
        caller_steps(state, &mut steps);
        for request in 0..state.issued_requests {
            self.request_steps(state, request, &mut steps);
        }
        self.table_steps(state, &mut steps);
        home_steps(state, &mut steps);
        if state.sent_handover.is_some() {
            steps.add(Action::ReceiveTickets, |s| s.received_handover = s.sent_handover);
        }
        crash_steps(state, &mut steps);
        steps.into_vec()
    }

    fn violation(&self, state: &State) -> Option<Violation> {
        self.variant.first_violation(Violation::ALL, |violation| violation.is_in(state))
    }
}
