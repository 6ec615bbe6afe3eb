//! Authentication and replay protection of remote calls.
//!
//! A signature is a MAC of the method, its parameters, a timestamp and a random nonce. A node accepts
//! a call if one of its keys verifies the MAC, the timestamp differs from its clock by at most
//! [`MAX_CLOCK_SKEW_MS`], and the node does not remember the nonce. Nonces are remembered until their
//! timestamps expire, but are lost in a restart: a recorded call can then be replayed until its
//! timestamp expires. A replayed change still takes effect only once, since changes carry an
//! identifier of their own; all other calls only read.
//!
//! A node accepts several keys, so that a key can be rotated: the new key is added to all nodes and
//! given to the operators before the old one is removed.

use std::collections::{HashSet, VecDeque};

use serde::{Deserialize, Serialize};

use crate::key::{Mac, SharedKey};

/// The maximum difference between the timestamp of a call and the node's clock, in milliseconds;
/// covers the clock skew between VMs and the duration of an operator's call.
pub const MAX_CLOCK_SKEW_MS: u64 = 30_000;

/// The maximum number of remembered nonces; only calls with a valid signature add one.
const MAX_REMEMBERED_NONCES: usize = 65_536;

/// The signature of a remote call.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallSignature {
    /// The time of the call by the caller's clock, in milliseconds since the Unix epoch.
    #[serde(rename = "at_ms")]
    pub signed_at_ms: u64,
    /// A random number that detects replays.
    #[serde(rename = "number")]
    pub nonce: u64,
    /// The MAC of the method, the parameters, the timestamp and the nonce.
    #[serde(rename = "code")]
    pub mac: Mac,
}

/// The parameters of a remote call with their signature.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SignedCall<T> {
    /// Authenticates the method and the parameters.
    #[serde(rename = "proof")]
    pub signature: CallSignature,
    /// The parameters of the method.
    #[serde(rename = "of")]
    pub params: T,
}

/// Why a call is rejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum SignatureError {
    /// No accepted key verifies the MAC of this method and these parameters.
    #[error("the call is not proved by a key in force")]
    InvalidSignature,
    /// The timestamp differs from the node's clock by more than [`MAX_CLOCK_SKEW_MS`].
    #[error("call timestamp differs from the node's clock by {skew_ms} ms")]
    ClockSkew {
        /// The difference in milliseconds.
        skew_ms: u64,
    },
    /// A call with the same nonce was accepted before.
    #[error("the call was made before")]
    Replayed,
}

/// Derives the key that signs remote calls from a secret.
pub fn derive_call_key(secret: &str) -> SharedKey {
    SharedKey::new(secret, "remote calls")
}

impl<T: Serialize> SignedCall<T> {
    /// Signs a call with a timestamp in milliseconds since the Unix epoch and a random nonce.
    pub fn new(key: &SharedKey, method: &str, params: T, signed_at_ms: u64, nonce: u64) -> Self {
        // Unserializable parameters get a MAC of zeros, which the verifier rejects.
        let signed = signed_bytes(method, &params, signed_at_ms, nonce);
        let mac = signed.map(|signed| key.mac(&[&signed])).unwrap_or_default();
        Self { signature: CallSignature { signed_at_ms, nonce, mac }, params }
    }
}

/// Verifies the signatures of calls and rejects replays.
#[derive(Debug)]
pub struct CallVerifier {
    keys: Vec<SharedKey>,
    /// The expiry times in milliseconds and nonces of accepted calls, in the order of their arrival.
    nonce_expiries: VecDeque<(u64, u64)>,
    seen_nonces: HashSet<u64>,
}

impl CallVerifier {
    /// Creates a verifier that accepts the keys derived from any of these secrets.
    pub fn new<'a>(secrets: impl IntoIterator<Item = &'a str>) -> Self {
        let keys = secrets.into_iter().map(derive_call_key).collect();
        Self { keys, nonce_expiries: VecDeque::new(), seen_nonces: HashSet::new() }
    }

    /// Verifies a call, remembers its nonce and returns its parameters.
    ///
    /// # Errors
    ///
    /// Fails if the signature is invalid, the timestamp is outside the allowed clock skew, or the
    /// call is a replay.
    pub fn verify<T: Serialize>(
        &mut self,
        method: &str,
        call: SignedCall<T>,
        now_ms: u64,
    ) -> Result<T, SignatureError> {
        let CallSignature { signed_at_ms, nonce, mac } = call.signature;
        let Some(signed) = signed_bytes(method, &call.params, signed_at_ms, nonce) else {
            return Err(SignatureError::InvalidSignature);
        };
        // Tries all keys, so that the duration does not reveal which key matches.
        if self.keys.iter().filter(|key| key.verify(&[&signed], &mac)).count() == 0 {
            return Err(SignatureError::InvalidSignature);
        }
        let skew_ms = now_ms.abs_diff(signed_at_ms);
        if skew_ms > MAX_CLOCK_SKEW_MS {
            return Err(SignatureError::ClockSkew { skew_ms });
        }
        self.remove_expired_nonces(now_ms);
        if !self.seen_nonces.insert(nonce) {
            return Err(SignatureError::Replayed);
        }
        // A timestamp ahead of the node's clock stays acceptable for longer.
        self.nonce_expiries.push_back((signed_at_ms.max(now_ms) + MAX_CLOCK_SKEW_MS, nonce));
        Ok(call.params)
    }

    fn remove_expired_nonces(&mut self, now_ms: u64) {
        while self.nonce_expiries.front().is_some_and(|(expires_at_ms, _)| {
            *expires_at_ms < now_ms || self.nonce_expiries.len() >= MAX_REMEMBERED_NONCES
        }) {
            if let Some((_, nonce)) = self.nonce_expiries.pop_front() {
                self.seen_nonces.remove(&nonce);
            }
        }
    }
}

/// Returns the bytes that a signature covers, or `None` if the parameters can't be serialized.
fn signed_bytes<T: Serialize>(
    method: &str,
    params: &T,
    signed_at_ms: u64,
    nonce: u64,
) -> Option<Vec<u8>> {
    let mut bytes = Vec::new();
    bytes.extend_from_slice(&signed_at_ms.to_le_bytes());
    bytes.extend_from_slice(&nonce.to_le_bytes());
    bytes.extend_from_slice(&(method.len() as u64).to_le_bytes());
    bytes.extend_from_slice(method.as_bytes());
    bytes.extend_from_slice(&postcard::to_stdvec(params).ok()?);
    Some(bytes)
}
