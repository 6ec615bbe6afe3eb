//! Starts the daemon's components and runs them until a planned stop.

use std::fmt::{self, Display, Formatter};
use std::io;
use std::net::{SocketAddr, ToSocketAddrs, UdpSocket};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use crossbeam::channel::unbounded;
use jsonrpsee::server::Server;
use sedgepath_adapter::store::HttpStore;
use sedgepath_core::event::Event;
use sedgepath_core::identity::Identity;
use sedgepath_core::key::{BootId, DomainKey};
use sedgepath_core::message::MemberDescriptor;
use sedgepath_core::node::Node;
use sedgepath_core::table::TableService;
use sedgepath_wire::key::SharedKey;
use sedgepath_wire::rpc::OperatorsServer;
use sedgepath_wire::signed_call::{self, CallVerifier};
use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::iterator::Signals;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch};
use tokio::task::JoinHandle;

use crate::callers::CallerServer;
use crate::datagrams;
use crate::dispatch::DispatchRunner;
use crate::driver::{self, Clock, DriverOutputs, NodeHandle};
use crate::hop::HopClient;
use crate::lingering_close::MAX_LINGER;
use crate::logging;
use crate::metrics::{self, Metrics};
use crate::open_count::OpenCount;
use crate::operators::{self, OperatorServer};
use crate::peers::PeerServer;
use crate::settings::Settings;
use crate::start::StartError;
use crate::store::{self, BlockingStoreTable};
use crate::table;
use crate::ticket_handover;
use crate::upstreams::UpstreamPool;

/// The maximum time that callers and peers have to read the rest of their responses at a planned stop; longer
/// than connections linger.
const DRAIN_TIMEOUT: Duration = MAX_LINGER.saturating_add(Duration::from_secs(1));

/// What a planned stop waits for once the node has ended.
#[derive(Debug)]
struct StillOpen {
    connections: OpenCount,
    peer_requests: OpenCount,
}

impl Display for StillOpen {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let (connections, peer_requests) = (self.connections.get(), self.peer_requests.get());
        write!(f, "connections={connections} peer_requests={peer_requests}")
    }
}

