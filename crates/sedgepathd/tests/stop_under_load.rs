//! Planned stops of several VMs in series, while callers of several kinds go on until each process is gone.
//! One VM is cut off from all upstreams and forwards its requests to the others. Each VM is started again at
//! its address. In one scenario callers send requests of all kinds, in the other one reads whose work grows
//! as the first two VMs stop.
//!
//! The checks: every attempt that an upstream runs gets a whole response, unless its time limit ends it; none
//! runs that was reported as not run, and no charge runs twice.
//!
//! The seed determines the stops and what callers send, but not how the processes interleave. CI runs
//! [`CI_SEEDS`]; `STOP_SEEDS=FROM..TO cargo test -p sedgepathd --test stop_under_load -- --nocapture` runs
//! other seeds.

mod platform;

use std::collections::BTreeMap;
use std::fmt;
use std::net::IpAddr;
use std::ops::Range;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use platform::caller::Connection;
use platform::stop_callers::{Attempt, AttemptFault, Caller, CallerKind, End, SharedByCallers};
use platform::upstream::{Behaviour, ReceivedRequest, UpstreamStandIn, runs_by_attempt};
use platform::{TestCluster, Vm, configure, cut_off, wait_for};
use sedgepath_test_support::link::CuttableLink;
use sedgepath_test_support::packet_filter::ClientCut;
use sedgepath_test_support::store::StoreStandIn;

/// The seeds that run by default and in CI.
const CI_SEEDS: Range<u64> = 1..2;

/// The failure domains of the VMs.
const DOMAINS: [&str; 4] = ["north-a", "north-a", "north-b", "south-a"];

/// The numbers of upstreams, by seed; the smaller one is overloaded.
const UPSTREAM_COUNTS: [usize; 3] = [48, 48, 18];

/// The timeouts of the routes, by seed, in milliseconds, if work grows.
const TIMEOUTS_MS: [u64; 3] = [3_000, 6_000, 12_000];

/// The ranges of the times from the first SIGTERM to the growth of work, by seed, in milliseconds.
const GROWTHS_MS: [Range<u64>; 3] = [1_800..2_200, 1_200..2_000, 300..1_000];

/// The time that callers have before the first stop.
const WARM_UP: Duration = Duration::from_secs(1);

/// The ranges of the times from each stop to the next, in milliseconds.
const STOP_INTERVALS_MS: [Range<u64>; DOMAINS.len() - 1] =
    [1_500..3_500, 1_500..3_500, 1_500..3_500];

/// The same if work grows: two VMs stop at once, and the others as the first ones end.
const GROWTH_STOP_INTERVALS_MS: [Range<u64>; DOMAINS.len() - 1] =
    [100..700, 3_500..4_500, 1_500..2_000];

/// The pause between two looks at the processes.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// How soon after the end of a process its connections are seen to end.
const END_TOLERANCE: Duration = Duration::from_millis(150);

/// The callers of each VM.
const CALLERS: [(CallerKind, usize); 8] = [
    (CallerKind::Kept, 4),
    (CallerKind::KeptBeyondClose, 3),
    (CallerKind::LateFirst, 1),
    (CallerKind::Pipelined, 4),
    (CallerKind::Halves, 3),
    (CallerKind::Chunked, 3),
    (CallerKind::Delayed, 5),
    (CallerKind::Streamed, 3),
];

/// The callers of each VM whose work grows.
const GROWING_CALLERS: [(CallerKind, usize); 1] = [(CallerKind::Growing, 1)];

/// What distinguishes the scenarios of a seed.
#[derive(Debug, Clone)]
struct Plan {
    upstream_count: usize,
    slots: u32,
    route_timeout_ms: u64,
    callers: &'static [(CallerKind, usize)],
    stop_intervals_ms: [Range<u64>; DOMAINS.len() - 1],
    /// The time from the first SIGTERM to the growth of work, in milliseconds.
    growth_ms: Option<Range<u64>>,
}

