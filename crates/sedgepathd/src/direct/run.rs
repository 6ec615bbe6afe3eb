//! Start, signals and planned stop.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use sedgepath_adapter::settings::{Settings, SettingsError};
use sedgepath_core::direct::budget::RetryBudgetLimits;
use sedgepath_core::direct::replicas::Table;
use sedgepath_core::direct::steering::SteeringConfig;
use sedgepath_core::direct::vms::{VmDescriptor, VmHeartbeat, VmTable, VmTiming};
use sedgepath_core::direct::{OperatorLimits, Steering, VmLocation};
use tokio::net::{TcpListener, UdpSocket};
use tokio::signal::unix::{SignalKind, signal};
use tokio::task::{LocalSet, spawn_local};

use crate::start::StartError;

use super::lines::{LineClock, Lines};
use super::metrics::Metrics;
use super::shell::{Shell, StopPhase};
use super::{clock, entry, find, follow, giving, ingress, lines, metrics, peers, questions};

/// The time between two heartbeats in milliseconds, while there are few VMs.
const HEARTBEAT_MS: u64 = 500;

/// The most heartbeats that a VM sends in a second, so that they stay cheap in a large failure domain.
const HEARTBEATS_PER_S: u64 = 130;

/// How much longer than a disturbance is excused a silent VM may be named, in milliseconds. The
/// operators allow 3 s.
const NAMED_SILENT_MS: u64 = 2_500;

/// The silence after which a VM no longer shares the common limits, in milliseconds: longer than the
/// window of the retry budget, in which what it has spent still counts.
const FORGOTTEN_AFTER_MS: u64 = 20_000;

/// How long a stopping VM takes new requests on new connections, in milliseconds: callers may use
/// an answer to a look-up for this long.
const STOP_SERVING_MS: u64 = 3_000;

/// The time before the end of the grace at which a stopping VM ends whatever is left, in
/// milliseconds.
const STOP_MARGIN_MS: u64 = 150;

/// The period of the upkeep of tables, in milliseconds.
const UPKEEP_MS: u64 = 250;

/// What the command line says beside the platform's settings.
#[derive(Debug, Clone, Copy, Default)]
pub struct Options {
    /// The port on which metrics are served, if any.
    pub metrics_port: Option<u16>,
    /// How requests are placed and made to wait.
    pub policy: SteeringConfig,
}

/// Runs an entry VM until it is asked to stop.
///
/// # Errors
///
/// Fails if the settings can't be used or an address can't be listened on.
pub fn run(options: Options) -> Result<(), StartError> {
    let settings = Settings::from_environment()?;
    let (line_clock, lines) = lines::start(&settings.vm_name)?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(StartError::Runtime)?;
    LocalSet::new().block_on(&runtime, serve(settings, line_clock, lines, options))
}

