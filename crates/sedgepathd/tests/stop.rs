//! Tests the planned stop of a daemon by SIGTERM.

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};

use sedgepath_test_support::caller::{Call, Caller, Outcome};
use sedgepath_test_support::cut_responses::RawResponse;
use sedgepath_test_support::daemon::Signal;
use sedgepath_test_support::records::{self, UpstreamSpec};
use sedgepath_test_support::system::DaemonCluster;
use sedgepath_test_support::upstream::{Behaviour, UpstreamConfig, UpstreamStandIn};

/// The index of the daemon in the failure domain without an upstream.
const INGRESS: usize = 0;

/// The index of the daemon in the upstream's failure domain, which owns the upstream.
const OWNER: usize = 1;

/// The number of slow requests, and of requests sent after the signal.
const REQUEST_COUNT: usize = 20;

/// The time by which the upstream delays its response to a slow request.
const RESPONSE_DELAY_MS: u64 = 2_000;

/// The time allowed for the slow requests to reach the upstream.
const REQUEST_ARRIVAL_TIME: Duration = Duration::from_millis(700);

/// The time between two connections that tell whether a daemon still accepts any.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

const ANSWERED: Outcome = Outcome::Answered { status: 200 };

fn get(path: &str) -> Call {
    Call::new("guest", "browse", &format!("/v1/call/browse{path}"))
}

fn is_answered(entry: SocketAddr, path: &str) -> bool {
    Caller::new([entry]).call(&get(path)).outcome == ANSWERED
}

/// Stops one daemon while slow requests through both are in flight. Checks that the slow requests,
/// and new requests to the stopping daemon, are answered, and that its process exits with success.
fn stop_under_load(daemon_index: usize) {
    let upstream = UpstreamStandIn::new(UpstreamConfig::new(40)).expect("upstream");
    let spec = UpstreamSpec::new("b1", "south-a", 40).with_address(upstream.addr());
    let records = records::one_service("browse", 10_000, &[spec], &["south-a"]);
    let system = DaemonCluster::new(Path::new(env!("CARGO_BIN_EXE_sedgepathd"))).expect("platform");
    let system = system.with_daemons(&records, &[("n1", "north-a"), ("s1", "south-a")]);
    let mut system = system.expect("daemons");
    assert!(
        system.wait_until_all_serve(|entry, _| is_answered(entry, "/ready")),
        "a daemon answered no request before the stop"
    );
    let entries = system.caller_addresses();

    upstream.set_behaviour(Behaviour::DelayResponse { delay_ms: RESPONSE_DELAY_MS });
    let in_flight: Vec<_> = (0..REQUEST_COUNT)
        .map(|number| {
            let entry = entries[number % 2];
            thread::spawn(move || is_answered(entry, &format!("/large/{}", 100_000 + number)))
        })
        .collect();
    thread::sleep(REQUEST_ARRIVAL_TIME);
    // Requests that reached the upstream keep their delay.
    upstream.set_behaviour(Behaviour::Normal);
    let daemon = system.daemons[daemon_index].as_mut().expect("the daemon is running");
    daemon.signal(Signal::Term).expect("SIGTERM is sent");
    let answered_while_stopping =
        (0..REQUEST_COUNT).filter(|_| is_answered(entries[daemon_index], "/cached")).count();
    let answered_in_flight =
        in_flight.into_iter().filter_map(|caller| caller.join().ok()).filter(|ok| *ok);
    assert_eq!(
        (answered_in_flight.count(), answered_while_stopping),
        (REQUEST_COUNT, REQUEST_COUNT)
    );
    let exit_status = daemon
        .wait_until(Instant::now() + Duration::from_mins(1))
        .expect("the process can be waited for");
    assert!(exit_status.is_some_and(|status| status.success()), "{exit_status:?}");
}

/// Guards against requests that fail when a daemon that only accepts and forwards them stops.
#[test]
fn stopping_an_ingress_aborts_no_request() {
    stop_under_load(INGRESS);
}

/// Guards against requests that fail when the daemon that owns their upstream stops. That daemon
/// also accepts half of the slow requests.
#[test]
fn stopping_an_owner_aborts_no_request() {
    stop_under_load(OWNER);
}

