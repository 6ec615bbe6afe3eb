//! The policies compared: those in force, and baselines.

use sedgepath_core::direct::ablation::Mechanism;
use sedgepath_core::direct::placement::PlacementWeights;
use sedgepath_core::direct::queueing::QueueTolerance;
use sedgepath_core::direct::steering::SteeringConfig;

/// A policy with its name in reports.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Named {
    /// The name.
    pub name: &'static str,
    /// The figures.
    pub policy: SteeringConfig,
}

fn without(name: &'static str, mechanism: Mechanism) -> Named {
    Named { name, policy: SteeringConfig::default().without(mechanism) }
}

/// Returns all policies, the one in force first.
pub fn all() -> Vec<Named> {
    let of = |weights, patience| SteeringConfig {
        weights,
        queue_tolerance: patience,
        ..SteeringConfig::default()
    };
    let weights = PlacementWeights::default();
    let patience = QueueTolerance::default();
    let long = QueueTolerance { idle_target_factor: 2.0, loaded_target_factor: 2.0 };
    vec![
        Named { name: "in force", policy: SteeringConfig::default() },
        Named {
            name: "first of the order only",
            policy: of(PlacementWeights { candidate_count: 1, ..weights }, patience),
        },
        Named {
            name: "three of the order",
            policy: of(PlacementWeights { candidate_count: 3, ..weights }, patience),
        },
        Named {
            name: "least expected time of all",
            policy: of(
                PlacementWeights { candidate_count: usize::MAX, spill_cost_ms: 0.0, ..weights },
                patience,
            ),
        },
        Named {
            name: "two at random",
            policy: of(
                PlacementWeights { object_affinity: false, spill_cost_ms: 0.0, ..weights },
                patience,
            ),
        },
        Named {
            name: "regions alike",
            policy: of(PlacementWeights { own_region_weight: 1.0, ..weights }, patience),
        },
        Named { name: "waits twice the target", policy: of(weights, long) },
        without("spills as cheap where upstreams forget", Mechanism::EvictionSpillCost),
        without("no second sending", Mechanism::Hedging),
    ]
}
