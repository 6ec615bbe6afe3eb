//! Builds the initial state of the core: VMs, upstreams and the configuration.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::Arc;

use sedgepath_core::direct::budget::RetryBudgetLimits;
use sedgepath_core::direct::quotas::QuotaBounds;
use sedgepath_core::direct::routing::{
    CallerLimits, Configuration, Route, RouteKind, ServiceSettings, WeightedService,
};
use sedgepath_core::direct::upstreams::UpstreamEntry;
use sedgepath_core::direct::vms::{StoreHealth, VmDescriptor, VmHeartbeat, VmTable, VmTiming};
use sedgepath_core::direct::{OperatorLimits, Steering, VmLocation};
use sedgepath_core::hash::Map;

use crate::scenario::Scenario;

/// The only service of the configuration.
const SERVICE: &str = "service";

/// The host of all requests.
pub(crate) const HOST: &str = "host.example";

/// The interval between a VM's heartbeats, as in the daemon.
pub(crate) const HEARTBEAT_INTERVAL_MS: u64 = 500;

/// The retry budget of the whole system.
const QUOTA_BOUNDS: QuotaBounds = QuotaBounds { window_ms: 5_000, overage: 0.1, slack: 20.0 };

const RETRY_BUDGET: RetryBudgetLimits =
    RetryBudgetLimits { ratio: 0.2, slack: 60.0, window_ms: 10_000 };

/// Returns the registry entry of an upstream that is past its cold start.
pub(crate) fn upstream_entry(number: usize, domain: &str, scenario: &Scenario) -> UpstreamEntry {
    UpstreamEntry {
        name: format!("u{number}").into(),
        service: SERVICE.into(),
        address: socket_address(1, number, 8_080),
        domain: domain.into(),
        slots: scenario.upstreams.slots as u32,
        leaving: false,
        cold_remaining_ms: 0,
        sequence: 1,
        started_at_ms: None,
    }
}

fn socket_address(second_octet: u8, number: usize, port: u16) -> SocketAddr {
    let ip = Ipv4Addr::new(10, second_octet, (number / 250) as u8, (number % 250) as u8 + 1);
    SocketAddr::new(IpAddr::V4(ip), port)
}

/// Returns a configuration with one host, one route and one service.
pub(crate) fn configuration(scenario: &Scenario) -> Arc<Configuration> {
    let callers = scenario.callers;
    let route = Route {
        name: "route".into(),
        prefix: "/".into(),
        kind: RouteKind::Idempotent,
        timeout_ms: callers.timeout_ms,
        target_ms: callers.target_ms,
        priority: 1,
        weighted_services: vec![WeightedService { service: SERVICE.into(), weight: 1.0 }],
        max_attempts: callers.max_attempts,
        sticky: true,
        home_regions: Vec::new(),
        is_public: false,
    };
    let service_settings = ServiceSettings {
        max_connections: scenario.upstreams.max_connections,
        cold_start_ms: scenario.upstreams.cold_start_ms,
        cold_requests_per_s: scenario.upstreams.cold_requests_per_s,
    };
    let mut services: Map<Box<str>, ServiceSettings> = Map::default();
    services.insert(SERVICE.into(), service_settings);
    let mut hosts: Map<Box<str>, Vec<Arc<Route>>> = Map::default();
    hosts.insert(HOST.into(), vec![Arc::new(route)]);
    let limits =
        CallerLimits { max_header_bytes: 16_384, max_body_bytes: 1 << 20, idle_timeout_ms: 15_000 };
    Arc::new(Configuration { version: 1, services, hosts, limits, accounts: None })
}

/// Returns the state of a VM that knows no other VM and no upstream.
pub(crate) fn new_steering(
    number: usize,
    domain: &str,
    region: &str,
    domains: &[(&str, &str)],
) -> Steering {
    let name: Box<str> = format!("vm{number}").into();
    let region_by_domain =
        domains.iter().map(|(domain, region)| ((*domain).into(), (*region).into()));
    let location = VmLocation {
        name: name.clone(),
        domain: domain.into(),
        region: region.into(),
        regions: region_by_domain.collect(),
    };
    let descriptor = VmDescriptor {
        name,
        domain: domain.into(),
        region: region.into(),
        caller_address: socket_address(0, number, 80),
        peer_address: socket_address(0, number, 7_000),
        capacity_per_s: 200,
    };
    let mut heartbeat = VmHeartbeat::new(descriptor, 1, HEARTBEAT_INTERVAL_MS);
    heartbeat.state.ready = true;
    heartbeat.state.store_health = StoreHealth::Reachable { for_ms: 0 };
    let timing = VmTiming {
        heartbeat_interval_ms: HEARTBEAT_INTERVAL_MS,
        max_heartbeats_per_s: 130,
        max_silence_ms: 5_500,
        forget_after_ms: 20_000,
    };
    Steering::new(
        location,
        OperatorLimits { budget: RETRY_BUDGET, quotas: QUOTA_BOUNDS },
        VmTable::new(heartbeat, timing),
    )
}
