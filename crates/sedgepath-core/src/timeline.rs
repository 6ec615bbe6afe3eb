//! The timeline: the structured log of a node's decisions.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

use crate::clock::HybridTimestamp;

/// The maximum number of entries that a node keeps; the oldest are dropped first.
pub const MAX_ENTRIES: usize = 4096;

/// The subject area of a timeline entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Topic {
    /// The node's own start, stop and readiness.
    Node,
    /// The joining, suspicion and leaving of members.
    Membership,
    /// The acceptance and application of revisions.
    Configuration,
    /// The shares of traffic and the reasons for their changes.
    Steering,
    /// Slots, upstream leases and queues.
    Admission,
    /// Claims and tickets.
    Once,
    /// Drains and leaving upstreams.
    Drain,
    /// Dropped datagrams and frames.
    Transport,
    /// The platform's table and VM list.
    Platform,
}

impl Topic {
    /// Returns the topic's name as logged.
    pub fn name(self) -> &'static str {
        match self {
            Self::Node => "node",
            Self::Membership => "membership",
            Self::Configuration => "configuration",
            Self::Steering => "steering",
            Self::Admission => "admission",
            Self::Once => "once",
            Self::Drain => "drain",
            Self::Transport => "transport",
            Self::Platform => "platform",
        }
    }
}

/// An entry of the timeline.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TimelineEntry {
    /// The hybrid timestamp, which orders the entries of all nodes.
    pub stamp: HybridTimestamp,
    /// The subject area.
    pub topic: Topic,
    /// The name of the event in snake case, such as `member_joined`.
    pub event: Box<str>,
    /// The keys and values of the event's fields.
    pub fields: Vec<(Box<str>, Box<str>)>,
}

impl TimelineEntry {
    /// Formats the entry of a node with the given name as one line of `key=value` pairs.
    pub fn line(&self, node: &str) -> String {
        let mut line = format!(
            "time_ms={} count={} node={} topic={} event={}",
            self.stamp.time_ms,
            self.stamp.count,
            quoted(node),
            self.topic.name(),
            self.event
        );
        for (key, value) in &self.fields {
            line.push(' ');
            line.push_str(key);
            line.push('=');
            line.push_str(&quoted(value));
        }
        line
    }
}

/// Quotes a value that is empty or contains whitespace, control characters, `"` or `=`, so that
/// each entry stays one parsable line.
fn quoted(value: &str) -> String {
    let is_plain = |c: char| !c.is_whitespace() && !c.is_control() && !matches!(c, '"' | '=');
    if !value.is_empty() && value.chars().all(is_plain) {
        return value.to_owned();
    }
    format!("{value:?}")
}

/// A bounded buffer of a node's latest entries.
#[derive(Debug, Default)]
pub struct Timeline {
    entries: VecDeque<TimelineEntry>,
}

impl Timeline {
    /// Appends an entry, dropping the oldest one if the buffer is full.
    pub fn push(&mut self, entry: TimelineEntry) {
        if self.entries.len() == MAX_ENTRIES {
            self.entries.pop_front();
        }
        self.entries.push_back(entry);
    }

    /// Returns the entries after a stamp, oldest first.
    pub fn since(&self, after: HybridTimestamp) -> Vec<TimelineEntry> {
        let start = self.entries.partition_point(|entry| entry.stamp <= after);
        self.entries.range(start..).cloned().collect()
    }
}
