//! What the VMs of a failure domain say of each other to another domain.
//!
//! # Problem
//!
//! VMs of other domains must name a VM for as long as it runs, and no longer; none of them hears it. Heartbeats
//! go within a domain, and some of its VMs tell one VM of each other domain whom they hear, which passes that
//! on. Any VM may end at any moment, or hear nobody.
//!
//! # The rules
//!
//! - All who speak for a domain count together: a VM is there while one of them lists it.
//! - More than one speaks for a domain, and another takes over before the last word of a silent one lapses.
//! - What is passed on counts from when it was said.
//! - What is passed on gives way to what was said later.
//! - A speaker lists only whom it hears itself.
//!
//! # Ways weighed
//!
//! *The last word of any speaker counts* ([`Safeguard::AllSpeakers`] left out): a VM that hears nobody takes its
//! whole domain away. *One speaker, another once it is silent* ([`Safeguard::TwoSpeakers`]): its death takes
//! the others away for a moment.
//!
//! # Properties
//!
//! - A VM that runs and is heard by one that runs is named ([`Violation::Missing`]).
//! - A VM that has ended is not named once the time has passed that silence takes to show, twice at the most: to those who
//!   hear it, and of those who said so last ([`Violation::Stale`]).
//!
//! # How it is modelled
//!
//! Two VMs speak; two listen. Each has one round a tick, in any order; a speaker tells either listener. What a listener
//! was told it passes on in its next round. Datagrams take no time and are not lost.
//!
//! # Left out
//!
//! Lost datagrams, VMs that stand still or start again, and digests in place of unchanged summaries (the fuzz test of the core
//! plays them).

use crate::search::{Model, Step, Steps};
use crate::variant::Variant;

/// The VMs of each of the two domains.
const VMS: usize = 2;

/// The ticks without a word after which a VM counts as silent, and its last word lapses.
const SILENT_TICKS: u8 = 3;

/// The ticks after which another speaks in place of a silent one.
const TAKE_OVER_TICKS: u8 = 2;

/// The ticks for which a VM may be named after it has ended: those in which its silence does not show, and
/// those in which the last word of one that heard it does not lapse.
const NAMED_TICKS: u8 = 2 * (SILENT_TICKS - 1);

/// A VM of one of the domains, by index.
pub type Vm = usize;

/// A rule that the protocol relies on; the model can leave one out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Safeguard {
    /// A VM is there while any speaker lists it, in place of what was said last.
    AllSpeakers,
    /// Both VMs speak, in place of the first while it is heard.
    TwoSpeakers,
    /// What is passed on counts from when it was said, in place of when it comes.
    AgeKept,
    /// What is passed on gives way to what was said later.
    LaterCounts,
    /// A speaker lists only whom it hears, in place of whom it has ever heard.
    OwnHearing,
}

impl Safeguard {
    /// All rules.
    pub const ALL: [Self; 5] =
        [Self::AllSpeakers, Self::TwoSpeakers, Self::AgeKept, Self::LaterCounts, Self::OwnHearing];
}

/// What must not happen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Violation {
    /// A VM that runs is not named.
    Missing,
    /// A VM that ended long ago is named.
    Stale,
}

/// What can happen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Action {
    /// A speaker sends its heartbeat, and its summary to a listener.
    Speak(Vm, Vm),
    /// A listener passes on what it was told.
    PassOn(Vm),
    /// A speaker ends.
    Kill(Vm),
    /// A speaker no longer hears the other.
    Deafen(Vm),
    /// Time passes.
    Tick,
}

/// What a speaker said, as a listener has it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Word {
    /// Whom it listed.
    lists: [bool; VMS],
    /// For how many ticks it has counted.
    age: u8,
    /// How many ticks ago it was said.
    said: u8,
}

/// A VM that speaks.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Speaker {
    runs: bool,
    deaf: bool,
    /// The ticks since it heard the other.
    heard: u8,
    /// The ticks since it ended.
    dead: u8,
    /// Whether it has had its round in this tick.
    done: bool,
}

/// A VM that listens.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Listener {
    words: [Word; VMS],
    /// Which of them it was told and has not passed on.
    to_pass_on: [bool; VMS],
    done: bool,
}

/// The state of all VMs.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct State {
    speakers: [Speaker; VMS],
    listeners: [Listener; VMS],
    kills: u8,
    deafenings: u8,
}

/// The protocol with some troubles.
#[derive(Debug, Clone)]
pub struct SummariesModel {
    kills: u8,
    deafenings: u8,
    variant: Variant<Safeguard, Violation>,
}

impl SummariesModel {
    /// Creates the model without troubles.
    pub fn new() -> Self {
        Self { kills: 0, deafenings: 0, variant: Variant::new() }
    }

    /// Sets how many speakers may end.
    pub fn with_kills(self, kills: u8) -> Self {
        Self { kills, ..self }
    }

    /// Sets how many may stop hearing the other.
    pub fn with_deafenings(self, deafenings: u8) -> Self {
        Self { deafenings, ..self }
    }

    /// Leaves out one rule.
    pub fn with_removed(self, removed: Safeguard) -> Self {
        Self { variant: self.variant.with_removed(removed), ..self }
    }