/// Guards against a connection that a stopping daemon closes before its first request.
#[test]
fn a_connection_opened_before_the_stop_is_answered() {
    let upstream = UpstreamStandIn::new(UpstreamConfig::new(40)).expect("upstream");
    let spec = UpstreamSpec::new("b1", "south-a", 40).with_address(upstream.addr());
    let records = records::one_service("browse", 10_000, &[spec], &["south-a"]);
    let system = DaemonCluster::new(Path::new(env!("CARGO_BIN_EXE_sedgepathd"))).expect("platform");
    let mut system = system.with_daemons(&records, &[("s1", "south-a")]).expect("a daemon");
    assert!(system.wait_until_all_serve(|entry, _| is_answered(entry, "/ready")));
    let address = system.caller_addresses()[0];
    let mut connection = TcpStream::connect(address).expect("a connection");
    connection.set_read_timeout(Some(Duration::from_secs(5))).expect("a time-out");

    system.daemons[0].as_mut().expect("a daemon").signal(Signal::Term).expect("SIGTERM is sent");
    while TcpStream::connect(address).is_ok() {
        thread::sleep(POLL_INTERVAL);
    }
    connection.write_all(b"GET /none HTTP/1.1\r\nHost: vm\r\n\r\n").expect("the request is sent");
    let mut response = String::new();
    connection.read_to_string(&mut response).expect("a response and the end of the connection");

    assert!(response.starts_with("HTTP/1.1 404 "), "{response:?}");
}

/// The time from the signal to a request, shortly before a stopping daemon rejects new ones.
const LATE_REQUEST_TIME: Duration = Duration::from_secs(7);

/// The time that a request takes at its upstream: longer than the stop lasts without it.
const LONG_WORK_MS: u64 = 6_000;

/// One daemon and its upstream, on which a stop is tested.
struct OneDaemon {
    upstream: UpstreamStandIn,
    system: DaemonCluster,
    address: SocketAddr,
}

impl OneDaemon {
    fn new() -> Self {
        let upstream = UpstreamStandIn::new(UpstreamConfig::new(40)).expect("upstream");
        let spec = UpstreamSpec::new("b1", "south-a", 40).with_address(upstream.addr());
        let records = records::one_service("browse", 20_000, &[spec], &["south-a"]);
        let system =
            DaemonCluster::new(Path::new(env!("CARGO_BIN_EXE_sedgepathd"))).expect("platform");
        let system = system.with_daemons(&records, &[("s1", "south-a")]).expect("a daemon");
        assert!(system.wait_until_all_serve(|entry, _| is_answered(entry, "/ready")));
        let address = system.caller_addresses()[0];
        Self { upstream, system, address }
    }

    fn connect(&self) -> TcpStream {
        let connection = TcpStream::connect(self.address).expect("a connection");
        connection.set_read_timeout(Some(Duration::from_secs(20))).expect("a time-out");
        connection
    }

    fn signal(&mut self) {
        self.system.daemons[0].as_mut().expect("a daemon").signal(Signal::Term).expect("SIGTERM");
    }

    fn wait_until_it_accepts_no_connection(&self) {
        while TcpStream::connect(self.address).is_ok() {
            thread::sleep(POLL_INTERVAL);
        }
    }

    fn has_run(&self, path: &str) -> bool {
        self.upstream.runs().iter().any(|run| run.request.ends_with(path))
    }
}

/// Returns a request for a path of the service.
fn raw_get(path: &str) -> Vec<u8> {
    format!("GET /v1/call/browse{path} HTTP/1.1\r\nHost: vm\r\nsedgepath-timeout-ms: 15000\r\n\r\n")
        .into_bytes()
}

/// Reads to the end of the connection and returns the response's head, the length of its body, and the
/// error that ended the connection.
fn read_response(connection: &mut TcpStream) -> (String, usize, Option<ErrorKind>) {
    let mut response = Vec::new();
    let error = connection.read_to_end(&mut response).err().map(|error| error.kind());
    let head_end = response.windows(4).position(|bytes| bytes == b"\r\n\r\n");
    let head_bytes = head_end.map_or(response.len(), |at| at + 4);
    let head = String::from_utf8_lossy(&response[..head_bytes]).into_owned();
    (head, response.len() - head_bytes, error)
}

/// Guards against a request that is cut because its upstream works for longer than the stop lasts.
#[test]
fn a_request_late_in_the_stop_is_answered_though_its_upstream_works_for_long() {
    let mut daemon = OneDaemon::new();
    daemon.upstream.set_behaviour(Behaviour::DelayResponse { delay_ms: LONG_WORK_MS });
    let mut connection = daemon.connect();

    daemon.signal();
    thread::sleep(LATE_REQUEST_TIME);
    connection.write_all(&raw_get("/late")).expect("the request is sent");
    let (head, _, error) = read_response(&mut connection);

    assert!(daemon.has_run("/late"));
    assert!(head.starts_with("HTTP/1.1 200 ") && error.is_none(), "{head} {error:?}");
}

