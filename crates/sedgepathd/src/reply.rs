//! Replies to dispatched requests, and the channels that stream their bodies.

use std::future::poll_fn;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll, ready};

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

/// The receiver of a body has stopped.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("the body's receiver has stopped")]
pub struct ReceiverStopped;

/// The receiving half of [`body_channel`].
#[derive(Debug)]
pub struct BodyReceiver {
    chunks: mpsc::Receiver<Bytes>,
    is_whole: Arc<AtomicBool>,
    has_ended: bool,
}

impl BodyReceiver {
    /// Receives the next chunk; `None` after the last one of a whole body. A body whose sender is dropped without
    /// having finished it ends with an error, so that a truncated body is never taken for a whole one.
    pub async fn recv(&mut self) -> Option<Result<Bytes, BodyAborted>> {
        poll_fn(|cx| self.poll_recv(cx)).await
    }

    /// Polls for the next chunk, as [`Self::recv`] returns it.
    pub fn poll_recv(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, BodyAborted>>> {
        let chunk = ready!(self.chunks.poll_recv(cx));
        Poll::Ready(chunk.map(Ok).or_else(|| self.end()))
    }

    /// Returns the error of a body that ends before it is whole, once.
    fn end(&mut self) -> Option<Result<Bytes, BodyAborted>> {
        let had_ended = std::mem::replace(&mut self.has_ended, true);
        let is_aborted = !had_ended && !self.is_whole.load(Ordering::Acquire);
        is_aborted.then_some(Err(BodyAborted))
    }
}

/// The sending half of [`body_channel`]; dropping it aborts the body.
#[derive(Debug)]
pub struct BodySender {
    chunks: mpsc::Sender<Bytes>,
    is_whole: Arc<AtomicBool>,
}

impl BodySender {
    /// Sends a chunk once the receiver has room for it.
    ///
    /// # Errors
    ///
    /// Fails if the receiver was dropped.
    pub async fn send(&self, chunk: Bytes) -> Result<(), ReceiverStopped> {
        self.chunks.send(chunk).await.map_err(|_chunk| ReceiverStopped)
    }

    /// Sends a chunk if the receiver has room for it.
    ///
    /// # Errors
    ///
    /// Fails if the receiver was dropped or has no room.
    pub fn try_send(&self, chunk: Bytes) -> Result<(), ReceiverStopped> {
        self.chunks.try_send(chunk).map_err(|_chunk| ReceiverStopped)
    }

    /// Waits until the receiver is dropped.
    pub async fn closed(&self) {
        self.chunks.closed().await;
    }

    /// Ends a body that is whole.
    pub fn finish(self) {
        self.is_whole.store(true, Ordering::Release);
    }
}

/// Creates the channel that streams a body's chunks.
pub fn body_channel() -> (BodySender, BodyReceiver) {
    let (sender, receiver) = mpsc::channel(MAX_BUFFERED_CHUNKS);
    let is_whole = Arc::new(AtomicBool::new(false));
    let body_sender = BodySender { chunks: sender, is_whole: Arc::clone(&is_whole) };
    (body_sender, BodyReceiver { chunks: receiver, is_whole, has_ended: false })
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
