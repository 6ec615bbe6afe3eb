//! A system on loopback: a platform stand-in, and daemons as separate processes.

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

/// The secret that all daemons of a test share.
pub const SECRET: &str = "a secret for tests only";

/// Errors of the control of a test system.
#[derive(Debug, Error)]
pub enum SystemError {
    /// No free port was found, or the store could not be started.
    #[error("found no free port or failed to start the store")]
    Startup(#[from] io::Error),
    /// A daemon failed to start.
    #[error(transparent)]
    Daemon(#[from] DaemonError),
    /// The table did not commit the records.
    #[error("the table did not commit the records: {0:?}")]
    WriteRecords(TableResult),
}

/// The identity and the listen addresses of a daemon.
#[derive(Debug, Clone)]
pub struct DaemonAddresses {
    /// The name of the VM.
    pub name: Box<str>,
    /// The name of the VM's failure domain.
    pub domain: Box<str>,
    /// The address for callers.
    pub caller_address: SocketAddr,
    /// The address for peers.
    pub peer_address: SocketAddr,
    /// The address for operators.
    pub operator_address: SocketAddr,
    /// The address that serves metrics.
    pub metrics_address: SocketAddr,
}

/// A store and the daemons that use it; dropping it stops them all.
#[derive(Debug)]
pub struct DaemonCluster {
    binary: PathBuf,
    /// The store stand-in.
    pub store: StoreStandIn,
    /// The addresses of the daemons, in the order in which they were added.
    pub addresses: Vec<DaemonAddresses>,
    /// The daemons; `None` for one that a test has stopped.
    pub daemons: Vec<Option<DaemonProcess>>,
    extra_settings: String,
}

impl DaemonCluster {
    /// Starts the store; `binary` is the path of `sedgepathd`.
    ///
    /// # Errors
    ///
    /// Returns an error if the store can't be started.
    pub fn new(binary: &Path) -> Result<Self, SystemError> {
        Ok(Self {
            binary: binary.into(),
            store: StoreStandIn::new()?,
            addresses: Vec::new(),
            daemons: Vec::new(),
            extra_settings: String::new(),
        })
    }

    /// Sets additional lines of the settings of daemons started from now on.
    pub fn with_settings(mut self, lines: &str) -> Self {
        self.extra_settings = lines.into();
        self
    }

    /// Writes records and starts daemons, given by name and failure domain.
    ///
    /// # Errors
    ///
    /// Returns an error if the records are not committed or a daemon does not start.
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

    /// Returns the caller addresses of the daemons, in the order in which they were added.
    pub fn caller_addresses(&self) -> Vec<SocketAddr> {
        self.addresses.iter().map(|address| address.caller_address).collect()
    }

    /// Polls until `serves`, called with a caller address and the number of the attempt, has returned
    /// true for every daemon; returns false after a minute.
    ///
    /// A daemon serves requests only once it holds the leases of its upstreams.
    pub fn wait_until_all_serve(&self, mut serves: impl FnMut(SocketAddr, usize) -> bool) -> bool {
        let mut attempts = 0..600;
        self.caller_addresses().into_iter().all(|entry| {
            attempts.any(|number| {
                std::thread::sleep(std::time::Duration::from_millis(100));
                serves(entry, number)
            })
        })
    }

    /// Writes records to the table as an operator's change does and returns the new head revision.
    ///
    /// # Errors
    ///
    /// Returns an error if the table does not commit the records.
    pub fn write_records(&self, records: &[RawRecord]) -> Result<u64, SystemError> {
        write_records(&BlockingTableClient::new(self.store.address, RECORD_TABLE)?, records)
    }

    /// Adds a VM, starts a daemon on it, and returns its index.
    ///
    /// # Errors
    ///
    /// Returns an error if no ports are free or the daemon does not start.
    pub fn add_daemon(&mut self, name: &str, domain: &str) -> Result<usize, SystemError> {
        let ports = free_ports(4)?;
        let address = |index: usize| SocketAddr::from((Ipv4Addr::LOCALHOST, ports[index]));
        self.addresses.push(DaemonAddresses {
            name: name.into(),
            domain: domain.into(),
            caller_address: address(0),
            peer_address: address(1),
            operator_address: address(2),
            metrics_address: address(3),
        });
        self.daemons.push(None);
        let index = self.daemons.len() - 1;
        self.start_daemon(index)?;
        Ok(index)
    }

    /// Starts a daemon that is not running, on its previous addresses.
    ///
    /// # Errors
    ///
    /// Returns an error if the daemon does not start.
    pub fn start_daemon(&mut self, index: usize) -> Result<(), SystemError> {
        let addresses = &self.addresses[index];
        let settings = self.settings(addresses);
        let daemon = DaemonProcess::new(&self.binary, &settings, addresses.caller_address)?;
        self.daemons[index] = Some(daemon);
        Ok(())
    }

    /// Returns the settings of a daemon as YAML.
    pub fn settings(&self, addresses: &DaemonAddresses) -> String {
        let DaemonAddresses {
            name,
            domain,
            caller_address: callers,
            peer_address: peers,
            operator_address: operators,
            metrics_address: metrics,
        } = addresses;
        let platform = self.store.base_url();
        let extra = &self.extra_settings;
        format!(
            "name: {name}\ndomain: {domain}\ncallers: {callers}\npeers: {peers}\n\
             operators: {operators}\nmetrics: {metrics}\nplatform: {platform}\n\
             secret: {SECRET}\n{extra}"
        )
    }
}

/// The maximum number of records in one change, by the table's limit on a transaction.
const MAX_RECORDS_PER_CHANGE: usize = 96;

/// Writes records to a table as operators' changes do, in as many changes as their number requires.
///
/// Returns the new head revision.
///
/// # Errors
///
/// Returns an error if the table does not commit the records.
pub fn write_records(table: &dyn TableService, records: &[RawRecord]) -> Result<u64, SystemError> {
    let mut revision = 0;
    for part in records.chunks(MAX_RECORDS_PER_CHANGE) {
        revision = write_change(table, part)?;
    }
    Ok(revision)
}

fn write_change(table: &dyn TableService, records: &[RawRecord]) -> Result<u64, SystemError> {
    let head = match table.execute(&TableRequest::Read(vec!["head".into()])) {
        TableResult::Rows(rows) => rows.first().map_or(0, |row| row.value.parse().unwrap_or(0)),
        other => return Err(SystemError::WriteRecords(other)),
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
        other => Err(SystemError::WriteRecords(other)),
    }
}
