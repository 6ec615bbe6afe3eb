//! Whether a request may wait for a slot of the upstream chosen for it, and when a rejected caller may
//! return.
//!
//! While no queue persists, the expected wait is compared with the route's target and the request's
//! deadline only. While queues persist:
//!
//! - A caller that sends more than its fair share gets free slots only; see [`fair_shares`].
//!
//! Off by default, with [`AdmissionConfig::returning_first`]:
//!
//! - A rejected caller that can return before a third of its remaining time has passed gets a
//!   reservation for the time that it is told, and may then wait up to its deadline; see
//!   [`reservations`].
//! - A request that has been rejected before comes before new ones, which leave slots to the
//!   reservations that fall due while they would wait; see [`returning`].
//!
//! All state is held in memory and bounded: it starts empty, without a persistent queue.

pub mod fair_shares;
pub mod queueing;
pub mod reservations;
pub mod returning;

use std::net::IpAddr;

use crate::hash::{Digest, Map};

use self::fair_shares::FairShares;
use self::queueing::{PriorityShares, QueuePressure, QueueTolerance, Urgency};
use self::reservations::{Claimant, Reservations};
use self::returning::UsualTimeLeft;
use super::accounts::AccountKey;
use super::attempts::{Rejection, RejectionReason, RequestState};
use super::placement::Candidate;

/// The shortest delay that a caller is told when all upstreams are busy, in milliseconds: about the
/// time until a slot is free. A caller that returned much earlier would look like a new one.
pub const MIN_BUSY_RETRY_AFTER_MS: u64 = 200;

/// The longest delay that a caller is told when all upstreams are busy and no queue persists, in
/// milliseconds.
const MAX_BUSY_RETRY_AFTER_MS: u64 = 1_500;

/// The share of the longest wait that requests which return without a reservation use while all requests
/// find a queue. The rest is left to requests with a reservation.
const RETURNING_WAIT_SHARE: f64 = 0.35;

/// The same for new requests, which come after those that return.
const NEW_WAIT_SHARE: f64 = 0.1;

/// Identifies who sends requests, for fair shares: a client account, or an address.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct CallerKey(u64);

impl CallerKey {
    /// Returns the key of a request's client account, else of its caller's address.
    ///
    /// Callers choose addresses, and the maps' hasher doesn't resist collisions, so addresses are
    /// hashed to a digest.
    pub fn of(account: Option<AccountKey>, address: Option<IpAddr>) -> Option<Self> {
        let of_address = |address: IpAddr| {
            Digest::of(&[b"caller address", address.to_string().as_bytes()]).to_u64()
        };
        account.map(|key| key.0).or_else(|| address.map(of_address)).map(Self)
    }
}

/// The time after the rejection of a returning request for which others leave slots to those with a
/// reservation, in milliseconds.
const RETURNING_LACK_SLOTS_MS: u64 = 300;

/// Whether a request has been rejected before, by the time left on its arrival.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum History {
    /// It hasn't been rejected, or that isn't known.
    #[default]
    New,
    /// It returns as early as a caller with a reservation.
    ReturnsEarly,
    /// It has been away for longer than that, as callers without a reservation are.
    ReturnsLate,
}

/// The properties of a request's arrival that its admission depends on.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Arrival {
    /// Who sent the request, if that is known.
    pub caller: Option<CallerKey>,
    /// What the time left on the request's arrival tells.
    pub history: History,
    /// The time after which the caller no longer waits, in milliseconds, if it sets a limit.
    pub caller_deadline_at_ms: Option<u64>,
    /// Whether the request has been counted as one of its service.
    is_counted: bool,
    /// Whether the request has claimed a reservation.
    has_reservation: bool,
}

/// The parameters of admission.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct AdmissionConfig {
    /// The limits on the expected response time of a request that is sent.
    pub queue_tolerance: QueueTolerance,
    /// Whether rejected callers get reservations and come before new requests.
    pub returning_first: bool,
    /// Whether callers that send more than their share are rejected before others.
    pub fair_shares: bool,
}

impl Default for AdmissionConfig {
    fn default() -> Self {
        Self {
            queue_tolerance: QueueTolerance::default(),
            // Returning requests that end late take slots from new ones that would end in time.
            returning_first: false,
            fair_shares: true,
        }
    }
}

/// Whether a request may be sent to the upstream chosen for it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// The request may run, or wait for a slot.
    Queue,
    /// The request is rejected.
    Reject(Rejection),
}

