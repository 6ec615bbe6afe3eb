//! Log lines of changes of regional capacity and of hot objects.

use sedgepath_core::direct::hot_objects::CandidateChange;
use sedgepath_core::direct::regional_capacity::WeightChange;

use super::shared::SharedState;

/// The time between two lines of hot objects, in milliseconds.
const HOT_OBJECT_LINE_INTERVAL_MS: u64 = 1_000;

/// Logs the changes since the last call. Each weight changes at most once a second; of several changes
/// of hot objects within a second, only the first is logged.
pub fn log_changes(shared: &SharedState, now_ms: u64) {
    let (weights, objects) = {
        let mut steering = shared.steering.borrow_mut();
        let weights = steering.regional_capacity_mut().take_changes();
        (weights, steering.hot_objects_mut().take_changes())
    };
    for WeightChange { service, scope, weight, share } in weights {
        let scope = scope.name();
        log::info!(
            "event=regional_weight service={service} scope={scope} weight={weight:.2} share={share:.3}"
        );
    }
    if let Some(CandidateChange { object, needed }) = objects.first()
        && now_ms >= shared.next_hot_object_line_at_ms.get()
    {
        shared.next_hot_object_line_at_ms.set(now_ms + HOT_OBJECT_LINE_INTERVAL_MS);
        log::info!("event=hot_object object={object:016x} upstreams={needed}");
    }
}