/// Guards against a request that runs at an upstream and whose caller is told that it was not run,
/// because a second signal ends the daemon at once.
#[test]
fn a_second_signal_tells_no_caller_that_a_running_request_was_not_run() {
    let mut daemon = OneDaemon::new();
    daemon.upstream.set_behaviour(Behaviour::DelayResponse { delay_ms: LONG_WORK_MS });
    let mut connection = daemon.connect();

    connection.write_all(&raw_get("/running")).expect("the request is sent");
    while !daemon.has_run("/running") {
        thread::sleep(POLL_INTERVAL);
    }
    daemon.signal();
    thread::sleep(POLL_INTERVAL);
    daemon.signal();
    let (head, _, _) = read_response(&mut connection);

    assert!(!head.contains("sedgepath-outcome: not_run"), "{head}");
    let log = daemon.system.daemons[0].as_ref().expect("a daemon").output().expect("its output");
    assert!(log.contains("event=gave_up request=\"none\" reason=process_ended"), "{log}");
}

/// The size of a response that fits into the daemon's send buffer and not into the caller's receive
/// buffer.
const UNREAD_RESPONSE_BYTES: usize = 1_000_000;

/// Guards against a response of which the caller gets only a part, because the next request reaches the
/// connection after the stop has closed it.
#[test]
fn a_response_arrives_whole_though_a_request_crosses_the_end_of_its_connection() {
    let mut daemon = OneDaemon::new();
    let mut connection = daemon.connect();

    daemon.signal();
    thread::sleep(LATE_REQUEST_TIME);
    let path = format!("/large/{UNREAD_RESPONSE_BYTES}");
    connection.write_all(&raw_get(&path)).expect("the request is sent");
    daemon.wait_until_it_accepts_no_connection();
    thread::sleep(POLL_INTERVAL);
    // The caller can't know of the end before it has read the response.
    let _sent = connection.write_all(&raw_get("/next"));
    thread::sleep(POLL_INTERVAL);
    let (head, body_bytes, error) = read_response(&mut connection);

    assert!(head.starts_with("HTTP/1.1 200 "), "{head}");
    assert_eq!((body_bytes, error), (UNREAD_RESPONSE_BYTES, None));
}

/// The size of a response that doesn't fit into the buffers between a daemon and a caller by way of
/// another daemon.
const FORWARDED_RESPONSE_BYTES: usize = 20_000_000;

/// The bytes that a slow caller reads at once.
const SLOW_READ_BYTES: usize = 50_000;

/// The time between two reads of a slow caller.
const SLOW_READ_INTERVAL: Duration = Duration::from_millis(50);

/// Reads slowly to the end of the connection or the expected number of bytes; returns the bytes read.
fn read_slowly(connection: &mut TcpStream, expected_bytes: usize) -> usize {
    let mut chunk = vec![0; SLOW_READ_BYTES];
    let mut total_bytes = 0;
    while total_bytes < expected_bytes {
        let Ok(bytes @ 1..) = connection.read(&mut chunk) else { break };
        total_bytes += bytes;
        thread::sleep(SLOW_READ_INTERVAL);
    }
    total_bytes
}

/// Guards against a response to another daemon that is cut by the end of the process, because only the
/// responses to callers are waited for.
#[test]
fn a_response_that_a_stopping_owner_sends_to_an_ingress_is_whole() {
    let upstream = UpstreamStandIn::new(UpstreamConfig::new(40)).expect("upstream");
    let spec = UpstreamSpec::new("b1", "south-a", 40).with_address(upstream.addr());
    let records = records::one_service("browse", 10_000, &[spec], &["south-a"]);
    let system = DaemonCluster::new(Path::new(env!("CARGO_BIN_EXE_sedgepathd"))).expect("platform");
    let system = system.with_settings("timing: {look_up_valid_ms: 100}\n");
    let system = system.with_daemons(&records, &[("n1", "north-a"), ("s1", "south-a")]);
    let mut system = system.expect("daemons");
    assert!(system.wait_until_all_serve(|entry, _| is_answered(entry, "/ready")));
    let mut connection =
        TcpStream::connect(system.caller_addresses()[INGRESS]).expect("connection");
    connection.set_read_timeout(Some(Duration::from_secs(20))).expect("a time-out");

    let request = format!(
        "GET /v1/call/browse/large/{FORWARDED_RESPONSE_BYTES} HTTP/1.1\r\nHost: vm\r\n\r\n"
    );
    connection.write_all(request.as_bytes()).expect("the request is sent");
    connection.peek(&mut [0]).expect("a response");
    system.daemons[OWNER].as_mut().expect("a daemon").signal(Signal::Term).expect("SIGTERM");
    let read_bytes = read_slowly(&mut connection, FORWARDED_RESPONSE_BYTES);

    assert!(read_bytes >= FORWARDED_RESPONSE_BYTES, "{read_bytes}");
}

