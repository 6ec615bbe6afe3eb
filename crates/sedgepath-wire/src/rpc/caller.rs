//! Makes remote calls, each with its proof.

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

/// Makes a call, and once more by the node's time if that is far from the caller's.
macro_rules! proved {
    ($caller:ident.$call:ident($method:expr, $of:expr)) => {{
        let of = $of;
        let first = $caller.prove($method, of.clone(), unix_ms());
        let result = $caller.client.$call(first).await;
        match nodes_time_ms(&result) {
            Some(nodes_ms) => $caller.client.$call($caller.prove($method, of, nodes_ms)).await,
            None => result,
        }
    }};
}

/// Makes remote calls to one node.
///
/// A node whose clock is far from the caller's refuses a call and tells its own time; the call is then
/// made once more by that time.
#[derive(Debug)]
pub struct NodeClient {
    client: HttpClient,
    key: SharedKey,
}

impl NodeClient {
    /// Creates a caller that proves its calls by a key.
    pub fn new(client: HttpClient, key: SharedKey) -> Self {
        Self { client, key }
    }

    /// Returns the next page of the records that were written after a position.
    ///
    /// # Errors
    ///
    /// Fails if the node gives no answer, or an error.
    pub async fn page(&self, after: RecordPosition) -> Result<RecordPage, Error> {
        proved!(self.page(method::PAGE, after))
    }

    /// Changes the configuration in force everywhere.
    ///
    /// # Errors
    ///
    /// Fails if the node gives no answer, or an error.
    pub async fn change(&self, request: ChangeRequest) -> Result<ChangeOutcome, Error> {
        proved!(self.change(method::CHANGE, request))
    }

    /// Returns the newest accepted changes, the newest first.
    ///
    /// # Errors
    ///
    /// Fails if the node gives no answer, or an error.
    pub async fn history(&self, limit: u32) -> Result<Vec<LoggedChange>, Error> {
        proved!(self.history(method::HISTORY, limit))
    }

    /// Returns what the node says of itself and of the members that it knows.
    ///
    /// # Errors
    ///
    /// Fails if the node gives no answer, or an error.
    pub async fn status(&self) -> Result<NodeStatus, Error> {
        proved!(self.status(method::STATUS, ()))
    }

    /// Explains where a request of a caller would go, by what the node knows.
    ///
    /// # Errors
    ///
    /// Fails if the node gives no answer, or an error.
    pub async fn explain(&self, question: ExplainRequest) -> Result<Explanation, Error> {
        proved!(self.explain(method::EXPLAIN, question))
    }

    /// Returns the entries of the node's time line after a stamp.
    ///
    /// # Errors
    ///
    /// Fails if the node gives no answer, or an error.
    pub async fn timeline(&self, after: HybridTimestamp) -> Result<NodeTimeline, Error> {
        proved!(self.timeline(method::TIMELINE, after))
    }

    fn prove<T: Serialize>(&self, method: &str, of: T, at_ms: u64) -> SignedCall<T> {
        SignedCall::new(&self.key, method, of, at_ms, fastrand::u64(..))
    }
}

/// Returns the time of a node that refused a call for its time, in milliseconds since the Unix epoch.
fn nodes_time_ms<R>(result: &Result<R, Error>) -> Option<u64> {
    let Err(Error::Call(refusal)) = result else { return None };
    let untimely = refusal.code() == CLOCK_SKEW_CODE;
    refusal.data().filter(|_| untimely)?.get().parse().ok()
}
