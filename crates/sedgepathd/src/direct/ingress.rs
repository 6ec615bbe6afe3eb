//! Callers' connections and their requests.

use std::convert::Infallible;
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

use hyper::body::{Body as _, Incoming};
use hyper::header::{CONNECTION, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode, http};
use hyper_util::rt::{TokioIo, TokioTimer};
use sedgepath_adapter::headers::RequestHeaders;
use sedgepath_core::direct::attempts::{ForwardedRequest, RejectionReason, RequestState};
use sedgepath_core::direct::fingerprint::{RequestFingerprints, RequestIdentity};
use sedgepath_core::direct::steering::{IncomingRequest, Rejection};
use sedgepath_wire::tcp;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::time::timeout_at;

use super::attempt::RequestHead;
use super::clock;
use super::connection_pool::Body;
use super::control_server::ACCEPT_PAUSE;
use super::forwarding::ForwardedHead;
use super::give_up::end_unsent;
use super::in_flight_request::InFlightRequest;
use super::pipelining::pipeline::Pipeline;
use super::pipelining::reader::PipelinedStream;
use super::request_body::{BodyRead, BodyReadError, RequestBody, read_body};
use super::response_body::CountedBody;
use super::responses::{RejectedRequest, reject, status_response};
use super::shared::{SharedState, StopPhase};
use super::{quarantine, quotas, request_run};
use crate::caller_connection::serve_until_stopped;
use crate::open_count::UnwrittenResponses;

/// File descriptors reserved for files and for connections to upstreams and to the store.
const RESERVED_FILE_DESCRIPTORS: usize = 1_200;

/// The most requests in flight; bounds memory and latency under overload. Each takes some ten kilobytes,
/// and a VM with a fifth of a core serves a few hundred a second.
pub const MAX_CONCURRENT_REQUESTS: usize = 1_000;

/// The `Retry-After` of a VM with too many requests, in milliseconds.
const OVERLOAD_RETRY_AFTER_MS: u64 = 500;

/// The rejection of a VM with too many requests.
const OVERLOADED: Rejection =
    Rejection { reason: RejectionReason::Overloaded, retry_after_ms: OVERLOAD_RETRY_AFTER_MS };

/// The rejection of a request whose time limit passed while it waited for its turn.
const EXPIRED: Rejection =
    Rejection { reason: RejectionReason::DeadlineExceeded, retry_after_ms: 0 };

/// The rejection of a request that arrives too late for a planned stop, or hasn't been sent when that ends the
/// requests in flight.
const STOPPING: Rejection = Rejection { reason: RejectionReason::Stopping, retry_after_ms: 0 };

/// The share of its capacity up to which a VM serves requests that others forward.
const MAX_UTILIZATION_FORWARDED: f64 = 0.7;

/// The same for requests of the highest priority.
const MAX_UTILIZATION_FORWARDED_URGENT: f64 = 0.9;

/// The idle timeout of a connection before a configuration is known, in milliseconds.
const DEFAULT_IDLE_TIMEOUT_MS: u64 = 15_000;

/// The shortest time for which a caller may leave bytes unread or unacknowledged, in milliseconds: a lost
/// packet is sent again meanwhile.
const MIN_UNREAD_TIMEOUT_MS: u64 = 2_500;

/// The longest such time, in milliseconds; the system accepts no idle timeout of any length.
const MAX_UNREAD_TIMEOUT_MS: u64 = 60_000;

/// The largest request head before a configuration is known, in bytes.
const DEFAULT_MAX_HEADER_BYTES: usize = 16 * 1024;

/// The smallest buffer that hyper accepts, in bytes.
const MIN_HYPER_BUFFER_BYTES: usize = 8 * 1024;

