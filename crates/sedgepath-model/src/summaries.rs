//! Model of the summaries by which a failure domain tells another one which of its VMs run.
//!
//! Heartbeats stay within a domain. Some of its VMs send a summary of the VMs that they hear to one
//! VM of each other domain, which relays it there. Any VM may end or stop hearing its peers.
//!
//! # Rules
//!
//! - A VM is listed while the summary of any sender of its domain lists it.
//! - Several VMs send summaries, and another one takes over before a silent sender's last summary
//!   expires.
//! - A relayed summary keeps the time at which it was sent.
//! - A relayed summary never replaces a newer one.
//! - A sender lists only the VMs that it hears itself.
//!
//! # Properties
//!
//! - A VM that runs and is heard by one that runs is listed ([`Violation::RunningVmMissing`]).
//! - A VM that has ended is not listed after twice the time in which silence is detected
//!   ([`Violation::StoppedVmListed`]).
//!
//! # Scope
//!
//! Two senders and two receivers, each with one round a tick in any order. Datagrams are immediate
//! and never lost. Not modeled: paused and restarted VMs, and digests in place of unchanged
//! summaries.

use crate::search::{Model, Step, Steps};
use crate::variant::Variant;

const VMS_PER_DOMAIN: usize = 2;

/// The time without a summary or heartbeat after which a VM counts as silent and its last summary
/// expires.
const EXPIRY_TICKS: u8 = 3;

/// The silence of the first sender after which the other sends in its place.
const TAKEOVER_TICKS: u8 = 2;

/// The time for which a VM may be listed after it has ended: until its peer counts it as silent,
/// and then until the peer's last summary expires.
const MAX_LISTED_TICKS: u8 = 2 * (EXPIRY_TICKS - 1);

/// A VM of one of the domains, by index.
pub type Vm = usize;

/// A rule of the protocol that a model can omit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Safeguard {
    /// A VM is listed while the last summary of any sender lists it; without this rule, the newest
    /// summary decides.
    UnionOfSenders,
    /// Both VMs send summaries; without this rule, the second one sends only while the first is
    /// silent.
    TwoSenders,
    /// A relayed summary expires by the time since it was sent, not since it was relayed.
    RelayKeepsAge,
    /// A relayed summary never replaces a newer one.
    LaterSummaryWins,
    /// A sender lists only VMs that it hears now, not all that it has ever heard.
    OnlyDirectlyHeard,
}

impl Safeguard {
    /// All safeguards, in the order of the report.
    pub const ALL: [Self; 5] = [
        Self::UnionOfSenders,
        Self::TwoSenders,
        Self::RelayKeepsAge,
        Self::LaterSummaryWins,
        Self::OnlyDirectlyHeard,
    ];
}

/// A broken property.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Violation {
    /// A VM that runs is not listed.
    RunningVmMissing,
    /// A VM that ended is listed after the time in which its silence is detected and the last
    /// summary that listed it expires.
    StoppedVmListed,
}

/// A step of the model.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Action {
    /// A sender sends a heartbeat to its peer and, if it has to, a summary to a receiver.
    SendSummary(Vm, Vm),
    /// A receiver relays its newly received summaries to the other receiver.
    Relay(Vm),
    /// A sender ends.
    Kill(Vm),
    /// A sender stops hearing its peer.
    LosePeer(Vm),
    /// Time advances by one tick.
    Tick,
}

/// The last summary of a sender, as held by a receiver.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct ReceivedSummary {
    /// Whether each VM was listed.
    listed: [bool; VMS_PER_DOMAIN],
    /// The time since it was received, or since it was sent if relays keep the age.
    age_ticks: u8,
    /// The time since it was sent.
    sent_ticks_ago: u8,
}

/// A VM that sends summaries of its domain.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Sender {
    is_running: bool,
    is_isolated: bool,
    /// The time since it last heard its peer.
    silent_ticks: u8,
    /// The time since it ended.
    stopped_ticks: u8,
    /// Whether it has had its round in this tick.
    round_done: bool,
}

