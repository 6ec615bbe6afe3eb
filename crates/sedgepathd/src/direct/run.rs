//! Start, signals and planned stop.

use std::future::ready;
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

use hyper::body::Incoming;
use hyper::{Request, Response};
use sedgepath_adapter::settings::{Settings, SettingsError};
use sedgepath_core::direct::budget::RetryBudgetLimits;
use sedgepath_core::direct::planned_stop::PlannedStop;
use sedgepath_core::direct::quotas::QuotaBounds;
use sedgepath_core::direct::replicas::Table;
use sedgepath_core::direct::steering::SteeringConfig;
use sedgepath_core::direct::upstreams::Upstream;
use sedgepath_core::direct::vms::{VmDescriptor, VmHeartbeat, VmTable, VmTiming};
use sedgepath_core::direct::{OperatorLimits, Steering, VmLocation};
use sedgepath_wire::peer_seal::{PeerAuthentication, PeerSeal};
use tokio::net::{TcpListener, UdpSocket};
use tokio::signal::unix::{SignalKind, signal};
use tokio::task::{JoinHandle, LocalSet, spawn_local};
use tokio::time::timeout_at;

use crate::start::StartError;

use super::connection_pool::{Body, ConnectionPool};
use super::logging::LogClock;
use super::metrics::Metrics;
use super::response_body::BodyEnd;
use super::shared::{SharedState, StopPhase, vm_resources};
use super::{
    bootstrap, capacity_log, clock, contacts, control_server, discovery, entry_queries, forwarding,
    gossip, ingress, load_gossip, logging, metrics, peer_authentication, quarantine, reach_checks,
    restored_store, store_feed, table_server,
};

/// The interval of heartbeats while there are few VMs, in milliseconds.
const HEARTBEAT_INTERVAL_MS: u64 = 500;

/// The most heartbeats that a VM sends a second; bounds their cost in a large failure domain.
const MAX_HEARTBEATS_PER_S: u64 = 130;

/// How long beyond the settling time a silent VM may be listed in the look-ups of its failure domain, in
/// milliseconds. The operators allow 3 s, of which two checks of the membership tell the other domains.
const EXTRA_SILENCE_MS: u64 = 1_900;

/// The silence after which a VM no longer has a part in the shared limits, in milliseconds: longer
/// than the window of the retry budget, in which its retries still count.
const FORGET_VM_AFTER_MS: u64 = 20_000;

/// How many times a stopping VM announces its stop to others, since datagrams may be lost.
const ANNOUNCEMENT_COUNT: usize = 3;

/// The time between two such announcements.
const ANNOUNCEMENT_INTERVAL: Duration = Duration::from_millis(20);

/// How often a stopping VM checks whether it has finished.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// How often expired state is removed, in milliseconds.
const MAINTENANCE_INTERVAL_MS: u64 = 250;

/// The delay of a timer from which it is logged, in milliseconds: other VMs and callers notice it.
const LOGGED_EVENT_LOOP_DELAY_MS: u64 = 200;

/// The command-line options beside the platform's settings.
#[derive(Debug, Clone, Copy, Default)]
pub struct Options {
    /// The port on which metrics are served, if any.
    pub metrics_port: Option<u16>,
    /// The source address of connections to upstreams; the system's choice if there is none.
    pub upstream_source: Option<IpAddr>,
    /// How upstreams are chosen and how long requests may queue.
    pub steering_config: SteeringConfig,
    /// Whether messages between VMs are authenticated.
    pub peer_authentication: PeerAuthentication,
}

/// Runs an entry VM until a signal asks it to stop.
///
/// # Errors
///
/// Fails if the settings are invalid, an address can't be bound, or the log, the metrics or the
/// runtime can't be set up.
pub fn run(options: Options) -> Result<(), StartError> {
    let settings = Settings::from_environment()?;
    let (log_clock, pending_lines) = logging::start(&settings.vm_name)?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(StartError::Runtime)?;
    let tasks = LocalSet::new();
    let result = tasks.block_on(&runtime, run_vm(settings, log_clock, options));
    // Ends the requests in flight, which log it.
    drop(tasks);
    runtime.block_on(pending_lines.flush());
    result
}

