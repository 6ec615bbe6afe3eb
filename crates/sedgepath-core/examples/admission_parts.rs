//! Compares admission with all of its mechanisms to variants with one mechanism disabled or changed.
//!
//! One node owns two upstreams with four slots each; requests take 100 ms unless a scenario says
//! otherwise, and deadlines are one second. The row `no trial` is the baseline without trial traffic.
//! Each row aggregates the runs of all seeds.
//!
//! `cargo run --example admission_parts [SEEDS]`

use sedgepath_core::egress::settings::{AdmissionSettings, Queueing};
use sedgepath_core::identity::NodeSettings;
use sedgepath_test_support::bed::TestBed;
use sedgepath_test_support::bed::upstreams::{FakeUpstream, WarmUp};
use sedgepath_test_support::load::{self, ClassStats, Load, LoadStats};
use sedgepath_test_support::records;
use serde_json::json;

/// The warm-up before the measurement, in milliseconds.
const WARM_UP_MS: u64 = 5_000;

const MEASURED_MS: u64 = 20_000;

const DEADLINE_MS: u64 = 1_000;

/// A load, and the upstreams that serve it.
struct Scenario {
    name: &'static str,
    paying_per_s: u64,
    paying_at_once: u64,
    trial_per_s: u64,
    /// The service time of a request in milliseconds.
    service_ms: u64,
    /// Whether a cold upstream joins after the warm-up.
    cold_upstream_joins: bool,
}

const ORDINARY: Scenario = Scenario {
    name: "ordinary: paying 40, trial 10 a second",
    paying_per_s: 40,
    paying_at_once: 1,
    trial_per_s: 10,
    service_ms: 100,
    cold_upstream_joins: false,
};

const SCENARIOS: [Scenario; 8] = [
    ORDINARY,
    Scenario {
        name: "1.3 of capacity: paying 52, trial 52",
        paying_per_s: 52,
        trial_per_s: 52,
        ..ORDINARY
    },
    Scenario {
        name: "trial at ten times capacity: paying 30, trial 800",
        paying_per_s: 30,
        trial_per_s: 800,
        ..ORDINARY
    },
    Scenario {
        name: "paying near capacity: paying 72, trial 40",
        paying_per_s: 72,
        trial_per_s: 40,
        ..ORDINARY
    },
    Scenario {
        name: "paying at 1.3 of capacity: paying 104",
        paying_per_s: 104,
        trial_per_s: 0,
        ..ORDINARY
    },
    Scenario {
        name: "long requests of 700 ms, 11 fit: paying 4, trial 40",
        paying_per_s: 4,
        trial_per_s: 40,
        service_ms: 700,
        ..ORDINARY
    },
    Scenario {
        name: "long requests, four paying at once: paying 4, trial 40",
        paying_per_s: 4,
        paying_at_once: 4,
        trial_per_s: 40,
        service_ms: 700,
        ..ORDINARY
    },
    Scenario {
        name: "a cold upstream joins: paying 72, trial 20",
        paying_per_s: 72,
        trial_per_s: 20,
        cold_upstream_joins: true,
        ..ORDINARY
    },
];

fn variants() -> Vec<(&'static str, AdmissionSettings)> {
    let all = AdmissionSettings::default();
    let queue = |paying_per_slot, others_per_slot| AdmissionSettings {
        queueing: Queueing::Bounded { paying_per_slot, others_per_slot },
        ..all
    };
    vec![
        ("all parts", all),
        ("no reserve", AdmissionSettings { reserve_for_paying: false, ..all }),
        ("no queue", AdmissionSettings { queueing: Queueing::Off, ..all }),
        ("unbounded queue", AdmissionSettings { queueing: Queueing::Unbounded, ..all }),
        ("queue 2/1 a slot", queue(2, 1)),
        ("queue 8/4 a slot", queue(8, 4)),
        ("no ramp", AdmissionSettings { warm_up: false, ..all }),
    ]
}

