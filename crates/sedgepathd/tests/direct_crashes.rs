//! Tests of daemons whose upstreams end while they run requests, against stand-ins of the users'
//! platform.

mod platform;

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use platform::caller;
use platform::upstream::UpstreamStandIn;
use platform::{TestCluster, Vm, configure, wait_for};
use sedgepath_test_support::store::{StoreMode, StoreStandIn};

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

/// VMs of all failure domains, and what callers of a fatal request and of others have seen.
struct Traffic {
    service: CrashingService,
    site: TestCluster,
    vms: Vec<Vm>,
    third_crash_at: Option<Instant>,
    late_runs: usize,
    requests: usize,
    served: usize,
    statuses: BTreeMap<u16, usize>,
}

impl Traffic {
    fn new() -> Self {
        let service = CrashingService::new(9);
        let site = TestCluster::new(service.store.address);
        let mut traffic = Self {
            service,
            site,
            vms: Vec::new(),
            third_crash_at: None,
            late_runs: 0,
            requests: 0,
            served: 0,
            statuses: BTreeMap::new(),
        };
        traffic.start_vms();
        traffic
    }

    fn start_vms(&mut self) {
        let start = |number: u8| self.site.start(number + 1, DOMAINS[usize::from(number) % 3]);
        self.vms = (0..6).map(start).collect();
        for vm in &self.vms {
            wait_for("readiness", || vm.is_ready());
        }
    }

    /// Repeats the fatal request at one VM after the other, with another request beside each.
    fn run_for(&mut self, time: Duration) {
        let until = Instant::now() + time;
        while Instant::now() < until {
            self.requests += 1;
            let address = self.vms[self.requests % self.vms.len()].caller_address;
            let (sent_at, runs_before) = (Instant::now(), self.service.runs(FATAL_TEXT));
            let id = format!("f{}", self.requests);
            if let Some(answer) = caller::request(address, "GET", FATAL_PATH, &id) {
                *self.statuses.entry(answer.status).or_default() += 1;
                let has_delay = answer.headers.contains_key("retry-after");
                assert_eq!(answer.status == 503, has_delay, "{answer:?}");
            }
            self.service.maintain();
            if self.service.ended.len() >= 3 {
                self.third_crash_at.get_or_insert(sent_at);
            }
            if self.third_crash_at.is_some_and(|at| sent_at > at + SETTLED_AFTER) {
                self.late_runs += self.service.runs(FATAL_TEXT) - runs_before;
            }
            let (path, id) = (format!("/reads/{}", self.requests), format!("r{}", self.requests));
            let answer = caller::request(address, "GET", &path, &id);
            self.served += usize::from(answer.is_some_and(|answer| answer.status == 200));
            std::thread::sleep(REPEAT_INTERVAL);
        }
    }

    fn assert_bounded(&self) {
        let runs = self.service.runs(FATAL_TEXT);
        assert!(self.third_crash_at.is_some(), "the request ran {runs} times only");
        assert!(self.late_runs <= MAX_LATE_RUNS, "{} late runs of {runs} in all", self.late_runs);
        let (served, requests) = (self.served, self.requests);
        assert!(served * 10 >= requests * 9, "{served} of {requests} other requests were served");
        let rejected = self.statuses.get(&503).copied().unwrap_or(0);
        assert!(rejected * 2 > requests, "statuses {:?}", self.statuses);
    }
}

/// Guards against a request that takes down one upstream after the other, by repeats at other VMs.
#[test]
fn a_request_that_crashes_its_upstreams_is_not_sent_on() {
    let mut traffic = Traffic::new();
    traffic.run_for(Duration::from_secs(12));
    traffic.assert_bounded();
}

/// Guards against a quarantine that is lost when all VMs restart.
#[test]
fn a_restart_of_all_vms_keeps_the_quarantine() {
    let mut traffic = Traffic::new();
    traffic.run_for(Duration::from_secs(5));
    for vm in std::mem::take(&mut traffic.vms) {
        vm.kill();
    }
    traffic.start_vms();
    traffic.run_for(Duration::from_secs(6));
    traffic.assert_bounded();
}

/// Guards against VMs that don't learn of a fatal request while the store is down.
#[test]
fn a_request_that_crashes_its_upstreams_is_not_sent_on_without_the_store() {
    let mut traffic = Traffic::new();
    traffic.service.store.set_mode(StoreMode::Refusing);
    traffic.run_for(Duration::from_secs(9));
    traffic.assert_bounded();
}

/// Guards against a crash that isn't told to the other VMs because the upstreams that are asked for
/// comparison have ended too.
#[test]
fn a_crash_is_recognized_while_most_other_upstreams_have_ended() {
    for round in 0..4 {
        let service = CrashingService::new(1);
        // The VM sends nothing to them, so it doesn't know which of them have ended.
        let others = (0..8).map(|number| UpstreamStandIn::new(&format!("o{number}")));
        let others: Vec<_> = others.collect();
        for other in &others {
            other.register_for("other", &service.store, "north-a");
        }
        for other in &others[1..] {
            other.crash();
        }
        let site = TestCluster::new(service.store.address);
        let vm = site.start_ready(1, "north-a");
        wait_for("the upstream", || {
            let answer = caller::request(vm.caller_address, "GET", "/reads/1", "r1");
            answer.is_some_and(|answer| answer.status == 200)
        });

        caller::request(vm.caller_address, "GET", FATAL_PATH, "f1");

        wait_for("the outcome", || site.log(1).contains(" outcome="));
        let log = site.log(1);
        assert!(log.contains("outcome=crashed"), "round {round}: {log}");
    }
}
