//! Frames on the connections over which nodes hand requests to each other.
//!
//! A connection carries one exchange at a time: the head and body of a request, then the head and
//! body of its answer. Both ends draw a number at its start, from which the connection's key is
//! derived; each frame's code covers the frame, its direction and its number, so a frame that is
//! forged, repeated, reordered or carried over from another connection fails its check and ends the
//! connection. An answer's head names the boot and the request that it answers.
//!
//! A frame on the wire: length of the body (u32, little endian), body (postcard), code.

use std::io;

use sedgepath_core::key::{BootId, RequestKey, VmKey};
use sedgepath_core::request::{AnswerHead, Dispatch, Rejection};
use serde::{Deserialize, Serialize};
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};

use crate::key::{CODE_BYTES, SharedKey};

/// The largest frame body in bytes.
pub const MAX_FRAME_BYTES: usize = 128 * 1024;

/// The bytes of a body that one frame carries at most.
pub const MAX_CHUNK_BYTES: usize = 64 * 1024;

/// The first bytes of a connection, before the opener's number.
const MAGIC: [u8; 8] = *b"sedgep01";

/// A header field of HTTP.
pub type HeaderField = (Box<str>, Vec<u8>);

/// The head of an HTTP request as passed on to an upstream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HttpRequestHead {
    /// The method.
    pub method: Box<str>,
    /// Path and query.
    pub target: Box<str>,
    /// The header without hop-by-hop fields.
    pub fields: Vec<HeaderField>,
    /// The length of the body in bytes.
    pub body_bytes: u64,
}

/// The head of an HTTP answer as passed on to a caller.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HttpResponseHead {
    /// The header without hop-by-hop fields.
    pub fields: Vec<HeaderField>,
    /// The length of the body in bytes if the upstream declared it.
    pub body_bytes: Option<u64>,
}

/// Names an exchange: the ingress, its boot and its request's number and attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ExchangeId {
    /// The ingress.
    pub ingress: VmKey,
    /// Its boot.
    pub boot: BootId,
    /// The request.
    pub request: RequestKey,
    /// The attempt.
    pub attempt: u32,
}

/// What an exchange asks of the peer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerOperation {
    /// To run the request at an upstream that the peer owns.
    Run(Dispatch),
    /// To take the request over as the home of its ticket.
    ServeAsHome(HomeRequest),
    /// To keep the tickets of the sender, which stops; they are the body, written by postcard.
    StoreTickets,
}

/// What the home of a ticket is told of a request beyond its HTTP head.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HomeRequest {
    /// The boot that minted the ticket, by the ticket's own word.
    pub boot: BootId,
    /// The name of the service.
    pub service: Box<str>,
    /// The caller's address.
    pub caller_ip: std::net::IpAddr,
    /// The digest of the organisation's key.
    pub key_digest: Option<sedgepath_core::hash::Digest>,
    /// The time left until the caller's deadline, in milliseconds.
    pub remaining_ms: u64,
    /// How the request is kept from running twice.
    pub deduplication: sedgepath_core::request::Deduplication,
    /// The number of the attempt.
    pub attempt: u32,
    /// The digest of the request.
    pub digest: sedgepath_core::hash::Digest,
}

/// A frame.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Frame {
    /// Starts an exchange.
    Request {
        /// Names it.
        id: ExchangeId,
        /// What is asked.
        purpose: PeerOperation,
        /// The request.
        head: HttpRequestHead,
    },
    /// A part of a body.
    BodyChunk(Vec<u8>),
    /// The body ends here, whole.
    BodyEnd,
    /// The body breaks off here.
    BodyAborted,
    /// Starts the answer.
    Answer {
        /// The exchange that is answered.
        id: ExchangeId,
        /// What the ingress decides by.
        head: AnswerHead,
        /// What the caller gets.
        http: HttpResponseHead,
    },
    /// The request was not run.
    Refused {
        /// The exchange that is refused.
        id: ExchangeId,
        /// Why.
        refusal: Rejection,
    },
    /// The request was sent to an upstream and its answer was lost.
    ResponseLost {
        /// The exchange.
        id: ExchangeId,
    },
    /// The home's final word on a request that was forwarded to it, as JSON with its HTTP status.
    HomeResponse {
        /// The exchange.
        id: ExchangeId,
        /// The HTTP status.
        status: u16,
        /// The header.
        fields: Vec<HeaderField>,
        /// The body.
        body: Vec<u8>,
    },
}

