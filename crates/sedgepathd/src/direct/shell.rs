//! What all tasks of a VM share.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use sedgepath_adapter::settings::Settings;
use sedgepath_adapter::store::Store;
use sedgepath_core::direct::Steering;
use sedgepath_core::direct::copies::{Copies, Table};
use sedgepath_core::hash::Set;
use tokio::net::UdpSocket;

use super::clock;
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
    pub copies: RefCell<Copies>,
    /// The store.
    pub store: Store,
    /// Since when the store has answered without a break, in milliseconds; none if it doesn't.
    pub store_contact_since_ms: Cell<Option<u64>>,
    /// The datagrams between VMs.
    pub peers: UdpSocket,
    /// The tables of which rows are being fetched from another VM.
    pub fetching: RefCell<Set<Table>>,
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
            store: Store::new(settings.store.address),
            copies: RefCell::default(),
            store_contact_since_ms: Cell::new(None),
            peers,
            fetching: RefCell::default(),
            settings,
            steering: RefCell::new(steering),
            pool: Pool::default(),
            requests: Cell::new(0),
            connections: Cell::new(0),
            stop: tokio::sync::watch::Sender::new(StopPhase::Serving),
        })
    }
}

impl Shell {
    /// Returns for how long the store has answered without a break, in milliseconds.
    pub fn store_contact_ms(&self) -> Option<u64> {
        self.store_contact_since_ms.get().map(|since_ms| clock::now_ms().saturating_sub(since_ms))
    }
}
