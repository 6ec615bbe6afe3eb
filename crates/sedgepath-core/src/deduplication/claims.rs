//! Claims: actions that run at most once under a key that the caller chose.
//!
//! # Problem
//!
//! A caller repeats its request through any entry VM when it hears nothing. The writes of a node
//! to the table may take effect late or lose their answers, and the node may be paused or die
//! anywhere. The action must run at most once, and a caller that is told *not run* must be able
//! to rely on it for ever.
//!
//! # Ways weighed
//!
//! A lease on the claim, so that another node may take over, is unsafe: its lapse proves nothing,
//! since the holder may only be paused between its check and its send. A lock before the claim adds
//! a write and has the same fault. A claim written after the send proves nothing at all.
//!
//! # Invariants
//!
//! - A request is sent only after its own claim was seen in the table: the answer to the insert, or
//!   a reading that shows this very request as the holder.
//! - A row in state held is changed by its holder only. So a claim of a node that died stays, and the
//!   key stays *unknown*: a dead holder may have sent the request. That is the price.
//! - Every write of a row names the version that it replaces, or that there is none. A write that
//!   lands late meets another version and fails.
//! - A request that gives up while its insert may still land leaves a tombstone: a row that says
//!   *not run*, with which the late insert collides. The node goes on until the tombstone stands; if
//!   it dies before that, the late claim is one of a dead holder: never run, and *unknown* for good.
//! - A row that says *not run* speaks for all attempts up to its number, so a delayed earlier request
//!   can't claim after its caller has heard that the action did not run.

use crate::hash::{Digest, Map};
use crate::key::RequestKey;
use crate::outbox::Outbox;
use crate::request::{Outcome, RejectionReason, RequestHead, StoredAnswer};
use crate::table::{Row, RowCondition};

use super::batch::{Batcher, Job, Reply};
use super::claim::{Claim, End, Step};
use super::row::{ClaimRow, ClaimState, Holder};
use super::sweep::Sweep;
use super::{RETRY_AFTER_MS, conclude, is_denied, not_run, unsettled};

mod ending;

/// The longest that a request waits for its claim, in milliseconds.
const CLAIM_WAIT_MS: u64 = 1_000;

/// The longest that an outcome waits for the release of its claim, in milliseconds.
const RELEASE_WAIT_MS: u64 = 250;

/// The time until a write that failed is tried again, in milliseconds.
const RETRY_MS: u64 = 500;

/// The most claims that a node works on at once; further requests are refused.
const MAX_CLAIMS: usize = 10_000;

/// The claims that this node works on.
#[derive(Debug, Default)]
pub struct Claims {
    by_request: Map<RequestKey, Claim>,
    by_key: Map<Digest, RequestKey>,
    granted: Vec<(RequestKey, RequestHead)>,
    sweep: Sweep,
}

