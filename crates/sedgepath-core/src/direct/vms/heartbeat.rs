//! The heartbeat of a VM, and the limits on its silence.

use std::net::{IpAddr, SocketAddr};

use serde::{Deserialize, Serialize};

use crate::clock::HybridTimestamp;
use crate::direct::store_version::StoreVersion;
use crate::hash::Digest;
use crate::key::VmKey;

/// The identity, location and addresses of an entry VM.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmDescriptor {
    /// The VM's name, or the text of its address if only that is known.
    pub name: Box<str>,
    /// The VM's failure domain.
    pub domain: Box<str>,
    /// The VM's region.
    pub region: Box<str>,
    /// The address for callers' requests.
    pub caller_address: SocketAddr,
    /// The address for other VMs' datagrams.
    pub peer_address: SocketAddr,
    /// The number of typical requests that the VM can serve in a second.
    pub capacity_per_s: u32,
}

impl VmDescriptor {
    /// Returns the VM's key for rendezvous hashing. It depends on the peer address only, since some VMs
    /// don't know its name.
    pub fn key(&self) -> VmKey {
        key_of_address(self.peer_address)
    }
}

/// Returns the key for rendezvous hashing of the VM with a peer address.
pub(super) fn key_of_address(peer_address: SocketAddr) -> VmKey {
    let port = peer_address.port().to_le_bytes();
    let digest = match peer_address.ip() {
        IpAddr::V4(ip) => Digest::of(&[b"vm", &ip.octets(), &port]),
        IpAddr::V6(ip) => Digest::of(&[b"vm", &ip.octets(), &port]),
    };
    VmKey(digest.to_u64())
}

/// A VM's view of the store from its own calls.
///
/// A VM that makes no calls has no view. Treating it as failing would turn each pause in the calls
/// into an outage, and the removals read after it into lapses.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum StoreHealth {
    /// The VM makes no calls, or none has finished yet.
    #[default]
    Unknown,
    /// The last call succeeded.
    Reachable {
        /// The time for which calls have succeeded without a failure, in milliseconds.
        for_ms: u64,
    },
    /// The last call failed.
    Failing,
}

impl StoreHealth {
    /// Returns the time for which calls have succeeded without a failure, in milliseconds.
    pub fn reachable_for_ms(self) -> Option<u64> {
        match self {
            Self::Reachable { for_ms } => Some(for_ms),
            Self::Unknown | Self::Failing => None,
        }
    }

    /// Returns whether the last call succeeded.
    pub fn is_reachable(self) -> bool {
        matches!(self, Self::Reachable { .. })
    }

    /// Returns the view as it is after some time if calls continue to succeed or fail as before.
    pub(super) fn extrapolate(self, age_ms: u64) -> Self {
        match self {
            Self::Reachable { for_ms } => Self::Reachable { for_ms: for_ms.saturating_add(age_ms) },
            view => view,
        }
    }

