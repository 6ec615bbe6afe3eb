//! The connection as hyper reads and writes it.

use std::io::{self, IoSlice};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

use super::pipeline::Pipeline;
use crate::close_delimited::ResetUnlessWhole;
use crate::lingering_close::{LingeringClose, is_read_closed};

/// The bytes that a stopping VM looks at before it reads them.
const PEEK_BYTES: usize = 4 * 1024;

/// A caller's connection. Reading passes the bytes on unchanged, up to the end of one request at a time.
///
/// hyper reads also while a request is in progress, to notice that the caller has closed the connection.
/// Further requests are read ahead then.
#[derive(Debug)]
pub struct PipelinedStream {
    socket: TcpStream,
    pipeline: Rc<Pipeline>,
    /// Set once the sending side is closed.
    close: Option<LingeringClose>,
    reset: ResetUnlessWhole,
}

impl PipelinedStream {
    /// Creates a connection whose requests belong to a pipeline.
    pub fn new(socket: TcpStream, pipeline: Rc<Pipeline>) -> Self {
        let reset = ResetUnlessWhole::new(pipeline.unfinished_body());
        Self { socket, pipeline, close: None, reset }
    }

    /// Reads ahead until the connection's end, which is ready; else stays pending.
    fn poll_read_ahead(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        while self.pipeline.may_read_ahead() {
            if self.socket.poll_read_ready(cx)?.is_pending() {
                return Poll::Pending;
            }
            match self.pipeline.read_ahead(&self.socket) {
                Ok(0) => return Poll::Ready(Ok(())),
                Ok(_) => {}
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(error) => return Poll::Ready(Err(error)),
            }
        }
        // Else the end is noticed without reading the bytes before it: at once if there are none, or when hyper
        // polls. Readiness alone doesn't tell: it stays set after a read up to the last byte.
        let length = ready!(self.socket.poll_peek(cx, &mut ReadBuf::new(&mut [0])))?;
        if length == 0 || is_read_closed(&self.socket) {
            return Poll::Ready(Ok(()));
        }
        Poll::Pending
    }

    fn poll_pass(&mut self, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        if !self.pipeline.may_pass() {
            let end = self.poll_read_ahead(cx);
            if end.is_pending() {
                self.pipeline.start_early_requests();
            }
            return end;
        }
        if self.pipeline.pass_buffered(buf) {
            return Poll::Ready(Ok(()));
        }
        if self.pipeline.is_stopping() {
            return self.poll_pass_request(cx, buf);
        }
        let filled = buf.filled().len();
        ready!(Pin::new(&mut self.socket).poll_read(cx, buf))?;
        let passed = self.pipeline.pass_directly(&buf.filled()[filled..]);
        buf.set_filled(filled + passed);
        Poll::Ready(Ok(()))
    }

    /// Reads no further than to the end of a head or of a body, so that a request that isn't answered stays
    /// unread.
    fn poll_pass_request(
        &mut self,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let mut chunk = [0; PEEK_BYTES];
        let max_bytes = buf.remaining().min(PEEK_BYTES);
        let mut peeked = ReadBuf::new(&mut chunk[..max_bytes]);
        ready!(self.socket.poll_peek(cx, &mut peeked))?;
        let length = self.pipeline.passable_bytes(peeked.filled());
        let mut part = ReadBuf::new(buf.initialize_unfilled_to(length));
        ready!(Pin::new(&mut self.socket).poll_read(cx, &mut part))?;
        let passed = self.pipeline.pass_directly(part.filled());
        buf.advance(passed);
        Poll::Ready(Ok(()))
    }
}

impl AsyncRead for PipelinedStream {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        let passed = this.poll_pass(cx, buf);
        if let Poll::Ready(Err(error)) = &passed {
            // hyper takes the failure of an idle connection for its end.
            this.pipeline.count_failure(error);
        }
        passed
    }
}

impl AsyncWrite for PipelinedStream {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        this.reset.before_write(&this.socket);
        Pin::new(&mut this.socket).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        this.reset.before_write(&this.socket);
        Pin::new(&mut this.socket).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.socket.is_write_vectored()
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        // hyper flushes the socket once it has written all its bytes.
        this.pipeline.record_flushed();
        Pin::new(&mut this.socket).poll_flush(cx)
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let Self { socket, pipeline, close, reset } = self.get_mut();
        if !reset.allows_shutdown(socket)? {
            return Poll::Ready(Ok(()));
        }
        let closed = LingeringClose::poll_shutdown(close, socket, cx, || pipeline.begin_close());
        pipeline.count_close(ready!(closed)?);
        Poll::Ready(Ok(()))
    }
}
