//! Responses that end early: after each byte of the head and the body, by FIN or reset.

mod platform;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;

use platform::cutting_upstream::CuttingUpstream;
use platform::{TestCluster, WAIT_TIMEOUT, configure, wait_for};
use sedgepath_test_support::store::StoreStandIn;

/// The threads that send requests.
const CALLERS: usize = 12;

/// When a response is whole.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Framing {
    /// With its last byte.
    Framed,
    /// With the end of its connection, if that isn't a reset.
    EndsWithConnection,
    /// Never: its head contradicts itself.
    Invalid,
}

struct Shape {
    name: &'static str,
    response: Vec<u8>,
    body: &'static str,
    framing: Framing,
}

fn shape(
    name: &'static str,
    framing: Framing,
    head: &str,
    sent: &str,
    body: &'static str,
) -> Shape {
    let (first, fields) = head.split_once('|').expect("a status line");
    let fields = fields.replace('|', "\r\n");
    let text = format!("{first}\r\nX-Sedgepath-Response-Signature: s\r\n{fields}\r\n{sent}");
    Shape { name, response: text.into_bytes(), body, framing }
}

fn shapes() -> Vec<Shape> {
    use Framing::{EndsWithConnection, Framed, Invalid};
    let chunks = "5\r\nhello\r\n6\r\n world\r\n0\r\n\r\n";
    let trailers = "5\r\nhello\r\n6\r\n world\r\n0\r\nX-T: 1\r\n\r\n";
    let text = "hello world";
    let ok = "HTTP/1.1 200 OK|";
    let mut shapes = vec![
        shape("content_length", Framed, &format!("{ok}Content-Length: 11|"), text, text),
        shape("chunked", Framed, &format!("{ok}Transfer-Encoding: chunked|"), chunks, text),
        shape("trailers", Framed, &format!("{ok}Transfer-Encoding: chunked|"), trailers, text),
        shape("no_length", EndsWithConnection, ok, text, text),
        shape("http_1_0", EndsWithConnection, "HTTP/1.0 200 OK|", text, text),
        shape(
            "two_lengths",
            Invalid,
            &format!("{ok}Content-Length: 5|Content-Length: 11|"),
            text,
            text,
        ),
        shape("folded_length", Invalid, &format!("{ok}Content-Length:| 11|"), text, text),
        shape(
            "length_5_and_chunked",
            Invalid,
            &format!("{ok}Content-Length: 5|Transfer-Encoding: chunked|"),
            chunks,
            text,
        ),
        shape(
            "length_and_other_coding",
            Invalid,
            &format!("{ok}Content-Length: 11|Transfer-Encoding: x|"),
            text,
            text,
        ),
    ];
    let mut informational =
        shape("informational", Framed, &format!("{ok}Content-Length: 11|"), text, text);
    informational
        .response
        .splice(0..0, *b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nX: y\r\n\r\n");
    let mut bare_lf = shape("bare_lf", Framed, &format!("{ok}Content-Length: 11|"), text, text);
    bare_lf.response.retain(|byte| *byte != b'\r');
    shapes.extend([informational, bare_lf]);
    shapes
}

/// A caller's view of a response: its status, and its body if that looks whole.
#[derive(Debug)]
struct Seen {
    status: u16,
    whole_body: Option<Vec<u8>>,
}

/// Reads the raw bytes of a connection and judges them as a caller does.
fn judge(raw: &[u8], ended_by_fin: bool) -> Seen {
    let none = Seen { status: 0, whole_body: None };
    let Some(at) = raw.windows(4).position(|bytes| bytes == b"\r\n\r\n") else { return none };
    let head = String::from_utf8_lossy(&raw[..at]).to_ascii_lowercase();
    let body = &raw[at + 4..];
    let status = head.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0);
    let field = |name: &str| {
        head.lines().find_map(|line| line.strip_prefix(name)?.strip_prefix(": ").map(str::to_owned))
    };
    let whole_body = if field("transfer-encoding").is_some() {
        dechunk(body)
    } else if let Some(length) = field("content-length") {
        let length: usize = length.parse().expect("a number");
        // Bytes behind a body belong to no request.
        (body.len() >= length).then(|| body.to_vec())
    } else {
        ended_by_fin.then(|| body.to_vec())
    };
    Seen { status, whole_body }
}