/// The admission state of an entry VM.
#[derive(Debug, Default)]
pub struct Admission {
    services: Map<Box<str>, ServiceAdmission>,
    routes: Map<Box<str>, UsualTimeLeft>,
}

/// The admission state of a service.
#[derive(Debug, Default)]
struct ServiceAdmission {
    pressure: QueuePressure,
    priorities: PriorityShares,
    reservations: Reservations,
    shares: FairShares,
    /// When a returning request was last rejected, in milliseconds.
    returning_rejected_at_ms: Option<u64>,
}

impl Arrival {
    /// Returns whether the request has been rejected before.
    pub fn is_returning(&self) -> bool {
        self.history != History::New
    }
}

impl Admission {
    /// Records that a caller's request has arrived.
    ///
    /// Callers that send more than their share don't affect what is usual.
    pub fn record_arrival(
        &mut self,
        (route, service): (&str, &str),
        caller: Option<CallerKey>,
        time_left_ms: Option<u64>,
        now_ms: u64,
    ) -> Arrival {
        let mut arrival = Arrival { caller, ..Arrival::default() };
        let Some(time_left_ms) = time_left_ms else {
            return arrival;
        };
        let usual = entry(&mut self.routes, route);
        arrival.history = usual.history(time_left_ms);
        arrival.caller_deadline_at_ms = Some(now_ms.saturating_add(time_left_ms));
        let shares = self.services.get(service).map(|service| &service.shares);
        if !caller.is_some_and(|caller| shares.is_some_and(|shares| shares.sends_excess(caller))) {
            usual.record(time_left_ms, now_ms);
        }
        arrival
    }

    /// Records that an upstream has run a request of a service.
    pub fn record_served(&mut self, service: &str, now_ms: u64) {
        entry(&mut self.services, service).reservations.record_served(now_ms);
    }

    /// Returns whether queues of a service persist.
    pub fn queues_persist(&self, service: &str) -> bool {
        self.services.get(service).is_some_and(|service| service.pressure.queues_persist())
    }

    /// Decides whether a request may be sent to the upstream chosen for it.
    pub fn decide(
        &mut self,
        request: &mut RequestState,
        candidate: &Candidate,
        config: AdmissionConfig,
        now_ms: u64,
    ) -> Decision {
        entry(&mut self.services, &request.service).decide(request, candidate, config, now_ms)
    }
}

/// Returns the value of a name, inserted if it is missing.
fn entry<'a, T: Default>(map: &'a mut Map<Box<str>, T>, name: &str) -> &'a mut T {
    map.entry(name.into()).or_default()
}

impl ServiceAdmission {
    fn decide(
        &mut self,
        request: &mut RequestState,
        candidate: &Candidate,
        config: AdmissionConfig,
        now_ms: u64,
    ) -> Decision {
        let urgency = self.count(request, candidate, now_ms);
        let decision = match self.rejection_reason(request, candidate, urgency, config, now_ms) {
            None => {
                self.record_admission(request, now_ms);
                Decision::Queue
            }
            Some(reason) => {
                if request.arrival.is_returning() {
                    self.returning_rejected_at_ms = Some(now_ms);
                }
                let retry_after_ms =
                    self.retry_after_ms(request, candidate, (reason, urgency), config, now_ms);
                Decision::Reject(Rejection { reason, retry_after_ms })
            }
        };
        request.arrival.is_counted = true;
        decision
    }

    /// Counts a request the first time that it is decided on, and returns its urgency.
    ///
    /// A returning request was counted when it was new, so that rejections don't keep the pressure
    /// high.
    fn count(&mut self, request: &RequestState, candidate: &Candidate, now_ms: u64) -> Urgency {
        let arrival = request.arrival;
        if !arrival.is_counted {
            let found_queue = candidate.wait_ms > 0.0;
            if !(arrival.is_returning() && found_queue) {
                let is_over =
                    self.returning_rejected_at_ms.is_some() && !self.returning_lack_slots(now_ms);
                self.pressure.record(found_queue, is_over, now_ms);
            }
            self.priorities.record(request.priority());
            if let Some(caller) = arrival.caller {
                self.shares.record_request(caller, now_ms);
            }
        }
        self.priorities.urgency(request.priority())
    }

