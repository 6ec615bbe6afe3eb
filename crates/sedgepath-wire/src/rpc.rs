//! The JSON-RPC interface of nodes, for operators and for peers that fetch records.

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

mod node_client;

pub use node_client::NodeClient;

/// The timeline entries that one node recorded.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeTimeline {
    /// The node that recorded the entries.
    pub node: Box<str>,
    /// The entries, oldest first.
    pub entries: Vec<TimelineEntry>,
}

/// The status that a node reports about itself and the members it knows.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeStatus {
    /// The name of the reporting node.
    pub node: Box<str>,
    /// The key of the node's failure domain.
    pub domain: DomainKey,
    /// The configuration revision in force.
    pub revision: u64,
    /// The time since the newest successful read of the platform's head revision that the node knows
    /// of, in milliseconds.
    pub head_age_ms: u64,
    /// Whether the node serves callers.
    pub ready: bool,
    /// The records that the node stores but can't decode.
    #[serde(rename = "unread")]
    pub unreadable_records: Vec<UnreadableRecordStatus>,
    /// The members that the node knows.
    pub members: Vec<MemberStatus>,
}

/// A record that a node stores and forwards but can't decode.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UnreadableRecordStatus {
    /// The kind that the record declares.
    pub kind: Box<str>,
    /// The name of the record, unique within its kind.
    pub name: Box<str>,
    /// Why the record can't be decoded.
    pub reason: Box<str>,
}

/// A node's view of another member.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberStatus {
    /// The name of the member.
    pub name: Box<str>,
    /// The address on which the member serves remote calls.
    #[serde(rename = "operators")]
    pub operator_address: std::net::SocketAddr,
    /// The configuration revision in force at the member.
    pub revision: u64,
    /// The time since the member was last heard from, in milliseconds.
    pub silent_ms: u64,
    /// Whether the member is suspected to have failed.
    #[serde(rename = "suspect")]
    pub suspected: bool,
    /// Whether the member is shutting down.
    pub leaving: bool,
}

/// The error code of a node that is shutting down.
pub const STOPPING_CODE: i32 = -32_001;

/// The error code of a call that needs the platform while the platform is unreachable.
pub const PLATFORM_UNAVAILABLE_CODE: i32 = -32_002;

/// The error code of a call whose signature is invalid or that is a replay.
pub const UNAUTHENTICATED_CODE: i32 = -32_003;

/// The error code of a call whose timestamp is outside the allowed clock skew; the error's data is the
/// node's time in milliseconds since the Unix epoch.
pub const CLOCK_SKEW_CODE: i32 = -32_004;

/// The method names that signatures cover.
pub mod method {
    /// The name of [`super::OperatorsServer::page`].
    pub const PAGE: &str = "page";
    /// The name of [`super::OperatorsServer::change`].
    pub const CHANGE: &str = "change";
    /// The name of [`super::OperatorsServer::history`].
    pub const HISTORY: &str = "history";
    /// The name of [`super::OperatorsServer::status`].
    pub const STATUS: &str = "status";
    /// The name of [`super::OperatorsServer::explain`].
    pub const EXPLAIN: &str = "explain";
    /// The name of [`super::OperatorsServer::timeline`].
    pub const TIMELINE: &str = "timeline";
}

/// The remote calls that a node serves; each carries a signature.
#[rpc(client, server, namespace = "sedgepath")]
pub trait Operators {
    /// Returns a page of the records written after a position.
    #[method(name = "page")]
    async fn page(&self, after: SignedCall<RecordPosition>) -> RpcResult<RecordPage>;

    /// Changes the configuration of all nodes.
    #[method(name = "change")]
    async fn change(&self, request: SignedCall<ChangeRequest>) -> RpcResult<ChangeOutcome>;

    /// Returns the latest accepted changes, newest first.
    #[method(name = "history")]
    async fn history(&self, limit: SignedCall<u32>) -> RpcResult<Vec<LoggedChange>>;

    /// Returns the status of the node and of the members that it knows.
    #[method(name = "status")]
    async fn status(&self, call: SignedCall<()>) -> RpcResult<NodeStatus>;

    /// Explains how the node would route a caller's request, by its current state.
    #[method(name = "explain")]
    async fn explain(&self, question: SignedCall<ExplainRequest>) -> RpcResult<Explanation>;

    /// Returns the node's timeline entries after a timestamp.
    #[method(name = "timeline")]
    async fn timeline(&self, after: SignedCall<HybridTimestamp>) -> RpcResult<NodeTimeline>;
}
