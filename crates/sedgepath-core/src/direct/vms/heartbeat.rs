//! What a VM says of itself, and when its silence counts.

use std::net::{IpAddr, SocketAddr};

use serde::{Deserialize, Serialize};

use crate::clock::HybridTimestamp;
use crate::hash::Digest;
use crate::key::VmKey;

/// How to reach an entry VM.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmDescriptor {
    /// The VM's name; the text of its address where only that is known.
    pub name: Box<str>,
    /// Its failure domain.
    pub domain: Box<str>,
    /// Its region.
    pub region: Box<str>,
    /// Where it takes callers' requests.
    pub caller_address: SocketAddr,
    /// Where it takes other VMs' datagrams.
    pub peer_address: SocketAddr,
}

impl VmDescriptor {
    /// Returns its key for rendezvous hashing, the same on all VMs whether or not they know its name.
    pub fn key(&self) -> VmKey {
        let port = self.peer_address.port().to_le_bytes();
        let digest = match self.peer_address.ip() {
            IpAddr::V4(ip) => Digest::of(&[b"vm", &ip.octets(), &port]),
            IpAddr::V6(ip) => Digest::of(&[b"vm", &ip.octets(), &port]),
        };
        VmKey(digest.to_u64())
    }
}

/// What a VM can tell of the store from its own calls.
///
/// A VM that makes no calls knows nothing of the store. Taken for one that gets no answer, it would make an
/// outage of each moment in which nobody asks, and lapses of the removals read after it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum StoreHealth {
    /// It makes no calls, or has had the end of none yet.
    #[default]
    Unknown,
    /// It has been answered.
    Reachable {
        /// For how long without a break, in milliseconds.
        for_ms: u64,
    },
    /// Its last call failed.
    Failing,
}

impl StoreHealth {
    /// Returns for how long the store has answered without a break, in milliseconds.
    pub fn reachable_for_ms(self) -> Option<u64> {
        match self {
            Self::Reachable { for_ms } => Some(for_ms),
            Self::Unknown | Self::Failing => None,
        }
    }

    /// Whether the store answers.
    pub fn is_reachable(self) -> bool {
        matches!(self, Self::Reachable { .. })
    }

    /// Returns what it tells after some more time.
    pub(super) fn aged(self, age_ms: u64) -> Self {
        match self {
            Self::Reachable { for_ms } => Self::Reachable { for_ms: for_ms.saturating_add(age_ms) },
            view => view,
        }
    }

    /// Returns what two VMs can tell together: the longer contact, else whether the store fails one.
    pub(super) fn with(self, other: Self) -> Self {
        match (self, other) {
            (Self::Reachable { for_ms: one }, Self::Reachable { for_ms: two }) => {
                Self::Reachable { for_ms: one.max(two) }
            }
            (view @ Self::Reachable { .. }, _) | (_, view @ Self::Reachable { .. }) => view,
            (Self::Failing, _) | (_, Self::Failing) => Self::Failing,
            (Self::Unknown, Self::Unknown) => Self::Unknown,
        }
    }
}

/// What changes of a VM, as it says itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmState {
    /// When it was sent, in the order of events over all VMs.
    pub stamp: HybridTimestamp,
    /// The time until it is sent again, in milliseconds.
    pub period_ms: u64,
    /// When the VM's process started, in milliseconds since the Unix epoch; the later of two counts.
    pub boot_at_ms: u64,
    /// Whether it takes new requests.
    pub ready: bool,
    /// Whether it is about to stop.
    pub leaving: bool,
    /// How new its copies of the store's tables are, by the store's versions.
    pub newest_version: [u64; 2],
    /// What it can tell of the store.
    pub store_health: StoreHealth,
}

/// All that a VM says of itself: now and then to its failure domain, and to those that don't know it yet.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmHeartbeat {
    /// How to reach it.
    pub descriptor: VmDescriptor,
    /// What changes of it.
    pub state: VmState,
    /// Where others of its failure domain take datagrams: addresses that the receiver may not know yet.
    pub known: Vec<SocketAddr>,
}

impl VmHeartbeat {
    /// Creates that of a VM that has just started and doesn't take requests yet.
    pub fn new(card: VmDescriptor, boot: u64, period_ms: u64) -> Self {
        let state = VmState {
            stamp: HybridTimestamp::default(),
            period_ms,
            boot_at_ms: boot,
            ready: false,
            leaving: false,
            newest_version: [0; 2],
            store_health: StoreHealth::Unknown,
        };
        Self { descriptor: card, state, known: Vec::new() }
    }
}

/// When a VM counts as silent and as forgotten.
#[derive(Debug, Clone, Copy)]
pub struct VmTiming {
    /// The time between two heartbeats in milliseconds, while there are few VMs.
    pub heartbeat_interval_ms: u64,
    /// The most heartbeats that a VM sends in a second. With more VMs than fit, the time between
    /// two grows.
    pub max_heartbeats_per_s: u64,
    /// The longest silence after which a VM is no longer named, in milliseconds.
    pub max_silence_ms: u64,
    /// The silence after which a VM no longer shares the limits that hold for all, in milliseconds.
    pub forget_after_ms: u64,
}

/// The periods of silence after which a VM is no longer named: three heartbeats may be lost.
const SILENT_PERIODS: f64 = 4.4;

/// The periods of silence after which others stop relying on a VM to follow the store: one heartbeat
/// may be lost. All that follow it may be suspended at once, and a leaving upstream may get requests
/// for 2.5 s only; one more VM that reads for a moment costs some calls.
const READER_SILENT_PERIODS: f64 = 2.6;

/// The periods of silence after which another VM speaks for the failure domain in place of a silent one: early
/// enough that what it says has been passed on before the silent one's last word lapses. One taken for silent
/// by mistake costs a few datagrams.
const SPEAKER_SILENT_PERIODS: f64 = 1.6;

impl VmTiming {
    /// Returns the silence after which one that sends each period is no longer named, in
    /// milliseconds.
    pub(super) fn silent_after_ms(&self, period_ms: u64) -> u64 {
        self.periods_ms(period_ms, SILENT_PERIODS)
    }

    /// Returns the silence after which others stop relying on a VM to follow the store, in
    /// milliseconds.
    pub(super) fn reader_silent_after_ms(&self, period_ms: u64) -> u64 {
        self.periods_ms(period_ms, READER_SILENT_PERIODS)
    }

    /// Returns the silence after which another VM speaks in place of a silent one, in milliseconds.
    pub(super) fn speaker_silent_after_ms(&self, period_ms: u64) -> u64 {
        self.periods_ms(period_ms, SPEAKER_SILENT_PERIODS)
    }

    fn periods_ms(&self, period_ms: u64, periods: f64) -> u64 {
        ((period_ms as f64 * periods) as u64).min(self.max_silence_ms)
    }
}
