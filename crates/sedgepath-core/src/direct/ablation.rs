//! Mechanisms of a VM that can be left out one by one, to see what each is worth.
//!
//! A mechanism whose absence changes nothing that callers or operators notice, over many days and on
//! unlike systems, is code that nobody needs.

use std::fmt;
use std::str::FromStr;

use super::queueing::{CALM_TARGET_FACTOR, QueueTolerance};
use super::steering::SteeringConfig;

/// A mechanism that can be left out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mechanism {
    /// All requests for an object go by one order of upstreams.
    ObjectAffinity,
    /// An object has a second upstream for when the first is busy.
    SpillUpstream,
    /// Upstreams of the own region come first for most objects.
    LocalRegionPreference,
    /// Large answers come from the own failure domain.
    LocalLargeResponses,
    /// Taking the second upstream costs something by itself.
    SpillCost,
    /// It costs more where upstreams forget objects.
    EvictionSpillCost,
    /// Requests wait for a shorter time while queues stand.
    ShortQueuesUnderLoad,
    /// A request is sent a second time beside an upstream that says nothing.
    Hedging,
}

/// An error for a mechanism's name that isn't known.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("no mechanism is named `{name}`; there are {}", known())]
pub struct UnknownMechanism {
    /// The name that was given.
    pub name: Box<str>,
}

fn known() -> String {
    Mechanism::ALL.map(Mechanism::name).join(", ")
}

impl Mechanism {
    /// All mechanisms.
    pub const ALL: [Self; 8] = [
        Self::ObjectAffinity,
        Self::SpillUpstream,
        Self::LocalRegionPreference,
        Self::LocalLargeResponses,
        Self::SpillCost,
        Self::EvictionSpillCost,
        Self::ShortQueuesUnderLoad,
        Self::Hedging,
    ];

    /// Returns the name on command lines and in reports.
    pub fn name(self) -> &'static str {
        match self {
            Self::ObjectAffinity => "object-order",
            Self::SpillUpstream => "second-place",
            Self::LocalRegionPreference => "own-region",
            Self::LocalLargeResponses => "large-answers-near",
            Self::SpillCost => "spill-cost",
            Self::EvictionSpillCost => "forgotten-spill",
            Self::ShortQueuesUnderLoad => "short-queues",
            Self::Hedging => "second-sending",
        }
    }
}

impl fmt::Display for Mechanism {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

impl FromStr for Mechanism {
    type Err = UnknownMechanism;

    fn from_str(name: &str) -> Result<Self, Self::Err> {
        let found = Self::ALL.into_iter().find(|mechanism| mechanism.name() == name);
        found.ok_or_else(|| UnknownMechanism { name: name.into() })
    }
}

impl SteeringConfig {
    /// Leaves a mechanism out.
    pub fn without(mut self, mechanism: Mechanism) -> Self {
        let weights = &mut self.weights;
        match mechanism {
            Mechanism::ObjectAffinity => weights.object_affinity = false,
            Mechanism::SpillUpstream => weights.candidate_count = 1,
            Mechanism::LocalRegionPreference => weights.own_region_weight = 1.0,
            Mechanism::LocalLargeResponses => {
                weights.large_response_domain_weight = weights.own_region_weight
            }
            Mechanism::SpillCost => weights.spill_cost_ms = 0.0,
            Mechanism::EvictionSpillCost => weights.eviction_spill_factor = 0.0,
            Mechanism::ShortQueuesUnderLoad => {
                self.queue_tolerance = QueueTolerance {
                    loaded_target_factor: CALM_TARGET_FACTOR,
                    ..self.queue_tolerance
                };
            }
            Mechanism::Hedging => self.hedging = false,
        }
        self
    }
}