fn dechunk(mut rest: &[u8]) -> Option<Vec<u8>> {
    let mut body = Vec::new();
    loop {
        let at = rest.windows(2).position(|bytes| bytes == b"\r\n")?;
        let length = usize::from_str_radix(std::str::from_utf8(&rest[..at]).ok()?, 16).ok()?;
        rest = &rest[at + 2..];
        let chunk = rest.get(..length)?;
        if rest.get(length..length + 2)? != b"\r\n" {
            return None;
        }
        if length == 0 {
            return Some(body);
        }
        body.extend_from_slice(chunk);
        rest = &rest[length + 2..];
    }
}

fn call(address: SocketAddr, request: &str, version: &str, id: usize) -> Seen {
    let mut stream = TcpStream::connect(address).expect("a connection");
    stream.set_read_timeout(Some(WAIT_TIMEOUT)).expect("a timeout");
    let head = format!(
        "{request} {version}\r\nHost: shop.example\r\nX-Sedgepath-Attempt-Id: c{id}\r\n\
         X-Sedgepath-Deadline-Ms: 3000\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).expect("a write");
    let mut raw = Vec::new();
    let ended_by_fin = stream.read_to_end(&mut raw).is_ok();
    judge(&raw, ended_by_fin)
}

/// Guards against a response that its upstream broke off, in its head or body, and that reaches the caller as a
/// whole one, and against a charge that runs twice or is rejected as not run after it ran.
#[test]
fn no_response_that_ends_early_looks_whole() {
    let shapes = shapes();
    let store = StoreStandIn::new().expect("a store");
    configure(&store, "0000000c", "3000ms");
    let responses = shapes.iter().map(|shape| shape.response.clone()).collect();
    let upstream = CuttingUpstream::new(Arc::new(responses), &store);
    let cluster = TestCluster::new(store.address);
    let vm = cluster.start_ready(1, "north-a");
    let warm = format!("GET /reads/0/{}/fin", shapes[0].response.len());
    wait_for("service", || call(vm.caller_address, &warm, "HTTP/1.1", 0).status == 200);
    let mut cases = Vec::new();
    for (index, shape) in shapes.iter().enumerate() {
        for cut in 0..=shape.response.len() {
            for (method, end) in [
                ("GET /reads", "fin"),
                ("GET /reads", "rst"),
                ("POST /charges", "fin"),
                ("POST /charges", "rst"),
            ] {
                cases.push((index, cut, end, format!("{method}/{index}/{cut}/{end}")));
            }
        }
    }
    let next = AtomicUsize::new(0);
    let results: Vec<(usize, Seen)> = thread::scope(|scope| {
        let work = || {
            let mut seen = Vec::new();
            loop {
                let number = next.fetch_add(1, Ordering::Relaxed);
                let Some((.., request)) = cases.get(number) else { return seen };
                let mut response = call(vm.caller_address, request, "HTTP/1.1", number + 1);
                let mut repeats = 0;
                while upstream.runs(request) == 0 && repeats < 10 {
                    call(vm.caller_address, &warm, "HTTP/1.1", 0);
                    response = call(vm.caller_address, request, "HTTP/1.1", number + 1);
                    repeats += 1;
                }
                seen.push((number, response));
            }
        };
        let callers: Vec<_> = (0..CALLERS).map(|_| scope.spawn(work)).collect();
        callers.into_iter().flat_map(|caller| caller.join().expect("a caller")).collect()
    });
    let mut violations = Vec::new();
    let mut tables = vec![(0, 0, 0, 0); shapes.len()];
    for (number, seen) in results {
        let (index, cut, end, request) = &cases[number];
        let shape = &shapes[*index];
        let body_at = shape.response.len() - shape.body.len();
        let sent_body = match shape.framing {
            Framing::Framed => (*cut == shape.response.len()).then_some(shape.body),
            Framing::EndsWithConnection => {
                (*cut >= body_at && *end == "fin").then(|| &shape.body[..cut - body_at])
            }
            Framing::Invalid => None,
        };
        let runs = upstream.runs(request);
        let table = &mut tables[*index];
        table.0 += 1;
        table.1 += usize::from(runs > 0);
        let is_success = (200..300).contains(&seen.status);
        let whole = seen.whole_body.as_deref().filter(|_| is_success);
        table.2 += usize::from(whole.is_some());
        let wrong_whole =
            whole.is_some_and(|body| sent_body.is_none_or(|sent| sent.as_bytes() != body));
        table.3 += usize::from(wrong_whole);
        let twice = request.starts_with("POST") && runs > 1;
        let untrue = matches!(seen.status, 408 | 421 | 429 | 503) && runs > 0;
        let lost = *end == "fin" && sent_body.is_some() && runs > 0 && whole.is_none();
        if wrong_whole || twice || untrue || lost {
            violations.push(format!("{} cut {cut} {request}: {seen:?}, {runs} runs", shape.name));
        }
    }
    for (shape, (count, ran, whole, wrong)) in shapes.iter().zip(&tables) {
        println!("| {} | {count} | {ran} | {whole} | {wrong} |", shape.name);
        assert!(*ran * 10 >= *count * 9, "{}: {ran} of {count} reached the upstream", shape.name);
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
fn a_large_response_that_ends_early_looks_whole_to_no_caller() {
    const BODY_BYTES: usize = 1_300_000;
    let head = "HTTP/1.1 200 OK\r\nX-Sedgepath-Response-Signature: s\r\nTransfer-Encoding: chunked\r\n\r\n";
    let mut chunked = format!("{head}{BODY_BYTES:x}\r\n").into_bytes();
    chunked.resize(chunked.len() + BODY_BYTES, b'x');
    chunked.extend_from_slice(b"\r\n0\r\n\r\n");
    let length = chunked.len();
    let store = StoreStandIn::new().expect("a store");
    configure(&store, "0000000c", "3000ms");
    let _upstream = CuttingUpstream::new(Arc::new(vec![chunked]), &store);
    let cluster = TestCluster::new(store.address);
    let vm = cluster.start_ready(1, "north-a");
    let mut wrong = Vec::new();
    for (number, cut) in
        [length, length - 1, length - 5, length - 7, length - 100_000].into_iter().enumerate()
    {
        for (index, version) in ["HTTP/1.1", "HTTP/1.0"].into_iter().enumerate() {
            let request = format!("GET /reads/0/{cut}/fin");
            let seen = call(vm.caller_address, &request, version, 1 + number * 2 + index);
            let is_whole = seen.whole_body.is_some();
            if seen.status != 200 || is_whole != (cut == length) {
                wrong.push(format!("{version} cut {cut} of {length}: {} {is_whole}", seen.status));
            }
        }
    }
    assert!(wrong.is_empty(), "{wrong:#?}");
}

/// Guards against a large response of an HTTP/1.0 upstream that the deadline ends, and whose end looks to its
/// caller like that of the body.
#[test]
fn a_large_response_of_an_http_1_0_upstream_that_stalls_looks_whole_to_no_caller() {
    let head = "HTTP/1.0 200 OK\r\nX-Sedgepath-Response-Signature: s\r\n\r\n";
    let mut response = head.as_bytes().to_vec();
    response.resize(1_300_000, b'x');
    let length = response.len();
    let store = StoreStandIn::new().expect("a store");
    configure(&store, "0000000c", "3000ms");
    let _upstream = CuttingUpstream::new(Arc::new(vec![response]), &store);
    let cluster = TestCluster::new(store.address);
    let vm = cluster.start_ready(1, "north-a");
    for (id, version) in ["HTTP/1.1", "HTTP/1.0"].into_iter().enumerate() {
        let seen =
            call(vm.caller_address, &format!("GET /reads/0/{length}/stall"), version, 1 + id);
        assert_eq!((seen.status, seen.whole_body.is_some()), (200, false), "{version}");
    }
}
