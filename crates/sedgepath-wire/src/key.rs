//! Symmetric keys, derived from the secret that all processes of a system share.

/// The length of a message authentication code in bytes.
pub const MAC_BYTES: usize = 16;

/// A message authentication code: a truncated keyed BLAKE3 hash.
pub type Mac = [u8; MAC_BYTES];

/// A MAC key for one purpose, derived from the secret in the settings.
#[derive(Clone)]
pub struct SharedKey([u8; 32]);

impl std::fmt::Debug for SharedKey {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("SharedKey")
    }
}

impl SharedKey {
    /// Derives a key from the secret; keys of different purposes are independent.
    pub fn new(secret: &str, purpose: &str) -> Self {
        let context = format!("sedgepath 2026-12 {purpose}");
        Self(blake3::derive_key(&context, secret.as_bytes()))
    }

    /// Derives the key of one connection from the nonces of both ends.
    pub fn derive_connection_key(&self, initiator_nonce: u64, acceptor_nonce: u64) -> Self {
        let mut hasher = blake3::Hasher::new_keyed(&self.0);
        hasher.update(&initiator_nonce.to_le_bytes());
        hasher.update(&acceptor_nonce.to_le_bytes());
        Self(*hasher.finalize().as_bytes())
    }

    /// Computes the MAC of the concatenated parts.
    pub fn mac(&self, parts: &[&[u8]]) -> Mac {
        let mut hasher = blake3::Hasher::new_keyed(&self.0);
        for part in parts {
            hasher.update(part);
        }
        let mut mac = [0; MAC_BYTES];
        mac.copy_from_slice(&hasher.finalize().as_bytes()[..MAC_BYTES]);
        mac
    }

    /// Returns whether a MAC matches the concatenated parts; compares in constant time.
    pub fn verify(&self, parts: &[&[u8]], mac: &[u8]) -> bool {
        let expected = self.mac(parts);
        let difference = expected.iter().zip(mac).fold(0, |sum, (a, b)| sum | (a ^ b));
        mac.len() == MAC_BYTES && difference == 0
    }
}
