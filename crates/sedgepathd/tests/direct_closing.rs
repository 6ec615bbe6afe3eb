//! Tests of connections that end while one side still sends: callers get whole responses.

mod platform;

use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

use platform::caller::{self, Connection, Response};
use platform::early_upstream::{AfterResponse, EarlyUpstream};
use platform::upstream::{Behaviour, UpstreamStandIn};
use platform::{TestCluster, Vm, configure, wait_for};
use sedgepath_test_support::packet_filter::ClientCut;
use sedgepath_test_support::store::StoreStandIn;

/// The connections that a test opens one after the other.
const CONNECTIONS: usize = 20;

/// The connections after which a failure that depends on the order of two packets has shown itself.
const MANY_CONNECTIONS: usize = 150;

/// A body that a VM doesn't accept, and the system's buffers don't hold, in bytes.
const LARGE_BODY_BYTES: usize = 8_000_000;

/// A body within the configuration's limit that isn't buffered completely, in bytes.
const STREAMED_BODY_BYTES: usize = 900_000;

/// The part of a body that a caller writes at once, in bytes.
const BLOCK_BYTES: usize = 64 * 1024;

/// The pause of a slow caller between the parts of a body.
const BLOCK_PAUSE: Duration = Duration::from_millis(20);

/// A response that the system's buffers don't hold at once, in bytes.
const LARGE_RESPONSE_BYTES: usize = 4_000_000;

/// A response that a VM buffers completely, in bytes.
const BUFFERED_RESPONSE_BYTES: usize = 400_000;

/// The deadline of requests that are forwarded, in milliseconds.
const DEADLINE_MS: u64 = 5_500;

/// The time between two requests that are forwarded: three run at once, of four that the upstream can run.
const REQUEST_INTERVAL: Duration = Duration::from_millis(100);

/// The least share of requests that are served while a VM stops beside others.
const MIN_SERVED_SHARE: f64 = 0.95;

/// The time for which a caller lets a response wait.
const READ_PAUSE: Duration = Duration::from_millis(300);

/// How a body's end is stated.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Framing {
    Length,
    Chunks,
}

/// A VM that knows one upstream.
struct Site {
    vm: Vm,
    cluster: TestCluster,
    upstream: UpstreamStandIn,
    _store: StoreStandIn,
}

impl Site {
    fn new() -> Self {
        let upstream = UpstreamStandIn::new("u0");
        let address = upstream.address;
        Self::with_upstream(upstream, address)
    }

    /// Starts a VM whose upstream listens at another address than the stand-in.
    fn with_upstream(upstream: UpstreamStandIn, address: SocketAddr) -> Self {
        let store = StoreStandIn::new().expect("a store");
        configure(&store, "0000000c", "3000ms");
        upstream.register_at(address, &store, "north-a", "ready", 1);
        let cluster = TestCluster::new(store.address);
        let vm = cluster.start_ready(1, "north-a");
        let known = "sedgepath_upstreams{state=\"known\"} 1";
        wait_for("knowing the upstream", || vm.metrics().contains(known));
        Self { vm, cluster, upstream, _store: store }
    }

    /// Starts a VM whose upstream refuses connections, so that the VM rejects requests.
    fn with_crashed_upstream() -> Self {
        let site = Self::new();
        site.upstream.crash();
        wait_for("rejections", || {
            let response = caller::request(site.vm.caller_address, "POST", "/charges/1", "first");
            response.is_some_and(|response| response.status == 503)
        });
        site
    }

    /// Sends requests on connections of their own, and asserts that each caller gets a whole response with one
    /// of these statuses.
    fn assert_all_answered(
        &self,
        statuses: &[u16],
        exchange: impl Fn(&mut Connection, &str) -> Exchange,
    ) {
        let mut lost = Vec::new();
        for number in 0..CONNECTIONS {
            let mut connection = Connection::new(self.vm.caller_address).expect("a connection");
            let seen = exchange(&mut connection, &format!("c{number}"));
            let is_answered = seen.status.is_some_and(|status| statuses.contains(&status));
            if !(seen.has_sent_all && is_answered && seen.is_whole) {
                lost.push(seen);
            }
        }
        assert!(
            lost.is_empty(),
            "{} of {CONNECTIONS} lost: {lost:?}\n{}",
            lost.len(),
            self.cluster.log(1)
        );
    }
}

