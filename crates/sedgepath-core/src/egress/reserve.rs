//! The slots that are reserved for paying requests.
//!
//! The reserve follows the decaying peak of paying demand, which is the slots that paying requests
//! held or waited for. At most half of all slots are reserved beyond those that paying requests hold
//! now.

/// The time between two decay steps of the peak.
const DECAY_STEP_MS: u64 = 1_000;

/// The factor that the peak falls by in each step: it halves in about 23 steps.
const DECAY_FACTOR: f64 = 0.97;

/// The decaying peak of paying demand for a service.
#[derive(Debug, Default)]
pub struct PayingReserve {
    peak: f64,
    step: u64,
}

impl PayingReserve {
    /// Raises the peak to the slots that paying requests hold or wait for, if that is more.
    pub fn record_demand(&mut self, demand: u32, now_ms: u64) {
        self.decay(now_ms);
        self.peak = self.peak.max(f64::from(demand));
    }

    /// Decays the peak for the time since the last call.
    pub fn decay(&mut self, now_ms: u64) {
        let step = now_ms / DECAY_STEP_MS;
        let steps = step.saturating_sub(self.step).min(1_000);
        self.peak *= DECAY_FACTOR.powi(steps as i32);
        self.step = step;
    }

    /// Returns how many of the node's slots for the service are for paying requests, including the
    /// `held` ones.
    ///
    /// With two or more slots, at least one is reserved and at least one is left to other requests.
    pub fn slots(&self, all: u32, held: u32) -> u32 {
        if all < 2 {
            return 0;
        }
        let peak = self.peak.round() as u32;
        peak.min(held + all / 2).clamp(1, all - 1)
    }
}
