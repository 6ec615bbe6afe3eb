//! Fuzz test of the retry budget over schedules of demand, rejections and faults of VMs.
//!
//! In every ten-second window the retries stay within a fifth of the requests plus the slack. The
//! check uses only the times of callers' requests and of retries that arrive at upstreams.
//!
//! CI runs a fixed seed; the environment variables `FUZZ_CASES` and `FUZZ_SEED` set longer runs.

mod fuzz_support;

use fuzz_support::config;
use proptest::prelude::*;
use sedgepath_test_support::fleet::{Disruption, Scenario, StepFunction};

const LENGTH_MS: u64 = 30_000;

fn time_ms() -> impl Strategy<Value = u64> {
    0..LENGTH_MS
}

fn levels(level: impl Strategy<Value = f64>) -> impl Strategy<Value = StepFunction> {
    prop::collection::vec((time_ms(), level), 1..6).prop_map(|mut levels| {
        levels.sort_by_key(|(from_ms, _)| *from_ms);
        StepFunction(levels)
    })
}

fn trouble() -> impl Strategy<Value = Disruption> {
    prop_oneof![
        3 => (100..5_000_u64).prop_map(|down_ms| Disruption::Kill { down_ms }),
        3 => Just(Disruption::Stop),
        2 => (100..3_000_u64).prop_map(|for_ms| Disruption::Suspend { for_ms }),
        1 => Just(Disruption::Join),
        1 => (1_000..LENGTH_MS).prop_map(|for_ms| Disruption::CutOff { for_ms }),
    ]
}

prop_compose! {
    fn day()(vms in 2..11_u8)(
        vms in Just(vms),
        mut demand in levels(prop_oneof![Just(0.0), 10.0..60.0, 100.0..400.0]),
        refused_share in levels(prop_oneof![Just(0.0), 0.1..0.6, 0.7..1.0]),
        troubles in prop::collection::vec(
            (time_ms(), trouble(), prop::collection::vec(0..vms, 1..8)),
            0..8,
        ),
        seed in any::<u64>(),
        initial_per_s in 20.0..300.0,
    ) -> Scenario {
        demand.0.insert(0, (0, initial_per_s));
        Scenario { vms, duration_ms: LENGTH_MS, demand_per_s: demand, rejected_share: refused_share, disruptions: troubles, seed }
    }
}

proptest! {
    #![proptest_config(config(32))]

    /// Guards against a combination of faults that exceeds the retry budget.
    #[test]
    fn retries_stay_within_the_budget_under_random_faults(day in day()) {
        prop_assert_eq!(day.run().worst_excess(), None);
    }
}
