//! Merges the time lines of all nodes.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use sedgepath_core::clock::HybridTimestamp;
use sedgepath_core::timeline::TimelineEntry;
use serde::Serialize;

use crate::client::Client;
use crate::error::CliError;

/// An event of a node.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct NodeEvent {
    /// The node's name.
    pub node: Box<str>,
    /// The entry of its time line.
    pub entry: TimelineEntry,
}

/// A node that did not answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct SilentNode {
    /// The node's name.
    pub node: Box<str>,
    /// Its address.
    pub address: SocketAddr,
    /// Why.
    pub reason: Box<str>,
}

/// What all nodes did in a part of the time line.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Reading {
    /// The events in the order of their stamps.
    pub events: Vec<NodeEvent>,
    /// The nodes that did not answer; their events are missing.
    pub silent: Vec<SilentNode>,
}

/// Reads the time lines of all nodes, each from where it was last read to.
#[derive(Debug)]
pub struct Reader {
    since: HybridTimestamp,
    read_to: BTreeMap<Box<str>, HybridTimestamp>,
}

impl Reader {
    /// Creates a reader that begins at a time, in milliseconds since the Unix epoch.
    pub fn new(since_ms: u64) -> Self {
        Self { since: HybridTimestamp { time_ms: since_ms, count: 0 }, read_to: BTreeMap::new() }
    }

    /// Reads what every member has that the first node knows.
    ///
    /// # Errors
    ///
    /// Fails if no node answers at all.
    pub fn read(&mut self, client: &Client) -> Result<Reading, CliError> {
        let answer = client.ask(|client| async move { client.status().await })?;
        let status = answer.value;
        let members =
            status.members.iter().map(|member| (member.name.clone(), member.operator_address));
        let mut nodes: Vec<_> = members.collect();
        nodes.push((status.node, answer.node));
        let mut reading = Reading { events: Vec::new(), silent: Vec::new() };
        for (node, address) in nodes {
            let after = self.read_to.get(&node).copied().unwrap_or(self.since);
            let part =
                client.ask_one(address, |client| async move { client.timeline(after).await });
            match part {
                Ok(part) => {
                    if let Some(last) = part.entries.last() {
                        self.read_to.insert(node.clone(), last.stamp);
                    }
                    let entries = part.entries.into_iter();
                    reading
                        .events
                        .extend(entries.map(|entry| NodeEvent { node: part.node.clone(), entry }));
                }
                Err(silence) => {
                    reading.silent.push(SilentNode { node, address, reason: silence.reason });
                }
            }
        }
        reading
            .events
            .sort_by(|a, b| a.entry.stamp.cmp(&b.entry.stamp).then_with(|| a.node.cmp(&b.node)));
        Ok(reading)
    }
}
