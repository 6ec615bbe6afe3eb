//! Model of a client account's quota that VMs lend each other in tokens.
//!
//! The requests of all VMs together must stay below the quota's rate and burst, although VMs are cut
//! off from each other, restart, and lose, delay or repeat messages.
//!
//! # Rules
//!
//! - One VM lends, by tokens from a bucket that fills with the rate.
//! - In a partition each side has a lender, whose bucket fills with the side's share of the rate.
//! - A VM that is no longer the lender forgets its bucket.
//! - A process starts with an empty bucket and without tokens.
//! - A token expires a time after it was asked for, not after it was received.
//! - A grant counts only as the answer to the one request that waits for it.
//!
//! # Property
//!
//! The requests of a window are at most the tokens that the lenders may have saved, and those of the
//! rate over the window and the lifetime of a token ([`Violation::QuotaExceeded`]).
//!
//! # Scope
//!
//! Two VMs, time in ticks with any number of steps in between. Both notice a partition and its end at
//! once: what is lent twice until then is left to the operators' margin, as is what a new lender may
//! lend at its start. A quota has one slot.

use crate::search::{Model, Step, Steps};
use crate::variant::Variant;

/// The tokens that the quota's rate adds in a tick.
const RATE_PER_TICK: u8 = 2;
/// The most tokens that the lenders save up together.
const SAVED_TOKENS: u8 = 2;
/// The ticks for which a token may be spent after the one in which it was asked for.
const LIFETIME_TICKS: usize = 1;
/// The length of the window in which requests are counted.
const WINDOW_TICKS: usize = 2;
/// The most grants in flight.
const MAX_GRANTS: usize = 2;
/// Keeps the state space finite where tokens don't expire.
const MAX_HELD_TOKENS: u8 = 8;
/// The VM that lends while there is no partition.
const LENDER: Vm = 0;
/// The VM that asks it.
const HOLDER: Vm = 1;

/// A VM, by index.
pub type Vm = usize;

/// A rule that a model can omit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Safeguard {
    /// A lender in a partition lends only its side's share of the rate.
    ShareOfHeardVms,
    /// A VM that is no longer the lender forgets its bucket.
    FormerLenderForgets,
    /// A process starts with an empty bucket.
    EmptyAtStart,
    /// Tokens expire.
    TokensExpire,
    /// The lifetime of a token begins when it is asked for.
    ExpiryFromRequest,
    /// A grant counts only as the answer to the request that waits for it.
    GrantAnswersOneRequest,
}

impl Safeguard {
    /// All safeguards, in the order of the report.
    pub const ALL: [Self; 6] = [
        Self::ShareOfHeardVms,
        Self::FormerLenderForgets,
        Self::EmptyAtStart,
        Self::TokensExpire,
        Self::ExpiryFromRequest,
        Self::GrantAnswersOneRequest,
    ];
}

/// A broken property.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Violation {
    /// More requests were sent in a window than the quota allows.
    QuotaExceeded,
}

/// A step of the model.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Action {
    /// A lender takes a token for its own requests.
    LendToSelf(Vm),
    /// The holder asks for a token.
    Ask,
    /// The lender grants the token that was asked for.
    Grant,
    /// The holder gives up waiting for a grant.
    GiveUp,
    /// The oldest grant in flight arrives.
    Deliver,
    /// The oldest grant in flight arrives, and once more later.
    DeliverCopy,
    /// A VM spends a token on a request.
    Spend(Vm),
    /// A VM's process is replaced by a new one.
    Restart(Vm),
    /// The VMs are cut off from each other.
    Cut,
    /// The VMs hear each other again.
    Heal,
    /// Time advances by one tick.
    Tick,
}

/// The holder's request for a token.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Request {
    None,
    /// The request, with the ticks since it was sent and whether the lender has answered it.
    Waiting {
        ticks: u8,
        is_answered: bool,
    },
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct Process {
    bucket: u8,
    /// The held tokens by the ticks since they were asked for.
    held: [u8; LIFETIME_TICKS + 1],
}

