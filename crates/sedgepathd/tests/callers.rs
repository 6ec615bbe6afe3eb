//! Tests the HTTP interface for callers over real connections.

use std::fs;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::thread;
use std::time::Duration;

use sedgepath_test_support::caller::{Call, CallFailure, Caller, Outcome};
use sedgepath_test_support::records::{self, UpstreamSpec};
use sedgepath_test_support::system::DaemonCluster;
use sedgepath_test_support::upstream::{Behaviour, UpstreamConfig, UpstreamStandIn};

/// One daemon with short limits, and one upstream.
struct TestSystem {
    upstream: UpstreamStandIn,
    system: DaemonCluster,
    callers: SocketAddr,
}

impl TestSystem {
    fn new() -> Self {
        let upstream = UpstreamStandIn::new(UpstreamConfig::new(8)).expect("upstream");
        let spec = UpstreamSpec::new("b1", "south-a", 8).with_address(upstream.addr());
        let records = records::one_service("browse", 5_000, &[spec], &["south-a"]);
        let system = DaemonCluster::new(Path::new(env!("CARGO_BIN_EXE_sedgepathd")))
            .expect("platform")
            .with_settings(
                "limits:\n  head_timeout_ms: 400\n  body_timeout_ms: 400\n  body_bytes: 1000\n",
            )
            .with_daemons(&records, &[("s1", "south-a")])
            .expect("daemon");
        let is_served = |entry, _| Caller::new([entry]).call(&get("/ready")).outcome == ANSWERED;
        assert!(system.wait_until_all_serve(is_served), "the daemon serves no requests");
        let callers = system.addresses[0].caller_address;
        Self { upstream, system, callers }
    }

    /// Sends raw bytes and returns what the daemon sends until it closes the connection or a read
    /// times out.
    fn send_raw(&self, bytes: &[u8]) -> String {
        let mut stream = TcpStream::connect(self.callers).expect("a connection");
        stream.set_read_timeout(Some(Duration::from_secs(2))).expect("a timeout");
        stream.write_all(bytes).expect("a write");
        let mut response = Vec::new();
        // A timeout is an error, but the bytes received before it are kept.
        let _timeout = stream.read_to_end(&mut response);
        String::from_utf8_lossy(&response).into_owned()
    }

    fn status_line(&self, request: &str) -> String {
        let response = self.send_raw(request.as_bytes());
        response.lines().next().unwrap_or("closed without a response").to_owned()
    }

    /// Reads a value of the daemon's `/proc/PID/status`, such as `Threads` or `VmHWM`.
    fn process_status(&self, name: &str) -> u64 {
        let daemon = self.system.daemons[0].as_ref().expect("a daemon");
        let status = fs::read_to_string(format!("/proc/{}/status", daemon.id())).expect("status");
        let line = status.lines().find(|line| line.starts_with(name)).expect("the line");
        line.split_whitespace().nth(1).and_then(|value| value.parse().ok()).expect("a number")
    }
}

fn get(path: &str) -> Call {
    Call::new("guest", "browse", &format!("/v1/call/browse{path}"))
}

