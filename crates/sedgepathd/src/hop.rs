//! Sends requests from the ingress to the peer that owns an upstream, and returns the responses.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};

use bytes::Bytes;
use sedgepath_core::hash::Map;
use sedgepath_core::key::VmKey;
use sedgepath_wire::frame::{
    ExchangeId, Frame, FrameError, FrameStream, HttpRequestHead, MAX_CHUNK_BYTES, PeerOperation,
};
use sedgepath_wire::key::SharedKey;
use tokio::net::TcpStream;
use tokio::time::timeout_at;

use crate::dispatch::DispatchRunner;
use crate::driver::Clock;
use crate::metrics::Metrics;
use crate::reply::{BodySender, Reply, UpstreamResponse, body_channel};

/// The most idle connections that are kept to a peer.
const MAX_IDLE_PER_PEER: usize = 32;

/// Timeout of opening a connection to a peer, in milliseconds; ten times a response from another
/// region.
const CONNECT_TIMEOUT_MS: u64 = 500;

type PeerStream = FrameStream<TcpStream>;

/// The destination of a hop.
#[derive(Debug, Clone)]
pub struct HopTarget {
    /// The peer.
    pub vm: VmKey,
    /// The peer's address for frames.
    pub address: SocketAddr,
    /// The deadline of the hop, in milliseconds.
    pub deadline_at_ms: u64,
}

/// A request that is sent over the hop.
#[derive(Debug, Clone)]
pub struct HopRequest {
    /// Identifies the exchange.
    pub id: ExchangeId,
    /// The operation that the peer performs.
    pub operation: PeerOperation,
    /// The head of the request.
    pub head: HttpRequestHead,
    /// The body of the request.
    pub body: Bytes,
}

/// Sends requests to peers over connections that are kept open between requests.
#[derive(Debug)]
pub struct HopClient {
    own: VmKey,
    key: SharedKey,
    clock: Clock,
    exchanges: DispatchRunner,
    metrics: Arc<Metrics>,
    idle: Mutex<Map<SocketAddr, Vec<PeerStream>>>,
}

impl HopClient {
    /// Creates the client of a node; `exchanges` runs requests whose target is the node itself.
    pub fn new(
        own: VmKey,
        key: SharedKey,
        clock: Clock,
        exchanges: DispatchRunner,
        metrics: Arc<Metrics>,
    ) -> Arc<Self> {
        Arc::new(Self { own, key, clock, exchanges, metrics, idle: Mutex::default() })
    }

    /// Sends a request over the hop and returns its reply. Dropping the future, or the body of the
    /// response, tells the peer that the ingress no longer waits.
    pub async fn send(self: &Arc<Self>, target: HopTarget, request: HopRequest) -> Reply {
        if target.vm == self.own {
            return self.send_to_self(request).await;
        }
        let deadline = self.clock.instant(target.deadline_at_ms);
        let Some(stream) = self.connect(target.address, target.deadline_at_ms).await else {
            return Reply::NotSent;
        };
        match timeout_at(deadline, self.send_on(target.address, stream, request)).await {
            Ok(Ok(reply)) => reply,
            Ok(Err(error)) => {
                self.metrics.count_dropped("frame", error.name());
                Reply::ResponseLost
            }
            Err(_elapsed) => Reply::ResponseLost,
        }
    }

    async fn send_to_self(&self, request: HopRequest) -> Reply {
        let PeerOperation::Run(dispatch) = request.operation else {
            return Reply::NotSent;
        };
        let reply = self.exchanges.start(self.own, dispatch, request.head, request.body);
        reply.await.unwrap_or(Reply::ResponseLost)
    }

    async fn connect(&self, address: SocketAddr, deadline_at_ms: u64) -> Option<PeerStream> {
        if let Some(stream) = self.take_idle(address) {
            return Some(stream);
        }
        let connect_by_ms = deadline_at_ms.min(self.clock.now_ms() + CONNECT_TIMEOUT_MS);
        let opening = async {
            let stream = TcpStream::connect(address).await.ok()?;
            // Small frames must not wait for the acknowledgement of earlier ones.
            let _ignored = stream.set_nodelay(true);
            FrameStream::open(stream, &self.key, fastrand::u64(..)).await.ok()
        };
        timeout_at(self.clock.instant(connect_by_ms), opening).await.ok().flatten()
    }

    async fn send_on(
        self: &Arc<Self>,
        address: SocketAddr,
        mut stream: PeerStream,
        request: HopRequest,
    ) -> Result<Reply, FrameError> {
        let id = request.id;
        let start = Frame::Request { id, purpose: request.operation, head: request.head };
        stream.send(&start).await?;
        for chunk in request.body.chunks(MAX_CHUNK_BYTES) {
            stream.send(&Frame::BodyChunk(chunk.to_vec())).await?;
        }
        stream.send(&Frame::BodyEnd).await?;
        let frame = stream.receive().await?;
        // A response to another request, late or misdirected, ends the connection: it must not
        // reach this request's caller.
        if response_id(&frame) != Some(id) {
            return Err(FrameError::UnexpectedFrame);
        }
        match frame {
            Frame::Answer { head, http, .. } => {
                let (sender, receiver) = body_channel();
                let hops = Arc::clone(self);
                tokio::spawn(async move { hops.forward_body(address, stream, sender).await });
                Ok(Reply::UpstreamResponse(Box::new(UpstreamResponse {
                    head,
                    http,
                    body: receiver,
                })))
            }
            Frame::Refused { refusal, .. } => {
                self.release(address, stream);
                Ok(Reply::Rejected(refusal))
            }
            Frame::HomeResponse { status, fields, body, .. } => {
                self.release(address, stream);
                Ok(Reply::HomeResponse { status, fields, body: body.into() })
            }
            Frame::ResponseLost { .. } => {
                self.release(address, stream);
                Ok(Reply::ResponseLost)
            }
            _ => Err(FrameError::UnexpectedFrame),
        }
    }

    async fn forward_body(&self, address: SocketAddr, mut stream: PeerStream, sender: BodySender) {
        loop {
            let received = tokio::select! {
                received = stream.receive() => received,
                () = sender.closed() => return,
            };
            match received {
                Ok(Frame::BodyChunk(bytes)) => {
                    if sender.send(bytes.into()).await.is_err() {
                        return;
                    }
                }
                Ok(Frame::BodyEnd) => {
                    sender.finish();
                    self.release(address, stream);
                    return;
                }
                _ => return,
            }
        }
    }

    fn take_idle(&self, address: SocketAddr) -> Option<PeerStream> {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let streams = idle.get_mut(&address)?;
        while let Some(stream) = streams.pop() {
            // A closed connection is skipped; a request sent on it would count as lost.
            if is_open_and_idle(stream.get_ref()) {
                return Some(stream);
            }
        }
        None
    }

    fn release(&self, address: SocketAddr, stream: PeerStream) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let streams = idle.entry(address).or_default();
        if streams.len() < MAX_IDLE_PER_PEER {
            streams.push(stream);
        }
    }
}

/// Returns whether a connection between two exchanges is open, with nothing received on it.
fn is_open_and_idle(stream: &TcpStream) -> bool {
    let received = stream.try_read(&mut [0]);
    received.is_err_and(|error| error.kind() == std::io::ErrorKind::WouldBlock)
}

fn response_id(frame: &Frame) -> Option<ExchangeId> {
    match frame {
        Frame::Answer { id, .. }
        | Frame::Refused { id, .. }
        | Frame::ResponseLost { id }
        | Frame::HomeResponse { id, .. } => Some(*id),
        _ => None,
    }
}
