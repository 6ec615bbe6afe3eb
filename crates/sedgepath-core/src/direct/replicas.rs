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
//! - Within an era of the store, a replica holds what the store held at the replica's position. An
//!   incremental update keeps this only if its sender knows all removals since the requester's
//!   position; otherwise the sender must send a snapshot.
//! - A removed row is kept as a tombstone, so that an older replica can't restore it.
//! - A replica is announced with the version of the newest change that it may contain, at most its position.
//!   A VM with a lower announced version may lack that change, and asks for it. A snapshot lists no removals:
//!   of one read from the store, any version up to its position may be a removal, and one of another VM says
//!   what that VM announces.
//!
//! # Restored stores
//!
//! A store that is restored from an older copy begins a new era ([`StoreVersion`]) with a snapshot that
//! may lack what this replica knows (module `restore`).

mod fetch_pace;
mod restore;
mod store_feed;
mod table;

use std::rc::Rc;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::store_version::StoreVersion;

pub use fetch_pace::{FetchPace, fetch_delay_ms};
pub use restore::{LostWrite, OpenDifference, RowContents, RowDecoder};
pub use store_feed::{StoreCall, StoreFeed};
pub use table::TableReplica;

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
    pub version: StoreVersion,
    /// The row's value; `None` if the row was removed.
    pub value: Option<Arc<[u8]>>,
}

/// What the rows of an update are.
///
/// VMs of earlier versions encode and decode the first two kinds as `false` and `true`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum UpdateKind {
    /// The rows that changed.
    Changes,
    /// All rows of the table.
    Snapshot,
    /// None: the receiver's rows are those of the table, if their digest still is this one.
    Unchanged(RowsDigest),
}

/// A digest of the rows that a replica holds, whatever their order.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct RowsDigest(pub u64);

/// A snapshot or an incremental update of a table, from the store or from another VM.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TableUpdate {
    /// The rows of the snapshot, or those that changed.
    pub rows: Vec<VersionedRow>,
    /// The store version up to which the update contains all changes.
    pub position: StoreVersion,
    /// What the rows are.
    pub kind: UpdateKind,
    /// The store version of the newest change that the update may contain. It is above the versions of
    /// all rows if the newest change is a removal that isn't listed.
    #[serde(skip)]
    pub newest_version: StoreVersion,
}

impl TableUpdate {
    /// Creates an update with the rows that changed up to a position.
    pub fn new_changes(rows: Vec<VersionedRow>, position: StoreVersion) -> Self {
        Self::new(rows, position, UpdateKind::Changes)
    }

    /// Creates an update with all rows of a table.
    pub fn new_snapshot(rows: Vec<VersionedRow>, position: StoreVersion) -> Self {
        Self::new(rows, position, UpdateKind::Snapshot)
    }

    /// Creates an update for a receiver whose rows have a digest and are those of the table.
    pub fn new_unchanged(rows: RowsDigest, position: StoreVersion) -> Self {
        Self::new(Vec::new(), position, UpdateKind::Unchanged(rows))
    }

    fn new(rows: Vec<VersionedRow>, position: StoreVersion, kind: UpdateKind) -> Self {
        let newest_version = rows.iter().map(|row| row.version).max().unwrap_or_default();
        Self { rows, position, kind, newest_version }
    }

    /// Sets that the newest change up to the position may be a removal: a snapshot of the store doesn't list
    /// those.
    #[must_use]
    pub fn with_unlisted_removals(self) -> Self {
        let newest_version = self.position;
        self.with_newest_version(newest_version)
    }

    /// Sets the version of the newest change that the update may contain.
    #[must_use]
    pub fn with_newest_version(self, newest_version: StoreVersion) -> Self {
        Self { newest_version, ..self }
    }

    /// Returns whether the update holds all rows of the table.
    pub fn is_snapshot(&self) -> bool {
        self.kind == UpdateKind::Snapshot
    }
}

/// What a VM that requests rows of a table has of it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RequesterState {
    /// The store version up to which it has all changes.
    pub position: StoreVersion,
    /// The digest of its rows, if it accepts that they are unchanged.
    pub rows: Option<RowsDigest>,
}

impl From<StoreVersion> for RequesterState {
    fn from(position: StoreVersion) -> Self {
        Self { position, rows: None }
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
    /// Creates empty replicas whose rows a decoder orders across restores of the store.
    pub fn new(decoder: &Rc<dyn RowDecoder>) -> Self {
        let new = |table| TableReplica::new(table, Rc::clone(decoder));
        Self {
            operators: new(Table::Operators),
            upstreams: new(Table::Upstreams),
            quarantine: new(Table::Quarantine),
        }
    }

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

    /// Returns the newest era of the store of which a replica has rows.
    pub fn era(&self) -> u32 {
        let eras = Table::ALL.map(|table| self.get(table).position().era());
        eras.into_iter().max().unwrap_or_default()
    }

    /// Returns whether every replica has received a snapshot.
    pub fn is_complete(&self) -> bool {
        Table::ALL.into_iter().all(|table| self.get(table).is_complete())
    }

    /// Returns the announced version of each required replica, in the order of [`Table::REQUIRED`].
    pub fn newest_version(&self) -> [StoreVersion; 2] {
        Table::REQUIRED.map(|table| self.get(table).newest_version())
    }
}
