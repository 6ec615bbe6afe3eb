//! Runs scenarios under all policies, prints a table and writes a plot for each scenario.
//!
//! `cargo run --release -p sedgepath-emulator --example experiment -- [--seeds N] [--out DIR] FILE...`

use std::path::{Path, PathBuf};
use std::process::ExitCode;

use sedgepath_emulator::report::{self, PolicyResults};
use sedgepath_emulator::scenario::Scenario;
use sedgepath_emulator::{policy, run};

/// The number of seeds without `--seeds`.
const DEFAULT_SEEDS: u64 = 5;

/// The folder for plots without `--out`.
const DEFAULT_OUT: &str = "target/experiment";

fn main() -> ExitCode {
    match compare_policies() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("error: {error}");
            let mut cause = error.source();
            while let Some(source) = cause {
                eprintln!("caused by: {source}");
                cause = source.source();
            }
            ExitCode::FAILURE
        }
    }
}

fn compare_policies() -> Result<(), Box<dyn std::error::Error>> {
    let mut options = getopts::Options::new();
    options.optopt("", "seeds", "the runs of each policy", "N");
    options.optopt("", "out", "the folder for plots", "DIR");
    let matches = options.parse(std::env::args().skip(1))?;
    let seeds = matches.opt_get_default("seeds", DEFAULT_SEEDS)?;
    let out = PathBuf::from(matches.opt_str("out").unwrap_or_else(|| DEFAULT_OUT.into()));
    std::fs::create_dir_all(&out)?;
    println!("{seeds} seeds\n");
    for file in &matches.free {
        let scenario = Scenario::read(Path::new(file))?;
        let results: Vec<PolicyResults> = policy::all()
            .into_iter()
            .map(|policy| {
                let run = |seed| run::run_scenario(&scenario, policy.config, seed);
                PolicyResults { policy, runs: (1..=seeds).map(run).collect() }
            })
            .collect();
        println!("{}", report::markdown_table(&scenario, &results));
        let stem = Path::new(file).file_stem().unwrap_or_default();
        report::plot(&scenario, &results, &out.join(stem).with_extension("svg"))?;
    }
    Ok(())
}
