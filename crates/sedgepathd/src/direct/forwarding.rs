//! Requests that a VM which reaches no upstream forwards to another VM.
//!
//! The request travels over the listener for messages between VMs, unchanged but for the time left and
//! the headers of [`ForwardExchange`]. The other VM sends it to upstreams as it does with requests of
//! its own callers, but never forwards it again. With its response it tells whether the request has run:
//! only its own word proves that it has not.

use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use hyper::body::Incoming;
use hyper::header::{HeaderName, HeaderValue};
use hyper::{Request, Response, StatusCode, http};
use sedgepath_adapter::headers::{self, ResponseHeaders, ResponseKind};
use sedgepath_core::direct::attempts::{
    ForwardOutcome, ForwardedRequest, Forwarding, Rejection, RejectionReason,
};
use tokio::time::timeout_at;

use super::attempt::{CONNECT_TIMEOUT, RequestHead, build_response, bytes_body};
use super::clock;
use super::connection_pool::{Body, Connection, unacknowledged_timeout};
use super::give_up::GivenUp;
use super::ingress;
use super::peer_authentication::ForwardExchange;
use super::response_body::{BufferedBody, PartlyBufferedBody, buffer_body};
use super::shared::SharedState;

/// The header with what the forwarding VM tells of a request.
pub const FORWARDED_HEADER: HeaderName = HeaderName::from_static("sedgepath-forwarded");

/// The header with what the other VM tells of its response.
const OUTCOME_HEADER: HeaderName = HeaderName::from_static("sedgepath-forward-outcome");

/// The header with how the other VM has given the request up.
const GIVEN_UP_HEADER: HeaderName = HeaderName::from_static("sedgepath-forward-given-up");

/// The outcome of a response that came from an upstream.
const FROM_UPSTREAM: &str = "upstream";

/// The outcome of a response of the other VM itself to a request that may have run.
const FROM_VM: &str = "vm";

/// The outcome of a request that didn't run; the reason and the time to come back follow.
const NOT_RUN: &str = "not_run";

/// The reason of a VM that doesn't believe that another VM sent the request.
const NOT_ACCEPTED: &str = "not_accepted";

/// Who made a response, an extension of the responses that a VM makes itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OwnResponse {
    /// The request didn't run.
    Rejected(Rejection),
    /// The request may have run; tells how it was given up if it was sent.
    GivenUp(Option<GivenUp>),
}

/// Who made the response to a forwarded request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Responder {
    /// An upstream.
    Upstream,
    /// The other VM itself, with how it has given the request up if it tells.
    Vm(Option<GivenUp>),
}

/// Where the response to a forwarded request came from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Forwarded {
    /// The other VM's address for messages between VMs.
    pub peer_address: SocketAddr,
    /// Who made the response.
    pub responder: Responder,
}

/// How a forwarding ended.
#[derive(Debug)]
pub struct ForwardResult {
    /// The outcome, as the request records it.
    pub outcome: ForwardOutcome,
    /// The response to pass on, and where it came from.
    pub response: Option<(Response<Body>, Forwarded)>,
}

impl ForwardResult {
    fn without_response(outcome: ForwardOutcome) -> Self {
        Self { outcome, response: None }
    }

    fn unsent() -> Self {
        Self::without_response(ForwardOutcome::NotRun { rejection: None })
    }
}

/// What another VM tells of a request that it forwards.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ForwardedHead {
    /// The caller's address.
    pub caller: IpAddr,
    /// The state of the request.
    pub request: ForwardedRequest,
}

impl ForwardedHead {
    fn to_text(self) -> String {
        let ForwardedRequest { delivered, possible_runs, is_probe } = self.request;
        format!("{} {delivered} {possible_runs} {}", self.caller, u8::from(is_probe))
    }

