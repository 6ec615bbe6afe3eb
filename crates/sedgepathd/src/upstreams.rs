//! Connections to upstreams, kept open between requests.
//!
//! An upstream takes about a millisecond for a new connection and only a few hundred in all, so the
//! owner counts every one. `hyper` is used in place of `attohttpc` for that reason: it hands out the
//! connection itself and returns a request that it has surely not begun to send.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use sedgepath_core::event::Event;
use sedgepath_core::hash::Map;
use sedgepath_core::key::UpstreamKey;
use tokio::net::TcpStream;
use tokio::time::timeout_at;

use crate::driver::Handle;

/// A connection to an upstream.
pub type Connection = SendRequest<Full<Bytes>>;

/// Why a call brought no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum CallError {
    /// Nothing was sent: there was no connection, or the time to send had passed.
    #[error("nothing was sent to the upstream")]
    NotSent,
    /// The request was sent, in part or whole, and its answer was lost.
    #[error("the upstream's answer was lost")]
    Lost,
}

/// Where and until when to call.
#[derive(Debug, Clone, Copy)]
pub struct Call {
    /// The upstream.
    pub upstream: UpstreamKey,
    /// Its address.
    pub address: SocketAddr,
    /// Whether a new connection may be opened if none is idle.
    pub may_open: bool,
    /// The moment after which nothing may be sent any more, in milliseconds.
    pub send_by_ms: u64,
    /// When the call is given up, in milliseconds.
    pub deadline_at_ms: u64,
}

#[derive(Debug, Default)]
struct Connections {
    idle: Vec<Connection>,
    open: u32,
}

/// The connections to all upstreams that this node uses.
#[derive(Debug)]
pub struct Upstreams {
    handle: Handle,
    connections: Mutex<Map<UpstreamKey, Connections>>,
}

impl Upstreams {
    /// Creates an empty pool.
    pub fn new(handle: Handle) -> Arc<Self> {
        Arc::new(Self { handle, connections: Mutex::default() })
    }

    /// Sends a request and returns the head of its answer with the connection it came over.
    ///
    /// # Errors
    ///
    /// Fails if nothing could be sent or no answer came by the deadline.
    pub async fn call(
        self: &Arc<Self>,
        call: Call,
        mut request: Request<Full<Bytes>>,
    ) -> Result<(Response<Incoming>, Connection), CallError> {
        let deadline = self.handle.clock().instant(call.deadline_at_ms);
        loop {
            let (mut connection, fresh) = match self.take_idle(call.upstream) {
                Some(connection) => (connection, false),
                None if call.may_open => (self.open(call).await?, true),
                None => return Err(CallError::NotSent),
            };
            // The right to use this upstream may have lapsed while the connection was made or the
            // process was paused; then another node may use the same slots already.
            if self.handle.clock().now_ms() > call.send_by_ms {
                self.give_back(call.upstream, connection);
                return Err(CallError::NotSent);
            }
            match timeout_at(deadline, connection.try_send_request(request)).await {
                Ok(Ok(response)) => return Ok((response, connection)),
                Ok(Err(mut error)) => match error.take_message() {
                    // The upstream had closed the idle connection; the request comes back unsent.
                    Some(unsent) if !fresh => request = unsent,
                    Some(_unsent) => return Err(CallError::NotSent),
                    None => return Err(CallError::Lost),
                },
                Err(_elapsed) => return Err(CallError::Lost),
            }
        }
    }

    /// Keeps a connection for the next request once its answer has been read to the end.
    pub fn give_back(&self, upstream: UpstreamKey, connection: Connection) {
        if !connection.is_closed() {
            self.lock().entry(upstream).or_default().idle.push(connection);
        }
    }

    fn take_idle(&self, upstream: UpstreamKey) -> Option<Connection> {
        let mut connections = self.lock();
        let idle = &mut connections.get_mut(&upstream)?.idle;
        while let Some(connection) = idle.pop() {
            if connection.is_ready() {
                return Some(connection);
            }
        }
        None
    }

    async fn open(self: &Arc<Self>, call: Call) -> Result<Connection, CallError> {
        let deadline = self.handle.clock().instant(call.deadline_at_ms);
        let opened = timeout_at(deadline, TcpStream::connect(call.address)).await;
        let stream = opened.ok().and_then(Result::ok).ok_or(CallError::NotSent)?;
        // Small requests must not wait for the acknowledgement of earlier bytes.
        let _slower = stream.set_nodelay(true);
        let handshake = http1::handshake(TokioIo::new(stream)).await;
        let (connection, task) = handshake.ok().ok_or(CallError::NotSent)?;
        self.count(call.upstream, 1);
        let pool = Arc::clone(self);
        tokio::spawn(async move {
            if let Err(error) = task.await {
                log::debug!("event=upstream_connection_failed error={:?}", error.to_string());
            }
            pool.count(call.upstream, -1);
        });
        Ok(connection)
    }

    fn count(&self, upstream: UpstreamKey, change: i32) {
        let open = {
            let mut connections = self.lock();
            let entry = connections.entry(upstream).or_default();
            entry.open = entry.open.saturating_add_signed(change);
            entry.open
        };
        self.handle.event(Event::ConnectionsChanged { upstream, open });
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Map<UpstreamKey, Connections>> {
        // No code panics while it holds the lock, and the table is whole between any two steps.
        self.connections.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