async fn serve(
    settings: Settings,
    line_clock: LineClock,
    lines: Lines,
    options: Options,
) -> Result<(), StartError> {
    let callers = settings.listen.callers.ok_or(SettingsError::MissingListenAddress("callers"))?;
    let ready = settings.listen.ready.ok_or(SettingsError::MissingListenAddress("readiness"))?;
    let look_ups =
        settings.listen.look_ups.ok_or(SettingsError::MissingListenAddress("look-ups"))?;
    let peer_address = SocketAddr::new(settings.ip, settings.peer_ports.0);
    let steering = steering(&settings, callers, peer_address).with_policy(options.policy);
    let socket = UdpSocket::bind(peer_address)
        .await
        .map_err(StartError::listen("heartbeats", peer_address))?;
    let shell = Shell::new(settings, steering, socket, line_clock, Metrics::new()?);

    let callers_listener = listen("callers", callers).await?;
    let ready_listener = listen("readiness", ready).await?;
    let look_up_listener = listen("look-ups", look_ups).await?;
    let peer_listener = listen("peers", peer_address).await?;
    log::info!(
        "event=started vm={} domain={} region={} boot={}",
        shell.settings.vm_name,
        shell.settings.domain,
        shell.settings.region,
        clock::unix_ms(),
    );

    let taking = spawn_local(ingress::serve(Rc::clone(&shell), callers_listener));
    spawn_local(questions::serve(Rc::clone(&shell), ready_listener, entry::answer));
    spawn_local(questions::serve(Rc::clone(&shell), look_up_listener, entry::answer));
    for table in Table::ALL {
        spawn_local(follow::follow(Rc::clone(&shell), table));
    }
    spawn_local(find::find_vms(Rc::clone(&shell)));
    spawn_local(peers::receive(Rc::clone(&shell)));
    spawn_local(questions::serve(Rc::clone(&shell), peer_listener, giving::answer));
    spawn_local(peers::send_rounds(Rc::clone(&shell)));
    spawn_local(keep_up(Rc::clone(&shell)));
    if let Some(port) = options.metrics_port {
        let address = SocketAddr::new(shell.settings.ip, port);
        let listener = listen("metrics", address).await?;
        spawn_local(questions::serve(Rc::clone(&shell), listener, metrics::answer));
    }

    wait_for_stop().await?;
    let deadline_at_ms = clock::now_ms() + shell.settings.bounds.shutdown_grace_ms - STOP_MARGIN_MS;
    log::info!("event=stopping requests={}", shell.requests.get());
    shell.steering.borrow_mut().vms_mut().begin_leaving();
    shell.stop.send_replace(StopPhase::Leaving);
    for _ in 0..3 {
        peers::announce(&shell).await;
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    tokio::time::sleep(Duration::from_millis(STOP_SERVING_MS)).await;
    shell.stop.send_replace(StopPhase::Closing);
    taking.abort();
    while clock::now_ms() < deadline_at_ms
        && (shell.requests.get() > 0 || shell.connections.get() > 0)
    {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    log::info!("event=stopped requests={}", shell.requests.get());
    lines.finish().await;
    Ok(())
}

fn steering(settings: &Settings, callers: SocketAddr, peers: SocketAddr) -> Steering {
    let place = VmLocation {
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
    };
    let card = VmDescriptor {
        name: settings.vm_name.clone(),
        domain: settings.domain.clone(),
        region: settings.region.clone(),
        caller_address: callers,
        peer_address: peers,
    };
    let own = VmHeartbeat::new(card, clock::unix_ms(), HEARTBEAT_MS);
    let timing = VmTiming {
        heartbeat_interval_ms: HEARTBEAT_MS,
        max_heartbeats_per_s: HEARTBEATS_PER_S,
        max_silence_ms: settings.bounds.settled_after_ms + NAMED_SILENT_MS,
        forget_after_ms: FORGOTTEN_AFTER_MS,
    };
    let mut vms = VmTable::new(own, timing);
    for seed in &settings.seeds {
        // All VMs listen on the same ports.
        vms.add_address(SocketAddr::new(seed.ip(), peers.port()), clock::now_ms());
    }
    Steering::new(place, limits, vms)
}

async fn listen(what: &'static str, address: SocketAddr) -> Result<TcpListener, StartError> {
    TcpListener::bind(address).await.map_err(StartError::listen(what, address))
}

/// Forgets what has lapsed and closes connections that are not needed.
async fn keep_up(shell: Rc<Shell>) {
    loop {
        tokio::time::sleep(Duration::from_millis(UPKEEP_MS)).await;
        let now_ms = clock::now_ms();
        let gone = {
            let mut steering = shell.steering.borrow_mut();
            steering.update_store_health(shell.store_calls.get().view(now_ms), now_ms);
            steering.upstreams_mut().remove_lapsed(now_ms)
        };
        for name in gone {
            log::info!("event=upstream_lapsed upstream={name}");
        }
        shell.giving.forget();
        let steering = shell.steering.borrow();
        shell.pool.prune(|key| steering.upstreams().get(key).is_some());
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
