//! Builders for tests of VMs that send requests to upstreams directly.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::Arc;

use sedgepath_core::direct::accounts::PresentedCredential;
use sedgepath_core::direct::attempts::{AttemptOutcome, NextStep, RequestState};
use sedgepath_core::direct::budget::RetryBudgetLimits;
use sedgepath_core::direct::quotas::QuotaBounds;
use sedgepath_core::direct::routing::{
    CallerLimits, Configuration, Route, RouteKind, ServiceSettings, WeightedService,
};
use sedgepath_core::direct::steering::IncomingRequest;
use sedgepath_core::direct::upstreams::{LoadReport, UpstreamEntry};
use sedgepath_core::direct::vms::{VmDescriptor, VmHeartbeat, VmTable, VmTiming};
use sedgepath_core::direct::{OperatorLimits, Steering, VmLocation};
use sedgepath_core::hash::Map;

/// The failure domains used by tests, with their regions.
pub const DOMAINS: [(&str, &str); 4] =
    [("north-a", "north"), ("north-b", "north"), ("south-a", "south"), ("south-b", "south")];

/// The host of all routes in tests.
pub const HOST: &str = "shop.example";

/// The default service of routes in tests.
pub const SERVICE: &str = "browse";

/// The duration of an upstream's cold start in tests, in milliseconds.
pub const COLD_START_MS: u64 = 3_000;

/// The request rate that a cold upstream sustains in tests, per second.
pub const COLD_PER_S: f64 = 4.0;

/// Returns the region of a failure domain, or `elsewhere` for one that isn't in [`DOMAINS`].
pub fn region_of(domain: &str) -> &'static str {
    DOMAINS.iter().find(|(name, _)| *name == domain).map_or("elsewhere", |(_, region)| region)
}

/// Returns the heartbeat of a VM that is ready to serve.
pub fn heartbeat(name: &str, domain: &str, number: u8) -> VmHeartbeat {
    let address = |port| SocketAddr::new(IpAddr::V4(Ipv4Addr::new(10, 0, 0, number)), port);
    let descriptor = VmDescriptor {
        name: name.into(),
        domain: domain.into(),
        region: region_of(domain).into(),
        caller_address: address(80),
        peer_address: address(7_000),
        capacity_per_s: 200,
    };
    let mut heartbeat = VmHeartbeat::new(descriptor, 1, HEARTBEAT_MS);
    heartbeat.state.ready = true;
    heartbeat
}

/// The interval of a VM's heartbeats in tests, in milliseconds.
pub const HEARTBEAT_MS: u64 = 500;

/// The membership timing of VMs in tests.
pub const TIMING: VmTiming = VmTiming {
    heartbeat_interval_ms: HEARTBEAT_MS,
    max_heartbeats_per_s: 100,
    max_silence_ms: 4_900,
    forget_after_ms: 20_000,
};

/// Returns the membership table of a VM that knows no other VM.
pub fn vm_table(name: &str, domain: &str, number: u8) -> VmTable {
    VmTable::new(heartbeat(name, domain, number), TIMING)
}

/// The margin beyond client accounts' quotas in tests.
pub const QUOTA_BOUNDS: QuotaBounds = QuotaBounds { window_ms: 5_000, overage: 0.1, slack: 20.0 };

fn regions() -> Map<Box<str>, Box<str>> {
    DOMAINS.iter().map(|(domain, region)| ((*domain).into(), (*region).into())).collect()
}

/// Returns a VM without a configuration, upstreams or other VMs.
pub fn vm(name: &str, domain: &str, number: u8) -> Steering {
    vm_with_table(name, domain, vm_table(name, domain, number))
}

/// Returns a VM as [`vm`] does that has just started, and knows by the store of the VMs of its failure domain
/// with these numbers.
pub fn starting_vm(name: &str, domain: &str, number: u8, others: &[u8], now_ms: u64) -> Steering {
    let mut table = vm_table(name, domain, number).with_failure_domains(&regions(), now_ms);
    for other in others {
        let address = heartbeat(name, domain, *other).descriptor.peer_address;
        table.add_vm(address, domain, region_of(domain), now_ms);
    }
    table.record_discovery(now_ms);
    vm_with_table(name, domain, table)
}

fn vm_with_table(name: &str, domain: &str, table: VmTable) -> Steering {
    let location = VmLocation {
        name: name.into(),
        domain: domain.into(),
        region: region_of(domain).into(),
        regions: regions(),
    };
    let budget = RetryBudgetLimits { ratio: 0.2, slack: 60.0, window_ms: 10_000 };
    let limits = OperatorLimits { budget, quotas: QUOTA_BOUNDS };
    Steering::new(location, limits, table)
}

