//! Plans of drains: whether a drain can finish in time, and when it is expected to end.
//!
//! A drain takes an upstream or a whole failure domain out of service. Its traffic moves to other
//! failure domains within the shift cap of each service's steering record, and requests in flight
//! are not cancelled. A plan follows from the records alone, so every node and the command line
//! compute the same one.
//!
//! Rules of the prediction:
//! - The code of the shift ledger computes how the share falls.
//! - The last request admitted may run for the longest deadline of the service.
//! - No other shift uses the cap meanwhile; if one does, the drain ends later.
//! - A drained failure domain serves its remaining share, and no request is rejected because of the
//!   drain.
//! - A drained upstream gets no new requests from the start; requests that the rest of its domain
//!   can't take are rejected until the share has moved.
//! - If a domain keeps other upstreams of the service, the drained upstream's fraction of the
//!   domain's slots is the fraction of the domain's share that has to move, as if the domain were
//!   fully loaded. If the other upstreams have free slots, less moves.

use crate::catalogue::{Catalogue, ServiceEntry};
use crate::key::{DomainKey, OriginKey, ServiceKey, UpstreamKey};
use crate::record::TrafficCap;
use crate::shift::traffic_split::TrafficSplit;

/// The share up to which a domain counts as empty, because of floating-point rounding.
const SHARE_EPSILON: f64 = 1e-9;

/// The time that a plan allows until all nodes apply a record and have begun the next bucket of the
/// window, in milliseconds.
const RECORD_PROPAGATION_MS: u64 = 3_000;

/// The maximum number of window buckets that a prediction covers.
const MAX_PREDICTED_BUCKETS: u32 = 20_000;

/// Placeholder domains of the prediction, which only needs the share that moves between them.
const DRAINED_DOMAIN: DomainKey = DomainKey(0);
const OTHER_DOMAINS: DomainKey = DomainKey(1);

/// The part of the deployment that a drain takes out of service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DrainTarget {
    /// One upstream.
    Upstream(UpstreamKey),
    /// All upstreams of a failure domain.
    Domain(DomainKey),
}

/// The share that remains at the target from a time on.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct DrainStep {
    /// The start of the step, in milliseconds.
    pub at_ms: u64,
    /// The remaining share of the origin group's traffic of the service, from 0 to 1.
    pub share: f64,
}

/// The predicted drain of one service for callers of one origin group.
#[derive(Debug, Clone, PartialEq)]
pub struct GroupDrain {
    /// The service whose traffic moves.
    pub service: ServiceKey,
    /// The origin group of the callers.
    pub origin: OriginKey,
    /// The remaining shares in order of time: first the initial one, last zero.
    pub steps: Vec<DrainStep>,
    /// When the last request in flight has ended, in milliseconds.
    pub predicted_end_ms: u64,
}

/// The prediction of a drain that can finish in time.
#[derive(Debug, Clone, PartialEq)]
pub struct DrainPlan {
    /// The upstream or failure domain that is drained.
    pub target: DrainTarget,
    /// The drains of all affected services and origin groups, in the order of their keys.
    pub groups: Vec<GroupDrain>,
    /// When the last request in flight has ended, in milliseconds.
    pub predicted_end_ms: u64,
}

/// A reason why a drain can't finish in time.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
pub enum DrainObstacle {
    /// No upstream outside the target may take the requests of the callers.
    #[error("service {service}: no other upstream may take callers of group {origin}")]
    NoCapacity {
        /// The service's name.
        service: Box<str>,
        /// The origin group's name.
        origin: Box<str>,
    },
    /// The shift cap is too low to move the share in the given time.
    #[error(
        "service {service}, group {origin}: moving {share_percent:.1}% under a cap of \
         {cap_percent}% in {window_ms} ms would end in {needed_ms} ms, not in {given_ms} ms"
    )]
    CapTooSmall {
        /// The service's name.
        service: Box<str>,
        /// The origin group's name.
        origin: Box<str>,
        /// The share that has to move, in percent.
        share_percent: f64,
        /// The cap, in percent.
        cap_percent: f64,
        /// The window of the cap, in milliseconds.
        window_ms: u64,
        /// The predicted duration of the drain, in milliseconds.
        needed_ms: u64,
        /// The time given, in milliseconds.
        given_ms: u64,
    },
    /// The shift cap doesn't let the share move within the predicted period.
    #[error("service {service}, group {origin}: the shift cap does not let the share move")]
    CapTooSmallToMove {
        /// The service's name.
        service: Box<str>,
        /// The origin group's name.
        origin: Box<str>,
    },
    /// The service's longest deadline exceeds the given time.
    #[error("service {service}: requests may run for {longest_deadline_ms} ms, not {given_ms} ms")]
    DeadlineTooLong {
        /// The service's name.
        service: Box<str>,
        /// The longest deadline of the service's requests, in milliseconds.
        longest_deadline_ms: u64,
        /// The time given, in milliseconds.
        given_ms: u64,
    },
}

