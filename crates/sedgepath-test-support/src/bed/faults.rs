//! The faults of a bed.

use std::collections::{BTreeMap, BTreeSet};

use sedgepath_core::key::UpstreamKey;

/// One end of a link.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Place {
    /// A node, by its number.
    Node(usize),
    /// An upstream.
    Upstream(UpstreamKey),
    /// The platform.
    Platform,
}

/// The faults in force; all fields may be changed at any time.
#[derive(Debug)]
pub struct Faults {
    /// The delay between failure domains, in milliseconds.
    pub hop_ms: u64,
    /// The delay between failure domains of different regions, in milliseconds, as far as
    /// [`Faults::regions`] names them.
    pub region_hop_ms: u64,
    /// The regions of failure domains, by the domains' names.
    pub regions: BTreeMap<Box<str>, Box<str>>,
    /// How late the loads in datagrams are, in milliseconds, although the datagrams are not.
    pub load_lag_ms: u64,
    /// Whether datagrams carry no loads.
    pub loads_missing: bool,
    /// The most that is added to a delay at random, in milliseconds.
    pub jitter_ms: u64,
    /// The share of datagrams that are lost, in percent.
    pub loss_percent: u32,
    /// The share of datagrams that arrive twice, in percent.
    pub repeat_percent: u32,
    /// The time between a node's decision to send to an upstream and the send, in milliseconds.
    pub pause_before_send_ms: u64,
    /// Whether the platform refuses everything.
    pub platform_down: bool,
    /// The least time of one way to the table, in milliseconds.
    pub table_ms: u64,
    /// The share of commits whose answer is lost, in percent.
    pub lost_answers_percent: u32,
    /// The number of commits from now on that take effect late, with no answer.
    pub late_writes: u32,
    /// How late these take effect, in milliseconds.
    pub late_by_ms: u64,
    cut: BTreeSet<(Place, Place)>,
}

impl Default for Faults {
    fn default() -> Self {
        Self {
            hop_ms: 1,
            region_hop_ms: 1,
            regions: BTreeMap::new(),
            load_lag_ms: 0,
            loads_missing: false,
            jitter_ms: 1,
            loss_percent: 0,
            repeat_percent: 0,
            pause_before_send_ms: 0,
            platform_down: false,
            table_ms: 2,
            lost_answers_percent: 0,
            late_writes: 0,
            late_by_ms: 1_000,
            cut: BTreeSet::new(),
        }
    }
}

impl Faults {
    /// Cuts the way from one place to another; the way back stays.
    pub fn cut_one_way(&mut self, from: Place, to: Place) {
        self.cut.insert((from, to));
    }

    /// Cuts both ways between two places.
    pub fn cut(&mut self, a: Place, b: Place) {
        self.cut_one_way(a, b);
        self.cut_one_way(b, a);
    }

    /// Heals all cuts.
    pub fn heal_all(&mut self) {
        self.cut.clear();
    }

    /// Whether the way from one place to another is open.
    pub fn reaches(&self, from: Place, to: Place) -> bool {
        !self.cut.contains(&(from, to))
    }

    /// Returns the least delay between two failure domains, in milliseconds.
    pub(super) fn delay_ms(&self, from: &str, to: &str) -> u64 {
        if from == to {
            return 0;
        }
        let far = self.regions.get(from) != self.regions.get(to);
        if far { self.region_hop_ms } else { self.hop_ms }
    }

    /// Draws how many copies of a datagram arrive.
    pub(super) fn datagram_copies(&self, random: &mut fastrand::Rng) -> u32 {
        if random.u32(0..100) < self.loss_percent {
            return 0;
        }
        if random.u32(0..100) < self.repeat_percent { 2 } else { 1 }
    }

    /// Draws the time of one way to the table, in milliseconds.
    pub(super) fn table_delay_ms(&self, random: &mut fastrand::Rng) -> u64 {
        self.table_ms + random.u64(0..=self.jitter_ms)
    }

    /// Draws whether the answer to a commit is lost.
    pub(super) fn loses_answer(&self, random: &mut fastrand::Rng) -> bool {
        random.u32(0..100) < self.lost_answers_percent
    }
}
