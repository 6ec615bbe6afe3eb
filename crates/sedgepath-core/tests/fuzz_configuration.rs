//! Stateful fuzzing of configuration changes over five node cores in two failure domains.
//!
//! Operators send and repeat changes at any node under faults of nodes, links and the table, while
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
use sedgepath_test_support::bed::Bed;
use sedgepath_test_support::bed::faults::Place;
use sedgepath_test_support::records::{self, UpstreamSpec};
use serde_json::json;

const NODES: usize = 5;

/// The time in milliseconds for pending changes to finish and replicate after the last fault.
const SETTLE_MS: u64 = 15_000;

#[derive(Debug, Clone)]
enum Step {
    /// An operator requests a change; with `expects`, it expects the revision in force on the node.
    Change {
        node: usize,
        expects: bool,
    },
    /// An operator repeats the request of an earlier change; with `expects`, it expects the revision
    /// now in force on the node.
    AskAgain {
        node: usize,
        change: prop::sample::Index,
        expects: bool,
    },
    /// A newer node writes a record of an unknown schema.
    Newer,
    Kill(usize),
    Start(usize),
    Pause(usize),
    Wake(usize),
    CutNodes(usize, usize),
    CutPlatform(usize),
    Heal,
    PlatformDown(bool),
    LostAnswers(u32),
    LateWrites {
        count: u32,
        late_by_ms: u64,
    },
    Pass(u64),
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
            14 => (node(), any::<bool>()).prop_map(|(node, expects)| Step::Change { node, expects }),
            6 => (node(), any::<prop::sample::Index>(), any::<bool>())
                .prop_map(|(node, change, expects)| Step::AskAgain { node, change, expects }),
            1 => Just(Step::Newer),
            3 => node().prop_map(Step::Kill),
            5 => node().prop_map(Step::Start),
            2 => node().prop_map(Step::Pause),
            3 => node().prop_map(Step::Wake),
            2 => (node(), node()).prop_map(|(a, b)| Step::CutNodes(a, b)),
            2 => node().prop_map(Step::CutPlatform),
            2 => Just(Step::Heal),
            4 => any::<bool>().prop_map(Step::PlatformDown),
            2 => prop_oneof![Just(0), Just(50), Just(100)].prop_map(Step::LostAnswers),
            4 => (1..4_u32, 1..12_000_u64)
                .prop_map(|(count, late_by_ms)| Step::LateWrites { count, late_by_ms }),
            12 => (1..40_u64).prop_map(Step::Pass),
            12 => (100..5_000_u64).prop_map(Step::Pass),
        ]
        .boxed()
    }

    fn apply((): (), _transition: &Step) {}
}

/// A requested change, and the replies to its first and repeated requests.
struct Asked {
    record: RawRecord,
    expected_revision: Option<u64>,
    replies: Vec<ReplyKey>,
}

struct Run {
    bed: Bed,
    asked: Vec<Asked>,
    /// The last revision by which each node answered look-ups since its start.
    answered: [u64; NODES],
}

impl Run {
    fn new() -> Self {
        let mut bed = Bed::new(1);
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
        Self { bed, asked: Vec::new(), answered: [0; NODES] }
    }

    fn in_force(&mut self, node: usize) -> u64 {
        if self.bed.node(node).is_none() {
            return 0;
        }
        let source = IpAddr::V4(Ipv4Addr::LOCALHOST);
        let look_up = LookUp { service: "browse".into(), source, revision_seen: 0 };
        self.bed.look_up(node, &look_up).map_or(0, |answer| answer.revision)
    }

    fn ask(&mut self, node: usize, change: usize) {
        let asked = &mut self.asked[change];
        let request = ChangeRequest {
            change_id: format!("change-{change}").into(),
            records: vec![asked.record.clone()],
            expected_revision: asked.expected_revision,
            note: Box::default(),
        };
        asked.replies.push(self.bed.change(node, request));
    }

    fn change(&mut self, node: usize, expects: bool) {
        let expected_revision = expects.then(|| self.in_force(node)).filter(|seen| *seen > 0);
        let change = self.asked.len();
        let record = steering(change as u32 + 1);
        self.asked.push(Asked { record, expected_revision, replies: Vec::new() });
        self.ask(node, change);
    }

    fn newer(&mut self) {
        let body = json!({ "newer": self.bed.now_ms() });
        self.bed.write_records(&[records::record(3, "steering", "guides", &body)]);
    }

