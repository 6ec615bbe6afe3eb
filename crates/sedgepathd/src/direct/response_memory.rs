//! The memory that bodies take, which callers may read slowly.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use bytes::Bytes;

/// The divisor of the process's memory that gives the limit for buffered bodies.
const BODY_MEMORY_DIVISOR: usize = 4;

/// Response bodies from this size on are counted, in bytes. Smaller ones take less than their connection.
const MIN_COUNTED_BYTES: usize = 4 * 1024;

/// The memory for buffered bodies, and what response bodies, or the beginnings of those that are passed on, use of
/// it until their callers have read them.
#[derive(Debug)]
pub struct ResponseMemory {
    max_bytes: usize,
    held_bytes: Arc<AtomicUsize>,
}

impl ResponseMemory {
    /// Creates the counter of a process with a limit of its memory in bytes.
    pub fn new(memory_bytes: usize) -> Self {
        Self { max_bytes: memory_bytes / BODY_MEMORY_DIVISOR, held_bytes: Arc::default() }
    }

    /// Returns the number of bytes of response bodies that wait for their callers.
    pub fn held_bytes(&self) -> usize {
        self.held_bytes.load(Ordering::Relaxed)
    }

    /// Returns how many bytes of a body may be buffered, at most `max_bytes`, while a number of requests is
    /// in flight.
    pub fn limit_bytes(&self, max_bytes: usize, requests: usize) -> usize {
        max_bytes.min(self.max_bytes.saturating_sub(self.held_bytes()) / requests.max(1))
    }

    /// Counts a body, or the beginning of one, until its last copy is dropped.
    pub fn hold(&self, body: Bytes) -> Bytes {
        if body.len() < MIN_COUNTED_BYTES {
            return body;
        }
        self.held_bytes.fetch_add(body.len(), Ordering::Relaxed);
        Bytes::from_owner(HeldBody { body, held_bytes: Arc::clone(&self.held_bytes) })
    }
}

/// A body that is counted while it exists.
#[derive(Debug)]
struct HeldBody {
    body: Bytes,
    held_bytes: Arc<AtomicUsize>,
}

impl AsRef<[u8]> for HeldBody {
    fn as_ref(&self) -> &[u8] {
        &self.body
    }
}

impl Drop for HeldBody {
    fn drop(&mut self) {
        self.held_bytes.fetch_sub(self.body.len(), Ordering::Relaxed);
    }
}
