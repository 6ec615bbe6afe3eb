//! Takes callers' look-ups and requests over HTTP.
//!
//! `hyper` is used in place of `tiny_http`: it bounds the head's size and time, needs no thread for
//! an idle connection, and closes a connection whose answer broke off, so that a caller can't take
//! the next answer for the rest of this one. See docs/DESIGN.md.

use std::convert::Infallible;
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
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
use sedgepath_wire::frame::{HomeRequest, HttpRequestHead};
use sedgepath_wire::key::SharedKey;
use serde_json::json;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, watch};

use crate::driver::Handle;
use crate::exchange::passed_on;
use crate::hop::Hops;
use crate::limits::Limits;
use crate::metrics::Metrics;
use crate::reply::{Answer, Reply};

mod answers;
mod collect;
mod once;
mod reading;
mod relay;
mod serving;
mod tickets;

use answers::{
    ResponseBody, append, conclude, concluded, json_response, outcome_of, refused, whole_response,
};
use reading::{deadline_at_ms, number, query_value, read_body};
use relay::RelayBody;
use serving::{Served, Serving};

/// The header field that names a request; it is passed on to the upstream and stands on the answer.
const REQUEST_ID: &str = "sedgepath-request-id";

/// The path of look-ups.
const LOOK_UP_PATH: &str = "/v1/lookup";

/// The path of tickets.
const TICKETS_PATH: &str = "/v1/tickets";

/// The start of the paths of requests: `/v1/call/SERVICE/PATH`.
const CALL_PREFIX: &str = "/v1/call/";

/// What the tasks of callers' connections need.
#[derive(Debug)]
pub struct Callers {
    name: Box<str>,
    vm: VmKey,
    boot: BootId,
    handle: Handle,
    hops: Arc<Hops>,
    metrics: Arc<Metrics>,
    limits: Limits,
    ticket_key: SharedKey,
}

impl Callers {
    /// Creates the server of callers.
    pub fn new(
        name: Box<str>,
        boot: BootId,
        handle: Handle,
        hops: Arc<Hops>,
        metrics: Arc<Metrics>,
        limits: Limits,
        ticket_key: SharedKey,
    ) -> Arc<Self> {
        let vm = VmKey::of(&name);
        Arc::new(Self { name, vm, boot, handle, hops, metrics, limits, ticket_key })
    }

    /// Returns the way to the node.
    pub fn handle(&self) -> &Handle {
        &self.handle
    }

    /// Takes connections until `stop` says so, then lets those that are open finish their requests.
    pub async fn serve(self: Arc<Self>, listener: TcpListener, mut stop: watch::Receiver<bool>) {
        let connections = self.limits.connections;
        let places = Arc::new(Semaphore::new(connections));
        loop {
            let accepted = async {
                let place = Arc::clone(&places).acquire_owned().await.ok()?;
                Some((place, listener.accept().await.ok()?))
            };
            let accepted = tokio::select! {
                accepted = accepted => accepted,
                () = told_to_stop(&mut stop) => break,
            };
            let Some((place, (stream, from))) = accepted else { continue };
            let callers = Arc::clone(&self);
            let stop = stop.clone();
            tokio::spawn(async move {
                callers.connection(stream, from, stop).await;
                drop(place);
            });
        }
        drop(listener);
        // All places are free once the last connection has ended.
        let _closed = places.acquire_many(u32::try_from(connections).unwrap_or(u32::MAX)).await;
    }

