//! The configuration in force on this node, and how it learns of a newer one.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::catalogue::Catalogue;
use crate::event::Snapshot;
use crate::hash::Map;
use crate::key::OperationKey;
use crate::outbox::Outbox;
use crate::record::RawRecord;
use crate::table::{Row, TableRequest, TableResult};
use crate::timeline::Topic;

/// The key of the row that holds the head revision.
pub const HEAD_KEY: &str = "head";

/// The start of the keys of records: `record/<kind>/<name>`.
pub const RECORD_PREFIX: &str = "record/";

/// The most rows read from the table at once.
const PAGE_ROWS: u32 = 256;

/// A record as it stands in its row of the table.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordRow {
    /// The revision that wrote it.
    pub revision: u64,
    /// The record.
    pub record: RawRecord,
}

/// What a reading of the table is for.
#[derive(Debug)]
enum Reading {
    Head,
    Records { head: u64, rows: Vec<Row> },
}

/// The configuration in force.
#[derive(Debug, Default)]
pub struct Configuration {
    revision: u64,
    records: Map<(Box<str>, Box<str>), RawRecord>,
    catalogue: Arc<Catalogue>,
    reading: Option<(OperationKey, Reading)>,
    next_head_at_ms: u64,
}

impl Configuration {
    /// Returns the revision in force; 0 before there is one.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns the tables of the revision in force.
    pub fn catalogue(&self) -> &Arc<Catalogue> {
        &self.catalogue
    }

    /// Returns the records in force, in the order of their kinds and names.
    pub fn snapshot(&self) -> Snapshot {
        let mut records: Vec<_> = self.records.values().cloned().collect();
        records.sort_by(|a, b| (&a.kind, &a.name).cmp(&(&b.kind, &b.name)));
        Snapshot { revision: self.revision, records }
    }

    /// Reads the head revision when it is due.
    pub fn tick(&mut self, every_ms: u64, out: &mut Outbox) {
        if self.reading.is_some() || out.now_ms() < self.next_head_at_ms {
            return;
        }
        self.next_head_at_ms = out.now_ms() + every_ms;
        let operation = out.table(TableRequest::Read(vec![HEAD_KEY.into()]));
        self.reading = Some((operation, Reading::Head));
    }

    /// Takes in the result of a reading; returns false if it is not one of this module.
    pub fn take_result(
        &mut self,
        operation: OperationKey,
        result: &TableResult,
        out: &mut Outbox,
    ) -> bool {
        let Some((_, reading)) = self.reading.take_if(|(key, _)| *key == operation) else {
            return false;
        };
        let TableResult::Rows(rows) = result else {
            return true;
        };
        match reading {
            Reading::Head => {
                let head = rows.first().and_then(|row| row.value.parse().ok()).unwrap_or(0);
                if head > self.revision {
                    self.read_page(head, Vec::new(), out);
                }
            }
            Reading::Records { head, rows: mut known } => {
                known.extend_from_slice(rows);
                if rows.len() < PAGE_ROWS as usize {
                    self.apply_rows(head, &known, out);
                } else {
                    self.read_page(head, known, out);
                }
            }
        }
        true
    }

    fn read_page(&mut self, head: u64, rows: Vec<Row>, out: &mut Outbox) {
        let after = rows.last().map(|row| row.key.clone()).unwrap_or_default();
        let request = TableRequest::Scan { prefix: RECORD_PREFIX.into(), after, limit: PAGE_ROWS };
        let operation = out.table(request);
        self.reading = Some((operation, Reading::Records { head, rows }));
    }

    fn apply_rows(&mut self, head: u64, rows: &[Row], out: &mut Outbox) {
        let records = rows
            .iter()
            .filter_map(|row| serde_json::from_str::<RecordRow>(&row.value).ok())
            .map(|row| row.record)
            .collect();
        self.apply(Snapshot { revision: head, records }, out);
    }

    /// Puts a snapshot in force unless it is older than what is in force.
    pub fn apply(&mut self, snapshot: Snapshot, out: &mut Outbox) {
        if snapshot.revision <= self.revision {
            return;
        }
        self.revision = snapshot.revision;
        self.records = snapshot
            .records
            .into_iter()
            .map(|record| ((record.kind.clone(), record.name.clone()), record))
            .collect();
        self.catalogue = Arc::new(Catalogue::new(self.records.values()));
        out.log(Topic::Configuration, "revision_applied", &[("revision", &self.revision)]);
        for unread in &self.catalogue.unread {
            let fields: [(&str, &dyn std::fmt::Display); 3] =
                [("kind", &unread.kind), ("name", &unread.name), ("error", &unread.error)];
            out.log(Topic::Configuration, "record_unread", &fields);
        }
    }
}
