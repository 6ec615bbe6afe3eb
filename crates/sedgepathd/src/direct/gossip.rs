//! Datagrams between entry VMs: heartbeats and summaries.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use sedgepath_core::clock::HybridTimestamp;
use sedgepath_core::direct::replicas::Table;
use sedgepath_core::direct::reports::{DueReports, Reports};
use sedgepath_core::direct::store_version::StoreVersion;
use sedgepath_core::direct::vms::gossip::{Heartbeat, OutgoingMessage, PeerMessage};
use sedgepath_core::direct::vms::{DomainSummary, RelayedSummary, VmHeartbeat};
use sedgepath_wire::peer_seal::SEAL_BYTES;

use super::shared::SharedState;
use super::{clock, fetch, load_gossip, peer_authentication, quotas};

/// The largest message in a datagram, in bytes.
const MAX_MESSAGE_BYTES: usize = 1_432;

/// The largest datagram, in bytes; fits a packet on common links.
const MAX_DATAGRAM_BYTES: usize = MAX_MESSAGE_BYTES + SEAL_BYTES;

/// How often a VM checks between its heartbeats whether others have joined or gone, in milliseconds.
const MEMBERSHIP_CHECK_INTERVAL_MS: u64 = 500;

/// The time for which reports are collected before they are sent.
const REPORT_DELAY: Duration = Duration::from_millis(20);

/// The bytes of a datagram before the summaries of a list.
const LIST_OVERHEAD_BYTES: usize = 4;

/// Sends the periodic messages once each period, and changes of the membership meanwhile, until the process
/// ends.
pub async fn send_periodically(shared: Rc<SharedState>) {
    loop {
        send_periodic_messages(&shared).await;
        announce_quarantine(&shared).await;
        let next_at_ms = clock::now_ms() + shared.steering.borrow().vms().period_ms();
        while let Some(left_ms) = next_at_ms.checked_sub(clock::now_ms()).filter(|left| *left > 0) {
            let pause_ms = left_ms.min(MEMBERSHIP_CHECK_INTERVAL_MS);
            tokio::time::sleep(Duration::from_millis(pause_ms)).await;
            if pause_ms < left_ms {
                send_membership_changes(&shared).await;
            }
        }
    }
}

/// Tells other VMs at once of those that have joined or gone.
async fn send_membership_changes(shared: &SharedState) {
    let (stamp, now_ms) = update_own_state(shared);
    let mut rng = fastrand::Rng::new();
    let messages =
        shared.steering.borrow_mut().vms_mut().membership_change_messages(stamp, &mut rng, now_ms);
    send_messages(shared, messages).await;
}

/// Sends reports when they are due, until the process ends.
pub async fn send_reports(shared: Rc<SharedState>) {
    loop {
        let due_at_ms = shared.steering.borrow_mut().reports_mut().due_at_ms();
        let Some(due_at_ms) = due_at_ms else {
            shared.reports_queued.notified().await;
            tokio::time::sleep(REPORT_DELAY).await;
            continue;
        };
        let now_ms = clock::now_ms();
        if due_at_ms > now_ms {
            tokio::time::sleep_until(clock::instant_at(due_at_ms)).await;
            continue;
        }
        let messages = {
            let mut steering = shared.steering.borrow_mut();
            let due = steering.reports_mut().take_due(now_ms);
            let version = quarantine_version(&shared);
            steering.vms().report_messages(due, version, &mut fastrand::Rng::new())
        };
        send_messages(&shared, messages).await;
    }
}

/// Tells some VMs the version of this VM's replica of the quarantine, if there is or was one.
async fn announce_quarantine(shared: &SharedState) {
    let version = quarantine_version(shared);
    if version > StoreVersion::default() {
        let mut rng = fastrand::Rng::new();
        let message = shared.steering.borrow().vms().quarantine_announcement(version, &mut rng);
        send_messages(shared, vec![message]).await;
    }
}

/// Tells all VMs of this VM's failure domain, and some of each other one, of a change of the
/// quarantine.
pub async fn announce_quarantine_change(shared: &SharedState) {
    let messages = {
        let due = DueReports { in_domain: vec![Vec::new()], elsewhere: vec![Vec::new()] };
        let version = quarantine_version(shared);
        let steering = shared.steering.borrow();
        steering.vms().report_messages(due, version, &mut fastrand::Rng::new())
    };
    send_messages(shared, messages).await;
}

