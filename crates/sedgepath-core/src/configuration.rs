//! The node's copy of the configuration, and how it receives newer revisions.
//!
//! The platform's table decides which revisions are accepted; every node works from a copy.
//!
//! - [`store`]: the copy, whose revision never decreases.
//! - `reader`: polls the table from a few members of each failure domain.
//! - `gossip`: replicates revisions between nodes, also without the platform.
//! - [`change`]: commits operators' changes, each in one transaction.
//! - [`rows`]: the layout of the configuration in the table.
//!
//! A node serves once it is [`ready`](Configuration::ready); before that it could steer callers by
//! records that were replaced before it started.

use std::net::SocketAddr;
use std::sync::Arc;

use crate::catalogue::Catalogue;
use crate::event::Action;
use crate::identity::NodeSettings;
use crate::key::{OperationKey, ReplyKey, VmKey};
use crate::membership::Membership;
use crate::message::ConfigurationStatus;
use crate::outbox::Outbox;
use crate::rendezvous;
use crate::table::TableResult;
use crate::timeline::Topic;

pub mod change;
mod gossip;
mod reader;
pub mod rows;
pub mod store;

use change::{ChangeOutcome, ChangeRequest, FinishedChange, PendingChanges};
use gossip::{FetchProgress, Gossip};
use reader::{ReadResult, TableReader};
use rows::RecordRow;
use store::{RecordChanges, RecordPage, RecordPosition, RecordStore};

/// The interval at which the head is read while a change waits for this node's copy to catch up, in
/// milliseconds.
const CATCH_UP_READ_INTERVAL_MS: u64 = 250;

/// Where a revision was received from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Source {
    Table,
    Peer,
    Change,
}

impl Source {
    fn name(self) -> &'static str {
        match self {
            Self::Table => "table",
            Self::Peer => "peer",
            Self::Change => "change",
        }
    }
}

/// The configuration state of a node.
#[derive(Debug)]
pub struct Configuration {
    settings: NodeSettings,
    random: fastrand::Rng,
    store: RecordStore,
    reader: TableReader,
    gossip: Gossip,
    pending_changes: PendingChanges,
    started_at_ms: Option<u64>,
    ready: bool,
    next_catch_up_read_at_ms: u64,
}

impl Configuration {
    /// Creates the state of a node that has no records.
    pub fn new(settings: NodeSettings) -> Self {
        Self {
            random: fastrand::Rng::with_seed(settings.seed),
            settings,
            store: RecordStore::default(),
            reader: TableReader::default(),
            gossip: Gossip::default(),
            pending_changes: PendingChanges::default(),
            started_at_ms: None,
            ready: false,
            next_catch_up_read_at_ms: 0,
        }
    }

    /// Returns the revision in force, or 0 if there is none yet.
    pub fn revision(&self) -> u64 {
        self.store.revision()
    }

    /// Returns the tables of the revision in force.
    pub fn catalogue(&self) -> &Arc<Catalogue> {
        self.store.catalogue()
    }

    /// Returns the records in force, sorted by kind and name.
    pub fn records(&self) -> impl Iterator<Item = &RecordRow> {
        self.store.records()
    }

    /// Returns a page of the records that follow a position.
    pub fn page(&self, after: &RecordPosition) -> RecordPage {
        self.store.page(after)
    }

    /// Returns whether the node may serve. Once true, it stays true.
    ///
    /// The node becomes ready when its revision is at least the highest that it has heard of. If it
    /// has not read the table itself, it first waits for [`NodeSettings::boot_wait_ms`] to hear from
    /// other members: the first peer heard after a restart may have an outdated revision.
    pub fn ready(&self) -> bool {
        self.ready
    }

    /// Returns the configuration status that is sent with every heartbeat.
    pub fn status(&self, now_ms: u64) -> ConfigurationStatus {
        ConfigurationStatus {
            revision: self.store.revision(),
            head_age_ms: self.reader.head_age_ms(now_ms),
        }
    }

    /// Handles a member's report of the age of the newest successful read of the head known to it.
    pub fn observe_head_age(&mut self, age_ms: u64, out: &Outbox) {
        self.reader.observe_head_age(age_ms, out.now_ms());
    }

    /// Handles a member's report of the revision in force on it.
    pub fn observe_revision(&mut self, vm: VmKey, operator_address: SocketAddr, revision: u64) {
        self.gossip.observe_revision(vm, operator_address, revision, self.store.revision());
    }

