//! Remote calls: what operators ask of any node, and what peers fetch rarely.

use jsonrpsee::core::RpcResult;
use jsonrpsee::proc_macros::rpc;
use sedgepath_core::clock::Stamp;
use sedgepath_core::configuration::change::{ChangeOutcome, ChangeRequest};
use sedgepath_core::configuration::rows::LoggedChange;
use sedgepath_core::configuration::store::{Page, Position};
use sedgepath_core::explain::{Explanation, Question};
use sedgepath_core::key::DomainKey;
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
    /// Its failure domain, by key.
    pub domain: DomainKey,
    /// The configuration revision in force.
    pub revision: u64,
    /// The time since the newest reading of the platform's head that it knows of, in milliseconds.
    pub head_age_ms: u64,
    /// Whether it serves callers.
    pub ready: bool,
    /// The records that it keeps but can't read.
    pub unread: Vec<UnreadStatus>,
    /// The members that it knows.
    pub members: Vec<MemberStatus>,
}

/// A record that a node keeps and passes on but can't read.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UnreadStatus {
    /// The record's kind.
    pub kind: Box<str>,
    /// The record's name.
    pub name: Box<str>,
    /// Why it can't be read.
    pub reason: Box<str>,
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

/// The code of the error of a process that is about to end.
pub const STOPPING_CODE: i32 = -32_001;

/// The code of the error of a question that needs the platform while it can't be reached.
pub const UNAVAILABLE_CODE: i32 = -32_002;

/// The remote calls of a node.
#[rpc(client, server, namespace = "sedgepath")]
pub trait Operators {
    /// Returns the next page of the records that were written after a position.
    #[method(name = "page")]
    async fn page(&self, after: Position) -> RpcResult<Page>;

    /// Changes the configuration in force everywhere.
    #[method(name = "change")]
    async fn change(&self, request: ChangeRequest) -> RpcResult<ChangeOutcome>;

    /// Returns the newest accepted changes, the newest first.
    #[method(name = "history")]
    async fn history(&self, limit: u32) -> RpcResult<Vec<LoggedChange>>;

    /// Returns what the node says of itself and of the members that it knows.
    #[method(name = "status")]
    async fn status(&self) -> RpcResult<Status>;

    /// Explains where a request of a caller would go, by what the node knows.
    #[method(name = "explain")]
    async fn explain(&self, question: Question) -> RpcResult<Explanation>;

    /// Returns the entries of the node's time line after a stamp.
    #[method(name = "timeline")]
    async fn timeline(&self, after: Stamp) -> RpcResult<TimelinePart>;
}