/// Accepts callers' connections until the VM closes them for its planned stop. Connections over the limit
/// are closed.
pub async fn serve(shared: Rc<SharedState>, listener: TcpListener) {
    let max_connections = shared
        .settings
        .resource_limits
        .max_file_descriptors
        .saturating_sub(RESERVED_FILE_DESCRIPTORS)
        .max(64);
    let mut stop = shared.stop_phase.subscribe();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = stop.wait_for(|phase| *phase >= StopPhase::Closing) => break,
        };
        match accepted {
            Ok((stream, caller)) => start_connection(&shared, stream, caller, max_connections),
            // Usually out of file descriptors, which closing connections free.
            Err(_) => tokio::time::sleep(ACCEPT_PAUSE).await,
        }
    }
    // Connections that the system has established would be reset with the listener.
    let Ok(listener) = listener.into_std() else { return };
    while let Ok((stream, caller)) = listener.accept() {
        if stream.set_nonblocking(true).is_ok()
            && let Ok(stream) = TcpStream::from_std(stream)
        {
            start_connection(&shared, stream, caller, max_connections);
        }
    }
}

/// Serves a connection in a task of its own; closes it if there are too many.
fn start_connection(
    shared: &Rc<SharedState>,
    stream: TcpStream,
    caller: SocketAddr,
    max_connections: usize,
) {
    if shared.open_connections.get() >= max_connections {
        return;
    }
    shared.open_connections.set(shared.open_connections.get() + 1);
    let shared = Rc::clone(shared);
    tokio::task::spawn_local(async move {
        serve_connection(&shared, stream, caller.ip()).await;
        shared.open_connections.set(shared.open_connections.get() - 1);
    });
}

async fn serve_connection(shared: &Rc<SharedState>, stream: TcpStream, caller: IpAddr) {
    let limits = shared.steering.borrow().configuration().map(|in_force| in_force.limits);
    let idle_ms = limits.map_or(DEFAULT_IDLE_TIMEOUT_MS, |limits| limits.idle_timeout_ms);
    // Callers may read slowly, and with pauses.
    let unread_ms = idle_ms.clamp(MIN_UNREAD_TIMEOUT_MS, MAX_UNREAD_TIMEOUT_MS);
    if tcp::detect_dead_peer(&stream, Duration::from_millis(unread_ms)).is_err() {
        return;
    }
    let header_bytes = limits.map_or(DEFAULT_MAX_HEADER_BYTES, |limits| limits.max_header_bytes);
    let request_arrived = Notify::new();
    let buffer_bytes = header_bytes.max(MIN_HYPER_BUFFER_BYTES) + MIN_HYPER_BUFFER_BYTES;
    let pipeline = Pipeline::new(shared, caller, buffer_bytes);
    let service = service_fn(|request| {
        request_arrived.notify_one();
        let turn = pipeline.begin_turn(&request);
        let pipeline = Rc::clone(&pipeline);
        async move { Ok::<_, Infallible>(pipeline.respond(turn, request).await) }
    });
    let stream = PipelinedStream::new(stream, Rc::clone(&pipeline));
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(Duration::from_millis(idle_ms))
        .max_buf_size(buffer_bytes)
        .serve_connection(TokioIo::new(stream), service);
    let stopping = async {
        shared.wait_for_stop_phase(StopPhase::Closing).await;
        pipeline.wait_until_drained().await;
    };
    if let Err(error) = serve_until_stopped(connection, &request_arrived, stopping).await {
        log::debug!("event=caller_connection_failed error={:?}", error.to_string());
    }
}

/// Who sent a request to this VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestSource {
    /// A caller at an address.
    Caller(IpAddr),
    /// Another VM, to which a caller has sent it.
    Vm(ForwardedHead),
}

impl RequestSource {
    fn caller(self) -> IpAddr {
        match self {
            Self::Caller(caller) => caller,
            Self::Vm(forwarded) => forwarded.caller,
        }
    }

    fn forwarded(self) -> Option<ForwardedRequest> {
        match self {
            Self::Caller(_) => None,
            Self::Vm(forwarded) => Some(forwarded.request),
        }
    }
}

/// Where a request came from, and when.
#[derive(Debug, Clone, Copy)]
pub struct RequestArrival {
    /// Who sent it to this VM.
    pub source: RequestSource,
    /// When its head was complete, in milliseconds. Its time limit counts from then.
    pub at_ms: u64,
    /// Whether it was started before its turn, without a response that can be used.
    pub was_started_early: bool,
}

