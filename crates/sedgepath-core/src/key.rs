//! Small `Copy` keys for the entities that the node keeps in tables.
//!
//! The key of a configured entity is a hash of its name, so it is the same on every node and in
//! every revision, and messages can carry it without negotiation. Record validation rejects two
//! names of one kind whose keys collide.

use serde::{Deserialize, Serialize};

use crate::hash::Digest;

macro_rules! name_key {
    ($(#[$doc:meta])* $key:ident, $kind:literal) => {
        $(#[$doc])*
        #[derive(
            Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
        )]
        pub struct $key(pub u32);

        impl $key {
            /// Derives the key from a name.
            pub fn of(name: &str) -> Self {
                Self(Digest::of(&[$kind, name.as_bytes()]).to_u64() as u32)
            }
        }
    };
}

name_key!(
    /// The key of a region: a group of failure domains close to each other.
    RegionKey, b"region"
);
name_key!(
    /// The key of a failure domain.
    DomainKey, b"domain"
);
name_key!(
    /// The key of a service, which callers request by name.
    ServiceKey, b"service"
);
name_key!(
    /// The key of an upstream.
    UpstreamKey, b"upstream"
);
name_key!(
    /// The key of an organisation that callers belong to.
    OrganisationKey, b"organisation"
);
name_key!(
    /// The key of an origin group: a set of caller addresses that is steered as a unit.
    OriginKey, b"origin"
);

/// The key of an entry VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct VmKey(pub u64);

impl VmKey {
    /// Derives the key from a VM's name.
    pub fn of(name: &str) -> Self {
        Self(Digest::of(&[b"vm", name.as_bytes()]).to_u64())
    }
}

/// The ID of one run of a process on a VM. IDs increase with start time; see [`BootId::new`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct BootId(pub u64);

impl BootId {
    /// The number of low bits that are random, to distinguish boots in the same millisecond.
    const RANDOM_BITS: u32 = 20;

    /// Creates an ID from the start time, in milliseconds since the Unix epoch, and random bits.
    pub fn new(started_at_ms: u64, random: u64) -> Self {
        Self(started_at_ms << Self::RANDOM_BITS | random & ((1 << Self::RANDOM_BITS) - 1))
    }
}

macro_rules! number_key {
    ($(#[$doc:meta])* $key:ident) => {
        $(#[$doc])*
        #[derive(
            Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
        )]
        pub struct $key(pub u64);
    };
}

number_key!(
    /// The key of a request that this node serves as ingress, assigned by the shell.
    RequestKey
);
number_key!(
    /// The key of a dispatch that this node serves as egress, assigned by the shell.
    ExchangeKey
);
number_key!(
    /// The key of a call to the platform or a peer whose result arrives as an event, assigned by
    /// the node.
    OperationKey
);
number_key!(
    /// The key of a pending reply to a caller or an operator, assigned by the shell.
    ReplyKey
);