impl Plan {
    fn all_kinds(seed: u64) -> Self {
        Self {
            upstream_count: UPSTREAM_COUNTS[seed as usize % UPSTREAM_COUNTS.len()],
            slots: 4,
            route_timeout_ms: 4_000,
            callers: &CALLERS,
            stop_intervals_ms: STOP_INTERVALS_MS,
            growth_ms: None,
        }
    }

    fn growing_reads(seed: u64) -> Self {
        let by_seed = seed as usize % TIMEOUTS_MS.len();
        Self {
            upstream_count: 60,
            slots: 1,
            route_timeout_ms: TIMEOUTS_MS[by_seed],
            callers: &GROWING_CALLERS,
            stop_intervals_ms: GROWTH_STOP_INTERVALS_MS,
            growth_ms: Some(GROWTHS_MS[by_seed].clone()),
        }
    }
}

/// A planned stop of a VM.
#[derive(Debug, Clone, Copy)]
struct Stop {
    vm: u8,
    begun_at: Instant,
    ended_at: Option<Instant>,
}

/// VMs, upstreams and callers of one seed.
struct Scenario {
    plan: Plan,
    random: fastrand::Rng,
    upstreams: Vec<UpstreamStandIn>,
    links: Vec<CuttableLink>,
    site: TestCluster,
    vms: Vec<Vm>,
    cut_vm: u8,
    stops: Vec<Stop>,
    callers: Arc<SharedByCallers>,
    _store: StoreStandIn,
}

impl Scenario {
    fn new(seed: u64, plan: Plan) -> Self {
        let mut random = fastrand::Rng::with_seed(seed);
        let store = StoreStandIn::new().expect("a store");
        configure(&store, "0000000c", &format!("{}ms", plan.route_timeout_ms));
        let numbers = 0..plan.upstream_count;
        let upstreams: Vec<_> =
            numbers.map(|number| UpstreamStandIn::new(&format!("u{number}"))).collect();
        for (number, upstream) in upstreams.iter().enumerate() {
            upstream.set_behaviour(Behaviour::ByTarget);
            upstream.set_slots(plan.slots);
            upstream.register(&store, DOMAINS[number % DOMAINS.len()], "ready", 1);
        }
        let site = TestCluster::new(store.address);
        let vms: Vec<_> = (1..)
            .zip(DOMAINS)
            .map(|(number, domain)| site.start_at_own_address(number, domain, &[]))
            .collect();
        for vm in &vms {
            wait_for("readiness", || vm.is_ready());
        }
        let expected = format!("sedgepath_vms {}", vms.len());
        for vm in &vms {
            wait_for("knowing the other VMs", || vm.metrics().contains(&expected));
        }
        let links = vms
            .iter()
            .map(|vm| {
                let link = CuttableLink::new(vm.caller_address).expect("a link");
                link.set_delay_ms(random.u64(20..=100));
                link
            })
            .collect();
        let cut_vm = random.u8(1..=DOMAINS.len() as u8);
        let addresses = vms.iter().map(|vm| vm.caller_address).collect();
        let mut scenario = Self {
            callers: Arc::new(SharedByCallers::new(addresses, plan.route_timeout_ms)),
            plan,
            random,
            upstreams,
            links,
            site,
            vms,
            cut_vm,
            stops: Vec::new(),
            _store: store,
        };
        let cuts = [ClientCut::Silent, ClientCut::Reset];
        let cut = cuts[scenario.random.usize(..cuts.len())];
        let vm = &scenario.vms[usize::from(cut_vm) - 1];
        cut_off(vm, &scenario.upstreams, scenario.site.ipv4(cut_vm), cut);
        scenario
    }

    fn start_callers(&mut self) -> Vec<JoinHandle<()>> {
        let mut callers = Vec::new();
        for vm in 1..=DOMAINS.len() as u8 {
            let index = usize::from(vm) - 1;
            for &(kind, count) in self.plan.callers {
                let address = match kind {
                    CallerKind::Delayed => self.links[index].addr(),
                    _ => self.callers.addresses[index],
                };
                for number in 0..count {
                    let caller = Caller {
                        kind,
                        name: format!("{kind:?}-{vm}-{number}"),
                        vm,
                        address,
                        random: self.random.fork(),
                        sent: 0,
                        shared: Arc::clone(&self.callers),
                    };
                    callers.push(thread::spawn(move || caller.run()));
                }
            }
        }
        callers
    }