    /// Combines two VMs' views: the longer time of successful calls, or else whether calls of one of
    /// them fail.
    pub(super) fn combine(self, other: Self) -> Self {
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

/// The share of its capacity that a VM uses, and whether it reaches no upstream.
///
/// Both are in one byte, the load alone where it was before, so that VMs of earlier versions read the
/// heartbeats of later ones.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReportedLoad(u8);

impl ReportedLoad {
    const CUT_OFF: u8 = 0x80;

    /// Returns this report with another load in percent.
    pub fn with_percent(self, percent: u8) -> Self {
        Self(percent.min(100) | self.0 & Self::CUT_OFF)
    }

    /// Returns this report with another word on whether the VM reaches no upstream.
    pub fn with_cut_off(self, cut_off: bool) -> Self {
        Self(self.0 & !Self::CUT_OFF | if cut_off { Self::CUT_OFF } else { 0 })
    }

    /// Returns the share of its capacity that the VM uses, in percent.
    pub fn percent(self) -> u8 {
        self.0 & !Self::CUT_OFF
    }

    /// Returns whether the VM reaches no upstream.
    pub fn is_cut_off(self) -> bool {
        self.0 & Self::CUT_OFF != 0
    }
}

/// The variable part of a heartbeat.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmState {
    /// The hybrid logical time at which the heartbeat was sent.
    pub stamp: HybridTimestamp,
    /// The time until the next heartbeat, in milliseconds.
    pub period_ms: u64,
    /// When the VM's process started, in milliseconds since the Unix epoch; a later process replaces
    /// an earlier one.
    pub boot_at_ms: u64,
    /// Whether the VM accepts new requests.
    pub ready: bool,
    /// Whether the VM is about to stop.
    pub leaving: bool,
    /// The VM's load, and whether it reaches upstreams.
    pub load: ReportedLoad,
    /// The newest store version in each of the VM's table replicas, in the order of
    /// [`Table::REQUIRED`](crate::direct::replicas::Table::REQUIRED).
    pub newest_version: [StoreVersion; 2],
    /// The VM's view of the store.
    pub store_health: StoreHealth,
}

/// A full heartbeat, sent regularly to the VM's failure domain and to VMs that may not know it yet.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmHeartbeat {
    /// The sender's identity, location and addresses.
    pub descriptor: VmDescriptor,
    /// The part that a heartbeat without a descriptor has too.
    pub state: VmState,
    /// Peer addresses of other VMs of the sender's failure domain, which the receiver may not know.
    pub known_addresses: Vec<SocketAddr>,
}

impl VmHeartbeat {
    /// Creates the heartbeat of a process that has just started and isn't ready.
    pub fn new(descriptor: VmDescriptor, boot_at_ms: u64, period_ms: u64) -> Self {
        let state = VmState {
            stamp: HybridTimestamp::default(),
            period_ms,
            boot_at_ms,
            ready: false,
            leaving: false,
            load: ReportedLoad::default(),
            newest_version: [StoreVersion::default(); 2],
            store_health: StoreHealth::Unknown,
        };
        Self { descriptor, state, known_addresses: Vec::new() }
    }
}

/// The intervals of heartbeats and the limits on silence.
#[derive(Debug, Clone, Copy)]
pub struct VmTiming {
    /// The shortest time between two heartbeats, in milliseconds.
    pub heartbeat_interval_ms: u64,
    /// The most heartbeats that a VM sends per second; with more receivers the interval grows.
    pub max_heartbeats_per_s: u64,
    /// The upper bound of every limit on silence that is given in periods, in milliseconds.
    pub max_silence_ms: u64,
    /// The silence after which a VM is removed from the table, in milliseconds.
    pub forget_after_ms: u64,
}

/// The silence after which look-ups no longer return a VM, in periods: three heartbeats may be lost.
const MAX_SILENT_PERIODS: f64 = 4.4;

/// The silence after which a VM no longer counts as a store reader, in periods: one heartbeat may be
/// lost. It is short so that changes are read soon after all readers fail: all may be suspended at once,
/// and a leaving upstream may get requests for 2.5 s only. One more reader for a moment costs some calls.
const MAX_READER_SILENT_PERIODS: f64 = 2.6;

/// The silence after which another VM sends summaries in a VM's place, in periods: short enough that
/// the new summary is relayed before the silent VM's last one expires.
const MAX_SENDER_SILENT_PERIODS: f64 = 1.6;

impl VmTiming {
    /// Returns the silence after which look-ups no longer return a VM, in milliseconds.
    pub(super) fn silent_after_ms(&self, period_ms: u64) -> u64 {
        self.periods_ms(period_ms, MAX_SILENT_PERIODS)
    }

    /// Returns the silence after which a VM no longer counts as a store reader, in milliseconds.
    pub(super) fn reader_silent_after_ms(&self, period_ms: u64) -> u64 {
        self.periods_ms(period_ms, MAX_READER_SILENT_PERIODS)
    }

    /// Returns the silence after which another VM sends summaries in a VM's place, in milliseconds.
    pub(super) fn sender_silent_after_ms(&self, period_ms: u64) -> u64 {
        self.periods_ms(period_ms, MAX_SENDER_SILENT_PERIODS)
    }

    fn periods_ms(&self, period_ms: u64, periods: f64) -> u64 {
        ((period_ms as f64 * periods) as u64).min(self.max_silence_ms)
    }
}
