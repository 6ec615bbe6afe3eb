//! Remote calls: served to operators and peers, and made to peers.

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

use crate::driver::Handle;

/// The longest that a call to a peer may take.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// The most changes that are returned at once.
const MAX_HISTORY: u32 = 1_000;

/// The changes beyond the node's own revision that are read along.
const HISTORY_AHEAD: u32 = 64;

/// A fetch of a page of a peer's records.
#[derive(Debug, Clone)]
pub struct FetchJob {
    /// Names the fetch in its result.
    pub operation: OperationKey,
    /// Where the peer takes remote calls.
    pub from: SocketAddr,
    /// The place behind which the page begins.
    pub after: RecordPosition,
}

/// Serves remote calls.
#[derive(Debug)]
pub struct Operators {
    handle: Handle,
    table: Arc<dyn TableService>,
    guard: Mutex<CallVerifier>,
}

impl Operators {
    /// Creates the server's methods.
    pub fn new(handle: Handle, table: Arc<dyn TableService>, guard: CallVerifier) -> Self {
        Self { handle, table, guard: Mutex::new(guard) }
    }

    /// Checks a call's proof and returns its parameters.
    fn open<T: Serialize>(&self, method: &str, call: SignedCall<T>) -> RpcResult<T> {
        let now_ms = self.handle.clock().now_ms();
        // No code panics while it holds the lock.
        let mut guard = self.guard.lock().unwrap_or_else(PoisonError::into_inner);
        guard.verify(method, call, now_ms).map_err(|error| {
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

    async fn ask<T: Send + 'static>(
        &self,
        question: impl FnOnce(&Node) -> T + Send + 'static,
    ) -> RpcResult<T> {
        let answer = self.handle.ask(question).await;
        answer.ok_or_else(stopping)
    }
}

#[async_trait]
impl OperatorsServer for Operators {
    async fn page(&self, after: SignedCall<RecordPosition>) -> RpcResult<RecordPage> {
        let after = self.open(method::PAGE, after)?;
        self.ask(move |node| node.page(&after)).await
    }

    async fn change(&self, request: SignedCall<ChangeRequest>) -> RpcResult<ChangeOutcome> {
        let request = self.open(method::CHANGE, request)?;
        self.handle.change(request).await.ok_or_else(stopping)
    }

    async fn history(&self, limit: SignedCall<u32>) -> RpcResult<Vec<LoggedChange>> {
        let limit = self.open(method::HISTORY, limit)?.min(MAX_HISTORY);
        let revision = self.ask(|node| node.configuration().revision()).await?;
        let table = Arc::clone(&self.table);
        let read = move || read_history(&*table, revision, limit);
        let history = tokio::task::spawn_blocking(read).await.ok().flatten();
        history.ok_or_else(|| {
            let text = "the platform's table can't be reached";
            ErrorObjectOwned::owned(PLATFORM_UNAVAILABLE_CODE, text, None::<()>)
        })
    }

    async fn status(&self, call: SignedCall<()>) -> RpcResult<NodeStatus> {
        self.open(method::STATUS, call)?;
        let now_ms = self.handle.clock().now_ms();
        self.ask(move |node| status(node, now_ms)).await
    }

    async fn explain(&self, question: SignedCall<ExplainRequest>) -> RpcResult<Explanation> {
        let question = self.open(method::EXPLAIN, question)?;
        self.ask(move |node| node.explain(&question)).await
    }

    async fn timeline(&self, after: SignedCall<HybridTimestamp>) -> RpcResult<NodeTimeline> {
        let after = self.open(method::TIMELINE, after)?;
        self.ask(move |node| NodeTimeline {
            node: node.outbox().identity().descriptor.name.clone(),
            entries: node.outbox().timeline().since(after),
        })
        .await
    }
}

fn stopping() -> ErrorObjectOwned {
    ErrorObjectOwned::owned(STOPPING_CODE, "the process is about to end", None::<()>)
}

/// Reads the newest changes up to a little beyond a revision, the newest first.
fn read_history(table: &dyn TableService, revision: u64, limit: u32) -> Option<Vec<LoggedChange>> {
    let request = TableRequest::Scan {
        prefix: LOG_KEY_PREFIX.into(),
        after: log_key(revision.saturating_sub(u64::from(limit))),
        limit: limit + HISTORY_AHEAD,
    };
    let TableResult::Rows(rows) = table.execute(&request) else {
        return None;
    };
    let changes = rows.iter().filter_map(|row| serde_json::from_str(&row.value).ok());
    Some(changes.rev().take(limit as usize).collect())
}

fn status(node: &Node, now_ms: u64) -> NodeStatus {
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

/// Carries out fetches from peers until the process ends.
pub async fn run_fetches(
    mut jobs: mpsc::UnboundedReceiver<FetchJob>,
    key: SharedKey,
    handle: Handle,
) {
    while let Some(job) = jobs.recv().await {
        let handle = handle.clone();
        let key = key.clone();
        tokio::spawn(async move {
            let page = fetch(job.from, key, job.after).await;
            handle.event(Event::PageFetched { operation: job.operation, page });
        });
    }
}

async fn fetch(from: SocketAddr, key: SharedKey, after: RecordPosition) -> Option<RecordPage> {
    let client = HttpClientBuilder::default()
        .request_timeout(CALL_TIMEOUT)
        .build(format!("http://{from}"))
        .ok()?;
    NodeClient::new(client, key).page(after).await.ok()
}
