//! Bodies of callers' requests, buffered so that they can be sent again.

use std::pin::Pin;
use std::task::{Context, Poll, ready};

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Body as _, Frame, Incoming, SizeHint};
use prometheus::IntCounterVec;
use sedgepath_core::direct::fingerprint::FINGERPRINT_BODY_BYTES;

use super::attempt::bytes_body;
use super::connection_pool::{Body, BodyError};
use super::shared::SharedState;

/// Request bodies up to this size are buffered completely, so that they can be sent again.
const MAX_BUFFERED_BODY_BYTES: usize = 256 * 1024;

/// An extension of responses to requests whose body, of unknown length, was read to its end.
#[derive(Debug, Clone, Copy)]
pub struct BodyRead;

/// The body of a request to be sent.
#[derive(Debug)]
pub enum RequestBody {
    /// Complete; can be sent again.
    Buffered(Bytes),
    /// Partly read; can be sent once.
    Streamed {
        /// The first bytes, which the request's fingerprint covers.
        beginning: Bytes,
        /// The whole body; `None` after it was sent.
        body: Option<Body>,
    },
}

impl RequestBody {
    /// Returns whether the body was streamed to an upstream and can't be sent again.
    pub fn is_spent(&self) -> bool {
        matches!(self, Self::Streamed { body: None, .. })
    }

    /// Returns the body for an attempt; `None` if it was streamed in an earlier one.
    pub fn take(&mut self) -> Option<Body> {
        match self {
            Self::Buffered(bytes) => Some(bytes_body(bytes.clone())),
            Self::Streamed { body, .. } => body.take(),
        }
    }

    /// Returns the body, or the beginning of a streamed one.
    pub fn beginning(&self) -> &[u8] {
        match self {
            Self::Buffered(bytes) => bytes,
            Self::Streamed { beginning, .. } => beginning,
        }
    }

    /// Returns the length of the body in bytes, if it is in memory.
    pub fn buffered_bytes(&self) -> Option<u64> {
        match self {
            Self::Buffered(bytes) => Some(bytes.len() as u64),
            Self::Streamed { .. } => None,
        }
    }
}

/// Why the body of a request can't be read.
#[derive(Debug, Clone, Copy)]
pub enum BodyReadError {
    /// It exceeds the size limit.
    TooLarge,
    /// The caller has sent only a part of it.
    Aborted,
}

/// Buffers a request's body, or its beginning if it exceeds the buffer limit.
///
/// # Errors
///
/// Fails if the body exceeds `max_bytes`, or the caller disconnects.
pub async fn read_body(
    shared: &SharedState,
    incoming: Option<Incoming>,
    max_bytes: u64,
) -> Result<RequestBody, BodyReadError> {
    let Some(mut incoming) = incoming.filter(|incoming| !incoming.is_end_stream()) else {
        return Ok(RequestBody::Buffered(Bytes::new()));
    };
    if incoming.size_hint().lower() > max_bytes {
        return Err(BodyReadError::TooLarge);
    }
    let mut prefix = BytesMut::new();
    while prefix.len() < shared.buffer_limit_bytes(MAX_BUFFERED_BODY_BYTES) {
        let Some(frame) = incoming.frame().await else {
            return Ok(RequestBody::Buffered(prefix.freeze()));
        };
        let frame = frame.map_err(|_broken| BodyReadError::Aborted)?;
        if let Ok(data) = frame.into_data() {
            prefix.extend_from_slice(&data);
        }
        if prefix.len() as u64 > max_bytes {
            return Err(BodyReadError::TooLarge);
        }
    }
    let prefix = prefix.freeze();
    let beginning = Bytes::copy_from_slice(&prefix[..prefix.len().min(FINGERPRINT_BODY_BYTES)]);
    let ends = shared.metrics.streamed_request_bodies();
    let body = StreamedBody::new(prefix, incoming, max_bytes, ends);
    let body = Some(BodyExt::boxed_unsync(body));
    Ok(RequestBody::Streamed { beginning, body })
}

/// A body that is passed on as its caller sends it; fails once it exceeds the size limit.
#[derive(Debug)]
struct StreamedBody {
    /// The buffered beginning; `None` once it was passed on.
    prefix: Option<Bytes>,
    rest: Incoming,
    /// The length that the caller has stated; `None` if the body is chunked.
    stated_bytes: Option<u64>,
    passed_bytes: u64,
    max_bytes: u64,
    has_ended: bool,
    /// Counts how the body has ended.
    ends: IntCounterVec,
}

impl StreamedBody {
    fn new(prefix: Bytes, rest: Incoming, max_bytes: u64, ends: IntCounterVec) -> Self {
        let rest_bytes = rest.size_hint().exact();
        Self {
            stated_bytes: rest_bytes.map(|rest_bytes| prefix.len() as u64 + rest_bytes),
            prefix: Some(prefix).filter(|prefix| !prefix.is_empty()),
            rest,
            passed_bytes: 0,
            max_bytes,
            has_ended: false,
            ends,
        }
    }

    /// Returns the name of how the body has ended, for the counter.
    fn end_name(&self) -> &'static str {
        match self.passed_bytes {
            0 => "unsent",
            _ if self.has_ended || self.rest.is_end_stream() => "whole",
            _ => "cut",
        }
    }
}

impl Drop for StreamedBody {
    fn drop(&mut self) {
        self.ends.with_label_values(&[self.end_name()]).inc();
    }
}

impl hyper::body::Body for StreamedBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Self::Error>>> {
        if let Some(prefix) = self.prefix.take() {
            self.passed_bytes += prefix.len() as u64;
            return Poll::Ready(Some(Ok(Frame::data(prefix))));
        }
        let frame = ready!(Pin::new(&mut self.rest).poll_frame(cx)).transpose()?;
        // Trailers end the body; they aren't forwarded.
        let Some(data) = frame.and_then(|frame| frame.into_data().ok()) else {
            self.has_ended = true;
            return Poll::Ready(None);
        };
        self.passed_bytes += data.len() as u64;
        if self.passed_bytes > self.max_bytes {
            return Poll::Ready(Some(Err("the request body exceeds the size limit".into())));
        }
        Poll::Ready(Some(Ok(Frame::data(data))))
    }

    fn size_hint(&self) -> SizeHint {
        let left_bytes = self.stated_bytes.map(|bytes| bytes.saturating_sub(self.passed_bytes));
        left_bytes.map_or_else(SizeHint::default, SizeHint::with_exact)
    }
}
