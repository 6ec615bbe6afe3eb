//! The tokens of one account that a VM holds.

use std::collections::VecDeque;
use std::net::SocketAddr;

use fastrand::Rng;

use super::{Admission, QuotaToken, Ticket};
use crate::direct::accounts::{AccountKey, Quota};
use crate::direct::decaying_rate::DecayingRate;
use crate::direct::quotas::lender::LentTokens;
use crate::direct::quotas::lenders::{Lender, LenderView};
use crate::direct::quotas::{QuotaBounds, TOKEN_LIFETIME_MS, TokenGrant, TokenRequest};

/// The time after which a lender that hasn't responded is passed over: two of the longest round
/// trips between regions, in milliseconds.
const LENDER_TIMEOUT_MS: u64 = 100;

/// The time for which such a lender isn't asked again, in milliseconds.
const UNRESPONSIVE_MS: u64 = 400;

/// The time of an account's demand for which tokens are requested ahead, in seconds.
const PREFETCH_S: f64 = 0.2;

/// The time of an account's demand below which the held tokens are replenished, in seconds.
const REPLENISH_BELOW_S: f64 = 0.1;

/// The time constant of the estimated demand, in milliseconds.
const DEMAND_MEMORY_MS: f64 = 1_000.0;

/// The time constant of the estimated rate of admitted requests, in milliseconds.
const ADMITTED_MEMORY_MS: f64 = 5_000.0;

/// The longest time for which an account goes on at its recent rate while no lender responds, in
/// seconds of each window.
const MAX_UNBACKED_S: f64 = 1.0;

/// The share of the operators' margin that requests without a token may use, of all VMs together.
const UNBACKED_MARGIN_SHARE: f64 = 0.5;

/// The longest time until a caller over its quota returns, in milliseconds.
const MAX_RETRY_AFTER_MS: u64 = 2_000;

/// The delay that a caller is told when no lender responds, in milliseconds.
const NO_LENDER_RETRY_AFTER_MS: u64 = 400;

/// The most tokens in one request.
const MAX_TOKENS_PER_REQUEST: u16 = 1_000;

/// Where a VM gets tokens: the lenders, and itself for the slots that it lends.
pub(super) struct TokenSource<'a> {
    /// The VMs that lend.
    pub(super) view: &'a LenderView,
    /// Lends from one of this VM's own slots.
    pub(super) lend: &'a mut dyn FnMut(u8, u16) -> Option<LentTokens>,
    /// Draws the numbers of requests.
    pub(super) rng: &'a mut Rng,
}

/// Why a slot isn't asked for tokens for a while.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ClosedReason {
    UsedUp,
    Unresponsive,
}

#[derive(Debug, Clone, Copy)]
struct ClosedSlot {
    slot: u8,
    reason: ClosedReason,
    until_ms: u64,
}

/// A request for tokens that has no answer yet.
#[derive(Debug, Clone, Copy)]
pub(super) struct PendingRequest {
    nonce: u64,
    slot: u8,
    lender: SocketAddr,
    tokens: u16,
    asked_at_ms: u64,
}

/// The requests that an account may send while no lender responds.
#[derive(Debug, Clone, Copy, Default)]
struct UnbackedAllowance {
    left: u32,
    /// When the allowance is granted anew, in milliseconds.
    renewed_at_ms: u64,
}

/// The tokens of one account, and the requests for more.
#[derive(Debug, Default)]
pub(super) struct Holding {
    /// The expiry times of the held tokens in milliseconds, ascending.
    pub(super) tokens: VecDeque<u64>,
    pub(super) pending: Vec<PendingRequest>,
    closed: Vec<ClosedSlot>,
    pub(super) waiting: u32,
    pub(super) demand: DecayingRate,
    admitted: DecayingRate,
    unbacked: UnbackedAllowance,
    /// When the caller that was rejected last is to return, in milliseconds.
    last_return_at_ms: u64,
}

/// The result of asking for tokens.
pub(super) enum Asked {
    /// This VM lent itself some.
    Lent,
    /// A request is to be sent.
    Sent(SocketAddr, TokenRequest),
    /// No slot is open.
    Nobody,
}

impl Holding {
    /// Records the arrival of a request.
    pub(super) fn record_demand(&mut self, now_ms: u64) {
        self.demand.record(DEMAND_MEMORY_MS, now_ms);
    }

    /// Takes a token for a request, if one is left, and returns when it expires, in milliseconds.
    pub(super) fn take_token(&mut self, now_ms: u64) -> Option<u64> {
        let expires_at_ms = self.tokens.pop_front()?;
        self.admitted.record(ADMITTED_MEMORY_MS, now_ms);
        Some(expires_at_ms)
    }

