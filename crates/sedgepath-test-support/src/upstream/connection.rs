//! A connection of a caller: reads its requests, runs them, and responds in order.

use std::io::{self, BufReader, Write};
use std::net::TcpStream;
use std::ops::Range;

use super::settings::Behaviour;
use super::state::{InFlight, Run, Shared};
use super::{
    CALL_ID, DEADLINE_MS, DIGEST, IDEMPOTENCY_KEY, IN_FLIGHT, NOT_STARTED, RECEIVED_DIGEST,
    REQUEST_ID, SLOTS, TICKET, UPSTREAM_STATE,
};
use crate::clock::now_ms;
use crate::content::{self, Digest};
use crate::http1::{Framing, Head, read_body};

const MAX_ECHO_BYTES: usize = 16 * 1024 * 1024;
const WRITE_BYTES: u64 = 64 * 1024;

/// Serves requests until the caller or the upstream closes the connection.
///
/// # Errors
///
/// Returns an error if the caller disconnected or sent invalid HTTP.
pub(super) fn serve(shared: &Shared, mut stream: TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut reader = BufReader::new(stream.try_clone()?);
    while let Some(head) = Head::read(&mut reader)? {
        let request = Request::read(head, &mut reader)?;
        let close = request.head.wants_close();
        let reuse = respond(shared, &request, &mut stream)?;
        if close || reuse == ConnectionReuse::Close {
            break;
        }
    }
    Ok(())
}

#[derive(Debug, PartialEq, Eq)]
enum ConnectionReuse {
    Keep,
    Close,
}

/// A complete request.
struct Request {
    head: Head,
    method: Box<str>,
    target: Box<str>,
    /// The body, truncated if it is too large to be echoed.
    body: Vec<u8>,
    body_bytes: u64,
    digest: Digest,
}

impl Request {
    /// Reads a complete request; an incomplete one is an error and must not be run.
    fn read(head: Head, reader: &mut BufReader<TcpStream>) -> io::Result<Self> {
        let mut body = Vec::new();
        let mut digest = Digest::new();
        let mut keep = |chunk: &[u8]| {
            digest.update(chunk);
            let remaining = MAX_ECHO_BYTES - body.len();
            body.extend_from_slice(&chunk[..chunk.len().min(remaining)]);
        };
        let length = read_body(reader, head.framing(Framing::Empty)?, &mut keep)?;
        let mut words = head.start_line.split(' ');
        let mut word = || words.next().unwrap_or_default().into();
        let (method, target) = (word(), word());
        Ok(Self { head, method, target, body, body_bytes: length, digest })
    }

    fn run(&self) -> Run {
        let header = |name| self.head.header(name).map(Box::from);
        Run {
            at_ms: now_ms(),
            request_id: header(REQUEST_ID),
            key: header(IDEMPOTENCY_KEY).or_else(|| header(TICKET)),
            request: format!("{} {}", self.method, self.target).into(),
        }
    }

    fn deadline_ms(&self) -> Option<u64> {
        self.head.header(DEADLINE_MS)?.parse().ok()
    }
}

/// A response before it is written.
struct Response {
    status: &'static str,
    headers: Vec<(&'static str, String)>,
    body: Body,
}

enum Body {
    Bytes(Vec<u8>),
    Generated { revision: u64, range: Range<u64> },
}

impl Response {
    fn new(status: &'static str, body: Vec<u8>) -> Self {
        Self {
            status,
            headers: vec![(DIGEST, Digest::of(&body).to_string())],
            body: Body::Bytes(body),
        }
    }

    fn with_header(mut self, name: &'static str, value: impl Into<String>) -> Self {
        self.headers.push((name, value.into()));
        self
    }
}

impl Body {
    fn len(&self) -> u64 {
        match self {
            Self::Bytes(bytes) => bytes.len() as u64,
            Self::Generated { range, .. } => range.end - range.start,
        }
    }

