//! Allocates free ports for processes that a test is about to start.
//!
//! Ports of the ephemeral range are avoided, because an outgoing connection could take one before
//! the process listens on it. Allocation starts at an offset that depends on the process id, so that
//! concurrent test processes rarely collide.

use std::io;
use std::net::{Ipv4Addr, TcpListener, UdpSocket};
use std::process::{self, Child, Command};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};

/// The first port, above those of common services.
const FIRST_PORT: u32 = 12_000;

/// The number of ports; all are below the ephemeral range of Linux, which starts at 32,768.
const PORT_COUNT: u32 = 20_000;

/// The distance between the first ports of processes with consecutive ids.
const PORTS_PER_PROCESS: u32 = 61;

static TAKEN_PORT_COUNT: AtomicU32 = AtomicU32::new(0);

/// Held while a port is probed and while a process is spawned.
///
/// A child process inherits all open sockets until it executes its program, so it would keep a port
/// that is being probed and prevent the daemon that gets the port from listening on it.
static PROBE_OR_SPAWN_LOCK: Mutex<()> = Mutex::new(());

fn lock_probe_or_spawn() -> MutexGuard<'static, ()> {
    // The mutex guards no data, so poisoning doesn't matter.
    PROBE_OR_SPAWN_LOCK.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Spawns a process while no port is being probed.
///
/// # Errors
///
/// Returns an error if the process can't be spawned.
pub fn spawn(command: &mut Command) -> io::Result<Child> {
    let _held = lock_probe_or_spawn();
    command.spawn()
}

/// Returns a port of 127.0.0.1 that is free for both TCP and UDP.
///
/// The port is not reserved: another process may take it before the caller does.
///
/// # Errors
///
/// Returns the last error if no port is free.
pub fn free_port() -> io::Result<u16> {
    let mut last_error = io::Error::from(io::ErrorKind::AddrInUse);
    for _ in 0..PORT_COUNT {
        let first_offset = process::id().wrapping_mul(PORTS_PER_PROCESS) % PORT_COUNT;
        let offset = (first_offset + TAKEN_PORT_COUNT.fetch_add(1, Ordering::Relaxed)) % PORT_COUNT;
        match probe((FIRST_PORT + offset) as u16) {
            Ok(port) => return Ok(port),
            Err(error) => last_error = error,
        }
    }
    Err(last_error)
}

fn probe(port: u16) -> io::Result<u16> {
    let _held = lock_probe_or_spawn();
    let _tcp = TcpListener::bind((Ipv4Addr::LOCALHOST, port))?;
    let _udp = UdpSocket::bind((Ipv4Addr::LOCALHOST, port))?;
    Ok(port)
}

/// Returns `count` ports that are free for both TCP and UDP.
///
/// # Errors
///
/// Returns an error if fewer than `count` ports are free.
pub fn free_ports(count: usize) -> io::Result<Vec<u16>> {
    (0..count).map(|_| free_port()).collect()
}
