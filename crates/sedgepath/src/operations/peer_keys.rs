//! Replaces the key of messages between VMs, in the platform's store.

use std::io;
use std::net::SocketAddr;
use std::time::{SystemTime, UNIX_EPOCH};

use sedgepath_adapter::store::HttpStore;
use sedgepath_core::table::{
    RowChange, RowCondition, RowWrite, TableRequest, TableResult, Transaction,
};
use sedgepath_wire::peer_keys::{PEER_KEY_ROW, PeerKeyError, PeerKeyring, VM_TABLE};

/// Why the key was not replaced, or may not have been.
#[derive(Debug, thiserror::Error)]
pub enum PeerKeyRotationError {
    /// The runtime can't be started.
    #[error("can't start the runtime")]
    Runtime(#[from] io::Error),
    /// The operating system gives no random bytes.
    #[error("can't create a secret")]
    Secret(#[from] getrandom::Error),
    /// The keys in the store can't be decoded; they are left as they are.
    #[error(transparent)]
    Keys(#[from] PeerKeyError),
    /// The store can't be reached, or rejected the request.
    #[error("the store can't be reached")]
    Unavailable,
    /// VMs don't use the newest key yet; to replace it now would drop the one that they use.
    #[error("the key was replaced lately; it can be replaced again in {wait_ms} ms")]
    TooSoon {
        /// The time until then, in milliseconds.
        wait_ms: u64,
    },
    /// Somebody else has replaced the key meanwhile.
    #[error("the key has been replaced by somebody else meanwhile")]
    Conflict,
    /// The store didn't respond to the write.
    #[error("the store didn't respond; the key may have been replaced")]
    Unknown,
}

/// Adds a new key, drops all but the newest one so far, and returns both.
///
/// # Errors
///
/// Fails if the store can't be reached, its keys can't be decoded, or somebody else replaces the key
/// at the same time.
pub fn rotate(store: SocketAddr) -> Result<PeerKeyring, PeerKeyRotationError> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    runtime.block_on(rotate_in(&HttpStore::new(store)))
}

async fn rotate_in(store: &HttpStore) -> Result<PeerKeyring, PeerKeyRotationError> {
    let read = TableRequest::Read(vec![PEER_KEY_ROW.into()]);
    let TableResult::Rows(rows) = store.execute(VM_TABLE, &read).await else {
        return Err(PeerKeyRotationError::Unavailable);
    };
    let (keyring, condition) = match rows.first() {
        Some(row) => {
            (PeerKeyring::from_row(row.value.as_bytes())?, RowCondition::Version(row.version))
        }
        None => (PeerKeyring::default(), RowCondition::Absent),
    };
    let now_ms = unix_ms();
    let used_from_ms = keyring.keys().last().map_or(0, |newest| newest.sign_from_unix_ms);
    if used_from_ms > now_ms {
        return Err(PeerKeyRotationError::TooSoon { wait_ms: used_from_ms - now_ms });
    }
    let rotated = keyring.rotated(new_secret()?, now_ms);
    let change = RowChange::Put(rotated.to_row()?);
    let write = RowWrite { key: PEER_KEY_ROW.into(), condition, change };
    let commit = TableRequest::Commit(Transaction { writes: vec![write] });
    match store.execute(VM_TABLE, &commit).await {
        TableResult::Committed => Ok(rotated),
        TableResult::Conflict { .. } => Err(PeerKeyRotationError::Conflict),
        TableResult::Unavailable => Err(PeerKeyRotationError::Unavailable),
        TableResult::Unknown | TableResult::Rows(_) => Err(PeerKeyRotationError::Unknown),
    }
}

/// Returns a new secret of 32 bytes, as hexadecimal digits.
fn new_secret() -> Result<Box<str>, getrandom::Error> {
    let [high, low] = [random_u128()?, random_u128()?];
    Ok(format!("{high:032x}{low:032x}").into())
}

fn random_u128() -> Result<u128, getrandom::Error> {
    let mut bytes = [0; 16];
    getrandom::fill(&mut bytes)?;
    Ok(u128::from_ne_bytes(bytes))
}

fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| u64::try_from(since.as_millis()).unwrap_or(u64::MAX))
}
