//! Which VMs of a failure domain a look-up names.
//!
//! Callers pick one of the named VMs at random for each connection. Where VMs differ in size, a look-up
//! that names all of them sends most requests through the smallest links, and where there are many,
//! every VM opens its own connections to all upstreams. A look-up therefore names the largest VMs, as
//! many as carry the domain's requests with room to spare. The others stay ready.

use std::net::SocketAddr;

/// The least number of VMs that are named, if the domain has as many: a single address would be a
/// single point of failure while callers cache the result.
pub const MIN_NAMED: usize = 2;

/// The least load that is assumed, as a share of the domain's capacity. Load is known only once it is
/// there, and a burst must fit before more VMs are named.
const MIN_LOAD_SHARE: f64 = 0.075;

/// The share of its capacity that each named VM may use.
const TARGET_UTILIZATION: f64 = 0.25;

/// The share of its capacity that each named VM may use after the loss of another one.
const TARGET_UTILIZATION_AFTER_LOSS: f64 = 0.5;

/// The link bytes of a typical request and its response, for the capacity of a VM.
const BYTES_PER_REQUEST: f64 = 6_000.0;

/// The processor time of a typical request, in seconds, for the capacity of a VM.
const CORE_S_PER_REQUEST: f64 = 0.000_2;

/// The resources of a VM, as its settings state them.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct VmResources {
    /// The share of its cores that the VM may use, times their number.
    pub cores: f64,
    /// The bandwidth of the VM's link, in megabits per second.
    pub link_mbps: f64,
}

impl VmResources {
    /// Returns the number of typical requests that a VM can serve in a second.
    pub fn capacity_per_s(self) -> u32 {
        let by_link = self.link_bytes_per_s() / BYTES_PER_REQUEST;
        let by_processor = self.cores / CORE_S_PER_REQUEST;
        by_link.min(by_processor).clamp(1.0, f64::from(u32::MAX)) as u32
    }

    /// Returns the bandwidth of the VM's link, in bytes per second.
    pub fn link_bytes_per_s(self) -> f64 {
        self.link_mbps * 1e6 / 8.0
    }
}

/// A VM that a look-up may name.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct NamingCandidate {
    /// The address for callers' requests.
    pub address: SocketAddr,
    /// The number of typical requests that the VM can serve in a second.
    pub capacity_per_s: u32,
    /// The share of its capacity that the VM uses, in percent.
    pub load_percent: u8,
}

impl NamingCandidate {
    fn load_per_s(&self) -> f64 {
        f64::from(self.capacity_per_s) * f64::from(self.load_percent) / 100.0
    }
}

/// Returns the addresses to name, of candidates that all serve: the fewest whose smallest VM has room to
/// spare for its part of the load, or else those among which that VM has the most room.
pub fn choose_named(mut candidates: Vec<NamingCandidate>) -> Vec<SocketAddr> {
    candidates.sort_by_key(|vm| (std::cmp::Reverse(vm.capacity_per_s), vm.address));
    let total_per_s: f64 = candidates.iter().map(|vm| f64::from(vm.capacity_per_s)).sum();
    let told_per_s: f64 = candidates.iter().map(NamingCandidate::load_per_s).sum();
    let load_per_s = told_per_s.max(total_per_s * MIN_LOAD_SHARE);
    // All named VMs get the same part of the load, so that the smallest is the busiest.
    let utilization = |count: usize, smallest: &NamingCandidate| {
        load_per_s / count as f64 / f64::from(smallest.capacity_per_s.max(1))
    };
    let mut best = (f64::INFINITY, candidates.len());
    for (index, smallest) in candidates.iter().enumerate().skip(MIN_NAMED - 1) {
        let (count, busiest) = (index + 1, utilization(index + 1, smallest));
        if busiest <= TARGET_UTILIZATION
            && utilization(index, smallest) <= TARGET_UTILIZATION_AFTER_LOSS
        {
            best = (busiest, count);
            break;
        }
        if busiest < best.0 {
            best = (busiest, count);
        }
    }
    candidates.truncate(best.1);
    candidates.into_iter().map(|vm| vm.address).collect()
}

/// The time constant of a VM's load, in milliseconds.
const LOAD_MEMORY_MS: f64 = 1_000.0;

/// The time in which a peak of the load decays to a third, in milliseconds. Named VMs that change often
/// cost callers their connections.
const PEAK_MEMORY_MS: f64 = 10_000.0;

/// The share of its capacity that a VM uses.
#[derive(Debug)]
pub struct LoadMeter {
    resources: VmResources,
    requests_per_s: f64,
    bytes_per_s: f64,
    updated_at_ms: u64,
    peak: f64,
}

impl LoadMeter {
    /// Creates the meter of a VM that has served nothing.
    pub fn new(resources: VmResources) -> Self {
        Self { resources, requests_per_s: 0.0, bytes_per_s: 0.0, updated_at_ms: 0, peak: 0.0 }
    }

    /// Records the arrival of a request.
    pub fn record_request(&mut self, now_ms: u64) {
        self.decay(now_ms);
        self.requests_per_s += 1_000.0 / LOAD_MEMORY_MS;
        self.peak = self.peak.max(self.utilization());
    }

    /// Records the body of a request or of a response that the VM has forwarded.
    pub fn record_body(&mut self, bytes: u64, now_ms: u64) {
        self.decay(now_ms);
        self.bytes_per_s += bytes as f64 * 1_000.0 / LOAD_MEMORY_MS;
        self.peak = self.peak.max(self.utilization());
    }

    /// Returns the recent peak of the load as a share of the VM's capacity, in percent.
    pub fn percent(&mut self, now_ms: u64) -> u8 {
        self.decay(now_ms);
        (self.peak * 100.0).ceil().min(100.0) as u8
    }

    /// Returns the present load as a share of the VM's capacity.
    pub fn utilization_at(&mut self, now_ms: u64) -> f64 {
        self.decay(now_ms);
        self.utilization()
    }

    fn utilization(&self) -> f64 {
        let by_processor = self.requests_per_s * CORE_S_PER_REQUEST / self.resources.cores;
        let by_link = self.bytes_per_s / self.resources.link_bytes_per_s();
        by_processor.max(by_link)
    }

    fn decay(&mut self, now_ms: u64) {
        let elapsed_ms = now_ms.saturating_sub(self.updated_at_ms) as f64;
        self.updated_at_ms = now_ms;
        let factor = (-elapsed_ms / LOAD_MEMORY_MS).exp();
        self.requests_per_s *= factor;
        self.bytes_per_s *= factor;
        self.peak = (self.peak * (-elapsed_ms / PEAK_MEMORY_MS).exp()).max(self.utilization());
    }
}
