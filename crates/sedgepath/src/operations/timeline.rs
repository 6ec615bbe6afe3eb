//! Reads and merges the timelines of the nodes that one node knows.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use sedgepath_core::clock::HybridTimestamp;
use sedgepath_core::timeline::TimelineEntry;
use serde::Serialize;

use crate::client::Client;
use crate::error::CliError;

/// A timeline entry with the node that recorded it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct NodeEvent {
    /// The name of the node that recorded the entry.
    pub node: Box<str>,
    /// The recorded entry.
    pub entry: TimelineEntry,
}

/// A node whose timeline could not be read.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct UnresponsiveNode {
    /// The node's name.
    pub node: Box<str>,
    /// The address of the node's operator interface.
    pub address: SocketAddr,
    /// The cause of the failure.
    pub reason: Box<str>,
}

/// The new entries of all nodes that could be read, merged by timestamp.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct MergedTimeline {
    /// The entries, in the order of their timestamps.
    pub events: Vec<NodeEvent>,
    /// The nodes that could not be read; their entries are missing.
    #[serde(rename = "silent")]
    pub unresponsive: Vec<UnresponsiveNode>,
}

/// Reads the timelines incrementally.
#[derive(Debug)]
pub struct TimelineReader {
    start: HybridTimestamp,
    /// The timestamp of the last entry read from each node.
    read_up_to: BTreeMap<Box<str>, HybridTimestamp>,
}

impl TimelineReader {
    /// Creates a reader of the entries after a point in time, in milliseconds since the Unix epoch.
    pub fn new(since_ms: u64) -> Self {
        Self { start: HybridTimestamp { time_ms: since_ms, count: 0 }, read_up_to: BTreeMap::new() }
    }

    /// Reads the new entries of the first responding node and of every member that it knows.
    ///
    /// # Errors
    ///
    /// Fails if no node returns its status.
    pub fn read(&mut self, client: &Client) -> Result<MergedTimeline, CliError> {
        let response = client.call_any(|client| async move { client.status().await })?;
        let status = response.value;
        let members =
            status.members.iter().map(|member| (member.name.clone(), member.operator_address));
        let mut nodes: Vec<_> = members.collect();
        nodes.push((status.node, response.node));
        let mut timeline = MergedTimeline { events: Vec::new(), unresponsive: Vec::new() };
        for (node, address) in nodes {
            let after = self.read_up_to.get(&node).copied().unwrap_or(self.start);
            let result =
                client.call_node(address, |client| async move { client.timeline(after).await });
            match result {
                Ok(timeline_part) => {
                    if let Some(last) = timeline_part.entries.last() {
                        self.read_up_to.insert(node.clone(), last.stamp);
                    }
                    let entries = timeline_part.entries.into_iter();
                    timeline.events.extend(
                        entries.map(|entry| NodeEvent { node: timeline_part.node.clone(), entry }),
                    );
                }
                Err(failure) => {
                    timeline.unresponsive.push(UnresponsiveNode {
                        node,
                        address,
                        reason: failure.reason,
                    });
                }
            }
        }
        timeline
            .events
            .sort_by(|a, b| a.entry.stamp.cmp(&b.entry.stamp).then_with(|| a.node.cmp(&b.node)));
        Ok(timeline)
    }
}
