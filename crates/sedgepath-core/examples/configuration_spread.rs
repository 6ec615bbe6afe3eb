//! How a change of the configuration spreads, and what it costs the platform and the nodes.
//!
//! Node cores run on the bed under its clock: five failure domains, one way between them 20 ms, one
//! way to the platform 2 ms. An operator asks one node after another for a change; the time until it
//! is in force at all nodes is counted from its acceptance, in steps of the bed's clock. Prints a
//! row for each size. Fixed seeds, so a run repeats itself.

use std::net::{IpAddr, Ipv4Addr};

use sedgepath_core::configuration::change::{ChangeOutcome, ChangeRequest};
use sedgepath_core::event::LookUp;
use sedgepath_test_support::bed::{Bed, Traffic};
use sedgepath_test_support::records::{self, UpstreamSpec};

const DOMAINS: [&str; 5] = ["a", "b", "c", "d", "e"];
const NODES_EACH: [usize; 4] = [2, 8, 20, 40];
const CHANGES: u32 = 20;
const STEP_MS: u64 = 10;
const LIMIT_MS: u64 = 20_000;
const STEADY_MS: u64 = 10_000;

fn main() {
    println!(
        "nodes  reads/s  in force p50 ms  max ms  fetches/node/change  fetched bytes/node/change"
    );
    for each in NODES_EACH {
        measure(each);
    }
}

fn measure(each: usize) {
    let mut bed = Bed::new(each as u64);
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
        for number in 0..each {
            bed.add_node(&format!("{domain}-{number}"), domain);
        }
    }
    bed.run_for(10_000);
    let before = total(&bed);
    bed.run_for(STEADY_MS);
    let reads = total(&bed).table_reads - before.table_reads;
    let before = total(&bed);
    let mut spread_ms: Vec<_> = (1..=CHANGES).map(|change| spread(&mut bed, change)).collect();
    let after = total(&bed);
    spread_ms.sort_unstable();
    let per = (bed.node_count() as u64 * u64::from(CHANGES)) as f64;
    println!(
        "{:>5}  {:>7.1}  {:>15}  {:>6}  {:>19.2}  {:>25.0}",
        bed.node_count(),
        reads as f64 * 1_000.0 / STEADY_MS as f64,
        spread_ms[spread_ms.len() / 2],
        spread_ms[spread_ms.len() - 1],
        (after.fetches - before.fetches) as f64 / per,
        (after.fetched_bytes - before.fetched_bytes) as f64 / per,
    );
}

fn steering(change: u32) -> sedgepath_core::record::RawRecord {
    let weight = 1.0 + f64::from(change);
    records::steering("browse", &[("a", weight), ("d", 1.0)], 100.0, 10_000)
}

/// Makes a change and returns the time from its acceptance until it is in force at all nodes, in
/// milliseconds.
fn spread(bed: &mut Bed, change: u32) -> u64 {
    let request = ChangeRequest {
        change_id: format!("{change}").into(),
        records: vec![steering(change)],
        expected_revision: None,
        note: Box::default(),
    };
    let reply = bed.change(change as usize % bed.node_count(), request);
    let revision = loop {
        bed.run_for(1);
        match bed.change_outcome(reply) {
            None => {}
            Some(ChangeOutcome::Accepted { revision }) => break *revision,
            Some(other) => panic!("{other:?}"),
        }
    };
    let accepted_ms = bed.now_ms();
    while !(0..bed.node_count()).all(|node| in_force(bed, node) >= revision) {
        bed.run_for(STEP_MS);
        assert!(bed.now_ms() < accepted_ms + LIMIT_MS, "revision {revision} does not spread");
    }
    bed.now_ms() - accepted_ms
}

fn in_force(bed: &mut Bed, node: usize) -> u64 {
    let source = IpAddr::V4(Ipv4Addr::LOCALHOST);
    let look_up = LookUp { service: "browse".into(), source, revision_seen: 0 };
    bed.look_up(node, &look_up).map_or(0, |answer| answer.revision)
}

fn total(bed: &Bed) -> Traffic {
    let mut sum = Traffic::default();
    for node in 0..bed.node_count() {
        let traffic = bed.traffic(node);
        sum.table_reads += traffic.table_reads;
        sum.fetches += traffic.fetches;
        sum.fetched_bytes += traffic.fetched_bytes;
    }
    sum
}
