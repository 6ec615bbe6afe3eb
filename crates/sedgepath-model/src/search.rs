//! Breadth-first exploration of a [`Model`].
//!
//! Each reachable state is expanded once, up to a limit, and the search stops at the first state
//! that breaks a property. The trace to that state is a shortest counterexample. Steps are listed
//! in a fixed order, so the number of explored states is the same in every run.
//!
//! The path search of [`pathfinding`] returns states without actions. The actions are found again
//! from each pair of neighboring states, so that two actions with the same result lead to one
//! state.

use std::fmt::{self, Debug, Display, Formatter};
use std::hash::Hash;

use pathfinding::NodeRefs;
use pathfinding::directed::bfs::bfs;

/// The number of states that an exploration expands before it stops.
pub const MAX_EXPLORED_STATES: usize = 5_000_000;

/// A step out of a state.
#[derive(Debug)]
pub struct Step<A, S> {
    /// The action of the step.
    pub action: A,
    /// The state after the action.
    pub next: S,
}

impl<A, S> Step<A, S> {
    /// Creates a step from its action and the state that it leads to.
    pub fn new(action: A, next: S) -> Self {
        Self { action, next }
    }
}

/// A list of the steps out of one state.
#[derive(Debug)]
pub struct Steps<A, S> {
    from: S,
    steps: Vec<Step<A, S>>,
}

impl<A, S: Clone + PartialEq> Steps<A, S> {
    /// Creates an empty list of steps out of `from`.
    pub fn new(from: &S) -> Self {
        Self { from: from.clone(), steps: Vec::new() }
    }

    /// Adds the step that `change` makes, unless it leaves the state unchanged.
    pub fn add(&mut self, action: A, change: impl FnOnce(&mut S)) {
        let mut next = self.from.clone();
        change(&mut next);
        if next != self.from {
            self.steps.push(Step::new(action, next));
        }
    }

    /// Returns the steps in the order in which they were added.
    pub fn into_vec(self) -> Vec<Step<A, S>> {
        self.steps
    }
}

/// A protocol small enough to be explored exhaustively.
pub trait Model {
    /// The complete state of the protocol.
    type State: Debug + Clone + Eq + Hash;
    /// An event that changes the state.
    type Action: Debug + Clone;
    /// A property that a state can break.
    type Violation: Debug;

    /// Returns the states in which the protocol can begin.
    fn initial_states(&self) -> Vec<Self::State>;

    /// Returns every step out of `state`, always in the same order.
    fn steps(&self, state: &Self::State) -> Vec<Step<Self::Action, Self::State>>;

    /// Returns the property that `state` breaks, if any.
    fn violation(&self, state: &Self::State) -> Option<Self::Violation>;
}

/// A shortest path from an initial state to a violation.
#[derive(Debug)]
pub struct Counterexample<A, S, V> {
    /// The property that the last state breaks.
    pub violation: V,
    /// The state in which the trace begins.
    pub initial: S,
    /// The steps in order.
    pub trace: Vec<Step<A, S>>,
}

/// The outcome of an exploration.
#[derive(Debug)]
pub enum Verdict<A, S, V> {
    /// No reachable state breaks a property.
    Holds,
    /// A reachable state breaks a property.
    Violated(Counterexample<A, S, V>),
    /// The limit was reached without a violation, so nothing is proved.
    LimitReached,
}

/// The result of exploring a model.
#[derive(Debug)]
pub struct Exploration<A, S, V> {
    /// The number of distinct states that were expanded: all reachable states if the verdict is
    /// [`Verdict::Holds`].
    pub explored_states: usize,
    /// The outcome of the exploration.
    pub verdict: Verdict<A, S, V>,
}

/// The [`Exploration`] of the model `M`.
pub type ExplorationOf<M> =
    Exploration<<M as Model>::Action, <M as Model>::State, <M as Model>::Violation>;