/// Returns the announced version of the quarantine, or the default version while nobody has any rows of it.
fn quarantine_version(shared: &SharedState) -> StoreVersion {
    let replicas = shared.replicas.borrow();
    let replica = replicas.get(Table::Quarantine);
    if replica.has_had_rows() || shared.quarantine_announced.get() {
        replica.newest_version()
    } else {
        StoreVersion::default()
    }
}

/// Sends the messages of one period.
pub async fn send_periodic_messages(shared: &SharedState) {
    let (stamp, now_ms) = update_own_state(shared);
    let mut rng = fastrand::Rng::new();
    let messages =
        shared.steering.borrow_mut().vms_mut().periodic_messages(stamp, &mut rng, now_ms);
    send_messages(shared, messages).await;
}

/// Sends this VM's state to its failure domain and its region at once, after a change of its
/// replicas, its store health or its readiness.
pub async fn announce_changes(shared: &SharedState) {
    let (stamp, now_ms) = update_own_state(shared);
    let mut rng = fastrand::Rng::new();
    let messages = shared.steering.borrow_mut().vms_mut().change_messages(stamp, &mut rng, now_ms);
    send_messages(shared, messages).await;
}

/// Sends a full heartbeat to all VMs that get this VM's heartbeats.
pub async fn send_heartbeat(shared: &SharedState) {
    let (stamp, now_ms) = update_own_state(shared);
    let heartbeat = shared.steering.borrow_mut().vms_mut().full_heartbeat(stamp, now_ms);
    send_messages(shared, vec![heartbeat]).await;
}

fn update_own_state(shared: &SharedState) -> (HybridTimestamp, u64) {
    let now_ms = clock::now_ms();
    let mut steering = shared.steering.borrow_mut();
    let ready = steering.can_serve() && !steering.vms().is_leaving();
    let vms = steering.vms_mut();
    vms.set_ready(ready);
    vms.set_replica_state(
        shared.replicas.borrow().newest_version(),
        shared.store_call_state.get().health(now_ms),
    );
    (shared.log_clock.tick(), now_ms)
}

/// Sends messages to their receivers.
pub async fn send_messages(shared: &SharedState, messages: Vec<OutgoingMessage>) {
    for OutgoingMessage { message, to } in messages {
        match message {
            PeerMessage::RelayedSummary(summaries) => {
                for batch in split_summaries(summaries) {
                    send_to_all(shared, &PeerMessage::RelayedSummary(batch), &to).await;
                }
            }
            message => send_to_all(shared, &message, &to).await,
        }
    }
}

/// Splits summaries into batches of one datagram each.
fn split_summaries(summaries: Vec<RelayedSummary>) -> Vec<Vec<RelayedSummary>> {
    let mut batches: Vec<Vec<RelayedSummary>> = Vec::new();
    let mut free_bytes = 0;
    for summary in summaries {
        let bytes = postcard::to_stdvec(&summary).map_or(MAX_MESSAGE_BYTES, |bytes| bytes.len());
        match batches.last_mut() {
            Some(batch) if bytes <= free_bytes => batch.push(summary),
            _ => {
                batches.push(vec![summary]);
                free_bytes = MAX_MESSAGE_BYTES - LIST_OVERHEAD_BYTES;
            }
        }
        free_bytes = free_bytes.saturating_sub(bytes);
    }
    batches
}

/// Sends a message to VMs.
pub async fn send_to_all(shared: &SharedState, message: &PeerMessage, addresses: &[SocketAddr]) {
    let bytes = match postcard::to_stdvec(message) {
        Ok(bytes) => bytes,
        Err(error) => {
            log::error!("event=datagram_not_written error={:?}", error.to_string());
            return;
        }
    };
    for address in addresses {
        let sealed = shared.peer_seal.borrow_mut().seal(&bytes, *address, clock::unix_ms());
        let Some(datagram) = sealed else { return };
        shared.metrics.count_peer_bytes(message.name(), datagram.len());
        if let Err(error) = shared.peer_socket.send_to(&datagram, address).await {
            log::debug!("event=datagram_not_sent to={address} error={:?}", error.to_string());
        }
    }
}

