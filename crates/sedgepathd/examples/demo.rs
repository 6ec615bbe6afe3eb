//! Runs a complete system of two regions with paying and trial traffic on this machine.
//!
//! The platform and the upstreams are stand-ins; the four daemons are separate processes of this
//! example, started with a settings file. While callers send requests, a steering record is applied,
//! an upstream is drained and an entry VM is stopped. At the end, the outcomes, the latency by class
//! and the merged timeline are printed.
//!
//! The exit code is 0 only if no response was incomplete, no outcome was unknown, no key ran twice,
//! no request ran that was reported as not run, no upstream exceeded its slots and every paying
//! request was answered.

use std::collections::BTreeSet;
use std::error::Error;
use std::fs;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use sedgepath::cli::Environment;
use sedgepath_test_support::caller::{Call, Caller, CallerStats, Outcome};
use sedgepath_test_support::daemon::Signal;
use sedgepath_test_support::records::{self, UpstreamSpec};
use sedgepath_test_support::system::{DaemonCluster, SECRET};
use sedgepath_test_support::upstream::{UpstreamConfig, UpstreamStandIn};

/// The time after the start during which callers send requests.
const TRAFFIC_DURATION: Duration = Duration::from_secs(24);

/// The number of callers in each class.
const CALLERS_PER_CLASS: usize = 6;

/// The maximum number of retries of a request that was not run.
const MAX_RETRIES: u32 = 40;

/// The number of timeline entries that are printed, counted from the end.
const PRINTED_ENTRIES: usize = 40;

/// A steering record that shifts traffic to the first and the last failure domain.
const NEW_STEERING_RECORD: &str = "\
schema: 2
kind: steering
name: deposits
groups:
  - origin: any
    shares:
      - { domain: lowcountry-a, weight: 3 }
      - { domain: lowcountry-b, weight: 1 }
      - { domain: gulfside-a, weight: 1 }
      - { domain: gulfside-b, weight: 3 }
cap: { percent: 30, window_ms: 2000 }
failover_cap: { percent: 60, window_ms: 2000 }
";

const DOMAINS: [&str; 4] = ["lowcountry-a", "lowcountry-b", "gulfside-a", "gulfside-b"];

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    if arguments.iter().any(|argument| argument == "--settings") {
        return sedgepathd::command::main(arguments);
    }
    match run() {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("the demo could not run: {error}");
            ExitCode::FAILURE
        }
    }
}

fn run() -> Result<bool, Box<dyn Error>> {
    let upstreams = start_upstreams()?;
    let vm_names = DOMAINS.map(|domain| format!("{domain}-1"));
    let daemons: Vec<_> = vm_names.iter().map(|name| &**name).zip(DOMAINS).collect();
    let mut system = DaemonCluster::new(&std::env::current_exe()?)?
        .with_daemons(&first_records(&upstreams), &daemons)?;
    if !system.wait_until_all_serve(is_served) {
        return Err("a daemon serves nothing".into());
    }
    let entries = system.caller_addresses();

    println!("traffic begins: {CALLERS_PER_CLASS} paying and {CALLERS_PER_CLASS} trial callers");
    let started = Instant::now();
    let stop = Arc::new(AtomicBool::new(false));
    let paying = start_callers("paying", "porch-key", &entries, &stop);
    let trial = start_callers("trial", "sampler-key", &entries, &stop);

    thread::sleep(Duration::from_secs(4));
    println!("{:>5.1} s: a record is applied that moves shares", started.elapsed().as_secs_f64());
    let folder = tempfile::tempdir()?;
    let file = folder.path().join("deposits.yaml");
    fs::write(&file, NEW_STEERING_RECORD)?;
    let file = file.to_str().ok_or("the path is no text")?;
    print!("{}", run_operator_command(&system, &["apply", file, "--note", "evening"])?);
    thread::sleep(Duration::from_secs(4));
    println!(
        "{:>5.1} s: upstream {} is drained",
        started.elapsed().as_secs_f64(),
        upstream_name(0, 0)
    );
    print!("{}", run_operator_command(&system, &["drain", "start", &upstream_name(0, 0)])?);
    thread::sleep(Duration::from_secs(4));
    println!("{:>5.1} s: entry VM {}-1 is stopped", started.elapsed().as_secs_f64(), DOMAINS[3]);
    let stopping_daemon = system.daemons[3].as_mut().ok_or("no daemon")?;
    stopping_daemon.signal(Signal::Term)?;
    thread::sleep(TRAFFIC_DURATION.saturating_sub(started.elapsed()));
    stop.store(true, Ordering::Relaxed);

    let paying = join_callers(paying)?;
    let trial = join_callers(trial)?;
    print!("{}", run_operator_command(&system, &["status"])?);
    print!("{}", run_operator_command(&system, &["explain", "deposits", "--from", "127.0.0.1"])?);
    print_timeline(&run_operator_command(&system, &["timeline"])?);
    Ok(print_report(&paying, &trial, &upstreams))
}

