//! Streams a response body to the caller and reports to the node how the relay ended.

use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

use bytes::Bytes;
use hyper::body::{Frame, SizeHint};
use sedgepath_core::event::Event;
use sedgepath_core::key::RequestKey;

use super::CallerServer;
use crate::reply::{BodyAborted, BodyReceiver};

/// A response body that is streamed to the caller; it reports its end to the node once.
pub(super) struct RelayBody {
    pub(super) chunks: BodyReceiver,
    pub(super) remaining_bytes: Option<u64>,
    pub(super) callers: Arc<CallerServer>,
    pub(super) request: RequestKey,
    /// The request's identifier for the log.
    pub(super) id: Box<str>,
    pub(super) end_reported: bool,
    /// Whether the end of the whole body was reached.
    pub(super) ended: bool,
}

impl RelayBody {
    fn report_end(&mut self, whole: bool) {
        if !std::mem::replace(&mut self.end_reported, true) {
            let event = Event::RelayEnded { request: self.request, whole, stored: None };
            self.callers.handle.send_event(event);
        }
    }
}

impl Drop for RelayBody {
    fn drop(&mut self) {
        // hyper drops a body of declared length once that length is sent, without polling for its
        // end. A body dropped earlier means that the caller has disconnected or the process ends.
        let whole = self.ended || self.remaining_bytes == Some(0);
        if !whole && self.callers.is_process_ending() {
            log::info!("event=response_cut request={:?}", self.id);
        }
        self.report_end(whole);
    }
}

impl hyper::body::Body for RelayBody {
    type Data = Bytes;
    type Error = BodyAborted;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyAborted>>> {
        let chunk = std::task::ready!(self.chunks.poll_recv(cx));
        Poll::Ready(match chunk {
            Some(Ok(bytes)) => {
                self.remaining_bytes =
                    self.remaining_bytes.map(|left| left.saturating_sub(bytes.len() as u64));
                Some(Ok(Frame::data(bytes)))
            }
            Some(Err(aborted)) => {
                self.report_end(false);
                Some(Err(aborted))
            }
            // A body shorter than its declared length is aborted, even if its sender ended it
            // without an error.
            None if self.remaining_bytes.is_some_and(|left| left > 0) => {
                self.report_end(false);
                Some(Err(BodyAborted))
            }
            None => {
                self.ended = true;
                self.report_end(true);
                None
            }
        })
    }

    fn size_hint(&self) -> SizeHint {
        self.remaining_bytes.map_or_else(SizeHint::default, SizeHint::with_exact)
    }
}
