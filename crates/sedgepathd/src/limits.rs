//! Bounds on what callers may take of the daemon's time and memory.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// The bounds, as written under `limits` in the settings.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
#[serde(default)]
pub struct Limits {
    /// The most connections of callers at once; further ones wait to be accepted.
    pub connections: usize,
    /// The most bytes of a request's head.
    pub head_bytes: usize,
    /// The longest that a request's head may take to arrive, in milliseconds; an idle connection is
    /// closed after it too.
    pub head_timeout_ms: u64,
    /// The most bytes of a request's body, which is kept until the answer to be sent again.
    pub body_bytes: usize,
    /// The longest that a request's body may take to arrive, in milliseconds.
    pub body_timeout_ms: u64,
    /// The deadline of a request that names none, in milliseconds.
    pub default_timeout_ms: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            connections: 4_096,
            head_bytes: 32 * 1024,
            head_timeout_ms: 15_000,
            body_bytes: 1024 * 1024,
            body_timeout_ms: 10_000,
            default_timeout_ms: 10_000,
        }
    }
}

impl Limits {
    /// Returns the longest that a request's head may take to arrive.
    pub fn head_timeout(&self) -> Duration {
        Duration::from_millis(self.head_timeout_ms)
    }

    /// Returns the longest that a request's body may take to arrive.
    pub fn body_timeout(&self) -> Duration {
        Duration::from_millis(self.body_timeout_ms)
    }
}
