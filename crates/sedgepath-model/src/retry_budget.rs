//! The retry budget that all VMs share, kept by each process for itself.
//!
//! # Problem
//!
//! A request that an upstream refuses may be sent to another one. All such repeats together, in any
//! window and over all VMs, must stay below a share of the requests and a slack, or an outage
//! multiplies its own load. VMs start, end and may not hear each other; a process knows neither what the last one
//! on its VM has sent nor, for sure, how many VMs there are. Nothing that lasts is written for a repeat.
//!
//! # The rules
//!
//! - A request adds a part of what it pays for to its process's bucket; a repeat takes a whole one out.
//! - Saved at most is the other part of what the requests of the last window pay for, and the VM's part of
//!   what may be kept of the slack.
//! - A process begins with nothing saved.
//! - The slack is split by the most VMs that the process has known at a time, those known by address only
//!   among them.
//! - A part of the slack is not saved by anyone: it is for repeats on their way.
//!
//! # Ways weighed
//!
//! *Each process counts requests and repeats of its own last window* ([`Safeguard::Bucket`] left out): with a restart
//! two processes of one VM spend the same requests twice in one window; without any, what one window's requests
//! pay for is spent in a window that holds a part of them only.
//!
//! # Property
//!
//! In each window, repeats that arrive are at most the requests of that window, of the one before it or of the one
//! half a window before it, whichever are most, and the slack ([`Violation::Excess`]). A request pays for one repeat here,
//! half of it earned and half of it to be saved, so that small numbers show every rule.
//!
//! # How it is modelled
//!
//! Time in ticks, any number of steps between two. A VM gets one request a tick at most, or two. A repeat is on its way for up to two
//! ticks; at most as many are as the rest of the slack is for. A restart takes no time.
//!
//! # Left out
//!
//! Requests that operators don't count; requests that wait unread at a VM that stands still; windows that begin between two
//! ticks (the fuzz test of the core checks each millisecond).

use crate::search::{Model, Step, Steps};
use crate::variant::Variant;

/// VMs at most.
const VMS: usize = 2;
/// The ticks of the longest window that can be modelled.
const MOST_TICKS: usize = 4;
/// How many ticks after it was sent a repeat may arrive.
const WAY_TICKS: usize = 2;
/// What a repeat takes out of a bucket; a request adds one.
const REPEAT_COST: u8 = 2;

/// A VM, by index.
pub type Vm = usize;

/// A rule that the budget relies on; the model can leave one out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Safeguard {
    /// A process keeps a bucket, in place of counting its own last window.
    Bucket,
    /// What is saved is bounded by what the last window's requests pay for.
    SavedBound,
    /// A process begins with nothing saved.
    EmptyAtStart,
    /// VMs that are no longer heard keep their part of the slack.
    MostVmsKept,
    /// A process counts the VMs that it knows by address only.
    AddressesCount,
    /// A part of the slack is left for repeats on their way.
    RestForTheWay,
}

impl Safeguard {
    /// All rules.
    pub const ALL: [Self; 6] = [
        Self::Bucket,
        Self::SavedBound,
        Self::EmptyAtStart,
        Self::MostVmsKept,
        Self::AddressesCount,
        Self::RestForTheWay,
    ];
}

/// What must not happen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Violation {
    /// More repeats arrived in a window than allowed.
    Excess,
}

/// What can happen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Action {
    /// A caller asks a VM.
    Ask(Vm),
    /// A VM sends a repeat.
    Repeat(Vm),
    /// A repeat arrives.
    Arrive,
    /// A VM's process ends and another one starts.
    Restart(Vm),
    /// A VM no longer hears the others.
    Lose(Vm),
    /// A VM hears the others.
    Hear(Vm),
    /// Time passes.
    Tick,
}

/// What a process knows.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Process {
    /// What is saved, in parts of a repeat.
    saved: u8,
    /// The requests of the last ticks, the current one first.
    asked: [u8; MOST_TICKS],
    /// The repeats of the last ticks, the current one first.
    repeated: [u8; MOST_TICKS],
    /// Whether it hears the others now.
    hears: bool,
    /// Whether it has ever known of the others.
    knows: bool,
}

