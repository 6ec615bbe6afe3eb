//! Who may open a connection to an upstream.
//!
//! The shell alone knows whether a call finds an idle connection, so a permission may end unused. A
//! permission counts from the moment it is given: against the open connections and against those of
//! the last second, until the connection is reported or the call has ended. A report comes after the
//! opening itself, so no second at the upstream sees more openings than the rate.

use std::collections::VecDeque;

use crate::allowance::Allowance;

const SECOND_MS: u64 = 1_000;

/// The connections to one upstream.
#[derive(Debug, Default)]
pub struct Connections {
    open: u32,
    /// Running calls that may open one.
    permitted: u32,
    /// Openings reported for these.
    reported: u32,
    opened_at_ms: VecDeque<u64>,
}

impl Connections {
    /// Returns whether a new call may open a connection, or none if it has no way to get one.
    ///
    /// A call that should find an idle connection may still open one if that leaves another call its
    /// chance: the upstream may have closed the idle one.
    pub fn permit(&self, allowance: &Allowance, running: u32, now_ms: u64) -> Option<bool> {
        let outstanding = self.permitted.saturating_sub(self.reported);
        let by_limit = allowance.connections.saturating_sub(self.open + outstanding);
        let recent = self.opened_at_ms.iter().filter(|at_ms| **at_ms + SECOND_MS > now_ms).count();
        let by_rate = allowance.new_connections_per_s.saturating_sub(recent as u32 + outstanding);
        let spare = by_limit.min(by_rate);
        if self.open > running { Some(spare > 1) } else { (spare > 0).then_some(true) }
    }

    /// Takes in that a call was sent.
    pub fn begin(&mut self, may_open: bool) {
        self.permitted += u32::from(may_open);
    }

    /// Takes in that a call has ended; `failed` if no connection could be made for it.
    pub fn end(&mut self, may_open: bool, failed: bool, now_ms: u64) {
        if !may_open {
            return;
        }
        self.permitted = self.permitted.saturating_sub(1);
        if self.reported > 0 {
            // Which call opened the connection is not known; while the one that did still runs, its
            // permission counts once too often, never too seldom.
            self.reported -= 1;
        } else if failed {
            self.opened_at_ms.push_back(now_ms);
        }
    }

    /// Takes in the number of open connections.
    pub fn report(&mut self, open: u32, now_ms: u64) {
        while self.opened_at_ms.front().is_some_and(|at_ms| at_ms + SECOND_MS <= now_ms) {
            self.opened_at_ms.pop_front();
        }
        for _ in self.open..open {
            self.opened_at_ms.push_back(now_ms);
            self.reported = (self.reported + 1).min(self.permitted);
        }
        self.open = open;
    }
}
