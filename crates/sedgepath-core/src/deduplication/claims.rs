//! At-most-once execution under keys that callers choose, by claims in the platform's table.
//!
//! A caller may retry its request through any entry VM, table writes may be applied late or their
//! results may be lost, and nodes may pause or fail at any time. Still, an action runs at most once,
//! and an attempt for which the caller was told *not run* never runs. Claims are not leases: an
//! expired lease does not prove that a paused holder won't send the request.
//!
//! # Invariants
//!
//! - A request is sent only after its own claim is known to be in the table, from the result of the
//!   write or from a read that returns this request as the holder.
//! - A row in state *held* is changed only by requests of its holder's boot. The outcome of a key
//!   held by a failed node stays *unknown*, since the node may have sent the request.
//! - Every write of a row is conditional on the version that it replaces or on the row's absence, so
//!   a write that is applied late fails.
//! - A request that is given up while its write may still be applied leaves a tombstone, a row in
//!   state *not run*, with which the late write conflicts. The node retries until the tombstone is
//!   written. If the node fails before that, the late claim belongs to a failed holder: the action
//!   never runs and its outcome stays *unknown*.
//! - A row in state *not run* covers all attempts up to its number, so a delayed earlier attempt
//!   can't claim the key after the caller was told *not run*.

use crate::hash::{Digest, Map};
use crate::key::RequestKey;
use crate::outbox::Outbox;
use crate::request::{Outcome, RejectionReason, RequestHead, StoredAnswer};
use crate::table::{Row, RowCondition};

use super::batch::{Batcher, Reply, Requester};
use super::claim::{Claim, FinalState, Step};
use super::expiry::ExpiryQueue;
use super::row::{ClaimRow, ClaimState, Holder};
use super::{RETRY_AFTER_MS, conclude, is_denied, not_run, unsettled};

mod ending;

/// The maximum time that a request waits for its claim, in milliseconds.
const MAX_CLAIM_WAIT_MS: u64 = 1_000;

/// The maximum time that an outcome waits for the release of its claim, in milliseconds.
const MAX_RELEASE_WAIT_MS: u64 = 250;

/// The delay before the write of a final state is retried, in milliseconds.
const RETRY_MS: u64 = 500;

/// The maximum number of claims in progress on a node; further requests are rejected.
const MAX_CLAIMS: usize = 10_000;

/// The claims in progress on this node, and the rows that it removes when they expire.
#[derive(Debug, Default)]
pub struct Claims {
    by_request: Map<RequestKey, Claim>,
    by_key: Map<Digest, RequestKey>,
    granted: Vec<(RequestKey, RequestHead)>,
    expiry_queue: ExpiryQueue,
}

impl Claims {
    /// Handles a request; returns true if its claim is granted and it may be started.
    pub fn admit(
        &mut self,
        request: RequestKey,
        key: Digest,
        head: &RequestHead,
        batcher: &mut Batcher,
        out: &mut Outbox,
    ) -> bool {
        if let Some(claim) = self.by_request.get_mut(&request) {
            claim.step = Step::Running;
            return true;
        }
        if self.conclude_from_memory(request, key, head, out) {
            return false;
        }
        if self.by_request.len() >= MAX_CLAIMS {
            conclude(request, unsettled(head.attempt, RejectionReason::Claim), out);
            return false;
        }
        let give_up_at_ms = head.deadline_at_ms.min(out.now_ms() + MAX_CLAIM_WAIT_MS);
        let claim = Claim::new(key, head, give_up_at_ms);
        self.by_request.insert(request, claim);
        self.by_key.insert(key, request);
        // The row of a retried attempt probably exists, and a conflicting write would fail its whole
        // transaction.
        if head.attempt > 1 {
            batcher.read(Requester::Claim(request), vec![ClaimRow::key(key)]);
        } else {
            self.write_claim(request, RowCondition::Absent, batcher, out);
        }
        false
    }

