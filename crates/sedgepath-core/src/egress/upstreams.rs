//! The state of all upstreams that this node has used, and the choice among them.

use super::context::AdmissionContext;
use super::leaving::LeavingSet;
use super::upstream::UpstreamState;
use crate::allowance::Allowance;
use crate::catalogue::UpstreamEntry;
use crate::hash::Map;
use crate::key::{ServiceKey, UpstreamKey};
use crate::message::ServiceLoad;

/// The upstream chosen for a request.
#[derive(Debug, Clone, Copy)]
pub struct ChosenUpstream<'a> {
    /// The node's allowance for the upstream.
    pub allowance: &'a Allowance,
    /// The upstream as configured.
    pub entry: &'a UpstreamEntry,
    /// Whether a connection may be opened.
    pub may_open: bool,
}

/// The combined capacity of the upstreams of a service.
#[derive(Debug, Default, Clone, Copy)]
pub struct ServiceCapacity {
    /// Whether this node may send to any of the upstreams.
    pub may_send: bool,
    /// The slots that this node may use now, including those in use.
    pub slots: u32,
    /// The free ones of these slots; a lost call counts as using its slot.
    pub free_slots: u32,
    /// The slots used by paying requests.
    pub slots_used_by_paying: u32,
    /// When the first backed-off upstream may be tried again, in milliseconds.
    pub retry_at_ms: Option<u64>,
}

/// The state of each upstream, and the set of those that are leaving.
#[derive(Debug)]
pub struct UpstreamTable {
    states: Map<UpstreamKey, UpstreamState>,
    /// The upstreams known to be leaving from reports and notices rather than a drain record.
    pub leaving: LeavingSet,
    warm_up_enabled: bool,
}

impl UpstreamTable {
    /// Creates an empty table; `warm_up_enabled` says whether cold upstreams start with fewer
    /// slots.
    pub fn new(warm_up_enabled: bool) -> Self {
        Self { states: Map::default(), leaving: LeavingSet::default(), warm_up_enabled }
    }

    /// Returns the state of an upstream, creating it if absent.
    pub fn state_mut(&mut self, upstream: UpstreamKey) -> &mut UpstreamState {
        self.states.entry(upstream).or_default()
    }

    /// Returns the number of requests that may be running at an upstream, including lost calls.
    pub fn in_flight(&self, upstream: UpstreamKey) -> u32 {
        self.states.get(&upstream).map_or(0, UpstreamState::in_flight)
    }

    /// Removes expired lost calls and leaving marks, and the state of upstreams that are no longer
    /// configured and have no requests in flight.
    pub fn expire(&mut self, context: AdmissionContext<'_>, now_ms: u64) {
        self.leaving.expire(context.catalogue, now_ms);
        for upstream in self.states.values_mut() {
            upstream.expire_lost_calls(now_ms);
        }
        // An upstream that is configured again later starts cold.
        self.states.retain(|key, upstream| {
            upstream.in_flight() > 0 || context.catalogue.upstreams.contains_key(key)
        });
    }

    /// Returns the load of the upstreams that this node may use, by service.
    ///
    /// Leaving upstreams are not counted; a service that has only leaving upstreams is reported
    /// with 0 slots.
    pub fn loads(&self, context: AdmissionContext<'_>, now_ms: u64) -> Vec<ServiceLoad> {
        let mut loads: Vec<ServiceLoad> = Vec::new();
        for (allowance, entry) in context.upstreams() {
            let (slots, in_flight) = if self.is_leaving(allowance.upstream, context) {
                (0, 0)
            } else {
                (self.slots(allowance, entry, now_ms), self.in_flight(allowance.upstream))
            };
            match loads.iter_mut().find(|load| load.service == entry.service) {
                Some(load) => {
                    load.slots += slots;
                    load.in_flight += in_flight;
                }
                None => loads.push(ServiceLoad { service: entry.service, slots, in_flight }),
            }
        }
        loads
    }

    /// Returns whether a service has a usable upstream other than `avoid`.
    pub fn is_usable(
        &self,
        service: ServiceKey,
        avoid: Option<UpstreamKey>,
        context: AdmissionContext<'_>,
        now_ms: u64,
    ) -> bool {
        context
            .upstreams_of(service)
            .filter(|(allowance, _)| Some(allowance.upstream) != avoid)
            .filter(|(allowance, _)| !self.is_leaving(allowance.upstream, context))
            .any(|(allowance, entry)| self.slots(allowance, entry, now_ms) > 0)
    }

    fn slots(&self, allowance: &Allowance, entry: &UpstreamEntry, now_ms: u64) -> u32 {
        let warm_up_enabled = self.warm_up_enabled;
        match self.states.get(&allowance.upstream) {
            Some(upstream) => upstream.slots(allowance, entry, warm_up_enabled, now_ms),
            None => UpstreamState::default().slots(allowance, entry, warm_up_enabled, now_ms),
        }
    }

    /// Returns the combined capacity of a service's upstreams, without leaving ones.
    pub fn capacity(
        &self,
        service: ServiceKey,
        context: AdmissionContext<'_>,
        now_ms: u64,
    ) -> ServiceCapacity {
        let mut capacity = ServiceCapacity::default();
        for (allowance, entry) in context.upstreams_of(service) {
            capacity.may_send |= now_ms <= allowance.send_by_ms;
            if self.is_leaving(allowance.upstream, context) {
                continue;
            }
            let slots = self.slots(allowance, entry, now_ms);
            capacity.slots += slots;
            capacity.free_slots += slots.saturating_sub(self.in_flight(allowance.upstream));
            if let Some(upstream) = self.states.get(&allowance.upstream) {
                capacity.slots_used_by_paying += upstream.running_paying();
                let retry_at_ms = upstream.retry_at_ms();
                capacity.retry_at_ms = retry_at_ms.into_iter().chain(capacity.retry_at_ms).min();
            }
        }
        capacity
    }

    /// Returns the upstream with a free slot and the smallest fraction of its slots in use. Of
    /// several such upstreams the least recently used one is chosen, which keeps all of them warm.
    pub fn choose<'a>(
        &self,
        service: ServiceKey,
        avoid: Option<UpstreamKey>,
        context: AdmissionContext<'a>,
        now_ms: u64,
    ) -> Option<ChosenUpstream<'a>> {
        context
            .upstreams_of(service)
            .filter(|(allowance, _)| Some(allowance.upstream) != avoid)
            .filter(|(allowance, _)| !self.is_leaving(allowance.upstream, context))
            .filter_map(|(allowance, entry)| {
                let slots = self.slots(allowance, entry, now_ms);
                let in_flight = self.in_flight(allowance.upstream);
                let upstream = self.states.get(&allowance.upstream);
                let may_open = match upstream {
                    Some(upstream) => upstream.permit(allowance, now_ms)?,
                    None => UpstreamState::default().permit(allowance, now_ms)?,
                };
                let sent_at_ms = upstream.map_or(0, UpstreamState::sent_at_ms);
                let used_permille = u64::from(in_flight) * 1_000 / u64::from(slots.max(1));
                let rank = (used_permille, sent_at_ms, allowance.upstream);
                (in_flight < slots).then_some((rank, ChosenUpstream { allowance, entry, may_open }))
            })
            .min_by_key(|(rank, _)| *rank)
            .map(|(_, choice)| choice)
    }

    fn is_leaving(&self, upstream: UpstreamKey, context: AdmissionContext<'_>) -> bool {
        self.leaving.contains(upstream) || context.catalogue.has_own_drain(upstream)
    }
}
