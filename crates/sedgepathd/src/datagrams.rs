//! Receives datagrams from peers and passes them to the node.

use std::net::UdpSocket;
use std::sync::Arc;

use sedgepath_core::event::Event;
use sedgepath_wire::datagram::{DatagramDecoder, MAX_DATAGRAM_BYTES};
use sedgepath_wire::key::SharedKey;

use crate::driver::NodeHandle;
use crate::metrics::Metrics;

/// Starts the receiving thread, which runs until the process ends.
pub fn start_receiver(
    socket: UdpSocket,
    key: SharedKey,
    handle: NodeHandle,
    metrics: Arc<Metrics>,
) {
    std::thread::spawn(move || {
        let mut decoder = DatagramDecoder::new(key);
        // The extra byte reveals an oversized datagram, which the system truncates to the buffer.
        let mut buffer = [0; MAX_DATAGRAM_BYTES + 1];
        loop {
            let Ok((length, from)) = socket.recv_from(&mut buffer) else {
                continue;
            };
            metrics.count_received_datagram(length);
            match decoder.decode(&buffer[..length]) {
                Ok(envelope) => handle.send_event(Event::Datagram(envelope)),
                Err(error) => {
                    metrics.count_dropped("datagram", error.name());
                    log::debug!("event=datagram_dropped from={from} reason={}", error.name());
                }
            }
        }
    });
}
