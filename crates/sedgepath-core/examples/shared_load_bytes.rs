//! Measures the messages by which VMs tell each other of the load at upstreams, in bytes per second on
//! the wire.
//!
//! Simulates one of three regions of a deployment in which every tenth VM has callers, with seven
//! requests per second for each VM.
//!
//! `cargo run --release -p sedgepath-core --example shared_load_bytes`

use std::time::Instant;

use sedgepath_core::direct::load_sharing::{
    LoadMessage, LoadSharing, SentReport, ShortIncarnationKey, UpstreamLoad,
};
use sedgepath_core::direct::steering::SteeringConfig;
use sedgepath_core::direct::upstreams::{IncarnationKey, UpstreamTable};
use sedgepath_test_support::direct::upstream_entry;
use sedgepath_test_support::load_fleet::{LoadFleet, LoadScenario};

/// The VMs of the deployment, those of the region, those of them with callers, and the upstreams.
const DEPLOYMENTS: [(u32, u8, u8, u8); 3] =
    [(10, 4, 2, 30), (100, 34, 4, 100), (300, 100, 10, 250)];

const REQUESTS_PER_S_AND_VM: f64 = 7.0;

const DURATION_MS: u64 = 10_000;

/// The upstreams in each message whose handling is timed, and the number of messages.
const TIMED_UPSTREAMS: u8 = 20;
const TIMED_MESSAGES: u32 = 100_000;

/// Returns the mean time in which a message is encoded, decoded and recorded, in microseconds.
fn handling_us() -> f64 {
    let mut upstreams = UpstreamTable::default();
    let entries = (0..TIMED_UPSTREAMS).map(|number| {
        let entry = upstream_entry(&format!("b{number}"), "north-a", number);
        let upstream = ShortIncarnationKey::of(IncarnationKey::of(&entry));
        upstreams.upsert(entry, "north", 0);
        let report =
            SentReport { in_flight: 1, running: 3, waiting: 2, pace_percent: 100, age_ms: 50 };
        UpstreamLoad { upstream, in_flight: 2, report: Some(report) }
    });
    let entries: Vec<_> = entries.collect();
    let mut sharing = LoadSharing::new(1);
    let started_at = Instant::now();
    for number in 1..=TIMED_MESSAGES {
        let upstream_loads = entries.clone();
        let message = LoadMessage { number, upstreams: upstream_loads, ..LoadMessage::default() };
        let bytes = postcard::to_stdvec(&message).expect("the message serializes");
        let message = postcard::from_bytes(&bytes).expect("the message deserializes");
        let from = ([10, 0, 0, (number % 8) as u8], 7_000).into();
        sharing.receive(from, &message, &mut upstreams, u64::from(number) * 20);
    }
    started_at.elapsed().as_secs_f64() * 1e6 / f64::from(TIMED_MESSAGES)
}

fn main() {
    println!(
        "| VMs | with callers in the region | a VM with callers, mean / busiest | region | bytes an entry, all included |"
    );
    println!("| --- | --- | --- | --- | --- |");
    for (total, vms, active, upstreams) in DEPLOYMENTS {
        let scenario = LoadScenario {
            vms,
            active,
            without_sharing: 0,
            upstreams,
            requests_per_s: f64::from(vms) * REQUESTS_PER_S_AND_VM,
            loss: 0.0,
            disordered: false,
            kill_at_ms: None,
            duration_ms: DURATION_MS,
            seed: 1,
        };
        let result = LoadFleet::run(scenario, SteeringConfig::default());
        let per_s = |bytes: u64| bytes * 1_000 / DURATION_MS;
        println!(
            "| {total} | {active} | {} / {} | {} | {} |",
            per_s(result.load_bytes) / u64::from(active),
            per_s(result.busiest_load_bytes),
            per_s(result.load_bytes),
            result.load_bytes / result.load_entries.max(1),
        );
    }
    println!(
        "a message of {TIMED_UPSTREAMS} upstreams, both ways: {:.1} microseconds",
        handling_us()
    );
}
