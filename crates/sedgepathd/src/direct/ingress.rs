//! Callers' connections and their requests.

use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use futures_util::StreamExt;
use futures_util::stream::{self, FuturesUnordered, Stream};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Body as _, Frame, Incoming};
use hyper::header::{CONNECTION, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use sedgepath_adapter::headers::RequestHeaders;
use sedgepath_core::direct::attempts::{AttemptOutcome, NextStep, RejectionReason};
use sedgepath_core::direct::steering::{IncomingRequest, Rejection};
use sedgepath_wire::tcp;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::timeout_at;

use super::answers::{gave_up, note, plain, refuse, served};
use super::clock;
use super::pool::Body;
use super::questions::ACCEPT_PAUSE;
use super::sending::{self, Flight, Head, RequestBody};
use super::shell::{Shell, StopPhase};

/// The descriptors kept free for files and for connections to upstreams and to the store.
const RESERVED_DESCRIPTORS: usize = 1_200;

/// Bodies of requests up to this size are read whole before the request is sent, so that it can be
/// sent again.
const MAX_HELD_BYTES: usize = 256 * 1024;

/// The most requests at once. Each takes some ten kilobytes and a turn of the processor; a VM with a
/// fifth of a core serves a few hundred a second.
const MAX_REQUESTS: usize = 1_000;

/// The time to come back after to a VM with too many requests, in milliseconds.
const OVERLOADED_RETRY_MS: u64 = 500;

/// How long a connection may stay idle before a configuration is known, in milliseconds.
const DEFAULT_IDLE_MS: u64 = 15_000;

/// The largest head before a configuration is known, in bytes.
const DEFAULT_HEADER_BYTES: usize = 16 * 1024;

/// What hyper needs at least for its buffer, in bytes.
const MIN_BUFFER_BYTES: usize = 8 * 1024;

/// Takes callers' connections until the process ends.
pub async fn serve(shell: Rc<Shell>, listener: TcpListener) {
    let most = shell
        .settings
        .resource_limits
        .max_file_descriptors
        .saturating_sub(RESERVED_DESCRIPTORS)
        .max(64);
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            // Out of descriptors for a moment; those of ended connections come free.
            tokio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        if shell.connections.get() >= most {
            drop(stream);
            continue;
        }
        shell.connections.set(shell.connections.get() + 1);
        let shell = Rc::clone(&shell);
        tokio::task::spawn_local(async move {
            connection(&shell, stream).await;
            shell.connections.set(shell.connections.get() - 1);
        });
    }
}