/// Returns a route of this kind, under the prefix `/reads/`, `/charges/` or `/packs/`.
pub fn route(kind: RouteKind) -> Route {
    let (name, prefix) = match kind {
        RouteKind::Idempotent => ("reads", "/reads/"),
        RouteKind::NonIdempotent => ("charges", "/charges/"),
        RouteKind::Download => ("packs", "/packs/"),
    };
    Route {
        name: name.into(),
        prefix: prefix.into(),
        kind,
        timeout_ms: 3_000,
        target_ms: 400,
        priority: 1,
        weighted_services: vec![WeightedService { service: SERVICE.into(), weight: 1.0 }],
        max_attempts: 2,
        sticky: true,
        home_regions: Vec::new(),
        is_public: false,
    }
}

/// Returns a configuration with these routes for [`HOST`].
pub fn configuration(version: u64, routes: Vec<Route>) -> Arc<Configuration> {
    let settings = ServiceSettings {
        max_connections: 100,
        cold_start_ms: COLD_START_MS,
        cold_requests_per_s: COLD_PER_S,
    };
    let services = routes
        .iter()
        .flat_map(|route| &route.weighted_services)
        .map(|weighted| (weighted.service.clone(), settings.clone()))
        .collect();
    let mut hosts: Map<Box<str>, Vec<Arc<Route>>> = Map::default();
    hosts.insert(HOST.into(), routes.into_iter().map(Arc::new).collect());
    let limits =
        CallerLimits { max_header_bytes: 16_384, max_body_bytes: 1 << 20, idle_timeout_ms: 15_000 };
    Arc::new(Configuration { version, services, hosts, limits, accounts: None })
}

/// Returns a configuration with one route of each kind.
pub fn configuration_of_all_kinds(version: u64) -> Arc<Configuration> {
    let kinds = [RouteKind::Idempotent, RouteKind::NonIdempotent, RouteKind::Download];
    configuration(version, kinds.map(route).to_vec())
}

/// Returns the table entry of an upstream of [`SERVICE`] with three slots.
pub fn upstream_entry(name: &str, domain: &str, number: u8) -> UpstreamEntry {
    UpstreamEntry {
        name: name.into(),
        service: SERVICE.into(),
        address: SocketAddr::new(IpAddr::V4(Ipv4Addr::new(10, 1, 0, number)), 8_080),
        domain: domain.into(),
        slots: 3,
        leaving: false,
        cold_remaining_ms: 0,
        sequence: 1,
        started_at_ms: None,
    }
}

/// Returns a VM with a configuration and `per_domain` upstreams in each failure domain.
pub fn serving_vm(name: &str, domain: &str, number: u8, per_domain: u8) -> Steering {
    with_upstreams(vm(name, domain, number), per_domain)
}

/// Adds a configuration and `per_domain` upstreams in each failure domain, `b0` and up, to a VM.
pub fn with_upstreams(mut vm: Steering, per_domain: u8) -> Steering {
    vm.apply_configuration(configuration_of_all_kinds(1));
    let mut next = 0;
    for (domain, region) in DOMAINS {
        for _ in 0..per_domain {
            vm.upstreams_mut().upsert(upstream_entry(&format!("b{next}"), domain, next), region, 0);
            next += 1;
        }
    }
    vm
}

/// Returns a [`serving_vm`] whose earlier requests have earned retry budget.
pub fn vm_with_retry_budget(name: &str, domain: &str, number: u8, per_domain: u8) -> Steering {
    let mut vm = serving_vm(name, domain, number, per_domain);
    for number in 0..50 {
        begin_request(&mut vm, "/reads/1", &number.to_string(), 0);
    }
    vm
}

/// Begins a request for an object under `/reads/`, `/charges/` or `/packs/`.
///
/// # Panics
///
/// Panics if the VM rejects the request.
pub fn begin_request(vm: &mut Steering, path: &str, object: &str, now_ms: u64) -> RequestState {
    let incoming = IncomingRequest {
        host: HOST,
        path,
        time_left_ms: Some(3_000),
        object: Some(object),
        caller: None,
        credential: PresentedCredential::None,
        forwarded: None,
    };
    vm.begin_request(incoming, now_ms).expect("the VM should accept the request")
}

/// Begins requests for many objects whose first attempt is overdue and then rejected; returns the
/// upstreams that get their hedges and retries.
///
/// # Panics
///
/// Panics if no upstream is free for a first attempt.
pub fn second_upstreams(vm: &mut Steering, now_ms: u64) -> Vec<Box<str>> {
    let mut names = Vec::new();
    for number in 0..100 {
        let mut request = begin_request(vm, "/reads/1", &number.to_string(), now_ms);
        let NextStep::Send(first) = vm.next_step(&mut request, number, now_ms) else {
            panic!("an upstream should be free");
        };
        let overdue_at_ms = vm.hedge_at_ms(&request).expect("an idempotent request has a hedge");
        names.extend(vm.hedge(&mut request, number, overdue_at_ms).map(|hedge| hedge.name));
        let report = Some(LoadReport::new(0, 0, 3));
        let rejected = AttemptOutcome::Refused { report };
        vm.record_outcome(&mut request, first.upstream, rejected, overdue_at_ms);
        if let NextStep::Send(retry) = vm.next_step(&mut request, number, overdue_at_ms) {
            names.push(retry.name);
        }
        vm.cancel_request(&mut request, overdue_at_ms);
    }
    names
}
