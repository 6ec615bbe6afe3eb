//! How much of its own demand a region, or a failure domain, serves itself.
//!
//! Upstreams are ranked for an object by weighted rendezvous hashing, those of the VM's own region with
//! a larger weight. That weight fixes the share of objects that rank an upstream of the region first.
//! Where the work of the region's demand exceeds what its slots carry, the weight is lowered until the
//! share that stays fits. For large responses the same is done with the weight of the own failure
//! domain.
//!
//! All VMs of a region compute the weights by the same rule, from what they count and what other active VMs
//! report. Shares change by one step at a time,
//! and rise only when there is clearly more room, so that VMs whose figures differ a little agree on
//! nearly all objects.

use crate::hash::Map;

/// The share of a region's slots that its own demand and that of other regions may keep busy.
pub const TARGET_UTILIZATION: f64 = 0.75;

/// The size of one change of a share that stays.
pub const SHARE_STEP: f64 = 0.025;

/// The least time between two changes of a share, in milliseconds: at most two steps, 0.05, in 2 s.
const STEP_INTERVAL_MS: u64 = 1_000;

/// How far the share that fits must be below the current one for a step down, in steps.
const LOWER_MARGIN_STEPS: f64 = 0.5;

/// How far the share that fits must be above the current one for a step up, in steps.
const RAISE_MARGIN_STEPS: f64 = 1.5;

/// The time between two computations for a service, in milliseconds.
const UPDATE_INTERVAL_MS: u64 = 250;

/// The lower bound of weights.
const MIN_WEIGHT: f64 = 1.0;

/// The requests whose work is known before weights are lowered.
const MIN_WORK_SAMPLES: u32 = 50;

/// The samples from which the mean work of a service's requests is a first estimate.
const MIN_ESTIMATE_SAMPLES: u32 = 3;

/// The least weight of a new sample in the mean work: about the last hundred count. With fewer samples
/// the VMs' means would differ, since a few requests take several times as long as the others. With
/// more, the cold work of the first seconds would count for too long.
const WORK_SAMPLE_WEIGHT: f64 = 0.01;

/// The rendezvous weights of one service.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ProximityWeights {
    /// The weight of upstreams of the own region.
    pub own_region: f64,
    /// The weight of upstreams of the own failure domain for large responses.
    pub large_response_domain: f64,
}

/// The slots of a service's usable upstreams: neither leaving, evacuated, cold nor ejected.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct UsableSlots {
    /// Those of the VM's own failure domain.
    pub domain: f64,
    /// Those of the VM's own region, including its failure domain.
    pub region: f64,
    /// Those of each other region.
    pub other_regions: Map<Box<str>, f64>,
}

impl UsableSlots {
    fn elsewhere(&self) -> f64 {
        self.other_regions.values().sum()
    }

    /// Returns the slots of the own region that other regions keep busy.
    ///
    /// Their demand isn't known. Each is assumed to use its own slots up to the target and to send what
    /// ranks an upstream of this region first, by the largest weights.
    fn used_by_others(&self, max_weight: f64) -> f64 {
        let all = self.region + self.elsewhere();
        let used_by = |slots: &f64| {
            TARGET_UTILIZATION * slots * self.region / (max_weight * slots + all - slots)
        };
        self.other_regions.values().map(used_by).sum()
    }
}

/// The demand for a service in requests per second.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct RegionDemand {
    /// Those of the region's callers, apart from large responses.
    pub region_per_s: f64,
    /// Those of the region's callers for large responses.
    pub region_large_per_s: f64,
    /// Those of the failure domain's callers for large responses.
    pub domain_large_per_s: f64,
}

/// Whose share of its own demand changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CapacityScope {
    /// The region's.
    Region,
    /// The failure domain's, of large responses.
    LargeResponseDomain,
}

impl CapacityScope {
    /// Returns the name for logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Region => "region",
            Self::LargeResponseDomain => "large_response_domain",
        }
    }
}

/// A change of a weight by a step.
#[derive(Debug, Clone, PartialEq)]
pub struct WeightChange {
    /// The service.
    pub service: Box<str>,
    /// Whose weight changed.
    pub scope: CapacityScope,
    /// The new weight.
    pub weight: f64,
    /// The share of its own demand that stays with the new weight.
    pub share: f64,
}

/// The mean work of requests, whether their object was cached or not.
#[derive(Debug, Clone, Copy, Default)]
struct MeanWork {
    mean_ms: f64,
    samples: u32,
}

impl MeanWork {
    fn record(&mut self, took_ms: f64) {
        self.samples = self.samples.saturating_add(1);
        let weight = (1.0 / f64::from(self.samples)).max(WORK_SAMPLE_WEIGHT);
        self.mean_ms += weight * (took_ms - self.mean_ms);
    }

