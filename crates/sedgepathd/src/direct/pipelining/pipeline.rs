//! The requests of a caller's connection.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::future::poll_fn;
use std::io;
use std::net::IpAddr;
use std::rc::Rc;
use std::task::Poll;

use hyper::body::{Body as _, Incoming};
use hyper::header::{CONNECTION, HOST, HeaderValue};
use hyper::{HeaderMap, Request, Response, StatusCode, Uri, http};
use sedgepath_adapter::headers::RequestHeaders;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;
use tokio::sync::Notify;

use super::bounds::{MAX_IN_FLIGHT_REQUESTS, MAX_STARTED_PER_CONNECTION};
use super::early_request::EarlyRequest;
use super::plain_head;
use super::request_stream::RequestStream;
use crate::close_delimited::UnfinishedBody;
use crate::direct::attempt::io_error_name;
use crate::direct::clock;
use crate::direct::connection_pool::Body;
use crate::direct::forwarding::OwnResponse;
use crate::direct::ingress::{self, RequestArrival, RequestSource};
use crate::direct::logging::STOP_TARGET;
use crate::direct::request_body::BodyRead;
use crate::direct::responses::status_response;
use crate::direct::shared::{SharedState, StopPhase};
use crate::lingering_close::{LateBytes, LingerEnd, LingeringClose};

/// The largest response that is taken to fit into the receive buffer of a caller that doesn't read, in bytes.
const MAX_SMALL_RESPONSE_BYTES: u64 = 8 * 1024;

/// The bytes that are read ahead at once.
const READ_AHEAD_CHUNK_BYTES: usize = 2 * 1024;

/// A request whose turn it is.
#[derive(Debug)]
pub struct Turn {
    /// When its head was complete, in milliseconds.
    arrived_at_ms: u64,
    early: Option<EarlyRequest>,
}

/// The requests of a caller's connection: the one in progress, those that were started before their
/// turn, and the bytes behind them.
#[derive(Debug)]
pub struct Pipeline {
    shared: Rc<SharedState>,
    caller: IpAddr,
    max_read_ahead_bytes: usize,
    state: RefCell<PipelineState>,
    /// Notified when no request behind the one in progress is started or buffered.
    drained: Notify,
    unfinished_body: UnfinishedBody,
}

#[derive(Debug, Default)]
struct PipelineState {
    stream: RequestStream,
    early: VecDeque<EarlyRequest>,
    /// The target of a plain request in progress whose route hasn't been looked up.
    unchecked_target: Option<Target>,
    /// The bytes of this connection that count towards the VM's limit.
    counted_bytes: usize,
    unwritten: Option<UnwrittenResponse>,
    /// Whether a response may not have been received as its caller hasn't read it.
    has_large_response: bool,
}

impl PipelineState {
    /// Returns whether no request behind the one in progress is started or buffered.
    fn is_drained(&self) -> bool {
        self.early.is_empty() && self.stream.buffered_bytes() == 0
    }
}

/// A response of which hyper hasn't written the last byte.
#[derive(Debug)]
struct UnwrittenResponse {
    /// The attempt id of its request.
    attempt_id: Box<str>,
    /// Whether the body has a known length, so that hyper has it whole and has written it once nothing is left
    /// to flush.
    is_complete: bool,
}

/// What determines a request's route.
#[derive(Debug)]
struct Target {
    host: Option<HeaderValue>,
    uri: Uri,
}

impl Target {
    fn new(headers: &HeaderMap, uri: &Uri) -> Self {
        Self { host: headers.get(HOST).cloned(), uri: uri.clone() }
    }

    /// Returns whether requests may be started early whose target this is or that stand behind it.
    fn allows_early_start(&self, shared: &SharedState) -> bool {
        let host = self.host.as_ref().and_then(|host| host.to_str().ok()).or(self.uri.host());
        shared.steering.borrow().may_start_early(host.unwrap_or_default(), self.uri.path())
    }
}

impl Pipeline {
    /// Creates the pipeline of a connection that reads ahead at most `max_read_ahead_bytes`.
    pub fn new(shared: &Rc<SharedState>, caller: IpAddr, max_read_ahead_bytes: usize) -> Rc<Self> {
        Rc::new(Self {
            shared: Rc::clone(shared),
            caller,
            max_read_ahead_bytes,
            state: RefCell::default(),
            drained: Notify::new(),
            unfinished_body: UnfinishedBody::default(),
        })
    }

    /// Returns whether the connection has a body that ends with it and isn't whole.
    pub(super) fn unfinished_body(&self) -> UnfinishedBody {
        self.unfinished_body.clone()
    }

    /// Records that hyper has no more bytes to write for now.
    pub(super) fn record_flushed(&self) {
        let mut state = self.state.borrow_mut();
        state.unwritten.take_if(|response| response.is_complete);
    }

