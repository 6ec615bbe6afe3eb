//! The quotas of client accounts, which hold for all VMs together.
//!
//! Each account's quota is divided into fixed slots, some for each region, and each slot is lent out
//! by one VM of its region, which all VMs choose alike ([`lenders`]). A VM spends a token for each
//! request. It asks a lender for tokens when it has none, and ahead of demand where an account sends
//! many requests ([`holder`]). A lender has a token bucket for each of its slots ([`lender`]).
//!
//! # Why the sum holds
//!
//! - The slots add up to the quota, and a slot's bucket fills only with the share of its region's known
//!   VMs that the lender hears. Two lenders on both sides of a partition thus lend one slot together.
//! - A token expires [`TOKEN_LIFETIME_MS`] after its holder asked for it, by the holder's clock, and each
//!   grant answers one request for tokens. A suspended or restarted VM spends nothing from before.
//! - A lender that starts, or becomes the lender, begins with what its slot earns in the short time for
//!   which nobody can have lent it, and what it earned since.
//! - Lost, repeated and forged datagrams only lose tokens: a grant counts once, up to what was asked,
//!   from the VM that was asked.
//!
//! What VMs with different views may lend twice, and what a VM may send while no lender responds
//! ([`holder`]), stays within the margin that operators allow beyond the quota ([`QuotaBounds`]).

pub mod holder;
pub mod lender;
pub mod lenders;

use serde::{Deserialize, Serialize};

use self::holder::Holdings;
use self::lender::LentSlots;
use self::lenders::LenderView;
use super::accounts::{AccountKey, Quota};
use crate::key::VmKey;

pub use holder::{Admission, QuotaToken, Ticket};

/// The time for which a token may be spent after its holder asked for it, in milliseconds.
pub const TOKEN_LIFETIME_MS: u64 = 300;

/// The share of an account's rate that is lent out.
const LENT_RATE_SHARE: f64 = 0.95;

/// The share of an account's burst that lenders save up.
const LENT_BURST_SHARE: f64 = 0.5;

/// The share of the operators' slack that lenders save up, for accounts with a small burst.
const LENT_SLACK_SHARE: f64 = 0.3;

/// The margin by which the requests of all VMs together may exceed a quota.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct QuotaBounds {
    /// The window in which operators count an account's requests, in milliseconds.
    pub window_ms: u64,
    /// The share of the quota by which a window's requests may exceed it.
    pub overage: f64,
    /// The number of requests by which a window may exceed it beyond that.
    pub slack: f64,
}

impl QuotaBounds {
    /// Returns the most requests of an account that may run in a window.
    pub fn max_requests(&self, quota: Quota) -> f64 {
        let window_s = self.window_ms as f64 / 1_000.0;
        (quota.rate_per_s * window_s + quota.burst) * (1.0 + self.overage) + self.slack
    }

    /// Returns the requests of a window that neither the lent rate nor saved tokens use up.
    fn spare_requests(&self, quota: Quota) -> f64 {
        let lent_s = (self.window_ms + TOKEN_LIFETIME_MS) as f64 / 1_000.0;
        let lent = LENT_RATE_SHARE * quota.rate_per_s * lent_s + self.saved_tokens(quota);
        (self.max_requests(quota) - lent).max(0.0)
    }

    /// Returns the tokens that the lenders of an account save up together.
    fn saved_tokens(&self, quota: Quota) -> f64 {
        LENT_BURST_SHARE * quota.burst + LENT_SLACK_SHARE * self.slack
    }
}

/// A request for tokens, sent to a lender.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct TokenRequest {
    /// A random number that the grant repeats.
    pub nonce: u64,
    /// The client account.
    pub account: AccountKey,
    /// The slot of the account's quota.
    pub slot: u8,
    /// The number of tokens.
    pub tokens: u16,
}

/// A lender's response to a request for tokens.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct TokenGrant {
    /// The number of the request.
    pub nonce: u64,
    /// The client account.
    pub account: AccountKey,
    /// The number of tokens; fewer than requested if the slot is used up.
    pub tokens: u16,
    /// The time until the slot has more, in milliseconds.
    pub retry_after_ms: u32,
}

