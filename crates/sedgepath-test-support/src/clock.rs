//! The wall clock in milliseconds, the unit of the stand-ins' timestamps.

use std::thread;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Returns the milliseconds since the Unix epoch.
pub fn now_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |age| age.as_millis() as u64)
}

/// Sleeps unless `delay_ms` is zero.
pub(crate) fn sleep_ms(delay_ms: u64) {
    if delay_ms > 0 {
        thread::sleep(Duration::from_millis(delay_ms));
    }
}
