//! Stateful fuzzing of at-most-once execution over four simulated nodes.
//!
//! Callers send and retry requests and reuse keys and tickets through any node under faults of
//! nodes, clocks, links, upstreams and the table. The oracle uses only what callers and upstreams
//! observed.
//!
//! CI runs a fixed seed; `FUZZ_CASES` and `FUZZ_SEED` in the environment allow longer runs.

mod fuzz_support;
mod once_support;

use std::collections::BTreeMap;

use fuzz_support::config;
use once_support::{assert_holds, bed, evaluate, head, settle};
use proptest::prelude::*;

use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};
use sedgepath_core::hash::Digest;
use sedgepath_core::key::UpstreamKey;
use sedgepath_core::request::Deduplication;
use sedgepath_test_support::bed::TestBed;
use sedgepath_test_support::bed::faults::LinkEndpoint;

const NODES: usize = 4;
/// The number of actions; those with odd indexes use tickets.
const ACTION_COUNT: usize = 5;
/// The number of actions whose callers number their attempts; these have the lowest indexes.
const NUMBERED_ACTION_COUNT: usize = 3;
/// The time that callers wait, in milliseconds; long enough for delayed requests to be in time.
const DEADLINE_MS: u64 = 30_000;
const UPSTREAMS: [&str; 2] = ["d1", "d2"];

/// One step of a run.
#[derive(Debug, Clone)]
enum Step {
    /// A caller sends the next attempt of an action.
    Call {
        node: usize,
        action: usize,
    },
    /// A caller requests tickets that it does not use.
    MintUnused(usize),
    /// A caller reuses the key or ticket of an action for another request.
    ReuseKey {
        node: usize,
        action: usize,
    },
    Kill(usize),
    Start(usize),
    Pause(usize),
    Resume(usize),
    Stop(usize),
    SkewClock {
        node: usize,
        skew_ms: i64,
    },
    CutNodes(usize, usize),
    CutPlatform(usize),
    CutUpstream(usize, usize),
    Heal,
    PlatformDown(bool),
    LoseTableResults {
        percent: u32,
    },
    LateWrites {
        count: u32,
        late_by_ms: u64,
    },
    /// Sets whether all upstreams reject requests.
    RejectRequests(bool),
    /// Sets whether the responses of an upstream are lost.
    LoseResponses {
        upstream: usize,
        lost: bool,
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
        let upstream = || 0..UPSTREAMS.len();
        prop_oneof![
            30 => (node(), 0..ACTION_COUNT).prop_map(|(node, action)| Step::Call { node, action }),
            2 => (node(), 0..ACTION_COUNT)
                .prop_map(|(node, action)| Step::ReuseKey { node, action }),
            3 => node().prop_map(Step::MintUnused),
            3 => node().prop_map(Step::Kill),
            4 => node().prop_map(Step::Start),
            3 => node().prop_map(Step::Pause),
            4 => node().prop_map(Step::Resume),
            1 => node().prop_map(Step::Stop),
            1 => (node(), -1_000..1_000_i64)
                .prop_map(|(node, skew_ms)| Step::SkewClock { node, skew_ms }),
            2 => (node(), node()).prop_map(|(a, b)| Step::CutNodes(a, b)),
            2 => node().prop_map(Step::CutPlatform),
            1 => (node(), upstream())
                .prop_map(|(node, upstream)| Step::CutUpstream(node, upstream)),
            3 => Just(Step::Heal),
            4 => any::<bool>().prop_map(Step::PlatformDown),
            2 => prop_oneof![Just(0), Just(50), Just(100)]
                .prop_map(|percent| Step::LoseTableResults { percent }),
            6 => (1..4_u32, 1..4_000_u64)
                .prop_map(|(count, late_by_ms)| Step::LateWrites { count, late_by_ms }),
            6 => any::<bool>().prop_map(Step::RejectRequests),
            2 => (upstream(), any::<bool>())
                .prop_map(|(upstream, lost)| Step::LoseResponses { upstream, lost }),
            12 => (1..40_u64).prop_map(|duration_ms| Step::RunFor { duration_ms }),
            12 => (100..3_000_u64).prop_map(|duration_ms| Step::RunFor { duration_ms }),
        ]
        .boxed()
    }

    fn apply((): (), _transition: &Step) {}
}

/// The nodes, and the keys and attempt numbers of their callers.
struct Run {
    bed: TestBed,
    keys: BTreeMap<usize, Deduplication>,
    attempts: BTreeMap<usize, u32>,
}

