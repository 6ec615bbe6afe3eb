//! Limits on the time and memory that callers' requests may use.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// The limits on callers' connections and requests: `limits` in the settings file.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
#[serde(default)]
pub struct Limits {
    /// The maximum number of open connections from callers; further connections wait to be accepted.
    pub connections: usize,
    /// The maximum size of a request's head in bytes.
    pub head_bytes: usize,
    /// The maximum time for a request's head to arrive, in milliseconds; an idle connection is closed
    /// after the same time.
    pub head_timeout_ms: u64,
    /// The maximum size of a request's body in bytes. The body is held in memory until the response
    /// so that it can be sent again.
    pub body_bytes: usize,
    /// The maximum time for a request's body to arrive, in milliseconds.
    pub body_timeout_ms: u64,
    /// The timeout of a request without a timeout or deadline of its own, in milliseconds.
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
    /// Returns `head_timeout_ms` as a duration.
    pub fn head_timeout(&self) -> Duration {
        Duration::from_millis(self.head_timeout_ms)
    }

    /// Returns `body_timeout_ms` as a duration.
    pub fn body_timeout(&self) -> Duration {
        Duration::from_millis(self.body_timeout_ms)
    }
}
