//! Takes callers' look-ups and requests over HTTP.
//!
//! `hyper` is used in place of `tiny_http`: it bounds the head's size and time, needs no thread for
//! an idle connection, and closes a connection whose answer broke off, so that a caller can't take
//! the next answer for the rest of this one. See docs/DESIGN.md.

use std::collections::HashMap;
use std::convert::Infallible;
use std::net::{IpAddr, SocketAddr};
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::{Frame, Incoming, SizeHint};
use hyper::header::{CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use hyper::service::service_fn;
use hyper::{HeaderMap, Method, Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use sedgepath_core::event::{Action, Event, LookUp, LookUpError};
use sedgepath_core::hash::Digest;
use sedgepath_core::key::{BootId, RequestKey, VmKey};
use sedgepath_core::request::{HopEnd, Once, Outcome, RequestHead};
use sedgepath_wire::frame::{ExchangeId, HttpRequestHead, Purpose};
use serde_json::json;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, mpsc};
use tokio::task::JoinHandle;

use crate::driver::Handle;
use crate::exchange::passed_on;
use crate::hop::{HopRequest, HopTarget, Hops};
use crate::metrics::Metrics;
use crate::reply::{Answer, BodyBroken, BodyReceiver, Reply};

/// The most connections of callers at once.
const MAX_CONNECTIONS: usize = 4_096;

/// The most bytes of a request's head.
const MAX_HEAD_BYTES: usize = 32 * 1024;

/// The longest that a request's head may take to arrive.
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);

/// The longest that a request's body may take to arrive.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// The most bytes of a request's body; it is kept until the answer, to be sent again if allowed.
const MAX_BODY_BYTES: usize = 1024 * 1024;

/// The deadline of a request that names none, in milliseconds.
const DEFAULT_TIMEOUT_MS: u64 = 10_000;

/// The path of look-ups.
const LOOK_UP_PATH: &str = "/v1/lookup";

/// The start of the paths of requests: `/v1/call/SERVICE/PATH`.
const CALL_PREFIX: &str = "/v1/call/";

type ResponseBody = UnsyncBoxBody<Bytes, BodyBroken>;

/// What the tasks of callers' connections need.
#[derive(Debug)]
pub struct Callers {
    name: Box<str>,
    vm: VmKey,
    boot: BootId,
    handle: Handle,
    hops: Arc<Hops>,
    metrics: Arc<Metrics>,
}

impl Callers {
    /// Creates the server of callers.
    pub fn new(
        name: Box<str>,
        boot: BootId,
        handle: Handle,
        hops: Arc<Hops>,
        metrics: Arc<Metrics>,
    ) -> Arc<Self> {
        Arc::new(Self { vm: VmKey::of(&name), name, boot, handle, hops, metrics })
    }

    /// Takes connections until the process ends.
    pub async fn serve(self: Arc<Self>, listener: TcpListener) {
        let places = Arc::new(Semaphore::new(MAX_CONNECTIONS));
        loop {
            let Ok(place) = Arc::clone(&places).acquire_owned().await else {
                return;
            };
            let Ok((stream, from)) = listener.accept().await else {
                continue;
            };
            let callers = Arc::clone(&self);
            tokio::spawn(async move {
                callers.connection(stream, from).await;
                drop(place);
            });
        }
    }

    async fn connection(self: Arc<Self>, stream: TcpStream, from: SocketAddr) {
        // Small answers must not wait for the acknowledgement of earlier ones.
        let _slower = stream.set_nodelay(true);
        let service = service_fn(move |request| {
            let callers = Arc::clone(&self);
            async move { Ok::<_, Infallible>(callers.answer(request, from.ip()).await) }
        });
        let served = hyper::server::conn::http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(HEAD_TIMEOUT)
            .max_buf_size(MAX_HEAD_BYTES)
            .serve_connection(TokioIo::new(stream), service)
            .await;
        if let Err(error) = served {
            log::debug!("event=caller_connection_ended error={:?}", error.to_string());
        }
    }

    async fn answer(
        self: Arc<Self>,
        request: Request<Incoming>,
        source: IpAddr,
    ) -> Response<ResponseBody> {
        let started = Instant::now();
        let (response, outcome) = if request.uri().path() == LOOK_UP_PATH {
            (self.look_up(&request, source).await, "look_up")
        } else if request.uri().path().starts_with(CALL_PREFIX) {
            let response = self.call(request, source).await;
            let outcome = outcome_of(&response);
            (response, outcome)
        } else {
            (refused(StatusCode::NOT_FOUND, "no_such_path"), "invalid")
        };
        self.metrics.request(outcome, started.elapsed().as_secs_f64());
        response
    }

