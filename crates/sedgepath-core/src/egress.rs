//! The owner's side: which upstream runs a request that a peer has handed over.

use crate::allowance::Allowance;
use crate::catalogue::Catalogue;
use crate::event::{Action, UpstreamReport};
use crate::hash::Map;
use crate::key::{ExchangeKey, UpstreamKey};
use crate::message::ServiceLoad;
use crate::outbox::Outbox;
use crate::request::{CallEnd, Dispatch, Reason, Refusal};

/// When a caller that found no upstream should come back, in milliseconds.
const RETRY_AFTER_MS: u64 = 500;

/// A dispatch that runs at an upstream.
#[derive(Debug)]
struct Call {
    upstream: UpstreamKey,
}

/// What the owner knows of an upstream.
#[derive(Debug, Default)]
struct UpstreamState {
    in_flight: u32,
}

/// The upstreams that this node may use and what runs there.
#[derive(Debug, Default)]
pub struct Egress {
    calls: Map<ExchangeKey, Call>,
    upstreams: Map<UpstreamKey, UpstreamState>,
}

impl Egress {
    /// Takes over a dispatched request.
    pub fn dispatch(
        &mut self,
        exchange: ExchangeKey,
        dispatch: &Dispatch,
        allowances: &[Allowance],
        catalogue: &Catalogue,
        out: &mut Outbox,
    ) {
        let Some(allowance) = self.choose(dispatch, allowances, catalogue) else {
            let refusal = Refusal { reason: Reason::NoUpstream, retry_after_ms: RETRY_AFTER_MS };
            out.push(Action::Refuse { exchange, refusal });
            return;
        };
        let upstream = allowance.upstream;
        let entry = &catalogue.upstreams[&upstream];
        self.upstreams.entry(upstream).or_default().in_flight += 1;
        self.calls.insert(exchange, Call { upstream });
        let deadline_at_ms = out.now_ms() + dispatch.remaining_ms;
        out.push(Action::CallUpstream {
            exchange,
            upstream,
            domain: entry.domain,
            address: entry.address,
            may_open: true,
            send_by_ms: allowance.send_by_ms.min(deadline_at_ms),
            deadline_at_ms,
        });
    }

    /// Takes in the end of a call.
    pub fn call_ended(&mut self, exchange: ExchangeKey, _end: CallEnd) {
        let Some(call) = self.calls.remove(&exchange) else {
            return;
        };
        if let Some(state) = self.upstreams.get_mut(&call.upstream) {
            state.in_flight = state.in_flight.saturating_sub(1);
        }
    }

    /// Returns the requests that may run at an upstream.
    pub fn in_flight(&self, upstream: UpstreamKey) -> u32 {
        self.upstreams.get(&upstream).map_or(0, |state| state.in_flight)
    }

    /// Returns the number of dispatches that run at upstreams.
    pub fn calls_in_flight(&self) -> usize {
        self.calls.len()
    }

    /// Takes in an upstream's word on its load.
    pub fn take_report(&mut self, _upstream: UpstreamKey, _report: UpstreamReport) {}

    /// Returns the load of the upstreams that this node may use, by service.
    pub fn loads(&self, allowances: &[Allowance], catalogue: &Catalogue) -> Vec<ServiceLoad> {
        let mut loads: Vec<ServiceLoad> = Vec::new();
        for allowance in allowances {
            let Some(entry) = catalogue.upstreams.get(&allowance.upstream) else { continue };
            let in_flight =
                self.upstreams.get(&allowance.upstream).map_or(0, |state| state.in_flight);
            match loads.iter_mut().find(|load| load.service == entry.service) {
                Some(load) => {
                    load.slots += allowance.slots;
                    load.in_flight += in_flight;
                }
                None => loads.push(ServiceLoad {
                    service: entry.service,
                    slots: allowance.slots,
                    in_flight,
                }),
            }
        }
        loads
    }

    fn choose<'a>(
        &self,
        dispatch: &Dispatch,
        allowances: &'a [Allowance],
        catalogue: &Catalogue,
    ) -> Option<&'a Allowance> {
        allowances
            .iter()
            .filter(|allowance| self.in_flight(allowance.upstream) < allowance.slots)
            .filter(|allowance| {
                catalogue.upstreams[&allowance.upstream].service == dispatch.service
            })
            .filter(|allowance| Some(allowance.upstream) != dispatch.avoid)
            .min_by_key(|allowance| (self.in_flight(allowance.upstream), allowance.upstream))
    }
}
