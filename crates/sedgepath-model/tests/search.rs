//! Tests of the breadth-first search.

use sedgepath_model::search::{
    Model, Step, Steps, Verdict, explore, explore_with_limit, find_reachable_state,
};

/// A counter that increases by one or two, up to a limit, and must not reach a forbidden value.
#[derive(Debug)]
struct Counter {
    limit: u32,
    forbidden: u32,
}

/// A step of the counter.
#[derive(Debug, Clone, PartialEq, Eq)]
enum Increment {
    One,
    Two,
}

impl Model for Counter {
    type State = u32;
    type Action = Increment;
    type Violation = u32;

    fn initial_states(&self) -> Vec<u32> {
        vec![0]
    }

    fn steps(&self, state: &u32) -> Vec<Step<Increment, u32>> {
        let mut steps = Steps::new(state);
        for (action, by) in [(Increment::One, 1), (Increment::Two, 2)] {
            steps.add(action, |s| *s = (*s + by).min(self.limit));
        }
        steps.into_vec()
    }

    fn violation(&self, state: &u32) -> Option<u32> {
        (*state == self.forbidden).then_some(*state)
    }
}

// Guards against missing states and states that are counted once per path.
#[test]
fn all_states_are_explored_once() {
    let exploration = explore(&Counter { limit: 10, forbidden: 11 });
    assert!(matches!(exploration.verdict, Verdict::Holds));
    assert_eq!(exploration.explored_states, 11);
}

// Guards against a trace that is longer than necessary or does not lead to the violation.
#[test]
fn counterexample_is_shortest() {
    let exploration = explore(&Counter { limit: 10, forbidden: 6 });
    let found = exploration.counterexample().expect("the counter passes 6");
    assert_eq!((found.initial, found.violation), (0, 6));
    let actions: Vec<_> = found.trace.iter().map(|step| step.action.clone()).collect();
    assert_eq!(actions, [Increment::Two, Increment::Two, Increment::Two]);
}

// Guards against a limited search that is reported as a proof.
#[test]
fn limited_search_reports_limit_reached() {
    let exploration = explore_with_limit(&Counter { limit: 1_000, forbidden: 900 }, 10);
    assert!(matches!(exploration.verdict, Verdict::LimitReached));
    assert_eq!(exploration.explored_states, 10);
    assert_eq!(exploration.to_string(), "10 states, limit reached, nothing proved");
}

// Guards against reporting an unreachable state as found, or the reverse.
#[test]
fn only_reachable_targets_are_found() {
    let counter = Counter { limit: 10, forbidden: 11 };
    assert!(find_reachable_state(&counter, |state| *state == 9).counterexample().is_some());
    assert!(find_reachable_state(&counter, |state| *state == 12).counterexample().is_none());
}
