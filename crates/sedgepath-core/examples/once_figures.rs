//! Prints what once-only requests cost and what a kill leaves unknown, for both paths.
//!
//! Four node cores of two failure domains; upstreams take about 30 ms; the table answers in 4 to 6 ms.
//! In the second table one node is killed halfway and stays down; callers repeat through the other
//! nodes once a second, for twenty seconds.

use std::net::{Ipv4Addr, SocketAddr};

use sedgepath_core::hash::Digest;
use sedgepath_core::request::{Deduplication, Outcome, RequestHead};
use sedgepath_test_support::bed::upstreams::FakeUpstream;
use sedgepath_test_support::bed::{Bed, CallIndex, Seen, guest_request};
use sedgepath_test_support::records::{self, UpstreamSpec};

const SEEDS: u64 = 10;
const LOAD_MS: u64 = 10_000;
const NODES: usize = 4;

fn main() {
    print_costs();
    print_kills();
}

fn print_costs() {
    println!("table requests per claim and latency in milliseconds, {SEEDS} seeds");
    println!(
        "{:>10} {:>14} {:>14} {:>10} {:>12} {:>12}",
        "claims/s", "transactions", "transactions/s", "reads", "p50 p99", "tickets' own"
    );
    for per_s in [20, 100, 400, 1_000] {
        let (mut commits, mut reads, mut claims) = (0, 0, 0);
        let (mut latencies, mut of_tickets) = (Vec::new(), Vec::new());
        for seed in 0..SEEDS {
            let mut bed = bed(seed);
            let before = (bed.table_commits, bed.table_reads);
            let idle_reads = idle_reads(seed);
            claims += run(&mut bed, false, per_s, None).len() as u64;
            commits += bed.table_commits - before.0;
            reads += (bed.table_reads - before.1).saturating_sub(idle_reads);
            latencies.extend(latencies_ms(&bed));
            let mut bed = self::bed(seed);
            run(&mut bed, true, per_s, None);
            of_tickets.extend(latencies_ms(&bed));
        }
        let per_claim = |count: u64| count as f64 / claims as f64;
        let commits_per_s = per_claim(commits) * per_s as f64;
        println!(
            "{per_s:>10} {:>14.3} {commits_per_s:>14.0} {:>10.3} {:>12} {:>12}",
            per_claim(commits),
            per_claim(reads),
            percentiles(latencies),
            percentiles(of_tickets)
        );
    }
}

fn print_kills() {
    println!("\nends after the kill of one node of four, {SEEDS} seeds, 200 requests/s");
    println!(
        "{:>10} {:>10} {:>10} {:>10} {:>10}",
        "path", "requests", "answered", "not run", "unknown"
    );
    for tickets in [false, true] {
        let mut ends = [0; 3];
        for seed in 0..SEEDS {
            let mut bed = bed(seed);
            for call in run(&mut bed, tickets, 200, Some(LOAD_MS / 2)) {
                ends[end(&bed.calls()[call].seen)] += 1;
            }
            assert!(bed.upstreams.runs_by_key().values().all(|runs| *runs == 1), "a second run");
        }
        let path = if tickets { "tickets" } else { "claims" };
        let all: u32 = ends.iter().sum();
        println!("{path:>10} {all:>10} {:>10} {:>10} {:>10}", ends[0], ends[1], ends[2]);
    }
}

/// The times from the calls to their answers.
fn latencies_ms(bed: &Bed) -> Vec<u64> {
    let answered = bed.calls().iter().filter(|call| matches!(call.seen, Seen::Answered { .. }));
    answered.map(|call| call.seen_at_ms - call.asked_at_ms).collect()
}

fn percentiles(mut values: Vec<u64>) -> String {
    values.sort_unstable();
    let at = |percent: usize| values[(values.len() - 1) * percent / 100];
    format!("{} {}", at(50), at(99))
}

/// The place of an outcome in the table.
fn end(seen: &Seen) -> usize {
    match seen {
        Seen::Answered { .. } | Seen::Concluded(Outcome::Repeated(_)) => 0,
        Seen::Concluded(Outcome::NotRun { .. }) => 1,
        _ => 2,
    }
}

fn bed(seed: u64) -> Bed {
    let mut bed = Bed::new(seed);
    let upstream = |name: &str, domain: &str| UpstreamSpec {
        name: name.into(),
        domain: domain.into(),
        address: SocketAddr::from((Ipv4Addr::LOCALHOST, 9)),
        slots: 64,
    };
    bed.write_records(&[
        records::places(&[("north", &["north-a"]), ("south", &["south-a"])]),
        records::service("deposit", 5_000, &[upstream("d1", "north-a"), upstream("d2", "south-a")]),
        records::steering("deposit", &[("north-a", 1.0), ("south-a", 1.0)], 100.0, 10_000),
    ]);
    bed.upstreams.add("d1", FakeUpstream::new(64, 30));
    bed.upstreams.add("d2", FakeUpstream::new(64, 30));
    for (name, domain) in
        [("n1", "north-a"), ("n2", "north-a"), ("s1", "south-a"), ("s2", "south-a")]
    {
        bed.add_node(name, domain);
    }
    bed.run_for(20_000);
    bed
}

/// The readings of the table that configuration makes in the same time.
fn idle_reads(seed: u64) -> u64 {
    let mut bed = bed(seed);
    let before = bed.table_reads;
    bed.run_for(LOAD_MS + 20_000);
    bed.table_reads - before
}

/// Sends a load, lets callers repeat what they have no answer to, and returns their last requests.
fn run(bed: &mut Bed, tickets: bool, per_s: u64, kill_at_ms: Option<u64>) -> Vec<CallIndex> {
    let mut latest = Vec::new();
    let mut attempts = Vec::new();
    for number in 0..LOAD_MS * per_s / 1_000 {
        let at_ms = number * 1_000 / per_s;
        let node = number as usize % NODES;
        let begun_ms = bed.now_ms();
        if kill_at_ms.is_some_and(|kill_at_ms| kill_at_ms <= at_ms) && bed.node(0).is_some() {
            bed.kill(0);
        }
        let node = if bed.node(node).is_some() { node } else { 1 };
        let once = if tickets {
            Deduplication::Ticket(bed.mint(node, "deposit", 1)[0])
        } else {
            Deduplication::Key(Digest::of(&[&number.to_le_bytes()]))
        };
        latest.push(call(bed, node, once, 1));
        attempts.push(1);
        let next_ms = (number + 1) * 1_000 / per_s;
        bed.run_for(next_ms - at_ms + begun_ms - bed.now_ms());
    }
    for _ in 0..20 {
        bed.run_for(1_000);
        for (last, attempt) in latest.iter_mut().zip(&mut attempts) {
            let Seen::Answered { .. } = bed.calls()[*last].seen else {
                if end(&bed.calls()[*last].seen) != 0 {
                    *attempt += 1;
                    let once = bed.calls()[*last].head.deduplication;
                    *last = call(bed, 1 + *last % (NODES - 1), once, *attempt);
                }
                continue;
            };
        }
    }
    bed.run_for(1_000);
    latest
}

fn call(bed: &mut Bed, node: usize, once: Deduplication, attempt: u32) -> CallIndex {
    let digest = Digest::of(&[format!("{once:?}").as_bytes()]);
    let head = guest_request("deposit", bed.now_ms() + 2_000);
    bed.call(node, RequestHead { deduplication: once, attempt, idempotent: false, digest, ..head })
}
