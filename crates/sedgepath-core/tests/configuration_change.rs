//! Outcomes of operators' configuration changes: accepted, conflict, not accepted or unknown.

use std::net::{IpAddr, Ipv4Addr};

use sedgepath_core::configuration::change::{ChangeOutcome, ChangeRefusal, ChangeRequest};
use sedgepath_core::configuration::rows::LoggedChange;
use sedgepath_core::configuration::store::RecordPosition;
use sedgepath_core::event::{LookUp, LookUpAnswer, LookUpError};
use sedgepath_core::key::ReplyKey;
use sedgepath_core::record::RawRecord;
use sedgepath_core::request::{Outcome, RejectionReason};
use sedgepath_test_support::bed::faults::LinkEndpoint;
use sedgepath_test_support::bed::{CallResult, TestBed, guest_request};
use sedgepath_test_support::records::{self, UpstreamSpec};
use serde_json::json;

/// Starts six nodes in two failure domains with a configuration of revision 1.
fn bed(seed: u64) -> TestBed {
    let mut bed = TestBed::new(seed);
    bed.write_records(&[
        records::places(&[("north", &["north-a"]), ("south", &["south-a"])]),
        records::service("browse", 5_000, &[UpstreamSpec::new("b1", "north-a", 4)]),
        records::service("guides", 5_000, &[UpstreamSpec::new("g1", "south-a", 4)]),
        steering(1.0),
    ]);
    for number in 0..6 {
        bed.add_node(&format!("n{number}"), if number < 3 { "north-a" } else { "south-a" });
    }
    bed.run_for(5_000);
    bed
}

fn steering(weight: f64) -> RawRecord {
    records::steering("browse", &[("north-a", weight), ("south-a", 1.0)], 100.0, 10_000)
}

fn request(change_id: &str, expected_revision: Option<u64>, record: RawRecord) -> ChangeRequest {
    ChangeRequest {
        change_id: change_id.into(),
        records: vec![record],
        expected_revision,
        note: "a test".into(),
    }
}

fn look_up(bed: &mut TestBed, node: usize, service: &str) -> Result<LookUpAnswer, LookUpError> {
    let look_up = LookUp {
        service: service.into(),
        source: IpAddr::V4(Ipv4Addr::LOCALHOST),
        revision_seen: 0,
    };
    bed.look_up(node, &look_up)
}

/// Returns the revision by which each node answers look-ups, or 0 if it does not answer.
fn revisions_in_force(bed: &mut TestBed) -> Vec<u64> {
    (0..bed.node_count())
        .map(|node| look_up(bed, node, "browse").map_or(0, |answer| answer.revision))
        .collect()
}

fn outcome(bed: &TestBed, reply: ReplyKey) -> ChangeOutcome {
    bed.change_outcome(reply).cloned().expect("the node should have replied with the outcome")
}

/// Returns the revisions in the table's log that have the change identifier.
fn logged_revisions(bed: &TestBed, change_id: &str) -> Vec<u64> {
    let rows = bed.table().rows();
    let changes = rows.iter().filter(|row| row.key.starts_with("log/"));
    let changes = changes.map(|row| {
        serde_json::from_str::<LoggedChange>(&row.value).expect("log rows should be valid JSON")
    });
    changes.filter(|change| &*change.change_id == change_id).map(|change| change.revision).collect()
}

/// Of concurrent changes that expect the same revision exactly one must be accepted; the others must
/// get a conflict with the accepted change.
#[test]
fn one_of_several_concurrent_changes_is_accepted() {
    let mut bed = bed(1);
    let replies: Vec<_> = (0..6)
        .map(|node| {
            let record = steering(2.0 + f64::from(node as u32));
            bed.request_change(node, request(&format!("race-{node}"), Some(1), record))
        })
        .collect();
    bed.run_for(3_000);
    let outcomes: Vec<_> = replies.iter().map(|reply| outcome(&bed, *reply)).collect();
    let is_accepted =
        |outcome: &&ChangeOutcome| **outcome == ChangeOutcome::Accepted { revision: 2 };
    assert_eq!(outcomes.iter().filter(is_accepted).count(), 1, "{outcomes:?}");
    let accepted = outcomes
        .iter()
        .position(|outcome| is_accepted(&outcome))
        .expect("one change should be accepted");
    for rejected in outcomes.iter().filter(|outcome| !is_accepted(outcome)) {
        let ChangeOutcome::Conflict { revision: 2, other: Some(other) } = rejected else {
            panic!("{rejected:?}");
        };
        assert_eq!(*other.change_id, format!("race-{accepted}"));
    }
    assert_eq!(revisions_in_force(&mut bed), [2; 6]);
}

