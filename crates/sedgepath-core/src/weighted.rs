//! Random choice by weights.

/// Returns one of some items, at random in proportion to their weights, or `None` if all weights are 0.
pub fn choose_weighted<T: Copy>(items: &[(T, u64)], random: u64) -> Option<T> {
    let total: u64 = items.iter().map(|(_, weight)| weight).sum();
    let mut rest = random.checked_rem(total)?;
    let chosen = items.iter().find(|(_, weight)| {
        let is_chosen = rest < *weight;
        rest = rest.saturating_sub(*weight);
        is_chosen
    });
    chosen.map(|(item, _)| *item)
}
