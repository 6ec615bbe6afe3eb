//! What the processes of upstreams have stated of themselves with their responses.

use crate::direct::upstreams::IncarnationKey;
use crate::hash::Map;

/// The most processes that are remembered beyond those in the table of upstreams.
const MAX_REMEMBERED: usize = 4_096;

/// What the process of an upstream has stated of itself.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct StatedConditions {
    /// Whether it is about to stop. Nothing takes that back.
    pub(super) leaving: bool,
    /// The end of the longest pause that it has asked this VM for, in milliseconds.
    pub(super) paused_until_ms: u64,
}

/// What processes have stated, kept beyond their entries.
///
/// An entry may lapse while the store is unavailable, and come back with the same process.
#[derive(Debug, Default)]
pub(super) struct StatedByProcess {
    conditions: Map<IncarnationKey, StatedConditions>,
}

impl StatedByProcess {
    /// Returns what a process has stated.
    pub(super) fn of(&self, incarnation: IncarnationKey) -> StatedConditions {
        self.conditions.get(&incarnation).copied().unwrap_or_default()
    }

    /// Remembers what a process has stated. If there are too many, forgets processes without an entry.
    pub(super) fn set(
        &mut self,
        incarnation: IncarnationKey,
        conditions: StatedConditions,
        has_entry: impl Fn(IncarnationKey) -> bool,
    ) {
        if self.conditions.len() >= MAX_REMEMBERED && !self.conditions.contains_key(&incarnation) {
            self.conditions.retain(|incarnation, _| has_entry(*incarnation));
        }
        self.conditions.insert(incarnation, conditions);
    }
}
