//! Replication of the configuration: an accepted revision reaches all nodes and is never reverted.
//!
//! The revision in force on a node is taken from its answers to look-ups.

use std::net::{IpAddr, Ipv4Addr};

use sedgepath_core::configuration::rows::RecordRow;
use sedgepath_core::configuration::store::{RecordChanges, RecordPosition, RecordStore};
use sedgepath_core::event::LookUp;
use sedgepath_test_support::bed::TestBed;
use sedgepath_test_support::bed::faults::LinkEndpoint;
use sedgepath_test_support::records::{self, UpstreamSpec};

const DOMAINS: [&str; 3] = ["north-a", "north-b", "south-a"];

/// Writes the records of a service that all three failure domains serve.
fn write_initial_records(bed: &mut TestBed) {
    let upstreams = [UpstreamSpec::new("b1", "north-a", 4), UpstreamSpec::new("b2", "south-a", 4)];
    bed.write_records(&[
        records::places(&[("north", &["north-a", "north-b"]), ("south", &["south-a"])]),
        records::service("browse", 5_000, &upstreams),
    ]);
    write_steering(bed, 1.0);
}

/// Writes a steering record with this weight for `north-a`, and returns its revision.
fn write_steering(bed: &mut TestBed, weight: f64) -> u64 {
    let shares = [("north-a", weight), ("south-a", 1.0)];
    bed.write_records(&[records::steering("browse", &shares, 100.0, 10_000)])
}

/// Adds nodes to the first failure domains of [`DOMAINS`].
fn add_nodes(bed: &mut TestBed, domain_count: usize, nodes_per_domain: usize) {
    for domain in &DOMAINS[..domain_count] {
        for number in 0..nodes_per_domain {
            bed.add_node(&format!("{domain}-{number}"), domain);
        }
    }
}

/// Returns the revision by which a node answers look-ups, or 0 if it rejects them.
fn revision_in_force(bed: &mut TestBed, node: usize) -> u64 {
    let look_up = LookUp {
        service: "browse".into(),
        source: IpAddr::V4(Ipv4Addr::LOCALHOST),
        revision_seen: 0,
    };
    let answer = bed.look_up(node, &look_up);
    answer.map_or(0, |answer| answer.revision)
}

/// Returns [`revision_in_force`] of every node.
fn revisions_in_force(bed: &mut TestBed) -> Vec<u64> {
    (0..bed.node_count()).map(|node| revision_in_force(bed, node)).collect()
}

fn table_reads(bed: &TestBed) -> u64 {
    (0..bed.node_count()).map(|node| bed.traffic(node).table_reads).sum()
}

/// Only two readers per failure domain may poll the platform's head, or the load on the platform
/// would grow with the number of nodes.
#[test]
fn only_two_nodes_per_domain_poll_the_platform() {
    let mut bed = TestBed::new(1);
    write_initial_records(&mut bed);
    add_nodes(&mut bed, 3, 10);
    bed.run_for(5_000);
    let reads_before = table_reads(&bed);
    bed.run_for(10_000);
    let reads = table_reads(&bed) - reads_before;
    assert!((50..=70).contains(&reads), "{reads} reads in 10 s by 30 nodes of 3 domains");
}

/// A failure domain that can't reach the platform must get a change from its peers in other domains.
#[test]
fn nodes_without_the_platform_get_a_change_from_peers() {
    let mut bed = TestBed::new(2);
    write_initial_records(&mut bed);
    add_nodes(&mut bed, 3, 4);
    bed.run_for(5_000);
    for node in 0..4 {
        bed.faults.cut(LinkEndpoint::Node(node), LinkEndpoint::Platform);
    }
    let revision = write_steering(&mut bed, 3.0);
    bed.run_for(5_000);
    assert_eq!(revisions_in_force(&mut bed), vec![revision; 12]);
}

/// While the platform is down, nodes that restart must get the configuration from the only node that
/// kept running.
#[test]
fn restarted_nodes_get_the_configuration_from_a_peer_while_the_platform_is_down() {
    let mut bed = TestBed::new(3);
    write_initial_records(&mut bed);
    add_nodes(&mut bed, 3, 4);
    bed.run_for(5_000);
    let revision = write_steering(&mut bed, 3.0);
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
    assert_eq!(revisions_in_force(&mut bed), vec![revision; 12]);
}

