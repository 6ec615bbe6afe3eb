//! Mechanisms that can be turned off one at a time to measure their effect.

use std::fmt;
use std::str::FromStr;

use super::admission::queueing::{IDLE_TARGET_FACTOR, QueueTolerance};
use super::steering::SteeringConfig;

/// A mechanism of load balancing that can be turned off.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mechanism {
    /// All requests for an object rank the upstreams in the same order.
    ObjectAffinity,
    /// Requests for an object spill to the second-ranked upstream when the first one is busy.
    SpillUpstream,
    /// Most objects rank an upstream of the VM's own region first.
    LocalRegionPreference,
    /// Large responses come from the VM's own failure domain.
    LocalLargeResponses,
    /// Choosing the second upstream has a fixed cost.
    SpillCost,
    /// The cost of choosing the second upstream grows where upstreams evict objects.
    EvictionSpillCost,
    /// The longest allowed wait for a slot shrinks while queues persist.
    ShortQueuesUnderLoad,
    /// While queues persist, rejected callers that return come before new requests.
    ReturningFirst,
    /// While queues persist, callers that send more than their share are rejected before others.
    FairShares,
    /// A second attempt starts while the first one's upstream doesn't respond.
    Hedging,
    /// Expected and learned times take into account the paces that upstreams state.
    WorkPace,
    /// Where paces are known, the candidates most likely to finish in time come before the cheapest.
    FinishProbability,
    /// VMs of a region tell each other of the load at upstreams.
    SharedLoad,
    /// The preference for the own region and domain falls where demand exceeds their slots.
    RegionalCapacity,
    /// Hot objects use as many upstreams as their demand needs.
    HotObjects,
    /// Idempotent requests that wait behind others on a connection are started early.
    Pipelining,
}

/// The error for an unknown mechanism name.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("unknown mechanism `{name}`; expected one of: {}", mechanism_names())]
pub struct UnknownMechanism {
    /// The text that is no mechanism's name.
    pub name: Box<str>,
}

fn mechanism_names() -> String {
    Mechanism::ALL.map(Mechanism::name).join(", ")
}

impl Mechanism {
    /// Every mechanism, in the order of declaration.
    pub const ALL: [Self; 16] = [
        Self::ObjectAffinity,
        Self::SpillUpstream,
        Self::LocalRegionPreference,
        Self::LocalLargeResponses,
        Self::SpillCost,
        Self::EvictionSpillCost,
        Self::ShortQueuesUnderLoad,
        Self::ReturningFirst,
        Self::FairShares,
        Self::Hedging,
        Self::WorkPace,
        Self::FinishProbability,
        Self::SharedLoad,
        Self::RegionalCapacity,
        Self::HotObjects,
        Self::Pipelining,
    ];

    /// Returns the name used on command lines and in reports.
    pub fn name(self) -> &'static str {
        match self {
            Self::ObjectAffinity => "object-order",
            Self::SpillUpstream => "second-place",
            Self::LocalRegionPreference => "own-region",
            Self::LocalLargeResponses => "large-answers-near",
            Self::SpillCost => "spill-cost",
            Self::EvictionSpillCost => "forgotten-spill",
            Self::ShortQueuesUnderLoad => "short-queues",
            Self::ReturningFirst => "returning-first",
            Self::FairShares => "fair-shares",
            Self::Hedging => "second-sending",
            Self::WorkPace => "work-pace",
            Self::FinishProbability => "finish-probability",
            Self::SharedLoad => "shared-load",
            Self::RegionalCapacity => "regional-capacity",
            Self::HotObjects => "hot-objects",
            Self::Pipelining => "pipelining",
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
        let named = Self::ALL.into_iter().find(|mechanism| mechanism.name() == name);
        named.ok_or_else(|| UnknownMechanism { name: name.into() })
    }
}

impl SteeringConfig {
    /// Returns the parameters with one mechanism turned on. All are on by default, apart from
    /// [`Mechanism::ReturningFirst`].
    pub fn with(mut self, mechanism: Mechanism) -> Self {
        if mechanism == Mechanism::ReturningFirst {
            self.admission.returning_first = true;
        }
        self
    }

    /// Returns the parameters with one mechanism turned off.
    pub fn without(mut self, mechanism: Mechanism) -> Self {
        let weights = &mut self.weights;
        match mechanism {
            Mechanism::ObjectAffinity => weights.object_affinity = false,
            Mechanism::SpillUpstream => {
                weights.candidate_count = 1;
                weights.paced_candidate_count = 1;
            }
            Mechanism::LocalRegionPreference => weights.own_region_weight = 1.0,
            Mechanism::LocalLargeResponses => {
                weights.large_response_domain_weight = weights.own_region_weight;
            }
            Mechanism::SpillCost => weights.spill_cost_ms = 0.0,
            Mechanism::EvictionSpillCost => weights.eviction_spill_factor = 0.0,
            Mechanism::ShortQueuesUnderLoad => {
                self.admission.queue_tolerance = QueueTolerance {
                    loaded_target_factor: IDLE_TARGET_FACTOR,
                    ..self.admission.queue_tolerance
                };
            }
            Mechanism::ReturningFirst => self.admission.returning_first = false,
            Mechanism::FairShares => self.admission.fair_shares = false,
            Mechanism::Hedging => self.hedging = false,
            Mechanism::WorkPace => weights.work_pace = false,
            Mechanism::FinishProbability => weights.finish_probability = false,
            Mechanism::SharedLoad => self.shared_load = false,
            Mechanism::RegionalCapacity => self.capacity.regional_weights = false,
            Mechanism::HotObjects => self.capacity.hot_objects = false,
            Mechanism::Pipelining => self.pipelining = false,
        }
        self
    }
}