    /// Draws the order of the stops. If work grows, the VM that is cut off is one of the first two.
    fn draw_order(&mut self) -> Vec<u8> {
        let mut order: Vec<_> = (1..=DOMAINS.len() as u8).collect();
        self.random.shuffle(&mut order);
        if self.plan.growth_ms.is_some() {
            let cut = order.iter().position(|vm| *vm == self.cut_vm).expect("the VM");
            order.swap(cut, self.random.usize(..2));
        }
        order
    }

    /// Stops all VMs in series, which overlap, and starts each again after its end.
    fn stop_all(&mut self) {
        let order = self.draw_order();
        let growth_ms = self.plan.growth_ms.clone().map(|range| self.random.u64(range));
        let mut next_at = Instant::now() + WARM_UP;
        let growth_at = growth_ms.map(|ms| next_at + Duration::from_millis(ms));
        let mut intervals_ms = self.plan.stop_intervals_ms.clone().into_iter();
        for vm in order {
            while Instant::now() < next_at {
                self.poll(growth_at);
            }
            let index = usize::from(vm) - 1;
            self.callers.stopping[index].store(true, Ordering::Relaxed);
            self.vms[index].terminate();
            self.stops.push(Stop { vm, begun_at: Instant::now(), ended_at: None });
            if let Some(range) = intervals_ms.next() {
                next_at = Instant::now() + Duration::from_millis(self.random.u64(range));
            }
        }
        while self.stops.iter().any(|stop| stop.ended_at.is_none()) {
            self.poll(growth_at);
        }
    }

    /// Starts ended VMs again, and lets work grow if it is time.
    fn poll(&mut self, growth_at: Option<Instant>) {
        if growth_at.is_some_and(|at| at <= Instant::now()) {
            self.callers.has_work_grown.store(true, Ordering::Relaxed);
        }
        self.restart_ended();
        thread::sleep(POLL_INTERVAL);
    }

    fn restart_ended(&mut self) {
        for stop in self.stops.iter_mut().filter(|stop| stop.ended_at.is_none()) {
            let index = usize::from(stop.vm) - 1;
            let Some(status) = self.vms[index].exit_status() else { continue };
            stop.ended_at = Some(Instant::now());
            assert!(status.success(), "VM {} ended with {status}", stop.vm);
            self.callers.stopping[index].store(false, Ordering::Relaxed);
            self.vms[index] = self.site.start_at_own_address(stop.vm, DOMAINS[index], &[]);
        }
    }

    /// Returns the stop of a VM that had begun last at a moment.
    fn stop_before(&self, vm: u8, at: Instant) -> Option<Stop> {
        self.stops.iter().copied().rfind(|stop| stop.vm == vm && stop.begun_at <= at)
    }

    fn is_stopping(&self, vm: u8, at: Instant) -> bool {
        self.stop_before(vm, at).is_some_and(|stop| stop.ended_at.is_none_or(|ended| at < ended))
    }

    /// Returns whether a VM stopped between the run and the end of an attempt.
    fn overlaps_stop(&self, vm: u8, attempt: &Attempt, runs: &[ReceivedRequest]) -> bool {
        let stop = self.stop_before(vm, attempt.ended_at);
        stop.zip(runs.first()).is_some_and(|(stop, run)| {
            stop.ended_at.is_none_or(|ended_at| run.received_at < ended_at)
        })
    }

    fn vm_at(&self, ip: Option<IpAddr>) -> Option<u8> {
        (1..=DOMAINS.len() as u8).find(|vm| Some(IpAddr::V4(self.site.ipv4(*vm))) == ip)
    }

