//! Which entry VMs a look-up names.

use std::net::{IpAddr, Ipv4Addr};

use sedgepath_core::event::{LookUp, LookUpAnswer, LookUpError};
use sedgepath_test_support::bed::Bed;
use sedgepath_test_support::records::{self, UpstreamSpec};

const DOMAINS: [&str; 4] = ["north-a", "north-b", "south-a", "south-b"];

/// Four failure domains with three nodes each; the callers' traffic goes to two of them.
fn bed() -> Bed {
    let mut bed = Bed::new(1);
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

fn look_up(bed: &mut Bed, source: u8, revision_seen: u64) -> Result<LookUpAnswer, LookUpError> {
    let source = IpAddr::V4(Ipv4Addr::new(10, 0, 0, source));
    bed.look_up(0, &LookUp { service: "browse".into(), source, revision_seen })
}

fn first_names(bed: &mut Bed) -> Vec<String> {
    (0..64)
        .map(|source| look_up(bed, source, 0).expect("the service is known"))
        .map(|answer| answer.entry_vms[0].name.to_string())
        .collect()
}

/// Callers whose traffic goes to two southern domains, three to one, ask a northern node. Each is
/// named eight VMs at most, a VM of those two domains first, spread over several VMs.
#[test]
fn the_domains_of_the_callers_traffic_come_first() {
    let mut bed = bed();
    let names = first_names(&mut bed);
    let south_a = names.iter().filter(|name| name.starts_with("south-a")).count();
    assert!(names.iter().all(|name| name.starts_with("south-")), "{names:?}");
    assert!((32..64).contains(&south_a), "{south_a}");
    let mut distinct = names;
    distinct.sort();
    distinct.dedup();
    assert!(distinct.len() >= 4, "{distinct:?}");
    let answer = look_up(&mut bed, 1, 0).expect("the service is known");
    assert_eq!(answer.entry_vms.len(), 8);
    assert_eq!(answer.expires_after_ms, 5_000);
}

/// A node dies; once it is suspected, no look-up names it, although answers are kept ready.
#[test]
fn a_silent_node_is_not_named() {
    let mut bed = bed();
    let named = first_names(&mut bed).swap_remove(0);
    let index = (0..12)
        .find(|index| {
            bed.node(*index).is_some_and(|node| *node.outbox().identity().card.name == *named)
        })
        .expect("the named node is on the bed");
    bed.kill(index);
    // A member of another failure domain is suspected after 1.5 s and four lost rounds of summaries.
    bed.run_for(4_000);
    for source in 0..64 {
        let answer = look_up(&mut bed, source, 0).expect("the service is known");
        assert!(answer.entry_vms.iter().all(|entry_vm| *entry_vm.name != *named));
    }
}

/// A caller has seen a newer revision than any node has: naming one would send it back to records
/// that it has seen replaced.
#[test]
fn a_node_that_is_behind_says_so() {
    let mut bed = bed();
    let answer = look_up(&mut bed, 1, 2);
    assert_eq!(answer, Err(LookUpError::Configuration));
}