/// Runs the daemon until SIGTERM or SIGINT has stopped it.
///
/// # Errors
///
/// Fails if an address can't be listened on or a component can't be started.
pub fn run(settings: &Settings) -> Result<(), StartError> {
    logging::init(&settings.log_level)?;
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()
        .map_err(StartError::Runtime)?;
    let metrics = Arc::new(Metrics::new()?);
    metrics::serve(settings.metrics, Arc::clone(&metrics))?;
    let socket = UdpSocket::bind(settings.peers)
        .map_err(StartError::listen_failed("datagrams of peers", settings.peers))?;

    let clock = Clock::new();
    let boot = BootId::new(clock.now_ms(), fastrand::u64(..));
    let node =
        Node::new(identity(settings, boot), settings.timing.node_settings(fastrand::u64(..)));
    let (table_sender, table_jobs) = unbounded();
    let (fetch_sender, fetch_jobs) = mpsc::unbounded_channel();
    let (handover_sender, handovers) = mpsc::unbounded_channel();
    let datagram_key = SharedKey::new(&settings.secret, "datagrams");
    let outputs = DriverOutputs {
        socket: socket
            .try_clone()
            .map_err(StartError::listen_failed("datagrams of peers", settings.peers))?,
        datagram_key: datagram_key.clone(),
        table: table_sender,
        fetches: fetch_sender,
        handovers: handover_sender,
        metrics: Arc::clone(&metrics),
    };
    let (handle, node_thread) = driver::start(node, clock, outputs);

    let store = Arc::new(HttpStore::new(resolve_store_address(&settings.platform)?));
    let table: Arc<dyn TableService> =
        Arc::new(BlockingStoreTable::new(Arc::clone(&store), runtime.handle().clone()));
    table::start_workers(&table, &table_jobs, &handle);
    let stopping = Arc::new(AtomicBool::new(false));
    runtime.spawn(store::maintain_vm_list(
        Arc::clone(&store),
        settings.name.clone(),
        store::encode_vm_row(settings),
        handle.clone(),
        Arc::clone(&stopping),
    ));
    datagrams::start_receiver(socket, datagram_key, handle.clone(), Arc::clone(&metrics));

    let frame_key = SharedKey::new(&settings.secret, "frames");
    let runner = DispatchRunner::new(handle.clone(), UpstreamPool::new(handle.clone()), boot);
    let vm = sedgepath_core::key::VmKey::of(&settings.name);
    let hops = HopClient::new(vm, frame_key.clone(), clock, runner.clone(), Arc::clone(&metrics));
    let callers = CallerServer::new(
        settings.name.clone(),
        boot,
        handle.clone(),
        Arc::clone(&hops),
        Arc::clone(&metrics),
        settings.limits,
        SharedKey::new(&settings.secret, "tickets"),
    );
    let peers = PeerServer::new(frame_key, runner, Arc::clone(&callers), metrics);
    let open =
        StillOpen { connections: callers.open_connections(), peer_requests: peers.open_requests() };

    let call_key = signed_call::derive_call_key(&settings.secret);
    let operator_keys = settings.operator_keys.iter().map(|key| &**key);
    let verifier = CallVerifier::new(std::iter::once(&*settings.secret).chain(operator_keys));

    let (stop_callers, callers_stop) = watch::channel(false);
    let caller_server_task = runtime.block_on(async {
        let callers_listener = TcpListener::bind(settings.callers)
            .await
            .map_err(StartError::listen_failed("callers", settings.callers))?;
        let peers_listener = TcpListener::bind(settings.peers)
            .await
            .map_err(StartError::listen_failed("peers", settings.peers))?;
        let server = Server::builder()
            .build(settings.operators)
            .await
            .map_err(StartError::listen_failed("operators", settings.operators))?;
        let operator_server = server
            .start(OperatorServer::new(handle.clone(), Arc::clone(&table), verifier).into_rpc());
        let caller_server_task =
            tokio::spawn(Arc::clone(&callers).serve(callers_listener, callers_stop));
        tokio::spawn(peers.serve(peers_listener));
        tokio::spawn(operators::run_fetches(fetch_jobs, call_key, handle.clone()));
        tokio::spawn(ticket_handover::run_ticket_handovers(handovers, hops, handle.clone(), boot));
        tokio::spawn(operator_server.stopped());
        Ok::<_, StartError>(caller_server_task)
    })?;

    stop_on_signals(handle).map_err(StartError::Runtime)?;
    if node_thread.join().is_err() {
        log::error!("event=node_thread_panicked");
    }
    stopping.store(true, Ordering::Relaxed);
    // The node has finished all requests, but callers and peers may not have read the last bytes yet.
    log::info!("event=draining {open}");
    let _receiver_gone = stop_callers.send(true);
    runtime.block_on(async {
        drain(caller_server_task, &open).await;
        if store.remove(store::VM_TABLE, &settings.name).await.is_err() {
            log::warn!("event=vm_still_listed");
        }
    });
    callers.begin_process_end();
    // Drops the tasks, and with them the responses that are cut, which log it.
    drop(runtime);
    Ok(())
}

/// Asks the node to stop at each SIGTERM and SIGINT.
fn stop_on_signals(handle: NodeHandle) -> io::Result<()> {
    let mut signals = Signals::new([SIGTERM, SIGINT])?;
    std::thread::spawn(move || {
        for _signal in signals.forever() {
            handle.send_event(Event::StopRequested);
        }
    });
    Ok(())
}

/// Waits for a limited time until callers and peers have got their responses.
async fn drain(caller_server_task: JoinHandle<()>, open: &StillOpen) {
    let drained = async { tokio::join!(caller_server_task, open.peer_requests.wait_until_none()) };
    if tokio::time::timeout(DRAIN_TIMEOUT, drained).await.is_err() {
        log::warn!("event=connections_cut {open}");
    }
}

/// Resolves the address of the store from its URL, `http://HOST:PORT`.
fn resolve_store_address(url: &str) -> Result<SocketAddr, StartError> {
    let failed = |source| StartError::StoreAddress { url: url.into(), source };
    let host_and_port = url.strip_prefix("http://").unwrap_or(url).trim_end_matches('/');
    let mut addresses = host_and_port.to_socket_addrs().map_err(failed)?;
    addresses.next().ok_or_else(|| failed(io::ErrorKind::AddrNotAvailable.into()))
}

fn identity(settings: &Settings, boot: BootId) -> Identity {
    let descriptor = MemberDescriptor {
        name: settings.name.clone(),
        domain: DomainKey::of(&settings.domain),
        caller_address: settings.callers,
        peer_address: settings.peers,
        operator_address: settings.operators,
        leaving: false,
    };
    Identity::new(descriptor, boot)
}
