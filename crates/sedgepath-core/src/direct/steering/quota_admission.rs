//! The quotas of client accounts in the course of a request.

use std::net::SocketAddr;

use super::{Rejection, Steering};
use crate::direct::accounts::{AccountKey, Quota};
use crate::direct::attempts::{RejectionReason, RequestState};
use crate::direct::quotas::{Admission, QuotaMessage, Quotas, Ticket, TokenRequest};

/// Whether the quota of a request's client account allows to send it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QuotaDecision {
    /// The request may be sent.
    Allowed,
    /// To be decided again after a grant, or at this time in milliseconds.
    Pending {
        /// When a lender that was asked counts as unresponsive.
        until_ms: u64,
    },
    /// The request is rejected.
    Rejected(Rejection),
}

impl Steering {
    /// Returns the quotas of client accounts.
    pub fn quotas(&self) -> &Quotas {
        &self.quotas
    }

    /// Decides whether the quota of a request's client account allows to send it, and spends a token if
    /// so.
    pub fn check_quota(
        &mut self,
        request: &mut RequestState,
        ticket: &mut Ticket,
        now_ms: u64,
    ) -> QuotaDecision {
        let Some((_, account)) = &request.account else {
            return QuotaDecision::Allowed;
        };
        let Some(quota) = self.account_quota(account.key) else {
            return QuotaDecision::Allowed;
        };
        let reject =
            |reason, retry_after_ms| QuotaDecision::Rejected(Rejection { reason, retry_after_ms });
        match self.quotas.admit(account.key, quota, ticket, now_ms) {
            Admission::Admitted(token) => {
                request.quota_token = Some(token);
                QuotaDecision::Allowed
            }
            Admission::Waiting { until_ms } => QuotaDecision::Pending { until_ms },
            Admission::OverQuota { retry_after_ms } => {
                reject(RejectionReason::OverQuota, retry_after_ms)
            }
            Admission::NoLender { retry_after_ms } => {
                reject(RejectionReason::QuotaUnavailable, retry_after_ms)
            }
        }
    }

    /// Ends a request's wait for a token.
    pub fn end_quota_wait(&mut self, request: &RequestState, ticket: &mut Ticket) {
        if let Some((_, account)) = &request.account {
            self.quotas.cancel(account.key, ticket);
        }
    }

    /// Takes back the token of a request that was rejected without having run.
    pub fn return_quota_token(&mut self, request: &mut RequestState, now_ms: u64) {
        if let Some(token) = request.quota_token.take() {
            self.quotas.give_back(token, now_ms);
        }
    }

    /// Returns the requests for tokens to be sent, with the peer addresses of the lenders.
    pub fn take_token_requests(&mut self) -> Vec<(SocketAddr, TokenRequest)> {
        self.quotas.take_requests()
    }

    /// Handles another VM's message about quotas, and returns the response, if any, and whether
    /// requests may be waiting for the message.
    pub fn receive_quota_message(
        &mut self,
        from: SocketAddr,
        message: QuotaMessage,
        now_ms: u64,
    ) -> (Option<QuotaMessage>, bool) {
        match message {
            QuotaMessage::Request(request) if !self.vms.is_leaving() => {
                let quota = self.account_quota(request.account);
                let grant = self.quotas.lend(request, quota, now_ms);
                (grant.map(QuotaMessage::Grant), false)
            }
            QuotaMessage::Request(_) => (None, false),
            QuotaMessage::Grant(grant) => (None, self.quotas.receive_grant(from, grant, now_ms)),
        }
    }

    /// Updates the lenders from the membership table, and forgets idle accounts.
    pub fn update_quotas(&mut self, now_ms: u64) {
        let has_quotas =
            self.configuration.as_ref().is_some_and(|active| active.accounts.is_some());
        if has_quotas {
            self.quotas.view_mut().update(&self.vms, now_ms);
            self.quotas.remove_idle(now_ms);
        }
    }

    /// Returns an account's quota under the active configuration.
    fn account_quota(&self, account: AccountKey) -> Option<Quota> {
        self.configuration.as_ref()?.accounts.as_ref()?.get(account)?.quota
    }
}
