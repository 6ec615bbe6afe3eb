//! What a VM observes at upstreams and shares with other VMs: requests in flight at upstreams that
//! crashed, and the rate limits that upstreams state.

use std::net::SocketAddr;

use super::Steering;
use super::serving_keys::ServingKeys;
use crate::direct::attempts::{Attempt, AttemptOutcome, InFlightAttempt, RequestState};
use crate::direct::crashes::quarantine::{Clocks, QuarantineWrite};
use crate::direct::crashes::{CrashLedger, Verdict};
use crate::direct::rate_limits::RateLimits;
use crate::direct::reports::{Report, ReportQueue, Reports};
use crate::direct::statements::{
    StatedLeaving, StatedPause, StatedRateLimit, StatementNews, Statements,
};
use crate::direct::upstreams::{IncarnationKey, Upstream};

impl Steering {
    /// Returns the record of requests that were in flight at upstreams that crashed.
    pub fn crashes(&self) -> &CrashLedger {
        &self.crashes
    }

    /// Returns a mutable reference to the record of requests that were in flight at upstreams that
    /// crashed.
    pub fn crashes_mut(&mut self) -> &mut CrashLedger {
        &mut self.crashes
    }

    /// Checks the store's entries for upstreams that may have crashed, and drops expired suspicions.
    pub fn maintain_crashes(&mut self, now_ms: u64) {
        self.crashes.maintain(&self.upstreams, &mut self.reports, now_ms);
    }

    /// Returns the rate limits that upstreams state.
    pub fn rate_limits(&self) -> &RateLimits {
        &self.rate_limits
    }

    /// Returns the reports to other VMs.
    pub fn reports_mut(&mut self) -> &mut ReportQueue {
        &mut self.reports
    }

    /// Returns whether a datagram of another VM is handled.
    pub fn admit_datagram(&mut self, from: SocketAddr, now_ms: u64) -> bool {
        self.sender_limits.admit_datagram(from, now_ms)
    }

    /// Records the reports of another VM, as many as are handled of one VM.
    pub fn receive_reports(&mut self, from: SocketAddr, reports: &Reports, now_ms: u64) {
        let admitted = self.sender_limits.admit_reports(from, reports.reports.len(), now_ms);
        for report in &reports.reports[..admitted] {
            self.receive_report(report, reports.relay, now_ms);
        }
    }

    /// Records a report of another VM. One that is news and comes from another failure domain is
    /// queued for the VMs of this VM's own one.
    pub fn receive_report(&mut self, report: &Report, relay: bool, now_ms: u64) {
        let is_news = match report {
            Report::RateLimit { upstream, per_s, age_ms } => {
                let is_news = self.rate_limits.receive(*upstream, *per_s, *age_ms, now_ms);
                self.update_rate_limit(*upstream, now_ms);
                is_news
            }
            Report::Crashed { .. } | Report::Cleared { .. } => self.crashes.receive(report, now_ms),
        };
        if is_news && relay {
            self.reports.relay(report.clone(), now_ms);
        }
    }

    /// Returns the writes that claim a request's probe, which must be applied together; empty if the
    /// request needs none or none is due.
    pub fn probe_claim(&self, request: &RequestState, clocks: Clocks) -> Vec<QuarantineWrite> {
        match &request.fingerprints {
            Some(fingerprints) if self.verdict(request, clocks.now_ms) == Verdict::ProbeDue => {
                self.crashes.quarantine().probe_claim(fingerprints, clocks)
            }
            _ => Vec::new(),
        }
    }

    pub(super) fn verdict(&self, request: &RequestState, now_ms: u64) -> Verdict {
        request
            .fingerprints
            .as_ref()
            .map_or(Verdict::Allowed, |fingerprints| self.crashes.verdict(fingerprints, now_ms))
    }

