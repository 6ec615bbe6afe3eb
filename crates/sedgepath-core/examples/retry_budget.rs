//! Simulates rejections and restarts with increasing numbers of VMs, and prints the retries sent.
//!
//! `cargo run --release -p sedgepath-core --example retry_budget`

use sedgepath_test_support::fleet::{
    Disruption, RETRY_BUDGET_RATIO, RETRY_BUDGET_SLACK, Scenario, StepFunction,
};

/// The total demand of all callers, in requests per second.
const DEMAND_PER_S: f64 = 600.0;

/// The start and the end of the period in which upstreams reject requests, in milliseconds.
const REJECTION_PERIOD_MS: (u64, u64) = (12_000, 22_000);

fn main() {
    println!(
        "{:>5} {:>8} {:>8} {:>14} {:>8} {:>8}",
        "VMs", "asked", "repeats", "of those paid", "excess", "served"
    );
    for vms in [2, 10, 50, 100, 200_u8] {
        let kill = (15_000, Disruption::Kill { down_ms: 300 }, (0..vms / 2).collect());
        let scenario = Scenario {
            vms,
            duration_ms: 30_000,
            demand_per_s: StepFunction(vec![(0, DEMAND_PER_S)]),
            rejected_share: StepFunction(vec![
                (REJECTION_PERIOD_MS.0, 0.8),
                (REJECTION_PERIOD_MS.1, 0.0),
            ]),
            disruptions: vec![kill],
            seed: 1,
        };
        let result = scenario.run();
        let (requests, served) = result.count_served(REJECTION_PERIOD_MS.0, REJECTION_PERIOD_MS.1);
        let budget = RETRY_BUDGET_RATIO * requests as f64 + RETRY_BUDGET_SLACK;
        let retries = result.retried_at_ms.len();
        let excess = result.worst_excess().map_or(0, |excess| excess.retries);
        println!(
            "{vms:>5} {requests:>8} {retries:>8} {:>13.0}% {excess:>8} {:>7.1}%",
            100.0 * retries as f64 / budget,
            100.0 * served as f64 / requests as f64
        );
    }
}
