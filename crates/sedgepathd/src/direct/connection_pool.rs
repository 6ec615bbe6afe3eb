//! Connections to upstreams and to other VMs, kept open between requests.
//!
//! A new connection costs an upstream about a millisecond of a slot, and upstreams limit their
//! connections and close idle ones. The connection used last is reused first, so that the others
//! expire here before the upstream closes them: a request sent while the upstream closes its connection
//! may have run.

use std::cell::RefCell;
use std::hash::Hash;
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::combinators::UnsyncBoxBody;
use hyper::body::Body as _;
use sedgepath_core::hash::Map;
use sedgepath_wire::tcp;

use super::clock;
use crate::http_connection::HttpConnection;

/// Why a body ended before it was complete.
pub type BodyError = Box<dyn std::error::Error + Send + Sync>;

/// A request or response body.
pub type Body = UnsyncBoxBody<Bytes, BodyError>;

/// An HTTP/1 connection to an upstream.
pub type Connection = HttpConnection<Body>;

/// The keep-alive time of an upstream that states none, in milliseconds.
const DEFAULT_KEEP_ALIVE_MS: u64 = 8_000;

/// How long before the end of the keep-alive time a connection is no longer used, in milliseconds;
/// covers network delay and late timers.
const KEEP_ALIVE_MARGIN_MS: u64 = 1_500;

/// The largest request body that fits into the receive buffer of a server that reads nothing, in bytes.
const MAX_SMALL_BODY_BYTES: u64 = 16 * 1024;

/// Returns how long what is sent of a request may stay unacknowledged.
///
/// Bytes of a larger body stay so while the server works before it reads them, which the system doesn't tell
/// from a lost server. Such a request waits for as long as its deadline allows.
pub fn unacknowledged_timeout(body: &Body, left_ms: u64) -> Duration {
    if body.size_hint().upper().is_some_and(|bytes| bytes <= MAX_SMALL_BODY_BYTES) {
        return tcp::UNACKNOWLEDGED_TIMEOUT;
    }
    tcp::UNACKNOWLEDGED_TIMEOUT.max(Duration::from_millis(left_ms))
}

#[derive(Debug)]
struct IdleConnection {
    connection: Connection,
    expires_at_ms: u64,
}

/// The idle connections to all servers, by key.
#[derive(Debug)]
pub struct ConnectionPool<K> {
    /// The source address of new connections; the system's choice if there is none.
    source: Option<IpAddr>,
    idle: RefCell<Map<K, Vec<IdleConnection>>>,
}

impl<K> Default for ConnectionPool<K> {
    fn default() -> Self {
        Self { source: None, idle: RefCell::default() }
    }
}

impl<K: Copy + Eq + Hash> ConnectionPool<K> {
    /// Sets the source address of new connections.
    pub fn with_source(mut self, source: Option<IpAddr>) -> Self {
        self.source = source;
        self
    }

    /// Takes the idle connection to an upstream that was used last, if one is usable.
    pub fn take_idle(&self, server: K) -> Option<Connection> {
        let now_ms = clock::now_ms();
        let mut pool = self.idle.borrow_mut();
        let idle = pool.get_mut(&server)?;
        while let Some(IdleConnection { connection, expires_at_ms }) = idle.pop() {
            if connection.is_ready() && now_ms < expires_at_ms {
                return Some(connection);
            }
        }
        None
    }

    /// Opens a connection to an upstream.
    ///
    /// # Errors
    ///
    /// Fails if the connection is not established in time, or the HTTP handshake fails.
    pub async fn open(
        &self,
        address: SocketAddr,
        timeout: Duration,
    ) -> std::io::Result<Connection> {
        let stream = tcp::connect_from(self.source, address, timeout).await?;
        let handshake = Connection::handshake(stream).await;
        let (connection, driver) = handshake.map_err(std::io::Error::other)?;
        tokio::task::spawn_local(async move {
            if let Err(error) = driver.await {
                log::debug!("event=upstream_connection_failed error={:?}", error.to_string());
            }
        });
        Ok(connection)
    }

    /// Returns a connection to the pool after its response was read completely.
    pub fn release(&self, server: K, connection: Connection, keep_alive_ms: Option<u64>) {
        if connection.is_closed() {
            return;
        }
        connection.record_idle();
        let usable_ms =
            keep_alive_ms.unwrap_or(DEFAULT_KEEP_ALIVE_MS).saturating_sub(KEEP_ALIVE_MARGIN_MS);
        let expires_at_ms = clock::now_ms() + usable_ms;
        self.idle
            .borrow_mut()
            .entry(server)
            .or_default()
            .push(IdleConnection { connection, expires_at_ms });
    }

    /// Closes all idle connections.
    pub fn clear(&self) {
        self.idle.borrow_mut().clear();
    }

    /// Closes expired connections and those to upstreams that are no longer used.
    pub fn prune(&self, is_used: impl Fn(K) -> bool) {
        let now_ms = clock::now_ms();
        self.idle.borrow_mut().retain(|server, idle| {
            idle.retain(|idle| now_ms < idle.expires_at_ms && !idle.connection.is_closed());
            is_used(*server) && !idle.is_empty()
        });
    }
}
