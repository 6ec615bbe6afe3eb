//! Bodies of callers' requests, buffered so that they can be sent again.

use bytes::{Bytes, BytesMut};
use futures_util::stream::{self, Stream};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Body as _, Frame, Incoming};
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
    let body = Some(streaming_body(prefix, incoming, max_bytes));
    Ok(RequestBody::Streamed { beginning, body })
}

/// Streams a body whose beginning is buffered; fails once it exceeds `max_bytes`.
fn streaming_body(prefix: Bytes, rest: Incoming, max_bytes: u64) -> Body {
    let seen_bytes = prefix.len() as u64;
    let state = (Some(prefix), rest, seen_bytes);
    let stream = limited_frames(state, max_bytes);
    BodyExt::boxed_unsync(StreamBody::new(stream))
}

type StreamState = (Option<Bytes>, Incoming, u64);

fn limited_frames(
    state: StreamState,
    max_bytes: u64,
) -> impl Stream<Item = Result<Frame<Bytes>, BodyError>> + Send {
    stream::try_unfold(state, move |(prefix, mut rest, seen_bytes)| async move {
        if let Some(prefix) = prefix {
            return Ok(Some((Frame::data(prefix), (None, rest, seen_bytes))));
        }
        let Some(frame) = rest.frame().await else {
            return Ok(None);
        };
        let frame = frame?;
        let seen_bytes = seen_bytes + frame.data_ref().map_or(0, |data| data.len() as u64);
        if seen_bytes > max_bytes {
            return Err("the request body exceeds the size limit".into());
        }
        Ok(Some((frame, (None, rest, seen_bytes))))
    })
}
