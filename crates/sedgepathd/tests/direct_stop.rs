//! Tests of the planned stop of daemons that send to upstreams themselves, against stand-ins of the
//! users' platform.

mod platform;

use std::thread;
use std::time::{Duration, Instant};

use platform::caller::Connection;
use platform::upstream::{Behaviour, EndlessPart, ReceivedRequest, UpstreamStandIn};
use platform::{TestCluster, Vm, configure, wait_for};
use sedgepath_test_support::store::StoreStandIn;

const READ_PATH: &str = "/reads/1";

/// The time between two connections that are opened during the stop.
const OPENING_INTERVAL: Duration = Duration::from_millis(10);

/// The time from the end of acceptance to the requests: a link's delay and a caller's own.
const CALLER_DELAY: Duration = Duration::from_millis(200);

/// The requests that are sent at once, within what the upstream takes: the VM waits for first requests for a
/// second only.
const BATCH_SIZE: usize = 8;

/// The deadline of the requests, in milliseconds: before the stop ends what is in flight.
const DEADLINE_MS: u64 = 1_000;

/// Guards against connections that a stopping VM accepts and then closes before their first request.
#[test]
fn every_connection_that_a_stopping_vm_accepts_is_answered() {
    let store = StoreStandIn::new().expect("a store");
    configure(&store, "0000000c", "3000ms");
    let upstream = UpstreamStandIn::new("u0");
    upstream.register(&store, "north-a", "ready", 1);
    let site = TestCluster::new(store.address);
    let mut vm = site.start_ready(1, "north-a");

    vm.terminate();
    let mut opened = Vec::new();
    while let Some(connection) = Connection::new(vm.caller_address) {
        opened.push(connection);
        thread::sleep(OPENING_INTERVAL);
    }
    thread::sleep(CALLER_DELAY);
    let mut unanswered = Vec::new();
    for (batch, connections) in opened.chunks_mut(BATCH_SIZE).enumerate() {
        let first = batch * BATCH_SIZE;
        for (number, connection) in (first..).zip(&mut *connections) {
            // A closed connection has no response.
            let _sent = connection.send("GET", READ_PATH, &format!("a{number}"), DEADLINE_MS);
        }
        for (number, connection) in (first..).zip(connections) {
            let status = connection.receive().map(|response| response.status);
            unanswered.extend((status != Some(200)).then_some((number, status)));
        }
    }

    assert!(opened.len() > 50, "only {} connections were opened", opened.len());
    assert!(unanswered.is_empty(), "of {}: {unanswered:?}", opened.len());
    let all_answered_at = Instant::now();
    wait_for("the end", || vm.exit_status().is_some());
    assert!(all_answered_at.elapsed() < Duration::from_secs(2));
    assert!(vm.exit_status().is_some_and(|status| status.success()));
}

/// The time between two connections of callers with a long charge.
const CHARGE_INTERVAL: Duration = Duration::from_millis(100);

/// The time from the end of acceptance to the charges: the VM still waits for first requests.
const LATE_CALLER_DELAY: Duration = Duration::from_millis(700);

/// The work of a charge, in milliseconds: longer than a stopping VM lasts after its last first request.
const CHARGE_WORK_MS: u64 = 2_400;

/// The deadline of a charge, in milliseconds.
const CHARGE_DEADLINE_MS: u64 = 4_000;

/// One VM and its upstreams.
struct Fixture {
    upstreams: Vec<UpstreamStandIn>,
    vm: Vm,
    site: TestCluster,
    _store: StoreStandIn,
}

impl Fixture {
    fn new(timeout: &str, behaviour: Behaviour) -> Self {
        let store = StoreStandIn::new().expect("a store");
        configure(&store, "0000000c", timeout);
        let upstreams: Vec<_> =
            (0..8).map(|number| UpstreamStandIn::new(&format!("u{number}"))).collect();
        for upstream in &upstreams {
            upstream.set_behaviour(behaviour);
            upstream.register(&store, "north-a", "ready", 1);
        }
        let site = TestCluster::new(store.address);
        let vm = site.start_ready(1, "north-a");
        Self { upstreams, vm, site, _store: store }
    }

    fn runs(&self) -> usize {
        self.upstreams.iter().map(|upstream| upstream.runs().len()).sum()
    }

    fn runs_of(&self, attempt_id: &str) -> usize {
        let runs = self.upstreams.iter().flat_map(UpstreamStandIn::runs);
        runs.filter(|run| is_of(run, attempt_id)).count()
    }
}

fn is_of(run: &ReceivedRequest, attempt_id: &str) -> bool {
    run.headers.get("x-sedgepath-attempt-id").is_some_and(|id| id == attempt_id)
}

