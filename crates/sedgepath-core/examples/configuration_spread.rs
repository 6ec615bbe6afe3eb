//! Measures how fast configuration changes propagate, and their cost for the platform and the nodes.
//!
//! Node cores run on a test bed in five failure domains, with a one-way latency of 20 ms between
//! domains and 2 ms to the platform. An operator submits changes to one node after another; the time
//! until a change is in force at all nodes is measured from its acceptance. Prints a row per system
//! size. The seeds are fixed, so runs are reproducible.

use std::net::{IpAddr, Ipv4Addr};

use sedgepath_core::configuration::change::{ChangeOutcome, ChangeRequest};
use sedgepath_core::event::LookUp;
use sedgepath_test_support::bed::{TestBed, Traffic};
use sedgepath_test_support::records::{self, UpstreamSpec};

const DOMAINS: [&str; 5] = ["a", "b", "c", "d", "e"];
const NODES_PER_DOMAIN: [usize; 4] = [2, 8, 20, 40];
const CHANGES: u32 = 20;
const STEP_MS: u64 = 10;
const MAX_PROPAGATION_MS: u64 = 20_000;
const IDLE_MS: u64 = 10_000;

fn main() {
    println!(
        "nodes  reads/s  in force p50 ms  max ms  fetches/node/change  fetched bytes/node/change"
    );
    for nodes_per_domain in NODES_PER_DOMAIN {
        measure(nodes_per_domain);
    }
}

fn measure(nodes_per_domain: usize) {
    let mut bed = TestBed::new(nodes_per_domain as u64);
    bed.faults.domain_latency_ms = 20;
    let upstreams: Vec<_> = DOMAINS
        .iter()
        .map(|domain| UpstreamSpec::new(&format!("up-{domain}"), domain, 4))
        .collect();
    bed.write_records(&[
        records::places(&[("north", &["a", "b", "c"]), ("south", &["d", "e"])]),
        records::service("browse", 5_000, &upstreams),
        steering(0),
    ]);
    for domain in DOMAINS {
        for number in 0..nodes_per_domain {
            bed.add_node(&format!("{domain}-{number}"), domain);
        }
    }
    bed.run_for(10_000);
    let before = total_traffic(&bed);
    bed.run_for(IDLE_MS);
    let reads = total_traffic(&bed).table_reads - before.table_reads;
    let before = total_traffic(&bed);
    let mut times_ms: Vec<_> =
        (1..=CHANGES).map(|change| propagation_ms(&mut bed, change)).collect();
    let after = total_traffic(&bed);
    times_ms.sort_unstable();
    let node_changes = (bed.node_count() as u64 * u64::from(CHANGES)) as f64;
    println!(
        "{:>5}  {:>7.1}  {:>15}  {:>6}  {:>19.2}  {:>25.0}",
        bed.node_count(),
        reads as f64 * 1_000.0 / IDLE_MS as f64,
        times_ms[times_ms.len() / 2],
        times_ms[times_ms.len() - 1],
        (after.fetches - before.fetches) as f64 / node_changes,
        (after.fetched_bytes - before.fetched_bytes) as f64 / node_changes,
    );
}

fn steering(change: u32) -> sedgepath_core::record::RawRecord {
    let weight = 1.0 + f64::from(change);
    records::steering("browse", &[("a", weight), ("d", 1.0)], 100.0, 10_000)
}

/// Submits a change and returns the time from its acceptance until it is in force at all nodes, in
/// milliseconds.
fn propagation_ms(bed: &mut TestBed, change: u32) -> u64 {
    let request = ChangeRequest {
        change_id: format!("{change}").into(),
        records: vec![steering(change)],
        expected_revision: None,
        note: Box::default(),
    };
    let reply = bed.request_change(change as usize % bed.node_count(), request);
    let revision = loop {
        bed.run_for(1);
        match bed.change_outcome(reply) {
            None => {}
            Some(ChangeOutcome::Accepted { revision }) => break *revision,
            Some(other) => panic!("{other:?}"),
        }
    };
    let accepted_ms = bed.now_ms();
    while !(0..bed.node_count()).all(|node| revision_in_force(bed, node) >= revision) {
        bed.run_for(STEP_MS);
        assert!(
            bed.now_ms() < accepted_ms + MAX_PROPAGATION_MS,
            "revision {revision} does not propagate"
        );
    }
    bed.now_ms() - accepted_ms
}

fn revision_in_force(bed: &mut TestBed, node: usize) -> u64 {
    let source = IpAddr::V4(Ipv4Addr::LOCALHOST);
    let look_up = LookUp { service: "browse".into(), source, revision_seen: 0 };
    bed.look_up(node, &look_up).map_or(0, |answer| answer.revision)
}

fn total_traffic(bed: &TestBed) -> Traffic {
    let mut sum = Traffic::default();
    for node in 0..bed.node_count() {
        let traffic = bed.traffic(node);
        sum.table_reads += traffic.table_reads;
        sum.fetches += traffic.fetches;
        sum.fetched_bytes += traffic.fetched_bytes;
    }
    sum
}
