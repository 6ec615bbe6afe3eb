//! The quotas of client accounts on the simulated VMs.

use sedgepath_core::direct::accounts::{AccountKey, Quota};
use sedgepath_core::direct::quotas::{Admission, QuotaMessage, Ticket};
use sedgepath_core::direct::vms::gossip::PeerMessage;

use super::{Event, Vm, VmIndex, VmNetwork, address};

/// How often a VM updates its view of the lenders, in milliseconds.
const QUOTA_ROUND_MS: u64 = 250;

/// A request that a VM has sent, as operators count it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SentRequest {
    /// The VM.
    pub vm: VmIndex,
    /// The client account.
    pub account: AccountKey,
    /// When it was sent, in milliseconds.
    pub at_ms: u64,
}

/// The numbers of requests that VMs have rejected.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct RejectedRequests {
    /// Requests over their account's quota.
    pub over_quota: usize,
    /// Requests for whose quota no lender responded.
    pub no_lender: usize,
}

impl VmNetwork {
    /// Sets the quota of a client account on all VMs.
    pub fn set_quota(&mut self, account: AccountKey, quota: Quota) {
        self.quotas.insert(account, quota);
    }

    /// Lets a VM decide on a request of a client account. One that needs a token is decided again once
    /// lenders have responded.
    pub fn request(&mut self, vm: VmIndex, account: AccountKey) {
        if self.vms[vm].quotas.is_some() && self.now_ms >= self.vms[vm].suspended_until_ms {
            self.vms[vm].waiting.push((account, Ticket::default()));
            self.decide_waiting(vm);
        }
    }

    /// Delivers a message about quotas as if another VM had sent it.
    pub fn forge(&mut self, to: VmIndex, from: VmIndex, message: QuotaMessage) {
        self.deliver(to, from, Box::new(PeerMessage::Quota(message)));
    }

    pub(super) fn run_quota_round(&mut self, vm: VmIndex, boot: u64) {
        if self.vms[vm].boot_at_ms != boot {
            return;
        }
        let (now_ms, resumes_at_ms) = (self.now_ms, self.vms[vm].suspended_until_ms);
        if now_ms < resumes_at_ms {
            return self.schedule(resumes_at_ms, Event::QuotaRound { vm, boot });
        }
        let Vm { table: Some(table), quotas: Some(quotas), .. } = &mut self.vms[vm] else {
            return;
        };
        quotas.view_mut().update(table, now_ms);
        quotas.remove_idle(now_ms);
        self.schedule(now_ms + QUOTA_ROUND_MS, Event::QuotaRound { vm, boot });
    }

    /// Decides on the requests that wait at a VM, and sends its requests for tokens.
    pub(super) fn decide_waiting(&mut self, vm: VmIndex) {
        let (now_ms, resumes_at_ms) = (self.now_ms, self.vms[vm].suspended_until_ms);
        if now_ms < resumes_at_ms {
            return self.schedule(resumes_at_ms, Event::QuotaDecision { vm });
        }
        let Vm { quotas: Some(quotas), waiting, decides_at_ms, .. } = &mut self.vms[vm] else {
            return;
        };
        let mut still_waiting = Vec::new();
        let mut next_at_ms = None::<u64>;
        for (account, mut ticket) in std::mem::take(waiting) {
            let Some(quota) = self.quotas.get(&account) else { continue };
            match quotas.admit(account, *quota, &mut ticket, now_ms) {
                Admission::Admitted(_) => {
                    self.sent_requests.push(SentRequest { vm, account, at_ms: now_ms });
                }
                Admission::Waiting { until_ms } => {
                    still_waiting.push((account, ticket));
                    next_at_ms = Some(next_at_ms.map_or(until_ms, |at_ms| at_ms.min(until_ms)));
                }
                Admission::OverQuota { .. } => self.rejected_requests.over_quota += 1,
                Admission::NoLender { .. } => self.rejected_requests.no_lender += 1,
            }
        }
        *waiting = still_waiting;
        let requests = quotas.take_requests();
        // A decision that is due already follows.
        let is_due = now_ms < *decides_at_ms;
        if let Some(at_ms) = next_at_ms
            && !(is_due && *decides_at_ms <= at_ms)
        {
            *decides_at_ms = at_ms;
            self.schedule(at_ms, Event::QuotaDecision { vm });
        }
        for (to, request) in requests {
            self.send(vm, to, PeerMessage::Quota(QuotaMessage::Request(request)));
        }
    }

    pub(super) fn deliver_quota_message(
        &mut self,
        vm: VmIndex,
        from: VmIndex,
        message: QuotaMessage,
    ) {
        let now_ms = self.now_ms;
        let Some(quotas) = &mut self.vms[vm].quotas else {
            return;
        };
        match message {
            QuotaMessage::Request(request) => {
                let quota = self.quotas.get(&request.account).copied();
                if let Some(grant) = quotas.lend(request, quota, now_ms) {
                    self.send(vm, address(from), PeerMessage::Quota(QuotaMessage::Grant(grant)));
                }
            }
            QuotaMessage::Grant(grant) => {
                if quotas.receive_grant(address(from), grant, now_ms) {
                    self.decide_waiting(vm);
                }
            }
        }
    }
}
