//! The configuration of fuzz tests.

use proptest::test_runner::{Config, RngSeed};

/// Returns the configuration of a fuzz test with `cases` cases and a fixed seed, which the environment
/// variables `FUZZ_CASES` and `FUZZ_SEED` override.
pub fn config(cases: u32) -> Config {
    Config {
        cases: env_number("FUZZ_CASES", u64::from(cases)) as u32,
        rng_seed: RngSeed::Fixed(env_number("FUZZ_SEED", 1)),
        failure_persistence: None,
        max_shrink_iters: 2_000,
        ..Config::default()
    }
}

fn env_number(name: &str, default: u64) -> u64 {
    std::env::var(name).ok().and_then(|text| text.parse().ok()).unwrap_or(default)
}
