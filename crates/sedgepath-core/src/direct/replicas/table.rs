//! The replica of one table.

use std::rc::Rc;
use std::sync::Arc;

use super::restore::{LostWrite, NoDecoder, RowDecoder};
use super::{RequesterState, RowsDigest, Table, TableUpdate, UpdateKind, VersionedRow};
use crate::direct::store_version::StoreVersion;
use crate::hash::{Digest, Map, Set};

/// The number of tombstones that a replica of any size keeps; a VM that lacks older removals gets a
/// snapshot.
const MIN_KEPT_TOMBSTONES: usize = 4_096;

#[derive(Debug, Clone)]
pub(super) struct StoredRow {
    pub(super) version: StoreVersion,
    /// The row's value, or the last one before its removal.
    pub(super) value: Option<Arc<[u8]>>,
    pub(super) is_removed: bool,
}

impl StoredRow {
    fn current_value(&self) -> Option<&Arc<[u8]>> {
        self.value.as_ref().filter(|_| !self.is_removed)
    }

    /// Returns the row's part of the digest of all rows; none if it is removed.
    fn digest(&self, key: &str) -> u64 {
        self.current_value().map_or(0, |value| {
            let version = self.version.to_u64().to_le_bytes();
            Digest::of(&[key.as_bytes(), &version, value]).to_u64()
        })
    }
}

/// A replica of one table.
#[derive(Debug)]
pub struct TableReplica {
    pub(super) rows: Map<Box<str>, StoredRow>,
    pub(super) position: StoreVersion,
    /// The version of the newest change that the replica may contain.
    pub(super) newest_version: StoreVersion,
    /// The sum of the digests of all rows.
    rows_digest: u64,
    tombstone_count: usize,
    /// The version up to which removals are unknown: their tombstones were dropped, or they precede
    /// the last snapshot.
    pub(super) removals_unknown_up_to: StoreVersion,
    is_complete: bool,
    pub(super) table: Table,
    pub(super) decoder: Rc<dyn RowDecoder>,
    /// The position of the snapshot with which the current era began.
    pub(super) era_began_at: StoreVersion,
    /// Rows of that snapshot which this VM knows to have been removed.
    pub(super) held_back: Vec<VersionedRow>,
    pub(super) lost_writes: Vec<LostWrite>,
    late_writes: Vec<Box<str>>,
}

impl Default for TableReplica {
    fn default() -> Self {
        Self::new(Table::Operators, Rc::new(NoDecoder))
    }
}

impl TableReplica {
    /// Creates an empty replica of a table whose rows a decoder orders across restores of the store.
    pub fn new(table: Table, decoder: Rc<dyn RowDecoder>) -> Self {
        Self {
            rows: Map::default(),
            position: StoreVersion::default(),
            newest_version: StoreVersion::default(),
            rows_digest: 0,
            tombstone_count: 0,
            removals_unknown_up_to: StoreVersion::default(),
            is_complete: false,
            table,
            decoder,
            era_began_at: StoreVersion::default(),
            held_back: Vec::new(),
            lost_writes: Vec::new(),
            late_writes: Vec::new(),
        }
    }

    /// Returns whether the replica has ever received a snapshot.
    pub fn is_complete(&self) -> bool {
        self.is_complete
    }

    /// Returns the store version up to which the replica has all changes.
    pub fn position(&self) -> StoreVersion {
        self.position
    }

    /// Returns the version with which the replica is announced: that of the newest change that it may
    /// contain, and up to which it has all changes.
    pub fn newest_version(&self) -> StoreVersion {
        // A snapshot of several pages may have rows above its position, and rows that were removed before
        // these were written.
        self.newest_version.min(self.position)
    }

    /// Returns whether the replica has a row, or knows of one that was removed.
    pub fn has_had_rows(&self) -> bool {
        !self.rows.is_empty()
    }

    /// Returns what the replica has, for a request to another VM.
    ///
    /// Rows that are held back aren't in the digest, and depend on a snapshot.
    pub fn requester_state(&self) -> RequesterState {
        let is_comparable = self.is_complete && self.held_back.is_empty();
        let rows = is_comparable.then_some(RowsDigest(self.rows_digest));
        RequesterState { position: self.position, rows }
    }

