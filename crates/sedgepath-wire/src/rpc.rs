//! Remote calls: what operators ask of any node, and what peers fetch rarely.

use jsonrpsee::core::RpcResult;
use jsonrpsee::proc_macros::rpc;
use sedgepath_core::clock::Stamp;
use sedgepath_core::event::Snapshot;
use sedgepath_core::timeline::Entry;
use serde::{Deserialize, Serialize};

/// A node's part of the time line.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TimelinePart {
    /// The node's name.
    pub node: Box<str>,
    /// The entries, oldest first.
    pub entries: Vec<Entry>,
}

/// What a node says of itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// The node's name.
    pub node: Box<str>,
    /// The configuration revision in force.
    pub revision: u64,
    /// The members that it knows.
    pub members: Vec<MemberStatus>,
}

/// What a node says of a member.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberStatus {
    /// The member's name.
    pub name: Box<str>,
    /// Where it takes remote calls.
    pub operators: std::net::SocketAddr,
    /// The configuration revision that it has in force.
    pub revision: u64,
    /// The age of its last sign of life, in milliseconds.
    pub silent_ms: u64,
    /// Whether it is suspected to be gone.
    pub suspect: bool,
    /// Whether it is about to stop.
    pub leaving: bool,
}

/// The remote calls of a node.
#[rpc(client, server, namespace = "sedgepath")]
pub trait Operators {
    /// Returns the records in force.
    #[method(name = "snapshot")]
    async fn snapshot(&self) -> RpcResult<Snapshot>;

    /// Returns what the node says of itself and of the members that it knows.
    #[method(name = "status")]
    async fn status(&self) -> RpcResult<Status>;

    /// Returns the entries of the node's time line after a stamp.
    #[method(name = "timeline")]
    async fn timeline(&self, after: Stamp) -> RpcResult<TimelinePart>;
}
