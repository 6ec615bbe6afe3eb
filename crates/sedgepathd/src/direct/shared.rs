//! The state that all tasks of a VM share.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use sedgepath_adapter::rows::PlatformRowDecoder;
use sedgepath_adapter::settings::Settings;
use sedgepath_adapter::store::HttpStore;
use sedgepath_core::direct::Steering;
use sedgepath_core::direct::bootstrap::Bootstrap;
use sedgepath_core::direct::replicas::{
    FetchPace, OpenDifference, RowDecoder, Table, TableReplicas,
};
use sedgepath_core::direct::upstreams::UpstreamKey;
use sedgepath_core::direct::vms::StoreHealth;
use sedgepath_core::direct::vms::naming::{LoadMeter, VmResources};
use sedgepath_core::hash::Map;
use sedgepath_wire::peer_seal::PeerSeal;
use tokio::net::UdpSocket;

use super::clock;
use super::connection_pool::ConnectionPool;
use super::crash_checks::CrashChecks;
use super::logging::LogClock;
use super::metrics::Metrics;
use super::peer_authentication::RecentNonces;
use super::pipelining::bounds::PipelineBounds;
use super::response_body::BodyEnds;
use super::response_memory::ResponseMemory;
use super::table_server::{self, TableServer};
use crate::open_count::OpenCount;

/// The state that all tasks of a VM share.
#[derive(Debug)]
pub struct SharedState {
    /// The platform's settings.
    pub settings: Settings,
    /// The steering state. Never borrowed across an await.
    pub steering: RefCell<Steering>,
    /// The replicas of the store's tables.
    pub replicas: RefCell<TableReplicas>,
    /// The client of the store.
    pub store: HttpStore,
    /// When replicas take over a restored store's word on what they left open, in milliseconds.
    pub settles_at_ms: RefCell<Map<(Table, OpenDifference), u64>>,
    /// Wakes the tasks that follow a restore of the store.
    pub store_restored: tokio::sync::Notify,
    /// The result of this VM's own calls of the store.
    pub store_call_state: Cell<StoreCallState>,
    /// The socket for datagrams between VMs.
    pub peer_socket: UdpSocket,
    /// Authenticates messages between VMs.
    pub peer_seal: RefCell<PeerSeal>,
    /// The store's era in which the keys in force were read.
    pub peer_keys_era: Cell<u32>,
    /// The fetches of rows from other VMs.
    pub fetch_pace: RefCell<FetchPace>,
    /// Sends rows to other VMs.
    pub table_server: TableServer,
    /// This VM's way to its first copy of the tables.
    pub bootstrap: RefCell<Bootstrap>,
    /// Whether the rows of the VMs of the failure domain have been read.
    pub domain_discovered: tokio::sync::watch::Sender<bool>,
    /// The clock that orders log lines across VMs.
    pub log_clock: LogClock,
    /// The counters, gauges and histograms.
    pub metrics: Metrics,
    /// Idle connections to upstreams.
    pub upstream_connections: ConnectionPool<UpstreamKey>,
    /// Idle connections to other VMs, by their addresses for messages between VMs.
    pub peer_connections: ConnectionPool<SocketAddr>,
    /// Wakes the task that checks whether this VM reaches upstreams.
    pub connection_failed: tokio::sync::Notify,
    /// Wakes requests in flight when this VM turns out to reach no upstream.
    pub cut_off: tokio::sync::Notify,
    /// Requests of other VMs that were accepted lately.
    pub forward_nonces: RefCell<RecentNonces>,
    /// When an upstream last responded or accepted a connection, in milliseconds.
    pub upstream_contact_at_ms: Cell<u64>,
    /// Checks under way whether upstreams have crashed.
    pub crash_checks: CrashChecks,
    /// Wakes the task that sends reports.
    pub reports_queued: tokio::sync::Notify,
    /// Wakes requests that wait for tokens of quotas.
    pub tokens_granted: tokio::sync::Notify,
    /// Whether rows of the quarantine are being written to the store.
    pub writing_quarantine: Cell<bool>,
    /// Whether another VM has announced rows of the quarantine, or their removal.
    pub quarantine_announced: Cell<bool>,
    /// The share of its capacity that this VM uses.
    pub load: RefCell<LoadMeter>,
    /// When the next line of a hot object may be logged, in milliseconds.
    pub next_hot_object_line_at_ms: Cell<u64>,
    /// The number of requests in flight.
    pub in_flight_requests: Cell<usize>,
    /// The memory that bodies take.
    pub response_memory: ResponseMemory,
    /// The ends of bodies that were passed on before they had arrived completely.
    pub body_ends: Arc<BodyEnds>,
    /// What requests that are started before their turn may use.
    pub pipeline_bounds: Rc<PipelineBounds>,
    /// The number of callers' open connections.
    pub open_connections: Cell<usize>,
    /// The responses to other VMs that aren't written.
    pub forwarded_responses: OpenCount,
    /// When a planned stop began, in milliseconds.
    pub stop_began_at_ms: Cell<Option<u64>>,
    /// The phase of a planned stop, which callers' connections watch.
    pub stop_phase: tokio::sync::watch::Sender<StopPhase>,
}

/// The result of a VM's own calls of the store.
#[derive(Debug, Clone, Copy, Default)]
pub enum StoreCallState {
    /// No call has ended, or this VM doesn't read the store now.
    #[default]
    Unknown,
    /// The last call succeeded.
    Succeeding {
        /// When the first of the uninterrupted successful calls started, in milliseconds.
        since_ms: u64,
    },
    /// The last call failed.
    Failing,
}