/// Guards against invalid requests that reach an upstream, get an unclear status or keep the daemon
/// from serving the next valid request.
#[test]
fn invalid_requests_get_a_4xx_and_reach_no_upstream() {
    let system = TestSystem::new();
    let runs = system.upstream.runs().len();
    let close = "host: x\r\nconnection: close\r\n";
    let long = "x".repeat(64 * 1024);
    let requests = [
        format!("GET /elsewhere HTTP/1.1\r\n{close}\r\n"),
        format!("GET /v1/lookup HTTP/1.1\r\n{close}\r\n"),
        format!("POST /v1/lookup?service=browse HTTP/1.1\r\n{close}\r\n"),
        format!("GET /v1/lookup?service=none HTTP/1.1\r\n{close}\r\n"),
        format!("GET /v1/call/none/x HTTP/1.1\r\n{close}\r\n"),
        format!("GET /v1/call/browse/x HTTP/1.1\r\n{close}sedgepath-key: wrong\r\n\r\n"),
        format!("POST /v1/call/browse/x HTTP/1.1\r\n{close}content-length: 2000\r\n\r\n{long}"),
        format!("GET /v1/call/browse/x HTTP/1.1\r\n{close}x: {long}\r\n\r\n"),
        format!("POST /v1/call/browse/x HTTP/1.1\r\n{close}content-length: 9\r\n\r\nshort"),
        "nonsense\r\n\r\n".to_owned(),
    ];
    let statuses: Vec<_> = requests.iter().map(|request| system.status_line(request)).collect();
    expect_test::expect![[r#"
        [
            "HTTP/1.1 404 Not Found",
            "HTTP/1.1 400 Bad Request",
            "HTTP/1.1 405 Method Not Allowed",
            "HTTP/1.1 404 Not Found",
            "HTTP/1.1 404 Not Found",
            "HTTP/1.1 401 Unauthorized",
            "HTTP/1.1 413 Payload Too Large",
            "HTTP/1.1 431 Request Header Fields Too Large",
            "HTTP/1.1 408 Request Timeout",
            "HTTP/1.1 400 Bad Request",
        ]
    "#]]
    .assert_debug_eq(&statuses);
    assert_eq!(system.upstream.runs().len(), runs);
    assert_eq!(Caller::new([system.callers]).call(&get("/")).outcome, ANSWERED);
}

const ANSWERED: Outcome = Outcome::Answered { status: 200 };

/// The number of threads that the runtime may start by itself during the test.
const MAX_EXTRA_THREADS: u64 = 4;

/// Guards against idle connections and incomplete heads that each hold a thread, or that stay open
/// past the head timeout.
#[test]
fn idle_and_half_sent_connections_hold_no_thread() {
    let system = TestSystem::new();
    let max_threads = system.process_status("Threads") + MAX_EXTRA_THREADS;
    let mut idle: Vec<TcpStream> = (0..300)
        .map(|number| {
            let mut stream = TcpStream::connect(system.callers).expect("a connection");
            if number % 2 == 0 {
                stream.write_all(b"GET /v1/look").expect("a write");
            }
            stream
        })
        .collect();
    assert_eq!(Caller::new([system.callers]).call(&get("/")).outcome, ANSWERED);
    let threads = system.process_status("Threads");
    assert!(threads <= max_threads, "{threads} threads");
    for stream in &mut idle {
        stream.set_read_timeout(Some(Duration::from_secs(20))).expect("a timeout");
        let mut rest = Vec::new();
        stream.read_to_end(&mut rest).expect("the daemon closes the connection");
    }
}

/// Guards against a large response that arrives incomplete or is buffered in the daemon's memory.
#[test]
fn a_large_download_is_complete_and_not_buffered_in_memory() {
    const DOWNLOAD_BYTES: u64 = 100_000_000;
    const MAX_PEAK_KB: u64 = 60_000;
    let system = TestSystem::new();
    let call = get(&format!("/large/{DOWNLOAD_BYTES}"));
    let reply = Caller::new([system.callers]).call(&call);
    assert_eq!(reply.outcome, ANSWERED);
    assert_eq!(reply.length, DOWNLOAD_BYTES);
    let peak_kb = system.process_status("VmHWM");
    assert!(peak_kb < MAX_PEAK_KB, "the daemon's memory peaked at {peak_kb} kB");
}

/// Guards against a truncated response that a caller takes for a complete one, or that is mixed up
/// with the next response on the caller's connections.
#[test]
fn a_truncated_response_fails_visibly() {
    let system = TestSystem::new();
    let mut caller = Caller::new([system.callers]);
    for _ in 0..5 {
        system.upstream.set_next_behaviours(1, Behaviour::Truncate);
        let reply = caller.call(&get("/large/3000000"));
        assert!(
            matches!(reply.outcome, Outcome::Failed(CallFailure::IncompleteBody(_))),
            "{:?}",
            reply.outcome
        );
        assert_eq!(caller.call(&get("/large/30000")).outcome, ANSWERED);
    }
}

/// Guards against a new upstream connection for every request, a changed method or body, and
/// hop-by-hop header fields that are forwarded.
#[test]
fn connections_are_reused_and_methods_and_end_to_end_headers_forwarded() {
    let system = TestSystem::new();
    let mut caller = Caller::new([system.callers]);
    let before = system.upstream.counts().connections_opened;
    for number in 0..200 {
        let method = ["GET", "PUT", "POST", "DELETE", "PATCH"][number % 5];
        let call = get("/echo").with_method(method).with_body(format!("body {number}"));
        let reply = caller.call(&call);
        assert_eq!(reply.outcome, ANSWERED, "{method}");
        assert_eq!(&*reply.body, format!("body {number}").as_bytes());
    }
    let opened = system.upstream.counts().connections_opened - before;
    assert!(opened <= 1, "{opened} connections opened");
    let call = get("/headers")
        .with_header("x-guide", "welcome")
        .with_header("connection", "x-hop")
        .with_header("x-hop", "1");
    let fields = String::from_utf8(caller.call(&call).body.clone()).expect("text");
    assert!(fields.contains("welcome") && !fields.contains("x-hop"), "{fields}");
}

/// Guards against a lost content length or entity tag in the response to `HEAD`, and against a
/// range request that doesn't resume the download.
#[test]
fn head_requests_and_range_requests_are_forwarded() {
    let system = TestSystem::new();
    let mut caller = Caller::new([system.callers]);
    let head = caller.call(&get("/large/5000").with_method("HEAD"));
    assert_eq!(head.outcome, ANSWERED);
    let field = |name: &str| {
        let found = head.headers.iter().find(|(field, _)| &**field == name);
        found.map(|(_, value)| value.to_string()).unwrap_or_default()
    };
    assert_eq!(field("content-length"), "5000");
    let rest = get("/large/5000")
        .with_header("range", "bytes=2500-")
        .with_header("if-range", &field("etag"));
    let reply = caller.call(&rest);
    assert_eq!(reply.outcome, Outcome::Answered { status: 206 });
    assert_eq!(reply.length, 2500);
}

/// The size of what a caller sends in vain; it exceeds the buffers of a connection on which nothing is
/// read.
const LONG_BYTES: usize = 8 * 1024 * 1024;

/// The time that a caller takes after the first part of what it sends, in which the daemon responds.
const FIRST_PAUSE: Duration = Duration::from_millis(600);

/// The time that a caller takes after each further part.
const NEXT_PAUSE: Duration = Duration::from_millis(100);

/// Sends the parts of a request one after the other and reads afterwards. Returns the response, and how
/// each part was sent and the response was read.
fn send_parts(callers: SocketAddr, parts: &[&[u8]]) -> (Vec<u8>, Vec<io::Result<()>>) {
    let mut stream = TcpStream::connect(callers).expect("a connection");
    stream.set_read_timeout(Some(Duration::from_secs(5))).expect("a timeout");
    stream.set_write_timeout(Some(Duration::from_secs(5))).expect("a timeout");
    let mut results = Vec::new();
    for (index, part) in parts.iter().enumerate() {
        results.push(stream.write_all(part));
        thread::sleep(if index == 0 { FIRST_PAUSE } else { NEXT_PAUSE });
    }
    let mut response = Vec::new();
    results.push(stream.read_to_end(&mut response).map(|_bytes| ()));
    (response, results)
}

/// Returns the kinds of the errors among the results.
fn error_kinds(results: Vec<io::Result<()>>) -> Vec<io::ErrorKind> {
    results.into_iter().filter_map(Result::err).map(|error| error.kind()).collect()
}

/// Guards against an early response that is lost because the daemon closes the connection while the
/// caller, which reads afterwards, still sends.
#[test]
fn an_early_response_reaches_a_caller_that_sends_all_before_it_reads() {
    let system = TestSystem::new();
    let long = "x".repeat(LONG_BYTES);
    let too_long = &long[..64 * 1024];
    let body_bytes = too_long.len() + long.len();
    let post = "POST /v1/call/browse/x HTTP/1.1\r\nhost: x\r\n";
    let cases = [
        ("413", format!("{post}content-length: {body_bytes}\r\n\r\n{too_long}"), &*long),
        (
            "413",
            format!("{post}transfer-encoding: chunked\r\n\r\n{body_bytes:x}\r\n{too_long}"),
            &*long,
        ),
        ("408", format!("{post}content-length: 900\r\n\r\nshort"), "rest"),
        ("431", format!("{post}x: {too_long}"), &*long),
        ("400", "nonsense\r\n\r\n".to_owned(), &*long),
    ];
    let mut seen = Vec::new();
    for (expected_status, first, rest) in &cases {
        let (half, other_half) = rest.as_bytes().split_at(rest.len() / 2);
        let (response, results) = send_parts(system.callers, &[first.as_bytes(), half, other_half]);
        let status_line = format!("HTTP/1.1 {expected_status} ");
        let has_status = response.starts_with(status_line.as_bytes());
        seen.push((*expected_status, has_status, error_kinds(results)));
    }
    let expected: Vec<_> = cases.iter().map(|(status, _, _)| (*status, true, Vec::new())).collect();
    assert_eq!(seen, expected);
}

/// The size of a response that fits into the daemon's send buffer and not into the caller's receive
/// buffer.
const UNREAD_RESPONSE_BYTES: usize = 1_000_000;

/// Guards against a large response of which the caller gets only a part, because the daemon closes the
/// connection while later bytes of the caller are unread.
#[test]
fn the_last_response_of_a_connection_arrives_whole_with_bytes_behind_its_request() {
    let system = TestSystem::new();
    let request = |field: &str| {
        let target = format!("/v1/call/browse/large/{UNREAD_RESPONSE_BYTES}");
        format!("GET {target} HTTP/1.1\r\nhost: x\r\n{field}\r\n")
    };
    let (last, behind) = (request("connection: close\r\n"), request(""));
    let parts = [last.as_bytes(), behind.as_bytes(), behind.as_bytes()];
    let (response, results) = send_parts(system.callers, &parts);
    let head_bytes = response.windows(4).position(|bytes| bytes == b"\r\n\r\n").map(|at| at + 4);
    let body_bytes = head_bytes.map(|head_bytes| response.len() - head_bytes);
    assert_eq!((body_bytes, error_kinds(results)), (Some(UNREAD_RESPONSE_BYTES), Vec::new()));
}
