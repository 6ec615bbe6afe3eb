//! Who serves where, as look-ups, the time line and the counts of datagrams show it.

use sedgepath_core::key::VmKey;
use sedgepath_test_support::bed::faults::Place;
use sedgepath_test_support::bed::{Bed, NodeIndex};
use sedgepath_test_support::records;

const DOMAINS: [&str; 8] = ["d0", "d1", "d2", "d3", "d4", "d5", "d6", "d7"];

/// The time in which a fresh system has found all of its members.
const SETTLED_MS: u64 = 6_000;

/// Returns a settled bed; node `d * members + m` is member `m` of domain `d`.
fn bed(seed: u64, domains: usize, members: usize) -> Bed {
    let mut bed = Bed::new(seed);
    bed.write_records(&[
        records::places(&[("region", &DOMAINS[..domains])]),
        records::service("browse", 1_000, &[]),
    ]);
    for domain in &DOMAINS[..domains] {
        for member in 0..members {
            bed.add_node(&format!("{domain}-{member}"), domain);
        }
    }
    bed.run_for(SETTLED_MS);
    bed
}

/// Returns the VMs that a node holds for serving, of which it names some to callers.
fn named(bed: &Bed, node: NodeIndex) -> Vec<String> {
    let node = bed.node(node).expect("a node that runs");
    let own = std::iter::once(&node.outbox().identity().card);
    let members = node.membership().members();
    let others =
        members.iter().filter(|(_, member)| member.accepts_work()).map(|(_, member)| &member.card);
    let mut named: Vec<_> =
        own.chain(others).filter(|card| !card.leaving).map(|card| card.name.to_string()).collect();
    named.sort();
    named
}

/// Returns how often members were suspected, by the time line.
fn suspicions(bed: &Bed) -> usize {
    bed.log().iter().filter(|(_, entry)| &*entry.event == "member_suspect").count()
}

fn cut_domains(bed: &mut Bed, one: std::ops::Range<usize>, other: std::ops::Range<usize>) {
    for a in one {
        for b in other.clone() {
            bed.faults.cut(Place::Node(a), Place::Node(b));
        }
    }
}

/// Two of three members of a domain stop hearing each other; the third hears both. Callers must go
/// on being sent to all three, since each of them serves: before either is suspected, the third is
/// asked. One way is cut first, then both.
#[test]
fn a_cut_link_between_two_members_makes_neither_suspect() {
    let mut bed = bed(1, 1, 3);
    bed.faults.cut_one_way(Place::Node(0), Place::Node(1));
    bed.run_for(10_000);
    assert_eq!(suspicions(&bed), 0, "one way");
    bed.faults.cut(Place::Node(0), Place::Node(1));
    bed.run_for(10_000);
    assert_eq!(suspicions(&bed), 0, "both ways");
    assert_eq!(named(&bed, 0), ["d0-0", "d0-1", "d0-2"]);
    assert_eq!(named(&bed, 1), ["d0-0", "d0-1", "d0-2"]);
}

/// A member is killed. Its domain and the others go on telling each other of it, but never as
/// heard of after its death, so that all suspect it; look-ups then leave it out. Once the
/// platform's list lacks it too, all forget it, since VMs are replaced every day.
#[test]
fn a_dead_member_is_suspected_by_all_and_forgotten_once_unlisted() {
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
                "node {node} heard it after its death"
            );
        }
    }
    for node in 1..9 {
        assert_eq!(named(&bed, node).len(), 8, "node {node}");
    }
    bed.list_node(0, false);
    bed.run_for(70_000);
    let gone = bed.log().iter().filter(|(_, entry)| &*entry.event == "member_gone").count();
    assert_eq!(gone, 8);
    for node in 1..9 {
        let members = bed.node(node).expect("running").membership().members();
        assert_eq!(members.len(), 7, "node {node}");
    }
}

/// The platform's list lacks a live member for longer than a dead one is remembered; callers must
/// go on being sent there, since the list lags and a live heartbeat counts more.
#[test]
fn a_live_member_that_the_list_lacks_is_kept() {
    let mut bed = bed(3, 2, 2);
    bed.list_node(0, false);
    bed.run_for(70_000);
    for node in 1..4 {
        assert!(named(&bed, node).contains(&"d0-0".to_owned()), "node {node}");
    }
}