    fn parse(text: &str) -> Option<Self> {
        let mut words = text.split(' ');
        let caller = words.next()?.parse().ok()?;
        let mut number = || words.next()?.parse::<u32>().ok();
        let (delivered, possible_runs, is_probe) = (number()?, number()?, number()? == 1);
        Some(Self { caller, request: ForwardedRequest { delivered, possible_runs, is_probe } })
    }
}

/// Sends a request to another VM and waits for its response until the deadline.
pub async fn forward(
    shared: &SharedState,
    deadline_at_ms: u64,
    forwarding: &Forwarding,
    head: &RequestHead,
    body: Body,
) -> ForwardResult {
    let started_at_ms = clock::now_ms();
    let result = exchange(shared, deadline_at_ms, forwarding, head, body).await;
    shared.metrics.count_forwarding(result.outcome);
    log::info!(
        target: super::logging::ROUTINE_TARGET,
        "event=forwarded request={} to={} outcome={} took_ms={}",
        head.attempt_id,
        forwarding.peer_address,
        result.outcome.name(),
        clock::now_ms().saturating_sub(started_at_ms),
    );
    result
}

async fn exchange(
    shared: &SharedState,
    deadline_at_ms: u64,
    forwarding: &Forwarding,
    head: &RequestHead,
    body: Body,
) -> ForwardResult {
    let deadline = clock::instant_at(deadline_at_ms);
    let address = forwarding.peer_address;
    let mut request = Request::from_parts(head.parts.clone(), body);
    loop {
        let idle = shared.peer_connections.take_idle(address);
        let fresh = idle.is_none();
        let connection = if idle.is_some() {
            idle
        } else {
            let left_ms = deadline_at_ms.saturating_sub(clock::now_ms());
            let limit = CONNECT_TIMEOUT.min(Duration::from_millis(left_ms));
            shared.peer_connections.open(address, limit).await.ok()
        };
        let Some(mut connection) = connection else {
            return ForwardResult::unsent();
        };
        let forwarded =
            ForwardedHead { caller: head.caller, request: forwarding.request }.to_text();
        let left_ms = deadline_at_ms.saturating_sub(clock::now_ms());
        headers::prepare_peer_headers(request.headers_mut(), left_ms);
        if let Ok(value) = HeaderValue::from_str(&forwarded) {
            request.headers_mut().insert(FORWARDED_HEADER, value);
        }
        ForwardExchange::new(address, &forwarded).prove_request(shared, &mut request);
        connection.set_unacknowledged_timeout(unacknowledged_timeout(request.body(), left_ms));
        match timeout_at(deadline, connection.try_send_request(request)).await {
            Ok(Ok(response)) => {
                return receive_response(
                    shared,
                    deadline_at_ms,
                    forwarding,
                    head,
                    response,
                    connection,
                )
                .await;
            }
            Ok(Err(mut error)) => match error.take_message() {
                Some(unsent) if !fresh => request = unsent,
                Some(_unsent) => return ForwardResult::unsent(),
                None => return ForwardResult::without_response(ForwardOutcome::Failed),
            },
            Err(_elapsed) => return ForwardResult::without_response(ForwardOutcome::TimedOut),
        }
    }
}