/// Handles a request that another VM has forwarded. While this VM stops, the connection ends with the
/// response.
pub async fn handle_forwarded(
    shared: Rc<SharedState>,
    request: Request<Incoming>,
    forwarded: ForwardedHead,
) -> Response<Body> {
    let arrival = RequestArrival {
        source: RequestSource::Vm(forwarded),
        at_ms: clock::now_ms(),
        was_started_early: false,
    };
    let (mut parts, incoming) = request.into_parts();
    let unwritten = parts.extensions.remove::<UnwrittenResponses>().unwrap_or_default();
    let mut response = handle_arrived(&shared, parts, Some(incoming), arrival).await;
    if *shared.stop_phase.borrow() >= StopPhase::Leaving {
        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    let guard = shared.forwarded_responses.open();
    response.map(|body| CountedBody::new(body, guard, unwritten).boxed())
}

/// Handles a request and counts it as in flight until its response is ready.
pub async fn handle_arrived(
    shared: &Rc<SharedState>,
    parts: http::request::Parts,
    incoming: Option<Incoming>,
    arrival: RequestArrival,
) -> Response<Body> {
    shared.in_flight_requests.set(shared.in_flight_requests.get() + 1);
    let _guard = InFlightGuard(Rc::clone(shared));
    handle_request(shared, parts, incoming, arrival).await
}

/// Counts a request as in flight until its response is ready or its caller disconnects.
#[derive(Debug)]
struct InFlightGuard(Rc<SharedState>);

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.0.in_flight_requests.set(self.0.in_flight_requests.get() - 1);
    }
}

async fn handle_request(
    shared: &Rc<SharedState>,
    parts: http::request::Parts,
    incoming: Option<Incoming>,
    arrival: RequestArrival,
) -> Response<Body> {
    let RequestArrival { source, at_ms: arrived_at_ms, was_started_early } = arrival;
    let now_ms = clock::now_ms();
    shared.load.borrow_mut().record_request(now_ms);
    let headers = RequestHeaders::parse(&parts.headers, &parts.uri);
    let attempt_id: Box<str> = headers.attempt_id.into();
    if shared.in_flight_requests.get() > MAX_CONCURRENT_REQUESTS {
        return reject(shared, &attempt_id, RejectedRequest::Unknown, OVERLOADED);
    }
    let incoming_request = IncomingRequest {
        host: headers.host,
        path: parts.uri.path(),
        time_left_ms: headers.time_left_ms,
        object: headers.object,
        caller: Some(source.caller()),
        credential: headers.account_credential,
        forwarded: source.forwarded(),
    };
    shared.wait_for_start().await;
    let result = shared.steering.borrow_mut().begin_request(incoming_request, now_ms);
    let state = match result {
        Ok(state) => state.with_arrival(arrived_at_ms).with_early_start(was_started_early),
        Err(rejection) => {
            let account = shared.steering.borrow().account_name(incoming_request.credential);
            let request =
                account.as_deref().map_or(RejectedRequest::Unknown, RejectedRequest::OfAccount);
            return reject(shared, &attempt_id, request, rejection);
        }
    };
    let mut request = InFlightRequest {
        shared: Rc::clone(shared),
        attempt_id,
        state,
        last_sent_at_ms: None,
        is_answered: false,
    };
    let response = match rejection_on_arrival(&request.state, shared, now_ms) {
        Some(rejection) => end_unsent(&request, rejection),
        None => serve_request(&mut request, parts, incoming, source.caller()).await,
    };
    request.is_answered = true;
    response
}

/// Returns why a request is rejected before its body is read, if it is.
fn rejection_on_arrival(
    state: &RequestState,
    shared: &SharedState,
    now_ms: u64,
) -> Option<Rejection> {
    if state.deadline_at_ms <= now_ms {
        return Some(EXPIRED);
    }
    if shared.steering.borrow_mut().stop_rejects(state, now_ms) {
        return Some(STOPPING);
    }
    let has_room = !state.is_forwarded || has_room_for_forwarded(shared, state.priority());
    (!has_room).then_some(OVERLOADED)
}

