//! Replicates the configuration between nodes by gossip, also without the platform.
//!
//! A node that applies a revision notifies a few random members, most of them in its own failure
//! domain, and each of these does the same (rumor mongering; Demers et al., 1987). Notices may not
//! reach all members, so heartbeats carry the sender's revision too. A node that learns of a higher
//! revision fetches the difference.
//!
//! A node fetches from one peer at a time, in pages, after a random delay that keeps members from
//! sending their requests to the same peer at once. If a peer does not respond, the node tries the
//! next peer that is ahead, then the table.

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

/// A peer with a higher revision than this node.
#[derive(Debug, Clone, Copy)]
struct PeerAhead {
    operator_address: SocketAddr,
    revision: u64,
}

/// A fetch in progress.
#[derive(Debug)]
struct PendingFetch {
    operation: OperationKey,
    vm: VmKey,
    operator_address: SocketAddr,
    after: u64,
    records: Vec<RecordRow>,
}

/// The effect of a fetched page.
#[derive(Debug)]
pub enum FetchProgress {
    /// The fetch is complete.
    Changes(RecordChanges),
    /// The next page was requested, another peer will be tried, or the page belongs to no fetch.
    Pending,
    /// No peer that is ahead is left to fetch from.
    NoPeerLeft,
}

/// Tracks peers' revisions, fetches newer ones and announces this node's.
#[derive(Debug, Default)]
pub struct Gossip {
    highest_heard: u64,
    peers_ahead: Map<VmKey, PeerAhead>,
    pending_fetch: Option<PendingFetch>,
    fetch_at_ms: Option<u64>,
    announcement_pending: bool,
}

impl Gossip {
    /// Returns the highest revision that a member reported or that this node applied.
    pub fn highest_heard(&self) -> u64 {
        self.highest_heard
    }

    /// Handles a member's report of its revision; `own_revision` is the one in force on this node.
    pub fn observe_revision(
        &mut self,
        vm: VmKey,
        operator_address: SocketAddr,
        revision: u64,
        own_revision: u64,
    ) {
        self.highest_heard = self.highest_heard.max(revision);
        if revision > own_revision
            && (self.peers_ahead.len() < MAX_PEERS_AHEAD || self.peers_ahead.contains_key(&vm))
        {
            self.peers_ahead.insert(vm, PeerAhead { operator_address, revision });
        }
    }

    /// Records a revision that this node applied; the next tick announces it.
    pub fn handle_applied_revision(&mut self, revision: u64) {
        self.highest_heard = self.highest_heard.max(revision);
        self.peers_ahead.retain(|_, peer| peer.revision > revision);
        self.announcement_pending = true;
    }

    /// Announces a new revision and starts a fetch when it is due.
    pub fn tick(
        &mut self,
        status: ConfigurationStatus,
        members: &Membership,
        settings: &NodeSettings,
        random: &mut fastrand::Rng,
        out: &mut Outbox,
    ) {
        if std::mem::take(&mut self.announcement_pending) {
            announce(status, members, random, out);
        }
        if self.pending_fetch.is_some() || self.peers_ahead.is_empty() {
            return;
        }
        match self.fetch_at_ms {
            None => {
                self.fetch_at_ms = Some(out.now_ms() + random.u64(0..=settings.fetch_jitter_ms));
            }
            Some(fetch_at_ms) if fetch_at_ms <= out.now_ms() => {
                self.fetch_at_ms = None;
                self.fetch(status.revision, random, out);
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
            .map(|(vm, peer)| (*vm, peer.operator_address))
            .collect();
        peers.sort_unstable();
        let Some((vm, operator_address)) = random.choice(peers) else { return };
        let operation = out.fetch_page(operator_address, RecordPosition::after_revision(revision));
        self.pending_fetch = Some(PendingFetch {
            operation,
            vm,
            operator_address,
            after: revision,
            records: Vec::new(),
        });
    }

    /// Handles a fetched page; `None` if the peer did not respond.
    pub fn handle_page(
        &mut self,
        operation: OperationKey,
        page: Option<RecordPage>,
        out: &mut Outbox,
    ) -> FetchProgress {
        let Some(mut fetch) = self.pending_fetch.take_if(|fetch| fetch.operation == operation)
        else {
            return FetchProgress::Pending;
        };
        let Some(page) = page.filter(|page| page.revision > fetch.after) else {
            self.peers_ahead.remove(&fetch.vm);
            return if self.peers_ahead.is_empty() {
                FetchProgress::NoPeerLeft
            } else {
                FetchProgress::Pending
            };
        };
        fetch.records.extend(page.records);
        if page.complete {
            return FetchProgress::Changes(RecordChanges {
                revision: page.revision,
                after: fetch.after,
                records: fetch.records,
            });
        }
        let Some(last) = fetch.records.last() else { return FetchProgress::NoPeerLeft };
        fetch.operation = out.fetch_page(fetch.operator_address, RecordPosition::of_row(last));
        self.pending_fetch = Some(fetch);
        FetchProgress::Pending
    }
}

/// Notifies random serving members of this node's revision.
fn announce(
    status: ConfigurationStatus,
    members: &Membership,
    random: &mut fastrand::Rng,
    out: &mut Outbox,
) {
    let domain = out.identity().descriptor.domain;
    let serving = members.members().into_iter().filter(|(_, member)| member.accepts_work());
    let (mut own_domain, mut other_domains): (Vec<_>, Vec<_>) = serving
        .map(|(_, member)| (member.descriptor.domain == domain, member.descriptor.peer_address))
        .partition(|(is_own_domain, _)| *is_own_domain);
    random.shuffle(&mut own_domain);
    random.shuffle(&mut other_domains);
    let notice = RevisionNotice {
        configuration: status,
        operator_address: out.identity().descriptor.operator_address,
    };
    let recipients = own_domain
        .into_iter()
        .take(NOTIFIED_IN_OWN_DOMAIN)
        .chain(other_domains.into_iter().take(NOTIFIED_IN_OTHER_DOMAINS));
    for (_, address) in recipients {
        out.send(address, Message::Revision(notice));
    }
}
