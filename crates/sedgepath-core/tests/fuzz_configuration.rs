//! Stateful fuzzing of configuration changes over five simulated nodes in two failure domains.
//!
//! Operators send and retry changes at any node under faults of nodes, links and the table, while
//! newer nodes write records of an unknown schema. The oracle uses look-ups, the outcomes of changes
//! and the table's log.
//!
//! CI runs a fixed seed; `FUZZ_CASES` and `FUZZ_SEED` in the environment allow longer runs.

mod fuzz_support;

use std::collections::BTreeMap;
use std::net::{IpAddr, Ipv4Addr};

use fuzz_support::config;
use proptest::prelude::*;

use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};
use sedgepath_core::configuration::change::{ChangeOutcome, ChangeRequest};
use sedgepath_core::configuration::rows::LoggedChange;
use sedgepath_core::event::LookUp;
use sedgepath_core::key::ReplyKey;
use sedgepath_core::record::RawRecord;
use sedgepath_test_support::bed::TestBed;
use sedgepath_test_support::bed::faults::LinkEndpoint;
use sedgepath_test_support::records::{self, UpstreamSpec};
use serde_json::json;

const NODES: usize = 5;

/// The time after the last fault in which pending changes must finish and replicate, in
/// milliseconds.
const SETTLE_MS: u64 = 15_000;

#[derive(Debug, Clone)]
enum Step {
    /// An operator requests a change. With `expect_current_revision`, the request expects the
    /// revision in force on the node, if there is one.
    Change {
        node: usize,
        expect_current_revision: bool,
    },
    /// An operator retries an earlier change. With `expect_current_revision`, the request expects
    /// the revision now in force on the node, or 0 if there is none.
    RetryChange {
        node: usize,
        change: prop::sample::Index,
        expect_current_revision: bool,
    },
    /// A newer node writes a record of an unknown schema.
    WriteNewerSchema,
    Kill(usize),
    Start(usize),
    Pause(usize),
    Resume(usize),
    CutNodes(usize, usize),
    CutPlatform(usize),
    Heal,
    PlatformDown(bool),
    LoseTableResults {
        percent: u32,
    },
    LateWrites {
        count: u32,
        late_by_ms: u64,
    },
    RunFor {
        duration_ms: u64,
    },
}

/// The reference model; stateless, since every step is valid in every state.
struct Steps;

impl ReferenceStateMachine for Steps {
    type State = ();
    type Transition = Step;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions((): &()) -> BoxedStrategy<Step> {
        let node = || 0..NODES;
        prop_oneof![
            14 => (node(), any::<bool>()).prop_map(|(node, expect_current_revision)| {
                Step::Change { node, expect_current_revision }
            }),
            6 => (node(), any::<prop::sample::Index>(), any::<bool>())
                .prop_map(|(node, change, expect_current_revision)| {
                    Step::RetryChange { node, change, expect_current_revision }
                }),
            1 => Just(Step::WriteNewerSchema),
            3 => node().prop_map(Step::Kill),
            5 => node().prop_map(Step::Start),
            2 => node().prop_map(Step::Pause),
            3 => node().prop_map(Step::Resume),
            2 => (node(), node()).prop_map(|(a, b)| Step::CutNodes(a, b)),
            2 => node().prop_map(Step::CutPlatform),
            2 => Just(Step::Heal),
            4 => any::<bool>().prop_map(Step::PlatformDown),
            2 => prop_oneof![Just(0), Just(50), Just(100)]
                .prop_map(|percent| Step::LoseTableResults { percent }),
            4 => (1..4_u32, 1..12_000_u64)
                .prop_map(|(count, late_by_ms)| Step::LateWrites { count, late_by_ms }),
            12 => (1..40_u64).prop_map(|duration_ms| Step::RunFor { duration_ms }),
            12 => (100..5_000_u64).prop_map(|duration_ms| Step::RunFor { duration_ms }),
        ]
        .boxed()
    }

    fn apply((): (), _transition: &Step) {}
}

