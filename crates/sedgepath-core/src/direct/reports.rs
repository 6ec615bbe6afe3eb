//! Reports of what a VM observes at upstreams to other VMs.
//!
//! A VM sends each report to its own failure domain, and to a few VMs of each other one, which relay
//! it within theirs. Datagrams get lost, so each report is sent several times. A report that reaches
//! some VMs late or not at all does little harm: those may send a request once more. Quarantined
//! requests are also kept in the store, which all VMs follow.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

use super::store_version::StoreVersion;
use super::upstreams::IncarnationKey;
use crate::hash::Digest;

/// How often a report is sent.
const SENDS_PER_REPORT: u32 = 3;

/// How often a report of another failure domain is relayed by each VM that it reaches first.
const SENDS_PER_RELAY: u32 = 2;

/// The time between two sends of a report, in milliseconds.
const SEND_INTERVAL_MS: u64 = 400;

/// The most queued reports; beyond that the oldest are dropped.
const MAX_QUEUED_REPORTS: usize = 1_024;

/// The most reports in one datagram.
const MAX_REPORTS_PER_MESSAGE: usize = 32;

/// What a VM tells others of a request or an upstream.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Report {
    /// The request was in flight at an upstream when that crashed.
    Crashed {
        /// The request's fingerprint.
        fingerprint: Digest,
        /// The upstream.
        incarnation: IncarnationKey,
    },
    /// The request has succeeded since these crashes.
    Cleared {
        /// The request's fingerprint.
        fingerprint: Digest,
        /// The upstreams whose crashes no longer count.
        incarnations: Vec<IncarnationKey>,
    },
    /// An upstream has stated a rate limit, or none any more.
    RateLimit {
        /// The upstream.
        upstream: IncarnationKey,
        /// The limit in requests per second.
        per_s: Option<f64>,
        /// The time since the upstream's response, in milliseconds.
        age_ms: u64,
    },
}

impl Report {
    /// Returns the report at a time after it was queued.
    fn aged_by(&self, later_ms: u64) -> Self {
        match self {
            Self::RateLimit { upstream, per_s, age_ms } => Self::RateLimit {
                upstream: *upstream,
                per_s: *per_s,
                age_ms: age_ms.saturating_add(later_ms),
            },
            Self::Crashed { .. } | Self::Cleared { .. } => self.clone(),
        }
    }
}

/// Reports in a datagram, and the sender's view of the quarantine.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Reports {
    /// Whether the receiver relays news within its failure domain.
    pub relay: bool,
    /// The newest store version in the sender's replica of the quarantine table.
    pub quarantine_version: StoreVersion,
    /// The reports.
    pub reports: Vec<Report>,
}

/// Reports that are due, by receivers.
#[derive(Debug, Default, PartialEq)]
pub struct DueReports {
    /// Reports for the VM's own failure domain, each list for one datagram.
    pub in_domain: Vec<Vec<Report>>,
    /// Reports for all other failure domains, each list for one datagram.
    pub elsewhere: Vec<Vec<Report>>,
}

#[derive(Debug)]
struct QueuedReport {
    report: Report,
    /// Whether the report is for the VM's own failure domain only.
    in_domain_only: bool,
    sends_left: u32,
    queued_at_ms: u64,
    next_send_at_ms: u64,
}

/// The reports that a VM has still to send.
#[derive(Debug, Default)]
pub struct ReportQueue {
    queued: VecDeque<QueuedReport>,
}

impl ReportQueue {
    /// Queues a report for all VMs.
    pub fn announce(&mut self, report: Report, now_ms: u64) {
        self.drop_outdated(&report);
        self.push(report, false, SENDS_PER_REPORT, now_ms);
    }

    /// Queues a report for all VMs that they have probably received before.
    pub fn renew(&mut self, report: Report, now_ms: u64) {
        self.drop_outdated(&report);
        self.push(report, false, 1, now_ms);
    }

    /// Drops what a new report replaces: the crashes of a request that has succeeded since, and an
    /// earlier limit of the same upstream.
    fn drop_outdated(&mut self, newer: &Report) {
        self.queued.retain(|queued| match (newer, &queued.report) {
            (
                Report::Cleared { fingerprint: cleared, incarnations },
                Report::Crashed { fingerprint, incarnation },
            ) => fingerprint != cleared || !incarnations.contains(incarnation),
            (Report::RateLimit { upstream: limited, .. }, Report::RateLimit { upstream, .. }) => {
                upstream != limited
            }
            _ => true,
        });
    }

    /// Queues a report of another failure domain for the VM's own one.
    pub fn relay(&mut self, report: Report, now_ms: u64) {
        self.drop_outdated(&report);
        self.push(report, true, SENDS_PER_RELAY, now_ms);
    }

    fn push(&mut self, report: Report, in_domain_only: bool, sends_left: u32, now_ms: u64) {
        if self.queued.len() == MAX_QUEUED_REPORTS {
            self.queued.pop_front();
        }
        self.queued.push_back(QueuedReport {
            report,
            in_domain_only,
            sends_left,
            queued_at_ms: now_ms,
            next_send_at_ms: now_ms,
        });
    }

    /// Returns when the next report is due, in milliseconds, if any is queued.
    pub fn due_at_ms(&self) -> Option<u64> {
        self.queued.iter().map(|queued| queued.next_send_at_ms).min()
    }

    /// Returns the reports that are due, and schedules their next sends.
    pub fn take_due(&mut self, now_ms: u64) -> DueReports {
        let (mut in_domain, mut elsewhere) = (Vec::new(), Vec::new());
        for queued in self.queued.iter_mut().filter(|queued| queued.next_send_at_ms <= now_ms) {
            queued.sends_left -= 1;
            queued.next_send_at_ms = now_ms + SEND_INTERVAL_MS;
            if !queued.in_domain_only {
                elsewhere.push(queued.report.aged_by(now_ms - queued.queued_at_ms));
            }
            in_domain.push(queued.report.aged_by(now_ms - queued.queued_at_ms));
        }
        self.queued.retain(|queued| queued.sends_left > 0);
        let batches = |reports: Vec<Report>| {
            reports.chunks(MAX_REPORTS_PER_MESSAGE).map(<[_]>::to_vec).collect()
        };
        DueReports { in_domain: batches(in_domain), elsewhere: batches(elsewhere) }
    }
}
