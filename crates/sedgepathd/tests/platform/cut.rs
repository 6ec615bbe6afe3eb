//! Cuts between some VMs and an upstream, by packet filters on the upstream's own sockets.

use std::io;
use std::net::Ipv4Addr;
use std::os::fd::AsFd;

use socket2::{SockFilter, SockRef};

/// How an upstream is cut off from some VMs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum VmCut {
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
