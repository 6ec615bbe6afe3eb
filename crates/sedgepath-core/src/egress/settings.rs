//! Settings that switch parts of admission control off for experiments.

/// The treatment of requests for which no slot is free.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Queueing {
    /// Rejects them at once.
    Off,
    /// Queues all of them until a slot is free or their deadline passes. For experiments only.
    Unbounded,
    /// Queues those that can still be served in time, up to a bound.
    Bounded {
        /// The maximum number of queued paying requests for each slot of the service.
        paying_per_slot: u32,
        /// The maximum number of other queued requests for each slot outside the reserve.
        others_per_slot: u32,
    },
}

/// The parts of admission control that can be switched off.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AdmissionSettings {
    /// Whether and how requests wait for a slot.
    pub queueing: Queueing,
    /// Whether slots are reserved for paying requests.
    pub reserve_for_paying: bool,
    /// Whether the slots of a cold upstream rise gradually from its cold slots.
    pub warm_up: bool,
}

impl Default for AdmissionSettings {
    fn default() -> Self {
        Self {
            queueing: Queueing::Bounded { paying_per_slot: 4, others_per_slot: 2 },
            reserve_for_paying: true,
            warm_up: true,
        }
    }
}
