//! Responses of upstreams that end after each of their bytes, at callers of VMs that own upstreams.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::Duration;

use sedgepath_test_support::cut_responses::{ConnectionEnd, CuttingServer, RawResponse};
use sedgepath_test_support::daemon::Signal;
use sedgepath_test_support::records::{self, UpstreamSpec};
use sedgepath_test_support::system::DaemonCluster;

/// The threads that send requests.
const CALLERS: usize = 24;

/// The upstreams in the records, all at the same address: one that can't be reached leaves others.
const UPSTREAMS: usize = 40;

/// The concurrent requests that each upstream takes.
const SLOTS: u32 = 16;

/// The sendings of a request that hasn't reached the upstream.
const MAX_SENDINGS: usize = 10;

struct Shape {
    name: &'static str,
    response: Vec<u8>,
    /// The body of the whole response; `None` if its end can't be told from a failure.
    body: Option<&'static [u8]>,
}

fn shape(name: &'static str, fields: &str, sent: &str, body: Option<&'static [u8]>) -> Shape {
    let response = format!("HTTP/1.1 200 OK\r\n{fields}\r\n{sent}").into_bytes();
    Shape { name, response, body }
}

fn shapes() -> Vec<Shape> {
    let text = "hello world";
    let body: Option<&[u8]> = Some(b"hello world");
    let chunks = "5\r\nhello\r\n6\r\n world\r\n0\r\n\r\n";
    let with_trailers = "5\r\nhello\r\n6\r\n world\r\n0\r\nX-T: 1\r\n\r\n";
    let mut informational = shape("informational", "Content-Length: 11\r\n", text, body);
    informational
        .response
        .splice(0..0, *b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nX: y\r\n\r\n");
    vec![
        shape("content_length", "Content-Length: 11\r\n", text, body),
        shape("chunked", "Transfer-Encoding: chunked\r\n", chunks, body),
        shape("trailers", "Transfer-Encoding: chunked\r\nTrailer: X-T\r\n", with_trailers, body),
        shape("no_length", "", text, None),
        shape(
            "length_and_other_coding",
            "Content-Length: 11\r\nTransfer-Encoding: x\r\n",
            text,
            None,
        ),
        shape("other_coding", "Transfer-Encoding: x\r\n", text, None),
        shape("chunked_and_other_coding", "Transfer-Encoding: chunked, x\r\n", chunks, None),
        informational,
    ]
}

/// A kind of request: whether it may run twice, and whether its response is stored for repeats.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Kind {
    method: &'static str,
    has_key: bool,
}

const KINDS: [Kind; 4] = [
    Kind { method: "GET", has_key: false },
    Kind { method: "POST", has_key: false },
    Kind { method: "PUT", has_key: true },
    Kind { method: "POST", has_key: true },
];

impl Kind {
    fn may_run_twice(self) -> bool {
        self.method == "GET" && !self.has_key
    }
}

/// An upstream and two VMs, the second of which owns it.
struct TestSystem {
    upstream: CuttingServer,
    _cluster: DaemonCluster,
    entries: Vec<SocketAddr>,
}

impl TestSystem {
    fn new(shapes: Vec<Vec<u8>>) -> Self {
        let warm = format!("/0/{}/kept/warm", shapes[0].len());
        let upstream = CuttingServer::new(shapes).expect("an upstream");
        let cluster = start_cluster(upstream.address, &warm);
        let entries = cluster.caller_addresses();
        Self { upstream, _cluster: cluster, entries }
    }
}

/// Starts the VMs of an upstream and waits until both serve a target.
fn start_cluster(upstream: SocketAddr, ready_target: &str) -> DaemonCluster {
    let specs: Vec<_> = (0..UPSTREAMS)
        .map(|number| {
            let name = format!("u{number}");
            UpstreamSpec::new(&name, "south-a", SLOTS).with_address(upstream)
        })
        .collect();
    let records = records::one_service("browse", 3_000, &specs, &["south-a"]);
    let cluster = DaemonCluster::new(Path::new(env!("CARGO_BIN_EXE_sedgepathd")))
        .expect("a store")
        .with_daemons(&records, &[("n1", "north-a"), ("s1", "south-a")])
        .expect("daemons");
    let serves = |entry, _| call(entry, "HTTP/1.1", KINDS[0], ready_target, "").status == 200;
    assert!(cluster.wait_until_all_serve(serves), "a daemon serves no requests");
    cluster
}

fn call(entry: SocketAddr, version: &str, kind: Kind, target: &str, fields: &str) -> RawResponse {
    let method = kind.method;
    let request = format!(
        "{method} /v1/call/browse{target} {version}\r\nHost: vm\r\nsedgepath-key: porch-key\r\n\
         sedgepath-timeout-ms: 2500\r\n{fields}Connection: close\r\nContent-Length: 0\r\n\r\n"
    );
    RawResponse::read(entry, request.as_bytes()).expect("a connection")
}

/// A response that is ended after a byte, and the request that gets it.
struct Case {
    shape: usize,
    cut: usize,
    end: ConnectionEnd,
    kind: Kind,
    entry: usize,
}