async fn run_vm(
    settings: Settings,
    log_clock: LogClock,
    options: Options,
) -> Result<(), StartError> {
    let caller_address =
        settings.listen.callers.ok_or(SettingsError::MissingListenAddress("callers"))?;
    let readiness_address =
        settings.listen.ready.ok_or(SettingsError::MissingListenAddress("readiness"))?;
    let look_up_address =
        settings.listen.look_ups.ok_or(SettingsError::MissingListenAddress("look-ups"))?;
    let peer_address = SocketAddr::new(settings.ip, settings.peer_ports.0);
    let steering =
        new_steering(&settings, caller_address, peer_address).with_policy(options.steering_config);
    let socket = UdpSocket::bind(peer_address)
        .await
        .map_err(StartError::listen_failed("heartbeats", peer_address))?;
    let seal = PeerSeal::new(options.peer_authentication, peer_address, fastrand::u32(..));
    let metrics = Metrics::new()?;
    let upstream_connections = ConnectionPool::default().with_source(options.upstream_source);
    let shared = SharedState::new(
        settings,
        steering,
        socket,
        seal,
        log_clock,
        metrics,
        upstream_connections,
    );

    let caller_listener = bind("callers", caller_address).await?;
    let readiness_listener = bind("readiness", readiness_address).await?;
    let look_up_listener = bind("look-ups", look_up_address).await?;
    let peer_listener = bind("peers", peer_address).await?;
    log::info!(
        "event=started vm={} domain={} region={} boot={}",
        shared.settings.vm_name,
        shared.settings.domain,
        shared.settings.region,
        clock::unix_ms(),
    );

    let accepting = spawn_local(ingress::serve(Rc::clone(&shared), caller_listener));
    spawn_local(control_server::serve(
        Rc::clone(&shared),
        readiness_listener,
        |shared, request| ready(entry_queries::handle_query(&shared, &request)),
    ));
    spawn_local(control_server::serve(Rc::clone(&shared), look_up_listener, |shared, request| {
        ready(entry_queries::handle_query(&shared, &request))
    }));
    for table in Table::ALL {
        spawn_local(store_feed::follow_table(Rc::clone(&shared), table));
    }
    spawn_local(restored_store::settle_replicas(Rc::clone(&shared)));
    spawn_local(restored_store::keep_own_row(Rc::clone(&shared)));
    spawn_local(discovery::discover_vms(Rc::clone(&shared)));
    spawn_local(contacts::follow_contacts(Rc::clone(&shared)));
    spawn_local(bootstrap::fetch_initial_tables(Rc::clone(&shared)));
    spawn_local(peer_authentication::follow_keys(Rc::clone(&shared)));
    spawn_local(gossip::receive(Rc::clone(&shared)));
    spawn_local(control_server::serve(Rc::clone(&shared), peer_listener, handle_peer_request));
    spawn_local(reach_checks::run(Rc::clone(&shared)));
    spawn_local(gossip::send_periodically(Rc::clone(&shared)));
    spawn_local(gossip::send_reports(Rc::clone(&shared)));
    spawn_local(load_gossip::send_load(Rc::clone(&shared)));
    spawn_local(maintain(Rc::clone(&shared)));
    if let Some(port) = options.metrics_port {
        let address = SocketAddr::new(shared.settings.ip, port);
        let listener = bind("metrics", address).await?;
        spawn_local(control_server::serve(Rc::clone(&shared), listener, |shared, request| {
            ready(metrics::handle_request(&shared, &request))
        }));
    }

    wait_for_stop().await?;
    stop(&shared, accepting).await;
    let requests = shared.in_flight_requests.get();
    log::info!(target: logging::STOP_TARGET, "event=stopped requests={requests}");
    shared.stop_phase.send_replace(StopPhase::Ended);
    Ok(())
}

