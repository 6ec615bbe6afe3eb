//! Plays a day of refusals and restarts with more and more VMs, and prints what repeats are sent.
//!
//! `cargo run --release -p sedgepath-core --example retry_budget`

use sedgepath_test_support::fleet::{Day, Levels, REPEAT_RATIO, REPEAT_SLACK, Trouble};

/// The demand of all VMs together, in requests a second.
const DEMAND_PER_S: f64 = 600.0;

/// When upstreams begin to refuse and when they end, in milliseconds.
const REFUSING_MS: (u64, u64) = (12_000, 22_000);

fn main() {
    println!(
        "{:>5} {:>8} {:>8} {:>14} {:>8} {:>8}",
        "VMs", "asked", "repeats", "of those paid", "excess", "served"
    );
    for vms in [2, 10, 50, 100, 200_u8] {
        let killed = (15_000, Trouble::Kill { down_ms: 300 }, (0..vms / 2).collect());
        let day = Day {
            vms,
            length_ms: 30_000,
            demand_per_s: Levels(vec![(0, DEMAND_PER_S)]),
            refused_share: Levels(vec![(REFUSING_MS.0, 0.8), (REFUSING_MS.1, 0.0)]),
            troubles: vec![killed],
            seed: 1,
        };
        let seen = day.play();
        let (asked, served) = seen.served(REFUSING_MS.0, REFUSING_MS.1);
        let paid = REPEAT_RATIO * asked as f64 + REPEAT_SLACK;
        let repeats = seen.repeated_at_ms.len();
        let excess = seen.worst_excess().map_or(0, |excess| excess.retries);
        println!(
            "{vms:>5} {asked:>8} {repeats:>8} {:>13.0}% {excess:>8} {:>7.1}%",
            100.0 * repeats as f64 / paid,
            100.0 * served as f64 / asked as f64
        );
    }
}
