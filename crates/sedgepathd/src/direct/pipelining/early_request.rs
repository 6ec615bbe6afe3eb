//! A request that was started before its turn.

use std::net::IpAddr;
use std::rc::Rc;

use hyper::body::Body as _;
use hyper::{Response, http};
use tokio::task::JoinHandle;

use super::bounds::Reservation;
use super::request_stream::FoundHead;
use crate::direct::connection_pool::Body;
use crate::direct::ingress::{self, RequestArrival, RequestSource};
use crate::direct::response_body::MAX_BUFFERED_RESPONSE_BYTES;
use crate::direct::shared::SharedState;

/// A request that was started before its turn; dropping it cancels the request.
#[derive(Debug)]
pub struct EarlyRequest {
    /// The head with which it was started.
    head: http::request::Parts,
    /// The position in the connection's bytes behind the head.
    pub head_end: u64,
    task: JoinHandle<Option<HeldResponse>>,
}

/// A response that waits for its turn.
#[derive(Debug)]
struct HeldResponse {
    response: Response<Body>,
    _reservation: Reservation,
}

impl EarlyRequest {
    /// Starts a request of a caller.
    pub fn start(
        shared: &Rc<SharedState>,
        caller: IpAddr,
        found: FoundHead,
        mut reservation: Reservation,
    ) -> Self {
        let head = found.parts.clone();
        let shared = Rc::clone(shared);
        let arrival = RequestArrival {
            source: RequestSource::Caller(caller),
            at_ms: found.arrived_at_ms,
            was_started_early: false,
        };
        let task = tokio::task::spawn_local(async move {
            let response = ingress::handle_arrived(&shared, found.parts, None, arrival).await;
            let held_bytes = response.body().size_hint().upper();
            let held_bytes = held_bytes.map_or(MAX_BUFFERED_RESPONSE_BYTES, |bytes| bytes as usize);
            reservation
                .try_hold(held_bytes)
                .then_some(HeldResponse { response, _reservation: reservation })
        });
        Self { head, head_end: found.end, task }
    }

    /// Returns whether hyper has read the same method, target and header fields.
    pub fn matches(&self, head: &http::request::Parts) -> bool {
        self.head.method == head.method
            && self.head.uri == head.uri
            && self.head.version == head.version
            && self.head.headers == head.headers
    }

    /// Waits for the response; `None` if it could not be held in memory.
    pub async fn response(mut self) -> Option<Response<Body>> {
        let held = (&mut self.task).await.ok().flatten();
        held.map(|held| held.response)
    }
}

impl Drop for EarlyRequest {
    fn drop(&mut self) {
        self.task.abort();
    }
}
