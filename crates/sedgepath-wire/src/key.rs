//! The key that all processes of a system share.

/// The length in bytes of the authentication code of a datagram or frame.
pub const CODE_BYTES: usize = 16;

/// An authentication code.
pub type Code = [u8; CODE_BYTES];

/// A key derived from the secret of the settings for one purpose.
#[derive(Clone)]
pub struct SharedKey([u8; 32]);

impl std::fmt::Debug for SharedKey {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("SharedKey")
    }
}

impl SharedKey {
    /// Derives a key; `purpose` keeps the keys of datagrams, frames and remote calls apart.
    pub fn new(secret: &str, purpose: &str) -> Self {
        let context = format!("sedgepath 2026-12 {purpose}");
        Self(blake3::derive_key(&context, secret.as_bytes()))
    }

    /// Derives the key of one connection from the numbers that both ends drew for it.
    pub fn for_connection(&self, opener: u64, accepter: u64) -> Self {
        let mut hasher = blake3::Hasher::new_keyed(&self.0);
        hasher.update(&opener.to_le_bytes());
        hasher.update(&accepter.to_le_bytes());
        Self(*hasher.finalize().as_bytes())
    }

    /// Computes the code of the parts, in their order.
    pub fn code(&self, parts: &[&[u8]]) -> Code {
        let mut hasher = blake3::Hasher::new_keyed(&self.0);
        for part in parts {
            hasher.update(part);
        }
        let mut code = [0; CODE_BYTES];
        code.copy_from_slice(&hasher.finalize().as_bytes()[..CODE_BYTES]);
        code
    }

    /// Whether a code is that of the parts; takes the same time wherever they differ.
    pub fn verify(&self, parts: &[&[u8]], code: &[u8]) -> bool {
        let expected = self.code(parts);
        let difference = expected.iter().zip(code).fold(0, |sum, (a, b)| sum | (a ^ b));
        code.len() == CODE_BYTES && difference == 0
    }
}