/// Sends a request whose response is larger than the buffers between the daemon and the caller, and waits
/// until it begins.
fn begin_large_response(connection: &mut TcpStream, request_id: &str) {
    let request = format!(
        "GET /v1/call/browse/large/{FORWARDED_RESPONSE_BYTES} HTTP/1.1\r\nHost: vm\r\n\
         sedgepath-request-id: {request_id}\r\n\r\n"
    );
    connection.write_all(request.as_bytes()).expect("the request is sent");
    connection.peek(&mut [0]).expect("a response");
}

/// Waits until the process of a daemon has ended, and returns its log.
fn wait_for_end(system: &mut DaemonCluster, daemon_index: usize) -> Box<str> {
    let daemon = system.daemons[daemon_index].as_mut().expect("the daemon is running");
    let exit_status = daemon
        .wait_until(Instant::now() + Duration::from_mins(1))
        .expect("the process can be waited for");
    assert!(exit_status.is_some_and(|status| status.success()), "{exit_status:?}");
    daemon.output().expect("its output")
}

/// Guards against a response that the end of the process cuts and no line of the log names, and against
/// such a line for a response whose caller has left or has it whole.
#[test]
fn a_response_that_the_end_of_the_process_cuts_is_logged() {
    let mut daemon = OneDaemon::new();
    let mut unread = daemon.connect();
    let mut left = daemon.connect();
    let mut read = daemon.connect();

    begin_large_response(&mut unread, "unread");
    begin_large_response(&mut left, "left");
    begin_large_response(&mut read, "read");
    daemon.signal();
    thread::sleep(POLL_INTERVAL);
    // The second signal ends the node, which waits for callers that don't read.
    daemon.signal();
    drop(left);
    let whole = read.read_to_end(&mut Vec::new()).is_ok();
    let log = wait_for_end(&mut daemon.system, 0);

    let cut: Vec<_> = log.lines().filter(|line| line.contains("event=response_cut")).collect();
    assert_eq!(cut, ["level=info event=response_cut request=\"unread\""], "{log}");
    assert!(whole);
    let (_, body_bytes, _) = read_response(&mut unread);
    assert!(body_bytes < FORWARDED_RESPONSE_BYTES, "{body_bytes}");
}

/// Returns the lines of a log with one of the events.
fn lines_of<'a>(log: &'a str, events: &[&str]) -> Vec<&'a str> {
    let has_event = |line: &&str| line.split(' ').any(|field| events.contains(&field));
    log.lines().filter(has_event).collect()
}

/// Guards against a stop whose log doesn't tell what it waits for and what it cuts.
#[test]
fn the_log_of_a_stop_counts_what_is_open() {
    let upstream = UpstreamStandIn::new(UpstreamConfig::new(40)).expect("upstream");
    let spec = UpstreamSpec::new("b1", "south-a", 40).with_address(upstream.addr());
    let records = records::one_service("browse", 10_000, &[spec], &["south-a"]);
    let system = DaemonCluster::new(Path::new(env!("CARGO_BIN_EXE_sedgepathd"))).expect("platform");
    let system = system.with_daemons(&records, &[("n1", "north-a"), ("s1", "south-a")]);
    let mut system = system.expect("daemons");
    assert!(system.wait_until_all_serve(|entry, _| is_answered(entry, "/ready")));
    let connect =
        |index: usize| TcpStream::connect(system.caller_addresses()[index]).expect("a connection");
    let (mut by_ingress, mut by_owner, mut read) =
        (connect(INGRESS), connect(OWNER), connect(OWNER));

    begin_large_response(&mut by_ingress, "by-ingress");
    begin_large_response(&mut by_owner, "by-owner");
    begin_large_response(&mut read, "read");
    let daemon = system.daemons[OWNER].as_mut().expect("a daemon");
    daemon.signal(Signal::Term).expect("SIGTERM is sent");
    thread::sleep(POLL_INTERVAL);
    // The second signal ends the node, which waits for callers that don't read.
    daemon.signal(Signal::Term).expect("SIGTERM is sent");
    read.read_to_end(&mut Vec::new()).expect("a response and the end of the connection");
    drop(read);
    let log = wait_for_end(&mut system, OWNER);

    assert_eq!(
        lines_of(&log, &["event=draining", "event=connections_cut"]),
        [
            "level=info event=draining connections=2 peer_requests=1",
            "level=warn event=connections_cut connections=1 peer_requests=1",
        ],
        "{log}"
    );
}