/// A node that was partitioned during changes must catch up within 4 s after the partition heals, and
/// no node's revision may ever decrease.
#[test]
fn a_partitioned_node_catches_up_after_the_partition_heals() {
    let mut bed = TestBed::new(4);
    write_initial_records(&mut bed);
    add_nodes(&mut bed, 3, 4);
    bed.run_for(5_000);
    bed.faults.cut(LinkEndpoint::Node(0), LinkEndpoint::Platform);
    for node in 1..12 {
        bed.faults.cut(LinkEndpoint::Node(0), LinkEndpoint::Node(node));
    }
    let mut last_revisions = vec![0; 12];
    let mut newest_revision = 0;
    for change in 0..100 {
        newest_revision = write_steering(&mut bed, 1.0 + f64::from(change));
        bed.run_for(100);
        let revisions = revisions_in_force(&mut bed);
        let none_decreased =
            revisions.iter().zip(&last_revisions).all(|(revision, last)| revision >= last);
        assert!(none_decreased, "{last_revisions:?} then {revisions:?}");
        last_revisions = revisions;
    }
    assert_eq!(last_revisions[0], 2, "revision of the partitioned node");
    bed.faults.heal_all();
    bed.run_for(4_000);
    assert_eq!(revisions_in_force(&mut bed), vec![newest_revision; 12]);
}

/// An outdated difference, or one that builds on a revision the node does not have, must not be
/// applied.
#[test]
fn an_outdated_or_unconnected_difference_is_not_applied() {
    let row = |revision, weight| RecordRow {
        revision,
        record: records::steering("browse", &[("north-a", weight)], 100.0, 10_000),
    };
    let mut store = RecordStore::default();
    let newest = RecordChanges { revision: 7, after: 0, records: vec![row(7, 7.0)] };
    assert!(store.apply(newest));
    let page_before = store.page(&RecordPosition::default());
    let outdated = RecordChanges { revision: 5, after: 0, records: vec![row(5, 5.0)] };
    assert!(!store.apply(outdated));
    let unconnected = RecordChanges { revision: 10, after: 9, records: vec![row(10, 10.0)] };
    assert!(!store.apply(unconnected));
    assert_eq!(store.page(&RecordPosition::default()), page_before);
}

/// A change of two records commits while a node scans all records. The node must never have one of
/// the two in force without the other.
#[test]
fn a_scan_during_a_change_returns_one_revision() {
    let service =
        |number: usize, deadline_ms| records::service(&format!("s{number:03}"), deadline_ms, &[]);
    let mut partial_pages = 0;
    for change_at_ms in (0..3_000).step_by(100) {
        let mut bed = TestBed::new(5);
        bed.faults.table_latency_ms = 150;
        let services: Vec<_> = (0..200).map(|number| service(number, 1_000)).collect();
        bed.write_records(&services);
        bed.add_node("n1", "north-a");
        let mut changed_names = Vec::new();
        for at_ms in (0..6_000).step_by(20) {
            if at_ms == change_at_ms {
                bed.write_records(&[service(0, 2_000), service(199, 2_000)]);
            }
            bed.run_for(20);
            let page = bed.node(0).expect("the node runs").page(&RecordPosition::default());
            let changed = page.records.iter().filter(|row| row.record.body.contains("2000"));
            changed_names = changed.map(|row| row.record.name.clone()).collect();
            partial_pages += usize::from(changed_names.len() == 1);
        }
        assert_eq!(changed_names.len(), 2, "changed after {change_at_ms} ms");
    }
    assert_eq!(partial_pages, 0, "pages with one record of a change and without the other");
}

/// Only one member of a failure domain can still reach the platform. Whatever its rank, it must start
/// to poll, and a change must reach all members.
#[test]
fn any_node_that_reaches_the_platform_becomes_a_reader() {
    for connected in 0..6 {
        let mut bed = TestBed::new(6);
        write_initial_records(&mut bed);
        add_nodes(&mut bed, 1, 6);
        bed.run_for(5_000);
        for node in (0..6).filter(|node| *node != connected) {
            bed.faults.cut(LinkEndpoint::Node(node), LinkEndpoint::Platform);
        }
        bed.run_for(1_000);
        let revision = write_steering(&mut bed, 3.0);
        bed.run_for(6_000);
        assert_eq!(
            revisions_in_force(&mut bed),
            vec![revision; 6],
            "only node {connected} reaches the platform"
        );
    }
}

/// During a long outage the nodes must not all poll at the rate of a reader, since that would
/// overload the platform when it recovers.
#[test]
fn nodes_poll_slowly_during_an_outage() {
    let mut bed = TestBed::new(7);
    write_initial_records(&mut bed);
    add_nodes(&mut bed, 3, 10);
    bed.run_for(5_000);
    bed.faults.platform_down = true;
    bed.run_for(10_000);
    let reads_before = table_reads(&bed);
    bed.run_for(50_000);
    let reads = table_reads(&bed) - reads_before;
    assert!(reads <= 50 * 3 * 5, "{reads} attempted reads in 50 s by 30 nodes of 3 domains");
}
