//! Prints the cost of request deduplication and the outcomes after a node is killed, for idempotency
//! keys (claims) and for tickets.
//!
//! Four node cores run in two failure domains; upstreams take about 30 ms per request, the table
//! 4 to 6 ms per operation. In the second table one node is killed halfway and stays down; callers
//! retry at the other nodes once per second for twenty seconds.

use std::net::{Ipv4Addr, SocketAddr};

use sedgepath_core::hash::Digest;
use sedgepath_core::request::{Deduplication, Outcome, RequestHead};
use sedgepath_test_support::bed::upstreams::FakeUpstream;
use sedgepath_test_support::bed::{CallIndex, CallResult, TestBed, guest_request};
use sedgepath_test_support::records::{self, UpstreamSpec};

const SEEDS: u64 = 10;
const LOAD_MS: u64 = 10_000;
const NODES: usize = 4;

fn main() {
    print_costs();
    print_outcomes_after_kill();
}

fn print_costs() {
    println!("table requests per claim and latency in milliseconds, {SEEDS} seeds");
    println!(
        "{:>10} {:>14} {:>14} {:>10} {:>12} {:>12}",
        "claims/s", "transactions", "transactions/s", "reads", "p50 p99", "tickets' own"
    );
    for per_s in [20, 100, 400, 1_000] {
        let (mut commits, mut reads, mut claims) = (0, 0, 0);
        let (mut latencies, mut ticket_latencies) = (Vec::new(), Vec::new());
        for seed in 0..SEEDS {
            let mut bed = bed(seed);
            let before = (bed.table_commits, bed.table_reads);
            let idle_reads = configuration_reads(seed);
            claims += run(&mut bed, false, per_s, None).len() as u64;
            commits += bed.table_commits - before.0;
            reads += (bed.table_reads - before.1).saturating_sub(idle_reads);
            latencies.extend(latencies_ms(&bed));
            let mut bed = self::bed(seed);
            run(&mut bed, true, per_s, None);
            ticket_latencies.extend(latencies_ms(&bed));
        }
        let per_claim = |count: u64| count as f64 / claims as f64;
        let commits_per_s = per_claim(commits) * per_s as f64;
        println!(
            "{per_s:>10} {:>14.3} {commits_per_s:>14.0} {:>10.3} {:>12} {:>12}",
            per_claim(commits),
            per_claim(reads),
            percentiles(latencies),
            percentiles(ticket_latencies)
        );
    }
}

fn print_outcomes_after_kill() {
    println!("\nends after the kill of one node of four, {SEEDS} seeds, 200 requests/s");
    println!(
        "{:>10} {:>10} {:>10} {:>10} {:>10}",
        "path", "requests", "answered", "not run", "unknown"
    );
    for tickets in [false, true] {
        let mut counts = [0; 3];
        for seed in 0..SEEDS {
            let mut bed = bed(seed);
            for call in run(&mut bed, tickets, 200, Some(LOAD_MS / 2)) {
                counts[outcome_column(&bed.calls()[call].result)] += 1;
            }
            assert!(bed.upstreams.runs_by_key().values().all(|runs| *runs == 1), "a second run");
        }
        let path = if tickets { "tickets" } else { "claims" };
        let total: u32 = counts.iter().sum();
        println!("{path:>10} {total:>10} {:>10} {:>10} {:>10}", counts[0], counts[1], counts[2]);
    }
}

/// Returns the latencies of the calls with a response, in milliseconds.
fn latencies_ms(bed: &TestBed) -> Vec<u64> {
    let answered =
        bed.calls().iter().filter(|call| matches!(call.result, CallResult::Answered { .. }));
    answered.map(|call| call.ended_at_ms - call.sent_at_ms).collect()
}

fn percentiles(mut values: Vec<u64>) -> String {
    values.sort_unstable();
    let at = |percent: usize| values[(values.len() - 1) * percent / 100];
    format!("{} {}", at(50), at(99))
}

/// Returns the column in which a result is counted.
fn outcome_column(result: &CallResult) -> usize {
    match result {
        CallResult::Answered { .. } | CallResult::Concluded(Outcome::Repeated(_)) => 0,
        CallResult::Concluded(Outcome::NotRun { .. }) => 1,
        _ => 2,
    }
}

fn bed(seed: u64) -> TestBed {
    let mut bed = TestBed::new(seed);
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

/// Returns the number of table reads by configuration in the same time without requests.
fn configuration_reads(seed: u64) -> u64 {
    let mut bed = bed(seed);
    let before = bed.table_reads;
    bed.run_for(LOAD_MS + 20_000);
    bed.table_reads - before
}

/// Sends a load, retries requests without a response, and returns the last call of each request.
fn run(bed: &mut TestBed, tickets: bool, per_s: u64, kill_at_ms: Option<u64>) -> Vec<CallIndex> {
    let mut latest = Vec::new();
    let mut attempts = Vec::new();
    for number in 0..LOAD_MS * per_s / 1_000 {
        let at_ms = number * 1_000 / per_s;
        let node = number as usize % NODES;
        let started_ms = bed.now_ms();
        if kill_at_ms.is_some_and(|kill_at_ms| kill_at_ms <= at_ms) && bed.node(0).is_some() {
            bed.kill(0);
        }
        let node = if bed.node(node).is_some() { node } else { 1 };
        let deduplication = if tickets {
            Deduplication::Ticket(bed.mint_tickets(node, "deposit", 1)[0])
        } else {
            Deduplication::Key(Digest::of(&[&number.to_le_bytes()]))
        };
        latest.push(send_call(bed, node, deduplication, 1));
        attempts.push(1);
        let next_ms = (number + 1) * 1_000 / per_s;
        bed.run_for(next_ms - at_ms + started_ms - bed.now_ms());
    }
    for _ in 0..20 {
        bed.run_for(1_000);
        for (last, attempt) in latest.iter_mut().zip(&mut attempts) {
            let CallResult::Answered { .. } = bed.calls()[*last].result else {
                if outcome_column(&bed.calls()[*last].result) != 0 {
                    *attempt += 1;
                    let deduplication = bed.calls()[*last].head.deduplication;
                    *last = send_call(bed, 1 + *last % (NODES - 1), deduplication, *attempt);
                }
                continue;
            };
        }
    }
    bed.run_for(1_000);
    latest
}

fn send_call(
    bed: &mut TestBed,
    node: usize,
    deduplication: Deduplication,
    attempt: u32,
) -> CallIndex {
    let digest = Digest::of(&[format!("{deduplication:?}").as_bytes()]);
    let head = guest_request("deposit", bed.now_ms() + 2_000);
    bed.call(node, RequestHead { deduplication, attempt, idempotent: false, digest, ..head })
}
