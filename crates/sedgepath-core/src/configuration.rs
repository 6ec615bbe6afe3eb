//! The configuration in force on this node, and how it learns of a newer one.
//!
//! The platform's table says which revision was accepted; every node works by a copy. The parts:
//!
//! - [`store`]: the copy, which only ever goes up.
//! - `reader`: the few members of each failure domain that read the table.
//! - `spread`: how a revision goes from node to node, also without the platform.
//! - [`change`]: what operators ask for, as one transaction.
//! - [`rows`]: how all of it stands in the table.
//!
//! A node serves once it is [`ready`](Configuration::ready). Until then it knows nothing or less
//! than its peers, and would steer callers by records that were replaced before it started.

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
mod reader;
pub mod rows;
mod spread;
pub mod store;

use change::{ChangeDesk, ChangeOutcome, ChangeRequest, Concluded};
use reader::{ReadResult, Reader};
use rows::RecordRow;
use spread::{Fetched, Spread};
use store::{Changes, RecordPage, RecordPosition, Store};

/// The time between two readings for a change that waits for this node to catch up, in
/// milliseconds.
const HURRY_EVERY_MS: u64 = 250;

/// Where a revision came from.
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

/// The configuration in force.
#[derive(Debug)]
pub struct Configuration {
    settings: NodeSettings,
    random: fastrand::Rng,
    store: Store,
    reader: Reader,
    spread: Spread,
    desk: ChangeDesk,
    started_at_ms: Option<u64>,
    ready: bool,
    hurry_at_ms: u64,
}

impl Configuration {
    /// Creates the configuration of a node that knows no record.
    pub fn new(settings: NodeSettings) -> Self {
        Self {
            random: fastrand::Rng::with_seed(settings.seed),
            settings,
            store: Store::default(),
            reader: Reader::default(),
            spread: Spread::default(),
            desk: ChangeDesk::default(),
            started_at_ms: None,
            ready: false,
            hurry_at_ms: 0,
        }
    }

    /// Returns the revision in force; 0 before there is one.
    pub fn revision(&self) -> u64 {
        self.store.revision()
    }

    /// Returns the tables of the revision in force.
    pub fn catalogue(&self) -> &Arc<Catalogue> {
        self.store.catalogue()
    }

    /// Returns the records in force, in the order of their kinds and names.
    pub fn records(&self) -> impl Iterator<Item = &RecordRow> {
        self.store.records()
    }

    /// Returns the next page of the records that were written after a position.
    pub fn page(&self, after: &RecordPosition) -> RecordPage {
        self.store.page(after)
    }

    /// Whether the node may serve: it has a revision that is no older than any it has heard of.
    ///
    /// A revision that came from a peer while the platform can't be reached counts only after
    /// [`NodeSettings::boot_wait_ms`], when the other members have been heard too. Without this a
    /// node that restarts and first hears of a member that was cut off would serve by an old
    /// revision that it had served past before.
    pub fn ready(&self) -> bool {
        self.ready
    }

    /// Returns what peers are told with every sign of life.
    pub fn status(&self, now_ms: u64) -> ConfigurationStatus {
        ConfigurationStatus {
            revision: self.store.revision(),
            head_age_ms: self.reader.head_age_ms(now_ms),
        }
    }

    /// Takes in how old the newest reading of the head is that a member knows of.
    pub fn observe_head_age(&mut self, age_ms: u64, out: &Outbox) {
        self.reader.hear_head_age(age_ms, out.now_ms());
    }

    /// Takes in that a member has a revision in force.
    pub fn observe_revision(&mut self, vm: VmKey, operators: SocketAddr, revision: u64) {
        self.spread.hear(vm, operators, revision, self.store.revision());
    }

    /// Reads the head, fetches, tells and goes on with changes as they are due.
    pub fn tick(&mut self, members: &Membership, out: &mut Outbox) {
        if self.started_at_ms.is_none() {
            self.started_at_ms = Some(out.now_ms());
            // Members that start together do not read in the same moment, and one that hears of a
            // peer with records meanwhile fetches them there.
            let wait_ms = self.random.u64(0..=self.settings.head_every_ms / 2);
            self.reader.wait(wait_ms, out.now_ms());
        }
        if self.reader.is_due(out.now_ms()) {
            self.reader.poll(rank(members, out), &self.settings, out);
        }
        let news = self.status(out.now_ms());
        self.spread.tick(news, members, &self.settings, &mut self.random, out);
        if self.desk.waits_for_store() && self.hurry_at_ms <= out.now_ms() {
            self.hurry_at_ms = out.now_ms() + HURRY_EVERY_MS;
            self.reader.hurry(out);
        }
        let concluded = self.desk.tick(&self.store, out);
        self.conclude(concluded, out);
        self.become_ready(out);
    }

