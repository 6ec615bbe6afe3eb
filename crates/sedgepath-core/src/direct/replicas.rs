//! Replicas of the store's tables, which entry VMs exchange with each other.
//!
//! A few VMs read the store. Every VM announces the version of its replicas in its heartbeats, and
//! a VM that hears of a newer replica fetches the changes from its holder. This bounds the number of
//! calls to the store, and updates VMs that can't reach it.
//!
//! # Invariants
//!
//! - Each row carries the store version of its last write, and replaces only an older row. Replicas
//!   can therefore be merged in any order and never return to an earlier state.
//! - A replica holds what the store held at the replica's position. An incremental update keeps
//!   this only if its sender knows all removals since the requester's position; otherwise the
//!   sender must send a snapshot.
//! - A removed row is kept as a tombstone, so that an older replica can't restore it.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::hash::Map;

/// The most tombstones that a replica keeps; a VM that lacks older removals gets a snapshot.
const MAX_TOMBSTONES: usize = 4_096;

/// A replicated table of the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Table {
    /// The configuration and evacuations, written by operators.
    Operators,
    /// The registrations of upstreams.
    Upstreams,
    /// The quarantined requests.
    Quarantine,
}

impl Table {
    /// Every replicated table.
    pub const ALL: [Self; 3] = [Self::Operators, Self::Upstreams, Self::Quarantine];

    /// The tables without which a VM can't serve, in the order of replica versions in heartbeats.
    pub const REQUIRED: [Self; 2] = [Self::Operators, Self::Upstreams];

    /// Returns the name for logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::Operators => "operators",
            Self::Upstreams => "upstreams",
            Self::Quarantine => "quarantine",
        }
    }
}

/// A row with the store version of its last write.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionedRow {
    /// The row's key, unique within its table.
    pub key: Box<str>,
    /// The store version at which the row was written or removed.
    pub version: u64,
    /// The row's value; `None` if the row was removed.
    pub value: Option<Arc<[u8]>>,
}

/// A snapshot or an incremental update of a table, from the store or from another VM.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TableUpdate {
    /// The rows of the snapshot, or those that changed.
    pub rows: Vec<VersionedRow>,
    /// The store version up to which the update contains all changes.
    pub position: u64,
    /// Whether the update holds all rows of the table rather than only the changed ones.
    pub is_snapshot: bool,
}

#[derive(Debug, Clone)]
struct StoredRow {
    version: u64,
    value: Option<Arc<[u8]>>,
}

/// A replica of one table.
#[derive(Debug, Default)]
pub struct TableReplica {
    rows: Map<Box<str>, StoredRow>,
    position: u64,
    newest_version: u64,
    tombstone_count: usize,
    /// The version up to which removals are unknown: their tombstones were dropped, or they precede
    /// the last snapshot.
    removals_unknown_up_to: u64,
    is_complete: bool,
}

impl TableReplica {
    /// Returns whether the replica has ever received a snapshot.
    pub fn is_complete(&self) -> bool {
        self.is_complete
    }

    /// Returns the store version up to which the replica has all changes.
    pub fn position(&self) -> u64 {
        self.position
    }

    /// Returns the store version of the newest change in the replica.
    pub fn newest_version(&self) -> u64 {
        self.newest_version
    }

    /// Merges an update and returns the rows that changed the replica's contents.
    pub fn merge(&mut self, update: TableUpdate) -> Vec<VersionedRow> {
        let mut changes = Vec::new();
        if update.is_snapshot {
            changes.extend(self.removed_by_snapshot(&update));
        }
        changes.extend(update.rows);
        changes.retain(|row| self.apply_row(row));
        self.position = self.position.max(update.position);
        if update.is_snapshot {
            // A snapshot doesn't list earlier removals, so an incremental update from this replica
            // can't either: a VM that still has a removed row would keep it.
            self.removals_unknown_up_to = self.removals_unknown_up_to.max(update.position);
            self.is_complete = true;
        }
        self.drop_tombstones();
        changes
    }

    /// Returns whether a VM that has all changes up to a version must be sent a snapshot.
    pub fn requires_snapshot(&self, version: u64) -> bool {
        version < self.removals_unknown_up_to || version == 0
    }

