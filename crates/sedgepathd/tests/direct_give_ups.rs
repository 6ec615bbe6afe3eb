//! Tests that logs and metrics tell why a VM itself ended a request, and whether an upstream was at work.

mod platform;

use std::time::{Duration, Instant};

use platform::caller::Connection;
use platform::upstream::{Behaviour, UpstreamStandIn};
use platform::{TestCluster, Vm, configure, cut_off, wait_for};
use sedgepath_test_support::packet_filter::ClientCut;
use sedgepath_test_support::store::StoreStandIn;

const DOMAIN: &str = "north-a";

/// The time limit of the routes and of callers, in milliseconds.
const TIME_LIMIT_MS: u64 = 8_000;

/// VMs with one upstream, which works for as long as a request's target says.
struct Fixture {
    vms: Vec<Vm>,
    upstream: UpstreamStandIn,
    site: TestCluster,
    _store: StoreStandIn,
}

impl Fixture {
    fn new(vm_count: u8) -> Self {
        let store = StoreStandIn::new().expect("a store");
        configure(&store, "0000000c", &format!("{TIME_LIMIT_MS}ms"));
        let upstream = UpstreamStandIn::new("u0");
        upstream.set_behaviour(Behaviour::ByTarget);
        upstream.register(&store, DOMAIN, "ready", 1);
        let site = TestCluster::new(store.address);
        let vms: Vec<_> =
            (1..=vm_count).map(|number| site.start_at_own_address(number, DOMAIN, &[])).collect();
        for vm in &vms {
            wait_for("readiness", || vm.is_ready());
            let expected = format!("sedgepath_vms {vm_count}");
            wait_for("knowing the other VMs", || vm.metrics().contains(&expected));
        }
        Self { vms, upstream, site, _store: store }
    }

    /// Sends a read that lasts longer than the tests, and waits until the upstream runs it.
    fn send_read(&self, id: &str, time_left_ms: u64) -> Connection {
        let mut connection = Connection::new(self.vms[0].caller_address).expect("a connection");
        connection.send("GET", "/reads/1?30000", id, time_left_ms).expect("a request");
        let is_run = || {
            let runs = self.upstream.runs();
            runs.iter()
                .any(|run| run.headers.get("x-sedgepath-attempt-id").is_some_and(|i| i == id))
        };
        wait_for("the run", is_run);
        connection
    }

    /// Returns the line of a VM that tells that a request was given up.
    fn give_up_line(&self, vm: u8, id: &str) -> Line {
        let begin = format!("event=gave_up request={id} ");
        let mut found = None;
        wait_for("the line", || {
            let log = self.site.log(vm);
            found = log.lines().find(|line| line.contains(&begin)).map(|line| Line(line.into()));
            found.is_some()
        });
        found.expect("a line")
    }

    /// Returns whether a VM counts one request that it ended in flight for a reason.
    fn counts_one_ended_in_flight(&self, vm: u8, reason: &str) -> bool {
        let expected = format!("sedgepath_requests_ended_in_flight_total{{reason=\"{reason}\"}} 1");
        self.vms[usize::from(vm) - 1].metrics().lines().any(|line| line == expected)
    }
}

/// A log line.
#[derive(Debug)]
struct Line(String);

impl Line {
    fn text(&self, name: &str) -> Option<&str> {
        let mut fields = self.0.split(' ').filter_map(|field| field.split_once('='));
        fields.find_map(|(key, value)| (key == name).then_some(value))
    }

    fn number(&self, name: &str) -> Option<u64> {
        self.text(name)?.parse().ok()
    }
}

/// Guards against a request that a stop ends without a trace of its sending and of the time that it had left.
#[test]
fn a_request_that_a_stop_ends_tells_what_was_in_flight() {
    let mut fixture = Fixture::new(1);
    let mut connection = fixture.send_read("long", TIME_LIMIT_MS);

    fixture.vms[0].terminate();
    let status = connection.receive().map(|response| response.status);
    wait_for("the end", || fixture.vms[0].exit_status().is_some());

    assert_eq!(status, Some(502));
    let line = fixture.give_up_line(1, "long");
    assert_eq!(line.text("reason"), Some("stopping"), "{line:?}");
    assert_eq!(line.number("in_flight"), Some(1), "{line:?}");
    let (stopping_ms, sent_ms_ago) = (line.number("stopping_ms"), line.number("sent_ms_ago"));
    // The grace of the settings less 0.5 s.
    assert!(stopping_ms.is_some_and(|ms| (5_500..5_850).contains(&ms)), "{line:?}");
    assert!(sent_ms_ago.zip(stopping_ms).is_some_and(|(sent, stop)| sent >= stop), "{line:?}");
    let left_ms = line.number("left_ms").expect("a number");
    let took_ms = line.number("took_ms").expect("a number");
    assert_eq!(left_ms + took_ms, TIME_LIMIT_MS, "{line:?}");
}

