//! Which entry VM of a failure domain owns an upstream.
//!
//! Rendezvous hashing (Thaler and Ravishankar, 1998): every node ranks the candidates by a hash of
//! candidate and upstream, so all that know the same candidates agree without a message, and a
//! candidate's end moves only its own upstreams.

use crate::key::VmKey;

/// Returns the candidate that ranks first for an item, such as an upstream.
pub fn owner(item: u64, candidates: &[VmKey]) -> Option<VmKey> {
    candidates.iter().copied().max_by_key(|vm| (score(item, vm.0), vm.0))
}

/// Mixes two numbers as the finaliser of `SplitMix64` does (Steele et al., 2014).
pub fn score(item: u64, candidate: u64) -> u64 {
    let mut mixed = item.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ candidate;
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}
