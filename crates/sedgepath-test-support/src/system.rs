//! A whole system on loopback: a platform, upstreams and daemons as processes of their own.

use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};

use sedgepath_core::configuration::rows::{LoggedChange, log_key};
use sedgepath_core::record::RawRecord;
use sedgepath_core::table::{
    RECORD_TABLE, RowChange, RowCondition, RowWrite, TableRequest, TableResult, TableService,
    Transaction,
};
use thiserror::Error;

use crate::daemon::{DaemonError, DaemonProcess};
use crate::port::free_ports;
use crate::store::{BlockingTableClient, StoreStandIn};

/// The secret that the daemons share.
pub const SECRET: &str = "a secret for tests only";

/// Why a system could not be started.
#[derive(Debug, Error)]
pub enum SystemError {
    /// No ports are free, or the store can't be started.
    #[error("no ports are free, or the store can't be started")]
    Ports(#[from] io::Error),
    /// A daemon could not be started.
    #[error(transparent)]
    Daemon(#[from] DaemonError),
    /// The table did not take the records.
    #[error("the table did not take the records: {0:?}")]
    Records(TableResult),
}

/// Where a daemon listens.
#[derive(Debug, Clone)]
pub struct Addresses {
    /// The VM's name.
    pub name: Box<str>,
    /// Its failure domain's name.
    pub domain: Box<str>,
    /// Where it takes callers.
    pub callers: SocketAddr,
    /// Where it takes peers.
    pub peers: SocketAddr,
    /// Where it takes operators.
    pub operators: SocketAddr,
    /// Where it serves metrics.
    pub metrics: SocketAddr,
}

/// A store and the daemons on it. All of them end when it is dropped.
#[derive(Debug)]
pub struct System {
    binary: PathBuf,
    /// The store.
    pub store: StoreStandIn,
    /// Where the daemons listen, in the order in which they were added.
    pub addresses: Vec<Addresses>,
    /// The daemons; none where one has been taken away.
    pub daemons: Vec<Option<DaemonProcess>>,
    extra_settings: String,
}

impl System {
    /// Starts the store; `binary` is a built `sedgepathd`.
    ///
    /// # Errors
    ///
    /// Fails if the store can't be started.
    pub fn new(binary: &Path) -> Result<Self, SystemError> {
        Ok(Self {
            binary: binary.into(),
            store: StoreStandIn::new()?,
            addresses: Vec::new(),
            daemons: Vec::new(),
            extra_settings: String::new(),
        })
    }

    /// Adds lines to the settings of daemons that are started from now on.
    pub fn with_settings(mut self, lines: &str) -> Self {
        self.extra_settings = lines.into();
        self
    }

    /// Writes the first records and starts daemons, given by name and failure domain.
    ///
    /// # Errors
    ///
    /// Fails if the records are not taken or a daemon does not start.
    pub fn with_daemons(
        mut self,
        records: &[RawRecord],
        daemons: &[(&str, &str)],
    ) -> Result<Self, SystemError> {
        self.write_records(records)?;
        for (name, domain) in daemons {
            self.add_daemon(name, domain)?;
        }
        Ok(self)
    }

    /// Returns where the daemons take callers, in the order in which they were added.
    pub fn entries(&self) -> Vec<SocketAddr> {
        self.addresses.iter().map(|address| address.callers).collect()
    }

    /// Asks until every daemon serves, as `serves` finds out by the number of the try; false after a
    /// minute. A daemon serves only once its right to upstreams has begun.
    pub fn all_serve(&self, mut serves: impl FnMut(SocketAddr, usize) -> bool) -> bool {
        let mut tries = 0..600;
        self.entries().into_iter().all(|entry| {
            tries.any(|number| {
                std::thread::sleep(std::time::Duration::from_millis(100));
                serves(entry, number)
            })
        })
    }

    /// Writes records and the next head revision to the table and returns that revision.
    ///
    /// # Errors
    ///
    /// Fails if the table does not take them.
    pub fn write_records(&self, records: &[RawRecord]) -> Result<u64, SystemError> {
        write_records(&BlockingTableClient::new(self.store.address, RECORD_TABLE)?, records)
    }

    /// Adds a VM and starts a daemon on it; returns its number.
    ///
    /// # Errors
    ///
    /// Fails if no ports are free or the daemon does not start.
    pub fn add_daemon(&mut self, name: &str, domain: &str) -> Result<usize, SystemError> {
        let ports = free_ports(4)?;
        let address = |index: usize| SocketAddr::from((Ipv4Addr::LOCALHOST, ports[index]));
        self.addresses.push(Addresses {
            name: name.into(),
            domain: domain.into(),
            callers: address(0),
            peers: address(1),
            operators: address(2),
            metrics: address(3),
        });
        self.daemons.push(None);
        let index = self.daemons.len() - 1;
        self.start_daemon(index)?;
        Ok(index)
    }

    /// Starts a daemon that is not running, on the addresses that it had.
    ///
    /// # Errors
    ///
    /// Fails if the daemon does not start.
    pub fn start_daemon(&mut self, index: usize) -> Result<(), SystemError> {
        let addresses = &self.addresses[index];
        let settings = self.settings(addresses);
        let daemon = DaemonProcess::new(&self.binary, &settings, addresses.callers)?;
        self.daemons[index] = Some(daemon);
        Ok(())
    }

    /// Returns the settings of a daemon as YAML.
    pub fn settings(&self, addresses: &Addresses) -> String {
        let Addresses { name, domain, callers, peers, operators, metrics } = addresses;
        let platform = self.store.base_url();
        let extra = &self.extra_settings;
        format!(
            "name: {name}\ndomain: {domain}\ncallers: {callers}\npeers: {peers}\n\
             operators: {operators}\nmetrics: {metrics}\nplatform: {platform}\n\
             secret: {SECRET}\n{extra}"
        )
    }
}

/// The most records of a change that a table takes in one transaction.
const CHANGE_RECORDS: usize = 96;

/// Writes records and the next head revision to a table, as an operator's changes do; many records
/// take several. Returns the last revision.
///
/// # Errors
///
/// Fails if the table does not take them.
pub fn write_records(table: &dyn TableService, records: &[RawRecord]) -> Result<u64, SystemError> {
    let mut revision = 0;
    for part in records.chunks(CHANGE_RECORDS) {
        revision = write_change(table, part)?;
    }
    Ok(revision)
}

fn write_change(table: &dyn TableService, records: &[RawRecord]) -> Result<u64, SystemError> {
    let head = match table.execute(&TableRequest::Read(vec!["head".into()])) {
        TableResult::Rows(rows) => rows.first().map_or(0, |row| row.value.parse().unwrap_or(0)),
        other => return Err(SystemError::Records(other)),
    };
    let revision = head + 1;
    let put = |key: String, value: String| RowWrite {
        key: key.into(),
        condition: RowCondition::Any,
        change: RowChange::Put(value.into()),
    };
    let mut writes = vec![put("head".into(), revision.to_string())];
    let logged = LoggedChange {
        revision,
        change_id: format!("test-{revision}").into(),
        note: "written by a test".into(),
        node: "test".into(),
        written_at_ms: 0,
        records: records.to_vec(),
    };
    writes.push(put(log_key(revision).into(), serde_json::json!(logged).to_string()));
    for record in records {
        let value = serde_json::json!({ "revision": revision, "record": record });
        let key = format!("record/{}/{}", record.kind, record.name);
        writes.push(put(key, value.to_string()));
    }
    match table.execute(&TableRequest::Commit(Transaction { writes })) {
        TableResult::Committed => Ok(revision),
        other => Err(SystemError::Records(other)),
    }
}
