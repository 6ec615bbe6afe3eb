//! Cuts between some clients and a server, by packet filters on the server's own sockets.

use std::io;
use std::net::{Ipv4Addr, Shutdown, TcpStream};
use std::os::fd::AsFd;
use std::time::Duration;

use socket2::{SockFilter, SockRef};

/// How a server is cut off from some clients.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ClientCut {
    /// Open connections and new ones get no packet through.
    Silent,
    /// Open connections are reset, and new ones get no packet through.
    Reset,
    /// Open connections live on, and new ones get no packet through.
    NewConnections,
}

/// Instructions of the classic packet filter: load a word, compare it, return.
const LOAD_WORD: u16 = 0x20;
const JUMP_IF_EQUAL: u16 = 0x15;
const RETURN: u16 = 0x06;

/// The offset of an IPv4 packet's source address, from the beginning of the network header.
const SOURCE_ADDRESS: u32 = 0xfff0_0000 + 12;

/// Drops all packets that a socket, or a listener's new connections, get from these addresses.
///
/// # Errors
///
/// Fails if the system refuses the filter.
pub fn drop_packets_from(socket: &impl AsFd, sources: &[Ipv4Addr]) -> io::Result<()> {
    let mut filters = vec![SockFilter::new(LOAD_WORD, 0, 0, SOURCE_ADDRESS)];
    for (index, source) in sources.iter().enumerate() {
        let to_drop = (sources.len() - index) as u8;
        filters.push(SockFilter::new(JUMP_IF_EQUAL, to_drop, 0, u32::from(*source)));
    }
    filters.push(SockFilter::new(RETURN, 0, 0, u32::MAX));
    filters.push(SockFilter::new(RETURN, 0, 0, 0));
    SockRef::from(socket).attach_filter(&filters)
}

/// Lets all packets through to a socket again, or to a listener's new connections.
pub fn accept_packets(socket: &impl AsFd) {
    // A socket without a filter has none to detach.
    drop(SockRef::from(socket).detach_filter());
}

/// Returns whether a connection comes from one of these addresses.
pub fn is_from(stream: &TcpStream, sources: &[Ipv4Addr]) -> bool {
    stream.peer_addr().is_ok_and(|peer| sources.iter().any(|source| peer.ip() == *source))
}

/// Makes a connection end with a reset as soon as its last owner drops it, and ends the reads of the
/// others.
///
/// # Errors
///
/// Fails if the system refuses the option.
pub fn reset_on_drop(stream: &TcpStream) -> io::Result<()> {
    SockRef::from(stream).set_linger(Some(Duration::ZERO))?;
    // The client may have disconnected already.
    drop(stream.shutdown(Shutdown::Read));
    Ok(())
}