    /// Polls the head, announces revisions, fetches from peers and advances changes as they are due.
    pub fn tick(&mut self, members: &Membership, out: &mut Outbox) {
        if self.started_at_ms.is_none() {
            self.started_at_ms = Some(out.now_ms());
            // Jitter, so that members that start together don't all read the table at once.
            let wait_ms = self.random.u64(0..=self.settings.head_every_ms / 2);
            self.reader.delay_first_poll(wait_ms, out.now_ms());
        }
        if self.reader.is_due(out.now_ms()) {
            self.reader.poll(reader_rank(members, out), &self.settings, out);
        }
        let status = self.status(out.now_ms());
        self.gossip.tick(status, members, &self.settings, &mut self.random, out);
        if self.pending_changes.waits_for_store() && self.next_catch_up_read_at_ms <= out.now_ms() {
            self.next_catch_up_read_at_ms = out.now_ms() + CATCH_UP_READ_INTERVAL_MS;
            self.reader.read_head_now(out);
        }
        let finished = self.pending_changes.tick(&self.store, out);
        self.finish_changes(finished, out);
        self.update_readiness(out);
    }

    /// Handles a table result; returns false if the configuration did not send the request.
    pub fn handle_table_result(
        &mut self,
        operation: OperationKey,
        result: &TableResult,
        out: &mut Outbox,
    ) -> bool {
        let revision = self.store.revision();
        match self.reader.handle_result(operation, result, revision, out) {
            ReadResult::NotRequested => {}
            ReadResult::NoChanges => return true,
            ReadResult::Changes(changes) => {
                self.apply(changes, Source::Table, out);
                return true;
            }
        }
        let Some(finished) =
            self.pending_changes.handle_result(operation, result, &self.store, out)
        else {
            return false;
        };
        self.finish_changes(finished, out);
        true
    }

    /// Handles a page of a peer's records; `None` if the peer did not respond.
    pub fn handle_fetched_page(
        &mut self,
        operation: OperationKey,
        page: Option<RecordPage>,
        out: &mut Outbox,
    ) {
        match self.gossip.handle_page(operation, page, out) {
            FetchProgress::Changes(changes) => self.apply(changes, Source::Peer, out),
            FetchProgress::Pending => {}
            FetchProgress::NoPeerLeft => self.reader.read_head_now(out),
        }
    }

    /// Starts an operator's change; its outcome follows as [`Action::AnswerChange`].
    pub fn start_change(&mut self, reply: ReplyKey, request: ChangeRequest, out: &mut Outbox) {
        let fields: [(&str, &dyn std::fmt::Display); 2] =
            [("change", &request.change_id), ("note", &request.note)];
        out.log(Topic::Configuration, "change_asked", &fields);
        let finished = self.pending_changes.start(reply, request, out.now_ms());
        self.finish_changes(finished, out);
    }

    fn finish_changes(
        &mut self,
        finished: impl IntoIterator<Item = FinishedChange>,
        out: &mut Outbox,
    ) {
        for FinishedChange { reply, outcome, changes } in finished {
            if let Some(changes) = changes {
                self.apply(changes, Source::Change, out);
            } else if matches!(outcome, ChangeOutcome::Accepted { .. }) {
                self.reader.read_head_now(out);
            }
            out.log(Topic::Configuration, "change_concluded", &[("outcome", &outcome.name())]);
            out.push(Action::AnswerChange { reply, outcome });
        }
    }

    fn apply(&mut self, changes: RecordChanges, source: Source, out: &mut Outbox) {
        if !self.store.apply(changes) {
            return;
        }
        let revision = self.store.revision();
        self.gossip.handle_applied_revision(revision);
        let fields: [(&str, &dyn std::fmt::Display); 2] =
            [("revision", &revision), ("source", &source.name())];
        out.log(Topic::Configuration, "revision_applied", &fields);
        for unreadable in &self.store.catalogue().unreadable_records {
            let fields: [(&str, &dyn std::fmt::Display); 3] = [
                ("kind", &unreadable.kind),
                ("name", &unreadable.name),
                ("error", &unreadable.error),
            ];
            out.log(Topic::Configuration, "record_unread", &fields);
        }
    }

    fn update_readiness(&mut self, out: &mut Outbox) {
        let revision = self.store.revision();
        let head = self.reader.head();
        let highest = self.gossip.highest_heard().max(head.unwrap_or(0));
        if self.ready || revision == 0 || revision < highest {
            return;
        }
        let started_at_ms = self.started_at_ms.unwrap_or_else(|| out.now_ms());
        let boot_wait_over = out.now_ms() >= started_at_ms + self.settings.boot_wait_ms;
        if boot_wait_over || head.is_some() {
            self.ready = true;
            out.log(Topic::Node, "ready", &[("revision", &revision)]);
        }
    }
}

/// Returns this node's rank among the members of its failure domain, from 0, by rendezvous hashing.
fn reader_rank(members: &Membership, out: &Outbox) -> u64 {
    let identity = out.identity();
    let domain = identity.descriptor.domain;
    let score = |vm: VmKey| (rendezvous::score(u64::from(domain.0), vm.0), vm);
    let own_score = score(identity.vm);
    members.serving_vms_in(domain).into_iter().filter(|vm| score(*vm) > own_score).count() as u64
}