    async fn look_up(&self, request: &Request<Incoming>, source: IpAddr) -> Response<ResponseBody> {
        if request.method() != Method::GET {
            return refused(StatusCode::METHOD_NOT_ALLOWED, "method_not_allowed");
        }
        let Some(service) = query_value(request.uri().query(), "service") else {
            return refused(StatusCode::BAD_REQUEST, "service_missing");
        };
        let revision_seen = number(request.headers(), "sedgepath-revision").unwrap_or(0);
        let look_up = LookUp { service: service.into(), source, revision_seen };
        match self.handle.look_up(look_up).await {
            Some(Ok(answer)) => {
                let body = json!({
                    "entry_vms": answer.entry_vms,
                    "expires_at_ms": answer.expires_at_ms,
                    "expires_after_ms": answer.expires_after_ms,
                    "revision": answer.revision,
                });
                json_response(StatusCode::OK, &body)
            }
            Some(Err(LookUpError::NoService)) => refused(StatusCode::NOT_FOUND, "no_service"),
            Some(Err(LookUpError::Configuration)) | None => {
                refused(StatusCode::SERVICE_UNAVAILABLE, "configuration")
            }
        }
    }

    async fn call(&self, request: Request<Incoming>, source: IpAddr) -> Response<ResponseBody> {
        let (parts, incoming) = request.into_parts();
        let path = &parts.uri.path()[CALL_PREFIX.len()..];
        let (service, rest) = path.split_once('/').unwrap_or((path, ""));
        let query = parts.uri.query().map(|query| format!("?{query}")).unwrap_or_default();
        let target = format!("/{rest}{query}");
        let body = match read_body(incoming).await {
            Ok(body) => body,
            Err(status) => return refused(status, "body"),
        };
        let head = RequestHead {
            service: service.into(),
            source,
            key_digest: parts
                .headers
                .get("sedgepath-key")
                .map(|key| Digest::of(&[b"organisation key", key.as_bytes()])),
            deadline_at_ms: deadline_at_ms(&parts.headers, self.handle.clock().now_ms()),
            once: Once::Repeatable,
            attempt: 0,
            idempotent: parts.method.is_idempotent(),
            digest: Digest::of(&[
                parts.method.as_str().as_bytes(),
                parts.uri.path().as_bytes(),
                query.as_bytes(),
                &body,
            ]),
            revision_seen: number(&parts.headers, "sedgepath-revision").unwrap_or(0),
            forwarded_by: None,
        };
        let http = HttpRequestHead {
            method: parts.method.as_str().into(),
            target: target.into(),
            fields: passed_on(&parts.headers),
            body_bytes: body.len() as u64,
        };
        let (request, actions) = self.handle.request(head);
        let (attempt_sender, attempts) = mpsc::unbounded_channel();
        let serving = Serving {
            callers: self,
            request,
            http,
            body,
            actions,
            attempt_sender,
            attempts,
            running: HashMap::new(),
            replies: HashMap::new(),
            concluded: false,
        };
        serving.run().await
    }
}

/// One request on its way to its outcome.
struct Serving<'a> {
    callers: &'a Callers,
    request: RequestKey,
    http: HttpRequestHead,
    body: Bytes,
    actions: mpsc::UnboundedReceiver<Action>,
    attempt_sender: mpsc::UnboundedSender<(u32, Reply)>,
    attempts: mpsc::UnboundedReceiver<(u32, Reply)>,
    running: HashMap<u32, JoinHandle<()>>,
    replies: HashMap<u32, Box<Answer>>,
    concluded: bool,
}

impl Drop for Serving<'_> {
    fn drop(&mut self) {
        for task in self.running.values() {
            task.abort();
        }
        if !self.concluded {
            self.callers.handle.event(Event::CallerGone { request: self.request });
        }
    }
}

