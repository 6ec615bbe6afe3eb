//! A caller's HTTP connection, which carries one request at a time.

use std::io::{self, BufReader, ErrorKind, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use super::CallFailure;
use crate::clock::now_ms;
use crate::content::{self, Digest};
use crate::http1::{Framing, Head, read_body};
use crate::upstream::DIGEST;

const MAX_KEPT_BODY_BYTES: usize = 1024 * 1024;

/// A response whose body was read to its declared end.
#[derive(Debug, Default)]
pub(super) struct Response {
    pub(super) status: u16,
    pub(super) head: Head,
    pub(super) body: Vec<u8>,
    pub(super) body_bytes: u64,
    /// The defect of the body, if any.
    pub(super) failure: Option<CallFailure>,
}

#[derive(Debug)]
pub(super) struct Connection {
    reader: BufReader<TcpStream>,
}

impl Connection {
    /// Connects to an entry VM.
    ///
    /// # Errors
    ///
    /// Returns an error if no connection is made before the deadline; nothing was sent then.
    pub(super) fn new(addr: SocketAddr, deadline_ms: u64) -> io::Result<Self> {
        let stream = TcpStream::connect_timeout(&addr, time_left(deadline_ms))?;
        stream.set_nodelay(true)?;
        Ok(Self { reader: BufReader::new(stream) })
    }

    /// Returns whether the idle connection can be reused: the peer has neither closed it nor sent
    /// unsolicited data.
    pub(super) fn is_open(&self) -> bool {
        let stream = self.reader.get_ref();
        let idle = || -> io::Result<bool> {
            stream.set_nonblocking(true)?;
            let peeked = stream.peek(&mut [0]);
            stream.set_nonblocking(false)?;
            Ok(peeked.is_err_and(|error| error.kind() == ErrorKind::WouldBlock))
        };
        self.reader.buffer().is_empty() && idle().unwrap_or(false)
    }

    /// Sends a request and reads the complete response.
    ///
    /// # Errors
    ///
    /// Returns a [`CallFailure`] if no complete response arrives before the deadline.
    pub(super) fn exchange(
        &mut self,
        request: &[u8],
        bodiless: bool,
        deadline_ms: u64,
    ) -> Result<Response, CallFailure> {
        let no_response = |error: io::Error| CallFailure::NoResponse(error.kind());
        self.send(request, deadline_ms).map_err(no_response)?;
        let head = Head::read(&mut self.reader).map_err(no_response)?;
        let head = head.ok_or(CallFailure::NoResponse(ErrorKind::UnexpectedEof))?;
        let status = head.start_line.split(' ').nth(1).and_then(|code| code.parse().ok());
        let status: u16 = status.ok_or(CallFailure::NoResponse(ErrorKind::InvalidData))?;
        let bodiless = bodiless || matches!(status, 204 | 304);
        self.read_response(head, status, bodiless, deadline_ms)
            .map_err(|error| CallFailure::IncompleteBody(error.kind()))
    }

    fn send(&mut self, request: &[u8], deadline_ms: u64) -> io::Result<()> {
        let stream = self.reader.get_mut();
        stream.set_read_timeout(Some(time_left(deadline_ms)))?;
        stream.set_write_timeout(Some(time_left(deadline_ms)))?;
        stream.write_all(request)
    }

    fn read_response(
        &mut self,
        head: Head,
        status: u16,
        bodiless: bool,
        deadline_ms: u64,
    ) -> io::Result<Response> {
        let framing = if bodiless { Framing::Empty } else { head.framing(Framing::Undeclared)? };
        let stream = self.reader.get_ref();
        stream.set_read_timeout(Some(time_left(deadline_ms)))?;
        let mut check = BodyCheck::new(&head);
        let length = read_body(&mut self.reader, framing, &mut |chunk| check.update(chunk))?;
        Ok(Response {
            status,
            failure: (!bodiless && !check.is_valid(&head)).then_some(CallFailure::BodyMismatch),
            body: check.kept_body,
            head,
            body_bytes: length,
        })
    }
}

/// Verifies a body incrementally against its digest or against the content that its entity tag generates.
struct BodyCheck {
    digest: Digest,
    revision: Option<u64>,
    position: u64,
    matches_generated: bool,
    kept_body: Vec<u8>,
}

impl BodyCheck {
    fn new(head: &Head) -> Self {
        let range = head.header("content-range").and_then(|range| range.strip_prefix("bytes "));
        let from = range.and_then(|range| range.split('-').next()?.parse().ok());
        Self {
            digest: Digest::new(),
            revision: head.header("etag").and_then(generated_revision),
            position: from.unwrap_or(0),
            matches_generated: true,
            kept_body: Vec::new(),
        }
    }

    fn update(&mut self, chunk: &[u8]) {
        match self.revision {
            Some(revision) => {
                self.matches_generated &= content::matches(revision, self.position, chunk);
            }
            None => self.digest.update(chunk),
        }
        self.position += chunk.len() as u64;
        let remaining = MAX_KEPT_BODY_BYTES - self.kept_body.len();
        self.kept_body.extend_from_slice(&chunk[..chunk.len().min(remaining)]);
    }

    fn is_valid(&self, head: &Head) -> bool {
        let declared_digest = head.header(DIGEST);
        let digest_matches =
            declared_digest.is_none_or(|declared| declared == self.digest.to_string());
        self.matches_generated && (self.revision.is_some() || digest_matches)
    }
}

/// Returns the revision in an entity tag such as `"large-1000-1"`.
fn generated_revision(etag: &str) -> Option<u64> {
    let tag = etag.strip_prefix("\"large-")?.strip_suffix('"')?;
    tag.split_once('-')?.1.parse().ok()
}

/// Returns the time left, at least 1 ms, because sockets reject a timeout of zero.
fn time_left(deadline_ms: u64) -> Duration {
    Duration::from_millis(deadline_ms.saturating_sub(now_ms()).max(1))
}