/// All results of commits are lost. The outcomes must still agree with the log: accepted changes are
/// in it once, all others not at all.
#[test]
fn lost_commit_results_are_resolved_from_the_log() {
    let mut bed = bed(2);
    bed.faults.lost_commit_result_percent = 100;
    let mut accepted = 0;
    for round in 0..20 {
        let requests: Vec<_> = (0..=round % 2)
            .map(|node| {
                let id = format!("change-{round}-{node}");
                let record = steering(1.0 + f64::from(round as u32));
                (bed.request_change(node, request(&id, None, record)), id)
            })
            .collect();
        bed.run_for(3_000);
        for (reply, id) in requests {
            let revisions = logged_revisions(&bed, &id);
            match outcome(&bed, reply) {
                ChangeOutcome::Accepted { revision } => {
                    assert_eq!(revisions, [revision]);
                    accepted += 1;
                }
                ChangeOutcome::Conflict { .. } => assert_eq!(revisions, [0; 0]),
                other => panic!("{other:?}"),
            }
        }
    }
    assert!(accepted >= 20, "{accepted}");
    assert_eq!(revisions_in_force(&mut bed), [1 + accepted; 6]);
}

/// A commit is applied late, after the node has sent the same transaction again. The change must be
/// committed once only.
#[test]
fn a_late_commit_takes_effect_once() {
    let mut bed = bed(3);
    bed.faults.delayed_commits = 1;
    bed.faults.commit_delay_ms = 2_000;
    let reply = bed.request_change(0, request("late", None, steering(2.0)));
    bed.run_for(1_000);
    assert_eq!(outcome(&bed, reply), ChangeOutcome::Accepted { revision: 2 });
    bed.run_for(5_000);
    assert_eq!(logged_revisions(&bed, "late"), [2]);
    assert_eq!(revisions_in_force(&mut bed), [2; 6]);
}

/// A retry of a change whose outcome was unknown must return the revision that the change created,
/// also after later changes, and must not commit it again.
#[test]
fn a_retried_change_returns_its_revision_and_is_not_committed_again() {
    let mut bed = bed(4);
    bed.faults.lost_commit_result_percent = 100;
    let reply = bed.request_change(0, request("again", None, steering(2.0)));
    while logged_revisions(&bed, "again").is_empty() {
        bed.run_for(1);
    }
    bed.faults.platform_down = true;
    bed.run_for(10_000);
    assert_eq!(outcome(&bed, reply), ChangeOutcome::Unknown);
    bed.faults.platform_down = false;
    bed.faults.lost_commit_result_percent = 0;
    let other = bed.request_change(5, request("other", None, steering(3.0)));
    bed.run_for(3_000);
    assert_eq!(outcome(&bed, other), ChangeOutcome::Accepted { revision: 3 });
    for (node, expected) in [(4, None), (3, Some(1))] {
        let reply = bed.request_change(node, request("again", expected, steering(2.0)));
        bed.run_for(3_000);
        assert_eq!(outcome(&bed, reply), ChangeOutcome::Accepted { revision: 2 });
    }
    assert_eq!(logged_revisions(&bed, "again"), [2]);
    assert_eq!(revisions_in_force(&mut bed), [3; 6]);
}

/// A change that is not accepted during an outage of the platform must not take effect after it.
#[test]
fn a_change_during_an_outage_is_never_committed() {
    let mut bed = bed(5);
    bed.faults.platform_down = true;
    let reply = bed.request_change(0, request("down", None, steering(2.0)));
    bed.run_for(10_000);
    let refusal = ChangeRefusal::Unavailable;
    assert_eq!(outcome(&bed, reply), ChangeOutcome::NotAccepted { refusal });
    bed.faults.platform_down = false;
    bed.run_for(10_000);
    assert_eq!(logged_revisions(&bed, "down"), [0; 0]);
    assert_eq!(revisions_in_force(&mut bed), [1; 6]);
}

/// A change that exceeds the size of a transaction must be rejected with the limit; a change at the
/// limit must be accepted.
#[test]
fn a_change_that_exceeds_a_transaction_is_rejected() {
    let mut bed = bed(6);
    let request_with_records = |count: usize| {
        let service = |number| records::service(&format!("s{number}"), 5_000, &[]);
        let mut request = request("many", None, steering(2.0));
        request.records = (0..count).map(service).collect();
        request
    };
    let reply = bed.request_change(0, request_with_records(97));
    let refusal = ChangeRefusal::TooManyRecords { records: 97, most: 96 };
    assert_eq!(outcome(&bed, reply), ChangeOutcome::NotAccepted { refusal });
    let mut long = request("long", None, steering(2.0));
    long.records[0].body = " ".repeat(350 * 1024 + 1).into();
    let reply = bed.request_change(0, long);
    let refusal = ChangeRefusal::TooLarge { bytes: 350 * 1024 + 1, most: 350 * 1024 };
    assert_eq!(outcome(&bed, reply), ChangeOutcome::NotAccepted { refusal });
    let reply = bed.request_change(0, request_with_records(96));
    bed.run_for(3_000);
    assert_eq!(outcome(&bed, reply), ChangeOutcome::Accepted { revision: 2 });
}

