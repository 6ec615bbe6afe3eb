//! Copies of the store's tables, which entry VMs pass on to each other.
//!
//! # Problem
//!
//! Calls to the store cost, so not every VM may follow its tables; and a VM that can't reach the
//! store must still learn what others know: that an upstream leaves or that a failure domain is
//! being emptied. A VM that steers by what it read before the cut sends to upstreams that all others
//! have left.
//!
//! # What was weighed
//!
//! Every VM follows the store: simple, blind behind a cut, and its calls grow with the VMs. One
//! elected reader: its death is a gap. Chosen: a few readers, and every VM tells in its heartbeats
//! how new its copies are; one that hears of a newer copy fetches what it lacks from there. A lost
//! heartbeat is made up for by the next, of any VM.
//!
//! # Invariants
//!
//! - Each row carries the store's version at which it got its value, and a copy takes a row only over
//!   an older one. So copies merge in any order, and none ever goes back.
//! - What a copy holds is what the store held at the copy's position. A page of changes keeps that only
//!   if its giver knows all removals since the asker's position; else the whole table is given.
//! - A removal is kept as a row without a value, or a copy that still has the row would bring it back.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::hash::Map;

/// The most removals that a copy keeps; a VM that lacks older ones is given the whole table.
const MAX_REMOVALS: usize = 4_096;

/// A table of the store that is followed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Table {
    /// What operators write: configuration and evacuations.
    Operators,
    /// The upstreams.
    Upstreams,
}

impl Table {
    /// All tables that are followed.
    pub const ALL: [Self; 2] = [Self::Operators, Self::Upstreams];

    /// Returns the name for logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::Operators => "operators",
            Self::Upstreams => "upstreams",
        }
    }
}

/// A row as of one version of the store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionedRow {
    /// Its key.
    pub key: Box<str>,
    /// The store's version at which it got its value, or was removed.
    pub version: u64,
    /// Its value; none if it was removed.
    pub value: Option<Arc<[u8]>>,
}

/// Rows of a table, from the store or from another VM.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TableUpdate {
    /// The rows.
    pub rows: Vec<VersionedRow>,
    /// The store's version up to which they tell all changes.
    pub position: u64,
    /// Whether they are all rows of the table; else those that have changed.
    pub is_snapshot: bool,
}

#[derive(Debug, Clone)]
struct Kept {
    version: u64,
    value: Option<Arc<[u8]>>,
}

/// A copy of one table.
#[derive(Debug, Default)]
pub struct TableReplica {
    rows: Map<Box<str>, Kept>,
    position: u64,
    newest_version: u64,
    removals: usize,
    /// The version up to which removals are not known: they were dropped, or made before the whole table
    /// was read.
    forgotten_at: u64,
    is_complete: bool,
}

impl TableReplica {
    /// Whether the copy has ever held the whole table.
    pub fn is_complete(&self) -> bool {
        self.is_complete
    }

    /// Returns the store's version up to which the copy has all changes.
    pub fn position(&self) -> u64 {
        self.position
    }

    /// Returns the store's version of the newest change that the copy has.
    pub fn newest_version(&self) -> u64 {
        self.newest_version
    }

    /// Takes in rows and returns those that were new here.
    pub fn merge(&mut self, page: TableUpdate) -> Vec<VersionedRow> {
        let mut changes = Vec::new();
        if page.is_snapshot {
            changes.extend(self.missing_from(&page));
        }
        changes.extend(page.rows);
        changes.retain(|row| self.take(row));
        self.position = self.position.max(page.position);
        if page.is_snapshot {
            // What was removed before the table was read is not in it. Given the changes alone, a VM
            // that still has such a row would believe that they are all and keep it: requests went to
            // an upstream for seconds after it had left.
            self.forgotten_at = self.forgotten_at.max(page.position);
            self.is_complete = true;
        }
        self.forget_removals();
        changes
    }

    /// Whether the whole table is given to one that has all changes up to a version.
    pub fn requires_snapshot(&self, after: u64) -> bool {
        after < self.forgotten_at || after == 0
    }

    /// Returns what has changed after a version, up to which the asker has all changes, or the whole
    /// table if that can't be told.
    pub fn changes_since(&self, after: u64) -> TableUpdate {
        let whole = self.requires_snapshot(after);
        let rows = self
            .rows
            .iter()
            .filter(|(_, kept)| if whole { kept.value.is_some() } else { kept.version > after })
            .map(|(key, kept)| VersionedRow {
                key: key.clone(),
                version: kept.version,
                value: kept.value.clone(),
            })
            .collect();
        TableUpdate { rows, position: self.position, is_snapshot: whole }
    }

    /// Returns the removal of each row that a whole table doesn't have.
    fn missing_from(&self, page: &TableUpdate) -> Vec<VersionedRow> {
        let there: crate::hash::Set<&str> = page.rows.iter().map(|row| &*row.key).collect();
        // A row that was written after the table was read is newer than its removal below, and stays.
        let missing =
            self.rows.iter().filter(|(key, kept)| kept.value.is_some() && !there.contains(&***key));
        missing
            .map(|(key, _)| VersionedRow { key: key.clone(), version: page.position, value: None })
            .collect()
    }

    fn take(&mut self, row: &VersionedRow) -> bool {
        let known = self.rows.get(&row.key);
        if known.is_some_and(|known| known.version >= row.version) {
            return false;
        }
        // The copy holds all that the store held at its position, so a row that it lacks and that is no newer
        // was removed meanwhile: it comes with an answer that a newer one overtook. Nobody tells of that
        // removal again; taken, an upstream that had left got requests for 3 s.
        if known.is_none() && row.value.is_some() && row.version <= self.position {
            return false;
        }
        let was_removed = known.is_some_and(|known| known.value.is_none());
        let changes = row.value.is_some() || known.is_some_and(|known| known.value.is_some());
        match (was_removed, row.value.is_none()) {
            (false, true) => self.removals += 1,
            (true, false) => self.removals -= 1,
            _ => {}
        }
        self.newest_version = self.newest_version.max(row.version);
        let kept = Kept { version: row.version, value: row.value.clone() };
        self.rows.insert(row.key.clone(), kept);
        changes
    }

    fn forget_removals(&mut self) {
        if self.removals <= MAX_REMOVALS {
            return;
        }
        self.rows.retain(|_, kept| kept.value.is_some());
        self.removals = 0;
        self.forgotten_at = self.forgotten_at.max(self.newest_version);
    }
}

/// Copies of all tables that are followed.
#[derive(Debug, Default)]
pub struct TableReplicas {
    operators: TableReplica,
    upstreams: TableReplica,
}

impl TableReplicas {
    /// Returns the copy of a table.
    pub fn get(&self, table: Table) -> &TableReplica {
        match table {
            Table::Operators => &self.operators,
            Table::Upstreams => &self.upstreams,
        }
    }

    /// Returns the copy of a table to be changed.
    pub fn get_mut(&mut self, table: Table) -> &mut TableReplica {
        match table {
            Table::Operators => &mut self.operators,
            Table::Upstreams => &mut self.upstreams,
        }
    }

    /// Whether each has ever held its whole table.
    pub fn is_complete(&self) -> bool {
        Table::ALL.into_iter().all(|table| self.get(table).is_complete())
    }

    /// Returns how new the copies are, in the order of [`Table::ALL`].
    pub fn newest_version(&self) -> [u64; 2] {
        Table::ALL.map(|table| self.get(table).newest_version())
    }
}
