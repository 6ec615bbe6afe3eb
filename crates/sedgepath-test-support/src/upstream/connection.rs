//! One connection of a caller: reads its requests, runs them and answers in order.

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
const PIECE_BYTES: u64 = 64 * 1024;

/// Serves requests until the caller or the upstream closes the connection.
///
/// # Errors
///
/// Returns an error if the caller went away or sent no HTTP.
pub(super) fn serve(shared: &Shared, mut stream: TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut reader = BufReader::new(stream.try_clone()?);
    while let Some(head) = Head::read(&mut reader)? {
        let request = Request::read(head, &mut reader)?;
        let close = request.head.wants_close();
        let next = answer(shared, &request, &mut stream)?;
        if close || next == Next::Close {
            break;
        }
    }
    Ok(())
}

#[derive(Debug, PartialEq, Eq)]
enum Next {
    Keep,
    Close,
}

/// A whole request.
struct Request {
    head: Head,
    method: Box<str>,
    target: Box<str>,
    /// The body, or the start of one that is too large to be echoed.
    body: Vec<u8>,
    length: u64,
    digest: Digest,
}

impl Request {
    /// Reads a request to its end: one that was cut off must not be run.
    fn read(head: Head, reader: &mut BufReader<TcpStream>) -> io::Result<Self> {
        let mut body = Vec::new();
        let mut digest = Digest::new();
        let mut keep = |piece: &[u8]| {
            digest.update(piece);
            let room = MAX_ECHO_BYTES - body.len();
            body.extend_from_slice(&piece[..piece.len().min(room)]);
        };
        let length = read_body(reader, head.framing(Framing::Empty)?, &mut keep)?;
        let mut words = head.start.split(' ');
        let mut word = || words.next().unwrap_or_default().into();
        let (method, target) = (word(), word());
        Ok(Self { head, method, target, body, length, digest })
    }

    fn run(&self) -> Run {
        let header = |name| self.head.get(name).map(Box::from);
        Run {
            at_ms: now_ms(),
            request_id: header(REQUEST_ID),
            key: header(IDEMPOTENCY_KEY).or_else(|| header(TICKET)),
            request: format!("{} {}", self.method, self.target).into(),
        }
    }

    fn deadline_ms(&self) -> Option<u64> {
        self.head.get(DEADLINE_MS)?.parse().ok()
    }
}

/// An answer before it is written.
struct Answer {
    status: &'static str,
    headers: Vec<(&'static str, String)>,
    body: Body,
}

enum Body {
    Bytes(Vec<u8>),
    Generated { revision: u64, range: Range<u64> },
}

impl Answer {
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