/// The state of both VMs, with the counts that the property is about.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct State {
    processes: [Process; 2],
    is_partitioned: bool,
    request: Request,
    /// The ticks since the request of each grant in flight, the oldest grant first.
    grants: Vec<u8>,
    /// The requests sent by both VMs per tick, the current tick first.
    sent: [u8; WINDOW_TICKS],
    restarts: u8,
    cuts: u8,
}

/// A model of the lending of a quota.
#[derive(Debug, Clone)]
pub struct QuotaLendingModel {
    restarts: u8,
    cuts: u8,
    variant: Variant<Safeguard, Violation>,
}

impl QuotaLendingModel {
    /// Creates a model without restarts and partitions.
    pub fn new() -> Self {
        Self { restarts: 0, cuts: 0, variant: Variant::new() }
    }

    /// Sets the number of restarts.
    pub fn with_restarts(self, restarts: u8) -> Self {
        Self { restarts, ..self }
    }

    /// Sets the number of partitions.
    pub fn with_cuts(self, cuts: u8) -> Self {
        Self { cuts, ..self }
    }

    /// Omits one safeguard.
    pub fn without_safeguard(self, removed: Safeguard) -> Self {
        Self { variant: self.variant.without_safeguard(removed), ..self }
    }

    /// Creates a small model in which omitting `removed` causes a violation.
    pub fn smallest_without(removed: Safeguard) -> Self {
        let model = match removed {
            Safeguard::ShareOfHeardVms => Self::new().with_cuts(1),
            Safeguard::FormerLenderForgets => Self::new().with_cuts(2),
            Safeguard::EmptyAtStart => Self::new().with_restarts(1),
            Safeguard::TokensExpire
            | Safeguard::ExpiryFromRequest
            | Safeguard::GrantAnswersOneRequest => Self::new(),
        };
        model.without_safeguard(removed)
    }

    fn enforces(&self, safeguard: Safeguard) -> bool {
        self.variant.enforces(safeguard)
    }

    /// Returns the part of the quota that a VM lends.
    fn lent_part(&self, state: &State, vm: Vm, whole: u8) -> u8 {
        match (state.is_partitioned, vm) {
            (true, _) if self.enforces(Safeguard::ShareOfHeardVms) => whole / 2,
            (true, _) | (false, LENDER) => whole,
            (false, _) => 0,
        }
    }

    /// Limits the buckets after a change of the lenders.
    fn change_lenders(&self, state: &mut State) {
        let capacity = self.lent_part(state, LENDER, SAVED_TOKENS);
        let lender = &mut state.processes[LENDER];
        lender.bucket = lender.bucket.min(capacity);
        if !state.is_partitioned && self.enforces(Safeguard::FormerLenderForgets) {
            state.processes[HOLDER].bucket = 0;
        }
    }

    fn grant(state: &mut State) {
        if let Request::Waiting { ticks, .. } = state.request {
            state.processes[LENDER].bucket -= 1;
            state.request = Request::Waiting { ticks, is_answered: true };
            state.grants.push(ticks);
        }
    }

    fn deliver(&self, state: &mut State, is_repeated: bool) {
        let Some(ticks) = state.grants.first().copied() else {
            return;
        };
        if !is_repeated {
            state.grants.remove(0);
        }
        let is_answer = matches!(state.request, Request::Waiting { is_answered: true, .. });
        if self.enforces(Safeguard::GrantAnswersOneRequest) && !is_answer {
            return;
        }
        state.request = Request::None;
        let age = if self.enforces(Safeguard::ExpiryFromRequest) { usize::from(ticks) } else { 0 };
        let held = &mut state.processes[HOLDER].held;
        if let Some(count) = held.get_mut(age) {
            *count = (*count + 1).min(MAX_HELD_TOKENS);
        }
    }

    fn spend(state: &mut State, vm: Vm) {
        let held = &mut state.processes[vm].held;
        if let Some(oldest) = held.iter_mut().rev().find(|count| **count > 0) {
            *oldest -= 1;
            state.sent[0] += 1;
        }
    }

    fn restart(&self, state: &mut State, vm: Vm) {
        let capacity = self.lent_part(state, vm, SAVED_TOKENS);
        let is_empty = self.enforces(Safeguard::EmptyAtStart);
        let bucket = if is_empty { 0 } else { capacity };
        state.processes[vm] = Process { bucket, held: [0; LIFETIME_TICKS + 1] };
        if vm == HOLDER {
            state.request = Request::None;
        }
        state.restarts -= 1;
    }

