//! Bodies that end with their connection.
//!
//! A caller of HTTP/1.0 can't be told otherwise where a body without a length ends. Its connection ends with a
//! reset unless the body was whole, also if the process ends.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll};

use bytes::Bytes;
use http_body_util::combinators::UnsyncBoxBody;
use hyper::body::{Body, Frame, SizeHint};
use hyper::header::CONTENT_LENGTH;
use hyper::{Response, Version};
use socket2::SockRef;
use tokio::net::TcpStream;

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
    pub fn follow<E: 'static>(
        &self,
        response: Response<UnsyncBoxBody<Bytes, E>>,
        version: Version,
    ) -> Response<UnsyncBoxBody<Bytes, E>> {
        let has_length = response.headers().contains_key(CONTENT_LENGTH)
            || response.body().size_hint().exact().is_some();
        if version >= Version::HTTP_11 || has_length {
            return response;
        }
        self.set(true);
        let unfinished = self.clone();
        response.map(|body| UnsyncBoxBody::new(CloseDelimitedBody { body, unfinished }))
    }
}

/// Makes a connection end with a reset while a body that ends with it isn't whole.
#[derive(Debug, Default)]
pub struct ResetUnlessWhole {
    body: UnfinishedBody,
    /// Whether the socket ends with a reset when it is dropped, or when the process ends.
    is_set: bool,
}

impl ResetUnlessWhole {
    /// Creates the option for the bodies of a connection.
    pub fn new(body: UnfinishedBody) -> Self {
        Self { body, is_set: false }
    }

    /// Prepares the socket for the end of the process; called before each write.
    pub fn before_write(&mut self, socket: &TcpStream) {
        if !self.is_set && self.body.exists() {
            // The system refuses the option only if the connection has failed.
            self.is_set = socket.set_zero_linger().is_ok();
        }
    }

    /// Returns whether the connection may be shut down; otherwise it is reset when it is dropped.
    ///
    /// # Errors
    ///
    /// Fails if the connection has failed.
    pub fn allows_shutdown(&mut self, socket: &TcpStream) -> io::Result<bool> {
        if self.is_set && !self.body.exists() {
            SockRef::from(socket).set_linger(None)?;
            self.is_set = false;
        }
        Ok(!self.is_set)
    }
}

/// A body that ends with its connection.
#[derive(Debug)]
struct CloseDelimitedBody<E> {
    body: UnsyncBoxBody<Bytes, E>,
    unfinished: UnfinishedBody,
}

impl<E> Body for CloseDelimitedBody<E> {
    type Data = Bytes;
    type Error = E;

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
