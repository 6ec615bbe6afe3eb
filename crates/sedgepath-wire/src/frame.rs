//! The framing protocol over which nodes forward requests to each other.
//!
//! A connection carries one exchange at a time: the head and body of a request, then the head and
//! body of its response. In the handshake both ends send a random nonce, and the connection's key is
//! derived from both. The MAC of a frame covers its direction, its sequence number and its bytes, so
//! a frame that is forged, replayed, reordered or copied from another connection is rejected and
//! ends the connection. A response frame names the exchange that it belongs to.
//!
//! A frame on the wire: length of the body (u32, little endian), body (postcard), MAC.

use std::io;

use sedgepath_core::key::{BootId, RequestKey, VmKey};
use sedgepath_core::request::{AnswerHead, Dispatch, Rejection};
use serde::{Deserialize, Serialize};
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};

use crate::key::{MAC_BYTES, SharedKey};

/// The maximum size of a frame's body in bytes, without the length and the MAC.
pub const MAX_FRAME_BYTES: usize = 128 * 1024;

/// The maximum number of bytes of an HTTP body that senders put into one frame.
pub const MAX_CHUNK_BYTES: usize = 64 * 1024;

/// The first bytes that each end sends: the protocol and its version. The nonce follows.
const MAGIC: [u8; 8] = *b"sedgep01";

/// The name and value of an HTTP header field.
pub type HeaderField = (Box<str>, Vec<u8>);

/// The head of an HTTP request that is forwarded to an upstream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HttpRequestHead {
    /// The HTTP method.
    pub method: Box<str>,
    /// The path and query.
    pub target: Box<str>,
    /// The header fields without hop-by-hop ones.
    pub fields: Vec<HeaderField>,
    /// The length of the body in bytes.
    pub body_bytes: u64,
}

/// The head of an HTTP response that is returned to a caller.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HttpResponseHead {
    /// The header fields without hop-by-hop ones.
    pub fields: Vec<HeaderField>,
    /// The length of the body in bytes, if the upstream declared it.
    pub body_bytes: Option<u64>,
}

/// Identifies an exchange across all nodes and their restarts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ExchangeId {
    /// The VM that received the request from its caller.
    pub ingress: VmKey,
    /// The boot of the ingress.
    pub boot: BootId,
    /// The key that the ingress assigned to the request.
    pub request: RequestKey,
    /// The number of the attempt at the request.
    pub attempt: u32,
}

/// The operation that an exchange requests from the peer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerOperation {
    /// Runs the request at an upstream that the peer owns.
    Run(Dispatch),
    /// Serves the request as the home of its ticket.
    ServeAsHome(HomeRequest),
    /// Stores the tickets of the sender, which is shutting down. The body holds them in postcard
    /// encoding.
    StoreTickets,
}

/// The metadata of a request that is forwarded to the home of its ticket, in addition to the HTTP
/// head.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HomeRequest {
    /// The boot that minted the ticket, as stated in the ticket.
    pub boot: BootId,
    /// The name of the requested service.
    pub service: Box<str>,
    /// The IP address that the caller connected from.
    pub caller_ip: std::net::IpAddr,
    /// The digest of the organisation's API key, if the caller sent one.
    pub key_digest: Option<sedgepath_core::hash::Digest>,
    /// The time left until the caller's deadline, in milliseconds.
    pub remaining_ms: u64,
    /// How repeated execution of the request is prevented.
    pub deduplication: sedgepath_core::request::Deduplication,
    /// The number of the caller's attempt.
    pub attempt: u32,
    /// The digest of method, path and body, which distinguishes a retry from another request.
    pub digest: sedgepath_core::hash::Digest,
}

/// A message of the framing protocol.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Frame {
    /// Starts an exchange; the frames of the request's body follow.
    Request {
        /// The new exchange.
        id: ExchangeId,
        /// The requested operation.
        purpose: PeerOperation,
        /// The HTTP head of the request.
        head: HttpRequestHead,
    },
    /// A chunk of a request or response body.
    BodyChunk(Vec<u8>),
    /// The body is complete.
    BodyEnd,
    /// The sender can't send the rest of the body.
    BodyAborted,
    /// Starts the response; the frames of its body follow.
    Answer {
        /// The exchange that the response belongs to.
        id: ExchangeId,
        /// The status and origin of the response, which the ingress acts on.
        head: AnswerHead,
        /// The HTTP head that the caller receives.
        http: HttpResponseHead,
    },
    /// The request was rejected and not run.
    Refused {
        /// The rejected exchange.
        id: ExchangeId,
        /// Why the request was rejected, and when to retry.
        refusal: Rejection,
    },
    /// The request was sent to an upstream, but no response was received.
    ResponseLost {
        /// The exchange without a response.
        id: ExchangeId,
    },
    /// The complete response of a ticket's home to a request that was forwarded to it.
    HomeResponse {
        /// The exchange that the response belongs to.
        id: ExchangeId,
        /// The HTTP status code.
        status: u16,
        /// The HTTP header fields.
        fields: Vec<HeaderField>,
        /// The HTTP body.
        body: Vec<u8>,
    },
}