    /// Concludes a request whose key has a claim in progress here; returns false if it has none or
    /// the claim's request was given up.
    fn conclude_from_memory(
        &self,
        request: RequestKey,
        key: Digest,
        head: &RequestHead,
        out: &mut Outbox,
    ) -> bool {
        let Some(claim) = self.by_key.get(&key).and_then(|holder| self.by_request.get(holder))
        else {
            return false;
        };
        let outcome = match &claim.step {
            _ if claim.digest != head.digest => Outcome::KeyReused,
            _ if claim.is_given_up() => return false,
            Step::WritingFinalState(FinalState::Answered(Some(stored))) => {
                Outcome::Repeated(stored.clone())
            }
            _ => Outcome::Unknown { retry_after_ms: RETRY_AFTER_MS },
        };
        conclude(request, outcome, out);
        true
    }

    /// Returns the requests whose claims were granted since the last call.
    pub fn take_granted(&mut self) -> Vec<(RequestKey, RequestHead)> {
        std::mem::take(&mut self.granted)
    }

    /// Returns the number of claims whose final state is not written yet.
    pub fn unsettled_count(&self) -> usize {
        self.by_request
            .values()
            .filter(|claim| claim.step != Step::WritingFinalState(FinalState::Expired))
            .count()
    }

    /// Handles the outcome of a request; returns it unless it has to wait for the claim's release.
    pub fn handle_outcome(
        &mut self,
        request: RequestKey,
        outcome: Outcome,
        batcher: &mut Batcher,
        out: &mut Outbox,
    ) -> Option<Outcome> {
        let Some(claim) = self.by_request.get_mut(&request).filter(|claim| claim.is_started())
        else {
            return Some(outcome);
        };
        if matches!(outcome, Outcome::Unknown { .. }) {
            self.drop_claim(request);
            return Some(outcome);
        }
        // An immediate retry of the caller should find the claim released.
        claim.held_outcome = Some((outcome, out.now_ms() + MAX_RELEASE_WAIT_MS));
        self.start_final_write(request, FinalState::NotRun, batcher);
        None
    }

    /// Handles the response to a request, to be stored for retries.
    pub fn handle_response(
        &mut self,
        request: RequestKey,
        stored: Option<StoredAnswer>,
        batcher: &mut Batcher,
    ) {
        if self.by_request.get(&request).is_some_and(|claim| claim.step == Step::Running) {
            self.start_final_write(request, FinalState::Answered(stored), batcher);
        }
    }

    /// Handles the disconnection of a request's caller.
    pub fn handle_caller_disconnect(&mut self, request: RequestKey, batcher: &mut Batcher) {
        let Some(claim) = self.by_request.get_mut(&request) else {
            return;
        };
        match claim.step {
            // The request may have been sent, and its end will not be reported here.
            Step::Granted | Step::Running => self.drop_claim(request),
            _ if claim.head.take().is_some() => self.give_up(request, batcher),
            _ => {}
        }
    }