    fn tick(&self, state: &mut State) {
        for vm in [LENDER, HOLDER] {
            let (rate, capacity) =
                (self.lent_part(state, vm, RATE_PER_TICK), self.lent_part(state, vm, SAVED_TOKENS));
            let process = &mut state.processes[vm];
            if rate > 0 {
                process.bucket = (process.bucket + rate).min(capacity);
            }
            let oldest = process.held[LIFETIME_TICKS];
            process.held.rotate_right(1);
            process.held[0] = 0;
            if !self.enforces(Safeguard::TokensExpire) {
                let last = &mut process.held[LIFETIME_TICKS];
                *last = (*last + oldest).min(MAX_HELD_TOKENS);
            }
        }
        if let Request::Waiting { ticks, .. } = &mut state.request {
            *ticks = (*ticks + 1).min(LIFETIME_TICKS as u8 + 1);
        }
        for ticks in &mut state.grants {
            *ticks = (*ticks + 1).min(LIFETIME_TICKS as u8 + 1);
        }
        state.sent.rotate_right(1);
        state.sent[0] = 0;
    }
}

impl Default for QuotaLendingModel {
    fn default() -> Self {
        Self::new()
    }
}

impl Model for QuotaLendingModel {
    type State = State;
    type Action = Action;
    type Violation = Violation;

    fn initial_states(&self) -> Vec<State> {
        let process = Process { bucket: 0, held: [0; LIFETIME_TICKS + 1] };
        vec![State {
            processes: [process; 2],
            is_partitioned: false,
            request: Request::None,
            grants: Vec::new(),
            sent: [0; WINDOW_TICKS],
            restarts: self.restarts,
            cuts: self.cuts,
        }]
    }

    fn steps(&self, state: &State) -> Vec<Step<Action, State>> {
        let mut steps = Steps::new(state);
        for vm in [LENDER, HOLDER] {
            let lends = vm == LENDER || state.is_partitioned;
            if lends && state.processes[vm].bucket > 0 {
                steps.add(Action::LendToSelf(vm), |next| {
                    next.processes[vm].bucket -= 1;
                    next.processes[vm].held[0] += 1;
                });
            }
            if state.processes[vm].held.iter().any(|count| *count > 0) {
                steps.add(Action::Spend(vm), |next| Self::spend(next, vm));
            }
            if state.restarts > 0 {
                steps.add(Action::Restart(vm), |next| self.restart(next, vm));
            }
        }
        match state.request {
            Request::None => steps.add(Action::Ask, |next| {
                next.request = Request::Waiting { ticks: 0, is_answered: false };
            }),
            Request::Waiting { is_answered, .. } => {
                let may_grant = !is_answered
                    && !state.is_partitioned
                    && state.processes[LENDER].bucket > 0
                    && state.grants.len() < MAX_GRANTS;
                if may_grant {
                    steps.add(Action::Grant, Self::grant);
                }
                steps.add(Action::GiveUp, |next| next.request = Request::None);
            }
        }
        if !state.grants.is_empty() {
            steps.add(Action::Deliver, |next| self.deliver(next, false));
            steps.add(Action::DeliverCopy, |next| self.deliver(next, true));
        }
        if state.is_partitioned {
            steps.add(Action::Heal, |next| {
                next.is_partitioned = false;
                self.change_lenders(next);
            });
        } else if state.cuts > 0 {
            steps.add(Action::Cut, |next| {
                next.is_partitioned = true;
                next.cuts -= 1;
                self.change_lenders(next);
            });
        }
        steps.add(Action::Tick, |next| self.tick(next));
        steps.into_vec()
    }

    fn violation(&self, state: &State) -> Option<Violation> {
        let sent: u8 = state.sent.iter().sum();
        let ticks = (WINDOW_TICKS + LIFETIME_TICKS - 1) as u8;
        let allowed = SAVED_TOKENS + RATE_PER_TICK * ticks;
        self.variant.first_violation([Violation::QuotaExceeded], |_| sent > allowed)
    }
}
