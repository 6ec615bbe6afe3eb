//! One sending of a request to an upstream.

use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, Full};
use hyper::body::{Body as _, Frame, Incoming, SizeHint};
use hyper::{Request, Response, StatusCode, http};
use sedgepath_adapter::headers::{self, ResponseHeaders, ResponseKind};
use sedgepath_core::direct::attempts::{Attempt, AttemptOutcome, NextStep, RequestState};
use sedgepath_core::direct::upstreams::UpstreamKey;
use tokio::time::timeout_at;

use super::clock;
use super::pool::{Body, Connection};
use super::shell::Shell;

/// The longest that a connection to an upstream may take: three of the longest round trips between
/// regions. A lost packet, which is sent again after a second, is not waited for; another upstream is
/// tried.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// How often a request whose upstream may be gone is looked at, in milliseconds.
const HEDGE_CHECK_MS: u64 = 100;

/// Answers up to this size are read whole before the caller gets the first byte, so that one that
/// breaks off can be replaced by another upstream's.
const MAX_HELD_BYTES: usize = 1024 * 1024;

/// The head of a request to be sent.
#[derive(Debug, Clone)]
pub struct Head {
    /// The method, path and fields as the caller sent them.
    pub parts: http::request::Parts,
    /// The attempt's name.
    pub attempt: Box<str>,
}

/// The body of a request to be sent.
#[derive(Debug)]
pub enum RequestBody {
    /// Read whole; can be sent again.
    Held(Bytes),
    /// Not yet read whole; can be sent once.
    Streamed(Option<Body>),
}

impl RequestBody {
    /// Whether the body was streamed to an upstream and can't be sent again.
    pub fn is_spent(&self) -> bool {
        matches!(self, Self::Streamed(None))
    }

    /// Returns the body for one sending; `None` if it was streamed to an earlier one.
    pub fn take(&mut self) -> Option<Body> {
        match self {
            Self::Held(bytes) => Some(held(bytes.clone())),
            Self::Streamed(body) => body.take(),
        }
    }
}

/// Makes a body of bytes.
pub fn held(bytes: Bytes) -> Body {
    Full::new(bytes).map_err(|never| match never {}).boxed_unsync()
}

/// How a sending ended, with the answer to pass on if there is one.
#[derive(Debug)]
pub struct Ended {
    /// What the decisions need to know.
    pub outcome: AttemptOutcome,
    /// The answer.
    pub answer: Option<Response<Body>>,
}

impl Ended {
    fn without_answer(outcome: AttemptOutcome) -> Self {
        Self { outcome, answer: None }
    }
}

/// A request on its way, whose end is counted however it comes about.
///
/// The task of a request is dropped when its caller leaves; without the count the upstream would look
/// busy for ever.
#[derive(Debug)]
pub struct Flight {
    /// What all tasks share.
    pub shell: Rc<Shell>,
    /// The request.
    pub attempts: RequestState,
}

impl Drop for Flight {
    fn drop(&mut self) {
        let mut steering = self.shell.steering.borrow_mut();
        steering.cancel_request(&mut self.attempts, clock::now_ms());
    }
}

impl Flight {
    /// Counts the end of the sending to an upstream.
    pub fn ended(&mut self, upstream: UpstreamKey, outcome: AttemptOutcome) {
        let mut steering = self.shell.steering.borrow_mut();
        steering.record_outcome(&mut self.attempts, upstream, outcome, clock::now_ms());
    }

    /// Decides what happens next.
    pub fn next_step(&mut self) -> NextStep {
        let mut steering = self.shell.steering.borrow_mut();
        steering.next_step(&mut self.attempts, fastrand::u64(..), clock::now_ms())
    }

    /// Waits until a second upstream should be tried beside the first, and says which.
    pub async fn hedge(&mut self) -> Attempt {
        loop {
            let at_ms = self.shell.steering.borrow().hedge_at_ms(&self.attempts);
            let Some(at_ms) = at_ms else {
                return std::future::pending().await;
            };
            let at_ms = at_ms.max(clock::now_ms() + HEDGE_CHECK_MS);
            tokio::time::sleep_until(clock::instant(at_ms)).await;
            let mut steering = self.shell.steering.borrow_mut();
            let now_ms = clock::now_ms();
            if let Some(sending) = steering.hedge(&mut self.attempts, fastrand::u64(..), now_ms) {
                return sending;
            }
        }
    }
}

/// Sends a request and waits for the answer.
pub async fn send(
    shell: &Shell,
    deadline_at_ms: u64,
    sending: &Attempt,
    head: &Head,
    body: Body,
) -> Ended {
    let deadline = clock::instant(deadline_at_ms);
    let mut request = Request::from_parts(head.parts.clone(), body);
    loop {
        let (mut connection, fresh) = match shell.pool.take(sending.upstream) {
            Some(connection) => (connection, false),
            None => match open(shell, sending, deadline_at_ms).await {
                Some(connection) => (connection, true),
                None => return Ended::without_answer(AttemptOutcome::Unreachable),
            },
        };
        let left_ms = deadline_at_ms.saturating_sub(clock::now_ms());
        headers::prepare_upstream_headers(request.headers_mut(), &sending.name, left_ms);
        match timeout_at(deadline, connection.try_send_request(request)).await {
            Ok(Ok(response)) => {
                return receive(shell, deadline_at_ms, sending, head, response, connection).await;
            }
            Ok(Err(mut error)) => match error.take_message() {
                // The upstream had closed the idle connection; the request comes back unsent.
                Some(unsent) if !fresh => request = unsent,
                Some(_unsent) => return Ended::without_answer(AttemptOutcome::Unreachable),
                None => return Ended::without_answer(AttemptOutcome::Failed),
            },
            Err(_elapsed) => return Ended::without_answer(AttemptOutcome::TimedOut),
        }
    }
}

