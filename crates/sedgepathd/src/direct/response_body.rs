//! Bodies of upstreams' responses, buffered completely or in part.

use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll};

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Body as _, Frame, Incoming, SizeHint};
use sedgepath_core::direct::upstreams::UpstreamKey;
use tokio::time::Sleep;

use super::clock;
use super::connection_pool::{Body, BodyError, Connection};
use super::shared::SharedState;
use crate::open_count::{OpenGuard, UnwrittenResponses};

/// Responses up to this size are buffered completely before the caller gets the first byte, so that
/// a truncated one can be replaced by another upstream's.
pub const MAX_BUFFERED_RESPONSE_BYTES: usize = 1024 * 1024;

/// The time before a deadline from which a caller that leaves has given up at it, in milliseconds: its link
/// delays its request and its leaving.
const DEADLINE_MARGIN_MS: u64 = 300;

/// The time without taking bytes after which a caller reads slowly, in milliseconds, so that a late end isn't
/// the upstream's fault.
const CALLER_STALL_MS: u64 = 500;

/// What was buffered of a response body.
#[derive(Debug)]
pub enum BufferedBody {
    /// The complete body.
    Complete(Bytes),
    /// The beginning; the rest is still to be read.
    Partial(Bytes),
}

/// Buffers a body that arrives on a connection, to its end or up to the buffer limit.
///
/// # Errors
///
/// Fails if the connection is lost before the body's end.
pub async fn buffer_body(
    shared: &SharedState,
    incoming: &mut Incoming,
    connection: &Connection,
) -> Result<BufferedBody, hyper::Error> {
    let mut buffer = BytesMut::new();
    while let Some(frame) = incoming.frame().await {
        connection.record_data();
        if let Ok(data) = frame?.into_data() {
            if buffer.is_empty() && incoming.is_end_stream() {
                return Ok(BufferedBody::Complete(shared.response_memory.hold(data)));
            }
            buffer.extend_from_slice(&data);
        }
        if buffer.len() >= shared.buffer_limit_bytes(MAX_BUFFERED_RESPONSE_BYTES) {
            return Ok(BufferedBody::Partial(shared.response_memory.hold(buffer.freeze())));
        }
    }
    Ok(BufferedBody::Complete(shared.response_memory.hold(buffer.freeze())))
}

/// How a body that was passed on before it had arrived completely has ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BodyEnd {
    /// The upstream that sent the body.
    pub upstream: UpstreamKey,
    /// Whether the body was whole; otherwise it ended early by the upstream's fault.
    pub is_whole: bool,
}

/// The ends of bodies that the steering state hasn't recorded.
#[derive(Debug, Default)]
pub struct BodyEnds(Mutex<Vec<BodyEnd>>);

impl BodyEnds {
    fn push(&self, end: BodyEnd) {
        self.lock().push(end);
    }

    /// Takes all ends.
    pub fn take(&self) -> Vec<BodyEnd> {
        std::mem::take(&mut *self.lock())
    }

    fn lock(&self) -> MutexGuard<'_, Vec<BodyEnd>> {
        // A panic can't leave the list inconsistent.
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// What a body that is passed on waits for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum BodyProgress {
    /// Bytes of the upstream.
    AwaitsUpstream,
    /// Its caller.
    AwaitsCaller {
        /// When the caller took the last bytes, in milliseconds.
        since_ms: u64,
    },
    /// Nothing.
    Ended,
}

/// A body whose beginning is buffered and whose rest is passed on as it arrives, until the deadline.
///
/// Nothing tells a body without end from a long one before the deadline. A caller that gives up at the same
/// deadline may be sooner, as its link delays the request.
#[derive(Debug)]
pub struct PartlyBufferedBody {
    prefix: Option<Bytes>,
    rest: Incoming,
    deadline_at_ms: u64,
    deadline: Pin<Box<Sleep>>,
    progress: BodyProgress,
    /// The upstream that sends the body, and where the body's end is recorded.
    upstream: Option<(UpstreamKey, Arc<BodyEnds>)>,
    /// Dropped with the body, since a connection can't be reused before its response has ended.
    connection: Connection,
}

