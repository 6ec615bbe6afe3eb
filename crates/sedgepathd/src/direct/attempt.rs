//! One attempt: a request sent to one upstream, and its response.

use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, Full};
use hyper::body::{Body as _, Frame, Incoming, SizeHint};
use hyper::{Request, Response, StatusCode, http};
use sedgepath_adapter::headers::{self, ResponseHeaders, ResponseKind, StatedRateLimit};
use sedgepath_core::direct::attempts::{Attempt, AttemptOutcome, NextStep, RequestState};
use sedgepath_core::direct::upstreams::UpstreamKey;
use tokio::time::timeout_at;

use super::clock;
use super::connection_pool::{Body, Connection};
use super::logging::ROUTINE_TARGET;
use super::shared::SharedState;

/// Timeout of connecting to an upstream: three of the longest round trips between regions. It is
/// shorter than the retransmission of a lost packet, which takes a second; another upstream is
/// tried instead.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// The minimum time between checks whether a request needs a hedge, in milliseconds.
const HEDGE_CHECK_INTERVAL_MS: u64 = 100;

/// Responses up to this size are buffered completely before the caller gets the first byte, so that
/// a truncated one can be replaced by another upstream's.
const MAX_BUFFERED_RESPONSE_BYTES: usize = 1024 * 1024;

/// The head of a request to be sent.
#[derive(Debug, Clone)]
pub struct RequestHead {
    /// The method, target and headers as the caller sent them.
    pub parts: http::request::Parts,
    /// The caller's attempt id.
    pub attempt_id: Box<str>,
}

/// The body of a request to be sent.
#[derive(Debug)]
pub enum RequestBody {
    /// Complete; can be sent again.
    Buffered(Bytes),
    /// Partly read; can be sent once.
    Streamed {
        /// The first bytes, which the request's fingerprint covers.
        beginning: Bytes,
        /// The whole body; `None` after it was sent.
        body: Option<Body>,
    },
}

impl RequestBody {
    /// Returns whether the body was streamed to an upstream and can't be sent again.
    pub fn is_spent(&self) -> bool {
        matches!(self, Self::Streamed { body: None, .. })
    }

    /// Returns the body for an attempt; `None` if it was streamed in an earlier one.
    pub fn take(&mut self) -> Option<Body> {
        match self {
            Self::Buffered(bytes) => Some(bytes_body(bytes.clone())),
            Self::Streamed { body, .. } => body.take(),
        }
    }

    /// Returns the body, or the beginning of a streamed one.
    pub fn beginning(&self) -> &[u8] {
        match self {
            Self::Buffered(bytes) => bytes,
            Self::Streamed { beginning, .. } => beginning,
        }
    }

    /// Returns the length of the body in bytes, if it is in memory.
    pub fn buffered_bytes(&self) -> Option<u64> {
        match self {
            Self::Buffered(bytes) => Some(bytes.len() as u64),
            Self::Streamed { .. } => None,
        }
    }
}

/// Returns a body of bytes in memory.
pub fn bytes_body(bytes: Bytes) -> Body {
    Full::new(bytes).map_err(|never| match never {}).boxed_unsync()
}

/// How an attempt ended.
#[derive(Debug)]
pub struct AttemptResult {
    /// The outcome, as the steering state records it.
    pub outcome: AttemptOutcome,
    /// The response to pass on, if any.
    pub response: Option<Response<Body>>,
    /// What the upstream's response states of its rate limit; `None` if that is unknown.
    pub rate_limit: Option<StatedRateLimit>,
}

impl AttemptResult {
    fn without_response(outcome: AttemptOutcome) -> Self {
        Self { outcome, response: None, rate_limit: None }
    }
}

/// A request in flight, whose remaining attempts are canceled when it is dropped.
///
/// The task of a request is dropped when its caller disconnects; without the cancellation its
/// upstreams would be counted as busy forever.
#[derive(Debug)]
pub struct InFlightRequest {
    /// The state that all tasks share.
    pub shared: Rc<SharedState>,
    /// The request's route, deadline and attempts.
    pub state: RequestState,
}

impl Drop for InFlightRequest {
    fn drop(&mut self) {
        let mut steering = self.shared.steering.borrow_mut();
        steering.cancel_request(&mut self.state, clock::now_ms());
    }
}

impl InFlightRequest {
    /// Records the outcome of the attempt at an upstream.
    pub fn record_outcome(&mut self, upstream: UpstreamKey, outcome: AttemptOutcome) {
        let mut steering = self.shared.steering.borrow_mut();
        steering.record_outcome(&mut self.state, upstream, outcome, clock::now_ms());
        if steering.reports_mut().due_at_ms().is_some() {
            self.shared.reports_queued.notify_one();
        }
    }

