//! The state of all upstreams that an owner has used, and the choice among them.

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
    /// The slots that may be used.
    pub slots: u32,
    /// The slots that are free.
    pub free_slots: u32,
    /// The slots that paying requests hold.
    pub paying_slots: u32,
    /// When the first backed-off upstream may be tried again, in milliseconds.
    pub retry_at_ms: Option<u64>,
}

/// The state of each upstream, and the set of those that are leaving.
#[derive(Debug)]
pub struct UpstreamTable {
    table: Map<UpstreamKey, UpstreamState>,
    /// The upstreams that are leaving.
    pub leaving: LeavingSet,
    warm_up_enabled: bool,
}

impl UpstreamTable {
    /// Creates an empty table; `ramps` says whether cold upstreams start with fewer slots.
    pub fn new(ramps: bool) -> Self {
        Self { table: Map::default(), leaving: LeavingSet::default(), warm_up_enabled: ramps }
    }

    /// Returns the state of an upstream, creating it if absent.
    pub fn state_mut(&mut self, upstream: UpstreamKey) -> &mut UpstreamState {
        self.table.entry(upstream).or_default()
    }

    /// Returns the number of requests that may be running at an upstream.
    pub fn in_flight(&self, upstream: UpstreamKey) -> u32 {
        self.table.get(&upstream).map_or(0, UpstreamState::in_flight)
    }

    /// Expires lost calls and leaving upstreams, and drops the state of idle upstreams that are no
    /// longer configured.
    pub fn expire(&mut self, scope: AdmissionContext<'_>, now_ms: u64) {
        self.leaving.expire(scope.catalogue, now_ms);
        for upstream in self.table.values_mut() {
            upstream.expire_lost_calls(now_ms);
        }
        // An upstream that is configured again later starts cold.
        self.table.retain(|key, upstream| {
            upstream.in_flight() > 0 || scope.catalogue.upstreams.contains_key(key)
        });
    }

    /// Returns the load of the upstreams that this node may use, by service.
    ///
    /// Leaving upstreams don't count; a service with no others has no slots.
    pub fn loads(&self, scope: AdmissionContext<'_>, now_ms: u64) -> Vec<ServiceLoad> {
        let mut loads: Vec<ServiceLoad> = Vec::new();
        for (allowance, entry) in scope.upstreams() {
            let (slots, in_flight) = if self.is_leaving(allowance.upstream, scope) {
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
        scope: AdmissionContext<'_>,
        now_ms: u64,
    ) -> bool {
        scope
            .upstreams_of(service)
            .filter(|(allowance, _)| Some(allowance.upstream) != avoid)
            .filter(|(allowance, _)| !self.is_leaving(allowance.upstream, scope))
            .any(|(allowance, entry)| self.slots(allowance, entry, now_ms) > 0)
    }

    fn slots(&self, allowance: &Allowance, entry: &UpstreamEntry, now_ms: u64) -> u32 {
        let ramps = self.warm_up_enabled;
        match self.table.get(&allowance.upstream) {
            Some(upstream) => upstream.slots(allowance, entry, ramps, now_ms),
            None => UpstreamState::default().slots(allowance, entry, ramps, now_ms),
        }
    }

    /// Returns the combined capacity of a service's upstreams, without leaving ones.
    pub fn capacity(
        &self,
        service: ServiceKey,
        scope: AdmissionContext<'_>,
        now_ms: u64,
    ) -> ServiceCapacity {
        let mut capacity = ServiceCapacity::default();
        for (allowance, entry) in scope.upstreams_of(service) {
            capacity.may_send |= now_ms <= allowance.send_by_ms;
            if self.is_leaving(allowance.upstream, scope) {
                continue;
            }
            let slots = self.slots(allowance, entry, now_ms);
            capacity.slots += slots;
            capacity.free_slots += slots.saturating_sub(self.in_flight(allowance.upstream));
            if let Some(upstream) = self.table.get(&allowance.upstream) {
                capacity.paying_slots += upstream.running_paying();
                let retry_at_ms = upstream.retry_at_ms();
                capacity.retry_at_ms = retry_at_ms.into_iter().chain(capacity.retry_at_ms).min();
            }
        }
        capacity
    }

    /// Returns the upstream with the largest share of free slots. Ties go to the least recently used
    /// one, which keeps all of them warm.
    pub fn choose<'a>(
        &self,
        service: ServiceKey,
        avoid: Option<UpstreamKey>,
        scope: AdmissionContext<'a>,
        now_ms: u64,
    ) -> Option<ChosenUpstream<'a>> {
        scope
            .upstreams_of(service)
            .filter(|(allowance, _)| Some(allowance.upstream) != avoid)
            .filter(|(allowance, _)| !self.is_leaving(allowance.upstream, scope))
            .filter_map(|(allowance, entry)| {
                let slots = self.slots(allowance, entry, now_ms);
                let in_flight = self.in_flight(allowance.upstream);
                let upstream = self.table.get(&allowance.upstream);
                let may_open = match upstream {
                    Some(upstream) => upstream.permit(allowance, now_ms)?,
                    None => UpstreamState::default().permit(allowance, now_ms)?,
                };
                let sent_at_ms = upstream.map_or(0, UpstreamState::sent_at_ms);
                let taken = u64::from(in_flight) * 1_000 / u64::from(slots.max(1));
                let rank = (taken, sent_at_ms, allowance.upstream);
                (in_flight < slots).then_some((rank, ChosenUpstream { allowance, entry, may_open }))
            })
            .min_by_key(|(rank, _)| *rank)
            .map(|(_, choice)| choice)
    }

    fn is_leaving(&self, upstream: UpstreamKey, scope: AdmissionContext<'_>) -> bool {
        self.leaving.contains(upstream) || scope.catalogue.has_own_drain(upstream)
    }
}
