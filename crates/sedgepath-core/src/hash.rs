//! Hash tables with a fast hasher, and digests of what comes from outside.

/// A hash map with a fast, fixed hasher.
///
/// The hasher is not safe against chosen keys, so keys that callers choose are reduced to a
/// [`Digest`] first; its order of iteration depends on nothing but the insertions, so a run with a
/// fixed seed repeats itself.
pub type Map<K, V> = rustc_hash::FxHashMap<K, V>;

/// A hash set with the hasher of [`Map`].
pub type Set<K> = rustc_hash::FxHashSet<K>;

/// The first 128 bits of a BLAKE3 hash.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize,
)]
pub struct Digest(pub [u8; 16]);

impl Digest {
    /// Hashes several parts; each is preceded by its length, so that no two lists of parts collide
    /// by moving a border.
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

    /// Writes the digest as 32 hexadecimal digits.
    pub fn to_hex(self) -> String {
        use std::fmt::Write;
        self.0.iter().fold(String::with_capacity(32), |mut hex, byte| {
            let _infallible = write!(hex, "{byte:02x}");
            hex
        })
    }

    /// Reads 32 hexadecimal digits.
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