/// A VM of the other domain, which receives summaries.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Receiver {
    summaries: [ReceivedSummary; VMS_PER_DOMAIN],
    /// Whether the summary of each sender is still to be relayed.
    pending_relay: [bool; VMS_PER_DOMAIN],
    round_done: bool,
}

/// The state of all VMs.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct State {
    senders: [Sender; VMS_PER_DOMAIN],
    receivers: [Receiver; VMS_PER_DOMAIN],
    kills: u8,
    isolations: u8,
}

/// A model of domain summaries with a bounded number of faults.
#[derive(Debug, Clone)]
pub struct SummariesModel {
    kills: u8,
    isolations: u8,
    variant: Variant<Safeguard, Violation>,
}

impl SummariesModel {
    /// Creates a model with all safeguards and without faults.
    pub fn new() -> Self {
        Self { kills: 0, isolations: 0, variant: Variant::new() }
    }

    /// Sets the number of senders that may end.
    pub fn with_kills(self, kills: u8) -> Self {
        Self { kills, ..self }
    }

    /// Sets the number of senders that may stop hearing their peer.
    pub fn with_isolations(self, isolations: u8) -> Self {
        Self { isolations, ..self }
    }

    /// Omits one safeguard.
    pub fn without_safeguard(self, removed: Safeguard) -> Self {
        Self { variant: self.variant.without_safeguard(removed), ..self }
    }

    /// Creates a small model in which omitting `removed` causes a violation.
    pub fn smallest_without(removed: Safeguard) -> Self {
        let model = match removed {
            Safeguard::UnionOfSenders => Self::new().with_isolations(1),
            Safeguard::TwoSenders | Safeguard::OnlyDirectlyHeard => Self::new().with_kills(1),
            Safeguard::RelayKeepsAge | Safeguard::LaterSummaryWins => Self::new().with_kills(2),
        };
        model.without_safeguard(removed)
    }

    fn enforces(&self, safeguard: Safeguard) -> bool {
        self.variant.enforces(safeguard)
    }

    fn sends_summary(&self, sender: Sender, vm: Vm) -> bool {
        vm == 0 || sender.silent_ticks >= TAKEOVER_TICKS || self.enforces(Safeguard::TwoSenders)
    }

    fn send_summary(&self, state: &mut State, vm: Vm, to: Vm) {
        state.senders[vm].round_done = true;
        let other = 1 - vm;
        if state.senders[other].is_running && !state.senders[other].is_isolated {
            state.senders[other].silent_ticks = 0;
        }
        let sender = state.senders[vm];
        if !self.sends_summary(sender, vm) {
            return;
        }
        let mut listed = [true; VMS_PER_DOMAIN];
        listed[other] =
            sender.silent_ticks < EXPIRY_TICKS || !self.enforces(Safeguard::OnlyDirectlyHeard);
        state.receivers[to].summaries[vm] =
            ReceivedSummary { listed, age_ticks: 0, sent_ticks_ago: 0 };
        state.receivers[to].pending_relay[vm] = true;
    }

    fn relay(&self, state: &mut State, vm: Vm) {
        let relaying = state.receivers[vm];
        state.receivers[vm].round_done = true;
        state.receivers[vm].pending_relay = [false; VMS_PER_DOMAIN];
        for (sender, summary) in relaying.summaries.into_iter().enumerate() {
            let known = &mut state.receivers[1 - vm].summaries[sender];
            let is_newer = summary.sent_ticks_ago < known.sent_ticks_ago
                || !self.enforces(Safeguard::LaterSummaryWins);
            if relaying.pending_relay[sender] && is_newer {
                let age_ticks =
                    if self.enforces(Safeguard::RelayKeepsAge) { summary.age_ticks } else { 0 };
                *known = ReceivedSummary { age_ticks, ..summary };
            }
        }
    }