/// Handles datagrams of other VMs until the process ends.
pub async fn receive(shared: Rc<SharedState>) {
    let mut buffer = [0; MAX_DATAGRAM_BYTES];
    loop {
        let received = shared.peer_socket.recv_from(&mut buffer).await;
        let Some((from, message)) = decode(&shared, received, &buffer) else { continue };
        let started_at = Instant::now();
        let kind = message.name();
        handle_message(&shared, from, message).await;
        shared.metrics.record_peer_handling(kind, started_at.elapsed());
    }
}

async fn handle_message(shared: &Rc<SharedState>, from: SocketAddr, message: PeerMessage) {
    match message {
        PeerMessage::Heartbeat(Heartbeat::Full(heartbeat)) => {
            handle_heartbeat(shared, heartbeat).await;
        }
        PeerMessage::Heartbeat(Heartbeat::StateOnly(state)) => {
            shared.log_clock.merge(state.stamp);
            let now_ms = clock::now_ms();
            if shared.steering.borrow_mut().vms_mut().record_state(from, state, now_ms) {
                fetch::fetch_changes(shared, state.newest_version, from);
            }
        }
        PeerMessage::Summary(summary) => handle_summary(shared, summary),
        PeerMessage::SummaryPart(part, summary) => handle_summary(shared, summary.with_part(part)),
        PeerMessage::RelayedSummary(summaries) => {
            let mut steering = shared.steering.borrow_mut();
            for summary in summaries {
                steering.vms_mut().record_relayed_summary(summary, clock::now_ms());
            }
        }
        PeerMessage::Reports(reports) => handle_reports(shared, &reports, from),
        PeerMessage::Quota(message) => quotas::handle_message(shared, from, message).await,
        PeerMessage::Load(message) => load_gossip::handle_message(shared, from, &message),
    }
}

fn handle_summary(shared: &Rc<SharedState>, summary: DomainSummary) {
    shared.log_clock.merge(summary.stamp);
    fetch::fetch_missing_rows(shared, summary.changed_at, summary.sender());
    shared.steering.borrow_mut().vms_mut().record_summary(summary, clock::now_ms());
}

fn decode(
    shared: &SharedState,
    received: io::Result<(usize, SocketAddr)>,
    buffer: &[u8],
) -> Option<(SocketAddr, PeerMessage)> {
    let (length, from) = received.ok()?;
    // Somebody who sends in another VM's name mustn't use up its allowance.
    let message = peer_authentication::open(shared, buffer.get(..length)?, from)?;
    if !shared.steering.borrow_mut().admit_datagram(from, clock::now_ms()) {
        shared.metrics.count_rejected_peer_message("too_many");
        return None;
    }
    Some((from, postcard::from_bytes(message).ok()?))
}

fn handle_reports(shared: &Rc<SharedState>, reports: &Reports, from: SocketAddr) {
    if reports.quarantine_version > StoreVersion::default() {
        shared.quarantine_announced.set(true);
    }
    fetch::fetch_newer_rows(shared, Table::Quarantine, reports.quarantine_version, from);
    let now_ms = clock::now_ms();
    let mut steering = shared.steering.borrow_mut();
    steering.receive_reports(from, reports, now_ms);
    if steering.reports_mut().due_at_ms().is_some() {
        shared.reports_queued.notify_one();
    }
}

async fn handle_heartbeat(shared: &Rc<SharedState>, heartbeat: VmHeartbeat) {
    shared.log_clock.merge(heartbeat.state.stamp);
    fetch::fetch_changes(shared, heartbeat.state.newest_version, heartbeat.descriptor.peer_address);
    let (address, domain) =
        (heartbeat.descriptor.peer_address, heartbeat.descriptor.domain.clone());
    let replies = {
        let now_ms = clock::now_ms();
        let mut rng = fastrand::Rng::new();
        let mut steering = shared.steering.borrow_mut();
        steering.record_vm_process(address, heartbeat.state.boot_at_ms);
        let has_joined = steering.vms_mut().record_heartbeat(heartbeat, now_ms);
        if domain != steering.location().domain {
            let stamp = shared.log_clock.tick();
            steering.vms().join_reply(&domain, stamp, &mut rng, now_ms)
        } else if has_joined && steering.vms().introduces_itself(&mut rng) {
            let stamp = shared.log_clock.tick();
            vec![PeerMessage::Heartbeat(Heartbeat::Full(steering.vms_mut().heartbeat(stamp)))]
        } else {
            Vec::new()
        }
    };
    for reply in replies {
        send_to_all(shared, &reply, &[address]).await;
    }
}