/// The error of planning a drain.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
pub enum DrainError {
    /// The target is in no record.
    #[error("no such upstream or failure domain is configured")]
    UnknownTarget,
    /// The drain can't finish in time, for these reasons.
    #[error("the drain cannot finish in time: {}", join_reasons(.0))]
    Refused(Vec<DrainObstacle>),
}

fn join_reasons(obstacles: &[DrainObstacle]) -> String {
    obstacles.iter().map(ToString::to_string).collect::<Vec<_>>().join("; ")
}

impl DrainPlan {
    /// Plans a drain that starts at `now_ms` and has to end by `finish_by_ms`.
    ///
    /// # Errors
    ///
    /// Returns an error if the target is in no record, or all reasons why the drain can't finish in
    /// time.
    pub fn new(
        catalogue: &Catalogue,
        target: DrainTarget,
        now_ms: u64,
        finish_by_ms: u64,
    ) -> Result<Self, DrainError> {
        if !target_exists(catalogue, target) {
            return Err(DrainError::UnknownTarget);
        }
        let given_ms = finish_by_ms.saturating_sub(now_ms);
        let mut groups = Vec::new();
        let mut obstacles = Vec::new();
        for (service, entry) in services_with_target(catalogue, target) {
            for origin in origin_groups(entry) {
                let group = GroupPlanner { catalogue, target, service, entry, origin };
                match group.plan(now_ms, given_ms) {
                    Ok(drain) => groups.push(drain),
                    Err(obstacle) => obstacles.push(obstacle),
                }
            }
        }
        if !obstacles.is_empty() {
            return Err(DrainError::Refused(obstacles));
        }
        let end_times_ms = groups.iter().map(|group| group.predicted_end_ms);
        let predicted_end_ms = end_times_ms.max().unwrap_or(now_ms);
        Ok(Self { target, groups, predicted_end_ms })
    }
}

fn target_exists(catalogue: &Catalogue, target: DrainTarget) -> bool {
    match target {
        DrainTarget::Upstream(upstream) => catalogue.upstreams.contains_key(&upstream),
        DrainTarget::Domain(domain) => catalogue.domains.contains_key(&domain),
    }
}

/// Returns the services with upstreams in the target, in the order of their keys.
fn services_with_target(
    catalogue: &Catalogue,
    target: DrainTarget,
) -> Vec<(ServiceKey, &ServiceEntry)> {
    let has_target = |entry: &ServiceEntry| {
        entry.upstreams.iter().any(|upstream| target_contains(catalogue, target, *upstream))
    };
    let services = catalogue.services.iter().filter(|(_, entry)| has_target(entry));
    let mut services: Vec<_> = services.map(|(key, entry)| (*key, entry)).collect();
    services.sort_unstable_by_key(|(key, _)| *key);
    services
}

fn target_contains(catalogue: &Catalogue, target: DrainTarget, upstream: UpstreamKey) -> bool {
    match target {
        DrainTarget::Upstream(drained) => upstream == drained,
        DrainTarget::Domain(domain) => {
            catalogue.upstreams.get(&upstream).is_some_and(|entry| entry.domain == domain)
        }
    }
}

fn origin_groups(entry: &ServiceEntry) -> Vec<OriginKey> {
    let steering = entry.steering.iter();
    let mut origins: Vec<_> =
        steering.flat_map(|steering| steering.shares.keys().copied()).collect();
    origins.sort_unstable();
    origins
}

/// Predicts the drain of one service for callers of one origin group.
#[derive(Debug, Clone, Copy)]
struct GroupPlanner<'a> {
    catalogue: &'a Catalogue,
    target: DrainTarget,
    service: ServiceKey,
    entry: &'a ServiceEntry,
    origin: OriginKey,
}

