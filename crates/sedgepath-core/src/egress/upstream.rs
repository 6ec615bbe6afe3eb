//! The state that a node keeps for one upstream, and the limits that follow from it.

use super::connections::ConnectionLimits;
use super::health::Health;
use super::reported_slots::ReportedSlots;
use super::warm_up::WarmUp;
use crate::allowance::Allowance;
use crate::catalogue::UpstreamEntry;
use crate::event::UpstreamReport;
use crate::request::{CallOutcome, Class};

/// The minimum time from a loss until a report that shows whether the call still runs. A request
/// may start shortly after its connection broke.
const MIN_REPORT_DELAY_AFTER_LOSS_MS: u64 = 250;

/// A call that ended without a response and may still be running at the upstream.
#[derive(Debug, Clone, Copy)]
struct LostCall {
    lost_at_ms: u64,
    /// The call's deadline, by which the upstream has ended it.
    deadline_at_ms: u64,
}

/// The class of a call and the limits under which it was sent to an upstream.
#[derive(Debug, Clone, Copy)]
pub struct CallLimits {
    /// The class of the request.
    pub class: Class,
    /// Whether the call may open a connection.
    pub may_open: bool,
    /// The time after which the call may no longer be sent, in milliseconds.
    pub send_by_ms: u64,
    /// The deadline of the request, in milliseconds.
    pub deadline_at_ms: u64,
}

/// The calls, connections, health and warm-up of one upstream.
#[derive(Debug, Default)]
pub struct UpstreamState {
    /// The calls in flight of all classes, without lost ones.
    running: u32,
    /// The calls in flight of the paying class, without lost ones.
    running_paying: u32,
    lost: Vec<LostCall>,
    connections: ConnectionLimits,
    health: Health,
    warm_up: WarmUp,
    reported: Option<ReportedSlots>,
    recent_peak: RecentPeak,
    sent_at_ms: u64,
}

/// The peak of the requests in flight over the current and the previous second.
#[derive(Debug, Default)]
struct RecentPeak {
    second: u64,
    current: u32,
    previous: u32,
}

impl RecentPeak {
    fn record(&mut self, in_flight: u32, now_ms: u64) {
        let second = now_ms / 1_000;
        if second != self.second {
            self.previous = if second == self.second + 1 { self.current } else { in_flight };
            self.current = in_flight;
            self.second = second;
        }
        self.current = self.current.max(in_flight);
    }

    fn peak(&self) -> u32 {
        self.current.max(self.previous)
    }
}

/// The effect of the end of a call on the use of the upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HealthChange {
    /// The upstream is used or backed off as before.
    None,
    /// The upstream was used and is backed off from now on.
    BackedOff,
}

impl UpstreamState {
    /// Returns the number of requests that may be running at the upstream, including lost calls.
    pub fn in_flight(&self) -> u32 {
        self.running + self.lost.len() as u32
    }

    /// Returns the number of calls in flight of the paying class, without lost ones.
    pub fn running_paying(&self) -> u32 {
        self.running_paying
    }

    /// Returns when the upstream was last sent a request, in milliseconds.
    pub fn sent_at_ms(&self) -> u64 {
        self.sent_at_ms
    }

    /// Returns when the upstream may be tried again, in milliseconds, if it is backed off.
    pub fn retry_at_ms(&self) -> Option<u64> {
        self.health.retry_at_ms()
    }

    /// Returns the slots that may be used now, including those in flight.
    pub fn slots(
        &self,
        allowance: &Allowance,
        entry: &UpstreamEntry,
        warm_up_enabled: bool,
        now_ms: u64,
    ) -> u32 {
        if now_ms > allowance.send_by_ms {
            return 0;
        }
        let warm_slots = if warm_up_enabled {
            self.warm_up.slots(allowance, entry, now_ms)
        } else {
            allowance.slots
        };
        let reported =
            self.reported.as_ref().map_or(warm_slots, |report| report.slots(warm_slots, now_ms));
        self.health.slots(allowance.slots, now_ms).min(warm_slots).min(reported)
    }