/// A change, and the replies to its first request and its retries.
struct RequestedChange {
    record: RawRecord,
    expected_revision: Option<u64>,
    replies: Vec<ReplyKey>,
}

struct Run {
    bed: TestBed,
    changes: Vec<RequestedChange>,
    /// The revision of each node's latest look-up answer since it started, or 0.
    last_answered_revision: [u64; NODES],
}

impl Run {
    fn new() -> Self {
        let mut bed = TestBed::new(1);
        let upstreams = |name: &str| [UpstreamSpec::new(name, "a", 4)];
        bed.write_records(&[
            records::places(&[("north", &["a"]), ("south", &["b"])]),
            records::service("browse", 5_000, &upstreams("b1")),
            records::service("guides", 5_000, &upstreams("g1")),
            steering(0),
        ]);
        for node in 0..NODES {
            bed.add_node(&format!("n{node}"), if node < 3 { "a" } else { "b" });
        }
        bed.run_for(5_000);
        Self { bed, changes: Vec::new(), last_answered_revision: [0; NODES] }
    }

    /// Returns the revision by which a node answers look-ups, or 0 if it does not answer.
    fn revision_in_force(&mut self, node: usize) -> u64 {
        if self.bed.node(node).is_none() {
            return 0;
        }
        let source = IpAddr::V4(Ipv4Addr::LOCALHOST);
        let look_up = LookUp { service: "browse".into(), source, revision_seen: 0 };
        self.bed.look_up(node, &look_up).map_or(0, |answer| answer.revision)
    }

    fn send_request(&mut self, node: usize, index: usize) {
        let change = &mut self.changes[index];
        let request = ChangeRequest {
            change_id: format!("change-{index}").into(),
            records: vec![change.record.clone()],
            expected_revision: change.expected_revision,
            note: Box::default(),
        };
        change.replies.push(self.bed.request_change(node, request));
    }

    fn change(&mut self, node: usize, expect_current_revision: bool) {
        let expected_revision = expect_current_revision
            .then(|| self.revision_in_force(node))
            .filter(|revision| *revision > 0);
        let index = self.changes.len();
        let record = steering(index as u32 + 1);
        self.changes.push(RequestedChange { record, expected_revision, replies: Vec::new() });
        self.send_request(node, index);
    }

    fn write_newer_schema(&mut self) {
        let body = json!({ "newer": self.bed.now_ms() });
        self.bed.write_records(&[records::record(3, "steering", "guides", &body)]);
    }

    fn apply_step(&mut self, step: &Step) {
        match step {
            Step::Change { node, expect_current_revision } => {
                self.change(*node, *expect_current_revision);
            }
            Step::RetryChange { node, change, expect_current_revision }
                if !self.changes.is_empty() =>
            {
                let index = change.index(self.changes.len());
                if *expect_current_revision {
                    self.changes[index].expected_revision = Some(self.revision_in_force(*node));
                }
                self.send_request(*node, index);
            }
            Step::WriteNewerSchema => self.write_newer_schema(),
            Step::Kill(node) => {
                self.bed.kill(*node);
                self.last_answered_revision[*node] = 0;
            }
            Step::Start(node) if self.bed.node(*node).is_none() => self.bed.start(*node),
            Step::RetryChange { .. } | Step::Start(_) => {}
            Step::Pause(node) => self.bed.pause(*node),
            Step::Resume(node) => self.bed.resume(*node),
            Step::CutNodes(a, b) => {
                self.bed.faults.cut(LinkEndpoint::Node(*a), LinkEndpoint::Node(*b));
            }
            Step::CutPlatform(node) => {
                self.bed.faults.cut(LinkEndpoint::Node(*node), LinkEndpoint::Platform);
            }
            Step::Heal => self.bed.faults.heal_all(),
            Step::PlatformDown(down) => self.bed.faults.platform_down = *down,
            Step::LoseTableResults { percent } => {
                self.bed.faults.lost_commit_result_percent = *percent;
            }
            Step::LateWrites { count, late_by_ms } => {
                self.bed.faults.delayed_commits = *count;
                self.bed.faults.commit_delay_ms = *late_by_ms;
            }
            Step::RunFor { duration_ms } => self.bed.run_for(*duration_ms),
        }
        self.check_look_ups();
    }

