//! Indirect probes: other members are asked about a silent member before it is suspected.
//!
//! Without them, a broken link between two members would make each suspect the other, and look-ups
//! would omit a healthy VM. Peers answer from the heartbeats that they received themselves and
//! don't ping the member. Indirect reports don't count, so two peers cannot keep a dead member
//! alive by passing on each other's reports.

use std::net::SocketAddr;

use super::heartbeat::LastHeartbeat;
use crate::key::VmKey;
use crate::message::{Message, Probe, ProbeAnswer};
use crate::outbox::Outbox;
use crate::rendezvous;

/// The number of peers that are asked about a silent member in each heartbeat interval.
const PEERS_PER_PROBE: usize = 3;

/// Asks some other members about a silent member; the selection varies with time.
pub(super) fn send_probes(member: VmKey, mut others: Vec<(VmKey, SocketAddr)>, out: &mut Outbox) {
    let round = member.0 ^ out.now_ms();
    others.sort_unstable_by_key(|(vm, _)| rendezvous::score(round, vm.0));
    for (_, address) in others.into_iter().take(PEERS_PER_PROBE) {
        out.send(address, Message::Probe(Probe { member }));
    }
}

/// Answers a probe if a heartbeat of the member was received.
pub(super) fn send_answer(
    to: SocketAddr,
    member: VmKey,
    last_heartbeat: Option<LastHeartbeat>,
    out: &mut Outbox,
) {
    if let Some(heartbeat) = last_heartbeat {
        let age_ms = out.now_ms().saturating_sub(heartbeat.received_at_ms);
        out.send(to, Message::ProbeAnswer(ProbeAnswer { member, boot: heartbeat.boot, age_ms }));
    }
}
