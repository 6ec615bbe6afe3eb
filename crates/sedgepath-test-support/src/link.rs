//! A link between two addresses that can be cut, delayed and restored while in use.

use std::collections::{BTreeMap, VecDeque};
use std::io::{self, Read, Write};
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpStream, UdpSocket};
use std::sync::{Arc, Condvar, Mutex, PoisonError};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use crate::clock::sleep_ms;
use crate::packet_filter::ClientCut;
use crate::port::free_port;
use crate::server::{Service, TcpServer};
use crate::sync::lock;

/// The maximum time for which a datagram forwarder waits before it checks whether the link stops.
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// The maximum number of TCP connections that are served at a time.
const MAX_CONNECTIONS: usize = 512;
/// The size of a receive buffer, which limits a chunk of a stream and a datagram.
const BUFFER_BYTES: usize = 64 * 1024;

/// The directions in which a link is cut.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub enum Cut {
    /// Both directions work.
    #[default]
    None,
    /// Nothing passes to the target.
    ToTarget,
    /// Nothing passes from the target.
    FromTarget,
    /// Neither direction works.
    Both,
}

/// Counts of the data that a link has carried.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct LinkCounts {
    /// TCP bytes sent to the target.
    pub tcp_to_target_bytes: u64,
    /// TCP bytes sent back from the target.
    pub tcp_from_target_bytes: u64,
    /// Datagrams sent to the target.
    pub udp_to_target: u64,
    /// Datagrams sent back from the target.
    pub udp_from_target: u64,
    /// Datagrams dropped because the link was cut.
    pub udp_dropped: u64,
}

/// A forwarder of TCP and UDP on loopback, which stops on drop.
///
/// While a direction is cut, TCP connections stay open and their data is delivered after the link
/// is restored, as if retransmitted; datagrams are lost. Unlike on a real link, a new connection is
/// accepted while the direction to the target is cut, and reaches the target after the cut.
/// Datagrams from the target are sent to the most recent sender; the target sees the link's address
/// as the source of all datagrams.
#[derive(Debug)]
pub struct CuttableLink {
    control: Arc<LinkControl>,
    tcp: TcpServer<LinkControl>,
    udp_threads: Vec<JoinHandle<()>>,
}

impl CuttableLink {
    /// Starts a link to `target` on a free port of 127.0.0.1, the same for TCP and UDP.
    ///
    /// # Errors
    ///
    /// Returns an error if no port can be bound.
    pub fn new(target: SocketAddr) -> io::Result<Self> {
        let addr = SocketAddr::from((Ipv4Addr::LOCALHOST, free_port()?));
        let control = Arc::new(LinkControl::new(target));
        let caller_socket = Arc::new(UdpSocket::bind(addr)?);
        let target_socket = Arc::new(UdpSocket::bind((Ipv4Addr::LOCALHOST, 0))?);
        target_socket.connect(target)?;
        let tcp = TcpServer::new(addr, Arc::clone(&control))?;
        let udp_threads = [Direction::ToTarget, Direction::FromTarget].map(|direction| {
            let forwarder = DatagramForwarder {
                control: Arc::clone(&control),
                caller_socket: Arc::clone(&caller_socket),
                target_socket: Arc::clone(&target_socket),
                direction,
            };
            // `run` fails only if the read timeout can't be set.
            thread::spawn(move || drop(forwarder.run()))
        });
        Ok(Self { control, tcp, udp_threads: udp_threads.into() })
    }

    /// Returns the address to connect to instead of the target's.
    pub fn addr(&self) -> SocketAddr {
        self.tcp.addr()
    }

    /// Sets the directions in which the link is cut.
    pub fn set_cut(&self, cut: Cut) {
        lock(&self.control.state).cut = cut;
        self.control.changed.notify_all();
    }

    /// Cuts the link off from TCP clients at these addresses, and lets all others pass; ends all earlier
    /// such cuts.
    ///
    /// # Errors
    ///
    /// Fails if the system refuses a packet filter.
    pub fn cut_from(&self, clients: &[Ipv4Addr], cut: ClientCut) -> io::Result<()> {
        self.tcp.cut_from(clients, cut)
    }

    /// Ends all cuts between the link and single clients.
    pub fn end_client_cuts(&self) {
        self.tcp.end_cuts();
    }

    /// Sets the delay of each datagram and of each chunk of a TCP stream, in milliseconds.
    pub fn set_delay_ms(&self, delay_ms: u64) {
        lock(&self.control.state).delay_ms = delay_ms;
    }

