//! The slots that are reserved for paying requests.
//!
//! The reserve follows the decaying peak of paying demand: the slots that paying requests used or
//! waited for. Beyond the slots that paying requests use now, at most half of all slots are
//! reserved.
//!
//! Priority in the queue alone would not do: the next slot becomes free too late for paying requests
//! that need most of their time. To reserve the whole peak would do little more for them and take two
//! fifths from the others, and a fixed number of slots is too few for callers that send several
//! requests at once.

/// The time between two decay steps of the peak, in milliseconds.
const DECAY_STEP_MS: u64 = 1_000;

/// The factor that the peak is multiplied by in each step: it halves in about 23 steps.
const DECAY_FACTOR: f64 = 0.97;

/// The decaying peak of paying demand for a service.
#[derive(Debug, Default)]
pub struct PayingReserve {
    peak: f64,
    last_step: u64,
}

impl PayingReserve {
    /// Raises the peak to `demand`, the slots that paying requests use or wait for, if that is
    /// more.
    pub fn record_demand(&mut self, demand: u32, now_ms: u64) {
        self.decay(now_ms);
        self.peak = self.peak.max(f64::from(demand));
    }

    /// Decays the peak for the time since the last call.
    pub fn decay(&mut self, now_ms: u64) {
        let step = now_ms / DECAY_STEP_MS;
        let steps = step.saturating_sub(self.last_step).min(1_000);
        self.peak *= DECAY_FACTOR.powi(steps as i32);
        self.last_step = step;
    }

    /// Returns how many of the node's `slots` for the service are reserved for paying requests,
    /// including those `used_by_paying` now.
    ///
    /// With two or more slots, at least one is reserved and at least one is left to other requests.
    pub fn slots(&self, slots: u32, used_by_paying: u32) -> u32 {
        if slots < 2 {
            return 0;
        }
        let peak = self.peak.round() as u32;
        peak.min(used_by_paying + slots / 2).clamp(1, slots - 1)
    }
}
