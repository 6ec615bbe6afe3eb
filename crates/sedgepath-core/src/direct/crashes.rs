//! Requests that crash the upstreams that run them.
//!
//! A caller repeats such a request at any VM, and each VM would send it to the next upstream, until
//! the service has none left. Each VM therefore records which requests were in flight at an upstream
//! that crashed, and tells the others ([`reports`](super::reports)).
//!
//! # Evidence
//!
//! A connection that is lost in the middle of a request proves nothing by itself: connections are
//! also lost when a network fails. An upstream has crashed if it then refuses connections. If it
//! accepts them, or can't be reached, it has crashed if its entry in the store is replaced or removed
//! within ten seconds without having been marked as leaving.
//!
//! # Innocent requests
//!
//! All requests in flight at a crashed upstream are suspected alike. The next success of a request
//! clears it on all VMs. A request that was in flight at [`QUARANTINE_CRASHES`] crashed upstreams
//! without a success is quarantined: it is rejected, but for a few probes ([`quarantine`]), which
//! run while no other quarantined request does and clear a request that is innocent.

pub mod quarantine;

use std::collections::VecDeque;

use self::quarantine::{Clocks, QuarantineRow, QuarantineTable, QuarantineWrite};
use super::fingerprint::RequestFingerprints;
use super::reports::{Report, ReportQueue};
use super::store_version::StoreVersion;
use super::upstreams::{IncarnationKey, UpstreamKey, UpstreamTable};
use crate::hash::{Digest, Map};
use crate::key::VmKey;

/// The number of crashed upstreams after which a request is quarantined.
pub const QUARANTINE_CRASHES: usize = 3;

/// The number of crashed upstreams from which a request is sent once per attempt of its caller.
const NO_RETRY_CRASHES: usize = 2;

/// The time after which a suspicion that is not renewed ends, in milliseconds.
pub const SUSPICION_MS: u64 = 15 * 60 * 1_000;

/// The most suspected fingerprints. Beyond that, those with the fewest crashes are dropped first.
pub const MAX_SUSPECTS: usize = 4_096;

/// The most crashed upstreams recorded for a request, both counted and cleared.
const MAX_CRASHES: usize = 8;

/// The time in which the store's entries may confirm that an upstream has crashed, in milliseconds:
/// three missed heartbeats of the upstream, and some time for its restart.
const EVIDENCE_MS: u64 = 10_000;

/// The most lost attempts that wait for evidence.
const MAX_PENDING: usize = 512;

/// What may be done with a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Verdict {
    /// The request was in flight at no upstream that crashed, or has succeeded since.
    Allowed,
    /// The request was in flight at some upstreams that crashed.
    Suspected {
        /// The number of these upstreams.
        crashes: usize,
    },
    /// The request is quarantined, and one VM may send it once as a probe.
    ProbeDue,
    /// The request is quarantined.
    Quarantined {
        /// The delay until a probe is due or the quarantine ends, in milliseconds.
        retry_after_ms: u64,
    },
}

impl Verdict {
    /// Returns whether the request may be hedged: a second upstream at a time would crash as well.
    pub fn allows_hedging(self) -> bool {
        self == Self::Allowed
    }

    /// Returns whether the request may be retried after it may have run.
    pub fn allows_retry(self) -> bool {
        match self {
            Self::Allowed => true,
            Self::Suspected { crashes } => crashes < NO_RETRY_CRASHES,
            Self::ProbeDue | Self::Quarantined { .. } => false,
        }
    }
}

/// A request that was in flight at upstreams that crashed.
#[derive(Debug, Default)]
struct Suspect {
    /// The crashed upstreams since the last success.
    crashes: Vec<IncarnationKey>,
    /// Crashed upstreams that a success has cleared, so that a late report doesn't count again.
    cleared: Vec<IncarnationKey>,
    updated_at_ms: u64,
}

impl Suspect {
    fn has_recorded(&self, incarnation: IncarnationKey) -> bool {
        self.crashes.contains(&incarnation) || self.cleared.contains(&incarnation)
    }

    fn clear(&mut self, incarnation: IncarnationKey) -> bool {
        self.crashes.retain(|crashed| *crashed != incarnation);
        let is_new = !self.cleared.contains(&incarnation);
        if is_new {
            if self.cleared.len() == MAX_CRASHES {
                self.cleared.remove(0);
            }
            self.cleared.push(incarnation);
        }
        is_new
    }
}