    fn tick(state: &mut State) {
        for sender in &mut state.senders {
            sender.round_done = false;
            sender.silent_ticks = (sender.silent_ticks + 1).min(EXPIRY_TICKS);
            if !sender.is_running {
                sender.stopped_ticks = (sender.stopped_ticks + 1).min(MAX_LISTED_TICKS + 1);
            }
        }
        for receiver in &mut state.receivers {
            receiver.round_done = false;
            for summary in &mut receiver.summaries {
                summary.age_ticks = (summary.age_ticks + 1).min(EXPIRY_TICKS);
                summary.sent_ticks_ago = (summary.sent_ticks_ago + 1).min(MAX_LISTED_TICKS);
            }
        }
    }

    fn lists_vm(&self, receiver: &Receiver, vm: Vm) -> bool {
        let fresh = || receiver.summaries.iter().filter(|summary| summary.age_ticks < EXPIRY_TICKS);
        if self.enforces(Safeguard::UnionOfSenders) {
            return fresh().any(|summary| summary.listed[vm]);
        }
        fresh()
            .min_by_key(|summary| summary.sent_ticks_ago)
            .is_some_and(|summary| summary.listed[vm])
    }
}

impl Default for SummariesModel {
    fn default() -> Self {
        Self::new()
    }
}

impl Model for SummariesModel {
    type State = State;
    type Action = Action;
    type Violation = Violation;

    fn initial_states(&self) -> Vec<State> {
        let sender = Sender {
            is_running: true,
            is_isolated: false,
            silent_ticks: 0,
            stopped_ticks: 0,
            round_done: false,
        };
        let summary =
            ReceivedSummary { listed: [true; VMS_PER_DOMAIN], age_ticks: 0, sent_ticks_ago: 0 };
        let receiver = Receiver {
            summaries: [summary; VMS_PER_DOMAIN],
            pending_relay: [false; VMS_PER_DOMAIN],
            round_done: false,
        };
        vec![State {
            senders: [sender; VMS_PER_DOMAIN],
            receivers: [receiver; VMS_PER_DOMAIN],
            kills: self.kills,
            isolations: self.isolations,
        }]
    }

    fn steps(&self, state: &State) -> Vec<Step<Action, State>> {
        let mut steps = Steps::new(state);
        for (vm, sender) in state.senders.iter().enumerate().filter(|(_, vm)| vm.is_running) {
            if !sender.round_done {
                for to in 0..VMS_PER_DOMAIN {
                    steps.add(Action::SendSummary(vm, to), |next| self.send_summary(next, vm, to));
                }
            }
            if state.kills > 0 {
                steps.add(Action::Kill(vm), |next| {
                    next.senders[vm].is_running = false;
                    next.kills -= 1;
                });
            }
            if state.isolations > 0 && !sender.is_isolated {
                steps.add(Action::LosePeer(vm), |next| {
                    next.senders[vm].is_isolated = true;
                    next.isolations -= 1;
                });
            }
        }
        for (vm, _) in state.receivers.iter().enumerate().filter(|(_, vm)| !vm.round_done) {
            steps.add(Action::Relay(vm), |next| self.relay(next, vm));
        }
        let all_done = state.senders.iter().all(|vm| vm.round_done || !vm.is_running)
            && state.receivers.iter().all(|vm| vm.round_done);
        if all_done {
            steps.add(Action::Tick, Self::tick);
        }
        steps.into_vec()
    }

    fn violation(&self, state: &State) -> Option<Violation> {
        let listed_by =
            |vm| state.receivers.iter().map(move |receiver| self.lists_vm(receiver, vm));
        self.variant.first_violation(
            [Violation::RunningVmMissing, Violation::StoppedVmListed],
            |violation| {
                state.senders.iter().enumerate().any(|(vm, sender)| match violation {
                    Violation::RunningVmMissing => {
                        sender.is_running && listed_by(vm).any(|listed| !listed)
                    }
                    Violation::StoppedVmListed => {
                        sender.stopped_ticks > MAX_LISTED_TICKS
                            && listed_by(vm).any(|listed| listed)
                    }
                })
            },
        )
    }
}