impl GroupPlanner<'_> {
    fn plan(self, now_ms: u64, given_ms: u64) -> Result<GroupDrain, DrainObstacle> {
        let longest_deadline_ms = self.entry.longest_deadline_ms;
        let service = self.entry.name.clone();
        let share = self.share_to_move()?;
        let steps = self.predict_steps(share, now_ms)?;
        if longest_deadline_ms > given_ms {
            return Err(DrainObstacle::DeadlineTooLong { service, longest_deadline_ms, given_ms });
        }
        let moved_at_ms = steps.last().map_or(now_ms, |step| step.at_ms);
        let predicted_end_ms = moved_at_ms + longest_deadline_ms;
        let needed_ms = predicted_end_ms - now_ms;
        if needed_ms > given_ms {
            let cap = self.cap();
            return Err(DrainObstacle::CapTooSmall {
                service,
                origin: self.origin_name(),
                share_percent: share * 100.0,
                cap_percent: cap.percent,
                window_ms: cap.window_ms,
                needed_ms,
                given_ms,
            });
        }
        Ok(GroupDrain { service: self.service, origin: self.origin, steps, predicted_end_ms })
    }

    /// Predicts the remaining share at the start of each window, up to the time when it is zero.
    fn predict_steps(self, share: f64, now_ms: u64) -> Result<Vec<DrainStep>, DrainObstacle> {
        let mut steps = vec![DrainStep { at_ms: now_ms, share }];
        if share <= SHARE_EPSILON {
            return Ok(steps);
        }
        let cap = self.cap();
        let from_ms = now_ms + RECORD_PROPAGATION_MS;
        // The random numbers affect the placement of single requests, not the shares.
        let mut random = fastrand::Rng::with_seed(0);
        let shares = [(DRAINED_DOMAIN, share), (OTHER_DOMAINS, 1.0 - share)];
        let mut split = TrafficSplit::new(&shares, from_ms, &mut random);
        let mut next_step_ms = from_ms;
        for _ in 0..MAX_PREDICTED_BUCKETS {
            let at_ms = split.bucket_ends_at_ms();
            split.begin_bucket(&[0.0, 1.0], cap, at_ms);
            let remaining_share = split.shares()[0].1;
            if remaining_share <= SHARE_EPSILON {
                steps.push(DrainStep { at_ms, share: 0.0 });
                return Ok(steps);
            }
            if at_ms >= next_step_ms {
                steps.push(DrainStep { at_ms, share: remaining_share });
                next_step_ms += cap.window_ms;
            }
        }
        let origin = self.origin_name();
        Err(DrainObstacle::CapTooSmallToMove { service: self.entry.name.clone(), origin })
    }

    /// Returns the share of the traffic that has to move to other failure domains.
    fn share_to_move(self) -> Result<f64, DrainObstacle> {
        let domain = match self.target {
            DrainTarget::Domain(domain) => domain,
            DrainTarget::Upstream(upstream) => self.catalogue.upstreams[&upstream].domain,
        };
        let shares = self.catalogue.shares(self.service, self.origin).unwrap_or_default();
        let configured_share =
            shares.iter().find(|(key, _)| *key == domain).map_or(0.0, |(_, share)| *share);
        if configured_share <= SHARE_EPSILON {
            return Ok(0.0);
        }
        let drained_slots: u32 = self.slots(domain, |upstream| self.is_drained(upstream));
        let remaining_slots: u32 = self.slots(domain, |upstream| !self.is_drained(upstream));
        let has_other_domain = shares
            .iter()
            .any(|(key, share)| *key != domain && *share > 0.0 && self.slots(*key, |_| true) > 0);
        if has_other_domain {
            return Ok(configured_share * f64::from(drained_slots)
                / f64::from((drained_slots + remaining_slots).max(1)));
        }
        if remaining_slots > 0 {
            return Ok(0.0);
        }
        Err(DrainObstacle::NoCapacity {
            service: self.entry.name.clone(),
            origin: self.origin_name(),
        })
    }

    fn cap(self) -> TrafficCap {
        let none = TrafficCap { percent: 0.0, window_ms: 0 };
        self.entry.steering.as_ref().map_or(none, |steering| steering.cap)
    }

    /// Returns the slots of the service's upstreams in a failure domain for which `selects` returns
    /// true, without upstreams that another drain takes out of service.
    fn slots(self, domain: DomainKey, selects: impl Fn(UpstreamKey) -> bool) -> u32 {
        let upstreams = self.entry.upstreams.iter().copied();
        upstreams
            .filter(|upstream| selects(*upstream))
            .filter(|upstream| !self.catalogue.is_draining(*upstream) || self.is_drained(*upstream))
            .map(|upstream| &self.catalogue.upstreams[&upstream])
            .filter(|entry| entry.domain == domain)
            .map(|entry| entry.slots)
            .sum()
    }

    fn is_drained(self, upstream: UpstreamKey) -> bool {
        target_contains(self.catalogue, self.target, upstream)
    }

    fn origin_name(self) -> Box<str> {
        self.catalogue.origins.get(&self.origin).cloned().unwrap_or_default()
    }
}
