//! A server with one thread for each connection, which leaves none behind when it is dropped.

use std::collections::BTreeMap;
use std::fmt::Debug;
use std::io;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};

use crate::sync::lock;

/// What is done with the connections.
pub(crate) trait Service: Debug + Send + Sync + 'static {
    /// Decides whether to keep a new connection; another one waits meanwhile.
    fn admit(&self) -> bool;

    /// Serves a connection to its end.
    ///
    /// # Errors
    ///
    /// Returns an error if the caller went away or broke the protocol.
    fn serve(&self, stream: TcpStream) -> io::Result<()>;

    /// Notes the end of a connection that was admitted.
    fn closed(&self);

    /// Ends all waits that are not for a connection.
    fn stop(&self);
}

/// The server.
#[derive(Debug)]
pub(crate) struct TcpServer<S: Service> {
    service: Arc<S>,
    open: Arc<Mutex<Open>>,
    addr: SocketAddr,
    acceptor: Option<JoinHandle<()>>,
}

/// The open connections, kept to be shut down.
#[derive(Debug, Default)]
struct Open {
    stopping: bool,
    next: u64,
    streams: BTreeMap<u64, TcpStream>,
}

impl<S: Service> TcpServer<S> {
    /// Starts to listen at `addr`.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be bound.
    pub(crate) fn new(addr: SocketAddr, service: Arc<S>) -> io::Result<Self> {
        let listener = TcpListener::bind(addr)?;
        let addr = listener.local_addr()?;
        let open = Arc::default();
        let (accepting, shared) = (Arc::clone(&service), Arc::clone(&open));
        let acceptor = thread::spawn(move || accept(&listener, &accepting, &shared));
        Ok(Self { service, open, addr, acceptor: Some(acceptor) })
    }

    /// Returns the address at which it listens.
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
            // A caller may have closed it already.
            drop(stream.shutdown(Shutdown::Both));
        }
        drop(open);
        // Wakes the acceptor, which sees the stop and ends.
        drop(TcpStream::connect(self.addr));
        if let Some(acceptor) = self.acceptor.take() {
            let _: thread::Result<()> = acceptor.join();
        }
    }
}

/// Accepts until the server stops, then waits for the connections' threads.
fn accept<S: Service>(listener: &TcpListener, service: &Arc<S>, open: &Arc<Mutex<Open>>) {
    let mut threads: Vec<JoinHandle<()>> = Vec::new();
    loop {
        let accepted = listener.accept();
        if lock(open).stopping {
            break;
        }
        threads.retain(|thread| !thread.is_finished());
        if let Ok((stream, _)) = accepted {
            threads.extend(start(service, open, stream));
        }
    }
    for thread in threads {
        let _: thread::Result<()> = thread.join();
    }
}

fn start<S: Service>(
    service: &Arc<S>,
    open: &Arc<Mutex<Open>>,
    stream: TcpStream,
) -> Option<JoinHandle<()>> {
    let kept = stream.try_clone().ok()?;
    if !service.admit() {
        return None;
    }
    let id = register(open, kept);
    let (service, open) = (Arc::clone(service), Arc::clone(open));
    Some(thread::spawn(move || {
        // A caller that goes away or breaks the protocol ends its connection, nothing more.
        let _: io::Result<()> = service.serve(stream);
        // Before the stream is closed: a caller that sees the end must find it counted.
        service.closed();
        let stream = lock(&open).streams.remove(&id);
        drop(stream.map(|stream| stream.shutdown(Shutdown::Both)));
    }))
}

/// Keeps a connection, and shuts it at once if the stop has passed over the others already: its
/// thread would otherwise wait for its caller and the drop for its thread.
fn register(open: &Mutex<Open>, stream: TcpStream) -> u64 {
    let mut open = lock(open);
    if open.stopping {
        drop(stream.shutdown(Shutdown::Both));
    }
    open.next += 1;
    let id = open.next;
    open.streams.insert(id, stream);
    id
}
