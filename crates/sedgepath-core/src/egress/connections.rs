//! Limits on the open connections to an upstream and on the rate of new ones.
//!
//! Whether a call finds an idle connection is only known when it is sent, so a permission to open
//! one may go unused. A permission counts against both limits from when it is given until the
//! opening is reported or the call ends. Openings are reported after they happen, so the upstream
//! never sees more new connections in a second than the rate allows.

use std::collections::VecDeque;

use crate::allowance::Allowance;

/// The time for which an opened connection counts against the rate of new ones, which is per
/// second.
const RATE_WINDOW_MS: u64 = 1_000;

/// The connections to one upstream and the outstanding permissions to open more.
#[derive(Debug, Default)]
pub struct ConnectionLimits {
    open: u32,
    /// Calls in flight that may open a connection.
    permitted_calls: u32,
    /// Openings reported for those calls.
    reported_openings: u32,
    opened_at_ms: VecDeque<u64>,
}

impl ConnectionLimits {
    /// Returns whether a new call may open a connection, or `None` if it could get no connection.
    ///
    /// A call that should find an idle connection may open a new one as well if that leaves a
    /// permission for another call, since the upstream may have closed the idle connection.
    pub fn permit(&self, allowance: &Allowance, running_calls: u32, now_ms: u64) -> Option<bool> {
        let outstanding = self.permitted_calls.saturating_sub(self.reported_openings);
        let by_limit = allowance.connections.saturating_sub(self.open + outstanding);
        let recent =
            self.opened_at_ms.iter().filter(|at_ms| **at_ms + RATE_WINDOW_MS > now_ms).count();
        let by_rate = allowance.new_connections_per_s.saturating_sub(recent as u32 + outstanding);
        let available = by_limit.min(by_rate);
        if self.open > running_calls {
            Some(available > 1)
        } else {
            (available > 0).then_some(true)
        }
    }

    /// Counts the permission of a call that was sent.
    pub fn record_sent(&mut self, may_open: bool) {
        self.permitted_calls += u32::from(may_open);
    }

    /// Releases the permission of a call that has ended; `failed` says that no connection could be
    /// opened for it.
    pub fn record_end(&mut self, may_open: bool, failed: bool, now_ms: u64) {
        if !may_open {
            return;
        }
        self.permitted_calls = self.permitted_calls.saturating_sub(1);
        if self.reported_openings > 0 {
            // It is unknown which call opened the connection. While that call runs on, its
            // permission is counted twice, so the limits are never exceeded.
            self.reported_openings -= 1;
        } else if failed {
            self.opened_at_ms.push_back(now_ms);
        }
    }

    /// Sets the number of open connections, and counts the new ones against the rate.
    pub fn set_open(&mut self, open: u32, now_ms: u64) {
        while self.opened_at_ms.front().is_some_and(|at_ms| at_ms + RATE_WINDOW_MS <= now_ms) {
            self.opened_at_ms.pop_front();
        }
        for _ in self.open..open {
            self.opened_at_ms.push_back(now_ms);
            self.reported_openings = (self.reported_openings + 1).min(self.permitted_calls);
        }
        self.open = open;
    }
}
