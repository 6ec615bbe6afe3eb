//! The active configuration: hosts, routes and services.

use std::sync::Arc;

use super::accounts::ClientAccounts;
use crate::hash::Map;

/// How a route's requests may be retried.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RouteKind {
    /// Requests may run more than once.
    Idempotent,
    /// Requests run at most once for each attempt of the caller.
    NonIdempotent,
    /// Idempotent requests with large responses.
    Download,
}

impl RouteKind {
    /// Returns whether a request that may have run may be sent again.
    pub fn may_retry(self) -> bool {
        !matches!(self, Self::NonIdempotent)
    }
}

/// A service that runs a share of a route's requests.
#[derive(Debug, Clone, PartialEq)]
pub struct WeightedService {
    /// The name of the service.
    pub service: Box<str>,
    /// The service's share of the requests, relative to the weights of the route's other services.
    pub weight: f64,
}

/// A rule that maps the requests under a path prefix to services.
#[derive(Debug, Clone, PartialEq)]
pub struct Route {
    /// The name under which the route's statistics are kept.
    pub name: Box<str>,
    /// The path prefix that the route matches.
    pub prefix: Box<str>,
    /// How the route's requests may be retried.
    pub kind: RouteKind,
    /// The longest time until a request's deadline, in milliseconds.
    pub timeout_ms: u64,
    /// The response time that the service aims for, in milliseconds.
    pub target_ms: u64,
    /// The priority of the route's requests; 0 is the highest.
    pub priority: u32,
    /// The services that run the route's requests; at least one.
    pub weighted_services: Vec<WeightedService>,
    /// The most attempts of an idempotent request that may have run.
    pub max_attempts: u32,
    /// Whether an upstream that recently ran a request for an object runs the next one faster.
    pub sticky: bool,
    /// The regions that may run the route's requests; empty if any may.
    pub home_regions: Vec<Box<str>>,
    /// Whether requests need no client account.
    pub is_public: bool,
}

/// The configured limits of a service's upstreams.
#[derive(Debug, Clone, PartialEq)]
pub struct ServiceSettings {
    /// The most connections that one upstream accepts from all VMs together.
    pub max_connections: u32,
    /// The time for which an upstream is cold after its start, in milliseconds.
    pub cold_start_ms: u64,
    /// The most requests per second that a cold upstream may get.
    pub cold_requests_per_s: f64,
}

/// The limits on callers' requests and connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerLimits {
    /// The largest request head in bytes.
    pub max_header_bytes: usize,
    /// The largest request body in bytes.
    pub max_body_bytes: u64,
    /// The longest time for which a connection may stay idle, in milliseconds.
    pub idle_timeout_ms: u64,
}

/// One version of the complete configuration.
#[derive(Debug, Clone, PartialEq)]
pub struct Configuration {
    /// The version, which increases with every accepted configuration.
    pub version: u64,
    /// The services, by name.
    pub services: Map<Box<str>, ServiceSettings>,
    /// The routes of each host, by the host's name in lower case.
    pub hosts: Map<Box<str>, Vec<Arc<Route>>>,
    /// The limits on callers.
    pub limits: CallerLimits,
    /// The client accounts; `None` if requests need none.
    pub accounts: Option<ClientAccounts>,
}

impl Configuration {
    /// Returns the host's route with the longest matching prefix.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let routes = self.hosts.get(normalize_host(host).as_ref())?;
        let matching = routes.iter().filter(|route| path.starts_with(&*route.prefix));
        matching.max_by_key(|route| route.prefix.len())
    }
}

/// Returns the host name of a `Host` header without its port, in lower case.
fn normalize_host(host: &str) -> std::borrow::Cow<'_, str> {
    let name = match host.rsplit_once(':') {
        Some((name, port)) if port.bytes().all(|byte| byte.is_ascii_digit()) => name,
        _ => host,
    };
    if name.bytes().any(|byte| byte.is_ascii_uppercase()) {
        return name.to_ascii_lowercase().into();
    }
    name.into()
}

/// The most requests by which a service may exceed its share to keep an object warm, on each VM.
///
/// Of the 30 requests that one of ten VMs counts in a window of 300, three are a tenth. The errors of VMs
/// are independent, so their sum stays well below that.
pub const MAX_LEAD_REQUESTS: f64 = 3.0;

/// Distributes the requests of routes over their services in proportion to the weights.
///
/// This is weighted round robin with object affinity: each request adds each service's weight to
/// its credit and subtracts the sum of the weights from the credit of the chosen service. An
/// object's digest selects its service, unless that service would then exceed its share by more than
/// [`MAX_LEAD_REQUESTS`]; then the service with the most credit is chosen. Each service thus stays
/// within a few requests of its share.
#[derive(Debug, Default)]
pub struct WeightedRoundRobin {
    credits: Map<Box<str>, Vec<f64>>,
}

impl WeightedRoundRobin {
    /// Returns the service for the next request of a route, by the requested object if there is one.
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
        let total_weight: f64 = route.weighted_services.iter().map(|service| service.weight).sum();
        for (credit, service) in credits.iter_mut().zip(&route.weighted_services) {
            *credit += service.weight;
        }
        let most_credit =
            (0..credits.len()).max_by(|one, other| credits[*one].total_cmp(&credits[*other]));
        let preferred = object.map(|object| preferred_index(route, object, total_weight));
        let is_within_lead =
            |index: &usize| credits[*index] - total_weight >= -MAX_LEAD_REQUESTS * total_weight;
        let chosen = preferred.filter(is_within_lead).or(most_credit).unwrap_or(0);
        credits[chosen] -= total_weight;
        &route.weighted_services[chosen]
    }

    /// Resets the credits of all routes, since a new configuration may have changed their services.
    pub fn clear(&mut self) {
        self.credits.clear();
    }
}

/// Returns the index of the service that an object's digest selects in proportion to the weights.
fn preferred_index(route: &Route, object: u64, total_weight: f64) -> usize {
    // The upper half of the digest, scaled to the sum of the weights.
    let mut position = (object >> 32) as f64 / (1_u64 << 32) as f64 * total_weight;
    for (index, service) in route.weighted_services.iter().enumerate() {
        if position < service.weight {
            return index;
        }
        position -= service.weight;
    }
    route.weighted_services.len() - 1
}
