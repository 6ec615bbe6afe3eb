//! The records in force, and the differences that nodes hand each other.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::rows::RecordRow;
use crate::catalogue::Catalogue;
use crate::event::ListedVm;

/// The most text of records that one page carries, in bytes; a longer record goes alone.
const PAGE_BYTES: usize = 256 * 1024;

/// A place in the order of writing: records are ordered by revision, kind and name.
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
    /// Whether this is the place before all records, at which a node begins after its start.
    pub fn precedes_all_records(&self) -> bool {
        self.revision <= 1 && self.kind.is_empty()
    }

    /// Returns the place behind all records of a revision.
    pub fn after_revision(revision: u64) -> Self {
        Self { revision: revision + 1, ..Self::default() }
    }

    /// Returns the place of a record.
    pub fn of_row(row: &RecordRow) -> Self {
        Self {
            revision: row.revision,
            kind: row.record.kind.clone(),
            name: row.record.name.clone(),
        }
    }
}

/// A part of the records that a node has in force.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordPage {
    /// The revision that the node has in force.
    pub revision: u64,
    /// The records after the position asked for, in the order of writing.
    pub records: Vec<RecordRow>,
    /// Whether no record follows.
    ///
    /// A record that is written again while a reader turns the pages moves behind the reader's
    /// position, so the pages up to a complete one hold the whole difference to that page's
    /// revision, whatever changed meanwhile.
    pub complete: bool,
    /// The platform's list of VMs as the peer has it, for a node that starts without the platform.
    ///
    /// Without it the nodes of a failure domain that restart all together while the platform is
    /// down never hear of each other, and only the one that a relay reaches has a configuration.
    pub listed: Vec<ListedVm>,
}

/// All records written after one revision and up to another.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Changes {
    /// The revision that these records lead to.
    pub revision: u64,
    /// The revision from which on they are complete; 0 for all records.
    pub after: u64,
    /// The records.
    pub records: Vec<RecordRow>,
}

/// The records in force.
#[derive(Debug, Default)]
pub struct Store {
    revision: u64,
    records: BTreeMap<(Box<str>, Box<str>), RecordRow>,
    catalogue: Arc<Catalogue>,
}

impl Store {
    /// Returns the revision in force; 0 before there is one.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns the tables of the revision in force.
    pub fn catalogue(&self) -> &Arc<Catalogue> {
        &self.catalogue
    }

    /// Returns the records in the order of their kinds and names.
    pub fn records(&self) -> impl Iterator<Item = &RecordRow> {
        self.records.values()
    }

    /// Puts changes in force; returns false if they are old or do not join on to what is in force.
    ///
    /// A lower revision is never applied: peers and slow answers of the table bring old ones at any
    /// time, and callers would be steered back by a record that had been replaced.
    pub fn apply(&mut self, changes: Changes) -> bool {
        if changes.revision <= self.revision || changes.after > self.revision {
            return false;
        }
        self.revision = changes.revision;
        let mut blocks_changed = false;
        for row in changes.records {
            blocks_changed |= &*row.record.kind == "clients";
            let key = (row.record.kind.clone(), row.record.name.clone());
            let known = self.records.get(&key);
            if known.is_none_or(|known| known.revision < row.revision) {
                self.records.insert(key, row);
            }
        }
        let records = self.records.values().map(|row| &row.record);
        let previous = Arc::clone(&self.catalogue);
        self.catalogue = Arc::new(if blocks_changed {
            Catalogue::new(records)
        } else {
            Catalogue::with_blocks_of(records, &previous)
        });
        true
    }

    /// Returns the next page of records after a position.
    pub fn page(&self, after: &RecordPosition) -> RecordPage {
        let mut rows: Vec<_> = self
            .records
            .values()
            .map(|row| (RecordPosition::of_row(row), row))
            .filter(|(position, _)| position > after)
            .collect();
        rows.sort_unstable_by(|a, b| a.0.cmp(&b.0));
        let mut bytes = 0;
        let taken = rows.iter().take_while(|(_, row)| {
            let fits = bytes == 0 || bytes + row.record.body.len() <= PAGE_BYTES;
            bytes += row.record.body.len();
            fits
        });
        let taken = taken.count();
        RecordPage {
            revision: self.revision,
            records: rows[..taken].iter().map(|(_, row)| (*row).clone()).collect(),
            complete: taken == rows.len(),
            listed: Vec::new(),
        }
    }
}
