//! Compares steering policies over the node core at the brief's two deployments.
//!
//! `cargo run --release -p sedgepath-core --example policy [SEEDS]`
//!
//! Prints for each deployment and scenario one row per policy, all from the same seeds: latency of
//! answers (50th/99th percentile) by class; the score, which is the share of requests answered in
//! time, weighted 3 for paying, 2 for trial and 1 for guest; the same for paying alone; the share of
//! refusals and how soon they are given (50th/99th percentile); the share of other ends (unknown,
//! broken); the least headroom of a failure domain; the time until a drained domain runs nothing, in
//! milliseconds; the greatest share of a group's traffic that moved in a window, against a cap of
//! 10 % (the baselines know no cap); and the greatest load of an upstream as a part of its slots.

use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};

mod deployment;
mod report;
mod scenario;

use deployment::{CLUE, Deployment, MAGNOLIA};
use report::{Figures, HEADING};
use scenario::{Run, Scenario, VARIANTS};

/// The seeds unless the command line names a number.
const SEEDS: usize = 3;

/// The runs at once.
const THREADS: usize = 4;

/// One run to do.
#[derive(Debug, Clone, Copy)]
struct Job {
    deployment: Deployment,
    scenario: Scenario,
    variant: usize,
    seed: u64,
}

fn main() {
    let seeds = std::env::args().nth(1).and_then(|text| text.parse().ok()).unwrap_or(SEEDS);
    let jobs = jobs(seeds);
    let figures = run_all(&jobs);
    println!("{seeds} seeds, 30 s measured in each run, windows of 5 s");
    for deployment in [MAGNOLIA, CLUE] {
        for scenario in Scenario::ALL {
            println!("\n{}: {}\n\n{HEADING}", deployment.name, scenario.name());
            for (variant, entry) in VARIANTS.iter().enumerate() {
                let mut sum = Figures::default();
                for (job, figures) in jobs.iter().zip(&figures) {
                    let same = job.deployment.name == deployment.name && job.scenario == scenario;
                    if same && job.variant == variant {
                        sum.merge(figures.clone());
                    }
                }
                println!("{}", sum.row(entry.name));
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

fn run_all(jobs: &[Job]) -> Vec<Figures> {
    let next = AtomicUsize::new(0);
    let done = Mutex::new(vec![Figures::default(); jobs.len()]);
    std::thread::scope(|scope| {
        for _ in 0..THREADS {
            scope.spawn(|| {
                while let Some((index, job)) = take(&next, jobs) {
                    let run =
                        Run::new(job.deployment, job.scenario, &VARIANTS[job.variant], job.seed);
                    let mut figures = Figures::default();
                    figures.add(&run);
                    done.lock().expect("no run panics")[index] = figures;
                }
            });
        }
    });
    done.into_inner().expect("no run panics")
}

fn take<'a>(next: &AtomicUsize, jobs: &'a [Job]) -> Option<(usize, &'a Job)> {
    let index = next.fetch_add(1, Ordering::Relaxed);
    Some((index, jobs.get(index)?))
}
