//! The policies that are compared: the default one and baselines.

use sedgepath_core::direct::ablation::Mechanism;
use sedgepath_core::direct::admission::AdmissionConfig;
use sedgepath_core::direct::admission::queueing::QueueTolerance;
use sedgepath_core::direct::placement::PlacementWeights;
use sedgepath_core::direct::steering::SteeringConfig;

/// A steering configuration with the name that reports show.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct NamedPolicy {
    /// The name in tables and plots.
    pub name: &'static str,
    /// The steering configuration of all VMs.
    pub config: SteeringConfig,
}

fn without_mechanism(name: &'static str, mechanism: Mechanism) -> NamedPolicy {
    NamedPolicy { name, config: SteeringConfig::default().without(mechanism) }
}

/// Returns all policies, the default one first.
pub fn all() -> Vec<NamedPolicy> {
    let config = |weights, queue_tolerance| SteeringConfig {
        weights,
        admission: AdmissionConfig { queue_tolerance, ..AdmissionConfig::default() },
        ..SteeringConfig::default()
    };
    let weights = PlacementWeights::default();
    let queue_tolerance = QueueTolerance::default();
    let long_queues = QueueTolerance { idle_target_factor: 2.0, loaded_target_factor: 2.0 };
    vec![
        NamedPolicy { name: "in force", config: SteeringConfig::default() },
        NamedPolicy {
            name: "first of the order only",
            config: config(PlacementWeights { candidate_count: 1, ..weights }, queue_tolerance),
        },
        NamedPolicy {
            name: "three of the order",
            config: config(PlacementWeights { candidate_count: 3, ..weights }, queue_tolerance),
        },
        NamedPolicy {
            name: "least expected time of all",
            config: config(
                PlacementWeights { candidate_count: usize::MAX, spill_cost_ms: 0.0, ..weights },
                queue_tolerance,
            ),
        },
        NamedPolicy {
            name: "two at random",
            config: config(
                PlacementWeights { object_affinity: false, spill_cost_ms: 0.0, ..weights },
                queue_tolerance,
            ),
        },
        NamedPolicy {
            name: "regions alike",
            config: config(PlacementWeights { own_region_weight: 1.0, ..weights }, queue_tolerance),
        },
        NamedPolicy { name: "waits twice the target", config: config(weights, long_queues) },
        without_mechanism("spills as cheap where upstreams forget", Mechanism::EvictionSpillCost),
        without_mechanism("no second sending", Mechanism::Hedging),
    ]
}
