//! Tests the planned stop of a daemon by SIGTERM.

use std::net::SocketAddr;
use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};

use sedgepath_test_support::caller::{Call, Caller, Outcome};
use sedgepath_test_support::daemon::Signal;
use sedgepath_test_support::records::{self, UpstreamSpec};
use sedgepath_test_support::system::DaemonCluster;
use sedgepath_test_support::upstream::{Behaviour, UpstreamConfig, UpstreamStandIn};

const ANSWERED: Outcome = Outcome::Answered { status: 200 };

fn get(path: &str) -> Call {
    Call::new("guest", "browse", &format!("/v1/call/browse{path}"))
}

fn is_answered(entry: SocketAddr, path: &str) -> bool {
    Caller::new([entry]).call(&get(path)).outcome == ANSWERED
}

/// Stops one of two daemons while slow requests are in flight through both, and checks that these
/// and new requests are answered and that the stopped process exits with success.
fn stop_under_load(stopped: usize) {
    let upstream = UpstreamStandIn::new(UpstreamConfig::new(40)).expect("upstream");
    let spec = UpstreamSpec::new("b1", "south-a", 40).with_address(upstream.addr());
    let records = records::one_service("browse", 10_000, &[spec], &["south-a"]);
    let system = DaemonCluster::new(Path::new(env!("CARGO_BIN_EXE_sedgepathd"))).expect("platform");
    let system = system.with_daemons(&records, &[("n1", "north-a"), ("s1", "south-a")]);
    let mut system = system.expect("daemons");
    assert!(
        system.wait_until_all_serve(|entry, _| is_answered(entry, "/ready")),
        "a daemon serves nothing"
    );
    let entries = system.caller_addresses();

    upstream.set_behaviour(Behaviour::DelayResponse { delay_ms: 2_000 });
    let in_flight: Vec<_> = (0..20)
        .map(|number: usize| {
            let entry = entries[number % 2];
            thread::spawn(move || is_answered(entry, &format!("/large/{}", 100_000 + number)))
        })
        .collect();
    thread::sleep(Duration::from_millis(700));
    upstream.set_behaviour(Behaviour::Normal);
    let daemon = system.daemons[stopped].as_mut().expect("a daemon");
    daemon.signal(Signal::Term).expect("a signal");
    let answered_while_stopping =
        (0..20).filter(|_| is_answered(entries[stopped], "/cached")).count();
    let answered_in_flight =
        in_flight.into_iter().filter_map(|caller| caller.join().ok()).filter(|ok| *ok);
    assert_eq!((answered_in_flight.count(), answered_while_stopping), (20, 20));
    let ended = daemon.wait_until(Instant::now() + Duration::from_mins(1)).expect("a wait");
    assert!(ended.is_some_and(|status| status.success()), "{ended:?}");
}

/// Guards against requests that fail when the daemon that accepted them stops.
#[test]
fn stopping_an_ingress_aborts_no_request() {
    stop_under_load(0);
}

/// Guards against requests that fail when the daemon that owns their upstream stops.
#[test]
fn stopping_an_owner_aborts_no_request() {
    stop_under_load(1);
}