impl Serving<'_> {
    async fn run(mut self) -> Response<ResponseBody> {
        loop {
            tokio::select! {
                action = self.actions.recv() => match action {
                    Some(Action::Relay { attempt, .. }) => {
                        if let Some(answer) = self.replies.remove(&attempt) {
                            return self.relay(*answer);
                        }
                    }
                    Some(Action::Conclude { outcome, .. }) => {
                        self.concluded = true;
                        return conclude(&outcome, self.callers.handle.clock().now_ms());
                    }
                    Some(action) => self.act(action),
                    None => return refused(StatusCode::SERVICE_UNAVAILABLE, "not_ready"),
                },
                Some((attempt, reply)) = self.attempts.recv() => self.replied(attempt, reply),
            }
        }
    }

    fn act(&mut self, action: Action) {
        match action {
            Action::Forward { attempt, to, address, dispatch, deadline_at_ms, .. } => {
                let target = HopTarget { vm: to, address, deadline_at_ms };
                self.attempt(attempt, target, Purpose::Run(dispatch));
            }
            Action::Abandon { attempt, .. } => {
                if let Some(task) = self.running.remove(&attempt) {
                    task.abort();
                }
                self.replies.remove(&attempt);
            }
            _ => {}
        }
    }

    fn attempt(&mut self, attempt: u32, target: HopTarget, purpose: Purpose) {
        let callers = self.callers;
        let id =
            ExchangeId { from: callers.vm, boot: callers.boot, request: self.request, attempt };
        let request = HopRequest { id, purpose, head: self.http.clone(), body: self.body.clone() };
        let hops = Arc::clone(&callers.hops);
        let sender = self.attempt_sender.clone();
        let task = tokio::spawn(async move {
            let reply = hops.send(target, request).await;
            // The request may have got its outcome from another attempt.
            let _unread = sender.send((attempt, reply));
        });
        self.running.insert(attempt, task);
    }

    fn replied(&mut self, attempt: u32, reply: Reply) {
        let request = self.request;
        let end = match reply {
            Reply::Answer(answer) => {
                let head = answer.head.clone();
                self.replies.insert(attempt, answer);
                self.callers.handle.event(Event::HopAnswered { request, attempt, head });
                return;
            }
            Reply::Refused(refusal) => HopEnd::Refused(refusal),
            Reply::NotSent => HopEnd::NotSent,
            Reply::Lost | Reply::Concluded { .. } => HopEnd::Lost,
        };
        self.callers.handle.event(Event::HopEnded { request, attempt, end });
    }

    fn relay(mut self, answer: Answer) -> Response<ResponseBody> {
        self.concluded = true;
        let status = StatusCode::from_u16(answer.head.status).unwrap_or(StatusCode::BAD_GATEWAY);
        let body = RelayBody {
            parts: answer.body,
            left_bytes: answer.http.body_bytes,
            handle: self.callers.handle.clone(),
            request: self.request,
            ended: false,
        };
        let mut response = Response::new(UnsyncBoxBody::new(body));
        *response.status_mut() = status;
        let headers = response.headers_mut();
        for (name, value) in &answer.http.fields {
            let name = hyper::header::HeaderName::from_bytes(name.as_bytes());
            if let (Ok(name), Ok(value)) = (name, HeaderValue::from_bytes(value)) {
                headers.append(name, value);
            }
        }
        headers.insert("sedgepath-outcome", HeaderValue::from_static("answered"));
        if let Ok(name) = HeaderValue::from_str(&self.callers.name) {
            headers.insert("sedgepath-entry-vm", name);
        }
        response
    }
}

/// The body of an answer on its way to the caller; tells the node how it ended.
struct RelayBody {
    parts: BodyReceiver,
    left_bytes: Option<u64>,
    handle: Handle,
    request: RequestKey,
    ended: bool,
}

impl RelayBody {
    fn end(&mut self, whole: bool) {
        if !std::mem::replace(&mut self.ended, true) {
            let event = Event::RelayEnded { request: self.request, whole, stored: None };
            self.handle.event(event);
        }
    }
}

impl Drop for RelayBody {
    fn drop(&mut self) {
        // hyper drops a body of a declared length once that length is sent, without asking for the
        // end; before that, the caller has gone.
        let whole = self.left_bytes == Some(0);
        self.end(whole);
    }
}

impl hyper::body::Body for RelayBody {
    type Data = Bytes;
    type Error = BodyBroken;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyBroken>>> {
        let part = std::task::ready!(self.parts.poll_recv(cx));
        Poll::Ready(match part {
            Some(Ok(bytes)) => {
                self.left_bytes =
                    self.left_bytes.map(|left| left.saturating_sub(bytes.len() as u64));
                Some(Ok(Frame::data(bytes)))
            }
            Some(Err(broken)) => {
                self.end(false);
                Some(Err(broken))
            }
            // A body that ends before its declared length is broken, whatever its sender says.
            None if self.left_bytes.is_some_and(|left| left > 0) => {
                self.end(false);
                Some(Err(BodyBroken))
            }
            None => {
                self.end(true);
                None
            }
        })
    }

    fn size_hint(&self) -> SizeHint {
        self.left_bytes.map_or_else(SizeHint::default, SizeHint::with_exact)
    }
}

