//! A TCP server with one thread per connection, which joins all its threads on drop.

use std::collections::BTreeMap;
use std::fmt::Debug;
use std::io;
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};

use crate::packet_filter::{ClientCut, accept_packets, drop_packets_from, is_from, reset_on_drop};
use crate::sync::lock;

/// The handler of a server's connections.
pub(crate) trait Service: Debug + Send + Sync + 'static {
    /// Decides whether to accept a new connection; blocks the accept loop.
    fn admit(&self) -> bool;

    /// Serves a connection until it ends.
    ///
    /// # Errors
    ///
    /// Returns an error if the caller disconnected or violated the protocol.
    fn serve(&self, stream: TcpStream) -> io::Result<()>;

    /// Called at the end of a connection that was admitted.
    fn connection_closed(&self);

    /// Ends all waits other than socket operations.
    fn stop(&self);
}

/// A running server, which stops on drop.
#[derive(Debug)]
pub(crate) struct TcpServer<S: Service> {
    service: Arc<S>,
    open: Arc<Mutex<OpenConnections>>,
    addr: SocketAddr,
    /// The socket on which the acceptor listens.
    listener: TcpListener,
    acceptor: Option<JoinHandle<()>>,
}

/// The open connections, kept so that they can be shut down.
#[derive(Debug, Default)]
struct OpenConnections {
    stopping: bool,
    last_id: u64,
    streams: BTreeMap<u64, TcpStream>,
}

impl<S: Service> TcpServer<S> {
    /// Starts a server that listens on `addr`.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be bound.
    pub(crate) fn new(addr: SocketAddr, service: Arc<S>) -> io::Result<Self> {
        let listener = TcpListener::bind(addr)?;
        let addr = listener.local_addr()?;
        let accepting_on = listener.try_clone()?;
        let open = Arc::default();
        let (accepting, shared) = (Arc::clone(&service), Arc::clone(&open));
        let acceptor =
            thread::spawn(move || accept_connections(&accepting_on, &accepting, &shared));
        Ok(Self { service, open, addr, listener, acceptor: Some(acceptor) })
    }

    /// Cuts the server off from clients at these addresses; ends all earlier cuts.
    ///
    /// # Errors
    ///
    /// Fails if the system refuses a packet filter.
    pub(crate) fn cut_from(&self, clients: &[Ipv4Addr], cut: ClientCut) -> io::Result<()> {
        self.end_cuts();
        drop_packets_from(&self.listener, clients)?;
        let open = lock(&self.open);
        for stream in open.streams.values().filter(|stream| is_from(stream, clients)) {
            match cut {
                ClientCut::NewConnections => {}
                ClientCut::Silent => drop_packets_from(stream, clients)?,
                ClientCut::Reset => reset_on_drop(stream)?,
            }
        }
        Ok(())
    }

    /// Ends all cuts between the server and clients.
    pub(crate) fn end_cuts(&self) {
        accept_packets(&self.listener);
        for stream in lock(&self.open).streams.values() {
            accept_packets(stream);
        }
    }

    /// Returns the listen address.
    pub(crate) fn addr(&self) -> SocketAddr {
        self.addr
    }
}

impl<S: Service> Drop for TcpServer<S> {
    fn drop(&mut self) {
        self.service.stop();
        let mut open = lock(&self.open);
        open.stopping = true;
        for stream in open.streams.values() {
            // The caller may have closed the connection already.
            drop(stream.shutdown(Shutdown::Both));
        }
        drop(open);
        // Wakes the accept loop so that it sees the stop.
        drop(TcpStream::connect(self.addr));
        if let Some(acceptor) = self.acceptor.take() {
            let _: thread::Result<()> = acceptor.join();
        }
    }
}

/// Accepts connections until the server stops, then joins their threads.
fn accept_connections<S: Service>(
    listener: &TcpListener,
    service: &Arc<S>,
    open: &Arc<Mutex<OpenConnections>>,
) {
    let mut threads: Vec<JoinHandle<()>> = Vec::new();
    loop {
        let accepted = listener.accept();
        if lock(open).stopping {
            break;
        }
        threads.retain(|thread| !thread.is_finished());
        if let Ok((stream, _)) = accepted {
            threads.extend(start_connection(service, open, stream));
        }
    }
    for thread in threads {
        let _: thread::Result<()> = thread.join();
    }
}

fn start_connection<S: Service>(
    service: &Arc<S>,
    open: &Arc<Mutex<OpenConnections>>,
    stream: TcpStream,
) -> Option<JoinHandle<()>> {
    let clone = stream.try_clone().ok()?;
    if !service.admit() {
        return None;
    }
    let id = register(open, clone);
    let (service, open) = (Arc::clone(service), Arc::clone(open));
    Some(thread::spawn(move || {
        // An error concerns this connection only.
        let _: io::Result<()> = service.serve(stream);
        // Called before the stream is closed, so that counts are correct once the caller sees the end.
        service.connection_closed();
        let stream = lock(&open).streams.remove(&id);
        drop(stream.map(|stream| stream.shutdown(Shutdown::Both)));
    }))
}

/// Registers a connection, and shuts it down immediately if the server is stopping.
///
/// Otherwise its thread could wait for the caller forever and block the drop of the server.
fn register(open: &Mutex<OpenConnections>, stream: TcpStream) -> u64 {
    let mut open = lock(open);
    if open.stopping {
        drop(stream.shutdown(Shutdown::Both));
    }
    open.last_id += 1;
    let id = open.last_id;
    open.streams.insert(id, stream);
    id
}
