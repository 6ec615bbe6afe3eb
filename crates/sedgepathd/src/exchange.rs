//! Runs a dispatched request at an upstream that this node owns.

use std::sync::Arc;
use std::time::Instant;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::{Body, Incoming};
use hyper::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use hyper::{HeaderMap, Request, Response, StatusCode};
use sedgepath_core::event::{Action, Event, UpstreamReport};
use sedgepath_core::key::{DomainKey, ExchangeKey, VmKey};
use sedgepath_core::request::{AnswerHead, CallEnd, Dispatch, Reason, Refusal};
use sedgepath_wire::frame::{Field, HttpAnswerHead, HttpRequestHead};
use tokio::sync::{mpsc, oneshot};

use crate::driver::Handle;
use crate::reply::{Answer, BodyBroken, BodySender, Reply, body};
use crate::upstreams::{Call, CallError, Connection, Upstreams};

/// The header field by which an upstream proves that it did not start a request.
pub const NOT_STARTED: &str = "sedgepath-not-started";

/// The header field with the time left until the deadline, in milliseconds.
pub const TIMEOUT_MS: &str = "sedgepath-timeout-ms";

/// The header field with the deadline, in milliseconds since the Unix epoch.
pub const DEADLINE_MS: &str = "sedgepath-deadline-ms";

/// When to come back after a refusal by an upstream, in milliseconds.
const RETRY_AFTER_MS: u64 = 200;

/// Runs dispatches.
#[derive(Debug, Clone)]
pub struct Exchanges {
    handle: Handle,
    upstreams: Arc<Upstreams>,
}

impl Exchanges {
    /// Creates the runner.
    pub fn new(handle: Handle, upstreams: Arc<Upstreams>) -> Self {
        Self { handle, upstreams }
    }

    /// Starts a dispatch. Dropping the receiver tells that nobody waits for the reply any more.
    pub fn start(
        &self,
        from: VmKey,
        dispatch: Dispatch,
        head: HttpRequestHead,
        body: Bytes,
    ) -> oneshot::Receiver<Reply> {
        let (sender, receiver) = oneshot::channel();
        let (exchange, actions) = self.handle.dispatch(from, dispatch);
        let run = Run {
            handle: self.handle.clone(),
            upstreams: Arc::clone(&self.upstreams),
            exchange,
            started: Instant::now(),
        };
        tokio::spawn(run.run(head, body, actions, sender));
        receiver
    }
}

/// One dispatch.
struct Run {
    handle: Handle,
    upstreams: Arc<Upstreams>,
    exchange: ExchangeKey,
    started: Instant,
}

impl Run {
    async fn run(
        self,
        head: HttpRequestHead,
        body: Bytes,
        mut actions: mpsc::UnboundedReceiver<Action>,
        mut reply: oneshot::Sender<Reply>,
    ) {
        let mut gone = false;
        loop {
            let action = tokio::select! {
                action = actions.recv() => action,
                () = reply.closed(), if !gone => {
                    gone = true;
                    self.handle.event(Event::DispatchGone { exchange: self.exchange });
                    continue;
                }
            };
            match action {
                Some(Action::CallUpstream {
                    upstream,
                    domain,
                    address,
                    may_open,
                    send_by_ms,
                    deadline_at_ms,
                    ..
                }) => {
                    let call = Call { upstream, address, may_open, send_by_ms, deadline_at_ms };
                    self.call(call, domain, head, body, reply).await;
                    return;
                }
                Some(Action::Refuse { refusal, .. }) => {
                    let _gone = reply.send(Reply::Refused(refusal));
                    return;
                }
                Some(_) => {}
                None => return,
            }
        }
    }

    async fn call(
        &self,
        call: Call,
        domain: DomainKey,
        head: HttpRequestHead,
        body: Bytes,
        reply: oneshot::Sender<Reply>,
    ) {
        let remaining_ms = call.deadline_at_ms.saturating_sub(self.handle.clock().now_ms());
        let Some(request) = request(&head, body, &call, remaining_ms) else {
            let _gone = reply.send(Reply::NotSent);
            self.ended(CallEnd::NotSent);
            return;
        };
        match self.upstreams.call(call, request).await {
            Ok((response, connection)) => {
                self.answer(call, domain, response, connection, reply).await;
            }
            Err(CallError::NotSent) => {
                let _gone = reply.send(Reply::NotSent);
                self.ended(CallEnd::NotSent);
            }
            Err(CallError::Lost) => {
                let _gone = reply.send(Reply::Lost);
                self.ended(CallEnd::Lost);
            }
        }
    }

