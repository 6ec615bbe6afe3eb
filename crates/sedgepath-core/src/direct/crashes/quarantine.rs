//! Quarantined requests, kept in a table of the store.
//!
//! The store's row outlives restarts of all VMs, and all VMs learn of it with the table's replicas.
//! It also counts the probes: the VM that increments the count by a conditional write may send the
//! request once, whatever the number of VMs and the view that each has of the others.

use serde::{Deserialize, Serialize};

use super::Verdict;
use crate::direct::fingerprint::RequestFingerprints;
use crate::direct::replicas::{OpenDifference, Table};
use crate::direct::store_version::StoreVersion;
use crate::hash::{Digest, Map};
use crate::key::VmKey;
use crate::rendezvous;
use crate::table::{RowChange, RowCondition, RowWrite};

/// The duration of a quarantine, in milliseconds.
pub const QUARANTINE_MS: u64 = 60 * 60 * 1_000;

/// The time from the beginning of a quarantine to the first probe, in milliseconds: by then upstreams
/// that crashed together with others are known, and the requests on them have been retried.
pub const PROBE_DELAY_MS: u64 = 2_000;

/// The time from one probe to the next, in milliseconds.
const PROBE_INTERVAL_MS: u64 = 30_000;

/// The number of probes in a quarantine.
pub const MAX_PROBES: u32 = 2;

/// The most quarantined requests.
pub const MAX_QUARANTINED: usize = 1_000;

/// The most rows that a VM writes at a time, so that the VMs together keep to the store's rate when
/// many requests were in flight at the same crashes.
pub const MAX_WRITES: usize = 16;

/// The time from a write of a row to the next try, in milliseconds.
const WRITE_RETRY_MS: u64 = 3_000;

/// The least time for which a VM leaves a row to the VMs that have observed the crash or the success
/// themselves, in milliseconds.
const MIN_TAKEOVER_MS: u64 = 1_000;

/// The spread of the time after which VMs write a row for another one, in milliseconds.
const TAKEOVER_SPREAD_MS: u64 = 2_000;

/// The spread of the time after which VMs remove an expired row, in milliseconds.
const EXPIRY_SPREAD_MS: u64 = 60_000;

/// The value of a quarantined request's row. Its key is the fingerprint in hexadecimal digits.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuarantineRow {
    /// The number of probes that VMs have claimed.
    pub probes: u32,
    /// When the next probe is due, in milliseconds since the Unix epoch.
    pub probe_at_unix_ms: u64,
    /// When the quarantine ends, in milliseconds since the Unix epoch.
    pub until_unix_ms: u64,
}

/// The current time by both clocks.
#[derive(Debug, Clone, Copy)]
pub struct Clocks {
    /// The time of deadlines, in milliseconds.
    pub now_ms: u64,
    /// The milliseconds since the Unix epoch.
    pub unix_ms: u64,
}

impl Clocks {
    fn deadline_ms(self, at_unix_ms: u64) -> u64 {
        self.now_ms.saturating_add(at_unix_ms.saturating_sub(self.unix_ms))
    }
}

/// A change of a row that a VM is to write to the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct QuarantineWrite {
    /// The request's fingerprint.
    pub fingerprint: Digest,
    /// The version that the row must have; `None` if it must not exist.
    pub expected: Option<StoreVersion>,
    /// The new value; `None` if the row is to be removed.
    pub row: Option<QuarantineRow>,
}

impl QuarantineWrite {
    /// Returns the write with the new value as text.
    pub fn to_row_write(&self, encode: impl Fn(&QuarantineRow) -> Box<str>) -> RowWrite {
        RowWrite {
            key: self.fingerprint.to_hex().into(),
            condition: self
                .expected
                .map_or(RowCondition::Absent, |version| RowCondition::Version(version.to_u64())),
            change: self.row.as_ref().map_or(RowChange::Delete, |row| RowChange::Put(encode(row))),
        }
    }
}

#[derive(Debug)]
struct Quarantined {
    version: StoreVersion,
    probes: u32,
    probe_at_ms: u64,
    until_ms: u64,
    until_unix_ms: u64,
    /// When this VM removes the expired row, unless another one has, in milliseconds.
    remove_at_ms: u64,
}

/// A planned change of a row.
#[derive(Debug, Clone, Copy)]
struct PlannedChange {
    quarantined: bool,
    at_ms: u64,
    until_ms: u64,
}