/// Guards against charges that a stopping VM sends to upstreams and whose responses its end cuts, and against
/// the rejection of one that ends in time.
#[test]
fn a_stopping_vm_sends_no_charge_that_it_cannot_finish() {
    let fixture = Fixture::new("4000ms", Behaviour::DelayedByTarget);
    let path = format!("/charges/1?{CHARGE_WORK_MS}");

    fixture.vm.terminate();
    let mut early = Connection::new(fixture.vm.caller_address).expect("a connection");
    early.send("POST", &path, "early", CHARGE_DEADLINE_MS).expect("a request");
    let mut opened = Vec::new();
    while let Some(connection) = Connection::new(fixture.vm.caller_address) {
        opened.push(connection);
        thread::sleep(CHARGE_INTERVAL);
    }
    assert_eq!(early.receive().map(|response| response.status), Some(200));
    thread::sleep(LATE_CALLER_DELAY);
    for (number, connection) in opened.iter_mut().enumerate() {
        connection
            .send("POST", &path, &format!("c{number}"), CHARGE_DEADLINE_MS)
            .expect("the VM waits for first requests");
    }
    let statuses: Vec<_> = opened
        .iter_mut()
        .map(|connection| connection.receive().map(|response| response.status))
        .collect();

    assert!(opened.len() > 10, "only {} connections were opened", opened.len());
    assert!(
        statuses.iter().all(|status| matches!(status, Some(200 | 503))),
        "{statuses:?} for {} runs",
        fixture.runs()
    );
    let served = statuses.iter().filter(|status| **status == Some(200)).count();
    assert_eq!(1 + served, fixture.runs());
}

/// The time between two connections of callers with a read: few enough for the upstreams' limits.
const READ_INTERVAL: Duration = Duration::from_millis(150);

/// The work of a read before the stop, in milliseconds.
const USUAL_READ_WORK_MS: u64 = 200;

/// The work of a slow read, in milliseconds: longer than requests may last that are sent once connections are
/// no longer accepted.
const SLOW_READ_WORK_MS: u64 = 2_600;

/// The deadline of a slow read, in milliseconds: beyond the end of requests, if it is sent as late.
const SLOW_READ_DEADLINE_MS: u64 = 4_000;

/// The deadline of a read whose deadline is in time even then, in milliseconds.
const SHORT_READ_DEADLINE_MS: u64 = 1_500;

/// Guards against reads that a stopping VM sends to upstreams because they are usually fast and answers with
/// a response of its own, and against the rejection of one whose deadline is in time.
#[test]
fn a_stopping_vm_sends_no_read_that_it_cannot_finish() {
    let fixture = Fixture::new("6000ms", Behaviour::DelayedByTarget);
    let usual_path = format!("/reads/1?{USUAL_READ_WORK_MS}");
    let slow_path = format!("/reads/1?{SLOW_READ_WORK_MS}");
    let mut before = Connection::new(fixture.vm.caller_address).expect("a connection");
    for number in 0..10 {
        let response = before.request("GET", &usual_path, &format!("b{number}"));
        assert_eq!(response.map(|response| response.status), Some(200));
    }

    fixture.vm.terminate();
    let begun_at = Instant::now();
    let mut early = Connection::new(fixture.vm.caller_address).expect("a connection");
    early.send("GET", &usual_path, "early", SLOW_READ_DEADLINE_MS).expect("a request");
    let mut opened = Vec::new();
    while let Some(connection) = Connection::new(fixture.vm.caller_address) {
        opened.push(connection);
        thread::sleep(READ_INTERVAL);
    }
    assert_eq!(early.receive().map(|response| response.status), Some(200));
    thread::sleep(CALLER_DELAY);
    let sent_at_ms = begun_at.elapsed().as_millis();
    let is_slow = |number: usize| number.is_multiple_of(2);
    for (number, connection) in opened.iter_mut().enumerate() {
        let (path, deadline_ms) = if is_slow(number) {
            (&slow_path, SLOW_READ_DEADLINE_MS)
        } else {
            (&usual_path, SHORT_READ_DEADLINE_MS)
        };
        connection
            .send("GET", path, &format!("r{number}"), deadline_ms)
            .expect("the VM waits for first requests");
    }
    let ends: Vec<_> = opened
        .iter_mut()
        .map(|connection| {
            let response = connection.receive();
            (response, begun_at.elapsed().as_millis())
        })
        .collect();

    assert!(opened.len() > 10, "only {} connections were opened", opened.len());
    let mut wrong = Vec::new();
    for (number, (response, ended_at_ms)) in ends.iter().enumerate() {
        let id = format!("r{number}");
        let status = response.as_ref().map(|response| response.status);
        let is_whole = response
            .as_ref()
            .is_some_and(|response| response.text().starts_with(&format!("{id} at u")));
        let runs = fixture.runs_of(&id);
        let is_right = match status {
            Some(200) => is_whole && runs > 0,
            Some(503) => is_slow(number) && runs == 0,
            _ => false,
        };
        wrong.extend((!is_right).then_some((id, status, runs, ended_at_ms)));
    }
    assert!(
        wrong.is_empty(),
        "{} of {} reads, sent {sent_at_ms} ms after SIGTERM (id, status, runs, end in ms after SIGTERM): {wrong:?}",
        wrong.len(),
        opened.len(),
    );
}

