//! Rendezvous hashing, which assigns items such as upstreams to entry VMs.
//!
//! See Thaler and Ravishankar (1998). Every VM ranks the candidates by a hash of the candidate and
//! the item. VMs with the same list of candidates therefore choose the same owner without
//! communicating, and removing a candidate reassigns only its own items.

use crate::key::VmKey;

/// Returns the candidate with the highest score for an item, such as an upstream.
pub fn owner(item: u64, candidates: &[VmKey]) -> Option<VmKey> {
    candidates.iter().copied().max_by_key(|vm| (score(item, vm.0), vm.0))
}

/// Combines an item and a candidate, and mixes the bits with the finalizer of `SplitMix64` (Steele
/// et al., 2014).
pub fn score(item: u64, candidate: u64) -> u64 {
    let mut mixed = item.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ candidate;
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}