/// A message about quotas.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum QuotaMessage {
    /// Asks a lender for tokens.
    Request(TokenRequest),
    /// Grants tokens.
    Grant(TokenGrant),
}

/// One VM's part in the quotas of all client accounts.
#[derive(Debug)]
pub struct Quotas {
    bounds: QuotaBounds,
    view: LenderView,
    holdings: Holdings,
    lent: LentSlots,
}

impl Quotas {
    /// Creates the state of a VM that holds no tokens and knows no other VM.
    ///
    /// `regions` are the regions of all failure domains; `seed` differs between processes.
    pub fn new(own: VmKey, bounds: QuotaBounds, regions: Vec<Box<str>>, seed: u64) -> Self {
        Self {
            bounds,
            view: LenderView::new(own, regions),
            holdings: Holdings::new(seed),
            lent: LentSlots::default(),
        }
    }

    /// Returns the VMs that lend.
    pub fn view(&self) -> &LenderView {
        &self.view
    }

    /// Returns a mutable reference to the VMs that lend.
    pub fn view_mut(&mut self) -> &mut LenderView {
        &mut self.view
    }

    /// Decides whether a request of an account may be sent now, and asks lenders if this VM has no
    /// token left.
    pub fn admit(
        &mut self,
        account: AccountKey,
        quota: Quota,
        ticket: &mut Ticket,
        now_ms: u64,
    ) -> Admission {
        let Self { bounds, view, holdings, lent } = self;
        let lend = &mut |slot: u8, tokens: u16| {
            lent.lend(view, bounds, (account, slot), quota, tokens, now_ms)
        };
        holdings.admit((account, quota), ticket, view, bounds, lend, now_ms)
    }

    /// Returns the rejection of an account's next request if it is certain by now that the account is
    /// over its quota: the time until it may send again, in milliseconds.
    pub fn over_quota_retry_after_ms(&mut self, account: AccountKey, now_ms: u64) -> Option<u64> {
        self.holdings.over_quota_retry_after_ms(account, &self.view, now_ms)
    }

    /// Ends the wait of a request whose caller has disconnected.
    pub fn cancel(&mut self, account: AccountKey, ticket: &mut Ticket) {
        self.holdings.cancel(account, ticket);
    }

    /// Takes back the token of a request that was not run.
    pub fn give_back(&mut self, token: QuotaToken, now_ms: u64) {
        self.holdings.give_back(token, now_ms);
    }

    /// Returns the requests for tokens to be sent, with their receivers.
    pub fn take_requests(&mut self) -> Vec<(std::net::SocketAddr, TokenRequest)> {
        self.holdings.take_requests()
    }

    /// Responds to another VM's request for tokens of an account; `None` for the quota if this VM
    /// knows no such account or it has none.
    pub fn lend(
        &mut self,
        request: TokenRequest,
        quota: Option<Quota>,
        now_ms: u64,
    ) -> Option<TokenGrant> {
        let TokenRequest { nonce, account, slot, tokens } = request;
        let grant =
            self.lent.lend(&self.view, &self.bounds, (account, slot), quota?, tokens, now_ms)?;
        Some(TokenGrant {
            nonce,
            account,
            tokens: grant.tokens,
            retry_after_ms: grant.retry_after_ms as u32,
        })
    }

    /// Records the grant of a VM, and returns whether requests may be waiting for it.
    pub fn receive_grant(
        &mut self,
        from: std::net::SocketAddr,
        grant: TokenGrant,
        now_ms: u64,
    ) -> bool {
        self.holdings.receive_grant(from, grant, now_ms)
    }

    /// Forgets the state of accounts that have sent nothing for a while, and the slots that other VMs lend
    /// by now.
    pub fn remove_idle(&mut self, now_ms: u64) {
        self.holdings.remove_idle(now_ms);
        self.lent.remove_unused(&self.view, now_ms);
    }

    /// Returns the number of tokens of an account that this VM holds.
    pub fn held_tokens(&self, account: AccountKey) -> usize {
        self.holdings.held_tokens(account)
    }

    /// Returns the number of slots that this VM has lent from lately.
    pub fn lent_slots(&self) -> usize {
        self.lent.len()
    }
}
