//! Serves remote calls from operators and peers, and fetches record pages from peers.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use jsonrpsee::core::{RpcResult, async_trait};
use jsonrpsee::http_client::HttpClientBuilder;
use jsonrpsee::types::ErrorObjectOwned;
use sedgepath_core::clock::HybridTimestamp;
use sedgepath_core::configuration::change::{ChangeOutcome, ChangeRequest};
use sedgepath_core::configuration::rows::{LOG_KEY_PREFIX, LoggedChange, log_key};
use sedgepath_core::configuration::store::{RecordPage, RecordPosition};
use sedgepath_core::event::Event;
use sedgepath_core::explain::{ExplainRequest, Explanation};
use sedgepath_core::key::OperationKey;
use sedgepath_core::node::Node;
use sedgepath_core::table::{TableRequest, TableResult, TableService};
use sedgepath_wire::key::SharedKey;
use sedgepath_wire::rpc::{
    CLOCK_SKEW_CODE, MemberStatus, NodeClient, NodeStatus, NodeTimeline, OperatorsServer,
    PLATFORM_UNAVAILABLE_CODE, STOPPING_CODE, UNAUTHENTICATED_CODE, UnreadableRecordStatus, method,
};
use sedgepath_wire::signed_call::{CallVerifier, SignatureError, SignedCall};
use serde::Serialize;
use tokio::sync::mpsc;

use crate::driver::NodeHandle;

/// The timeout of a remote call to a peer.
const PEER_CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// The maximum number of changes that one call of `history` returns.
const MAX_HISTORY_CHANGES: u32 = 1_000;

/// The number of changes that are read beyond the node's revision, which may lag behind the table.
const HISTORY_LOOKAHEAD_CHANGES: u32 = 64;

/// A request to fetch a page of records from a peer.
#[derive(Debug, Clone)]
pub struct FetchJob {
    /// Identifies the fetch in its result.
    pub operation: OperationKey,
    /// The address at which the peer serves remote calls.
    pub from: SocketAddr,
    /// The position after which the page begins.
    pub after: RecordPosition,
}

/// The server of remote calls.
#[derive(Debug)]
pub struct OperatorServer {
    handle: NodeHandle,
    table: Arc<dyn TableService>,
    verifier: Mutex<CallVerifier>,
}

impl OperatorServer {
    /// Creates a server that reads the history from a table and accepts the calls that the verifier
    /// accepts.
    pub fn new(handle: NodeHandle, table: Arc<dyn TableService>, verifier: CallVerifier) -> Self {
        Self { handle, table, verifier: Mutex::new(verifier) }
    }

    /// Verifies a call's signature and returns its parameters.
    fn verify_call<T: Serialize>(&self, method: &str, call: SignedCall<T>) -> RpcResult<T> {
        let now_ms = self.handle.clock().now_ms();
        // Poisoning can be ignored: no code panics while it holds the lock.
        let mut verifier = self.verifier.lock().unwrap_or_else(PoisonError::into_inner);
        verifier.verify(method, call, now_ms).map_err(|error| {
            log::warn!("event=call_refused method={method} error={:?}", error.to_string());
            match error {
                SignatureError::ClockSkew { .. } => {
                    ErrorObjectOwned::owned(CLOCK_SKEW_CODE, error.to_string(), Some(now_ms))
                }
                SignatureError::InvalidSignature | SignatureError::Replayed => {
                    ErrorObjectOwned::owned(UNAUTHENTICATED_CODE, error.to_string(), None::<()>)
                }
            }
        })
    }

    async fn query_node<T: Send + 'static>(
        &self,
        query: impl FnOnce(&Node) -> T + Send + 'static,
    ) -> RpcResult<T> {
        let result = self.handle.query(query).await;
        result.ok_or_else(stopping_error)
    }
}

#[async_trait]
impl OperatorsServer for OperatorServer {
    async fn page(&self, after: SignedCall<RecordPosition>) -> RpcResult<RecordPage> {
        let after = self.verify_call(method::PAGE, after)?;
        self.query_node(move |node| node.page(&after)).await
    }

    async fn change(&self, request: SignedCall<ChangeRequest>) -> RpcResult<ChangeOutcome> {
        let request = self.verify_call(method::CHANGE, request)?;
        self.handle.change_configuration(request).await.ok_or_else(stopping_error)
    }