    pub(super) fn remove_expired(&mut self, now_ms: u64) {
        while self.tokens.front().is_some_and(|expires_at_ms| *expires_at_ms <= now_ms) {
            self.tokens.pop_front();
        }
        self.closed.retain(|closed| now_ms < closed.until_ms);
        let (timed_out, pending): (Vec<_>, Vec<_>) = std::mem::take(&mut self.pending)
            .into_iter()
            .partition(|pending| pending.times_out_at_ms() <= now_ms);
        self.pending = pending;
        for PendingRequest { slot, .. } in timed_out {
            self.close(slot, ClosedReason::Unresponsive, now_ms + UNRESPONSIVE_MS);
        }
    }

    fn close(&mut self, slot: u8, reason: ClosedReason, until_ms: u64) {
        self.closed.retain(|closed| closed.slot != slot);
        self.closed.push(ClosedSlot { slot, reason, until_ms });
    }

    pub(super) fn open_slots(
        &self,
        account: AccountKey,
        view: &LenderView,
    ) -> impl Iterator<Item = u8> {
        let closed = &self.closed;
        view.preferred_slots(account)
            .filter(move |slot| closed.iter().all(|closed| closed.slot != *slot))
    }

    pub(super) fn pending_tokens(&self) -> u32 {
        self.pending.iter().map(|pending| u32::from(pending.tokens)).sum()
    }

    pub(super) fn next_timeout_ms(&self) -> Option<u64> {
        self.pending.iter().map(PendingRequest::times_out_at_ms).min()
    }

    /// Returns the tokens to ask for: for the waiting requests and this one, and ahead of demand.
    pub(super) fn wanted_tokens(&self, ahead: u32, now_ms: u64) -> u16 {
        let missing = f64::from(ahead + 1 - self.pending_tokens().min(ahead));
        let prefetched = (self.demand.per_s_at(DEMAND_MEMORY_MS, now_ms) * PREFETCH_S).floor();
        (missing + prefetched).min(f64::from(MAX_TOKENS_PER_REQUEST)) as u16
    }

    /// Records a grant, and returns whether it answers a request.
    pub(super) fn receive_grant(
        &mut self,
        from: SocketAddr,
        grant: TokenGrant,
        now_ms: u64,
    ) -> bool {
        let is_answered =
            |pending: &PendingRequest| pending.nonce == grant.nonce && pending.lender == from;
        let Some(index) = self.pending.iter().position(is_answered) else {
            return false;
        };
        let pending = self.pending.swap_remove(index);
        let lent = LentTokens {
            tokens: grant.tokens.min(pending.tokens),
            retry_after_ms: u64::from(grant.retry_after_ms),
        };
        self.add(lent, pending.slot, pending.asked_at_ms, now_ms);
        true
    }

    /// Asks the lenders of open slots in turn until one is asked or lends.
    pub(super) fn ask(
        &mut self,
        (account, tokens): (AccountKey, u16),
        source: &mut TokenSource<'_>,
        now_ms: u64,
    ) -> Asked {
        loop {
            let Some(slot) = self.open_slots(account, source.view).next() else {
                return Asked::Nobody;
            };
            match source.view.lender(account, slot) {
                None => self.close(slot, ClosedReason::UsedUp, now_ms + UNRESPONSIVE_MS),
                Some(Lender::Own) => {
                    let Some(granted) = (source.lend)(slot, tokens) else {
                        self.close(slot, ClosedReason::Unresponsive, now_ms + UNRESPONSIVE_MS);
                        continue;
                    };
                    self.add(granted, slot, now_ms, now_ms);
                    if granted.tokens > 0 {
                        return Asked::Lent;
                    }
                }
                Some(Lender::Other(lender)) => {
                    let nonce = source.rng.u64(..);
                    let asked_at_ms = now_ms;
                    self.pending.push(PendingRequest { nonce, slot, lender, tokens, asked_at_ms });
                    return Asked::Sent(lender, TokenRequest { nonce, account, slot, tokens });
                }
            }
        }
    }

    /// Adds tokens of a slot that were asked for at a time.
    fn add(&mut self, lent: LentTokens, slot: u8, asked_at_ms: u64, now_ms: u64) {
        let expires_at_ms = asked_at_ms + TOKEN_LIFETIME_MS;
        let index = self.tokens.partition_point(|at_ms| *at_ms <= expires_at_ms);
        for _ in 0..lent.tokens {
            self.tokens.insert(index, expires_at_ms);
        }
        if lent.retry_after_ms > 0 {
            let retry_after_ms = lent.retry_after_ms.min(MAX_RETRY_AFTER_MS);
            self.close(slot, ClosedReason::UsedUp, now_ms + retry_after_ms);
        }
    }

