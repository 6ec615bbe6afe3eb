//! HTTP/1 connections to upstreams, on which nothing but a response's body can be without end.
//!
//! An upstream in trouble may send bytes for as long as the connection is open. A head that grows, informational
//! responses one after the other, or a chunk's size without end would take memory and processor time until the
//! request's deadline.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::task::{Context, Poll, ready};
use std::time::Duration;

use futures_util::task::AtomicWaker;
use http_body_util::{BodyExt, Limited};
use hyper::HeaderMap;
use hyper::body::{Body, Incoming};
use hyper::client::conn::TrySendError;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::header::{CONTENT_LENGTH, HeaderValue, TRANSFER_ENCODING};
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use sedgepath_wire::tcp;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::timeout;

/// The most bytes that an upstream may send before the head of its response is complete.
const MAX_RESPONSE_HEAD_BYTES: usize = 32 * 1024;

/// The most bytes that a connection buffers: a head as a whole, or a body ahead of a caller that reads slowly.
const MAX_BUFFER_BYTES: usize = MAX_RESPONSE_HEAD_BYTES;

/// The bytes without any of a body's data after which an upstream's connection isn't read any further. hyper reads
/// on only once the last data was taken, which may be recorded after one more read.
const MAX_BYTES_WITHOUT_DATA: usize = 2 * MAX_BUFFER_BYTES;

/// The largest body that is read only so that its connection can be reused, in bytes.
const MAX_DISCARDED_BODY_BYTES: usize = 16 * 1024;

/// The longest time for which the rest of such a body is awaited: it mostly arrives with the head.
const DISCARD_TIMEOUT: Duration = Duration::from_millis(50);

/// The bytes that may be read from a connection.
#[derive(Debug, Clone)]
struct ReadAllowance(Arc<AtomicUsize>);

impl ReadAllowance {
    fn new() -> Self {
        Self(Arc::new(AtomicUsize::new(MAX_RESPONSE_HEAD_BYTES)))
    }

    fn set(&self, bytes: usize) {
        self.0.store(bytes, Ordering::Relaxed);
    }

    fn left(&self) -> usize {
        self.0.load(Ordering::Relaxed)
    }

    fn take(&self, bytes: usize) {
        let subtract = |left: usize| Some(left.saturating_sub(bytes));
        let _always_some = self.0.fetch_update(Ordering::Relaxed, Ordering::Relaxed, subtract);
    }
}

/// How long bytes that are sent from now on may stay unacknowledged, shared with the stream of a connection.
#[derive(Debug, Clone)]
struct UnacknowledgedTimeout {
    timeout_ms: Arc<AtomicU64>,
    /// Wakes the connection's task to apply the timeout.
    reader: Arc<AtomicWaker>,
}

impl UnacknowledgedTimeout {
    fn new(timeout: Duration) -> Self {
        let timeout_ms = Arc::new(AtomicU64::new(timeout.as_millis() as u64));
        Self { timeout_ms, reader: Arc::default() }
    }

    fn set(&self, timeout: Duration) {
        let timeout_ms = timeout.as_millis() as u64;
        if self.timeout_ms.swap(timeout_ms, Ordering::Relaxed) != timeout_ms {
            self.reader.wake();
        }
    }

    fn get(&self) -> Duration {
        Duration::from_millis(self.timeout_ms.load(Ordering::Relaxed))
    }
}

/// Whether a request has been sent on a connection whose response hasn't been read to its end.
#[derive(Debug, Clone, Default)]
struct RequestInProgress(Arc<AtomicBool>);

impl RequestInProgress {
    fn set(&self, in_progress: bool) {
        self.0.store(in_progress, Ordering::Relaxed);
    }

    fn get(&self) -> bool {
        self.0.load(Ordering::Relaxed)
    }
}

/// A stream that fails once its allowance is used up, and that a request which is given up resets.
#[derive(Debug)]
struct BoundedStream {
    stream: TcpStream,
    in_progress: RequestInProgress,
    allowance: ReadAllowance,
    unacknowledged_timeout: UnacknowledgedTimeout,
    /// The timeout that is set on the socket.
    applied_timeout: Duration,
}

impl BoundedStream {
    fn apply_timeout(&mut self) -> io::Result<()> {
        let timeout = self.unacknowledged_timeout.get();
        if timeout != self.applied_timeout {
            tcp::set_unacknowledged_timeout(&self.stream, timeout)?;
            self.applied_timeout = timeout;
        }
        Ok(())
    }
}

impl Drop for BoundedStream {
    fn drop(&mut self) {
        if self.in_progress.get() {
            // The system goes on sending what a closed connection holds, so that a request could reach its server
            // seconds after it was given up. It drops those bytes with a reset, and refuses the option only if the
            // connection has failed.
            let _has_failed = self.stream.set_zero_linger();
        }
    }
}

