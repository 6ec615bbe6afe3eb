//! Model of the retry budget that all VMs share, with a token bucket in each process.
//!
//! All retries together must stay below a share of the requests plus a slack, although VMs may
//! start, end and lose each other, and a process does not know what the previous process of its VM
//! has sent.
//!
//! # Rules
//!
//! - A request adds a part of what it pays for to the bucket of its process, and a retry takes the
//!   cost of one retry out.
//! - A bucket holds at most the other part of what the requests of the last window pay for, plus the
//!   VM's share of the savable part of the slack.
//! - A process starts without saved tokens.
//! - The slack is divided by the most VMs that the process has known at a time, including those
//!   that it knows by address only.
//! - The rest of the slack is reserved for retries in flight.
//!
//! # Property
//!
//! The retries that arrive in a window are at most the slack plus the most requests of that window,
//! the window before it or the window half a window before it ([`Violation::BudgetExceeded`]).
//!
//! # Scope
//!
//! Time advances in ticks, with any number of steps in between. A request is worth one retry: half
//! of it is available at once, and half as the cap of what is saved. Restarts take no time. Not
//! modeled: requests that operators do not count, unread requests at a paused VM, and windows that
//! begin between two ticks.

use crate::search::{Model, Step, Steps};
use crate::variant::Variant;

const MAX_VMS: usize = 2;
/// The length of the longest window that can be modeled.
const MAX_WINDOW_TICKS: usize = 4;
/// The time within which a retry arrives.
const MAX_DELIVERY_TICKS: usize = 2;
/// The tokens that a retry takes from a bucket; a request adds one token.
const RETRY_COST: u8 = 2;

/// A VM, by index.
pub type Vm = usize;

/// A rule of the budget that a model can omit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Safeguard {
    /// A process keeps a token bucket instead of counting requests and retries of a sliding window.
    TokenBucket,
    /// Saved tokens are capped by the last window's requests and the process's share of the slack.
    SavedTokensCapped,
    /// A process starts without saved tokens.
    EmptyAtStart,
    /// The slack is divided by the most VMs that the process has known, including those no longer
    /// heard.
    MaxVmCountKept,
    /// A process counts the VMs that it knows by address only.
    AddressOnlyVmsCounted,
    /// A part of the slack is reserved for retries in flight.
    SlackForInFlight,
}

impl Safeguard {
    /// All safeguards, in the order of the report.
    pub const ALL: [Self; 6] = [
        Self::TokenBucket,
        Self::SavedTokensCapped,
        Self::EmptyAtStart,
        Self::MaxVmCountKept,
        Self::AddressOnlyVmsCounted,
        Self::SlackForInFlight,
    ];
}

/// A broken property.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Violation {
    /// More retries arrived in a window than allowed.
    BudgetExceeded,
}

/// A step of the model.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Action {
    /// A VM receives a request.
    ReceiveRequest(Vm),
    /// A VM sends a retry.
    SendRetry(Vm),
    /// The oldest retry in flight arrives.
    DeliverRetry,
    /// A VM's process is replaced by a new one.
    Restart(Vm),
    /// A VM stops hearing its peers.
    LosePeers(Vm),
    /// A VM hears its peers.
    HearPeers(Vm),
    /// Time advances by one tick.
    Tick,
}

/// The state of a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Process {
    /// The saved tokens; [`RETRY_COST`] of them pay for a retry.
    saved_tokens: u8,
    /// The requests per tick, the current tick first.
    requests: [u8; MAX_WINDOW_TICKS],
    /// The retries sent per tick, the current tick first.
    retries: [u8; MAX_WINDOW_TICKS],
    /// Whether the process hears its peers now.
    hears_peers: bool,
    /// Whether the process has ever known its peers.
    has_known_peers: bool,
}

/// The state of all VMs, with the counts that the property is about.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct State {
    processes: [Process; MAX_VMS],
    /// The requests to all VMs per tick, the current tick first.
    requests: [u8; 2 * MAX_WINDOW_TICKS + 1],
    /// The retries that arrived per tick, the current tick first.
    arrived_retries: [u8; MAX_WINDOW_TICKS + 1],
    /// The retries in flight by the tick in which they were sent, the current tick first.
    in_flight_retries: [u8; 1 + MAX_DELIVERY_TICKS],
    restarts: u8,
}

/// A model of the retry budget.
#[derive(Debug, Clone)]
pub struct RetryBudgetModel {
    vms: usize,
    window_ticks: usize,
    /// The slack, in retries.
    slack: u8,
    /// The part of the slack that may be saved, in retries.
    savable_slack: u8,
    restarts: u8,
    /// The limit on requests to a VM in a tick.
    max_requests_per_tick: u8,
    variant: Variant<Safeguard, Violation>,
}

