//! What callers may send and what they get back, over real connections.

use std::fs;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::time::Duration;

use sedgepath_test_support::caller::{Call, CallFailure, Caller, Outcome};
use sedgepath_test_support::records::{self, UpstreamSpec};
use sedgepath_test_support::system::System;
use sedgepath_test_support::upstream::{Behaviour, UpstreamFigures, UpstreamStandIn};

/// One daemon and one upstream, short limits.
struct Small {
    upstream: UpstreamStandIn,
    system: System,
    callers: SocketAddr,
}

impl Small {
    fn new() -> Self {
        let upstream = UpstreamStandIn::new(UpstreamFigures::new(8)).expect("upstream");
        let spec = UpstreamSpec::new("b1", "south-a", 8).with_address(upstream.addr());
        let records = records::one_service("browse", 5_000, &[spec], &["south-a"]);
        let system = System::new(Path::new(env!("CARGO_BIN_EXE_sedgepathd")))
            .expect("platform")
            .with_settings(
                "limits:\n  head_timeout_ms: 400\n  body_timeout_ms: 400\n  body_bytes: 1000\n",
            )
            .with_daemons(&records, &[("s1", "south-a")])
            .expect("daemon");
        let served = |entry, _| Caller::new([entry]).call(&get("/ready")).outcome == ANSWERED;
        assert!(system.all_serve(served), "the daemon serves nothing");
        let callers = system.addresses[0].callers;
        Self { upstream, system, callers }
    }

    /// Sends raw bytes and returns all that comes back until the daemon closes or stands still.
    fn raw(&self, bytes: &[u8]) -> String {
        let mut stream = TcpStream::connect(self.callers).expect("a connection");
        stream.set_read_timeout(Some(Duration::from_secs(2))).expect("a timeout");
        stream.write_all(bytes).expect("a write");
        let mut answer = Vec::new();
        // A connection that stands still ends with an error; what came before it counts.
        let _still = stream.read_to_end(&mut answer);
        String::from_utf8_lossy(&answer).into_owned()
    }

    fn status_of(&self, request: &str) -> String {
        let answer = self.raw(request.as_bytes());
        answer.lines().next().unwrap_or("closed without an answer").to_owned()
    }

    /// Reads a line of the daemon's status, such as `Threads` or `VmHWM`.
    fn process_figure(&self, name: &str) -> u64 {
        let daemon = self.system.daemons[0].as_ref().expect("a daemon");
        let status = fs::read_to_string(format!("/proc/{}/status", daemon.id())).expect("status");
        let line = status.lines().find(|line| line.starts_with(name)).expect("the figure");
        line.split_whitespace().nth(1).and_then(|value| value.parse().ok()).expect("a number")
    }
}

fn get(path: &str) -> Call {
    Call::new("guest", "browse", &format!("/v1/call/browse{path}"))
}

/// A caller sends requests that can't be served. Each gets a 4xx at once, none reaches an upstream,
/// and the next good request on a new connection is answered, so nothing was left behind.
#[test]
fn bad_requests_get_a_clear_answer_and_reach_no_upstream() {
    let small = Small::new();
    let runs = small.upstream.runs().len();
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
    let statuses: Vec<_> = requests.iter().map(|request| small.status_of(request)).collect();
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
    assert_eq!(small.upstream.runs().len(), runs);
    assert_eq!(Caller::new([small.callers]).call(&get("/")).outcome, ANSWERED);
}

const ANSWERED: Outcome = Outcome::Answered { status: 200 };

/// Threads that a runtime may start or end by itself meanwhile.
const FEW_THREADS: u64 = 4;

/// 300 callers connect and say nothing, or half a head. Each would hold a thread of a server with
/// one thread per connection; here the daemon's threads stay as they were, and the connections are
/// closed after the time that a head may take.
#[test]
fn idle_and_half_sent_connections_hold_no_thread() {
    let small = Small::new();
    let threads = small.process_figure("Threads") + FEW_THREADS;
    let mut idle: Vec<TcpStream> = (0..300)
        .map(|number| {
            let mut stream = TcpStream::connect(small.callers).expect("a connection");
            if number % 2 == 0 {
                stream.write_all(b"GET /v1/look").expect("a write");
            }
            stream
        })
        .collect();
    assert_eq!(Caller::new([small.callers]).call(&get("/")).outcome, ANSWERED);
    let now = small.process_figure("Threads");
    assert!(now <= threads, "{now} threads");
    for stream in &mut idle {
        stream.set_read_timeout(Some(Duration::from_secs(20))).expect("a timeout");
        let mut rest = Vec::new();
        stream.read_to_end(&mut rest).expect("the daemon closes the connection");
    }
}

/// A host fetches a guide of 100 MB. It arrives whole, checked against its offset byte by byte, and
/// the daemon, which passes it on in parts, has never held more than a small part of it.
#[test]
fn a_large_download_is_whole_and_never_held_in_memory() {
    const GUIDE_BYTES: u64 = 100_000_000;
    const MOST_KB: u64 = 60_000;
    let small = Small::new();
    let call = get(&format!("/large/{GUIDE_BYTES}"));
    let reply = Caller::new([small.callers]).call(&call);
    assert_eq!(reply.outcome, ANSWERED);
    assert_eq!(reply.length, GUIDE_BYTES);
    let peak_kb = small.process_figure("VmHWM");
    assert!(peak_kb < MOST_KB, "the daemon's memory peaked at {peak_kb} kB");
}

/// An upstream declares a length and closes halfway. The caller sees a visible failure and never a
/// short body as a whole one, nor the next answer as the rest of this one; its next request on the
/// same connection pool is answered.
#[test]
fn a_truncated_answer_fails_visibly() {
    let small = Small::new();
    let mut caller = Caller::new([small.callers]);
    for _ in 0..5 {
        small.upstream.behave_next(1, Behaviour::Truncate);
        let reply = caller.call(&get("/large/3000000"));
        assert!(
            matches!(reply.outcome, Outcome::Failed(CallFailure::NotWhole(_))),
            "{:?}",
            reply.outcome
        );
        assert_eq!(caller.call(&get("/large/30000")).outcome, ANSWERED);
    }
}

/// 200 requests over one connection of a caller, with all usual methods. Each is answered with its
/// own id and body, header fields of the connection itself are not passed on, and the upstream saw
/// no new connection for each request.
#[test]
fn connections_are_kept_and_methods_and_fields_passed_on() {
    let small = Small::new();
    let mut caller = Caller::new([small.callers]);
    let before = small.upstream.counts().connections_opened;
    for number in 0..200 {
        let method = ["GET", "PUT", "POST", "DELETE", "PATCH"][number % 5];
        let call = get("/echo").with_method(method).with_body(format!("body {number}"));
        let reply = caller.call(&call);
        assert_eq!(reply.outcome, ANSWERED, "{method}");
        assert_eq!(&*reply.body, format!("body {number}").as_bytes());
    }
    let opened = small.upstream.counts().connections_opened - before;
    assert!(opened <= 1, "{opened} connections opened");
    let call = get("/headers")
        .with_header("x-guide", "welcome")
        .with_header("connection", "x-hop")
        .with_header("x-hop", "1");
    let fields = String::from_utf8(caller.call(&call).body.clone()).expect("text");
    assert!(fields.contains("welcome") && !fields.contains("x-hop"), "{fields}");
}

/// A caller asks for the head of a guide only. It gets the guide's length and entity tag without a
/// body, and then fetches the second half by a range on that tag, as after a broken download.
#[test]
fn a_download_can_be_measured_and_resumed() {
    let small = Small::new();
    let mut caller = Caller::new([small.callers]);
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