    fn known_s(&self) -> Option<f64> {
        (self.samples >= MIN_WORK_SAMPLES).then_some(self.mean_ms / 1_000.0)
    }

    /// Returns the work of a rate of requests, in busy slots; 0 while it isn't known.
    fn busy_slots(&self, per_s: f64) -> f64 {
        self.known_s().map_or(0.0, |work_s| per_s * work_s)
    }
}

/// The range of a share, by the bounds of its weight.
#[derive(Debug, Clone, Copy)]
struct ShareRange {
    /// The slots that the weight applies to.
    weighted: f64,
    /// All others, each times its own weight.
    others: f64,
    max_weight: f64,
}

impl ShareRange {
    fn share(&self, weight: f64) -> f64 {
        weight * self.weighted / (weight * self.weighted + self.others)
    }

    fn weight(&self, share: f64) -> f64 {
        let weight = share * self.others / ((1.0 - share) * self.weighted);
        weight.clamp(MIN_WEIGHT, self.max_weight)
    }

    fn max_steps(&self) -> u32 {
        ((self.share(self.max_weight) - self.share(MIN_WEIGHT)) / SHARE_STEP).ceil() as u32
    }

    /// Returns whether the weight has any effect.
    fn is_adjustable(&self) -> bool {
        self.weighted > 0.0 && self.others > 0.0 && self.max_weight > MIN_WEIGHT
    }

    /// Returns the share a number of steps below the largest one.
    fn share_after(&self, steps: u32) -> f64 {
        let share = self.share(self.max_weight) - f64::from(steps) * SHARE_STEP;
        share.max(self.share(MIN_WEIGHT))
    }

    fn weight_after(&self, steps: u32) -> f64 {
        if steps == 0 || !self.is_adjustable() {
            return self.max_weight;
        }
        self.weight(self.share_after(steps))
    }
}

/// A share that stays, in steps below the largest one.
#[derive(Debug, Clone, Copy, Default)]
struct StayingShare {
    steps: u32,
    /// When the next step may follow, in milliseconds.
    next_step_at_ms: u64,
    /// Whether the share has been computed.
    is_known: bool,
    share: f64,
}

impl StayingShare {
    /// Moves the share by at most a step towards the one that fits; returns whether it did.
    fn update(&mut self, fitting: f64, range: ShareRange, now_ms: u64) -> bool {
        if !range.is_adjustable() {
            self.share = if range.weighted > 0.0 { range.share(range.max_weight) } else { 0.0 };
            return false;
        }
        let before = self.steps.min(range.max_steps());
        self.steps = before;
        if now_ms >= self.next_step_at_ms {
            let excess = (range.share_after(before) - fitting) / SHARE_STEP;
            if excess > LOWER_MARGIN_STEPS && before < range.max_steps() {
                self.steps += 1;
            } else if excess < -RAISE_MARGIN_STEPS && before > 0 {
                self.steps -= 1;
            }
        }
        let changed = self.steps != before;
        if changed {
            self.next_step_at_ms = now_ms + STEP_INTERVAL_MS;
        }
        self.is_known = true;
        self.share = range.share_after(self.steps);
        changed
    }
}

/// The shares and weights of one service.
#[derive(Debug)]
struct ServiceCapacity {
    update_at_ms: u64,
    work: MeanWork,
    large_work: MeanWork,
    region: StayingShare,
    domain: StayingShare,
    weights: ProximityWeights,
}

impl ServiceCapacity {
    fn new(max: ProximityWeights) -> Self {
        Self {
            update_at_ms: 0,
            work: MeanWork::default(),
            large_work: MeanWork::default(),
            region: StayingShare { share: 1.0, ..StayingShare::default() },
            domain: StayingShare { share: 1.0, ..StayingShare::default() },
            weights: max,
        }
    }

    /// Returns whether the work of what is requested is known, at least of the larger part.
    fn is_work_known(&self) -> bool {
        self.work.known_s().is_some() || self.large_work.known_s().is_some()
    }

