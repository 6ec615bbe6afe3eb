//! Upstream leases: no upstream runs more requests than its slots, whatever faults occur, and all
//! slots are used again afterwards.
//!
//! Load from another failure domain always exceeds all slots, so every slot that a node believes to
//! be free is filled. Upstreams accept excess requests and count them.

use std::net::{IpAddr, Ipv4Addr};

use sedgepath_core::hash::Digest;
use sedgepath_core::identity::NodeSettings;
use sedgepath_core::request::{Deduplication, RequestHead};
use sedgepath_test_support::bed::faults::LinkEndpoint;
use sedgepath_test_support::bed::upstreams::FakeUpstream;
use sedgepath_test_support::bed::{NodeIndex, TestBed};
use sedgepath_test_support::records::{self, UpstreamSpec};

/// Upstreams chosen so that each of three members owns at least one.
const UPSTREAMS: [&str; 4] = ["u0", "u2", "u4", "u6"];
const SLOTS: u32 = 4;

/// D, the longest deadline; longer than T, so that a promise without D would be too short.
const LONGEST_DEADLINE_MS: u64 = 4_000;

/// The service time of an upstream, plus or minus a fifth; with a pause of half a second before
/// sending, a request still finishes within the longest deadline.
const SERVICE_MS: u64 = 2_900;

/// The time until all slots are in use: 2T + D with the default settings, plus time for the grants.
const SETTLING_TIME_MS: u64 = 9_000;

/// The silence after which an unlisted member is removed; shorter than the default to shorten the
/// tests.
const FORGET_AFTER_MS: u64 = 15_000;

/// The node of another failure domain that sends all load.
const CALLER: NodeIndex = 0;

/// Creates nodes `1..=members` of one failure domain with four upstreams, and applies load until
/// all slots are in use.
fn bed(seed: u64, members: usize) -> TestBed {
    let settings = NodeSettings { forget_after_ms: FORGET_AFTER_MS, ..NodeSettings::default() };
    let mut bed = TestBed::new(seed).with_settings(settings);
    let upstreams = UPSTREAMS.map(|name| UpstreamSpec::new(name, "near", SLOTS));
    bed.write_records(&[
        records::places(&[("region", &["near", "far"])]),
        records::service("browse", LONGEST_DEADLINE_MS, &upstreams),
        records::steering("browse", &[("near", 1.0)], 100.0, 10_000),
        records::organisations(&[("porch", "paying", "key")]),
    ]);
    for name in UPSTREAMS {
        bed.upstreams.add(name, FakeUpstream::new(SLOTS, SERVICE_MS));
    }
    bed.add_node("caller", "far");
    for member in 1..=members {
        bed.add_node(&format!("m{member}"), "near");
    }
    load(&mut bed, SETTLING_TIME_MS);
    bed
}

/// Sends four calls every 20 ms.
fn load(bed: &mut TestBed, duration_ms: u64) {
    let until_ms = bed.now_ms() + duration_ms;
    while bed.now_ms() < until_ms {
        for _ in 0..4 {
            let head = RequestHead {
                service: "browse".into(),
                source: IpAddr::V4(Ipv4Addr::LOCALHOST),
                key_digest: Some(records::key_digest("key")),
                deadline_at_ms: bed.now_ms() + LONGEST_DEADLINE_MS,
                deduplication: Deduplication::Repeatable,
                idempotent: false,
                digest: Digest::of(&[b"GET /"]),
                revision_seen: 0,
                forwarded_by: None,
                attempt: 1,
            };
            bed.call(CALLER, head);
        }
        bed.run_for(20);
    }
}

/// Returns the highest number of concurrent requests at any upstream.
fn max_in_flight(bed: &TestBed) -> u32 {
    bed.upstreams.iter().map(|(_, upstream)| upstream.peak_in_flight).max().unwrap_or(0)
}

