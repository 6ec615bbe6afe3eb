//! The configuration in force: hosts, routes and services.

use std::sync::Arc;

use crate::hash::Map;

/// Whether a request may run more than once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RouteKind {
    /// Idempotent: may run more than once.
    Idempotent,
    /// Not idempotent: runs at most once for each attempt of the caller.
    NonIdempotent,
    /// A large idempotent answer.
    Download,
}

impl RouteKind {
    /// Whether a request may be sent again after it may have run.
    pub fn may_repeat(self) -> bool {
        !matches!(self, Self::NonIdempotent)
    }
}

/// A service among which a route spreads its requests.
#[derive(Debug, Clone, PartialEq)]
pub struct WeightedService {
    /// The service's name.
    pub service: Box<str>,
    /// Its share of the requests, relative to the other parts.
    pub weight: f64,
}

/// A rule that sends the requests under a path to services.
#[derive(Debug, Clone, PartialEq)]
pub struct Route {
    /// The route's name.
    pub name: Box<str>,
    /// The beginning of the paths that it takes.
    pub prefix: Box<str>,
    /// Whether its requests may run more than once.
    pub kind: RouteKind,
    /// The longest that a caller is kept waiting, in milliseconds.
    pub timeout_ms: u64,
    /// The time within which an answer is worth most, in milliseconds.
    pub target_ms: u64,
    /// The rank; 0 is the most urgent.
    pub priority: u32,
    /// The services that run its requests; at least one.
    pub weighted_services: Vec<WeightedService>,
    /// The most upstreams to which one request may be sent.
    pub max_attempts: u32,
    /// Whether an upstream that has lately run a request for an object runs the next one faster.
    pub sticky: bool,
    /// The regions that may run it; empty for all.
    pub home_regions: Vec<Box<str>>,
}

/// A service as configured.
#[derive(Debug, Clone, PartialEq)]
pub struct ServiceSettings {
    /// The most connections that one upstream takes from all VMs together.
    pub max_connections: u32,
    /// How long an upstream stays cold after its start, in milliseconds.
    pub cold_start_ms: u64,
    /// The requests a second that a cold upstream bears.
    pub cold_requests_per_s: f64,
}

/// What callers may send, and how long they may take.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerLimits {
    /// The largest head of a request in bytes.
    pub max_header_bytes: usize,
    /// The largest body of a request in bytes.
    pub max_body_bytes: u64,
    /// The longest that a connection may stay idle, in milliseconds.
    pub idle_timeout_ms: u64,
}

/// A configuration in full.
#[derive(Debug, Clone, PartialEq)]
pub struct Configuration {
    /// Grows with every accepted configuration.
    pub version: u64,
    /// The services by name.
    pub services: Map<Box<str>, ServiceSettings>,
    /// The routes of each host.
    pub hosts: Map<Box<str>, Vec<Arc<Route>>>,
    /// The limits for callers.
    pub limits: CallerLimits,
}

impl Configuration {
    /// Returns the route of a host whose prefix is the longest one that begins the path.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let routes = self.hosts.get(host_name(host).as_ref())?;
        let fitting = routes.iter().filter(|route| path.starts_with(&*route.prefix));
        fitting.max_by_key(|route| route.prefix.len())
    }
}

/// Reduces a `Host` field to the name: no port, in lower case.
fn host_name(host: &str) -> std::borrow::Cow<'_, str> {
    let name = match host.rsplit_once(':') {
        Some((name, port)) if port.bytes().all(|byte| byte.is_ascii_digit()) => name,
        _ => host,
    };
    if name.bytes().any(|byte| byte.is_ascii_uppercase()) {
        return name.to_ascii_lowercase().into();
    }
    name.into()
}

/// How many requests a part may be ahead of or behind its share for the sake of a warm object.
///
/// Three in each VM: of the 30 requests that one of ten VMs counts in a window of 300, a tenth; the
/// errors of VMs are independent, so their sum stays well below that.
pub const MAX_LEAD: f64 = 3.0;

/// Spreads the requests of routes over their parts in proportion to the weights.
///
/// Weighted round robin with a bounded lead: each part gains its weight with each request, and the part
/// taken pays the sum. An object goes to the part that its digest names, so that it is warm at one
/// service only, unless that part is [`MAX_LEAD`] requests ahead; then the part with the most is
/// taken. So each part stays within some requests of its share after any number of requests, which
/// neither a random draw nor the digests alone do.
#[derive(Debug, Default)]
pub struct WeightedRoundRobin {
    credits: Map<Box<str>, Vec<f64>>,
}

impl WeightedRoundRobin {
    /// Returns the part that takes the next request of a route, for an object if it has one.
    pub fn next_service<'a>(
        &mut self,
        route: &'a Route,
        object: Option<u64>,
    ) -> &'a WeightedService {
        if route.weighted_services.len() < 2 {
            return &route.weighted_services[0];
        }
        let credits = self.credits.entry(route.name.clone()).or_default();
        credits.resize(route.weighted_services.len(), 0.0);
        let total: f64 = route.weighted_services.iter().map(|part| part.weight).sum();
        for (credit, part) in credits.iter_mut().zip(&route.weighted_services) {
            *credit += part.weight;
        }
        let most =
            (0..credits.len()).max_by(|one, other| credits[*one].total_cmp(&credits[*other]));
        let preferred = object.map(|object| preferred(route, object, total));
        let within = |index: &usize| credits[*index] - total >= -MAX_LEAD * total;
        let taken = preferred.filter(within).or(most).unwrap_or(0);
        credits[taken] -= total;
        &route.weighted_services[taken]
    }

    /// Forgets the counts, since a new configuration may have changed the parts.
    pub fn clear(&mut self) {
        self.credits.clear();
    }
}

/// Returns the part that an object's digest names, parts in proportion to their weights.
fn preferred(route: &Route, object: u64, total: f64) -> usize {
    // The digest's upper half, as a number from 0 to 1; its whole ranks upstreams.
    let mut place = (object >> 32) as f64 / (1_u64 << 32) as f64 * total;
    for (index, part) in route.weighted_services.iter().enumerate() {
        if place < part.weight {
            return index;
        }
        place -= part.weight;
    }
    route.weighted_services.len() - 1
}
