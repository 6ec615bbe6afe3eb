//! Authentication of the messages between entry VMs.
//!
//! A sealed datagram consists of a mark, the number of the key, the sender's incarnation, the
//! datagram's number within it, the message, and a MAC of all of these and of both addresses. It is
//! therefore accepted only from its sender, only by its receiver and only once. Requests for rows
//! and their responses carry a proof in a header, which is a MAC too.
//!
//! A receiver remembers the numbers of the last incarnations of each sender. What was recorded
//! before the receiver started, or in an incarnation that it has forgotten, can be replayed to it
//! once, until its key is rotated out.

use std::borrow::Cow;
use std::net::{IpAddr, SocketAddr};
use std::str::FromStr;

use sedgepath_core::hash::Map;

use crate::key::MAC_BYTES;
use crate::peer_keys::PeerKeyring;

/// The first byte of a sealed datagram; no message starts with it.
const SEAL_MARK: u8 = 0xF5;

/// The bytes of a sealed datagram before the message: the mark, the key's number, the incarnation
/// and the datagram's number.
const HEADER_BYTES: usize = 10;

/// The bytes that a seal adds to a datagram.
pub const SEAL_BYTES: usize = HEADER_BYTES + MAC_BYTES;

/// The received numbers that are remembered of one incarnation of a sender, so that datagrams which
/// overtake each other are accepted.
const REMEMBERED_NUMBERS: usize = 64;

/// The incarnations that are remembered of a sender.
const REMEMBERED_INCARNATIONS: usize = 8;

/// Which messages of other entry VMs a VM accepts, and whether it authenticates its own.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum PeerAuthentication {
    /// Messages are not authenticated; all are accepted.
    #[default]
    Off,
    /// Messages are authenticated; those of VMs that don't authenticate theirs are accepted too.
    Sign,
    /// Only authenticated messages are accepted.
    Require,
}

/// A name that is no [`PeerAuthentication`].
#[derive(Debug, thiserror::Error)]
#[error("unknown peer authentication {name:?}; known are off, sign and require")]
pub struct UnknownPeerAuthentication {
    name: Box<str>,
}

impl FromStr for PeerAuthentication {
    type Err = UnknownPeerAuthentication;

    fn from_str(name: &str) -> Result<Self, Self::Err> {
        match name {
            "off" => Ok(Self::Off),
            "sign" => Ok(Self::Sign),
            "require" => Ok(Self::Require),
            _ => Err(UnknownPeerAuthentication { name: name.into() }),
        }
    }
}

/// Why a message of another VM is not accepted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum SealError {
    /// The message is not authenticated.
    #[error("the message is not authenticated")]
    Missing,
    /// The message is too short or its proof is no proof.
    #[error("the seal can't be decoded")]
    Malformed,
    /// The message names a key that this VM doesn't have.
    #[error("the key is unknown")]
    UnknownKey,
    /// The message was changed, was sent by somebody else or to somebody else.
    #[error("the code doesn't match")]
    Forged,
    /// The message has been received before, or is much older than others of its sender.
    #[error("the message has been received before")]
    Replayed,
}

impl SealError {
    /// Returns the name for logs and counters.
    pub fn name(self) -> &'static str {
        match self {
            Self::Missing => "unsealed",
            Self::Malformed => "malformed",
            Self::UnknownKey => "unknown_key",
            Self::Forged => "forged",
            Self::Replayed => "replayed",
        }
    }
}

/// Seals a VM's messages and opens those of other VMs.
#[derive(Debug)]
pub struct PeerSeal {
    policy: PeerAuthentication,
    own_address: SocketAddr,
    incarnation: u32,
    last_number: u32,
    keyring: PeerKeyring,
    senders: Map<SocketAddr, SenderHistory>,
    met_unknown_key: bool,
}

impl PeerSeal {
    /// Creates the seal of a VM that knows no key yet. `incarnation` is a random number.
    pub fn new(policy: PeerAuthentication, own_address: SocketAddr, incarnation: u32) -> Self {
        Self {
            policy,
            own_address,
            incarnation,
            last_number: 0,
            keyring: PeerKeyring::default(),
            senders: Map::default(),
            met_unknown_key: false,
        }
    }

