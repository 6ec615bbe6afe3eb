//! Tests of daemons whose upstreams state with their responses that they leave, or ask for a pause.

mod platform;

use std::time::{Duration, Instant};

use hyper::{HeaderMap, StatusCode};
use platform::caller;
use platform::upstream::{Behaviour, UpstreamStandIn};
use platform::{TestCluster, Vm, configure, wait_for};
use sedgepath_adapter::headers::ResponseHeaders;
use sedgepath_core::direct::statements::{StatedLeaving, StatedPause, StatedRateLimit, Statements};
use sedgepath_test_support::store::{StoreMode, StoreStandIn};

/// The part of a pause of two seconds in which the test checks that it holds.
const CHECKED_PART_OF_PAUSE: Duration = Duration::from_millis(1_700);

/// A VM with four upstreams in its failure domain.
struct Site {
    store: StoreStandIn,
    upstreams: Vec<UpstreamStandIn>,
    vm: Vm,
    _cluster: TestCluster,
}

impl Site {
    fn new() -> Self {
        let store = StoreStandIn::new().expect("a store");
        configure(&store, "0000000c", "3000ms");
        let upstreams: Vec<_> =
            (0..4).map(|number| UpstreamStandIn::new(&format!("u{number}"))).collect();
        for upstream in &upstreams {
            upstream.register(&store, "north-a", "ready", 1);
        }
        let cluster = TestCluster::new(store.address);
        let vm = cluster.start(1, "north-a");
        wait_for("readiness", || vm.is_ready());
        Self { store, upstreams, vm, _cluster: cluster }
    }

    /// Returns the upstream that has received most.
    fn preferred(&self) -> &UpstreamStandIn {
        let most = self.upstreams.iter().max_by_key(|upstream| upstream.received().len());
        most.expect("an upstream")
    }

    /// Sends requests for one object; returns how many succeeded.
    fn request(&self, count: usize, prefix: &str) -> usize {
        let served = (0..count).filter(|number| {
            let id = format!("{prefix}{number}");
            let answer = caller::request(self.vm.caller_address, "GET", "/reads/1", &id);
            answer.is_some_and(|answer| answer.status == 200)
        });
        served.count()
    }
}

/// Guards against requests to an upstream that says that it leaves while the store is silent, also when
/// it says so with a response that breaks off.
#[test]
fn a_leaving_upstream_is_not_used_while_the_store_is_silent() {
    for behaviour in [Behaviour::Respond, Behaviour::Reject, Behaviour::TruncateResponse] {
        let site = Site::new();
        site.request(40, "warm");
        site.store.set_mode(StoreMode::Unresponsive);
        let leaving = site.preferred();
        leaving.set_first_headers("Server-Leaving: 1\r\n");
        leaving.set_behaviour(behaviour);
        let before = leaving.received().len();
        assert_eq!(site.request(40, "told"), 40, "{behaviour:?}");
        let told = leaving.received().len();
        assert!(told > before, "{behaviour:?}: the upstream gets a request to say it");
        assert!(told <= before + 1, "{behaviour:?}: {} after its word", told - before - 1);
        assert_eq!(site.request(40, "later"), 40, "{behaviour:?}");
        assert_eq!(leaving.received().len(), told, "{behaviour:?}");
    }
}

/// Guards against requests that reach an upstream in the pause that it has asked for, and against one that
/// isn't used after it.
#[test]
fn an_upstream_is_left_alone_for_the_pause_that_it_asks_for() {
    let site = Site::new();
    site.request(40, "warm");
    let paused = site.preferred();
    paused.set_first_headers("Retry-After: 2\r\n");
    paused.set_behaviour(Behaviour::Reject);
    let before = paused.received().len();
    assert_eq!(site.request(1, "told"), 1);
    let told_at = Instant::now();
    paused.set_behaviour(Behaviour::Respond);
    while told_at.elapsed() < CHECKED_PART_OF_PAUSE {
        assert_eq!(site.request(1, "in-pause"), 1);
        std::thread::sleep(Duration::from_millis(20));
    }
    assert_eq!(paused.received().len(), before + 1, "requests in the pause");
    wait_for("requests after the pause", || {
        site.request(1, "after");
        paused.received().len() > before + 1
    });
}

/// Guards against a statement that no code reads, and against values that are not what they should be.
#[test]
fn all_statements_of_a_response_are_decoded() {
    let statements = |status: StatusCode, fields: &[(&'static str, &str)]| {
        let mut headers = HeaderMap::new();
        headers.insert("x-sedgepath-response-signature", "s".parse().expect("a header value"));
        for (name, value) in fields {
            headers.append(*name, value.parse().expect("a header value"));
        }
        ResponseHeaders::parse(status, &headers, "a").statements
    };
    let unavailable = StatusCode::SERVICE_UNAVAILABLE;
    let all = [("server-limit", "2.5"), ("server-leaving", "1"), ("retry-after", "3")];
    assert_eq!(
        statements(unavailable, &all),
        Some(Statements {
            rate_limit: Some(StatedRateLimit::PerSecond(2.5)),
            leaving: StatedLeaving::Yes,
            pause: StatedPause::ForMs(3_000),
        }),
    );
    let rejected = [("x-sedgepath-not-executed", "1")];
    assert_eq!(statements(unavailable, &rejected).expect("a rejection").rate_limit, None);
    assert_eq!(statements(StatusCode::MISDIRECTED_REQUEST, &all), None, "another process");
    assert_eq!(statements(StatusCode::OK, &[("x-sedgepath-attempt-id", "b"), all[1]]), None);

    let leaving = |values: &[&str]| {
        let fields: Vec<_> = values.iter().map(|value| ("server-leaving", *value)).collect();
        statements(StatusCode::OK, &fields).expect("a matching response").leaving
    };
    assert_eq!(leaving(&[]), StatedLeaving::No);
    assert_eq!(leaving(&["0"]), StatedLeaving::No);
    assert_eq!(leaving(&["0", " 1 "]), StatedLeaving::Yes);
    for value in ["", "2", "true", "1,0"] {
        assert_eq!(leaving(&[value]), StatedLeaving::Invalid, "{value:?}");
    }

    let pause = |status, values: &[&str]| {
        let fields: Vec<_> = values.iter().map(|value| ("retry-after", *value)).collect();
        statements(status, &fields).expect("a matching response").pause
    };
    assert_eq!(pause(unavailable, &[]), StatedPause::None);
    assert_eq!(pause(StatusCode::TOO_MANY_REQUESTS, &["3"]), StatedPause::None);
    assert_eq!(pause(unavailable, &["0.25"]), StatedPause::ForMs(250));
    assert_eq!(pause(unavailable, &["2", "5", "later"]), StatedPause::ForMs(5_000));
    assert_eq!(pause(unavailable, &["99999999999"]), StatedPause::ForMs(3_600_000));
    for value in ["", "-1", "+1", "NaN", "inf", "1e9", "Fri, 04 Dec 2026 10:00:00 GMT"] {
        assert_eq!(pause(unavailable, &[value]), StatedPause::Invalid, "{value:?}");
    }
}
