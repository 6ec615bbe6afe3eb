//! What a variant did in a scenario, over all seeds.

use std::net::IpAddr;

use sedgepath_core::request::{Class, Outcome};
use sedgepath_test_support::bed::Seen;
use sedgepath_test_support::moves::Followed;
use sedgepath_test_support::records;

use crate::deployment::{DOMAINS, Deployment, NODES, REGIONS, WINDOW_MS};
use crate::scenario::{DEADLINE_MS, Run};

/// What a request of each class counts, paying first.
pub const WEIGHTS: [f64; 3] = [3.0, 2.0, 1.0];

/// The figures of a variant in a scenario.
#[derive(Debug, Default, Clone)]
pub struct Figures {
    answer_ms: [Vec<u64>; 3],
    asked: [f64; 3],
    in_time: [f64; 3],
    refusal_ms: Vec<u64>,
    other: f64,
    headroom: Option<f64>,
    drain_ms: u64,
    moved_percent: f64,
    peak_part: f64,
}

impl Figures {
    /// Takes in a run.
    pub fn add(&mut self, run: &Run) {
        let measured = run.bed.calls().iter().filter(|call| call.asked_at_ms >= run.event_at_ms);
        for call in measured {
            let class = class_index(call.head.key_digest);
            let took_ms = call.seen_at_ms - call.asked_at_ms + 2 * run.deployment.client_ms;
            self.asked[class] += 1.0;
            match &call.seen {
                Seen::Answered { .. } => {
                    self.answer_ms[class].push(took_ms);
                    self.in_time[class] += f64::from(u8::from(took_ms <= DEADLINE_MS));
                }
                Seen::Concluded(Outcome::NotRun { .. }) => self.refusal_ms.push(took_ms),
                _ => self.other += 1.0,
            }
        }
        self.drain_ms = self.drain_ms.max(drain_ms(run));
        self.moved_percent = self.moved_percent.max(moved_percent(run));
        self.peak_part = self.peak_part.max(peak_part(run));
        let headroom = headroom(run);
        self.headroom = Some(self.headroom.map_or(headroom, |least| least.min(headroom)));
    }

    /// Takes in the figures of other seeds.
    pub fn merge(&mut self, other: Self) {
        for class in 0..3 {
            self.answer_ms[class].extend(&other.answer_ms[class]);
            self.asked[class] += other.asked[class];
            self.in_time[class] += other.in_time[class];
        }
        self.refusal_ms.extend(other.refusal_ms);
        self.other += other.other;
        self.drain_ms = self.drain_ms.max(other.drain_ms);
        self.moved_percent = self.moved_percent.max(other.moved_percent);
        self.peak_part = self.peak_part.max(other.peak_part);
        let least = [self.headroom, other.headroom].into_iter().flatten().fold(1.0, f64::min);
        self.headroom = Some(least);
    }

    /// Returns the row of the table.
    pub fn row(mut self, name: &str) -> String {
        let asked: f64 = self.asked.iter().sum();
        let weighted = |counts: &[f64; 3]| -> f64 {
            counts.iter().zip(WEIGHTS).map(|(count, weight)| count * weight).sum()
        };
        let in_time = 100.0 * weighted(&self.in_time) / weighted(&self.asked);
        let paying = 100.0 * self.in_time[0] / self.asked[0];
        let latencies: Vec<_> = self.answer_ms.iter_mut().map(|times| pair(times)).collect();
        let refused = 100.0 * self.refusal_ms.len() as f64 / asked;
        let drained = if self.drain_ms > 0 { self.drain_ms.to_string() } else { "-".to_owned() };
        format!(
            "| {name:<17} | {:>9} | {:>9} | {:>9} | {in_time:>6.2} | {paying:>6.2} | {refused:>6.2} | {:>8} \
             | {:>5.2} | {:>8.2} | {drained:>5} | {:>5.1} | {:>4.2} |",
            latencies[0],
            latencies[1],
            latencies[2],
            pair(&mut self.refusal_ms),
            100.0 * self.other / asked,
            self.headroom.unwrap_or_default(),
            self.moved_percent,
            self.peak_part,
        )
    }
}

