//! Tests daemons under load while processes are paused or killed, links are cut and the platform is
//! down.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use sedgepath_test_support::caller::{Call, Caller, CallerStats, Outcome};
use sedgepath_test_support::clock::now_ms;
use sedgepath_test_support::daemon::Signal;
use sedgepath_test_support::link::{Cut, CuttableLink};
use sedgepath_test_support::records::{self, UpstreamSpec};
use sedgepath_test_support::store::StoreMode;
use sedgepath_test_support::system::DaemonCluster;
use sedgepath_test_support::upstream::{UpstreamConfig, UpstreamStandIn};

const SLOTS: u32 = 3;

const CALLERS: usize = 12;

const ANSWERED: Outcome = Outcome::Answered { status: 200 };

/// Two daemons in one failure domain, one in another, and two upstreams in each, behind links that
/// can be cut.
struct FaultSystem {
    links: Vec<CuttableLink>,
    upstreams: Vec<UpstreamStandIn>,
    system: DaemonCluster,
}

impl FaultSystem {
    fn new() -> Self {
        let figures = UpstreamConfig::new(SLOTS).with_service_ms(30);
        let upstreams: Vec<_> =
            (0..4).map(|_| UpstreamStandIn::new(figures).expect("upstream")).collect();
        let link = |upstream: &UpstreamStandIn| CuttableLink::new(upstream.addr()).expect("link");
        let links: Vec<_> = upstreams.iter().map(link).collect();
        let spec = |(number, link): (usize, &CuttableLink)| {
            let domain = ["south-a", "north-a"][number / 2];
            UpstreamSpec::new(&format!("u{number}"), domain, SLOTS).with_address(link.addr())
        };
        let specs: Vec<_> = links.iter().enumerate().map(spec).collect();
        let records = records::one_service("deposits", 2_000, &specs, &["south-a", "north-a"]);
        let daemons = [("s1", "south-a"), ("s2", "south-a"), ("n1", "north-a")];
        let system =
            DaemonCluster::new(Path::new(env!("CARGO_BIN_EXE_sedgepathd"))).expect("platform");
        let system = system.with_daemons(&records, &daemons).expect("daemons");
        let fixture = Self { links, upstreams, system };
        fixture.assert_all_serve("start");
        fixture
    }

    fn assert_all_serve(&self, when: &str) {
        let serves = |entry, number| {
            let key = format!("{when} {entry} {number}");
            Caller::new([entry]).call(&call(&key, 0)).outcome == ANSWERED
        };
        assert!(self.system.wait_until_all_serve(serves), "a daemon serves nothing at the {when}");
    }

    fn signal(&mut self, daemon: usize, signal: Signal) {
        let daemon = self.system.daemons[daemon].as_mut().expect("a daemon");
        daemon.signal(signal).expect("a signal");
    }

    /// Compares the outcomes that callers saw with the requests that the upstreams ran.
    fn assert_guarantees(&self, stats: &CallerStats) {
        for (number, upstream) in self.upstreams.iter().enumerate() {
            let peak = upstream.counts().peak_in_flight;
            assert!(peak <= SLOTS, "{peak} in flight with {SLOTS} slots at upstream {number}");
        }
        let mut runs = BTreeMap::new();
        for (key, count) in self.upstreams.iter().flat_map(UpstreamStandIn::runs_by_key) {
            *runs.entry(key).or_insert(0) += count;
        }
        let repeated: Vec<_> = runs.iter().filter(|(_, count)| **count > 1).collect();
        assert!(repeated.is_empty(), "run more than once: {repeated:?}");
        let ran: BTreeSet<_> = self
            .upstreams
            .iter()
            .flat_map(|upstream| upstream.runs_by_request_id().into_keys())
            .collect();
        let falsely_not_run = stats
            .attempts
            .iter()
            .filter(|attempt| matches!(attempt.outcome, Outcome::NotRun { .. }))
            .filter(|attempt| ran.contains(&attempt.request_id));
        assert_eq!(falsely_not_run.count(), 0, "run, but reported as not run");
    }
}

fn call(key: &str, retries: u32) -> Call {
    Call::new("paying", "deposits", "/v1/call/deposits/confirm")
        .with_method("POST")
        .with_header("sedgepath-key", "porch-key")
        .with_header("idempotency-key", key)
        .with_body(key)
        .with_retries(retries)
}