impl RetryBudgetModel {
    /// Creates a model of `vms` VMs with an even window of `window_ticks` ticks, without slack and
    /// restarts.
    pub fn new(vms: usize, window_ticks: usize) -> Self {
        Self {
            vms,
            window_ticks,
            slack: 0,
            savable_slack: 0,
            restarts: 0,
            max_requests_per_tick: 1,
            variant: Variant::new(),
        }
    }

    /// Sets the slack and the part of it that may be saved, in retries. The rest is for retries in
    /// flight.
    pub fn with_slack(self, slack: u8, savable_slack: u8) -> Self {
        Self { slack, savable_slack, ..self }
    }

    /// Sets the number of process restarts.
    pub fn with_restarts(self, restarts: u8) -> Self {
        Self { restarts, ..self }
    }

    /// Sets the limit on requests to a VM in a tick.
    pub fn with_max_requests_per_tick(self, max_requests_per_tick: u8) -> Self {
        Self { max_requests_per_tick, ..self }
    }

    /// Omits one safeguard.
    pub fn without_safeguard(self, removed: Safeguard) -> Self {
        Self { variant: self.variant.without_safeguard(removed), ..self }
    }

    /// Creates a small model in which omitting `removed` causes a violation.
    pub fn smallest_without(removed: Safeguard) -> Self {
        let model = match removed {
            Safeguard::TokenBucket => Self::new(1, 4),
            Safeguard::SavedTokensCapped => Self::new(1, 2),
            Safeguard::EmptyAtStart => Self::new(1, 2).with_slack(1, 1).with_restarts(2),
            Safeguard::MaxVmCountKept | Safeguard::AddressOnlyVmsCounted => {
                Self::new(2, 2).with_slack(1, 1)
            }
            Safeguard::SlackForInFlight => {
                Self::new(1, 2).with_slack(3, 1).with_max_requests_per_tick(2)
            }
        };
        model.without_safeguard(removed)
    }

    fn enforces(&self, safeguard: Safeguard) -> bool {
        self.variant.enforces(safeguard)
    }

    /// Returns whether it matters which peers a process hears. With both safeguards it does not, as a
    /// process knows all peers from its start.
    fn peer_visibility_matters(&self) -> bool {
        !(self.enforces(Safeguard::MaxVmCountKept)
            && self.enforces(Safeguard::AddressOnlyVmsCounted))
    }

    /// Returns the state of a process after its start.
    fn new_process(&self) -> Process {
        let has_known_peers = self.enforces(Safeguard::AddressOnlyVmsCounted);
        let mut process = Process {
            saved_tokens: 0,
            requests: [0; MAX_WINDOW_TICKS],
            retries: [0; MAX_WINDOW_TICKS],
            hears_peers: false,
            has_known_peers,
        };
        if !self.enforces(Safeguard::EmptyAtStart) {
            process.saved_tokens = self.slack_share(&process);
        }
        process
    }

    /// Returns the tokens of the slack that a process may save.
    fn slack_share(&self, process: &Process) -> u8 {
        let savable_slack = if self.enforces(Safeguard::SlackForInFlight) {
            self.savable_slack
        } else {
            self.slack
        };
        let peers_counted = if self.enforces(Safeguard::MaxVmCountKept) {
            process.has_known_peers
        } else {
            process.hears_peers
        };
        let sharing_vm_count = if peers_counted { self.vms as u8 } else { 1 };
        savable_slack * RETRY_COST / sharing_vm_count
    }

    fn window_sum(&self, ticks: &[u8]) -> u8 {
        ticks[..self.window_ticks].iter().sum()
    }

    /// Returns the process with its saved tokens capped.
    fn with_capped_tokens(&self, mut process: Process) -> Process {
        if self.enforces(Safeguard::SavedTokensCapped) {
            let max_tokens = self.slack_share(&process) + self.window_sum(&process.requests);
            process.saved_tokens = process.saved_tokens.min(max_tokens);
        }
        process
    }

    fn receive_request(&self, state: &mut State, vm: Vm) {
        let mut process = self.with_capped_tokens(state.processes[vm]);
        // Keeps the state space finite; more tokens can never be spent in a window.
        let max_tokens = 2 * MAX_WINDOW_TICKS as u8 * RETRY_COST;
        process.saved_tokens = (process.saved_tokens + 1).min(max_tokens);
        process.requests[0] += 1;
        state.processes[vm] = process;
        state.requests[0] += 1;
    }

