//! One upstream as its owner sees it: what is in flight there and what may be added.

use super::connections::Connections;
use super::health::Health;
use super::ramp::Ramp;
use super::report::Heard;
use crate::allowance::Allowance;
use crate::catalogue::UpstreamEntry;
use crate::event::UpstreamReport;
use crate::request::{CallOutcome, Class};

/// How much later than a loss a report must have been made to tell whether the call still runs, in
/// milliseconds. A request that was on its way when its connection broke may start shortly after.
const LOSS_SETTLES_MS: u64 = 250;

/// A call without an answer that may still run.
#[derive(Debug, Clone, Copy)]
struct LostCall {
    lost_at_ms: u64,
    /// The call's deadline; the upstream gives it up then.
    until_ms: u64,
}

/// A call that runs.
#[derive(Debug, Clone, Copy)]
pub struct Sent {
    /// Its class.
    pub class: Class,
    /// Whether it may open a connection.
    pub may_open: bool,
    /// The moment after which it may not be sent any more, in milliseconds.
    pub send_by_ms: u64,
    /// Its deadline, in milliseconds.
    pub deadline_at_ms: u64,
}

/// What the owner knows of an upstream.
#[derive(Debug, Default)]
pub struct Upstream {
    /// The running calls of all classes.
    running: u32,
    /// Those of paying callers.
    running_paying: u32,
    lost: Vec<LostCall>,
    connections: Connections,
    health: Health,
    ramp: Ramp,
    heard: Option<Heard>,
    recent: RecentPeak,
    sent_at_ms: u64,
}

/// The most that was in flight in the last second or two.
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

/// What has changed with the end of a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Change {
    /// Nothing worth telling.
    None,
    /// The upstream is left alone from now on.
    Paused,
}

impl Upstream {
    /// Returns the requests that may run there.
    pub fn in_flight(&self) -> u32 {
        self.running + self.lost.len() as u32
    }

    /// Returns the running calls of paying callers.
    pub fn running_paying(&self) -> u32 {
        self.running_paying
    }

    /// Returns when the upstream was last sent a request, in milliseconds.
    pub fn sent_at_ms(&self) -> u64 {
        self.sent_at_ms
    }

    /// Returns when it may be tried again, in milliseconds, if it is left alone.
    pub fn retry_at_ms(&self) -> Option<u64> {
        self.health.retry_at_ms()
    }

    /// Returns the slots that may be used now, those in flight among them.
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

    /// Returns whether a call may open a connection, or none if it has no way to be sent now.
    pub fn permit(&self, allowance: &Allowance, now_ms: u64) -> Option<bool> {
        if !self.health.may_send(now_ms) {
            return None;
        }
        self.connections.permit(allowance, self.running, now_ms)
    }

    /// Takes in that a call was sent.
    pub fn begin(&mut self, sent: Sent, now_ms: u64) {
        self.running += 1;
        self.running_paying += u32::from(sent.class == Class::Paying);
        self.connections.begin(sent.may_open);
        self.health.sent();
        self.ramp.used(now_ms);
        self.sent_at_ms = now_ms;
        self.recent.note(self.in_flight(), now_ms);
    }

    /// Takes in the end of a call.
    pub fn end(&mut self, sent: Sent, end: CallOutcome, now_ms: u64) -> Change {
        let in_flight = self.in_flight();
        self.recent.note(in_flight, now_ms);
        self.running -= 1;
        self.running_paying -= u32::from(sent.class == Class::Paying);
        // Without a permission or past the time to send, nothing was tried.
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

    /// Keeps the slot of a lost call until its deadline.
    ///
    /// A broken connection does not stop the upstream's work. Were the slot given away at once, the
    /// upstream would run more than its slots as soon as answers are lost.
    fn keep_slot(&mut self, sent: Sent, now_ms: u64) {
        if now_ms < sent.deadline_at_ms {
            self.lost.push(LostCall { lost_at_ms: now_ms, until_ms: sent.deadline_at_ms });
        }
    }

    /// Gives up the slots of lost calls whose deadline has passed.
    pub fn expire(&mut self, now_ms: u64) {
        self.lost.retain(|lost| now_ms < lost.until_ms);
    }

    /// Takes in a report; of an older one than the last, only that the upstream leaves would count.
    pub fn take_report(&mut self, report: &UpstreamReport) {
        if self.heard.as_ref().is_some_and(|heard| !heard.is_older_than(report)) {
            return;
        }
        if let Some(in_flight) = report.in_flight {
            self.settle_lost(in_flight, report.made_at_ms);
        }
        // Between an answer and its report here other calls may have ended, which the report counts;
        // taken for another's work they would cost slots all the time.
        let own = self.recent.most().max(self.in_flight());
        self.heard = Some(Heard::new(report, own));
    }

    /// Frees the slots of lost calls that a report proves ended: no more of them run than it names.
    /// Those with the latest deadlines stay, since it is not known which these are.
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

    /// Takes in the number of open connections.
    pub fn take_connections(&mut self, open: u32, now_ms: u64) {
        self.connections.report(open, now_ms);
    }
}