/// Guards against a request that its deadline ends and that looks as if nothing had been in flight.
#[test]
fn a_request_that_its_deadline_ends_tells_what_was_in_flight() {
    let fixture = Fixture::new(1);
    let mut connection = fixture.send_read("short", 1_000);

    assert_eq!(connection.receive().map(|response| response.status), Some(504));

    let line = fixture.give_up_line(1, "short");
    assert_eq!(line.text("reason"), Some("timed_out"), "{line:?}");
    assert_eq!(line.number("in_flight"), Some(1), "{line:?}");
    assert_eq!(line.number("left_ms"), Some(0), "{line:?}");
    assert_eq!(line.text("stopping_ms"), None, "{line:?}");
    assert!(fixture.counts_one_ended_in_flight(1, "timed_out"));
}

/// Guards against a forwarded request that another VM ends and whose line doesn't say which VM, and why.
#[test]
fn a_request_that_another_vm_ends_tells_which_and_why() {
    let fixture = Fixture::new(2);
    let upstream = std::slice::from_ref(&fixture.upstream);
    cut_off(&fixture.vms[0], upstream, fixture.site.ipv4(1), ClientCut::Reset);
    let mut connection = fixture.send_read("forwarded", TIME_LIMIT_MS);

    fixture.vms[1].terminate();
    assert_eq!(connection.receive().map(|response| response.status), Some(502));

    let line = fixture.give_up_line(1, "forwarded");
    assert_eq!(line.text("reason"), Some("neighbour_gave_up"), "{line:?}");
    let peer_address = fixture.site.peer_address(2).to_string();
    assert_eq!(line.text("to"), Some(&*peer_address), "{line:?}");
    assert_eq!(line.text("neighbour_reason"), Some("stopping"), "{line:?}");
    assert_eq!(line.number("neighbour_in_flight"), Some(1), "{line:?}");
    assert_eq!(line.number("in_flight"), Some(0), "{line:?}");
    assert_eq!(line.text("stopping_ms"), None, "{line:?}");
    assert!(fixture.counts_one_ended_in_flight(1, "neighbour_gave_up"));
    assert_eq!(fixture.give_up_line(2, "forwarded").text("reason"), Some("stopping"));
}

/// Guards against another VM's give-up that ends a request while the upstream of its first sending is at work.
#[test]
fn a_neighbour_that_gives_up_does_not_end_a_request_that_an_upstream_has() {
    let fixture = Fixture::new(2);
    let mut connection = Connection::new(fixture.vms[0].caller_address).expect("a connection");
    connection.send("GET", "/reads/1?2500", "kept", TIME_LIMIT_MS).expect("a request");
    wait_for("the run", || !fixture.upstream.runs().is_empty());

    fixture.upstream.set_behaviour(Behaviour::CloseWithoutResponse);
    let upstream = std::slice::from_ref(&fixture.upstream);
    cut_off(&fixture.vms[0], upstream, fixture.site.ipv4(1), ClientCut::NewConnections);
    let status = connection.receive().map(|response| response.status);

    assert_eq!(fixture.give_up_line(2, "kept").text("reason"), Some("no_retry"));
    assert_eq!(status, Some(200));
}

/// Guards against a stopping VM that gives a request up for another VM, which may have run it but which this one
/// hasn't sent: no third VM is asked then.
#[test]
fn a_stopping_vm_gives_up_no_forwarded_request_that_it_has_not_sent() {
    let fixture = Fixture::new(1);
    let mut peer = Connection::new(fixture.site.peer_address(1)).expect("a connection");
    fixture.vms[0].terminate();
    wait_for("an end of readiness", || !fixture.vms[0].is_ready());

    let head = format!(
        "GET /reads/1?0,0 HTTP/1.1\r\nHost: shop.example\r\nX-Sedgepath-Attempt-Id: twice\r\n\
         X-Sedgepath-Deadline-Ms: {TIME_LIMIT_MS}\r\nSedgepath-Forwarded: 127.0.0.1 1 1 0\r\n\r\n"
    );
    peer.write(head.as_bytes()).expect("written");
    let response = peer.receive().expect("a response");

    let outcome = response.headers.get("sedgepath-forward-outcome").map(String::as_str);
    assert_eq!(outcome, Some("not_run stopping 0"), "{response:?}");
    assert!(fixture.upstream.received().is_empty());
}

/// Guards against a request that only connects when a stop begins and that the stop ends as if it might have run.
#[test]
fn a_request_that_connects_when_a_stop_begins_is_rejected_as_not_run() {
    let fixture = Fixture::new(1);
    fixture.upstream.cut_from(&[fixture.site.ipv4(1)], ClientCut::NewConnections);
    let mut connection = Connection::new(fixture.vms[0].caller_address).expect("a connection");
    connection.send("GET", "/reads/1?0,0", "connects", TIME_LIMIT_MS).expect("a request");
    wait_for("the first connection", || {
        fixture.vms[0].metrics().contains("sedgepath_requests_in_flight 1")
            || fixture.site.log(1).contains("event=connection_failed")
    });

    fixture.vms[0].terminate();
    let since = Instant::now();
    let status = connection.receive().map(|response| response.status);

    assert_eq!(status, Some(503));
    assert!(since.elapsed() < Duration::from_secs(1), "{:?}", since.elapsed());
    let line = "event=refused request=connects status=503 reason=stopping";
    wait_for("the line", || fixture.site.log(1).contains(line));
    assert!(fixture.upstream.received().is_empty());
}
