//! Replication of the configuration: an accepted revision reaches all nodes and is never reverted.
//!
//! The revision in force on a node is taken from its answers to look-ups.

use std::net::{IpAddr, Ipv4Addr};

use sedgepath_core::configuration::rows::RecordRow;
use sedgepath_core::configuration::store::{RecordChanges, RecordPosition, RecordStore};
use sedgepath_core::event::LookUp;
use sedgepath_test_support::bed::Bed;
use sedgepath_test_support::bed::faults::Place;
use sedgepath_test_support::records::{self, UpstreamSpec};

const DOMAINS: [&str; 3] = ["north-a", "north-b", "south-a"];

/// Writes the records of a service that all three failure domains serve.
fn write_first(bed: &mut Bed) {
    let upstreams = [UpstreamSpec::new("b1", "north-a", 4), UpstreamSpec::new("b2", "south-a", 4)];
    bed.write_records(&[
        records::places(&[("north", &["north-a", "north-b"]), ("south", &["south-a"])]),
        records::service("browse", 5_000, &upstreams),
    ]);
    write_share(bed, 1.0);
}

fn write_share(bed: &mut Bed, weight: f64) -> u64 {
    let shares = [("north-a", weight), ("south-a", 1.0)];
    bed.write_records(&[records::steering("browse", &shares, 100.0, 10_000)])
}

/// Adds `each` nodes to each of the first `domains` failure domains.
fn add_nodes(bed: &mut Bed, domains: usize, each: usize) {
    for domain in &DOMAINS[..domains] {
        for number in 0..each {
            bed.add_node(&format!("{domain}-{number}"), domain);
        }
    }
}

/// Returns the revision by which a node answers look-ups, or 0 if it rejects them.
fn in_force(bed: &mut Bed, node: usize) -> u64 {
    let look_up = LookUp {
        service: "browse".into(),
        source: IpAddr::V4(Ipv4Addr::LOCALHOST),
        revision_seen: 0,
    };
    let answer = bed.look_up(node, &look_up);
    answer.map_or(0, |answer| answer.revision)
}

fn all_in_force(bed: &mut Bed) -> Vec<u64> {
    (0..bed.node_count()).map(|node| in_force(bed, node)).collect()
}

fn table_reads(bed: &Bed) -> u64 {
    (0..bed.node_count()).map(|node| bed.traffic(node).table_reads).sum()
}

/// Only two readers per failure domain may poll the platform's head, or the load on the platform
/// would grow with the number of nodes.
#[test]
fn reads_at_the_platform_grow_with_domains_and_not_with_nodes() {
    let mut bed = Bed::new(1);
    write_first(&mut bed);
    add_nodes(&mut bed, 3, 10);
    bed.run_for(5_000);
    let before = table_reads(&bed);
    bed.run_for(10_000);
    let reads = table_reads(&bed) - before;
    assert!((50..=70).contains(&reads), "{reads} reads in 10 s by 30 nodes of 3 domains");
}

/// A failure domain that can't reach the platform must get a change from its peers in other domains.
#[test]
fn nodes_cut_off_from_the_platform_learn_a_change_from_peers() {
    let mut bed = Bed::new(2);
    write_first(&mut bed);
    add_nodes(&mut bed, 3, 4);
    bed.run_for(5_000);
    for node in 0..4 {
        bed.faults.cut(Place::Node(node), Place::Platform);
    }
    let revision = write_share(&mut bed, 3.0);
    bed.run_for(5_000);
    assert_eq!(all_in_force(&mut bed), vec![revision; 12]);
}

/// While the platform is down, nodes that restart must get the configuration from the only node that
/// kept running.
#[test]
fn all_nodes_but_one_restart_while_the_platform_is_down() {
    let mut bed = Bed::new(3);
    write_first(&mut bed);
    add_nodes(&mut bed, 3, 4);
    bed.run_for(5_000);
    let revision = write_share(&mut bed, 3.0);
    bed.run_for(5_000);
    bed.faults.platform_down = true;
    for node in 1..12 {
        bed.kill(node);
    }
    bed.run_for(500);
    for node in 1..12 {
        bed.start(node);
    }
    bed.run_for(5_000);
    assert_eq!(all_in_force(&mut bed), vec![revision; 12]);
}