/// The heading of the table.
pub const HEADING: &str = "\
| policy            | paying ms | trial ms  | guest ms  | score  | paying | ref. % | ref. ms  | oth % | headroom | drain | moved | peak |\n\
|-------------------|-----------|-----------|-----------|--------|--------|--------|----------|-------|----------|-------|-------|------|";

fn pair(times: &mut [u64]) -> String {
    times.sort_unstable();
    let at = |percent: usize| times.get(times.len() * percent / 100).copied().unwrap_or(0);
    format!("{}/{}", at(50), at(99))
}

fn class_index(key_digest: Option<sedgepath_core::hash::Digest>) -> usize {
    let class = match key_digest {
        None => Class::Guest,
        Some(digest) if digest == records::key_digest("paying-key") => Class::Paying,
        Some(_) => Class::Trial,
    };
    Class::ALL.iter().position(|known| *known == class).unwrap_or(2)
}

/// Returns the time from the event to the end of the last run that the drained domain began, in
/// milliseconds; 0 where nothing was drained.
fn drain_ms(run: &Run) -> u64 {
    if run.scenario != crate::scenario::Scenario::Drain {
        return 0;
    }
    let ends = run.deployment.services.iter().flat_map(|service| {
        let domains = service.domains();
        run.bed
            .upstreams
            .iter()
            .filter(move |(upstream, _)| domains.get(upstream) == Some(&0))
            .filter_map(|(_, state)| Some(state.runs.last()?.started_at_ms + service.service_ms))
    });
    ends.max().unwrap_or(0).saturating_sub(run.event_at_ms)
}

/// Returns the greatest share of an origin group's traffic of the largest service that moved in a
/// window, in percent; the rounding is one request per node.
fn moved_percent(run: &Run) -> f64 {
    let service = run.deployment.services[0];
    let domains = service.domains();
    let moved = |origin: usize| {
        let followed = Followed {
            service: service.name,
            is_origin: |source, origin| matches!(source, IpAddr::V4(source) if usize::from(source.octets()[1]) == origin),
            origin,
            domains: &domains,
            shares: &Deployment::shares(origin),
            window_ms: WINDOW_MS,
            from_ms: run.started_at_ms,
            rounding: NODES as f64,
        };
        followed.most_moved_percent(&run.bed)
    };
    (0..REGIONS).map(moved).fold(0.0, f64::max)
}

/// Returns the most that an upstream ran at once, as a part of its slots.
fn peak_part(run: &Run) -> f64 {
    let peaks = run.bed.upstreams.iter();
    peaks
        .map(|(_, state)| f64::from(state.peak_in_flight) / f64::from(state.slots))
        .fold(0.0, f64::max)
}

/// Returns the part of its slots that the busiest failure domain of the largest service had free on
/// average.
fn headroom(run: &Run) -> f64 {
    let service = run.deployment.services[0];
    let domains = service.domains();
    let measured_ms = (run.bed.now_ms() - run.event_at_ms) as f64;
    let mut busy = [0.0; DOMAINS];
    let mut slots = [0.0; DOMAINS];
    for (upstream, state) in run.bed.upstreams.iter().filter(|(_, state)| !state.dead) {
        if let Some(domain) = domains.get(&upstream) {
            let runs = state.runs.iter().filter(|run_| run_.started_at_ms >= run.event_at_ms);
            busy[*domain] += runs.count() as f64 * service.service_ms as f64 / measured_ms;
            slots[*domain] += f64::from(state.slots);
        }
    }
    let used = busy.iter().zip(slots).filter(|(_, slots)| *slots > 0.0);
    1.0 - used.map(|(busy, slots)| busy / slots).fold(0.0, f64::max)
}