    /// Handles the result of a claim's table request.
    pub fn handle_reply(
        &mut self,
        request: RequestKey,
        reply: Reply,
        batcher: &mut Batcher,
        out: &mut Outbox,
    ) {
        let Some(claim) = self.by_request.get_mut(&request) else {
            return;
        };
        match (claim.step.clone(), reply) {
            (Step::Claiming(_), Reply::Written) => self.grant(request, batcher, out),
            (Step::Claiming(_), Reply::Conflict(row)) => self.resolve(request, row, batcher, out),
            (Step::Claiming(condition), reply @ (Reply::Unknown | Reply::NotWritten)) => {
                if matches!(reply, Reply::Unknown) {
                    claim.unconfirmed_write = Some(condition);
                }
                claim.step = Step::Reading;
                batcher.read(Requester::Claim(request), vec![ClaimRow::key(claim.key)]);
            }
            (Step::Reading, Reply::Rows(rows)) => {
                self.resolve(request, rows.into_iter().next(), batcher, out);
            }
            (Step::Claiming(_) | Step::Reading, _) => {
                self.conclude_unsettled(request, out);
                self.abandon(request, batcher);
            }
            (Step::WritingFinalState(final_state), Reply::Rows(rows)) => {
                self.write_final_state(request, &final_state, rows.first(), batcher, out);
            }
            (Step::WritingFinalState(final_state), Reply::Written) => {
                self.finish_final_write(request, &final_state, out);
            }
            (
                Step::WritingFinalState(_),
                Reply::Conflict(_) | Reply::Unknown | Reply::NotWritten,
            ) => {
                batcher.read(Requester::Claim(request), vec![ClaimRow::key(claim.key)]);
            }
            (Step::WritingFinalState(_), Reply::Unavailable) => {
                claim.retry_at_ms = Some(out.now_ms() + RETRY_MS);
                self.release_outcome(request, out);
            }
            (Step::Granted | Step::Running, _) => {}
        }
    }

    /// Handles the timeouts and retries of claims, and starts to remove expired rows.
    pub fn tick(&mut self, batcher: &mut Batcher, out: &mut Outbox) {
        let now_ms = out.now_ms();
        let mut requests: Vec<_> = self.by_request.keys().copied().collect();
        requests.sort_unstable();
        for request in requests {
            let Some(claim) = self.by_request.get_mut(&request) else {
                continue;
            };
            let is_waiting = matches!(claim.step, Step::Claiming(_) | Step::Reading);
            if is_waiting && claim.head.is_some() && claim.give_up_at_ms <= now_ms {
                self.conclude_unsettled(request, out);
                self.give_up(request, batcher);
            } else if claim.retry_at_ms.is_some_and(|retry_at_ms| retry_at_ms <= now_ms) {
                claim.retry_at_ms = None;
                batcher.read(Requester::Claim(request), vec![ClaimRow::key(claim.key)]);
            } else if claim
                .held_outcome
                .as_ref()
                .is_some_and(|(_, send_at_ms)| *send_at_ms <= now_ms)
            {
                self.release_outcome(request, out);
            }
        }
        for row in self.expiry_queue.take_expired(now_ms) {
            let claim = Claim::expired(row.key, now_ms);
            self.by_request.insert(row.request, claim);
        }
    }

    fn write_claim(
        &mut self,
        request: RequestKey,
        condition: RowCondition,
        batcher: &mut Batcher,
        out: &Outbox,
    ) {
        let Some(claim) = self.by_request.get_mut(&request) else {
            return;
        };
        claim.step = Step::Claiming(condition.clone());
        let row = claim.row(holder(request, out), ClaimState::Held, out.now_ms());
        batcher.write(Requester::Claim(request), row.write(claim.key, condition));
    }

    /// Grants a claim that is in the table: the request may be started unless it was given up or its
    /// deadline has passed.
    fn grant(&mut self, request: RequestKey, batcher: &mut Batcher, out: &mut Outbox) {
        let Some(claim) = self.by_request.get_mut(&request) else {
            return;
        };
        claim.unconfirmed_write = None;
        match claim.head.take() {
            Some(head) if out.now_ms() < head.deadline_at_ms => {
                claim.step = Step::Granted;
                self.granted.push((request, head));
            }
            Some(_) => {
                conclude(request, not_run(RejectionReason::Deadline), out);
                self.start_final_write(request, FinalState::NotRun, batcher);
            }
            None => self.start_final_write(request, FinalState::NotRun, batcher),
        }
    }