    /// Returns why a request is rejected, or `None` if it may be sent.
    fn rejection_reason(
        &mut self,
        request: &mut RequestState,
        candidate: &Candidate,
        urgency: Urgency,
        config: AdmissionConfig,
        now_ms: u64,
    ) -> Option<RejectionReason> {
        let arrival = request.arrival;
        if config.returning_first && !arrival.is_counted {
            let sends_excess = arrival.caller.is_some_and(|one| self.shares.sends_excess(one));
            let may_use_others = arrival.is_returning() && !sends_excess;
            request.arrival.has_reservation = claimant(request)
                .is_some_and(|by| self.reservations.try_claim(by, may_use_others, now_ms));
        }
        if candidate.wait_ms <= 0.0 {
            return None;
        }
        if request.arrival.has_reservation {
            let max_wait_ms = queueing::max_wait_by_deadline_ms(request, candidate, now_ms);
            return (candidate.wait_ms > max_wait_ms).then_some(RejectionReason::ReturningBusy);
        }
        let persists = self.pressure.queues_persist();
        if persists
            && config.fair_shares
            && arrival.caller.is_some_and(|caller| self.shares.is_used_up(caller))
        {
            return Some(RejectionReason::OverFairShare);
        }
        let pressure = self.pressure.share() * urgency.weight;
        let tolerance = config.queue_tolerance;
        let mut max_wait_ms =
            queueing::max_wait_ms(request, candidate, tolerance, pressure, now_ms);
        if persists && config.returning_first && self.returning_lack_slots(now_ms) {
            let due_ms = self.reservations.due_work_ms(max_wait_ms, now_ms);
            let wait_share =
                if arrival.is_returning() { RETURNING_WAIT_SHARE } else { NEW_WAIT_SHARE };
            let persistent_max_wait_ms = (max_wait_ms - due_ms).max(0.0) * wait_share;
            max_wait_ms += self.pressure.persistence() * (persistent_max_wait_ms - max_wait_ms);
        }
        let reason = if arrival.is_returning() {
            RejectionReason::ReturningBusy
        } else {
            RejectionReason::UpstreamsBusy
        };
        (candidate.wait_ms > max_wait_ms).then_some(reason)
    }

    /// Returns whether a returning request has been rejected recently.
    fn returning_lack_slots(&self, now_ms: u64) -> bool {
        self.returning_rejected_at_ms.is_some_and(|at_ms| now_ms < at_ms + RETURNING_LACK_SLOTS_MS)
    }

    fn record_admission(&mut self, request: &RequestState, now_ms: u64) {
        if let Some(caller) = request.arrival.caller
            && !request.arrival.is_counted
        {
            self.shares.record_admission(caller, now_ms);
        }
    }

    /// Returns when a rejected caller may return, in milliseconds from now.
    fn retry_after_ms(
        &mut self,
        request: &RequestState,
        candidate: &Candidate,
        (reason, urgency): (RejectionReason, Urgency),
        config: AdmissionConfig,
        now_ms: u64,
    ) -> u64 {
        let queue_ms = candidate.wait_ms as u64;
        if !config.returning_first {
            return queue_ms.clamp(MIN_BUSY_RETRY_AFTER_MS, MAX_BUSY_RETRY_AFTER_MS);
        }
        let first_at_ms = now_ms + queue_ms.max(MIN_BUSY_RETRY_AFTER_MS);
        let work_ms = candidate.expected_ms - candidate.wait_ms;
        let class = (request.priority(), urgency.more_urgent_share);
        let by = claimant(request);
        if reason == RejectionReason::OverFairShare {
            let caller = request.arrival.caller;
            let share_in_ms = caller.map_or(0, |one| self.shares.next_admission_in_ms(one));
            let at_ms = first_at_ms.max(now_ms + share_in_ms);
            return self.reservations.without_reservation_ms(at_ms, class, work_ms, now_ms);
        }
        let is_new = !request.arrival.is_returning() && !request.arrival.is_counted;
        self.reservations.retry_after_ms(by, is_new, first_at_ms, class, work_ms, now_ms)
    }
}

/// Returns who may have a reservation for a request; `None` if its return couldn't be recognised, or it
/// has been away for as long as a caller without a reservation.
fn claimant(request: &RequestState) -> Option<Claimant> {
    let arrival = request.arrival;
    if arrival.history == History::ReturnsLate {
        return None;
    }
    Some(Claimant {
        caller: arrival.caller?,
        object: request.object,
        deadline_at_ms: arrival.caller_deadline_at_ms?,
    })
}
