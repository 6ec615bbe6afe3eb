//! Linear interpolation over time.

/// Returns the value after `elapsed_ms` of a linear rise from `from` to `to` over `over_ms`, rounded
/// down.
pub fn linear_rise(from: u32, to: u32, elapsed_ms: u64, over_ms: u64) -> u32 {
    if elapsed_ms >= over_ms || to <= from {
        return to;
    }
    from + (u64::from(to - from) * elapsed_ms / over_ms) as u32
}
