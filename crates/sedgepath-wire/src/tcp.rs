//! TCP connections that detect unreachable peers.

use std::io;
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use socket2::{SockRef, TcpKeepalive};
use tokio::net::{TcpSocket, TcpStream};
use tokio::time::timeout;

/// The idle time before the first keepalive probe, and the interval between probes. Linux accepts
/// whole seconds only, so this is the minimum.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// The number of unanswered keepalive probes after which a connection has failed.
const MAX_UNANSWERED_PROBES: u32 = 2;

/// The time after which a connection to a server fails that has unacknowledged data.
pub const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Opens a connection that fails within about three seconds of its peer becoming unreachable.
///
/// A VM that lost power or its network sends no reset. Without these limits, a request to it would
/// wait until its deadline, and an idle connection would stay open indefinitely.
///
/// # Errors
///
/// Fails if the connection can't be established within the time limit, or if the system rejects a
/// socket option.
pub async fn connect(address: SocketAddr, time_limit: Duration) -> io::Result<TcpStream> {
    connect_from(None, address, time_limit).await
}

/// Opens a connection as [`connect`] does, from a source address if one is given.
///
/// # Errors
///
/// Fails as [`connect`] does, or if the source address can't be used.
pub async fn connect_from(
    source: Option<IpAddr>,
    address: SocketAddr,
    time_limit: Duration,
) -> io::Result<TcpStream> {
    let connecting = async {
        let Some(source) = source else {
            return TcpStream::connect(address).await;
        };
        let socket = if source.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
        socket.bind(SocketAddr::new(source, 0))?;
        socket.connect(address).await
    };
    let stream = timeout(time_limit, connecting)
        .await
        .map_err(|_elapsed| io::Error::from(io::ErrorKind::TimedOut))??;
    detect_dead_peer(&stream, UNACKNOWLEDGED_TIMEOUT)?;
    Ok(stream)
}

/// Sets how long sent data may stay unacknowledged before the connection fails, at most `i32::MAX` ms. Keepalive
/// probes fail after this time as well.
///
/// # Errors
///
/// Fails if the system rejects the socket option.
pub fn set_unacknowledged_timeout(stream: &TcpStream, timeout: Duration) -> io::Result<()> {
    let longest = Duration::from_millis(i32::MAX as u64);
    SockRef::from(stream).set_tcp_user_timeout(Some(timeout.min(longest)))
}

/// Enables keepalive probes and the user timeout (`TCP_USER_TIMEOUT`) on an open connection, and disables
/// Nagle's algorithm.
///
/// A peer that is alive but doesn't read for as long as the user timeout counts as dead, too: Linux doesn't
/// tell a closed window from a lost peer there.
///
/// # Errors
///
/// Fails if the system rejects a socket option.
pub fn detect_dead_peer(stream: &TcpStream, unacknowledged_timeout: Duration) -> io::Result<()> {
    // Avoids delaying small requests until earlier bytes are acknowledged.
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(MAX_UNANSWERED_PROBES);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(unacknowledged_timeout))
}
