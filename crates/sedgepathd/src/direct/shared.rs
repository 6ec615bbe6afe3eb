//! What all tasks of a VM share.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use sedgepath_adapter::settings::Settings;
use sedgepath_adapter::store::HttpStore;
use sedgepath_core::direct::Steering;
use sedgepath_core::direct::replicas::{Table, TableReplicas};
use sedgepath_core::direct::vms::StoreHealth;
use sedgepath_core::hash::Map;
use tokio::net::UdpSocket;

use super::clock;
use super::connection_pool::ConnectionPool;
use super::logging::LogClock;
use super::metrics::Metrics;
use super::table_server::TableServer;

/// What all tasks of a VM share.
#[derive(Debug)]
pub struct SharedState {
    /// The settings of the process.
    pub settings: Settings,
    /// The decisions. Borrowed for a moment at a time, never across a wait.
    pub steering: RefCell<Steering>,
    /// Copies of the store's tables.
    pub replicas: RefCell<TableReplicas>,
    /// The store.
    pub store: HttpStore,
    /// How this VM's own calls of the store end.
    pub store_call_state: Cell<StoreCallState>,
    /// The datagrams between VMs.
    pub peer_socket: UdpSocket,
    /// When rows of each table were last asked of another VM, in milliseconds, until they came.
    pub last_fetch_at_ms: RefCell<Map<Table, u64>>,
    /// The rows that are given to other VMs.
    pub table_server: TableServer,
    /// Whether the other VMs have been looked for in the store, found or not.
    pub discovery_attempted: Cell<bool>,
    /// The order of log lines over all VMs.
    pub log_clock: LogClock,
    /// What is counted.
    pub metrics: Metrics,
    /// The connections to upstreams.
    pub upstream_connections: ConnectionPool,
    /// The requests that have not been answered.
    pub in_flight_requests: Cell<usize>,
    /// Callers' open connections.
    pub open_connections: Cell<usize>,
    /// Tells connections that the VM is about to stop.
    pub stop_phase: tokio::sync::watch::Sender<StopPhase>,
}

/// How a VM's own calls of the store end.
#[derive(Debug, Clone, Copy, Default)]
pub enum StoreCallState {
    /// It makes none, or has had the end of none yet.
    #[default]
    Unknown,
    /// The store answers.
    Succeeding {
        /// Since when without a break, in milliseconds.
        since_ms: u64,
    },
    /// The last one failed.
    Failing,
}

impl StoreCallState {
    /// Whether the store answers.
    pub fn is_reachable(self) -> bool {
        matches!(self, Self::Succeeding { .. })
    }

    /// Returns what it tells of the store by now.
    pub fn health(self, now_ms: u64) -> StoreHealth {
        match self {
            Self::Unknown => StoreHealth::Unknown,
            Self::Succeeding { since_ms } => {
                StoreHealth::Reachable { for_ms: now_ms.saturating_sub(since_ms) }
            }
            Self::Failing => StoreHealth::Failing,
        }
    }
}

/// How far a planned stop has got.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum StopPhase {
    /// None has begun.
    Serving,
    /// Requests are served; each connection ends with its next answer.
    Leaving,
    /// Idle connections are closed.
    Closing,
}

impl SharedState {
    /// Creates the shared state.
    pub fn new(
        settings: Settings,
        steering: Steering,
        peer_socket: UdpSocket,
        log_clock: LogClock,
        metrics: Metrics,
    ) -> Rc<Self> {
        Rc::new(Self {
            log_clock,
            metrics,
            store: HttpStore::new(settings.store.address),
            replicas: RefCell::default(),
            store_call_state: Cell::default(),
            peer_socket,
            last_fetch_at_ms: RefCell::default(),
            table_server: TableServer::default(),
            discovery_attempted: Cell::default(),
            settings,
            steering: RefCell::new(steering),
            upstream_connections: ConnectionPool::default(),
            in_flight_requests: Cell::new(0),
            open_connections: Cell::new(0),
            stop_phase: tokio::sync::watch::Sender::new(StopPhase::Serving),
        })
    }
}

/// How long a request waits for a VM that has just started to know what it needs, in milliseconds: a
/// few answers of the store. After that its caller does better elsewhere.
pub const MAX_START_WAIT_MS: u64 = 400;

/// How often a waiting request looks, in milliseconds.
const START_CHECK_INTERVAL_MS: u64 = 10;

/// The part of the process's memory that bodies may take, as a divisor.
const BODY_MEMORY_DIVISOR: usize = 4;

impl SharedState {
    /// Waits until requests can be served, or [`START_WAIT_MS`] have passed.
    ///
    /// After a restart of all VMs callers come back at once. Refused, each of them would come a
    /// second time, later than the moment at which the first could have been served.
    pub async fn wait_for_start(&self) {
        let deadline_ms = clock::now_ms() + MAX_START_WAIT_MS;
        while !self.steering.borrow().can_serve() && clock::now_ms() < deadline_ms {
            tokio::time::sleep(Duration::from_millis(START_CHECK_INTERVAL_MS)).await;
        }
    }

    /// Returns how many bytes of a body may be held, at most `most`, so that those of all requests
    /// together stay within a part of the process's memory.
    pub fn buffer_limit_bytes(&self, max_bytes: usize) -> usize {
        let memory_bytes = self.settings.resource_limits.memory_mb as usize * 1024 * 1024;
        max_bytes.min(memory_bytes / BODY_MEMORY_DIVISOR / self.in_flight_requests.get().max(1))
    }
}
