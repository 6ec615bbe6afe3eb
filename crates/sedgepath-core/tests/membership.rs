//! Membership: which nodes are known, suspected and removed, and how many datagrams that takes.

use sedgepath_core::key::VmKey;
use sedgepath_test_support::bed::faults::LinkEndpoint;
use sedgepath_test_support::bed::{NodeIndex, TestBed};
use sedgepath_test_support::records;

const DOMAINS: [&str; 8] = ["d0", "d1", "d2", "d3", "d4", "d5", "d6", "d7"];

/// The time in which a new system discovers all of its members.
const DISCOVERY_TIME_MS: u64 = 6_000;

/// Creates a system whose members know each other; node `d * members + m` is member `m` of domain
/// `d`.
fn bed(seed: u64, domains: usize, members: usize) -> TestBed {
    let mut bed = TestBed::new(seed);
    bed.write_records(&[
        records::places(&[("region", &DOMAINS[..domains])]),
        records::service("browse", 1_000, &[]),
    ]);
    for domain in &DOMAINS[..domains] {
        for member in 0..members {
            bed.add_node(&format!("{domain}-{member}"), domain);
        }
    }
    bed.run_for(DISCOVERY_TIME_MS);
    bed
}

/// Returns the names of the VMs that a node considers to accept work, itself included.
fn vms_accepting_work(bed: &TestBed, node: NodeIndex) -> Vec<String> {
    let node = bed.node(node).expect("a running node");
    let own = std::iter::once(&node.outbox().identity().descriptor);
    let members = node.membership().members();
    let others = members
        .iter()
        .filter(|(_, member)| member.accepts_work())
        .map(|(_, member)| &member.descriptor);
    let mut names: Vec<_> = own
        .chain(others)
        .filter(|descriptor| !descriptor.leaving)
        .map(|descriptor| descriptor.name.to_string())
        .collect();
    names.sort();
    names
}

/// Returns the number of suspicions in the log.
fn suspicion_count(bed: &TestBed) -> usize {
    bed.log().iter().filter(|(_, entry)| &*entry.event == "member_suspect").count()
}

fn partition_domains(
    bed: &mut TestBed,
    first: std::ops::Range<usize>,
    second: std::ops::Range<usize>,
) {
    for a in first {
        for b in second.clone() {
            bed.faults.cut(LinkEndpoint::Node(a), LinkEndpoint::Node(b));
        }
    }
}

/// Guards against suspecting a live member because of one broken link: the third member answers
/// probes about it.
#[test]
fn a_broken_link_between_two_members_causes_no_suspicion() {
    let mut bed = bed(1, 1, 3);
    bed.faults.cut_one_way(LinkEndpoint::Node(0), LinkEndpoint::Node(1));
    bed.run_for(10_000);
    assert_eq!(suspicion_count(&bed), 0, "one way");
    bed.faults.cut(LinkEndpoint::Node(0), LinkEndpoint::Node(1));
    bed.run_for(10_000);
    assert_eq!(suspicion_count(&bed), 0, "both ways");
    assert_eq!(vms_accepting_work(&bed, 0), ["d0-0", "d0-1", "d0-2"]);
    assert_eq!(vms_accepting_work(&bed, 1), ["d0-0", "d0-1", "d0-2"]);
}

/// Guards against indirect reports that keep a dead member alive, and against members that are
/// never removed although the platform's list omits them.
#[test]
fn a_dead_member_is_suspected_by_all_and_removed_once_unlisted() {
    let mut bed = bed(2, 3, 3);
    let died_at_ms = bed.now_ms();
    bed.kill(0);
    for _ in 0..50 {
        bed.run_for(100);
        for node in 1..9 {
            let members = bed.node(node).expect("running").membership();
            let dead = members.member(VmKey::of("d0-0")).expect("still known");
            assert!(
                dead.last_heard_at_ms <= died_at_ms + 5,
                "node {node} heard from it after it was killed"
            );
        }
    }
    for node in 1..9 {
        assert_eq!(vms_accepting_work(&bed, node).len(), 8, "node {node}");
    }
    bed.set_node_listed(0, false);
    bed.run_for(70_000);
    let removal_count =
        bed.log().iter().filter(|(_, entry)| &*entry.event == "member_gone").count();
    assert_eq!(removal_count, 8);
    for node in 1..9 {
        let members = bed.node(node).expect("running").membership().members();
        assert_eq!(members.len(), 7, "node {node}");
    }
}