    /// Records that hyper has written everything and closes the connection, and begins to wait until the caller
    /// has it.
    pub(super) fn begin_close(&self) -> LingeringClose {
        let mut state = self.state.borrow_mut();
        state.unwritten = None;
        // Callers may take further requests for unprocessed only as long as those are unread.
        let late_bytes = if state.stream.is_within_request() {
            LateBytes::Discard
        } else {
            LateBytes::LeaveUnread
        };
        let close = LingeringClose::new(late_bytes);
        if state.has_large_response { close } else { close.with_short_limit() }
    }

    /// Counts a connection that this VM has closed.
    pub(super) fn count_close(&self, end: LingerEnd) {
        self.shared.metrics.count_closed_caller_connection(end);
    }

    /// Counts the failure of the connection.
    pub(super) fn count_failure(&self, error: &io::Error) {
        self.shared.metrics.count_failed_caller_connection(io_error_name(error));
    }

    /// Returns whether hyper may get more bytes now. Else a request is in progress, and further bytes
    /// belong to the next one.
    pub(super) fn may_pass(&self) -> bool {
        self.state.borrow().stream.may_pass()
    }

    /// Passes buffered bytes to hyper. Returns whether there were any.
    pub(super) fn pass_buffered(&self, buf: &mut ReadBuf<'_>) -> bool {
        let mut state = self.state.borrow_mut();
        if state.stream.buffered_bytes() == 0 {
            return false;
        }
        buf.put_slice(&state.stream.take(buf.remaining()));
        self.count_buffered(&mut state);
        if state.is_drained() {
            self.drained.notify_one();
        }
        true
    }

    /// Returns how many bytes of a chunk hyper may get, which was read while nothing was buffered.
    pub(super) fn pass_directly(&self, chunk: &[u8]) -> usize {
        let mut state = self.state.borrow_mut();
        let length = state.stream.pass_directly(chunk, clock::now_ms());
        if length < chunk.len() {
            self.count_buffered(&mut state);
        }
        length
    }

    /// Returns how many of the next bytes hyper may get.
    pub(super) fn passable_bytes(&self, bytes: &[u8]) -> usize {
        self.state.borrow().stream.passable_bytes(bytes)
    }

    /// Returns whether more bytes may be read ahead: at least a chunk on each connection, none while the VM
    /// stops.
    pub(super) fn may_read_ahead(&self) -> bool {
        if self.is_stopping() {
            return false;
        }
        let buffered_bytes = self.state.borrow().stream.buffered_bytes();
        let is_within_bounds = || {
            buffered_bytes < self.max_read_ahead_bytes
                && self.shared.pipeline_bounds.read_ahead_room_bytes() >= READ_AHEAD_CHUNK_BYTES
        };
        buffered_bytes == 0 || is_within_bounds()
    }

    /// Reads ahead from the socket and returns the number of bytes; 0 at its end.
    pub(super) fn read_ahead(&self, socket: &TcpStream) -> io::Result<usize> {
        let mut chunk = [0; READ_AHEAD_CHUNK_BYTES];
        let mut state = self.state.borrow_mut();
        // hyper may reject a head that exceeds its buffer, so none may be found here.
        let room_bytes = self.max_read_ahead_bytes.saturating_sub(state.stream.buffered_bytes());
        let length = socket.try_read(&mut chunk[..room_bytes.min(READ_AHEAD_CHUNK_BYTES)])?;
        state.stream.push(&chunk[..length], clock::now_ms());
        self.count_buffered(&mut state);
        Ok(length)
    }

    fn count_buffered(&self, state: &mut PipelineState) {
        let bytes = state.stream.buffered_bytes();
        self.shared.pipeline_bounds.set_read_ahead_bytes(&mut state.counted_bytes, bytes);
    }

    /// Starts the plain requests behind the one in progress, as far as the bounds allow.
    pub(super) fn start_early_requests(&self) {
        let mut state = self.state.borrow_mut();
        if state.stream.buffered_bytes() == 0 || self.is_stopping() {
            return;
        }
        if state.unchecked_target.take().is_some_and(|it| !it.allows_early_start(&self.shared)) {
            state.stream.stop_search();
        }
        while state.early.len() < MAX_STARTED_PER_CONNECTION
            && self.shared.in_flight_requests.get() < MAX_IN_FLIGHT_REQUESTS
            && let Some(reservation) = self.shared.pipeline_bounds.try_start(self.caller)
            && let Some(found) = state.stream.next_plain_head(|head| {
                Target::new(&head.headers, &head.uri).allows_early_start(&self.shared)
            })
        {
            let early = EarlyRequest::start(&self.shared, self.caller, found, reservation);
            state.early.push_back(early);
        }
    }

    /// Returns whether the VM has begun a planned stop.
    pub(super) fn is_stopping(&self) -> bool {
        *self.shared.stop_phase.borrow() >= StopPhase::Leaving
    }

