//! The tokens that a VM holds, and its requests for more.

use std::collections::VecDeque;
use std::net::SocketAddr;

use fastrand::Rng;

use super::lender::LentTokens;
use super::lenders::{Lender, LenderView};
use super::{QuotaBounds, TOKEN_LIFETIME_MS, TokenGrant, TokenRequest};
use crate::direct::accounts::{AccountKey, Quota};
use crate::hash::Map;

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

/// The longest time that a request waits for tokens, in milliseconds.
const MAX_WAIT_MS: u64 = 300;

/// The longest time until a caller over its quota returns, in milliseconds.
const MAX_RETRY_AFTER_MS: u64 = 2_000;

/// The delay that a caller is told when no lender responds, in milliseconds.
const NO_LENDER_RETRY_AFTER_MS: u64 = 400;

/// The most tokens in one request.
const MAX_TOKENS_PER_REQUEST: u16 = 1_000;

/// The time after which an account without requests is forgotten, in milliseconds.
const FORGET_AFTER_MS: u64 = 30_000;

/// A token that was spent on a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QuotaToken {
    account: AccountKey,
    expires_at_ms: u64,
}

/// Whether a request may be sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// The request may be sent.
    Admitted(QuotaToken),
    /// A lender has been asked; to be decided again after a grant, or at this time in milliseconds.
    Waiting {
        /// When the lender counts as unresponsive.
        until_ms: u64,
    },
    /// The account is over its quota.
    OverQuota {
        /// The time until it may send again, in milliseconds.
        retry_after_ms: u64,
    },
    /// No lender responds, and the account has used up what it may send without.
    NoLender {
        /// The delay before the caller's next attempt, in milliseconds.
        retry_after_ms: u64,
    },
}

/// A request's place among those that wait for tokens.
#[derive(Debug, Default)]
pub struct Ticket {
    /// When the request must stop waiting, in milliseconds; `None` until it is first decided.
    waits_until_ms: Option<u64>,
    is_waiting: bool,
}

/// Why a slot isn't asked for tokens for a while.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Closure {
    UsedUp,
    Unresponsive,
}

#[derive(Debug, Clone, Copy)]
struct ClosedSlot {
    slot: u8,
    closure: Closure,
    until_ms: u64,
}

#[derive(Debug, Clone, Copy)]
struct PendingRequest {
    nonce: u64,
    slot: u8,
    lender: SocketAddr,
    tokens: u16,
    asked_at_ms: u64,
}

/// A rate that decays exponentially without events.
#[derive(Debug, Clone, Copy, Default)]
struct Rate {
    per_s: f64,
    at_ms: u64,
}

impl Rate {
    fn at(&self, memory_ms: f64, now_ms: u64) -> f64 {
        self.per_s * (-(now_ms.saturating_sub(self.at_ms) as f64) / memory_ms).exp()
    }

    fn record(&mut self, memory_ms: f64, now_ms: u64) {
        self.per_s = self.at(memory_ms, now_ms) + 1_000.0 / memory_ms;
        self.at_ms = now_ms;
    }
}

/// The requests that an account may send while no lender responds.
#[derive(Debug, Clone, Copy, Default)]
struct UnbackedAllowance {
    left: u32,
    /// When the allowance is granted anew, in milliseconds.
    renewed_at_ms: u64,
}

#[derive(Debug, Default)]
struct Holding {
    /// The expiry times of the held tokens in milliseconds, ascending.
    tokens: VecDeque<u64>,
    pending: Vec<PendingRequest>,
    closed: Vec<ClosedSlot>,
    waiting: u32,
    demand: Rate,
    admitted: Rate,
    unbacked: UnbackedAllowance,
    /// When the caller that was rejected last is to return, in milliseconds.
    last_return_at_ms: u64,
}

/// The tokens that a VM holds, by account.
#[derive(Debug)]
pub struct Holdings {
    by_account: Map<AccountKey, Holding>,
    outgoing: Vec<(SocketAddr, TokenRequest)>,
    rng: Rng,
}

