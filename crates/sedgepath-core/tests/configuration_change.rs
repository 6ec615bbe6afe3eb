//! Operators' changes of the configuration, as their commands see them: accepted, in conflict, not
//! accepted, or unknown until asked again.

use std::net::{IpAddr, Ipv4Addr};

use sedgepath_core::configuration::change::{ChangeOutcome, ChangeRefusal, ChangeRequest};
use sedgepath_core::configuration::rows::LoggedChange;
use sedgepath_core::configuration::store::RecordPosition;
use sedgepath_core::event::{LookUp, LookUpAnswer, LookUpError};
use sedgepath_core::key::ReplyKey;
use sedgepath_core::record::RawRecord;
use sedgepath_core::request::{Outcome, RejectionReason};
use sedgepath_test_support::bed::faults::Place;
use sedgepath_test_support::bed::{Bed, Seen, guest_request};
use sedgepath_test_support::records::{self, UpstreamSpec};
use serde_json::json;

/// Starts six nodes of two failure domains with a first configuration of revision 1.
fn bed(seed: u64) -> Bed {
    let mut bed = Bed::new(seed);
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

fn request(change_id: &str, expected: Option<u64>, record: RawRecord) -> ChangeRequest {
    ChangeRequest {
        change_id: change_id.into(),
        records: vec![record],
        expected_revision: expected,
        note: "a test".into(),
    }
}

fn look_up(bed: &mut Bed, node: usize, service: &str) -> Result<LookUpAnswer, LookUpError> {
    let look_up = LookUp {
        service: service.into(),
        source: IpAddr::V4(Ipv4Addr::LOCALHOST),
        revision_seen: 0,
    };
    bed.look_up(node, &look_up)
}

fn in_force(bed: &mut Bed) -> Vec<u64> {
    (0..bed.node_count())
        .map(|node| look_up(bed, node, "browse").map_or(0, |answer| answer.revision))
        .collect()
}

fn outcome(bed: &Bed, reply: ReplyKey) -> ChangeOutcome {
    bed.change_outcome(reply).cloned().expect("the node has told the outcome")
}

/// Returns the changes in the table's log with the identifier.
fn logged(bed: &Bed, change_id: &str) -> Vec<u64> {
    let rows = bed.table().rows();
    let changes = rows.iter().filter(|row| row.key.starts_with("log/"));
    let changes = changes.map(|row| serde_json::from_str::<LoggedChange>(&row.value).expect("row"));
    changes.filter(|change| &*change.change_id == change_id).map(|change| change.revision).collect()
}

/// Six operators ask for a change at six nodes in the same moment, each expecting the revision that
/// it has seen. One is accepted; the five others are shown that one's change, so that they can look
/// at it before they ask again; and the accepted one is in force at all nodes.
#[test]
fn of_racing_operators_one_wins_and_the_others_see_its_change() {
    let mut bed = bed(1);
    let replies: Vec<_> = (0..6)
        .map(|node| {
            let record = steering(2.0 + f64::from(node as u32));
            bed.change(node, request(&format!("race-{node}"), Some(1), record))
        })
        .collect();
    bed.run_for(3_000);
    let outcomes: Vec<_> = replies.iter().map(|reply| outcome(&bed, *reply)).collect();
    let accepted = |outcome: &&ChangeOutcome| **outcome == ChangeOutcome::Accepted { revision: 2 };
    assert_eq!(outcomes.iter().filter(accepted).count(), 1, "{outcomes:?}");
    let winner = outcomes.iter().position(|outcome| accepted(&outcome)).expect("a winner");
    for lost in outcomes.iter().filter(|outcome| !accepted(outcome)) {
        let ChangeOutcome::Conflict { revision: 2, other: Some(other) } = lost else {
            panic!("{lost:?}");
        };
        assert_eq!(*other.change_id, format!("race-{winner}"));
    }
    assert_eq!(in_force(&mut bed), [2; 6]);
}

/// Every answer to a commit is lost, and half of the operators race. Each command still ends with
/// what really happened: the log holds the changes that were accepted, once, and no others.
#[test]
fn a_lost_answer_is_settled_by_the_log() {
    let mut bed = bed(2);
    bed.faults.lost_answers_percent = 100;
    let mut accepted = 0;
    for round in 0..20 {
        let asked: Vec<_> = (0..=round % 2)
            .map(|node| {
                let id = format!("change-{round}-{node}");
                let record = steering(1.0 + f64::from(round as u32));
                (bed.change(node, request(&id, None, record)), id)
            })
            .collect();
        bed.run_for(3_000);
        for (reply, id) in asked {
            let revisions = logged(&bed, &id);
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
    assert_eq!(in_force(&mut bed), [1 + accepted; 6]);
}

/// A commit takes effect two seconds late and its answer is lost. Meanwhile the node finds nothing
/// in the log and sends the same transaction again. The operator hears "accepted" once, and the
/// late write finds the head moved on: the log holds the change once.
#[test]
fn a_write_that_arrives_late_takes_effect_once() {
    let mut bed = bed(3);
    bed.faults.late_writes = 1;
    bed.faults.late_by_ms = 2_000;
    let reply = bed.change(0, request("late", None, steering(2.0)));
    bed.run_for(1_000);
    assert_eq!(outcome(&bed, reply), ChangeOutcome::Accepted { revision: 2 });
    bed.run_for(5_000);
    assert_eq!(logged(&bed, "late"), [2]);
    assert_eq!(in_force(&mut bed), [2; 6]);
}

/// The answer is lost and the platform goes down at once, so the command ends with "unknown". Once
/// the platform is back the operator asks another node with the same identifier and hears
/// "accepted" with the revision that was made, also after others have changed the configuration.
#[test]
fn asking_again_tells_and_never_changes_twice() {
    let mut bed = bed(4);
    bed.faults.lost_answers_percent = 100;
    let reply = bed.change(0, request("again", None, steering(2.0)));
    while logged(&bed, "again").is_empty() {
        bed.run_for(1);
    }
    bed.faults.platform_down = true;
    bed.run_for(10_000);
    assert_eq!(outcome(&bed, reply), ChangeOutcome::Unknown);
    bed.faults.platform_down = false;
    bed.faults.lost_answers_percent = 0;
    let other = bed.change(5, request("other", None, steering(3.0)));
    bed.run_for(3_000);
    assert_eq!(outcome(&bed, other), ChangeOutcome::Accepted { revision: 3 });
    for (node, expected) in [(4, None), (3, Some(1))] {
        let reply = bed.change(node, request("again", expected, steering(2.0)));
        bed.run_for(3_000);
        assert_eq!(outcome(&bed, reply), ChangeOutcome::Accepted { revision: 2 });
    }
    assert_eq!(logged(&bed, "again"), [2]);
    assert_eq!(in_force(&mut bed), [3; 6]);
}

/// The platform refuses everything. The command hears "not accepted", and that stays true: nothing
/// of the change is in force later, when the platform is back.
#[test]
fn a_change_during_an_outage_is_not_accepted_and_stays_so() {
    let mut bed = bed(5);
    bed.faults.platform_down = true;
    let reply = bed.change(0, request("down", None, steering(2.0)));
    bed.run_for(10_000);
    let refusal = ChangeRefusal::Unavailable;
    assert_eq!(outcome(&bed, reply), ChangeOutcome::NotAccepted { refusal });
    bed.faults.platform_down = false;
    bed.run_for(10_000);
    assert_eq!(logged(&bed, "down"), [0; 0]);
    assert_eq!(in_force(&mut bed), [1; 6]);
}

/// An operator sends more records, or more text, than the store takes in one transaction. The command
/// hears at once how far to split them; a change of as many records as fit is accepted.
#[test]
fn a_change_that_fits_no_transaction_is_refused_at_once() {
    let mut bed = bed(6);
    let of_records = |count: usize| {
        let service = |number| records::service(&format!("s{number}"), 5_000, &[]);
        let mut request = request("many", None, steering(2.0));
        request.records = (0..count).map(service).collect();
        request
    };
    let reply = bed.change(0, of_records(97));
    let refusal = ChangeRefusal::Many { records: 97, most: 96 };
    assert_eq!(outcome(&bed, reply), ChangeOutcome::NotAccepted { refusal });
    let mut long = request("long", None, steering(2.0));
    long.records[0].body = " ".repeat(350 * 1024 + 1).into();
    let reply = bed.change(0, long);
    let refusal = ChangeRefusal::Large { bytes: 350 * 1024 + 1, most: 350 * 1024 };
    assert_eq!(outcome(&bed, reply), ChangeOutcome::NotAccepted { refusal });
    let reply = bed.change(0, of_records(96));
    bed.run_for(3_000);
    assert_eq!(outcome(&bed, reply), ChangeOutcome::Accepted { revision: 2 });
}

/// An operator names a failure domain that is in no record. The node refuses the change before it
/// reaches the table and names the place of the mistake.
#[test]
fn a_change_that_would_leave_records_out_of_order_is_refused() {
    let mut bed = bed(6);
    let record = records::steering("browse", &[("north-z", 1.0)], 100.0, 10_000);
    let reply = bed.change(0, request("wrong", None, record));
    bed.run_for(1_000);
    let ChangeOutcome::NotAccepted { refusal: ChangeRefusal::InvalidRecords { problems } } =
        outcome(&bed, reply)
    else {
        panic!("{:?}", outcome(&bed, reply));
    };
    assert_eq!(problems.len(), 1, "{problems:?}");
    assert_eq!(problems[0].path.to_string(), "groups[0].shares[0].domain");
    assert_eq!(in_force(&mut bed), [1; 6]);
}

/// A newer node has accepted a record of schema 3 for one service. Older nodes refuse that service
/// only, go on with records of schemas 1 and 2 side by side, and pass the record on as it is: a
/// node that starts while the platform is down has it, to the letter, from its peers.
#[test]
fn an_unknown_schema_is_kept_relayed_and_refused_for_its_service_only() {
    let mut bed = bed(7);
    let body = json!({ "groups": [], "cap": { "percent": 5, "window_ms": 1_000 }, "newer": "ü" });
    let newer = records::record(3, "steering", "browse", &body);
    let second = json!({
        "groups": [{ "origin": "any", "shares": [{ "domain": "south-a", "weight": 1 }] }],
        "cap": { "percent": 5, "window_ms": 1_000 },
        "failover_cap": { "percent": 50, "window_ms": 1_000 },
    });
    bed.write_records(&[newer.clone(), records::record(2, "steering", "guides", &second)]);
    bed.run_for(4_000);
    bed.faults.platform_down = true;
    bed.kill(0);
    bed.start(0);
    bed.run_for(4_000);
    for node in 0..6 {
        assert_eq!(look_up(&mut bed, node, "browse"), Err(LookUpError::Configuration));
        assert_eq!(look_up(&mut bed, node, "guides").map(|answer| answer.revision), Ok(2));
        let page = bed.node(node).map(|node| node.configuration().page(&RecordPosition::default()));
        let kept = page.expect("the node runs").records;
        assert!(kept.iter().any(|row| row.record == newer), "node {node}: {kept:?}");
    }
}

/// While the platform is down a node restarts, and its links come up one after another: first the
/// one to a member that was cut off and still has an old revision, half a second later the others.
/// It answers callers only by the revision that it had before it restarted, which its peers have,
/// because it listens for a second before it serves by what a peer gave it.
#[test]
fn a_restarted_node_never_serves_by_an_older_revision_than_before() {
    let mut lower = 0;
    for seed in 0..10 {
        let mut bed = bed(seed);
        for other in 1..6 {
            bed.faults.cut(Place::Node(0), Place::Node(other));
        }
        bed.faults.cut(Place::Node(0), Place::Platform);
        let reply = bed.change(1, request("newer", None, steering(2.0)));
        bed.run_for(4_000);
        assert_eq!(outcome(&bed, reply), ChangeOutcome::Accepted { revision: 2 });
        bed.faults.platform_down = true;
        bed.kill(1);
        bed.faults.heal_all();
        for other in 2..6 {
            bed.faults.cut(Place::Node(0), Place::Node(other));
            bed.faults.cut(Place::Node(1), Place::Node(other));
        }
        bed.start(1);
        for step in 0..300 {
            bed.run_for(10);
            lower += usize::from(in_force(&mut bed)[1] == 1);
            if step == 50 {
                bed.faults.heal_all();
            }
        }
        assert_eq!(in_force(&mut bed), [2; 6], "seed {seed}");
    }
    assert_eq!(lower, 0, "look-ups answered by the older revision");
}

/// A node has just started and knows no record yet. A caller is told that its request was not run
/// and when to come back, not that there is no such service, which would make it give up.
#[test]
fn a_node_without_a_configuration_says_so() {
    let mut bed = bed(8);
    bed.faults.platform_down = true;
    bed.kill(0);
    bed.start(0);
    let head = guest_request("browse", bed.now_ms() + 2_000);
    let call = bed.call(0, head);
    assert_eq!(look_up(&mut bed, 0, "browse"), Err(LookUpError::Configuration));
    let Seen::Concluded(Outcome::NotRun { refusal, .. }) = &bed.calls()[call].seen else {
        panic!("{:?}", bed.calls()[call].seen);
    };
    assert_eq!(refusal.reason, RejectionReason::NotReady);
}
