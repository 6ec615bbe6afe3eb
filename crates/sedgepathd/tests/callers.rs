//! Tests the HTTP interface for callers over real connections.

use std::fs;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
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