    async fn answer(
        &self,
        call: Call,
        domain: DomainKey,
        response: Response<Incoming>,
        connection: Connection,
        reply: oneshot::Sender<Reply>,
    ) {
        let (parts, incoming) = response.into_parts();
        if let Some(report) = report(&parts.headers, self.handle.clock().now_ms()) {
            self.handle.event(Event::UpstreamReport { upstream: call.upstream, report });
        }
        if is_not_started(parts.status, &parts.headers) {
            let refusal =
                Refusal { reason: Reason::UpstreamRefused, retry_after_ms: RETRY_AFTER_MS };
            let _gone = reply.send(Reply::Refused(refusal));
            self.drain(call, incoming, connection).await;
            self.ended(CallEnd::Refused);
            return;
        }
        if !has_end(parts.status, &parts.headers, &incoming) {
            let _gone = reply.send(Reply::Lost);
            self.ended(CallEnd::Lost);
            return;
        }
        let (sender, receiver) = body();
        let answer = Answer {
            head: AnswerHead { status: parts.status.as_u16(), upstream: call.upstream, domain },
            http: HttpAnswerHead {
                fields: passed_on(&parts.headers),
                body_bytes: incoming.size_hint().exact(),
            },
            body: receiver,
        };
        let _gone = reply.send(Reply::Answer(Box::new(answer)));
        let whole = pump(incoming, &sender, self.handle.clock().instant(call.deadline_at_ms)).await;
        if whole {
            self.upstreams.give_back(call.upstream, connection);
        }
        self.ended(if whole { CallEnd::Whole } else { CallEnd::Lost });
        if !whole {
            let _gone = sender.send(Err(BodyBroken)).await;
        }
    }

    /// Reads a short body to its end, so that the connection can be used again.
    async fn drain(&self, call: Call, incoming: Incoming, connection: Connection) {
        if incoming.collect().await.is_ok() {
            self.upstreams.give_back(call.upstream, connection);
        }
    }

    fn ended(&self, end: CallEnd) {
        let took_ms = self.started.elapsed().as_millis() as u64;
        self.handle.event(Event::CallEnded { exchange: self.exchange, end, took_ms });
    }
}

/// Moves a body on; returns whether it reached its end while somebody read it.
async fn pump(
    mut incoming: Incoming,
    sender: &BodySender,
    _deadline: tokio::time::Instant,
) -> bool {
    while let Some(frame) = incoming.frame().await {
        let Ok(frame) = frame else { return false };
        if let Ok(data) = frame.into_data()
            && sender.send(Ok(data)).await.is_err()
        {
            return false;
        }
    }
    true
}

fn request(
    head: &HttpRequestHead,
    body: Bytes,
    call: &Call,
    remaining_ms: u64,
) -> Option<Request<Full<Bytes>>> {
    let mut builder = Request::builder().method(&*head.method).uri(&*head.target);
    let own = |name: &str| matches!(name, TIMEOUT_MS | DEADLINE_MS);
    for (name, value) in head.fields.iter().filter(|(name, _)| !own(name)) {
        builder = builder.header(&**name, value.as_slice());
    }
    builder
        .header(hyper::header::HOST, call.address.to_string())
        .header(TIMEOUT_MS, remaining_ms)
        .header(DEADLINE_MS, call.deadline_at_ms)
        .body(Full::new(body))
        .ok()
}

/// Header fields that concern one connection only (RFC 9110, 7.6.1).
const HOP_BY_HOP: [&str; 9] = [
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Returns the header fields that are passed on to the next hop.
pub fn passed_on(headers: &HeaderMap) -> Vec<Field> {
    let named: Vec<String> = headers
        .get_all(hyper::header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();
    headers
        .iter()
        .filter(|(name, _)| !HOP_BY_HOP.contains(&name.as_str()))
        .filter(|(name, _)| !named.iter().any(|listed| listed == name.as_str()))
        .filter(|(name, _)| *name != CONTENT_LENGTH && *name != hyper::header::HOST)
        .map(|(name, value)| (name.as_str().into(), value.as_bytes().to_vec()))
        .collect()
}

fn is_not_started(status: StatusCode, headers: &HeaderMap) -> bool {
    status == StatusCode::SERVICE_UNAVAILABLE
        && headers.get(NOT_STARTED).is_some_and(|value| value == "true")
}

/// Whether the end of a body can be told from a connection that broke.
///
/// A body that ends with its connection looks the same whole and cut short; passed on, the caller
/// would take a part for the whole.
fn has_end(status: StatusCode, headers: &HeaderMap, incoming: &Incoming) -> bool {
    incoming.is_end_stream()
        || headers.contains_key(CONTENT_LENGTH)
        || headers.contains_key(TRANSFER_ENCODING)
        || matches!(status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED)
}

fn report(headers: &HeaderMap, made_at_ms: u64) -> Option<UpstreamReport> {
    let number = |name: &str| headers.get(name)?.to_str().ok()?.parse().ok();
    let in_flight = number("sedgepath-in-flight");
    let slots = number("sedgepath-slots");
    let leaving = headers.get("sedgepath-upstream-state").is_some_and(|value| value == "leaving");
    let says_something = in_flight.is_some() || slots.is_some() || leaving;
    says_something.then_some(UpstreamReport { in_flight, slots, leaving, made_at_ms })
}
