//! The tokens that a VM holds, and its requests for more.

mod holding;

use std::net::SocketAddr;

use fastrand::Rng;

use self::holding::{Asked, Holding, TokenSource};
use super::lender::LentTokens;
use super::lenders::LenderView;
use super::{QuotaBounds, TokenGrant, TokenRequest};
use crate::direct::accounts::{AccountKey, Quota};
use crate::hash::Map;

/// The longest time that a request waits for tokens, in milliseconds.
const MAX_WAIT_MS: u64 = 300;

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
            holding.record_demand(now_ms);
            now_ms + MAX_WAIT_MS
        });
        holding.remove_expired(now_ms);
        let mut source = TokenSource { view, lend, rng: &mut self.rng };
        let admission = loop {
            if let Some(expires_at_ms) = holding.take_token(now_ms) {
                break Admission::Admitted(QuotaToken { account, expires_at_ms });
            }
            if now_ms >= waits_until_ms {
                break holding.admit_without_token((account, quota), bounds, source.rng, now_ms);
            }
            let ahead = holding.waiting - u32::from(ticket.is_waiting);
            if holding.pending_tokens() > ahead {
                let until_ms = holding.next_timeout_ms().unwrap_or(now_ms);
                break Admission::Waiting { until_ms };
            }
            let wanted = holding.wanted_tokens(ahead, now_ms);
            match holding.ask((account, wanted), &mut source, now_ms) {
                Asked::Lent => {}
                Asked::Sent(to, request) => self.outgoing.push((to, request)),
                Asked::Nobody if !holding.pending.is_empty() => {
                    let until_ms = holding.next_timeout_ms().unwrap_or(now_ms);
                    break Admission::Waiting { until_ms };
                }
                Asked::Nobody => {
                    break holding.admit_without_token(
                        (account, quota),
                        bounds,
                        source.rng,
                        now_ms,
                    );
                }
            }
        };
        holding.set_waiting(ticket, matches!(admission, Admission::Waiting { .. }));
        if matches!(admission, Admission::Admitted(_))
            && let Some(request) = holding.replenish(account, &mut source, now_ms)
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
        holding.record_demand(now_ms);
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
        let holding = self.by_account.get_mut(&grant.account);
        holding.is_some_and(|holding| holding.receive_grant(from, grant, now_ms))
    }

    /// Forgets accounts without requests.
    pub fn remove_idle(&mut self, now_ms: u64) {
        self.by_account.retain(|_, holding| {
            holding.waiting > 0 || now_ms < holding.demand.last_at_ms() + FORGET_AFTER_MS
        });
    }

    /// Returns the number of tokens of an account.
    pub fn held_tokens(&self, account: AccountKey) -> usize {
        self.by_account.get(&account).map_or(0, |holding| holding.tokens.len())
    }
}