/// The state of all VMs, and what operators have seen.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct State {
    processes: [Process; VMS],
    /// Requests of all VMs in the last ticks, the current one first.
    asked: [u8; 2 * MOST_TICKS + 1],
    /// Repeats that arrived in the last ticks, the current one first.
    arrived: [u8; MOST_TICKS + 1],
    /// Repeats on their way since the current tick and since those before.
    under_way: [u8; 1 + WAY_TICKS],
    restarts: u8,
}

/// The model of the retry budget.
#[derive(Debug, Clone)]
pub struct RetryBudgetModel {
    vms: usize,
    window_ticks: usize,
    /// The slack, in repeats.
    slack: u8,
    /// The part of it that may be saved, in repeats.
    kept: u8,
    restarts: u8,
    /// The requests that a VM gets in a tick at most.
    asks: u8,
    variant: Variant<Safeguard, Violation>,
}

impl RetryBudgetModel {
    /// Creates the model of some VMs with an even window of some ticks, without slack and restarts.
    pub fn new(vms: usize, window_ticks: usize) -> Self {
        Self { vms, window_ticks, slack: 0, kept: 0, restarts: 0, asks: 1, variant: Variant::new() }
    }

    /// Sets the slack and the part of it that may be saved, in repeats; the rest may be on its way.
    pub fn with_slack(self, slack: u8, kept: u8) -> Self {
        Self { slack, kept, ..self }
    }

    /// Sets how many processes may restart.
    pub fn with_restarts(self, restarts: u8) -> Self {
        Self { restarts, ..self }
    }

    /// Sets how many requests a VM gets in a tick at most.
    pub fn with_asks(self, asks: u8) -> Self {
        Self { asks, ..self }
    }

    /// Leaves out one rule.
    pub fn with_removed(self, removed: Safeguard) -> Self {
        Self { variant: self.variant.with_removed(removed), ..self }
    }

    /// Returns a small model in which a rule is needed, without it.
    pub fn smallest_without(removed: Safeguard) -> Self {
        let model = match removed {
            Safeguard::Bucket => Self::new(1, 4),
            Safeguard::SavedBound => Self::new(1, 2),
            Safeguard::EmptyAtStart => Self::new(1, 2).with_slack(1, 1).with_restarts(2),
            Safeguard::MostVmsKept | Safeguard::AddressesCount => Self::new(2, 2).with_slack(1, 1),
            Safeguard::RestForTheWay => Self::new(1, 2).with_slack(3, 1).with_asks(2),
        };
        model.with_removed(removed)
    }

    fn keeps(&self, safeguard: Safeguard) -> bool {
        self.variant.keeps(safeguard)
    }

    /// Whether it matters which VMs a process hears: not where it knows of the others from its start on.
    fn hearing_counts(&self) -> bool {
        !(self.keeps(Safeguard::MostVmsKept) && self.keeps(Safeguard::AddressesCount))
    }

    /// Returns a process that has just started.
    fn started(&self) -> Process {
        let knows = self.keeps(Safeguard::AddressesCount);
        let mut process = Process {
            saved: 0,
            asked: [0; MOST_TICKS],
            repeated: [0; MOST_TICKS],
            hears: false,
            knows,
        };
        if !self.keeps(Safeguard::EmptyAtStart) {
            process.saved = self.part(&process);
        }
        process
    }

    /// Returns the part of the slack that a process may save.
    fn part(&self, process: &Process) -> u8 {
        let kept = if self.keeps(Safeguard::RestForTheWay) { self.kept } else { self.slack };
        let knows_others =
            if self.keeps(Safeguard::MostVmsKept) { process.knows } else { process.hears };
        let sharing = if knows_others { self.vms as u8 } else { 1 };
        kept * REPEAT_COST / sharing
    }

    fn in_window(&self, ticks: &[u8]) -> u8 {
        ticks[..self.window_ticks].iter().sum()
    }

    /// Returns a process in which no more is saved than may be.
    fn bounded(&self, mut process: Process) -> Process {
        if self.keeps(Safeguard::SavedBound) {
            let most = self.part(&process) + self.in_window(&process.asked);
            process.saved = process.saved.min(most);
        }
        process
    }

    fn ask(&self, state: &mut State, vm: Vm) {
        let mut process = self.bounded(state.processes[vm]);
        // Without a bound the state space would have no end; more than this is never spent in a window.
        let most = 2 * MOST_TICKS as u8 * REPEAT_COST;
        process.saved = (process.saved + 1).min(most);
        process.asked[0] += 1;
        state.processes[vm] = process;
        state.asked[0] += 1;
    }

