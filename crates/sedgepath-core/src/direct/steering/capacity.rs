//! The demand for services and hot objects in the course of a request, and the weights that follow.

use std::net::IpAddr;

use super::Steering;
use crate::direct::attempts::RequestState;
use crate::direct::demand::{CallerRequest, DemandKey, DemandTable, ServiceKey};
use crate::direct::hot_objects::{HotObjects, ObjectKey, UpstreamCapacity};
use crate::direct::placement::{
    CANDIDATE_COUNT, Candidate, PlacementQuery, PlacementWeights, is_large,
};
use crate::direct::regional_capacity::{
    ProximityWeights, RegionDemand, RegionalCapacity, UsableSlots,
};
use crate::direct::upstreams::{Upstream, UpstreamKey};
use crate::hash::{Digest, Map};
use crate::rendezvous;

/// The time between two counts of the VMs that look-ups name, in milliseconds.
const NAMED_VMS_INTERVAL_MS: u64 = 1_000;

/// The numbers of VMs that look-ups name.
#[derive(Debug, Default)]
struct NamedVms {
    in_domain: usize,
    in_region: usize,
    update_at_ms: u64,
}

/// The demand of the region, and what follows from it.
#[derive(Debug, Default)]
pub(super) struct CapacityState {
    pub(super) demand: DemandTable,
    regional: RegionalCapacity,
    hot_objects: HotObjects,
    named_vms: NamedVms,
    /// What one upstream carries, by service and whether responses are large.
    upstream_capacities: Map<DemandKey, UpstreamCapacity>,
}

impl Steering {
    /// Returns the demand of this VM's callers, and of other VMs of the region.
    pub fn demand(&self) -> &DemandTable {
        &self.capacity.demand
    }

    /// Returns a mutable reference to the demand, to record the reports of other VMs.
    pub fn demand_mut(&mut self) -> &mut DemandTable {
        &mut self.capacity.demand
    }

    /// Returns the shares of its own demand that the region serves.
    pub fn regional_capacity(&self) -> &RegionalCapacity {
        &self.capacity.regional
    }

    /// Returns a mutable reference to the shares, to take their changes.
    pub fn regional_capacity_mut(&mut self) -> &mut RegionalCapacity {
        &mut self.capacity.regional
    }

    /// Returns the objects with the highest request rates.
    pub fn hot_objects(&self) -> &HotObjects {
        &self.capacity.hot_objects
    }

    /// Returns a mutable reference to the hot objects, to take their changes.
    pub fn hot_objects_mut(&mut self) -> &mut HotObjects {
        &mut self.capacity.hot_objects
    }

    /// Returns the demand of the region's callers for a service.
    pub fn region_demand(&self, service: ServiceKey, now_ms: u64) -> RegionDemand {
        let CapacityState { demand, named_vms, .. } = &self.capacity;
        let locality = |address| self.vms.locality_of(address);
        let in_domain =
            |address| locality(address).is_some_and(|(domain, _)| *domain == *self.location.domain);
        // Only reports of VMs that are known to be in the region are accepted; one may be forgotten since.
        let in_region =
            |address| locality(address).is_none_or(|(_, region)| *region == *self.location.region);
        let small = DemandKey { service, large_responses: false };
        let large = DemandKey { service, large_responses: true };
        RegionDemand {
            region_per_s: demand.total_per_s(small, in_region, named_vms.in_region, now_ms),
            region_large_per_s: demand.total_per_s(large, in_region, named_vms.in_region, now_ms),
            domain_large_per_s: demand.total_per_s(large, in_domain, named_vms.in_domain, now_ms),
        }
    }

    /// Counts a request of this VM's callers, and updates the weights of its service if that is due.
    pub(super) fn record_demand(&mut self, request: &RequestState, now_ms: u64) {
        let key = self.demand_key(request);
        let caller_request = caller_request(request, key);
        let is_counted = self.capacity.demand.record_request(key, caller_request, now_ms);
        let max = max_weights(&self.config.weights);
        if self.capacity.regional.is_update_due(&request.service, max, now_ms) {
            self.update_capacity(&request.service, key.service, now_ms);
        }
        let Some(object) =
            hot_object_key(request, key).filter(|_| self.config.capacity.hot_objects)
        else {
            return;
        };
        if is_counted {
            self.capacity.hot_objects.record_request(object, now_ms);
        }
        if let Some(capacity) = self.capacity.upstream_capacities.get(&key) {
            self.capacity.hot_objects.update(object, *capacity, now_ms);
        }
    }

    /// Records that a request of this VM's callers is rejected, so that its caller may return.
    pub(super) fn record_rejected_demand(&mut self, request: &RequestState, now_ms: u64) {
        if request.is_forwarded {
            return;
        }
        let caller_request = caller_request(request, self.demand_key(request));
        self.capacity.demand.record_rejection(caller_request, request.arrived_at_ms, now_ms);
    }

    /// Records the time of a request that found a free slot.
    pub(super) fn record_work(&mut self, request: &RequestState, took_ms: f64) {
        let large = self.has_large_responses(request);
        let max = max_weights(&self.config.weights);
        self.capacity.regional.record_work(&request.service, large, took_ms, max);
    }

    /// Returns the parameters of the choice of an upstream for a request.
    pub(super) fn placement_weights(&self, request: &RequestState) -> PlacementWeights {
        let mut weights = self.config.weights;
        let max = max_weights(&weights);
        let proximity = self.capacity.regional.weights(&request.service, max);
        weights.own_region_weight = proximity.own_region;
        weights.large_response_domain_weight = proximity.large_response_domain;
        if let Some(needed) = self.needed_upstreams(request) {
            weights.candidate_count = weights.candidate_count.max(needed);
            // The object's demand needs its upstreams' caches anyway.
            weights.spill_cost_ms = 0.0;
        }
        weights
    }