impl StoreCallState {
    /// Returns whether the last call succeeded.
    pub fn is_reachable(self) -> bool {
        matches!(self, Self::Succeeding { .. })
    }

    /// Returns the store health that this VM reports at a time in milliseconds.
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

/// The phase of a planned stop.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum StopPhase {
    /// No stop has begun.
    Serving,
    /// Requests are served; each connection ends with its next response.
    Leaving,
    /// Idle connections are closed, others after their response, and those without a request yet after
    /// their first.
    Closing,
    /// Requests in flight are ended by responses of this VM itself.
    EndingRequests,
    /// The process ends.
    Ended,
}

impl SharedState {
    /// Creates the state of a VM that knows no configuration and no upstreams.
    pub fn new(
        settings: Settings,
        steering: Steering,
        peer_socket: UdpSocket,
        peer_seal: PeerSeal,
        log_clock: LogClock,
        metrics: Metrics,
        upstream_connections: ConnectionPool<UpstreamKey>,
    ) -> Rc<Self> {
        let load = LoadMeter::new(vm_resources(&settings));
        let max_snapshots = table_server::max_snapshots(vm_resources(&settings));
        let response_memory = ResponseMemory::new(memory_bytes(&settings));
        let pipeline_bounds = PipelineBounds::new(memory_bytes(&settings));
        Rc::new(Self {
            log_clock,
            metrics,
            store: HttpStore::new(settings.store.address),
            replicas: RefCell::new(new_replicas()),
            settles_at_ms: RefCell::default(),
            store_restored: tokio::sync::Notify::new(),
            store_call_state: Cell::default(),
            peer_socket,
            peer_seal: RefCell::new(peer_seal),
            peer_keys_era: Cell::new(0),
            fetch_pace: RefCell::default(),
            table_server: TableServer::default().with_max_snapshots(max_snapshots),
            bootstrap: RefCell::new(Bootstrap::new(clock::now_ms())),
            domain_discovered: tokio::sync::watch::Sender::new(false),
            settings,
            steering: RefCell::new(steering),
            upstream_contact_at_ms: Cell::new(clock::now_ms()),
            crash_checks: CrashChecks::default(),
            reports_queued: tokio::sync::Notify::new(),
            load: RefCell::new(load),
            upstream_connections,
            peer_connections: ConnectionPool::default(),
            connection_failed: tokio::sync::Notify::new(),
            cut_off: tokio::sync::Notify::new(),
            forward_nonces: RefCell::default(),
            tokens_granted: tokio::sync::Notify::new(),
            writing_quarantine: Cell::new(false),
            quarantine_announced: Cell::new(false),
            next_hot_object_line_at_ms: Cell::new(0),
            in_flight_requests: Cell::new(0),
            response_memory,
            body_ends: Arc::default(),
            pipeline_bounds,
            open_connections: Cell::new(0),
            forwarded_responses: OpenCount::new(),
            stop_began_at_ms: Cell::default(),
            stop_phase: tokio::sync::watch::Sender::new(StopPhase::Serving),
        })
    }
}

fn new_replicas() -> TableReplicas {
    let decoder: Rc<dyn RowDecoder> = Rc::new(PlatformRowDecoder);
    TableReplicas::new(&decoder)
}

/// Returns the resources of this VM; values that can't be are replaced by small ones.
pub fn vm_resources(settings: &Settings) -> VmResources {
    let limits = settings.resource_limits;
    let at_least = |value: f64, least: f64| if value >= least { value } else { least };
    VmResources {
        cores: at_least(limits.core_share * limits.cores, 0.01),
        link_mbps: at_least(limits.link_mbps, 1.0),
    }
}

fn memory_bytes(settings: &Settings) -> usize {
    settings.resource_limits.memory_mb as usize * 1024 * 1024
}

/// How long a request waits at a VM that has just started, in milliseconds: a few responses of the
/// store.
pub const MAX_START_WAIT_MS: u64 = 400;

/// How often a waiting request checks, in milliseconds.
const START_CHECK_INTERVAL_MS: u64 = 10;

impl SharedState {
    /// Waits until a planned stop has reached a phase.
    pub async fn wait_for_stop_phase(&self, phase: StopPhase) {
        let mut phases = self.stop_phase.subscribe();
        // The sender lives as long as the state.
        let _reached = phases.wait_for(|current| *current >= phase).await;
    }

    /// Returns whether no request is in flight, no caller's connection is open, and no response to another VM is
    /// unwritten.
    pub fn is_idle(&self) -> bool {
        self.in_flight_requests.get() == 0
            && self.open_connections.get() == 0
            && self.forwarded_responses.get() == 0
    }

    /// Returns whether the process ends.
    pub fn is_process_ending(&self) -> bool {
        *self.stop_phase.borrow() == StopPhase::Ended
    }

    /// Waits until requests can be served, or [`MAX_START_WAIT_MS`] have passed.
    ///
    /// After a restart of all VMs callers return at once. If rejected, they would retry later than
    /// the VM could have served them.
    pub async fn wait_for_start(&self) {
        let deadline_ms = clock::now_ms() + MAX_START_WAIT_MS;
        while !self.steering.borrow().can_serve() && clock::now_ms() < deadline_ms {
            tokio::time::sleep(Duration::from_millis(START_CHECK_INTERVAL_MS)).await;
        }
    }

    /// Returns how many bytes of a body may be buffered, at most `max_bytes`. The buffers of all
    /// requests, and the responses that callers haven't read yet, together stay within a part of the
    /// process's memory.
    pub fn buffer_limit_bytes(&self, max_bytes: usize) -> usize {
        self.response_memory.limit_bytes(max_bytes, self.in_flight_requests.get())
    }
}
