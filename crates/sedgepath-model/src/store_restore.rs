//! Model of the replicas of a store that may be restored from an older copy.
//!
//! Operators write a row, each time with a higher number of their own. VMs follow the store by polls of
//! the changes since their position, and by whole reads, and also take rows from each other. A restore
//! puts the store back to its copy: its counter of writes goes back too, and gives numbers out again.
//! Operators then write what the copy lacks again.
//!
//! # Rules
//!
//! - Versions are ordered by the store's era, which rises with each restore, and then by its counter.
//! - Changes since a position of another era are not merged; the row is read whole.
//! - The first whole read of an era doesn't undo a value that is newer by the operators' number.
//! - A row that the first whole read of an era lacks holds until it is written again.
//!
//! # Properties
//!
//! - What is in force at a VM never goes back ([`Violation::WentBack`]).
//! - A VM whose calls of the store succeed has what operators wrote last after
//!   [`MAX_CALLS_TO_CATCH_UP`] calls, once the store has it ([`Violation::StaysBehind`]).
//! - After as many calls it waits for changes in place of reading on ([`Violation::ReadsOn`]).
//!
//! # Scope
//!
//! Two VMs, each with at most one response of the store and one of the other VM on its way, which may
//! arrive at any time or never. A VM may restart with nothing. Not modeled: removed rows, rows whose
//! values have no order, and writes with conditions.

use crate::search::{Model, Step, Steps};
use crate::variant::Variant;

const VMS: usize = 2;

/// The calls after which a VM has caught up: a poll that tells of the restore, a whole read, and a poll
/// for what was written meanwhile.
pub const MAX_CALLS_TO_CATCH_UP: usize = 3;

/// A VM, by index.
pub type Vm = usize;

/// A rule of the protocol that a model can omit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Safeguard {
    /// Versions are ordered by era before counter.
    EraBeforeCounter,
    /// Changes since a position of another era are not merged.
    ChangesOfOneEra,
    /// A whole read of a new era doesn't undo a newer value.
    NewerValueKept,
    /// A row that a whole read of a new era lacks is kept.
    MissingRowKept,
}

impl Safeguard {
    /// All safeguards, in the order of the report.
    pub const ALL: [Self; 4] =
        [Self::EraBeforeCounter, Self::ChangesOfOneEra, Self::NewerValueKept, Self::MissingRowKept];
}

/// A broken property.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Violation {
    /// An older value, or none, is in force at a VM that had a newer one.
    WentBack,
    /// A VM doesn't get what the store has.
    StaysBehind,
    /// A VM reads the row whole again and again.
    ReadsOn,
}

/// A step of the model.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Action {
    /// Operators write the row with their next number.
    Write,
    /// Operators write what a restore has lost again.
    WriteAgain,
    /// Another row of the store is written.
    WriteOther,
    /// The store is copied.
    Copy,
    /// The store is restored from its copy.
    Restore,
    /// A VM calls the store.
    Call(Vm),
    /// The response of the store arrives at a VM.
    ReceiveResponse(Vm),
    /// A VM asks the other one for rows.
    Ask(Vm),
    /// The rows of the other VM arrive at a VM.
    ReceiveRows(Vm),
    /// A VM loses all that it knows.
    Restart(Vm),
}

/// A version of the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Version {
    era: u8,
    counter: u8,
}

/// The row, as a VM knows it or a response has it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Row {
    version: Version,
    /// The operators' own number.
    number: u8,
}

/// What the store holds and its copy keeps.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Contents {
    /// The number of the store's writes.
    counter: u8,
    /// The counter of the row's last write, and the operators' number.
    row: Option<(u8, u8)>,
}

/// Rows, or that they can't be given.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Response {
    /// The store has no such position.
    HistoryUnavailable,
    /// The changes since a position, or the whole table.
    Rows {
        /// The position since which these are the changes; `None` if they are the whole table.
        since: Option<Version>,
        /// The position up to which these are all changes.
        position: Version,
        /// The row, if it is there or has changed.
        row: Option<Row>,
    },
}

/// A VM's replica, and what is on its way to it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Replica {
    /// The position up to which it has all changes; `None` before the first whole read.
    position: Option<Version>,
    row: Option<Row>,
    /// Whether the next call reads the whole table.
    reads_whole: bool,
    from_store: Option<Response>,
    from_vm: Option<Response>,
    /// Whether an older value has ever replaced a newer one.
    went_back: bool,
}

impl Replica {
    const EMPTY: Self = Self {
        position: None,
        row: None,
        reads_whole: true,
        from_store: None,
        from_vm: None,
        went_back: false,
    };

    fn number(&self) -> Option<u8> {
        self.row.map(|row| row.number)
    }
}

