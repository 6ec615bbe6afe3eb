//! The slots that are kept free for paying requests.
//!
//! Learnt from the peaks of paying demand: the most slots that paying requests held or waited for,
//! falling by a share with each step of time. Of that, no more than half of all slots is kept free
//! beyond what paying requests hold now.
//!
//! Ways weighed, with the example `admission_parts` and in short trials beside it:
//! - no reserve, only paying first in the queue: paying requests that take most of their deadline miss
//!   it, since the next slot falls free too late;
//! - a fixed number of slots beyond those held: as good for single callers, but callers who come
//!   several at once find too few;
//! - the whole peak: little better for paying than this one, and trial traffic gets three fifths.

/// The length of a step in milliseconds.
const STEP_MS: u64 = 1_000;

/// The share of the peak that is left after each step: half of it after 23 steps.
const KEPT_SHARE: f64 = 0.97;

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

    /// Returns the slots to keep, of all that the node has for the service, those that paying requests
    /// hold among them: at least one where there are two, and never all, so that trial traffic is never
    /// shut out for good.
    pub fn slots(&self, all: u32, held: u32) -> u32 {
        if all < 2 {
            return 0;
        }
        let peak = self.peak.round() as u32;
        peak.min(held + all / 2).clamp(1, all - 1)
    }
}
