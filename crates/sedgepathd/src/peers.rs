//! Accepts connections of peers and runs the requests on them.

use std::sync::Arc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use sedgepath_wire::frame::{
    ExchangeId, Frame, FrameError, FrameStream, HttpRequestHead, MAX_CHUNK_BYTES, PeerOperation,
};
use sedgepath_wire::key::SharedKey;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;
use tokio::time::timeout;

use crate::callers::{CallerServer, request_id};
use crate::dispatch::DispatchRunner;
use crate::metrics::Metrics;
use crate::open_count::OpenCount;
use crate::reply::{Reply, UpstreamResponse};
use crate::ticket_handover;

/// The most connections of peers at once.
const MAX_CONNECTIONS: usize = 1_024;

/// Timeout of the handshake, and of receiving the rest of a request once it has begun.
const RECEIVE_TIMEOUT: Duration = Duration::from_secs(10);

/// The largest request body that a peer may send, in bytes.
const MAX_BODY_BYTES: usize = 8 * 1024 * 1024;

/// Serves the connections of peers.
#[derive(Debug)]
pub struct PeerServer {
    key: SharedKey,
    exchanges: DispatchRunner,
    callers: Arc<CallerServer>,
    metrics: Arc<Metrics>,
    open_requests: OpenCount,
}

/// A request of a peer whose reply isn't completely written; it logs that the end of the process cuts the reply.
struct UnwrittenReply {
    callers: Arc<CallerServer>,
    /// The request's identifier for the log.
    id: Box<str>,
    is_written: bool,
}

impl UnwrittenReply {
    fn new(callers: &Arc<CallerServer>, head: &HttpRequestHead) -> Self {
        Self { callers: Arc::clone(callers), id: request_id(&head.fields), is_written: false }
    }
}

impl Drop for UnwrittenReply {
    fn drop(&mut self) {
        if !self.is_written && self.callers.is_process_ending() {
            log::info!("event=response_cut request={:?}", self.id);
        }
    }
}

impl PeerServer {
    /// Creates a server that verifies handshakes with `key`.
    pub fn new(
        key: SharedKey,
        exchanges: DispatchRunner,
        callers: Arc<CallerServer>,
        metrics: Arc<Metrics>,
    ) -> Arc<Self> {
        Arc::new(Self { key, exchanges, callers, metrics, open_requests: OpenCount::new() })
    }

    /// Returns the count of peers' requests whose replies aren't completely written.
    pub fn open_requests(&self) -> OpenCount {
        self.open_requests.clone()
    }

    /// Accepts connections until the process ends.
    pub async fn serve(self: Arc<Self>, listener: TcpListener) {
        let permits = Arc::new(Semaphore::new(MAX_CONNECTIONS));
        loop {
            let Ok(permit) = Arc::clone(&permits).acquire_owned().await else {
                return;
            };
            let Ok((stream, _)) = listener.accept().await else {
                continue;
            };
            let peers = Arc::clone(&self);
            tokio::spawn(async move {
                if let Err(error) = peers.serve_connection(stream).await {
                    peers.metrics.count_dropped("frame", error.name());
                    log::debug!("event=peer_connection_ended reason={}", error.name());
                }
                drop(permit);
            });
        }
    }

    async fn serve_connection(&self, stream: TcpStream) -> Result<(), FrameError> {
        // Small frames must not wait for the acknowledgement of earlier ones.
        let _ignored = stream.set_nodelay(true);
        let handshake = FrameStream::accept(stream, &self.key, fastrand::u64(..));
        let mut stream = with_timeout(handshake).await?;
        loop {
            let Frame::Request { id, purpose, head } = stream.receive().await? else {
                return Err(FrameError::UnexpectedFrame);
            };
            let body = with_timeout(receive_body(&mut stream, &head)).await?;
            let _open = self.open_requests.open();
            let mut unwritten = UnwrittenReply::new(&self.callers, &head);
            self.handle_request(&mut stream, id, purpose, head, body).await?;
            unwritten.is_written = true;
        }
    }

    async fn handle_request(
        &self,
        stream: &mut FrameStream<TcpStream>,
        id: ExchangeId,
        purpose: PeerOperation,
        head: HttpRequestHead,
        body: Bytes,
    ) -> Result<(), FrameError> {
        let reply = async {
            match purpose {
                PeerOperation::Run(dispatch) => {
                    let reply = self.exchanges.start(id.ingress, dispatch, head, body);
                    Ok(reply.await.unwrap_or(Reply::ResponseLost))
                }
                PeerOperation::ServeAsHome(home) => {
                    Ok(self.callers.serve_as_home(id.ingress, home, head, body).await)
                }
                PeerOperation::StoreTickets => {
                    ticket_handover::store_tickets(self.callers.handle(), &body)
                }
            }
        };
        let reply = tokio::select! {
            reply = reply => reply?,
            // The ingress sends nothing while it waits, so this means that it has disconnected.
            _ = stream.wait_for_close() => return Err(FrameError::UnexpectedFrame),
        };
        match reply {
            Reply::UpstreamResponse(response) => relay_response(stream, id, *response).await,
            Reply::Rejected(refusal) => stream.send(&Frame::Refused { id, refusal }).await,
            Reply::NotSent => {
                let refusal = not_sent_rejection();
                stream.send(&Frame::Refused { id, refusal }).await
            }
            Reply::ResponseLost => stream.send(&Frame::ResponseLost { id }).await,
            Reply::HomeResponse { status, fields, body } => {
                let body = body.to_vec();
                stream.send(&Frame::HomeResponse { id, status, fields, body }).await
            }
        }
    }
}

/// The rejection of a request that the owner could not send to the upstream, so that it was not
/// run.
fn not_sent_rejection() -> sedgepath_core::request::Rejection {
    sedgepath_core::request::Rejection {
        reason: sedgepath_core::request::RejectionReason::NoUpstream,
        retry_after_ms: 200,
    }
}

async fn relay_response(
    stream: &mut FrameStream<TcpStream>,
    id: ExchangeId,
    mut response: UpstreamResponse,
) -> Result<(), FrameError> {
    stream.send(&Frame::Answer { id, head: response.head, http: response.http }).await?;
    while let Some(part) = response.body.recv().await {
        let Ok(bytes) = part else {
            return stream.send(&Frame::BodyAborted).await;
        };
        for chunk in bytes.chunks(MAX_CHUNK_BYTES) {
            stream.send(&Frame::BodyChunk(chunk.to_vec())).await?;
        }
    }
    stream.send(&Frame::BodyEnd).await
}

async fn receive_body(
    stream: &mut FrameStream<TcpStream>,
    head: &HttpRequestHead,
) -> Result<Bytes, FrameError> {
    let mut body = BytesMut::new();
    loop {
        match stream.receive().await? {
            Frame::BodyChunk(bytes) if body.len() + bytes.len() <= MAX_BODY_BYTES => {
                body.extend_from_slice(&bytes);
            }
            Frame::BodyChunk(_) => return Err(FrameError::Oversize),
            // A body shorter than declared would be run as a different request.
            Frame::BodyEnd if body.len() as u64 == head.body_bytes => return Ok(body.freeze()),
            _ => return Err(FrameError::UnexpectedFrame),
        }
    }
}

async fn with_timeout<T>(
    future: impl Future<Output = Result<T, FrameError>>,
) -> Result<T, FrameError> {
    match timeout(RECEIVE_TIMEOUT, future).await {
        Ok(result) => result,
        Err(_elapsed) => Err(FrameError::Io(std::io::ErrorKind::TimedOut.into())),
    }
}