/// An attempt whose connection was lost at an upstream that may have crashed.
#[derive(Debug)]
struct PendingEvidence {
    upstream: UpstreamKey,
    incarnation: IncarnationKey,
    fingerprints: RequestFingerprints,
    until_ms: u64,
}

/// A VM's record of the requests that were in flight at upstreams that crashed.
#[derive(Debug)]
pub struct CrashLedger {
    suspects: Map<Digest, Suspect>,
    pending: VecDeque<PendingEvidence>,
    quarantine: QuarantineTable,
}

impl CrashLedger {
    /// Creates the empty record of a VM.
    pub fn new(own: VmKey) -> Self {
        Self {
            suspects: Map::default(),
            pending: VecDeque::new(),
            quarantine: QuarantineTable::new(own),
        }
    }

    /// Returns what may be done with a request.
    pub fn verdict(&self, fingerprints: &RequestFingerprints, now_ms: u64) -> Verdict {
        let verdicts = fingerprints.iter().map(|fingerprint| self.verdict_of(fingerprint, now_ms));
        verdicts.max().unwrap_or(Verdict::Allowed)
    }

    fn verdict_of(&self, fingerprint: Digest, now_ms: u64) -> Verdict {
        if let Some(verdict) = self.quarantine.verdict(fingerprint, now_ms) {
            return verdict;
        }
        match self.suspects.get(&fingerprint).map_or(0, |suspect| suspect.crashes.len()) {
            0 => Verdict::Allowed,
            crashes if crashes < QUARANTINE_CRASHES => Verdict::Suspected { crashes },
            _ => Verdict::Quarantined { retry_after_ms: quarantine::PROBE_DELAY_MS },
        }
    }

    /// Records that a request was in flight at an upstream when that crashed.
    pub fn record_crash(
        &mut self,
        fingerprints: &RequestFingerprints,
        incarnation: IncarnationKey,
        reports: &mut ReportQueue,
        now_ms: u64,
    ) {
        for fingerprint in fingerprints.iter() {
            if self.add_crash(fingerprint, incarnation, now_ms) {
                if self.counts_as_fatal(fingerprint) {
                    self.quarantine.schedule_own_check(fingerprint, now_ms);
                }
                reports.announce(Report::Crashed { fingerprint, incarnation }, now_ms);
            }
        }
    }

    /// Records that a request succeeded, which clears it.
    pub fn record_success(
        &mut self,
        fingerprints: &RequestFingerprints,
        reports: &mut ReportQueue,
        now_ms: u64,
    ) {
        for fingerprint in fingerprints.iter() {
            if self.quarantine.contains(fingerprint) {
                self.quarantine.schedule_release(fingerprint, now_ms);
            }
            let incarnations = self.clear_all(fingerprint, now_ms);
            if !incarnations.is_empty() {
                self.quarantine.schedule_release(fingerprint, now_ms);
                reports.announce(Report::Cleared { fingerprint, incarnations }, now_ms);
            }
        }
    }

    /// Clears all crashes of a fingerprint, and returns them.
    fn clear_all(&mut self, fingerprint: Digest, now_ms: u64) -> Vec<IncarnationKey> {
        let Some(suspect) = self.suspects.get_mut(&fingerprint) else {
            return Vec::new();
        };
        let incarnations = suspect.crashes.clone();
        for incarnation in &incarnations {
            suspect.clear(*incarnation);
            suspect.updated_at_ms = now_ms;
        }
        incarnations
    }

    /// Applies a row of the store's quarantine table, or its removal, which clears the request.
    pub fn apply_quarantine_row(
        &mut self,
        fingerprint: Digest,
        version: StoreVersion,
        row: Option<QuarantineRow>,
        clocks: Clocks,
    ) {
        if row.is_none() {
            self.clear_all(fingerprint, clocks.now_ms);
        }
        self.quarantine.apply_row(fingerprint, version, row, clocks);
    }

    /// Plans to repeat a write of the quarantine that a restored store has lost, unless another VM does:
    /// the row's last value, or its removal, and the version that the row has in the restored store.
    pub fn repeat_quarantine_write(
        &mut self,
        fingerprint: Digest,
        row: Option<QuarantineRow>,
        expected: Option<StoreVersion>,
        now_ms: u64,
    ) {
        self.quarantine.schedule_repeat(fingerprint, row, expected, now_ms);
    }