/// Guards against 502 for a read in flight at SIGTERM whose upstream is lost, although another one can serve it in
/// time.
#[test]
fn a_stopping_vm_repeats_a_read_from_before_the_stop_whose_upstream_is_lost() {
    let fixture = Fixture::new("8000ms", Behaviour::DelayedByTarget);
    let mut connection = Connection::new(fixture.vm.caller_address).expect("a connection");
    // They earn the budget for repeats.
    for number in 0..30 {
        let response = connection.request("GET", "/reads/1?0", &format!("b{number}"));
        assert_eq!(response.map(|response| response.status), Some(200));
    }
    connection.send("GET", "/reads/1?7000", "lost", 8_000).expect("a request");
    wait_for("the run", || fixture.runs_of("lost") == 1);
    fixture.vm.terminate();
    wait_for("an end of readiness", || !fixture.vm.is_ready());

    for upstream in &fixture.upstreams {
        upstream.set_behaviour(Behaviour::Respond);
    }
    let has_it = |upstream: &&UpstreamStandIn| upstream.runs().iter().any(|run| is_of(run, "lost"));
    fixture.upstreams.iter().find(has_it).expect("an upstream").crash();

    let status = connection.receive().map(|response| response.status);
    assert_eq!(status, Some(200), "{}", fixture.site.log(1));
    assert_eq!(fixture.runs_of("lost"), 2);
}

/// The time within which a VM rejects what it can't finish, whatever is still to arrive.
const AT_ONCE: Duration = Duration::from_millis(500);

/// Guards against a request that can't be in time and is rejected only once its body has arrived.
#[test]
fn a_stopping_vm_waits_for_no_body_of_a_request_that_it_cannot_finish() {
    let fixture = Fixture::new("6000ms", Behaviour::Respond);
    fixture.vm.terminate();
    wait_for("an end of readiness", || !fixture.vm.is_ready());
    let mut connection = Connection::new(fixture.vm.caller_address).expect("a connection");
    let head = "POST /charges/1 HTTP/1.1\r\nHost: shop.example\r\nX-Sedgepath-Attempt-Id: slow\r\n\
                X-Sedgepath-Deadline-Ms: 6000\r\nContent-Length: 100\r\n\r\nbeginning";
    let sent_at = Instant::now();
    connection.write(head.as_bytes()).expect("written");

    let status = connection.receive().map(|response| response.status);

    let took = sent_at.elapsed();
    assert_eq!(status, Some(503), "after {took:?}");
    assert!(took < AT_ONCE, "{took:?}");
    // The rest is discarded, so that no caller loses the response while it writes.
    assert!(connection.write(&[b'x'; 91]).is_some());
    let line = "event=refused request=slow status=503 reason=stopping";
    wait_for("the line", || fixture.site.log(1).contains(line));
    assert_eq!(fixture.runs(), 0);
}

/// Guards against a charge that a VM has read behind another one before its stop and doesn't answer: its caller
/// can't know that it didn't run.
#[test]
fn a_charge_that_was_read_before_the_stop_is_answered() {
    let fixture = Fixture::new("4000ms", Behaviour::DelayedByTarget);
    let mut connection = Connection::new(fixture.vm.caller_address).expect("a connection");
    connection.send("POST", "/charges/1?1500", "first", CHARGE_DEADLINE_MS).expect("a request");
    connection.send("POST", "/charges/1?100", "behind", CHARGE_DEADLINE_MS).expect("a request");
    wait_for("the first run", || fixture.runs() == 1);
    thread::sleep(CALLER_DELAY);

    fixture.vm.terminate();
    let mut receive = || {
        let response = connection.receive()?;
        Some((response.status, response.headers.contains_key("connection")))
    };

    assert_eq!([receive(), receive()], [Some((200, false)), Some((200, true))]);
    assert_eq!(receive(), None);
    assert_eq!(fixture.runs(), 2);
}

