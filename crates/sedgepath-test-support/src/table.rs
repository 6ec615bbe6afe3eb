//! An in-memory implementation of the platform's table, with the same version rules.

use std::collections::BTreeMap;
use std::sync::Mutex;

use sedgepath_core::table::TableService;
use sedgepath_core::table::{
    Row, RowChange, RowCondition, RowVersion, RowWrite, TableRequest, TableResult, Transaction,
};

use crate::store::MAX_ENTRIES;
use crate::sync::lock;

/// A transactional in-memory table.
#[derive(Debug, Default)]
pub struct MemoryTable {
    rows: Mutex<Rows>,
}

#[derive(Debug, Default)]
struct Rows {
    /// The version of the last commit, which becomes the version of the rows that it writes; a row
    /// that is deleted and created again therefore never has an old version.
    version: RowVersion,
    by_key: BTreeMap<Box<str>, Row>,
}

impl MemoryTable {
    /// Creates a table without rows.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns all rows in the order of their keys.
    pub fn rows(&self) -> Vec<Row> {
        lock(&self.rows).by_key.values().cloned().collect()
    }
}

impl TableService for MemoryTable {
    fn execute(&self, request: &TableRequest) -> TableResult {
        let mut rows = lock(&self.rows);
        match request {
            TableRequest::Commit(transaction) => rows.commit(transaction),
            TableRequest::Read(keys) => TableResult::Rows(rows.read(keys)),
            TableRequest::Scan { prefix, after, limit } => {
                TableResult::Rows(rows.scan(prefix, after, *limit))
            }
        }
    }
}

impl Rows {
    fn commit(&mut self, transaction: &Transaction) -> TableResult {
        let entries = |write: &RowWrite| {
            usize::from(write.condition != RowCondition::Any)
                + usize::from(write.change != RowChange::Check)
        };
        if transaction.writes.iter().map(entries).sum::<usize>() > MAX_ENTRIES {
            return TableResult::Unavailable;
        }
        if let Some(failed) = transaction.writes.iter().find(|write| !self.condition_holds(write)) {
            return TableResult::Conflict {
                key: failed.key.clone(),
                current: self.by_key.get(&failed.key).cloned(),
            };
        }
        self.version += 1;
        for write in &transaction.writes {
            self.apply(write);
        }
        TableResult::Committed
    }

    fn condition_holds(&self, write: &RowWrite) -> bool {
        let current = self.by_key.get(&write.key).map(|row| row.version);
        match write.condition {
            RowCondition::Any => true,
            RowCondition::Absent => current.is_none(),
            RowCondition::Version(version) => current == Some(version),
        }
    }

    fn apply(&mut self, write: &RowWrite) {
        match &write.change {
            RowChange::Check => {}
            RowChange::Put(value) => {
                let row =
                    Row { key: write.key.clone(), version: self.version, value: value.clone() };
                self.by_key.insert(write.key.clone(), row);
            }
            RowChange::Delete => {
                self.by_key.remove(&write.key);
            }
        }
    }

    fn read(&self, keys: &[Box<str>]) -> Vec<Row> {
        keys.iter().filter_map(|key| self.by_key.get(key).cloned()).collect()
    }

    fn scan(&self, prefix: &str, after: &str, limit: u32) -> Vec<Row> {
        let start: Box<str> = prefix.max(after).into();
        self.by_key
            .range(start..)
            .map(|(_, row)| row)
            .take_while(|row| row.key.starts_with(prefix))
            .filter(|row| &*row.key > after)
            .take(limit as usize)
            .cloned()
            .collect()
    }
}