    /// Describes an attempt by its times since the SIGTERM of the VMs on its way, with their log lines.
    fn describe(&self, what: &str, attempt: &Attempt, runs: &[ReceivedRequest]) -> String {
        let Attempt {
            id, is_charge, work_ms, response_bytes, sending_ms, time_limit_ms, end, ..
        } = attempt;
        let took_ms = signed_ms(attempt.begun_at, attempt.ended_at);
        let mut text = format!(
            "{what}: {id} charge={is_charge} work_ms={work_ms} bytes={response_bytes} \
             sending_ms={sending_ms} time_limit_ms={time_limit_ms} took_ms={took_ms} {end:?}"
        );
        for vm in self.vms_on_way(attempt, runs) {
            text += &self.describe_times(vm, attempt, runs);
        }
        let name = format!("request={id} ");
        let logs: Vec<_> = (1..=DOMAINS.len() as u8).map(|vm| self.site.log(vm)).collect();
        let lines = logs.iter().flat_map(|log| log.lines()).filter(|line| line.contains(&name));
        lines.fold(text, |text, line| text + "\n    " + line)
    }

    /// Describes the times of an attempt since the last SIGTERM of a VM, in milliseconds.
    fn describe_times(&self, vm: u8, attempt: &Attempt, runs: &[ReceivedRequest]) -> String {
        let Some(stop) = self.stop_before(vm, attempt.ended_at) else {
            return format!("; vm{vm} not stopped yet");
        };
        let since = |at: Instant| signed_ms(stop.begun_at, at);
        let runs: Vec<_> = runs.iter().map(|run| since(run.received_at)).collect();
        let process_end = stop.ended_at.map(since);
        let (sent, ended) = (since(attempt.sent_at), since(attempt.ended_at));
        format!(
            "; ms since SIGTERM of vm{vm}: sent {sent}, run {runs:?}, ended {ended}, process ended \
             {process_end:?}"
        )
    }

    /// Returns the VM that the caller has connected to, and the one that an upstream got it from if it was
    /// forwarded.
    fn vms_on_way(&self, attempt: &Attempt, runs: &[ReceivedRequest]) -> Vec<u8> {
        let served_by = runs.first().and_then(|run| self.vm_at(run.source));
        let others = served_by.filter(|vm| *vm != attempt.vm);
        [Some(attempt.vm), others].into_iter().flatten().collect()
    }

    /// Returns whether the process of a VM on the attempt's way ended at the same time.
    fn was_ended_by_exit(&self, attempt: &Attempt, runs: &[ReceivedRequest]) -> bool {
        let stops = self.vms_on_way(attempt, runs).into_iter();
        let ends = stops.filter_map(|vm| self.stop_before(vm, attempt.ended_at)?.ended_at);
        let mut distances = ends.map(|at| signed_ms(at, attempt.ended_at).unsigned_abs());
        distances.any(|ms| u128::from(ms) <= END_TOLERANCE.as_millis())
    }
}

/// Returns the milliseconds from one moment to another, which may be earlier.
fn signed_ms(from: Instant, to: Instant) -> i64 {
    let ms = |duration: Duration| duration.as_millis() as i64;
    ms(to.saturating_duration_since(from)) - ms(from.saturating_duration_since(to))
}

/// Counts of the attempts of one kind of caller, at the VM that is cut off or at the others.
#[derive(Debug, Default)]
struct Counts {
    attempts: usize,
    /// Those that were sent between a SIGTERM and the end of the process.
    in_stop: usize,
    run: usize,
    /// Those that were forwarded, and under way during the stop of the VM that served them.
    during_stop_of_serving_vm: usize,
    served: usize,
    rejected: usize,
    /// Those that were served and had as much work as reads whose work has grown.
    grown_served: usize,
    /// Those that ran and whose time limit ended them.
    ended_by_time_limit: usize,
    /// Those that ran and ended with a process.
    lost_with_process: usize,
    /// Those that ran and ended otherwise without a whole response.
    lost_before: usize,
    /// Those that didn't run and got no response.
    unanswered: usize,
}

impl fmt::Display for Counts {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "attempts={} in_stop={} run={} during_stop_of_serving_vm={} served={} rejected={} \
             grown_served={} ended_by_time_limit={} lost_with_process={} lost_before={} unanswered={}",
            self.attempts,
            self.in_stop,
            self.run,
            self.during_stop_of_serving_vm,
            self.served,
            self.rejected,
            self.grown_served,
            self.ended_by_time_limit,
            self.lost_with_process,
            self.lost_before,
            self.unanswered,
        )
    }
}