impl AsyncRead for BoundedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.allowance.left() == 0 {
            return Poll::Ready(Err(io::Error::new(
                io::ErrorKind::InvalidData,
                "the response has too many bytes without data",
            )));
        }
        self.unacknowledged_timeout.reader.register(cx.waker());
        self.apply_timeout()?;
        let filled_bytes = buf.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(cx, buf))?;
        self.allowance.take(buf.filled().len() - filled_bytes);
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for BoundedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.apply_timeout()?;
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.in_progress.get() {
            // The stream is dropped next, which resets it.
            return Poll::Ready(Ok(()));
        }
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.apply_timeout()?;
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}

/// A connection that sends requests with bodies of one type.
#[derive(Debug)]
pub struct HttpConnection<B> {
    sender: SendRequest<B>,
    in_progress: RequestInProgress,
    allowance: ReadAllowance,
    unacknowledged_timeout: UnacknowledgedTimeout,
}

impl<B> HttpConnection<B>
where
    B: Body + Send + 'static,
    B::Data: Send,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    /// Begins to speak HTTP on a stream. The returned future drives the connection until its end.
    ///
    /// # Errors
    ///
    /// Fails if the handshake fails.
    pub async fn handshake(
        stream: TcpStream,
    ) -> hyper::Result<(Self, impl Future<Output = hyper::Result<()>> + Send)> {
        let allowance = ReadAllowance::new();
        let applied_timeout = tcp::UNACKNOWLEDGED_TIMEOUT;
        let unacknowledged_timeout = UnacknowledgedTimeout::new(applied_timeout);
        let in_progress = RequestInProgress::default();
        let bounded = BoundedStream {
            stream,
            in_progress: in_progress.clone(),
            allowance: allowance.clone(),
            unacknowledged_timeout: unacknowledged_timeout.clone(),
            applied_timeout,
        };
        let (sender, driver) = http1::Builder::new()
            .max_buf_size(MAX_BUFFER_BYTES)
            .handshake(TokioIo::new(bounded))
            .await?;
        Ok((Self { sender, in_progress, allowance, unacknowledged_timeout }, driver))
    }

    /// Sets how long bytes that are sent from now on may stay unacknowledged. The stream must come from
    /// [`tcp::connect`], which sets [`tcp::UNACKNOWLEDGED_TIMEOUT`].
    pub fn set_unacknowledged_timeout(&self, timeout: Duration) {
        self.unacknowledged_timeout.set(timeout);
    }

    /// Records that the response to the last request has been read, so that the connection is closed in order.
    pub fn record_complete(&self) {
        self.in_progress.set(false);
    }

    /// Records that the response to the last request has been read, so that a lost server is noticed soon again,
    /// unless the request's body is still being sent.
    pub fn record_idle(&self) {
        self.record_complete();
        if self.is_ready() {
            self.unacknowledged_timeout.set(tcp::UNACKNOWLEDGED_TIMEOUT);
        }
    }

    /// Sends a request and returns its response, whose body is still to be read.
    ///
    /// # Errors
    ///
    /// Fails if the connection fails or the response's head is too large. The error has the request if that
    /// has certainly not been sent.
    pub async fn try_send_request(
        &mut self,
        mut request: Request<B>,
    ) -> Result<Response<Incoming>, TrySendError<Request<B>>> {
        frame_body(&mut request);
        self.in_progress.set(true);
        self.allowance.set(MAX_RESPONSE_HEAD_BYTES);
        let response = self.sender.try_send_request(request).await;
        self.record_data();
        response
    }

    /// Records that data of a response's body has been taken, so that more may be read.
    pub fn record_data(&self) {
        self.allowance.set(MAX_BYTES_WITHOUT_DATA);
    }

    /// Returns whether a request can be sent now.
    pub fn is_ready(&self) -> bool {
        self.sender.is_ready()
    }

    /// Returns whether the connection has ended.
    pub fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }
}

/// Sets the headers that tell where a request's body ends, by the body alone.
///
/// The sender's own ones belong to its connection. Without any, hyper takes it that a GET or HEAD request has no
/// body, and the server would run the request without it.
fn frame_body<B: Body>(request: &mut Request<B>) {
    let length = request.body().size_hint().exact();
    let headers = request.headers_mut();
    headers.remove(TRANSFER_ENCODING);
    let stated_length = headers.remove(CONTENT_LENGTH).is_some();
    match length {
        Some(0) if !stated_length => {}
        Some(bytes) => {
            headers.insert(CONTENT_LENGTH, HeaderValue::from(bytes));
        }
        None => {
            headers.insert(TRANSFER_ENCODING, HeaderValue::from_static("chunked"));
        }
    }
}

/// Returns whether a response states both a length and a coding, so that its end isn't certain (RFC 9112,
/// section 6.3).
pub fn has_contradictory_framing(headers: &HeaderMap) -> bool {
    headers.contains_key(CONTENT_LENGTH) && headers.contains_key(TRANSFER_ENCODING)
}

/// Reads a body that isn't needed to its end if it is short and arrives soon, and returns whether it was read,
/// so that its connection can be reused.
pub async fn discard_body(body: Incoming) -> bool {
    let read = Limited::new(body, MAX_DISCARDED_BODY_BYTES).collect();
    matches!(timeout(DISCARD_TIMEOUT, read).await, Ok(Ok(_body)))
}
