//! Responses that end after a given byte: a server that sends them, and a client that reads what arrives.

use std::collections::BTreeMap;
use std::io::{self, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::http1::{Framing, Head, read_body};
use crate::packet_filter::reset_on_drop;
use crate::sync::lock;

/// The timeout of a read by a client, longer than any deadline.
const READ_TIMEOUT: Duration = Duration::from_secs(20);

/// The response to a request whose target names no shape.
const NO_SHAPE: &[u8] = b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n";

/// What becomes of a connection after the bytes that are sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConnectionEnd {
    /// It is closed in order.
    Fin,
    /// It is reset.
    Reset,
    /// It serves the next request.
    Kept,
}

impl ConnectionEnd {
    /// Returns the name in a target.
    pub fn name(self) -> &'static str {
        match self {
            Self::Fin => "fin",
            Self::Reset => "rst",
            Self::Kept => "kept",
        }
    }

    fn parse(name: &str) -> Option<Self> {
        [Self::Fin, Self::Reset, Self::Kept].into_iter().find(|end| end.name() == name)
    }
}

/// How often a request was received.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct ReceivedCount {
    /// On all connections.
    pub total: usize,
    /// On connections that had served a request before.
    pub on_kept_connections: usize,
}

/// The counts by target.
type ReceivedCounts = BTreeMap<Box<str>, ReceivedCount>;

/// A server that responds to `/SHAPE/CUT/END/ID` with the first `CUT` bytes of a shape, and runs until the test's
/// process ends.
#[derive(Debug)]
pub struct CuttingServer {
    /// The address on which it listens.
    pub address: SocketAddr,
    received: Arc<Mutex<ReceivedCounts>>,
}

impl CuttingServer {
    /// Starts a server with these shapes.
    ///
    /// # Errors
    ///
    /// Fails if no port is free.
    pub fn new(shapes: Vec<Vec<u8>>) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let received = Arc::default();
        let (shapes, counted) = (Arc::new(shapes), Arc::clone(&received));
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (shapes, counted) = (Arc::clone(&shapes), Arc::clone(&counted));
                // An error ends this connection only.
                thread::spawn(move || drop(serve(&stream, &shapes, &counted)));
            }
        });
        Ok(Self { address, received })
    }

    /// Returns how often a request with this target was received.
    pub fn received(&self, target: &str) -> ReceivedCount {
        lock(&self.received).get(target).copied().unwrap_or_default()
    }
}

/// Returns the shape, the number of bytes and the end that a target names.
fn parse_target(target: &str) -> Option<(usize, usize, ConnectionEnd)> {
    let mut parts = target.strip_prefix('/')?.split('/');
    let (shape, cut) = (parts.next()?.parse().ok()?, parts.next()?.parse().ok()?);
    Some((shape, cut, ConnectionEnd::parse(parts.next()?)?))
}

fn serve(
    mut stream: &TcpStream,
    shapes: &[Vec<u8>],
    received: &Mutex<ReceivedCounts>,
) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut reader = BufReader::new(stream);
    let mut is_kept = false;
    while let Some(head) = Head::read(&mut reader)? {
        let framing = head.framing(Framing::Empty)?;
        read_body(&mut reader, framing, &mut |_chunk| {})?;
        let target = head.start_line.split(' ').nth(1).unwrap_or_default();
        let named = parse_target(target)
            .and_then(|(shape, cut, end)| Some((shapes.get(shape)?.get(..cut)?, end)));
        let Some((bytes, end)) = named else {
            stream.write_all(NO_SHAPE)?;
            continue;
        };
        count_received(received, target, is_kept);
        stream.write_all(bytes)?;
        match end {
            ConnectionEnd::Fin => return Ok(()),
            ConnectionEnd::Reset => return reset_on_drop(stream),
            ConnectionEnd::Kept => is_kept = true,
        }
    }
    Ok(())
}

fn count_received(received: &Mutex<ReceivedCounts>, target: &str, is_kept: bool) {
    let mut received = lock(received);
    let count = received.entry(target.into()).or_default();
    count.total += 1;
    count.on_kept_connections += usize::from(is_kept);
}

/// What a client has got of a response.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RawResponse {
    /// The status, or 0 without a whole head.
    pub status: u16,
    /// The head, in lower case.
    pub head: String,
    /// The body if it looks whole.
    pub whole_body: Option<Vec<u8>>,
}

impl RawResponse {
    /// Sends a request on a new connection, reads until the connection ends, and judges what arrived.
    ///
    /// # Errors
    ///
    /// Fails if the request can't be sent.
    pub fn read(address: SocketAddr, request: &[u8]) -> io::Result<Self> {
        let mut stream = TcpStream::connect(address)?;
        stream.set_read_timeout(Some(READ_TIMEOUT))?;
        stream.write_all(request)?;
        let mut raw = Vec::new();
        let ended_by_fin = stream.read_to_end(&mut raw).is_ok();
        Ok(Self::judge(&raw, ended_by_fin))
    }

    /// Judges the bytes of a connection as a client does (RFC 9112, section 6.3).
    pub fn judge(raw: &[u8], ended_by_fin: bool) -> Self {
        let Some(at) = raw.windows(4).position(|bytes| bytes == b"\r\n\r\n") else {
            return Self { status: 0, head: String::new(), whole_body: None };
        };
        let head = String::from_utf8_lossy(&raw[..at]).to_ascii_lowercase();
        let mut body = &raw[at + 4..];
        let status = head.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0);
        let field =
            |name: &str| head.lines().find_map(|line| line.strip_prefix(name)?.strip_prefix(": "));
        let whole_body = if field("transfer-encoding").is_some() {
            let mut whole = Vec::new();
            read_body(&mut body, Framing::Chunked, &mut |chunk| whole.extend_from_slice(chunk))
                .is_ok()
                .then_some(whole)
        } else if let Some(length) = field("content-length") {
            let length: Option<usize> = length.parse().ok();
            // Bytes behind a body belong to no request.
            length.filter(|length| body.len() >= *length).map(|_length| body.to_vec())
        } else {
            ended_by_fin.then(|| body.to_vec())
        };
        Self { status, head, whole_body }
    }
}