impl Claims {
    /// Takes a request; returns true if it has its claim and may be started.
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
        if self.answer_from_memory(request, key, head, out) {
            return false;
        }
        if self.by_request.len() >= MAX_CLAIMS {
            conclude(request, unsettled(head.attempt, RejectionReason::Claim), out);
            return false;
        }
        let give_up_at_ms = head.deadline_at_ms.min(out.now_ms() + CLAIM_WAIT_MS);
        let claim = Claim::new(key, head, give_up_at_ms);
        self.by_request.insert(request, claim);
        self.by_key.insert(key, request);
        // A repeat most likely meets a row; a reading costs the others of its transaction nothing.
        if head.attempt > 1 {
            batcher.read(Job::Claim(request), vec![ClaimRow::key(key)]);
        } else {
            self.claim(request, RowCondition::Absent, batcher, out);
        }
        false
    }

    /// Answers a repeat of a key that this node works on.
    fn answer_from_memory(
        &self,
        request: RequestKey,
        key: Digest,
        head: &RequestHead,
        out: &mut Outbox,
    ) -> bool {
        let Some(known) = self.by_key.get(&key).and_then(|known| self.by_request.get(known)) else {
            return false;
        };
        let outcome = match &known.step {
            _ if known.digest != head.digest => Outcome::KeyReused,
            _ if known.is_given_up() => return false,
            Step::Ending(End::Answered(Some(stored))) => Outcome::Repeated(stored.clone()),
            _ => Outcome::Unknown { retry_after_ms: RETRY_AFTER_MS },
        };
        conclude(request, outcome, out);
        true
    }

    /// Returns the requests whose claims were granted since the last call.
    pub fn take_granted(&mut self) -> Vec<(RequestKey, RequestHead)> {
        std::mem::take(&mut self.granted)
    }

    /// Returns the number of claims whose rows do not yet say how they ended.
    pub fn unsettled(&self) -> usize {
        self.by_request.values().filter(|claim| claim.step != Step::Ending(End::Swept)).count()
    }

    /// Takes in the outcome of a request; returns it unless it has to wait for the release.
    pub fn concluded(
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
        // The retry that the caller makes at once should find the claim released.
        claim.held_back = Some((outcome, out.now_ms() + RELEASE_WAIT_MS));
        self.end(request, End::NotRun, batcher);
        None
    }

    /// Takes in the answer of a request, for its repeats.
    pub fn answered(
        &mut self,
        request: RequestKey,
        stored: Option<StoredAnswer>,
        batcher: &mut Batcher,
    ) {
        if self.by_request.get(&request).is_some_and(|claim| claim.step == Step::Running) {
            self.end(request, End::Answered(stored), batcher);
        }
    }

    /// Takes in that a request's caller has gone.
    pub fn caller_gone(&mut self, request: RequestKey, batcher: &mut Batcher) {
        let Some(claim) = self.by_request.get_mut(&request) else {
            return;
        };
        match claim.step {
            // It may have been sent; nobody here will learn of its end.
            Step::Granted | Step::Running => self.drop_claim(request),
            _ if claim.head.take().is_some() => self.give_up(request, batcher),
            _ => {}
        }
    }

    /// Takes in what became of a request to the table.
    pub fn replied(
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
            (Step::Claiming(against), reply @ (Reply::Lost | Reply::LeftOut)) => {
                if matches!(reply, Reply::Lost) {
                    claim.may_land = Some(against);
                }
                claim.step = Step::Reading;
                batcher.read(Job::Claim(request), vec![ClaimRow::key(claim.key)]);
            }
            (Step::Reading, Reply::Rows(rows)) => {
                self.resolve(request, rows.into_iter().next(), batcher, out);
            }
            (Step::Claiming(_) | Step::Reading, _) => {
                self.tell_unsettled(request, out);
                self.abandon(request, batcher);
            }
            (Step::Ending(end), Reply::Rows(rows)) => {
                self.write_end(request, &end, rows.first(), batcher, out);
            }
            (Step::Ending(end), Reply::Written) => self.ended(request, &end, out),
            (Step::Ending(_), Reply::Conflict(_) | Reply::Lost | Reply::LeftOut) => {
                batcher.read(Job::Claim(request), vec![ClaimRow::key(claim.key)]);
            }
            (Step::Ending(_), Reply::Refused) => {
                claim.retry_at_ms = Some(out.now_ms() + RETRY_MS);
                self.release_outcome(request, out);
            }
            (Step::Granted | Step::Running, _) => {}
        }
    }

    /// Gives up what waits for too long, tries again what failed, and removes old rows.
    pub fn tick(&mut self, batcher: &mut Batcher, out: &mut Outbox) {
        let now_ms = out.now_ms();
        let mut requests: Vec<_> = self.by_request.keys().copied().collect();
        requests.sort_unstable();
        for request in requests {
            let Some(claim) = self.by_request.get_mut(&request) else {
                continue;
            };
            let waits = matches!(claim.step, Step::Claiming(_) | Step::Reading);
            if waits && claim.head.is_some() && claim.give_up_at_ms <= now_ms {
                self.tell_unsettled(request, out);
                self.give_up(request, batcher);
            } else if claim.retry_at_ms.is_some_and(|retry_at_ms| retry_at_ms <= now_ms) {
                claim.retry_at_ms = None;
                batcher.read(Job::Claim(request), vec![ClaimRow::key(claim.key)]);
            } else if claim.held_back.as_ref().is_some_and(|(_, by_ms)| *by_ms <= now_ms) {
                self.release_outcome(request, out);
            }
        }
        for due in self.sweep.due(now_ms) {
            let claim = Claim::swept(due.key, now_ms);
            self.by_request.insert(due.request, claim);
        }
    }

    fn claim(
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
        batcher.write(Job::Claim(request), row.write(claim.key, condition));
    }

    /// The claim stands: the request is started if somebody still waits for it.
    fn grant(&mut self, request: RequestKey, batcher: &mut Batcher, out: &mut Outbox) {
        let Some(claim) = self.by_request.get_mut(&request) else {
            return;
        };
        claim.may_land = None;
        match claim.head.take() {
            Some(head) if out.now_ms() < head.deadline_at_ms => {
                claim.step = Step::Granted;
                self.granted.push((request, head));
            }
            Some(_) => {
                conclude(request, not_run(RejectionReason::Deadline), out);
                self.end(request, End::NotRun, batcher);
            }
            None => self.end(request, End::NotRun, batcher),
        }
    }

    /// Decides by the row that stands where the claim was to be written.
    fn resolve(
        &mut self,
        request: RequestKey,
        row: Option<Row>,
        batcher: &mut Batcher,
        out: &mut Outbox,
    ) {
        let Some(row) = row else {
            // Nothing stands there, though an own insert may still land; a second one of the same
            // holder is as good, and only one of them can.
            if self.by_request.get(&request).is_some_and(|claim| claim.head.is_some()) {
                self.claim(request, RowCondition::Absent, batcher, out);
            } else {
                self.abandon(request, batcher);
            }
            return;
        };
        let Ok(known) = serde_json::from_str::<ClaimRow>(&row.value) else {
            self.refuse(request, Outcome::Unknown { retry_after_ms: RETRY_AFTER_MS }, out);
            return;
        };
        if known.holder == holder(request, out) && known.state == ClaimState::Held {
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
        let outcome = match known.state {
            _ if known.digest != digest => Outcome::KeyReused,
            ClaimState::Answered(Some(stored)) => Outcome::Repeated(stored),
            ClaimState::NotRun if is_denied(attempt, known.attempt) => {
                not_run(RejectionReason::Claim)
            }
            ClaimState::NotRun => {
                self.claim(request, RowCondition::Version(row.version), batcher, out);
                return;
            }
            ClaimState::Held if self.is_given_up(known.holder, out) => {
                self.claim(request, RowCondition::Version(row.version), batcher, out);
                return;
            }
            ClaimState::Held | ClaimState::Answered(None) => {
                Outcome::Unknown { retry_after_ms: RETRY_AFTER_MS }
            }
        };
        self.refuse(request, outcome, out);
    }

    /// Whether a row is held by a request of this boot that was not run and will not be.
    fn is_given_up(&self, other: Holder, out: &Outbox) -> bool {
        other == holder(other.request, out)
            && self.by_request.get(&other.request).is_some_and(Claim::is_given_up)
    }

    fn refuse(&mut self, request: RequestKey, outcome: Outcome, out: &mut Outbox) {
        if self.by_request.get_mut(&request).is_some_and(|claim| claim.head.take().is_some()) {
            conclude(request, outcome, out);
        }
        self.drop_claim(request);
    }

    fn tell_unsettled(&mut self, request: RequestKey, out: &mut Outbox) {
        let Some(claim) = self.by_request.get_mut(&request) else {
            return;
        };
        if claim.head.take().is_some() {
            conclude(request, unsettled(claim.attempt, RejectionReason::Claim), out);
        }
    }

    /// Ends the wait for a claim. A request to the table that is on its way goes on; its result
    /// finds that nobody waits.
    fn give_up(&mut self, request: RequestKey, batcher: &mut Batcher) {
        if batcher.take_back(Job::Claim(request)) {
            self.abandon(request, batcher);
        }
    }

    /// Ends a claim that is not granted and has nothing on its way whose result will come: nothing
    /// was sent to an upstream and nothing will be.
    fn abandon(&mut self, request: RequestKey, batcher: &mut Batcher) {
        if self.by_request.get(&request).is_some_and(|claim| claim.may_land.is_some()) {
            self.end(request, End::NotRun, batcher);
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
