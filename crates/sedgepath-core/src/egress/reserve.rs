//! The slots that are kept free for paying requests.
//!
//! Learnt from the peaks of paying demand: the most slots that paying requests held or waited for,
//! falling by a share with each step of time. Ways weighed: a fixed share of the slots starves trial
//! traffic where nobody pays and fails paying traffic where it peaks; the plain maximum of a minute
//! leaves slots idle for a minute after each short peak.

/// The length of a step in milliseconds.
const STEP_MS: u64 = 1_000;

/// The share of the reserve that is left after each step.
const KEPT_SHARE: f64 = 0.9;

/// The decaying peak of paying demand for a service.
#[derive(Debug, Default)]
pub struct Reserve {
    peak: f64,
    step: u64,
}

impl Reserve {
    /// Takes in the slots that paying requests hold or wait for.
    pub fn note(&mut self, demand: u32, now_ms: u64) {
        self.advance(now_ms);
        self.peak = self.peak.max(f64::from(demand));
    }

    /// Lets the peak fall.
    pub fn advance(&mut self, now_ms: u64) {
        let step = now_ms / STEP_MS;
        let steps = step.saturating_sub(self.step).min(1_000);
        self.peak *= KEPT_SHARE.powi(steps as i32);
        self.step = step;
    }

    /// Returns the slots to keep, of all that the node has for the service: at least one where there
    /// are two, and never all, so that trial traffic is never shut out for good.
    pub fn slots(&self, all: u32) -> u32 {
        if all < 2 { 0 } else { (self.peak.round() as u32).clamp(1, all - 1) }
    }
}