    /// Asserts that no node's revision decreases until the node is killed.
    fn check_look_ups(&mut self) {
        for node in 0..NODES {
            let revision = self.revision_in_force(node);
            let last = self.last_answered_revision[node];
            assert!(revision >= last, "node {node}: revision {last} then {revision}");
            self.last_answered_revision[node] = revision;
        }
    }

    /// Returns the revisions in the log by change identifier.
    fn logged(&self) -> BTreeMap<Box<str>, Vec<u64>> {
        let mut logged: BTreeMap<_, Vec<_>> = BTreeMap::new();
        for row in self.bed.table().rows().iter().filter(|row| row.key.starts_with("log/")) {
            let change: LoggedChange =
                serde_json::from_str(&row.value).expect("log rows should be valid JSON");
            logged.entry(change.change_id).or_default().push(change.revision);
        }
        logged
    }

    /// Asserts that the outcomes of changes agree with the log.
    fn check_outcomes(&self) {
        let logged = self.logged();
        for (index, change) in self.changes.iter().enumerate() {
            let revisions = logged.get(&*format!("change-{index}")).map_or(&[][..], Vec::as_slice);
            assert!(
                revisions.len() <= 1,
                "change {index} was logged more than once: {revisions:?}"
            );
            let outcomes: Vec<_> =
                change.replies.iter().map(|reply| self.bed.change_outcome(*reply)).collect();
            for outcome in outcomes.iter().flatten() {
                if let ChangeOutcome::Accepted { revision } = outcome {
                    assert_eq!(revisions, [*revision], "change {index}: {outcomes:?}");
                }
            }
            let is_rejected = |outcome: Option<&ChangeOutcome>| {
                use ChangeOutcome::{Conflict, NotAccepted};
                matches!(outcome, Some(Conflict { .. } | NotAccepted { .. }))
            };
            if outcomes.iter().copied().all(is_rejected) {
                assert!(
                    revisions.is_empty(),
                    "change {index} is in the log although all replies rejected it: {outcomes:?}"
                );
            }
        }
    }

    /// Ends all faults and asserts that all nodes then get the newest revision in force.
    fn settle(&mut self) {
        self.bed.faults.heal_all();
        self.bed.faults.platform_down = false;
        self.bed.faults.lost_commit_result_percent = 0;
        self.bed.faults.delayed_commits = 0;
        for node in 0..NODES {
            if self.bed.node(node).is_none() {
                self.bed.start(node);
            }
            self.bed.resume(node);
        }
        self.bed.run_for(SETTLE_MS);
        self.check_look_ups();
        self.check_outcomes();
        let newest_revision = self.logged().into_values().flatten().max();
        let revisions: Vec<_> = (0..NODES).map(|node| Some(self.revision_in_force(node))).collect();
        assert_eq!(revisions, [newest_revision; NODES]);
    }
}

fn steering(weight: u32) -> RawRecord {
    let shares = [("a", 1.0 + f64::from(weight)), ("b", 1.0)];
    records::steering("browse", &shares, 100.0, 10_000)
}

impl StateMachineTest for Run {
    type SystemUnderTest = Self;
    type Reference = Steps;

    fn init_test((): &()) -> Self {
        Self::new()
    }

    fn apply(mut state: Self, (): &(), transition: Step) -> Self {
        state.apply_step(&transition);
        state
    }

    fn check_invariants(state: &Self, (): &()) {
        state.check_outcomes();
    }

    fn teardown(mut state: Self, (): ()) {
        state.settle();
    }
}

prop_state_machine! {
    #![proptest_config(config(32))]

    /// Under all faults, outcomes must agree with the log, no node's revision may decrease, and all
    /// nodes must have the newest revision within [`SETTLE_MS`] after the faults end.
    #[test]
    fn accepted_changes_take_effect_and_never_revert(sequential 1..60 => Run);
}