/// A write that a restored store has lost, and that a VM is to repeat.
#[derive(Debug, Clone, Copy)]
struct LostChange {
    expected: Option<StoreVersion>,
    row: Option<QuarantineRow>,
    at_ms: u64,
    until_ms: u64,
}

/// A VM's replica of the quarantine, and the changes that it is to write.
#[derive(Debug)]
pub struct QuarantineTable {
    own: VmKey,
    rows: Map<Digest, Quarantined>,
    planned: Map<Digest, PlannedChange>,
    lost: Map<Digest, LostChange>,
}

impl QuarantineTable {
    pub(super) fn new(own: VmKey) -> Self {
        Self { own, rows: Map::default(), planned: Map::default(), lost: Map::default() }
    }

    /// Returns the number of quarantined fingerprints.
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// Returns whether nothing is quarantined.
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    /// Returns whether a fingerprint has a row.
    pub fn contains(&self, fingerprint: Digest) -> bool {
        self.rows.contains_key(&fingerprint)
    }

    /// Returns the verdict of a fingerprint's row, if it has one that is in force.
    pub(super) fn verdict(&self, fingerprint: Digest, now_ms: u64) -> Option<Verdict> {
        let row = self.rows.get(&fingerprint).filter(|row| now_ms < row.until_ms)?;
        if row.probes >= MAX_PROBES {
            return Some(Verdict::Quarantined { retry_after_ms: row.until_ms - now_ms });
        }
        Some(match row.probe_at_ms.saturating_sub(now_ms) {
            0 => Verdict::ProbeDue,
            retry_after_ms => Verdict::Quarantined { retry_after_ms },
        })
    }

    /// Plans the write of a row after a crash that this VM has observed itself.
    pub(super) fn schedule_own_check(&mut self, fingerprint: Digest, now_ms: u64) {
        self.plan(fingerprint, true, now_ms, now_ms);
    }

    /// Plans the write of a row in case the VM that observed the crash doesn't write it.
    pub(super) fn schedule_check(&mut self, fingerprint: Digest, now_ms: u64) {
        let delay_ms = MIN_TAKEOVER_MS + self.spread(fingerprint, TAKEOVER_SPREAD_MS);
        self.plan(fingerprint, true, now_ms + delay_ms, now_ms);
    }

    /// Plans the removal of a row in case the VM that observed the success doesn't remove it.
    pub(super) fn schedule_release_check(&mut self, fingerprint: Digest, now_ms: u64) {
        let delay_ms = MIN_TAKEOVER_MS + self.spread(fingerprint, TAKEOVER_SPREAD_MS);
        self.plan(fingerprint, false, now_ms + delay_ms, now_ms);
    }

    /// Plans the removal of a row after a success that this VM has observed itself.
    pub(super) fn schedule_release(&mut self, fingerprint: Digest, now_ms: u64) {
        self.plan(fingerprint, false, now_ms, now_ms);
    }

    fn plan(&mut self, fingerprint: Digest, quarantined: bool, at_ms: u64, now_ms: u64) {
        if self.planned.len() >= MAX_QUARANTINED && !self.planned.contains_key(&fingerprint) {
            return;
        }
        let until_ms = now_ms + super::SUSPICION_MS;
        self.planned.insert(fingerprint, PlannedChange { quarantined, at_ms, until_ms });
    }

    /// Plans to repeat a write that a restored store has lost, unless another VM does: the row's last
    /// value, or its removal, and the version that the row has in the restored store.
    pub(super) fn schedule_repeat(
        &mut self,
        fingerprint: Digest,
        row: Option<QuarantineRow>,
        expected: Option<StoreVersion>,
        now_ms: u64,
    ) {
        let at_ms = now_ms + self.spread(fingerprint, TAKEOVER_SPREAD_MS);
        let until_ms = now_ms + Table::Quarantine.restore_grace_ms(OpenDifference::Missing);
        self.lost.insert(fingerprint, LostChange { expected, row, at_ms, until_ms });
    }