    /// Returns whether a new call may open a connection, or `None` if no call can be sent now.
    pub fn permit(&self, allowance: &Allowance, now_ms: u64) -> Option<bool> {
        if !self.health.may_send(now_ms) {
            return None;
        }
        self.connections.permit(allowance, self.running, now_ms)
    }

    /// Records that a call was sent.
    pub fn record_sent(&mut self, limits: CallLimits, now_ms: u64) {
        self.running += 1;
        self.running_paying += u32::from(limits.class == Class::Paying);
        self.connections.record_sent(limits.may_open);
        self.health.record_sent();
        self.warm_up.record_use(now_ms);
        self.sent_at_ms = now_ms;
        self.recent_peak.record(self.in_flight(), now_ms);
    }

    /// Records the end of a call; a lost call holds its slot until its deadline.
    pub fn record_end(
        &mut self,
        limits: CallLimits,
        outcome: CallOutcome,
        now_ms: u64,
    ) -> HealthChange {
        let in_flight = self.in_flight();
        self.recent_peak.record(in_flight, now_ms);
        self.running -= 1;
        self.running_paying -= u32::from(limits.class == Class::Paying);
        // Without permission to open a connection, or past the time to send, no connection was
        // tried.
        let unreachable =
            outcome == CallOutcome::NotSent && limits.may_open && now_ms <= limits.send_by_ms;
        self.connections.record_end(limits.may_open, unreachable, now_ms);
        let backs_off = match outcome {
            CallOutcome::Completed | CallOutcome::Cancelled => {
                self.warm_up.record_use(now_ms);
                self.health.record_response();
                false
            }
            CallOutcome::Refused => self.health.record_rejection(in_flight, now_ms),
            CallOutcome::NotSent if unreachable => {
                self.warm_up.reset();
                self.health.record_failure(now_ms)
            }
            CallOutcome::NotSent => {
                self.health.record_inconclusive();
                false
            }
            CallOutcome::Lost => {
                self.health.record_inconclusive();
                self.hold_slot(limits, now_ms);
                false
            }
        };
        if backs_off { HealthChange::BackedOff } else { HealthChange::None }
    }

    /// Holds the slot of a lost call until its deadline.
    ///
    /// The upstream may work on after its connection broke. Reusing the slot at once could make it
    /// run more requests than it has slots.
    fn hold_slot(&mut self, limits: CallLimits, now_ms: u64) {
        if now_ms < limits.deadline_at_ms {
            self.lost.push(LostCall { lost_at_ms: now_ms, deadline_at_ms: limits.deadline_at_ms });
        }
    }

    /// Frees the slots of lost calls whose deadline has passed.
    pub fn expire_lost_calls(&mut self, now_ms: u64) {
        self.lost.retain(|lost| now_ms < lost.deadline_at_ms);
    }

    /// Applies a load report if it is newer than the last one.
    pub fn record_report(&mut self, report: &UpstreamReport) {
        if self.reported.as_ref().is_some_and(|last| !last.is_older_than(report)) {
            return;
        }
        if let Some(in_flight) = report.in_flight {
            self.release_lost_calls(in_flight, report.made_at_ms);
        }
        // The report may count calls that have ended since it was made. The recent peak covers
        // them, so that they aren't attributed to other nodes and don't cost slots.
        let own = self.recent_peak.peak().max(self.in_flight());
        self.reported = Some(ReportedSlots::new(report, own));
    }

    /// Frees the slots of lost calls that a report shows to have ended: at most `in_flight` of them
    /// still run. Which ones is unknown, so those with the latest deadlines hold their slots.
    fn release_lost_calls(&mut self, in_flight: u32, made_at_ms: u64) {
        self.lost.sort_unstable_by_key(|lost| std::cmp::Reverse(lost.deadline_at_ms));
        let mut running_left = in_flight;
        self.lost.retain(|lost| {
            if lost.lost_at_ms + MIN_REPORT_DELAY_AFTER_LOSS_MS > made_at_ms {
                return true;
            }
            let may_still_run = running_left > 0;
            running_left = running_left.saturating_sub(1);
            may_still_run
        });
    }

    /// Sets the number of open connections.
    pub fn set_open_connections(&mut self, open: u32, now_ms: u64) {
        self.connections.set_open(open, now_ms);
    }
}