    fn piece(&self, from: u64, to: u64) -> Vec<u8> {
        match self {
            Self::Bytes(bytes) => bytes[from as usize..to as usize].to_vec(),
            Self::Generated { revision, range } => {
                let mut piece = vec![0; (to - from) as usize];
                content::fill(*revision, range.start + from, &mut piece);
                piece
            }
        }
    }
}

fn answer(shared: &Shared, request: &Request, stream: &mut TcpStream) -> io::Result<Next> {
    if let Some(answer) = control(shared, request) {
        return write(shared, request, &answer, stream, None, 1.0);
    }
    if request.deadline_ms().is_some_and(|deadline_ms| deadline_ms <= now_ms()) {
        // One that a link held back past its deadline is refused as it arrives and takes no slot.
        return write(shared, request, &refusal(), stream, None, 1.0);
    }
    let in_flight = shared.enter();
    let behaviour = shared.lock().next_behaviour();
    if let Behaviour::DelayStart { delay_ms } = behaviour {
        shared.wait_to_start(delay_ms, call_id(&request.head));
    }
    let Some(service_ms) = start(shared, request, behaviour) else {
        return write(shared, request, &refusal(), stream, Some(in_flight), 1.0);
    };
    shared.wait_ms(service_ms);
    let answer = route(shared, request);
    match behaviour {
        Behaviour::DelayAnswer { delay_ms } => shared.wait_ms(delay_ms),
        Behaviour::Hang => shared.wait_released(),
        Behaviour::Close => return Ok(Next::Close),
        Behaviour::Truncate => {
            write(shared, request, &answer, stream, Some(in_flight), 0.5)?;
            return Ok(Next::Close);
        }
        Behaviour::Normal | Behaviour::DelayStart { .. } | Behaviour::Refuse => {}
    }
    // One that is killed answers nothing more, also if the stop ended a wait just now.
    if shared.lock().stopping {
        return Ok(Next::Close);
    }
    write(shared, request, &answer, stream, Some(in_flight), 1.0)
}

/// The answer to a request that was not started and will not be.
fn refusal() -> Answer {
    Answer::new("503 Service Unavailable", b"not started\n".to_vec())
        .with_header(NOT_STARTED, "true")
}

fn start(shared: &Shared, request: &Request, behaviour: Behaviour) -> Option<u64> {
    if behaviour == Behaviour::Refuse {
        return None;
    }
    let mut state = shared.lock();
    if state.stopping {
        return None;
    }
    state.start(request.run(), call_id(&request.head), request.deadline_ms())
}

/// Answers what takes no slot.
fn control(shared: &Shared, request: &Request) -> Option<Answer> {
    match (&*request.method, &*request.target) {
        ("GET", "/load") => {
            let report = shared.lock().report();
            let json = report.and_then(|report| serde_json::to_vec(&report).ok());
            Some(json.map_or_else(
                || Answer::new("404 Not Found", Vec::new()),
                |body| Answer::new("200 OK", body),
            ))
        }
        ("POST", "/cancel") => {
            let id = call_id(&request.head).unwrap_or_default();
            let status = if shared.cancel(id) { "200 OK" } else { "409 Conflict" };
            Some(Answer::new(status, Vec::new()))
        }
        _ => None,
    }
}

/// Returns what a cancellation names a request by; callers that send no call id use the request's.
fn call_id(head: &Head) -> Option<&str> {
    head.get(CALL_ID).or_else(|| head.get(REQUEST_ID))
}

fn route(shared: &Shared, request: &Request) -> Answer {
    let path = request.target.split('?').next().unwrap_or_default();
    if let Some(bytes) = path.strip_prefix("/large/") {
        let revision = shared.lock().large_revision;
        return match bytes.parse() {
            Ok(length) => large(revision, length, &request.head),
            Err(_) => Answer::new("404 Not Found", Vec::new()),
        };
    }
    let body = match path {
        "/echo" if request.length > MAX_ECHO_BYTES as u64 => {
            return Answer::new("413 Content Too Large", Vec::new());
        }
        "/echo" => request.body.clone(),
        "/headers" => serde_json::to_vec(&request.head.headers).unwrap_or_default(),
        _ => format!("{} {}\n", request.method, request.target).into_bytes(),
    };
    Answer::new("200 OK", body).with_header(RECEIVED_DIGEST, request.digest.to_string())
}

fn large(revision: u64, length: u64, head: &Head) -> Answer {
    let etag = format!("\"large-{length}-{revision}\"");
    let same = head.get("if-range").is_none_or(|known| known == etag);
    let asked = head.get("range").filter(|_| same).and_then(|range| parse_range(range, length));
    let partial = asked.is_some();
    let range = asked.unwrap_or(0..length);
    if range.is_empty() && length > 0 {
        return Answer::new("416 Range Not Satisfiable", Vec::new())
            .with_header("content-range", format!("bytes */{length}"));
    }
    let bounds = format!("bytes {}-{}/{length}", range.start, range.end.saturating_sub(1));
    let answer = Answer {
        status: if partial { "206 Partial Content" } else { "200 OK" },
        headers: vec![("accept-ranges", "bytes".into())],
        body: Body::Generated { revision, range },
    };
    let answer = answer.with_header("etag", etag);
    if partial { answer.with_header("content-range", bounds) } else { answer }
}

/// Reads `bytes=FROM-TO` or `bytes=FROM-`; other forms are ignored, as HTTP lets a server do.
fn parse_range(range: &str, length: u64) -> Option<Range<u64>> {
    let (from, to) = range.strip_prefix("bytes=")?.split_once('-')?;
    let from: u64 = from.parse().ok()?;
    let end = if to.is_empty() { length } else { to.parse::<u64>().ok()?.saturating_add(1) };
    Some(from.min(length)..end.min(length))
}

/// Writes the given part of an answer that declares its whole length.
///
/// The slot is freed before the last bytes leave: a caller that has the whole answer may send its
/// next request at once, and the two must not be counted as in flight together.
fn write(
    shared: &Shared,
    request: &Request,
    answer: &Answer,
    stream: &mut TcpStream,
    mut in_flight: Option<InFlight<'_>>,
    part: f64,
) -> io::Result<Next> {
    let length = if &*request.method == "HEAD" { 0 } else { answer.body.len() };
    let end = (length as f64 * part) as u64;
    if end <= PIECE_BYTES {
        drop(in_flight.take());
    }
    let mut bytes = head_bytes(shared, request, answer);
    let mut sent = 0;
    loop {
        let next = end.min(sent + PIECE_BYTES);
        bytes.extend(answer.body.piece(sent, next));
        sent = next;
        if sent == end {
            drop(in_flight.take());
        }
        stream.write_all(&bytes)?;
        bytes.clear();
        if sent == end {
            return Ok(Next::Keep);
        }
    }
}

fn head_bytes(shared: &Shared, request: &Request, answer: &Answer) -> Vec<u8> {
    let mut lines = vec![
        format!("HTTP/1.1 {}", answer.status),
        format!("content-length: {}", answer.body.len()),
    ];
    lines.extend(answer.headers.iter().map(|(name, value)| format!("{name}: {value}")));
    let id = request.head.get(REQUEST_ID);
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
