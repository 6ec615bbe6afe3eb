//! Calls nodes over JSON-RPC, with failover to the next node.

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

use crate::error::{CliError, NodeFailure};

/// The timeout for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// The timeout for a response; a node works on a change for up to 8 s.
const CALL_TIMEOUT: Duration = Duration::from_secs(12);

/// The largest accepted response body.
const MAX_RESPONSE_BYTES: u32 = 64 * 1024 * 1024;

/// A call to a node that did not succeed.
#[derive(Debug)]
pub struct CallFailure {
    /// The cause, for the operator.
    pub reason: Box<str>,
    /// Whether the node may have carried out the call.
    pub may_have_run: bool,
    /// Whether the same call may succeed at another node.
    pub try_next: bool,
}

/// The response of the first node that answered a call.
#[derive(Debug)]
pub struct NodeResponse<T> {
    /// The node that answered.
    pub node: SocketAddr,
    /// The decoded response.
    pub value: T,
}

/// A client with a list of nodes and the key that signs its calls.
#[derive(Debug)]
pub struct Client {
    runtime: Runtime,
    nodes: Vec<SocketAddr>,
    key: SharedKey,
}

/// The records in force at a node.
#[derive(Debug)]
pub struct RecordsInForce {
    /// The configuration revision that the node has.
    pub revision: u64,
    /// The records, sorted by kind and name.
    pub rows: Vec<RecordRow>,
}

impl Client {
    /// Creates a client that tries the nodes in their order and signs its calls with the key.
    ///
    /// # Errors
    ///
    /// Fails if there is no node, or the runtime can't be started.
    pub fn new(nodes: Vec<SocketAddr>, key: SharedKey) -> Result<Self, CliError> {
        if nodes.is_empty() {
            return Err(CliError::MissingNode);
        }
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
        Ok(Self { runtime, nodes, key })
    }

    /// Returns the nodes in the order in which they are tried.
    pub fn nodes(&self) -> &[SocketAddr] {
        &self.nodes
    }

    /// Calls one node.
    ///
    /// # Errors
    ///
    /// Fails if the node can't be reached or responds with an error.
    pub fn call_node<T, F: Future<Output = Result<T, RpcError>>>(
        &self,
        node: SocketAddr,
        call: impl Fn(NodeClient) -> F,
    ) -> Result<T, CallFailure> {
        let unsent = |reason: String| CallFailure {
            reason: reason.into(),
            may_have_run: false,
            try_next: true,
        };
        // The HTTP client's errors don't say whether anything was sent; a failed connection shows that
        // nothing was.
        TcpStream::connect_timeout(&node, CONNECT_TIMEOUT)
            .map_err(|error| unsent(error.to_string()))?;
        let client = HttpClientBuilder::default()
            .request_timeout(CALL_TIMEOUT)
            .max_response_size(MAX_RESPONSE_BYTES)
            .build(format!("http://{node}"))
            .map_err(|error| unsent(error.to_string()))?;
        let node_client = NodeClient::new(client, self.key.clone());
        self.runtime.block_on(call(node_client)).map_err(|error| match error {
            RpcError::Call(object) => CallFailure {
                reason: object.message().into(),
                // A node checks the signature before it carries out anything.
                may_have_run: ![UNAUTHENTICATED_CODE, CLOCK_SKEW_CODE].contains(&object.code()),
                try_next: [STOPPING_CODE, PLATFORM_UNAVAILABLE_CODE].contains(&object.code()),
            },
            other => {
                CallFailure { reason: other.to_string().into(), may_have_run: true, try_next: true }
            }
        })
    }

    /// Calls the nodes in turn until one answers.
    ///
    /// # Errors
    ///
    /// Fails if no node answers, or a node responds with an error that all nodes would give.
    pub fn call_any<T, F: Future<Output = Result<T, RpcError>>>(
        &self,
        call: impl Fn(NodeClient) -> F,
    ) -> Result<NodeResponse<T>, CliError> {
        let mut failures = Vec::new();
        for &node in &self.nodes {
            match self.call_node(node, &call) {
                Ok(value) => return Ok(NodeResponse { node, value }),
                Err(CallFailure { reason, try_next: false, .. }) => {
                    return Err(CliError::NodeError { node, reason });
                }
                Err(CallFailure { reason, .. }) => failures.push(NodeFailure { node, reason }),
            }
        }
        Err(CliError::Unreachable { failures })
    }

    /// Returns the records in force at the first node that answers.
    ///
    /// # Errors
    ///
    /// Fails if no node answers.
    pub fn records_in_force(&self) -> Result<RecordsInForce, CliError> {
        let response = self.call_any(|client| async move {
            let mut after = RecordPosition::default();
            let mut rows = Vec::new();
            loop {
                let page = client.page(after).await?;
                rows.extend(page.records);
                match rows.last().map(RecordPosition::of_row) {
                    Some(last) if !page.complete => after = last,
                    _ => return Ok(RecordsInForce { revision: page.revision, rows }),
                }
            }
        })?;
        let RecordsInForce { revision, rows } = response.value;
        Ok(RecordsInForce { revision, rows: newest_rows(rows) })
    }
}

/// Keeps the newest row of each record; a record that changes between two pages is read twice.
fn newest_rows(mut rows: Vec<RecordRow>) -> Vec<RecordRow> {
    rows.sort_by(|a, b| {
        let key = |row: &RecordRow| (row.record.kind.clone(), row.record.name.clone());
        key(a).cmp(&key(b)).then(b.revision.cmp(&a.revision))
    });
    rows.dedup_by(|a, b| a.record.kind == b.record.kind && a.record.name == b.record.name);
    rows
}