    /// Takes in a result of the table; returns false if it is not one of this module.
    pub fn handle_table_result(
        &mut self,
        operation: OperationKey,
        result: &TableResult,
        out: &mut Outbox,
    ) -> bool {
        let revision = self.store.revision();
        match self.reader.take_result(operation, result, revision, out) {
            ReadResult::NotMine => {}
            ReadResult::Nothing => return true,
            ReadResult::Changes(changes) => {
                self.apply(changes, Source::Table, out);
                return true;
            }
        }
        let Some(concluded) = self.desk.take_result(operation, result, &self.store, out) else {
            return false;
        };
        self.conclude(concluded, out);
        true
    }

    /// Takes in a page of a peer's records, or that the peer did not answer.
    pub fn handle_fetched_page(
        &mut self,
        operation: OperationKey,
        page: Option<RecordPage>,
        out: &mut Outbox,
    ) {
        match self.spread.take_page(operation, page, out) {
            Fetched::Changes(changes) => self.apply(changes, Source::Peer, out),
            Fetched::Pending => {}
            Fetched::NoPeer => self.reader.hurry(out),
        }
    }

    /// Takes in an operator's change.
    pub fn start_change(&mut self, reply: ReplyKey, request: ChangeRequest, out: &mut Outbox) {
        let fields: [(&str, &dyn std::fmt::Display); 2] =
            [("change", &request.change_id), ("note", &request.note)];
        out.log(Topic::Configuration, "change_asked", &fields);
        let concluded = self.desk.begin(reply, request, out.now_ms());
        self.conclude(concluded, out);
    }

    fn conclude(&mut self, concluded: impl IntoIterator<Item = Concluded>, out: &mut Outbox) {
        for Concluded { reply, outcome, changes } in concluded {
            if let Some(changes) = changes {
                self.apply(changes, Source::Change, out);
            } else if matches!(outcome, ChangeOutcome::Accepted { .. }) {
                self.reader.hurry(out);
            }
            out.log(Topic::Configuration, "change_concluded", &[("outcome", &outcome.name())]);
            out.push(Action::AnswerChange { reply, outcome });
        }
    }

    fn apply(&mut self, changes: Changes, source: Source, out: &mut Outbox) {
        if !self.store.apply(changes) {
            return;
        }
        let revision = self.store.revision();
        self.spread.applied(revision);
        let fields: [(&str, &dyn std::fmt::Display); 2] =
            [("revision", &revision), ("source", &source.name())];
        out.log(Topic::Configuration, "revision_applied", &fields);
        for unread in &self.store.catalogue().unreadable_records {
            let fields: [(&str, &dyn std::fmt::Display); 3] =
                [("kind", &unread.kind), ("name", &unread.name), ("error", &unread.error)];
            out.log(Topic::Configuration, "record_unread", &fields);
        }
    }

    fn become_ready(&mut self, out: &mut Outbox) {
        let revision = self.store.revision();
        let head = self.reader.head();
        let highest = self.spread.highest_heard().max(head.unwrap_or(0));
        if self.ready || revision == 0 || revision < highest {
            return;
        }
        let started_at_ms = self.started_at_ms.unwrap_or_else(|| out.now_ms());
        let listened = out.now_ms() >= started_at_ms + self.settings.boot_wait_ms;
        if listened || head.is_some() {
            self.ready = true;
            out.log(Topic::Node, "ready", &[("revision", &revision)]);
        }
    }
}

/// Returns how many members of the own failure domain come before this node as readers.
fn rank(members: &Membership, out: &Outbox) -> u64 {
    let identity = out.identity();
    let domain = identity.card.domain;
    let order = |vm: VmKey| (rendezvous::score(u64::from(domain.0), vm.0), vm);
    let own = order(identity.vm);
    members.serving_vms_in(domain).into_iter().filter(|vm| order(*vm) > own).count() as u64
}
