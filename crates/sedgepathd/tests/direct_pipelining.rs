//! Tests of pipelined requests with real daemons, against stand-ins of the users' platform.

mod platform;

use std::time::{Duration, Instant};

use platform::caller::{Connection, Response};
use platform::upstream::{Behaviour, UpstreamStandIn};
use platform::{TestCluster, Vm, configure, wait_for};
use sedgepath_test_support::store::StoreStandIn;

/// The time that the upstreams work for a request, in milliseconds.
const WORK_MS: u64 = 400;

/// The size of hyper's buffer with the largest head that the configuration allows, in bytes.
const HYPER_BUFFER_BYTES: usize = 24 * 1024;

/// A VM and upstreams that work for as long as a request's target says.
struct Fixture {
    upstreams: Vec<UpstreamStandIn>,
    vm: Vm,
    site: TestCluster,
    _store: StoreStandIn,
}

impl Fixture {
    fn new(upstreams: usize) -> Self {
        Self::with_timeout(upstreams, "3000ms", &[])
    }

    fn with_timeout(upstreams: usize, timeout: &str, arguments: &[&str]) -> Self {
        let store = StoreStandIn::new().expect("a store");
        configure(&store, "0000000c", timeout);
        let upstreams: Vec<_> =
            (0..upstreams).map(|number| UpstreamStandIn::new(&format!("u{number}"))).collect();
        for upstream in &upstreams {
            upstream.set_behaviour(Behaviour::DelayedByTarget);
            upstream.register(&store, "north-a", "ready", 1);
        }
        let site = TestCluster::new(store.address);
        let vm = site.start_with(1, "north-a", store.address, arguments);
        wait_for("readiness", || vm.is_ready());
        Self { upstreams, vm, site, _store: store }
    }

    fn connect(&self) -> Connection {
        Connection::new(self.vm.caller_address).expect("a connection")
    }

    fn received(&self) -> usize {
        self.upstreams.iter().map(|upstream| upstream.received().len()).sum()
    }

    /// Returns when an upstream received the request with an attempt id.
    fn received_at(&self, attempt_id: &str) -> Option<Instant> {
        let received = self.upstreams.iter().flat_map(UpstreamStandIn::received);
        let mut matching =
            received.filter(|request| request.headers["x-sedgepath-attempt-id"] == attempt_id);
        matching.next().map(|request| request.received_at)
    }

    fn pipelined_requests(&self, start: &str) -> u64 {
        let url = format!("http://{}/metrics", self.vm.metrics_address);
        let text = attohttpc::get(url).send().and_then(attohttpc::Response::text);
        let text = text.expect("the metrics");
        let name = format!("sedgepath_pipelined_requests_total{{start=\"{start}\"}} ");
        let mut counts = text.lines().filter_map(|line| line.strip_prefix(&name));
        counts.next().map_or(0, |count| count.parse().expect("a number"))
    }
}

/// Returns the head of a request for its own object, for which the upstream works for a time.
fn head(method: &str, attempt_id: &str, work_ms: u64, lines: &str) -> String {
    let route = if method == "POST" { "charges" } else { "reads" };
    format!(
        "{method} /{route}/1?{work_ms} HTTP/1.1\r\nHost: shop.example\r\n\
         X-Sedgepath-Attempt-Id: {attempt_id}\r\nCookie: X-Sedgepath-Affinity-Key={attempt_id}\r\n{lines}\r\n"
    )
}

fn gets(count: usize, work_ms: u64) -> String {
    (0..count).map(|number| head("GET", &format!("a{number}"), work_ms, "")).collect()
}

/// Sends bytes at once and returns a number of responses.
fn exchange(connection: &mut Connection, bytes: &str, count: usize) -> Vec<Response> {
    connection.write(bytes.as_bytes()).expect("written");
    (0..count).map(|number| receive(connection, number)).collect()
}

fn receive(connection: &mut Connection, number: usize) -> Response {
    connection.receive().unwrap_or_else(|| panic!("no response {number}"))
}

/// Returns the attempt ids of successful responses.
fn served(responses: &[Response]) -> Vec<String> {
    let attempt_id = |response: &Response| {
        let text = response.text();
        format!("{} {}", response.status, text.split(' ').next().unwrap_or_default())
    };
    responses.iter().map(attempt_id).collect()
}