    /// Asks for tokens ahead of demand if few are left.
    pub(super) fn replenish(
        &mut self,
        account: AccountKey,
        source: &mut TokenSource<'_>,
        now_ms: u64,
    ) -> Option<(SocketAddr, TokenRequest)> {
        let demand_per_s = self.demand.per_s_at(DEMAND_MEMORY_MS, now_ms);
        let left = self.tokens.len() as f64 + f64::from(self.pending_tokens());
        let wanted = (demand_per_s * PREFETCH_S).floor();
        if wanted < 1.0 || left >= demand_per_s * REPLENISH_BELOW_S {
            return None;
        }
        let wanted = wanted.min(f64::from(MAX_TOKENS_PER_REQUEST)) as u16;
        match self.ask((account, wanted), source, now_ms) {
            Asked::Sent(to, request) => Some((to, request)),
            Asked::Lent | Asked::Nobody => None,
        }
    }

    /// Decides on a request for which no lender can be asked.
    ///
    /// While lenders don't respond, as after a partition until VMs choose others, the account goes on
    /// at its recent rate for a short time: without that, its requests would be rejected although it
    /// is far below its quota.
    pub(super) fn admit_without_token(
        &mut self,
        (account, quota): (AccountKey, Quota),
        bounds: &QuotaBounds,
        rng: &mut Rng,
        now_ms: u64,
    ) -> Admission {
        if let Some(retry_after_ms) = self.over_quota_for_ms(now_ms) {
            let retry_after_ms = self.schedule_return(retry_after_ms, now_ms);
            return Admission::OverQuota { retry_after_ms };
        }
        if now_ms >= self.unbacked.renewed_at_ms {
            let rate_per_s = quota.rate_per_s.max(1.0);
            let margin_s = UNBACKED_MARGIN_SHARE * bounds.spare_requests(quota) / rate_per_s;
            let allowed =
                self.admitted.per_s_at(ADMITTED_MEMORY_MS, now_ms) * margin_s.min(MAX_UNBACKED_S);
            // Rounded at random, so that VMs with few requests have their part of the sum.
            self.unbacked.left = (allowed + rng.f64()).floor() as u32;
            self.unbacked.renewed_at_ms = now_ms + bounds.window_ms;
        }
        if self.unbacked.left == 0 {
            return Admission::NoLender { retry_after_ms: NO_LENDER_RETRY_AFTER_MS };
        }
        self.unbacked.left -= 1;
        self.unbacked.renewed_at_ms = now_ms + bounds.window_ms;
        // Already expired, so that it can't be given back.
        Admission::Admitted(QuotaToken { account, expires_at_ms: now_ms })
    }

    /// Returns the time until a used-up slot has tokens again, if no lender is unresponsive, in
    /// milliseconds.
    pub(super) fn over_quota_for_ms(&self, now_ms: u64) -> Option<u64> {
        if self.closed.iter().any(|closed| closed.reason == ClosedReason::Unresponsive) {
            return None;
        }
        let until_ms = self.closed.iter().map(|closed| closed.until_ms).min()?;
        Some(until_ms.saturating_sub(now_ms).max(1))
    }

    /// Returns the time until a rejected caller should return, in milliseconds: after those rejected
    /// before it, at the rate at which the account is served, so that they don't return together.
    pub(super) fn schedule_return(&mut self, earliest_ms: u64, now_ms: u64) -> u64 {
        let interval_ms = 1_000.0 / self.admitted.per_s_at(ADMITTED_MEMORY_MS, now_ms).max(1.0);
        let at_ms = (self.last_return_at_ms + interval_ms as u64).max(now_ms + earliest_ms);
        self.last_return_at_ms = at_ms.min(now_ms + MAX_RETRY_AFTER_MS);
        self.last_return_at_ms - now_ms
    }

    pub(super) fn set_waiting(&mut self, ticket: &mut Ticket, is_waiting: bool) {
        self.waiting = self.waiting - u32::from(ticket.is_waiting) + u32::from(is_waiting);
        ticket.is_waiting = is_waiting;
    }
}

impl PendingRequest {
    fn times_out_at_ms(&self) -> u64 {
        self.asked_at_ms + LENDER_TIMEOUT_MS
    }
}
