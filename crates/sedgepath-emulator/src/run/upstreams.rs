//! Upstreams, their faults and what VMs learn of them.

use super::{AttemptResult, Event, Simulation, UPSTREAM_UPDATE_DELAY_MS};
use crate::scenario::FaultKind;
use crate::upstream::{Admission, Work};

impl Simulation<'_> {
    pub(super) fn deliver_attempt(&mut self, attempt: usize) {
        let sent = self.attempts[attempt];
        let work = Work { attempt, object: self.requests[sent.request].object };
        let upstream = &mut self.upstreams[sent.upstream];
        let epoch = upstream.epoch;
        match upstream.model.admit(work, self.now_ms, &mut self.random) {
            Admission::Started { until_ms } => {
                let completes = Event::WorkCompletes { upstream: sent.upstream, attempt, epoch };
                self.schedule(until_ms, completes);
            }
            Admission::Queued | Admission::Unanswered => {}
            Admission::Rejected => self.send_result(attempt, AttemptResult::Rejected),
            Admission::Failed => self.send_result(attempt, AttemptResult::Failed),
            Admission::Unreachable => self.send_result(attempt, AttemptResult::Unreachable),
        }
    }

    pub(super) fn complete_work(&mut self, index: usize, attempt: usize, epoch: u32) {
        if self.upstreams[index].epoch != epoch {
            return;
        }
        self.send_result(attempt, AttemptResult::Completed);
        let attempts = &self.attempts;
        let is_wanted = |work: Work| attempts[work.attempt].awaited;
        let upstream = &mut self.upstreams[index];
        let next = upstream.model.complete(self.now_ms, &mut self.random, is_wanted);
        if let Some((work, until_ms)) = next {
            let attempt = work.attempt;
            self.schedule(until_ms, Event::WorkCompletes { upstream: index, attempt, epoch });
        }
    }

    pub(super) fn send_result(&mut self, attempt: usize, result: AttemptResult) {
        let sent = self.attempts[attempt];
        let unresponsive = self.upstreams[sent.upstream].model.is_unresponsive();
        if unresponsive && result != AttemptResult::Unreachable {
            return;
        }
        let delay_ms = self.one_way_delay_ms(sent.vm, sent.upstream);
        self.schedule(self.now_ms + delay_ms, Event::ResponseArrives { attempt, result });
    }

    pub(super) fn change_fault(&mut self, index: usize, begins: bool) {
        let fault = self.scenario.faults[index];
        if let FaultKind::Burst(factor) = fault.kind {
            self.burst_factor = if begins { factor } else { 1.0 };
            return;
        }
        // Upstreams are ordered by failure domain, so an even step spreads the fault over domains.
        let step = (self.upstreams.len() / fault.upstreams.max(1)).max(1);
        for number in 0..fault.upstreams.min(self.upstreams.len()) {
            let upstream_index = (number * step) % self.upstreams.len();
            let upstream = &mut self.upstreams[upstream_index];
            let was_down = upstream.model.is_down();
            upstream.model.set_fault(begins.then_some(fault.kind), self.now_ms);
            if upstream.model.is_down() || was_down {
                upstream.epoch += 1;
                self.schedule(
                    self.now_ms + UPSTREAM_UPDATE_DELAY_MS,
                    Event::UpstreamUpdate { upstream: upstream_index },
                );
            }
        }
    }

    /// Tells all VMs that an upstream is down, or that it has restarted and is cold.
    pub(super) fn publish_upstream(&mut self, index: usize) {
        let upstream = &mut self.upstreams[index];
        let is_down = upstream.model.is_down();
        upstream.entry.sequence += 1;
        upstream.entry.cold_remaining_ms =
            self.scenario.upstreams.cold_start_ms.saturating_sub(UPSTREAM_UPDATE_DELAY_MS);
        upstream.entry.started_at_ms = Some(self.now_ms);
        let region = &self.scenario.regions[upstream.region].name;
        for vm in &mut self.vms {
            let upstreams = vm.steering.upstreams_mut();
            if is_down {
                upstreams.remove(&upstream.entry.name, self.now_ms);
            } else {
                upstreams.upsert(upstream.entry.clone(), region, self.now_ms);
            }
            vm.idle_since_ms[index].clear();
        }
    }
}