/// A request that was sent, and what its caller and those of its repeats got.
struct Sent {
    case: usize,
    target: String,
    response: RawResponse,
    repeats: Vec<RawResponse>,
}

impl TestSystem {
    fn run(&self, number: usize, case: &Case, warm: &str) -> Sent {
        let mut sending = 0;
        loop {
            let target =
                format!("/{}/{}/{}/{number}.{sending}", case.shape, case.cut, case.end.name());
            if number.is_multiple_of(2) {
                // Leaves a connection to the upstream, on which the next request mostly goes.
                call(self.entries[case.entry], "HTTP/1.1", KINDS[0], warm, "");
            }
            let key = format!("idempotency-key: k{number}.{sending}\r\n");
            let fields = |attempt: u32| {
                let attempt = format!("sedgepath-attempt: {attempt}\r\n");
                if case.kind.has_key { format!("{key}{attempt}") } else { String::new() }
            };
            let send = |entry: usize, attempt| {
                call(self.entries[entry], "HTTP/1.1", case.kind, &target, &fields(attempt))
            };
            let response = send(case.entry, 1);
            sending += 1;
            if self.upstream.received(&target).total > 0 || sending == MAX_SENDINGS {
                let repeats =
                    if case.kind.has_key { vec![send(1 - case.entry, 2)] } else { Vec::new() };
                return Sent { case: number, target, response, repeats };
            }
        }
    }
}

fn cases(shapes: &[Shape]) -> Vec<Case> {
    let mut cases = Vec::new();
    for (shape, Shape { response, .. }) in shapes.iter().enumerate() {
        for cut in 0..=response.len() {
            for end in [ConnectionEnd::Fin, ConnectionEnd::Reset] {
                for kind in KINDS {
                    cases.extend((0..2).map(|entry| Case { shape, cut, end, kind, entry }));
                }
            }
        }
    }
    cases
}

/// Returns the body of a success that looks whole.
fn whole_success(response: &RawResponse) -> Option<&[u8]> {
    response.whole_body.as_deref().filter(|_| (200..300).contains(&response.status))
}

/// Guards against a response that its upstream broke off, in its head or body, and that reaches a caller as a whole
/// one, at once or with a repeat, and against a request that runs twice or is rejected as not run after it ran.
#[test]
fn no_response_of_an_owned_upstream_that_ends_early_looks_whole() {
    let shapes = shapes();
    let system = TestSystem::new(shapes.iter().map(|shape| shape.response.clone()).collect());
    let warm = format!("/0/{}/kept/warm", shapes[0].response.len());
    let cases = cases(&shapes);
    let next = AtomicUsize::new(0);
    let sent: Vec<Sent> = thread::scope(|scope| {
        let work = || {
            let mut sent = Vec::new();
            loop {
                let number = next.fetch_add(1, Ordering::Relaxed);
                let Some(case) = cases.get(number) else { return sent };
                sent.push(system.run(number, case, &warm));
            }
        };
        let callers: Vec<_> = (0..CALLERS).map(|_| scope.spawn(work)).collect();
        callers.into_iter().flat_map(|caller| caller.join().expect("a caller")).collect()
    });
    let mut violations = Vec::new();
    let mut tables = vec![[0; 5]; shapes.len()];
    for Sent { case, target, response, repeats } in sent {
        let case = &cases[case];
        let shape = &shapes[case.shape];
        let expected = shape.body.filter(|_| case.cut == shape.response.len());
        let received = system.upstream.received(&target);
        let whole = whole_success(&response);
        let is_wrong = |body: &[u8]| expected != Some(body);
        let wrong_whole =
            whole.is_some_and(is_wrong) || repeats.iter().filter_map(whole_success).any(is_wrong);
        let counts = [
            true,
            received.total > 0,
            received.on_kept_connections > 0,
            whole.is_some(),
            wrong_whole,
        ];
        for (count, counted) in tables[case.shape].iter_mut().zip(counts) {
            *count += usize::from(counted);
        }
        let twice = received.total > 1 && !case.kind.may_run_twice();
        let is_not_run = |response: &RawResponse| matches!(response.status, 408 | 421 | 429 | 503);
        let untrue = received.total > 0 && is_not_run(&response);
        let lost = case.end == ConnectionEnd::Fin
            && expected.is_some()
            && received.total > 0
            && whole.is_none();
        if wrong_whole || twice || untrue || lost {
            let (kind, entry) = (case.kind, case.entry);
            violations.push(format!(
                "{} {kind:?} at {entry} {target}: {response:?}, {repeats:?}, {received:?}",
                shape.name
            ));
        }
    }
    for (shape, table) in shapes.iter().zip(&tables) {
        println!("| {} | {table:?} |", shape.name);
        let [count, ran, on_kept, ..] = *table;
        assert!(ran * 10 >= count * 9, "{}: {ran} of {count} reached the upstream", shape.name);
        assert!(on_kept * 10 >= count, "{}: {on_kept} of {count} on kept ones", shape.name);
    }
    assert!(
        violations.is_empty(),
        "{} violations: {:#?}",
        violations.len(),
        &violations[..violations.len().min(12)]
    );
}

