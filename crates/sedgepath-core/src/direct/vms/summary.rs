//! What a failure domain says of its VMs to other domains.

use std::net::{IpAddr, SocketAddr};

use serde::{Deserialize, Serialize};

use super::heartbeat::{StoreHealth, VmDescriptor};
use crate::clock::HybridTimestamp;
use crate::hash::Digest;

/// The most VMs that a summary lists, so that it fits a datagram.
pub(super) const MAX_LISTED: usize = 150;

/// A VM in a summary.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Its address; its ports are those of the summary's sender.
    pub ip: IpAddr,
    /// Whether it takes new requests.
    pub ready: bool,
    /// Whether the store answers it.
    pub has_store: bool,
}

/// The VMs of a failure domain that one of them hears, itself among them.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DomainSummary {
    /// When it was sent, in the order of events over all VMs.
    pub stamp: HybridTimestamp,
    /// The time until its sender's next one, in milliseconds.
    pub period_ms: u64,
    /// When its sender's process started, in milliseconds since the Unix epoch.
    pub boot: u64,
    /// The failure domain.
    pub domain: Box<str>,
    /// Its region.
    pub region: Box<str>,
    /// The sender's address.
    pub sender: IpAddr,
    /// The port on which the domain's VMs take callers' requests.
    pub callers_port: u16,
    /// The port on which they take other VMs' datagrams.
    pub peers_port: u16,
    /// The VMs that are heard and don't leave.
    pub members: Vec<Member>,
    /// How new the sender's copies of the store's tables are, by the store's versions.
    pub changed_at: [u64; 2],
    /// What the domain can tell of the store.
    pub store: StoreHealth,
    /// VMs of the receiver's failure domain that the sender knows of: halves of it that were cut off
    /// from each other for long, and one that starts without the store, find the others again.
    pub yours: Vec<IpAddr>,
}

impl DomainSummary {
    /// Returns where its sender takes datagrams.
    pub fn sender(&self) -> SocketAddr {
        SocketAddr::new(self.sender, self.peers_port)
    }

    /// Returns how to reach a VM that it lists.
    pub(super) fn card(&self, member: &Member) -> VmDescriptor {
        VmDescriptor {
            name: member.ip.to_string().into(),
            domain: self.domain.clone(),
            region: self.region.clone(),
            caller_address: SocketAddr::new(member.ip, self.callers_port),
            peer_address: SocketAddr::new(member.ip, self.peers_port),
        }
    }

    /// Returns a digest of what it says, without when and to whom.
    pub(super) fn digest(&self) -> u64 {
        let mut said = Vec::new();
        said.extend(self.period_ms.to_le_bytes());
        said.push(match self.store {
            StoreHealth::Unknown => 0,
            StoreHealth::Reachable { .. } => 1,
            StoreHealth::Failing => 2,
        });
        for member in &self.members {
            match member.ip {
                IpAddr::V4(ip) => said.extend(ip.octets()),
                IpAddr::V6(ip) => said.extend(ip.octets()),
            }
            said.extend([u8::from(member.ready), u8::from(member.has_store)]);
        }
        Digest::of(&[&said]).to_u64()
    }
}

/// A summary that a VM has received and passes on to those of its own failure domain.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RelayedSummary {
    /// Since when the VM has had it, in milliseconds.
    pub age_ms: u64,
    /// The summary.
    pub news: SummaryUpdate,
}

/// What a summary says against the last one of its sender.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum SummaryUpdate {
    /// Something else, or the receiver may not have it.
    Changed(DomainSummary),
    /// The same.
    Unchanged {
        /// Where its sender takes datagrams.
        sender: SocketAddr,
        /// When its sender's process started, in milliseconds since the Unix epoch.
        boot: u64,
        /// When it was sent, in the order of events over all VMs.
        stamp: HybridTimestamp,
        /// A digest of what it says; one that doesn't have that learns nothing.
        digest: u64,
    },
}