impl Holdings {
    /// Creates the state of a VM that holds no tokens; `seed` differs between processes.
    pub fn new(seed: u64) -> Self {
        Self { by_account: Map::default(), outgoing: Vec::new(), rng: Rng::with_seed(seed) }
    }

    /// Decides whether a request may be sent. `lend` lends from this VM's own slots.
    pub fn admit(
        &mut self,
        (account, quota): (AccountKey, Quota),
        ticket: &mut Ticket,
        view: &LenderView,
        bounds: &QuotaBounds,
        lend: &mut dyn FnMut(u8, u16) -> Option<LentTokens>,
        now_ms: u64,
    ) -> Admission {
        let holding = self.by_account.entry(account).or_default();
        let waits_until_ms = *ticket.waits_until_ms.get_or_insert_with(|| {
            holding.demand.record(DEMAND_MEMORY_MS, now_ms);
            now_ms + MAX_WAIT_MS
        });
        holding.remove_expired(now_ms);
        let admission = loop {
            if let Some(expires_at_ms) = holding.tokens.pop_front() {
                holding.admitted.record(ADMITTED_MEMORY_MS, now_ms);
                break Admission::Admitted(QuotaToken { account, expires_at_ms });
            }
            if now_ms >= waits_until_ms {
                break holding.admit_without_token(quota, account, bounds, &mut self.rng, now_ms);
            }
            let ahead = holding.waiting - u32::from(ticket.is_waiting);
            if holding.pending_tokens() > ahead {
                let until_ms = holding.next_timeout_ms().unwrap_or(now_ms);
                break Admission::Waiting { until_ms };
            }
            let wanted = holding.wanted_tokens(ahead, now_ms);
            match holding.ask((account, wanted), view, lend, &mut self.rng, now_ms) {
                Asked::Lent => {}
                Asked::Sent(to, request) => self.outgoing.push((to, request)),
                Asked::Nobody if !holding.pending.is_empty() => {
                    let until_ms = holding.next_timeout_ms().unwrap_or(now_ms);
                    break Admission::Waiting { until_ms };
                }
                Asked::Nobody => {
                    break holding.admit_without_token(
                        quota,
                        account,
                        bounds,
                        &mut self.rng,
                        now_ms,
                    );
                }
            }
        };
        holding.set_waiting(ticket, matches!(admission, Admission::Waiting { .. }));
        if matches!(admission, Admission::Admitted(_))
            && let Some(request) = holding.replenish(account, view, lend, &mut self.rng, now_ms)
        {
            self.outgoing.push(request);
        }
        admission
    }

    /// Returns the time until an account may send again if it is over its quota, in milliseconds.
    pub fn over_quota_retry_after_ms(
        &mut self,
        account: AccountKey,
        view: &LenderView,
        now_ms: u64,
    ) -> Option<u64> {
        let holding = self.by_account.get_mut(&account)?;
        holding.remove_expired(now_ms);
        let may_get_tokens = !holding.tokens.is_empty()
            || !holding.pending.is_empty()
            || holding.open_slots(account, view).next().is_some();
        if may_get_tokens {
            return None;
        }
        let retry_after_ms = holding.over_quota_for_ms(now_ms)?;
        holding.demand.record(DEMAND_MEMORY_MS, now_ms);
        Some(holding.schedule_return(retry_after_ms, now_ms))
    }

    /// Ends the wait of a request.
    pub fn cancel(&mut self, account: AccountKey, ticket: &mut Ticket) {
        if let Some(holding) = self.by_account.get_mut(&account) {
            holding.set_waiting(ticket, false);
        }
    }

    /// Takes back the token of a request that was not run.
    pub fn give_back(&mut self, token: QuotaToken, now_ms: u64) {
        if let Some(holding) = self.by_account.get_mut(&token.account)
            && now_ms < token.expires_at_ms
        {
            let index = holding.tokens.partition_point(|at_ms| *at_ms <= token.expires_at_ms);
            holding.tokens.insert(index, token.expires_at_ms);
        }
    }

