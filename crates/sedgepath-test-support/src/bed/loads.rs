//! Loads that arrive late or not at all, in datagrams that arrive in time.

use std::collections::{BTreeMap, VecDeque};

use sedgepath_core::key::VmKey;
use sedgepath_core::message::{Envelope, Message, ServiceLoad};

use super::faults::Faults;

/// What members have told of their loads.
#[derive(Debug, Default)]
pub(super) struct LoadHistory {
    told: BTreeMap<VmKey, VecDeque<(u64, Vec<ServiceLoad>)>>,
}

impl LoadHistory {
    /// Replaces the loads in a datagram by what the faults leave of them.
    pub(super) fn replace(&mut self, envelope: &mut Envelope, faults: &Faults, now_ms: u64) {
        let from = envelope.from;
        match &mut envelope.message {
            Message::Heartbeat(heartbeat) => {
                self.replace_of(from, &mut heartbeat.loads, faults, now_ms);
            }
            Message::Summary(summary) => {
                for line in &mut summary.members {
                    self.replace_of(line.vm, &mut line.loads, faults, now_ms);
                }
            }
            _ => {}
        }
    }

    fn replace_of(
        &mut self,
        vm: VmKey,
        loads: &mut Vec<ServiceLoad>,
        faults: &Faults,
        now_ms: u64,
    ) {
        if faults.loads_missing {
            loads.clear();
        }
        if faults.load_lag_ms == 0 {
            return;
        }
        let told = self.told.entry(vm).or_default();
        told.push_back((now_ms, loads.clone()));
        let lagged_ms = now_ms.saturating_sub(faults.load_lag_ms);
        while told.get(1).is_some_and(|later| later.0 <= lagged_ms) {
            told.pop_front();
        }
        if let Some((_, known)) = told.front() {
            loads.clone_from(known);
        }
    }
}
