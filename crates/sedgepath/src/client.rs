//! Asks nodes, the next one when one can't be reached.

use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use jsonrpsee::core::client::Error as RpcError;
use jsonrpsee::http_client::HttpClientBuilder;
use sedgepath_core::configuration::rows::RecordRow;
use sedgepath_core::configuration::store::RecordPosition;
use sedgepath_wire::key::SharedKey;
use sedgepath_wire::rpc::{
    CLOCK_SKEW_CODE, NodeClient, PLATFORM_UNAVAILABLE_CODE, STOPPING_CODE, UNAUTHENTICATED_CODE,
};
use tokio::runtime::Runtime;

use crate::error::{CliError, Tried};

/// The longest that a connection may take.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// The longest that an answer may take; a node works on a change for up to 8 s.
const CALL_TIMEOUT: Duration = Duration::from_secs(12);

/// The longest answer in bytes.
const MAX_ANSWER_BYTES: u32 = 64 * 1024 * 1024;

/// Why a node did not answer.
#[derive(Debug)]
pub struct Silence {
    /// Why.
    pub reason: Box<str>,
    /// Whether the question may have reached it.
    pub sent: bool,
    /// Whether another node may do better.
    pub try_next: bool,
}

/// What became of a question that was put to the nodes in turn.
#[derive(Debug)]
pub struct Answer<T> {
    /// The node that answered.
    pub node: SocketAddr,
    /// Its answer.
    pub value: T,
}

/// Asks nodes.
#[derive(Debug)]
pub struct Client {
    runtime: Runtime,
    nodes: Vec<SocketAddr>,
    key: SharedKey,
}

/// Records in force at a node.
#[derive(Debug)]
pub struct InForce {
    /// The revision.
    pub revision: u64,
    /// The records, in the order of their kinds and names.
    pub rows: Vec<RecordRow>,
}

impl Client {
    /// Creates a client of these nodes, tried in their order; its calls are proved by a key.
    ///
    /// # Errors
    ///
    /// Fails if there is none, or the runtime can't be started.
    pub fn new(nodes: Vec<SocketAddr>, key: SharedKey) -> Result<Self, CliError> {
        if nodes.is_empty() {
            return Err(CliError::NoNode);
        }
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
        Ok(Self { runtime, nodes, key })
    }

    /// Returns the nodes that are tried.
    pub fn nodes(&self) -> &[SocketAddr] {
        &self.nodes
    }

    /// Asks one node.
    ///
    /// # Errors
    ///
    /// Fails if it does not answer.
    pub fn ask_one<T, F: Future<Output = Result<T, RpcError>>>(
        &self,
        node: SocketAddr,
        question: impl Fn(NodeClient) -> F,
    ) -> Result<T, Silence> {
        let unsent =
            |reason: String| Silence { reason: reason.into(), sent: false, try_next: true };
        // A connection that can't be made proves that nothing was sent, which the library's error
        // does not tell apart.
        TcpStream::connect_timeout(&node, CONNECT_TIMEOUT)
            .map_err(|error| unsent(error.to_string()))?;
        let client = HttpClientBuilder::default()
            .request_timeout(CALL_TIMEOUT)
            .max_response_size(MAX_ANSWER_BYTES)
            .build(format!("http://{node}"))
            .map_err(|error| unsent(error.to_string()))?;
        let caller = NodeClient::new(client, self.key.clone());
        self.runtime.block_on(question(caller)).map_err(|error| match error {
            RpcError::Call(object) => Silence {
                reason: object.message().into(),
                // A call that is not proved is refused before anything is done for it.
                sent: ![UNAUTHENTICATED_CODE, CLOCK_SKEW_CODE].contains(&object.code()),
                try_next: [STOPPING_CODE, PLATFORM_UNAVAILABLE_CODE].contains(&object.code()),
            },
            other => Silence { reason: other.to_string().into(), sent: true, try_next: true },
        })
    }

    /// Asks the nodes in turn until one answers.
    ///
    /// # Errors
    ///
    /// Fails if none answers, or one answers with an error that others would give too.
    pub fn ask<T, F: Future<Output = Result<T, RpcError>>>(
        &self,
        question: impl Fn(NodeClient) -> F,
    ) -> Result<Answer<T>, CliError> {
        let mut tried = Vec::new();
        for &node in &self.nodes {
            match self.ask_one(node, &question) {
                Ok(value) => return Ok(Answer { node, value }),
                Err(Silence { reason, try_next: false, .. }) => {
                    return Err(CliError::Node { node, reason });
                }
                Err(Silence { reason, .. }) => tried.push(Tried { node, reason }),
            }
        }
        Err(CliError::Unreachable { tried })
    }

    /// Returns the records in force at the first node that answers.
    ///
    /// # Errors
    ///
    /// Fails if no node answers.
    pub fn in_force(&self) -> Result<InForce, CliError> {
        let answer = self.ask(|client| async move {
            let mut after = RecordPosition::default();
            let mut rows = Vec::new();
            loop {
                let page = client.page(after).await?;
                rows.extend(page.records);
                match rows.last().map(RecordPosition::of_row) {
                    Some(last) if !page.complete => after = last,
                    _ => return Ok(InForce { revision: page.revision, rows }),
                }
            }
        })?;
        let InForce { revision, rows } = answer.value;
        Ok(InForce { revision, rows: newest(rows) })
    }
}

/// Keeps the newest row of each record: one that changed while the pages were turned came twice.
fn newest(mut rows: Vec<RecordRow>) -> Vec<RecordRow> {
    rows.sort_by(|a, b| {
        let key = |row: &RecordRow| (row.record.kind.clone(), row.record.name.clone());
        key(a).cmp(&key(b)).then(b.revision.cmp(&a.revision))
    });
    rows.dedup_by(|a, b| a.record.kind == b.record.kind && a.record.name == b.record.name);
    rows
}
