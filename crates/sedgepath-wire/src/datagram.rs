//! Datagrams between nodes: an envelope and its message authentication code (MAC).
//!
//! The daemon counts and logs rejected datagrams by reason. Replays are detected with one sliding
//! window per sender and boot: the highest sequence number received and a bitmap of the 64 newest
//! ones, as in `IPsec` (RFC 4303, section 3.4.3).

use std::collections::HashMap;

use sedgepath_core::key::{BootId, VmKey};
use sedgepath_core::message::Envelope;

use crate::key::{MAC_BYTES, SharedKey};

/// The maximum size of a datagram in bytes, which fits in an unfragmented IPv6 packet on Ethernet.
pub const MAX_DATAGRAM_BYTES: usize = 1_432;

/// The number of sequence numbers, up to the highest received, that a replay window tracks.
const REPLAY_WINDOW_NUMBERS: u64 = 64;

/// The maximum number of replay windows; each belongs to one boot of a sender.
const MAX_REPLAY_WINDOWS: usize = 8_192;

/// Why a datagram can't be encoded or was rejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum DatagramError {
    /// The datagram is longer than [`MAX_DATAGRAM_BYTES`].
    #[error("datagram exceeds {MAX_DATAGRAM_BYTES} bytes")]
    Oversize,
    /// The MAC does not match the datagram.
    #[error("datagram has an invalid MAC")]
    Forged,
    /// The datagram is too short for a MAC, or an envelope can't be encoded or decoded.
    #[error("datagram envelope is malformed")]
    Malformed,
    /// The sequence number was received before, or is below the replay window.
    #[error("datagram is a replay")]
    Replayed,
}

impl DatagramError {
    /// Returns the metric label of the reason.
    pub fn name(self) -> &'static str {
        match self {
            Self::Oversize => "oversize",
            Self::Forged => "forged",
            Self::Malformed => "malformed",
            Self::Replayed => "replayed",
        }
    }
}

/// Serializes an envelope and appends its MAC.
///
/// # Errors
///
/// Fails with [`DatagramError::Oversize`] if the envelope does not fit in one datagram, and with
/// [`DatagramError::Malformed`] if it can't be serialized.
pub fn encode(key: &SharedKey, envelope: &Envelope) -> Result<Vec<u8>, DatagramError> {
    let mut bytes = postcard::to_stdvec(envelope).ok().ok_or(DatagramError::Malformed)?;
    let mac = key.mac(&[&bytes]);
    bytes.extend_from_slice(&mac);
    if bytes.len() > MAX_DATAGRAM_BYTES {
        return Err(DatagramError::Oversize);
    }
    Ok(bytes)
}

/// Authenticates and decodes datagrams and rejects replays.
#[derive(Debug)]
pub struct DatagramDecoder {
    key: SharedKey,
    replay_windows: HashMap<(VmKey, BootId), ReplayWindow>,
}

#[derive(Debug, Default)]
struct ReplayWindow {
    highest_sequence: u64,
    /// Bit `n` is set if the sequence number `highest_sequence - n` was received.
    received_bits: u64,
}

impl DatagramDecoder {
    /// Creates a decoder without any replay windows.
    pub fn new(key: SharedKey) -> Self {
        Self { key, replay_windows: HashMap::new() }
    }

    /// Authenticates and decodes a datagram and records its sequence number.
    ///
    /// # Errors
    ///
    /// Fails if the datagram is too long, malformed or a replay, or its MAC is invalid.
    pub fn decode(&mut self, bytes: &[u8]) -> Result<Envelope, DatagramError> {
        if bytes.len() > MAX_DATAGRAM_BYTES {
            return Err(DatagramError::Oversize);
        }
        let body_bytes = bytes.len().checked_sub(MAC_BYTES).ok_or(DatagramError::Malformed)?;
        let (body, mac) = bytes.split_at(body_bytes);
        if !self.key.verify(&[body], mac) {
            return Err(DatagramError::Forged);
        }
        let envelope: Envelope = postcard::from_bytes(body).ok().ok_or(DatagramError::Malformed)?;
        // Only authenticated senders add windows, so an outsider can't force this reset. Replays of
        // datagrams received before the reset are not detected.
        if self.replay_windows.len() >= MAX_REPLAY_WINDOWS {
            self.replay_windows.clear();
        }
        let window = self.replay_windows.entry((envelope.from, envelope.boot)).or_default();
        if window.accept(envelope.sequence) { Ok(envelope) } else { Err(DatagramError::Replayed) }
    }
}

impl ReplayWindow {
    /// Records a sequence number; returns whether it is new.
    fn accept(&mut self, sequence: u64) -> bool {
        if sequence > self.highest_sequence {
            let ahead = sequence - self.highest_sequence;
            self.received_bits =
                if ahead < REPLAY_WINDOW_NUMBERS { (self.received_bits << ahead) | 1 } else { 1 };
            self.highest_sequence = sequence;
            return true;
        }
        let behind = self.highest_sequence - sequence;
        if behind >= REPLAY_WINDOW_NUMBERS || self.received_bits & (1 << behind) != 0 {
            return false;
        }
        self.received_bits |= 1 << behind;
        true
    }
}
