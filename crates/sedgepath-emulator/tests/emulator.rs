//! What a run gives, and what the policy in force is worth beside the baselines.

use std::path::Path;

use sedgepath_emulator::policy::{self, Named};
use sedgepath_emulator::report::{self, Row};
use sedgepath_emulator::run::{Figures, play};
use sedgepath_emulator::scenario::{Scenario, ScenarioError};

fn scenario(name: &str) -> Scenario {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("scenarios").join(name);
    Scenario::read(&path).expect("a scenario")
}

fn named(name: &str) -> Named {
    policy::all().into_iter().find(|policy| policy.name == name).expect("a policy")
}

fn worth(scenario: &Scenario, name: &str) -> f64 {
    let runs = (1..=2).map(|seed| play(scenario, named(name).policy, seed).mean_worth());
    runs.sum::<f64>() / 2.0
}

/// The same seed gives the same run to the last figure; another one gives another.
#[test]
fn a_seed_gives_the_same_run() {
    let mut scenario = scenario("bad_upstreams.yaml");
    scenario.duration_ms = 15_000;
    let run = |seed| play(&scenario, named("in force").policy, seed);
    assert_eq!(run(7), run(7));
    assert_ne!(run(7), run(8));
}

/// Every request ends in one way, and no cold upstream breaks down under requests, in each scenario.
#[test]
fn every_request_ends_once() {
    for name in ["waves.yaml", "burst.yaml", "bad_upstreams.yaml", "lost_upstreams.yaml"] {
        let figures = play(&scenario(name), named("in force").policy, 3);
        let ended = figures.in_time + figures.late + figures.refused + figures.failed;
        assert_eq!(ended, figures.asked, "{name}");
        assert_eq!(figures.latencies_ms.len(), figures.in_time + figures.late, "{name}");
        assert!(figures.asked > 6_000, "{name}: {}", figures.asked);
        assert_eq!(figures.crashes, 0, "{name}");
    }
}

/// Objects have one order of upstreams and spill to the second: of baselines that scatter them, never
/// spill, or let queues stand, each is worth less where upstreams are nearly full.
#[test]
fn the_policy_in_force_is_worth_more_than_baselines() {
    let waves = scenario("waves.yaml");
    let in_force = worth(&waves, "in force");
    for name in ["first of the order only", "least expected time of all", "two at random"] {
        let other = worth(&waves, name);
        assert!(in_force > other + 0.03, "{name}: {other:.3} beside {in_force:.3}");
    }
    let burst = scenario("burst.yaml");
    let in_force = worth(&burst, "in force");
    let other = worth(&burst, "waits twice the target");
    assert!(in_force > other + 0.03, "standing queues: {other:.3} beside {in_force:.3}");
}

/// A report names each policy with its spread, and a plot is written whole.
#[test]
fn a_report_has_a_row_and_a_curve_for_each_policy() {
    let mut scenario = scenario("waves.yaml");
    scenario.duration_ms = 3_000;
    let row = |policy: Named| Row { policy, runs: vec![play(&scenario, policy.policy, 1)] };
    let rows: Vec<Row> = policy::all().into_iter().take(2).map(row).collect();
    let table = report::table(&scenario, &rows);
    assert_eq!(table.lines().filter(|line| line.starts_with("| in force |")).count(), 1);
    let folder = tempfile::tempdir().expect("a folder");
    let path = folder.path().join("waves.svg");
    report::plot(&scenario, &rows, &path).expect("a plot");
    let plot = std::fs::read_to_string(path).expect("the plot");
    assert!(plot.trim_end().ends_with("</svg>") && plot.contains("first of the order only"));
}

/// Half of the answers come within the middle of their times; no answers give no time.
#[test]
fn latencies_are_read_off_the_sorted_times() {
    let figures = Figures { latencies_ms: vec![30, 10, 20, 40], ..Figures::default() };
    assert_eq!((figures.latency_ms(0.5), figures.latency_ms(0.99)), (30, 40));
    assert_eq!(Figures::default().latency_ms(0.5), 0);
}

/// A scenario with a field that nobody knows is refused, with the file's name.
#[test]
fn a_mistyped_scenario_is_refused() {
    let folder = tempfile::tempdir().expect("a folder");
    let path = folder.path().join("odd.yaml");
    std::fs::write(&path, "name: odd\ndurration_ms: 3\n").expect("written");
    let error = Scenario::read(&path).expect_err("a mistake");
    assert!(matches!(error, ScenarioError::Parse { .. }));
    assert!(error.to_string().contains("odd.yaml"));
}