/// What a caller sees. One whose writing fails may not look for a response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Exchange {
    has_sent_all: bool,
    status: Option<u16>,
    is_whole: bool,
}

impl Exchange {
    fn new(sent: Option<()>, response: Option<&Response>) -> Self {
        Self {
            has_sent_all: sent.is_some(),
            status: response.map(|response| response.status),
            is_whole: response.is_some_and(|response| response.body.is_some()),
        }
    }
}

/// Returns the head of a POST request.
fn post_head(path: &str, attempt_id: &str, lines: &str) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nHost: shop.example\r\nX-Sedgepath-Attempt-Id: {attempt_id}\r\n\
         X-Sedgepath-Deadline-Ms: 3000\r\n{lines}\r\n"
    )
}

/// Sends a whole request, then reads the response.
fn send_then_read(
    connection: &mut Connection,
    path: &str,
    attempt_id: &str,
    (framing, body_bytes, pause): (Framing, usize, Duration),
) -> Exchange {
    let line = match framing {
        Framing::Length => format!("Content-Length: {body_bytes}\r\n"),
        Framing::Chunks => "Transfer-Encoding: chunked\r\n".into(),
    };
    let mut sent = connection.write(post_head(path, attempt_id, &line).as_bytes());
    let block = vec![b'b'; BLOCK_BYTES];
    let mut left_bytes = body_bytes;
    while sent.is_some() && left_bytes > 0 {
        let part = &block[..left_bytes.min(BLOCK_BYTES)];
        left_bytes -= part.len();
        sent = match framing {
            Framing::Length => connection.write(part),
            Framing::Chunks => {
                let chunk = [format!("{:x}\r\n", part.len()).as_bytes(), part, b"\r\n"].concat();
                connection.write(&chunk)
            }
        };
        thread::sleep(pause);
    }
    if framing == Framing::Chunks && sent.is_some() {
        sent = connection.write(b"0\r\n\r\n");
    }
    Exchange::new(sent, connection.receive().as_ref())
}

/// Guards against a rejection that is lost while its caller sends the rest of a body over the limit.
#[test]
fn a_caller_that_sends_a_body_over_the_limit_reads_the_rejection() {
    let body = (Framing::Length, LARGE_BODY_BYTES, Duration::ZERO);
    Site::new()
        .assert_all_answered(&[413], |caller, id| send_then_read(caller, "/charges/1", id, body));
}

/// Guards against a response that is lost while a body without a stated length exceeds the limit.
#[test]
fn a_caller_that_sends_chunks_over_the_limit_reads_the_response() {
    let body = (Framing::Chunks, LARGE_BODY_BYTES, Duration::ZERO);
    let site = Site::new();
    // An upstream has got a part of the request.
    let statuses = [413, 502];
    site.assert_all_answered(&statuses, |caller, id| {
        send_then_read(caller, "/charges/1", id, body)
    });
    assert!(site.upstream.runs().is_empty());
}

/// Guards against a 404 that is lost while its caller sends a large body.
#[test]
fn a_caller_that_sends_a_large_body_to_no_route_reads_the_rejection() {
    let body = (Framing::Length, LARGE_BODY_BYTES, Duration::ZERO);
    Site::new()
        .assert_all_answered(&[404], |caller, id| send_then_read(caller, "/missing/1", id, body));
}

/// Guards against a 503 that is lost while its caller sends a body that isn't buffered completely.
#[test]
fn a_caller_whose_large_request_is_rejected_reads_the_rejection() {
    let site = Site::with_crashed_upstream();
    let body = (Framing::Length, STREAMED_BODY_BYTES, BLOCK_PAUSE);
    site.assert_all_answered(&[503], |caller, id| send_then_read(caller, "/charges/1", id, body));
}

/// Guards against a 431 that is lost while its caller sends a head over the limit.
#[test]
fn a_caller_that_sends_a_head_over_the_limit_reads_the_rejection() {
    Site::new().assert_all_answered(&[431], |connection, id| {
        let field = format!("X-Large: {}\r\n", "f".repeat(LARGE_BODY_BYTES));
        let sent = connection.write(post_head("/charges/1", id, &field).as_bytes());
        Exchange::new(sent, connection.receive().as_ref())
    });
}