/// Why a connection's frames can't be read or written any further.
#[derive(Debug, thiserror::Error)]
pub enum FrameError {
    /// The connection failed.
    #[error("the connection failed")]
    Io(#[from] io::Error),
    /// The other end does not speak this protocol.
    #[error("the other end did not greet as a peer")]
    Greeting,
    /// A frame is longer than [`MAX_FRAME_BYTES`].
    #[error("a frame is oversize")]
    Oversize,
    /// A frame's code is not that of its bytes, number and connection.
    #[error("a frame is forged, repeated or out of order")]
    Forged,
    /// A frame's bytes are none of the known frames.
    #[error("a frame is malformed")]
    Malformed(#[from] postcard::Error),
    /// A frame came that has no place there.
    #[error("a frame came out of place")]
    UnexpectedFrame,
}

impl FrameError {
    /// Returns the reason as a label of the count of dropped frames.
    pub fn name(&self) -> &'static str {
        match self {
            Self::Io(_) => "io",
            Self::Greeting => "greeting",
            Self::Oversize => "oversize",
            Self::Forged => "forged",
            Self::Malformed(_) => "malformed",
            Self::UnexpectedFrame => "out_of_place",
        }
    }
}

/// One end of a connection.
#[derive(Debug)]
pub struct FrameStream<S> {
    stream: S,
    key: SharedKey,
    is_opener: bool,
    sent: u64,
    received: u64,
}

impl<S: AsyncRead + AsyncWrite + Unpin> FrameStream<S> {
    /// Greets as the opener; `number` is drawn at random.
    ///
    /// # Errors
    ///
    /// Fails if the connection breaks or the other end does not greet as a peer.
    pub async fn open(mut stream: S, key: &SharedKey, number: u64) -> Result<Self, FrameError> {
        let accepter = exchange_numbers(&mut stream, number).await?;
        let key = key.for_connection(number, accepter);
        Ok(Self { stream, key, is_opener: true, sent: 0, received: 0 })
    }

    /// Greets as the accepter; `number` is drawn at random.
    ///
    /// # Errors
    ///
    /// Fails if the connection breaks or the other end does not greet as a peer.
    pub async fn accept(mut stream: S, key: &SharedKey, number: u64) -> Result<Self, FrameError> {
        let opener = exchange_numbers(&mut stream, number).await?;
        let key = key.for_connection(opener, number);
        Ok(Self { stream, key, is_opener: false, sent: 0, received: 0 })
    }

    /// Returns the connection itself.
    pub fn get_ref(&self) -> &S {
        &self.stream
    }

    /// Sends a frame.
    ///
    /// # Errors
    ///
    /// Fails if the frame is oversize or the connection breaks.
    pub async fn send(&mut self, frame: &Frame) -> Result<(), FrameError> {
        let body = postcard::to_stdvec(frame)?;
        if body.len() > MAX_FRAME_BYTES {
            return Err(FrameError::Oversize);
        }
        let length = (body.len() as u32).to_le_bytes();
        let code = self.key.code(&[&tag(self.is_opener, self.sent), &length, &body]);
        self.sent += 1;
        let mut bytes = Vec::with_capacity(length.len() + body.len() + CODE_BYTES);
        bytes.extend_from_slice(&length);
        bytes.extend_from_slice(&body);
        bytes.extend_from_slice(&code);
        self.stream.write_all(&bytes).await?;
        Ok(())
    }

    /// Receives a frame.
    ///
    /// # Errors
    ///
    /// Fails if the connection breaks or the frame is oversize, forged or malformed.
    pub async fn receive(&mut self) -> Result<Frame, FrameError> {
        let mut length = [0; 4];
        self.stream.read_exact(&mut length).await?;
        let body_bytes = u32::from_le_bytes(length) as usize;
        if body_bytes > MAX_FRAME_BYTES {
            return Err(FrameError::Oversize);
        }
        let mut bytes = vec![0; body_bytes + CODE_BYTES];
        self.stream.read_exact(&mut bytes).await?;
        let (body, code) = bytes.split_at(body_bytes);
        if !self.key.verify(&[&tag(!self.is_opener, self.received), &length, body], code) {
            return Err(FrameError::Forged);
        }
        self.received += 1;
        Ok(postcard::from_bytes(body)?)
    }

    /// Waits until the other end closes or sends; true if it has closed.
    ///
    /// To be used between exchanges and while an answer is awaited: the other end sends nothing
    /// then, so whatever comes means that it has gone.
    ///
    /// # Errors
    ///
    /// Fails if the connection breaks.
    pub async fn wait_for_close(&mut self) -> Result<bool, FrameError> {
        let mut byte = [0];
        Ok(self.stream.read(&mut byte).await? == 0)
    }
}

/// The direction and number of a frame, as its code covers them.
fn tag(from_opener: bool, number: u64) -> [u8; 9] {
    let mut tag = [0; 9];
    tag[0] = u8::from(from_opener);
    tag[1..].copy_from_slice(&number.to_le_bytes());
    tag
}

async fn exchange_numbers<S: AsyncRead + AsyncWrite + Unpin>(
    stream: &mut S,
    number: u64,
) -> Result<u64, FrameError> {
    let mut greeting = [0; 16];
    greeting[..8].copy_from_slice(&MAGIC);
    greeting[8..].copy_from_slice(&number.to_le_bytes());
    stream.write_all(&greeting).await?;
    let mut heard = [0; 16];
    stream.read_exact(&mut heard).await?;
    if heard[..8] != MAGIC {
        return Err(FrameError::Greeting);
    }
    let mut other = [0; 8];
    other.copy_from_slice(&heard[8..]);
    Ok(u64::from_le_bytes(other))
}
