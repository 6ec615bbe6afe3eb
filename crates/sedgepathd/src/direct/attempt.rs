//! One attempt: a request sent to one upstream, and its response.

use std::io;
use std::net::IpAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::{Body as _, Incoming};
use hyper::header::{HOST, HeaderValue};
use hyper::{Request, Response, StatusCode, Version, http};
use sedgepath_adapter::headers::{self, ResponseHeaders, ResponseKind};
use sedgepath_core::direct::attempts::{Attempt, AttemptOutcome};
use sedgepath_core::direct::upstreams::UpstreamKey;
use tokio::time::timeout_at;

use super::clock;
use super::connection_pool::{Body, Connection, unacknowledged_timeout};
use super::response_body::{BufferedBody, PartlyBufferedBody, buffer_body};
use super::shared::SharedState;
use super::{reach_checks, statements};
use crate::http_connection::{discard_body, has_contradictory_framing};

/// Timeout of connecting to an upstream: three of the longest round trips between regions. It is
/// shorter than the retransmission of a lost packet, which takes a second; another upstream is
/// tried instead.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// The head of a request to be sent.
#[derive(Debug, Clone)]
pub struct RequestHead {
    /// The method, target and headers as the caller sent them.
    pub parts: http::request::Parts,
    /// The caller's attempt id.
    pub attempt_id: Box<str>,
    /// The name of the client account, if any.
    pub account: Option<Box<str>>,
    /// The caller's address.
    pub caller: IpAddr,
}

