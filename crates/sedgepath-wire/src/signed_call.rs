//! Proofs of remote calls: who asks, for what, and that it is asked once.
//!
//! A proof is a keyed hash of the method, its parameters, the time and a number drawn at random. A
//! node takes it if it knows the key, the time is near its own, and it has not seen the number. It
//! remembers numbers as long as their time is near, so that a repeat is refused for as long as it would
//! be taken; a node that starts again has forgotten them, which lets a recorded call be repeated for
//! [`MAX_CLOCK_SKEW_MS`] after it was made. A repeated change is found by its number and made once all the
//! same; all other calls only read.
//!
//! Several keys may be in force, so that one can be replaced: the new one is added to all nodes, then
//! given to the operators, then the old one is taken away.

use std::collections::{HashSet, VecDeque};

use serde::{Deserialize, Serialize};

use crate::key::{Code, SharedKey};

/// How far the time of a call may be from the node's, in milliseconds: clocks of VMs are set apart by
/// some seconds, and an operator's call takes up to twelve.
pub const MAX_CLOCK_SKEW_MS: u64 = 30_000;

/// The most numbers that are remembered. Strangers add none; operators ask a few times a second.
const MAX_SEEN: usize = 65_536;

/// What proves a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallSignature {
    /// When it was made, in milliseconds since the Unix epoch by the caller's clock.
    pub at_ms: u64,
    /// A number drawn at random.
    pub number: u64,
    /// The code.
    pub code: Code,
}

/// The parameters of a call with its proof.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SignedCall<T> {
    /// The proof.
    pub proof: CallSignature,
    /// The parameters.
    pub of: T,
}

/// Why a call is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum SignatureError {
    /// No key in force made the proof, or not for this call.
    #[error("the call is not proved by a key in force")]
    InvalidSignature,
    /// Its time is too far from the node's.
    #[error("the call's time is {apart_ms} ms from the node's")]
    ClockSkew {
        /// How far.
        apart_ms: u64,
    },
    /// It was made before.
    #[error("the call was made before")]
    Replayed,
}

/// Returns the key that a text stands for in proofs.
pub fn derive_call_key(text: &str) -> SharedKey {
    SharedKey::new(text, "remote calls")
}

impl<T: Serialize> SignedCall<T> {
    /// Proves a call.
    pub fn new(key: &SharedKey, method: &str, of: T, at_ms: u64, number: u64) -> Self {
        // Parameters that can't be written are proved by nothing, and refused.
        let parts = parts(method, &of, at_ms, number);
        let code = parts.map(|parts| key.code(&[&parts])).unwrap_or_default();
        Self { proof: CallSignature { at_ms, number, code }, of }
    }
}

/// Checks the proofs of calls.
#[derive(Debug)]
pub struct CallVerifier {
    keys: Vec<SharedKey>,
    /// The numbers of calls whose time is near, oldest first by when they came.
    order: VecDeque<(u64, u64)>,
    seen: HashSet<u64>,
}

impl CallVerifier {
    /// Creates a guard that knows keys by their texts.
    pub fn new<'a>(texts: impl IntoIterator<Item = &'a str>) -> Self {
        let keys = texts.into_iter().map(derive_call_key).collect();
        Self { keys, order: VecDeque::new(), seen: HashSet::new() }
    }

    /// Checks a call and returns its parameters.
    ///
    /// # Errors
    ///
    /// Fails if the call is not proved by a key in force, untimely, or a repeat.
    pub fn verify<T: Serialize>(
        &mut self,
        method: &str,
        call: SignedCall<T>,
        now_ms: u64,
    ) -> Result<T, SignatureError> {
        let CallSignature { at_ms, number, code: given } = call.proof;
        let Some(parts) = parts(method, &call.of, at_ms, number) else {
            return Err(SignatureError::InvalidSignature);
        };
        // All keys are tried, so that the time does not tell which one fits.
        if self.keys.iter().filter(|key| key.verify(&[&parts], &given)).count() == 0 {
            return Err(SignatureError::InvalidSignature);
        }
        let apart_ms = now_ms.abs_diff(at_ms);
        if apart_ms > MAX_CLOCK_SKEW_MS {
            return Err(SignatureError::ClockSkew { apart_ms });
        }
        self.forget(now_ms);
        if !self.seen.insert(number) {
            return Err(SignatureError::Replayed);
        }
        // A call that is ahead of the node's clock is timely for longer.
        self.order.push_back((at_ms.max(now_ms) + MAX_CLOCK_SKEW_MS, number));
        Ok(call.of)
    }

    fn forget(&mut self, now_ms: u64) {
        while self
            .order
            .front()
            .is_some_and(|(until_ms, _)| *until_ms < now_ms || self.order.len() >= MAX_SEEN)
        {
            if let Some((_, number)) = self.order.pop_front() {
                self.seen.remove(&number);
            }
        }
    }
}

/// Returns what a code stands for, or none if the parameters can't be written.
fn parts<T: Serialize>(method: &str, of: &T, at_ms: u64, number: u64) -> Option<Vec<u8>> {
    let mut parts = Vec::new();
    parts.extend_from_slice(&at_ms.to_le_bytes());
    parts.extend_from_slice(&number.to_le_bytes());
    parts.extend_from_slice(&(method.len() as u64).to_le_bytes());
    parts.extend_from_slice(method.as_bytes());
    parts.extend_from_slice(&postcard::to_stdvec(of).ok()?);
    Some(parts)
}
