//! A caller's connection, on which one request follows the other.

use std::io::{self, BufReader, ErrorKind, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use super::CallFailure;
use crate::clock::now_ms;
use crate::content::{self, Digest};
use crate::http1::{Framing, Head, read_body};
use crate::upstream::DIGEST;

const MAX_KEPT_BYTES: usize = 1024 * 1024;

/// An answer whose body was read to its declared end.
#[derive(Debug, Default)]
pub(super) struct Answer {
    pub(super) status: u16,
    pub(super) head: Head,
    pub(super) body: Vec<u8>,
    pub(super) length: u64,
    /// What is wrong with the body.
    pub(super) failure: Option<CallFailure>,
}

#[derive(Debug)]
pub(super) struct Connection {
    reader: BufReader<TcpStream>,
}

impl Connection {
    /// Connects before the deadline.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no connection, so that nothing was sent.
    pub(super) fn new(addr: SocketAddr, deadline_ms: u64) -> io::Result<Self> {
        let stream = TcpStream::connect_timeout(&addr, left(deadline_ms))?;
        stream.set_nodelay(true)?;
        Ok(Self { reader: BufReader::new(stream) })
    }

    /// Tells whether the other side has neither closed the connection nor sent what nobody asked.
    ///
    /// A request on a connection that was closed while idle would fail without need.
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

    /// Sends a request and reads its answer to the end.
    ///
    /// # Errors
    ///
    /// Returns a [`CallFailure`] if no whole answer came.
    pub(super) fn exchange(
        &mut self,
        request: &[u8],
        bodiless: bool,
        deadline_ms: u64,
    ) -> Result<Answer, CallFailure> {
        let no_answer = |error: io::Error| CallFailure::NoAnswer(error.kind());
        self.send(request, deadline_ms).map_err(no_answer)?;
        let head = Head::read(&mut self.reader).map_err(no_answer)?;
        let head = head.ok_or(CallFailure::NoAnswer(ErrorKind::UnexpectedEof))?;
        let status = head.start.split(' ').nth(1).and_then(|code| code.parse().ok());
        let status: u16 = status.ok_or(CallFailure::NoAnswer(ErrorKind::InvalidData))?;
        let bodiless = bodiless || matches!(status, 204 | 304);
        self.read(head, status, bodiless, deadline_ms)
            .map_err(|error| CallFailure::NotWhole(error.kind()))
    }

    fn send(&mut self, request: &[u8], deadline_ms: u64) -> io::Result<()> {
        let stream = self.reader.get_mut();
        stream.set_read_timeout(Some(left(deadline_ms)))?;
        stream.set_write_timeout(Some(left(deadline_ms)))?;
        stream.write_all(request)
    }

    fn read(
        &mut self,
        head: Head,
        status: u16,
        bodiless: bool,
        deadline_ms: u64,
    ) -> io::Result<Answer> {
        let framing = if bodiless { Framing::Empty } else { head.framing(Framing::Unknown)? };
        let stream = self.reader.get_ref();
        stream.set_read_timeout(Some(left(deadline_ms)))?;
        let mut check = BodyCheck::new(&head);
        let length = read_body(&mut self.reader, framing, &mut |piece| check.update(piece))?;
        Ok(Answer {
            status,
            failure: (!bodiless && !check.passes(&head)).then_some(CallFailure::WrongBody),
            body: check.kept,
            head,
            length,
        })
    }
}

/// Compares a body, piece by piece, with its digest or with what its entity tag generates.
struct BodyCheck {
    digest: Digest,
    revision: Option<u64>,
    position: u64,
    generated: bool,
    kept: Vec<u8>,
}

impl BodyCheck {
    fn new(head: &Head) -> Self {
        let range = head.get("content-range").and_then(|range| range.strip_prefix("bytes "));
        let from = range.and_then(|range| range.split('-').next()?.parse().ok());
        Self {
            digest: Digest::new(),
            revision: head.get("etag").and_then(generated_revision),
            position: from.unwrap_or(0),
            generated: true,
            kept: Vec::new(),
        }
    }

    fn update(&mut self, piece: &[u8]) {
        match self.revision {
            Some(revision) => self.generated &= content::matches(revision, self.position, piece),
            None => self.digest.update(piece),
        }
        self.position += piece.len() as u64;
        let room = MAX_KEPT_BYTES - self.kept.len();
        self.kept.extend_from_slice(&piece[..piece.len().min(room)]);
    }

    fn passes(&self, head: &Head) -> bool {
        let declared = head.get(DIGEST);
        let same = declared.is_none_or(|declared| declared == self.digest.to_string());
        self.generated && (self.revision.is_some() || same)
    }
}

/// Reads the revision out of an entity tag like `"large-1000-1"`.
fn generated_revision(etag: &str) -> Option<u64> {
    let tag = etag.strip_prefix("\"large-")?.strip_suffix('"')?;
    tag.split_once('-')?.1.parse().ok()
}

/// Returns the time left, at least a millisecond, since a socket takes zero for "no limit".
fn left(deadline_ms: u64) -> Duration {
    Duration::from_millis(deadline_ms.saturating_sub(now_ms()).max(1))
}
