//! Tests of daemons whose upstreams end while they run requests, against stand-ins of the users'
//! platform.

mod platform;

use std::time::{Duration, Instant};

use platform::caller;
use platform::upstream::UpstreamStandIn;
use platform::{TestCluster, Vm, configure, wait_for};
use sedgepath_test_support::store::StoreStandIn;

/// The part of a path that crashes the upstream that runs the request.
const FATAL_TEXT: &str = "/fatal";

const FATAL_PATH: &str = "/reads/fatal";

/// The failure domains of the upstreams and of the VMs.
const DOMAINS: [&str; 3] = ["north-a", "north-b", "south-a"];

/// The time after the third crash from which the VMs may send the request only a few times more: the
/// `stabilityWindow` of the settings.
const SETTLED_AFTER: Duration = Duration::from_secs(3);

/// The number of times that a request may be sent after it is known to crash its upstreams.
const MAX_LATE_RUNS: usize = 3;

/// The time for which the entry of an ended upstream stays in the store.
const ENTRY_LEASE: Duration = Duration::from_millis(1_500);

/// The time after which an ended upstream is replaced.
const RESTART_DELAY: Duration = Duration::from_millis(2_500);

const REPEAT_INTERVAL: Duration = Duration::from_millis(150);

/// Upstreams that a kind of request crashes and that are replaced some time after they have ended.
struct CrashingService {
    store: StoreStandIn,
    upstreams: Vec<UpstreamStandIn>,
    /// The upstreams that have ended, by index, and when that was noticed.
    ended: Vec<(usize, Instant)>,
    deregistered: usize,
    replaced: usize,
}

impl CrashingService {
    fn new(count: usize) -> Self {
        let store = StoreStandIn::new().expect("a store");
        configure(&store, "0000000c", "3000ms");
        let mut service =
            Self { store, upstreams: Vec::new(), ended: Vec::new(), deregistered: 0, replaced: 0 };
        for _ in 0..count {
            service.add_upstream();
        }
        service
    }

    fn add_upstream(&mut self) {
        let number = self.upstreams.len();
        let upstream = UpstreamStandIn::new(&format!("u{number}"));
        upstream.set_fatal_text(FATAL_TEXT);
        upstream.register(&self.store, DOMAINS[number % DOMAINS.len()], "ready", 1);
        self.upstreams.push(upstream);
    }

    /// Removes the entries of upstreams that have ended, and replaces them, once it is time.
    fn maintain(&mut self) {
        let now = Instant::now();
        for (index, upstream) in self.upstreams.iter().enumerate() {
            let known = self.ended.iter().any(|(ended, _)| *ended == index);
            if upstream.has_crashed() && !known {
                self.ended.push((index, now));
            }
        }
        while let Some((index, at)) = self.ended.get(self.deregistered)
            && now >= *at + ENTRY_LEASE
        {
            self.store.remove("servers", &format!("u{index}"));
            self.deregistered += 1;
        }
        while let Some((_, at)) = self.ended.get(self.replaced)
            && now >= *at + RESTART_DELAY
        {
            self.replaced += 1;
            self.add_upstream();
        }
    }

    /// Counts the runs of requests whose request line contains a text.
    fn runs(&self, text: &str) -> usize {
        let runs = self.upstreams.iter().flat_map(UpstreamStandIn::runs);
        runs.filter(|run| run.line.contains(text)).count()
    }
}

/// Guards against a request that takes down one upstream after the other, by repeats at other VMs.
#[test]
fn a_request_that_crashes_its_upstreams_is_not_sent_on() {
    let mut service = CrashingService::new(9);
    let site = TestCluster::new(service.store.address);
    let vms: Vec<Vm> =
        (0..6).map(|number| site.start(number + 1, DOMAINS[usize::from(number) % 3])).collect();
    for vm in &vms {
        wait_for("readiness", || vm.is_ready());
    }

    let started = Instant::now();
    let mut third_crash_at = None;
    let mut runs_before = 0;
    let mut late_runs = 0;
    let mut served = 0;
    let mut number = 0;
    while started.elapsed() < Duration::from_secs(12) {
        number += 1;
        let vm = &vms[number % vms.len()];
        let sent_at = Instant::now();
        // A VM whose upstreams all ended may close the connection.
        drop(caller::request(vm.caller_address, "GET", FATAL_PATH, &format!("f{number}")));
        service.maintain();
        if service.ended.len() >= 3 {
            third_crash_at.get_or_insert(sent_at);
        }
        let runs = service.runs(FATAL_TEXT);
        if third_crash_at.is_some_and(|at| sent_at > at + SETTLED_AFTER) {
            late_runs += runs - runs_before;
        }
        runs_before = runs;
        let path = format!("/reads/{number}");
        let answer = caller::request(vm.caller_address, "GET", &path, &format!("r{number}"));
        served += usize::from(answer.is_some_and(|answer| answer.status == 200));
        std::thread::sleep(REPEAT_INTERVAL);
    }

    assert!(third_crash_at.is_some(), "the request ran {runs_before} times only");
    assert!(late_runs <= MAX_LATE_RUNS, "{late_runs} late runs of {runs_before} in all");
    assert!(served * 10 >= number * 9, "{served} of {number} other requests were served");
}