/// Guards against requests that the end of an owner's process ends, in their response or at work, and that no line of
/// the owner's or of the ingress's log names.
#[test]
fn dispatched_requests_that_the_end_of_an_owner_ends_are_logged() {
    const LONGER_THAN_THE_DRAIN_MS: u64 = 9_000;
    let upstream = UpstreamStandIn::new(UpstreamConfig::new(40)).expect("upstream");
    let spec = UpstreamSpec::new("b1", "south-a", 40).with_address(upstream.addr());
    let records = records::one_service("browse", 20_000, &[spec], &["south-a"]);
    let system = DaemonCluster::new(Path::new(env!("CARGO_BIN_EXE_sedgepathd"))).expect("platform");
    let system = system.with_daemons(&records, &[("n1", "north-a"), ("s1", "south-a")]);
    let mut system = system.expect("daemons");
    assert!(system.wait_until_all_serve(|entry, _| is_answered(entry, "/ready")));
    let connect = || TcpStream::connect(system.caller_addresses()[INGRESS]).expect("a connection");
    let (mut unread, mut at_work) = (connect(), connect());

    begin_large_response(&mut unread, "unread");
    upstream.set_behaviour(Behaviour::DelayResponse { delay_ms: LONGER_THAN_THE_DRAIN_MS });
    let request = "POST /v1/call/browse/at-work HTTP/1.1\r\nHost: vm\r\nContent-Length: 0\r\n\
                   sedgepath-timeout-ms: 15000\r\nsedgepath-request-id: at-work\r\n\r\n";
    at_work.write_all(request.as_bytes()).expect("the request is sent");
    while !upstream.runs().iter().any(|run| run.request.ends_with("/at-work")) {
        thread::sleep(POLL_INTERVAL);
    }
    let daemon = system.daemons[OWNER].as_mut().expect("a daemon");
    daemon.signal(Signal::Term).expect("SIGTERM is sent");
    thread::sleep(POLL_INTERVAL);
    daemon.signal(Signal::Term).expect("SIGTERM is sent");
    let log = wait_for_end(&mut system, OWNER);
    at_work.peek(&mut [0]).expect("a response");

    let cut = lines_of(&log, &["event=response_cut"]);
    assert_eq!(cut, ["level=info event=response_cut request=\"unread\""], "{log}");
    let log = system.daemons[INGRESS].as_ref().expect("a daemon").output().expect("its output");
    let given_up = lines_of(&log, &["event=gave_up"]);
    let expected = "level=info event=gave_up request=\"at-work\" reason=response_lost ";
    assert!(matches!(*given_up, [line] if line.starts_with(expected)), "{log}");
}

/// The time that each request takes at its upstream while two daemons stop.
const SIDE_BY_SIDE_WORK_MS: u64 = 4_000;

/// The time between two requests to daemons that stop side by side.
const SIDE_BY_SIDE_INTERVAL: Duration = Duration::from_millis(50);

/// The requests that are sent before the signal, of all.
const SENT_BEFORE_STOP: usize = 30;

/// The requests that are sent, the last ones after the daemons reject new work.
const SENT_SIDE_BY_SIDE: usize = 240;

/// A request to a daemon that stops, and its response; none if its connection was refused.
struct SideBySideRequest {
    line: String,
    has_key: bool,
    response: Option<RawResponse>,
}

/// Sends a request: every third one a read, a charge and a charge with a key, each to both daemons.
fn send_side_by_side(entries: &[SocketAddr], number: usize) -> SideBySideRequest {
    let (method, has_key) = [("GET", false), ("POST", false), ("POST", true)][number / 2 % 3];
    let key = if has_key { format!("idempotency-key: k{number}\r\n") } else { String::new() };
    let request = format!(
        "{method} /v1/call/browse/work/{number} HTTP/1.1\r\nHost: vm\r\nsedgepath-key: porch-key\r\n\
         sedgepath-timeout-ms: 15000\r\nsedgepath-attempt: 1\r\n{key}Connection: close\r\n\
         Content-Length: 0\r\n\r\n"
    );
    let response = RawResponse::read(entries[number % 2], request.as_bytes()).ok();
    SideBySideRequest { line: format!("{method} /work/{number}"), has_key, response }
}

