//! Remote calls: served to operators and peers, and made to peers.

use std::net::SocketAddr;
use std::time::Duration;

use jsonrpsee::core::{RpcResult, async_trait};
use jsonrpsee::http_client::HttpClientBuilder;
use jsonrpsee::types::ErrorObjectOwned;
use sedgepath_core::clock::Stamp;
use sedgepath_core::event::{Event, Snapshot};
use sedgepath_core::key::OperationKey;
use sedgepath_core::node::Node;
use sedgepath_wire::rpc::{MemberStatus, OperatorsClient, OperatorsServer, Status, TimelinePart};
use tokio::sync::mpsc;

use crate::driver::Handle;

/// The longest that a call to a peer may take.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// The code of the error of a process that is about to end.
const STOPPING_CODE: i32 = -32_001;

/// A fetch of a peer's records.
#[derive(Debug, Clone, Copy)]
pub struct FetchJob {
    /// Names the fetch in its result.
    pub operation: OperationKey,
    /// Where the peer takes remote calls.
    pub from: SocketAddr,
}

/// Serves remote calls.
#[derive(Debug)]
pub struct Operators {
    handle: Handle,
}

impl Operators {
    /// Creates the server's methods.
    pub fn new(handle: Handle) -> Self {
        Self { handle }
    }

    async fn ask<T: Send + 'static>(
        &self,
        question: impl FnOnce(&Node) -> T + Send + 'static,
    ) -> RpcResult<T> {
        let answer = self.handle.ask(question).await;
        answer.ok_or_else(|| {
            ErrorObjectOwned::owned(STOPPING_CODE, "the process is about to end", None::<()>)
        })
    }
}

#[async_trait]
impl OperatorsServer for Operators {
    async fn snapshot(&self) -> RpcResult<Snapshot> {
        self.ask(|node| node.configuration().snapshot()).await
    }

    async fn status(&self) -> RpcResult<Status> {
        let now_ms = self.handle.clock().now_ms();
        self.ask(move |node| status(node, now_ms)).await
    }

    async fn timeline(&self, after: Stamp) -> RpcResult<TimelinePart> {
        self.ask(move |node| TimelinePart {
            node: node.outbox().identity().card.name.clone(),
            entries: node.outbox().timeline().since(after),
        })
        .await
    }
}

fn status(node: &Node, now_ms: u64) -> Status {
    let members = node.membership().members().into_iter().map(|(_, member)| MemberStatus {
        name: member.card.name.clone(),
        operators: member.card.operators,
        revision: member.revision,
        silent_ms: now_ms.saturating_sub(member.heard_at_ms),
        suspect: member.suspect,
        leaving: member.card.leaving,
    });
    Status {
        node: node.outbox().identity().card.name.clone(),
        revision: node.configuration().revision(),
        members: members.collect(),
    }
}

/// Carries out fetches from peers until the process ends.
pub async fn run_fetches(mut jobs: mpsc::UnboundedReceiver<FetchJob>, handle: Handle) {
    while let Some(job) = jobs.recv().await {
        let handle = handle.clone();
        tokio::spawn(async move {
            let snapshot = fetch(job.from).await;
            handle.event(Event::Fetched { operation: job.operation, snapshot });
        });
    }
}

async fn fetch(from: SocketAddr) -> Option<Snapshot> {
    let client = HttpClientBuilder::default()
        .request_timeout(CALL_TIMEOUT)
        .build(format!("http://{from}"))
        .ok()?;
    client.snapshot().await.ok()
}
