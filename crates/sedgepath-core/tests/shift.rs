//! Shift caps: in any window at most the cap's share of an origin group's traffic moves.
//!
//! The oracle (`sedgepath_test_support::traffic_shift`) compares the upstreams' logs with the callers', and
//! allows a rounding error of one request per node and window.

use std::net::{IpAddr, Ipv4Addr};

use sedgepath_core::explain::ExplainRequest;
use sedgepath_core::key::UpstreamKey;
use sedgepath_test_support::bed::faults::LinkEndpoint;
use sedgepath_test_support::bed::upstreams::FakeUpstream;
use sedgepath_test_support::bed::{CallResult, NodeIndex, TestBed};
use sedgepath_test_support::records::{self, UpstreamSpec};
use sedgepath_test_support::traffic_shift::ShiftMeasurement;
use serde_json::json;

const DOMAINS: [&str; 6] = ["low-a", "low-b", "pied-a", "pied-b", "gulf-a", "gulf-b"];
const ORIGINS: [&str; 2] = ["coast", "hills"];
const SHARES: [[f64; 6]; 2] = [[0.3, 0.3, 0.1, 0.1, 0.1, 0.1], [0.05, 0.05, 0.4, 0.4, 0.05, 0.05]];
const CAP_PERCENT: f64 = 10.0;
const WINDOW_MS: u64 = 4_000;
const CALL_EVERY_MS: u64 = 2;
const UPSTREAMS_PER_DOMAIN: usize = 3;
const NODES: usize = 10;

/// Short, so that a restarted owner soon uses its upstreams again: the oracle cannot attribute
/// traffic that is rejected during a change.
const LONGEST_DEADLINE_MS: u64 = 500;

fn steering(
    shares: [[f64; 6]; 2],
    failover_percent: Option<f64>,
) -> sedgepath_core::record::RawRecord {
    let groups: Vec<_> = ORIGINS
        .iter()
        .zip(shares)
        .map(|(origin, shares)| {
            let shares: Vec<_> = DOMAINS
                .iter()
                .zip(shares)
                .map(|(domain, weight)| json!({ "domain": domain, "weight": weight }))
                .collect();
            json!({ "origin": origin, "shares": shares })
        })
        .collect();
    let cap = |percent| json!({ "percent": percent, "window_ms": WINDOW_MS });
    let mut body = json!({ "groups": groups, "cap": cap(CAP_PERCENT) });
    if let Some(percent) = failover_percent {
        body["failover_cap"] = cap(percent);
    }
    records::record(2, "steering", "browse", &body)
}

struct Scenario {
    bed: TestBed,
    started_at_ms: u64,
    sent_calls: usize,
    /// The standing shares at each call, as reported by the called node.
    standing_shares: Vec<Vec<f64>>,
}

impl Scenario {
    fn new(seed: u64) -> Self {
        let mut bed = TestBed::new(seed);
        let mut upstreams = Vec::new();
        for domain in DOMAINS {
            for number in 0..UPSTREAMS_PER_DOMAIN {
                let name = format!("{domain}-{number}");
                upstreams.push(UpstreamSpec::new(&name, domain, 16));
                bed.upstreams.add(&name, FakeUpstream::new(16, 10));
            }
        }
        bed.write_records(&[
            records::places(&[
                ("lowcountry", &["low-a", "low-b"]),
                ("piedmont", &["pied-a", "pied-b"]),
                ("gulfside", &["gulf-a", "gulf-b"]),
            ]),
            records::service("browse", LONGEST_DEADLINE_MS, &upstreams),
            steering(SHARES, None),
            records::record(
                1,
                "clients",
                "clients",
                &json!({ "blocks": [
                    { "block": "10.0.0.0/16", "origin": "coast" },
                    { "block": "10.1.0.0/16", "origin": "hills" },
                ]}),
            ),
        ]);
        for index in 0..NODES {
            bed.add_node(&format!("n{index}"), DOMAINS[index % DOMAINS.len()]);
        }
        bed.run_for(5_000);
        let started_at_ms = bed.now_ms();
        let mut scenario = Self { bed, started_at_ms, sent_calls: 0, standing_shares: Vec::new() };
        scenario.run_windows(3, &[]);
        scenario
    }

