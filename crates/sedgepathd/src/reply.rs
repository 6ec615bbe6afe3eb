//! The reply to a dispatched request, and bodies on their way.

use bytes::Bytes;
use sedgepath_core::request::{AnswerHead, Rejection};
use sedgepath_wire::frame::{HeaderField, HttpResponseHead};
use tokio::sync::mpsc;

/// The parts of a body that may wait for a slow reader.
const BODY_PARTS: usize = 4;

/// A body that broke off before its end.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("the body broke off before its end")]
pub struct BodyBroken;

/// The receiving end of a body. The channel closes after the last part of a whole body; a broken
/// one ends with an error, so that a short body is never taken for a whole one.
pub type BodyReceiver = mpsc::Receiver<Result<Bytes, BodyBroken>>;

/// The sending end of a body.
pub type BodySender = mpsc::Sender<Result<Bytes, BodyBroken>>;

/// Creates the two ends of a body.
pub fn body() -> (BodySender, BodyReceiver) {
    mpsc::channel(BODY_PARTS)
}

/// The answer of an upstream on its way to the caller.
#[derive(Debug)]
pub struct Answer {
    /// What the ingress decides by.
    pub head: AnswerHead,
    /// What the caller gets.
    pub http: HttpResponseHead,
    /// The body.
    pub body: BodyReceiver,
}

/// The reply to a dispatched request.
#[derive(Debug)]
pub enum Reply {
    /// An answer has begun.
    Answer(Box<Answer>),
    /// The request was not run.
    Refused(Rejection),
    /// Nothing was sent.
    NotSent,
    /// The request was sent and its answer was lost.
    Lost,
    /// The home of the request's ticket has given its final word.
    Concluded {
        /// The HTTP status.
        status: u16,
        /// The header.
        fields: Vec<HeaderField>,
        /// The body.
        body: Bytes,
    },
}