    /// Returns which messages are accepted.
    pub fn policy(&self) -> PeerAuthentication {
        self.policy
    }

    /// Returns the keys.
    pub fn keyring(&self) -> &PeerKeyring {
        &self.keyring
    }

    /// Replaces the keys.
    pub fn set_keyring(&mut self, keyring: PeerKeyring) {
        self.keyring = keyring;
    }

    /// Returns whether a message has named an unknown key since the last call.
    pub fn take_met_unknown_key(&mut self) -> bool {
        std::mem::take(&mut self.met_unknown_key)
    }

    /// Returns the datagram for a message, or `None` if only authenticated ones may be sent and no
    /// key is known.
    pub fn seal<'a>(
        &mut self,
        message: &'a [u8],
        to: SocketAddr,
        now_unix_ms: u64,
    ) -> Option<Cow<'a, [u8]>> {
        if self.policy == PeerAuthentication::Off {
            return Some(message.into());
        }
        let Some(key) = self.keyring.signing_key(now_unix_ms) else {
            return (self.policy == PeerAuthentication::Sign).then(|| message.into());
        };
        if self.last_number == u32::MAX {
            self.incarnation = self.incarnation.wrapping_add(1);
            self.last_number = 0;
        }
        self.last_number += 1;
        let mut datagram = Vec::with_capacity(message.len() + SEAL_BYTES);
        datagram.extend([SEAL_MARK, key.id]);
        datagram.extend(self.incarnation.to_le_bytes());
        datagram.extend(self.last_number.to_le_bytes());
        datagram.extend(message);
        let mac = key.key.mac(&datagram_parts(&datagram, self.own_address, to).each_slice());
        datagram.extend(mac);
        Some(datagram.into())
    }

    /// Returns the message of a datagram.
    ///
    /// # Errors
    ///
    /// Fails if the datagram is not to be accepted.
    pub fn open<'a>(
        &mut self,
        datagram: &'a [u8],
        from: SocketAddr,
    ) -> Result<&'a [u8], SealError> {
        if datagram.first() != Some(&SEAL_MARK) {
            return match self.policy {
                PeerAuthentication::Off | PeerAuthentication::Sign => Ok(datagram),
                PeerAuthentication::Require => Err(SealError::Missing),
            };
        }
        if datagram.len() < SEAL_BYTES {
            return Err(SealError::Malformed);
        }
        let (sealed, mac) = datagram.split_at(datagram.len() - MAC_BYTES);
        let message = &sealed[HEADER_BYTES..];
        if self.policy == PeerAuthentication::Off {
            return Ok(message);
        }
        let Some(key) = self.keyring.get(sealed[1]) else {
            self.met_unknown_key = true;
            return match self.policy {
                PeerAuthentication::Off | PeerAuthentication::Sign => Ok(message),
                PeerAuthentication::Require => Err(SealError::UnknownKey),
            };
        };
        let parts = datagram_parts(sealed, from, self.own_address);
        if !key.key.verify(&parts.each_slice(), mac) {
            return Err(SealError::Forged);
        }
        let number_at = |at: usize| {
            u32::from_le_bytes([sealed[at], sealed[at + 1], sealed[at + 2], sealed[at + 3]])
        };
        let history = self.senders.entry(from).or_default();
        if history.is_new(number_at(2), number_at(6)) {
            Ok(message)
        } else {
            Err(SealError::Replayed)
        }
    }

    /// Returns a proof of some parts for a header, or `None` if messages are not authenticated or no
    /// key is known.
    pub fn prove(&self, parts: &[&[u8]], now_unix_ms: u64) -> Option<String> {
        if self.policy == PeerAuthentication::Off {
            return None;
        }
        let key = self.keyring.signing_key(now_unix_ms)?;
        let mac = u128::from_be_bytes(key.key.mac(&[&proof_bytes(parts)]));
        Some(format!("{}.{mac:032x}", key.id))
    }

    /// Checks the proof of some parts.
    ///
    /// # Errors
    ///
    /// Fails if the proof is not to be accepted.
    pub fn check_proof(&mut self, parts: &[&[u8]], proof: Option<&str>) -> Result<(), SealError> {
        if self.policy == PeerAuthentication::Off {
            return Ok(());
        }
        let required = self.policy == PeerAuthentication::Require;
        let Some(proof) = proof else {
            return if required { Err(SealError::Missing) } else { Ok(()) };
        };
        let (id, mac) = proof.split_once('.').ok_or(SealError::Malformed)?;
        let id = id.parse().map_err(|_error| SealError::Malformed)?;
        let mac = u128::from_str_radix(mac, 16).map_err(|_error| SealError::Malformed)?;
        let Some(key) = self.keyring.get(id) else {
            self.met_unknown_key = true;
            return if required { Err(SealError::UnknownKey) } else { Ok(()) };
        };
        let matches = key.key.verify(&[&proof_bytes(parts)], &mac.to_be_bytes());
        if matches { Ok(()) } else { Err(SealError::Forged) }
    }
}