/// Returns a description of every violated guarantee, and prints the counts by kind of caller.
fn find_failures(scenario: &Scenario, seed: u64) -> Vec<String> {
    let attempts = scenario.callers.attempts.lock().expect("attempts");
    let runs = runs_by_attempt(&scenario.upstreams);
    let mut failures = Vec::new();
    let mut table: BTreeMap<(CallerKind, bool), Counts> = BTreeMap::new();
    for attempt in attempts.iter() {
        let runs = runs.get(&attempt.id).map_or(&[][..], Vec::as_slice);
        let counts = table.entry((attempt.kind, attempt.vm == scenario.cut_vm)).or_default();
        counts.attempts += 1;
        counts.run += usize::from(!runs.is_empty());
        counts.served += usize::from(attempt.end.is_served());
        let is_grown = attempt.end.is_served() && attempt.has_grown_work();
        counts.grown_served += usize::from(is_grown);
        counts.rejected += usize::from(attempt.end.is_rejection());
        counts.in_stop += usize::from(scenario.is_stopping(attempt.vm, attempt.sent_at));
        let other = scenario.vms_on_way(attempt, runs).get(1).copied();
        let is_during_stop = other.is_some_and(|vm| scenario.overlaps_stop(vm, attempt, runs));
        counts.during_stop_of_serving_vm += usize::from(is_during_stop);
        for fault in attempt.faults(runs.len()) {
            let mut what = format!("{fault:?}");
            if fault == AttemptFault::Lost && scenario.was_ended_by_exit(attempt, runs) {
                counts.lost_with_process += 1;
                what += " with the process";
            } else if fault == AttemptFault::Lost {
                counts.lost_before += 1;
            }
            failures.push(scenario.describe(&what, attempt, runs));
        }
        if attempt.end.is_served() || attempt.end.is_rejection() {
            continue;
        }
        if runs.is_empty() {
            counts.unanswered += usize::from(attempt.end == End::Closed);
        } else if attempt.was_ended_by_time_limit() {
            counts.ended_by_time_limit += 1;
            if !attempt.is_longer_than_time_limit() {
                let text = scenario.describe("ended by its time limit", attempt, runs);
                eprintln!("seed={seed} {text}");
            }
        }
    }
    for ((kind, is_forwarded), counts) in &table {
        eprintln!("seed={seed} kind={kind:?} forwarded={is_forwarded} {counts}");
    }
    for &(kind, _) in scenario.plan.callers {
        let of_kind = table.iter().filter(|((one, _), _)| *one == kind);
        if of_kind.map(|(_, counts)| counts.in_stop).sum::<usize>() == 0 {
            failures.push(format!("no {kind:?} attempt was sent during a stop"));
        }
    }
    let gaps = match scenario.plan.growth_ms {
        None => {
            let is_seen = table.values().any(|counts| counts.during_stop_of_serving_vm > 0);
            vec![(is_seen, "a forwarded attempt was under way during a stop of the serving VM")]
        }
        Some(_) => growth_coverage(scenario, &table),
    };
    let gaps = gaps.into_iter().filter(|(is_seen, _)| !is_seen);
    failures.extend(gaps.map(|(_, what)| format!("not seen: {what}")));
    failures
}

/// Returns what a scenario in which work grows has to contain, and whether it did.
fn growth_coverage(
    scenario: &Scenario,
    table: &BTreeMap<(CallerKind, bool), Counts>,
) -> Vec<(bool, &'static str)> {
    let any = |condition: fn(&Counts) -> bool| table.values().any(condition);
    let overlap = scenario.stops[0].ended_at.is_some_and(|end| scenario.stops[1].begun_at < end);
    let forwarded = table.get(&(CallerKind::Growing, true));
    let forwarded = |condition: fn(&Counts) -> bool| forwarded.is_some_and(condition);
    vec![
        (overlap, "two VMs stopped at once"),
        (forwarded(|counts| counts.run > 0), "a forwarded read ran"),
        (forwarded(|counts| counts.in_stop > 0), "a read was sent to the cut VM as it stopped"),
        (any(|counts| counts.served > counts.grown_served), "a read of short work was served"),
        (any(|counts| counts.grown_served > 0), "a read of grown work was served"),
    ]
}

