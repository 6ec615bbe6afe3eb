//! The outbox, where the systems of a node put their actions, log entries and datagrams.

use std::net::SocketAddr;
use std::sync::Arc;

use crate::clock::HybridLogicalClock;
use crate::configuration::store::RecordPosition;
use crate::event::Action;
use crate::identity::Identity;
use crate::key::OperationKey;
use crate::message::{Envelope, Message};
use crate::table::TableRequest;
use crate::timeline::{Timeline, TimelineEntry, Topic};

/// Collects the actions of one event or tick, and numbers datagrams and operations.
#[derive(Debug)]
pub struct Outbox {
    identity: Arc<Identity>,
    now_ms: u64,
    sequence: u64,
    operations: u64,
    clock: HybridLogicalClock,
    timeline: Timeline,
    actions: Vec<Action>,
}

impl Outbox {
    /// Creates an empty outbox for a node.
    pub fn new(identity: Identity) -> Self {
        Self {
            identity: Arc::new(identity),
            now_ms: 0,
            sequence: 0,
            operations: 0,
            clock: HybridLogicalClock::default(),
            timeline: Timeline::default(),
            actions: Vec::new(),
        }
    }

    /// Returns the node's identity.
    pub fn identity(&self) -> &Identity {
        &self.identity
    }

    /// Returns the node's identity as a shared reference that doesn't borrow the outbox.
    pub fn shared_identity(&self) -> Arc<Identity> {
        Arc::clone(&self.identity)
    }

    /// Returns the node's identity for changes.
    pub fn identity_mut(&mut self) -> &mut Identity {
        Arc::make_mut(&mut self.identity)
    }

    /// Returns the time of the event being handled, in milliseconds.
    pub fn now_ms(&self) -> u64 {
        self.now_ms
    }

    /// Sets the time of the event being handled; an earlier time than the last one is ignored.
    pub fn set_now_ms(&mut self, now_ms: u64) {
        self.now_ms = self.now_ms.max(now_ms);
    }

    /// Appends an action.
    pub fn push(&mut self, action: Action) {
        self.actions.push(action);
    }

    /// Sends a message as a datagram with the next sequence number.
    pub fn send(&mut self, to: SocketAddr, message: Message) {
        self.sequence += 1;
        let envelope = Envelope {
            from: self.identity.vm,
            boot: self.identity.boot,
            sequence: self.sequence,
            stamp: self.clock.tick(self.now_ms),
            message,
        };
        self.actions.push(Action::SendDatagram { to, envelope });
    }

    /// Sends a request to the table and returns its key.
    pub fn request_table(&mut self, request: TableRequest) -> OperationKey {
        let operation = self.next_operation();
        self.actions.push(Action::Table { operation, request });
        operation
    }

    /// Fetches a page of a peer's records and returns the request's key.
    pub fn fetch_page(&mut self, from: SocketAddr, after: RecordPosition) -> OperationKey {
        let operation = self.next_operation();
        self.actions.push(Action::FetchPage { operation, from, after });
        operation
    }

    /// Logs an event and adds it to the timeline.
    pub fn log(&mut self, topic: Topic, event: &str, fields: &[(&str, &dyn std::fmt::Display)]) {
        let entry = TimelineEntry {
            stamp: self.clock.tick(self.now_ms),
            topic,
            event: event.into(),
            fields: fields
                .iter()
                .map(|(key, value)| ((*key).into(), value.to_string().into_boxed_str()))
                .collect(),
        };
        self.timeline.push(entry.clone());
        self.actions.push(Action::Log(entry));
    }

    /// Advances the node's clock past the stamp of a received datagram.
    pub fn merge_stamp(&mut self, stamp: crate::clock::HybridTimestamp) {
        self.clock.merge(self.now_ms, stamp);
    }

    /// Returns the node's recent log entries.
    pub fn timeline(&self) -> &Timeline {
        &self.timeline
    }

    /// Removes and returns the collected actions.
    pub fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    /// Returns a new key for an operation whose result arrives as an event.
    pub fn next_operation(&mut self) -> OperationKey {
        self.operations += 1;
        OperationKey(self.operations)
    }
}