    /// Begins the turn of a request that hyper has read.
    pub fn begin_turn(&self, request: &Request<Incoming>) -> Turn {
        let body_bytes = request.body().size_hint().exact();
        let is_plain = body_bytes == Some(0)
            && plain_head::is_plain(request.method(), request.version(), request.headers());
        let mut state = self.state.borrow_mut();
        // Most requests have none behind them, and need no second look-up of their route.
        state.unchecked_target = is_plain.then(|| Target::new(request.headers(), request.uri()));
        let reached = state.stream.record_reached(body_bytes, is_plain);
        let early = match state.early.front() {
            Some(early) if Some(early.head_end) == reached.end => state.early.pop_front(),
            // hyper has read other requests than were found.
            Some(early) if reached.end.is_none_or(|end| early.head_end < end) => {
                state.early.clear();
                None
            }
            _ => None,
        };
        if let Some(at_ms) = reached.arrived_at_ms {
            let start = if early.is_some() { "early" } else { "in_turn" };
            self.shared.metrics.count_pipelined_request(start);
            return Turn { arrived_at_ms: at_ms, early };
        }
        Turn { arrived_at_ms: clock::now_ms(), early }
    }

    /// Responds to the request whose turn it is.
    pub async fn respond(&self, turn: Turn, request: Request<Incoming>) -> Response<Body> {
        let (head, incoming) = request.into_parts();
        let version = head.version;
        let attempt_id = RequestHeaders::parse(&head.headers, &head.uri).attempt_id.into();
        let arrival = RequestArrival {
            source: RequestSource::Caller(self.caller),
            at_ms: turn.arrived_at_ms,
            was_started_early: false,
        };
        let mut response = match turn.early {
            Some(early) => match self.finish_early(early, &head).await {
                Some(response) => response,
                None => self.handle_again(head, incoming, arrival).await,
            },
            None => ingress::handle_arrived(&self.shared, head, Some(incoming), arrival).await,
        };
        if self.end_turn(attempt_id, &mut response) {
            // Reading was pending while the request was in progress, and no event of the socket follows.
            poll_fn(|cx| {
                cx.waker().wake_by_ref();
                Poll::Ready(())
            })
            .await;
        }
        self.unfinished_body.follow(response, version)
    }

    /// Handles a request again whose early start can't be used.
    ///
    /// The early start may have run it, so a rejection is answered with 502 rather than with a response
    /// that says that it hasn't run.
    async fn handle_again(
        &self,
        head: http::request::Parts,
        incoming: Incoming,
        arrival: RequestArrival,
    ) -> Response<Body> {
        let attempt_id: Box<str> =
            RequestHeaders::parse(&head.headers, &head.uri).attempt_id.into();
        // The configuration may have changed since the early start.
        if !Target::new(&head.headers, &head.uri).allows_early_start(&self.shared) {
            return status_response(StatusCode::BAD_GATEWAY, &attempt_id);
        }
        let arrival = RequestArrival { was_started_early: true, ..arrival };
        let response = ingress::handle_arrived(&self.shared, head, Some(incoming), arrival).await;
        match response.extensions().get() {
            Some(OwnResponse::Rejected(_)) => status_response(StatusCode::BAD_GATEWAY, &attempt_id),
            _ => response,
        }
    }

    /// Returns the response to a request that was started early; `None` if it must be handled again.
    async fn finish_early(
        &self,
        early: EarlyRequest,
        head: &http::request::Parts,
    ) -> Option<Response<Body>> {
        let (response, reason) = if early.matches(head) {
            (early.response().await, "memory")
        } else {
            (None, "differs")
        };
        if response.is_none() {
            let headers = RequestHeaders::parse(&head.headers, &head.uri);
            self.shared.metrics.count_pipelined_request("repeated");
            log::info!(
                "event=early_request_repeated request={} reason={reason}",
                headers.attempt_id
            );
        }
        response
    }

    /// Lets hyper read the next request. While the VM stops, the connection ends with the response to
    /// the last request that was started or read. Returns whether bytes are buffered.
    fn end_turn(&self, attempt_id: Box<str>, response: &mut Response<Body>) -> bool {
        let mut state = self.state.borrow_mut();
        state.stream.record_answered();
        let max_bytes = response.body().size_hint().upper();
        state.has_large_response |= max_bytes.is_none_or(|bytes| bytes > MAX_SMALL_RESPONSE_BYTES);
        if response.extensions().get::<BodyRead>().is_some() {
            state.stream.record_body_read();
        }
        state.unwritten = Some(UnwrittenResponse {
            attempt_id,
            is_complete: response.body().size_hint().exact().is_some(),
        });
        if state.is_drained() {
            self.drained.notify_one();
            if self.is_stopping() {
                response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
            }
        }
        state.stream.buffered_bytes() > 0
    }

    /// Waits until no request behind the one in progress is started or buffered.
    pub async fn wait_until_drained(&self) {
        while !self.state.borrow().is_drained() {
            self.drained.notified().await;
        }
    }
}

impl Drop for Pipeline {
    fn drop(&mut self) {
        let state = self.state.get_mut();
        if self.shared.is_process_ending()
            && let Some(UnwrittenResponse { attempt_id, .. }) = &state.unwritten
        {
            log::info!(target: STOP_TARGET, "event=response_cut request={attempt_id}");
        }
        self.shared.pipeline_bounds.set_read_ahead_bytes(&mut state.counted_bytes, 0);
    }
}
