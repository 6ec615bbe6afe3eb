//! Stateful fuzzing of at-most-once execution over four node cores.
//!
//! Callers send, repeat and reuse keys and tickets through any node under faults of nodes, clocks,
//! links, upstreams and the table. The oracle uses only what callers and upstreams observed.
//!
//! CI runs a fixed seed; `FUZZ_CASES` and `FUZZ_SEED` in the environment allow longer runs.

mod fuzz_support;
mod once_support;

use std::collections::BTreeMap;

use fuzz_support::config;
use once_support::{assert_holds, bed, head, judge, settle};
use proptest::prelude::*;

use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};
use sedgepath_core::hash::Digest;
use sedgepath_core::key::UpstreamKey;
use sedgepath_core::request::Deduplication;
use sedgepath_test_support::bed::Bed;
use sedgepath_test_support::bed::faults::Place;

const NODES: usize = 4;
/// The number of actions; those with odd indexes use tickets.
const ACTIONS: usize = 5;
/// The number of actions whose callers number their attempts.
const NUMBERED: usize = 3;
/// The time that callers wait, in milliseconds; long, so that delayed requests are still in time.
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
    Mint(usize),
    /// A caller reuses the key or ticket of an action for another request.
    Change {
        node: usize,
        action: usize,
    },
    Kill(usize),
    Start(usize),
    Pause(usize),
    Wake(usize),
    Stop(usize),
    Skew(usize, i64),
    CutNodes(usize, usize),
    CutPlatform(usize),
    CutUpstream(usize, usize),
    Heal,
    PlatformDown(bool),
    LostAnswers(u32),
    LateWrites {
        count: u32,
        late_by_ms: u64,
    },
    Refuse(bool),
    LoseAnswers(usize, bool),
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
        let upstream = || 0..UPSTREAMS.len();
        prop_oneof![
            30 => (node(), 0..ACTIONS).prop_map(|(node, action)| Step::Call { node, action }),
            2 => (node(), 0..ACTIONS).prop_map(|(node, action)| Step::Change { node, action }),
            3 => node().prop_map(Step::Mint),
            3 => node().prop_map(Step::Kill),
            4 => node().prop_map(Step::Start),
            3 => node().prop_map(Step::Pause),
            4 => node().prop_map(Step::Wake),
            1 => node().prop_map(Step::Stop),
            1 => (node(), -1_000..1_000_i64).prop_map(|(node, ms)| Step::Skew(node, ms)),
            2 => (node(), node()).prop_map(|(a, b)| Step::CutNodes(a, b)),
            2 => node().prop_map(Step::CutPlatform),
            1 => (node(), upstream()).prop_map(|(node, up)| Step::CutUpstream(node, up)),
            3 => Just(Step::Heal),
            4 => any::<bool>().prop_map(Step::PlatformDown),
            2 => prop_oneof![Just(0), Just(50), Just(100)].prop_map(Step::LostAnswers),
            6 => (1..4_u32, 1..4_000_u64)
                .prop_map(|(count, late_by_ms)| Step::LateWrites { count, late_by_ms }),
            6 => any::<bool>().prop_map(Step::Refuse),
            2 => (upstream(), any::<bool>()).prop_map(|(up, on)| Step::LoseAnswers(up, on)),
            12 => (1..40_u64).prop_map(Step::Pass),
            12 => (100..3_000_u64).prop_map(Step::Pass),
        ]
        .boxed()
    }

    fn apply((): (), _transition: &Step) {}
}

/// The nodes, and the keys and attempt numbers of their callers.
struct Run {
    bed: Bed,
    keys: BTreeMap<usize, Deduplication>,
    attempts: BTreeMap<usize, u32>,
}

impl Run {
    /// Returns the key or ticket of an action, or `None` if no ticket can be minted now.
    fn once(&mut self, node: usize, action: usize) -> Option<Deduplication> {
        if let Some(once) = self.keys.get(&action) {
            return Some(*once);
        }
        let once = if action.is_multiple_of(2) {
            Deduplication::Key(Digest::of(&[b"key", &action.to_le_bytes()]))
        } else {
            Deduplication::Ticket(*self.bed.mint((node + action) % NODES, "deposit", 1).first()?)
        };
        self.keys.insert(action, once);
        Some(once)
    }

    fn call(&mut self, node: usize, action: usize, changed: bool) {
        let Some(once) = self.once(node, action) else {
            return;
        };
        let attempt = self.attempts.entry(action).or_default();
        *attempt += 1;
        let deadline_at_ms = self.bed.now_ms() + DEADLINE_MS;
        let mut head = head(&self.bed, once, if action < NUMBERED { *attempt } else { 0 });
        head.deadline_at_ms = deadline_at_ms;
        if changed {
            head.digest = Digest::of(&[b"another request"]);
        }
        self.bed.call(node, head);
    }

    fn take(&mut self, step: &Step) {
        let bed = &mut self.bed;
        let upstream = |index: usize| Place::Upstream(UpstreamKey::of(UPSTREAMS[index]));
        match *step {
            Step::Call { node, action } => self.call(node, action, false),
            Step::Change { node, action } => self.call(node, action, true),
            Step::Mint(node) => drop(bed.mint(node, "deposit", 3)),
            Step::Kill(node) => bed.kill(node),
            Step::Start(node) if bed.node(node).is_none() => bed.start(node),
            Step::Pause(node) => bed.pause(node),
            Step::Wake(node) => bed.wake(node),
            Step::Stop(node) if bed.runs(node) => bed.stop(node),
            Step::Start(_) | Step::Stop(_) => {}
            Step::Skew(node, skew_ms) => bed.set_skew_ms(node, skew_ms),
            Step::CutNodes(a, b) => bed.faults.cut(Place::Node(a), Place::Node(b)),
            Step::CutPlatform(node) => bed.faults.cut(Place::Node(node), Place::Platform),
            Step::CutUpstream(node, up) => bed.faults.cut(Place::Node(node), upstream(up)),
            Step::Heal => bed.faults.heal_all(),
            Step::PlatformDown(down) => bed.faults.platform_down = down,
            Step::LostAnswers(percent) => bed.faults.lost_answers_percent = percent,
            Step::LateWrites { count, late_by_ms } => {
                bed.faults.late_writes = count;
                bed.faults.late_by_ms = late_by_ms;
            }
            Step::Refuse(on) => {
                for name in UPSTREAMS {
                    bed.upstreams.get(name).refuses = on;
                }
            }
            Step::LoseAnswers(up, on) => bed.upstreams.get(UPSTREAMS[up]).loses_answers = on,
            Step::Pass(duration_ms) => bed.run_for(duration_ms),
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
        state.take(&transition);
        state
    }

    fn check_invariants(state: &Self, (): &()) {
        assert_holds(&judge(&state.bed));
    }

    fn teardown(mut state: Self, (): ()) {
        assert_holds(&settle(&mut state.bed));
    }
}

prop_state_machine! {
    #![proptest_config(config(48))]

    /// Under all faults, no key or ticket may run twice, nothing may run after *not run*, and no
    /// repeat may get the answer of another action.
    #[test]
    fn at_most_once(sequential 1..100 => Run);
}
