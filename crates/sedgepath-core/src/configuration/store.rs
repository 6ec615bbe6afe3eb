//! The records in force on a node, and the pages in which other nodes fetch them.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::rows::RecordRow;
use crate::catalogue::Catalogue;
use crate::event::ListedVm;

/// The maximum total length of the record bodies in a page, in bytes; a longer record gets its own
/// page.
const MAX_PAGE_BYTES: usize = 256 * 1024;

/// A position in the order of records by revision, kind and name.
#[derive(Debug, Clone, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RecordPosition {
    /// The revision that wrote the record.
    pub revision: u64,
    /// The record's kind; empty before the first record of a revision.
    pub kind: Box<str>,
    /// The record's name.
    pub name: Box<str>,
}

impl RecordPosition {
    /// Returns whether this position precedes all records, as in a starting node's first request.
    pub fn precedes_all_records(&self) -> bool {
        self.revision <= 1 && self.kind.is_empty()
    }

    /// Returns the position that follows all records of a revision.
    pub fn after_revision(revision: u64) -> Self {
        Self { revision: revision + 1, ..Self::default() }
    }

    /// Returns the position of a record.
    pub fn of_row(row: &RecordRow) -> Self {
        Self {
            revision: row.revision,
            kind: row.record.kind.clone(),
            name: row.record.name.clone(),
        }
    }
}

/// A page of the records in force on a node.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordPage {
    /// The revision in force on the node.
    pub revision: u64,
    /// The records after the requested position, in the order of [`RecordPosition`].
    pub records: Vec<RecordRow>,
    /// Whether this is the last page.
    ///
    /// A record that is rewritten during a fetch moves to a position after the fetch's, so all pages
    /// up to the last one together contain the whole difference to the last page's revision.
    pub complete: bool,
    /// The peer's copy of the platform's VM list, sent to a node that starts.
    ///
    /// With it the nodes of a failure domain find each other if they all restart while the platform
    /// is down.
    pub listed: Vec<ListedVm>,
}

/// The records written after one revision and up to another.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RecordChanges {
    /// The last revision included.
    pub revision: u64,
    /// The revision that the records build on; 0 if all records are included.
    pub after: u64,
    /// The records, each with the revision that wrote it.
    pub records: Vec<RecordRow>,
}

/// The node's copy of the records in force.
#[derive(Debug, Default)]
pub struct RecordStore {
    revision: u64,
    records: BTreeMap<(Box<str>, Box<str>), RecordRow>,
    catalogue: Arc<Catalogue>,
}

impl RecordStore {
    /// Returns the revision in force, or 0 if there is none yet.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns the tables of the revision in force.
    pub fn catalogue(&self) -> &Arc<Catalogue> {
        &self.catalogue
    }

    /// Returns the records sorted by kind and name.
    pub fn records(&self) -> impl Iterator<Item = &RecordRow> {
        self.records.values()
    }

    /// Applies changes; returns false if they are outdated or build on a revision that is not in
    /// force yet.
    ///
    /// The revision never decreases, though peers and late table results may deliver older ones.
    pub fn apply(&mut self, changes: RecordChanges) -> bool {
        if changes.revision <= self.revision || changes.after > self.revision {
            return false;
        }
        self.revision = changes.revision;
        let mut blocks_changed = false;
        for row in changes.records {
            blocks_changed |= &*row.record.kind == "clients";
            let key = (row.record.kind.clone(), row.record.name.clone());
            let current = self.records.get(&key);
            if current.is_none_or(|current| current.revision < row.revision) {
                self.records.insert(key, row);
            }
        }
        let records = self.records.values().map(|row| &row.record);
        let previous = Arc::clone(&self.catalogue);
        self.catalogue = Arc::new(if blocks_changed {
            Catalogue::new(records)
        } else {
            Catalogue::with_client_blocks_of(records, &previous)
        });
        true
    }

    /// Returns the page of records that follow a position.
    pub fn page(&self, after: &RecordPosition) -> RecordPage {
        let mut rows: Vec<_> = self
            .records
            .values()
            .map(|row| (RecordPosition::of_row(row), row))
            .filter(|(position, _)| position > after)
            .collect();
        rows.sort_unstable_by(|a, b| a.0.cmp(&b.0));
        let mut page_bytes = 0;
        let page_rows = rows.iter().take_while(|(_, row)| {
            let fits = page_bytes == 0 || page_bytes + row.record.body.len() <= MAX_PAGE_BYTES;
            page_bytes += row.record.body.len();
            fits
        });
        let count = page_rows.count();
        RecordPage {
            revision: self.revision,
            records: rows[..count].iter().map(|(_, row)| (*row).clone()).collect(),
            complete: count == rows.len(),
            listed: Vec::new(),
        }
    }
}