/// Guards against a 400 that is lost while its caller sends on.
#[test]
fn a_caller_that_sends_a_malformed_request_reads_the_rejection() {
    Site::new().assert_all_answered(&[400], |connection, _id| {
        let sent = connection.write(b"NOT A REQUEST\r\n\r\n");
        let sent = sent.and_then(|()| connection.write(&vec![b'b'; LARGE_BODY_BYTES]));
        Exchange::new(sent, connection.receive().as_ref())
    });
}

/// Guards against a response that is cut because its connection is closed with a line end of the caller
/// unread (RFC 9112, section 2.2).
#[test]
fn a_line_end_behind_the_last_request_of_a_connection_cuts_no_response() {
    let site = Site::new();
    site.upstream.set_behaviour(Behaviour::LargeBody(LARGE_RESPONSE_BYTES));
    site.assert_all_answered(&[200], |connection, id| {
        let lines = "Connection: close\r\nContent-Length: 2\r\n";
        let sent =
            connection.write(format!("{}ab\r\n", post_head("/charges/1", id, lines)).as_bytes());
        thread::sleep(READ_PAUSE);
        Exchange::new(sent, connection.receive().as_ref())
    });
}

/// Guards against a response that is cut because its caller has sent another request behind the last one of
/// the connection.
#[test]
fn a_request_behind_the_last_one_of_a_connection_cuts_no_response() {
    let site = Site::new();
    site.upstream.set_behaviour(Behaviour::LargeBody(LARGE_RESPONSE_BYTES));
    site.assert_all_answered(&[200], |connection, id| {
        let lines = "Connection: close\r\nContent-Length: 0\r\n";
        let behind = post_head("/charges/1", &format!("{id}-behind"), "Content-Length: 0\r\n");
        let first = post_head("/charges/1", id, lines);
        let sent = connection.write(format!("{first}{behind}").as_bytes());
        thread::sleep(READ_PAUSE);
        Exchange::new(sent, connection.receive().as_ref())
    });
}

fn assert_early_responses_whole(response_bytes: usize, after: AfterResponse) {
    let early = EarlyUpstream::new(response_bytes, after);
    let site = Site::with_upstream(UpstreamStandIn::new("u0"), early.address);
    let body = (Framing::Length, STREAMED_BODY_BYTES, BLOCK_PAUSE);
    site.assert_all_answered(&[200], |caller, id| send_then_read(caller, "/charges/1", id, body));
}

/// Guards against a response that is cut because the upstream sends it before it has read the body.
#[test]
fn a_response_that_an_upstream_sends_before_it_reads_the_body_is_whole() {
    assert_early_responses_whole(LARGE_RESPONSE_BYTES, AfterResponse::KeepOpen);
}

/// Guards against a response that is cut because the upstream closes its connection within the body.
#[test]
fn a_response_of_an_upstream_that_closes_before_it_reads_the_body_is_whole() {
    assert_early_responses_whole(BUFFERED_RESPONSE_BYTES, AfterResponse::Close);
}

/// Guards against the same for a response that is passed on as it arrives.
#[test]
fn a_large_response_of_an_upstream_that_closes_before_it_reads_the_body_is_whole() {
    assert_early_responses_whole(LARGE_RESPONSE_BYTES, AfterResponse::Close);
}

/// VMs of which the first is cut off from the upstream, so that another one serves its requests.
struct ForwardingSite {
    store: StoreStandIn,
    upstream: UpstreamStandIn,
    cluster: TestCluster,
    vms: Vec<Vm>,
}

impl ForwardingSite {
    fn new(vm_count: u8) -> Self {
        Self::with_early_upstream(vm_count, None)
    }

