//! Datagrams between entry VMs.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use sedgepath_core::clock::HybridTimestamp;
use sedgepath_core::direct::vms::gossip::{Heartbeat, OutgoingMessage, PeerMessage};
use sedgepath_core::direct::vms::{RelayedSummary, VmHeartbeat};

use super::shell::Shell;
use super::{clock, fetch};

/// The largest datagram in bytes.
const MAX_DATAGRAM_BYTES: usize = 1_432;

/// The bytes of a datagram that are taken up by what stands before its list of summaries.
const PART_HEAD_BYTES: usize = 4;

/// Tells the other VMs of this one and of its failure domain, each period.
pub async fn send_rounds(shell: Rc<Shell>) {
    loop {
        send_round(&shell).await;
        let period_ms = shell.steering.borrow().vms().period_ms();
        tokio::time::sleep(Duration::from_millis(period_ms)).await;
    }
}

/// Sends what is due each period.
pub async fn send_round(shell: &Shell) {
    let (stamp, now_ms) = note_own_state(shell);
    let mut rng = fastrand::Rng::new();
    let round = shell.steering.borrow_mut().vms_mut().periodic_messages(stamp, &mut rng, now_ms);
    send(shell, round).await;
}

/// Tells those that may lack them that this VM's copies have changed, or that its view of the store has.
pub async fn announce(shell: &Shell) {
    let (stamp, now_ms) = note_own_state(shell);
    let mut rng = fastrand::Rng::new();
    let round = shell.steering.borrow_mut().vms_mut().change_messages(stamp, &mut rng, now_ms);
    send(shell, round).await;
}

/// Sends a heartbeat to the VMs of the own failure domain.
pub async fn send_heartbeat(shell: &Shell) {
    let (stamp, now_ms) = note_own_state(shell);
    let heartbeat = shell.steering.borrow_mut().vms_mut().full_heartbeat(stamp, now_ms);
    send(shell, vec![heartbeat]).await;
}

fn note_own_state(shell: &Shell) -> (HybridTimestamp, u64) {
    let now_ms = clock::now_ms();
    let mut steering = shell.steering.borrow_mut();
    let ready = steering.can_serve() && !steering.vms().is_leaving();
    let vms = steering.vms_mut();
    vms.set_ready(ready);
    vms.set_replica_state(
        shell.copies.borrow().newest_version(),
        shell.store_calls.get().view(now_ms),
    );
    (shell.line_clock.tick(), now_ms)
}

async fn send(shell: &Shell, outgoing: Vec<OutgoingMessage>) {
    for OutgoingMessage { message, to } in outgoing {
        match message {
            PeerMessage::RelayedSummary(summaries) => {
                for part in parts(summaries) {
                    send_to_all(shell, &PeerMessage::RelayedSummary(part), &to).await;
                }
            }
            message => send_to_all(shell, &message, &to).await,
        }
    }
}

/// Splits summaries into as many datagrams as they need.
fn parts(passed_on: Vec<RelayedSummary>) -> Vec<Vec<RelayedSummary>> {
    let mut parts: Vec<Vec<RelayedSummary>> = Vec::new();
    let mut room_bytes = 0;
    for summary in passed_on {
        let bytes = postcard::to_stdvec(&summary).map_or(MAX_DATAGRAM_BYTES, |bytes| bytes.len());
        match parts.last_mut() {
            Some(part) if bytes <= room_bytes => part.push(summary),
            _ => {
                parts.push(vec![summary]);
                room_bytes = MAX_DATAGRAM_BYTES - PART_HEAD_BYTES;
            }
        }
        room_bytes = room_bytes.saturating_sub(bytes);
    }
    parts
}

async fn send_to_all(shell: &Shell, message: &PeerMessage, addresses: &[SocketAddr]) {
    let bytes = match postcard::to_stdvec(message) {
        Ok(bytes) => bytes,
        Err(error) => {
            log::error!("event=datagram_not_written error={:?}", error.to_string());
            return;
        }
    };
    for address in addresses {
        shell.metrics.told_peer(message.name(), bytes.len());
        if let Err(error) = shell.peers.send_to(&bytes, address).await {
            log::debug!("event=datagram_not_sent to={address} error={:?}", error.to_string());
        }
    }
}

/// Takes in datagrams until the process ends.
pub async fn receive(shell: Rc<Shell>) {
    let mut buffer = [0; MAX_DATAGRAM_BYTES];
    loop {
        let received = shell.peers.recv_from(&mut buffer).await;
        match read(received, &buffer) {
            Some((_, PeerMessage::Heartbeat(Heartbeat::Full(heartbeat)))) => {
                take_heartbeat(&shell, heartbeat).await;
            }
            Some((from, PeerMessage::Heartbeat(Heartbeat::StateOnly(state)))) => {
                shell.line_clock.merge(state.stamp);
                let now_ms = clock::now_ms();
                if shell.steering.borrow_mut().vms_mut().record_state(from, state, now_ms) {
                    fetch::catch_up(&shell, state.newest_version, from);
                }
            }
            Some((_, PeerMessage::Summary(summary))) => {
                shell.line_clock.merge(summary.stamp);
                fetch::catch_up(&shell, summary.changed_at, summary.sender());
                shell.steering.borrow_mut().vms_mut().record_summary(summary, clock::now_ms());
            }
            Some((_, PeerMessage::RelayedSummary(summaries))) => {
                let mut steering = shell.steering.borrow_mut();
                for passed_on in summaries {
                    steering.vms_mut().record_relayed_summary(passed_on, clock::now_ms());
                }
            }
            None => {}
        }
    }
}

fn read(
    received: io::Result<(usize, SocketAddr)>,
    buffer: &[u8],
) -> Option<(SocketAddr, PeerMessage)> {
    let (length, from) = received.ok()?;
    let message = postcard::from_bytes(buffer.get(..length)?).ok()?;
    Some((from, message))
}

async fn take_heartbeat(shell: &Rc<Shell>, heartbeat: VmHeartbeat) {
    shell.line_clock.merge(heartbeat.state.stamp);
    fetch::catch_up(shell, heartbeat.state.newest_version, heartbeat.descriptor.peer_address);
    let welcome = {
        let now_ms = clock::now_ms();
        let mut steering = shell.steering.borrow_mut();
        let (address, domain) =
            (heartbeat.descriptor.peer_address, heartbeat.descriptor.domain.clone());
        let elsewhere = domain != steering.location().domain;
        steering.vms_mut().record_heartbeat(heartbeat, now_ms);
        elsewhere.then(|| {
            let mut rng = fastrand::Rng::new();
            let stamp = shell.line_clock.tick();
            (address, steering.vms().join_reply(&domain, stamp, &mut rng, now_ms))
        })
    };
    if let Some((address, welcome)) = welcome {
        send_to_all(shell, &welcome, &[address]).await;
    }
}