/// Guards against pipelined requests that run one after the other.
#[test]
fn eight_pipelined_requests_take_little_longer_than_one() {
    let fixture = Fixture::new(4);
    let mut connection = fixture.connect();
    exchange(&mut connection, &gets(1, 0), 1);
    let started = Instant::now();
    exchange(&mut connection, &gets(1, WORK_MS), 1);
    let single = started.elapsed();

    let started = Instant::now();
    let responses = exchange(&mut connection, &gets(8, WORK_MS), 8);
    let pipelined = started.elapsed();

    let expected: Vec<_> = (0..8).map(|number| format!("200 a{number}")).collect();
    assert_eq!(served(&responses), expected);
    assert!(pipelined.as_secs_f64() <= 1.3 * single.as_secs_f64(), "{pipelined:?}, {single:?}");
    assert_eq!(fixture.pipelined_requests("early"), 7);
}

/// Guards against a switch without effect: pipelined requests run one after the other without the
/// mechanism.
#[test]
fn pipelining_can_be_turned_off() {
    let fixture = Fixture::with_timeout(4, "3000ms", &["--without", "pipelining"]);
    let started = Instant::now();
    let responses = exchange(&mut fixture.connect(), &gets(3, WORK_MS), 3);
    assert_eq!(served(&responses), ["200 a0", "200 a1", "200 a2"]);
    assert!(started.elapsed() >= Duration::from_millis(3 * WORK_MS));
    assert_eq!(fixture.pipelined_requests("early"), 0);
    assert_eq!(fixture.pipelined_requests("in_turn"), 2);
}

/// Guards against responses in the order in which the requests finish.
#[test]
fn responses_have_the_order_of_the_requests() {
    let fixture = Fixture::new(4);
    let requests: String = [600, 400, 200, 0]
        .into_iter()
        .map(|work_ms| head("GET", &format!("a{work_ms}"), work_ms, ""))
        .collect();
    let started = Instant::now();
    let responses = exchange(&mut fixture.connect(), &requests, 4);
    assert_eq!(served(&responses), ["200 a600", "200 a400", "200 a200", "200 a0"]);
    assert!(started.elapsed() < Duration::from_secs(1), "{:?}", started.elapsed());
}

/// Guards against a charge that overtakes requests before it, and requests that overtake a charge.
#[test]
fn a_non_idempotent_request_is_not_started_early() {
    let with_body = head("POST", "charge", WORK_MS, "Content-Length: 3\r\n") + "pay";
    let by_get = head("GET", "charge", WORK_MS, "").replace("/reads/", "/charges/");
    for charge in [with_body, by_get] {
        let fixture = Fixture::new(4);
        let behind = ["last0", "last1"].map(|attempt_id| head("GET", attempt_id, WORK_MS, ""));
        let requests = gets(2, WORK_MS) + &charge + &behind.concat();
        let responses = exchange(&mut fixture.connect(), &requests, 5);

        let expected = ["200 a0", "200 a1", "200 charge", "200 last0", "200 last1"];
        assert_eq!(served(&responses), expected);
        let at = |attempt_id| fixture.received_at(attempt_id).expect("received");
        let work = Duration::from_millis(WORK_MS);
        assert!(at("a1") - at("a0") < work / 2);
        assert!(at("charge") - at("a1") >= work);
        assert!(at("last0") - at("charge") >= work);
        assert!(at("last1") - at("last0") < work / 2);
    }
}

/// Guards against a malformed head that delays or loses the responses before it, or lets requests behind
/// it run.
#[test]
fn a_malformed_head_gets_its_response_in_its_turn() {
    let fixture = Fixture::new(4);
    let requests = gets(2, WORK_MS) + "GET / /\u{1} HTTP/1.1\r\n\r\n" + &head("GET", "last", 0, "");
    let mut connection = fixture.connect();
    let responses = exchange(&mut connection, &requests, 3);
    assert_eq!(served(&responses[..2]), ["200 a0", "200 a1"]);
    assert_eq!(responses[2].status, 400);
    assert_eq!(connection.receive(), None);
    assert_eq!(fixture.received(), 2);
}

/// Guards against bodies and incomplete heads that are taken for requests, and lost bytes.
#[test]
fn bodies_and_split_heads_keep_requests_apart() {
    let fixture = Fixture::new(4);
    let hidden = head("GET", "hidden", 0, "");
    let with_body = head("GET", "body", 0, &format!("Content-Length: {}\r\n", hidden.len()));
    let last = head("GET", "last", 0, "");
    let (first_half, second_half) = last.split_at(last.len() / 2);
    let mut connection = fixture.connect();
    let requests = gets(2, WORK_MS) + &with_body + &hidden + first_half;
    let responses = exchange(&mut connection, &requests, 3);
    assert_eq!(served(&responses), ["200 a0", "200 a1", "200 body"]);
    let responses = exchange(&mut connection, second_half, 1);
    assert_eq!(served(&responses), ["200 last"]);
    assert_eq!(fixture.received_at("hidden"), None);

    let chunked = head("POST", "chunked", 0, "Transfer-Encoding: chunked\r\n");
    let requests = gets(1, 0) + &chunked + "3\r\npay\r\n0\r\n\r\n" + &gets(2, 0);
    let responses = exchange(&mut connection, &requests, 4);
    assert_eq!(served(&responses), ["200 a0", "200 chunked", "200 a0", "200 a1"]);
}