    /// Records whether an attempt speaks for or against the request crashing its upstreams.
    pub(super) fn record_crash_evidence(
        &mut self,
        request: &RequestState,
        attempt: InFlightAttempt,
        outcome: AttemptOutcome,
        now_ms: u64,
    ) {
        let Some(fingerprints) = &request.fingerprints else {
            return;
        };
        let is_leaving = self.upstreams.get(attempt.upstream).is_some_and(Upstream::is_leaving);
        match outcome {
            AttemptOutcome::Answered { failed: false, .. } => {
                self.crashes.record_success(fingerprints, &mut self.reports, now_ms);
            }
            // The planned end of a process may cut requests off too.
            AttemptOutcome::Crashed | AttemptOutcome::Failed if is_leaving => {}
            AttemptOutcome::Crashed => {
                self.crashes.record_crash(
                    fingerprints,
                    attempt.incarnation,
                    &mut self.reports,
                    now_ms,
                );
            }
            AttemptOutcome::Failed => {
                self.crashes.watch(*fingerprints, attempt.upstream, attempt.incarnation, now_ms);
            }
            _ => {}
        }
    }

    /// Records what an upstream states of itself with the response to an attempt. Returns what of it is
    /// new.
    pub fn record_statements(
        &mut self,
        attempt: &Attempt,
        statements: Statements,
        now_ms: u64,
    ) -> StatementNews {
        let Statements { rate_limit, leaving, pause } = statements;
        StatementNews {
            rate_limit: rate_limit.is_some_and(|stated| match stated {
                StatedRateLimit::None => self.record_rate_limit(attempt, None, now_ms),
                StatedRateLimit::PerSecond(per_s) => {
                    self.record_rate_limit(attempt, Some(per_s), now_ms)
                }
                StatedRateLimit::Invalid => false,
            }),
            leaving: leaving == StatedLeaving::Yes
                && self.upstreams.record_leaving(attempt.incarnation),
            pause: match pause {
                StatedPause::ForMs(for_ms) => {
                    let until_ms = now_ms.saturating_add(for_ms);
                    self.upstreams.record_pause(attempt.incarnation, until_ms)
                }
                StatedPause::None | StatedPause::Invalid => false,
            },
        }
    }

    /// Records the rate limit that a response states, or that it states none. Returns whether that
    /// is new.
    fn record_rate_limit(
        &mut self,
        attempt: &Attempt,
        stated_per_s: Option<f64>,
        now_ms: u64,
    ) -> bool {
        let is_news = self.rate_limits.record_response(
            attempt.incarnation,
            stated_per_s,
            attempt.sent_at_ms,
            &mut self.reports,
            now_ms,
        );
        if is_news {
            self.update_rate_limit(attempt.incarnation, now_ms);
        }
        is_news
    }

    /// Updates what depends on the VMs that serve: this VM's parts of the rate limits that upstreams
    /// state. Forgets outdated limits.
    pub fn update_rate_limits(&mut self, now_ms: u64) {
        if self.rate_limits.is_empty() {
            self.serving_keys = None;
            return;
        }
        let upstreams = &self.upstreams;
        self.rate_limits
            .forget_outdated(|upstream| upstreams.by_incarnation(upstream).is_some(), now_ms);
        let serving = ServingKeys::new(&self.vms, now_ms);
        if self.serving_keys.as_ref() == Some(&serving) {
            return;
        }
        let sharing = |upstream| {
            upstreams
                .by_incarnation(upstream)
                .map_or(&[][..], |upstream| serving.of_region(&upstream.region))
        };
        match serving.max_vms_while_joining() {
            Some(max_vms) => self.rate_limits.update_equal_parts(max_vms, now_ms),
            None => self.rate_limits.update_parts(sharing, serving.hears_all, now_ms),
        }
        self.serving_keys = Some(serving);
    }

    /// Updates this VM's part of one upstream's limit after news of it, with the VMs that served at the
    /// last [`update_rate_limits`](Self::update_rate_limits).
    ///
    /// A whole service may state limits at once, and each VM tells the others: work over all limits for
    /// each of these reports would keep a VM from everything else for seconds.
    fn update_rate_limit(&mut self, upstream: IncarnationKey, now_ms: u64) {
        let Some(known) = self.upstreams.by_incarnation(upstream) else {
            self.rate_limits.forget(upstream);
            return;
        };
        let vms = &self.vms;
        let serving = self.serving_keys.get_or_insert_with(|| ServingKeys::new(vms, now_ms));
        if let Some(max_vms) = serving.max_vms_while_joining() {
            return self.rate_limits.update_equal_part(upstream, max_vms, now_ms);
        }
        let sharing = serving.of_region(&known.region);
        self.rate_limits.update_part(upstream, sharing, serving.hears_all, now_ms);
    }
}