/// Injects faults while callers keep all slots busy, and returns the callers' statistics.
fn run_under_load(
    fixture: &mut FaultSystem,
    inject_faults: impl FnOnce(&mut FaultSystem),
) -> CallerStats {
    let stop = Arc::new(AtomicBool::new(false));
    let callers = start_callers(&fixture.system.caller_addresses(), &stop);
    sleep_ms(1_500);
    inject_faults(fixture);
    sleep_ms(1_000);
    stop.store(true, Ordering::Relaxed);
    let mut stats = CallerStats::default();
    for caller in callers {
        stats.merge(caller.join().expect("a caller"));
    }
    stats
}

fn sleep_ms(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

fn start_callers(entries: &[SocketAddr], stop: &Arc<AtomicBool>) -> Vec<JoinHandle<CallerStats>> {
    let start = |number: usize| {
        let mut entries = entries.to_vec();
        let first = number % entries.len();
        entries.rotate_left(first);
        let stop = Arc::clone(stop);
        thread::spawn(move || {
            let mut caller = Caller::new(entries);
            for sent in 0.. {
                if stop.load(Ordering::Relaxed) {
                    break;
                }
                caller.call(&call(&format!("{number} {sent}"), 3));
            }
            caller.into_stats()
        })
    };
    (0..CALLERS).map(start).collect()
}

/// Guards against overloaded upstreams, repeated runs and false `not_run` outcomes when an owner is
/// paused for longer than its lease, another one is killed, and the platform is down.
#[test]
fn guarantees_hold_across_pauses_kills_and_a_platform_outage() {
    let mut fixture = FaultSystem::new();
    let stats = run_under_load(&mut fixture, |fixture| {
        fixture.signal(0, Signal::Stop);
        sleep_ms(4_000);
        fixture.signal(0, Signal::Continue);
        sleep_ms(3_000);
        fixture.system.daemons[1] = None;
        sleep_ms(2_500);
        fixture.system.start_daemon(1).expect("the daemon starts again");
        sleep_ms(1_000);
        fixture.system.store.set_mode(StoreMode::Refusing);
        sleep_ms(3_000);
        fixture.system.store.set_mode(StoreMode::Normal);
    });
    assert!(stats.counts().answered > 200, "{:?}", stats.counts());
    fixture.assert_guarantees(&stats);
    fixture.assert_all_serve("end");
    fixture.assert_guarantees(&stats);
}

/// Guards against repeated runs, and against slots that are reused before the deadline, when an
/// upstream's responses are lost or the link to an upstream is cut.
#[test]
fn guarantees_hold_across_cut_links_to_upstreams() {
    let mut fixture = FaultSystem::new();
    let stats = run_under_load(&mut fixture, |fixture| {
        fixture.links[0].set_cut(Cut::FromTarget);
        sleep_ms(4_000);
        fixture.links[0].set_cut(Cut::None);
        fixture.links[2].set_cut(Cut::ToTarget);
        sleep_ms(4_000);
        fixture.links[2].set_cut(Cut::None);
    });
    let counts = stats.counts();
    assert!(counts.answered > 200 && counts.unknown > 0, "{counts:?}");
    fixture.assert_guarantees(&stats);
    fixture.assert_all_serve("end");
    fixture.assert_guarantees(&stats);
}

/// Guards against runs that begin after the call was given up, and so overlap with the next request
/// that uses the slot, when the link to an upstream delivers a request late.
#[test]
fn an_upstream_starts_no_request_that_arrives_after_the_call_was_given_up() {
    const TIMEOUT_MS: u64 = 1_500;
    const BEFORE_DEADLINE_MS: u64 = 60;
    let fixture = FaultSystem::new();
    let set_cut = |cut| fixture.links.iter().for_each(|link| link.set_cut(cut));
    set_cut(Cut::ToTarget);
    let deadline_ms = now_ms() + TIMEOUT_MS;
    let entry = fixture.system.caller_addresses()[0];
    let caller = thread::spawn(move || {
        Caller::new([entry]).call(&call("late", 0).with_deadline_ms(deadline_ms)).outcome
    });
    sleep_ms(TIMEOUT_MS - BEFORE_DEADLINE_MS);
    set_cut(Cut::None);
    let outcome = caller.join().expect("a caller");
    sleep_ms(200);
    let ran = fixture.upstreams.iter().any(|upstream| upstream.runs_by_key().contains_key("late"));
    assert!(!ran && outcome != ANSWERED, "ran: {ran}, {outcome:?}");
}
