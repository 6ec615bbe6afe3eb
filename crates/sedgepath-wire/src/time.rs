//! Wall-clock time.

use std::time::{SystemTime, UNIX_EPOCH};

/// Returns the wall-clock time in milliseconds since the Unix epoch, or 0 if the clock is earlier.
pub fn unix_ms() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    since_epoch.as_millis() as u64
}