    /// Starts VMs whose upstream is one that responds early, if there is one.
    fn with_early_upstream(vm_count: u8, early: Option<&EarlyUpstream>) -> Self {
        let store = StoreStandIn::new().expect("a store");
        sedgepath::operations::peer_keys::rotate(store.address).expect("a key");
        configure(&store, "0000000c", "6000ms");
        let upstream = UpstreamStandIn::new("u0");
        let address = early.map_or(upstream.address, |early| early.address);
        upstream.register_at(address, &store, "north-a", "ready", 1);
        let cluster = TestCluster::new(store.address);
        if let Some(early) = early {
            early.cut_from(&[cluster.ipv4(1)]);
        }
        let start = |number| cluster.start_at_own_address(number, "north-a", &[]);
        let vms: Vec<Vm> = (1..=vm_count).map(start).collect();
        let known = format!("sedgepath_vms {vm_count}");
        for vm in &vms {
            wait_for("readiness", || vm.is_ready());
            wait_for("knowing the other VMs", || vm.metrics().contains(&known));
        }
        let site = Self { store, upstream, cluster, vms };
        site.upstream.cut_from(&[site.cluster.ipv4(1)], ClientCut::Reset);
        let mut number = 0;
        wait_for("noticing the cut", || {
            number += 1;
            site.request("GET", "/reads/1", &format!("cut-{number}"));
            site.vms[0].is_cut_off()
        });
        site
    }

    /// Sends a request to the VM that is cut off.
    fn request(&self, method: &str, path: &str, attempt_id: &str) -> Option<Response> {
        let mut connection = Connection::new(self.vms[0].caller_address)?;
        connection.send(method, path, attempt_id, DEADLINE_MS)?;
        connection.receive()
    }

    fn has_run(&self, attempt_id: &str) -> bool {
        let has_id = |id: &String| id == attempt_id;
        let runs = self.upstream.runs();
        runs.iter().any(|run| run.headers.get("x-sedgepath-attempt-id").is_some_and(has_id))
    }

    /// Sends a request whose VM begins its planned stop once the upstream has the request.
    fn request_during_a_stop(&self, method: &str, path: &str) -> Option<Response> {
        let id = "stopped";
        thread::scope(|scope| {
            let caller = scope.spawn(|| self.request(method, path, id));
            wait_for("the run", || self.has_run(id));
            self.vms[1].terminate();
            caller.join().expect("a caller")
        })
    }

    fn logs(&self) -> String {
        format!("{}\n{}", self.cluster.log(1), self.cluster.log(2))
    }
}

/// Guards against a body that is cut by the end of the VM that passes it on to another one.
#[test]
fn a_body_that_a_stopping_vm_sends_to_another_one_is_whole() {
    let site = ForwardingSite::new(2);
    let behaviour = Behaviour::SlowBody { bytes: LARGE_RESPONSE_BYTES, over_ms: 4_500 };
    site.upstream.set_behaviour(behaviour);
    let response = site.request_during_a_stop("GET", "/reads/1").expect("a response");
    let body_bytes = response.body.as_ref().map(Vec::len);
    assert_eq!((response.status, body_bytes), (200, Some(LARGE_RESPONSE_BYTES)), "{}", site.logs());
}

/// The time for which a VM is suspended: longer than another VM waits for connections when it stops.
const SUSPENSION: Duration = Duration::from_millis(3_700);

/// Guards against a response whose end a stopping VM holds in memory while another VM doesn't read it. Which
/// size leaves only the end there depends on the system's buffers.
#[test]
fn a_response_that_another_vm_reads_late_is_whole() {
    let sizes = (14..=19).map(|quarters| quarters * 250_000);
    let readers: Vec<_> = sizes.map(|bytes| thread::spawn(move || read_late(bytes))).collect();
    let results: Vec<_> = readers.into_iter().map(|it| it.join().expect("a reader")).collect();
    assert!(results.iter().all(|(_, is_whole)| *is_whole), "{results:?}");
}

/// Requests a response of a size in bytes by way of a VM that stops, and suspends the one that reads it.
fn read_late(bytes: usize) -> (usize, bool) {
    let site = ForwardingSite::new(2);
    site.upstream.set_behaviour(Behaviour::ByTarget);
    let path = format!("/reads/1?300,{bytes}");
    let response = thread::scope(|scope| {
        let caller = scope.spawn(|| site.request("GET", &path, "late"));
        wait_for("the run", || site.has_run("late"));
        site.vms[0].signal("-STOP");
        site.vms[1].terminate();
        thread::sleep(SUSPENSION);
        site.vms[0].signal("-CONT");
        caller.join().expect("a caller")
    });
    (bytes, response.is_some_and(|response| response.status == 200 && response.body.is_some()))
}

/// Guards against a forwarded request that is cut while its upstream works.
#[test]
fn a_forwarded_request_that_runs_long_is_completed_by_a_vm_that_stops() {
    let site = ForwardingSite::new(2);
    site.upstream.set_behaviour(Behaviour::DelayedByMs(4_500));
    let response = site.request_during_a_stop("POST", "/charges/1").expect("a response");
    assert_eq!(response.status, 200, "{}", site.logs());
}