impl RequestHead {
    /// Creates the head of a request. It has this VM's version of HTTP, whichever its caller's is: a body
    /// without a length in the response to HTTP/1.0 may end with the connection, which doesn't tell a whole one.
    pub fn new(
        mut parts: http::request::Parts,
        attempt_id: Box<str>,
        account: Option<Box<str>>,
        caller: IpAddr,
    ) -> Self {
        if parts.version < Version::HTTP_11
            && !parts.headers.contains_key(HOST)
            && let Some(host) = parts.uri.authority()
            && let Ok(host) = HeaderValue::from_str(host.as_str())
        {
            parts.headers.insert(HOST, host);
        }
        parts.version = Version::HTTP_11;
        Self { parts, attempt_id, account, caller }
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
}

impl AttemptResult {
    fn without_response(outcome: AttemptOutcome) -> Self {
        Self { outcome, response: None }
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

/// Returns whether an upstream refuses connections while another one accepts them, which tells the end
/// of its process from the loss of a connection and from a VM that is cut off.
async fn refuses_connections(shared: &SharedState, attempt: &Attempt) -> bool {
    let check = shared.crash_checks.get(attempt.upstream);
    let refuses = check.get_or_init(|| async {
        match connect(shared, attempt, CONNECT_TIMEOUT).await {
            Ok(connection) => {
                shared.upstream_connections.release(attempt.upstream, connection, None);
                false
            }
            Err(error) if error.kind() == io::ErrorKind::ConnectionRefused => {
                reach_checks::another_upstream_accepts(shared, attempt.upstream).await
            }
            Err(_) => false,
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
        headers::prepare_upstream_headers(
            request.headers_mut(),
            &attempt.name,
            head.account.as_deref(),
            left_ms,
        );
        connection.set_unacknowledged_timeout(unacknowledged_timeout(request.body(), left_ms));
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
    let opened = connect(shared, attempt, CONNECT_TIMEOUT.min(left)).await.ok()?;
    let took_ms = clock::now_ms().saturating_sub(started_at_ms);
    shared.steering.borrow_mut().record_connect_time(attempt.upstream, took_ms);
    Some(opened)
}

/// Opens a connection, and counts how that ended.
async fn connect(
    shared: &SharedState,
    attempt: &Attempt,
    timeout: Duration,
) -> io::Result<Connection> {
    let started_at_ms = clock::now_ms();
    let opened = shared.upstream_connections.open(attempt.address, timeout).await;
    let result = opened.as_ref().map_or_else(io_error_name, |_connection| "opened");
    shared.metrics.count_connection(result);
    shared.steering.borrow_mut().record_connection(
        attempt.upstream,
        opened.is_ok(),
        clock::now_ms(),
    );
    if opened.is_ok() {
        shared.upstream_contact_at_ms.set(clock::now_ms());
    } else {
        shared.connection_failed.notify_one();
        log::info!(
            "event=connection_failed upstream={} error={result} took_ms={}",
            attempt.name,
            clock::now_ms().saturating_sub(started_at_ms),
        );
    }
    opened
}

/// Returns the name for logs and counters of why a connection couldn't be opened, or has ended.
pub fn io_error_name(error: &io::Error) -> &'static str {
    match error.kind() {
        io::ErrorKind::ConnectionRefused => "refused",
        io::ErrorKind::ConnectionReset => "reset",
        io::ErrorKind::TimedOut => "timed_out",
        _ => "other",
    }
}

async fn receive_response(
    shared: &SharedState,
    deadline_at_ms: u64,
    attempt: &Attempt,
    head: &RequestHead,
    response: Response<Incoming>,
    connection: Connection,
) -> AttemptResult {
    shared.upstream_contact_at_ms.set(clock::now_ms());
    let headers = ResponseHeaders::parse(response.status(), response.headers(), &head.attempt_id);
    if let Some(statements) = headers.statements {
        statements::record(shared, attempt, statements);
    }
    let (parts, mut incoming) = response.into_parts();
    let deadline = clock::instant_at(deadline_at_ms);
    let reusable = ReusableConnection { upstream: attempt.upstream, connection, headers };
    let is_contradictory = has_contradictory_framing(&parts.headers);
    match headers.kind {
        ResponseKind::Mismatched => return AttemptResult::without_response(AttemptOutcome::Failed),
        ResponseKind::Misdirected => {
            return AttemptResult::without_response(AttemptOutcome::Misdirected);
        }
        // The head alone proves that the request was not run.
        ResponseKind::NotRun => {
            if !is_contradictory && discard_body(incoming).await {
                reusable.release(shared);
            }
            let report = headers.load;
            return AttemptResult::without_response(AttemptOutcome::Refused { report });
        }
        ResponseKind::Matching if is_contradictory && !incoming.is_end_stream() => {
            return AttemptResult::without_response(AttemptOutcome::Failed);
        }
        ResponseKind::Matching => {}
    }
    match timeout_at(deadline, buffer_body(shared, &mut incoming, &reusable.connection)).await {
        Err(_elapsed) => AttemptResult::without_response(AttemptOutcome::TimedOut),
        Ok(Err(_broken)) => AttemptResult::without_response(AttemptOutcome::Failed),
        Ok(Ok(BufferedBody::Complete(bytes))) => {
            reusable.release(shared);
            let outcome = response_outcome(parts.status, headers, bytes.len() as u64);
            let response = Some(build_response(parts, bytes_body(bytes)));
            AttemptResult { outcome, response }
        }
        Ok(Ok(BufferedBody::Partial(prefix))) => {
            let outcome = response_outcome(parts.status, headers, prefix.len() as u64);
            let body =
                PartlyBufferedBody::new(prefix, incoming, reusable.connection, deadline_at_ms)
                    .with_upstream(attempt.upstream, Arc::clone(&shared.body_ends));
            let response = Some(build_response(parts, body.boxed()));
            AttemptResult { outcome, response }
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

/// Returns a response of an upstream, or of another VM, for the caller.
pub fn build_response(mut parts: http::response::Parts, body: Body) -> Response<Body> {
    // A body without a length is sent in chunks, as the end of the connection doesn't tell a whole one.
    parts.version = Version::HTTP_11;
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
        self.connection.record_complete();
        if !self.headers.closes_connection {
            shared.upstream_connections.release(
                self.upstream,
                self.connection,
                self.headers.keep_alive_ms,
            );
        }
    }
}
