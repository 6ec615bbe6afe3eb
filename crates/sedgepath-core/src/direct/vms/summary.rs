//! Summaries of a failure domain's VMs, sent to other domains.
//!
//! A summary of many VMs is sent in parts, each of which fits in a datagram and is handled by itself.

use std::net::{IpAddr, SocketAddr};

use serde::{Deserialize, Serialize};

use super::heartbeat::{StoreHealth, VmDescriptor};
use crate::clock::HybridTimestamp;
use crate::direct::store_version::StoreVersion;
use crate::hash::Digest;

/// The most VMs in a part of a summary, so that it fits in a datagram.
const MAX_MEMBERS_PER_PART: usize = 100;

/// Which part of a failure domain's VMs a summary lists.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct SummaryPart {
    /// The index of the part, below `count`.
    pub index: u16,
    /// The number of parts.
    pub count: u16,
}

impl SummaryPart {
    /// The only part of a summary that fits in a datagram.
    pub const WHOLE: Self = Self { index: 0, count: 1 };
}

impl Default for SummaryPart {
    fn default() -> Self {
        Self::WHOLE
    }
}

/// A VM in a summary.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct DomainMember {
    /// The VM's IP address; its ports are those of the summary's sender.
    pub ip: IpAddr,
    /// Whether the VM accepts new requests and reaches upstreams.
    pub ready: bool,
    /// Whether the store responds to the VM.
    pub store_reachable: bool,
    /// The number of typical requests that the VM can serve in a second.
    pub capacity_per_s: u32,
}

/// The VMs of a failure domain that one of them hears, including itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DomainSummary {
    /// The hybrid logical time at which the summary was sent.
    pub stamp: HybridTimestamp,
    /// The time until the sender's next summary, in milliseconds.
    pub period_ms: u64,
    /// When the sender's process started, in milliseconds since the Unix epoch.
    pub boot_at_ms: u64,
    /// The name of the failure domain.
    pub domain: Box<str>,
    /// The region of the failure domain.
    pub region: Box<str>,
    /// The sender's IP address.
    pub sender: IpAddr,
    /// The port on which the domain's VMs accept callers' requests.
    pub caller_port: u16,
    /// The port on which the domain's VMs receive other VMs' datagrams.
    pub peer_port: u16,
    /// The VMs that the sender hears and that aren't leaving, including itself, or a part of them.
    pub members: Vec<DomainMember>,
    /// The newest store version in each of the sender's table replicas, in the order of
    /// [`Table::REQUIRED`](crate::direct::replicas::Table::REQUIRED).
    pub changed_at: [StoreVersion; 2],
    /// The combined view of the store of the domain's VMs.
    pub store_health: StoreHealth,
    /// VMs of the receiver's failure domain that the sender knows, so that its VMs find each other
    /// after a long partition or a start without the store.
    pub receiver_domain_vms: Vec<IpAddr>,
    /// The part that this summary is. Messages name it only if there are several, so that VMs of earlier
    /// versions read the others.
    #[serde(skip)]
    pub part: SummaryPart,
}

impl DomainSummary {
    /// Splits the members over as many parts as needed.
    pub(super) fn into_parts(self) -> Vec<Self> {
        let count = self.members.len().div_ceil(MAX_MEMBERS_PER_PART).clamp(1, u16::MAX.into());
        let part = |index: usize| SummaryPart { index: index as u16, count: count as u16 };
        if count == 1 {
            return vec![self];
        }
        let members = self.members.chunks(MAX_MEMBERS_PER_PART).enumerate();
        members
            .map(|(index, members)| Self {
                members: members.to_vec(),
                part: part(index),
                ..self.clone()
            })
            .collect()
    }

    /// Returns this summary as the part that a message names.
    #[must_use]
    pub fn with_part(self, part: SummaryPart) -> Self {
        Self { part, ..self }
    }

    /// Returns the sender's address for datagrams.
    pub fn sender(&self) -> SocketAddr {
        SocketAddr::new(self.sender, self.peer_port)
    }

    /// Returns the descriptor of a listed VM, named by its address.
    pub(super) fn descriptor(&self, member: &DomainMember) -> VmDescriptor {
        VmDescriptor {
            name: member.ip.to_string().into(),
            domain: self.domain.clone(),
            region: self.region.clone(),
            caller_address: SocketAddr::new(member.ip, self.caller_port),
            peer_address: SocketAddr::new(member.ip, self.peer_port),
            capacity_per_s: member.capacity_per_s,
        }
    }

    /// Returns a digest of the content that VMs compare: the period, whether the store is reachable,
    /// and the listed VMs.
    pub(super) fn digest(&self) -> u64 {
        let mut content = Vec::new();
        content.extend(self.period_ms.to_le_bytes());
        content.push(match self.store_health {
            StoreHealth::Unknown => 0,
            StoreHealth::Reachable { .. } => 1,
            StoreHealth::Failing => 2,
        });
        for member in &self.members {
            match member.ip {
                IpAddr::V4(ip) => content.extend(ip.octets()),
                IpAddr::V6(ip) => content.extend(ip.octets()),
            }
            content.extend([u8::from(member.ready), u8::from(member.store_reachable)]);
            content.extend(member.capacity_per_s.to_le_bytes());
        }
        Digest::of(&[&content]).to_u64()
    }
}

/// A summary that a VM relays to the VMs of its own failure domain.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RelayedSummary {
    /// The time since the summary was received, in milliseconds.
    pub age_ms: u64,
    /// The summary, in full or as a digest.
    pub update: SummaryUpdate,
}

/// The content of a relayed summary, compared with the last summary of its sender.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum SummaryUpdate {
    /// The full summary: its content changed, or the receiver may lack it.
    Changed(DomainSummary),
    /// The content is unchanged.
    Unchanged {
        /// The sender's address for datagrams.
        sender: SocketAddr,
        /// When the sender's process started, in milliseconds since the Unix epoch.
        boot_at_ms: u64,
        /// The hybrid logical time at which the summary was sent.
        stamp: HybridTimestamp,
        /// A digest of the content; a receiver whose stored digest differs ignores the message.
        digest: u64,
    },
    /// As `Changed`, for one of several parts.
    ChangedPart(SummaryPart, DomainSummary),
    /// As `Unchanged`, for one of several parts.
    UnchangedPart {
        /// The part.
        part: SummaryPart,
        /// The sender's address for datagrams.
        sender: SocketAddr,
        /// When the sender's process started, in milliseconds since the Unix epoch.
        boot_at_ms: u64,
        /// The hybrid logical time at which the summary was sent.
        stamp: HybridTimestamp,
        /// A digest of the content.
        digest: u64,
    },
}