fn run_seed(seed: u64, plan: Plan) -> Vec<String> {
    let mut scenario = Scenario::new(seed, plan);
    let callers = scenario.start_callers();
    scenario.stop_all();
    scenario.callers.is_over.store(true, Ordering::Relaxed);
    for caller in callers {
        caller.join().expect("a caller");
    }
    let failures = find_failures(&scenario, seed);
    if !failures.is_empty() {
        for vm in 1..=DOMAINS.len() as u8 {
            let log = scenario.site.log(vm);
            let phases =
                ["event=stopping", "event=closing_connections", "event=stopped", "level=warn"];
            for line in log.lines().filter(|line| phases.iter().any(|phase| line.contains(phase))) {
                eprintln!("{line}");
            }
        }
    }
    for failure in &failures {
        eprintln!("seed={seed} {failure}");
    }
    failures
}

/// Runs a scenario with each seed.
fn run_seeds(plan: fn(u64) -> Plan) {
    let seeds = std::env::var("STOP_SEEDS").ok().map(|text| {
        let (from, to) = text.split_once("..").expect("STOP_SEEDS is FROM..TO");
        from.parse().expect("a number")..to.parse().expect("a number")
    });
    let seeds = seeds.unwrap_or(CI_SEEDS);
    let failures: Vec<_> = seeds.flat_map(|seed| run_seed(seed, plan(seed))).collect();
    assert!(failures.is_empty(), "{} violated guarantees", failures.len());
}

/// Guards against requests that upstreams run, and whose callers get no whole response as VMs stop.
#[test]
fn stops_in_series_lose_no_request_that_has_run() {
    run_seeds(Plan::all_kinds);
}

/// Guards against stopping VMs that send reads which take longer than before, and end them with the process.
#[test]
fn stops_in_series_lose_no_read_whose_work_grows() {
    run_seeds(Plan::growing_reads);
}

/// The head of a charge whose response of 2 MB takes 3.5 s to send.
const STREAMED_CHARGE: &str = "POST /charges/1?0,2000000,3500 HTTP/1.1\r\nHost: shop.example\r\n\
    X-Sedgepath-Attempt-Id: streamed\r\nX-Sedgepath-Deadline-Ms: 4000\r\nContent-Length: 0\r\n\r\n";

/// Guards against a VM whose process ends while it passes on a response to the VM that forwarded the request.
#[test]
fn a_forwarded_response_is_whole_when_the_vm_that_serves_it_stops() {
    let store = StoreStandIn::new().expect("a store");
    configure(&store, "0000000c", "4000ms");
    let upstream = UpstreamStandIn::new("u0");
    upstream.set_behaviour(Behaviour::ByTarget);
    upstream.register(&store, DOMAINS[0], "ready", 1);
    let site = TestCluster::new(store.address);
    let vms = [1, 2].map(|number| site.start_at_own_address(number, DOMAINS[0], &[]));
    for vm in &vms {
        wait_for("readiness", || vm.is_ready());
        wait_for("knowing the other VM", || vm.metrics().contains("sedgepath_vms 2"));
    }
    cut_off(&vms[0], std::slice::from_ref(&upstream), site.ipv4(1), ClientCut::Reset);

    let mut connection = Connection::new(vms[0].caller_address).expect("a connection");
    connection.write(STREAMED_CHARGE.as_bytes()).expect("a request");
    wait_for("the run", || upstream.runs().iter().any(|run| run.line.contains("charges")));
    vms[1].terminate();
    let begun_at = Instant::now();
    let response = connection.receive().expect("a response");

    assert_eq!(response.status, 200);
    assert!(
        response.body.is_some(),
        "cut {} ms after SIGTERM\n{}\n{}",
        begun_at.elapsed().as_millis(),
        site.log(1),
        site.log(2)
    );
}