fn run(scenario: &Scenario, admission: AdmissionSettings, seed: u64) -> LoadStats {
    let service_ms = scenario.service_ms;
    let settings = NodeSettings { seed, admission, ..NodeSettings::default() };
    let mut bed = load::single_service_bed_with(
        seed,
        1,
        &[("u1", 4, service_ms), ("u2", 4, service_ms)],
        settings,
    );
    let load = Load {
        seed,
        paying_per_s: scenario.paying_per_s,
        paying_burst: scenario.paying_at_once,
        trial_per_s: scenario.trial_per_s,
        deadline_ms: DEADLINE_MS,
    };
    load::run(&mut bed, load, WARM_UP_MS);
    if scenario.cold_upstream_joins {
        add_cold_upstream(&mut bed);
    }
    load::run(&mut bed, load, MEASURED_MS)
}

/// Adds a third upstream, which starts with one of eight slots and warms up in ten seconds.
fn add_cold_upstream(bed: &mut TestBed) {
    let upstream = |name: &str, slots: u32| {
        json!({
            "name": name, "domain": "a", "address": "127.0.0.1:9", "slots": slots,
            "cold_slots": if name == "u3" { 1 } else { slots }, "warm_up_ms": 10_000,
        })
    };
    let upstreams = [upstream("u1", 4), upstream("u2", 4), upstream("u3", 8)];
    let body = json!({ "longest_deadline_ms": 10_000, "upstreams": upstreams });
    bed.write_records(&[records::record(1, "service", "s", &body)]);
    let warm_up = Some(WarmUp { initial_slots: 1, duration_ms: 10_000 });
    let cold_upstream =
        FakeUpstream { slows_when_full: true, warm_up, ..FakeUpstream::new(8, 100) };
    bed.upstreams.add("u3", cold_upstream);
}

fn merge_stats(sum: &mut ClassStats, stats: ClassStats) {
    sum.sent += stats.sent;
    sum.answered += stats.answered;
    sum.in_time += stats.in_time;
    sum.response_ms.extend(stats.response_ms);
    sum.rejection_ms.extend(stats.rejection_ms);
}

fn percentile(times_ms: &mut [u64], percent: usize) -> u64 {
    times_ms.sort_unstable();
    let last = times_ms.len().saturating_sub(1);
    times_ms.get(last * percent / 100).copied().unwrap_or(0)
}

fn percent_of(count: usize, total: usize) -> f64 {
    if total == 0 { 100.0 } else { count as f64 * 100.0 / total as f64 }
}

fn main() {
    let seeds = std::env::args().nth(1).and_then(|text| text.parse().ok()).unwrap_or(10);
    println!("{seeds} seeds of {} s each", MEASURED_MS / 1_000);
    for scenario in &SCENARIOS {
        println!("\n{}", scenario.name);
        println!(
            "{:<18}{:>8}{:>8}{:>10}{:>12}{:>10}{:>12}{:>12}",
            "", "p50 ms", "p99 ms", "in time %", "trial %", "refused", "refusal p99", "slowest ms"
        );
        print_row(
            "no trial",
            &Scenario { trial_per_s: 0, ..*scenario },
            AdmissionSettings::default(),
            seeds,
        );
        for (name, admission) in variants() {
            print_row(name, scenario, admission, seeds);
        }
    }
}

fn print_row(name: &str, scenario: &Scenario, admission: AdmissionSettings, seeds: u64) {
    let (mut paying, mut trial) = (ClassStats::default(), ClassStats::default());
    let mut slowest_rejection_ms = 0;
    for seed in 1..=seeds {
        let stats = run(scenario, admission, seed);
        slowest_rejection_ms = slowest_rejection_ms.max(stats.slowest_rejection_ms);
        merge_stats(&mut paying, stats.paying);
        merge_stats(&mut trial, stats.trial);
    }
    let mut rejections_ms = paying.rejection_ms;
    rejections_ms.extend(trial.rejection_ms);
    println!(
        "{name:<18}{:>8}{:>8}{:>10.2}{:>12.2}{:>10}{:>12}{slowest_rejection_ms:>12}",
        percentile(&mut paying.response_ms, 50),
        percentile(&mut paying.response_ms, 99),
        percent_of(paying.in_time, paying.sent),
        percent_of(trial.in_time, trial.sent),
        rejections_ms.len(),
        percentile(&mut rejections_ms, 99),
    );
}
