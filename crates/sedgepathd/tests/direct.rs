//! Tests of daemons that send to upstreams themselves, against stand-ins of the users' platform.

mod platform;

use std::time::{Duration, Instant};

use platform::caller::{self, Connection};
use platform::slow_peer::SlowPeer;
use platform::upstream::{Behaviour, UpstreamStandIn};
use platform::{TestCluster, Vm, configure, wait_for};
use sedgepath::cli::{self, Environment};
use sedgepath_test_support::store::{StoreMode, StoreStandIn};

const READ_PATH: &str = "/reads/1?q=2";
const CHARGE_PATH: &str = "/charges/1";

/// A store with a configuration, upstreams registered in it, and a VM that serves them.
struct Fixture {
    store: StoreStandIn,
    upstreams: Vec<UpstreamStandIn>,
    site: TestCluster,
    vm: Vm,
}

impl Fixture {
    fn new(upstreams: usize) -> Self {
        let store = StoreStandIn::new().expect("a store");
        configure(&store, "0000000c", "3000ms");
        let upstreams: Vec<_> =
            (0..upstreams).map(|number| UpstreamStandIn::new(&format!("u{number}"))).collect();
        for upstream in &upstreams {
            upstream.register(&store, "north-a", "ready", 1);
        }
        let site = TestCluster::new(store.address);
        let vm = site.start_ready(1, "north-a");
        Self { store, upstreams, site, vm }
    }

    fn set_all_behaviours(&self, behaviour: Behaviour) {
        for upstream in &self.upstreams {
            upstream.set_behaviour(behaviour);
        }
    }

    fn runs(&self) -> usize {
        self.upstreams.iter().map(|upstream| upstream.runs().len()).sum()
    }
}

/// Guards against requests or responses that are changed on the way, missing headers, and
/// connections that are not reused.
#[test]
fn requests_and_responses_are_relayed() {
    let fixture = Fixture::new(1);
    let mut connection = Connection::new(fixture.vm.caller_address).expect("a connection");

    for number in 0..3 {
        let response =
            connection.request("GET", READ_PATH, &format!("a{number}")).expect("a response");
        assert_eq!((response.status, response.text()), (200, format!("a{number} at u0")));
        assert_eq!(response.headers["x-sedgepath-response-signature"], format!("s.a{number}"));
    }

    let runs = fixture.upstreams[0].runs();
    assert_eq!(runs.len(), 3);
    assert_eq!(runs[0].line, format!("GET {READ_PATH} HTTP/1.1"));
    assert_eq!(runs[0].headers["x-sedgepath-expected-instance"], "u0");
    let left_ms: u64 = runs[0].headers["x-sedgepath-deadline-ms"].parse().expect("a number");
    assert!((1..=3_000).contains(&left_ms), "{left_ms}");
    assert_eq!(fixture.upstreams[0].connections(), 1, "the connection was not kept");
}

/// Guards against requests with their caller's version of HTTP, to which upstreams respond with bodies that end with
/// the connection.
#[test]
fn requests_of_http_1_0_callers_reach_upstreams_as_http_1_1() {
    let fixture = Fixture::new(1);
    let mut connection = Connection::new(fixture.vm.caller_address).expect("a connection");

    let request = "GET http://shop.example/reads/1 HTTP/1.0\r\nX-Sedgepath-Attempt-Id: a\r\n\r\n";
    connection.write(request.as_bytes()).expect("a write");
    let response = connection.receive().expect("a response");

    assert_eq!((response.status, response.text()), (200, "a at u0".into()));
    let runs = fixture.upstreams[0].runs();
    assert!(runs[0].line.ends_with(" HTTP/1.1"), "{}", runs[0].line);
    assert_eq!(runs[0].headers["host"], "shop.example");
}

