//! Locks.

use std::sync::{Mutex, MutexGuard, PoisonError};

/// Locks a mutex also after a panic in another thread: a failed assertion in a test must not hide
/// behind a second panic in a stand-in.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