/// The state of the store, the operators and the VMs.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct State {
    era: u8,
    store: Contents,
    copy: Contents,
    /// The number of the operators' last write.
    last_number: u8,
    replicas: [Replica; VMS],
    /// The writes, copies, restores and restarts that are left.
    left: Limits,
}

/// How often each fault or write may happen.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash)]
struct Limits {
    writes: u8,
    other_writes: u8,
    copies: u8,
    restores: u8,
    restarts: u8,
}

/// A model of a store with a bounded number of writes and restores.
#[derive(Debug, Clone)]
pub struct StoreRestoreModel {
    limits: Limits,
    variant: Variant<Safeguard, Violation>,
}

impl StoreRestoreModel {
    /// Creates a model with all safeguards, in which operators write a number of times and the store may
    /// be copied once and restored once.
    pub fn new(writes: u8) -> Self {
        let limits = Limits { writes, copies: 1, restores: 1, ..Limits::default() };
        Self { limits, variant: Variant::new() }
    }

    /// Sets the number of restores.
    pub fn with_restores(mut self, restores: u8) -> Self {
        self.limits.restores = restores;
        self
    }

    /// Sets the number of writes of another row.
    pub fn with_other_writes(mut self, other_writes: u8) -> Self {
        self.limits.other_writes = other_writes;
        self
    }

    /// Sets the number of restarts of VMs.
    pub fn with_restarts(mut self, restarts: u8) -> Self {
        self.limits.restarts = restarts;
        self
    }

    /// Omits one safeguard.
    pub fn without_safeguard(self, removed: Safeguard) -> Self {
        Self { variant: self.variant.without_safeguard(removed), ..self }
    }

    /// Creates a small model in which omitting `removed` causes a violation.
    pub fn smallest_without(removed: Safeguard) -> Self {
        Self::new(2).without_safeguard(removed)
    }

    fn enforces(&self, safeguard: Safeguard) -> bool {
        self.variant.enforces(safeguard)
    }

    fn is_newer(&self, version: Version, than: Version) -> bool {
        if self.enforces(Safeguard::EraBeforeCounter) {
            version > than
        } else {
            version.counter > than.counter
        }
    }

    fn later(&self, one: Version, other: Version) -> Version {
        if self.is_newer(one, other) { one } else { other }
    }

    /// Returns the store's response to the next call of a VM.
    fn respond(state: &State, replica: &Replica) -> Response {
        let Contents { counter, row } = state.store;
        let row = row
            .map(|(counter, number)| Row { version: Version { era: state.era, counter }, number });
        let since = replica.position.filter(|_| !replica.reads_whole);
        if since.is_some_and(|since| since.counter > counter) {
            return Response::HistoryUnavailable;
        }
        let is_change = |row: &Row| since.is_none_or(|since| row.version.counter > since.counter);
        let position = Version { era: state.era, counter };
        Response::Rows { since, position, row: row.filter(is_change) }
    }

    /// Returns the rows that a VM gives to another one.
    fn give_rows(&self, from: &Replica, to: &Replica) -> Option<Response> {
        let position = from.position?;
        let since = to.position.filter(|since| {
            since.era == position.era || !self.enforces(Safeguard::EraBeforeCounter)
        });
        let row = from.row.filter(|row| match since {
            Some(since) => self.is_newer(row.version, since),
            None => row.version.era == position.era || !self.enforces(Safeguard::EraBeforeCounter),
        });
        Some(Response::Rows { since, position, row })
    }

    fn receive(&self, replica: &mut Replica, response: Response, is_of_store: bool) {
        let number_before = replica.number();
        match response {
            Response::HistoryUnavailable => replica.reads_whole = true,
            Response::Rows { since, position, row } => {
                let is_other_era = since.is_some_and(|since| since.era != position.era)
                    && self.enforces(Safeguard::EraBeforeCounter)
                    && self.enforces(Safeguard::ChangesOfOneEra);
                if is_of_store {
                    replica.reads_whole = is_other_era;
                }
                if !is_other_era {
                    self.merge(replica, since.is_none(), position, row);
                }
            }
        }
        replica.went_back |= replica.number() < number_before;
    }

    fn merge(&self, replica: &mut Replica, is_whole: bool, position: Version, row: Option<Row>) {
        let Some(own) = replica.position else {
            if is_whole {
                (replica.position, replica.row) = (Some(position), row);
            }
            return;
        };
        if own.era != position.era && self.enforces(Safeguard::EraBeforeCounter) {
            if is_whole && position > own {
                self.begin_era(replica, position, row);
            } else if !self.enforces(Safeguard::ChangesOfOneEra) {
                replica.row = row.or(replica.row);
                replica.position = Some(self.later(position, own));
            }
            return;
        }
        replica.position = Some(self.later(position, own));
        let Some(row) = row else {
            let is_gone =
                |known: &Row| known.version.counter > 0 && !self.is_newer(known.version, position);
            if is_whole {
                replica.row = replica.row.filter(|known| !is_gone(known));
            }
            return;
        };
        let is_newer = replica.row.is_none_or(|known| {
            self.is_newer(row.version, known.version)
                || (row.version == known.version && row.number > known.number)
        });
        if is_newer {
            replica.row = Some(row);
        }
    }