    /// Returns which weights changed.
    fn update(
        &mut self,
        slots: &UsableSlots,
        demand: RegionDemand,
        max: ProximityWeights,
        now_ms: u64,
    ) -> [bool; 2] {
        let work = self.work.busy_slots(demand.region_per_s);
        let large_work = self.large_work.busy_slots(demand.region_large_per_s);
        let domain_large_work = self.large_work.busy_slots(demand.domain_large_per_s);
        let room = TARGET_UTILIZATION * slots.region - slots.used_by_others(max.own_region);
        let domain_part = if slots.region > 0.0 { slots.domain / slots.region } else { 0.0 };
        let domain_room = (room - self.region.share * work) * domain_part;
        let fitting_domain = share_that_fits(domain_room, domain_large_work);

        // Large responses that don't fit their domain are ranked like all other requests.
        let in_domain = self.domain.share.min(fitting_domain) * large_work;
        let fitting_region = share_that_fits(room - in_domain, work + large_work - in_domain);
        let region_range = ShareRange {
            weighted: slots.region,
            others: slots.elsewhere(),
            max_weight: max.own_region,
        };
        let region_changed = self.region.update(fitting_region, region_range, now_ms);
        self.weights.own_region = region_range.weight_after(self.region.steps);

        let domain_range = ShareRange {
            weighted: slots.domain,
            others: self.weights.own_region * (slots.region - slots.domain) + slots.elsewhere(),
            max_weight: max.large_response_domain,
        };
        let domain_changed = self.domain.update(fitting_domain, domain_range, now_ms);
        self.weights.large_response_domain = domain_range.weight_after(self.domain.steps);
        [region_changed, domain_changed]
    }
}

/// Returns the share of some work that fits into a number of slots.
fn share_that_fits(room: f64, work: f64) -> f64 {
    if work > 0.0 { room.max(0.0) / work } else { f64::INFINITY }
}

/// The shares of its own demand that this VM's region and failure domain serve, by service.
#[derive(Debug, Default)]
pub struct RegionalCapacity {
    services: Map<Box<str>, ServiceCapacity>,
    changes: Vec<WeightChange>,
}

/// The most changes that are kept until they are logged.
const MAX_CHANGES: usize = 64;

impl RegionalCapacity {
    /// Records the time of a request that found a free slot.
    pub fn record_work(
        &mut self,
        service: &str,
        large_response: bool,
        took_ms: f64,
        max: ProximityWeights,
    ) {
        let service = self.service_mut(service, max);
        let work = if large_response { &mut service.large_work } else { &mut service.work };
        work.record(took_ms);
    }

    /// Returns the mean work of a service's requests in milliseconds, if there are some samples.
    pub fn work_ms(&self, service: &str, large_response: bool) -> Option<f64> {
        let service = self.services.get(service)?;
        let work = if large_response { &service.large_work } else { &service.work };
        (work.samples >= MIN_ESTIMATE_SAMPLES).then_some(work.mean_ms)
    }

    /// Returns whether the weights of a service are to be computed now, and if so, not again for a while.
    pub fn is_update_due(&mut self, service: &str, max: ProximityWeights, now_ms: u64) -> bool {
        let service = self.service_mut(service, max);
        let is_due = now_ms >= service.update_at_ms;
        if is_due {
            service.update_at_ms = now_ms + UPDATE_INTERVAL_MS;
        }
        is_due
    }

    /// Computes the weights of a service, at most `max`.
    pub fn update(
        &mut self,
        name: &str,
        slots: &UsableSlots,
        demand: RegionDemand,
        max: ProximityWeights,
        now_ms: u64,
    ) {
        let service = self.service_mut(name, max);
        if !service.is_work_known() {
            return;
        }
        let [region_changed, domain_changed] = service.update(slots, demand, max, now_ms);
        let (weights, region, domain) = (service.weights, service.region, service.domain);
        if region_changed {
            let scope = CapacityScope::Region;
            self.record_change(name, scope, weights.own_region, region.share);
        }
        if domain_changed {
            let scope = CapacityScope::LargeResponseDomain;
            self.record_change(name, scope, weights.large_response_domain, domain.share);
        }
    }

    /// Returns the weights of a service, or `max` if none were computed.
    pub fn weights(&self, service: &str, max: ProximityWeights) -> ProximityWeights {
        self.services.get(service).map_or(max, |service| service.weights)
    }

    /// Returns the share of its own demand that stays, for each service and scope whose weight was
    /// computed.
    pub fn shares(&self) -> impl Iterator<Item = (&str, CapacityScope, f64)> {
        self.services.iter().flat_map(|(name, service)| {
            let shares = [
                (CapacityScope::Region, service.region),
                (CapacityScope::LargeResponseDomain, service.domain),
            ];
            let computed = shares.into_iter().filter(|(_, share)| share.is_known);
            computed.map(|(scope, share)| (&**name, scope, share.share))
        })
    }

    /// Returns the changes of weights since the last call.
    pub fn take_changes(&mut self) -> Vec<WeightChange> {
        std::mem::take(&mut self.changes)
    }

    fn record_change(&mut self, service: &str, scope: CapacityScope, weight: f64, share: f64) {
        if self.changes.len() < MAX_CHANGES {
            self.changes.push(WeightChange { service: service.into(), scope, weight, share });
        }
    }

    fn service_mut(&mut self, name: &str, max: ProximityWeights) -> &mut ServiceCapacity {
        self.services.entry(name.into()).or_insert_with(|| ServiceCapacity::new(max))
    }
}
