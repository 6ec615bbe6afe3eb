//! What an experiment may switch off in the admission of requests.

/// How requests wait that find no free slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Queueing {
    /// They don't: they are refused at once.
    Off,
    /// All wait until a slot falls free or their deadline passes. For experiments only.
    Unbounded,
    /// Those wait that can still be served in time, up to a bound.
    Bounded {
        /// The most paying requests that wait for each slot of the service.
        paying_per_slot: u32,
        /// The most other requests that wait for each slot outside the reserve.
        others_per_slot: u32,
    },
}

/// The parts of admission that can be switched off to measure what each earns.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AdmissionSettings {
    /// How requests wait.
    pub queueing: Queueing,
    /// Whether slots are kept free for paying requests.
    pub reserve_for_paying: bool,
    /// Whether cold upstreams warm up.
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