impl PartlyBufferedBody {
    /// Creates a body from its beginning and the rest, which arrives on a connection until a deadline in
    /// milliseconds.
    pub fn new(prefix: Bytes, rest: Incoming, connection: Connection, deadline_at_ms: u64) -> Self {
        Self {
            prefix: Some(prefix),
            rest,
            deadline_at_ms,
            deadline: Box::pin(tokio::time::sleep_until(clock::instant_at(deadline_at_ms))),
            progress: BodyProgress::AwaitsCaller { since_ms: clock::now_ms() },
            upstream: None,
            connection,
        }
    }

    /// Sets the upstream that sends the body, and where the body's end is recorded.
    #[must_use]
    pub fn with_upstream(mut self, upstream: UpstreamKey, ends: Arc<BodyEnds>) -> Self {
        self.upstream = Some((upstream, ends));
        self
    }

    /// Returns the body with its type erased.
    pub fn boxed(self) -> Body {
        self.boxed_unsync()
    }

    fn record_end(&mut self, is_whole: bool) {
        if std::mem::replace(&mut self.progress, BodyProgress::Ended) == BodyProgress::Ended {
            return;
        }
        if let Some((upstream, ends)) = &self.upstream {
            ends.push(BodyEnd { upstream: *upstream, is_whole });
        }
    }

    /// Returns whether the body hasn't ended although the deadline is about to pass, and its caller has read it.
    fn has_failed_by_deadline(&self, now_ms: u64) -> bool {
        let caller_reads = match self.progress {
            BodyProgress::Ended => return false,
            BodyProgress::AwaitsUpstream => true,
            BodyProgress::AwaitsCaller { since_ms } => now_ms < since_ms + CALLER_STALL_MS,
        };
        caller_reads && now_ms + DEADLINE_MARGIN_MS >= self.deadline_at_ms
    }
}

impl Drop for PartlyBufferedBody {
    fn drop(&mut self) {
        if self.has_failed_by_deadline(clock::now_ms()) {
            self.record_end(false);
        }
    }
}

impl hyper::body::Body for PartlyBufferedBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Self::Error>>> {
        if self.deadline.as_mut().poll(cx).is_ready() {
            return Poll::Ready(Some(Err("the response takes longer than the deadline".into())));
        }
        if let Some(prefix) = self.prefix.take() {
            return Poll::Ready(Some(Ok(Frame::data(prefix))));
        }
        let polled = Pin::new(&mut self.rest).poll_frame(cx);
        if polled.is_ready() {
            self.connection.record_data();
        }
        match &polled {
            Poll::Pending => self.progress = BodyProgress::AwaitsUpstream,
            Poll::Ready(Some(Err(_))) => self.record_end(false),
            // A body isn't polled again after its last frame.
            Poll::Ready(_) if self.rest.is_end_stream() => {
                self.connection.record_complete();
                self.record_end(true);
            }
            Poll::Ready(_) => {
                self.progress = BodyProgress::AwaitsCaller { since_ms: clock::now_ms() };
            }
        }
        polled.map_err(Into::into)
    }

    fn is_end_stream(&self) -> bool {
        self.prefix.is_none() && self.rest.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::default()
    }
}

/// A body that is counted until it is written to its connection.
#[derive(Debug)]
pub struct CountedBody {
    body: Body,
    /// `None` once the body has been taken.
    guard: Option<OpenGuard>,
    unwritten: UnwrittenResponses,
}

impl CountedBody {
    /// Creates a body that a guard counts, of a connection with these unwritten responses.
    pub fn new(body: Body, guard: OpenGuard, unwritten: UnwrittenResponses) -> Self {
        Self { body, guard: Some(guard), unwritten }
    }

    /// Returns the body with its type erased.
    pub fn boxed(self) -> Body {
        self.boxed_unsync()
    }
}

impl Drop for CountedBody {
    fn drop(&mut self) {
        if let Some(guard) = self.guard.take() {
            self.unwritten.push(guard);
        }
    }
}

impl hyper::body::Body for CountedBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Self::Error>>> {
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
