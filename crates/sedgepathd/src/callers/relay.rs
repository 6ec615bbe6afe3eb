//! The body of an answer on its way to the caller.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use hyper::body::{Frame, SizeHint};
use sedgepath_core::event::Event;
use sedgepath_core::key::RequestKey;

use crate::driver::Handle;
use crate::reply::{BodyBroken, BodyReceiver};

/// The body of an answer on its way to the caller; tells the node how it ended.
pub(super) struct RelayBody {
    pub(super) parts: BodyReceiver,
    pub(super) left_bytes: Option<u64>,
    pub(super) handle: Handle,
    pub(super) request: RequestKey,
    pub(super) ended: bool,
}

impl RelayBody {
    fn end(&mut self, whole: bool) {
        if !std::mem::replace(&mut self.ended, true) {
            let event = Event::RelayEnded { request: self.request, whole, stored: None };
            self.handle.event(event);
        }
    }
}

impl Drop for RelayBody {
    fn drop(&mut self) {
        // hyper drops a body of a declared length once that length is sent, without asking for the
        // end; before that, the caller has gone.
        let whole = self.left_bytes == Some(0);
        self.end(whole);
    }
}

impl hyper::body::Body for RelayBody {
    type Data = Bytes;
    type Error = BodyBroken;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyBroken>>> {
        let part = std::task::ready!(self.parts.poll_recv(cx));
        Poll::Ready(match part {
            Some(Ok(bytes)) => {
                self.left_bytes =
                    self.left_bytes.map(|left| left.saturating_sub(bytes.len() as u64));
                Some(Ok(Frame::data(bytes)))
            }
            Some(Err(broken)) => {
                self.end(false);
                Some(Err(broken))
            }
            // A body that ends before its declared length is broken, whatever its sender says.
            None if self.left_bytes.is_some_and(|left| left > 0) => {
                self.end(false);
                Some(Err(BodyBroken))
            }
            None => {
                self.end(true);
                None
            }
        })
    }

    fn size_hint(&self) -> SizeHint {
        self.left_bytes.map_or_else(SizeHint::default, SizeHint::with_exact)
    }
}
