//! A pool of persistent connections to upstreams.
//!
//! An upstream accepts only a limited number of connections, so the owner reports the number of open
//! connections to the node. The pool is built on `hyper`, which exposes the connection itself and
//! returns a request that it has certainly not begun to send.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::{Request, Response};
use sedgepath_core::event::Event;
use sedgepath_core::hash::Map;
use sedgepath_core::key::UpstreamKey;
use tokio::net::TcpStream;
use tokio::time::timeout_at;

use crate::driver::NodeHandle;
use crate::http_connection::HttpConnection;

/// A connection to an upstream.
pub type Connection = HttpConnection<Full<Bytes>>;

/// The error of a call that got no response.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum CallError {
    /// The request was not sent: there was no connection, or the time to send it had passed.
    #[error("the request was not sent to the upstream")]
    NotSent,
    /// The request may have been sent, at least in part, and no response arrived.
    #[error("the upstream's response was lost")]
    ResponseLost,
}

/// The target and the time limits of a call.
#[derive(Debug, Clone, Copy)]
pub struct UpstreamCall {
    /// The key of the upstream.
    pub upstream: UpstreamKey,
    /// The address of the upstream.
    pub address: SocketAddr,
    /// Whether a new connection may be opened if none is idle.
    pub may_open: bool,
    /// The time after which the request must not be sent, in milliseconds since the Unix epoch.
    pub send_by_ms: u64,
    /// The time at which the call is canceled, in milliseconds since the Unix epoch.
    pub deadline_at_ms: u64,
}

#[derive(Debug, Default)]
struct UpstreamConnections {
    idle: Vec<Connection>,
    open_count: u32,
}

/// The pool of connections to the upstreams that this node uses.
#[derive(Debug)]
pub struct UpstreamPool {
    handle: NodeHandle,
    connections: Mutex<Map<UpstreamKey, UpstreamConnections>>,
}

impl UpstreamPool {
    /// Creates an empty pool that reports the number of open connections through the handle.
    pub fn new(handle: NodeHandle) -> Arc<Self> {
        Arc::new(Self { handle, connections: Mutex::default() })
    }

    /// Sends a request and returns its response, whose body is still to be read, with the connection.
    ///
    /// # Errors
    ///
    /// Fails if the request could not be sent, or if no response arrived by the deadline.
    pub async fn call(
        self: &Arc<Self>,
        call: UpstreamCall,
        mut request: Request<Full<Bytes>>,
    ) -> Result<(Response<Incoming>, Connection), CallError> {
        let deadline = self.handle.clock().instant(call.deadline_at_ms);
        loop {
            let (mut connection, is_new) = match self.take_idle(call.upstream) {
                Some(connection) => (connection, false),
                None if call.may_open => (self.open(call).await?, true),
                None => return Err(CallError::NotSent),
            };
            // The lease on this upstream may have expired while the connection was opened or the
            // process was paused; another node may be using the same slots.
            if self.handle.clock().now_ms() > call.send_by_ms {
                self.release(call.upstream, connection);
                return Err(CallError::NotSent);
            }
            match timeout_at(deadline, connection.try_send_request(request)).await {
                Ok(Ok(response)) => return Ok((response, connection)),
                Ok(Err(mut error)) => match error.take_message() {
                    // The upstream had closed the idle connection; try again with another one.
                    Some(unsent) if !is_new => request = unsent,
                    Some(_unsent) => return Err(CallError::NotSent),
                    None => return Err(CallError::ResponseLost),
                },
                Err(_elapsed) => return Err(CallError::ResponseLost),
            }
        }
    }

    /// Returns a connection to the pool once its response has been read completely.
    pub fn release(&self, upstream: UpstreamKey, connection: Connection) {
        connection.record_complete();
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

    async fn open(self: &Arc<Self>, call: UpstreamCall) -> Result<Connection, CallError> {
        let deadline = self.handle.clock().instant(call.deadline_at_ms);
        let opened = timeout_at(deadline, TcpStream::connect(call.address)).await;
        let stream = opened.ok().and_then(Result::ok).ok_or(CallError::NotSent)?;
        // Small requests must not wait for the acknowledgement of earlier bytes.
        let _best_effort = stream.set_nodelay(true);
        let handshake = Connection::handshake(stream).await;
        let (connection, driver) = handshake.ok().ok_or(CallError::NotSent)?;
        self.update_open_count(call.upstream, 1);
        let pool = Arc::clone(self);
        tokio::spawn(async move {
            if let Err(error) = driver.await {
                log::debug!("event=upstream_connection_failed error={:?}", error.to_string());
            }
            pool.update_open_count(call.upstream, -1);
        });
        Ok(connection)
    }

    fn update_open_count(&self, upstream: UpstreamKey, change: i32) {
        let open = {
            let mut connections = self.lock();
            let entry = connections.entry(upstream).or_default();
            entry.open_count = entry.open_count.saturating_add_signed(change);
            entry.open_count
        };
        self.handle.send_event(Event::ConnectionsChanged { upstream, open });
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Map<UpstreamKey, UpstreamConnections>> {
        // Poisoning can be ignored: no code panics while it holds the lock.
        self.connections.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
