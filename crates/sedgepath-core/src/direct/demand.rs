//! The demand for services, as VMs count it and report it to each other.
//!
//! Each VM counts the requests of its own callers and reports the rates to other VMs of its region that
//! have callers too, as many as get its load. A
//! caller that was rejected and returns with the same request within a second isn't counted again, so
//! that callers that retry at once don't look like more demand.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::decaying_rate::DecayingRate;
use crate::hash::{Digest, Map};

/// The time constant of a VM's own rates, in milliseconds.
const RATE_MEMORY_MS: f64 = 2_000.0;

/// The age up to which a report counts in full, in milliseconds.
const FRESH_MS: u64 = 1_000;

/// The age from which a report no longer counts, in milliseconds.
const STALE_MS: u64 = 3_000;

/// The time in which the retries of a rejected request count once, in milliseconds.
const RETRY_WINDOW_MS: u64 = 1_000;

/// The most rejected requests that are remembered. Retries of others count as new requests.
const MAX_REJECTED: usize = 1_024;

/// The most VMs whose reports are kept.
const MAX_SENDERS: usize = 256;

/// The most services that are counted, and that are read from a report, responses of each size apart.
const MAX_SERVICES: usize = 128;

/// A digest of a service's name.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ServiceKey(pub u64);

impl ServiceKey {
    /// Derives the key from the service's name.
    pub fn of(service: &str) -> Self {
        Self(Digest::of(&[b"service", service.as_bytes()]).to_u64())
    }
}

/// The demand of one VM's callers for a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceDemand {
    /// The service.
    pub service: ServiceKey,
    /// Whether this is the demand for large responses.
    pub large_responses: bool,
    /// The requests in ten seconds, at the current rate.
    pub requests_per_10_s: u32,
}

impl ServiceDemand {
    fn key(&self) -> DemandKey {
        DemandKey { service: self.service, large_responses: self.large_responses }
    }
}

/// The demand of one VM's callers, as it reports it to other VMs.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DemandReport {
    /// The demand for each service and size of responses that is requested.
    pub services: Vec<ServiceDemand>,
}

/// What is counted together: the requests for a service whose responses are large, or those whose
/// responses are not.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct DemandKey {
    /// The service.
    pub service: ServiceKey,
    /// Whether this is the demand for large responses.
    pub large_responses: bool,
}

/// A caller and what it requests, by which a retry is recognised.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct CallerRequest(pub u64);

/// The report of another VM.
#[derive(Debug)]
struct Received {
    per_s: Map<DemandKey, f64>,
    received_at_ms: u64,
}

impl Received {
    /// Returns how much the report counts: 1 while it is fresh, 0 once it is stale.
    fn weight(&self, now_ms: u64) -> f64 {
        let age_ms = now_ms.saturating_sub(self.received_at_ms).max(FRESH_MS);
        STALE_MS.saturating_sub(age_ms) as f64 / (STALE_MS - FRESH_MS) as f64
    }
}

/// A request that was rejected and may return.
#[derive(Debug, Clone, Copy)]
struct Rejected {
    /// When the request was last counted, in milliseconds.
    counted_at_ms: u64,
    /// How many of its rejections haven't been followed by a retry.
    awaited_retries: u32,
}

/// The demand of this VM's callers, and of the callers of other VMs of its region.
#[derive(Debug, Default)]
pub struct DemandTable {
    own: Map<DemandKey, DecayingRate>,
    received: Map<SocketAddr, Received>,
    rejected: Map<CallerRequest, Rejected>,
}

impl DemandTable {
    /// Returns the demand of this VM's callers.
    pub fn report(&self, now_ms: u64) -> DemandReport {
        let mut services: Vec<_> = self
            .own
            .iter()
            .map(|(key, rate)| ServiceDemand {
                service: key.service,
                large_responses: key.large_responses,
                requests_per_10_s: (rate.per_s_at(RATE_MEMORY_MS, now_ms) * 10.0).round() as u32,
            })
            .filter(|demand| demand.requests_per_10_s > 0)
            .collect();
        services.sort_unstable_by_key(ServiceDemand::key);
        DemandReport { services }
    }

