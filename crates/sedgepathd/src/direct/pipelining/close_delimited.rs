//! Bodies that end with their connection.
//!
//! A caller of HTTP/1.0 can't be told otherwise where a body without a length ends. Its connection ends with a
//! reset unless the body was whole, also if the process ends.

use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll};

use bytes::Bytes;
use hyper::body::{Body as _, Frame, SizeHint};
use hyper::header::CONTENT_LENGTH;
use hyper::{Response, Version};

use crate::direct::connection_pool::{Body, BodyError};

/// Whether a connection has a body that ends with it and hasn't been taken to its end.
#[derive(Debug, Clone, Default)]
pub struct UnfinishedBody(Arc<AtomicBool>);

impl UnfinishedBody {
    /// Returns whether there is such a body.
    pub fn exists(&self) -> bool {
        self.0.load(Ordering::Relaxed)
    }

    fn set(&self, exists: bool) {
        self.0.store(exists, Ordering::Relaxed);
    }

    /// Follows the body of a response to a caller's version of HTTP if it ends with the connection.
    pub fn follow(&self, response: Response<Body>, version: Version) -> Response<Body> {
        let has_length = response.headers().contains_key(CONTENT_LENGTH)
            || response.body().size_hint().exact().is_some();
        if version >= Version::HTTP_11 || has_length {
            return response;
        }
        self.set(true);
        let unfinished = self.clone();
        response.map(|body| Body::new(CloseDelimitedBody { body, unfinished }))
    }
}

/// A body that ends with its connection.
#[derive(Debug)]
struct CloseDelimitedBody {
    body: Body,
    unfinished: UnfinishedBody,
}

impl hyper::body::Body for CloseDelimitedBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Self::Error>>> {
        let polled = Pin::new(&mut self.body).poll_frame(cx);
        let is_end = match &polled {
            Poll::Ready(None) => true,
            // A body isn't polled again after its last frame.
            Poll::Ready(Some(Ok(_))) => self.body.is_end_stream(),
            Poll::Ready(Some(Err(_))) | Poll::Pending => false,
        };
        if is_end {
            self.unfinished.set(false);
        }
        polled
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