    /// Merges an update and returns the rows that changed the replica's contents.
    ///
    /// Changes of another era are ignored: within their era they follow on rows that this replica
    /// doesn't have.
    pub fn merge(&mut self, update: TableUpdate) -> Vec<VersionedRow> {
        if self.is_complete && update.position.era() != self.position.era() {
            let begins_era = update.is_snapshot() && update.position > self.position;
            return if begins_era { self.begin_era(update) } else { Vec::new() };
        }
        if let UpdateKind::Unchanged(rows) = update.kind
            && self.requester_state().rows != Some(rows)
        {
            // The rows have changed since the request.
            return Vec::new();
        }
        let mut changes = Vec::new();
        if update.is_snapshot() {
            changes.extend(self.removed_by_snapshot(&update));
            self.drop_held_back(&update);
            self.is_complete = true;
        }
        self.newest_version = self.newest_version.max(update.newest_version);
        changes.extend(update.rows);
        changes.retain(|row| self.apply_row(row));
        if update.kind != UpdateKind::Changes {
            // Such an update doesn't list earlier removals, so an incremental update from this replica
            // can't either: a VM that still has a removed row would keep it.
            self.removals_unknown_up_to = self.removals_unknown_up_to.max(update.position);
        }
        self.position = self.position.max(update.position);
        self.drop_tombstones();
        changes
    }

    /// Returns whether a VM that has all changes up to a version must be sent a snapshot.
    pub fn requires_snapshot(&self, version: StoreVersion) -> bool {
        version < self.removals_unknown_up_to || version == StoreVersion::default()
    }

    /// Returns the kind of update for a VM that requests rows: the changes that it lacks, or all rows if this
    /// replica may lack removals among them, unless the VM has the same rows.
    pub fn update_kind_for(&self, requester: RequesterState) -> UpdateKind {
        if !self.requires_snapshot(requester.position) {
            return UpdateKind::Changes;
        }
        let same_rows = requester.rows.filter(|rows| {
            requester.position.era() == self.position.era()
                && self.requester_state().rows == Some(*rows)
        });
        same_rows.map_or(UpdateKind::Snapshot, UpdateKind::Unchanged)
    }

    /// Returns the update for a VM that requests rows.
    pub fn update_for(&self, requester: RequesterState) -> TableUpdate {
        match self.update_kind_for(requester) {
            UpdateKind::Unchanged(rows) => TableUpdate::new_unchanged(rows, self.position)
                .with_newest_version(self.newest_version()),
            UpdateKind::Changes | UpdateKind::Snapshot => self.changes_since(requester.position),
        }
    }

    /// Returns the changes after a version for a VM that has all changes up to it, or a snapshot if
    /// this replica may lack removals since then.
    pub fn changes_since(&self, version: StoreVersion) -> TableUpdate {
        let is_snapshot = self.requires_snapshot(version);
        let rows = self.rows.iter().filter(|(_, stored)| {
            if is_snapshot {
                // A row of an earlier era isn't the store's; each VM keeps its own for a while.
                !stored.is_removed && stored.version.era() == self.position.era()
            } else {
                stored.version > version
            }
        });
        let rows = rows.map(|(key, stored)| VersionedRow {
            key: key.clone(),
            version: stored.version,
            value: stored.current_value().cloned(),
        });
        let mut rows: Vec<_> = rows.collect();
        if is_snapshot {
            // The store has these rows; the receiver may know nothing that speaks against them.
            rows.extend(self.held_back.iter().filter(|row| self.is_open(row)).cloned());
        }
        let kind = if is_snapshot { UpdateKind::Snapshot } else { UpdateKind::Changes };
        TableUpdate { rows, position: self.position, kind, newest_version: self.newest_version() }
    }

    /// Returns whether the row of a restored store is newer than what this VM has of it.
    pub(super) fn is_open(&self, row: &VersionedRow) -> bool {
        self.rows.get(&row.key).is_some_and(|stored| stored.version < row.version)
    }

    /// Returns a tombstone for each row that is absent from a snapshot.
    fn removed_by_snapshot(&self, update: &TableUpdate) -> Vec<VersionedRow> {
        let present: Set<&str> = update.rows.iter().map(|row| &*row.key).collect();
        // A row written after the snapshot was taken is newer than this tombstone and stays. So do rows
        // that this era's store doesn't have: those of an earlier era, until the replica settles, and
        // those that outlive a restore, which have no counter.
        let missing = self.rows.iter().filter(|(key, stored)| {
            !stored.is_removed
                && stored.version > StoreVersion::new(self.position.era(), 0)
                && !present.contains(&***key)
        });
        missing
            .map(|(key, _)| VersionedRow {
                key: key.clone(),
                version: update.position,
                value: None,
            })
            .collect()
    }

    /// Drops the rows held back that a snapshot lacks: they were removed since they were read.
    fn drop_held_back(&mut self, update: &TableUpdate) {
        let present: Set<&str> = update.rows.iter().map(|row| &*row.key).collect();
        self.held_back.retain(|row| row.version > update.position || present.contains(&*row.key));
    }

