//! The load at an upstream from other VMs, by the upstream's reports and by what those VMs tell.
//!
//! A report counts all requests at the upstream, so statements of other VMs from before the newest
//! report are not added to it. It counts this VM's own requests and those of the VM that received
//! it, too. Both know how many they had in flight then and have now, so only the rest has to be
//! estimated: it decays, since requests end. Statements from after the newest report are a lower bound.
//!
//! Errors of a network delay make the estimate too low rather than count a request twice.

use std::collections::VecDeque;

use super::{LoadReport, Upstream};
use crate::direct::load_sharing::UpstreamLoad;
use crate::key::VmKey;

/// The half-life of the estimated load from other VMs, in milliseconds: about the time that a request
/// takes.
const LOAD_REPORT_HALF_LIFE_MS: f64 = 400.0;

/// The time for which what another VM tells is used, at most, in milliseconds.
const MAX_KNOWLEDGE_MS: u64 = 1_000;

/// The number of a VM's periods for which its statement is used: two messages may be lost.
const STATEMENT_PERIODS: u64 = 3;

/// The largest load per slot that is believed of other VMs. Upstreams queue fewer requests, and a false
/// figure mustn't make retry times long.
const MAX_TOLD_LOAD_PER_SLOT: f64 = 8.0;

/// The most VMs whose statements are kept for an upstream, more than send to one VM.
const MAX_STATEMENTS: usize = 16;

/// The most changes of the own requests in flight that are kept for an upstream.
const MAX_OWN_CHANGES: usize = 64;

/// A report that this VM has received from the upstream itself.
#[derive(Debug, Clone, Copy)]
pub struct OwnReport {
    /// The report.
    pub report: LoadReport,
    /// The number of this VM's requests in flight then.
    pub in_flight: u32,
    /// When it was received, in milliseconds.
    pub at_ms: u64,
}

/// A report that another VM has received.
#[derive(Debug, Clone, Copy)]
struct ToldReport {
    vm: VmKey,
    /// The load without the requests of that VM.
    others: f64,
    at_ms: u64,
}

/// What another VM states to have in flight.
#[derive(Debug, Clone, Copy)]
struct Statement {
    vm: VmKey,
    in_flight: u16,
    at_ms: u64,
    expires_at_ms: u64,
}

/// The number of own requests in flight from a time on.
#[derive(Debug, Clone, Copy)]
struct OwnChange {
    at_ms: u64,
    in_flight: u32,
}

/// What is known of the load at an upstream from other VMs.
#[derive(Debug)]
pub(super) struct ObservedLoad {
    /// The load from other VMs by this VM's last report or rejection.
    others: f64,
    observed_at_ms: u64,
    own_report: Option<OwnReport>,
    told_report: Option<ToldReport>,
    statements: Vec<Statement>,
    /// The changes of the last [`MAX_KNOWLEDGE_MS`] and the one before, oldest first.
    own_changes: VecDeque<OwnChange>,
}

impl ObservedLoad {
    pub(super) fn new(now_ms: u64) -> Self {
        Self {
            others: 0.0,
            observed_at_ms: now_ms,
            own_report: None,
            told_report: None,
            statements: Vec::new(),
            own_changes: VecDeque::new(),
        }
    }

    /// Records a change of the number of own requests in flight.
    pub(super) fn record_in_flight(&mut self, in_flight: u32, now_ms: u64) {
        if let Some(last) = self.own_changes.back_mut()
            && last.at_ms == now_ms
        {
            last.in_flight = in_flight;
            return;
        }
        let is_outdated = |next: &OwnChange| next.at_ms + MAX_KNOWLEDGE_MS <= now_ms;
        while self.own_changes.len() >= MAX_OWN_CHANGES
            || self.own_changes.get(1).is_some_and(is_outdated)
        {
            self.own_changes.pop_front();
        }
        self.own_changes.push_back(OwnChange { at_ms: now_ms, in_flight });
    }

    /// Records a report of the upstream, received with this number of own requests in flight.
    pub(super) fn record_report(&mut self, report: LoadReport, in_flight: u32, now_ms: u64) {
        let total = f64::from(report.running) + f64::from(report.waiting);
        self.others = (total - f64::from(in_flight)).max(0.0);
        self.observed_at_ms = now_ms;
        self.own_report = Some(OwnReport { report, in_flight, at_ms: now_ms });
    }

    /// Records that the upstream is full, with at least this load from other VMs.
    pub(super) fn record_full(&mut self, others: f64, now_ms: u64) {
        self.others = self.others.max(others);
        self.observed_at_ms = now_ms;
    }

