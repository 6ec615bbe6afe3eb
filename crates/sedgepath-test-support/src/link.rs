//! A link between two addresses that can be cut, delayed and healed while it is in use.

use std::collections::{BTreeMap, VecDeque};
use std::io::{self, Read, Write};
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpStream, UdpSocket};
use std::sync::{Arc, Condvar, Mutex, PoisonError};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use crate::clock::sleep_ms;
use crate::port::free_port;
use crate::server::{Service, TcpServer};
use crate::sync::lock;

const POLL: Duration = Duration::from_millis(10);
const MAX_CONNECTIONS: usize = 512;
const PIECE_BYTES: usize = 64 * 1024;

/// The directions in which a link carries nothing.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub enum Cut {
    /// Both directions work.
    #[default]
    None,
    /// Nothing reaches the target.
    ToTarget,
    /// Nothing comes back from the target.
    FromTarget,
    /// Nothing passes.
    Both,
}

/// What a link has carried.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct LinkCounts {
    /// Bytes of TCP that reached the target.
    pub tcp_to_target_bytes: u64,
    /// Bytes of TCP that came back.
    pub tcp_from_target_bytes: u64,
    /// Datagrams that reached the target.
    pub udp_to_target: u64,
    /// Datagrams that came back.
    pub udp_from_target: u64,
    /// Datagrams that were dropped because of a cut.
    pub udp_dropped: u64,
}

/// A forwarder of TCP and UDP on loopback; it stops when it is dropped.
///
/// While it is cut, TCP connections stay open and what they hold is carried after the link has
/// healed, as retransmission would; datagrams are lost. Unlike on a real cut link, a new connection
/// is accepted, and hangs. Datagrams from the target go to the last address that sent one; the
/// target sees the link's address as their source.
#[derive(Debug)]
pub struct CuttableLink {
    control: Arc<Control>,
    tcp: TcpServer<Control>,
    udp: Vec<JoinHandle<()>>,
}

impl CuttableLink {
    /// Starts a link to `target` on a free port of 127.0.0.1, the same for TCP and UDP.
    ///
    /// # Errors
    ///
    /// Returns an error if no port can be bound.
    pub fn new(target: SocketAddr) -> io::Result<Self> {
        let addr = SocketAddr::from((Ipv4Addr::LOCALHOST, free_port()?));
        let control = Arc::new(Control::new(target));
        let near = Arc::new(UdpSocket::bind(addr)?);
        let far = Arc::new(UdpSocket::bind((Ipv4Addr::LOCALHOST, 0))?);
        far.connect(target)?;
        let tcp = TcpServer::new(addr, Arc::clone(&control))?;
        let udp = [Direction::ToTarget, Direction::FromTarget].map(|direction| {
            let carrier = Datagrams {
                control: Arc::clone(&control),
                near: Arc::clone(&near),
                far: Arc::clone(&far),
                direction,
            };
            // A socket that fails carries nothing more, which a test sees in the counts.
            thread::spawn(move || drop(carrier.run()))
        });
        Ok(Self { control, tcp, udp: udp.into() })
    }

    /// Returns the address to use in the target's place.
    pub fn addr(&self) -> SocketAddr {
        self.tcp.addr()
    }

    /// Cuts or heals the link.
    pub fn set_cut(&self, cut: Cut) {
        lock(&self.control.state).cut = cut;
        self.control.changed.notify_all();
    }

    /// Sets the delay of each datagram, and of each piece of a TCP stream.
    pub fn set_delay_ms(&self, delay_ms: u64) {
        lock(&self.control.state).delay_ms = delay_ms;
    }

    /// Breaks all connections, whatever is on its way; new ones are made as before.
    pub fn break_connections(&self) {
        for target in lock(&self.control.state).targets.values() {
            // The target may have closed it already.
            drop(target.shutdown(Shutdown::Both));
        }
    }

    /// Returns the counts so far.
    pub fn counts(&self) -> LinkCounts {
        lock(&self.control.state).counts
    }
}