    fn slice(&self, from: u64, to: u64) -> Vec<u8> {
        match self {
            Self::Bytes(bytes) => bytes[from as usize..to as usize].to_vec(),
            Self::Generated { revision, range } => {
                let mut chunk = vec![0; (to - from) as usize];
                content::fill(*revision, range.start + from, &mut chunk);
                chunk
            }
        }
    }
}

fn respond(
    shared: &Shared,
    request: &Request,
    stream: &mut TcpStream,
) -> io::Result<ConnectionReuse> {
    if let Some(response) = control_response(shared, request) {
        return write_response(shared, request, &response, stream, None, 1.0);
    }
    if request.deadline_ms().is_some_and(|deadline_ms| deadline_ms <= now_ms()) {
        // A request that arrives after its deadline is rejected without taking a slot.
        return write_response(shared, request, &rejection(), stream, None, 1.0);
    }
    let in_flight = shared.begin_in_flight();
    let behaviour = shared.lock().next_behaviour();
    if let Behaviour::DelayStart { delay_ms } = behaviour {
        shared.wait_to_start(delay_ms, call_id(&request.head));
    }
    let Some(service_ms) = start_request(shared, request, behaviour) else {
        return write_response(shared, request, &rejection(), stream, Some(in_flight), 1.0);
    };
    shared.wait_ms(service_ms);
    let response = path_response(shared, request);
    match behaviour {
        Behaviour::DelayResponse { delay_ms } => shared.wait_ms(delay_ms),
        Behaviour::Hang => shared.wait_until_released(),
        Behaviour::Close => return Ok(ConnectionReuse::Close),
        Behaviour::Truncate => {
            write_response(shared, request, &response, stream, Some(in_flight), 0.5)?;
            return Ok(ConnectionReuse::Close);
        }
        Behaviour::Normal | Behaviour::DelayStart { .. } | Behaviour::Reject => {}
    }
    // A stopped upstream sends no response, even if the stop has just ended a wait.
    if shared.lock().stopping {
        return Ok(ConnectionReuse::Close);
    }
    write_response(shared, request, &response, stream, Some(in_flight), 1.0)
}

/// Returns the response to a request that has not been started and never will be.
fn rejection() -> Response {
    Response::new("503 Service Unavailable", b"not started\n".to_vec())
        .with_header(NOT_STARTED, "true")
}

fn start_request(shared: &Shared, request: &Request, behaviour: Behaviour) -> Option<u64> {
    if behaviour == Behaviour::Reject {
        return None;
    }
    let mut state = shared.lock();
    if state.stopping {
        return None;
    }
    state.start(request.run(), call_id(&request.head), request.deadline_ms())
}

/// Returns the response to a control request, which takes no slot.
fn control_response(shared: &Shared, request: &Request) -> Option<Response> {
    match (&*request.method, &*request.target) {
        ("GET", "/load") => {
            let report = shared.lock().report();
            let json = report.and_then(|report| serde_json::to_vec(&report).ok());
            Some(json.map_or_else(
                || Response::new("404 Not Found", Vec::new()),
                |body| Response::new("200 OK", body),
            ))
        }
        ("POST", "/cancel") => {
            let id = call_id(&request.head).unwrap_or_default();
            let status = if shared.cancel(id) { "200 OK" } else { "409 Conflict" };
            Some(Response::new(status, Vec::new()))
        }
        _ => None,
    }
}

/// Returns the id by which a request can be cancelled: the call id, or else the request id.
fn call_id(head: &Head) -> Option<&str> {
    head.header(CALL_ID).or_else(|| head.header(REQUEST_ID))
}

fn path_response(shared: &Shared, request: &Request) -> Response {
    let path = request.target.split('?').next().unwrap_or_default();
    if let Some(bytes) = path.strip_prefix("/large/") {
        let revision = shared.lock().large_revision;
        return match bytes.parse() {
            Ok(length) => generated_response(revision, length, &request.head),
            Err(_) => Response::new("404 Not Found", Vec::new()),
        };
    }
    let body = match path {
        "/echo" if request.body_bytes > MAX_ECHO_BYTES as u64 => {
            return Response::new("413 Content Too Large", Vec::new());
        }
        "/echo" => request.body.clone(),
        "/headers" => serde_json::to_vec(&request.head.headers).unwrap_or_default(),
        _ => format!("{} {}\n", request.method, request.target).into_bytes(),
    };
    Response::new("200 OK", body).with_header(RECEIVED_DIGEST, request.digest.to_string())
}

fn generated_response(revision: u64, length: u64, head: &Head) -> Response {
    let etag = format!("\"large-{length}-{revision}\"");
    let etag_matches = head.header("if-range").is_none_or(|expected| expected == etag);
    let requested =
        head.header("range").filter(|_| etag_matches).and_then(|range| parse_range(range, length));
    let partial = requested.is_some();
    let range = requested.unwrap_or(0..length);
    if range.is_empty() && length > 0 {
        return Response::new("416 Range Not Satisfiable", Vec::new())
            .with_header("content-range", format!("bytes */{length}"));
    }
    let content_range = format!("bytes {}-{}/{length}", range.start, range.end.saturating_sub(1));
    let response = Response {
        status: if partial { "206 Partial Content" } else { "200 OK" },
        headers: vec![("accept-ranges", "bytes".into())],
        body: Body::Generated { revision, range },
    };
    let response = response.with_header("etag", etag);
    if partial { response.with_header("content-range", content_range) } else { response }
}

/// Parses `bytes=FROM-TO` or `bytes=FROM-`; other forms are ignored, which HTTP permits.
fn parse_range(range: &str, length: u64) -> Option<Range<u64>> {
    let (from, to) = range.strip_prefix("bytes=")?.split_once('-')?;
    let from: u64 = from.parse().ok()?;
    let end = if to.is_empty() { length } else { to.parse::<u64>().ok()?.saturating_add(1) };
    Some(from.min(length)..end.min(length))
}

/// Writes a fraction of a response, which declares its full length.
///
/// The slot is freed before the last bytes are written: a caller with the complete response may
/// send its next request immediately, and the two must not both count as in flight.
fn write_response(
    shared: &Shared,
    request: &Request,
    response: &Response,
    stream: &mut TcpStream,
    mut in_flight: Option<InFlight<'_>>,
    fraction: f64,
) -> io::Result<ConnectionReuse> {
    let length = if &*request.method == "HEAD" { 0 } else { response.body.len() };
    let end = (length as f64 * fraction) as u64;
    if end <= WRITE_BYTES {
        drop(in_flight.take());
    }
    let mut bytes = head_bytes(shared, request, response);
    let mut sent = 0;
    loop {
        let chunk_end = end.min(sent + WRITE_BYTES);
        bytes.extend(response.body.slice(sent, chunk_end));
        sent = chunk_end;
        if sent == end {
            drop(in_flight.take());
        }
        stream.write_all(&bytes)?;
        bytes.clear();
        if sent == end {
            return Ok(ConnectionReuse::Keep);
        }
    }
}

fn head_bytes(shared: &Shared, request: &Request, response: &Response) -> Vec<u8> {
    let mut lines = vec![
        format!("HTTP/1.1 {}", response.status),
        format!("content-length: {}", response.body.len()),
    ];
    lines.extend(response.headers.iter().map(|(name, value)| format!("{name}: {value}")));
    let id = request.head.header(REQUEST_ID);
    lines.extend(id.map(|id| format!("{REQUEST_ID}: {id}")));
    let mut state = shared.lock();
    if state.leaving {
        lines.push(format!("{UPSTREAM_STATE}: leaving"));
    }
    if let Some(report) = state.report() {
        lines.push(format!("{IN_FLIGHT}: {}", report.in_flight));
        lines.push(format!("{SLOTS}: {}", report.slots));
    }
    lines.push("\r\n".into());
    lines.join("\r\n").into_bytes()
}