    /// Merges the first whole read of an era.
    fn begin_era(&self, replica: &mut Replica, position: Version, row: Option<Row>) {
        replica.position = Some(position);
        replica.row = match (replica.row, row) {
            (Some(known), None) if self.enforces(Safeguard::MissingRowKept) => {
                Some(Row { version: Version { counter: 0, ..position }, ..known })
            }
            (Some(known), Some(row))
                if known.number >= row.number && self.enforces(Safeguard::NewerValueKept) =>
            {
                Some(Row { number: known.number, ..row })
            }
            (_, row) => row,
        };
    }

    /// Returns the replica after the calls in which it should catch up, and whether it waits for changes
    /// then.
    fn caught_up(&self, state: &State, mut replica: Replica) -> (Replica, bool) {
        for _ in 0..MAX_CALLS_TO_CATCH_UP {
            let response = Self::respond(state, &replica);
            self.receive(&mut replica, response, true);
        }
        (replica, !replica.reads_whole)
    }
}

fn write(store: &mut Contents, number: u8) {
    store.counter += 1;
    store.row = Some((store.counter, number));
}

impl Model for StoreRestoreModel {
    type State = State;
    type Action = Action;
    type Violation = Violation;

    fn initial_states(&self) -> Vec<State> {
        let empty = Contents { counter: 0, row: None };
        vec![State {
            era: 0,
            store: empty,
            copy: empty,
            last_number: 0,
            replicas: [Replica::EMPTY; VMS],
            left: self.limits,
        }]
    }

    fn steps(&self, state: &State) -> Vec<Step<Action, State>> {
        let mut steps = Steps::new(state);
        if state.left.writes > 0 {
            steps.add(Action::Write, |next| {
                next.left.writes -= 1;
                next.last_number += 1;
                write(&mut next.store, next.last_number);
            });
        }
        let stored_number = state.store.row.map_or(0, |(_, number)| number);
        if stored_number < state.last_number {
            steps.add(Action::WriteAgain, |next| write(&mut next.store, next.last_number));
        }
        if state.left.other_writes > 0 {
            steps.add(Action::WriteOther, |next| {
                next.left.other_writes -= 1;
                next.store.counter += 1;
            });
        }
        if state.left.copies > 0 {
            steps.add(Action::Copy, |next| {
                next.left.copies -= 1;
                next.copy = next.store;
            });
        }
        if state.left.restores > 0 {
            steps.add(Action::Restore, |next| {
                next.left.restores -= 1;
                next.era += 1;
                next.store = next.copy;
            });
        }
        for vm in 0..VMS {
            let replica = &state.replicas[vm];
            steps.add(Action::Call(vm), |next| {
                next.replicas[vm].from_store = Some(Self::respond(state, replica));
            });
            if let Some(response) = replica.from_store {
                steps.add(Action::ReceiveResponse(vm), |next| {
                    next.replicas[vm].from_store = None;
                    self.receive(&mut next.replicas[vm], response, true);
                });
            }
            if let Some(rows) = self.give_rows(&state.replicas[1 - vm], replica) {
                steps.add(Action::Ask(vm), |next| next.replicas[vm].from_vm = Some(rows));
            }
            if let Some(rows) = replica.from_vm {
                steps.add(Action::ReceiveRows(vm), |next| {
                    next.replicas[vm].from_vm = None;
                    self.receive(&mut next.replicas[vm], rows, false);
                });
            }
            if state.left.restarts > 0 {
                steps.add(Action::Restart(vm), |next| {
                    next.left.restarts -= 1;
                    next.replicas[vm] = Replica::EMPTY;
                });
            }
        }
        steps.into_vec()
    }

    fn violation(&self, state: &State) -> Option<Violation> {
        let written = state.store.row.map_or(0, |(_, number)| number) == state.last_number;
        self.variant.first_violation(
            [Violation::WentBack, Violation::StaysBehind, Violation::ReadsOn],
            |violation| {
                state.replicas.iter().any(|replica| {
                    let (caught_up, waits) = self.caught_up(state, *replica);
                    match violation {
                        Violation::WentBack => replica.went_back,
                        Violation::StaysBehind => {
                            written && caught_up.number().unwrap_or(0) != state.last_number
                        }
                        Violation::ReadsOn => !waits,
                    }
                })
            },
        )
    }
}
