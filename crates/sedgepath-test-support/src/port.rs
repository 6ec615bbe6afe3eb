//! Free ports for processes that a test is about to start.

use std::io;
use std::net::{Ipv4Addr, TcpListener, UdpSocket};

const ATTEMPTS: usize = 32;

/// Returns a port of 127.0.0.1 that is free for TCP and for UDP.
///
/// Nothing reserves it: another process may take it before the caller does.
///
/// # Errors
///
/// Returns an error if none is found.
pub fn free_port() -> io::Result<u16> {
    let mut last = io::Error::from(io::ErrorKind::AddrInUse);
    for _ in 0..ATTEMPTS {
        let tcp = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
        let port = tcp.local_addr()?.port();
        match UdpSocket::bind((Ipv4Addr::LOCALHOST, port)) {
            Ok(_) => return Ok(port),
            Err(error) => last = error,
        }
    }
    Err(last)
}

/// Returns `count` different ports that are free for TCP and for UDP.
///
/// # Errors
///
/// Returns an error if they are not found.
pub fn free_ports(count: usize) -> io::Result<Vec<u16>> {
    let mut ports = Vec::with_capacity(count);
    while ports.len() < count {
        let port = free_port()?;
        if !ports.contains(&port) {
            ports.push(port);
        }
    }
    Ok(ports)
}