/// Carries out a planned stop, up to the end of the process. `accepting` ends when all connections that
/// were established are accepted.
async fn stop(shared: &SharedState, accepting: JoinHandle<()>) {
    let now_ms = clock::now_ms();
    shared.stop_began_at_ms.set(Some(now_ms));
    let stop = PlannedStop::new(now_ms, shared.settings.bounds.shutdown_grace_ms);
    log_stop_phase(shared, "stopping");
    shared.steering.borrow_mut().begin_stop(stop);
    shared.stop_phase.send_replace(StopPhase::Leaving);
    for _ in 0..ANNOUNCEMENT_COUNT {
        gossip::announce_changes(shared).await;
        tokio::time::sleep(ANNOUNCEMENT_INTERVAL).await;
    }
    tokio::time::sleep_until(clock::instant_at(stop.accepts_until_ms)).await;
    shared.stop_phase.send_replace(StopPhase::Closing);
    log_stop_phase(shared, "closing_connections");
    let accepting = timeout_at(clock::instant_at(stop.requests_end_at_ms), accepting);
    if accepting.await.is_err() {
        log::warn!("event=still_accepting");
    }
    wait_until_idle(shared, stop.requests_end_at_ms).await;
    if !shared.is_idle() {
        log_stop_phase(shared, "ending_requests");
        shared.stop_phase.send_replace(StopPhase::EndingRequests);
        wait_until_idle(shared, stop.ends_at_ms).await;
    }
}

/// Waits until the VM is idle or a time in milliseconds has passed; at least for one check, so that requests
/// can get their responses.
async fn wait_until_idle(shared: &SharedState, until_ms: u64) {
    while !shared.is_idle() {
        tokio::time::sleep(IDLE_CHECK_INTERVAL).await;
        if clock::now_ms() >= until_ms {
            return;
        }
    }
}

/// Logs what is still open when a phase of the planned stop begins.
fn log_stop_phase(shared: &SharedState, event: &str) {
    log::info!(
        target: logging::STOP_TARGET,
        "event={event} requests={} connections={}",
        shared.in_flight_requests.get(),
        shared.open_connections.get(),
    );
}

/// Responds to another VM: with rows, or to a request that it forwards.
async fn handle_peer_request(
    shared: Rc<SharedState>,
    request: Request<Incoming>,
) -> Response<Body> {
    if forwarding::is_forwarded(request.headers()) {
        return forwarding::serve(shared, request).await;
    }
    table_server::handle_rows_request(&shared, &request)
}

fn new_steering(
    settings: &Settings,
    caller_address: SocketAddr,
    peer_address: SocketAddr,
) -> Steering {
    let location = VmLocation {
        name: settings.vm_name.clone(),
        domain: settings.domain.clone(),
        region: settings.region.clone(),
        regions: settings.region_by_domain.clone(),
    };
    let limits = OperatorLimits {
        budget: RetryBudgetLimits {
            ratio: settings.bounds.retry_budget_ratio,
            slack: settings.bounds.retry_budget_slack,
            window_ms: settings.bounds.retry_budget_window_ms,
        },
        quotas: QuotaBounds {
            window_ms: settings.bounds.quota_window_ms,
            overage: settings.bounds.quota_overage,
            slack: settings.bounds.quota_slack,
        },
    };
    let descriptor = VmDescriptor {
        name: settings.vm_name.clone(),
        domain: settings.domain.clone(),
        region: settings.region.clone(),
        caller_address,
        peer_address,
        capacity_per_s: vm_resources(settings).capacity_per_s(),
    };
    let own = VmHeartbeat::new(descriptor, clock::unix_ms(), HEARTBEAT_INTERVAL_MS);
    let timing = VmTiming {
        heartbeat_interval_ms: HEARTBEAT_INTERVAL_MS,
        max_heartbeats_per_s: MAX_HEARTBEATS_PER_S,
        max_silence_ms: settings.bounds.settled_after_ms + EXTRA_SILENCE_MS,
        forget_after_ms: FORGET_VM_AFTER_MS,
    };
    let now_ms = clock::now_ms();
    let mut vms =
        VmTable::new(own, timing).with_failure_domains(&settings.region_by_domain, now_ms);
    for seed in &settings.seeds {
        // All VMs listen on the same ports.
        vms.add_address(SocketAddr::new(seed.ip(), peer_address.port()), now_ms);
    }
    Steering::new(location, limits, vms)
}