/// Guards against removing a live member because the platform's list, which may lag, omits it.
#[test]
fn a_live_unlisted_member_is_kept() {
    let mut bed = bed(3, 2, 2);
    bed.set_node_listed(0, false);
    bed.run_for(70_000);
    for node in 1..4 {
        assert!(vms_accepting_work(&bed, node).contains(&"d0-0".to_owned()), "node {node}");
    }
}

/// Guards against datagrams other than summaries whose number grows with the number of domains.
#[test]
fn datagrams_per_node_grow_with_domains_only_by_summaries() {
    let sent_per_s = |domains: usize| {
        let mut bed = bed(4, domains, 4);
        let sent = |bed: &TestBed| (0..4).map(|node| bed.traffic(node).sent).max().unwrap_or(0);
        let before = sent(&bed);
        bed.run_for(20_000);
        (sent(&bed) - before) / 20
    };
    let (with_two, with_eight) = (sent_per_s(2), sent_per_s(8));
    // Three peers receive four heartbeats a second. For each other domain two summaries a second
    // arrive, which are forwarded to three peers, and two are sent.
    assert!(with_two >= 12, "{with_two}");
    assert!(with_eight <= 12 + 7 * 2 * 4, "{with_eight} with eight domains, {with_two} with two");
}

/// Guards against look-ups that return unreachable VMs during a partition between domains, and
/// against members that stay unknown after it.
#[test]
fn a_partitioned_domain_is_known_again_after_healing() {
    let mut bed = bed(5, 3, 2);
    partition_domains(&mut bed, 0..2, 2..6);
    bed.run_for(6_000);
    assert_eq!(vms_accepting_work(&bed, 0), ["d0-0", "d0-1"]);
    assert_eq!(vms_accepting_work(&bed, 5), ["d1-0", "d1-1", "d2-0", "d2-1"]);
    bed.run_for(300_000);
    bed.faults.heal_all();
    bed.run_for(5_000);
    for node in 0..6 {
        assert_eq!(vms_accepting_work(&bed, node).len(), 6, "node {node}");
    }
}

/// Guards against suspecting live members when a relay dies and its summaries are missing.
#[test]
fn a_dead_relay_causes_no_other_suspicion() {
    for killed in 0..3 {
        let mut bed = bed(6, 2, 3);
        bed.kill(killed);
        bed.run_for(20_000);
        assert_eq!(suspicion_count(&bed), 5, "node {killed} is suspected once by each live node");
        for node in (0..6).filter(|node| *node != killed) {
            assert_eq!(vms_accepting_work(&bed, node).len(), 5, "node {node}");
        }
    }
}

/// Guards against datagram loss and duplication that make nodes omit live members from look-ups for
/// more than 1 % of the time.
#[test]
fn datagram_loss_and_duplication_rarely_hide_members() {
    let mut bed = bed(7, 3, 3);
    bed.faults.loss_percent = 20;
    bed.faults.duplicate_percent = 10;
    let (mut checks, mut complete) = (0, 0);
    for _ in 0..300 {
        bed.run_for(1_000);
        for node in 0..9 {
            checks += 1;
            complete += usize::from(vms_accepting_work(&bed, node).len() == 9);
        }
    }
    assert!(complete * 100 >= checks * 99, "{complete} of {checks}");
    bed.faults.loss_percent = 0;
    bed.run_for(5_000);
    assert!((0..9).all(|node| vms_accepting_work(&bed, node).len() == 9));
}

/// Guards against a planned leave that is announced only with the next heartbeat or summary instead
/// of immediately.
#[test]
fn a_planned_leave_is_announced_immediately() {
    for seed in 0..10 {
        let mut bed = bed(seed, 3, 2);
        bed.stop(0);
        bed.run_for(100);
        for node in 1..6 {
            assert!(
                !vms_accepting_work(&bed, node).contains(&"d0-0".to_owned()),
                "node {node}, seed {seed}"
            );
        }
    }
}

/// Guards against a new VM that stays unknown to other nodes because the platform's list does not
/// contain it yet.
#[test]
fn an_unlisted_newcomer_is_known_to_all() {
    let mut bed = bed(8, 3, 3);
    let newcomer = bed.add_node("d1-new", "d1");
    bed.set_node_listed(newcomer, false);
    bed.run_for(2_000);
    for node in 0..10 {
        assert_eq!(vms_accepting_work(&bed, node).len(), 10, "node {node}");
    }
}
