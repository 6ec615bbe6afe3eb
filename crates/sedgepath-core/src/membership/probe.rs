//! Indirect probes: others are asked about a silent member before it is suspected.
//!
//! Without them a lossy or cut link between two members makes each suspect the other although the
//! rest of the domain hears both; look-ups would leave out a healthy VM. As every member of a domain
//! hears every other each period, a peer need not ping the member in question: it answers from what
//! it has heard directly. Only direct hearing counts, so that two peers can't keep a dead member
//! alive by quoting each other.

use std::net::SocketAddr;

use super::heartbeat::Heard;
use crate::key::VmKey;
use crate::message::{Message, Probe, ProbeAnswer};
use crate::outbox::Outbox;
use crate::rendezvous;

/// The peers that are asked about a silent member each period.
const ASKED_PEERS: usize = 3;

/// Asks some of the others about a silent member; which ones changes with time.
pub(super) fn ask(about: VmKey, mut others: Vec<(VmKey, SocketAddr)>, out: &mut Outbox) {
    let round = about.0 ^ out.now_ms();
    others.sort_unstable_by_key(|(vm, _)| rendezvous::score(round, vm.0));
    for (_, address) in others.into_iter().take(ASKED_PEERS) {
        out.send(address, Message::Probe(Probe { member: about }));
    }
}

/// Answers a probe from what was heard directly; says nothing if nothing was.
pub(super) fn answer(to: SocketAddr, about: VmKey, direct: Option<Heard>, out: &mut Outbox) {
    if let Some(heard) = direct {
        let age_ms = out.now_ms().saturating_sub(heard.at_ms);
        out.send(to, Message::ProbeAnswer(ProbeAnswer { member: about, boot: heard.boot, age_ms }));
    }
}
