//! What becomes of a replica when the store is restored from an older copy.
//!
//! The first snapshot of an era may lack the newest writes that this VM knows. Operators and upstreams
//! write theirs again, but until then the copy must not undo them: an upstream that has left would get
//! requests, and a removed route would be back. Where a writer says in the row itself how new it is, the
//! newer value holds ([`RowContents`]). Otherwise the difference is left open until the replica settles, by
//! when the writers have written again; then the store's word holds.

use std::cmp::Ordering;
use std::fmt::Debug;
use std::sync::Arc;

use super::table::StoredRow;
use super::{Table, TableReplica, TableUpdate, VersionedRow};
use crate::direct::crashes::quarantine::QuarantineRow;
use crate::direct::store_version::StoreVersion;
use crate::direct::upstreams::{EntryOrder, LAPSED_ENTRY_GRACE_MS, UpstreamEntry};
use crate::hash::Set;

/// The time for which an evacuation that a restored store lacks stays in force, in milliseconds. Ending
/// it too soon sends requests to a failure domain that operators have emptied; too late leaves room unused.
const MISSING_EVACUATION_GRACE_MS: u64 = 10_000;

/// The time for which an evacuation that had been taken back isn't begun again, in milliseconds: well
/// below the time in which an evacuation must be in force, as it may be a new one.
const REMOVED_EVACUATION_GRACE_MS: u64 = 2_000;

/// The time in which VMs write the quarantine's rows again, in milliseconds: several tries.
const QUARANTINE_GRACE_MS: u64 = 30_000;

/// A difference between a restored store and what this VM knows that the rows' values don't decide.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum OpenDifference {
    /// The store lacks a row that this VM knows.
    Missing,
    /// The store has a row that this VM knows to have been removed.
    Removed,
}

impl OpenDifference {
    /// Every kind of difference.
    pub const ALL: [Self; 2] = [Self::Missing, Self::Removed];

    /// Returns the name for logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::Missing => "missing",
            Self::Removed => "removed",
        }
    }
}

/// What a row's value tells of its order among the values of the same row.
#[derive(Debug, Clone, PartialEq)]
pub enum RowContents {
    /// A configuration, ordered by its version.
    Configuration {
        /// The version that operators gave it.
        version: u64,
    },
    /// An upstream's entry, ordered by the upstream's start and the number of its writes since then.
    Upstream(Box<UpstreamEntry>),
    /// A quarantine, ordered by its end and then by its probes.
    Quarantine(QuarantineRow),
    /// A value that doesn't tell, or can't be decoded.
    Unordered,
}

impl RowContents {
    /// Compares this value of a restored row with the newest known one.
    fn compare(&self, known: &Self) -> Precedence {
        match (self, known) {
            (Self::Configuration { version }, Self::Configuration { version: known }) => {
                match version.cmp(known) {
                    Ordering::Less => Precedence::Outdated,
                    Ordering::Equal => Precedence::Unknown,
                    Ordering::Greater => Precedence::Newer,
                }
            }
            (Self::Unordered, Self::Configuration { .. }) => Precedence::Outdated,
            (Self::Upstream(entry), Self::Upstream(known)) => {
                Precedence::outdated_if(entry.precedes_in_copy(known))
            }
            (Self::Quarantine(row), Self::Quarantine(known)) => Precedence::outdated_if(
                (row.until_unix_ms, row.probes) <= (known.until_unix_ms, known.probes),
            ),
            _ => Precedence::Unknown,
        }
    }

    /// Returns whether this value was written before another one of the same row, whatever the order in which the
    /// store performed the writes.
    ///
    /// Only upstreams write rows again and again without a condition. Of configurations, an older one isn't put
    /// in force; quarantines are written with conditions, which a late write doesn't meet.
    fn was_written_before(&self, other: &Self) -> bool {
        match (self, other) {
            (Self::Upstream(entry), Self::Upstream(other)) => {
                entry.order_after(other) == EntryOrder::Outdated
            }
            _ => false,
        }
    }

    /// Returns whether the row holds until it is written again, although a restored store lacks it.
    fn outlives_restore(&self) -> bool {
        matches!(self, Self::Configuration { .. })
    }
}

/// How a value of a restored row relates to the newest known one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Precedence {
    /// The restored value is older, or the same.
    Outdated,
    /// The restored value is newer.
    Newer,
    /// The values don't tell.
    Unknown,
}

impl Precedence {
    fn outdated_if(outdated: bool) -> Self {
        if outdated { Self::Outdated } else { Self::Newer }
    }
}

/// Decodes what rows tell of their order.
pub trait RowDecoder: Debug {
    /// Decodes a value of a row.
    fn decode(&self, table: Table, key: &str, value: &[u8]) -> RowContents;
}

/// Decodes nothing: rows are ordered by the store's versions only.
#[derive(Debug)]
pub(super) struct NoDecoder;

impl RowDecoder for NoDecoder {
    fn decode(&self, _table: Table, _key: &str, _value: &[u8]) -> RowContents {
        RowContents::Unordered
    }
}

/// A write that a restored store has lost.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LostWrite {
    /// The row's key.
    pub key: Box<str>,
    /// The value that was written; `None` if the row was removed.
    pub value: Option<Arc<[u8]>>,
    /// The version of the row in the restored store, if it has the row.
    pub restored_version: Option<StoreVersion>,
}

