//! Whether this VM reaches upstreams at all.
//!
//! A VM may lose its links to all upstreams while callers, the store and other VMs reach it. Each
//! upstream then looks as if it had failed. This module tells the two apart: connections that can't be
//! opened, or a silence of all upstreams, raise a suspicion, and connections to other upstreams confirm
//! or refute it. A VM that is cut off keeps checking, a connection at a time, until two upstreams accept
//! one.

use super::upstreams::UpstreamKey;

/// The number of upstreams, or all if there are fewer, to which connections must have failed, without
/// one that was opened meanwhile, before the VM counts as cut off.
const CUT_OFF_UPSTREAMS: usize = 4;

/// The number of upstreams, or all if there are fewer, to which connections must have failed before
/// others are checked.
const SUSPECT_UPSTREAMS: usize = 2;

/// The number of upstreams that are checked at a time during a suspicion.
const CHECKED_UPSTREAMS: usize = 3;

/// The number of upstreams that must accept a connection before a cut counts as over.
const RECOVERED_UPSTREAMS: u32 = 2;

/// The time for which a failed connection counts, in milliseconds.
const EVIDENCE_MS: u64 = 3_000;

/// The silence of all upstreams, while requests wait for them, after which one is checked, in
/// milliseconds.
const SILENCE_MS: u64 = 400;

/// The shortest time between two checks that were only caused by silence, in milliseconds: with few
/// requests, upstreams that work are silent too.
const SILENCE_CHECK_INTERVAL_MS: u64 = 2_000;

/// The time after a check that reached an upstream in which failed connections cause no other one, in
/// milliseconds: upstreams that crash together fail one after the other.
const REFUTED_SUSPICION_PAUSE_MS: u64 = 500;

/// The time between two checks during a cut, in milliseconds.
const CUT_CHECK_INTERVAL_MS: u64 = 500;

/// A change of whether this VM reaches upstreams.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReachChange {
    /// No upstream can be reached any more.
    CutOff,
    /// Upstreams can be reached again.
    Recovered,
}

/// A failed connection to an upstream.
#[derive(Debug, Clone, Copy)]
struct FailedConnection {
    upstream: UpstreamKey,
    failed_at_ms: u64,
}

/// The evidence of one VM on whether it reaches upstreams.
#[derive(Debug, Default)]
pub struct UpstreamReach {
    /// The last failed connection to each upstream since a connection was opened.
    failed: Vec<FailedConnection>,
    in_flight: u32,
    /// Since when requests have been waiting while no upstream responded, in milliseconds.
    silent_since_ms: Option<u64>,
    /// When a silence may cause the next check, in milliseconds.
    next_silence_check_at_ms: u64,
    /// When failed connections may cause the next check, in milliseconds.
    next_suspicion_at_ms: u64,
    is_checking: bool,
    /// When the next check during a cut is due, in milliseconds; `None` if there is no cut.
    next_cut_check_at_ms: Option<u64>,
    /// The number of upstreams that have accepted a connection since the cut, one after the other.
    recovered: u32,
}

impl UpstreamReach {
    /// Returns whether this VM reaches no upstream.
    pub fn is_cut_off(&self) -> bool {
        self.next_cut_check_at_ms.is_some()
    }

    /// Returns the upstreams to which connections have failed lately, or since the cut began.
    pub fn failed_upstreams(&self) -> impl Iterator<Item = UpstreamKey> {
        self.failed.iter().map(|failed| failed.upstream)
    }

    /// Returns whether a connection to an upstream has failed lately, or since the cut began.
    pub fn has_failed(&self, upstream: UpstreamKey) -> bool {
        self.failed_upstreams().any(|failed| failed == upstream)
    }

    /// Records that a request is sent to an upstream.
    pub fn record_send(&mut self, now_ms: u64) {
        self.in_flight += 1;
        self.silent_since_ms.get_or_insert(now_ms);
    }

    /// Records that an attempt ends, and whether the upstream responded.
    pub fn record_end(&mut self, responded: bool, now_ms: u64) {
        self.in_flight = self.in_flight.saturating_sub(1);
        if self.in_flight == 0 {
            self.silent_since_ms = None;
        } else if responded {
            self.silent_since_ms = Some(now_ms);
        }
    }