    /// Sends traffic for a number of windows to the given nodes, or to all nodes if none are given.
    fn run_windows(&mut self, windows: u64, nodes: &[NodeIndex]) {
        for _ in 0..windows * WINDOW_MS / CALL_EVERY_MS {
            let source =
                Ipv4Addr::new(10, (self.sent_calls % 2) as u8, 0, (self.sent_calls % 251) as u8);
            let step = self.sent_calls / 2;
            let node = match nodes {
                [] => step * 7 % NODES,
                nodes => nodes[step % nodes.len()],
            };
            let head = sedgepath_core::request::RequestHead {
                source: IpAddr::V4(source),
                ..self.bed.request_head("browse")
            };
            if self.bed.is_running(node) {
                self.bed.call(node, head);
                self.standing_shares.push(self.standing_shares_at(node, source));
            }
            self.sent_calls += 1;
            self.bed.run_for(CALL_EVERY_MS);
        }
    }

    /// Returns a node's standing shares for a caller's origin group.
    fn standing_shares_at(&self, node: NodeIndex, source: Ipv4Addr) -> Vec<f64> {
        let request = ExplainRequest {
            service: "browse".into(),
            source: IpAddr::V4(source),
            key_digest: None,
        };
        let node = self.bed.node(node).expect("a running node");
        let candidates = node.explain(&request).candidates;
        let share_of = |domain: &&str| {
            let candidate = candidates.iter().find(|candidate| *candidate.domain == **domain);
            candidate.and_then(|candidate| candidate.standing).unwrap_or(0.0)
        };
        DOMAINS.iter().map(share_of).collect()
    }

    /// Kills all nodes and upstreams of a failure domain.
    fn kill_domain(&mut self, domain: usize) {
        for index in (0..NODES).filter(|index| index % DOMAINS.len() == domain) {
            self.bed.kill(index);
        }
        for number in 0..UPSTREAMS_PER_DOMAIN {
            self.bed.upstreams.get(&format!("{}-{number}", DOMAINS[domain])).unreachable = true;
        }
    }

