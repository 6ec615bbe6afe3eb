//! Tests of daemons whose upstreams state a rate limit, against stand-ins of the users' platform.

mod platform;

use std::time::{Duration, Instant};

use platform::caller;
use platform::upstream::{Behaviour, UpstreamStandIn};
use platform::{TestCluster, Vm, configure, wait_for};
use sedgepath_adapter::headers::ResponseHeaders;
use sedgepath_core::direct::statements::StatedRateLimit;
use sedgepath_test_support::store::StoreStandIn;

/// The rate limit that the upstream states, in requests per second.
const LIMIT_PER_S: f64 = 2.7;

/// The window in which operators count an upstream's requests.
const LIMIT_WINDOW: Duration = Duration::from_secs(4);

/// The factor by which the requests of a window may exceed the limit.
const LIMIT_FACTOR: f64 = 1.5;

/// The number of requests that a window may have beyond that.
const LIMIT_SLACK: f64 = 5.0;

/// The time after the first response with a limit from which it binds: the `stabilityWindow` of the
/// settings.
const SETTLED_AFTER: Duration = Duration::from_secs(3);

const CALLERS: usize = 12;

const REQUEST_INTERVAL: Duration = Duration::from_millis(100);

/// Returns the most requests that an upstream received in a window, from a time on.
fn most_in_a_window(upstream: &UpstreamStandIn, from: Instant) -> usize {
    let at: Vec<Instant> = upstream
        .received()
        .iter()
        .map(|request| request.received_at)
        .filter(|at| *at >= from)
        .collect();
    let in_window =
        |start: Instant| at.iter().filter(|at| (start..start + LIMIT_WINDOW).contains(*at)).count();
    at.iter().map(|start| in_window(*start)).max().unwrap_or(0)
}

/// Sends requests for one object to all VMs in turn for a time; returns how many were sent, and how
/// many succeeded.
fn request_for(vms: &[Vm], time: Duration) -> (usize, usize) {
    let until = Instant::now() + time;
    let run_caller = |number: usize| {
        let (mut sent, mut served) = (0, 0);
        while Instant::now() < until {
            let address = vms[(number + sent) % vms.len()].caller_address;
            let id = format!("c{number}-{sent}");
            let answer = caller::request(address, "GET", "/reads/1", &id);
            sent += 1;
            served += usize::from(answer.is_some_and(|answer| answer.status == 200));
            std::thread::sleep(REQUEST_INTERVAL);
        }
        (sent, served)
    };
    std::thread::scope(|scope| {
        let callers: Vec<_> =
            (0..CALLERS).map(|number| scope.spawn(move || run_caller(number))).collect();
        let results = callers.into_iter().map(|caller| caller.join().expect("no caller panics"));
        results.fold((0, 0), |sum, result| (sum.0 + result.0, sum.1 + result.1))
    })
}

/// Guards against an upstream under pressure that gets more than it states, from all VMs together.
#[test]
fn a_stated_rate_limit_holds_over_all_vms() {
    let store = StoreStandIn::new().expect("a store");
    configure(&store, "0000000c", "3000ms");
    let upstreams: Vec<_> =
        (0..4).map(|number| UpstreamStandIn::new(&format!("u{number}"))).collect();
    for upstream in &upstreams {
        upstream.set_behaviour(Behaviour::DelayedByMs(20));
        upstream.register(&store, "north-a", "ready", 1);
    }
    let site = TestCluster::new(store.address);
    let domains = ["north-a", "north-b", "south-a"];
    let vms: Vec<Vm> =
        (0..6).map(|number| site.start(number + 1, domains[usize::from(number) % 3])).collect();
    for vm in &vms {
        wait_for("readiness", || vm.is_ready());
    }
    request_for(&vms, Duration::from_secs(1));
    let preferred =
        upstreams.iter().max_by_key(|upstream| upstream.received().len()).expect("an upstream");

    let limited_at = Instant::now();
    preferred.set_first_headers(&format!("Server-Limit: {LIMIT_PER_S}\r\n"));
    let (sent, served) = request_for(&vms, Duration::from_secs(12));
    let most = most_in_a_window(preferred, limited_at + SETTLED_AFTER);
    let allowed = LIMIT_FACTOR * LIMIT_PER_S * LIMIT_WINDOW.as_secs_f64() + LIMIT_SLACK;
    assert!(most as f64 <= allowed, "{most} requests in a window, {allowed} allowed");
    assert!(most >= 2, "the upstream gets {most} requests in a window");
    assert!(served * 20 >= sent * 19, "{served} of {sent} requests were served");

    let lifted_at = Instant::now();
    preferred.set_first_headers("");
    request_for(&vms, Duration::from_secs(8));
    let most = most_in_a_window(preferred, lifted_at + SETTLED_AFTER);
    assert!(most as f64 > allowed, "{most} requests in a window after the limit has ended");
}

/// Guards against limits taken from what isn't a decimal number, and against the greater of two.
#[test]
fn only_decimal_numbers_are_rate_limits() {
    let parse = |values: &[&str]| {
        let mut headers = hyper::HeaderMap::new();
        for value in values {
            headers.append("server-limit", value.parse().expect("a header value"));
        }
        headers.insert("x-sedgepath-response-signature", "s".parse().expect("a header value"));
        let parsed = ResponseHeaders::parse(hyper::StatusCode::OK, &headers, "a");
        parsed.statements.expect("a matching response").rate_limit.expect("a known limit")
    };
    assert_eq!(parse(&[]), StatedRateLimit::None);
    assert_eq!(parse(&["2.7"]), StatedRateLimit::PerSecond(2.7));
    assert_eq!(parse(&[" 0 "]), StatedRateLimit::PerSecond(0.0));
    assert_eq!(parse(&["5", "3.5"]), StatedRateLimit::PerSecond(3.5));
    let damaged = ["", "-1", "+1", "NaN", "inf", "1e9", "1,5", "1.2.3", ".", "2 per second"];
    for value in damaged {
        assert_eq!(parse(&[value]), StatedRateLimit::Invalid, "{value:?}");
        assert_eq!(parse(&["3", value]), StatedRateLimit::Invalid, "{value:?}");
    }
}
