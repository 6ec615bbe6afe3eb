//! A caller that judges by the raw bytes of its connection which responses are whole.

use std::fmt;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::Duration;

use super::{Vm, WAIT_TIMEOUT};

/// The bytes of a body in messages of failures.
const SHOWN_BYTES: usize = 40;

/// A caller's view of a response: its status, and its body if that looks whole.
#[derive(Clone, Default)]
pub struct Seen {
    pub status: u16,
    pub whole_body: Option<Vec<u8>>,
}

impl fmt::Debug for Seen {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.status)?;
        let Some(body) = &self.whole_body else { return f.write_str(", not whole") };
        let shown = String::from_utf8_lossy(&body[..body.len().min(SHOWN_BYTES)]);
        write!(f, ", whole with {} bytes {shown:?}", body.len())
    }
}

/// Reads the raw bytes of a connection and judges its responses as a caller does. Bytes behind the last one belong
/// to no request, and are added to it.
fn judge(mut raw: &[u8], ended_by_fin: bool, requests: &[String]) -> Vec<Seen> {
    let mut all = Vec::new();
    for request in requests {
        let (seen, rest) = judge_first(raw, ended_by_fin, request.starts_with("HEAD"));
        raw = rest;
        all.push(seen);
    }
    if let Some(body) = all.last_mut().and_then(|seen| seen.whole_body.as_mut()) {
        body.extend_from_slice(raw);
    }
    all
}

/// Judges the first response and returns the bytes behind it.
fn judge_first(raw: &[u8], ended_by_fin: bool, is_head: bool) -> (Seen, &[u8]) {
    let Some(at) = raw.windows(4).position(|bytes| bytes == b"\r\n\r\n") else {
        return (Seen::default(), &[]);
    };
    let head = String::from_utf8_lossy(&raw[..at]).to_ascii_lowercase();
    let body = &raw[at + 4..];
    let status = head.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0);
    let field = |name: &str| {
        head.lines().find_map(|line| line.strip_prefix(name)?.strip_prefix(": ").map(str::to_owned))
    };
    let (whole_body, rest) = if is_head || matches!(status, 204 | 304) {
        (Some(Vec::new()), body)
    } else if field("transfer-encoding").is_some() {
        dechunk(body).map_or((None, &[][..]), |(body, rest)| (Some(body), rest))
    } else if let Some(length) = field("content-length") {
        let parts = body.split_at_checked(length.parse().expect("a number"));
        parts.map_or((None, &[][..]), |(body, rest)| (Some(body.to_vec()), rest))
    } else {
        (ended_by_fin.then(|| body.to_vec()), &[][..])
    };
    (Seen { status, whole_body }, rest)
}

fn dechunk(mut rest: &[u8]) -> Option<(Vec<u8>, &[u8])> {
    let mut body = Vec::new();
    loop {
        let at = rest.windows(2).position(|bytes| bytes == b"\r\n")?;
        let length = usize::from_str_radix(std::str::from_utf8(&rest[..at]).ok()?, 16).ok()?;
        rest = &rest[at + 2..];
        let chunk = rest.get(..length)?;
        if rest.get(length..length + 2)? != b"\r\n" {
            return None;
        }
        rest = &rest[length + 2..];
        if length == 0 {
            return Some((body, rest));
        }
        body.extend_from_slice(chunk);
    }
}

/// A caller that sends its requests on one connection at once.
#[derive(Debug, Clone, Copy)]
pub struct Caller {
    pub address: SocketAddr,
    pub version: &'static str,
    pub deadline_ms: u64,
    /// When it closes its sending side, after its requests.
    pub closes_after: Option<Duration>,
}

impl Caller {
    /// Creates a caller of HTTP/1.1.
    pub fn new(vm: &Vm) -> Self {
        Self {
            address: vm.caller_address,
            version: "HTTP/1.1",
            deadline_ms: 3_000,
            closes_after: None,
        }
    }

    /// Sends requests, each a method and a target, and judges their responses.
    pub fn send_all(self, requests: &[String]) -> Vec<Seen> {
        static NEXT_ID: AtomicUsize = AtomicUsize::new(0);
        let Self { address, version, deadline_ms, closes_after } = self;
        let mut stream = TcpStream::connect(address).expect("a connection");
        stream.set_read_timeout(Some(WAIT_TIMEOUT)).expect("a timeout");
        let mut heads = Vec::new();
        for (index, request) in requests.iter().enumerate() {
            let id = NEXT_ID.fetch_add(1, Ordering::Relaxed);
            let is_last = index + 1 == requests.len();
            let connection = if is_last { "close" } else { "keep-alive" };
            heads.push(format!(
                "{request} {version}\r\nHost: shop.example\r\nX-Sedgepath-Attempt-Id: c{id}\r\n\
                 X-Sedgepath-Deadline-Ms: {deadline_ms}\r\nConnection: {connection}\r\n\
                 Content-Length: 0\r\n\r\n"
            ));
        }
        stream.write_all(heads.concat().as_bytes()).expect("a write");
        if let Some(time) = closes_after {
            let stream = stream.try_clone().expect("a copy");
            thread::spawn(move || {
                thread::sleep(time);
                // The VM may have closed the connection.
                drop(stream.shutdown(Shutdown::Write));
            });
        }
        let mut raw = Vec::new();
        let ended_by_fin = stream.read_to_end(&mut raw).is_ok();
        judge(&raw, ended_by_fin, requests)
    }

    /// Sends a request and judges its response.
    pub fn send(self, request: &str) -> Seen {
        self.send_all(&[request.into()]).remove(0)
    }
}
