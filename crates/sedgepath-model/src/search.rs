//! The breadth-first explorer that all models share.
//!
//! A model is a set of initial states and a function that lists every step out of a state. The
//! explorer visits each reachable state once and stops at the first one that breaks a property.
//! Because the search is breadth-first, the trace to that state is a shortest counterexample, and
//! because steps are listed in a fixed order, the number of states explored is the same on every
//! run, so that tests can assert it.
//!
//! # Ways weighed
//!
//! - A model checker (`stateright`) is not served by the package registry.
//! - A hand-written queue with a visited set repeats what [`pathfinding`] already has.
//! - [`pathfinding::directed::bfs::bfs`] returns the path between states but not the actions; these
//!   are found again from the pairs of neighbouring states, which keeps the action out of the state
//!   (two actions with the same result must lead to one state, not two).
//!
//! A state space that turns out larger than the limit is reported as [`Verdict::LimitReached`],
//! never as proved.

use std::fmt::{self, Debug, Display, Formatter};
use std::hash::Hash;

use pathfinding::NodeRefs;
use pathfinding::directed::bfs::bfs;

/// The most states that an exploration expands before it gives up.
pub const STATE_LIMIT: usize = 5_000_000;

/// One step out of a state.
#[derive(Debug)]
pub struct Step<A, S> {
    /// What happens.
    pub action: A,
    /// The state afterwards.
    pub next: S,
}

impl<A, S> Step<A, S> {
    /// Creates a step.
    pub fn new(action: A, next: S) -> Self {
        Self { action, next }
    }
}

/// The steps out of one state, as a model collects them.
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

    /// Adds the step that `change` makes, unless it changes nothing.
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
    /// Everything that decides how the protocol can go on.
    type State: Debug + Clone + Eq + Hash;
    /// What can happen in a state.
    type Action: Debug + Clone;
    /// The property that a state breaks.
    type Violation: Debug;

    /// Lists the states in which the protocol can begin.
    fn initial_states(&self) -> Vec<Self::State>;

    /// Lists every step out of `state`, always in the same order.
    fn steps(&self, state: &Self::State) -> Vec<Step<Self::Action, Self::State>>;

    /// Names the property that `state` breaks, if any.
    fn violation(&self, state: &Self::State) -> Option<Self::Violation>;
}

/// The shortest way from an initial state to a violation.
#[derive(Debug)]
pub struct Counterexample<A, S, V> {
    /// The property that the last state breaks.
    pub violation: V,
    /// The state in which the trace begins.
    pub initial: S,
    /// The actions in order, each with the state that it leads to.
    pub trace: Vec<Step<A, S>>,
}

/// What an exploration found out.
#[derive(Debug)]
pub enum Verdict<A, S, V> {
    /// No reachable state breaks a property.
    Holds,
    /// Some reachable state breaks a property.
    Violated(Counterexample<A, S, V>),
    /// The limit was reached without a violation; nothing is proved.
    LimitReached,
}

/// The result of exploring a model.
#[derive(Debug)]
pub struct Exploration<A, S, V> {
    /// The number of distinct states whose steps were listed. All reachable ones if the verdict is
    /// [`Verdict::Holds`].
    pub explored: usize,
    /// Whether the properties hold.
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

/// Formats the result in one line, for example `412 states, violated: RanTwice after 9 steps`; the
/// alternate form adds the actions, each on a line of its own.
/// The steps of a counterexample that are printed on one line.
const STEPS_PER_LINE: usize = 4;

impl<A: Debug, S, V: Debug> Display for Exploration<A, S, V> {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "{} states, ", self.explored)?;
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

/// Explores `model` exhaustively, up to [`STATE_LIMIT`] states.
pub fn explore<M: Model>(model: &M) -> ExplorationOf<M> {
    search(model, STATE_LIMIT, |state| model.violation(state))
}

/// Explores `model` up to `state_limit` states.
pub fn explore_up_to<M: Model>(model: &M, state_limit: usize) -> ExplorationOf<M> {
    search(model, state_limit, |state| model.violation(state))
}

/// Marks a state that [`reach`] looked for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Reached;

/// Looks for a state that is wanted rather than forbidden.
///
/// A model in which nothing can happen breaks no property either. Tests use this to show that the
/// runs which the protocol is there for do occur. The state is reported as a violation by
/// [`Reached`].
pub fn reach<M: Model>(
    model: &M,
    wanted: impl Fn(&M::State) -> bool,
) -> Exploration<M::Action, M::State, Reached> {
    search(model, STATE_LIMIT, |state| wanted(state).then_some(Reached))
}

fn search<M: Model, V>(
    model: &M,
    state_limit: usize,
    violation: impl Fn(&M::State) -> Option<V>,
) -> Exploration<M::Action, M::State, V> {
    let mut explored = 0;
    let mut limit_reached = false;
    let initial = model.initial_states();
    let path = bfs(
        initial.iter().collect::<NodeRefs<_>>(),
        |state| {
            if explored == state_limit {
                limit_reached = true;
                return Vec::new();
            }
            explored += 1;
            model.steps(state).into_iter().map(|step| step.next).collect()
        },
        |state| violation(state).is_some(),
    );
    let verdict = match path.and_then(|path| counterexample(model, path, &violation)) {
        Some(found) => Verdict::Violated(found),
        None if limit_reached => Verdict::LimitReached,
        None => Verdict::Holds,
    };
    Exploration { explored, verdict }
}

/// Finds the actions that lead from each state of `path` to the next.
fn counterexample<M: Model, V>(
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
