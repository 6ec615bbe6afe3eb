//! Runs dispatched requests at upstreams that this node owns.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::{Body, Incoming};
use hyper::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use hyper::{HeaderMap, Method, Request, Response, StatusCode};
use sedgepath_core::event::{Action, Event, UpstreamReport};
use sedgepath_core::key::{BootId, DomainKey, ExchangeKey, VmKey};
use sedgepath_core::request::{AnswerHead, CallOutcome, Dispatch, Rejection, RejectionReason};
use sedgepath_wire::frame::{HeaderField, HttpRequestHead, HttpResponseHead};
use tokio::sync::{mpsc, oneshot};
use tokio::time::timeout;

use crate::driver::NodeHandle;
use crate::http_connection::{discard_body, has_contradictory_framing};
use crate::reply::{BodySender, Reply, UpstreamResponse, body_channel};
use crate::upstreams::{CallError, Connection, UpstreamCall, UpstreamPool};

/// The header by which an upstream states that it did not start a request.
pub const NOT_STARTED_HEADER: &str = "sedgepath-not-started";

/// The header with the time left until the deadline, in milliseconds.
pub const TIMEOUT_HEADER: &str = "sedgepath-timeout-ms";

/// The header with the deadline, in milliseconds since the Unix epoch.
pub const DEADLINE_HEADER: &str = "sedgepath-deadline-ms";

/// The header with the id of a call, which a cancellation repeats.
pub const CALL_ID_HEADER: &str = "sedgepath-call-id";

/// The path for cancellations. The upstream responds with 200 only if the request will never run.
const CANCEL_PATH: &str = "/cancel";

/// How long before its deadline a call is canceled, in milliseconds.
///
/// A call that ends at its deadline has an unknown outcome. If the upstream confirms the
/// cancellation in time, the request was certainly not run, and the caller may retry it.
///
/// The upstream is given the time of the cancellation as the deadline: a request that it starts just
/// before then still has this long to end before its slot is used again.
const CANCEL_RESERVE_MS: u64 = 100;

/// The longest that a body may make no progress.
///
/// An upstream that stops sending, or a caller that stops reading, would otherwise hold one of the
/// upstream's slots indefinitely.
const STALL_TIMEOUT: Duration = Duration::from_secs(20);

/// The time to retry after a rejection by an upstream, in milliseconds.
const RETRY_AFTER_MS: u64 = 200;

/// Runs dispatched requests.
#[derive(Debug, Clone)]
pub struct DispatchRunner {
    handle: NodeHandle,
    upstreams: Arc<UpstreamPool>,
    boot: BootId,
}

impl DispatchRunner {
    /// Creates a runner whose call ids contain the process's boot id.
    pub fn new(handle: NodeHandle, upstreams: Arc<UpstreamPool>, boot: BootId) -> Self {
        Self { handle, upstreams, boot }
    }

    /// Starts a dispatch. Dropping the receiver reports the dispatch as canceled, unless the call
    /// to the upstream has begun.
    pub fn start(
        &self,
        from: VmKey,
        dispatch: Dispatch,
        head: HttpRequestHead,
        body: Bytes,
    ) -> oneshot::Receiver<Reply> {
        let (sender, receiver) = oneshot::channel();
        let (exchange, actions) = self.handle.start_dispatch(from, dispatch);
        let run = DispatchRun {
            handle: self.handle.clone(),
            upstreams: Arc::clone(&self.upstreams),
            exchange,
            call_id: format!("{:016x}-{:x}", self.boot.0, exchange.0).into(),
            started: Instant::now(),
        };
        tokio::spawn(run.run(head, body, actions, sender));
        receiver
    }
}

/// A response whose head has arrived.
struct ArrivedResponse {
    response: Response<Incoming>,
    connection: Connection,
    is_head: bool,
}

/// A dispatch in progress.
struct DispatchRun {
    handle: NodeHandle,
    upstreams: Arc<UpstreamPool>,
    exchange: ExchangeKey,
    call_id: Box<str>,
    started: Instant,
}

impl DispatchRun {
    async fn run(
        self,
        head: HttpRequestHead,
        body: Bytes,
        mut actions: mpsc::UnboundedReceiver<Action>,
        mut reply: oneshot::Sender<Reply>,
    ) {
        let mut canceled = false;
        loop {
            let action = tokio::select! {
                action = actions.recv() => action,
                () = reply.closed(), if !canceled => {
                    canceled = true;
                    self.handle.send_event(Event::DispatchCanceled { exchange: self.exchange });
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
                    let call =
                        UpstreamCall { upstream, address, may_open, send_by_ms, deadline_at_ms };
                    self.run_call(call, domain, head, body, reply).await;
                    return;
                }
                Some(Action::RejectDispatch { refusal: rejection, .. }) => {
                    let _canceled = reply.send(Reply::Rejected(rejection));
                    return;
                }
                Some(_) => {}
                None => return,
            }
        }
    }