/// Sends requests to the VM that is cut off while the second one stops; each is answered with success, or with
/// a rejection that is true. Returns how many succeeded, and how many were sent.
fn requests_during_a_stop(site: &mut ForwardingSite) -> (usize, usize) {
    site.upstream.set_behaviour(Behaviour::DelayedByMs(300));
    site.vms[1].terminate();
    let stop_at = Instant::now();
    let mut statuses = Vec::new();
    let address = site.vms[0].caller_address;
    while site.vms[1].exit_status().is_none() {
        assert!(stop_at.elapsed() < Duration::from_secs(8));
        let id = format!("d{}", statuses.len());
        statuses.push(thread::spawn(move || {
            let mut connection = Connection::new(address)?;
            connection.send("POST", "/charges/1", &id, DEADLINE_MS)?;
            Some((id, connection.receive()?.status))
        }));
        thread::sleep(REQUEST_INTERVAL);
    }
    let (mut served, sent) = (0, statuses.len());
    for (number, status) in statuses.into_iter().enumerate() {
        match status.join().expect("a caller") {
            Some((_, 200)) => served += 1,
            Some((id, 503)) => assert!(!site.has_run(&id), "{id} has run"),
            other => panic!("request {number}: {other:?}\n{}", site.logs()),
        }
    }
    (served, sent)
}

/// Guards against requests that are forwarded to a VM that is about to end, while another one serves.
#[test]
fn requests_are_forwarded_past_a_vm_that_stops() {
    let mut site = ForwardingSite::new(3);
    let (served, sent) = requests_during_a_stop(&mut site);
    assert!(sent > 20, "only {sent} were sent");
    let min_served = MIN_SERVED_SHARE * sent as f64;
    assert!(served as f64 >= min_served, "{served} of {sent}\n{}", site.logs());
}

/// Guards against requests that are lost because no VM is left that serves them.
#[test]
fn requests_are_rejected_while_the_only_vm_to_forward_to_stops() {
    let mut site = ForwardingSite::new(2);
    requests_during_a_stop(&mut site);
}

/// Guards against a rejection of another VM that is lost while this one sends it a body, so that the caller
/// is told that its request may have run.
#[test]
fn a_large_forwarded_request_that_is_rejected_is_said_not_to_have_run() {
    let site = ForwardingSite::new(2);
    let other = UpstreamStandIn::new("u1");
    other.register_for("other", &site.store, "north-a");
    other.cut_from(&[site.cluster.ipv4(1)], ClientCut::Reset);
    let known = "sedgepath_upstreams{state=\"known\"} 2";
    for vm in &site.vms {
        wait_for("knowing the other upstream", || vm.metrics().contains(known));
    }
    site.upstream.crash();
    assert_large_requests_answered(&site, MANY_CONNECTIONS, Duration::ZERO, 503);
}

/// Guards against a response that is cut because the other VM closes the connection while this one sends it
/// the request's body.
#[test]
fn a_response_that_an_upstream_of_another_vm_sends_before_it_reads_the_body_is_whole() {
    let early = EarlyUpstream::new(BUFFERED_RESPONSE_BYTES, AfterResponse::Close);
    let site = ForwardingSite::with_early_upstream(2, Some(&early));
    assert_large_requests_answered(&site, CONNECTIONS, BLOCK_PAUSE, 200);
}

/// Sends large requests, with a pause between the parts of a body, to the VM that is cut off, and asserts that
/// it passes the responses on.
fn assert_large_requests_answered(
    site: &ForwardingSite,
    connections: usize,
    pause: Duration,
    status: u16,
) {
    let body = (Framing::Length, STREAMED_BODY_BYTES, pause);
    let mut lost = Vec::new();
    for number in 0..connections {
        let mut connection = Connection::new(site.vms[0].caller_address).expect("a connection");
        let seen = send_then_read(&mut connection, "/charges/1", &format!("l{number}"), body);
        if seen.status != Some(status) || !seen.is_whole {
            lost.push((number, seen));
        }
    }
    assert!(lost.is_empty(), "{} of {connections}: {lost:?}\n{}", lost.len(), site.logs());
}