    /// Records the demand that another VM reports, which replaces its earlier report.
    pub fn receive(&mut self, from: SocketAddr, report: &DemandReport, now_ms: u64) {
        if self.received.len() >= MAX_SENDERS && !self.received.contains_key(&from) {
            self.received.retain(|_, received| received.weight(now_ms) > 0.0);
            if self.received.len() >= MAX_SENDERS {
                return;
            }
        }
        let services = report.services.iter().take(MAX_SERVICES);
        let per_s = services
            .map(|demand| (demand.key(), f64::from(demand.requests_per_10_s) / 10.0))
            .collect();
        self.received.insert(from, Received { per_s, received_at_ms: now_ms });
    }

    /// Counts a request of this VM's callers and returns true, unless it is a retry that is counted
    /// already.
    pub fn record_request(
        &mut self,
        key: DemandKey,
        caller_request: CallerRequest,
        now_ms: u64,
    ) -> bool {
        if let Some(rejected) = self.rejected.get_mut(&caller_request)
            && rejected.awaited_retries > 0
        {
            rejected.awaited_retries -= 1;
            if now_ms < rejected.counted_at_ms + RETRY_WINDOW_MS {
                return false;
            }
            rejected.counted_at_ms = now_ms;
        }
        if self.own.len() < MAX_SERVICES || self.own.contains_key(&key) {
            self.own.entry(key).or_default().record(RATE_MEMORY_MS, now_ms);
        }
        true
    }

    /// Records that a request was rejected that arrived at `arrived_at_ms`, so that its caller may
    /// return with it.
    pub fn record_rejection(
        &mut self,
        caller_request: CallerRequest,
        arrived_at_ms: u64,
        now_ms: u64,
    ) {
        if self.rejected.len() >= MAX_REJECTED && !self.rejected.contains_key(&caller_request) {
            self.rejected.retain(|_, other| now_ms < other.counted_at_ms + RETRY_WINDOW_MS);
            if self.rejected.len() >= MAX_REJECTED {
                return;
            }
        }
        let counted = Rejected { counted_at_ms: arrived_at_ms, awaited_retries: 0 };
        let rejected = self.rejected.entry(caller_request).or_insert(counted);
        if arrived_at_ms >= rejected.counted_at_ms + RETRY_WINDOW_MS {
            *rejected = counted;
        }
        rejected.awaited_retries += 1;
    }

    /// Returns the demand of this VM's callers, in requests per second.
    pub fn own_per_s(&self, key: DemandKey, now_ms: u64) -> f64 {
        self.own.get(&key).map_or(0.0, |rate| rate.per_s_at(RATE_MEMORY_MS, now_ms))
    }

    /// Returns the demand of the callers of several VMs in requests per second: this one and those whose
    /// addresses `includes` accepts, of which look-ups name `named_count`.
    ///
    /// As reports grow stale, the estimate fades to this VM's own demand times the number of named VMs.
    pub fn total_per_s(
        &self,
        key: DemandKey,
        includes: impl Fn(SocketAddr) -> bool,
        named_count: usize,
        now_ms: u64,
    ) -> f64 {
        let own_per_s = self.own_per_s(key, now_ms);
        let reported_per_s: f64 = self
            .received
            .iter()
            .filter(|(from, _)| includes(**from))
            .filter_map(|(_, received)| Some(received.weight(now_ms) * received.per_s.get(&key)?))
            .sum();
        let assumed_vms = named_count.saturating_sub(1) as f64;
        own_per_s + reported_per_s + self.staleness(now_ms) * own_per_s * assumed_vms
    }

    /// Returns how stale the freshest report is: 0 while it is fresh, 1 if there is none that counts.
    pub fn staleness(&self, now_ms: u64) -> f64 {
        let weights = self.received.values().map(|received| received.weight(now_ms));
        1.0 - weights.fold(0.0, f64::max)
    }
}
