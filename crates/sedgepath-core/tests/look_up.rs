//! The entry VMs that a look-up returns.

use std::net::{IpAddr, Ipv4Addr};

use sedgepath_core::event::{LookUp, LookUpAnswer, LookUpError};
use sedgepath_test_support::bed::TestBed;
use sedgepath_test_support::records::{self, UpstreamSpec};

const DOMAINS: [&str; 4] = ["north-a", "north-b", "south-a", "south-b"];

/// Creates four failure domains with three nodes each; the callers' traffic goes to two domains.
fn bed() -> TestBed {
    let mut bed = TestBed::new(1);
    let upstreams: Vec<_> = DOMAINS
        .iter()
        .map(|domain| UpstreamSpec::new(&format!("up-{domain}"), domain, 8))
        .collect();
    bed.write_records(&[
        records::places(&[("north", &["north-a", "north-b"]), ("south", &["south-a", "south-b"])]),
        records::service("browse", 5_000, &upstreams),
        records::steering("browse", &[("south-a", 3.0), ("south-b", 1.0)], 10.0, 10_000),
    ]);
    for domain in DOMAINS {
        for number in 1..=3 {
            bed.add_node(&format!("{domain}-{number}"), domain);
        }
    }
    bed.run_for(5_000);
    bed
}

fn look_up(bed: &mut TestBed, source: u8, revision_seen: u64) -> Result<LookUpAnswer, LookUpError> {
    let source = IpAddr::V4(Ipv4Addr::new(10, 0, 0, source));
    bed.look_up(0, &LookUp { service: "browse".into(), source, revision_seen })
}

fn first_entry_vm_names(bed: &mut TestBed) -> Vec<String> {
    (0..64)
        .map(|source| look_up(bed, source, 0).expect("the service is known"))
        .map(|answer| answer.entry_vms[0].name.to_string())
        .collect()
}

/// Guards against answers that ignore the traffic shares, exceed eight VMs, or give all callers the
/// same first VM.
#[test]
fn domains_with_traffic_shares_come_first() {
    let mut bed = bed();
    let names = first_entry_vm_names(&mut bed);
    let south_a = names.iter().filter(|name| name.starts_with("south-a")).count();
    assert!(names.iter().all(|name| name.starts_with("south-")), "{names:?}");
    assert!((32..64).contains(&south_a), "{south_a}");
    let mut distinct_names = names;
    distinct_names.sort();
    distinct_names.dedup();
    assert!(distinct_names.len() >= 4, "{distinct_names:?}");
    let answer = look_up(&mut bed, 1, 0).expect("the service is known");
    assert_eq!(answer.entry_vms.len(), 8);
    assert_eq!(answer.expires_after_ms, 5_000);
}

/// Guards against cached answers that still contain a node after it is suspected.
#[test]
fn a_silent_node_is_not_returned() {
    let mut bed = bed();
    let excluded_name = first_entry_vm_names(&mut bed).swap_remove(0);
    let index = (0..12)
        .find(|index| {
            bed.node(*index)
                .is_some_and(|node| *node.outbox().identity().descriptor.name == *excluded_name)
        })
        .expect("a running node with this name");
    bed.kill(index);
    // A member of another failure domain is suspected after 1.5 s and four lost summary rounds.
    bed.run_for(4_000);
    for source in 0..64 {
        let answer = look_up(&mut bed, source, 0).expect("the service is known");
        assert!(answer.entry_vms.iter().all(|entry_vm| *entry_vm.name != *excluded_name));
    }
}

/// Guards against sending a caller back to nodes with records that it has already seen replaced.
#[test]
fn a_node_with_an_older_revision_returns_an_error() {
    let mut bed = bed();
    let answer = look_up(&mut bed, 1, 2);
    assert_eq!(answer, Err(LookUpError::Configuration));
}
