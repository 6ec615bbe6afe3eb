//! A peer that only sends rows, slowly.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::Duration;

use sedgepath_core::direct::replicas::{Table, TableUpdate, VersionedRow};
use sedgepath_core::direct::store_version::StoreVersion;
use sedgepath_core::direct::vms::gossip::{Heartbeat, PeerMessage};
use sedgepath_test_support::direct::heartbeat;
use sedgepath_test_support::store::{FIRST_ERA, StoreStandIn};

/// The number of chunks of a response body.
const CHUNKS: usize = 10;

/// The version of the rows that the peer announces and sends, above those of the store.
pub const VERSION_COUNTER: u64 = 1_000;

/// The pause before each chunk.
const CHUNK_INTERVAL: Duration = Duration::from_millis(130);

/// The peer, which runs until the test's process ends.
#[derive(Debug)]
pub struct SlowPeer {
    socket: UdpSocket,
    address: SocketAddr,
    request_count: Arc<AtomicUsize>,
}

impl SlowPeer {
    /// Starts a peer at an address with the rows that the store has now.
    pub fn new(address: SocketAddr, store: &StoreStandIn) -> Self {
        let listener = TcpListener::bind(address).expect("the address is free");
        let request_count = Arc::new(AtomicUsize::new(0));
        let counter = Arc::clone(&request_count);
        let updates = [encoded_update(store, "op"), encoded_update(store, "servers")];
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                counter.fetch_add(1, Ordering::Relaxed);
                let updates = updates.clone();
                // The VM may have closed the connection.
                thread::spawn(move || drop(respond(stream, &updates)));
            }
        });
        Self {
            socket: UdpSocket::bind(address).expect("the address is free"),
            address,
            request_count,
        }
    }

    /// Sends a heartbeat that announces newer rows to a VM.
    pub fn announce_rows(&self, vm: SocketAddr) {
        let mut heartbeat = heartbeat("slow", "north-a", 1);
        heartbeat.descriptor.peer_address = self.address;
        heartbeat.state.newest_version = [StoreVersion::new(FIRST_ERA, VERSION_COUNTER); 2];
        let message = PeerMessage::Heartbeat(Heartbeat::Full(heartbeat));
        let bytes = postcard::to_stdvec(&message).expect("a heartbeat");
        // The VM may not listen yet.
        drop(self.socket.send_to(&bytes, vm));
    }

    /// Returns the number of requests for rows.
    pub fn request_count(&self) -> usize {
        self.request_count.load(Ordering::Relaxed)
    }
}

fn encoded_update(store: &StoreStandIn, table: &str) -> Vec<u8> {
    let rows = store.rows(table).into_iter().map(|row| VersionedRow {
        key: row.key.into(),
        version: StoreVersion::new(FIRST_ERA, row.version),
        value: Some(row.value.into()),
    });
    let position = StoreVersion::new(FIRST_ERA, VERSION_COUNTER);
    let update = TableUpdate::new_snapshot(rows.collect(), position);
    postcard::to_stdvec(&update).expect("the update encodes")
}

fn respond(mut stream: TcpStream, updates: &[Vec<u8>; 2]) -> std::io::Result<()> {
    let mut head = Vec::new();
    let mut byte = [0];
    while !head.ends_with(b"\r\n\r\n") {
        stream.read_exact(&mut byte)?;
        head.push(byte[0]);
    }
    let operators = String::from_utf8_lossy(&head).contains(Table::Operators.name());
    let body = &updates[usize::from(!operators)];
    write!(stream, "HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", body.len())?;
    for chunk in body.chunks(body.len().div_ceil(CHUNKS)) {
        thread::sleep(CHUNK_INTERVAL);
        stream.write_all(chunk)?;
    }
    Ok(())
}