/// Applies load and returns the average utilization of all slots in percent.
fn utilization_percent(bed: &mut TestBed, duration_ms: u64) -> u64 {
    let mut sum = 0;
    let steps = duration_ms / 20;
    for _ in 0..steps {
        load(bed, 20);
        sum += bed.upstreams.iter().map(|(_, upstream)| u64::from(upstream.in_flight)).sum::<u64>();
    }
    sum * 100 / (steps * u64::from(SLOTS) * UPSTREAMS.len() as u64)
}

/// Asserts that no upstream exceeded its slots and that almost all slots are in use again.
fn assert_within_slots_and_fully_used(bed: &mut TestBed, scenario: &str) {
    assert!(max_in_flight(bed) <= SLOTS, "{scenario}: {} in flight at once", max_in_flight(bed));
    let used = utilization_percent(bed, 8_000);
    assert!(used >= 90, "{scenario}: only {used}% of the slots are used in the end");
    assert!(
        max_in_flight(bed) <= SLOTS,
        "{scenario}: {} in flight at once in the end",
        max_in_flight(bed)
    );
}

/// Guards against members that use a dead owner's slots before its lease and requests have ended,
/// or its share before the platform's list omits it.
#[test]
fn a_killed_owner_overloads_no_upstream() {
    for killed in 1..=3 {
        let mut bed = bed(killed as u64, 3);
        bed.kill(killed);
        load(&mut bed, 14_000);
        let used = utilization_percent(&mut bed, 8_000);
        assert!((55..=72).contains(&used), "two of three shares should be used, not {used}%");
        bed.set_node_listed(killed, false);
        load(&mut bed, 9_000);
        assert_within_slots_and_fully_used(&mut bed, "killed");
    }
}

/// Guards against a restarted member that ignores requests and promises of its previous boot.
#[test]
fn a_restarted_member_counts_requests_of_its_previous_boot() {
    for (seed, down_ms) in [20, 300, 1_000, 3_000, 9_000].into_iter().enumerate() {
        let mut bed = bed(seed as u64, 3);
        bed.kill(1);
        load(&mut bed, down_ms);
        bed.start(1);
        load(&mut bed, 14_000);
        assert_within_slots_and_fully_used(&mut bed, "restarted");
    }
}

/// Guards against a restarted VM without peers that ignores running requests of its previous boot.
#[test]
fn a_lone_restarted_member_counts_requests_of_its_previous_boot() {
    let mut bed = bed(1, 1);
    bed.kill(1);
    bed.run_for(20);
    bed.start(1);
    load(&mut bed, 14_000);
    assert_within_slots_and_fully_used(&mut bed, "lone");
}

/// Guards against two partitioned members that both use an upstream's slots in full, and against
/// idle slots during the partition.
#[test]
fn partitioned_members_share_the_slots() {
    for seed in 0..4 {
        let mut bed = bed(seed, 2 + seed as usize % 2);
        bed.faults.cut_one_way(LinkEndpoint::Node(1), LinkEndpoint::Node(2));
        load(&mut bed, 14_000);
        assert!(max_in_flight(&bed) <= SLOTS, "one way cut: {} in flight", max_in_flight(&bed));
        bed.faults.cut(LinkEndpoint::Node(1), LinkEndpoint::Node(2));
        load(&mut bed, 14_000);
        let used = utilization_percent(&mut bed, 8_000);
        assert!(used >= 90, "the shares add up to the slots, but only {used}% are used");
        bed.faults.heal_all();
        load(&mut bed, 7_000);
        assert_within_slots_and_fully_used(&mut bed, "cut");
    }
}

/// Guards against a paused member that admits or sends requests with an expired lease when it
/// resumes, with half a second between decision and send.
#[test]
fn a_paused_member_resumes_without_its_lease() {
    for (seed, paused_ms) in [800, 1_600, 3_000, 6_000, 12_000].into_iter().enumerate() {
        let mut bed = bed(seed as u64, 3);
        bed.faults.upstream_send_delay_ms = 500;
        load(&mut bed, 2_000);
        bed.pause(1);
        load(&mut bed, paused_ms);
        bed.resume(1);
        load(&mut bed, 14_000);
        bed.faults.upstream_send_delay_ms = 0;
        load(&mut bed, 5_000);
        assert_within_slots_and_fully_used(&mut bed, "paused");
    }
}

