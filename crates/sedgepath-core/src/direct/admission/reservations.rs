//! The times at which rejected callers have been told to return, and the places kept for them.
//!
//! A caller returns after at most a third of its remaining time, whatever it is told. Only a caller
//! that is told an earlier time gets a reservation; any other is told the accurate time nevertheless.

use std::collections::VecDeque;

use super::CallerKey;

/// The share of its remaining time after which a caller with a reservation returns at the latest: less
/// than the third for which the others stay away, by which they are told apart.
pub const MAX_RESERVED_SHARE: f64 = 0.3;

/// The share of the rate at which upstreams run requests that is reserved. Callers that return choose
/// upstreams by object, so with a larger share the queues of some upstreams exceed the target.
const RESERVED_RATE_SHARE: f64 = 0.4;

/// The least part of that share for requests of a priority, however many more urgent ones there are, so
/// that they aren't starved permanently.
const MIN_PRIORITY_PART: f64 = 0.1;

/// The most reservations of a service.
const MAX_RESERVATIONS: usize = 512;

/// The time by which a caller may return early, in milliseconds.
const EARLY_RETURN_MS: u64 = 20;

/// The time for which a reservation is kept, in milliseconds.
const RESERVATION_KEPT_MS: u64 = 1_000;

/// The most by which the deadline of a request that returns differs from the one in its reservation, in
/// milliseconds: network times vary.
const DEADLINE_TOLERANCE_MS: u64 = 30;

/// The time after the first request that returns in which such requests are presumed to have a
/// reservation, in milliseconds: the VM may have restarted and lost its reservations.
const PRESUMED_RESERVATION_MS: u64 = 500;

/// The time constant of the measured rate, in milliseconds.
const RATE_TIME_CONSTANT_MS: f64 = 1_000.0;

/// The shortest time for which the rate is measured before it is used, in milliseconds.
const MIN_RATE_AGE_MS: u64 = 200;

/// The time constant with which rejected callers without a reservation are forgotten, in milliseconds:
/// about the time for which callers wait.
const WITHOUT_RESERVATION_TIME_CONSTANT_MS: f64 = 2_000.0;

/// The most priorities with a rate of their own; further ones count as the last.
const MAX_PRIORITIES: usize = 16;

/// A request that may have a reservation.
#[derive(Debug, Clone, Copy)]
pub struct Claimant {
    /// Who sent the request.
    pub caller: CallerKey,
    /// A digest of the requested object.
    pub object: Option<u64>,
    /// The time after which the caller no longer waits, in milliseconds.
    pub deadline_at_ms: u64,
}

impl Claimant {
    fn has(self, reservation: &Reservation) -> bool {
        self.caller == reservation.caller
            && self.object == reservation.object
            && self.deadline_at_ms.abs_diff(reservation.deadline_at_ms) <= DEADLINE_TOLERANCE_MS
    }
}

/// A place for a caller that has been told when to return.
#[derive(Debug, Clone, Copy)]
struct Reservation {
    caller: CallerKey,
    object: Option<u64>,
    deadline_at_ms: u64,
    return_at_ms: u64,
}

/// A count that decays exponentially.
#[derive(Debug, Clone, Copy, Default)]
struct DecayingCount {
    count: f64,
    updated_at_ms: u64,
}

impl DecayingCount {
    fn at(self, time_constant_ms: f64, now_ms: u64) -> f64 {
        let age_ms = now_ms.saturating_sub(self.updated_at_ms) as f64;
        self.count * (-age_ms / time_constant_ms).exp()
    }

    fn add(&mut self, time_constant_ms: f64, now_ms: u64) {
        *self = Self { count: self.at(time_constant_ms, now_ms) + 1.0, updated_at_ms: now_ms };
    }
}

/// The reservations of a service.
#[derive(Debug, Default)]
pub struct Reservations {
    /// In no particular order.
    places: VecDeque<Reservation>,
    /// When the next caller of each priority may return, in milliseconds.
    next_at_ms: [f64; MAX_PRIORITIES],
    started_at_ms: Option<u64>,
    served: DecayingCount,
    first_served_at_ms: Option<u64>,
    without_reservation: DecayingCount,
}

impl Reservations {
    /// Records that an upstream has run a request.
    pub fn record_served(&mut self, now_ms: u64) {
        self.first_served_at_ms.get_or_insert(now_ms);
        self.served.add(RATE_TIME_CONSTANT_MS, now_ms);
    }

    /// Uses the reservation of a request that arrives, or one that is due for another caller, and
    /// returns whether there was one.
    pub fn try_claim(&mut self, by: Claimant, may_use_others: bool, now_ms: u64) -> bool {
        let started_at_ms = *self.started_at_ms.get_or_insert(now_ms);
        if may_use_others && now_ms < started_at_ms + PRESUMED_RESERVATION_MS {
            return true;
        }
        if self.places.is_empty() {
            return false;
        }
        self.places.retain(|one| now_ms <= one.return_at_ms + RESERVATION_KEPT_MS);
        let is_due = |one: &Reservation| one.return_at_ms <= now_ms + EARLY_RETURN_MS;
        let own = self.places.iter().position(|one| by.has(one));
        let index = match own {
            Some(index) => Some(index).filter(|index| is_due(&self.places[*index])),
            None if may_use_others => self.first_until(now_ms),
            None => None,
        };
        index.is_some_and(|index| self.places.swap_remove_back(index).is_some())
    }