/// Guards against a large response without a length whose early end looks to an HTTP/1.0 caller like its end.
#[test]
fn a_large_response_of_an_owned_upstream_that_ends_early_looks_whole_to_no_caller() {
    const BODY_BYTES: usize = 1_300_000;
    let small = shapes().swap_remove(0).response;
    let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    let mut chunked = format!("{head}{BODY_BYTES:x}\r\n").into_bytes();
    chunked.resize(chunked.len() + BODY_BYTES, b'x');
    chunked.extend_from_slice(b"\r\n0\r\n\r\n");
    let length = chunked.len();
    let system = TestSystem::new(vec![small, chunked]);
    let mut wrong = Vec::new();
    let mut number = 0;
    for cut in [length, length - 1, length - 5, length - 7, length - 100_000] {
        for version in ["HTTP/1.1", "HTTP/1.0"] {
            for kind in KINDS {
                for (entry, address) in system.entries.iter().enumerate() {
                    number += 1;
                    let target = format!("/1/{cut}/fin/{number}");
                    let key = format!("idempotency-key: k{number}\r\n");
                    let fields = if kind.has_key { &*key } else { "" };
                    let response = call(*address, version, kind, &target, fields);
                    let is_whole = response.whole_body.is_some();
                    if response.status != 200 || is_whole != (cut == length) {
                        let status = response.status;
                        wrong.push(format!(
                            "{version} {kind:?} at {entry} cut {cut} of {length}: {status} {is_whole}"
                        ));
                    }
                }
            }
        }
    }
    assert!(wrong.is_empty(), "{wrong:#?}");
}

/// The time between two chunks of an endless body.
const CHUNK_INTERVAL: Duration = Duration::from_millis(1);

/// The callers of endless bodies, by version and VM.
const ENDLESS_CALLERS: usize = 20;

/// The time for which endless bodies are sent before the process ends.
const ENDLESS_TIME: Duration = Duration::from_millis(500);

/// Starts an upstream that responds to `/endless` with chunks until its connection ends, and to all else at once.
/// Returns its address and the number of endless responses.
fn start_endless_upstream() -> (SocketAddr, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    let begun = Arc::new(AtomicUsize::new(0));
    let counted = Arc::clone(&begun);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let counted = Arc::clone(&counted);
            thread::spawn(move || drop(serve_endless(stream, &counted)));
        }
    });
    (address, begun)
}

fn serve_endless(mut stream: TcpStream, begun: &AtomicUsize) -> io::Result<()> {
    let mut request = vec![0; 8 * 1024];
    let length = stream.read(&mut request)?;
    if !String::from_utf8_lossy(&request[..length]).contains(" /endless ") {
        return stream
            .write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n\r\n");
    }
    stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")?;
    begun.fetch_add(1, Ordering::Relaxed);
    loop {
        stream.write_all(b"5\r\nhello\r\n")?;
        thread::sleep(CHUNK_INTERVAL);
    }
}

/// Ends the process of a VM while bodies pass through it, and returns how many looked whole to the callers, which
/// speak this version.
fn whole_bodies_at_the_end_of_the_process(version: &str) -> usize {
    let (upstream, begun) = start_endless_upstream();
    let mut cluster = start_cluster(upstream, "/ready");
    let owner = cluster.caller_addresses()[1];
    thread::scope(|scope| {
        let callers: Vec<_> = (0..ENDLESS_CALLERS)
            .map(|_| scope.spawn(move || call(owner, version, KINDS[0], "/endless", "")))
            .collect();
        while begun.load(Ordering::Relaxed) < ENDLESS_CALLERS {
            thread::sleep(CHUNK_INTERVAL);
        }
        thread::sleep(ENDLESS_TIME);
        let daemon = cluster.daemons[1].as_mut().expect("a daemon");
        // The second signal ends the process in a limited time.
        daemon.signal(Signal::Term).expect("SIGTERM is sent");
        thread::sleep(CHUNK_INTERVAL * 20);
        daemon.signal(Signal::Term).expect("SIGTERM is sent");
        let seen = callers.into_iter().map(|caller| caller.join().expect("a caller"));
        let seen: Vec<_> = seen.collect();
        assert!(seen.iter().all(|response| response.status == 200), "{seen:?}");
        seen.iter().filter(|response| response.whole_body.is_some()).count()
    })
}

/// Guards against a body that the end of the process cuts and that looks whole to a caller: its chunks end as if it
/// were complete.
#[test]
fn a_chunked_body_that_the_end_of_the_process_cuts_looks_whole_to_no_caller() {
    assert_eq!(whole_bodies_at_the_end_of_the_process("HTTP/1.1"), 0);
}

/// Guards against a body that the end of the process cuts and that looks whole to an HTTP/1.0 caller, for which the
/// end of the connection is that of the body.
#[test]
fn a_body_that_the_end_of_the_process_cuts_looks_whole_to_no_http_1_0_caller() {
    assert_eq!(whole_bodies_at_the_end_of_the_process("HTTP/1.0"), 0);
}
