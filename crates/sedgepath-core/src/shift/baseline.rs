//! Fetches the standing shares from a peer after a node's start.
//!
//! A new process knows the record's shares but not the progress of a shift. Steering by the record
//! at once would move its callers' traffic beyond the cap. The node therefore asks its peers and
//! serves once one of them has sent its shares, or with the record's shares after `MAX_WAIT_MS`.

use crate::key::VmKey;
use crate::message::{Baseline, Message};
use crate::outbox::Outbox;
use crate::view::SystemView;

use super::ShiftLedger;

/// The maximum wait for a peer's baseline, in milliseconds.
const MAX_WAIT_MS: u64 = 1_000;

/// The interval between requests, in milliseconds.
const REQUEST_INTERVAL_MS: u64 = 100;

/// The number of peers that receive each request.
const PEERS_PER_REQUEST: usize = 3;

/// The state of the fetch.
#[derive(Debug, Default)]
pub struct BaselineFetch {
    give_up_at_ms: Option<u64>,
    next_request_at_ms: u64,
    is_finished: bool,
}

impl BaselineFetch {
    /// Returns whether the fetch is over, so that the node may steer.
    pub fn is_ready(&self) -> bool {
        self.is_finished
    }

    /// Sends requests to peers until one of them has sent its baseline or `MAX_WAIT_MS` has passed.
    pub fn tick(&mut self, view: &SystemView<'_>, out: &mut Outbox) {
        if self.is_finished || view.revision == 0 {
            return;
        }
        let give_up_at_ms = *self.give_up_at_ms.get_or_insert(view.now_ms + MAX_WAIT_MS);
        if give_up_at_ms <= view.now_ms {
            self.is_finished = true;
            return;
        }
        if self.next_request_at_ms > view.now_ms {
            return;
        }
        let mut peers = view.membership.members();
        peers.retain(|(_, member)| member.accepts_work() && member.revision >= view.revision);
        let own_domain = view.identity.descriptor.domain;
        peers.sort_by_key(|(_, member)| member.descriptor.domain != own_domain);
        if !peers.is_empty() {
            self.next_request_at_ms = view.now_ms + REQUEST_INTERVAL_MS;
        }
        for (_, member) in peers.into_iter().take(PEERS_PER_REQUEST) {
            out.send(member.descriptor.peer_address, Message::BaselineRequest);
        }
    }

    /// Sends this node's baseline to a peer that requested it, if this node has one.
    pub fn answer(
        &self,
        sender: VmKey,
        ledger: &ShiftLedger,
        view: &SystemView<'_>,
        out: &mut Outbox,
    ) {
        if let Some(member) = view.membership.member(sender).filter(|_| self.is_finished) {
            let baseline = Baseline { revision: view.revision, moved: ledger.moved_shares() };
            out.send(member.descriptor.peer_address, Message::Baseline(baseline));
        }
    }

    /// Applies the first baseline from a peer whose revision is not older than this node's.
    pub fn handle_answer(
        &mut self,
        baseline: &Baseline,
        ledger: &mut ShiftLedger,
        view: &SystemView<'_>,
    ) {
        if self.is_finished || baseline.revision < view.revision {
            return;
        }
        ledger.apply_revision(view.revision, view.catalogue, view.now_ms);
        ledger.apply_baseline(&baseline.moved, view.now_ms);
        self.is_finished = true;
    }
}
