//! HTTP server for callers: look-ups, tickets and requests to services.
//!
//! The server is built on `hyper`, which limits the size and arrival time of a request's head, needs
//! no thread for an idle connection, and closes a connection whose response body was aborted, so
//! that a caller can't mistake the next response for the rest of this one.

use std::convert::Infallible;
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Instant;

use bytes::Bytes;
use http_body_util::combinators::UnsyncBoxBody;
use hyper::body::Incoming;
use hyper::header::HeaderValue;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use sedgepath_core::event::{Event, LookUp, LookUpError};
use sedgepath_core::hash::Digest;
use sedgepath_core::key::{BootId, RequestKey, VmKey};
use sedgepath_core::request::RequestHead;
use sedgepath_wire::frame::{HeaderField, HomeRequest, HttpRequestHead};
use sedgepath_wire::key::SharedKey;
use serde_json::json;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, Semaphore, watch};

use crate::caller_connection::serve_until_stopped;
use crate::close_delimited::UnfinishedBody;
use crate::dispatch::end_to_end_headers;
use crate::driver::NodeHandle;
use crate::hop::HopClient;
use crate::limits::Limits;
use crate::lingering_close::LingeringStream;
use crate::metrics::Metrics;
use crate::open_count::OpenCount;
use crate::reply::{Reply, UpstreamResponse};

mod collect;
mod deduplication;
mod parsing;
mod relay;
mod request_task;
mod responses;
mod tickets;

use parsing::{header_number, parse_deadline_at_ms, query_value, read_body};
use relay::RelayBody;
use request_task::{RequestResult, RequestTask};
use responses::{
    ResponseBody, append_headers, full_response, into_home_reply, json_response, outcome_label,
    outcome_response, rejection_response,
};

/// The header that identifies a request; it is forwarded to the upstream and copied to the response.
const REQUEST_ID_HEADER: &str = "sedgepath-request-id";

/// The path of look-up requests.
const LOOK_UP_PATH: &str = "/v1/lookup";

/// The path of ticket requests.
const TICKETS_PATH: &str = "/v1/tickets";

/// The prefix of the paths of requests to services: `/v1/call/SERVICE/PATH`.
const CALL_PATH_PREFIX: &str = "/v1/call/";

/// State shared by the tasks that serve callers' connections.
#[derive(Debug)]
pub struct CallerServer {
    name: Box<str>,
    vm: VmKey,
    boot: BootId,
    handle: NodeHandle,
    hops: Arc<HopClient>,
    metrics: Arc<Metrics>,
    limits: Limits,
    ticket_key: SharedKey,
    process_ending: AtomicBool,
    open_connections: OpenCount,
}

impl CallerServer {
    /// Creates the server for callers.
    pub fn new(
        name: Box<str>,
        boot: BootId,
        handle: NodeHandle,
        hops: Arc<HopClient>,
        metrics: Arc<Metrics>,
        limits: Limits,
        ticket_key: SharedKey,
    ) -> Arc<Self> {
        let vm = VmKey::of(&name);
        Arc::new(Self {
            name,
            vm,
            boot,
            handle,
            hops,
            metrics,
            limits,
            ticket_key,
            process_ending: AtomicBool::new(false),
            open_connections: OpenCount::new(),
        })
    }

    /// Returns the handle to the node.
    pub fn handle(&self) -> &NodeHandle {
        &self.handle
    }

    /// Returns the count of callers' open connections.
    pub fn open_connections(&self) -> OpenCount {
        self.open_connections.clone()
    }

    /// Records that the process ends: a response that isn't whole from now on is cut by this end, not by its
    /// caller.
    pub fn begin_process_end(&self) {
        self.process_ending.store(true, Ordering::Relaxed);
    }

    /// Returns whether the end of the process has begun.
    pub fn is_process_ending(&self) -> bool {
        self.process_ending.load(Ordering::Relaxed)
    }

    /// Accepts connections until `stop` becomes true, then waits until the open connections have
    /// finished their requests.
    pub async fn serve(self: Arc<Self>, listener: TcpListener, mut stop: watch::Receiver<bool>) {
        let permits = Arc::new(Semaphore::new(self.limits.connections));
        loop {
            let accepted = async {
                let permit = Arc::clone(&permits).acquire_owned().await.ok()?;
                Some((permit, listener.accept().await.ok()?))
            };
            let accepted = tokio::select! {
                accepted = accepted => accepted,
                () = wait_for_stop(&mut stop) => break,
            };
            let Some((permit, (stream, from))) = accepted else { continue };
            let callers = Arc::clone(&self);
            let stop = stop.clone();
            let open = self.open_connections.open();
            tokio::spawn(async move {
                callers.serve_connection(stream, from, stop).await;
                drop((open, permit));
            });
        }
        drop(listener);
        self.open_connections.wait_until_none().await;
    }