async fn open(shell: &Shell, sending: &Attempt, deadline_at_ms: u64) -> Option<Connection> {
    let begun_at_ms = clock::now_ms();
    let left = Duration::from_millis(deadline_at_ms.saturating_sub(begun_at_ms));
    let opened = shell.pool.open(sending.address, CONNECT_TIMEOUT.min(left)).await.ok()?;
    let took_ms = clock::now_ms().saturating_sub(begun_at_ms);
    shell.steering.borrow_mut().record_connect_time(sending.upstream, took_ms);
    Some(opened)
}

async fn receive(
    shell: &Shell,
    deadline_at_ms: u64,
    sending: &Attempt,
    head: &Head,
    response: Response<Incoming>,
    connection: Connection,
) -> Ended {
    let fields = ResponseHeaders::parse(response.status(), response.headers(), &head.attempt);
    let (parts, mut incoming) = response.into_parts();
    let deadline = clock::instant(deadline_at_ms);
    let begun = match fields.kind {
        ResponseKind::Mismatched => return Ended::without_answer(AttemptOutcome::Failed),
        ResponseKind::Matching | ResponseKind::NotRun | ResponseKind::Misdirected => {
            match timeout_at(deadline, hold(shell, &mut incoming)).await {
                Ok(Ok(begun)) => begun,
                Ok(Err(_broken)) if fields.kind == ResponseKind::Matching => {
                    return Ended::without_answer(AttemptOutcome::Failed);
                }
                Err(_elapsed) if fields.kind == ResponseKind::Matching => {
                    return Ended::without_answer(AttemptOutcome::TimedOut);
                }
                // The head alone proves that the request was not run.
                Ok(Err(_)) | Err(_) => Held::Whole(Bytes::new()),
            }
        }
    };
    let report = fields.load;
    let returned = Returned { upstream: sending.upstream, connection, fields };
    match (fields.kind, begun) {
        (ResponseKind::NotRun, _) => {
            returned.give_back(shell);
            Ended::without_answer(AttemptOutcome::Refused { report })
        }
        (ResponseKind::Misdirected, _) => Ended::without_answer(AttemptOutcome::Misdirected),
        (_, Held::Whole(bytes)) => {
            returned.give_back(shell);
            let outcome = answered(parts.status, fields, bytes.len() as u64);
            Ended { outcome, answer: Some(answer(parts, held(bytes))) }
        }
        (_, Held::Begun(first)) => {
            let outcome = answered(parts.status, fields, first.len() as u64);
            let body =
                Relayed { first: Some(first), rest: incoming, _connection: returned.connection };
            Ended { outcome, answer: Some(answer(parts, body.boxed_unsync())) }
        }
    }
}

fn answered(status: StatusCode, fields: ResponseHeaders, body_bytes: u64) -> AttemptOutcome {
    AttemptOutcome::Answered { failed: status.is_server_error(), report: fields.load, body_bytes }
}

fn answer(mut parts: http::response::Parts, body: Body) -> Response<Body> {
    headers::remove_hop_by_hop_headers(&mut parts.headers);
    Response::from_parts(parts, body)
}

/// A connection whose answer has been read.
#[derive(Debug)]
struct Returned {
    upstream: UpstreamKey,
    connection: Connection,
    fields: ResponseHeaders,
}

impl Returned {
    fn give_back(self, shell: &Shell) {
        if !self.fields.closes_connection {
            shell.pool.give_back(self.upstream, self.connection, self.fields.keep_alive_ms);
        }
    }
}

/// What was read of an answer's body.
#[derive(Debug)]
enum Held {
    /// All of it.
    Whole(Bytes),
    /// As much as is held; the rest follows.
    Begun(Bytes),
}

/// Reads a body to its end, or up to [`MAX_HELD_BYTES`].
async fn hold(shell: &Shell, incoming: &mut Incoming) -> Result<Held, hyper::Error> {
    let mut held = BytesMut::new();
    while let Some(frame) = incoming.frame().await {
        if let Ok(data) = frame?.into_data() {
            if held.is_empty() && incoming.is_end_stream() {
                return Ok(Held::Whole(data));
            }
            held.extend_from_slice(&data);
        }
        if held.len() >= shell.hold_limit(MAX_HELD_BYTES) {
            return Ok(Held::Begun(held.freeze()));
        }
    }
    Ok(Held::Whole(held.freeze()))
}

/// A body of which the first part was held and the rest is passed on as it comes.
#[derive(Debug)]
struct Relayed {
    first: Option<Bytes>,
    rest: Incoming,
    /// Dropped with the body; the connection can't be used again before its answer has ended.
    _connection: Connection,
}

impl hyper::body::Body for Relayed {
    type Data = Bytes;
    type Error = super::pool::BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Self::Error>>> {
        if let Some(first) = self.first.take() {
            return Poll::Ready(Some(Ok(Frame::data(first))));
        }
        Pin::new(&mut self.rest).poll_frame(cx).map_err(Into::into)
    }

    fn is_end_stream(&self) -> bool {
        self.first.is_none() && self.rest.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::default()
    }
}
