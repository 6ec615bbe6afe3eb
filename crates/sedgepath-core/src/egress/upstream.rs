//! The state that an owner keeps for one upstream, and the limits that follow from it.

use super::connections::Connections;
use super::health::Health;
use super::ramp::Ramp;
use super::report::Heard;
use crate::allowance::Allowance;
use crate::catalogue::UpstreamEntry;
use crate::event::UpstreamReport;
use crate::request::{CallOutcome, Class};

/// How long after a loss a report must have been made to show whether the call still runs. A request
/// may start shortly after its connection broke.
const LOSS_SETTLES_MS: u64 = 250;

/// A call that ended without a response and may still run at the upstream.
#[derive(Debug, Clone, Copy)]
struct LostCall {
    lost_at_ms: u64,
    /// The call's deadline, when the upstream stops working on it.
    until_ms: u64,
}

/// The terms on which a call was sent to an upstream.
#[derive(Debug, Clone, Copy)]
pub struct Sent {
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
pub struct Upstream {
    /// The running calls of all classes, without lost ones.
    running: u32,
    /// The running calls of the paying class.
    running_paying: u32,
    lost: Vec<LostCall>,
    connections: Connections,
    health: Health,
    ramp: Ramp,
    heard: Option<Heard>,
    recent: RecentPeak,
    sent_at_ms: u64,
}

/// The peak of the requests in flight over the current and the previous second.
#[derive(Debug, Default)]
struct RecentPeak {
    second: u64,
    now: u32,
    before: u32,
}

impl RecentPeak {
    fn note(&mut self, in_flight: u32, now_ms: u64) {
        let second = now_ms / 1_000;
        if second != self.second {
            self.before = if second == self.second + 1 { self.now } else { in_flight };
            self.now = in_flight;
            self.second = second;
        }
        self.now = self.now.max(in_flight);
    }

    fn most(&self) -> u32 {
        self.now.max(self.before)
    }
}

/// Whether the end of a call has changed the upstream's health.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Change {
    /// The upstream is used as before.
    None,
    /// The upstream is backed off from now on.
    Paused,
}

impl Upstream {
    /// Returns the number of requests that may be running at the upstream, lost ones included.
    pub fn in_flight(&self) -> u32 {
        self.running + self.lost.len() as u32
    }

    /// Returns the number of running calls of the paying class.
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
        ramps: bool,
        now_ms: u64,
    ) -> u32 {
        if now_ms > allowance.send_by_ms {
            return 0;
        }
        let ramped =
            if ramps { self.ramp.slots(allowance, entry, now_ms) } else { allowance.slots };
        let heard = self.heard.as_ref().map_or(ramped, |heard| heard.slots(ramped, now_ms));
        self.health.slots(allowance.slots, now_ms).min(ramped).min(heard)
    }

    /// Returns whether a call may open a connection, or `None` if no call can be sent now.
    pub fn permit(&self, allowance: &Allowance, now_ms: u64) -> Option<bool> {
        if !self.health.may_send(now_ms) {
            return None;
        }
        self.connections.permit(allowance, self.running, now_ms)
    }

    /// Records that a call was sent.
    pub fn begin(&mut self, sent: Sent, now_ms: u64) {
        self.running += 1;
        self.running_paying += u32::from(sent.class == Class::Paying);
        self.connections.begin(sent.may_open);
        self.health.sent();
        self.ramp.used(now_ms);
        self.sent_at_ms = now_ms;
        self.recent.note(self.in_flight(), now_ms);
    }

    /// Records the end of a call; a lost call keeps its slot.
    pub fn end(&mut self, sent: Sent, end: CallOutcome, now_ms: u64) -> Change {
        let in_flight = self.in_flight();
        self.recent.note(in_flight, now_ms);
        self.running -= 1;
        self.running_paying -= u32::from(sent.class == Class::Paying);
        // Without permission to open a connection, or past the time to send, no connection was tried.
        let unreachable = end == CallOutcome::NotSent && sent.may_open && now_ms <= sent.send_by_ms;
        self.connections.end(sent.may_open, unreachable, now_ms);
        let paused = match end {
            CallOutcome::Completed | CallOutcome::Cancelled => {
                self.ramp.used(now_ms);
                self.health.answered();
                false
            }
            CallOutcome::Refused => self.health.refused(in_flight, now_ms),
            CallOutcome::NotSent if unreachable => {
                self.ramp.restart();
                self.health.failed(now_ms)
            }
            CallOutcome::NotSent => {
                self.health.ended();
                false
            }
            CallOutcome::Lost => {
                self.health.ended();
                self.keep_slot(sent, now_ms);
                false
            }
        };
        if paused { Change::Paused } else { Change::None }
    }

    /// Holds the slot of a lost call until its deadline.
    ///
    /// The upstream may work on after its connection broke. Reusing the slot at once could make it
    /// run more requests than it has slots.
    fn keep_slot(&mut self, sent: Sent, now_ms: u64) {
        if now_ms < sent.deadline_at_ms {
            self.lost.push(LostCall { lost_at_ms: now_ms, until_ms: sent.deadline_at_ms });
        }
    }

    /// Frees the slots of lost calls whose deadline has passed.
    pub fn expire(&mut self, now_ms: u64) {
        self.lost.retain(|lost| now_ms < lost.until_ms);
    }

    /// Applies a load report if it is newer than the last one.
    pub fn take_report(&mut self, report: &UpstreamReport) {
        if self.heard.as_ref().is_some_and(|heard| !heard.is_older_than(report)) {
            return;
        }
        if let Some(in_flight) = report.in_flight {
            self.settle_lost(in_flight, report.made_at_ms);
        }
        // The report may count calls that have ended since it was made. The recent peak covers them, so
        // that they aren't attributed to other nodes and don't cost slots.
        let own = self.recent.most().max(self.in_flight());
        self.heard = Some(Heard::new(report, own));
    }

    /// Frees the slots of lost calls that a report shows to have ended: at most `in_flight` of them
    /// still run. Which ones is unknown, so those with the latest deadlines keep their slots.
    fn settle_lost(&mut self, in_flight: u32, made_at_ms: u64) {
        self.lost.sort_unstable_by_key(|lost| std::cmp::Reverse(lost.until_ms));
        let mut may_run = in_flight;
        self.lost.retain(|lost| {
            if lost.lost_at_ms + LOSS_SETTLES_MS > made_at_ms {
                return true;
            }
            let kept = may_run > 0;
            may_run = may_run.saturating_sub(1);
            kept
        });
    }

    /// Sets the number of open connections.
    pub fn take_connections(&mut self, open: u32, now_ms: u64) {
        self.connections.report(open, now_ms);
    }
}