/// Guards against bodies that are changed: with a length, chunked, or larger than the buffer.
#[test]
fn bodies_reach_the_upstream_unchanged() {
    let fixture = Fixture::new(1);
    let large = vec![b'x'; 700_000];
    for (number, body) in [b"pay 10".to_vec(), large].into_iter().enumerate() {
        let mut connection = Connection::new(fixture.vm.caller_address).expect("a connection");
        let head = format!(
            "POST {CHARGE_PATH} HTTP/1.1\r\nHost: shop.example\r\nX-Sedgepath-Attempt-Id: l{number}\r\n\
             Content-Length: {}\r\n\r\n",
            body.len()
        );
        connection.write(head.as_bytes()).expect("written");
        connection.write(&body).expect("written");
        assert_eq!(connection.receive().expect("a response").status, 200);
        assert_eq!(fixture.upstreams[0].runs().last().expect("a run").body, body);
    }
    let mut connection = Connection::new(fixture.vm.caller_address).expect("a connection");
    let chunked = format!(
        "POST {CHARGE_PATH} HTTP/1.1\r\nHost: shop.example\r\nX-Sedgepath-Attempt-Id: c\r\n\
         Transfer-Encoding: chunked\r\n\r\n4\r\npay \r\n2\r\n10\r\n0\r\n\r\n"
    );
    connection.write(chunked.as_bytes()).expect("written");
    assert_eq!(connection.receive().expect("a response").status, 200);
    assert_eq!(fixture.upstreams[0].runs().last().expect("a run").body, b"pay 10");
}

/// Guards against a charge that runs twice, or is reported as not run, after its response was lost.
#[test]
fn a_charge_whose_response_is_lost_runs_once() {
    for behaviour in [Behaviour::CloseWithoutResponse, Behaviour::TruncateResponse] {
        let fixture = Fixture::new(2);
        fixture.set_all_behaviours(behaviour);
        let response = caller::request(fixture.vm.caller_address, "POST", CHARGE_PATH, "a1")
            .expect("a response");
        assert_eq!((response.status, fixture.runs()), (502, 1), "{behaviour:?}");
    }
}

/// Guards against a truncated response that reaches the caller of an idempotent request.
#[test]
fn a_truncated_response_is_replaced_by_a_complete_one() {
    let fixture = Fixture::new(2);
    let preferred = preferred_upstream(&fixture);
    fixture.upstreams[preferred].set_behaviour(Behaviour::TruncateResponse);

    let response =
        caller::request(fixture.vm.caller_address, "GET", READ_PATH, "a1").expect("a response");

    assert_eq!((response.status, response.text()), (200, format!("a1 at u{}", 1 - preferred)));
}