/// Prepares an accepted request and sends it to upstreams.
async fn serve_request(
    request: &mut InFlightRequest,
    parts: http::request::Parts,
    incoming: Option<Incoming>,
    caller: IpAddr,
) -> Response<Body> {
    let shared = Rc::clone(&request.shared);
    let has_known_length = incoming.as_ref().is_none_or(|body| body.size_hint().exact().is_some());
    let prepared = tokio::select! {
        biased;
        prepared = prepare_request(request, parts, incoming, caller) => Some(prepared),
        () = shared.wait_for_stop_phase(StopPhase::EndingRequests) => None,
    };
    match prepared {
        Some(Ok((head, mut body))) => {
            let mut response = request_run::run(request, &head, &mut body).await;
            if !has_known_length && matches!(body, RequestBody::Buffered(_)) {
                response.extensions_mut().insert(BodyRead);
            }
            response
        }
        Some(Err(response)) => response,
        None => {
            request.return_quota_token();
            end_unsent(request, STOPPING)
        }
    }
}

/// Reads the body of a request and waits until its account may send it. Nothing is sent meanwhile.
///
/// # Errors
///
/// Returns the response if the request can't be sent.
async fn prepare_request(
    request: &mut InFlightRequest,
    parts: http::request::Parts,
    incoming: Option<Incoming>,
    caller: IpAddr,
) -> Result<(RequestHead, RequestBody), Response<Body>> {
    let shared = Rc::clone(&request.shared);
    let attempt_id = request.attempt_id.clone();
    let deadline = clock::instant_at(request.state.deadline_at_ms);
    let declared_bytes = incoming.as_ref().map_or(Some(0), |body| body.size_hint().exact());
    let reading = read_body(&shared, incoming, max_body_bytes(&shared));
    let body = match timeout_at(deadline, reading).await {
        Ok(Ok(body)) => body,
        Ok(Err(BodyReadError::TooLarge)) => {
            return Err(status_response(StatusCode::PAYLOAD_TOO_LARGE, &attempt_id));
        }
        Ok(Err(BodyReadError::Aborted)) => {
            return Err(status_response(StatusCode::BAD_REQUEST, &attempt_id));
        }
        Err(_elapsed) => return Err(status_response(StatusCode::REQUEST_TIMEOUT, &attempt_id)),
    };
    let is_forwarded = request.state.is_forwarded;
    if !is_forwarded && let Err(rejection) = quotas::wait_for_token(request).await {
        return Err(end_unsent(request, rejection));
    }
    let account = request.state.account.as_ref().map(|(_, account)| account.name.clone());
    request.state.fingerprints =
        Some(fingerprints(&parts, caller, account.as_deref(), &body, declared_bytes));
    if !is_forwarded {
        quarantine::claim_probe(request).await;
    }
    let head = RequestHead::new(parts, attempt_id, account, caller);
    Ok((head, body))
}

fn fingerprints(
    parts: &http::request::Parts,
    caller: IpAddr,
    account: Option<&str>,
    body: &RequestBody,
    declared_bytes: Option<u64>,
) -> RequestFingerprints {
    let headers = RequestHeaders::parse(&parts.headers, &parts.uri);
    RequestFingerprints::of(&RequestIdentity {
        account,
        credentials: headers.credentials,
        caller,
        method: parts.method.as_str(),
        host: headers.host,
        target: parts.uri.path_and_query().map_or("", http::uri::PathAndQuery::as_str),
        body: body.beginning(),
        body_bytes: declared_bytes.or_else(|| body.buffered_bytes()),
    })
}

fn has_room_for_forwarded(shared: &SharedState, priority: u32) -> bool {
    let max =
        if priority == 0 { MAX_UTILIZATION_FORWARDED_URGENT } else { MAX_UTILIZATION_FORWARDED };
    shared.load.borrow_mut().utilization_at(clock::now_ms()) < max
}

fn max_body_bytes(shared: &SharedState) -> u64 {
    let steering = shared.steering.borrow();
    steering.configuration().map_or(0, |in_force| in_force.limits.max_body_bytes)
}