    /// Returns the changes after a version for a VM that has all changes up to it, or a snapshot if
    /// this replica may lack removals since then.
    pub fn changes_since(&self, version: u64) -> TableUpdate {
        let is_snapshot = self.requires_snapshot(version);
        let rows = self
            .rows
            .iter()
            .filter(
                |(_, stored)| {
                    if is_snapshot { stored.value.is_some() } else { stored.version > version }
                },
            )
            .map(|(key, stored)| VersionedRow {
                key: key.clone(),
                version: stored.version,
                value: stored.value.clone(),
            })
            .collect();
        TableUpdate { rows, position: self.position, is_snapshot }
    }

    /// Returns a tombstone for each row that is absent from a snapshot.
    fn removed_by_snapshot(&self, update: &TableUpdate) -> Vec<VersionedRow> {
        let present: crate::hash::Set<&str> = update.rows.iter().map(|row| &*row.key).collect();
        // A row written after the snapshot was taken is newer than this tombstone and stays.
        let missing = self
            .rows
            .iter()
            .filter(|(key, stored)| stored.value.is_some() && !present.contains(&***key));
        missing
            .map(|(key, _)| VersionedRow {
                key: key.clone(),
                version: update.position,
                value: None,
            })
            .collect()
    }

    /// Stores a row unless it is outdated, and returns whether the replica's contents changed.
    fn apply_row(&mut self, row: &VersionedRow) -> bool {
        let stored = self.rows.get(&row.key);
        if stored.is_some_and(|stored| stored.version >= row.version) {
            return false;
        }
        // The replica has all changes up to its position. A row of an earlier version that it lacks
        // was therefore removed, and arrives with a delayed update. The removal isn't sent again, so
        // accepting the row would keep a removed upstream in use.
        if stored.is_none() && row.value.is_some() && row.version <= self.position {
            return false;
        }
        let was_removed = stored.is_some_and(|stored| stored.value.is_none());
        let changed = row.value.is_some() || stored.is_some_and(|stored| stored.value.is_some());
        match (was_removed, row.value.is_none()) {
            (false, true) => self.tombstone_count += 1,
            (true, false) => self.tombstone_count -= 1,
            _ => {}
        }
        self.newest_version = self.newest_version.max(row.version);
        let newer = StoredRow { version: row.version, value: row.value.clone() };
        self.rows.insert(row.key.clone(), newer);
        changed
    }

    /// Drops all tombstones if there are more than [`MAX_TOMBSTONES`].
    fn drop_tombstones(&mut self) {
        if self.tombstone_count <= MAX_TOMBSTONES {
            return;
        }
        self.rows.retain(|_, stored| stored.value.is_some());
        self.tombstone_count = 0;
        self.removals_unknown_up_to = self.removals_unknown_up_to.max(self.newest_version);
    }
}

/// The replicas of all replicated tables.
#[derive(Debug, Default)]
pub struct TableReplicas {
    operators: TableReplica,
    upstreams: TableReplica,
    quarantine: TableReplica,
}

impl TableReplicas {
    /// Returns the replica of a table.
    pub fn get(&self, table: Table) -> &TableReplica {
        match table {
            Table::Operators => &self.operators,
            Table::Upstreams => &self.upstreams,
            Table::Quarantine => &self.quarantine,
        }
    }

    /// Returns a mutable reference to the replica of a table.
    pub fn get_mut(&mut self, table: Table) -> &mut TableReplica {
        match table {
            Table::Operators => &mut self.operators,
            Table::Upstreams => &mut self.upstreams,
            Table::Quarantine => &mut self.quarantine,
        }
    }

    /// Returns whether every replica has received a snapshot.
    pub fn is_complete(&self) -> bool {
        Table::ALL.into_iter().all(|table| self.get(table).is_complete())
    }

    /// Returns the newest version of each required replica, in the order of [`Table::REQUIRED`].
    pub fn newest_version(&self) -> [u64; 2] {
        Table::REQUIRED.map(|table| self.get(table).newest_version())
    }
}
