//! A steady load of paying and trial callers on a test bed, with statistics of its results.

use std::net::{IpAddr, Ipv4Addr};

use sedgepath_core::hash::Digest;
use sedgepath_core::identity::NodeSettings;
use sedgepath_core::request::{Class, Deduplication, Outcome, RequestHead};

use crate::bed::upstreams::FakeUpstream;
use crate::bed::{Call, CallResult, TestBed};
use crate::records::{self, UpstreamSpec};

/// The request rate of each class; requests are sent at random times.
#[derive(Debug, Clone, Copy)]
pub struct Load {
    /// The seed of the arrival times.
    pub seed: u64,
    /// Paying requests per second.
    pub paying_per_s: u64,
    /// The number of paying requests that arrive at the same time.
    pub paying_burst: u64,
    /// Trial requests per second.
    pub trial_per_s: u64,
    /// The time from a request to its deadline, in milliseconds.
    pub deadline_ms: u64,
}

/// Results of the requests of one class.
#[derive(Debug, Default, Clone)]
pub struct ClassStats {
    /// The number of requests sent.
    pub sent: usize,
    /// The number of complete responses.
    pub answered: usize,
    /// The number of complete responses before the deadline.
    pub in_time: usize,
    /// Latencies of the responses in milliseconds, sorted.
    pub response_ms: Vec<u64>,
    /// Latencies of the rejections in milliseconds, sorted.
    pub rejection_ms: Vec<u64>,
}

impl ClassStats {
    /// Returns a percentile of the response latencies, in milliseconds.
    pub fn percentile_ms(&self, percent: usize) -> u64 {
        let last = self.response_ms.len().saturating_sub(1);
        self.response_ms.get(last * percent / 100).copied().unwrap_or(0)
    }
}

/// Results of the requests of all classes.
#[derive(Debug, Default, Clone)]
pub struct LoadStats {
    /// Results of the paying requests.
    pub paying: ClassStats,
    /// Results of all other requests.
    pub trial: ClassStats,
    /// The number of requests without an outcome.
    pub pending: usize,
    /// The maximum latency of a rejection, in milliseconds.
    pub slowest_rejection_ms: u64,
}

/// Creates a test bed with one failure domain `a` and one service `s`.
///
/// Each upstream is given by its name, its slots and its service time in milliseconds.
pub fn single_service_bed(seed: u64, nodes: usize, upstreams: &[(&str, u32, u64)]) -> TestBed {
    single_service_bed_with(
        seed,
        nodes,
        upstreams,
        NodeSettings { seed, ..NodeSettings::default() },
    )
}

/// Creates a test bed with one failure domain `a`, one service `s`, and these node settings.
pub fn single_service_bed_with(
    seed: u64,
    nodes: usize,
    upstreams: &[(&str, u32, u64)],
    settings: NodeSettings,
) -> TestBed {
    let mut bed = TestBed::new(seed).with_settings(settings);
    let specs: Vec<_> =
        upstreams.iter().map(|(name, slots, _)| UpstreamSpec::new(name, "a", *slots)).collect();
    bed.write_records(&[
        records::places(&[("r", &["a"])]),
        records::service("s", 10_000, &specs),
        records::steering("s", &[("a", 1.0)], 100.0, 10_000),
        records::organisations(&[
            ("payer", "paying", "payer-key"),
            ("guest", "trial", "trial-key"),
        ]),
    ]);
    for (name, slots, service_ms) in upstreams {
        let upstream = FakeUpstream::new(*slots, *service_ms);
        bed.upstreams.add(name, FakeUpstream { slows_when_full: true, ..upstream });
    }
    for node in 0..nodes {
        bed.add_node(&format!("n{node}"), "a");
    }
    bed.settle(10_000);
    bed
}

/// Creates the head of a request for the service `s` that expires `deadline_ms` from now.
pub fn request_head(bed: &TestBed, class: Class, deadline_ms: u64) -> RequestHead {
    let key = match class {
        Class::Paying => Some("payer-key"),
        Class::Trial => Some("trial-key"),
        Class::Guest => None,
    };
    RequestHead {
        service: "s".into(),
        source: IpAddr::V4(Ipv4Addr::LOCALHOST),
        key_digest: key.map(records::key_digest),
        deadline_at_ms: bed.now_ms() + deadline_ms,
        deduplication: Deduplication::Repeatable,
        attempt: 0,
        idempotent: true,
        digest: Digest::of(&[b"GET /"]),
        revision_seen: 0,
        forwarded_by: None,
    }
}

/// Sends a load for `duration_ms`, waits until all deadlines have passed, and returns the results.
pub fn run(bed: &mut TestBed, load: Load, duration_ms: u64) -> LoadStats {
    let first_call = bed.calls().len();
    // Each class has its own generator: the arrival times of one don't depend on the other's rate.
    let mut paying =
        arrivals(fastrand::Rng::with_seed(load.seed), load.paying_per_s, load.paying_burst);
    let mut trial = arrivals(fastrand::Rng::with_seed(!load.seed), load.trial_per_s, 1);
    for _ in 0..duration_ms {
        for (class, count) in [(Class::Paying, paying()), (Class::Trial, trial())] {
            for _ in 0..count {
                let head = request_head(bed, class, load.deadline_ms);
                let node = bed.calls().len() % bed.node_count();
                bed.call(node, head);
            }
        }
        bed.run_for(1);
    }
    bed.run_for(load.deadline_ms * 2);
    summarize(&bed.calls()[first_call..])
}

/// Returns a generator of the number of requests that arrive in each millisecond.
fn arrivals(mut random: fastrand::Rng, per_s: u64, burst_size: u64) -> impl FnMut() -> u64 {
    move || {
        let base_count = per_s / 1_000;
        let burst_arrives = random.u64(0..1_000 * burst_size) < per_s % 1_000;
        base_count + if burst_arrives { burst_size } else { 0 }
    }
}

/// Aggregates the results of calls by class.
pub fn summarize(calls: &[Call]) -> LoadStats {
    let mut stats = LoadStats::default();
    for call in calls {
        let took_ms = call.ended_at_ms - call.sent_at_ms;
        let paying = call.head.key_digest == Some(records::key_digest("payer-key"));
        let class = if paying { &mut stats.paying } else { &mut stats.trial };
        class.sent += 1;
        match &call.result {
            CallResult::Pending => stats.pending += 1,
            CallResult::Answered { .. } => {
                class.answered += 1;
                class.in_time += usize::from(call.ended_at_ms <= call.head.deadline_at_ms);
                class.response_ms.push(took_ms);
            }
            CallResult::Concluded(Outcome::NotRun { .. }) => {
                class.rejection_ms.push(took_ms);
                stats.slowest_rejection_ms = stats.slowest_rejection_ms.max(took_ms);
            }
            CallResult::Concluded(_) | CallResult::ConnectionLost => {}
        }
    }
    for class in [&mut stats.paying, &mut stats.trial] {
        class.response_ms.sort_unstable();
        class.rejection_ms.sort_unstable();
    }
    stats
}