    fn take(&mut self, step: &Step) {
        match step {
            Step::Change { node, expects } => self.change(*node, *expects),
            Step::AskAgain { node, change, expects } if !self.asked.is_empty() => {
                let change = change.index(self.asked.len());
                if *expects {
                    self.asked[change].expected_revision = Some(self.in_force(*node));
                }
                self.ask(*node, change);
            }
            Step::Newer => self.newer(),
            Step::Kill(node) => {
                self.bed.kill(*node);
                self.answered[*node] = 0;
            }
            Step::Start(node) if self.bed.node(*node).is_none() => self.bed.start(*node),
            Step::AskAgain { .. } | Step::Start(_) => {}
            Step::Pause(node) => self.bed.pause(*node),
            Step::Wake(node) => self.bed.wake(*node),
            Step::CutNodes(a, b) => self.bed.faults.cut(Place::Node(*a), Place::Node(*b)),
            Step::CutPlatform(node) => self.bed.faults.cut(Place::Node(*node), Place::Platform),
            Step::Heal => self.bed.faults.heal_all(),
            Step::PlatformDown(down) => self.bed.faults.platform_down = *down,
            Step::LostAnswers(percent) => self.bed.faults.lost_answers_percent = *percent,
            Step::LateWrites { count, late_by_ms } => {
                self.bed.faults.late_writes = *count;
                self.bed.faults.late_by_ms = *late_by_ms;
            }
            Step::Pass(duration_ms) => self.bed.run_for(*duration_ms),
        }
        self.check_look_ups();
    }

    /// Asserts that no node's revision decreases between restarts.
    fn check_look_ups(&mut self) {
        for node in 0..NODES {
            let now = self.in_force(node);
            assert!(now >= self.answered[node], "node {node}: {} then {now}", self.answered[node]);
            self.answered[node] = now;
        }
    }

    /// Returns the revisions in the log by change identifier.
    fn logged(&self) -> BTreeMap<Box<str>, Vec<u64>> {
        let mut logged: BTreeMap<_, Vec<_>> = BTreeMap::new();
        for row in self.bed.table().rows().iter().filter(|row| row.key.starts_with("log/")) {
            let change: LoggedChange = serde_json::from_str(&row.value).expect("a log row");
            logged.entry(change.change_id).or_default().push(change.revision);
        }
        logged
    }

    /// Asserts that the outcomes of changes agree with the log.
    fn check_outcomes(&self) {
        let logged = self.logged();
        for (number, asked) in self.asked.iter().enumerate() {
            let revisions = logged.get(&*format!("change-{number}")).map_or(&[][..], Vec::as_slice);
            assert!(revisions.len() <= 1, "change {number} was made twice: {revisions:?}");
            let outcomes: Vec<_> =
                asked.replies.iter().map(|reply| self.bed.change_outcome(*reply)).collect();
            for outcome in outcomes.iter().flatten() {
                if let ChangeOutcome::Accepted { revision } = outcome {
                    assert_eq!(revisions, [*revision], "change {number}: {outcomes:?}");
                }
            }
            let denied = |outcome: Option<&ChangeOutcome>| {
                use ChangeOutcome::{Conflict, NotAccepted};
                matches!(outcome, Some(Conflict { .. } | NotAccepted { .. }))
            };
            if outcomes.iter().copied().all(denied) {
                assert!(revisions.is_empty(), "change {number} was denied: {outcomes:?}");
            }
        }
    }

    /// Ends all faults and asserts that all nodes then have the newest revision in force.
    fn settle(&mut self) {
        self.bed.faults.heal_all();
        self.bed.faults.platform_down = false;
        self.bed.faults.lost_answers_percent = 0;
        self.bed.faults.late_writes = 0;
        for node in 0..NODES {
            if self.bed.node(node).is_none() {
                self.bed.start(node);
            }
            self.bed.wake(node);
        }
        self.bed.run_for(SETTLE_MS);
        self.check_look_ups();
        self.check_outcomes();
        let newest = self.logged().into_values().flatten().max();
        let in_force: Vec<_> = (0..NODES).map(|node| Some(self.in_force(node))).collect();
        assert_eq!(in_force, [newest; NODES]);
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
        state.take(&transition);
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
    /// nodes must have the newest revision soon after the faults end.
    #[test]
    fn accepted_is_in_force_and_never_reverts(sequential 1..60 => Run);
}