/// A change that refers to an unknown failure domain must be rejected with the path of the error.
#[test]
fn a_change_with_an_unknown_reference_is_rejected() {
    let mut bed = bed(6);
    let record = records::steering("browse", &[("north-z", 1.0)], 100.0, 10_000);
    let reply = bed.request_change(0, request("wrong", None, record));
    bed.run_for(1_000);
    let ChangeOutcome::NotAccepted { refusal: ChangeRefusal::InvalidRecords { problems } } =
        outcome(&bed, reply)
    else {
        panic!("{:?}", outcome(&bed, reply));
    };
    assert_eq!(problems.len(), 1, "{problems:?}");
    assert_eq!(problems[0].path.to_string(), "groups[0].shares[0].domain");
    assert_eq!(revisions_in_force(&mut bed), [1; 6]);
}

/// A node must reject only the service that a record of an unknown schema configures, and must relay
/// the record unchanged.
#[test]
fn a_record_of_an_unknown_schema_affects_only_its_service() {
    let mut bed = bed(7);
    let body = json!({ "groups": [], "cap": { "percent": 5, "window_ms": 1_000 }, "newer": "ü" });
    let newer = records::record(3, "steering", "browse", &body);
    let schema_2_body = json!({
        "groups": [{ "origin": "any", "shares": [{ "domain": "south-a", "weight": 1 }] }],
        "cap": { "percent": 5, "window_ms": 1_000 },
        "failover_cap": { "percent": 50, "window_ms": 1_000 },
    });
    bed.write_records(&[newer.clone(), records::record(2, "steering", "guides", &schema_2_body)]);
    bed.run_for(4_000);
    bed.faults.platform_down = true;
    bed.kill(0);
    bed.start(0);
    bed.run_for(4_000);
    for node in 0..6 {
        assert_eq!(look_up(&mut bed, node, "browse"), Err(LookUpError::Configuration));
        assert_eq!(look_up(&mut bed, node, "guides").map(|answer| answer.revision), Ok(2));
        let page = bed.node(node).map(|node| node.configuration().page(&RecordPosition::default()));
        let records = page.expect("the node runs").records;
        assert!(records.iter().any(|row| row.record == newer), "node {node}: {records:?}");
    }
}

/// A node restarts while the platform is down and first hears of a peer with an outdated revision.
/// It must not serve by that revision before it has heard of its other peers.
#[test]
fn a_restarted_node_does_not_serve_by_an_older_revision() {
    let mut outdated_answers = 0;
    for seed in 0..10 {
        let mut bed = bed(seed);
        for other in 1..6 {
            bed.faults.cut(LinkEndpoint::Node(0), LinkEndpoint::Node(other));
        }
        bed.faults.cut(LinkEndpoint::Node(0), LinkEndpoint::Platform);
        let reply = bed.request_change(1, request("newer", None, steering(2.0)));
        bed.run_for(4_000);
        assert_eq!(outcome(&bed, reply), ChangeOutcome::Accepted { revision: 2 });
        bed.faults.platform_down = true;
        bed.kill(1);
        bed.faults.heal_all();
        for other in 2..6 {
            bed.faults.cut(LinkEndpoint::Node(0), LinkEndpoint::Node(other));
            bed.faults.cut(LinkEndpoint::Node(1), LinkEndpoint::Node(other));
        }
        bed.start(1);
        for step in 0..300 {
            bed.run_for(10);
            outdated_answers += usize::from(revisions_in_force(&mut bed)[1] == 1);
            if step == 50 {
                bed.faults.heal_all();
            }
        }
        assert_eq!(revisions_in_force(&mut bed), [2; 6], "seed {seed}");
    }
    assert_eq!(outdated_answers, 0, "look-ups answered by the older revision");
}

/// A node that has no configuration yet must reject requests as *not ready*, and not report that the
/// service does not exist.
#[test]
fn a_node_without_a_configuration_rejects_requests_as_not_ready() {
    let mut bed = bed(8);
    bed.faults.platform_down = true;
    bed.kill(0);
    bed.start(0);
    let head = guest_request("browse", bed.now_ms() + 2_000);
    let call = bed.call(0, head);
    assert_eq!(look_up(&mut bed, 0, "browse"), Err(LookUpError::Configuration));
    let CallResult::Concluded(Outcome::NotRun { refusal, .. }) = &bed.calls()[call].result else {
        panic!("{:?}", bed.calls()[call].result);
    };
    assert_eq!(refusal.reason, RejectionReason::NotReady);
}
