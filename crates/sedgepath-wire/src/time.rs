//! The time of day.

use std::time::{SystemTime, UNIX_EPOCH};

/// Returns the milliseconds since the Unix epoch; 0 on a machine whose clock is before it.
pub fn unix_ms() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    since_epoch.as_millis() as u64
}