/// A node that was partitioned during changes must catch up soon after the partition heals, and no
/// node's revision may ever decrease.
#[test]
fn a_node_cut_off_catches_up_within_seconds_of_its_return() {
    let mut bed = Bed::new(4);
    write_first(&mut bed);
    add_nodes(&mut bed, 3, 4);
    bed.run_for(5_000);
    bed.faults.cut(Place::Node(0), Place::Platform);
    for node in 1..12 {
        bed.faults.cut(Place::Node(0), Place::Node(node));
    }
    let mut seen = vec![0; 12];
    let mut newest = 0;
    for change in 0..100 {
        newest = write_share(&mut bed, 1.0 + f64::from(change));
        bed.run_for(100);
        let now = all_in_force(&mut bed);
        assert!(now.iter().zip(&seen).all(|(now, seen)| now >= seen), "{seen:?} then {now:?}");
        seen = now;
    }
    assert_eq!(seen[0], 2, "the node that was cut off");
    bed.faults.heal_all();
    bed.run_for(4_000);
    assert_eq!(all_in_force(&mut bed), vec![newest; 12]);
}

/// An outdated difference, or one that builds on a revision the node does not have, must not be
/// applied.
#[test]
fn a_late_or_unconnected_difference_changes_nothing() {
    let row = |revision, weight| RecordRow {
        revision,
        record: records::steering("browse", &[("north-a", weight)], 100.0, 10_000),
    };
    let mut store = RecordStore::default();
    let newest = RecordChanges { revision: 7, after: 0, records: vec![row(7, 7.0)] };
    assert!(store.apply(newest));
    let before = store.page(&RecordPosition::default());
    let late = RecordChanges { revision: 5, after: 0, records: vec![row(5, 5.0)] };
    assert!(!store.apply(late));
    let unconnected = RecordChanges { revision: 10, after: 9, records: vec![row(10, 10.0)] };
    assert!(!store.apply(unconnected));
    assert_eq!(store.page(&RecordPosition::default()), before);
}

/// A change of two records commits while a node scans all records. The node must never have one of
/// the two without the other in force.
#[test]
fn a_scan_during_a_change_gives_one_revision() {
    let service =
        |number: usize, deadline_ms| records::service(&format!("s{number:03}"), deadline_ms, &[]);
    let mut mixed = 0;
    for change_at_ms in (0..3_000).step_by(100) {
        let mut bed = Bed::new(5);
        bed.faults.table_ms = 150;
        let all: Vec<_> = (0..200).map(|number| service(number, 1_000)).collect();
        bed.write_records(&all);
        bed.add_node("n1", "north-a");
        let mut last = Vec::new();
        for at_ms in (0..6_000).step_by(20) {
            if at_ms == change_at_ms {
                bed.write_records(&[service(0, 2_000), service(199, 2_000)]);
            }
            bed.run_for(20);
            let page = bed.node(0).expect("the node runs").page(&RecordPosition::default());
            let changed = page.records.iter().filter(|row| row.record.body.contains("2000"));
            last = changed.map(|row| row.record.name.clone()).collect();
            mixed += usize::from(last.len() == 1);
        }
        assert_eq!(last.len(), 2, "changed after {change_at_ms} ms");
    }
    assert_eq!(mixed, 0, "pages with one record of a change and without the other");
}

/// Only one member of a failure domain can still reach the platform. Whatever its rank, it must start
/// to poll, and a change must reach all members.
#[test]
fn whoever_still_reaches_the_platform_steps_in_as_a_reader() {
    for left in 0..6 {
        let mut bed = Bed::new(6);
        write_first(&mut bed);
        add_nodes(&mut bed, 1, 6);
        bed.run_for(5_000);
        for node in (0..6).filter(|node| *node != left) {
            bed.faults.cut(Place::Node(node), Place::Platform);
        }
        bed.run_for(1_000);
        let revision = write_share(&mut bed, 3.0);
        bed.run_for(6_000);
        assert_eq!(all_in_force(&mut bed), vec![revision; 6], "node {left} is left");
    }
}

/// During a long outage the nodes must not all poll at the rate of a reader, which would overload
/// the platform when it recovers.
#[test]
fn an_outage_does_not_make_every_node_a_reader() {
    let mut bed = Bed::new(7);
    write_first(&mut bed);
    add_nodes(&mut bed, 3, 10);
    bed.run_for(5_000);
    bed.faults.platform_down = true;
    bed.run_for(10_000);
    let before = table_reads(&bed);
    bed.run_for(50_000);
    let reads = table_reads(&bed) - before;
    assert!(reads <= 50 * 3 * 5, "{reads} attempts in 50 s by 30 nodes of 3 domains");
}