/// Eight domains exchange what two do over the same links. What a node sends inside its domain stays
/// the same, and for each further domain it adds one summary and its share of passing it on.
#[test]
fn datagrams_of_a_node_grow_with_domains_by_summaries_alone() {
    let sent_per_s = |domains: usize| {
        let mut bed = bed(4, domains, 4);
        let sent = |bed: &Bed| (0..4).map(|node| bed.traffic(node).sent).max().unwrap_or(0);
        let before = sent(&bed);
        bed.run_for(20_000);
        (sent(&bed) - before) / 20
    };
    let (two, eight) = (sent_per_s(2), sent_per_s(8));
    // Three peers at four heartbeats a second. Two summaries a second and domain arrive and are
    // passed on to three peers, and as many are sent; the four members share this unevenly.
    assert!(two >= 12, "{two}");
    assert!(eight <= 12 + 7 * 2 * 4, "{eight} with eight domains, {two} with two");
}

/// All links between one failure domain and the others are cut. Both sides send callers only to
/// what they can reach, and learn of each other again after the cut, without any restart.
#[test]
fn a_domain_that_was_cut_off_is_known_again() {
    let mut bed = bed(5, 3, 2);
    cut_domains(&mut bed, 0..2, 2..6);
    bed.run_for(6_000);
    assert_eq!(named(&bed, 0), ["d0-0", "d0-1"]);
    assert_eq!(named(&bed, 5), ["d1-0", "d1-1", "d2-0", "d2-1"]);
    bed.run_for(300_000);
    bed.faults.heal_all();
    bed.run_for(5_000);
    for node in 0..6 {
        assert_eq!(named(&bed, node).len(), 6, "node {node}");
    }
}

/// Each member of a domain is killed in turn, the two relays among them. Members of the other
/// domain must not be suspected for want of summaries, and the dead one must be, everywhere.
#[test]
fn the_death_of_a_relay_hides_no_other_member() {
    for killed in 0..3 {
        let mut bed = bed(6, 2, 3);
        bed.kill(killed);
        bed.run_for(20_000);
        assert_eq!(suspicions(&bed), 5, "after the death of {killed}: once by each survivor");
        for node in (0..6).filter(|node| *node != killed) {
            assert_eq!(named(&bed, node).len(), 5, "node {node}");
        }
    }
}

/// A fifth of all datagrams is lost and a tenth arrives twice for five minutes. Callers may be kept
/// from a live member for a moment at most: every node names all members at 99 of 100 moments.
#[test]
fn lost_and_repeated_datagrams_hide_hardly_any_member() {
    let mut bed = bed(7, 3, 3);
    bed.faults.loss_percent = 20;
    bed.faults.repeat_percent = 10;
    let (mut moments, mut whole) = (0, 0);
    for _ in 0..300 {
        bed.run_for(1_000);
        for node in 0..9 {
            moments += 1;
            whole += usize::from(named(&bed, node).len() == 9);
        }
    }
    assert!(whole * 100 >= moments * 99, "{whole} of {moments}");
    bed.faults.loss_percent = 0;
    bed.run_for(5_000);
    assert!((0..9).all(|node| named(&bed, node).len() == 9));
}

/// A member is asked to stop. Within a tenth of a second no node sends callers there any more: the
/// word goes out at once, not with the next heartbeat or summary.
#[test]
fn a_planned_leave_is_known_at_once() {
    for seed in 0..10 {
        let mut bed = bed(seed, 3, 2);
        bed.stop(0);
        bed.run_for(100);
        for node in 1..6 {
            assert!(!named(&bed, node).contains(&"d0-0".to_owned()), "node {node}, seed {seed}");
        }
    }
}

/// A VM starts that the platform's list does not name yet. It pings what the list names, and within
/// two seconds all nodes send callers to it and it knows them all.
#[test]
fn a_newcomer_that_is_not_listed_is_known_to_all() {
    let mut bed = bed(8, 3, 3);
    let newcomer = bed.add_node("d1-new", "d1");
    bed.list_node(newcomer, false);
    bed.run_for(2_000);
    for node in 0..10 {
        assert_eq!(named(&bed, node).len(), 10, "node {node}");
    }
}