/// Guards against a request that keeps running although its caller has left a stopping VM.
#[test]
fn a_caller_that_leaves_a_stopping_vm_cancels_its_request() {
    let fixture = Fixture::new("4000ms", Behaviour::DelayedByTarget);
    fixture.vm.terminate();
    wait_for("an end of readiness", || !fixture.vm.is_ready());
    let mut connection = Connection::new(fixture.vm.caller_address).expect("a connection");
    connection.send("GET", "/reads/1?2000", "left", CHARGE_DEADLINE_MS).expect("a request");
    wait_for("the run", || fixture.runs() == 1);

    drop(connection);

    let left_at = Instant::now();
    let canceled =
        || fixture.upstreams.iter().map(UpstreamStandIn::canceled_requests).sum::<usize>();
    wait_for("the cancellation", || canceled() == 1);
    assert!(left_at.elapsed() < Duration::from_millis(500), "{:?}", left_at.elapsed());
}

/// Guards against a charge that ends with a stop without a trace of how.
#[test]
fn a_charge_that_a_stop_ends_has_its_log_line() {
    let mut fixture = Fixture::new("12000ms", Behaviour::DelayedByTarget);
    let mut connection = Connection::new(fixture.vm.caller_address).expect("a connection");
    connection.send("POST", "/charges/1?10000", "long", 12_000).expect("a request");
    wait_for("the run", || fixture.runs() == 1);

    fixture.vm.terminate();
    let status = connection.receive().map(|response| response.status);
    wait_for("the end", || fixture.vm.exit_status().is_some());

    assert_eq!(status, Some(502));
    let log = fixture.site.log(1);
    let line = log.lines().find(|line| line.contains("request=long"));
    assert!(line.is_some_and(|line| line.contains("event=gave_up request=long reason=stopping")));
}

/// Guards against a response that a stop cuts in its body without a log line.
#[test]
fn a_response_that_a_stop_cuts_has_its_log_line() {
    let mut fixture = Fixture::new("12000ms", Behaviour::Endless(EndlessPart::Body));
    let mut connection = Connection::new(fixture.vm.caller_address).expect("a connection");
    connection.send("GET", READ_PATH, "endless", 12_000).expect("a request");
    wait_for("the run", || fixture.runs() == 1);

    fixture.vm.terminate();
    let body = connection.receive().map(|response| response.body);
    wait_for("the end", || fixture.vm.exit_status().is_some());

    assert_eq!(body, Some(None));
    assert!(fixture.site.log(1).contains("event=response_cut request=endless"));
}

/// The size of a response that doesn't fit into the buffers of a connection whose caller pauses in reading.
const LARGE_RESPONSE_BYTES: usize = 400_000;

/// The receive buffer of a caller that pauses in reading, in bytes.
const RECEIVE_BUFFER_BYTES: usize = 16 * 1024;

/// The pauses of callers before they read a response.
const READING_PAUSES: [Duration; 2] = [Duration::from_millis(300), Duration::from_millis(1_400)];

/// Guards against a stop that closes a connection with unread requests, so that the system resets it and
/// discards the rest of the response before them.
#[test]
fn a_stop_cuts_no_response_with_requests_behind_it() {
    let fixture = Fixture::new("4000ms", Behaviour::LargeBody(LARGE_RESPONSE_BYTES));
    let mut callers: Vec<_> = (0..8)
        .map(|number| {
            let address = fixture.vm.caller_address;
            let pause = READING_PAUSES[number % READING_PAUSES.len()];
            thread::spawn(move || charge_ahead_until_closed(address, number, pause))
        })
        .collect();
    thread::sleep(Duration::from_secs(1));
    fixture.vm.terminate();
    let whole: usize = callers.drain(..).map(|caller| caller.join().expect("a caller")).sum();
    assert_eq!(whole, fixture.runs());
}

/// Sends charges, two ahead of the response that is read, until the VM closes the connection. Returns how
/// many were served.
fn charge_ahead_until_closed(
    address: std::net::SocketAddr,
    caller: usize,
    pause: Duration,
) -> usize {
    let mut connection =
        Connection::with_receive_buffer(address, RECEIVE_BUFFER_BYTES).expect("a connection");
    let send = |connection: &mut Connection, number: usize| {
        // The VM may have closed the connection.
        let _sent = connection.send("POST", "/charges/1", &format!("p{caller}-{number}"), 4_000);
    };
    send(&mut connection, 0);
    send(&mut connection, 1);
    let mut served = 0;
    for number in 2.. {
        send(&mut connection, number);
        thread::sleep(pause);
        let Some(response) = connection.receive() else { break };
        served += usize::from(response.status == 200 && response.body.is_some());
    }
    served
}