async fn connection(shell: &Rc<Shell>, stream: TcpStream) {
    if tcp::detect_dead_peer(&stream).is_err() {
        return;
    }
    let limits = shell.steering.borrow().configuration().map(|in_force| in_force.limits);
    let idle_ms = limits.map_or(DEFAULT_IDLE_MS, |limits| limits.idle_timeout_ms);
    let header_bytes = limits.map_or(DEFAULT_HEADER_BYTES, |limits| limits.max_header_bytes);
    let service = service_fn(|request| {
        let shell = Rc::clone(shell);
        async move { Ok::<_, Infallible>(answer(shell, request).await) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(Duration::from_millis(idle_ms))
        .max_buf_size(header_bytes.max(MIN_BUFFER_BYTES) + MIN_BUFFER_BYTES)
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    let mut stop = shell.stop.subscribe();
    let stopping = async {
        let _sender_lives = stop.wait_for(|phase| *phase >= StopPhase::Closing).await;
    };
    tokio::select! {
        ended = connection.as_mut() => return log_end(ended),
        () = stopping => connection.as_mut().graceful_shutdown(),
    }
    log_end(connection.await);
}

fn log_end(ended: Result<(), hyper::Error>) {
    if let Err(error) = ended {
        log::debug!("event=caller_connection_failed error={:?}", error.to_string());
    }
}

async fn answer(shell: Rc<Shell>, request: Request<Incoming>) -> Response<Body> {
    shell.requests.set(shell.requests.get() + 1);
    let count = Counted(Rc::clone(&shell));
    let mut response = handle(&shell, request).await;
    drop(count);
    if *shell.stop.borrow() >= StopPhase::Leaving {
        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

/// Counts a request until it is answered or its caller has left.
#[derive(Debug)]
struct Counted(Rc<Shell>);

impl Drop for Counted {
    fn drop(&mut self) {
        self.0.requests.set(self.0.requests.get() - 1);
    }
}

async fn handle(shell: &Rc<Shell>, request: Request<Incoming>) -> Response<Body> {
    let now_ms = clock::now_ms();
    let (parts, incoming) = request.into_parts();
    let fields = RequestHeaders::parse(&parts.headers, &parts.uri);
    let attempt: Box<str> = fields.attempt_id.into();
    if shell.requests.get() > MAX_REQUESTS {
        let refusal =
            Rejection { reason: RejectionReason::Overloaded, retry_after_ms: OVERLOADED_RETRY_MS };
        return refuse(shell, &attempt, None, refusal);
    }
    let asked = IncomingRequest {
        host: fields.host,
        path: parts.uri.path(),
        time_left_ms: fields.time_left_ms,
        object: fields.object,
    };
    shell.wait_for_start().await;
    let begun = shell.steering.borrow_mut().begin_request(asked, now_ms);
    let attempts = match begun {
        Ok(attempts) => attempts,
        Err(refusal) => return refuse(shell, &attempt, None, refusal),
    };
    let deadline = clock::instant(attempts.deadline_at_ms);
    let mut flight = Flight { shell: Rc::clone(shell), attempts };
    let most_bytes = max_body_bytes(shell);
    let mut body = match timeout_at(deadline, take_body(shell, incoming, most_bytes)).await {
        Ok(Ok(body)) => body,
        Ok(Err(BodyRefusal::TooLarge)) => return plain(StatusCode::PAYLOAD_TOO_LARGE, &attempt),
        Ok(Err(BodyRefusal::Broken)) => return plain(StatusCode::BAD_REQUEST, &attempt),
        Err(_elapsed) => return plain(StatusCode::REQUEST_TIMEOUT, &attempt),
    };
    let head = Head { parts, attempt };
    run(&mut flight, &head, &mut body).await
}

/// Sends a request to upstreams until one answers or nothing more can be done.
async fn run(flight: &mut Flight, head: &Head, body: &mut RequestBody) -> Response<Body> {
    let shell = Rc::clone(&flight.shell);
    let deadline_at_ms = flight.attempts.deadline_at_ms;
    let mut under_way = FuturesUnordered::new();
    let mut last: Option<Response<Body>> = None;
    let mut second = None;
    loop {
        let to = match second.take() {
            Some(to) => to,
            None => match flight.next_step() {
                NextStep::Send(to) => to,
                NextStep::Reject { reason, retry_after_ms } => {
                    let refusal = Rejection { reason, retry_after_ms };
                    return refuse(&shell, &head.attempt, Some(&flight.attempts), refusal);
                }
                NextStep::GiveUp { reason } => {
                    return gave_up(&shell, &head.attempt, &flight.attempts, reason.name(), last);
                }
            },
        };
        let Some(bytes) = body.take() else {
            return gave_up(&shell, &head.attempt, &flight.attempts, "body_was_streamed", last);
        };
        let shell = &shell;
        under_way.push(async move {
            let ended = sending::send(shell, deadline_at_ms, &to, head, bytes).await;
            (to, ended)
        });
        while !under_way.is_empty() {
            let (to, ended) = tokio::select! {
                Some(ended) = under_way.next() => ended,
                to = flight.hedge(), if !body.is_spent() => {
                    log::info!(
                        "event=second_sending request={} upstream={} service={} {}",
                        head.attempt, to.name, flight.attempts.service, to.decision,
                    );
                    second = Some(to);
                    break;
                }
            };
            shell.metrics.sent(to.decision.cause, ended.outcome);
            flight.ended(to.upstream, ended.outcome);
            match (ended.outcome, ended.answer) {
                (AttemptOutcome::Answered { failed: false, .. }, Some(answer)) => {
                    served(shell, &head.attempt, &flight.attempts, &to);
                    return answer;
                }
                (AttemptOutcome::TimedOut, _) => {
                    return gave_up(shell, &head.attempt, &flight.attempts, "timed_out", last);
                }
                (outcome, answer) => {
                    note(&head.attempt, &flight.attempts, &to, outcome);
                    last = answer.or(last);
                }
            }
        }
    }
}

fn max_body_bytes(shell: &Shell) -> u64 {
    let steering = shell.steering.borrow();
    steering.configuration().map_or(0, |in_force| in_force.limits.max_body_bytes)
}

#[derive(Debug, Clone, Copy)]
enum BodyRefusal {
    TooLarge,
    Broken,
}

/// Reads a request's body, or its beginning if it is large.
async fn take_body(
    shell: &Shell,
    mut incoming: Incoming,
    most_bytes: u64,
) -> Result<RequestBody, BodyRefusal> {
    if incoming.is_end_stream() {
        return Ok(RequestBody::Held(Bytes::new()));
    }
    if incoming.size_hint().lower() > most_bytes {
        return Err(BodyRefusal::TooLarge);
    }
    let mut first = BytesMut::new();
    while first.len() < shell.hold_limit(MAX_HELD_BYTES) {
        let Some(frame) = incoming.frame().await else {
            return Ok(RequestBody::Held(first.freeze()));
        };
        let frame = frame.map_err(|_broken| BodyRefusal::Broken)?;
        if let Ok(data) = frame.into_data() {
            first.extend_from_slice(&data);
        }
        if first.len() as u64 > most_bytes {
            return Err(BodyRefusal::TooLarge);
        }
    }
    Ok(RequestBody::Streamed(Some(streamed(first.freeze(), incoming, most_bytes))))
}

/// Passes on a body whose first part was read; one that grows over the limit breaks off.
fn streamed(first: Bytes, rest: Incoming, most_bytes: u64) -> Body {
    let seen_bytes = first.len() as u64;
    let state = (Some(first), rest, seen_bytes);
    let stream = futures_stream(state, most_bytes);
    BodyExt::boxed_unsync(StreamBody::new(stream))
}

type StreamState = (Option<Bytes>, Incoming, u64);

fn futures_stream(
    state: StreamState,
    most_bytes: u64,
) -> impl Stream<Item = Result<Frame<Bytes>, super::pool::BodyError>> + Send {
    stream::try_unfold(state, move |(first, mut rest, seen_bytes)| async move {
        if let Some(first) = first {
            return Ok(Some((Frame::data(first), (None, rest, seen_bytes))));
        }
        let Some(frame) = rest.frame().await else {
            return Ok(None);
        };
        let frame = frame?;
        let seen_bytes = seen_bytes + frame.data_ref().map_or(0, |data| data.len() as u64);
        if seen_bytes > most_bytes {
            return Err("the body is larger than allowed".into());
        }
        Ok(Some((frame, (None, rest, seen_bytes))))
    })
}
