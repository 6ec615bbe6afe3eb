//! Client accounts: who may send a request, from where it may be served, and how many requests the
//! account may send.

use std::fmt;
use std::sync::Arc;

use crate::hash::{Digest, Map};

/// The digest of a key with which a client account's requests are authenticated.
///
/// Only digests are kept, so that no log line, metric or crash report contains a key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Credential(Digest);

impl Credential {
    /// Computes the credential of a key.
    pub fn of_key(key: &[u8]) -> Self {
        Self(Digest::of(&[b"client account key", key]))
    }
}

/// What a request presents to authenticate its client account.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum PresentedCredential {
    /// No key.
    #[default]
    None,
    /// A key that can't belong to an account: an empty one, several, or one with unusual bytes.
    Malformed,
    /// A well-formed key.
    Key(Credential),
}

/// Identifies a client account in tables and messages; derived from its name.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize,
)]
pub struct AccountKey(pub u64);

impl AccountKey {
    /// Returns the key of the account with a name.
    pub fn of_name(name: &str) -> Self {
        Self(Digest::of(&[b"client account", name.as_bytes()]).to_u64())
    }
}

impl fmt::Display for AccountKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// The requests that a client account may send through all VMs together: a token bucket.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Quota {
    /// The sustained rate in requests per second.
    pub rate_per_s: f64,
    /// The requests that may be sent at once beyond the rate.
    pub burst: f64,
}

/// A client account.
#[derive(Debug, Clone, PartialEq)]
pub struct ClientAccount {
    /// The account's name, which upstreams are told.
    pub name: Box<str>,
    /// The key for tables and messages.
    pub key: AccountKey,
    /// The priority of the account's requests, before that of the route; 0 is the highest.
    pub priority: Option<u32>,
    /// The limit on the account's requests; `None` if there is none.
    pub quota: Option<Quota>,
    /// The regions that may run the account's requests; empty if any may.
    pub home_regions: Vec<Box<str>>,
}

/// The client accounts of a configuration.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct ClientAccounts {
    /// The holder of each credential; `None` if several accounts have it.
    by_credential: Map<Credential, Option<Arc<ClientAccount>>>,
    by_key: Map<AccountKey, Arc<ClientAccount>>,
}

impl ClientAccounts {
    /// Creates a table without accounts.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds an account with its credentials, and returns whether another account has one of them too.
    ///
    /// A shared credential authenticates nobody, so that no account is served as another one.
    pub fn add(&mut self, account: ClientAccount, credentials: &[Credential]) -> bool {
        let account = Arc::new(account);
        let mut is_shared = false;
        for credential in credentials {
            let holder =
                self.by_credential.entry(*credential).or_insert_with(|| Some(Arc::clone(&account)));
            if holder.as_ref().is_none_or(|holder| holder.key != account.key) {
                *holder = None;
                is_shared = true;
            }
        }
        self.by_key.insert(account.key, account);
        is_shared
    }

    /// Returns the account that holds a credential.
    pub fn holder(&self, credential: Credential) -> Option<&Arc<ClientAccount>> {
        self.by_credential.get(&credential)?.as_ref()
    }

    /// Returns the account with a key.
    pub fn get(&self, key: AccountKey) -> Option<&Arc<ClientAccount>> {
        self.by_key.get(&key)
    }

    /// Returns the accounts in no particular order.
    pub fn iter(&self) -> impl Iterator<Item = &Arc<ClientAccount>> {
        self.by_key.values()
    }

    /// Returns the number of accounts.
    pub fn len(&self) -> usize {
        self.by_key.len()
    }

    /// Returns whether there are no accounts.
    pub fn is_empty(&self) -> bool {
        self.by_key.is_empty()
    }
}
