//! A client that signs its remote calls.

use jsonrpsee::core::client::Error;
use jsonrpsee::http_client::HttpClient;
use sedgepath_core::clock::HybridTimestamp;
use sedgepath_core::configuration::change::{ChangeOutcome, ChangeRequest};
use sedgepath_core::configuration::rows::LoggedChange;
use sedgepath_core::configuration::store::{RecordPage, RecordPosition};
use sedgepath_core::explain::{ExplainRequest, Explanation};
use serde::Serialize;

use super::{CLOCK_SKEW_CODE, NodeStatus, NodeTimeline, OperatorsClient, method};
use crate::key::SharedKey;
use crate::signed_call::SignedCall;
use crate::time::unix_ms;

/// Makes a signed call; retries it with the node's time if the node rejected the timestamp.
macro_rules! call_signed {
    ($node:ident.$call:ident($method:expr, $params:expr)) => {{
        let params = $params;
        let call = $node.sign($method, params.clone(), unix_ms());
        let result = $node.client.$call(call).await;
        match node_time_ms(&result) {
            Some(node_ms) => $node.client.$call($node.sign($method, params, node_ms)).await,
            None => result,
        }
    }};
}

/// Makes signed remote calls to one node.
///
/// A node that rejects a timestamp for clock skew reports its own time; the call is then retried
/// once with that time.
#[derive(Debug)]
pub struct NodeClient {
    client: HttpClient,
    key: SharedKey,
}

impl NodeClient {
    /// Creates a client that signs its calls with a key.
    pub fn new(client: HttpClient, key: SharedKey) -> Self {
        Self { client, key }
    }

    /// Returns a page of the records written after a position.
    ///
    /// # Errors
    ///
    /// Fails if the node does not respond or returns an error.
    pub async fn page(&self, after: RecordPosition) -> Result<RecordPage, Error> {
        call_signed!(self.page(method::PAGE, after))
    }

    /// Changes the configuration of all nodes.
    ///
    /// # Errors
    ///
    /// Fails if the node does not respond or returns an error.
    pub async fn change(&self, request: ChangeRequest) -> Result<ChangeOutcome, Error> {
        call_signed!(self.change(method::CHANGE, request))
    }

    /// Returns the latest accepted changes, newest first.
    ///
    /// # Errors
    ///
    /// Fails if the node does not respond or returns an error.
    pub async fn history(&self, limit: u32) -> Result<Vec<LoggedChange>, Error> {
        call_signed!(self.history(method::HISTORY, limit))
    }

    /// Returns the status of the node and of the members that it knows.
    ///
    /// # Errors
    ///
    /// Fails if the node does not respond or returns an error.
    pub async fn status(&self) -> Result<NodeStatus, Error> {
        call_signed!(self.status(method::STATUS, ()))
    }

    /// Explains how the node would route a caller's request, by its current state.
    ///
    /// # Errors
    ///
    /// Fails if the node does not respond or returns an error.
    pub async fn explain(&self, question: ExplainRequest) -> Result<Explanation, Error> {
        call_signed!(self.explain(method::EXPLAIN, question))
    }

    /// Returns the node's timeline entries after a timestamp.
    ///
    /// # Errors
    ///
    /// Fails if the node does not respond or returns an error.
    pub async fn timeline(&self, after: HybridTimestamp) -> Result<NodeTimeline, Error> {
        call_signed!(self.timeline(method::TIMELINE, after))
    }

    fn sign<T: Serialize>(&self, method: &str, params: T, signed_at_ms: u64) -> SignedCall<T> {
        SignedCall::new(&self.key, method, params, signed_at_ms, fastrand::u64(..))
    }
}

/// Returns the time that a node reported when it rejected a timestamp, in milliseconds since the Unix
/// epoch.
fn node_time_ms<R>(result: &Result<R, Error>) -> Option<u64> {
    let Err(Error::Call(error)) = result else { return None };
    let is_clock_skew = error.code() == CLOCK_SKEW_CODE;
    error.data().filter(|_| is_clock_skew)?.get().parse().ok()
}
