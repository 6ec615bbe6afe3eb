//! Remote calls: what operators ask of any node, and what peers fetch rarely.

use jsonrpsee::core::RpcResult;
use jsonrpsee::proc_macros::rpc;
use sedgepath_core::clock::HybridTimestamp;
use sedgepath_core::configuration::change::{ChangeOutcome, ChangeRequest};
use sedgepath_core::configuration::rows::LoggedChange;
use sedgepath_core::configuration::store::{RecordPage, RecordPosition};
use sedgepath_core::explain::{ExplainRequest, Explanation};
use sedgepath_core::key::DomainKey;
use sedgepath_core::timeline::TimelineEntry;
use serde::{Deserialize, Serialize};

use crate::signed_call::SignedCall;

mod caller;

pub use caller::NodeClient;

/// A node's part of the time line.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeTimeline {
    /// The node's name.
    pub node: Box<str>,
    /// The entries, oldest first.
    pub entries: Vec<TimelineEntry>,
}

/// What a node says of itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeStatus {
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
    pub unreadable_records: Vec<UnreadableRecordStatus>,
    /// The members that it knows.
    pub members: Vec<MemberStatus>,
}

/// A record that a node keeps and passes on but can't read.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UnreadableRecordStatus {
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
    pub operator_address: std::net::SocketAddr,
    /// The configuration revision that it has in force.
    pub revision: u64,
    /// The age of its last sign of life, in milliseconds.
    pub silent_ms: u64,
    /// Whether it is suspected to be gone.
    pub suspected: bool,
    /// Whether it is about to stop.
    pub leaving: bool,
}

/// The code of the error of a process that is about to end.
pub const STOPPING_CODE: i32 = -32_001;

/// The code of the error of a question that needs the platform while it can't be reached.
pub const PLATFORM_UNAVAILABLE_CODE: i32 = -32_002;

/// The code of the error of a call that no key in force proves, or that was made before.
pub const UNAUTHENTICATED_CODE: i32 = -32_003;

/// The code of the error of a call whose time is far from the node's; its data is the node's time, in
/// milliseconds since the Unix epoch.
pub const CLOCK_SKEW_CODE: i32 = -32_004;

/// The methods by their names in proofs.
pub mod method {
    /// Of [`super::OperatorsServer::page`].
    pub const PAGE: &str = "page";
    /// Of [`super::OperatorsServer::check_change`].
    pub const CHANGE: &str = "change";
    /// Of [`super::OperatorsServer::history`].
    pub const HISTORY: &str = "history";
    /// Of [`super::OperatorsServer::status`].
    pub const STATUS: &str = "status";
    /// Of [`super::OperatorsServer::explain`].
    pub const EXPLAIN: &str = "explain";
    /// Of [`super::OperatorsServer::timeline`].
    pub const TIMELINE: &str = "timeline";
}

/// The remote calls of a node; each is proved by a key.
#[rpc(client, server, namespace = "sedgepath")]
pub trait Operators {
    /// Returns the next page of the records that were written after a position.
    #[method(name = "page")]
    async fn page(&self, after: SignedCall<RecordPosition>) -> RpcResult<RecordPage>;

    /// Changes the configuration in force everywhere.
    #[method(name = "change")]
    async fn change(&self, request: SignedCall<ChangeRequest>) -> RpcResult<ChangeOutcome>;

    /// Returns the newest accepted changes, the newest first.
    #[method(name = "history")]
    async fn history(&self, limit: SignedCall<u32>) -> RpcResult<Vec<LoggedChange>>;

    /// Returns what the node says of itself and of the members that it knows.
    #[method(name = "status")]
    async fn status(&self, call: SignedCall<()>) -> RpcResult<NodeStatus>;

    /// Explains where a request of a caller would go, by what the node knows.
    #[method(name = "explain")]
    async fn explain(&self, question: SignedCall<ExplainRequest>) -> RpcResult<Explanation>;

    /// Returns the entries of the node's time line after a stamp.
    #[method(name = "timeline")]
    async fn timeline(&self, after: SignedCall<HybridTimestamp>) -> RpcResult<NodeTimeline>;
}
