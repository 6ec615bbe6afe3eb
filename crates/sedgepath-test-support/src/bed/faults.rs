//! Faults that a test bed injects.

use std::collections::{BTreeMap, BTreeSet};

use sedgepath_core::key::UpstreamKey;

/// An endpoint of a link.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum LinkEndpoint {
    /// A node, by its index.
    Node(usize),
    /// An upstream, by its key.
    Upstream(UpstreamKey),
    /// The platform, which serves the table and the VM list.
    Platform,
}

/// The faults currently injected; fields may be changed at any time.
#[derive(Debug)]
pub struct Faults {
    /// The one-way latency between failure domains of a region, in milliseconds.
    pub domain_latency_ms: u64,
    /// The one-way latency between failure domains of different regions, in milliseconds.
    pub region_latency_ms: u64,
    /// The region of each failure domain, by names; domains that are missing share one region.
    pub region_by_domain: BTreeMap<Box<str>, Box<str>>,
    /// The extra delay of the loads reported in datagrams, in milliseconds.
    pub load_delay_ms: u64,
    /// Whether loads are removed from datagrams.
    pub omit_loads: bool,
    /// The maximum random addition to a delay, in milliseconds.
    pub jitter_ms: u64,
    /// The percentage of datagrams that are lost.
    pub loss_percent: u32,
    /// The percentage of datagrams that are delivered twice.
    pub duplicate_percent: u32,
    /// The delay between a node's decision to call an upstream and the send, in milliseconds.
    pub upstream_send_delay_ms: u64,
    /// Whether the platform is unavailable.
    pub platform_down: bool,
    /// The minimum one-way latency to the table, in milliseconds.
    pub table_latency_ms: u64,
    /// The percentage of commits whose result is lost.
    pub lost_commit_result_percent: u32,
    /// The number of upcoming commits that take effect late and whose result is lost.
    pub delayed_commits: u32,
    /// The delay of such late commits, in milliseconds.
    pub commit_delay_ms: u64,
    cut: BTreeSet<(LinkEndpoint, LinkEndpoint)>,
}

impl Default for Faults {
    fn default() -> Self {
        Self {
            domain_latency_ms: 1,
            region_latency_ms: 1,
            region_by_domain: BTreeMap::new(),
            load_delay_ms: 0,
            omit_loads: false,
            jitter_ms: 1,
            loss_percent: 0,
            duplicate_percent: 0,
            upstream_send_delay_ms: 0,
            platform_down: false,
            table_latency_ms: 2,
            lost_commit_result_percent: 0,
            delayed_commits: 0,
            commit_delay_ms: 1_000,
            cut: BTreeSet::new(),
        }
    }
}

impl Faults {
    /// Cuts the link from one endpoint to another and leaves the reverse direction open.
    pub fn cut_one_way(&mut self, from: LinkEndpoint, to: LinkEndpoint) {
        self.cut.insert((from, to));
    }

    /// Cuts the link between two endpoints in both directions.
    pub fn cut(&mut self, a: LinkEndpoint, b: LinkEndpoint) {
        self.cut_one_way(a, b);
        self.cut_one_way(b, a);
    }

    /// Restores all links that were cut.
    pub fn heal_all(&mut self) {
        self.cut.clear();
    }

    /// Returns whether messages pass from one endpoint to another.
    pub fn is_open(&self, from: LinkEndpoint, to: LinkEndpoint) -> bool {
        !self.cut.contains(&(from, to))
    }

    /// Returns the minimum latency between two failure domains, in milliseconds.
    pub(super) fn latency_ms(&self, from: &str, to: &str) -> u64 {
        if from == to {
            return 0;
        }
        let cross_region = self.region_by_domain.get(from) != self.region_by_domain.get(to);
        if cross_region { self.region_latency_ms } else { self.domain_latency_ms }
    }

    /// Draws the number of copies of a datagram that arrive.
    pub(super) fn datagram_copies(&self, random: &mut fastrand::Rng) -> u32 {
        if random.u32(0..100) < self.loss_percent {
            return 0;
        }
        if random.u32(0..100) < self.duplicate_percent { 2 } else { 1 }
    }

    /// Draws the one-way latency of a message to or from the table, in milliseconds.
    pub(super) fn table_delay_ms(&self, random: &mut fastrand::Rng) -> u64 {
        self.table_latency_ms + random.u64(0..=self.jitter_ms)
    }

    /// Draws whether the result of a commit is lost.
    pub(super) fn loses_commit_result(&self, random: &mut fastrand::Rng) -> bool {
        random.u32(0..100) < self.lost_commit_result_percent
    }
}
