//! Replicates the configuration between nodes by gossip, also without the platform.
//!
//! A node that applies a revision notifies a few random members, most of them in its own failure
//! domain, and each of these does the same (rumor mongering; Demers et al., 1987). A rumor may miss
//! members, so heartbeats carry the sender's revision too. A node that learns of a higher revision
//! fetches the difference.
//!
//! A node fetches from one peer at a time, in pages, after a random delay that keeps members from
//! asking the same peer at once. If a peer does not answer, the next peer that is ahead is asked,
//! then the table.

use std::net::SocketAddr;

use super::rows::RecordRow;
use super::store::{RecordChanges, RecordPage, RecordPosition};
use crate::hash::Map;
use crate::identity::NodeSettings;
use crate::key::{OperationKey, VmKey};
use crate::membership::Membership;
use crate::message::{ConfigurationStatus, Message, RevisionNotice};
use crate::outbox::Outbox;

/// The number of members in the own failure domain that are notified of a new revision.
const NOTIFIED_IN_OWN_DOMAIN: usize = 4;

/// The number of members in other failure domains that are notified of a new revision.
const NOTIFIED_IN_OTHER_DOMAINS: usize = 2;

/// The maximum number of peers ahead of this node that are remembered.
const MAX_PEERS_AHEAD: usize = 64;

/// The address and revision of a peer that is ahead of this node.
#[derive(Debug, Clone, Copy)]
struct PeerAhead {
    operators: SocketAddr,
    revision: u64,
}

/// A fetch in progress.
#[derive(Debug)]
struct PendingFetch {
    operation: OperationKey,
    vm: VmKey,
    from: SocketAddr,
    after: u64,
    records: Vec<RecordRow>,
}

/// The effect of a fetched page.
#[derive(Debug)]
pub enum FetchProgress {
    /// The fetch is complete.
    Changes(RecordChanges),
    /// The next page was requested, or another peer will be asked.
    Pending,
    /// No peer that is ahead is left to ask.
    NoPeerLeft,
}

/// Tracks peers' revisions, fetches newer ones and announces its own.
#[derive(Debug, Default)]
pub struct Gossip {
    highest_heard: u64,
    peers_ahead: Map<VmKey, PeerAhead>,
    pending_fetch: Option<PendingFetch>,
    fetch_at_ms: Option<u64>,
    tell: bool,
}

impl Gossip {
    /// Returns the highest revision that a member reported or that this node applied.
    pub fn highest_heard(&self) -> u64 {
        self.highest_heard
    }

    /// Handles the revision that a member reports; `own` is the one in force on this node.
    pub fn observe_revision(&mut self, vm: VmKey, operators: SocketAddr, revision: u64, own: u64) {
        self.highest_heard = self.highest_heard.max(revision);
        if revision > own
            && (self.peers_ahead.len() < MAX_PEERS_AHEAD || self.peers_ahead.contains_key(&vm))
        {
            self.peers_ahead.insert(vm, PeerAhead { operators, revision });
        }
    }

    /// Handles that this node applied a revision; the next tick announces it.
    pub fn handle_applied_revision(&mut self, revision: u64) {
        self.highest_heard = self.highest_heard.max(revision);
        self.peers_ahead.retain(|_, peer| peer.revision > revision);
        self.tell = true;
    }

    /// Announces a new revision and starts a fetch when it is due.
    pub fn tick(
        &mut self,
        news: ConfigurationStatus,
        members: &Membership,
        settings: &NodeSettings,
        random: &mut fastrand::Rng,
        out: &mut Outbox,
    ) {
        if std::mem::take(&mut self.tell) {
            tell(news, members, random, out);
        }
        if self.pending_fetch.is_some() || self.peers_ahead.is_empty() {
            return;
        }
        match self.fetch_at_ms {
            None => {
                self.fetch_at_ms = Some(out.now_ms() + random.u64(0..=settings.fetch_jitter_ms));
            }
            Some(at_ms) if at_ms <= out.now_ms() => {
                self.fetch_at_ms = None;
                self.fetch(news.revision, random, out);
            }
            Some(_) => {}
        }
    }

    /// Requests the first page from a random peer among those with the highest revision.
    fn fetch(&mut self, revision: u64, random: &mut fastrand::Rng, out: &mut Outbox) {
        let highest = self.peers_ahead.values().map(|peer| peer.revision).max();
        let mut peers: Vec<_> = self
            .peers_ahead
            .iter()
            .filter(|(_, peer)| Some(peer.revision) == highest)
            .map(|(vm, peer)| (*vm, peer.operators))
            .collect();
        peers.sort_unstable();
        let Some((vm, from)) = random.choice(peers) else { return };
        let operation = out.fetch_page(from, RecordPosition::after_revision(revision));
        self.pending_fetch =
            Some(PendingFetch { operation, vm, from, after: revision, records: Vec::new() });
    }

    /// Handles a fetched page; `None` if the peer did not answer.
    pub fn take_page(
        &mut self,
        operation: OperationKey,
        page: Option<RecordPage>,
        out: &mut Outbox,
    ) -> FetchProgress {
        let Some(mut fetching) = self.pending_fetch.take_if(|known| known.operation == operation)
        else {
            return FetchProgress::Pending;
        };
        let Some(page) = page.filter(|page| page.revision > fetching.after) else {
            self.peers_ahead.remove(&fetching.vm);
            return if self.peers_ahead.is_empty() {
                FetchProgress::NoPeerLeft
            } else {
                FetchProgress::Pending
            };
        };
        fetching.records.extend(page.records);
        if page.complete {
            return FetchProgress::Changes(RecordChanges {
                revision: page.revision,
                after: fetching.after,
                records: fetching.records,
            });
        }
        let Some(last) = fetching.records.last() else { return FetchProgress::NoPeerLeft };
        fetching.operation = out.fetch_page(fetching.from, RecordPosition::of_row(last));
        self.pending_fetch = Some(fetching);
        FetchProgress::Pending
    }
}

fn tell(
    news: ConfigurationStatus,
    members: &Membership,
    random: &mut fastrand::Rng,
    out: &mut Outbox,
) {
    let domain = out.identity().descriptor.domain;
    let serving = members.members().into_iter().filter(|(_, member)| member.accepts_work());
    let (mut near, mut far): (Vec<_>, Vec<_>) = serving
        .map(|(_, member)| (member.descriptor.domain == domain, member.descriptor.peer_address))
        .partition(|(near, _)| *near);
    random.shuffle(&mut near);
    random.shuffle(&mut far);
    let notice = RevisionNotice {
        configuration: news,
        operator_address: out.identity().descriptor.operator_address,
    };
    let told = near
        .into_iter()
        .take(NOTIFIED_IN_OWN_DOMAIN)
        .chain(far.into_iter().take(NOTIFIED_IN_OTHER_DOMAINS));
    for (_, address) in told {
        out.send(address, Message::Revision(notice));
    }
}
