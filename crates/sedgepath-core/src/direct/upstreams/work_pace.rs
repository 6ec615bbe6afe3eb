//! The time that work takes on an upstream's machine, relative to what is usual.
//!
//! Some upstreams state this figure, their pace, with their load. Other processes on the machine change
//! it many times a second, so it decays with its age.

/// The usual pace, in percent.
const USUAL_PERCENT: u32 = 100;

/// The lowest and highest pace that count, in percent. A false high figure outweighs everything else that is
/// known of an upstream, and a false low one attracts requests, although machines are hardly faster than usual.
const PLAUSIBLE_PERCENT: std::ops::RangeInclusive<u32> = 90..=1_000;

/// The half-life of a stated pace, in milliseconds: about half of the time for which a machine stays
/// busy.
const HALF_LIFE_MS: f64 = 300.0;

/// The age from which a pace counts as not stated, in milliseconds: the highest plausible pace has
/// decayed to within 1% of the usual one.
const MAX_AGE_MS: u64 = 3_000;

/// The weight of a new figure in the mean deviation of an upstream's pace: about the last twenty count.
const DEVIATION_SAMPLE_WEIGHT: f64 = 0.05;

/// The largest ratio of the paces before and after a run at which work times are learned from the run.
const MAX_STEADY_RATIO: f64 = 1.25;

/// Returns a pace as a factor of the usual one; implausible figures are clamped.
fn factor_of(pace_percent: u32) -> f64 {
    let clamped = pace_percent.clamp(*PLAUSIBLE_PERCENT.start(), *PLAUSIBLE_PERCENT.end());
    f64::from(clamped) / f64::from(USUAL_PERCENT)
}

/// A stated pace with the time of its report.
#[derive(Debug, Clone, Copy)]
pub struct StatedPace {
    /// The pace as stated, in percent of the usual one.
    pub percent: u32,
    /// When it was reported, in milliseconds.
    pub reported_at_ms: u64,
}

/// The newest pace that an upstream has stated.
#[derive(Debug, Clone, Copy, Default)]
pub struct WorkPace {
    newest: Option<StatedPace>,
    /// The mean deviation from the usual pace, as a ratio of it.
    deviation: f64,
}

impl WorkPace {
    /// Records a pace, unless a newer one is known.
    pub fn record(&mut self, pace_percent: u32, reported_at_ms: u64) {
        if self.newest.is_some_and(|newest| reported_at_ms < newest.reported_at_ms) {
            return;
        }
        let deviation = (factor_of(pace_percent) - 1.0).abs();
        self.deviation += DEVIATION_SAMPLE_WEIGHT * (deviation - self.deviation);
        self.newest = Some(StatedPace { percent: pace_percent, reported_at_ms });
    }

    /// Returns the newest stated pace, whatever its age.
    pub fn newest(&self) -> Option<StatedPace> {
        self.newest
    }

    /// Returns the pace in effect as a factor of the usual one, decayed towards 1, or `None` if none has been
    /// stated recently.
    pub fn factor(&self, now_ms: u64) -> Option<f64> {
        let newest = self.newest?;
        let freshness = self.freshness(now_ms)?;
        Some(1.0 + (factor_of(newest.percent) - 1.0) * freshness)
    }

    /// Returns by how much the actual pace may deviate from [`factor`](Self::factor): the more the older
    /// the figure is, up to the usual deviation of the upstream.
    pub fn uncertainty(&self, now_ms: u64) -> f64 {
        self.deviation * (1.0 - self.freshness(now_ms).unwrap_or(0.0))
    }

    fn freshness(&self, now_ms: u64) -> Option<f64> {
        let age_ms = now_ms.saturating_sub(self.newest?.reported_at_ms);
        (age_ms < MAX_AGE_MS).then(|| 0.5_f64.powf(age_ms as f64 / HALF_LIFE_MS))
    }
}

/// The bounds of the pace during a run: the figure known when it was sent, and the one in its response.
#[derive(Debug, Clone, Copy)]
pub struct RunPace {
    low: f64,
    high: f64,
}

impl RunPace {
    /// Creates the bounds from the figures in percent. Without any, the pace counts as usual.
    pub fn new(sent_percent: Option<u32>, response_percent: Option<u32>) -> Self {
        let response = response_percent.or(sent_percent).map_or(1.0, factor_of);
        let sent = sent_percent.map_or(response, factor_of);
        Self { low: sent.min(response), high: sent.max(response) }
    }

    /// Returns the pace as a factor of the usual one if it was about the same before and after the run.
    pub fn steady_factor(self) -> Option<f64> {
        let is_steady = self.high <= self.low * MAX_STEADY_RATIO;
        is_steady.then_some(f64::midpoint(self.low, self.high))
    }

    /// Returns the factor within the bounds that is closest to the ratio of measured to usual work, so that
    /// a change of the pace during a run is not learned as slowness.
    pub fn closest_factor(self, work_ratio: f64) -> f64 {
        work_ratio.clamp(self.low, self.high)
    }
}
