//! A steady load of paying and trial callers on a bed, and what they saw.

use std::net::{IpAddr, Ipv4Addr};

use sedgepath_core::hash::Digest;
use sedgepath_core::identity::NodeSettings;
use sedgepath_core::request::{Class, Deduplication, Outcome, RequestHead};

use crate::bed::upstreams::FakeUpstream;
use crate::bed::{Bed, Call, Seen};
use crate::records::{self, UpstreamSpec};

/// How many requests a second callers of each class send, at random times.
#[derive(Debug, Clone, Copy)]
pub struct Load {
    /// Draws when callers come.
    pub seed: u64,
    /// The paying requests in a second.
    pub paying_per_s: u64,
    /// How many paying requests come at the same moment.
    pub paying_at_once: u64,
    /// The trial requests in a second.
    pub trial_per_s: u64,
    /// The time that each caller waits, in milliseconds.
    pub deadline_ms: u64,
}

/// What callers of one class saw.
#[derive(Debug, Default, Clone)]
pub struct ClassSeen {
    /// The requests sent.
    pub asked: usize,
    /// Those answered whole.
    pub answered: usize,
    /// Those answered whole by their deadline.
    pub in_time: usize,
    /// The times until the answers, in milliseconds, in order.
    pub answer_ms: Vec<u64>,
    /// The times until the refusals, in milliseconds, in order.
    pub refusal_ms: Vec<u64>,
}

impl ClassSeen {
    /// Returns the time within which a share of the answers came, in milliseconds.
    pub fn percentile_ms(&self, percent: usize) -> u64 {
        let last = self.answer_ms.len().saturating_sub(1);
        self.answer_ms.get(last * percent / 100).copied().unwrap_or(0)
    }
}

/// What all callers saw.
#[derive(Debug, Default, Clone)]
pub struct LoadSeen {
    /// The paying callers.
    pub paying: ClassSeen,
    /// The callers on trial.
    pub trial: ClassSeen,
    /// The requests without an outcome.
    pub waiting: usize,
    /// The longest time until a refusal, in milliseconds.
    pub slowest_refusal_ms: u64,
}

/// Creates a bed of one failure domain `a` with owners and one service `s`; its upstreams are given
/// by name, slots and the time that a request takes in milliseconds.
pub fn bed(seed: u64, nodes: usize, upstreams: &[(&str, u32, u64)]) -> Bed {
    bed_with(seed, nodes, upstreams, NodeSettings { seed, ..NodeSettings::default() })
}

/// Creates such a bed with settings of its nodes.
pub fn bed_with(
    seed: u64,
    nodes: usize,
    upstreams: &[(&str, u32, u64)],
    settings: NodeSettings,
) -> Bed {
    let mut bed = Bed::new(seed).with_settings(settings);
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

/// Creates the head of a request; its deadline is by the bed's clock.
pub fn head(bed: &Bed, class: Class, deadline_ms: u64) -> RequestHead {
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

/// Sends a load for some time, waits until all deadlines have passed, and returns what callers saw of
/// the requests sent meanwhile.
pub fn run(bed: &mut Bed, load: Load, duration_ms: u64) -> LoadSeen {
    let first = bed.calls().len();
    // Each class has its own draws, so paying callers come at the same times whatever the trial load.
    let mut paying =
        arrivals(fastrand::Rng::with_seed(load.seed), load.paying_per_s, load.paying_at_once);
    let mut trial = arrivals(fastrand::Rng::with_seed(!load.seed), load.trial_per_s, 1);
    for _ in 0..duration_ms {
        for (class, count) in [(Class::Paying, paying()), (Class::Trial, trial())] {
            for _ in 0..count {
                let head = head(bed, class, load.deadline_ms);
                let node = bed.calls().len() % bed.node_count();
                bed.call(node, head);
            }
        }
        bed.run_for(1);
    }
    bed.run_for(load.deadline_ms * 2);
    seen(&bed.calls()[first..])
}

/// Returns how many requests come in each next millisecond.
fn arrivals(mut random: fastrand::Rng, per_s: u64, at_once: u64) -> impl FnMut() -> u64 {
    move || {
        let whole = per_s / 1_000;
        let comes = random.u64(0..1_000 * at_once) < per_s % 1_000;
        whole + if comes { at_once } else { 0 }
    }
}

/// Sums up what the callers of requests saw.
pub fn seen(calls: &[Call]) -> LoadSeen {
    let mut sum = LoadSeen::default();
    for call in calls {
        let took_ms = call.seen_at_ms - call.asked_at_ms;
        let paying = call.head.key_digest == Some(records::key_digest("payer-key"));
        let class = if paying { &mut sum.paying } else { &mut sum.trial };
        class.asked += 1;
        match &call.seen {
            Seen::Waiting => sum.waiting += 1,
            Seen::Answered { .. } => {
                class.answered += 1;
                class.in_time += usize::from(call.seen_at_ms <= call.head.deadline_at_ms);
                class.answer_ms.push(took_ms);
            }
            Seen::Concluded(Outcome::NotRun { .. }) => {
                class.refusal_ms.push(took_ms);
                sum.slowest_refusal_ms = sum.slowest_refusal_ms.max(took_ms);
            }
            Seen::Concluded(_) | Seen::Broken => {}
        }
    }
    for class in [&mut sum.paying, &mut sum.trial] {
        class.answer_ms.sort_unstable();
        class.refusal_ms.sort_unstable();
    }
    sum
}
