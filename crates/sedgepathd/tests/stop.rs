//! A planned stop of a daemon, by SIGTERM.

use std::net::SocketAddr;
use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};

use sedgepath_test_support::caller::{Call, Caller, Outcome};
use sedgepath_test_support::daemon::Signal;
use sedgepath_test_support::records::{self, UpstreamSpec};
use sedgepath_test_support::system::System;
use sedgepath_test_support::upstream::{Behaviour, UpstreamFigures, UpstreamStandIn};

const ANSWERED: Outcome = Outcome::Answered { status: 200 };

fn get(path: &str) -> Call {
    Call::new("guest", "browse", &format!("/v1/call/browse{path}"))
}

fn answered(entry: SocketAddr, path: &str) -> bool {
    Caller::new([entry]).call(&get(path)).outcome == ANSWERED
}

/// Two daemons of two domains; the upstream is in the second one's. Requests that take two seconds
/// are in flight through both when one is told to stop. All are answered whole, callers who still
/// name the stopping daemon are served meanwhile, and then its process ends by itself.
fn stop_under_load(stopped: usize) {
    let upstream = UpstreamStandIn::new(UpstreamFigures::new(40)).expect("upstream");
    let spec = UpstreamSpec::new("b1", "south-a", 40).with_address(upstream.addr());
    let records = records::one_service("browse", 10_000, &[spec], &["south-a"]);
    let system = System::new(Path::new(env!("CARGO_BIN_EXE_sedgepathd"))).expect("platform");
    let system = system.with_daemons(&records, &[("n1", "north-a"), ("s1", "south-a")]);
    let mut system = system.expect("daemons");
    assert!(system.all_serve(|entry, _| answered(entry, "/ready")), "a daemon serves nothing");
    let entries = system.entries();

    upstream.set_behaviour(Behaviour::DelayAnswer { delay_ms: 2_000 });
    let in_flight: Vec<_> = (0..20)
        .map(|number: usize| {
            let entry = entries[number % 2];
            thread::spawn(move || answered(entry, &format!("/large/{}", 100_000 + number)))
        })
        .collect();
    thread::sleep(Duration::from_millis(700));
    upstream.set_behaviour(Behaviour::Normal);
    let daemon = system.daemons[stopped].as_mut().expect("a daemon");
    daemon.signal(Signal::Term).expect("a signal");
    let cached = (0..20).filter(|_| answered(entries[stopped], "/cached")).count();
    let whole = in_flight.into_iter().filter_map(|caller| caller.join().ok()).filter(|ok| *ok);
    assert_eq!((whole.count(), cached), (20, 20));
    let ended = daemon.wait_until(Instant::now() + Duration::from_mins(1)).expect("a wait");
    assert!(ended.is_some_and(|status| status.success()), "{ended:?}");
}

#[test]
fn an_ingress_that_stops_cuts_nothing() {
    stop_under_load(0);
}

#[test]
fn an_owner_that_stops_cuts_nothing() {
    stop_under_load(1);
}
