//! Versions of the store's rows, ordered across restores of the store.
//!
//! After an outage the store may come back from an older copy. It then gives its versions out again,
//! so that they order writes only within an era: the time from one restore to the next.

use serde::{Deserialize, Serialize};

/// The bits of a version that hold the store's own counter.
const COUNTER_BITS: u32 = 40;

/// The largest counter, and the mask of its bits.
const MAX_COUNTER: u64 = (1 << COUNTER_BITS) - 1;

/// The largest era.
const MAX_ERA: u32 = (1 << (u64::BITS - COUNTER_BITS)) - 1;

/// A version of the store: the era, and within it the store's own counter.
///
/// Both are in one number, so that VMs of earlier versions, which know no eras, read the messages of
/// later ones: in era 0, the number is the counter.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct StoreVersion(u64);

impl StoreVersion {
    /// Creates the version of an era with the store's counter.
    pub fn new(era: u32, counter: u64) -> Self {
        Self(u64::from(era.min(MAX_ERA)) << COUNTER_BITS | counter.min(MAX_COUNTER))
    }

    /// Returns the version with a number that [`Self::to_u64`] returned.
    pub fn from_u64(number: u64) -> Self {
        Self(number)
    }

    /// Returns the number that orders this version among all others.
    pub fn to_u64(self) -> u64 {
        self.0
    }

    /// Returns the era.
    pub fn era(self) -> u32 {
        (self.0 >> COUNTER_BITS) as u32
    }

    /// Returns the store's own counter.
    pub fn counter(self) -> u64 {
        self.0 & MAX_COUNTER
    }
}
