//! Access to mutexes that may be poisoned.

use std::sync::{Mutex, MutexGuard, PoisonError};

/// Locks a mutex even if it is poisoned, so that a failed assertion isn't obscured by a second panic
/// in a thread of a test double.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