    /// Takes the requests for tokens to be sent.
    pub fn take_requests(&mut self) -> Vec<(SocketAddr, TokenRequest)> {
        std::mem::take(&mut self.outgoing)
    }

    /// Records a grant, and returns whether it answers a request.
    pub fn receive_grant(&mut self, from: SocketAddr, grant: TokenGrant, now_ms: u64) -> bool {
        let Some(holding) = self.by_account.get_mut(&grant.account) else {
            return false;
        };
        let is_answered =
            |pending: &PendingRequest| pending.nonce == grant.nonce && pending.lender == from;
        let Some(index) = holding.pending.iter().position(is_answered) else {
            return false;
        };
        let pending = holding.pending.swap_remove(index);
        let lent = LentTokens {
            tokens: grant.tokens.min(pending.tokens),
            retry_after_ms: u64::from(grant.retry_after_ms),
        };
        holding.add(lent, pending.slot, pending.asked_at_ms, now_ms);
        true
    }

    /// Forgets accounts without requests.
    pub fn remove_idle(&mut self, now_ms: u64) {
        self.by_account.retain(|_, holding| {
            holding.waiting > 0 || now_ms < holding.demand.at_ms + FORGET_AFTER_MS
        });
    }

    /// Returns the number of tokens of an account.
    pub fn held_tokens(&self, account: AccountKey) -> usize {
        self.by_account.get(&account).map_or(0, |holding| holding.tokens.len())
    }
}

/// The result of asking for tokens.
enum Asked {
    /// This VM lent itself some.
    Lent,
    /// A request is to be sent.
    Sent(SocketAddr, TokenRequest),
    /// No slot is open.
    Nobody,
}

impl Holding {
    fn remove_expired(&mut self, now_ms: u64) {
        while self.tokens.front().is_some_and(|expires_at_ms| *expires_at_ms <= now_ms) {
            self.tokens.pop_front();
        }
        self.closed.retain(|closed| now_ms < closed.until_ms);
        let (timed_out, pending): (Vec<_>, Vec<_>) = std::mem::take(&mut self.pending)
            .into_iter()
            .partition(|pending| pending.times_out_at_ms() <= now_ms);
        self.pending = pending;
        for PendingRequest { slot, .. } in timed_out {
            self.close(slot, Closure::Unresponsive, now_ms + UNRESPONSIVE_MS);
        }
    }

    fn close(&mut self, slot: u8, closure: Closure, until_ms: u64) {
        self.closed.retain(|closed| closed.slot != slot);
        self.closed.push(ClosedSlot { slot, closure, until_ms });
    }

    fn open_slots(&self, account: AccountKey, view: &LenderView) -> impl Iterator<Item = u8> {
        let closed = &self.closed;
        view.preferred_slots(account)
            .filter(move |slot| closed.iter().all(|closed| closed.slot != *slot))
    }

    fn pending_tokens(&self) -> u32 {
        self.pending.iter().map(|pending| u32::from(pending.tokens)).sum()
    }

    fn next_timeout_ms(&self) -> Option<u64> {
        self.pending.iter().map(PendingRequest::times_out_at_ms).min()
    }

    /// Returns the tokens to ask for: for the waiting requests and this one, and ahead of demand.
    fn wanted_tokens(&self, ahead: u32, now_ms: u64) -> u16 {
        let missing = f64::from(ahead + 1 - self.pending_tokens().min(ahead));
        let prefetched = (self.demand.at(DEMAND_MEMORY_MS, now_ms) * PREFETCH_S).floor();
        (missing + prefetched).min(f64::from(MAX_TOKENS_PER_REQUEST)) as u16
    }

