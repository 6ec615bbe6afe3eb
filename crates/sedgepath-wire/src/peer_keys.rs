//! The keys by which entry VMs authenticate each other's messages.
//!
//! Operators keep them in one row of the store, the newest two at a time. VMs accept a new key as
//! soon as they have read the row, and use it for their own messages only [`SIGNING_DELAY_MS`]
//! later, when all VMs that reach the store have read it. The older key is accepted until the next
//! rotation.

use serde::{Deserialize, Serialize};

use crate::key::SharedKey;

/// The table of the store with one row for each entry VM, and the row of the keys.
pub const VM_TABLE: &str = "sedgepath-vms";

/// The row's key within [`VM_TABLE`].
pub const PEER_KEY_ROW: &str = "peer-keys";

/// How often a VM reads the row again, in milliseconds.
pub const KEY_READ_INTERVAL_MS: u64 = 30_000;

/// The time from a rotation until VMs use the new key for their own messages, in milliseconds: the
/// time in which a VM has read the row although some calls of the store failed.
pub const SIGNING_DELAY_MS: u64 = 3 * KEY_READ_INTERVAL_MS;

/// The number of keys that are accepted at a time.
const ACCEPTED_KEYS: usize = 2;

/// The row can't be decoded.
#[derive(Debug, thiserror::Error)]
#[error("the row of peer keys can't be decoded")]
pub struct PeerKeyError(#[from] serde_json::Error);

/// A key as the row stores it.
#[derive(Clone, Serialize, Deserialize)]
struct StoredKey {
    id: u8,
    secret: Box<str>,
    sign_from_unix_ms: u64,
}

/// A key of the entry VMs.
#[derive(Debug, Clone)]
pub struct PeerKey {
    /// The number by which messages name the key.
    pub id: u8,
    /// The key of the messages' codes.
    pub key: SharedKey,
    /// When VMs begin to use the key for their own messages, in milliseconds since the Unix epoch.
    pub sign_from_unix_ms: u64,
}

/// The keys that are accepted, the newest last.
#[derive(Clone, Default)]
pub struct PeerKeyring {
    stored: Vec<StoredKey>,
    keys: Vec<PeerKey>,
}

impl std::fmt::Debug for PeerKeyring {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        // Omits the secrets, so that they can't appear in logs or panic messages.
        f.debug_struct("PeerKeyring").field("keys", &self.keys).finish_non_exhaustive()
    }
}

impl PeerKeyring {
    /// Decodes the row.
    ///
    /// # Errors
    ///
    /// Fails if the row can't be decoded.
    pub fn from_row(value: &[u8]) -> Result<Self, PeerKeyError> {
        Ok(Self::new(serde_json::from_slice(value)?))
    }

    /// Encodes the row.
    ///
    /// # Errors
    ///
    /// Fails if the row can't be encoded.
    pub fn to_row(&self) -> Result<Box<str>, PeerKeyError> {
        Ok(serde_json::to_string(&self.stored)?.into())
    }

    /// Returns the keys after a rotation: the newest one, and a key of this secret.
    ///
    /// The first key of all is used at once, since there is none that VMs could use meanwhile.
    pub fn rotated(&self, secret: Box<str>, now_unix_ms: u64) -> Self {
        let newest = self.stored.last();
        let id = newest.map_or(0, |newest| newest.id.wrapping_add(1));
        let sign_from_unix_ms = newest.map_or(0, |_| now_unix_ms + SIGNING_DELAY_MS);
        let mut stored: Vec<_> = newest.cloned().into_iter().collect();
        stored.push(StoredKey { id, secret, sign_from_unix_ms });
        Self::new(stored)
    }

    /// Returns whether these keys, read from a restored store, are older than known ones.
    pub fn precedes(&self, known: &Self) -> bool {
        let newest = |keyring: &Self| keyring.keys.last().map(|newest| newest.sign_from_unix_ms);
        newest(self) < newest(known)
    }

    /// Returns the keys that are accepted, the newest last.
    pub fn keys(&self) -> &[PeerKey] {
        &self.keys
    }

    /// Returns the numbers of the keys that are accepted.
    pub fn ids(&self) -> Vec<u8> {
        self.keys.iter().map(|key| key.id).collect()
    }

    /// Returns the key with a number.
    pub fn get(&self, id: u8) -> Option<&PeerKey> {
        self.keys.iter().find(|key| key.id == id)
    }

    /// Returns the key for a VM's own messages: the newest one whose time has come.
    pub fn signing_key(&self, now_unix_ms: u64) -> Option<&PeerKey> {
        let usable = self.keys.iter().rev().find(|key| key.sign_from_unix_ms <= now_unix_ms);
        usable.or_else(|| self.keys.first())
    }

    fn new(mut stored: Vec<StoredKey>) -> Self {
        stored.drain(..stored.len().saturating_sub(ACCEPTED_KEYS));
        let keys = stored.iter().map(|stored| PeerKey {
            id: stored.id,
            key: SharedKey::new(&stored.secret, "messages between entry VMs"),
            sign_from_unix_ms: stored.sign_from_unix_ms,
        });
        Self { keys: keys.collect(), stored }
    }
}