/// Guards against retries whose cause or outcome the metrics don't show.
#[test]
fn attempts_are_counted_by_cause_and_outcome() {
    let fixture = Fixture::new(2);
    let preferred = preferred_upstream(&fixture);
    fixture.upstreams[preferred].set_behaviour(Behaviour::TruncateResponse);
    caller::request(fixture.vm.caller_address, "GET", READ_PATH, "a1").expect("a response");

    let text = attohttpc::get(format!("http://{}/metrics", fixture.vm.metrics_address))
        .send()
        .and_then(attohttpc::Response::text)
        .expect("the metrics");

    for (labels, count) in [
        (r#"cause="failed",outcome="answered""#, 1),
        (r#"cause="first",outcome="failed""#, 1),
        (r#"cause="first",outcome="answered""#, 12),
    ] {
        let line = format!("sedgepath_sendings_total{{{labels}}} {count}\n");
        assert!(text.contains(&line), "{line}: {text}");
    }
}

/// Returns the upstream that serves the object of all requests. The requests also fill the retry
/// budget.
fn preferred_upstream(fixture: &Fixture) -> usize {
    let ask = |number: u8| {
        let response =
            caller::request(fixture.vm.caller_address, "GET", READ_PATH, &format!("h{number}"));
        usize::from(response.expect("a response").text().ends_with("u1"))
    };
    let chosen: Vec<usize> = (0..12).map(ask).collect();
    chosen[chosen.len() - 1]
}

/// Guards against an extra response on a reused connection that is given to the next request.
#[test]
fn an_extra_response_reaches_no_other_request() {
    let fixture = Fixture::new(1);
    fixture.upstreams[0].set_behaviour(Behaviour::RespondTwice);
    let mut connection = Connection::new(fixture.vm.caller_address).expect("a connection");
    for number in 0..12 {
        let attempt = format!("a{number}");
        let response = connection.request("POST", CHARGE_PATH, &attempt).expect("a response");
        if response.status == 200 {
            assert_eq!(response.text(), format!("{attempt} at u0"));
        }
    }
}

/// Guards against a truncated response if its end is the end of the connection.
#[test]
fn a_response_without_a_length_is_relayed_completely() {
    let fixture = Fixture::new(1);
    fixture.upstreams[0].set_behaviour(Behaviour::CloseDelimited);
    let response =
        caller::request(fixture.vm.caller_address, "GET", READ_PATH, "a1").expect("a response");
    assert_eq!((response.status, response.text()), (200, "a1 at u0".into()));
}

/// Guards against a rejected charge that runs, or a rejection without a time to retry.
#[test]
fn a_rejection_runs_nothing_and_carries_retry_after() {
    let fixture = Fixture::new(2);
    fixture.set_all_behaviours(Behaviour::Reject);
    let response =
        caller::request(fixture.vm.caller_address, "POST", CHARGE_PATH, "a1").expect("a response");
    assert_eq!((response.status, fixture.runs()), (503, 0));
    let seconds: f64 = response.headers["retry-after"].parse().expect("a number");
    assert!(seconds > 0.0 && seconds < 3.0, "{seconds}");
}

/// Guards against a request that runs at another upstream which has taken over the address.
#[test]
fn an_upstream_at_a_reused_address_runs_no_misdirected_request() {
    let fixture = Fixture::new(2);
    let preferred = preferred_upstream(&fixture);
    fixture.upstreams[preferred].rename("stranger");
    let before = fixture.upstreams[preferred].runs().len();

    let response =
        caller::request(fixture.vm.caller_address, "POST", CHARGE_PATH, "a1").expect("a response");

    assert_eq!((response.status, response.text()), (200, format!("a1 at u{}", 1 - preferred)));
    assert_eq!(fixture.upstreams[preferred].runs().len(), before);
}

/// Guards against a request that keeps running after its caller has disconnected.
#[test]
fn a_disconnected_caller_cancels_its_request() {
    let fixture = Fixture::new(1);
    fixture.upstreams[0].set_behaviour(Behaviour::Unresponsive);
    let mut connection = Connection::new(fixture.vm.caller_address).expect("a connection");
    connection.send("GET", READ_PATH, "a1", 30_000).expect("sent");
    wait_for("the request", || fixture.upstreams[0].received().len() == 1);
    drop(connection);
    wait_for("the cancellation", || fixture.upstreams[0].canceled_requests() == 1);
}

/// Guards against a charge that waits for the caller's deadline beyond the route's timeout, or is
/// reported as not run.
#[test]
fn a_request_ends_at_the_routes_timeout() {
    let fixture = Fixture::new(1);
    configure(&fixture.store, "0000000d", "300ms");
    fixture.upstreams[0].set_behaviour(Behaviour::Unresponsive);
    wait_for("the new timeout", || {
        let started = Instant::now();
        let response = caller::request(fixture.vm.caller_address, "POST", CHARGE_PATH, "a1");
        response.is_some_and(|response| response.status == 504)
            && started.elapsed().as_millis() < 2_000
    });
}

/// Guards against new requests to an upstream that is leaving or whose entry was removed.
#[test]
fn leaving_and_removed_upstreams_get_no_new_requests() {
    let fixture = Fixture::new(3);
    fixture.upstreams[0].register(&fixture.store, "north-a", "draining", 2);
    fixture.store.remove("servers", "u1");
    std::thread::sleep(Duration::from_millis(2_500));
    let before: Vec<_> =
        fixture.upstreams.iter().map(|upstream| upstream.received().len()).collect();

    for number in 0..20 {
        caller::request(fixture.vm.caller_address, "GET", READ_PATH, &format!("a{number}"))
            .expect("a response");
    }

    let after: Vec<_> =
        fixture.upstreams.iter().map(|upstream| upstream.received().len()).collect();
    assert_eq!((after[0], after[1], after[2]), (before[0], before[1], before[2] + 20));
}

/// Guards against unreadable entries or configurations that disturb valid ones.
#[test]
fn unreadable_entries_and_configurations_are_ignored() {
    let fixture = Fixture::new(1);
    let unreadable: [&[u8]; 5] = [
        b"\xff\xfe",
        b"{}",
        br#"{"address":"127.0.0.1:1","info":{"service":"shop","zone":"north-a","slots":"3"},"status":{"state":"ready","sequence":1,"coldRemaining":"0ms"}}"#,
        br#"{"address":"127.0.0.1:1","info":{"service":"shop","zone":"north-a","slots":3},"status":{"state":"resting","sequence":1,"coldRemaining":"0ms"}}"#,
        br#"{"address":"127.0.0.1:1","info":{"service":"shop","zone":"north-a","slots":3},"status":{"state":"ready","sequence":1,"coldRemaining":"0ms"},"born":"x"}"#,
    ];
    for (number, value) in unreadable.iter().enumerate() {
        fixture.store.put("servers", &format!("odd{number}"), value);
    }
    fixture.store.put("op", "config", b"{\"version\":\"0000000f\"}");
    std::thread::sleep(Duration::from_secs(1));
    for number in 0..10 {
        let response =
            caller::request(fixture.vm.caller_address, "GET", READ_PATH, &format!("a{number}"));
        assert_eq!(response.expect("a response").text(), format!("a{number} at u0"));
    }
}

/// Guards against a planned stop that interrupts a request, keeps the VM ready, exceeds the grace
/// period or loses the last log line.
#[test]
fn a_planned_stop_completes_requests_in_flight() {
    let mut fixture = Fixture::new(1);
    fixture.upstreams[0].set_behaviour(Behaviour::DelayedByMs(2_000));
    let mut connection = Connection::new(fixture.vm.caller_address).expect("a connection");
    connection.send("POST", CHARGE_PATH, "a1", 4_000).expect("sent");
    wait_for("the request", || fixture.upstreams[0].received().len() == 1);

    fixture.vm.terminate();
    wait_for("an end of readiness", || !fixture.vm.is_ready());

    let response = connection.receive().expect("a response");
    assert_eq!((response.status, response.text()), (200, "a1 at u0".into()));
    assert_eq!(response.headers.get("connection").map(String::as_str), Some("close"));
    let started = Instant::now();
    wait_for("the end", || fixture.vm.exit_status().is_some());
    assert!(started.elapsed() < Duration::from_secs(6));
    assert!(fixture.vm.exit_status().is_some_and(|status| status.success()));
    let log = fixture.site.log(1);
    let last = log.lines().last().expect("a line");
    assert!(last.ends_with("event=stopped requests=0"), "{last}");
}

/// Guards against a reload signal that interrupts a request.
#[test]
fn a_reload_interrupts_no_request() {
    let fixture = Fixture::new(1);
    fixture.upstreams[0].set_behaviour(Behaviour::DelayedByMs(500));
    let mut connection = Connection::new(fixture.vm.caller_address).expect("a connection");
    connection.send("GET", READ_PATH, "a1", 4_000).expect("sent");
    wait_for("the request", || fixture.upstreams[0].received().len() == 1);
    fixture.vm.signal("-HUP");
    assert_eq!(connection.receive().expect("a response").status, 200);
    assert_eq!(connection.request("GET", READ_PATH, "a2").expect("a response").status, 200);
}

/// Guards against a VM that can't start without the store although a peer has the tables.
#[test]
fn a_vm_that_starts_without_the_store_fetches_tables_from_a_peer() {
    let fixture = Fixture::new(1);
    let second = fixture.site.start_ready(2, "north-a");
    fixture.store.set_mode(StoreMode::Unresponsive);
    second.kill();

    let second = fixture.site.start(2, "north-a");

    wait_for("readiness without the store", || second.is_ready());
    let response =
        caller::request(second.caller_address, "GET", READ_PATH, "a1").expect("a response");
    assert_eq!(response.status, 200);
}

/// Guards against a status command that omits a VM's state, or hides that a VM can't be reached.
#[test]
fn the_command_line_shows_the_state_of_vms() {
    let fixture = Fixture::new(2);
    let second = fixture.site.start_ready(2, "north-b");
    fixture.upstreams[1].register(&fixture.store, "north-a", "draining", 2);
    let status = |addresses: &[String]| {
        let mut arguments = vec!["status".to_owned()];
        arguments
            .extend(addresses.iter().flat_map(|address| ["--metrics".to_owned(), address.clone()]));
        let mut out = Vec::new();
        cli::execute(&arguments, &Environment::default(), &mut out)
            .map(|()| String::from_utf8(out).expect("text"))
    };
    let addresses = [fixture.vm.metrics_address.to_string(), second.metrics_address.to_string()];
    let expected = [
        "vm1 in north-a serves by configuration 12\n",
        "vm2 in north-b serves by configuration 12\n",
        "2 upstreams (1 leaving, 0 cold, 0 left out), load 0 of 8 slots",
        "1 other VMs heard; limits are split among 2:",
    ];
    wait_for("the state of both", || {
        let shown = status(&addresses).expect("the state");
        expected.iter().all(|line| shown.contains(line))
    });
    let unreachable = second.metrics_address.to_string();
    second.kill();
    let error = status(std::slice::from_ref(&unreachable)).expect_err("no state");
    assert!(error.to_string().contains(&unreachable), "{error}");
}

/// Guards against a fetch that is aborted and repeated while a slow peer is still sending.
#[test]
fn rows_from_a_slow_peer_are_accepted() {
    let store = StoreStandIn::new().expect("a store");
    configure(&store, "0000000c", "3000ms");
    UpstreamStandIn::new("u0").register(&store, "north-a", "ready", 1);
    let site = TestCluster::new(store.address);
    let peer = SlowPeer::new(site.peer_address(1), &store);
    store.set_mode(StoreMode::Unresponsive);

    let vm = site.start(2, "north-a");

    wait_for("readiness by slow rows", || {
        peer.announce_rows(site.peer_address(2));
        vm.is_ready()
    });
    assert!(peer.request_count() <= 6, "{} requests for two tables", peer.request_count());
}

/// Guards against a removed upstream that stays in use if the store's history lacks the removal.
#[test]
fn a_removal_lost_from_the_store_history_is_detected() {
    let fixture = Fixture::new(2);
    fixture.store.set_mode(StoreMode::Refusing);
    std::thread::sleep(Duration::from_millis(300));
    fixture.store.remove("servers", "u0");
    fixture.store.drop_history();
    fixture.store.set_mode(StoreMode::Normal);

    wait_for("the removal", || {
        let before = fixture.upstreams[0].received().len();
        for number in 0..10 {
            caller::request(fixture.vm.caller_address, "GET", READ_PATH, &format!("a{number}"));
        }
        fixture.upstreams[0].received().len() == before
            && fixture.upstreams[1].received().len() > before
    });
}

/// Guards against look-ups that omit a serving VM or still list a killed one.
#[test]
fn look_ups_omit_a_killed_vm() {
    let fixture = Fixture::new(1);
    let second = fixture.site.start_ready(2, "north-a");
    let look_up = || {
        let path = "/-/resolve?name=shop.example&region=north&zone=north-a";
        caller::get(fixture.vm.look_up_address, path)
            .map_or_else(String::new, |response| response.text())
    };
    let address = second.caller_address.to_string();
    wait_for("a look-up that names both", || look_up().contains(&address));
    second.kill();
    wait_for("a look-up without the killed one", || {
        let listed = look_up();
        !listed.contains(&address) && listed.contains(&fixture.vm.caller_address.to_string())
    });
}

/// Guards against requests that are rejected by a starting VM whose tables are about to arrive.
#[test]
fn a_request_waits_for_a_vm_that_is_starting() {
    let fixture = Fixture::new(1);
    fixture.store.set_mode(StoreMode::DelayedByMs(150));
    let starting = fixture.site.start(9, "south-a");
    let mut connection = None;
    wait_for("a listener", || {
        connection = Connection::new(starting.caller_address);
        connection.is_some()
    });
    let response = connection.and_then(|mut connection| connection.request("GET", READ_PATH, "a1"));
    assert_eq!(response.expect("a response").status, 200);
}