    /// Asks the lenders of open slots in turn until one is asked or lends.
    fn ask(
        &mut self,
        (account, tokens): (AccountKey, u16),
        view: &LenderView,
        lend: &mut dyn FnMut(u8, u16) -> Option<LentTokens>,
        rng: &mut Rng,
        now_ms: u64,
    ) -> Asked {
        loop {
            let Some(slot) = self.open_slots(account, view).next() else {
                return Asked::Nobody;
            };
            match view.lender(account, slot) {
                None => self.close(slot, Closure::UsedUp, now_ms + UNRESPONSIVE_MS),
                Some(Lender::Own) => {
                    let Some(granted) = lend(slot, tokens) else {
                        self.close(slot, Closure::Unresponsive, now_ms + UNRESPONSIVE_MS);
                        continue;
                    };
                    self.add(granted, slot, now_ms, now_ms);
                    if granted.tokens > 0 {
                        return Asked::Lent;
                    }
                }
                Some(Lender::Other(lender)) => {
                    let nonce = rng.u64(..);
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
            self.close(slot, Closure::UsedUp, now_ms + retry_after_ms);
        }
    }

    /// Asks for tokens ahead of demand if few are left.
    fn replenish(
        &mut self,
        account: AccountKey,
        view: &LenderView,
        lend: &mut dyn FnMut(u8, u16) -> Option<LentTokens>,
        rng: &mut Rng,
        now_ms: u64,
    ) -> Option<(SocketAddr, TokenRequest)> {
        let demand_per_s = self.demand.at(DEMAND_MEMORY_MS, now_ms);
        let left = self.tokens.len() as f64 + f64::from(self.pending_tokens());
        let wanted = (demand_per_s * PREFETCH_S).floor();
        if wanted < 1.0 || left >= demand_per_s * REPLENISH_BELOW_S {
            return None;
        }
        let wanted = wanted.min(f64::from(MAX_TOKENS_PER_REQUEST)) as u16;
        match self.ask((account, wanted), view, lend, rng, now_ms) {
            Asked::Sent(to, request) => Some((to, request)),
            Asked::Lent | Asked::Nobody => None,
        }
    }

    /// Decides on a request for which no lender can be asked.
    ///
    /// While lenders don't respond, as after a partition until VMs choose others, the account goes on
    /// at its recent rate for a short time: without that, its requests would be rejected although it
    /// is far below its quota.
    fn admit_without_token(
        &mut self,
        quota: Quota,
        account: AccountKey,
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
                self.admitted.at(ADMITTED_MEMORY_MS, now_ms) * margin_s.min(MAX_UNBACKED_S);
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
    fn over_quota_for_ms(&self, now_ms: u64) -> Option<u64> {
        if self.closed.iter().any(|closed| closed.closure == Closure::Unresponsive) {
            return None;
        }
        let until_ms = self.closed.iter().map(|closed| closed.until_ms).min()?;
        Some(until_ms.saturating_sub(now_ms).max(1))
    }

    /// Returns the time until a rejected caller should return, in milliseconds: after those rejected
    /// before it, at the rate at which the account is served, so that they don't return together.
    fn schedule_return(&mut self, earliest_ms: u64, now_ms: u64) -> u64 {
        let interval_ms = 1_000.0 / self.admitted.at(ADMITTED_MEMORY_MS, now_ms).max(1.0);
        let at_ms = (self.last_return_at_ms + interval_ms as u64).max(now_ms + earliest_ms);
        self.last_return_at_ms = at_ms.min(now_ms + MAX_RETRY_AFTER_MS);
        self.last_return_at_ms - now_ms
    }

    fn set_waiting(&mut self, ticket: &mut Ticket, is_waiting: bool) {
        self.waiting = self.waiting - u32::from(ticket.is_waiting) + u32::from(is_waiting);
        ticket.is_waiting = is_waiting;
    }
}

impl PendingRequest {
    fn times_out_at_ms(&self) -> u64 {
        self.asked_at_ms + LENDER_TIMEOUT_MS
    }
}
