//! No upstream runs more than its slots while members of its failure domain are cut off from each
//! other, paused, killed, restarted, added or stopped; and whole upstreams are used again afterwards.
//!
//! Load from a node of another failure domain always exceeds all slots, so that any slot that a node
//! believes to be free is filled. Upstreams don't refuse what is too much; they count it.

use std::net::{IpAddr, Ipv4Addr};

use sedgepath_core::hash::Digest;
use sedgepath_core::identity::NodeSettings;
use sedgepath_core::request::{Deduplication, RequestHead};
use sedgepath_test_support::bed::faults::Place;
use sedgepath_test_support::bed::upstreams::FakeUpstream;
use sedgepath_test_support::bed::{Bed, NodeIndex};
use sedgepath_test_support::records::{self, UpstreamSpec};

/// Four upstreams of which each of three members owns one at least.
const UPSTREAMS: [&str; 4] = ["u0", "u2", "u4", "u6"];
const SLOTS: u32 = 4;

/// D: the longest deadline. It is longer than T, so that a promise without it would be too short.
const LONGEST_DEADLINE_MS: u64 = 4_000;

/// The time that a request takes at an upstream, give or take a fifth; with a pause of half a second
/// before it is sent it never exceeds the longest deadline.
const SERVICE_MS: u64 = 2_900;

/// 2T + D with the default settings, and some more until the grants are there and all slots filled.
const SETTLED_MS: u64 = 9_000;

/// After which silence an unlisted member is forgotten; shorter than by default, to keep runs short.
const FORGET_AFTER_MS: u64 = 15_000;

/// The node outside the failure domain that all load comes from.
const CALLER: NodeIndex = 0;

/// Members `1..=members` of one failure domain with four upstreams, settled.
fn bed(seed: u64, members: usize) -> Bed {
    let settings = NodeSettings { forget_after_ms: FORGET_AFTER_MS, ..NodeSettings::default() };
    let mut bed = Bed::new(seed).with_settings(settings);
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
    load(&mut bed, SETTLED_MS);
    bed
}

/// Calls four times in every 20 ms.
fn load(bed: &mut Bed, duration_ms: u64) {
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

/// Returns the highest number of requests that an upstream ran at once.
fn peak(bed: &Bed) -> u32 {
    bed.upstreams.iter().map(|(_, upstream)| upstream.peak_in_flight).max().unwrap_or(0)
}

/// Applies load and returns the share of all slots that it filled, in percent of the time.
fn used_percent(bed: &mut Bed, duration_ms: u64) -> u64 {
    let mut sum = 0;
    let steps = duration_ms / 20;
    for _ in 0..steps {
        load(bed, 20);
        sum += bed.upstreams.iter().map(|(_, upstream)| u64::from(upstream.in_flight)).sum::<u64>();
    }
    sum * 100 / (steps * u64::from(SLOTS) * UPSTREAMS.len() as u64)
}

/// Asserts that no upstream ever ran too much and that all slots are in use again.
fn assert_safe_and_whole(bed: &mut Bed, what: &str) {
    assert!(peak(bed) <= SLOTS, "{what}: {} in flight at once", peak(bed));
    let used = used_percent(bed, 8_000);
    assert!(used >= 90, "{what}: only {used}% of the slots are used in the end");
    assert!(peak(bed) <= SLOTS, "{what}: {} in flight at once in the end", peak(bed));
}

/// The owner of upstreams is killed while these are full. What it had started runs on; the others
/// don't know whether it is dead or cut off, so its upstreams must wait until its right and its
/// requests are surely over, and its part stays idle until the platform's list lacks it.
#[test]
fn a_killed_owner_leaves_no_upstream_with_too_much() {
    for killed in 1..=3 {
        let mut bed = bed(killed as u64, 3);
        bed.kill(killed);
        load(&mut bed, 14_000);
        let used = used_percent(&mut bed, 8_000);
        assert!((55..=72).contains(&used), "two of three parts are used, not {used}%");
        bed.list_node(killed, false);
        load(&mut bed, 9_000);
        assert_safe_and_whole(&mut bed, "killed");
    }
}

/// A member is killed and starts again at once, or later. Its last boot's requests run on at its
/// upstreams and it remembers neither them nor its promises.
#[test]
fn a_restarted_member_counts_what_its_last_boot_left() {
    for (seed, down_ms) in [20, 300, 1_000, 3_000, 9_000].into_iter().enumerate() {
        let mut bed = bed(seed as u64, 3);
        bed.kill(1);
        load(&mut bed, down_ms);
        bed.start(1);
        load(&mut bed, 14_000);
        assert_safe_and_whole(&mut bed, "restarted");
    }
}

/// The only VM of a failure domain is killed and starts again at once: no other member can tell it
/// anything, and what its last boot started is still running.
#[test]
fn a_lone_restarted_member_counts_what_its_last_boot_left() {
    let mut bed = bed(1, 1);
    bed.kill(1);
    bed.run_for(20);
    bed.start(1);
    load(&mut bed, 14_000);
    assert_safe_and_whole(&mut bed, "lone");
}

/// Two members stop hearing each other while the third hears both: each of the two could take the
/// other for dead and serve its upstreams as well. One way is cut, then both; in the end all heals.
#[test]
fn members_that_cannot_hear_each_other_share_the_slots() {
    for seed in 0..4 {
        let mut bed = bed(seed, 2 + seed as usize % 2);
        bed.faults.cut_one_way(Place::Node(1), Place::Node(2));
        load(&mut bed, 14_000);
        assert!(peak(&bed) <= SLOTS, "one way cut: {} in flight", peak(&bed));
        bed.faults.cut(Place::Node(1), Place::Node(2));
        load(&mut bed, 14_000);
        let used = used_percent(&mut bed, 8_000);
        assert!(used >= 90, "the parts add up to the slots, yet only {used}% are used");
        bed.faults.heal_all();
        load(&mut bed, 7_000);
        assert_safe_and_whole(&mut bed, "cut");
    }
}

/// A member is paused while it holds the right to its upstreams, for longer than that right lasts,
/// and wakes with calls waiting; further, each of its decisions to send is held up for half a
/// second. The others have taken over meanwhile, so it must neither decide nor send by the old right.
#[test]
fn a_paused_member_wakes_without_its_right() {
    for (seed, paused_ms) in [800, 1_600, 3_000, 6_000, 12_000].into_iter().enumerate() {
        let mut bed = bed(seed as u64, 3);
        bed.faults.pause_before_send_ms = 500;
        load(&mut bed, 2_000);
        bed.pause(1);
        load(&mut bed, paused_ms);
        bed.wake(1);
        load(&mut bed, 14_000);
        bed.faults.pause_before_send_ms = 0;
        load(&mut bed, 5_000);
        assert_safe_and_whole(&mut bed, "paused");
    }
}

/// Each decision to send is held up for longer than any right lasts. None may be carried out: what was
/// true at the decision need not be true any more. Callers hear that nothing was sent.
#[test]
fn a_decision_that_is_held_up_for_too_long_is_not_carried_out() {
    let mut bed = bed(1, 3);
    bed.faults.pause_before_send_ms = 1_600;
    load(&mut bed, 2_000);
    let runs = |bed: &Bed| bed.upstreams.iter().map(|(_, u)| u.runs.len()).sum::<usize>();
    let before = runs(&bed);
    load(&mut bed, 10_000);
    assert_eq!(runs(&bed), before);
}

/// Members join and leave as planned under load, so that upstreams change owners while they are
/// full: the next owner must leave free what the last one still has in flight.
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
        bed.list_node(1, false);
        bed.stop(second);
        load(&mut bed, 16_000);
        assert!(bed.has_stopped(second) && bed.runs(third));
        bed.list_node(second, false);
        assert_safe_and_whole(&mut bed, "joined and left");
    }
}