impl Drop for CuttableLink {
    fn drop(&mut self) {
        self.control.stop();
        for thread in self.udp.drain(..) {
            let _: thread::Result<()> = thread.join();
        }
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Direction {
    ToTarget,
    FromTarget,
}

#[derive(Debug)]
struct Control {
    target: SocketAddr,
    state: Mutex<State>,
    changed: Condvar,
}

#[derive(Debug, Default)]
struct State {
    cut: Cut,
    delay_ms: u64,
    counts: LinkCounts,
    stopping: bool,
    connections: usize,
    last_sender: Option<SocketAddr>,
    next: u64,
    /// The connections to the target, kept to be shut down.
    targets: BTreeMap<u64, TcpStream>,
}

impl State {
    fn is_cut(&self, direction: Direction) -> bool {
        match self.cut {
            Cut::None => false,
            Cut::Both => true,
            Cut::ToTarget => direction == Direction::ToTarget,
            Cut::FromTarget => direction == Direction::FromTarget,
        }
    }
}

impl Control {
    fn new(target: SocketAddr) -> Self {
        Self { target, state: Mutex::default(), changed: Condvar::new() }
    }

    /// Waits until the direction is open.
    fn wait_open(&self, direction: Direction) -> io::Result<()> {
        let mut state = lock(&self.state);
        while !state.stopping && state.is_cut(direction) {
            let woken = self.changed.wait(state);
            state = woken.unwrap_or_else(PoisonError::into_inner);
        }
        if state.stopping { Err(io::ErrorKind::ConnectionAborted.into()) } else { Ok(()) }
    }

    fn register(&self, target: TcpStream) -> io::Result<u64> {
        let mut state = lock(&self.state);
        if state.stopping {
            return Err(io::ErrorKind::ConnectionAborted.into());
        }
        state.next += 1;
        let id = state.next;
        state.targets.insert(id, target);
        Ok(id)
    }

    fn pump(&self, direction: Direction, from: &TcpStream, to: &TcpStream) -> io::Result<()> {
        let (mut from, mut to) = (from, to);
        let mut piece = vec![0; PIECE_BYTES];
        loop {
            let count = from.read(&mut piece)?;
            let delay_ms = lock(&self.state).delay_ms;
            sleep_ms(delay_ms);
            self.wait_open(direction)?;
            if count == 0 {
                return to.shutdown(Shutdown::Write);
            }
            to.write_all(&piece[..count])?;
            let counts = &mut lock(&self.state).counts;
            match direction {
                Direction::ToTarget => counts.tcp_to_target_bytes += count as u64,
                Direction::FromTarget => counts.tcp_from_target_bytes += count as u64,
            }
        }
    }

    /// Carries one direction, and ends the other too if it fails.
    fn pump_to_end(&self, direction: Direction, from: &TcpStream, to: &TcpStream) {
        if self.pump(direction, from, to).is_err() {
            // Either may be closed already.
            drop(from.shutdown(Shutdown::Both));
            drop(to.shutdown(Shutdown::Both));
        }
    }
}

impl Service for Control {
    fn admit(&self) -> bool {
        // Those that wait for a cut to heal count too: a caller that tries again and again would
        // otherwise leave a thread here each time.
        let mut state = lock(&self.state);
        let room = state.connections < MAX_CONNECTIONS;
        state.connections += usize::from(room);
        room
    }

    fn serve(&self, stream: TcpStream) -> io::Result<()> {
        self.wait_open(Direction::ToTarget)?;
        let target = TcpStream::connect(self.target)?;
        stream.set_nodelay(true)?;
        target.set_nodelay(true)?;
        let id = self.register(target.try_clone()?)?;
        thread::scope(|scope| {
            scope.spawn(|| self.pump_to_end(Direction::ToTarget, &stream, &target));
            self.pump_to_end(Direction::FromTarget, &target, &stream);
        });
        lock(&self.state).targets.remove(&id);
        Ok(())
    }

    fn closed(&self) {
        lock(&self.state).connections -= 1;
    }

    fn stop(&self) {
        let mut state = lock(&self.state);
        state.stopping = true;
        for target in state.targets.values() {
            // The target may have closed it already.
            drop(target.shutdown(Shutdown::Both));
        }
        drop(state);
        self.changed.notify_all();
    }
}

/// Carries datagrams in one direction.
struct Datagrams {
    control: Arc<Control>,
    near: Arc<UdpSocket>,
    far: Arc<UdpSocket>,
    direction: Direction,
}

impl Datagrams {
    fn run(&self) -> io::Result<()> {
        let from = match self.direction {
            Direction::ToTarget => &self.near,
            Direction::FromTarget => &self.far,
        };
        let mut waiting: VecDeque<(Instant, Vec<u8>)> = VecDeque::new();
        let mut buffer = vec![0; PIECE_BYTES];
        while !lock(&self.control.state).stopping {
            let due = waiting.front().map(|(due, _)| *due);
            let left = due.map_or(POLL, |due| due.saturating_duration_since(Instant::now()));
            from.set_read_timeout(Some(left.clamp(Duration::from_micros(100), POLL)))?;
            // No datagram in time, or the target's port is closed: neither ends the link.
            if let Ok((count, sender)) = from.recv_from(&mut buffer) {
                let mut state = lock(&self.control.state);
                let due = Instant::now() + Duration::from_millis(state.delay_ms);
                waiting.push_back((due, buffer[..count].to_vec()));
                if self.direction == Direction::ToTarget {
                    state.last_sender = Some(sender);
                }
            }
            while waiting.front().is_some_and(|(due, _)| *due <= Instant::now()) {
                if let Some((_, datagram)) = waiting.pop_front() {
                    self.deliver(&datagram);
                }
            }
        }
        Ok(())
    }

    fn deliver(&self, datagram: &[u8]) {
        let mut state = lock(&self.control.state);
        if state.is_cut(self.direction) {
            state.counts.udp_dropped += 1;
            return;
        }
        let (sent, counter) = match (self.direction, state.last_sender) {
            (Direction::ToTarget, _) => (self.far.send(datagram), &mut state.counts.udp_to_target),
            (Direction::FromTarget, Some(sender)) => {
                (self.near.send_to(datagram, sender), &mut state.counts.udp_from_target)
            }
            (Direction::FromTarget, None) => return,
        };
        *counter += u64::from(sent.is_ok());
    }
}
