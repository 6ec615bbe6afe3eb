//! Statistics of a variant in a scenario, over all seeds.

use std::net::IpAddr;

use sedgepath_core::request::{Class, Outcome};
use sedgepath_test_support::bed::CallResult;
use sedgepath_test_support::records;
use sedgepath_test_support::traffic_shift::ShiftMeasurement;

use crate::deployment::{DOMAINS, Deployment, NODES, REGIONS, WINDOW_MS};
use crate::scenario::{DEADLINE_MS, Run};

/// The weights of the classes in the score: paying, trial, guest.
pub const CLASS_WEIGHTS: [f64; 3] = [3.0, 2.0, 1.0];

/// Statistics of a variant in a scenario.
#[derive(Debug, Default, Clone)]
pub struct VariantStats {
    response_ms: [Vec<u64>; 3],
    requests: [f64; 3],
    in_time: [f64; 3],
    rejection_ms: Vec<u64>,
    other_outcomes: f64,
    min_headroom: Option<f64>,
    max_drain_ms: u64,
    max_shift_percent: f64,
    peak_load: f64,
}

impl VariantStats {
    /// Adds the results of a run.
    pub fn add_run(&mut self, run: &Run) {
        let measured = run.bed.calls().iter().filter(|call| call.sent_at_ms >= run.event_at_ms);
        for call in measured {
            let class = class_index(call.head.key_digest);
            let took_ms = call.ended_at_ms - call.sent_at_ms + 2 * run.deployment.client_latency_ms;
            self.requests[class] += 1.0;
            match &call.result {
                CallResult::Answered { .. } => {
                    self.response_ms[class].push(took_ms);
                    self.in_time[class] += f64::from(u8::from(took_ms <= DEADLINE_MS));
                }
                CallResult::Concluded(Outcome::NotRun { .. }) => self.rejection_ms.push(took_ms),
                _ => self.other_outcomes += 1.0,
            }
        }
        self.max_drain_ms = self.max_drain_ms.max(drain_ms(run));
        self.max_shift_percent = self.max_shift_percent.max(max_shift_percent(run));
        self.peak_load = self.peak_load.max(peak_load(run));
        let headroom = headroom(run);
        self.min_headroom =
            Some(self.min_headroom.map_or(headroom, |minimum| minimum.min(headroom)));
    }

    /// Adds the statistics of other seeds.
    pub fn merge(&mut self, other: Self) {
        for class in 0..3 {
            self.response_ms[class].extend(&other.response_ms[class]);
            self.requests[class] += other.requests[class];
            self.in_time[class] += other.in_time[class];
        }
        self.rejection_ms.extend(other.rejection_ms);
        self.other_outcomes += other.other_outcomes;
        self.max_drain_ms = self.max_drain_ms.max(other.max_drain_ms);
        self.max_shift_percent = self.max_shift_percent.max(other.max_shift_percent);
        self.peak_load = self.peak_load.max(other.peak_load);
        let min_headroom =
            [self.min_headroom, other.min_headroom].into_iter().flatten().fold(1.0, f64::min);
        self.min_headroom = Some(min_headroom);
    }

    /// Formats a row of the table.
    pub fn table_row(mut self, name: &str) -> String {
        let requests: f64 = self.requests.iter().sum();
        let weighted = |counts: &[f64; 3]| -> f64 {
            counts.iter().zip(CLASS_WEIGHTS).map(|(count, weight)| count * weight).sum()
        };
        let in_time = 100.0 * weighted(&self.in_time) / weighted(&self.requests);
        let paying = 100.0 * self.in_time[0] / self.requests[0];
        let latencies: Vec<_> =
            self.response_ms.iter_mut().map(|times| median_and_p99(times)).collect();
        let rejected_percent = 100.0 * self.rejection_ms.len() as f64 / requests;
        let drain_ms =
            if self.max_drain_ms > 0 { self.max_drain_ms.to_string() } else { "-".to_owned() };
        format!(
            "| {name:<17} | {:>9} | {:>9} | {:>9} | {in_time:>6.2} | {paying:>6.2} | {rejected_percent:>6.2} | {:>8} \
             | {:>5.2} | {:>8.2} | {drain_ms:>5} | {:>5.1} | {:>4.2} |",
            latencies[0],
            latencies[1],
            latencies[2],
            median_and_p99(&mut self.rejection_ms),
            100.0 * self.other_outcomes / requests,
            self.min_headroom.unwrap_or_default(),
            self.max_shift_percent,
            self.peak_load,
        )
    }
}

/// The heading of the table.
pub const TABLE_HEADING: &str = "\
| policy            | paying ms | trial ms  | guest ms  | score  | paying | ref. % | ref. ms  | oth % | headroom | drain | moved | peak |\n\
|-------------------|-----------|-----------|-----------|--------|--------|--------|----------|-------|----------|-------|-------|------|";

fn median_and_p99(times: &mut [u64]) -> String {
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

/// Returns the time from the event to the end of the last request that the drained domain started,
/// in milliseconds, or 0 if nothing was drained.
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

/// Returns the maximum percentage of an origin group's traffic that shifted in a window, for the
/// first service, with a rounding of one request per node.
fn max_shift_percent(run: &Run) -> f64 {
    let service = run.deployment.services[0];
    let domains = service.domains();
    let shift_percent = |origin: usize| {
        let measurement = ShiftMeasurement {
            service: service.name,
            is_origin: |source, origin| matches!(source, IpAddr::V4(source) if usize::from(source.octets()[1]) == origin),
            origin,
            domains: &domains,
            initial_shares: &Deployment::shares(origin),
            window_ms: WINDOW_MS,
            start_ms: run.started_at_ms,
            rounding_requests: NODES as f64,
        };
        measurement.max_shift_percent(&run.bed)
    };
    (0..REGIONS).map(shift_percent).fold(0.0, f64::max)
}

/// Returns the maximum number of concurrent requests at an upstream as a fraction of its slots.
fn peak_load(run: &Run) -> f64 {
    let peaks = run.bed.upstreams.iter();
    peaks
        .map(|(_, state)| f64::from(state.peak_in_flight) / f64::from(state.slots))
        .fold(0.0, f64::max)
}

/// Returns the average fraction of free slots in the busiest failure domain, for the first service.
fn headroom(run: &Run) -> f64 {
    let service = run.deployment.services[0];
    let domains = service.domains();
    let measured_ms = (run.bed.now_ms() - run.event_at_ms) as f64;
    let mut busy = [0.0; DOMAINS];
    let mut slots = [0.0; DOMAINS];
    for (upstream, state) in run.bed.upstreams.iter().filter(|(_, state)| !state.unreachable) {
        if let Some(domain) = domains.get(&upstream) {
            let runs = state.runs.iter().filter(|run_| run_.started_at_ms >= run.event_at_ms);
            busy[*domain] += runs.count() as f64 * service.service_ms as f64 / measured_ms;
            slots[*domain] += f64::from(state.slots);
        }
    }
    let utilization = busy.iter().zip(slots).filter(|(_, slots)| *slots > 0.0);
    1.0 - utilization.map(|(busy, slots)| busy / slots).fold(0.0, f64::max)
}
