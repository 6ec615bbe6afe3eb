//! Delays or removes the loads in datagrams that are themselves delivered on time.

use std::collections::{BTreeMap, VecDeque};

use sedgepath_core::key::VmKey;
use sedgepath_core::message::{Envelope, Message, ServiceLoad};

use super::faults::Faults;

/// The loads that members have reported.
#[derive(Debug, Default)]
pub(super) struct LoadHistory {
    reported: BTreeMap<VmKey, VecDeque<(u64, Vec<ServiceLoad>)>>,
}

impl LoadHistory {
    /// Applies the load faults to a datagram.
    pub(super) fn apply_faults(&mut self, envelope: &mut Envelope, faults: &Faults, now_ms: u64) {
        let from = envelope.from;
        match &mut envelope.message {
            Message::Heartbeat(heartbeat) => {
                self.replace_loads(from, &mut heartbeat.loads, faults, now_ms);
            }
            Message::Summary(summary) => {
                for member in &mut summary.members {
                    self.replace_loads(member.vm, &mut member.loads, faults, now_ms);
                }
            }
            _ => {}
        }
    }

    fn replace_loads(
        &mut self,
        vm: VmKey,
        loads: &mut Vec<ServiceLoad>,
        faults: &Faults,
        now_ms: u64,
    ) {
        if faults.omit_loads {
            loads.clear();
        }
        if faults.load_delay_ms == 0 {
            return;
        }
        let reported = self.reported.entry(vm).or_default();
        reported.push_back((now_ms, loads.clone()));
        let as_of_ms = now_ms.saturating_sub(faults.load_delay_ms);
        while reported.get(1).is_some_and(|later| later.0 <= as_of_ms) {
            reported.pop_front();
        }
        if let Some((_, delayed)) = reported.front() {
            loads.clone_from(delayed);
        }
    }
}