    async fn run_call(
        &self,
        call: UpstreamCall,
        domain: DomainKey,
        head: HttpRequestHead,
        body: Bytes,
        reply: oneshot::Sender<Reply>,
    ) {
        let now_ms = self.handle.clock().now_ms();
        let is_head = &*head.method == Method::HEAD.as_str();
        let cancel_at_ms = call.deadline_at_ms.saturating_sub(CANCEL_RESERVE_MS).max(now_ms);
        let shortened = UpstreamCall { deadline_at_ms: cancel_at_ms, ..call };
        let Some(request) = self.build_request(&head, body, &shortened, now_ms) else {
            self.reply_not_sent(reply);
            return;
        };
        match self.upstreams.call(shortened, request).await {
            Ok((response, connection)) => {
                let arrived = ArrivedResponse { response, connection, is_head };
                self.relay_response(call, domain, arrived, reply).await;
            }
            Err(CallError::NotSent) => self.reply_not_sent(reply),
            Err(CallError::ResponseLost) if self.cancel(call).await => {
                let rejection = Rejection {
                    reason: RejectionReason::Cancelled,
                    retry_after_ms: RETRY_AFTER_MS,
                };
                let _canceled = reply.send(Reply::Rejected(rejection));
                self.report_outcome(CallOutcome::Cancelled);
            }
            Err(CallError::ResponseLost) => {
                let _canceled = reply.send(Reply::ResponseLost);
                self.report_outcome(CallOutcome::Lost);
            }
        }
    }

    fn reply_not_sent(&self, reply: oneshot::Sender<Reply>) {
        let _canceled = reply.send(Reply::NotSent);
        self.report_outcome(CallOutcome::NotSent);
    }

    /// Cancels the call at the upstream; returns true only if it confirms that the request will
    /// never run.
    async fn cancel(&self, call: UpstreamCall) -> bool {
        let request = Request::post(CANCEL_PATH)
            .header(hyper::header::HOST, call.address.to_string())
            .header(CALL_ID_HEADER, &*self.call_id)
            .body(Full::default());
        let Ok(request) = request else { return false };
        match self.upstreams.call(call, request).await {
            Ok((response, connection)) => {
                let confirmed = response.status() == StatusCode::OK;
                self.drain(call, response.into_body(), connection).await;
                confirmed
            }
            Err(_) => false,
        }
    }

    fn build_request(
        &self,
        head: &HttpRequestHead,
        body: Bytes,
        call: &UpstreamCall,
        now_ms: u64,
    ) -> Option<Request<Full<Bytes>>> {
        let is_set_here =
            |name: &str| matches!(name, TIMEOUT_HEADER | DEADLINE_HEADER | CALL_ID_HEADER);
        let mut builder = Request::builder().method(&*head.method).uri(&*head.target);
        for (name, value) in head.fields.iter().filter(|(name, _)| !is_set_here(name)) {
            builder = builder.header(&**name, value.as_slice());
        }
        builder
            .header(hyper::header::HOST, call.address.to_string())
            .header(TIMEOUT_HEADER, call.deadline_at_ms.saturating_sub(now_ms))
            .header(DEADLINE_HEADER, call.deadline_at_ms)
            .header(CALL_ID_HEADER, &*self.call_id)
            .body(Full::new(body))
            .ok()
    }

    async fn relay_response(
        &self,
        call: UpstreamCall,
        domain: DomainKey,
        arrived: ArrivedResponse,
        reply: oneshot::Sender<Reply>,
    ) {
        let ArrivedResponse { response, connection, is_head } = arrived;
        let (parts, incoming) = response.into_parts();
        if let Some(report) = parse_report(&parts.headers, self.handle.clock().now_ms()) {
            self.handle.send_event(Event::UpstreamReport { upstream: call.upstream, report });
        }
        if is_not_started(parts.status, &parts.headers) {
            let rejection = Rejection {
                reason: RejectionReason::UpstreamRefused,
                retry_after_ms: RETRY_AFTER_MS,
            };
            let _canceled = reply.send(Reply::Rejected(rejection));
            self.drain(call, incoming, connection).await;
            self.report_outcome(CallOutcome::Refused);
            return;
        }
        if !is_framed(parts.status, &parts.headers, &incoming) {
            let _canceled = reply.send(Reply::ResponseLost);
            self.report_outcome(CallOutcome::Lost);
            return;
        }
        let mut fields = end_to_end_headers(&parts.headers);
        if is_head && let Some(length) = parts.headers.get(CONTENT_LENGTH) {
            // The length that a GET would have; the response to a HEAD has no body.
            fields.push((CONTENT_LENGTH.as_str().into(), length.as_bytes().to_vec()));
        }
        let (sender, receiver) = body_channel();
        let response = UpstreamResponse {
            head: AnswerHead { status: parts.status.as_u16(), upstream: call.upstream, domain },
            http: HttpResponseHead { fields, body_bytes: incoming.size_hint().exact() },
            body: receiver,
        };
        let _canceled = reply.send(Reply::UpstreamResponse(Box::new(response)));
        let complete = forward_body(incoming, &connection, &sender).await;
        if complete {
            self.upstreams.release(call.upstream, connection);
        }
        self.report_outcome(if complete { CallOutcome::Completed } else { CallOutcome::Lost });
        if complete {
            sender.finish();
        }
    }

