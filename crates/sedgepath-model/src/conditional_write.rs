//! Model of writes with conditions to a store that may be restored from an older copy.
//!
//! VMs claim a row by a write on condition that the row still has the version that they read. The store
//! compares its counter alone, which a restore puts back, so that a version that was given out twice may
//! meet a condition by chance.
//!
//! # Rules
//!
//! - A VM that has learnt of a restore sends a condition of an earlier era as one that nothing meets.
//! - A VM believes its claim only if the response is of the era of its condition.
//!
//! # Properties
//!
//! - No two VMs believe claims that the store has accepted in one era ([`Violation::ClaimedTwice`]).
//! - A VM that has learnt of a restore overwrites nothing that it hasn't read
//!   ([`Violation::OverwrittenUnread`]).
//!
//! # Scope
//!
//! One row, two VMs, a write of each on its way, whose response may be lost or late. A claim that a
//! restore has lost may be made again by another VM. Claims are not given back.

use crate::search::{Model, Step, Steps};
use crate::variant::Variant;

const VMS: usize = 2;

/// A counter that the store never gives out.
const UNUSED_COUNTER: u8 = u8::MAX;

/// A VM, by index.
pub type Vm = usize;

/// A rule of the protocol that a model can omit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Safeguard {
    /// A condition of an earlier era than the newest known is sent as one that nothing meets.
    EarlierEraNotSent,
    /// A claim is believed only if the response is of the era of its condition.
    EraOfResponseChecked,
}

impl Safeguard {
    /// All safeguards, in the order of the report.
    pub const ALL: [Self; 2] = [Self::EarlierEraNotSent, Self::EraOfResponseChecked];
}

/// A broken property.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Violation {
    /// Two VMs believe claims that the store has accepted in one era.
    ClaimedTwice,
    /// A VM that knew of a restore overwrote a row that it had read before it.
    OverwrittenUnread,
}

/// A step of the model.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Action {
    /// A VM reads the row.
    Read(Vm),
    /// A VM learns the store's era from the response to another call.
    LearnEra(Vm),
    /// A VM sends a claim.
    SendClaim(Vm),
    /// The claim of a VM arrives at the store.
    DeliverClaim(Vm),
    /// The response to a claim arrives at its VM.
    ReceiveResponse(Vm),
    /// The response to a claim is lost.
    LoseResponse(Vm),
    /// Another row is written, or this one by its owner, who leaves it free.
    WriteFree,
    /// The store is copied.
    Copy,
    /// The store is restored from its copy.
    Restore,
}

/// The row as the store has it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Row {
    counter: u8,
    holder: Option<Vm>,
}

/// The row as a VM has read it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct ReadRow {
    era: u8,
    row: Row,
}

/// A claim on its way to the store, or the response to it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Message {
    /// The claim.
    Claim {
        /// The counter that the row must have.
        counter: u8,
        /// Whether the VM knew of a restore since it had read the row.
        knows_of_restore: bool,
    },
    /// The response.
    Response {
        /// The store's era.
        era: u8,
        /// Whether the condition was met.
        accepted: bool,
    },
}

/// A VM.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash)]
pub struct Claimer {
    known_era: u8,
    read: Option<ReadRow>,
    message: Option<Message>,
    /// The era in which the store accepted the claim that this VM believes to hold.
    believes_since: Option<u8>,
}

/// The state of the store and the VMs.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct State {
    era: u8,
    row: Row,
    copy: Row,
    vms: [Claimer; VMS],
    overwritten_unread: bool,
    free_writes: u8,
    copies: u8,
    restores: u8,
}

/// A model of conditional writes with a bounded number of restores.
#[derive(Debug, Clone)]
pub struct ConditionalWriteModel {
    free_writes: u8,
    restores: u8,
    variant: Variant<Safeguard, Violation>,
}

impl ConditionalWriteModel {
    /// Creates a model with all safeguards and a number of restores.
    pub fn new(restores: u8) -> Self {
        Self { free_writes: 2, restores, variant: Variant::new() }
    }

    /// Omits one safeguard.
    pub fn without_safeguard(self, removed: Safeguard) -> Self {
        Self { variant: self.variant.without_safeguard(removed), ..self }
    }

