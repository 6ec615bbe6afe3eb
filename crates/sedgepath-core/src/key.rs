//! Small `Copy` keys of the entities that the node keeps in tables.
//!
//! Keys of configured entities are hashes of their names: they are the same on every node and in
//! every revision, so messages carry them without any agreement on numbers. Two names of one kind
//! whose keys collide are refused when a record is checked.

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
            /// Derives the key of a name.
            pub fn of(name: &str) -> Self {
                Self(Digest::of(&[$kind, name.as_bytes()]).to_u64() as u32)
            }
        }
    };
}

name_key!(
    /// A region: a group of failure domains close to each other.
    RegionKey, b"region"
);
name_key!(
    /// A failure domain.
    DomainKey, b"domain"
);
name_key!(
    /// A service that callers ask for by name.
    ServiceKey, b"service"
);
name_key!(
    /// An upstream of a service.
    UpstreamKey, b"upstream"
);
name_key!(
    /// An organisation whose members call.
    OrganisationKey, b"organisation"
);
name_key!(
    /// A group of callers' addresses that is steered as one.
    OriginKey, b"origin"
);

/// An entry VM, by its name.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct VmKey(pub u64);

impl VmKey {
    /// Derives the key of a VM's name.
    pub fn of(name: &str) -> Self {
        Self(Digest::of(&[b"vm", name.as_bytes()]).to_u64())
    }
}

/// One run of a process on a VM. A later run has a higher number: it is drawn from the time of the
/// start, see [`BootId::new`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct BootId(pub u64);

impl BootId {
    /// The bits that are random, to tell apart two boots at the same time.
    const RANDOM_BITS: u32 = 20;

    /// Creates the number of a boot from the time of its start, in milliseconds since the Unix epoch.
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
    /// A request that this node serves as ingress, numbered by its shell.
    RequestKey
);
number_key!(
    /// A dispatch that this node serves as egress, numbered by its shell.
    ExchangeKey
);
number_key!(
    /// A call to the platform or a peer whose result comes back as an event; numbered by the node.
    OperationKey
);
number_key!(
    /// A question of a caller or an operator that awaits its answer, numbered by the shell.
    ReplyKey
);