    async fn serve_connection(
        self: Arc<Self>,
        stream: TcpStream,
        from: SocketAddr,
        mut stop: watch::Receiver<bool>,
    ) {
        // Small responses must not wait for the acknowledgement of earlier ones.
        let _best_effort = stream.set_nodelay(true);
        let limits = self.limits;
        let request_arrived = Notify::new();
        let unfinished_body = UnfinishedBody::default();
        let service = service_fn(|request: Request<Incoming>| {
            request_arrived.notify_one();
            let version = request.version();
            let (callers, unfinished_body) = (Arc::clone(&self), unfinished_body.clone());
            async move {
                let response = callers.handle_request(request, from.ip()).await;
                Ok::<_, Infallible>(unfinished_body.follow(response, version))
            }
        });
        let stream = LingeringStream::new(stream).with_unfinished_body(unfinished_body.clone());
        let connection = hyper::server::conn::http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(limits.head_timeout())
            .max_buf_size(limits.head_bytes)
            .serve_connection(TokioIo::new(stream), service);
        let stopping = wait_for_stop(&mut stop);
        let result = serve_until_stopped(connection, &request_arrived, stopping).await;
        if let Err(error) = result {
            log::debug!("event=caller_connection_ended error={:?}", error.to_string());
        }
    }

    async fn handle_request(
        self: Arc<Self>,
        request: Request<Incoming>,
        source: IpAddr,
    ) -> Response<ResponseBody> {
        let started = Instant::now();
        let id = request.headers().get(REQUEST_ID_HEADER).cloned();
        let (mut response, outcome) = if request.uri().path() == LOOK_UP_PATH {
            (self.handle_look_up(&request, source).await, "look_up")
        } else if request.uri().path() == TICKETS_PATH {
            (self.handle_tickets(&request).await, "tickets")
        } else if request.uri().path().starts_with(CALL_PATH_PREFIX) {
            let response = self.handle_call(request, source).await;
            let outcome = outcome_label(&response);
            (response, outcome)
        } else {
            (rejection_response(StatusCode::NOT_FOUND, "no_such_path"), "invalid")
        };
        self.metrics.record_request(outcome, started.elapsed().as_secs_f64());
        let headers = response.headers_mut();
        if let Some(id) = id {
            // Lets the caller match the response to its request, also if the daemon itself responds.
            headers.insert(REQUEST_ID_HEADER, id);
        }
        headers.insert("sedgepath-revision", HeaderValue::from(self.handle.revision()));
        response
    }

