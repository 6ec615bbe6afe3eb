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

use super::{Table, TableReplica, TableUpdate, VersionedRow};
use crate::direct::crashes::quarantine::QuarantineRow;
use crate::direct::store_version::StoreVersion;
use crate::direct::upstreams::{LAPSED_ENTRY_GRACE_MS, UpstreamEntry};
use crate::hash::Set;

/// The time in which operators write their rows again, in milliseconds. Too long a time leaves a
/// failure domain empty that operators have taken back, too short a time sends requests to one that
/// they have emptied.
const OPERATORS_GRACE_MS: u64 = 5_000;

/// The time in which VMs write the quarantine's rows again, in milliseconds: several tries.
const QUARANTINE_GRACE_MS: u64 = 30_000;

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
    /// Returns the time from a restore until the store's word holds where values tell no order, in
    /// milliseconds.
    pub fn restore_grace_ms(self) -> u64 {
        match self {
            Self::Operators => OPERATORS_GRACE_MS,
            Self::Upstreams => LAPSED_ENTRY_GRACE_MS,
            Self::Quarantine => QUARANTINE_GRACE_MS,
        }
    }
}

impl TableReplica {
    /// Returns whether differences between this replica and a restored store are left open, until
    /// [`Self::settle`].
    pub fn is_unsettled(&self) -> bool {
        self.unsettled_since.is_some()
    }

    /// Takes the writes that the store has lost, as found when it was restored.
    pub fn take_lost_writes(&mut self) -> Vec<LostWrite> {
        std::mem::take(&mut self.lost_writes)
    }

    /// Takes over the store's word where a difference was left open, and returns the rows that changed
    /// the replica's contents.
    pub fn settle(&mut self) -> Vec<VersionedRow> {
        let Some(restored_at) = self.unsettled_since.take() else {
            return Vec::new();
        };
        let era = self.position.era();
        let open = |version: StoreVersion| version.era() < era;
        let missing = self.rows.iter().filter(|(_, row)| !row.is_removed && open(row.version));
        let removals = missing.map(|(key, _)| VersionedRow {
            key: key.clone(),
            version: restored_at,
            value: None,
        });
        let mut changes: Vec<_> = removals.collect();
        let held_back = std::mem::take(&mut self.held_back);
        changes.extend(held_back.into_iter().filter(|row| self.is_held_back(row)));
        changes.retain(|row| self.store_row(row));
        changes
    }

    /// Merges the first snapshot of an era, and returns the rows that changed the replica's contents.
    pub(super) fn begin_era(&mut self, snapshot: TableUpdate) -> Vec<VersionedRow> {
        let TableUpdate { rows, position, .. } = snapshot;
        self.held_back.clear();
        self.lost_writes.clear();
        self.keep_missing_rows(&rows, position);
        self.newest_version = StoreVersion::new(position.era(), 0);
        let mut changes = rows;
        changes.retain(|row| self.apply_restored_row(row));
        self.position = position;
        self.removals_unknown_up_to = position;
        self.unsettled_since = Some(position);
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

    /// Returns whether one value of a row is older than another.
    pub(super) fn is_outdated(&self, key: &str, value: &[u8], other: &[u8]) -> bool {
        let decode = |value| self.decoder.decode(self.table, key, value);
        value != other && decode(value).compare(&decode(other)) == Precedence::Outdated
    }
}
