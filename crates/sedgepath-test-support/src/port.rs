//! Free ports for processes that a test is about to start.
//!
//! Ports that the system hands out for outgoing connections are left alone: one that was free a
//! moment ago would be taken by any connection before the process listens on it. Each call takes the
//! next ports of a range that starts at a place of this process's own.

use std::io;
use std::net::{Ipv4Addr, TcpListener, UdpSocket};
use std::process::{self, Child, Command};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};

/// The first port, above those of well-known services.
const FIRST: u32 = 12_000;

/// The number of ports; all lie below the range of outgoing connections (32,768 on Linux).
const RANGE: u32 = 20_000;

/// The ports that one process is likely to take before it meets those of the next.
const PER_PROCESS: u32 = 61;

static TAKEN: AtomicU32 = AtomicU32::new(0);

/// Held while a port is tried and while a process is started.
///
/// A process that is being started has all open sockets of this one until its own program runs. It would
/// keep a port that is just being tried, and the daemon that is given the port can't listen on it: 95 of
/// 20,000 ports with four threads that start processes, none with this lock.
static TRYING_OR_STARTING: Mutex<()> = Mutex::new(());

fn trying_or_starting() -> MutexGuard<'static, ()> {
    // It guards no data that a panic could leave half changed.
    TRYING_OR_STARTING.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Starts a process while no port is being tried.
///
/// # Errors
///
/// Returns an error if it can't be started.
pub fn start(command: &mut Command) -> io::Result<Child> {
    let _held = trying_or_starting();
    command.spawn()
}

/// Returns a port of 127.0.0.1 that is free for TCP and for UDP.
///
/// Nothing reserves it: another process may take it before the caller does.
///
/// # Errors
///
/// Returns an error if none is found.
pub fn free_port() -> io::Result<u16> {
    let mut last = io::Error::from(io::ErrorKind::AddrInUse);
    for _ in 0..RANGE {
        let number = process::id().wrapping_mul(PER_PROCESS) % RANGE;
        let offset = (number + TAKEN.fetch_add(1, Ordering::Relaxed)) % RANGE;
        match is_free((FIRST + offset) as u16) {
            Ok(port) => return Ok(port),
            Err(error) => last = error,
        }
    }
    Err(last)
}

fn is_free(port: u16) -> io::Result<u16> {
    let _held = trying_or_starting();
    let _tcp = TcpListener::bind((Ipv4Addr::LOCALHOST, port))?;
    let _udp = UdpSocket::bind((Ipv4Addr::LOCALHOST, port))?;
    Ok(port)
}

/// Returns `count` different ports that are free for TCP and for UDP.
///
/// # Errors
///
/// Returns an error if they are not found.
pub fn free_ports(count: usize) -> io::Result<Vec<u16>> {
    (0..count).map(|_| free_port()).collect()
}
