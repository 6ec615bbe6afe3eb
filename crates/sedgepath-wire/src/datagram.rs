//! Datagrams between nodes: an envelope and its authentication code.
//!
//! A datagram that is oversize, forged, malformed or repeated is rejected with a typed reason, which
//! the daemon counts and logs. A repeat is told by the sender's boot and number: the window keeps
//! the highest number of a boot and a bit for each of the 64 before it, as `IPsec` does (RFC 4303,
//! 3.4.3).

use std::collections::HashMap;

use sedgepath_core::key::{BootId, VmKey};
use sedgepath_core::message::Envelope;

use crate::key::{CODE_BYTES, SharedKey};

/// The largest datagram in bytes: what IPv6 carries on Ethernet without fragments.
pub const MAX_DATAGRAM_BYTES: usize = 1_432;

/// The numbers before the highest one that are still told apart.
const WINDOW: u64 = 64;

/// The boots whose windows are kept at most.
const MAX_WINDOWS: usize = 8_192;

/// Why a datagram was dropped.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum DatagramError {
    /// It is longer than [`MAX_DATAGRAM_BYTES`].
    #[error("the datagram is oversize")]
    Oversize,
    /// Its code is not that of its bytes.
    #[error("the datagram is forged")]
    Forged,
    /// Its bytes are no envelope.
    #[error("the datagram is malformed")]
    Malformed,
    /// It was received before, or is too old to tell.
    #[error("the datagram is a repeat")]
    Replayed,
}

impl DatagramError {
    /// Returns the reason as a label of the count of dropped datagrams.
    pub fn name(self) -> &'static str {
        match self {
            Self::Oversize => "oversize",
            Self::Forged => "forged",
            Self::Malformed => "malformed",
            Self::Replayed => "replayed",
        }
    }
}

/// Writes an envelope with its code.
///
/// # Errors
///
/// Fails with [`DatagramError::Oversize`] if it does not fit one datagram.
pub fn encode(key: &SharedKey, envelope: &Envelope) -> Result<Vec<u8>, DatagramError> {
    let mut bytes = postcard::to_stdvec(envelope).ok().ok_or(DatagramError::Malformed)?;
    let code = key.code(&[&bytes]);
    bytes.extend_from_slice(&code);
    if bytes.len() > MAX_DATAGRAM_BYTES {
        return Err(DatagramError::Oversize);
    }
    Ok(bytes)
}

/// Reads datagrams and drops repeated ones.
#[derive(Debug)]
pub struct DatagramDecoder {
    key: SharedKey,
    windows: HashMap<(VmKey, BootId), Window>,
}

#[derive(Debug, Default)]
struct Window {
    highest: u64,
    seen: u64,
}

impl DatagramDecoder {
    /// Creates an opener that has seen nothing yet.
    pub fn new(key: SharedKey) -> Self {
        Self { key, windows: HashMap::new() }
    }

    /// Reads a datagram.
    ///
    /// # Errors
    ///
    /// Fails if the datagram is oversize, forged, malformed or a repeat.
    pub fn decode(&mut self, bytes: &[u8]) -> Result<Envelope, DatagramError> {
        if bytes.len() > MAX_DATAGRAM_BYTES {
            return Err(DatagramError::Oversize);
        }
        let body_bytes = bytes.len().checked_sub(CODE_BYTES).ok_or(DatagramError::Malformed)?;
        let (body, code) = bytes.split_at(body_bytes);
        if !self.key.verify(&[body], code) {
            return Err(DatagramError::Forged);
        }
        let envelope: Envelope = postcard::from_bytes(body).ok().ok_or(DatagramError::Malformed)?;
        // Authenticated senders alone add windows, so a bound that drops all of them is never
        // reached by a stranger; after it, repeats are told apart again from the next datagram on.
        if self.windows.len() >= MAX_WINDOWS {
            self.windows.clear();
        }
        let window = self.windows.entry((envelope.from, envelope.boot)).or_default();
        if window.admit(envelope.sequence) { Ok(envelope) } else { Err(DatagramError::Replayed) }
    }
}

impl Window {
    fn admit(&mut self, sequence: u64) -> bool {
        if sequence > self.highest {
            let ahead = sequence - self.highest;
            self.seen = if ahead < WINDOW { (self.seen << ahead) | 1 } else { 1 };
            self.highest = sequence;
            return true;
        }
        let behind = self.highest - sequence;
        if behind >= WINDOW || self.seen & (1 << behind) != 0 {
            return false;
        }
        self.seen |= 1 << behind;
        true
    }
}