impl<A, S, V> Exploration<A, S, V> {
    /// Returns the counterexample, if there is one.
    pub fn counterexample(&self) -> Option<&Counterexample<A, S, V>> {
        match &self.verdict {
            Verdict::Violated(counterexample) => Some(counterexample),
            Verdict::Holds | Verdict::LimitReached => None,
        }
    }
}

/// The number of actions printed on a line of a counterexample.
const STEPS_PER_LINE: usize = 4;

/// Formats the result in one line, for example `412 states, violated: RanTwice after 9 steps`. The
/// alternate form adds the actions of the counterexample.
impl<A: Debug, S, V: Debug> Display for Exploration<A, S, V> {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "{} states, ", self.explored_states)?;
        let found = match &self.verdict {
            Verdict::Holds => return write!(f, "holds"),
            Verdict::LimitReached => return write!(f, "limit reached, nothing proved"),
            Verdict::Violated(found) => found,
        };
        write!(f, "violated: {:?} after {} steps", found.violation, found.trace.len())?;
        if f.alternate() {
            for (number, step) in found.trace.iter().enumerate() {
                let separator = if number % STEPS_PER_LINE == 0 { "\n" } else { ", " };
                write!(f, "{separator}{:?}", step.action)?;
            }
        }
        Ok(())
    }
}

/// Explores `model`, up to [`MAX_EXPLORED_STATES`] states.
pub fn explore<M: Model>(model: &M) -> ExplorationOf<M> {
    search(model, MAX_EXPLORED_STATES, |state| model.violation(state))
}

/// Explores `model`, up to `state_limit` states.
pub fn explore_with_limit<M: Model>(model: &M, state_limit: usize) -> ExplorationOf<M> {
    search(model, state_limit, |state| model.violation(state))
}

/// The violation that [`find_reachable_state`] reports for a state that it found.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TargetReached;

/// Searches for a reachable state, which is reported as the violation [`TargetReached`].
///
/// Tests use this to show that a property does not hold merely because nothing happens.
pub fn find_reachable_state<M: Model>(
    model: &M,
    wanted: impl Fn(&M::State) -> bool,
) -> Exploration<M::Action, M::State, TargetReached> {
    search(model, MAX_EXPLORED_STATES, |state| wanted(state).then_some(TargetReached))
}

fn search<M: Model, V>(
    model: &M,
    state_limit: usize,
    violation: impl Fn(&M::State) -> Option<V>,
) -> Exploration<M::Action, M::State, V> {
    let mut explored_states = 0;
    let mut limit_reached = false;
    let initial = model.initial_states();
    let path = bfs(
        initial.iter().collect::<NodeRefs<_>>(),
        |state| {
            if explored_states == state_limit {
                limit_reached = true;
                return Vec::new();
            }
            explored_states += 1;
            model.steps(state).into_iter().map(|step| step.next).collect()
        },
        |state| violation(state).is_some(),
    );
    let verdict = match path.and_then(|path| reconstruct_counterexample(model, path, &violation)) {
        Some(found) => Verdict::Violated(found),
        None if limit_reached => Verdict::LimitReached,
        None => Verdict::Holds,
    };
    Exploration { explored_states, verdict }
}

/// Returns the trace of a path, or `None` if the path does not end in a violation.
fn reconstruct_counterexample<M: Model, V>(
    model: &M,
    path: Vec<M::State>,
    violation: impl Fn(&M::State) -> Option<V>,
) -> Option<Counterexample<M::Action, M::State, V>> {
    let violation = path.last().and_then(violation)?;
    let mut states = path.into_iter();
    let initial = states.next()?;
    let mut trace: Vec<Step<M::Action, M::State>> = Vec::new();
    for next in states {
        let before = trace.last().map_or(&initial, |step| &step.next);
        let step = model.steps(before).into_iter().find(|step| step.next == next)?;
        trace.push(step);
    }
    Some(Counterexample { violation, initial, trace })
}