    /// Stores a row unless it is outdated, and returns whether the replica's contents changed.
    pub(super) fn apply_row(&mut self, row: &VersionedRow) -> bool {
        let stored = self.rows.get(&row.key);
        if stored.is_some_and(|stored| !self.is_newer(row, stored)) {
            return false;
        }
        // The replica has all changes up to its position. A row of an earlier version that it lacks, or
        // has of an earlier era only, was therefore removed, and arrives with a delayed update. The
        // removal isn't sent again, so accepting the row would keep a removed upstream in use.
        let has_none = stored.is_none_or(|stored| stored.version.era() < self.position.era());
        if has_none && row.value.is_some() && row.version <= self.position {
            return false;
        }
        if self.is_late_row(row) {
            self.keep_value(row);
            return false;
        }
        self.store_row(row)
    }

    /// Returns whether a row's value was written before the last known one, if it was removed since as well.
    fn is_late_row(&self, row: &VersionedRow) -> bool {
        let known = self.rows.get(&row.key).and_then(|stored| stored.value.as_deref());
        let values = row.value.as_deref().zip(known);
        values.is_some_and(|(value, known)| self.is_late_write(&row.key, value, known))
    }

    /// Keeps what is known of a row at the version of a late write, so that VMs which have the late value take
    /// this one.
    fn keep_value(&mut self, late: &VersionedRow) {
        let Some(stored) = self.rows.get_mut(&late.key) else { return };
        self.rows_digest = self.rows_digest.wrapping_sub(stored.digest(&late.key));
        stored.version = late.version;
        self.rows_digest = self.rows_digest.wrapping_add(stored.digest(&late.key));
        self.newest_version = self.newest_version.max(late.version);
        self.late_writes.push(late.key.clone());
    }

    /// Takes the keys of the rows of which the store has performed a write late.
    pub fn take_late_writes(&mut self) -> Vec<Box<str>> {
        std::mem::take(&mut self.late_writes)
    }

    /// Stores a row, and returns whether the replica's contents changed.
    pub(super) fn store_row(&mut self, row: &VersionedRow) -> bool {
        let stored = self.rows.get(&row.key);
        let was_removed = stored.is_some_and(|stored| stored.is_removed);
        let changed = row.value.is_some() || stored.is_some_and(|stored| !stored.is_removed);
        let last_value = stored.and_then(|stored| stored.value.clone());
        match (was_removed, row.value.is_none()) {
            (false, true) => self.tombstone_count += 1,
            (true, false) => self.tombstone_count -= 1,
            _ => {}
        }
        self.newest_version = self.newest_version.max(row.version);
        let newer = StoredRow {
            version: row.version,
            value: row.value.clone().or(last_value),
            is_removed: row.value.is_none(),
        };
        self.rows_digest = self.rows_digest.wrapping_add(newer.digest(&row.key));
        if let Some(replaced) = self.rows.insert(row.key.clone(), newer) {
            self.rows_digest = self.rows_digest.wrapping_sub(replaced.digest(&row.key));
        }
        changed
    }

    /// Computes the digest of all rows after the versions of some have changed.
    pub(super) fn update_rows_digest(&mut self) {
        let digests = self.rows.iter().map(|(key, row)| row.digest(key));
        self.rows_digest = digests.fold(0, u64::wrapping_add);
    }

    /// Returns whether a row is newer than the stored one. Of one version there may be two values after
    /// a restore, as VMs knew different newest ones.
    fn is_newer(&self, row: &VersionedRow, stored: &StoredRow) -> bool {
        if stored.version != row.version {
            return stored.version < row.version;
        }
        let values = stored.current_value().zip(row.value.as_ref());
        values.is_some_and(|(stored, offered)| self.is_outdated(&row.key, stored, offered))
    }

    /// Drops the older half of the tombstones if there are more of them than other rows, and more than
    /// [`MIN_KEPT_TOMBSTONES`].
    ///
    /// The newer half stays, so that VMs that lag by a moment don't all get a snapshot at once while many
    /// rows are removed.
    fn drop_tombstones(&mut self) {
        let other_rows = self.rows.len() - self.tombstone_count;
        if self.tombstone_count <= other_rows.max(MIN_KEPT_TOMBSTONES) {
            return;
        }
        let removed = self.rows.values().filter(|stored| stored.is_removed);
        let mut versions: Vec<_> = removed.map(|stored| stored.version).collect();
        let middle = versions.len() / 2;
        let dropped_up_to = *versions.select_nth_unstable(middle).1;
        self.rows.retain(|_, stored| !stored.is_removed || stored.version > dropped_up_to);
        self.tombstone_count = self.rows.values().filter(|stored| stored.is_removed).count();
        self.removals_unknown_up_to = self.removals_unknown_up_to.max(dropped_up_to);
    }
}