/// Any of these at any moment, two and more at once, with a fifth of all datagrams lost and some
/// repeated; afterwards everything heals. Each seed is a run; `SEDGEPATH_SEEDS` asks for more of them.
#[test]
fn faults_in_any_order_leave_no_upstream_with_too_much() {
    let seeds = std::env::var("SEDGEPATH_SEEDS").ok().and_then(|seeds| seeds.parse().ok());
    for seed in 0..seeds.unwrap_or(20) {
        let mut bed = bed(seed, 3);
        let mut random = fastrand::Rng::with_seed(seed);
        bed.faults.loss_percent = 20;
        bed.faults.repeat_percent = 10;
        for _ in 0..40 {
            any_fault(&mut bed, &mut random);
            load(&mut bed, random.u64(20..3_000));
            assert!(peak(&bed) <= SLOTS, "seed {seed}: {} in flight", peak(&bed));
        }
        bed.faults.heal_all();
        bed.faults.loss_percent = 0;
        bed.faults.pause_before_send_ms = 0;
        for node in 1..bed.node_count() {
            bed.wake(node);
            if bed.node(node).is_none() && !bed.has_stopped(node) {
                bed.start(node);
            }
        }
        load(&mut bed, 20_000);
        for node in 1..bed.node_count() {
            bed.list_node(node, !bed.has_stopped(node));
        }
        load(&mut bed, 14_000);
        assert_safe_and_whole(&mut bed, &format!("seed {seed}"));
    }
}

fn any_fault(bed: &mut Bed, random: &mut fastrand::Rng) {
    let node = random.usize(1..bed.node_count());
    let other = random.usize(1..bed.node_count());
    match random.u32(0..10) {
        0 if bed.node(node).is_some() => bed.kill(node),
        1 | 2 if bed.node(node).is_none() && !bed.has_stopped(node) => bed.start(node),
        3 => bed.faults.cut_one_way(Place::Node(node), Place::Node(other)),
        4 => bed.faults.cut(Place::Node(node), Place::Node(other)),
        5 => bed.faults.heal_all(),
        6 => bed.pause(node),
        7 => bed.wake(node),
        8 => bed.faults.pause_before_send_ms = random.u64(0..500),
        9 if bed.node_count() < 6 => {
            let name = format!("late{}", bed.node_count());
            bed.add_node(&name, "near");
        }
        9 if node > 1 && bed.runs(node) => bed.stop(node),
        _ => {}
    }
}
