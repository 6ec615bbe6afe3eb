//! Counts what is still open, for a planned stop that waits for its end.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use tokio::sync::watch;

/// A count of things that are open.
#[derive(Debug, Clone)]
pub struct OpenCount {
    count: watch::Sender<usize>,
}

impl OpenCount {
    /// Creates a count of zero.
    pub fn new() -> Self {
        Self { count: watch::Sender::new(0) }
    }

    /// Counts one more until the returned guard is dropped.
    pub fn open(&self) -> OpenGuard {
        self.count.send_modify(|count| *count += 1);
        OpenGuard { count: self.count.clone() }
    }

    /// Returns how many are open.
    pub fn get(&self) -> usize {
        *self.count.borrow()
    }

    /// Waits until none is open.
    pub async fn wait_until_none(&self) {
        // Can't fail: `self` holds a sender.
        let _none_open = self.count.subscribe().wait_for(|count| *count == 0).await.is_ok();
    }
}

impl Default for OpenCount {
    fn default() -> Self {
        Self::new()
    }
}

/// Something that an [`OpenCount`] counts until this is dropped.
#[derive(Debug)]
pub struct OpenGuard {
    count: watch::Sender<usize>,
}

impl Drop for OpenGuard {
    fn drop(&mut self) {
        self.count.send_modify(|count| *count -= 1);
    }
}

/// The guards of the responses of a connection whose bodies have been taken and aren't written yet.
#[derive(Debug, Clone, Default)]
pub struct UnwrittenResponses(Arc<Mutex<Vec<OpenGuard>>>);

impl UnwrittenResponses {
    /// Keeps a guard until all that has been taken is written.
    pub fn push(&self, guard: OpenGuard) {
        self.lock().push(guard);
    }

    /// Drops all guards, as all that has been taken is written.
    pub fn clear(&self) {
        self.lock().clear();
    }

    fn lock(&self) -> MutexGuard<'_, Vec<OpenGuard>> {
        // A panic can't leave the list inconsistent.
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