    /// Chooses an upstream with a free slot for a request of a hot object, if one of the object's
    /// candidates has one.
    pub(super) fn choose_free_slot<'a>(
        &self,
        request: &RequestState,
        query: &PlacementQuery<'_>,
        upstreams: impl Iterator<Item = (UpstreamKey, &'a Upstream)>,
    ) -> Option<Candidate> {
        self.needed_upstreams(request)?;
        let candidates = query.first_ranked(upstreams);
        let has_free_slot = |(_, upstream): &(UpstreamKey, &Upstream)| {
            upstream.load(query.now_ms) + 1.0 <= f64::from(upstream.entry.slots)
        };
        query.choose(candidates.into_iter().filter(has_free_slot))
    }

    /// Returns the number of upstreams that the demand for a request's object needs, if it is hot.
    fn needed_upstreams(&self, request: &RequestState) -> Option<usize> {
        let weights = &self.config.weights;
        if !weights.object_affinity || weights.candidate_count < CANDIDATE_COUNT {
            return None;
        }
        self.capacity.hot_objects.needed(hot_object_key(request, self.demand_key(request))?)
    }

    fn demand_key(&self, request: &RequestState) -> DemandKey {
        let large_responses = self.has_large_responses(request);
        DemandKey { service: ServiceKey::of(&request.service), large_responses }
    }

    fn has_large_responses(&self, request: &RequestState) -> bool {
        self.response_bytes.get(&request.route.name).is_some_and(|bytes| is_large(*bytes))
    }

    fn update_capacity(&mut self, service: &str, key: ServiceKey, now_ms: u64) {
        if now_ms >= self.capacity.named_vms.update_at_ms {
            self.capacity.named_vms = self.count_named_vms(now_ms);
        }
        let demand = self.region_demand(key, now_ms);
        let (slots, mean_slots) = self.usable_slots(service, now_ms);
        let weights = self.config.weights;
        if self.config.capacity.regional_weights {
            let max = max_weights(&weights);
            self.capacity.regional.update(service, &slots, demand, max, now_ms);
        }
        for (large_responses, region_per_s) in
            [(false, demand.region_per_s), (true, demand.region_large_per_s)]
        {
            let key = DemandKey { service: key, large_responses };
            let known_ms = self.capacity.regional.work_ms(service, large_responses);
            let warm_ms =
                || self.service_times.get(service).copied().unwrap_or_default().work_ms(true);
            let work_ms = known_ms.unwrap_or_else(warm_ms).max(1.0);
            let own_per_s = self.capacity.demand.own_per_s(key, now_ms);
            let region_factor = if own_per_s > 0.0 { region_per_s / own_per_s } else { 1.0 };
            let requests_per_s = mean_slots * 1_000.0 / work_ms;
            let capacity = UpstreamCapacity { requests_per_s, region_factor };
            self.capacity.upstream_capacities.insert(key, capacity);
        }
    }

    /// Returns the slots of a service's usable upstreams, and their mean number per upstream.
    fn usable_slots(&self, service: &str, now_ms: u64) -> (UsableSlots, f64) {
        let mut usable = UsableSlots::default();
        let (mut all_slots, mut count) = (0.0, 0.0);
        let keys = self.upstreams.of_service(service).iter();
        for upstream in keys.filter_map(|key| self.upstreams.get(*key)) {
            if upstream.is_leaving()
                || upstream.is_cold(now_ms)
                || upstream.ejected_until_ms > now_ms
                || self.evacuated_domains.contains(&upstream.entry.domain)
            {
                continue;
            }
            let slots = f64::from(upstream.entry.slots.max(1));
            all_slots += slots;
            count += 1.0;
            if upstream.region != self.location.region {
                match usable.other_regions.get_mut(&upstream.region) {
                    Some(sum) => *sum += slots,
                    None => drop(usable.other_regions.insert(upstream.region.clone(), slots)),
                }
                continue;
            }
            usable.region += slots;
            if upstream.entry.domain == self.location.domain {
                usable.domain += slots;
            }
        }
        (usable, if count > 0.0 { all_slots / count } else { 1.0 })
    }

    fn count_named_vms(&self, now_ms: u64) -> NamedVms {
        let location = &self.location;
        let named_in = |domain: &str| self.vms.named_in_domain(domain, &location.region, now_ms);
        let others = location
            .regions
            .iter()
            .filter(|(domain, region)| **region == location.region && **domain != location.domain);
        let in_domain = named_in(&location.domain).max(1);
        NamedVms {
            in_domain,
            in_region: in_domain + others.map(|(domain, _)| named_in(domain)).sum::<usize>(),
            update_at_ms: now_ms + NAMED_VMS_INTERVAL_MS,
        }
    }
}

fn max_weights(weights: &PlacementWeights) -> ProximityWeights {
    ProximityWeights {
        own_region: weights.own_region_weight,
        large_response_domain: weights.large_response_domain_weight,
    }
}

fn hot_object_key(request: &RequestState, key: DemandKey) -> Option<ObjectKey> {
    Some(ObjectKey { service: key.service, object: request.object? })
}

/// Returns the caller, by its client account or else its address, with what it requests.
fn caller_request(request: &RequestState, key: DemandKey) -> CallerRequest {
    let caller = match (&request.account, request.caller) {
        (Some((_, account)), _) => account.key.0,
        (None, Some(IpAddr::V4(address))) => u64::from(address.to_bits()),
        (None, Some(IpAddr::V6(address))) => Digest::of(&[&address.octets()]).to_u64(),
        (None, None) => 0,
    };
    let of_service = rendezvous::score(caller, key.service.0);
    CallerRequest(rendezvous::score(of_service, request.object.unwrap_or(0)))
}