    /// Records what the response of an attempt states of its upstream's rate limit.
    pub fn record_rate_limit(&mut self, attempt: &Attempt, stated: StatedRateLimit) {
        let stated_per_s = match stated {
            StatedRateLimit::None => None,
            StatedRateLimit::PerSecond(per_s) => Some(per_s),
            StatedRateLimit::Invalid => {
                log::warn!(
                    target: ROUTINE_TARGET,
                    "event=upstream_limit_unreadable upstream={}",
                    attempt.name,
                );
                return;
            }
        };
        let mut steering = self.shared.steering.borrow_mut();
        let now_ms = clock::now_ms();
        if steering.record_rate_limit(&self.state, attempt.upstream, stated_per_s, now_ms) {
            let per_s = stated_per_s.map_or_else(|| "none".into(), |per_s| per_s.to_string());
            log::info!("event=upstream_limit upstream={} per_s={per_s}", attempt.name);
        }
    }

    /// Decides whether to send, reject or give up the request.
    pub fn next_step(&mut self) -> NextStep {
        let mut steering = self.shared.steering.borrow_mut();
        steering.next_step(&mut self.state, fastrand::u64(..), clock::now_ms())
    }

    /// Waits until the request needs a hedge and returns its attempt. Stays pending if none can be
    /// sent.
    pub async fn wait_for_hedge(&mut self) -> Attempt {
        loop {
            let at_ms = self.shared.steering.borrow().hedge_at_ms(&self.state);
            let Some(at_ms) = at_ms else {
                return std::future::pending().await;
            };
            let at_ms = at_ms.max(clock::now_ms() + HEDGE_CHECK_INTERVAL_MS);
            tokio::time::sleep_until(clock::instant_at(at_ms)).await;
            let mut steering = self.shared.steering.borrow_mut();
            let now_ms = clock::now_ms();
            if let Some(attempt) = steering.hedge(&mut self.state, fastrand::u64(..), now_ms) {
                return attempt;
            }
        }
    }
}

/// Sends a request to an upstream and waits for the response until the deadline.
pub async fn send_attempt(
    shared: &SharedState,
    deadline_at_ms: u64,
    attempt: &Attempt,
    head: &RequestHead,
    body: Body,
) -> AttemptResult {
    let mut result = exchange(shared, deadline_at_ms, attempt, head, body).await;
    if result.outcome == AttemptOutcome::Failed && refuses_connections(shared, attempt).await {
        result.outcome = AttemptOutcome::Crashed;
    }
    result
}

/// Returns whether an upstream refuses connections, which tells the end of its process from the loss
/// of a connection.
async fn refuses_connections(shared: &SharedState, attempt: &Attempt) -> bool {
    let check = shared.crash_checks.get(attempt.upstream);
    let refuses = check.get_or_init(|| async {
        match shared.upstream_connections.open(attempt.address, CONNECT_TIMEOUT).await {
            Ok(connection) => {
                shared.upstream_connections.release(attempt.upstream, connection, None);
                false
            }
            Err(error) => error.kind() == io::ErrorKind::ConnectionRefused,
        }
    });
    let refuses = *refuses.await;
    shared.crash_checks.remove(attempt.upstream);
    refuses
}

async fn exchange(
    shared: &SharedState,
    deadline_at_ms: u64,
    attempt: &Attempt,
    head: &RequestHead,
    body: Body,
) -> AttemptResult {
    let deadline = clock::instant_at(deadline_at_ms);
    let mut request = Request::from_parts(head.parts.clone(), body);
    loop {
        let (mut connection, fresh) = match shared.upstream_connections.take_idle(attempt.upstream)
        {
            Some(connection) => (connection, false),
            None => match open_connection(shared, attempt, deadline_at_ms).await {
                Some(connection) => (connection, true),
                None => return AttemptResult::without_response(AttemptOutcome::Unreachable),
            },
        };
        let left_ms = deadline_at_ms.saturating_sub(clock::now_ms());
        headers::prepare_upstream_headers(request.headers_mut(), &attempt.name, left_ms);
        match timeout_at(deadline, connection.try_send_request(request)).await {
            Ok(Ok(response)) => {
                return receive_response(
                    shared,
                    deadline_at_ms,
                    attempt,
                    head,
                    response,
                    connection,
                )
                .await;
            }
            Ok(Err(mut error)) => match error.take_message() {
                // The upstream had closed the idle connection; nothing was sent.
                Some(unsent) if !fresh => request = unsent,
                Some(_unsent) => {
                    return AttemptResult::without_response(AttemptOutcome::Unreachable);
                }
                None => return AttemptResult::without_response(AttemptOutcome::Failed),
            },
            Err(_elapsed) => return AttemptResult::without_response(AttemptOutcome::TimedOut),
        }
    }
}

async fn open_connection(
    shared: &SharedState,
    attempt: &Attempt,
    deadline_at_ms: u64,
) -> Option<Connection> {
    let started_at_ms = clock::now_ms();
    let left = Duration::from_millis(deadline_at_ms.saturating_sub(started_at_ms));
    let opened =
        shared.upstream_connections.open(attempt.address, CONNECT_TIMEOUT.min(left)).await.ok()?;
    let took_ms = clock::now_ms().saturating_sub(started_at_ms);
    shared.steering.borrow_mut().record_connect_time(attempt.upstream, took_ms);
    Some(opened)
}