/// Guards against requests that keep running after their caller has disconnected.
#[test]
fn a_caller_that_disconnects_cancels_all_its_requests() {
    let fixture = Fixture::new(4);
    let mut connection = fixture.connect();
    let requests = gets(6, 30_000) + &head("POST", "unsent", 0, "Content-Length: 3\r\n");
    connection.write(requests.as_bytes()).expect("written");
    wait_for("the requests", || fixture.received() == 6);
    drop(connection);
    let canceled =
        || fixture.upstreams.iter().map(UpstreamStandIn::canceled_requests).sum::<usize>();
    wait_for("the cancellation", || canceled() == 6);
    assert_eq!(served(&exchange(&mut fixture.connect(), &gets(8, 0), 8)).len(), 8);
    assert_eq!(fixture.received_at("unsent"), None);
}

/// Guards against a planned stop that closes a connection before all started requests are answered: the
/// first response comes after the VM has begun to close connections.
#[test]
fn a_planned_stop_loses_no_started_request() {
    let mut fixture = Fixture::with_timeout(4, "5000ms", &[]);
    let mut connection = fixture.connect();
    let requests = head("GET", "first", 3_300, "") + &gets(3, 3_600);
    connection.write(requests.as_bytes()).expect("written");
    wait_for("the requests", || fixture.received() == 4);
    fixture.vm.terminate();

    let responses: Vec<_> = (0..4).map(|number| receive(&mut connection, number)).collect();

    assert_eq!(served(&responses), ["200 first", "200 a0", "200 a1", "200 a2"]);
    let closes = |response: &Response| response.headers.contains_key("connection");
    assert_eq!(responses.iter().map(closes).collect::<Vec<_>>(), [false, false, false, true]);
    assert_eq!(connection.receive(), None);
    wait_for("the end", || fixture.vm.exit_status().is_some());
    assert!(fixture.vm.exit_status().is_some_and(|status| status.success()));
}

/// The size of responses of which the VM can't hold those of [`HOLDING_CONNECTIONS`] until their turn, in bytes.
const HELD_RESPONSE_BYTES: usize = 900_000;

/// The connections with as many requests as are started early.
const HOLDING_CONNECTIONS: usize = 3;

/// The requests of such a connection behind its first one.
const REQUESTS_BEHIND: usize = 16;

/// Guards against a read that was started early, whose response doesn't fit into memory, and that a stop then
/// ends as not run or without a log line.
#[test]
fn a_stop_ends_no_early_request_as_not_run_or_without_its_log_line() {
    let fixture = Fixture::with_timeout(12, "8000ms", &[]);
    for upstream in &fixture.upstreams {
        upstream.set_behaviour(Behaviour::ByTarget);
    }
    let mut connections: Vec<_> = (0..HOLDING_CONNECTIONS).map(|_| fixture.connect()).collect();
    for (number, connection) in connections.iter_mut().enumerate() {
        let mut requests = head("GET", &format!("first{number}"), 2_500, "");
        for behind in 0..REQUESTS_BEHIND {
            let request = head("GET", &format!("m{number}-{behind}"), 300, "");
            requests += &request.replace("?300", &format!("?300,{HELD_RESPONSE_BYTES}"));
        }
        connection.write(requests.as_bytes()).expect("written");
    }
    let count = HOLDING_CONNECTIONS * (1 + REQUESTS_BEHIND);
    wait_for("the requests", || fixture.received() == count);
    fixture.vm.terminate();

    let mut ends = Vec::new();
    for (number, connection) in connections.iter_mut().enumerate() {
        assert_eq!(receive(connection, 0).status, 200);
        for behind in 0..REQUESTS_BEHIND {
            let response = receive(connection, 1 + behind);
            let body_bytes = response.body.as_ref().map(Vec::len);
            let is_whole = body_bytes.is_some_and(|bytes| bytes >= HELD_RESPONSE_BYTES);
            ends.push((format!("m{number}-{behind}"), response.status, is_whole));
        }
    }

    assert!(fixture.pipelined_requests("repeated") > 0);
    let log = fixture.site.log(1);
    let is_right = |id: &str, status: u16, is_whole: bool| match status {
        200 => is_whole,
        502 => log.contains(&format!("event=gave_up request={id} reason=stopping status=502 ")),
        _ => false,
    };
    ends.retain(|(id, status, is_whole)| !is_right(id, *status, *is_whole));
    assert!(ends.is_empty(), "{} of {count}: {ends:?}", ends.len());
}

