//! Properties of a simulation run, and the utility of the default policy against the baselines.

use std::path::Path;

use sedgepath_emulator::policy::{self, NamedPolicy};
use sedgepath_emulator::report::{self, PolicyResults};
use sedgepath_emulator::run::{RunMetrics, run_scenario};
use sedgepath_emulator::scenario::{Scenario, ScenarioError};

fn scenario(name: &str) -> Scenario {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("scenarios").join(name);
    Scenario::read(&path).expect("a valid scenario")
}

fn policy_named(name: &str) -> NamedPolicy {
    policy::all().into_iter().find(|policy| policy.name == name).expect("a known policy")
}

fn mean_utility_of(scenario: &Scenario, name: &str) -> f64 {
    let runs =
        (1..=2).map(|seed| run_scenario(scenario, policy_named(name).config, seed).mean_utility());
    runs.sum::<f64>() / 2.0
}

/// Guards against randomness from outside the seed, and against a seed that is ignored.
#[test]
fn the_same_seed_gives_the_same_run() {
    let mut scenario = scenario("bad_upstreams.yaml");
    scenario.duration_ms = 15_000;
    let run = |seed| run_scenario(&scenario, policy_named("in force").config, seed);
    assert_eq!(run(7), run(7));
    assert_ne!(run(7), run(8));
}

/// Guards against requests without an outcome or with two, and against crashes of cold upstreams.
#[test]
fn every_request_has_exactly_one_outcome() {
    for name in ["waves.yaml", "burst.yaml", "bad_upstreams.yaml", "lost_upstreams.yaml"] {
        let metrics = run_scenario(&scenario(name), policy_named("in force").config, 3);
        let ended = metrics.on_time + metrics.late + metrics.rejected + metrics.failed;
        assert_eq!(ended, metrics.requests, "{name}");
        assert_eq!(metrics.latencies_ms.len(), metrics.on_time + metrics.late, "{name}");
        assert!(metrics.requests > 6_000, "{name}: {}", metrics.requests);
        assert_eq!(metrics.crashes, 0, "{name}");
    }
}

/// Guards against a default policy without a clear gain over baselines that scatter objects, never spill
/// or allow long queues, under a load close to the upstreams' capacity.
#[test]
fn the_default_policy_has_a_higher_utility_than_baselines() {
    let waves = scenario("waves.yaml");
    let default_policy = mean_utility_of(&waves, "in force");
    for name in ["first of the order only", "least expected time of all", "two at random"] {
        let other = mean_utility_of(&waves, name);
        assert!(
            default_policy > other + 0.03,
            "{name}: {other:.3}, default policy: {default_policy:.3}"
        );
    }
    let burst = scenario("burst.yaml");
    let default_policy = mean_utility_of(&burst, "in force");
    let other = mean_utility_of(&burst, "waits twice the target");
    assert!(
        default_policy > other + 0.03,
        "long queues: {other:.3}, default policy: {default_policy:.3}"
    );
}

/// Guards against a table that misses a policy, and against a truncated plot.
#[test]
fn a_report_has_a_row_and_a_curve_for_each_policy() {
    let mut scenario = scenario("waves.yaml");
    scenario.duration_ms = 3_000;
    let result = |policy: NamedPolicy| PolicyResults {
        policy,
        runs: vec![run_scenario(&scenario, policy.config, 1)],
    };
    let results: Vec<PolicyResults> = policy::all().into_iter().take(2).map(result).collect();
    let table = report::markdown_table(&scenario, &results);
    assert_eq!(table.lines().filter(|line| line.starts_with("| in force |")).count(), 1);
    let dir = tempfile::tempdir().expect("a temporary directory");
    let path = dir.path().join("waves.svg");
    report::plot(&scenario, &results, &path).expect("the plot is drawn");
    let plot = std::fs::read_to_string(path).expect("the plot is readable");
    assert!(plot.trim_end().ends_with("</svg>") && plot.contains("first of the order only"));
}

/// Guards against quantiles of unsorted times, and against a panic without responses.
#[test]
fn latency_quantiles_are_of_the_sorted_times() {
    let metrics = RunMetrics { latencies_ms: vec![30, 10, 20, 40], ..RunMetrics::default() };
    assert_eq!((metrics.latency_quantile_ms(0.5), metrics.latency_quantile_ms(0.99)), (30, 40));
    assert_eq!(RunMetrics::default().latency_quantile_ms(0.5), 0);
}

/// Guards against a misspelled field that is ignored, and against an error without the file name.
#[test]
fn an_unknown_scenario_field_is_an_error() {
    let dir = tempfile::tempdir().expect("a temporary directory");
    let path = dir.path().join("odd.yaml");
    std::fs::write(&path, "name: odd\ndurration_ms: 3\n").expect("the file is written");
    let error = Scenario::read(&path).expect_err("a parse error");
    assert!(matches!(error, ScenarioError::Parse { .. }));
    assert!(error.to_string().contains("odd.yaml"));
}