fn start_upstreams() -> Result<Vec<Vec<UpstreamStandIn>>, Box<dyn Error>> {
    let mut upstreams = Vec::new();
    for _ in DOMAINS {
        let figures = UpstreamConfig::new(4).with_service_ms(8);
        upstreams.push(vec![UpstreamStandIn::new(figures)?, UpstreamStandIn::new(figures)?]);
    }
    Ok(upstreams)
}

fn upstream_name(domain: usize, number: usize) -> String {
    format!("{}-up-{number}", DOMAINS[domain])
}

fn first_records(upstreams: &[Vec<UpstreamStandIn>]) -> Vec<sedgepath_core::record::RawRecord> {
    let mut specs = Vec::new();
    for (domain, group) in upstreams.iter().enumerate() {
        for (number, upstream) in group.iter().enumerate() {
            let spec = UpstreamSpec::new(&upstream_name(domain, number), DOMAINS[domain], 4);
            specs.push(spec.with_address(upstream.addr()));
        }
    }
    vec![
        records::places(&[("lowcountry", &DOMAINS[..2]), ("gulfside", &DOMAINS[2..])]),
        records::service("deposits", 2_000, &specs),
        steering(&[1.0, 1.0, 1.0, 1.0]),
        records::organisations(&[
            ("porch", "paying", "porch-key"),
            ("sampler", "trial", "sampler-key"),
        ]),
    ]
}

fn steering(weights: &[f64; 4]) -> sedgepath_core::record::RawRecord {
    let shares: Vec<_> = DOMAINS.iter().copied().zip(weights.iter().copied()).collect();
    records::steering("deposits", &shares, 30.0, 2_000)
}

fn call(class: &str, key: &str, idempotency_key: &str) -> Call {
    Call::new(class, "deposits", "/v1/call/deposits/confirm")
        .with_method("POST")
        .with_header("sedgepath-key", key)
        .with_header("idempotency-key", idempotency_key)
        .with_body(idempotency_key)
        .with_retries(MAX_RETRIES)
}

/// Checks whether an entry VM answers a request. Each request has a key of its own, as the key of a
/// request with an unknown outcome is not run again.
fn is_served(entry: SocketAddr, number: usize) -> bool {
    let ready = call("paying", "porch-key", &format!("ready {entry} {number}"));
    let reply = Caller::new([entry]).call(&ready.with_retries(0));
    matches!(reply.outcome, Outcome::Answered { .. })
}

/// The statistics of a caller and the number of its requests that were never answered with 200.
struct CallerResult {
    stats: CallerStats,
    unanswered: u64,
}

fn start_callers(
    class: &'static str,
    key: &'static str,
    entries: &[SocketAddr],
    stop: &Arc<AtomicBool>,
) -> Vec<JoinHandle<CallerResult>> {
    (0..CALLERS_PER_CLASS)
        .map(|number| {
            let mut entries = entries.to_vec();
            entries.rotate_left(number % DOMAINS.len());
            let stop = Arc::clone(stop);
            thread::spawn(move || send_requests(class, key, number, entries, &stop))
        })
        .collect()
}

fn send_requests(
    class: &str,
    key: &str,
    number: usize,
    entries: Vec<SocketAddr>,
    stop: &AtomicBool,
) -> CallerResult {
    let mut caller = Caller::new(entries);
    let mut unanswered = 0;
    let mut sent = 0;
    while !stop.load(Ordering::Relaxed) {
        sent += 1;
        let reply = caller.call(&call(class, key, &format!("{class} {number} {sent}")));
        if !matches!(reply.outcome, Outcome::Answered { status: 200 }) {
            unanswered += 1;
        }
        thread::sleep(Duration::from_millis(5));
    }
    CallerResult { stats: caller.into_stats(), unanswered }
}

