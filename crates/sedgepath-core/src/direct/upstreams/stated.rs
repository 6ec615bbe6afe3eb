//! What the processes of upstreams have stated of themselves with their responses.

use crate::direct::upstreams::IncarnationKey;
use crate::hash::Map;

/// The number of processes from which on those without an entry are forgotten.
const MIN_PRUNED: usize = 4_096;

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
#[derive(Debug)]
pub(super) struct StatedByProcess {
    conditions: Map<IncarnationKey, StatedConditions>,
    /// The number of processes at which those without an entry are forgotten next.
    pruned_at: usize,
}

impl Default for StatedByProcess {
    fn default() -> Self {
        Self { conditions: Map::default(), pruned_at: MIN_PRUNED }
    }
}

impl StatedByProcess {
    /// Returns what a process has stated.
    pub(super) fn of(&self, incarnation: IncarnationKey) -> StatedConditions {
        self.conditions.get(&incarnation).copied().unwrap_or_default()
    }

    /// Remembers what a process has stated. If there are too many, forgets processes without an entry.
    ///
    /// That is next due when there are twice as many as remain. With a pass over all processes for each
    /// statement a VM would fall behind while all upstreams of a large fleet state that they stop.
    pub(super) fn set(
        &mut self,
        incarnation: IncarnationKey,
        conditions: StatedConditions,
        has_entry: impl Fn(IncarnationKey) -> bool,
    ) {
        if self.conditions.len() >= self.pruned_at && !self.conditions.contains_key(&incarnation) {
            self.conditions.retain(|incarnation, _| has_entry(*incarnation));
            self.pruned_at = (2 * self.conditions.len()).max(MIN_PRUNED);
        }
        self.conditions.insert(incarnation, conditions);
    }
}