    /// Returns the estimated load from other VMs at an upstream with this number of slots.
    pub(super) fn others(&self, slots: u32, now_ms: u64) -> f64 {
        let max = f64::from(slots.max(1)) * MAX_TOLD_LOAD_PER_SLOT;
        let (by_report, reported_at_ms) = match self.newest_told_report(now_ms) {
            Some(told) => {
                let own = f64::from(self.own_in_flight_at(told.at_ms));
                let rest = decayed((told.others - own).max(0.0), told.at_ms, now_ms);
                ((rest + self.stated_by(told.vm, now_ms)).min(max), told.at_ms)
            }
            None => (decayed(self.others, self.observed_at_ms, now_ms), self.observed_at_ms),
        };
        let stated = self.valid_statements(now_ms);
        let since_report = stated.filter(|statement| statement.at_ms >= reported_at_ms);
        let stated: f64 = since_report.map(|statement| f64::from(statement.in_flight)).sum();
        by_report.max(stated.min(max))
    }

    /// Returns when the newest report or rejection was received, by this VM or another one, in
    /// milliseconds.
    pub(super) fn observed_at_ms(&self, now_ms: u64) -> u64 {
        self.newest_told_report(now_ms).map_or(self.observed_at_ms, |told| told.at_ms)
    }

    /// Returns the age of the newest that other VMs have told, in milliseconds, if any is used.
    fn told_age_ms(&self, now_ms: u64) -> Option<u64> {
        let report = self.newest_told_report(now_ms).map(|told| told.at_ms);
        let statements = self.valid_statements(now_ms).map(|statement| statement.at_ms);
        Some(now_ms.saturating_sub(statements.chain(report).max()?))
    }

    /// Returns the newest report that another VM has told, if it is newer than the own ones.
    fn newest_told_report(&self, now_ms: u64) -> Option<ToldReport> {
        self.told_report.filter(|told| {
            told.at_ms > self.observed_at_ms && now_ms < told.at_ms + MAX_KNOWLEDGE_MS
        })
    }

    fn valid_statements(&self, now_ms: u64) -> impl Iterator<Item = &Statement> {
        self.statements.iter().filter(move |statement| now_ms < statement.expires_at_ms)
    }

    fn stated_by(&self, vm: VmKey, now_ms: u64) -> f64 {
        let of_vm = self.valid_statements(now_ms).find(|statement| statement.vm == vm);
        of_vm.map_or(0.0, |statement| f64::from(statement.in_flight))
    }

    /// Returns the number of own requests that were in flight at a time.
    fn own_in_flight_at(&self, at_ms: u64) -> u32 {
        let until = self.own_changes.partition_point(|change| change.at_ms <= at_ms);
        // Of a time before the first known change, that is the nearest one.
        self.own_changes.get(until.saturating_sub(1)).map_or(0, |change| change.in_flight)
    }

    fn receive(&mut self, vm: VmKey, entry: &UpstreamLoad, period_ms: u16, now_ms: u64) {
        self.statements.retain(|statement| statement.vm != vm && now_ms < statement.expires_at_ms);
        if entry.in_flight > 0 && self.statements.len() < MAX_STATEMENTS {
            let used_for_ms = (u64::from(period_ms) * STATEMENT_PERIODS).min(MAX_KNOWLEDGE_MS);
            self.statements.push(Statement {
                vm,
                in_flight: entry.in_flight,
                at_ms: now_ms,
                expires_at_ms: now_ms + used_for_ms,
            });
        }
        if let Some(report) = entry.report
            && let Some(at_ms) = now_ms.checked_sub(report.age_ms.into())
            && self.told_report.is_none_or(|last| last.at_ms < at_ms)
        {
            let total = f64::from(report.running) + f64::from(report.waiting);
            let others = (total - f64::from(report.in_flight)).max(0.0);
            self.told_report = Some(ToldReport { vm, others, at_ms });
        }
    }

    fn forget(&mut self, vm: VmKey) {
        self.statements.retain(|statement| statement.vm != vm);
        self.told_report = self.told_report.filter(|told| told.vm != vm);
    }
}

impl Upstream {
    /// Returns the newest report that this VM has received from the upstream itself.
    pub fn own_report(&self) -> Option<OwnReport> {
        self.observed_load.own_report
    }

    /// Returns the age of the newest that other VMs have told of the load, in milliseconds, if any is used.
    pub fn told_load_age_ms(&self, now_ms: u64) -> Option<u64> {
        self.observed_load.told_age_ms(now_ms)
    }

    /// Records what another VM tells of the load and the pace.
    pub fn receive_load(&mut self, vm: VmKey, entry: &UpstreamLoad, period_ms: u16, now_ms: u64) {
        self.observed_load.receive(vm, entry, period_ms, now_ms);
        if let Some(report) = entry.report.filter(|report| report.pace_percent > 0) {
            let reported_at_ms = now_ms.saturating_sub(report.age_ms.into());
            self.record_pace(report.pace_percent.into(), reported_at_ms);
        }
    }

    /// Forgets what a VM has told, since its process has ended.
    pub fn forget_load_of(&mut self, vm: VmKey) {
        self.observed_load.forget(vm);
    }
}

fn decayed(load: f64, at_ms: u64, now_ms: u64) -> f64 {
    load * 0.5_f64.powf(now_ms.saturating_sub(at_ms) as f64 / LOAD_REPORT_HALF_LIFE_MS)
}
