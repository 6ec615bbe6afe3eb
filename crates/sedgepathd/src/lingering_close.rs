//! Closes connections without losing the end of the last response.
//!
//! The system resets a connection that is closed while received bytes are unread, or that receives bytes
//! after it was closed, and then discards what the other side hasn't received of the response (RFC 9112,
//! section 9.6). So only the sending side is closed first; the rest follows when the other side has closed
//! the connection, or after a time limit.

use std::io::{self, IoSlice};
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use futures_util::FutureExt;
use tokio::io::{AsyncRead, AsyncWrite, Interest, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::{Instant, Sleep, sleep_until};

use crate::close_delimited::{ResetUnlessWhole, UnfinishedBody};
use crate::open_count::UnwrittenResponses;

/// How long a connection is kept at the most after its sending side was closed.
pub const MAX_LINGER: Duration = Duration::from_secs(5);

/// The same while nothing arrives, if the unread responses fit into the other side's receive buffer.
const MIN_LINGER: Duration = Duration::from_secs(1);

/// The bytes that are discarded at once.
const DISCARD_CHUNK_BYTES: usize = 4 * 1024;

/// What becomes of bytes that the other side still sends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LateBytes {
    /// They are read and discarded: the rest of a body, whose sender may not read before it has sent all.
    Discard,
    /// They stay unread: further requests, which were never processed.
    LeaveUnread,
}

/// Why a connection is closed completely.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LingerEnd {
    /// The other side has closed it, or it has failed.
    Peer,
    /// The time limit has passed, and nothing has arrived.
    TimeLimit,
    /// The time limit has passed, and bytes have arrived: what the other side hasn't received may be lost.
    LateBytes,
}

impl LingerEnd {
    /// Returns the name for counters.
    pub fn name(self) -> &'static str {
        match self {
            Self::Peer => "peer",
            Self::TimeLimit => "time_limit",
            Self::LateBytes => "late_bytes",
        }
    }
}

/// A connection whose sending side is closed.
#[derive(Debug)]
pub struct LingeringClose {
    late_bytes: LateBytes,
    has_arrived: bool,
    /// The time limit once bytes have arrived.
    last_limit: Instant,
    limit: Pin<Box<Sleep>>,
}

impl LingeringClose {
    /// Creates the state of a connection whose sending side has just been closed.
    pub fn new(late_bytes: LateBytes) -> Self {
        let last_limit = Instant::now() + MAX_LINGER;
        let limit = Box::pin(sleep_until(last_limit));
        Self { late_bytes, has_arrived: false, last_limit, limit }
    }

    /// Shortens the time limit until bytes arrive, for a connection with small responses only.
    #[must_use]
    pub fn with_short_limit(mut self) -> Self {
        self.limit = Box::pin(sleep_until(Instant::now() + MIN_LINGER));
        self
    }

    /// Closes the sending side of a connection, which begins its state unless that exists, and polls why the
    /// rest can be closed.
    ///
    /// # Errors
    ///
    /// Fails if the sending side can't be closed.
    pub fn poll_shutdown(
        state: &mut Option<Self>,
        socket: &mut TcpStream,
        cx: &mut Context<'_>,
        begin: impl FnOnce() -> Self,
    ) -> Poll<io::Result<LingerEnd>> {
        if state.is_none() {
            ready!(Pin::new(&mut *socket).poll_shutdown(cx))?;
        }
        let close = state.get_or_insert_with(begin);
        close.poll_closable(socket, cx).map(Ok)
    }

    fn poll_closable(&mut self, socket: &mut TcpStream, cx: &mut Context<'_>) -> Poll<LingerEnd> {
        loop {
            match self.poll_late_bytes(socket, cx) {
                Poll::Ready(Ok(1..)) => self.record_arrival(),
                Poll::Ready(Ok(0) | Err(_)) => return Poll::Ready(LingerEnd::Peer),
                Poll::Pending => break,
            }
        }
        ready!(self.limit.as_mut().poll(cx));
        Poll::Ready(if self.has_arrived { LingerEnd::LateBytes } else { LingerEnd::TimeLimit })
    }

    /// Polls for bytes, and returns their number; 0 at the end of the connection.
    fn poll_late_bytes(
        &self,
        socket: &mut TcpStream,
        cx: &mut Context<'_>,
    ) -> Poll<io::Result<usize>> {
        let mut chunk = [0; DISCARD_CHUNK_BYTES];
        let mut buf = ReadBuf::new(&mut chunk);
        match self.late_bytes {
            LateBytes::Discard => {
                ready!(Pin::new(socket).poll_read(cx, &mut buf))?;
                Poll::Ready(Ok(buf.filled().len()))
            }
            LateBytes::LeaveUnread => {
                let length = ready!(socket.poll_peek(cx, &mut buf))?;
                if is_read_closed(socket) {
                    return Poll::Ready(Ok(0));
                }
                await_next_event(socket);
                Poll::Ready(Ok(length))
            }
        }
    }

    fn record_arrival(&mut self) {
        if !self.has_arrived {
            self.has_arrived = true;
            self.limit.as_mut().reset(self.last_limit);
        }
    }
}

/// Returns whether the other side is known to have closed its sending side, also if bytes before that are
/// unread.
pub fn is_read_closed(socket: &TcpStream) -> bool {
    let ready = socket.ready(Interest::READABLE).now_or_never();
    matches!(ready, Some(Ok(ready)) if ready.is_read_closed())
}

/// Makes a socket with unread bytes ready again only when it receives more, or the other side closes it.
fn await_next_event(socket: &TcpStream) {
    let _would_block = socket
        .try_io(Interest::READABLE, || Err::<(), _>(io::Error::from(io::ErrorKind::WouldBlock)));
}

/// A connection that lingers when it is shut down, and discards what the other side sends meanwhile.
#[derive(Debug)]
pub struct LingeringStream {
    socket: TcpStream,
    close: Option<LingeringClose>,
    unwritten: UnwrittenResponses,
    reset: ResetUnlessWhole,
}

impl LingeringStream {
    /// Creates a connection from an open socket.
    pub fn new(socket: TcpStream) -> Self {
        let (unwritten, reset) = (UnwrittenResponses::default(), ResetUnlessWhole::default());
        Self { socket, close: None, unwritten, reset }
    }

    /// Sets the body that ends with the connection, which is reset while the body isn't whole.
    #[must_use]
    pub fn with_unfinished_body(mut self, body: UnfinishedBody) -> Self {
        self.reset = ResetUnlessWhole::new(body);
        self
    }

    /// Sets the responses that are cleared when hyper has written all its bytes.
    #[must_use]
    pub fn with_unwritten(mut self, unwritten: UnwrittenResponses) -> Self {
        self.unwritten = unwritten;
        self
    }
}

impl AsyncRead for LingeringStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.socket).poll_read(cx, buf)
    }
}

impl AsyncWrite for LingeringStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let this = &mut *self;
        this.reset.before_write(&this.socket);
        Pin::new(&mut this.socket).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let this = &mut *self;
        this.reset.before_write(&this.socket);
        Pin::new(&mut this.socket).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.socket.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        // hyper flushes the socket once it has written all its bytes.
        self.unwritten.clear();
        Pin::new(&mut self.socket).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let Self { socket, close, reset, .. } = &mut *self;
        if !reset.allows_shutdown(socket)? {
            return Poll::Ready(Ok(()));
        }
        let begin = || LingeringClose::new(LateBytes::Discard);
        let closed = LingeringClose::poll_shutdown(close, socket, cx, begin);
        closed.map_ok(|_end| ())
    }
}
