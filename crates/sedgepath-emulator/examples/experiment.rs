//! Plays scenarios under all policies and writes tables and plots.
//!
//! `cargo run --release -p sedgepath-emulator --example experiment -- [--seeds N] [--out DIR] FILE...`

use std::path::{Path, PathBuf};
use std::process::ExitCode;

use sedgepath_emulator::report::{self, Row};
use sedgepath_emulator::scenario::Scenario;
use sedgepath_emulator::{policy, run};

/// The seeds of each policy unless the command line names a number.
const SEEDS: u64 = 5;

/// The folder for plots unless the command line names one.
const OUT: &str = "target/experiment";

fn main() -> ExitCode {
    match experiment() {
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

fn experiment() -> Result<(), Box<dyn std::error::Error>> {
    let mut options = getopts::Options::new();
    options.optopt("", "seeds", "the runs of each policy", "N");
    options.optopt("", "out", "the folder for plots", "DIR");
    let matches = options.parse(std::env::args().skip(1))?;
    let seeds = matches.opt_get_default("seeds", SEEDS)?;
    let out = PathBuf::from(matches.opt_str("out").unwrap_or_else(|| OUT.into()));
    std::fs::create_dir_all(&out)?;
    println!("{seeds} seeds\n");
    for file in &matches.free {
        let scenario = Scenario::read(Path::new(file))?;
        let rows: Vec<Row> = policy::all()
            .into_iter()
            .map(|policy| {
                let play = |seed| run::play(&scenario, policy.policy, seed);
                Row { policy, runs: (1..=seeds).map(play).collect() }
            })
            .collect();
        println!("{}", report::table(&scenario, &rows));
        let stem = Path::new(file).file_stem().unwrap_or_default();
        report::plot(&scenario, &rows, &out.join(stem).with_extension("svg"))?;
    }
    Ok(())
}