fn conclude(outcome: &Outcome, now_ms: u64) -> Response<ResponseBody> {
    match outcome {
        Outcome::NotRun { refusal, others } => {
            let body = json!({
                "outcome": "not_run",
                "reason": refusal.reason.name(),
                "retry_after_ms": refusal.retry_after_ms,
                "entry_vms": others,
            });
            let retry = (refusal.retry_after_ms, now_ms);
            given_up("not_run", retry, StatusCode::SERVICE_UNAVAILABLE, &body)
        }
        Outcome::Unknown { retry_after_ms } => {
            let body = json!({ "outcome": "unknown", "retry_after_ms": retry_after_ms });
            given_up("unknown", (*retry_after_ms, now_ms), StatusCode::GATEWAY_TIMEOUT, &body)
        }
        Outcome::Repeated(stored) => {
            let body = Bytes::copy_from_slice(stored.body.as_bytes());
            let mut response = whole_response(StatusCode::OK, body);
            *response.status_mut() = StatusCode::from_u16(stored.status).unwrap_or(StatusCode::OK);
            set(&mut response, "sedgepath-outcome", "answered");
            set(&mut response, "sedgepath-repeated", "true");
            response
        }
        Outcome::KeyReused => refused(StatusCode::UNPROCESSABLE_ENTITY, "key_reused"),
        Outcome::NoService => refused(StatusCode::NOT_FOUND, "no_service"),
        Outcome::UnknownOrganisation => refused(StatusCode::UNAUTHORIZED, "unknown_organisation"),
        Outcome::KeyRequired => refused(StatusCode::PRECONDITION_REQUIRED, "key_required"),
    }
}

fn given_up(
    outcome: &'static str,
    (retry_after_ms, now_ms): (u64, u64),
    status: StatusCode,
    body: &serde_json::Value,
) -> Response<ResponseBody> {
    let mut response = json_response(status, body);
    set(&mut response, "sedgepath-outcome", outcome);
    set(&mut response, "sedgepath-retry-after-ms", &retry_after_ms.to_string());
    set(&mut response, "sedgepath-retry-at-ms", &(now_ms + retry_after_ms).to_string());
    let seconds = retry_after_ms.div_ceil(1_000);
    response.headers_mut().insert(RETRY_AFTER, HeaderValue::from(seconds));
    response
}

/// An answer to a request that could not even be taken; it was not run.
fn refused(status: StatusCode, reason: &'static str) -> Response<ResponseBody> {
    let mut response = json_response(status, &json!({ "outcome": "not_run", "reason": reason }));
    set(&mut response, "sedgepath-outcome", "not_run");
    response
}

fn json_response(status: StatusCode, body: &serde_json::Value) -> Response<ResponseBody> {
    let mut response = whole_response(status, body.to_string().into());
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    response
}

fn whole_response(status: StatusCode, body: Bytes) -> Response<ResponseBody> {
    let body = Full::new(body).map_err(|never| match never {});
    let mut response = Response::new(UnsyncBoxBody::new(body));
    *response.status_mut() = status;
    response
}

fn set(response: &mut Response<ResponseBody>, name: &'static str, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        response.headers_mut().insert(name, value);
    }
}

fn outcome_of(response: &Response<ResponseBody>) -> &'static str {
    match response.headers().get("sedgepath-outcome").map(HeaderValue::as_bytes) {
        Some(b"answered") => "answered",
        Some(b"unknown") => "unknown",
        _ => "not_run",
    }
}

async fn read_body(incoming: Incoming) -> Result<Bytes, StatusCode> {
    let limited = Limited::new(incoming, MAX_BODY_BYTES);
    match tokio::time::timeout(BODY_TIMEOUT, limited.collect()).await {
        Ok(Ok(collected)) => Ok(collected.to_bytes()),
        Ok(Err(error)) if error.is::<http_body_util::LengthLimitError>() => {
            Err(StatusCode::PAYLOAD_TOO_LARGE)
        }
        Ok(Err(_)) => Err(StatusCode::BAD_REQUEST),
        Err(_elapsed) => Err(StatusCode::REQUEST_TIMEOUT),
    }
}

/// Returns the caller's deadline: a time from now if it sends one, else a point in time.
fn deadline_at_ms(headers: &HeaderMap, now_ms: u64) -> u64 {
    if let Some(timeout_ms) = number(headers, "sedgepath-timeout-ms") {
        return now_ms.saturating_add(timeout_ms);
    }
    number(headers, "sedgepath-deadline-ms").unwrap_or(now_ms + DEFAULT_TIMEOUT_MS)
}

fn query_value<'a>(query: Option<&'a str>, name: &str) -> Option<&'a str> {
    query?
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .find(|pair| pair.0 == name)
        .map(|pair| pair.1)
}

fn number(headers: &HeaderMap, name: &str) -> Option<u64> {
    headers.get(name)?.to_str().ok()?.parse().ok()
}
