//! How a node that has just started learns where traffic stands.
//!
//! A new process knows the record's shares, not how far a shift has come. Would it steer by the
//! record at once, or by its own first measurements, its callers' traffic would jump and, with many
//! restarts, take the cap with it. So it asks its peers and serves when one has answered. With no
//! peer to ask it waits for a second and starts from the record's shares.

use crate::key::VmKey;
use crate::message::{Baseline, Message};
use crate::outbox::Outbox;
use crate::view::SystemView;

use super::ShiftLedger;

/// How long a node waits for a peer's answer, in milliseconds.
const WAIT_MS: u64 = 1_000;

/// The time between two questions, in milliseconds.
const ASK_EVERY_MS: u64 = 100;

/// The peers that are asked at once.
const ASKED: usize = 3;

/// The node's way to its baseline.
#[derive(Debug, Default)]
pub struct BaselineFetch {
    give_up_at_ms: Option<u64>,
    next_ask_at_ms: u64,
    found: bool,
}

impl BaselineFetch {
    /// Whether the node may steer.
    pub fn is_ready(&self) -> bool {
        self.found
    }

    /// Asks peers until one has answered or the wait is over.
    pub fn tick(&mut self, view: &SystemView<'_>, out: &mut Outbox) {
        if self.found || view.revision == 0 {
            return;
        }
        let give_up_at_ms = *self.give_up_at_ms.get_or_insert(view.now_ms + WAIT_MS);
        if give_up_at_ms <= view.now_ms {
            self.found = true;
            return;
        }
        if self.next_ask_at_ms > view.now_ms {
            return;
        }
        let mut peers = view.membership.members();
        peers.retain(|(_, member)| member.accepts_work() && member.revision >= view.revision);
        let own_domain = view.identity.card.domain;
        peers.sort_by_key(|(_, member)| member.card.domain != own_domain);
        if !peers.is_empty() {
            self.next_ask_at_ms = view.now_ms + ASK_EVERY_MS;
        }
        for (_, member) in peers.into_iter().take(ASKED) {
            out.send(member.card.peer_address, Message::BaselineRequest);
        }
    }

    /// Answers a peer's question, unless this node has no baseline itself.
    pub fn answer(
        &self,
        asker: VmKey,
        ledger: &ShiftLedger,
        view: &SystemView<'_>,
        out: &mut Outbox,
    ) {
        if let Some(member) = view.membership.member(asker).filter(|_| self.found) {
            let baseline = Baseline { revision: view.revision, moved: ledger.moved() };
            out.send(member.card.peer_address, Message::Baseline(baseline));
        }
    }

    /// Takes in the first answer of a peer that is not behind.
    pub fn handle_answer(
        &mut self,
        baseline: &Baseline,
        ledger: &mut ShiftLedger,
        view: &SystemView<'_>,
    ) {
        if self.found || baseline.revision < view.revision {
            return;
        }
        ledger.apply_revision(view.revision, view.catalogue, view.now_ms);
        ledger.take_baseline(&baseline.moved, view.now_ms);
        self.found = true;
    }
}