impl Table {
    /// Returns the time from a restore until the store's word holds on a difference, in milliseconds.
    pub fn restore_grace_ms(self, difference: OpenDifference) -> u64 {
        match (self, difference) {
            (Self::Operators, OpenDifference::Missing) => MISSING_EVACUATION_GRACE_MS,
            (Self::Operators, OpenDifference::Removed) => REMOVED_EVACUATION_GRACE_MS,
            (Self::Upstreams, _) => LAPSED_ENTRY_GRACE_MS,
            (Self::Quarantine, _) => QUARANTINE_GRACE_MS,
        }
    }
}

impl TableReplica {
    /// Takes the writes that the store has lost, as found when it was restored.
    pub fn take_lost_writes(&mut self) -> Vec<LostWrite> {
        std::mem::take(&mut self.lost_writes)
    }

    /// Takes over the store's word on the differences of a kind that were left open, and returns the rows
    /// that changed the replica's contents.
    pub fn settle(&mut self, difference: OpenDifference) -> Vec<VersionedRow> {
        let mut changes = match difference {
            OpenDifference::Missing => self.missing_rows(),
            OpenDifference::Removed => std::mem::take(&mut self.held_back),
        };
        changes.retain(|row| self.is_open(row) && self.store_row(row));
        changes
    }

    /// Returns a tombstone for each row that this era's store has never had.
    fn missing_rows(&self) -> Vec<VersionedRow> {
        let era = self.position.era();
        let is_missing = |row: &StoredRow| !row.is_removed && row.version.era() < era;
        let missing = self.rows.iter().filter(|(_, row)| is_missing(row));
        missing
            .map(|(key, _)| VersionedRow {
                key: key.clone(),
                version: self.era_began_at,
                value: None,
            })
            .collect()
    }

    /// Merges the first snapshot of an era, and returns the rows that changed the replica's contents.
    pub(super) fn begin_era(&mut self, snapshot: TableUpdate) -> Vec<VersionedRow> {
        let TableUpdate { rows, position, newest_version, .. } = snapshot;
        self.held_back.clear();
        self.lost_writes.clear();
        self.keep_missing_rows(&rows, position);
        self.newest_version = StoreVersion::new(position.era(), 0).max(newest_version);
        let mut changes = rows;
        changes.retain(|row| self.apply_restored_row(row));
        self.update_rows_digest();
        self.position = position;
        self.removals_unknown_up_to = position;
        self.era_began_at = position;
        changes
    }

    /// Records the known rows that the snapshot lacks, and keeps those that outlive a restore.
    fn keep_missing_rows(&mut self, rows: &[VersionedRow], position: StoreVersion) {
        let present: Set<&str> = rows.iter().map(|row| &*row.key).collect();
        let known = self.rows.iter_mut().filter(|(_, row)| !row.is_removed);
        for (key, row) in known.filter(|(key, _)| !present.contains(&***key)) {
            let value = row.value.as_deref().unwrap_or_default();
            if self.decoder.decode(self.table, key, value).outlives_restore() {
                row.version = StoreVersion::new(position.era(), 0);
            }
            self.lost_writes.push(LostWrite {
                key: key.clone(),
                value: row.value.clone(),
                restored_version: None,
            });
        }
    }

    /// Stores a row of an era's first snapshot, unless this VM knows a newer state of it, and returns
    /// whether the replica's contents changed.
    fn apply_restored_row(&mut self, row: &VersionedRow) -> bool {
        let Some(known) = self.rows.get_mut(&row.key) else {
            return self.store_row(row);
        };
        let (Some(restored), Some(known_value)) = (&row.value, &known.value) else {
            return self.store_row(row);
        };
        if !known.is_removed && restored == known_value {
            known.version = row.version;
            self.newest_version = self.newest_version.max(row.version);
            return false;
        }
        let decode = |value| self.decoder.decode(self.table, &row.key, value);
        match decode(restored).compare(&decode(known_value)) {
            Precedence::Outdated => {
                let value = Some(Arc::clone(known_value)).filter(|_| !known.is_removed);
                known.version = row.version;
                self.newest_version = self.newest_version.max(row.version);
                self.lost_writes.push(LostWrite {
                    key: row.key.clone(),
                    value,
                    restored_version: Some(row.version),
                });
                false
            }
            Precedence::Unknown if known.is_removed => {
                self.held_back.push(row.clone());
                false
            }
            Precedence::Newer | Precedence::Unknown => self.store_row(row),
        }
    }

    /// Returns whether a value was written before the newest known one of its row, though the store performed that
    /// write later.
    pub(super) fn is_late_write(&self, key: &str, value: &[u8], known: &[u8]) -> bool {
        if self.table != Table::Upstreams || value == known {
            return false;
        }
        let decode = |value| self.decoder.decode(self.table, key, value);
        decode(value).was_written_before(&decode(known))
    }

    /// Returns whether one value of a row is older than another.
    pub(super) fn is_outdated(&self, key: &str, value: &[u8], other: &[u8]) -> bool {
        let decode = |value| self.decoder.decode(self.table, key, value);
        value != other && decode(value).compare(&decode(other)) == Precedence::Outdated
    }
}