    /// Returns the changes of the quarantine that this VM is to write now.
    pub fn take_due_writes(&mut self, clocks: Clocks) -> Vec<QuarantineWrite> {
        self.quarantine.take_due_writes(clocks)
    }

    /// Records a request whose connection was lost at an upstream that may have crashed.
    pub fn watch(
        &mut self,
        fingerprints: RequestFingerprints,
        upstream: UpstreamKey,
        incarnation: IncarnationKey,
        now_ms: u64,
    ) {
        if self.pending.len() == MAX_PENDING {
            self.pending.pop_front();
        }
        let until_ms = now_ms + EVIDENCE_MS;
        self.pending.push_back(PendingEvidence { upstream, incarnation, fingerprints, until_ms });
    }

    /// Checks the entries of upstreams that may have crashed, and drops what has expired.
    pub fn maintain(&mut self, upstreams: &UpstreamTable, reports: &mut ReportQueue, now_ms: u64) {
        for pending in std::mem::take(&mut self.pending) {
            match upstreams.get(pending.upstream) {
                Some(upstream) if upstream.is_leaving() => {}
                Some(_) if now_ms < pending.until_ms => self.pending.push_back(pending),
                Some(_) => {}
                None => {
                    self.record_crash(&pending.fingerprints, pending.incarnation, reports, now_ms);
                }
            }
        }
        self.suspects.retain(|_, suspect| now_ms < suspect.updated_at_ms + SUSPICION_MS);
    }

    /// Records a report of another VM, and returns whether it was news.
    pub fn receive(&mut self, report: &Report, now_ms: u64) -> bool {
        match report {
            Report::Crashed { fingerprint, incarnation } => {
                let is_news = self.add_crash(*fingerprint, *incarnation, now_ms);
                if is_news && self.counts_as_fatal(*fingerprint) {
                    self.quarantine.schedule_check(*fingerprint, now_ms);
                }
                is_news
            }
            Report::Cleared { fingerprint, incarnations } => {
                self.clear(*fingerprint, incarnations, now_ms)
            }
            Report::RateLimit { .. } => false,
        }
    }

    fn clear(&mut self, fingerprint: Digest, incarnations: &[IncarnationKey], now_ms: u64) -> bool {
        self.make_room(fingerprint);
        let suspect = self.suspects.entry(fingerprint).or_default();
        suspect.updated_at_ms = now_ms;
        let mut is_news = false;
        for incarnation in incarnations.iter().take(MAX_CRASHES) {
            is_news |= suspect.clear(*incarnation);
        }
        if is_news {
            self.quarantine.schedule_release_check(fingerprint, now_ms);
        }
        is_news
    }

    fn add_crash(&mut self, fingerprint: Digest, incarnation: IncarnationKey, now_ms: u64) -> bool {
        self.make_room(fingerprint);
        let suspect = self.suspects.entry(fingerprint).or_default();
        suspect.updated_at_ms = now_ms;
        if suspect.has_recorded(incarnation) || suspect.crashes.len() == MAX_CRASHES {
            return false;
        }
        suspect.crashes.push(incarnation);
        true
    }

    fn counts_as_fatal(&self, fingerprint: Digest) -> bool {
        let suspect = self.suspects.get(&fingerprint);
        suspect.is_some_and(|suspect| suspect.crashes.len() >= QUARANTINE_CRASHES)
    }

    /// Drops the suspect with the fewest crashes, the oldest of these, if a new one doesn't fit.
    fn make_room(&mut self, fingerprint: Digest) {
        if self.suspects.len() < MAX_SUSPECTS || self.suspects.contains_key(&fingerprint) {
            return;
        }
        let least = self
            .suspects
            .iter()
            .min_by_key(|(_, suspect)| (suspect.crashes.len(), suspect.updated_at_ms))
            .map(|(fingerprint, _)| *fingerprint);
        if let Some(least) = least {
            self.suspects.remove(&least);
        }
    }

    /// Returns the number of suspected fingerprints, including cleared ones.
    pub fn suspect_count(&self) -> usize {
        self.suspects.len()
    }

    /// Returns the quarantined requests.
    pub fn quarantine(&self) -> &QuarantineTable {
        &self.quarantine
    }
}
