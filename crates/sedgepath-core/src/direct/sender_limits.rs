//! Limits on what a VM handles of one other VM.
//!
//! A VM that is trusted may still be broken and send without end. Its messages must take neither the
//! processor of the others nor, relayed, their links. Both limits are far above what a VM sends that
//! has just lost a failure domain of upstreams.

use std::net::SocketAddr;

use crate::hash::Map;

/// The most datagrams of one sender that are handled, per second and at once: more than a VM asks of
/// the lender of a busy client account.
const MAX_DATAGRAMS_PER_S: f64 = 3_000.0;

/// The most reports of one sender that are handled, per second in the long run: as many as a VM can
/// relay to the largest failure domain, and more than its part of the rate limits to be renewed.
const MAX_REPORTS_PER_S: f64 = 4.0;

/// The most reports of one sender that are handled at once: each of those that a VM sends after it
/// has lost some hundred requests in flight, which it sends three times.
const MAX_REPORT_BURST: f64 = 1_024.0;

/// The most messages with the load at upstreams of one sender that are handled, per second and at once:
/// twice as many as a VM sends.
const MAX_LOAD_MESSAGES_PER_S: f64 = 20.0;

/// The most senders whose limits are remembered.
const MAX_SENDERS: usize = 8_192;

/// What may still be handled of one sender.
#[derive(Debug, Clone, Copy)]
struct Allowance {
    datagrams: f64,
    reports: f64,
    load_messages: f64,
    updated_at_ms: u64,
}

impl Allowance {
    fn full(now_ms: u64) -> Self {
        let (datagrams, reports) = (MAX_DATAGRAMS_PER_S, MAX_REPORT_BURST);
        let load_messages = MAX_LOAD_MESSAGES_PER_S;
        Self { datagrams, reports, load_messages, updated_at_ms: now_ms }
    }

    fn refill(&mut self, now_ms: u64) {
        let elapsed_s = now_ms.saturating_sub(self.updated_at_ms) as f64 / 1_000.0;
        self.datagrams =
            (self.datagrams + elapsed_s * MAX_DATAGRAMS_PER_S).min(MAX_DATAGRAMS_PER_S);
        self.reports = (self.reports + elapsed_s * MAX_REPORTS_PER_S).min(MAX_REPORT_BURST);
        self.load_messages =
            (self.load_messages + elapsed_s * MAX_LOAD_MESSAGES_PER_S).min(MAX_LOAD_MESSAGES_PER_S);
        self.updated_at_ms = now_ms;
    }

    fn is_full(&self) -> bool {
        self.datagrams >= MAX_DATAGRAMS_PER_S
            && self.reports >= MAX_REPORT_BURST
            && self.load_messages >= MAX_LOAD_MESSAGES_PER_S
    }
}

/// What may still be handled of each sender.
#[derive(Debug, Default)]
pub struct SenderLimits {
    allowances: Map<SocketAddr, Allowance>,
}

impl SenderLimits {
    /// Returns whether a datagram is handled.
    pub fn admit_datagram(&mut self, from: SocketAddr, now_ms: u64) -> bool {
        let datagrams = &mut self.allowance(from, now_ms).datagrams;
        let admitted = *datagrams >= 1.0;
        *datagrams -= f64::from(admitted);
        admitted
    }

    /// Returns how many of a datagram's reports are handled.
    pub fn admit_reports(&mut self, from: SocketAddr, count: usize, now_ms: u64) -> usize {
        let reports = &mut self.allowance(from, now_ms).reports;
        let admitted = (*reports as usize).min(count);
        *reports -= admitted as f64;
        admitted
    }

    /// Returns whether a message with the load at upstreams is handled.
    pub fn admit_load_message(&mut self, from: SocketAddr, now_ms: u64) -> bool {
        let messages = &mut self.allowance(from, now_ms).load_messages;
        let admitted = *messages >= 1.0;
        *messages -= f64::from(admitted);
        admitted
    }

    /// Returns the number of senders whose limits are remembered.
    pub fn remembered_count(&self) -> usize {
        self.allowances.len()
    }

    fn allowance(&mut self, from: SocketAddr, now_ms: u64) -> &mut Allowance {
        if self.allowances.len() >= MAX_SENDERS && !self.allowances.contains_key(&from) {
            self.forget_idle(now_ms);
        }
        let allowance = self.allowances.entry(from).or_insert_with(|| Allowance::full(now_ms));
        allowance.refill(now_ms);
        allowance
    }

    /// Forgets the senders that could send as much as one that isn't known, or all if too many remain.
    fn forget_idle(&mut self, now_ms: u64) {
        self.allowances.retain(|_, allowance| {
            allowance.refill(now_ms);
            !allowance.is_full()
        });
        if self.allowances.len() >= MAX_SENDERS {
            self.allowances.clear();
        }
    }
}