    /// Returns a small model in which a rule is needed, without it.
    pub fn smallest_without(removed: Safeguard) -> Self {
        let model = match removed {
            Safeguard::AllSpeakers => Self::new().with_deafenings(1),
            Safeguard::TwoSpeakers | Safeguard::OwnHearing => Self::new().with_kills(1),
            Safeguard::AgeKept | Safeguard::LaterCounts => Self::new().with_kills(2),
        };
        model.with_removed(removed)
    }

    fn keeps(&self, safeguard: Safeguard) -> bool {
        self.variant.keeps(safeguard)
    }

    fn speaks(&self, speaker: Speaker, vm: Vm) -> bool {
        vm == 0 || speaker.heard >= TAKE_OVER_TICKS || self.keeps(Safeguard::TwoSpeakers)
    }

    fn speak(&self, state: &mut State, vm: Vm, to: Vm) {
        state.speakers[vm].done = true;
        let other = 1 - vm;
        if state.speakers[other].runs && !state.speakers[other].deaf {
            state.speakers[other].heard = 0;
        }
        let speaker = state.speakers[vm];
        if !self.speaks(speaker, vm) {
            return;
        }
        let mut lists = [true; VMS];
        lists[other] = speaker.heard < SILENT_TICKS || !self.keeps(Safeguard::OwnHearing);
        state.listeners[to].words[vm] = Word { lists, age: 0, said: 0 };
        state.listeners[to].to_pass_on[vm] = true;
    }

    fn pass_on(&self, state: &mut State, vm: Vm) {
        let told = state.listeners[vm];
        state.listeners[vm].done = true;
        state.listeners[vm].to_pass_on = [false; VMS];
        for (speaker, word) in told.words.into_iter().enumerate() {
            let known = &mut state.listeners[1 - vm].words[speaker];
            let later = word.said < known.said || !self.keeps(Safeguard::LaterCounts);
            if told.to_pass_on[speaker] && later {
                let age = if self.keeps(Safeguard::AgeKept) { word.age } else { 0 };
                *known = Word { age, ..word };
            }
        }
    }

    fn tick(state: &mut State) {
        for speaker in &mut state.speakers {
            speaker.done = false;
            speaker.heard = (speaker.heard + 1).min(SILENT_TICKS);
            if !speaker.runs {
                speaker.dead = (speaker.dead + 1).min(NAMED_TICKS + 1);
            }
        }
        for listener in &mut state.listeners {
            listener.done = false;
            for word in &mut listener.words {
                word.age = (word.age + 1).min(SILENT_TICKS);
                word.said = (word.said + 1).min(NAMED_TICKS);
            }
        }
    }

    fn names(&self, listener: &Listener, vm: Vm) -> bool {
        let fresh = || listener.words.iter().filter(|word| word.age < SILENT_TICKS);
        if self.keeps(Safeguard::AllSpeakers) {
            return fresh().any(|word| word.lists[vm]);
        }
        fresh().min_by_key(|word| word.said).is_some_and(|word| word.lists[vm])
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
        let speaker = Speaker { runs: true, deaf: false, heard: 0, dead: 0, done: false };
        let word = Word { lists: [true; VMS], age: 0, said: 0 };
        let listener = Listener { words: [word; VMS], to_pass_on: [false; VMS], done: false };
        vec![State {
            speakers: [speaker; VMS],
            listeners: [listener; VMS],
            kills: self.kills,
            deafenings: self.deafenings,
        }]
    }

    fn steps(&self, state: &State) -> Vec<Step<Action, State>> {
        let mut steps = Steps::new(state);
        for (vm, speaker) in state.speakers.iter().enumerate().filter(|(_, vm)| vm.runs) {
            if !speaker.done {
                for to in 0..VMS {
                    steps.add(Action::Speak(vm, to), |next| self.speak(next, vm, to));
                }
            }
            if state.kills > 0 {
                steps.add(Action::Kill(vm), |next| {
                    next.speakers[vm].runs = false;
                    next.kills -= 1;
                });
            }
            if state.deafenings > 0 && !speaker.deaf {
                steps.add(Action::Deafen(vm), |next| {
                    next.speakers[vm].deaf = true;
                    next.deafenings -= 1;
                });
            }
        }
        for (vm, _) in state.listeners.iter().enumerate().filter(|(_, vm)| !vm.done) {
            steps.add(Action::PassOn(vm), |next| self.pass_on(next, vm));
        }
        let all_done = state.speakers.iter().all(|vm| vm.done || !vm.runs)
            && state.listeners.iter().all(|vm| vm.done);
        if all_done {
            steps.add(Action::Tick, Self::tick);
        }
        steps.into_vec()
    }

    fn violation(&self, state: &State) -> Option<Violation> {
        let named_by = |vm| state.listeners.iter().map(move |listener| self.names(listener, vm));
        self.variant.first_violation([Violation::Missing, Violation::Stale], |violation| {
            state.speakers.iter().enumerate().any(|(vm, speaker)| match violation {
                Violation::Missing => speaker.runs && named_by(vm).any(|named| !named),
                Violation::Stale => speaker.dead > NAMED_TICKS && named_by(vm).any(|named| named),
            })
        })
    }
}