/// An error that ends a connection.
#[derive(Debug, thiserror::Error)]
pub enum FrameError {
    /// The underlying stream failed.
    #[error("peer connection failed")]
    Io(#[from] io::Error),
    /// The peer's handshake does not start with the protocol's magic bytes.
    #[error("peer sent an invalid handshake")]
    Handshake,
    /// A frame is longer than [`MAX_FRAME_BYTES`], or a body longer than its receiver accepts.
    #[error("frame or body exceeds the size limit")]
    Oversize,
    /// The MAC does not match the frame's bytes, sequence number, direction and connection.
    #[error("frame has an invalid MAC: it was forged, replayed or reordered")]
    Forged,
    /// The frame can't be encoded or decoded.
    #[error("frame is malformed")]
    Malformed(#[from] postcard::Error),
    /// The frame is not valid in the current state of the exchange.
    #[error("unexpected frame")]
    UnexpectedFrame,
}

impl FrameError {
    /// Returns the metric label of the error.
    pub fn name(&self) -> &'static str {
        match self {
            Self::Io(_) => "io",
            Self::Handshake => "greeting",
            Self::Oversize => "oversize",
            Self::Forged => "forged",
            Self::Malformed(_) => "malformed",
            Self::UnexpectedFrame => "out_of_place",
        }
    }
}

/// Sends and receives authenticated frames on one end of a connection.
#[derive(Debug)]
pub struct FrameStream<S> {
    stream: S,
    key: SharedKey,
    is_initiator: bool,
    sent_frames: u64,
    received_frames: u64,
}

impl<S: AsyncRead + AsyncWrite + Unpin> FrameStream<S> {
    /// Performs the handshake as the initiator of the connection; `nonce` must be random.
    ///
    /// # Errors
    ///
    /// Fails if the connection breaks or the peer's handshake is invalid.
    pub async fn open(mut stream: S, key: &SharedKey, nonce: u64) -> Result<Self, FrameError> {
        let acceptor_nonce = exchange_nonces(&mut stream, nonce).await?;
        let key = key.derive_connection_key(nonce, acceptor_nonce);
        Ok(Self { stream, key, is_initiator: true, sent_frames: 0, received_frames: 0 })
    }

    /// Performs the handshake as the acceptor of the connection; `nonce` must be random.
    ///
    /// # Errors
    ///
    /// Fails if the connection breaks or the peer's handshake is invalid.
    pub async fn accept(mut stream: S, key: &SharedKey, nonce: u64) -> Result<Self, FrameError> {
        let initiator_nonce = exchange_nonces(&mut stream, nonce).await?;
        let key = key.derive_connection_key(initiator_nonce, nonce);
        Ok(Self { stream, key, is_initiator: false, sent_frames: 0, received_frames: 0 })
    }

    /// Returns the underlying stream.
    pub fn get_ref(&self) -> &S {
        &self.stream
    }

    /// Encodes and sends a frame with its MAC.
    ///
    /// # Errors
    ///
    /// Fails if the frame is too long or can't be encoded, or the connection breaks.
    pub async fn send(&mut self, frame: &Frame) -> Result<(), FrameError> {
        let body = postcard::to_stdvec(frame)?;
        if body.len() > MAX_FRAME_BYTES {
            return Err(FrameError::Oversize);
        }
        let length = (body.len() as u32).to_le_bytes();
        let mac = self.key.mac(&[&frame_tag(self.is_initiator, self.sent_frames), &length, &body]);
        self.sent_frames += 1;
        let mut bytes = Vec::with_capacity(length.len() + body.len() + MAC_BYTES);
        bytes.extend_from_slice(&length);
        bytes.extend_from_slice(&body);
        bytes.extend_from_slice(&mac);
        self.stream.write_all(&bytes).await?;
        Ok(())
    }

    /// Receives, authenticates and decodes a frame.
    ///
    /// # Errors
    ///
    /// Fails if the connection breaks, the frame is too long or malformed, or its MAC is invalid.
    pub async fn receive(&mut self) -> Result<Frame, FrameError> {
        let mut length = [0; 4];
        self.stream.read_exact(&mut length).await?;
        let body_bytes = u32::from_le_bytes(length) as usize;
        if body_bytes > MAX_FRAME_BYTES {
            return Err(FrameError::Oversize);
        }
        let mut bytes = vec![0; body_bytes + MAC_BYTES];
        self.stream.read_exact(&mut bytes).await?;
        let (body, mac) = bytes.split_at(body_bytes);
        if !self
            .key
            .verify(&[&frame_tag(!self.is_initiator, self.received_frames), &length, body], mac)
        {
            return Err(FrameError::Forged);
        }
        self.received_frames += 1;
        Ok(postcard::from_bytes(body)?)
    }

    /// Waits until the peer closes the connection or sends a byte; returns whether it closed.
    ///
    /// Consumes the byte, so the stream can't be used afterwards. For use between exchanges and while
    /// the peer waits for a response: the peer sends nothing then, so any input ends the connection.
    ///
    /// # Errors
    ///
    /// Fails if the connection breaks.
    pub async fn wait_for_close(&mut self) -> Result<bool, FrameError> {
        let mut byte = [0];
        Ok(self.stream.read(&mut byte).await? == 0)
    }
}

/// Returns the direction and sequence number of a frame as covered by its MAC.
fn frame_tag(from_initiator: bool, sequence: u64) -> [u8; 9] {
    let mut tag = [0; 9];
    tag[0] = u8::from(from_initiator);
    tag[1..].copy_from_slice(&sequence.to_le_bytes());
    tag
}

/// Performs the handshake and returns the peer's nonce.
async fn exchange_nonces<S: AsyncRead + AsyncWrite + Unpin>(
    stream: &mut S,
    nonce: u64,
) -> Result<u64, FrameError> {
    let mut handshake = [0; 16];
    handshake[..8].copy_from_slice(&MAGIC);
    handshake[8..].copy_from_slice(&nonce.to_le_bytes());
    stream.write_all(&handshake).await?;
    let mut received = [0; 16];
    stream.read_exact(&mut received).await?;
    if received[..8] != MAGIC {
        return Err(FrameError::Handshake);
    }
    let mut peer_nonce = [0; 8];
    peer_nonce.copy_from_slice(&received[8..]);
    Ok(u64::from_le_bytes(peer_nonce))
}
