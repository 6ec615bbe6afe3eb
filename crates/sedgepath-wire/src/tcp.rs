//! Opens connections whose peers may vanish without a sign.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;
use tokio::time::timeout;

/// The silence after which a peer is asked for a sign of life; the shortest that the system offers.
const KEEPALIVE: Duration = Duration::from_secs(1);

/// The questions without an answer after which a connection has failed.
const KEEPALIVE_RETRIES: u32 = 2;

/// The longest that sent bytes may stay unacknowledged: some repeats of a lost packet.
const UNACKNOWLEDGED: Duration = Duration::from_millis(2_500);

/// Opens a connection that notices within about three seconds that its peer is gone.
///
/// A VM without power or behind a cut answers nothing, not even with a reset; without these
/// settings a request there would wait for its whole deadline, and an idle connection for ever.
///
/// # Errors
///
/// Fails if no connection is made in time.
pub async fn connect(address: SocketAddr, limit: Duration) -> io::Result<TcpStream> {
    let stream = timeout(limit, TcpStream::connect(address))
        .await
        .map_err(|_elapsed| io::Error::from(io::ErrorKind::TimedOut))??;
    detect_dead_peer(&stream)?;
    Ok(stream)
}

/// Sets up an open connection to notice that its peer is gone.
///
/// # Errors
///
/// Fails if the system refuses a setting.
pub fn detect_dead_peer(stream: &TcpStream) -> io::Result<()> {
    // Small requests must not wait for the acknowledgement of earlier bytes.
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE)
        .with_interval(KEEPALIVE)
        .with_retries(KEEPALIVE_RETRIES);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED))
}