/// Guards against requests that a stopping VM starts before their turn and then doesn't answer.
#[test]
fn a_stopping_vm_starts_no_request_early() {
    let fixture = Fixture::new(4);
    let mut connection = fixture.connect();
    fixture.vm.terminate();
    wait_for("an end of readiness", || !fixture.vm.is_ready());

    let responses = exchange(&mut connection, &gets(4, WORK_MS), 1);

    assert_eq!(responses[0].headers["connection"], "close");
    assert_eq!(connection.receive(), None);
    assert_eq!(fixture.received(), 1);
}

/// Guards against a caller whose pipeline occupies the VM: its requests beyond the bounds wait, and
/// another caller is served.
#[test]
fn a_long_pipeline_waits_while_others_are_served() {
    let fixture = Fixture::new(12);
    let mut greedy = fixture.connect();
    let mut requests = head("GET", "first", 2_000, "");
    for number in 0..200 {
        requests += &head("GET", &format!("g{number}"), 0, "");
    }
    greedy.write(requests.as_bytes()).expect("written");
    wait_for("the early requests", || fixture.received() == 17);

    let started = Instant::now();
    let responses = exchange(&mut fixture.connect(), &gets(1, 0), 1);
    assert_eq!(served(&responses), ["200 a0"]);
    assert!(started.elapsed() < Duration::from_millis(500), "{:?}", started.elapsed());
    assert_eq!(fixture.received(), 18);

    let responses: Vec<_> = (0..201).map(|number| receive(&mut greedy, number)).collect();
    assert!(responses.iter().all(|response| response.status == 200));
    assert_eq!(responses[200].text().split(' ').next(), Some("g199"));
}

/// Guards against time limits that count from a request's turn instead of its arrival.
#[test]
fn time_limits_count_from_the_arrival() {
    let fixture = Fixture::new(4);
    let limited = |method, attempt_id| {
        let length = if method == "POST" { "Content-Length: 0\r\n" } else { "" };
        let lines = format!("X-Sedgepath-Deadline-Ms: 300\r\n{length}");
        head(method, attempt_id, 2 * WORK_MS, &lines)
    };
    let requests = gets(1, 2 * WORK_MS) + &limited("GET", "early") + &limited("POST", "waits");
    let started = Instant::now();
    let responses = exchange(&mut fixture.connect(), &requests, 3);
    let statuses: Vec<_> = responses.iter().map(|response| response.status).collect();
    assert_eq!(statuses, [200, 504, 503]);
    assert!(started.elapsed() < Duration::from_millis(3 * WORK_MS), "{:?}", started.elapsed());
    assert_eq!(fixture.received_at("waits"), None);
}

/// Guards against a request that is sent to an upstream although hyper may reject its head, which is larger
/// than hyper's buffer.
#[test]
fn a_head_that_exceeds_the_buffer_is_not_started_early() {
    let fixture = Fixture::new(4);
    let mut connection = fixture.connect();
    exchange(&mut connection, &gets(1, 0), 1);
    let padding = format!("X-Padding: {}\r\n", "x".repeat(HYPER_BUFFER_BYTES));
    let requests = gets(1, WORK_MS) + &head("GET", "large", 0, &padding);
    let responses = exchange(&mut connection, &requests, 2);
    assert_eq!(served(&responses[..1]), ["200 a0"]);
    assert_eq!(responses[1].status, 431);
    assert_eq!(fixture.received_at("large"), None);
}

/// The size of a response that doesn't fit into the buffers of a connection whose caller doesn't read.
const LARGE_RESPONSE_BYTES: usize = 540_000;

/// The pause of a caller that reads slowly: longer than the time after which an upstream that doesn't
/// acknowledge what it was sent counts as dead.
const READING_PAUSE: Duration = Duration::from_secs(4);

/// Guards against a caller that pauses in reading and loses the responses to its requests, all of which have run.
#[test]
fn a_caller_that_pauses_in_reading_gets_all_responses() {
    let fixture = Fixture::with_timeout(2, "8000ms", &[]);
    for upstream in &fixture.upstreams {
        upstream.set_behaviour(Behaviour::LargeBody(LARGE_RESPONSE_BYTES));
    }
    let mut connection = fixture.connect();
    for number in 0..4 {
        connection.send("GET", "/reads/1", &format!("s{number}"), 8_000).expect("a request");
    }
    std::thread::sleep(READING_PAUSE);
    for number in 0..4 {
        let body_bytes = connection.receive().and_then(|response| Some(response.body?.len()));
        assert_eq!(body_bytes, Some(LARGE_RESPONSE_BYTES), "response {number}");
    }
}