async fn receive_response(
    shared: &SharedState,
    deadline_at_ms: u64,
    forwarding: &Forwarding,
    head: &RequestHead,
    response: Response<Incoming>,
    connection: Connection,
) -> ForwardResult {
    let parsed = ResponseHeaders::parse(response.status(), response.headers(), &head.attempt_id);
    let (mut parts, mut incoming) = response.into_parts();
    let outcome = parts.headers.remove(OUTCOME_HEADER);
    let outcome = outcome.as_ref().and_then(|value| value.to_str().ok()).unwrap_or_default();
    let given_up = parts.headers.remove(GIVEN_UP_HEADER);
    let given_up = given_up.as_ref().and_then(|value| GivenUp::parse(value.to_str().ok()?));
    let responder = match outcome.split_once(' ') {
        None if outcome == FROM_UPSTREAM => Responder::Upstream,
        None if outcome == FROM_VM => Responder::Vm(given_up),
        Some((NOT_RUN, rejection)) => {
            let rejection = parse_rejection(rejection);
            return ForwardResult::without_response(ForwardOutcome::NotRun { rejection });
        }
        _ => return ForwardResult::without_response(ForwardOutcome::Failed),
    };
    if responder == Responder::Upstream && parsed.kind != ResponseKind::Matching {
        return ForwardResult::without_response(ForwardOutcome::Failed);
    }
    let deadline = clock::instant_at(deadline_at_ms);
    let body = match timeout_at(deadline, buffer_body(shared, &mut incoming, &connection)).await {
        Ok(Ok(BufferedBody::Complete(bytes))) => {
            shared.load.borrow_mut().record_body(bytes.len() as u64, clock::now_ms());
            connection.record_complete();
            if !parsed.closes_connection {
                shared.peer_connections.release(forwarding.peer_address, connection, None);
            }
            bytes_body(bytes)
        }
        Ok(Ok(BufferedBody::Partial(prefix))) => {
            shared.load.borrow_mut().record_body(prefix.len() as u64, clock::now_ms());
            PartlyBufferedBody::new(prefix, incoming, connection, deadline_at_ms).boxed()
        }
        Ok(Err(_broken)) => return ForwardResult::without_response(ForwardOutcome::Failed),
        Err(_elapsed) => return ForwardResult::without_response(ForwardOutcome::TimedOut),
    };
    ForwardResult {
        outcome: ForwardOutcome::Answered,
        response: Some((
            build_response(parts, body),
            Forwarded { peer_address: forwarding.peer_address, responder },
        )),
    }
}

/// Parses another VM's rejection; `None` if it holds for that VM only.
fn parse_rejection(text: &str) -> Option<Rejection> {
    let (reason, retry_after_ms) = text.split_once(' ')?;
    let reason = RejectionReason::from_name(reason).filter(|reason| !reason.is_of_one_vm())?;
    Some(Rejection { reason, retry_after_ms: retry_after_ms.parse().ok()? })
}

/// Serves a request that another VM has forwarded.
pub async fn serve(shared: Rc<SharedState>, mut request: Request<Incoming>) -> Response<Body> {
    let value = request.headers_mut().remove(FORWARDED_HEADER);
    let text = value.as_ref().and_then(|value| value.to_str().ok()).unwrap_or_default();
    let forwarded = ForwardedHead::parse(text);
    let accepted = ForwardExchange::accept(&shared, text, &mut request).is_ok();
    let Some(forwarded) = forwarded.filter(|_| accepted) else {
        let mut response = Response::new(bytes_body(Bytes::new()));
        *response.status_mut() = StatusCode::FORBIDDEN;
        set_header(&mut response, OUTCOME_HEADER, &format!("{NOT_RUN} {NOT_ACCEPTED} 0"));
        return response;
    };
    let mut response = ingress::handle_forwarded(shared, request, forwarded).await;
    let outcome = match response.extensions_mut().remove::<OwnResponse>() {
        Some(OwnResponse::Rejected(Rejection { reason, retry_after_ms })) => {
            format!("{NOT_RUN} {} {retry_after_ms}", reason.name())
        }
        Some(OwnResponse::GivenUp(given_up)) => {
            if let Some(given_up) = given_up {
                set_header(&mut response, GIVEN_UP_HEADER, &given_up.to_text());
            }
            FROM_VM.into()
        }
        None => FROM_UPSTREAM.into(),
    };
    set_header(&mut response, OUTCOME_HEADER, &outcome);
    response
}

fn set_header(response: &mut Response<Body>, name: HeaderName, text: &str) {
    if let Ok(value) = HeaderValue::from_str(text) {
        response.headers_mut().insert(name, value);
    }
}

/// Returns whether a request on the listener for messages between VMs was forwarded by another VM.
pub fn is_forwarded(headers: &http::HeaderMap) -> bool {
    headers.contains_key(FORWARDED_HEADER)
}