fn join_callers(callers: Vec<JoinHandle<CallerResult>>) -> Result<CallerResult, Box<dyn Error>> {
    let mut total = CallerResult { stats: CallerStats::default(), unanswered: 0 };
    for caller in callers {
        let result = caller.join().ok().ok_or("a caller panicked")?;
        total.stats.merge(result.stats);
        total.unanswered += result.unanswered;
    }
    Ok(total)
}

/// Runs a command of the operators' command line against the first daemon and returns its output.
fn run_operator_command(
    system: &DaemonCluster,
    arguments: &[&str],
) -> Result<String, Box<dyn Error>> {
    println!("  $ sedgepath {}", arguments.join(" "));
    let arguments: Vec<String> = arguments.iter().map(ToString::to_string).collect();
    let node = system.addresses[0].operator_address.to_string();
    let environment = Environment { nodes: Some(node), key: Some(SECRET.into()) };
    let mut printed = Vec::new();
    let exit = sedgepath::cli::run(&arguments, &environment, &mut printed);
    let printed = String::from_utf8(printed)?;
    if exit.code() != 0 {
        return Err(format!("exit code {}: {printed}", exit.code()).into());
    }
    Ok(printed)
}

fn print_timeline(text: &str) {
    let lines: Vec<_> = text.lines().collect();
    println!("\nthe time line over all daemons, the last {PRINTED_ENTRIES} of {}:", lines.len());
    for line in lines.iter().skip(lines.len().saturating_sub(PRINTED_ENTRIES)) {
        println!("  {line}");
    }
}

/// Prints the results and returns whether all guarantees held.
fn print_report(
    paying: &CallerResult,
    trial: &CallerResult,
    upstreams: &[Vec<UpstreamStandIn>],
) -> bool {
    println!("\nclass   answered  not run  unknown  failed   p50 ms   p99 ms  never answered");
    for (class, result) in [("paying", paying), ("trial", trial)] {
        let counts = result.stats.counts();
        let latency = |quantile| {
            let histogram = result.stats.latencies_us.get(class);
            histogram
                .map_or(0.0, |histogram| histogram.value_at_quantile(quantile) as f64 / 1_000.0)
        };
        println!(
            "{class:<7} {:>8} {:>8} {:>8} {:>7} {:>8.1} {:>8.1} {:>15}",
            counts.answered,
            counts.not_run,
            counts.unknown,
            counts.failed,
            latency(0.5),
            latency(0.99),
            result.unanswered
        );
    }
    let upstreams: Vec<&UpstreamStandIn> = upstreams.iter().flatten().collect();
    let run_repeatedly = keys_run_repeatedly(&upstreams);
    let ran: BTreeSet<Box<str>> =
        upstreams.iter().flat_map(|upstream| upstream.runs_by_request_id().into_keys()).collect();
    let attempts = paying.stats.attempts.iter().chain(&trial.stats.attempts);
    let reported_not_run: Vec<_> =
        attempts.filter(|attempt| matches!(attempt.outcome, Outcome::NotRun { .. })).collect();
    let falsely_not_run =
        reported_not_run.iter().filter(|attempt| ran.contains(&attempt.request_id)).count();
    let over_slots =
        upstreams.iter().filter(|upstream| upstream.counts().peak_in_flight > 4).count();
    println!(
        "keys run twice: {run_repeatedly}; said not run but ran: {falsely_not_run}; upstreams over \
         their slots: {over_slots}"
    );
    let failed = paying.stats.counts().failed + trial.stats.counts().failed;
    let unknown = paying.stats.counts().unknown + trial.stats.counts().unknown;
    let violations =
        run_repeatedly as u64 + falsely_not_run as u64 + over_slots as u64 + failed + unknown;
    println!("{}", if violations + paying.unanswered == 0 { "nothing was lost" } else { "LOST" });
    violations + paying.unanswered == 0
}

fn keys_run_repeatedly(upstreams: &[&UpstreamStandIn]) -> usize {
    let mut runs = std::collections::BTreeMap::new();
    for upstream in upstreams {
        for (key, count) in upstream.runs_by_key() {
            *runs.entry(key).or_insert(0) += count;
        }
    }
    runs.values().filter(|count| **count > 1).count()
}
