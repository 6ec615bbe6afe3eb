//! Figures that rise in a straight line over a time.

/// Returns the figure that rises from `from` to `to` over `over_ms` once `elapsed_ms` have passed.
///
/// It never leads the line: what is not whole is rounded down.
pub fn risen(from: u32, to: u32, elapsed_ms: u64, over_ms: u64) -> u32 {
    if elapsed_ms >= over_ms || to <= from {
        return to;
    }
    from + (u64::from(to - from) * elapsed_ms / over_ms) as u32
}