    fn may_repeat(&self, process: &Process) -> bool {
        if self.keeps(Safeguard::Bucket) {
            return self.bounded(*process).saved >= REPEAT_COST;
        }
        let repeated = self.in_window(&process.repeated);
        repeated < self.in_window(&process.asked) + self.part(process) / REPEAT_COST
    }

    fn repeat(&self, state: &mut State, vm: Vm) {
        let mut process = self.bounded(state.processes[vm]);
        process.saved = process.saved.saturating_sub(REPEAT_COST);
        if !self.keeps(Safeguard::Bucket) {
            process.repeated[0] += 1;
        }
        state.processes[vm] = process;
        state.under_way[0] += 1;
    }

    /// Whether one more repeat may be on its way; with none, it arrives at once.
    fn way_is_free(&self, state: &State) -> bool {
        let under_way: u8 = state.under_way.iter().sum();
        under_way < (self.slack - self.kept).max(1)
    }

    fn arrive(state: &mut State) {
        if let Some(oldest) = state.under_way.iter_mut().rev().find(|count| **count > 0) {
            *oldest -= 1;
            state.arrived[0] += 1;
        }
    }

    /// Whether time may pass: a repeat arrives within [`WAY_TICKS`], or at once if nothing of the slack is
    /// left for the way.
    fn may_tick(&self, state: &State) -> bool {
        let late = self.slack > self.kept;
        state.under_way[WAY_TICKS] == 0 && (late || state.under_way[0] == 0)
    }

    fn tick(&self, state: &mut State) {
        let window = self.window_ticks;
        for process in &mut state.processes {
            shift(&mut process.asked[..window]);
            shift(&mut process.repeated[..window]);
        }
        shift(&mut state.asked[..=2 * window]);
        shift(&mut state.arrived[..=window]);
        shift(&mut state.under_way);
    }
}

/// Begins a new tick.
fn shift(ticks: &mut [u8]) {
    ticks.rotate_right(1);
    if let Some(current) = ticks.first_mut() {
        *current = 0;
    }
}

impl Model for RetryBudgetModel {
    type State = State;
    type Action = Action;
    type Violation = Violation;

    fn initial_states(&self) -> Vec<State> {
        let process = self.started();
        vec![State {
            processes: [process; VMS],
            asked: [0; 2 * MOST_TICKS + 1],
            arrived: [0; MOST_TICKS + 1],
            under_way: [0; 1 + WAY_TICKS],
            restarts: self.restarts,
        }]
    }

    fn steps(&self, state: &State) -> Vec<Step<Action, State>> {
        let mut steps = Steps::new(state);
        for vm in 0..self.vms {
            let process = state.processes[vm];
            if process.asked[0] < self.asks {
                steps.add(Action::Ask(vm), |next| self.ask(next, vm));
            }
            if self.may_repeat(&process) && self.way_is_free(state) {
                steps.add(Action::Repeat(vm), |next| self.repeat(next, vm));
            }
            if state.restarts > 0 {
                steps.add(Action::Restart(vm), |next| {
                    // The callers whom the last process has served ask the new one.
                    let asked_now = next.processes[vm].asked[0];
                    next.processes[vm] = self.started();
                    next.processes[vm].asked[0] = asked_now;
                    next.restarts -= 1;
                });
            }
            if self.vms > 1 && self.hearing_counts() {
                steps.add(Action::Lose(vm), |next| next.processes[vm].hears = false);
                steps.add(Action::Hear(vm), |next| {
                    next.processes[vm].hears = true;
                    next.processes[vm].knows = true;
                });
            }
        }
        if state.under_way.iter().any(|count| *count > 0) {
            steps.add(Action::Arrive, Self::arrive);
        }
        if self.may_tick(state) {
            steps.add(Action::Tick, |next| self.tick(next));
        }
        steps.into_vec()
    }

    fn violation(&self, state: &State) -> Option<Violation> {
        let window = self.window_ticks;
        let arrived: u8 = state.arrived[1..=window].iter().sum();
        let most = [0, window / 2, window]
            .map(|before| state.asked[1 + before..=window + before].iter().sum::<u8>())
            .into_iter()
            .max()
            .unwrap_or(0);
        self.variant.first_violation([Violation::Excess], |_| arrived > most + self.slack)
    }
}