    /// Applies a row of the store, or its removal.
    pub(super) fn apply_row(
        &mut self,
        fingerprint: Digest,
        version: StoreVersion,
        row: Option<QuarantineRow>,
        clocks: Clocks,
    ) {
        // The store has a newer write.
        self.lost.remove(&fingerprint);
        let Some(row) = row else {
            self.rows.remove(&fingerprint);
            return;
        };
        let until_ms = clocks.deadline_ms(row.until_unix_ms);
        let quarantined = Quarantined {
            version,
            probes: row.probes,
            probe_at_ms: clocks.deadline_ms(row.probe_at_unix_ms),
            until_ms,
            until_unix_ms: row.until_unix_ms,
            remove_at_ms: until_ms.saturating_add(self.spread(fingerprint, EXPIRY_SPREAD_MS)),
        };
        let is_new = self.rows.insert(fingerprint, quarantined).is_none();
        if is_new {
            // A removal that was planned earlier is not meant for this row.
            self.planned.remove(&fingerprint);
        }
    }

    /// Returns the writes that are due, and plans their next tries.
    pub fn take_due_writes(&mut self, clocks: Clocks) -> Vec<QuarantineWrite> {
        let now_ms = clocks.now_ms;
        let rows = &self.rows;
        self.planned.retain(|fingerprint, planned| {
            now_ms < planned.until_ms && rows.contains_key(fingerprint) != planned.quarantined
        });
        let mut writes = Vec::new();
        for (fingerprint, planned) in &mut self.planned {
            let full = planned.quarantined && self.rows.len() >= MAX_QUARANTINED;
            if planned.at_ms > now_ms || full || writes.len() >= MAX_WRITES {
                continue;
            }
            planned.at_ms = now_ms + WRITE_RETRY_MS;
            writes.push(QuarantineWrite {
                fingerprint: *fingerprint,
                expected: self.rows.get(fingerprint).map(|row| row.version),
                row: planned.quarantined.then(|| QuarantineRow {
                    probes: 0,
                    probe_at_unix_ms: clocks.unix_ms + PROBE_DELAY_MS,
                    until_unix_ms: clocks.unix_ms + QUARANTINE_MS,
                }),
            });
        }
        writes.extend(self.repeated_writes(now_ms));
        writes.extend(self.expired_rows(now_ms));
        writes.truncate(MAX_WRITES);
        writes
    }

    fn repeated_writes(&mut self, now_ms: u64) -> Vec<QuarantineWrite> {
        self.lost.retain(|_, lost| now_ms < lost.until_ms);
        let due = self.lost.iter_mut().filter(|(_, lost)| lost.at_ms <= now_ms);
        due.map(|(fingerprint, lost)| {
            lost.at_ms = now_ms + WRITE_RETRY_MS;
            QuarantineWrite { fingerprint: *fingerprint, expected: lost.expected, row: lost.row }
        })
        .collect()
    }

    fn expired_rows(&mut self, now_ms: u64) -> Vec<QuarantineWrite> {
        let expired = self.rows.iter_mut().filter(|(_, row)| now_ms >= row.remove_at_ms);
        expired
            .map(|(fingerprint, row)| {
                row.remove_at_ms = now_ms + WRITE_RETRY_MS;
                QuarantineWrite {
                    fingerprint: *fingerprint,
                    expected: Some(row.version),
                    row: None,
                }
            })
            .collect()
    }

    /// Returns the writes that claim the probe of a request, which must be applied together. Empty if
    /// no probe is due.
    pub fn probe_claim(
        &self,
        fingerprints: &RequestFingerprints,
        clocks: Clocks,
    ) -> Vec<QuarantineWrite> {
        let due = |fingerprint: &Digest| {
            self.verdict(*fingerprint, clocks.now_ms) == Some(Verdict::ProbeDue)
        };
        let claims = fingerprints.iter().filter(due).filter_map(|fingerprint| {
            let row = self.rows.get(&fingerprint)?;
            Some(QuarantineWrite {
                fingerprint,
                expected: Some(row.version),
                row: Some(QuarantineRow {
                    probes: row.probes + 1,
                    probe_at_unix_ms: clocks.unix_ms + PROBE_INTERVAL_MS,
                    until_unix_ms: row.until_unix_ms,
                }),
            })
        });
        claims.collect()
    }

    /// Returns a time that differs between VMs, so that they don't all write a row at once.
    fn spread(&self, fingerprint: Digest, spread_ms: u64) -> u64 {
        rendezvous::score(self.own.0, fingerprint.to_u64()) % spread_ms
    }
}