    async fn history(&self, limit: SignedCall<u32>) -> RpcResult<Vec<LoggedChange>> {
        let limit = self.verify_call(method::HISTORY, limit)?.min(MAX_HISTORY_CHANGES);
        let revision = self.query_node(|node| node.configuration().revision()).await?;
        let table = Arc::clone(&self.table);
        let read = move || read_history(&*table, revision, limit);
        let history = tokio::task::spawn_blocking(read).await.ok().flatten();
        history.ok_or_else(|| {
            let text = "can't read the platform's table";
            ErrorObjectOwned::owned(PLATFORM_UNAVAILABLE_CODE, text, None::<()>)
        })
    }

    async fn status(&self, call: SignedCall<()>) -> RpcResult<NodeStatus> {
        self.verify_call(method::STATUS, call)?;
        let now_ms = self.handle.clock().now_ms();
        self.query_node(move |node| node_status(node, now_ms)).await
    }

    async fn explain(&self, question: SignedCall<ExplainRequest>) -> RpcResult<Explanation> {
        let question = self.verify_call(method::EXPLAIN, question)?;
        self.query_node(move |node| node.explain(&question)).await
    }

    async fn timeline(&self, after: SignedCall<HybridTimestamp>) -> RpcResult<NodeTimeline> {
        let after = self.verify_call(method::TIMELINE, after)?;
        self.query_node(move |node| NodeTimeline {
            node: node.outbox().identity().descriptor.name.clone(),
            entries: node.outbox().timeline().since(after),
        })
        .await
    }
}

fn stopping_error() -> ErrorObjectOwned {
    ErrorObjectOwned::owned(STOPPING_CODE, "the process is stopping", None::<()>)
}

/// Reads the newest changes, the newest first, up to [`HISTORY_LOOKAHEAD_CHANGES`] beyond a revision.
fn read_history(table: &dyn TableService, revision: u64, limit: u32) -> Option<Vec<LoggedChange>> {
    let request = TableRequest::Scan {
        prefix: LOG_KEY_PREFIX.into(),
        after: log_key(revision.saturating_sub(u64::from(limit))),
        limit: limit + HISTORY_LOOKAHEAD_CHANGES,
    };
    let TableResult::Rows(rows) = table.execute(&request) else {
        return None;
    };
    let changes = rows.iter().filter_map(|row| serde_json::from_str(&row.value).ok());
    Some(changes.rev().take(limit as usize).collect())
}

fn node_status(node: &Node, now_ms: u64) -> NodeStatus {
    let members = node.membership().members().into_iter().map(|(_, member)| MemberStatus {
        name: member.descriptor.name.clone(),
        operator_address: member.descriptor.operator_address,
        revision: member.revision,
        silent_ms: now_ms.saturating_sub(member.last_heard_at_ms),
        suspected: member.suspected,
        leaving: member.descriptor.leaving,
    });
    let unread = node.configuration().catalogue().unreadable_records.iter().map(|unread| {
        UnreadableRecordStatus {
            kind: unread.kind.clone(),
            name: unread.name.clone(),
            reason: unread.error.to_string().into(),
        }
    });
    NodeStatus {
        node: node.outbox().identity().descriptor.name.clone(),
        domain: node.outbox().identity().descriptor.domain,
        revision: node.configuration().revision(),
        head_age_ms: node.configuration().status(now_ms).head_age_ms,
        ready: node.configuration().ready(),
        unreadable_records: unread.collect(),
        members: members.collect(),
    }
}

/// Executes page fetches from peers, each in a task of its own, until the queue is closed.
pub async fn run_fetches(
    mut jobs: mpsc::UnboundedReceiver<FetchJob>,
    key: SharedKey,
    handle: NodeHandle,
) {
    while let Some(job) = jobs.recv().await {
        let handle = handle.clone();
        let key = key.clone();
        tokio::spawn(async move {
            let page = fetch_page(job.from, key, job.after).await;
            handle.send_event(Event::PageFetched { operation: job.operation, page });
        });
    }
}

async fn fetch_page(from: SocketAddr, key: SharedKey, after: RecordPosition) -> Option<RecordPage> {
    let client = HttpClientBuilder::default()
        .request_timeout(PEER_CALL_TIMEOUT)
        .build(format!("http://{from}"))
        .ok()?;
    NodeClient::new(client, key).page(after).await.ok()
}