    async fn connection(
        self: Arc<Self>,
        stream: TcpStream,
        from: SocketAddr,
        mut stop: watch::Receiver<bool>,
    ) {
        // Small answers must not wait for the acknowledgement of earlier ones.
        let _slower = stream.set_nodelay(true);
        let limits = self.limits;
        let service = service_fn(move |request| {
            let callers = Arc::clone(&self);
            async move { Ok::<_, Infallible>(callers.answer(request, from.ip()).await) }
        });
        let connection = hyper::server::conn::http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(limits.head_timeout())
            .max_buf_size(limits.head_bytes)
            .serve_connection(TokioIo::new(stream), service);
        let mut connection = std::pin::pin!(connection);
        let served = tokio::select! {
            served = connection.as_mut() => served,
            () = told_to_stop(&mut stop) => {
                connection.as_mut().graceful_shutdown();
                connection.await
            }
        };
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
        let id = request.headers().get(REQUEST_ID).cloned();
        let (mut response, outcome) = if request.uri().path() == LOOK_UP_PATH {
            (self.look_up(&request, source).await, "look_up")
        } else if request.uri().path() == TICKETS_PATH {
            (self.tickets(&request).await, "tickets")
        } else if request.uri().path().starts_with(CALL_PREFIX) {
            let response = self.call(request, source).await;
            let outcome = outcome_of(&response);
            (response, outcome)
        } else {
            (refused(StatusCode::NOT_FOUND, "no_such_path"), "invalid")
        };
        self.metrics.request(outcome, started.elapsed().as_secs_f64());
        let headers = response.headers_mut();
        if let Some(id) = id {
            // The caller tells by it that an answer, also one that the daemon gives, is its own.
            headers.insert(REQUEST_ID, id);
        }
        headers.insert("sedgepath-revision", HeaderValue::from(self.handle.revision()));
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

    async fn call(
        self: &Arc<Self>,
        request: Request<Incoming>,
        source: IpAddr,
    ) -> Response<ResponseBody> {
        let (parts, incoming) = request.into_parts();
        let path = &parts.uri.path()[CALL_PREFIX.len()..];
        let (service, rest) = path.split_once('/').unwrap_or((path, ""));
        let query = parts.uri.query().map(|query| format!("?{query}")).unwrap_or_default();
        let target = format!("/{rest}{query}");
        let key_digest = parts
            .headers
            .get("sedgepath-key")
            .map(|key| Digest::of(&[b"organisation key", key.as_bytes()]));
        let once = match once::once(&parts.headers, service, key_digest, &self.ticket_key) {
            Ok(once) => once,
            Err(error) => return refused(StatusCode::BAD_REQUEST, error.name()),
        };
        let body = match read_body(incoming, &self.limits).await {
            Ok(body) => body,
            Err(status) => return refused(status, "body"),
        };
        let now_ms = self.handle.clock().now_ms();
        let head = RequestHead {
            service: service.into(),
            source,
            key_digest,
            deadline_at_ms: deadline_at_ms(&parts.headers, now_ms, &self.limits),
            deduplication: once,
            attempt: once::attempt(&parts.headers),
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
        let served = Serving::new(Arc::clone(self), head, http, body).serve().await;
        self.response(served)
    }

    /// Serves a request that a peer has forwarded because this node is its ticket's home, by the
    /// path of a caller's own request.
    pub async fn take_home(
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
        match Serving::new(Arc::clone(self), head, http, body).serve().await {
            Served::Answer { answer, request, is_ended } => {
                if !is_ended {
                    let event = Event::RelayEnded { request, whole: true, stored: None };
                    self.handle.event(event);
                }
                Reply::Answer(answer)
            }
            served => concluded(self.response(served)).await,
        }
    }

    fn response(&self, served: Served) -> Response<ResponseBody> {
        match served {
            Served::Answer { answer, request, is_ended } => self.relay(*answer, request, is_ended),
            Served::Outcome(outcome) => conclude(&outcome, self.handle.clock().now_ms()),
            Served::Passed { status, fields, body } => {
                let status = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
                let mut response = whole_response(status, body);
                append(&mut response, &fields);
                response
            }
            Served::Stopping => refused(StatusCode::SERVICE_UNAVAILABLE, "not_ready"),
        }
    }

    fn relay(&self, answer: Answer, request: RequestKey, ended: bool) -> Response<ResponseBody> {
        let status = StatusCode::from_u16(answer.head.status).unwrap_or(StatusCode::BAD_GATEWAY);
        let body = RelayBody {
            parts: answer.body,
            left_bytes: answer.http.body_bytes,
            handle: self.handle.clone(),
            request,
            ended,
        };
        let mut response = Response::new(UnsyncBoxBody::new(body));
        *response.status_mut() = status;
        append(&mut response, &answer.http.fields);
        let headers = response.headers_mut();
        headers.insert("sedgepath-outcome", HeaderValue::from_static("answered"));
        if let Ok(name) = HeaderValue::from_str(&self.name) {
            headers.insert("sedgepath-entry-vm", name);
        }
        response
    }
}

/// Waits until the daemon stops.
async fn told_to_stop(stop: &mut watch::Receiver<bool>) {
    // An error says that the sender is gone, and the daemon with it.
    let _told = stop.wait_for(|stop| *stop).await.is_ok();
}