/// The received numbers of one sender, by incarnation, the newest incarnation last.
#[derive(Debug, Default)]
struct SenderHistory {
    incarnations: Vec<(u32, ReceivedNumbers)>,
}

impl SenderHistory {
    /// Records a datagram and returns whether it is a new one.
    fn is_new(&mut self, incarnation: u32, number: u32) -> bool {
        let known = self.incarnations.iter_mut().find(|(known, _)| *known == incarnation);
        if let Some((_, numbers)) = known {
            return numbers.insert(number);
        }
        if self.incarnations.len() == REMEMBERED_INCARNATIONS {
            self.incarnations.remove(0);
        }
        let mut numbers = ReceivedNumbers::default();
        let is_new = numbers.insert(number);
        self.incarnations.push((incarnation, numbers));
        is_new
    }
}

/// The highest numbers received in one incarnation, in ascending order.
#[derive(Debug, Default)]
struct ReceivedNumbers {
    /// All numbers up to this one count as received.
    received_up_to: u32,
    numbers: Vec<u32>,
}

impl ReceivedNumbers {
    /// Adds a number and returns whether it hadn't been received.
    fn insert(&mut self, number: u32) -> bool {
        if number <= self.received_up_to {
            return false;
        }
        let Err(index) = self.numbers.binary_search(&number) else {
            return false;
        };
        self.numbers.insert(index, number);
        if self.numbers.len() > REMEMBERED_NUMBERS {
            self.received_up_to = self.numbers.remove(0);
        }
        true
    }
}

/// The parts of a datagram's MAC.
struct DatagramParts<'a> {
    sealed: &'a [u8],
    from: [u8; ADDRESS_BYTES],
    to: [u8; ADDRESS_BYTES],
}

impl DatagramParts<'_> {
    fn each_slice(&self) -> [&[u8]; 4] {
        [b"datagram", &self.from, &self.to, self.sealed]
    }
}

fn datagram_parts(sealed: &[u8], from: SocketAddr, to: SocketAddr) -> DatagramParts<'_> {
    DatagramParts { sealed, from: address_bytes(from), to: address_bytes(to) }
}

/// The bytes of an address in a MAC.
const ADDRESS_BYTES: usize = 18;

fn address_bytes(address: SocketAddr) -> [u8; ADDRESS_BYTES] {
    let ip = match address.ip() {
        IpAddr::V4(ip) => ip.to_ipv6_mapped(),
        IpAddr::V6(ip) => ip,
    };
    let mut bytes = [0; ADDRESS_BYTES];
    bytes[..16].copy_from_slice(&ip.octets());
    bytes[16..].copy_from_slice(&address.port().to_le_bytes());
    bytes
}

/// Returns the bytes that a proof covers: each part after its length, so that no two lists of parts
/// have the same bytes.
fn proof_bytes(parts: &[&[u8]]) -> Vec<u8> {
    let mut bytes = b"proof".to_vec();
    for part in parts {
        bytes.extend((part.len() as u64).to_le_bytes());
        bytes.extend(*part);
    }
    bytes
}