    fn follow<T>(&self, origin: usize, read: impl Fn(&ShiftMeasurement<'_>) -> T) -> T {
        let domains = (0..DOMAINS.len() * UPSTREAMS_PER_DOMAIN)
            .map(|index| (index / UPSTREAMS_PER_DOMAIN, index % UPSTREAMS_PER_DOMAIN))
            .map(|(domain, number)| {
                (UpstreamKey::of(&format!("{}-{number}", DOMAINS[domain])), domain)
            })
            .collect();
        read(&ShiftMeasurement {
            service: "browse",
            is_origin: |source, origin| matches!(source, IpAddr::V4(source) if usize::from(source.octets()[1]) == origin),
            origin,
            domains: &domains,
            initial_shares: &SHARES[origin],
            window_ms: WINDOW_MS,
            start_ms: self.started_at_ms,
            rounding_requests: NODES as f64,
        })
    }

    /// Returns the largest share, in percent, that moved between two windows beyond rounding.
    fn max_moved_percent(&self) -> f64 {
        let moved = |origin| self.follow(origin, |followed| followed.max_shift_percent(&self.bed));
        (0..ORIGINS.len()).map(moved).fold(0.0, f64::max)
    }

    /// Returns the largest moved share in percent, attributing rejected traffic to the nodes'
    /// standing shares.
    fn max_moved_percent_from_standing(&self) -> f64 {
        let moved = |origin| {
            self.follow(origin, |followed| {
                followed.max_shift_percent_from_splits(&self.standing_shares, &self.bed)
            })
        };
        (0..ORIGINS.len()).map(moved).fold(0.0, f64::max)
    }

    fn last_shares(&self, origin: usize) -> Vec<f64> {
        self.follow(origin, |followed| followed.last_shares(&self.bed))
    }

    /// Returns the fraction of the requests sent since a time that received a response.
    fn response_fraction_since(&self, from_ms: u64) -> f64 {
        let sent_calls: Vec<_> =
            self.bed.calls().iter().filter(|call| call.sent_at_ms >= from_ms).collect();
        let with_response =
            sent_calls.iter().filter(|call| matches!(call.result, CallResult::Answered { .. }));
        with_response.count() as f64 / sent_calls.len() as f64
    }

    fn assert_within_cap(&self, cap_percent: f64) {
        let moved_percent = self.max_moved_percent();
        assert!(
            moved_percent <= cap_percent,
            "{moved_percent:.1} % of the traffic moved in a window"
        );
        self.assert_standing_within_cap(cap_percent);
    }

    fn assert_standing_within_cap(&self, cap_percent: f64) {
        let moved_percent = self.max_moved_percent_from_standing();
        assert!(
            moved_percent <= cap_percent,
            "{moved_percent:.1} % of the standing traffic moved in a window"
        );
    }
}

/// Guards against a planned change that exceeds the cap, causes rejections or misses its target
/// shares.
#[test]
fn a_planned_change_moves_within_the_cap() {
    let mut scenario = Scenario::new(1);
    let from_ms = scenario.bed.now_ms();
    let new_shares = [0.05, 0.05, 0.3, 0.3, 0.15, 0.15];
    scenario.bed.write_records(&[steering([new_shares, SHARES[1]], None)]);
    scenario.run_windows(12, &[]);
    scenario.assert_within_cap(CAP_PERCENT);
    assert!(
        scenario.response_fraction_since(from_ms) > 0.999,
        "{}",
        scenario.response_fraction_since(from_ms)
    );
    let shares = scenario.last_shares(0);
    assert!(
        shares.iter().zip(new_shares).all(|(actual, expected)| (actual - expected).abs() < 0.03),
        "{shares:?}"
    );
}

/// Guards against a drain that moves traffic faster than the cap or never completes.
#[test]
fn a_drain_moves_within_the_cap() {
    let mut scenario = Scenario::new(2);
    let drain = json!({ "target": "domain", "active": true });
    scenario.bed.write_records(&[records::record(1, "drain", "low-a", &drain)]);
    scenario.run_windows(8, &[]);
    scenario.assert_within_cap(CAP_PERCENT);
    assert!(scenario.last_shares(0)[0] < 0.01);
    assert!(scenario.response_fraction_since(scenario.bed.now_ms() - WINDOW_MS) > 0.98);
}

/// Guards against failures of single upstreams that move traffic faster than the cap.
#[test]
fn dead_upstreams_move_no_more_than_the_cap() {
    let mut scenario = Scenario::new(3);
    for number in 0..UPSTREAMS_PER_DOMAIN {
        scenario.bed.upstreams.get(&format!("low-a-{number}")).unreachable = true;
        scenario.run_windows(3, &[]);
    }
    scenario.assert_within_cap(CAP_PERCENT);
}

/// Guards against a failover of a domain that exceeds the cap or never completes.
#[test]
fn a_failed_domain_moves_within_the_cap() {
    let mut scenario = Scenario::new(4);
    scenario.kill_domain(0);
    scenario.run_windows(9, &[]);
    scenario.assert_within_cap(CAP_PERCENT);
    assert!(scenario.response_fraction_since(scenario.bed.now_ms() - WINDOW_MS) > 0.98);
}

/// Guards against a failover of two domains at once that exceeds the cap or never completes.
#[test]
fn a_failed_region_moves_within_the_cap() {
    let mut scenario = Scenario::new(5);
    scenario.kill_domain(0);
    scenario.kill_domain(1);
    scenario.run_windows(14, &[]);
    scenario.assert_within_cap(CAP_PERCENT);
    assert!(scenario.response_fraction_since(scenario.bed.now_ms() - WINDOW_MS) > 0.98);
}

/// Guards against spill from full upstreams, and its return, that exceed the cap.
#[test]
fn spill_moves_no_more_than_the_cap() {
    let mut scenario = Scenario::new(6);
    for round in 0..4 {
        for number in 0..UPSTREAMS_PER_DOMAIN {
            scenario.bed.upstreams.get(&format!("low-a-{number}")).rejects_requests =
                round % 2 == 0;
            scenario.bed.upstreams.get(&format!("pied-b-{number}")).rejects_requests =
                round % 2 == 1;
        }
        scenario.run_windows(2, &[]);
    }
    scenario.assert_within_cap(CAP_PERCENT);
}

/// Guards against moves beyond the cap when callers change entry VMs during a shift, because nodes
/// have different standing shares.
#[test]
fn callers_that_change_entry_vms_stay_within_the_cap() {
    let mut scenario = Scenario::new(7);
    let new_shares = [0.05, 0.05, 0.3, 0.3, 0.15, 0.15];
    scenario.bed.write_records(&[steering([new_shares, SHARES[1]], None)]);
    scenario.run_windows(3, &[1, 2, 3]);
    scenario.kill_domain(5);
    scenario.run_windows(3, &[4, 6, 7]);
    scenario.run_windows(3, &[1, 8, 9]);
    scenario.assert_within_cap(CAP_PERCENT);
}

/// Guards against a node that restarts during a shift and jumps to the record's shares instead of
/// taking its peers' standing shares.
#[test]
fn a_restarted_node_continues_from_its_peers_shares() {
    let mut scenario = Scenario::new(8);
    let new_shares = [0.05, 0.05, 0.3, 0.3, 0.15, 0.15];
    scenario.bed.write_records(&[steering([new_shares, SHARES[1]], None)]);
    scenario.run_windows(3, &[]);
    for node in [2, 3] {
        scenario.bed.kill(node);
        scenario.bed.start(node);
    }
    scenario.bed.run_for(1_000);
    scenario.run_windows(6, &[2, 3]);
    scenario.assert_within_cap(CAP_PERCENT);
}

/// Guards against moves beyond the cap when load reports become stale and members are suspected
/// during broken links, and when the links heal.
#[test]
fn stale_and_missing_reports_move_no_more_than_the_cap() {
    let mut scenario = Scenario::new(9);
    for round in 0..3 {
        for other in 1..NODES {
            scenario.bed.faults.cut_one_way(LinkEndpoint::Node(other), LinkEndpoint::Node(round));
        }
        scenario.run_windows(2, &[]);
        scenario.bed.faults.heal_all();
        scenario.run_windows(2, &[]);
    }
    scenario.assert_within_cap(CAP_PERCENT);
}

/// Guards against moves beyond the cap while nodes disagree about members during heavy datagram
/// loss.
#[test]
fn nodes_that_disagree_move_no_more_than_the_cap() {
    for seed in [10, 17, 22] {
        let mut scenario = Scenario::new(seed);
        scenario.bed.faults.loss_percent = 50;
        scenario.run_windows(4, &[]);
        scenario.kill_domain(3);
        scenario.run_windows(6, &[]);
        scenario.assert_standing_within_cap(CAP_PERCENT);
    }
}

/// Guards against a failover that ignores the record's separate failover cap.
#[test]
fn failover_uses_the_failover_cap() {
    let mut scenario = Scenario::new(11);
    scenario.bed.write_records(&[steering(SHARES, Some(30.0))]);
    scenario.run_windows(1, &[]);
    scenario.kill_domain(0);
    scenario.run_windows(4, &[]);
    scenario.assert_within_cap(30.0);
    assert!(scenario.max_moved_percent() > CAP_PERCENT);
    assert!(scenario.response_fraction_since(scenario.bed.now_ms() - WINDOW_MS) > 0.98);
}
