//! Daemons that are paused, killed and started again, with the platform away, under load.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use sedgepath_test_support::caller::{Call, Caller, CallerStats, Outcome};
use sedgepath_test_support::daemon::Signal;
use sedgepath_test_support::link::{Cut, CuttableLink};
use sedgepath_test_support::records::{self, UpstreamSpec};
use sedgepath_test_support::store::StoreMode;
use sedgepath_test_support::system::System;
use sedgepath_test_support::upstream::{UpstreamFigures, UpstreamStandIn};

const SLOTS: u32 = 3;

const CALLERS: usize = 12;

const ANSWERED: Outcome = Outcome::Answered { status: 200 };

/// Two daemons of one failure domain, one of another, and two upstreams in each, behind links.
struct Faulty {
    links: Vec<CuttableLink>,
    upstreams: Vec<UpstreamStandIn>,
    system: System,
}

impl Faulty {
    fn new() -> Self {
        let figures = UpstreamFigures::new(SLOTS).with_service_ms(30);
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
        let system = System::new(Path::new(env!("CARGO_BIN_EXE_sedgepathd"))).expect("platform");
        let system = system.with_daemons(&records, &daemons).expect("daemons");
        let faulty = Self { links, upstreams, system };
        faulty.assert_all_serve("start");
        faulty
    }

    fn assert_all_serve(&self, when: &str) {
        let serves = |entry, number| {
            let key = format!("{when} {entry} {number}");
            Caller::new([entry]).call(&call(&key, 0)).outcome == ANSWERED
        };
        assert!(self.system.all_serve(serves), "a daemon serves nothing at the {when}");
    }

    fn signal(&mut self, daemon: usize, signal: Signal) {
        let daemon = self.system.daemons[daemon].as_mut().expect("a daemon");
        daemon.signal(signal).expect("a signal");
    }

    /// Holds what callers were told against what the upstreams ran.
    fn judge(&self, told: &CallerStats) {
        for (number, upstream) in self.upstreams.iter().enumerate() {
            let peak = upstream.counts().peak_in_flight;
            assert!(peak <= SLOTS, "{peak} in flight of {SLOTS} at upstream {number}");
        }
        let mut runs = BTreeMap::new();
        for (key, count) in self.upstreams.iter().flat_map(UpstreamStandIn::runs_by_key) {
            *runs.entry(key).or_insert(0) += count;
        }
        let twice: Vec<_> = runs.iter().filter(|(_, count)| **count > 1).collect();
        assert!(twice.is_empty(), "run more than once: {twice:?}");
        let ran: BTreeSet<_> = self
            .upstreams
            .iter()
            .flat_map(|upstream| upstream.runs_by_request_id().into_keys())
            .collect();
        let untrue = told
            .attempts
            .iter()
            .filter(|attempt| matches!(attempt.outcome, Outcome::NotRun { .. }))
            .filter(|attempt| ran.contains(&attempt.request_id));
        assert_eq!(untrue.count(), 0, "told not run, and run");
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

/// Lets callers keep all slots busy while faults happen, and returns what they were told.
fn under_load(faulty: &mut Faulty, events: impl FnOnce(&mut Faulty)) -> CallerStats {
    let stop = Arc::new(AtomicBool::new(false));
    let callers = start_callers(&faulty.system.entries(), &stop);
    pass(1_500);
    events(faulty);
    pass(1_000);
    stop.store(true, Ordering::Relaxed);
    let mut told = CallerStats::default();
    for caller in callers {
        told.merge(caller.join().expect("a caller"));
    }
    told
}

fn pass(ms: u64) {
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

/// Twelve callers keep all slots busy with deposits. An owner is paused for longer than its right and
/// wakes; then the other one is killed and started again; then the platform is away. No upstream runs
/// more than its slots, no deposit runs twice, nothing runs that was told not to have, and in the end
/// every daemon answers again.
#[test]
fn pauses_kills_and_an_outage_break_no_promise() {
    let mut faulty = Faulty::new();
    let told = under_load(&mut faulty, |faulty| {
        faulty.signal(0, Signal::Stop);
        pass(4_000);
        faulty.signal(0, Signal::Continue);
        pass(3_000);
        faulty.system.daemons[1] = None;
        pass(2_500);
        faulty.system.start_daemon(1).expect("the daemon starts again");
        pass(1_000);
        faulty.system.store.set_mode(StoreMode::Refusing);
        pass(3_000);
        faulty.system.store.set_mode(StoreMode::Normal);
    });
    assert!(told.counts().answered > 200, "{:?}", told.counts());
    faulty.judge(&told);
    faulty.assert_all_serve("end");
    faulty.judge(&told);
}

/// The answers of one upstream are cut off while it runs what it is sent, then the way to another one
/// is cut. What ran without an answer is told as unknown and never run again, its slots are kept
/// until its deadline, and in the end every daemon answers again.
#[test]
fn cut_links_to_upstreams_break_no_promise() {
    let mut faulty = Faulty::new();
    let told = under_load(&mut faulty, |faulty| {
        faulty.links[0].set_cut(Cut::FromTarget);
        pass(4_000);
        faulty.links[0].set_cut(Cut::None);
        faulty.links[2].set_cut(Cut::ToTarget);
        pass(4_000);
        faulty.links[2].set_cut(Cut::None);
    });
    let counts = told.counts();
    assert!(counts.answered > 200 && counts.unknown > 0, "{counts:?}");
    faulty.judge(&told);
    faulty.assert_all_serve("end");
    faulty.judge(&told);
}