    /// Closes all TCP connections that reached the target; data in transit is lost. New connections
    /// are accepted.
    pub fn break_connections(&self) {
        for target in lock(&self.control.state).target_streams.values() {
            // The target may already have closed the connection.
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
        for thread in self.udp_threads.drain(..) {
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
struct LinkControl {
    target: SocketAddr,
    state: Mutex<LinkState>,
    changed: Condvar,
}

#[derive(Debug, Default)]
struct LinkState {
    cut: Cut,
    delay_ms: u64,
    counts: LinkCounts,
    stopping: bool,
    connection_count: usize,
    last_sender: Option<SocketAddr>,
    last_id: u64,
    /// The connections to the target, kept so that they can be shut down.
    target_streams: BTreeMap<u64, TcpStream>,
}

impl LinkState {
    fn is_cut(&self, direction: Direction) -> bool {
        match self.cut {
            Cut::None => false,
            Cut::Both => true,
            Cut::ToTarget => direction == Direction::ToTarget,
            Cut::FromTarget => direction == Direction::FromTarget,
        }
    }
}

impl LinkControl {
    fn new(target: SocketAddr) -> Self {
        Self { target, state: Mutex::default(), changed: Condvar::new() }
    }

    /// Blocks until the direction is open. Fails if the link stops.
    fn wait_until_open(&self, direction: Direction) -> io::Result<()> {
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
        state.last_id += 1;
        let id = state.last_id;
        state.target_streams.insert(id, target);
        Ok(id)
    }

    fn copy_stream(
        &self,
        direction: Direction,
        from: &TcpStream,
        to: &TcpStream,
    ) -> io::Result<()> {
        let (mut from, mut to) = (from, to);
        let mut buffer = vec![0; BUFFER_BYTES];
        loop {
            let count = from.read(&mut buffer)?;
            let delay_ms = lock(&self.state).delay_ms;
            sleep_ms(delay_ms);
            self.wait_until_open(direction)?;
            if count == 0 {
                return to.shutdown(Shutdown::Write);
            }
            to.write_all(&buffer[..count])?;
            let counts = &mut lock(&self.state).counts;
            match direction {
                Direction::ToTarget => counts.tcp_to_target_bytes += count as u64,
                Direction::FromTarget => counts.tcp_from_target_bytes += count as u64,
            }
        }
    }

    /// Copies one direction of a connection; if that fails, closes the connection in both.
    fn forward_stream(&self, direction: Direction, from: &TcpStream, to: &TcpStream) {
        if self.copy_stream(direction, from, to).is_err() {
            // Either stream may be closed already.
            drop(from.shutdown(Shutdown::Both));
            drop(to.shutdown(Shutdown::Both));
        }
    }
}

impl Service for LinkControl {
    fn admit(&self) -> bool {
        // Connections that wait for a cut to end count towards the limit, because each occupies a
        // thread.
        let mut state = lock(&self.state);
        let has_capacity = state.connection_count < MAX_CONNECTIONS;
        state.connection_count += usize::from(has_capacity);
        has_capacity
    }

    fn serve(&self, stream: TcpStream) -> io::Result<()> {
        self.wait_until_open(Direction::ToTarget)?;
        let target = TcpStream::connect(self.target)?;
        stream.set_nodelay(true)?;
        target.set_nodelay(true)?;
        let id = self.register(target.try_clone()?)?;
        thread::scope(|scope| {
            scope.spawn(|| self.forward_stream(Direction::ToTarget, &stream, &target));
            self.forward_stream(Direction::FromTarget, &target, &stream);
        });
        lock(&self.state).target_streams.remove(&id);
        Ok(())
    }

    fn connection_closed(&self) {
        lock(&self.state).connection_count -= 1;
    }

    fn stop(&self) {
        let mut state = lock(&self.state);
        state.stopping = true;
        for target in state.target_streams.values() {
            // The target may already have closed the connection.
            drop(target.shutdown(Shutdown::Both));
        }
        drop(state);
        self.changed.notify_all();
    }
}

/// Forwards datagrams in one direction.
struct DatagramForwarder {
    control: Arc<LinkControl>,
    caller_socket: Arc<UdpSocket>,
    target_socket: Arc<UdpSocket>,
    direction: Direction,
}

impl DatagramForwarder {
    fn run(&self) -> io::Result<()> {
        let from = match self.direction {
            Direction::ToTarget => &self.caller_socket,
            Direction::FromTarget => &self.target_socket,
        };
        let mut delayed: VecDeque<(Instant, Vec<u8>)> = VecDeque::new();
        let mut buffer = vec![0; BUFFER_BYTES];
        while !lock(&self.control.state).stopping {
            let due = delayed.front().map(|(due, _)| *due);
            let timeout =
                due.map_or(POLL_INTERVAL, |due| due.saturating_duration_since(Instant::now()));
            from.set_read_timeout(Some(timeout.clamp(Duration::from_micros(100), POLL_INTERVAL)))?;
            // A timeout or a refused datagram is expected; other errors are ignored as well.
            if let Ok((count, sender)) = from.recv_from(&mut buffer) {
                let mut state = lock(&self.control.state);
                let due = Instant::now() + Duration::from_millis(state.delay_ms);
                delayed.push_back((due, buffer[..count].to_vec()));
                if self.direction == Direction::ToTarget {
                    state.last_sender = Some(sender);
                }
            }
            while delayed.front().is_some_and(|(due, _)| *due <= Instant::now()) {
                if let Some((_, datagram)) = delayed.pop_front() {
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
            (Direction::ToTarget, _) => {
                (self.target_socket.send(datagram), &mut state.counts.udp_to_target)
            }
            (Direction::FromTarget, Some(sender)) => {
                (self.caller_socket.send_to(datagram, sender), &mut state.counts.udp_from_target)
            }
            (Direction::FromTarget, None) => return,
        };
        *counter += u64::from(sent.is_ok());
    }
}
