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
use super::giving::Giving;
use super::lines::LineClock;
use super::metrics::Metrics;
use super::pool::Pool;

/// What all tasks of a VM share.
#[derive(Debug)]
pub struct Shell {
    /// The settings of the process.
    pub settings: Settings,
    /// The decisions. Borrowed for a moment at a time, never across a wait.
    pub steering: RefCell<Steering>,
    /// Copies of the store's tables.
    pub copies: RefCell<TableReplicas>,
    /// The store.
    pub store: HttpStore,
    /// How this VM's own calls of the store end.
    pub store_calls: Cell<StoreCalls>,
    /// The datagrams between VMs.
    pub peers: UdpSocket,
    /// When rows of each table were last asked of another VM, in milliseconds, until they came.
    pub fetching: RefCell<Map<Table, u64>>,
    /// The rows that are given to other VMs.
    pub giving: Giving,
    /// Whether the other VMs have been looked for in the store, found or not.
    pub looked_for_vms: Cell<bool>,
    /// The order of log lines over all VMs.
    pub line_clock: LineClock,
    /// What is counted.
    pub metrics: Metrics,
    /// The connections to upstreams.
    pub pool: Pool,
    /// The requests that have not been answered.
    pub requests: Cell<usize>,
    /// Callers' open connections.
    pub connections: Cell<usize>,
    /// Tells connections that the VM is about to stop.
    pub stop: tokio::sync::watch::Sender<StopPhase>,
}

/// How a VM's own calls of the store end.
#[derive(Debug, Clone, Copy, Default)]
pub enum StoreCalls {
    /// It makes none, or has had the end of none yet.
    #[default]
    Unasked,
    /// The store answers.
    Since {
        /// Since when without a break, in milliseconds.
        at_ms: u64,
    },
    /// The last one failed.
    Lost,
}

impl StoreCalls {
    /// Whether the store answers.
    pub fn answers(self) -> bool {
        matches!(self, Self::Since { .. })
    }

    /// Returns what it tells of the store by now.
    pub fn view(self, now_ms: u64) -> StoreHealth {
        match self {
            Self::Unasked => StoreHealth::Unknown,
            Self::Since { at_ms } => {
                StoreHealth::Reachable { for_ms: now_ms.saturating_sub(at_ms) }
            }
            Self::Lost => StoreHealth::Failing,
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

impl Shell {
    /// Creates the shared state.
    pub fn new(
        settings: Settings,
        steering: Steering,
        peers: UdpSocket,
        line_clock: LineClock,
        metrics: Metrics,
    ) -> Rc<Self> {
        Rc::new(Self {
            line_clock,
            metrics,
            store: HttpStore::new(settings.store.address),
            copies: RefCell::default(),
            store_calls: Cell::default(),
            peers,
            fetching: RefCell::default(),
            giving: Giving::default(),
            looked_for_vms: Cell::default(),
            settings,
            steering: RefCell::new(steering),
            pool: Pool::default(),
            requests: Cell::new(0),
            connections: Cell::new(0),
            stop: tokio::sync::watch::Sender::new(StopPhase::Serving),
        })
    }
}

/// How long a request waits for a VM that has just started to know what it needs, in milliseconds: a
/// few answers of the store. After that its caller does better elsewhere.
pub const START_WAIT_MS: u64 = 400;

/// How often a waiting request looks, in milliseconds.
const START_CHECK_MS: u64 = 10;

/// The part of the process's memory that bodies may take, as a divisor.
const BODY_MEMORY_PART: usize = 4;

impl Shell {
    /// Waits until requests can be served, or [`START_WAIT_MS`] have passed.
    ///
    /// After a restart of all VMs callers come back at once. Refused, each of them would come a
    /// second time, later than the moment at which the first could have been served.
    pub async fn wait_for_start(&self) {
        let until_ms = clock::now_ms() + START_WAIT_MS;
        while !self.steering.borrow().can_serve() && clock::now_ms() < until_ms {
            tokio::time::sleep(Duration::from_millis(START_CHECK_MS)).await;
        }
    }

    /// Returns how many bytes of a body may be held, at most `most`, so that those of all requests
    /// together stay within a part of the process's memory.
    pub fn hold_limit(&self, most: usize) -> usize {
        let memory_bytes = self.settings.resource_limits.memory_mb as usize * 1024 * 1024;
        most.min(memory_bytes / BODY_MEMORY_PART / self.requests.get().max(1))
    }
}
