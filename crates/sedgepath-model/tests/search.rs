//! The explorer itself: what it counts, what it finds, and what it does not claim.

use sedgepath_model::search::{Model, Step, Steps, Verdict, explore, explore_up_to, reach};

/// A counter that goes up by one or by two, to a limit, and must not reach a forbidden value.
#[derive(Debug)]
struct Counter {
    limit: u32,
    forbidden: u32,
}

/// How far the counter goes up.
#[derive(Debug, Clone, PartialEq, Eq)]
enum Up {
    One,
    Two,
}

impl Model for Counter {
    type State = u32;
    type Action = Up;
    type Violation = u32;

    fn initial_states(&self) -> Vec<u32> {
        vec![0]
    }

    fn steps(&self, state: &u32) -> Vec<Step<Up, u32>> {
        let mut steps = Steps::new(state);
        for (action, by) in [(Up::One, 1), (Up::Two, 2)] {
            steps.add(action, |s| *s = (*s + by).min(self.limit));
        }
        steps.into_vec()
    }

    fn violation(&self, state: &u32) -> Option<u32> {
        (*state == self.forbidden).then_some(*state)
    }
}

// The limit of the counter lies below the forbidden value. All eleven states are visited once each,
// though most are reached in two ways.
#[test]
fn all_states_are_explored_once() {
    let exploration = explore(&Counter { limit: 10, forbidden: 11 });
    assert!(matches!(exploration.verdict, Verdict::Holds));
    assert_eq!(exploration.explored, 11);
}

// The forbidden value can be reached in many ways; the trace is one of the shortest, and its
// actions lead from the initial state to the last.
#[test]
fn counterexample_is_shortest() {
    let exploration = explore(&Counter { limit: 10, forbidden: 6 });
    let found = exploration.counterexample().expect("the counter passes 6");
    assert_eq!((found.initial, found.violation), (0, 6));
    let actions: Vec<_> = found.trace.iter().map(|step| step.action.clone()).collect();
    assert_eq!(actions, [Up::Two, Up::Two, Up::Two]);
}

// The search is cut off before it comes to the forbidden value. That must not read as proved.
#[test]
fn cut_off_search_proves_nothing() {
    let exploration = explore_up_to(&Counter { limit: 1_000, forbidden: 900 }, 10);
    assert!(matches!(exploration.verdict, Verdict::LimitReached));
    assert_eq!(exploration.explored, 10);
    assert_eq!(exploration.to_string(), "10 states, limit reached, nothing proved");
}

// A wanted state beyond the limit of the counter is not reached, one within is.
#[test]
fn wanted_states_are_reached_or_not() {
    let counter = Counter { limit: 10, forbidden: 11 };
    assert!(reach(&counter, |state| *state == 9).counterexample().is_some());
    assert!(reach(&counter, |state| *state == 12).counterexample().is_none());
}
