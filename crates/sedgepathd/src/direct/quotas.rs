//! Tokens of client accounts' quotas, which VMs lend each other.

use std::net::SocketAddr;
use std::rc::Rc;

use sedgepath_core::direct::quotas::{QuotaMessage, Ticket};
use sedgepath_core::direct::steering::{QuotaDecision, Rejection};
use sedgepath_core::direct::vms::gossip::PeerMessage;

use super::in_flight_request::InFlightRequest;
use super::shared::SharedState;
use super::{clock, gossip};

/// A wait for a token, which ends when the caller disconnects too.
#[derive(Debug)]
struct TokenWait<'a> {
    request: &'a mut InFlightRequest,
    ticket: Ticket,
}

impl Drop for TokenWait<'_> {
    fn drop(&mut self) {
        let mut steering = self.request.shared.steering.borrow_mut();
        steering.end_quota_wait(&self.request.state, &mut self.ticket);
    }
}

impl TokenWait<'_> {
    fn decide(&mut self) -> QuotaDecision {
        let mut steering = self.request.shared.steering.borrow_mut();
        steering.check_quota(&mut self.request.state, &mut self.ticket, clock::now_ms())
    }
}

/// Waits until the quota of a request's client account allows to send it.
///
/// # Errors
///
/// Returns the rejection if it doesn't.
pub async fn wait_for_token(request: &mut InFlightRequest) -> Result<(), Rejection> {
    let shared = Rc::clone(&request.shared);
    let mut wait = TokenWait { request, ticket: Ticket::default() };
    loop {
        let granted = shared.tokens_granted.notified();
        let decision = wait.decide();
        send_requests(&shared).await;
        match decision {
            QuotaDecision::Allowed => return Ok(()),
            QuotaDecision::Rejected(rejection) => return Err(rejection),
            QuotaDecision::Pending { until_ms } => {
                // Either way the request is decided again.
                let _elapsed = tokio::time::timeout_at(clock::instant_at(until_ms), granted).await;
            }
        }
    }
}

/// Sends the requests for tokens that are due.
async fn send_requests(shared: &SharedState) {
    let requests = shared.steering.borrow_mut().take_token_requests();
    for (to, request) in requests {
        let message = PeerMessage::Quota(QuotaMessage::Request(request));
        gossip::send_to_all(shared, &message, &[to]).await;
    }
}

/// Handles a message of another VM about quotas.
pub async fn handle_message(shared: &SharedState, from: SocketAddr, message: QuotaMessage) {
    let (response, is_grant) =
        shared.steering.borrow_mut().receive_quota_message(from, message, clock::now_ms());
    if is_grant {
        shared.tokens_granted.notify_waiters();
    }
    if let Some(response) = response {
        gossip::send_to_all(shared, &PeerMessage::Quota(response), &[from]).await;
    }
}
