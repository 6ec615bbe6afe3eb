//! The outbox, which collects the actions that the components of a node request.

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

/// Collects the actions that result from one event or tick.
///
/// It also holds what the components need for that: the node's identity, the time, the hybrid
/// clock, the timeline and the last numbers of datagrams and operations.
#[derive(Debug)]
pub struct Outbox {
    identity: Arc<Identity>,
    now_ms: u64,
    last_sequence: u64,
    last_operation: u64,
    clock: HybridLogicalClock,
    timeline: Timeline,
    actions: Vec<Action>,
}

impl Outbox {
    /// Creates an outbox without actions for a node.
    pub fn new(identity: Identity) -> Self {
        Self {
            identity: Arc::new(identity),
            now_ms: 0,
            last_sequence: 0,
            last_operation: 0,
            clock: HybridLogicalClock::default(),
            timeline: Timeline::default(),
            actions: Vec::new(),
        }
    }

    /// Returns the node's identity.
    pub fn identity(&self) -> &Identity {
        &self.identity
    }

    /// Returns a shared pointer to the node's identity, which doesn't borrow the outbox.
    pub fn shared_identity(&self) -> Arc<Identity> {
        Arc::clone(&self.identity)
    }

    /// Returns a mutable reference to the node's identity. Earlier results of
    /// [`Self::shared_identity`] don't see the changes.
    pub fn identity_mut(&mut self) -> &mut Identity {
        Arc::make_mut(&mut self.identity)
    }

    /// Returns the time of the event being handled, in milliseconds by the driver's clock.
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

    /// Queues a message as a datagram with the next sequence number.
    pub fn send(&mut self, to: SocketAddr, message: Message) {
        self.last_sequence += 1;
        let envelope = Envelope {
            from: self.identity.vm,
            boot: self.identity.boot,
            sequence: self.last_sequence,
            stamp: self.clock.tick(self.now_ms),
            message,
        };
        self.actions.push(Action::SendDatagram { to, envelope });
    }

    /// Queues a request to the table and returns the key of the operation.
    pub fn request_table(&mut self, request: TableRequest) -> OperationKey {
        let operation = self.next_operation();
        self.actions.push(Action::Table { operation, request });
        operation
    }

    /// Queues a request for a page of a peer's records and returns the key of the operation.
    pub fn fetch_page(&mut self, from: SocketAddr, after: RecordPosition) -> OperationKey {
        let operation = self.next_operation();
        self.actions.push(Action::FetchPage { operation, from, after });
        operation
    }

    /// Adds an event to the timeline and queues its log entry.
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

    /// Returns the node's recent timeline entries.
    pub fn timeline(&self) -> &Timeline {
        &self.timeline
    }

    /// Removes and returns the collected actions.
    pub fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    /// Returns a new key for an operation whose result arrives as an event.
    pub fn next_operation(&mut self) -> OperationKey {
        self.last_operation += 1;
        OperationKey(self.last_operation)
    }
}
