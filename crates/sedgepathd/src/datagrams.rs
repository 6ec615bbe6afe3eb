//! The thread that receives datagrams of peers.

use std::net::UdpSocket;
use std::sync::Arc;

use sedgepath_core::event::Event;
use sedgepath_wire::datagram::{DatagramDecoder, MAX_DATAGRAM_BYTES};
use sedgepath_wire::key::SharedKey;

use crate::driver::Handle;
use crate::metrics::Metrics;

/// Starts the thread; it ends with the process.
pub fn start(socket: UdpSocket, key: SharedKey, handle: Handle, metrics: Arc<Metrics>) {
    std::thread::spawn(move || {
        let mut opener = DatagramDecoder::new(key);
        // One byte more than the largest datagram shows an oversize one, which the system cuts off.
        let mut buffer = [0; MAX_DATAGRAM_BYTES + 1];
        loop {
            let Ok((length, from)) = socket.recv_from(&mut buffer) else {
                continue;
            };
            metrics.received_datagram(length);
            match opener.decode(&buffer[..length]) {
                Ok(envelope) => handle.event(Event::Datagram(envelope)),
                Err(error) => {
                    metrics.dropped("datagram", error.name());
                    log::debug!("event=datagram_dropped from={from} reason={}", error.name());
                }
            }
        }
    });
}
