//! Bodies that can be verified without a copy: generated from their offset, or by digest.

use std::fmt;

/// A 64-bit FNV-1a digest, which is stable between builds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Digest(u64);

impl Digest {
    /// Creates a digest of an empty body.
    pub const fn new() -> Self {
        Self(0xcbf2_9ce4_8422_2325)
    }

    /// Returns the digest of `bytes`.
    pub fn of(bytes: &[u8]) -> Self {
        let mut digest = Self::new();
        digest.update(bytes);
        digest
    }

    /// Extends the digest by the next bytes of a body.
    pub fn update(&mut self, bytes: &[u8]) {
        for byte in bytes {
            self.0 = (self.0 ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3);
        }
    }
}

impl Default for Digest {
    fn default() -> Self {
        Self::new()
    }
}

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// Fills `buffer` with the generated content of a revision that starts at `offset`.
pub fn fill(revision: u64, offset: u64, buffer: &mut [u8]) {
    let mut position = offset;
    let mut rest = buffer;
    while !rest.is_empty() {
        let bytes = word(revision, position / 8).to_le_bytes();
        let from = (position % 8) as usize;
        let count = rest.len().min(8 - from);
        let (current, following) = rest.split_at_mut(count);
        current.copy_from_slice(&bytes[from..from + count]);
        position += count as u64;
        rest = following;
    }
}

/// Returns whether `bytes` equal the generated content of a revision that starts at `offset`.
pub fn matches(revision: u64, offset: u64, bytes: &[u8]) -> bool {
    let mut expected = vec![0; bytes.len()];
    fill(revision, offset, &mut expected);
    expected == bytes
}

/// Returns the 8-byte word at this index, by the `SplitMix64` finalizer.
fn word(revision: u64, index: u64) -> u64 {
    let seed = index.wrapping_add(revision.rotate_left(32)).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    let mixed = (seed ^ (seed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed ^ (mixed >> 27)
}
