//! The time by which deadlines are kept.

use std::time::Duration;

use rustix::time::{ClockId, clock_gettime};
use tokio::time::Instant;

pub use sedgepath_wire::time::unix_ms;

/// Returns the milliseconds since the machine started, those while it was suspended among them.
///
/// The steady clock stands still while a machine is suspended. By it, what was read before the
/// suspension would look fresh afterwards, and a request's caller, long gone, as if it still waited.
/// The time of day counts on, but may jump.
pub fn now_ms() -> u64 {
    let time = clock_gettime(ClockId::Boottime);
    time.tv_sec as u64 * 1_000 + time.tv_nsec as u64 / 1_000_000
}

/// Returns the runtime's moment for a time by [`now_ms`].
pub fn instant_at(at_ms: u64) -> Instant {
    Instant::now() + Duration::from_millis(at_ms.saturating_sub(now_ms()))
}