/// Guards against sends after the decision's allowance has expired.
#[test]
fn an_expired_decision_is_not_sent() {
    let mut bed = bed(1, 3);
    bed.faults.upstream_send_delay_ms = 1_600;
    load(&mut bed, 2_000);
    let run_count = |bed: &TestBed| {
        bed.upstreams.iter().map(|(_, upstream)| upstream.runs.len()).sum::<usize>()
    };
    let count_before = run_count(&bed);
    load(&mut bed, 10_000);
    assert_eq!(run_count(&bed), count_before);
}

/// Guards against a new owner that uses slots in which the previous owner still has requests in
/// flight, after planned joins and leaves.
#[test]
fn upstreams_change_owners_by_join_and_leave() {
    for seed in 0..4 {
        let mut bed = bed(seed, 1);
        let second = bed.add_node("m2", "near");
        load(&mut bed, 14_000);
        let third = bed.add_node("m3", "near");
        load(&mut bed, 14_000);
        bed.stop(1);
        load(&mut bed, 16_000);
        assert!(bed.has_stopped(1));
        bed.set_node_listed(1, false);
        bed.stop(second);
        load(&mut bed, 16_000);
        assert!(bed.has_stopped(second) && bed.is_running(third));
        bed.set_node_listed(second, false);
        assert_within_slots_and_fully_used(&mut bed, "joined and left");
    }
}

/// Guards against overload by combinations of random faults, lost and duplicated datagrams.
/// `SEDGEPATH_SEEDS` sets the number of seeds, one run each.
#[test]
fn random_faults_overload_no_upstream() {
    let seeds = std::env::var("SEDGEPATH_SEEDS").ok().and_then(|seeds| seeds.parse().ok());
    for seed in 0..seeds.unwrap_or(20) {
        let mut bed = bed(seed, 3);
        let mut random = fastrand::Rng::with_seed(seed);
        bed.faults.loss_percent = 20;
        bed.faults.duplicate_percent = 10;
        for _ in 0..40 {
            inject_random_fault(&mut bed, &mut random);
            load(&mut bed, random.u64(20..3_000));
            assert!(max_in_flight(&bed) <= SLOTS, "seed {seed}: {} in flight", max_in_flight(&bed));
        }
        bed.faults.heal_all();
        bed.faults.loss_percent = 0;
        bed.faults.upstream_send_delay_ms = 0;
        for node in 1..bed.node_count() {
            bed.resume(node);
            if bed.node(node).is_none() && !bed.has_stopped(node) {
                bed.start(node);
            }
        }
        load(&mut bed, 20_000);
        for node in 1..bed.node_count() {
            bed.set_node_listed(node, !bed.has_stopped(node));
        }
        load(&mut bed, 14_000);
        assert_within_slots_and_fully_used(&mut bed, &format!("seed {seed}"));
    }
}

fn inject_random_fault(bed: &mut TestBed, random: &mut fastrand::Rng) {
    let node = random.usize(1..bed.node_count());
    let other = random.usize(1..bed.node_count());
    match random.u32(0..10) {
        0 if bed.node(node).is_some() => bed.kill(node),
        1 | 2 if bed.node(node).is_none() && !bed.has_stopped(node) => bed.start(node),
        3 => bed.faults.cut_one_way(LinkEndpoint::Node(node), LinkEndpoint::Node(other)),
        4 => bed.faults.cut(LinkEndpoint::Node(node), LinkEndpoint::Node(other)),
        5 => bed.faults.heal_all(),
        6 => bed.pause(node),
        7 => bed.resume(node),
        8 => bed.faults.upstream_send_delay_ms = random.u64(0..500),
        9 if bed.node_count() < 6 => {
            let name = format!("late{}", bed.node_count());
            bed.add_node(&name, "near");
        }
        9 if node > 1 && bed.is_running(node) => bed.stop(node),
        _ => {}
    }
}