    /// Records that an upstream accepted a connection.
    pub fn record_connected(&mut self, now_ms: u64) {
        if self.is_cut_off() {
            return;
        }
        self.failed.clear();
        self.silent_since_ms = self.silent_since_ms.map(|_| now_ms);
    }

    /// Records that a connection to an upstream could not be opened.
    pub fn record_connection_failure(&mut self, upstream: UpstreamKey, now_ms: u64) {
        if !self.is_cut_off() {
            self.failed.retain(|failed| now_ms < failed.failed_at_ms + EVIDENCE_MS);
        }
        self.failed.retain(|failed| failed.upstream != upstream);
        self.failed.push(FailedConnection { upstream, failed_at_ms: now_ms });
    }

    /// Returns how many of the `known` upstreams to check now; the check must end with
    /// [`record_check`](Self::record_check).
    pub fn begin_check(&mut self, known: usize, now_ms: u64) -> Option<usize> {
        if self.is_checking {
            return None;
        }
        let count = match self.next_cut_check_at_ms {
            Some(at_ms) => (now_ms >= at_ms).then_some(1),
            None => self.suspicion(known, now_ms),
        };
        self.is_checking = count.is_some();
        count
    }

    fn suspicion(&mut self, known: usize, now_ms: u64) -> Option<usize> {
        let is_recent = |failed: &&FailedConnection| now_ms < failed.failed_at_ms + EVIDENCE_MS;
        let failed = self.failed.iter().filter(is_recent).count();
        if failed >= SUSPECT_UPSTREAMS.min(known) && now_ms >= self.next_suspicion_at_ms {
            return Some(CHECKED_UPSTREAMS);
        }
        let is_silent = self.silent_since_ms.is_some_and(|at_ms| now_ms >= at_ms + SILENCE_MS);
        if !is_silent || (now_ms < self.next_silence_check_at_ms && failed == 0) {
            return None;
        }
        self.next_silence_check_at_ms = now_ms + SILENCE_CHECK_INTERVAL_MS;
        Some(if failed == 0 { 1 } else { CHECKED_UPSTREAMS })
    }

    /// Records the end of a check: for each checked upstream, whether it accepted a connection.
    /// `known` is the number of upstreams.
    pub fn record_check(
        &mut self,
        results: &[(UpstreamKey, bool)],
        known: usize,
        now_ms: u64,
    ) -> Option<ReachChange> {
        self.is_checking = false;
        let connected = results.iter().any(|(_, connected)| *connected);
        for (upstream, _) in results.iter().filter(|(_, connected)| !connected) {
            self.record_connection_failure(*upstream, now_ms);
        }
        if self.is_cut_off() {
            return self.record_cut_check(connected, known, now_ms);
        }
        if connected {
            self.record_connected(now_ms);
            self.next_suspicion_at_ms = now_ms + REFUTED_SUSPICION_PAUSE_MS;
            return None;
        }
        let needed = CUT_OFF_UPSTREAMS.min(known).max(1);
        if self.failed.len() < needed {
            return None;
        }
        self.next_cut_check_at_ms = Some(now_ms + CUT_CHECK_INTERVAL_MS);
        self.recovered = 0;
        Some(ReachChange::CutOff)
    }

    fn record_cut_check(
        &mut self,
        connected: bool,
        known: usize,
        now_ms: u64,
    ) -> Option<ReachChange> {
        if !connected {
            self.recovered = 0;
            self.next_cut_check_at_ms = Some(now_ms + CUT_CHECK_INTERVAL_MS);
            return None;
        }
        self.recovered += 1;
        self.next_cut_check_at_ms = Some(now_ms);
        if self.recovered < RECOVERED_UPSTREAMS.min(known as u32) {
            return None;
        }
        self.next_cut_check_at_ms = None;
        Some(ReachChange::Recovered)
    }

    /// Forgets the failed connections, after a cut.
    pub fn clear_failures(&mut self) {
        self.failed.clear();
    }
}