    /// Reads a short body to its end, so that the connection can be reused.
    async fn drain(&self, call: UpstreamCall, incoming: Incoming, connection: Connection) {
        if discard_body(incoming).await {
            self.upstreams.release(call.upstream, connection);
        }
    }

    fn report_outcome(&self, end: CallOutcome) {
        let took_ms = self.started.elapsed().as_millis() as u64;
        self.handle.send_event(Event::CallEnded { exchange: self.exchange, end, took_ms });
    }
}

/// Forwards a body; returns whether it was complete and its receiver took all of it.
async fn forward_body(
    mut incoming: Incoming,
    connection: &Connection,
    sender: &BodySender,
) -> bool {
    loop {
        let Ok(frame) = timeout(STALL_TIMEOUT, incoming.frame()).await else { return false };
        connection.record_data();
        let Some(frame) = frame else { return true };
        let Ok(frame) = frame else { return false };
        let Ok(data) = frame.into_data() else { continue };
        if !matches!(timeout(STALL_TIMEOUT, sender.send(data)).await, Ok(Ok(()))) {
            return false;
        }
    }
}

/// Headers that apply to one connection only (RFC 9110, section 7.6.1).
const HOP_BY_HOP_HEADERS: [&str; 9] = [
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

/// Returns the headers that are forwarded to the next hop.
pub fn end_to_end_headers(headers: &HeaderMap) -> Vec<HeaderField> {
    let connection_options: Vec<String> = headers
        .get_all(hyper::header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();
    headers
        .iter()
        .filter(|(name, _)| !HOP_BY_HOP_HEADERS.contains(&name.as_str()))
        .filter(|(name, _)| !connection_options.iter().any(|listed| listed == name.as_str()))
        .filter(|(name, _)| *name != CONTENT_LENGTH && *name != hyper::header::HOST)
        .map(|(name, value)| (name.as_str().into(), value.as_bytes().to_vec()))
        .collect()
}

fn is_not_started(status: StatusCode, headers: &HeaderMap) -> bool {
    status == StatusCode::SERVICE_UNAVAILABLE
        && headers.get(NOT_STARTED_HEADER).is_some_and(|value| value == "true")
}

/// Returns whether the end of a body can be distinguished from a connection failure.
///
/// A body that ends with its connection looks the same complete and truncated; the caller would
/// take a truncated one as complete.
fn is_framed(status: StatusCode, headers: &HeaderMap, incoming: &Incoming) -> bool {
    if incoming.is_end_stream() {
        return true;
    }
    if has_contradictory_framing(headers) {
        return false;
    }
    headers.contains_key(CONTENT_LENGTH)
        || is_chunked(headers)
        || matches!(status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED)
}

/// Returns whether the last coding of a body is chunked; with another one, the body ends with its connection (RFC
/// 9112, section 6.3).
fn is_chunked(headers: &HeaderMap) -> bool {
    let last_field = headers.get_all(TRANSFER_ENCODING).iter().next_back();
    let codings = last_field.and_then(|value| value.to_str().ok());
    let last_coding = codings.and_then(|codings| codings.rsplit(',').next());
    last_coding.is_some_and(|coding| coding.trim().eq_ignore_ascii_case("chunked"))
}

fn parse_report(headers: &HeaderMap, made_at_ms: u64) -> Option<UpstreamReport> {
    let number = |name: &str| headers.get(name)?.to_str().ok()?.parse().ok();
    let in_flight = number("sedgepath-in-flight");
    let slots = number("sedgepath-slots");
    let leaving = headers.get("sedgepath-upstream-state").is_some_and(|value| value == "leaving");
    let has_content = in_flight.is_some() || slots.is_some() || leaving;
    has_content.then_some(UpstreamReport { in_flight, slots, leaving, made_at_ms })
}