    async fn handle_look_up(
        &self,
        request: &Request<Incoming>,
        source: IpAddr,
    ) -> Response<ResponseBody> {
        if request.method() != Method::GET {
            return rejection_response(StatusCode::METHOD_NOT_ALLOWED, "method_not_allowed");
        }
        let Some(service) = query_value(request.uri().query(), "service") else {
            return rejection_response(StatusCode::BAD_REQUEST, "service_missing");
        };
        let revision_seen = header_number(request.headers(), "sedgepath-revision").unwrap_or(0);
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
            Some(Err(LookUpError::NoService)) => {
                rejection_response(StatusCode::NOT_FOUND, "no_service")
            }
            Some(Err(LookUpError::Configuration)) | None => {
                rejection_response(StatusCode::SERVICE_UNAVAILABLE, "configuration")
            }
        }
    }

    async fn handle_call(
        self: &Arc<Self>,
        request: Request<Incoming>,
        source: IpAddr,
    ) -> Response<ResponseBody> {
        let (parts, incoming) = request.into_parts();
        let path = &parts.uri.path()[CALL_PATH_PREFIX.len()..];
        let (service, rest) = path.split_once('/').unwrap_or((path, ""));
        let query = parts.uri.query().map(|query| format!("?{query}")).unwrap_or_default();
        let target = format!("/{rest}{query}");
        let key_digest = parts
            .headers
            .get("sedgepath-key")
            .map(|key| Digest::of(&[b"organisation key", key.as_bytes()]));
        let deduplication = match deduplication::parse_deduplication(
            &parts.headers,
            service,
            key_digest,
            &self.ticket_key,
        ) {
            Ok(deduplication) => deduplication,
            Err(error) => return rejection_response(StatusCode::BAD_REQUEST, error.name()),
        };
        let body = match read_body(incoming, &self.limits).await {
            Ok(body) => body,
            Err(status) => return rejection_response(status, "body"),
        };
        let now_ms = self.handle.clock().now_ms();
        let head = RequestHead {
            service: service.into(),
            source,
            key_digest,
            deadline_at_ms: parse_deadline_at_ms(&parts.headers, now_ms, &self.limits),
            deduplication,
            attempt: deduplication::attempt_number(&parts.headers),
            idempotent: parts.method.is_idempotent(),
            digest: Digest::of(&[
                parts.method.as_str().as_bytes(),
                parts.uri.path().as_bytes(),
                query.as_bytes(),
                &body,
            ]),
            revision_seen: header_number(&parts.headers, "sedgepath-revision").unwrap_or(0),
            forwarded_by: None,
        };
        let http = HttpRequestHead {
            method: parts.method.as_str().into(),
            target: target.into(),
            fields: end_to_end_headers(&parts.headers),
            body_bytes: body.len() as u64,
        };
        let result = RequestTask::new(Arc::clone(self), head, http, body).serve().await;
        self.build_response(result)
    }

    /// Serves a request that a peer forwarded because this node is the home of the request's ticket.
    /// The request is processed in the same way as one from a caller.
    pub async fn serve_as_home(
        self: &Arc<Self>,
        from: VmKey,
        home: HomeRequest,
        http: HttpRequestHead,
        body: Bytes,
    ) -> Reply {
        let head = RequestHead {
            service: home.service,
            source: home.caller_ip,
            key_digest: home.key_digest,
            deadline_at_ms: self.handle.clock().now_ms().saturating_add(home.remaining_ms),
            deduplication: home.deduplication,
            attempt: home.attempt,
            idempotent: false,
            digest: home.digest,
            revision_seen: 0,
            forwarded_by: Some(from),
        };
        match RequestTask::new(Arc::clone(self), head, http, body).serve().await {
            RequestResult::Response { response, request, end_reported, .. } => {
                if !end_reported {
                    let event = Event::RelayEnded { request, whole: true, stored: None };
                    self.handle.send_event(event);
                }
                Reply::UpstreamResponse(response)
            }
            result => into_home_reply(self.build_response(result)).await,
        }
    }

    fn build_response(self: &Arc<Self>, result: RequestResult) -> Response<ResponseBody> {
        match result {
            RequestResult::Response { response, request, id, end_reported } => {
                self.relay_response(*response, request, id, end_reported)
            }
            RequestResult::Outcome(outcome) => {
                outcome_response(&outcome, self.handle.clock().now_ms())
            }
            RequestResult::HomeResponse { status, fields, body } => {
                let status = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
                let mut response = full_response(status, body);
                append_headers(&mut response, &fields);
                response
            }
        }
    }

    fn relay_response(
        self: &Arc<Self>,
        upstream_response: UpstreamResponse,
        request: RequestKey,
        id: Box<str>,
        end_reported: bool,
    ) -> Response<ResponseBody> {
        let status =
            StatusCode::from_u16(upstream_response.head.status).unwrap_or(StatusCode::BAD_GATEWAY);
        let body = RelayBody {
            chunks: upstream_response.body,
            remaining_bytes: upstream_response.http.body_bytes,
            callers: Arc::clone(self),
            request,
            id,
            end_reported,
            ended: false,
        };
        let mut response = Response::new(UnsyncBoxBody::new(body));
        *response.status_mut() = status;
        append_headers(&mut response, &upstream_response.http.fields);
        let headers = response.headers_mut();
        headers.insert("sedgepath-outcome", HeaderValue::from_static("answered"));
        if let Ok(name) = HeaderValue::from_str(&self.name) {
            headers.insert("sedgepath-entry-vm", name);
        }
        response
    }
}

/// Returns the caller's identifier of a request for the log, `none` if it has none.
pub fn request_id(fields: &[HeaderField]) -> Box<str> {
    let id = fields.iter().find(|(name, _)| &**name == REQUEST_ID_HEADER);
    id.map_or_else(|| "none".into(), |(_, id)| String::from_utf8_lossy(id).into())
}

/// Waits until a planned stop begins.
async fn wait_for_stop(stop: &mut watch::Receiver<bool>) {
    // An error means that the sender was dropped, which happens only when the daemon ends.
    let _stopping = stop.wait_for(|stop| *stop).await.is_ok();
}
