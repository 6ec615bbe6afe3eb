//! The slots that a VM lends from.

use super::lenders::{Lender, LenderView};
use super::{LENT_RATE_SHARE, QuotaBounds};
use crate::direct::accounts::{AccountKey, Quota};
use crate::hash::Map;
use crate::rendezvous;

/// The longest time until a VM that got no token asks again, in milliseconds.
const MAX_RETRY_AFTER_MS: f64 = 2_000.0;

/// The shortest such time, in milliseconds.
const MIN_RETRY_AFTER_MS: f64 = 50.0;

/// The time whose tokens a new lender starts with, in milliseconds: it starts, or notices the silence of
/// the last lender, after at least as long.
const START_CREDIT_MS: u64 = 300;

/// The share of a bucket's capacity for which one holder is told to wait at most.
const MAX_CLAIM_SHARE: f64 = 0.5;

/// The time without requests after which a slot is forgotten, in milliseconds. Its bucket is full by
/// then.
const FORGET_AFTER_MS: u64 = 30_000;

/// Tokens lent from a slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LentTokens {
    /// The number of tokens.
    pub tokens: u16,
    /// The time until the slot has more for the same VM, in milliseconds; 0 if it lent all that were
    /// asked for.
    pub retry_after_ms: u64,
}

#[derive(Debug, Clone, Copy)]
struct Bucket {
    tokens: f64,
    refilled_at_ms: u64,
    /// When the tokens that were asked for and not lent will have accrued, in milliseconds.
    claimed_until_ms: f64,
    last_asked_at_ms: u64,
}

/// The buckets of the slots that a VM lends from.
#[derive(Debug, Default)]
pub struct LentSlots {
    buckets: Map<(AccountKey, u8), Bucket>,
}

impl LentSlots {
    /// Lends up to `wanted` tokens of an account's slot, or returns `None` if another VM is its lender.
    pub fn lend(
        &mut self,
        view: &LenderView,
        bounds: &QuotaBounds,
        (account, slot): (AccountKey, u8),
        quota: Quota,
        wanted: u16,
        now_ms: u64,
    ) -> Option<LentTokens> {
        if view.lender(account, slot) != Some(Lender::Own) {
            self.buckets.remove(&(account, slot));
            return None;
        }
        let share = view.slot_share(slot);
        let per_s = LENT_RATE_SHARE * quota.rate_per_s.max(0.0) * share;
        let capacity = capacity(bounds.saved_tokens(quota) * share, view, account);
        let new_bucket = || Bucket {
            tokens: 0.0,
            refilled_at_ms: view.unchanged_since_ms().saturating_sub(START_CREDIT_MS),
            claimed_until_ms: 0.0,
            last_asked_at_ms: now_ms,
        };
        let bucket = self.buckets.entry((account, slot)).or_insert_with(new_bucket);
        let elapsed_s = now_ms.saturating_sub(bucket.refilled_at_ms) as f64 / 1_000.0;
        bucket.tokens = (bucket.tokens + elapsed_s * per_s).min(capacity);
        bucket.refilled_at_ms = now_ms;
        bucket.last_asked_at_ms = now_ms;
        let tokens = (bucket.tokens.floor() as u16).min(wanted);
        bucket.tokens -= f64::from(tokens);
        let retry_after_ms = if tokens < wanted {
            bucket.claim(wanted - tokens, capacity, per_s, now_ms)
        } else {
            0
        };
        Some(LentTokens { tokens, retry_after_ms })
    }

    /// Forgets slots that nobody has asked for in a while, and those that other VMs lend by now: kept
    /// tokens would be lent beside theirs once this VM is the lender again.
    pub fn remove_unused(&mut self, view: &LenderView, now_ms: u64) {
        self.buckets.retain(|(account, slot), bucket| {
            now_ms < bucket.last_asked_at_ms + FORGET_AFTER_MS
                && view.lender(*account, *slot) == Some(Lender::Own)
        });
    }

    /// Returns the number of slots.
    pub fn len(&self) -> usize {
        self.buckets.len()
    }

    /// Returns whether there are no slots.
    pub fn is_empty(&self) -> bool {
        self.buckets.is_empty()
    }
}

impl Bucket {
    /// Notes tokens that were not lent, and returns the time until they will have accrued after those
    /// that others were told to wait for, in milliseconds. Holders thus return one after the other.
    ///
    /// A single holder returns before the bucket is full, so that nothing is lost.
    fn claim(&mut self, tokens: u16, capacity: f64, per_s: f64, now_ms: u64) -> u64 {
        if per_s <= 0.0 {
            return MAX_RETRY_AFTER_MS as u64;
        }
        let most = (MAX_CLAIM_SHARE * capacity).max(1.0);
        let missing = (f64::from(tokens).min(most) - self.tokens).max(0.0);
        let from_ms = self.claimed_until_ms.max(now_ms as f64);
        let until_ms = from_ms + missing / per_s * 1_000.0;
        let longest_ms = now_ms as f64 + MAX_RETRY_AFTER_MS;
        self.claimed_until_ms = until_ms.min(longest_ms);
        (self.claimed_until_ms - now_ms as f64).clamp(MIN_RETRY_AFTER_MS, MAX_RETRY_AFTER_MS) as u64
    }
}

/// Returns the most tokens that a bucket saves up. Below one it is rounded to 0 or 1 by a draw that
/// is fixed for the VM and the account, so that the sum over many lenders is right on average.
fn capacity(tokens: f64, view: &LenderView, account: AccountKey) -> f64 {
    if tokens >= 1.0 {
        return tokens;
    }
    let draw = (rendezvous::score(view.own().0, account.0) >> 11) as f64 / (1_u64 << 53) as f64;
    f64::from(u8::from(draw < tokens))
}
