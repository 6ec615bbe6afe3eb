//! Hash tables with a fast hasher, and digests of untrusted input.

/// A hash map with a fast, fixed hasher.
///
/// The hasher does not resist collision attacks, so keys that callers choose are hashed to a
/// [`Digest`] first. Iteration order depends only on the insertions, so runs with a fixed seed are
/// reproducible.
pub type Map<K, V> = rustc_hash::FxHashMap<K, V>;

/// A hash set with the hasher of [`Map`].
pub type Set<K> = rustc_hash::FxHashSet<K>;

/// The first 128 bits of a BLAKE3 hash.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize,
)]
pub struct Digest(pub [u8; 16]);

impl Digest {
    /// Hashes several parts, each prefixed with its length, so that moving bytes between parts
    /// changes the digest.
    pub fn of(parts: &[&[u8]]) -> Self {
        let mut hasher = blake3::Hasher::new();
        for part in parts {
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part);
        }
        let mut bytes = [0; 16];
        bytes.copy_from_slice(&hasher.finalize().as_bytes()[..16]);
        Self(bytes)
    }

    /// Returns the first 64 bits as a number, for rendezvous hashing and display.
    pub fn to_u64(self) -> u64 {
        let mut bytes = [0; 8];
        bytes.copy_from_slice(&self.0[..8]);
        u64::from_le_bytes(bytes)
    }

    /// Formats the digest as 32 hexadecimal digits.
    pub fn to_hex(self) -> String {
        use std::fmt::Write;
        self.0.iter().fold(String::with_capacity(32), |mut hex, byte| {
            let _infallible = write!(hex, "{byte:02x}");
            hex
        })
    }

    /// Parses 32 hexadecimal digits.
    pub fn from_hex(hex: &str) -> Option<Self> {
        if hex.len() != 32 || !hex.is_ascii() {
            return None;
        }
        let mut bytes = [0; 16];
        for (index, byte) in bytes.iter_mut().enumerate() {
            *byte = u8::from_str_radix(hex.get(index * 2..index * 2 + 2)?, 16).ok()?;
        }
        Some(Self(bytes))
    }
}