async fn bind(what: &'static str, address: SocketAddr) -> Result<TcpListener, StartError> {
    TcpListener::bind(address).await.map_err(StartError::listen_failed(what, address))
}

/// Removes expired state and closes unneeded connections until the process ends.
async fn maintain(shared: Rc<SharedState>) {
    loop {
        let due_at_ms = clock::now_ms() + MAINTENANCE_INTERVAL_MS;
        tokio::time::sleep(Duration::from_millis(MAINTENANCE_INTERVAL_MS)).await;
        let now_ms = clock::now_ms();
        let delay_ms = now_ms.saturating_sub(due_at_ms);
        shared.metrics.record_event_loop_delay(delay_ms);
        let peers_ms = shared.metrics.take_peer_handling().as_millis();
        if delay_ms >= LOGGED_EVENT_LOOP_DELAY_MS {
            log::warn!("event=event_loop_delayed by_ms={delay_ms} peer_messages_ms={peers_ms}");
        }
        let (lapsed, replaced) = {
            let mut steering = shared.steering.borrow_mut();
            steering.update_store_health(shared.store_call_state.get().health(now_ms), now_ms);
            steering.maintain_crashes(now_ms);
            steering.update_rate_limits(now_ms);
            steering.update_quotas(now_ms);
            steering.vms_mut().set_load(shared.load.borrow_mut().percent(now_ms));
            let upstreams = steering.upstreams_mut();
            (upstreams.remove_lapsed(now_ms), upstreams.accept_unclear_entries(now_ms))
        };
        record_body_ends(&shared, now_ms);
        for name in lapsed {
            log::info!("event=upstream_lapsed upstream={name}");
        }
        for name in replaced {
            log::info!("event=upstream_replaced upstream={name}");
        }
        capacity_log::log_changes(&shared, now_ms);
        quarantine::write_due_rows(&shared);
        shared.table_server.expire_cache(now_ms);
        let steering = shared.steering.borrow();
        let is_used = |upstream: &Upstream| !upstream.is_leaving();
        shared.peer_connections.prune(|_| true);
        shared.upstream_connections.prune(|key| steering.upstreams().get(key).is_some_and(is_used));
    }
}

/// Records how bodies have ended that were passed on before they had arrived completely.
fn record_body_ends(shared: &SharedState, now_ms: u64) {
    let mut steering = shared.steering.borrow_mut();
    for BodyEnd { upstream, is_whole } in shared.body_ends.take() {
        let Some(upstream) = steering.upstreams_mut().get_mut(upstream) else { continue };
        if !is_whole {
            log::info!("event=body_broken upstream={}", upstream.entry.name);
        }
        upstream.record_body_end(is_whole, now_ms);
    }
}

async fn wait_for_stop() -> Result<(), StartError> {
    let mut terminate = signal(SignalKind::terminate()).map_err(StartError::Runtime)?;
    let mut interrupt = signal(SignalKind::interrupt()).map_err(StartError::Runtime)?;
    let mut reload = signal(SignalKind::hangup()).map_err(StartError::Runtime)?;
    loop {
        tokio::select! {
            _ = terminate.recv() => return Ok(()),
            _ = interrupt.recv() => return Ok(()),
            _ = reload.recv() => log::info!("event=reload"),
        }
    }
}
