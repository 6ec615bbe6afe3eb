//! Sends a request to upstreams, or lets other VMs do so, until it is answered, rejected or given up.

use std::rc::Rc;

use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use hyper::Response;
use sedgepath_core::direct::attempts::{
    Attempt, AttemptOutcome, ForwardOutcome, Forwarding, NextStep,
};
use sedgepath_core::direct::steering::Rejection;

use super::attempt::{self, AttemptResult, RequestHead};
use super::clock;
use super::connection_pool::Body;
use super::forwarding::{self, ForwardResult, Responder};
use super::give_up::{GiveUpReason, give_up, log_failed_forwarding, record_forwarded};
use super::in_flight_request::InFlightRequest;
use super::request_body::RequestBody;
use super::responses::{RejectedRequest, log_failed_attempt, record_success, reject};
use super::shared::{SharedState, StopPhase};

/// Where a request is sent.
#[derive(Debug, Clone)]
pub enum Destination {
    /// To an upstream.
    Upstream(Attempt),
    /// To another VM.
    Vm(Forwarding),
}

/// How a sending ended.
#[derive(Debug)]
enum Sent {
    Upstream(Attempt, AttemptResult),
    Vm(ForwardResult),
}

/// Sends a request until an upstream responds or the request is rejected or given up.
pub async fn run(
    request: &mut InFlightRequest,
    head: &RequestHead,
    body: &mut RequestBody,
) -> Response<Body> {
    let shared = Rc::clone(&request.shared);
    let shared = &*shared;
    let deadline_at_ms = request.state.deadline_at_ms;
    let mut in_flight = FuturesUnordered::new();
    let mut last_response: Option<Response<Body>> = None;
    let mut hedge = None;
    let mut stop = std::pin::pin!(shared.wait_for_stop_phase(StopPhase::EndingRequests));
    loop {
        let destination = match hedge.take() {
            Some(destination) => destination,
            None => match request.next_step() {
                NextStep::Send(attempt) => Destination::Upstream(attempt),
                NextStep::Forward(forwarding) => Destination::Vm(forwarding),
                NextStep::Reject { reason, retry_after_ms } => {
                    let rejection = Rejection { reason, retry_after_ms };
                    request.return_quota_token();
                    let rejected = RejectedRequest::Begun(&request.state);
                    return reject(shared, &head.attempt_id, rejected, rejection);
                }
                // What other VMs have sent is theirs to tell.
                NextStep::GiveUp { reason }
                    if request.state.is_forwarded
                        && request.last_sent_at_ms.is_none()
                        && reason.is_of_one_vm() =>
                {
                    let rejection = Rejection { reason, retry_after_ms: 0 };
                    let rejected = RejectedRequest::Begun(&request.state);
                    return reject(shared, &head.attempt_id, rejected, rejection);
                }
                NextStep::GiveUp { reason } => {
                    let reason = GiveUpReason::NotSentAgain(reason);
                    return give_up(request, reason, last_response);
                }
            },
        };
        let Some(bytes) = body.take() else {
            return give_up(request, GiveUpReason::BodyWasStreamed, last_response);
        };
        request.last_sent_at_ms = Some(clock::now_ms());
        in_flight.push(send(shared, deadline_at_ms, destination, head, bytes));
        while !in_flight.is_empty() {
            let sent = tokio::select! {
                biased;
                Some(ended) = in_flight.next() => ended,
                destination = request.wait_for_hedge(), if !body.is_spent() => {
                    log_hedge(&head.attempt_id, &request.state.service, &destination);
                    hedge = Some(destination);
                    break;
                }
                () = &mut stop => return give_up(request, GiveUpReason::STOPPING, last_response),
            };
            let response = match sent {
                Sent::Upstream(attempt, result) => end_attempt(request, head, &attempt, result),
                Sent::Vm(result) => end_forwarding(request, result),
            };
            match response {
                Ended::Answered(response) => return response,
                Ended::TimedOut => return give_up(request, GiveUpReason::TimedOut, last_response),
                Ended::Failed(response) => last_response = response.or(last_response),
            }
        }
    }
}

/// What the end of a sending means for its request.
#[derive(Debug)]
enum Ended {
    Answered(Response<Body>),
    TimedOut,
    Failed(Option<Response<Body>>),
}

async fn send(
    shared: &SharedState,
    deadline_at_ms: u64,
    destination: Destination,
    head: &RequestHead,
    bytes: Body,
) -> Sent {
    match destination {
        Destination::Upstream(attempt) => {
            if let Some(cold) = attempt.decision.cold {
                log::info!("event=cold_sending upstream={} {cold}", attempt.name);
            }
            let result = attempt::send_attempt(shared, deadline_at_ms, &attempt, head, bytes).await;
            Sent::Upstream(attempt, result)
        }
        Destination::Vm(to) => {
            let result = forwarding::forward(shared, deadline_at_ms, &to, head, bytes).await;
            Sent::Vm(result)
        }
    }
}

fn end_attempt(
    request: &mut InFlightRequest,
    head: &RequestHead,
    attempt: &Attempt,
    result: AttemptResult,
) -> Ended {
    let shared = Rc::clone(&request.shared);
    shared.metrics.record_attempt(attempt.decision, result.outcome);
    request.record_outcome(attempt.upstream, result.outcome);
    if let AttemptOutcome::Answered { body_bytes, .. } = result.outcome {
        shared.load.borrow_mut().record_body(body_bytes, clock::now_ms());
    }
    match (result.outcome, result.response) {
        (AttemptOutcome::Answered { failed: false, .. }, Some(response)) => {
            record_success(&shared, &head.attempt_id, &request.state, attempt);
            Ended::Answered(response)
        }
        (AttemptOutcome::TimedOut, _) => Ended::TimedOut,
        (outcome, response) => {
            log_failed_attempt(&head.attempt_id, &request.state, attempt, outcome);
            Ended::Failed(response)
        }
    }
}

fn end_forwarding(request: &mut InFlightRequest, result: ForwardResult) -> Ended {
    request.state.record_forward_outcome(result.outcome);
    match (result.outcome, result.response) {
        // An upstream still has the request, and may respond.
        (_, Some((_response, forwarded)))
            if forwarded.responder != Responder::Upstream
                && !request.state.in_flight.is_empty() =>
        {
            log_failed_forwarding(request, forwarded);
            Ended::Failed(None)
        }
        (_, Some((response, forwarded))) => {
            record_forwarded(request, response.status(), forwarded);
            Ended::Answered(response)
        }
        (ForwardOutcome::TimedOut, None) => Ended::TimedOut,
        (_, None) => Ended::Failed(None),
    }
}

fn log_hedge(attempt_id: &str, service: &str, destination: &Destination) {
    match destination {
        Destination::Upstream(attempt) => log::info!(
            "event=second_sending request={attempt_id} upstream={} service={service} {}",
            attempt.name,
            attempt.decision,
        ),
        Destination::Vm(forwarding) => log::info!(
            "event=second_sending request={attempt_id} vm={} service={service}",
            forwarding.peer_address,
        ),
    }
}