impl Run {
    /// Returns the key or ticket of an action, or `None` if no ticket can be minted now.
    fn key_or_ticket(&mut self, node: usize, action: usize) -> Option<Deduplication> {
        if let Some(key) = self.keys.get(&action) {
            return Some(*key);
        }
        let key = if action.is_multiple_of(2) {
            Deduplication::Key(Digest::of(&[b"key", &action.to_le_bytes()]))
        } else {
            Deduplication::Ticket(
                *self.bed.mint_tickets((node + action) % NODES, "deposit", 1).first()?,
            )
        };
        self.keys.insert(action, key);
        Some(key)
    }

    /// Sends the next attempt of an action; with `reuses_key`, as another request.
    fn call(&mut self, node: usize, action: usize, reuses_key: bool) {
        let Some(key) = self.key_or_ticket(node, action) else {
            return;
        };
        let attempt = self.attempts.entry(action).or_default();
        *attempt += 1;
        let deadline_at_ms = self.bed.now_ms() + DEADLINE_MS;
        let mut head =
            head(&self.bed, key, if action < NUMBERED_ACTION_COUNT { *attempt } else { 0 });
        head.deadline_at_ms = deadline_at_ms;
        if reuses_key {
            head.digest = Digest::of(&[b"another request"]);
        }
        self.bed.call(node, head);
    }

    fn apply_step(&mut self, step: &Step) {
        let bed = &mut self.bed;
        let upstream_place =
            |index: usize| LinkEndpoint::Upstream(UpstreamKey::of(UPSTREAMS[index]));
        match *step {
            Step::Call { node, action } => self.call(node, action, false),
            Step::ReuseKey { node, action } => self.call(node, action, true),
            Step::MintUnused(node) => drop(bed.mint_tickets(node, "deposit", 3)),
            Step::Kill(node) => bed.kill(node),
            Step::Start(node) if bed.node(node).is_none() => bed.start(node),
            Step::Pause(node) => bed.pause(node),
            Step::Resume(node) => bed.resume(node),
            Step::Stop(node) if bed.is_running(node) => bed.stop(node),
            Step::Start(_) | Step::Stop(_) => {}
            Step::SkewClock { node, skew_ms } => bed.set_skew_ms(node, skew_ms),
            Step::CutNodes(a, b) => bed.faults.cut(LinkEndpoint::Node(a), LinkEndpoint::Node(b)),
            Step::CutPlatform(node) => {
                bed.faults.cut(LinkEndpoint::Node(node), LinkEndpoint::Platform);
            }
            Step::CutUpstream(node, upstream) => {
                bed.faults.cut(LinkEndpoint::Node(node), upstream_place(upstream));
            }
            Step::Heal => bed.faults.heal_all(),
            Step::PlatformDown(down) => bed.faults.platform_down = down,
            Step::LoseTableResults { percent } => bed.faults.lost_commit_result_percent = percent,
            Step::LateWrites { count, late_by_ms } => {
                bed.faults.delayed_commits = count;
                bed.faults.commit_delay_ms = late_by_ms;
            }
            Step::RejectRequests(rejects) => {
                for name in UPSTREAMS {
                    bed.upstreams.get(name).rejects_requests = rejects;
                }
            }
            Step::LoseResponses { upstream, lost } => {
                bed.upstreams.get(UPSTREAMS[upstream]).loses_responses = lost;
            }
            Step::RunFor { duration_ms } => bed.run_for(duration_ms),
        }
    }
}

impl StateMachineTest for Run {
    type SystemUnderTest = Self;
    type Reference = Steps;

    fn init_test((): &()) -> Self {
        Self { bed: bed(1), keys: BTreeMap::new(), attempts: BTreeMap::new() }
    }

    fn apply(mut state: Self, (): &(), transition: Step) -> Self {
        state.apply_step(&transition);
        state
    }

    fn check_invariants(state: &Self, (): &()) {
        assert_holds(&evaluate(&state.bed));
    }

    fn teardown(mut state: Self, (): ()) {
        assert_holds(&settle(&mut state.bed));
    }
}

prop_state_machine! {
    #![proptest_config(config(48))]

    /// Under all faults, no key or ticket may run twice, nothing may run after *not run*, and no
    /// retry may get the response of another action.
    #[test]
    fn requests_run_at_most_once(sequential 1..100 => Run);
}