/// Stops an ingress and an owner side by side, beside further daemons that own the rest, while requests are sent to
/// both. Checks that each request that ran has its upstream's response, and each other one is rejected as not run.
fn stop_side_by_side(daemons: &[(&str, &str)]) {
    let upstreams: Vec<_> =
        (0..4).map(|_| UpstreamStandIn::new(UpstreamConfig::new(60)).expect("upstream")).collect();
    let spec = |(number, upstream): (usize, &UpstreamStandIn)| {
        UpstreamSpec::new(&format!("b{number}"), "south-a", 60).with_address(upstream.addr())
    };
    let specs: Vec<_> = upstreams.iter().enumerate().map(spec).collect();
    let records = records::one_service("browse", 20_000, &specs, &["south-a"]);
    let system = DaemonCluster::new(Path::new(env!("CARGO_BIN_EXE_sedgepathd"))).expect("platform");
    let mut system = system.with_daemons(&records, daemons).expect("daemons");
    assert!(system.wait_until_all_serve(|entry, _| is_answered(entry, "/ready")));
    for upstream in &upstreams {
        upstream.set_behaviour(Behaviour::DelayResponse { delay_ms: SIDE_BY_SIDE_WORK_MS });
    }
    let entries = system.caller_addresses();

    let requests: Vec<_> = thread::scope(|scope| {
        let mut callers = Vec::new();
        for number in 0..SENT_SIDE_BY_SIDE {
            if number == SENT_BEFORE_STOP {
                for index in [INGRESS, OWNER] {
                    let daemon = system.daemons[index].as_mut().expect("a daemon");
                    daemon.signal(Signal::Term).expect("SIGTERM is sent");
                }
            }
            let entries = &entries;
            callers.push(scope.spawn(move || send_side_by_side(entries, number)));
            thread::sleep(SIDE_BY_SIDE_INTERVAL);
        }
        callers.into_iter().map(|caller| caller.join().expect("a caller")).collect()
    });
    let logs = [wait_for_end(&mut system, INGRESS), wait_for_end(&mut system, OWNER)];

    let runs: Vec<_> = upstreams.iter().flat_map(UpstreamStandIn::runs).collect();
    let mut counts = [0; 3];
    let mut violations = Vec::new();
    for SideBySideRequest { line, has_key, response } in &requests {
        let run_count = runs.iter().filter(|run| *run.request == **line).count();
        let status = response.as_ref().map(|response| response.status);
        let is_whole = response.as_ref().is_some_and(|response| response.whole_body.is_some());
        let is_sound = match status {
            Some(200) => is_whole && (run_count == 1 || (line.starts_with("GET") && run_count > 1)),
            Some(503) => is_whole && run_count == 0,
            // A connection that isn't accepted.
            None => run_count == 0,
            _ => false,
        };
        let index = [Some(200), Some(503), None].iter().position(|expected| *expected == status);
        if let Some(index) = index {
            counts[index] += 1;
        }
        if !is_sound {
            let head = response.as_ref().map(|response| &response.head);
            violations.push(format!("{line} key {has_key}: {run_count} runs, {status:?} {head:?}"));
        }
    }
    println!("{} requests: served, rejected, refused {counts:?}", requests.len());
    assert!(violations.is_empty(), "{counts:?}, {}: {violations:#?}", violations.len());
    assert!(counts[0] >= SENT_BEFORE_STOP, "{counts:?}");
    for log in logs {
        for ended in ["event=gave_up", "event=response_cut", "event=connections_cut"] {
            assert!(!log.contains(ended), "{log}");
        }
    }
}

/// Guards against reads and charges at work that end without their upstream's response when the ingress that
/// accepted them and the only owner stop at once.
#[test]
fn stopping_an_ingress_and_the_only_owner_at_once_ends_no_request() {
    stop_side_by_side(&[("n1", "north-a"), ("s1", "south-a")]);
}

/// Guards against reads and charges that run twice or end without their upstream's response while another owner takes
/// over.
#[test]
fn stopping_an_ingress_and_one_of_two_owners_at_once_ends_no_request() {
    stop_side_by_side(&[("n1", "north-a"), ("s1", "south-a"), ("s2", "south-a")]);
}
