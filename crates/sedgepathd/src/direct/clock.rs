//! The clock of deadlines and ages.

use std::time::Duration;

use rustix::time::{ClockId, clock_gettime};
use sedgepath_core::direct::crashes::quarantine::Clocks;
use tokio::time::Instant;

pub use sedgepath_wire::time::unix_ms;

/// Returns the milliseconds since the machine booted, time spent suspended included.
///
/// The monotonic clock stops while a machine is suspended, so that data and requests from before
/// would look recent afterwards. The wall clock may jump.
pub fn now_ms() -> u64 {
    let time = clock_gettime(ClockId::Boottime);
    time.tv_sec as u64 * 1_000 + time.tv_nsec as u64 / 1_000_000
}

/// Returns the runtime's instant for a time in milliseconds of [`now_ms`].
pub fn instant_at(at_ms: u64) -> Instant {
    Instant::now() + Duration::from_millis(at_ms.saturating_sub(now_ms()))
}

/// Returns the current time by both clocks.
pub fn clocks() -> Clocks {
    Clocks { now_ms: now_ms(), unix_ms: unix_ms() }
}