    /// Returns the index of the first reservation, if it is due by a time.
    fn first_until(&self, until_ms: u64) -> Option<usize> {
        let by_time = self.places.iter().enumerate();
        let first = by_time.min_by_key(|(_, one)| one.return_at_ms);
        first.filter(|(_, one)| one.return_at_ms <= until_ms).map(|(index, _)| index)
    }

    /// Returns the time that the reservations take up that fall due within a time, in milliseconds.
    pub fn due_work_ms(&self, within_ms: f64, now_ms: u64) -> f64 {
        let until_ms = now_ms + within_ms.max(0.0) as u64;
        let is_due = |one: &&Reservation| (now_ms..=until_ms).contains(&one.return_at_ms);
        self.places.iter().filter(is_due).count() as f64 * self.interval_ms(0.0, now_ms)
    }

    /// Returns when a rejected caller may return, in milliseconds from now, and reserves a place for it
    /// if it stays away that long.
    ///
    /// `class` is the request's priority and the share of requests that are more urgent.
    pub fn retry_after_ms(
        &mut self,
        by: Option<Claimant>,
        is_new: bool,
        first_at_ms: u64,
        class: (u32, f64),
        work_ms: f64,
        now_ms: u64,
    ) -> u64 {
        if let Some(by) = by {
            if let Some(own) = self.places.iter().find(|one| by.has(one)) {
                return own.return_at_ms.saturating_sub(now_ms).max(1);
            }
            let (at_ms, interval_ms) = self.next_place(first_at_ms, class, work_ms, now_ms);
            let remaining_ms = by.deadline_at_ms.saturating_sub(now_ms) as f64;
            let return_at_ms = at_ms.ceil() as u64;
            if at_ms - now_ms as f64 <= remaining_ms * MAX_RESERVED_SHARE
                && self.places.len() < MAX_RESERVATIONS
            {
                let Claimant { caller, object, deadline_at_ms, .. } = by;
                let place = Reservation { caller, object, deadline_at_ms, return_at_ms };
                self.places.push_back(place);
                self.next_at_ms[priority_index(class.0)] = at_ms + interval_ms;
                return return_at_ms - now_ms;
            }
        }
        if is_new {
            self.without_reservation.add(WITHOUT_RESERVATION_TIME_CONSTANT_MS, now_ms);
        }
        self.without_reservation_ms(first_at_ms, class, work_ms, now_ms)
    }

    /// Returns when a caller without a reservation may return, in milliseconds from now: after those with
    /// one, and after the recently rejected callers without one.
    pub fn without_reservation_ms(
        &self,
        first_at_ms: u64,
        class: (u32, f64),
        work_ms: f64,
        now_ms: u64,
    ) -> u64 {
        let (at_ms, interval_ms) = self.next_place(first_at_ms, class, work_ms, now_ms);
        let before = self.without_reservation.at(WITHOUT_RESERVATION_TIME_CONSTANT_MS, now_ms);
        (at_ms + before * interval_ms).ceil() as u64 - now_ms
    }

    /// Returns when the next caller of a class may return, and the time until the one after it, both in
    /// milliseconds.
    fn next_place(
        &self,
        first_at_ms: u64,
        (priority, more_urgent_share): (u32, f64),
        work_ms: f64,
        now_ms: u64,
    ) -> (f64, f64) {
        // While queues persist, there are up to about twice as many requests as slots.
        let part = (1.0 - 2.0 * more_urgent_share).max(MIN_PRIORITY_PART);
        let rate_share = RESERVED_RATE_SHARE * part;
        let interval_ms = match self.interval_ms(work_ms, now_ms) {
            interval_ms if interval_ms > 0.0 => interval_ms / rate_share,
            _ => work_ms.max(1.0),
        };
        (self.next_at_ms[priority_index(priority)].max(first_at_ms as f64), interval_ms)
    }

    /// Returns the mean time from the end of one request to that of the next, in milliseconds; the
    /// default if it isn't known yet.
    fn interval_ms(&self, default_ms: f64, now_ms: u64) -> f64 {
        let Some(first_at_ms) = self.first_served_at_ms else {
            return default_ms;
        };
        let age_ms = now_ms.saturating_sub(first_at_ms);
        let count = self.served.at(RATE_TIME_CONSTANT_MS, now_ms);
        if age_ms < MIN_RATE_AGE_MS || count < 1.0 {
            return default_ms;
        }
        let counted_ms = 1.0 - (-(age_ms as f64) / RATE_TIME_CONSTANT_MS).exp();
        RATE_TIME_CONSTANT_MS * counted_ms / count
    }
}

fn priority_index(priority: u32) -> usize {
    (priority as usize).min(MAX_PRIORITIES - 1)
}