async fn receive_response(
    shared: &SharedState,
    deadline_at_ms: u64,
    attempt: &Attempt,
    head: &RequestHead,
    response: Response<Incoming>,
    connection: Connection,
) -> AttemptResult {
    let headers = ResponseHeaders::parse(response.status(), response.headers(), &head.attempt_id);
    let (parts, mut incoming) = response.into_parts();
    let deadline = clock::instant_at(deadline_at_ms);
    let buffered = match headers.kind {
        ResponseKind::Mismatched => return AttemptResult::without_response(AttemptOutcome::Failed),
        ResponseKind::Matching | ResponseKind::NotRun | ResponseKind::Misdirected => {
            match timeout_at(deadline, buffer_body(shared, &mut incoming)).await {
                Ok(Ok(buffered)) => buffered,
                Ok(Err(_broken)) if headers.kind == ResponseKind::Matching => {
                    return AttemptResult::without_response(AttemptOutcome::Failed);
                }
                Err(_elapsed) if headers.kind == ResponseKind::Matching => {
                    return AttemptResult::without_response(AttemptOutcome::TimedOut);
                }
                // The head alone proves that the request was not run.
                Ok(Err(_)) | Err(_) => BufferedBody::Complete(Bytes::new()),
            }
        }
    };
    let report = headers.load;
    let reusable = ReusableConnection { upstream: attempt.upstream, connection, headers };
    match (headers.kind, buffered) {
        (ResponseKind::NotRun, _) => {
            reusable.release(shared);
            let rate_limit = match headers.rate_limit {
                StatedRateLimit::None => None,
                stated => Some(stated),
            };
            let outcome = AttemptOutcome::Refused { report };
            AttemptResult { outcome, response: None, rate_limit }
        }
        (ResponseKind::Misdirected, _) => {
            AttemptResult::without_response(AttemptOutcome::Misdirected)
        }
        (_, BufferedBody::Complete(bytes)) => {
            reusable.release(shared);
            let outcome = response_outcome(parts.status, headers, bytes.len() as u64);
            let response = Some(build_response(parts, bytes_body(bytes)));
            AttemptResult { outcome, response, rate_limit: Some(headers.rate_limit) }
        }
        (_, BufferedBody::Partial(prefix)) => {
            let outcome = response_outcome(parts.status, headers, prefix.len() as u64);
            let body = PartlyBufferedBody {
                prefix: Some(prefix),
                rest: incoming,
                _connection: reusable.connection,
            };
            let response = Some(build_response(parts, body.boxed_unsync()));
            AttemptResult { outcome, response, rate_limit: Some(headers.rate_limit) }
        }
    }
}

fn response_outcome(
    status: StatusCode,
    headers: ResponseHeaders,
    body_bytes: u64,
) -> AttemptOutcome {
    AttemptOutcome::Answered { failed: status.is_server_error(), report: headers.load, body_bytes }
}

fn build_response(mut parts: http::response::Parts, body: Body) -> Response<Body> {
    headers::remove_hop_by_hop_headers(&mut parts.headers);
    Response::from_parts(parts, body)
}

/// A connection that can be reused after its response.
#[derive(Debug)]
struct ReusableConnection {
    upstream: UpstreamKey,
    connection: Connection,
    headers: ResponseHeaders,
}

impl ReusableConnection {
    fn release(self, shared: &SharedState) {
        if !self.headers.closes_connection {
            shared.upstream_connections.release(
                self.upstream,
                self.connection,
                self.headers.keep_alive_ms,
            );
        }
    }
}

/// What was buffered of a response body.
#[derive(Debug)]
enum BufferedBody {
    /// The complete body.
    Complete(Bytes),
    /// The beginning; the rest is still to be read.
    Partial(Bytes),
}

/// Buffers a body to its end, or up to the buffer limit.
async fn buffer_body(
    shared: &SharedState,
    incoming: &mut Incoming,
) -> Result<BufferedBody, hyper::Error> {
    let mut buffer = BytesMut::new();
    while let Some(frame) = incoming.frame().await {
        if let Ok(data) = frame?.into_data() {
            if buffer.is_empty() && incoming.is_end_stream() {
                return Ok(BufferedBody::Complete(data));
            }
            buffer.extend_from_slice(&data);
        }
        if buffer.len() >= shared.buffer_limit_bytes(MAX_BUFFERED_RESPONSE_BYTES) {
            return Ok(BufferedBody::Partial(buffer.freeze()));
        }
    }
    Ok(BufferedBody::Complete(buffer.freeze()))
}

/// A body whose beginning is buffered and whose rest is passed on as it arrives.
#[derive(Debug)]
struct PartlyBufferedBody {
    prefix: Option<Bytes>,
    rest: Incoming,
    /// Dropped with the body, since a connection can't be reused before its response has ended.
    _connection: Connection,
}

impl hyper::body::Body for PartlyBufferedBody {
    type Data = Bytes;
    type Error = super::connection_pool::BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Self::Error>>> {
        if let Some(prefix) = self.prefix.take() {
            return Poll::Ready(Some(Ok(Frame::data(prefix))));
        }
        Pin::new(&mut self.rest).poll_frame(cx).map_err(Into::into)
    }

    fn is_end_stream(&self) -> bool {
        self.prefix.is_none() && self.rest.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::default()
    }
}