    fn may_retry(&self, process: &Process) -> bool {
        if self.enforces(Safeguard::TokenBucket) {
            return self.with_capped_tokens(*process).saved_tokens >= RETRY_COST;
        }
        let retries = self.window_sum(&process.retries);
        retries < self.window_sum(&process.requests) + self.slack_share(process) / RETRY_COST
    }

    fn send_retry(&self, state: &mut State, vm: Vm) {
        let mut process = self.with_capped_tokens(state.processes[vm]);
        process.saved_tokens = process.saved_tokens.saturating_sub(RETRY_COST);
        if !self.enforces(Safeguard::TokenBucket) {
            process.retries[0] += 1;
        }
        state.processes[vm] = process;
        state.in_flight_retries[0] += 1;
    }

    /// Returns whether one more retry may be in flight. If no slack is reserved, one retry may be,
    /// and arrives in the same tick.
    fn has_in_flight_capacity(&self, state: &State) -> bool {
        let in_flight: u8 = state.in_flight_retries.iter().sum();
        in_flight < (self.slack - self.savable_slack).max(1)
    }

    fn deliver_retry(state: &mut State) {
        if let Some(oldest) = state.in_flight_retries.iter_mut().rev().find(|count| **count > 0) {
            *oldest -= 1;
            state.arrived_retries[0] += 1;
        }
    }

    /// Returns whether time may pass: retries arrive within [`MAX_DELIVERY_TICKS`], or in the same
    /// tick if no slack is reserved for them.
    fn may_tick(&self, state: &State) -> bool {
        let delivery_may_be_delayed = self.slack > self.savable_slack;
        state.in_flight_retries[MAX_DELIVERY_TICKS] == 0
            && (delivery_may_be_delayed || state.in_flight_retries[0] == 0)
    }

    fn tick(&self, state: &mut State) {
        let window = self.window_ticks;
        for process in &mut state.processes {
            start_tick(&mut process.requests[..window]);
            start_tick(&mut process.retries[..window]);
        }
        start_tick(&mut state.requests[..=2 * window]);
        start_tick(&mut state.arrived_retries[..=window]);
        start_tick(&mut state.in_flight_retries);
    }
}

/// Shifts counts by one tick.
fn start_tick(ticks: &mut [u8]) {
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
        let process = self.new_process();
        vec![State {
            processes: [process; MAX_VMS],
            requests: [0; 2 * MAX_WINDOW_TICKS + 1],
            arrived_retries: [0; MAX_WINDOW_TICKS + 1],
            in_flight_retries: [0; 1 + MAX_DELIVERY_TICKS],
            restarts: self.restarts,
        }]
    }

    fn steps(&self, state: &State) -> Vec<Step<Action, State>> {
        let mut steps = Steps::new(state);
        for vm in 0..self.vms {
            let process = state.processes[vm];
            if process.requests[0] < self.max_requests_per_tick {
                steps.add(Action::ReceiveRequest(vm), |next| self.receive_request(next, vm));
            }
            if self.may_retry(&process) && self.has_in_flight_capacity(state) {
                steps.add(Action::SendRetry(vm), |next| self.send_retry(next, vm));
            }
            if state.restarts > 0 {
                steps.add(Action::Restart(vm), |next| {
                    // The new process receives the rest of this tick's requests only.
                    let requests_this_tick = next.processes[vm].requests[0];
                    next.processes[vm] = self.new_process();
                    next.processes[vm].requests[0] = requests_this_tick;
                    next.restarts -= 1;
                });
            }
            if self.vms > 1 && self.peer_visibility_matters() {
                steps.add(Action::LosePeers(vm), |next| next.processes[vm].hears_peers = false);
                steps.add(Action::HearPeers(vm), |next| {
                    next.processes[vm].hears_peers = true;
                    next.processes[vm].has_known_peers = true;
                });
            }
        }
        if state.in_flight_retries.iter().any(|count| *count > 0) {
            steps.add(Action::DeliverRetry, Self::deliver_retry);
        }
        if self.may_tick(state) {
            steps.add(Action::Tick, |next| self.tick(next));
        }
        steps.into_vec()
    }

    fn violation(&self, state: &State) -> Option<Violation> {
        let window = self.window_ticks;
        let arrived: u8 = state.arrived_retries[1..=window].iter().sum();
        let max_requests = [0, window / 2, window]
            .map(|before| state.requests[1 + before..=window + before].iter().sum::<u8>())
            .into_iter()
            .max()
            .unwrap_or(0);
        self.variant
            .first_violation([Violation::BudgetExceeded], |_| arrived > max_requests + self.slack)
    }
}
