//! Replies to dispatched requests, and the channels that stream their bodies.

use bytes::Bytes;
use sedgepath_core::request::{AnswerHead, Rejection};
use sedgepath_wire::frame::{HeaderField, HttpResponseHead};
use tokio::sync::mpsc;

/// The maximum number of body chunks that are buffered for a slow reader.
const MAX_BUFFERED_CHUNKS: usize = 4;

/// The sender stopped before the body was complete.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("the body was aborted before its end")]
pub struct BodyAborted;

/// The receiving half of [`body_channel`].
///
/// The channel closes after the last chunk of a complete body. An aborted body ends with an error,
/// so that a truncated body is never taken for a complete one.
pub type BodyReceiver = mpsc::Receiver<Result<Bytes, BodyAborted>>;

/// The sending half of [`body_channel`].
pub type BodySender = mpsc::Sender<Result<Bytes, BodyAborted>>;

/// Creates the channel that streams a body's chunks.
pub fn body_channel() -> (BodySender, BodyReceiver) {
    mpsc::channel(MAX_BUFFERED_CHUNKS)
}

/// An upstream's response, whose body is streamed to the caller.
#[derive(Debug)]
pub struct UpstreamResponse {
    /// The status and origin of the response, on which the ingress node's decisions depend.
    pub head: AnswerHead,
    /// The HTTP head that is sent to the caller.
    pub http: HttpResponseHead,
    /// The receiver of the body's chunks.
    pub body: BodyReceiver,
}

/// The result of dispatching a request.
#[derive(Debug)]
pub enum Reply {
    /// The upstream's response has begun.
    UpstreamResponse(Box<UpstreamResponse>),
    /// The request was rejected and not run.
    Rejected(Rejection),
    /// The request was not sent to a peer or an upstream.
    NotSent,
    /// The request was sent, but its response was lost.
    ResponseLost,
    /// The final response of the peer that is the home of the request's ticket.
    HomeResponse {
        /// The HTTP status.
        status: u16,
        /// The header fields.
        fields: Vec<HeaderField>,
        /// The body.
        body: Bytes,
    },
}
