//! Compares steering policies on simulated nodes in two deployments.
//!
//! `cargo run --release -p sedgepath-core --example policy [SEEDS]`
//!
//! Prints one row per policy for each deployment and scenario, all from the same seeds, with these
//! columns:
//!
//! - The response latency of each class (50th/99th percentile).
//! - The score: the percentage of requests with a response in time, weighted 3 for paying, 2 for
//!   trial and 1 for guest requests.
//! - The same percentage for paying requests alone.
//! - The percentage of rejections, and their latency (50th/99th percentile).
//! - The percentage of other outcomes (unknown, connection lost).
//! - The minimum headroom of a failure domain.
//! - The time until a drained domain runs nothing, in milliseconds.
//! - The maximum percentage of a group's traffic that shifted in a window; the cap is 10 %, except
//!   for variants without one.
//! - The maximum load of an upstream as a fraction of its slots.

use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};

mod deployment;
mod report;
mod scenario;

use deployment::{CLUE, Deployment, MAGNOLIA};
use report::{TABLE_HEADING, VariantStats};
use scenario::{Run, Scenario, VARIANTS};

/// The default number of seeds.
const DEFAULT_SEED_COUNT: usize = 3;

/// The number of concurrent runs.
const THREADS: usize = 4;

/// A run that is to be simulated.
#[derive(Debug, Clone, Copy)]
struct Job {
    deployment: Deployment,
    scenario: Scenario,
    variant: usize,
    seed: u64,
}

fn main() {
    let seeds =
        std::env::args().nth(1).and_then(|text| text.parse().ok()).unwrap_or(DEFAULT_SEED_COUNT);
    let jobs = jobs(seeds);
    let stats = run_all(&jobs);
    println!("{seeds} seeds, 30 s measured in each run, windows of 5 s");
    for deployment in [MAGNOLIA, CLUE] {
        for scenario in Scenario::ALL {
            println!("\n{}: {}\n\n{TABLE_HEADING}", deployment.name, scenario.name());
            for (variant, variant_settings) in VARIANTS.iter().enumerate() {
                let mut total = VariantStats::default();
                for (job, run_stats) in jobs.iter().zip(&stats) {
                    let same = job.deployment.name == deployment.name && job.scenario == scenario;
                    if same && job.variant == variant {
                        total.merge(run_stats.clone());
                    }
                }
                println!("{}", total.table_row(variant_settings.name));
            }
        }
    }
}

fn jobs(seeds: usize) -> Vec<Job> {
    let mut jobs = Vec::new();
    for deployment in [MAGNOLIA, CLUE] {
        for scenario in Scenario::ALL {
            for variant in 0..VARIANTS.len() {
                for seed in 1..=seeds as u64 {
                    jobs.push(Job { deployment, scenario, variant, seed });
                }
            }
        }
    }
    jobs
}

fn run_all(jobs: &[Job]) -> Vec<VariantStats> {
    let next = AtomicUsize::new(0);
    let done = Mutex::new(vec![VariantStats::default(); jobs.len()]);
    std::thread::scope(|scope| {
        for _ in 0..THREADS {
            scope.spawn(|| {
                while let Some((index, job)) = next_job(&next, jobs) {
                    let run =
                        Run::new(job.deployment, job.scenario, &VARIANTS[job.variant], job.seed);
                    let mut stats = VariantStats::default();
                    stats.add_run(&run);
                    done.lock().expect("no run panics")[index] = stats;
                }
            });
        }
    });
    done.into_inner().expect("no run panics")
}

fn next_job<'a>(next: &AtomicUsize, jobs: &'a [Job]) -> Option<(usize, &'a Job)> {
    let index = next.fetch_add(1, Ordering::Relaxed);
    Some((index, jobs.get(index)?))
}
