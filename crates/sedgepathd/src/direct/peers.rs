//! Heartbeats between entry VMs, as datagrams.

use std::io;
use std::rc::Rc;
use std::time::Duration;

use sedgepath_core::direct::vms::VmHeartbeat;
use tokio::net::UdpSocket;

use super::clock;
use super::shell::Shell;

/// The largest datagram in bytes.
const MAX_DATAGRAM_BYTES: usize = 1_432;

/// Sends a heartbeat to every VM known, each period.
pub async fn send_heartbeats(shell: Rc<Shell>, socket: Rc<UdpSocket>, period_ms: u64) {
    loop {
        send_once(&shell, &socket).await;
        tokio::time::sleep(Duration::from_millis(period_ms)).await;
    }
}

/// Sends one heartbeat to every VM known.
pub async fn send_once(shell: &Shell, socket: &UdpSocket) {
    let now_ms = clock::now_ms();
    let (heartbeat, addresses) = {
        let mut steering = shell.steering.borrow_mut();
        let ready = steering.can_serve() && !steering.vms().leaving();
        let vms = steering.vms_mut();
        vms.set_ready(ready);
        (vms.heartbeat(), vms.addresses(now_ms))
    };
    let Ok(bytes) = postcard::to_stdvec(&heartbeat) else {
        return;
    };
    for address in addresses {
        if let Err(error) = socket.send_to(&bytes, address).await {
            log::debug!("event=heartbeat_not_sent to={address} error={:?}", error.to_string());
        }
    }
}

/// Takes in heartbeats until the process ends.
pub async fn receive(shell: Rc<Shell>, socket: Rc<UdpSocket>) {
    let mut buffer = [0; MAX_DATAGRAM_BYTES];
    loop {
        let received = socket.recv_from(&mut buffer).await;
        let Some(heartbeat) = read(received, &buffer) else {
            continue;
        };
        shell.steering.borrow_mut().vms_mut().heard(heartbeat, clock::now_ms());
    }
}

fn read(received: io::Result<(usize, std::net::SocketAddr)>, buffer: &[u8]) -> Option<VmHeartbeat> {
    let (length, _) = received.ok()?;
    postcard::from_bytes(buffer.get(..length)?).ok()
}