    fn enforces(&self, safeguard: Safeguard) -> bool {
        self.variant.enforces(safeguard)
    }

    fn send_claim(&self, vm: &mut Claimer, read: ReadRow) {
        let knows_of_restore = read.era < vm.known_era;
        let is_impossible = knows_of_restore && self.enforces(Safeguard::EarlierEraNotSent);
        let counter = if is_impossible { UNUSED_COUNTER } else { read.row.counter };
        vm.message = Some(Message::Claim { counter, knows_of_restore });
    }

    fn deliver_claim(next: &mut State, vm: Vm, counter: u8, knows_of_restore: bool) {
        let accepted = next.row.counter == counter;
        if accepted {
            next.overwritten_unread |= knows_of_restore;
            next.row = Row { counter: counter + 1, holder: Some(vm) };
        }
        next.vms[vm].message = Some(Message::Response { era: next.era, accepted });
    }

    fn receive_response(&self, vm: &mut Claimer, read: ReadRow, era: u8, accepted: bool) {
        vm.message = None;
        vm.known_era = vm.known_era.max(era);
        let is_of_condition = read.era == era || !self.enforces(Safeguard::EraOfResponseChecked);
        if accepted && is_of_condition {
            vm.believes_since = Some(era);
        }
    }
}

impl Model for ConditionalWriteModel {
    type State = State;
    type Action = Action;
    type Violation = Violation;

    fn initial_states(&self) -> Vec<State> {
        let row = Row { counter: 1, holder: None };
        vec![State {
            era: 0,
            row,
            copy: row,
            vms: [Claimer::default(); VMS],
            overwritten_unread: false,
            free_writes: self.free_writes,
            copies: 1,
            restores: self.restores,
        }]
    }

    fn steps(&self, state: &State) -> Vec<Step<Action, State>> {
        let mut steps = Steps::new(state);
        for (vm, claimer) in state.vms.iter().enumerate() {
            if claimer.message.is_none() {
                steps.add(Action::Read(vm), |next| {
                    next.vms[vm].known_era = next.era;
                    next.vms[vm].read = Some(ReadRow { era: next.era, row: next.row });
                });
            }
            steps.add(Action::LearnEra(vm), |next| next.vms[vm].known_era = next.era);
            let Some(read) = claimer.read else { continue };
            match claimer.message {
                None if read.row.holder.is_none() && claimer.believes_since.is_none() => {
                    steps.add(Action::SendClaim(vm), |next| {
                        self.send_claim(&mut next.vms[vm], read);
                    });
                }
                None => {}
                Some(Message::Claim { counter, knows_of_restore }) => {
                    steps.add(Action::DeliverClaim(vm), |next| {
                        Self::deliver_claim(next, vm, counter, knows_of_restore);
                    });
                }
                Some(Message::Response { era, accepted }) => {
                    steps.add(Action::ReceiveResponse(vm), |next| {
                        self.receive_response(&mut next.vms[vm], read, era, accepted);
                    });
                    steps.add(Action::LoseResponse(vm), |next| next.vms[vm].message = None);
                }
            }
        }
        if state.free_writes > 0 && state.row.holder.is_none() {
            steps.add(Action::WriteFree, |next| {
                next.free_writes -= 1;
                next.row.counter += 1;
            });
        }
        if state.copies > 0 {
            steps.add(Action::Copy, |next| {
                next.copies -= 1;
                next.copy = next.row;
            });
        }
        if state.restores > 0 {
            steps.add(Action::Restore, |next| {
                next.restores -= 1;
                next.era += 1;
                next.row = next.copy;
            });
        }
        steps.into_vec()
    }

    fn violation(&self, state: &State) -> Option<Violation> {
        self.variant.first_violation(
            [Violation::ClaimedTwice, Violation::OverwrittenUnread],
            |violation| match violation {
                Violation::ClaimedTwice => {
                    let [one, other] = state.vms.map(|vm| vm.believes_since);
                    one.is_some() && one == other
                }
                Violation::OverwrittenUnread => state.overwritten_unread,
            },
        )
    }
}