    /// Decides the next step of a claim from the current value of its row.
    fn resolve(
        &mut self,
        request: RequestKey,
        row: Option<Row>,
        batcher: &mut Batcher,
        out: &mut Outbox,
    ) {
        let Some(row) = row else {
            // An earlier insert by this request may still be applied. Another one is safe, since
            // only one of the two can succeed and both have the same holder.
            if self.by_request.get(&request).is_some_and(|claim| claim.head.is_some()) {
                self.write_claim(request, RowCondition::Absent, batcher, out);
            } else {
                self.abandon(request, batcher);
            }
            return;
        };
        let Ok(stored_claim) = serde_json::from_str::<ClaimRow>(&row.value) else {
            self.conclude_without_claim(
                request,
                Outcome::Unknown { retry_after_ms: RETRY_AFTER_MS },
                out,
            );
            return;
        };
        if stored_claim.holder == holder(request, out) && stored_claim.state == ClaimState::Held {
            self.grant(request, batcher, out);
            return;
        }
        let Some(claim) = self.by_request.get(&request) else {
            return;
        };
        if claim.head.is_none() {
            self.abandon(request, batcher);
            return;
        }
        let (digest, attempt) = (claim.digest, claim.attempt);
        let outcome = match stored_claim.state {
            _ if stored_claim.digest != digest => Outcome::KeyReused,
            ClaimState::Answered(Some(stored)) => Outcome::Repeated(stored),
            ClaimState::NotRun if is_denied(attempt, stored_claim.attempt) => {
                not_run(RejectionReason::Claim)
            }
            ClaimState::NotRun => {
                self.write_claim(request, RowCondition::Version(row.version), batcher, out);
                return;
            }
            ClaimState::Held if self.is_given_up(stored_claim.holder, out) => {
                self.write_claim(request, RowCondition::Version(row.version), batcher, out);
                return;
            }
            ClaimState::Held | ClaimState::Answered(None) => {
                Outcome::Unknown { retry_after_ms: RETRY_AFTER_MS }
            }
        };
        self.conclude_without_claim(request, outcome, out);
    }

    /// Returns whether a row's holder is a request of this boot that was not run and will not be.
    fn is_given_up(&self, row_holder: Holder, out: &Outbox) -> bool {
        row_holder == holder(row_holder.request, out)
            && self.by_request.get(&row_holder.request).is_some_and(Claim::is_given_up)
    }

    /// Concludes a request that does not get a claim, and drops its claim.
    fn conclude_without_claim(&mut self, request: RequestKey, outcome: Outcome, out: &mut Outbox) {
        if self.by_request.get_mut(&request).is_some_and(|claim| claim.head.take().is_some()) {
            conclude(request, outcome, out);
        }
        self.drop_claim(request);
    }

    fn conclude_unsettled(&mut self, request: RequestKey, out: &mut Outbox) {
        let Some(claim) = self.by_request.get_mut(&request) else {
            return;
        };
        if claim.head.take().is_some() {
            conclude(request, unsettled(claim.attempt, RejectionReason::Claim), out);
        }
    }

    /// Gives up a claim. If a table request is in flight, the handler of its result releases the
    /// claim.
    fn give_up(&mut self, request: RequestKey, batcher: &mut Batcher) {
        if batcher.cancel_write(Requester::Claim(request)) {
            self.abandon(request, batcher);
        }
    }

    /// Ends a claim that is not granted and has no table request in flight. Starts to write a
    /// tombstone if a write with an unknown result may still be applied.
    fn abandon(&mut self, request: RequestKey, batcher: &mut Batcher) {
        if self.by_request.get(&request).is_some_and(|claim| claim.unconfirmed_write.is_some()) {
            self.start_final_write(request, FinalState::NotRun, batcher);
        } else {
            self.drop_claim(request);
        }
    }

    fn drop_claim(&mut self, request: RequestKey) {
        if let Some(claim) = self.by_request.remove(&request)
            && self.by_key.get(&claim.key) == Some(&request)
        {
            self.by_key.remove(&claim.key);
        }
    }
}

fn holder(request: RequestKey, out: &Outbox) -> Holder {
    Holder { vm: out.identity().vm, boot: out.identity().boot, request }
}
