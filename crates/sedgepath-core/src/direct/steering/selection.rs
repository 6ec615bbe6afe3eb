//! The choice of an upstream for a request, with a fallback if none is healthy.

use crate::key::VmKey;
use crate::rendezvous;

use super::Steering;
use crate::direct::attempts::RequestState;
use crate::direct::placement::{Candidate, PlacementQuery};
use crate::direct::upstreams::{Upstream, UpstreamKey};
use crate::direct::vms::VmDescriptor;

impl Steering {
    pub(super) fn choose(
        &self,
        request: &RequestState,
        random: u64,
        now_ms: u64,
    ) -> Option<Candidate> {
        let weights = self.config.weights;
        let query = PlacementQuery {
            weights,
            object: request.object.filter(|_| weights.object_affinity).unwrap_or(random),
            sticky: request.route.sticky && request.object.is_some() && weights.object_affinity,
            response_bytes: self.response_bytes.get(&request.route.name).copied().unwrap_or(0.0),
            domain: &self.location.domain,
            region: &self.location.region,
            other_region_rtt_ms: self.other_region_rtt_ms,
            times: self.times.get(&request.service).copied().unwrap_or_default(),
            evacuated: &self.evacuated_domains,
            home_regions: &request.route.home_regions,
            max_in_flight: self.max_in_flight(&request.service, now_ms),
            tried_upstreams: &request.tried_upstreams,
            now_ms,
        };
        let keys = self.upstreams.of_service(&request.service);
        let known = || keys.iter().filter_map(|key| Some((*key, self.upstreams.get(*key)?)));
        query.choose(known()).or_else(|| self.choose_fallback(&request.service, &query, known()))
    }

    /// Chooses an upstream when none is healthy: a cold one within its rate limit, or an unhealthy one
    /// without requests in flight.
    fn choose_fallback<'a>(
        &self,
        service: &str,
        query: &PlacementQuery<'_>,
        known: impl Iterator<Item = (UpstreamKey, &'a Upstream)>,
    ) -> Option<Candidate> {
        let now_ms = query.now_ms;
        let settings = self.service(service);
        let cold_per_s = settings.map_or(1.0, |settings| settings.cold_requests_per_s);
        let serving = self.vms.serving_vms(now_ms);
        let allowed = known.filter(|(key, upstream)| query.is_eligible(*key, upstream));
        let usable = allowed.filter(|(_, upstream)| {
            if upstream.is_cold(now_ms) {
                upstream.has_cold_capacity(cold_per_s, now_ms)
                    && self.may_send_cold(upstream, &serving)
            } else {
                upstream.in_flight == 0
            }
        });
        let first = usable.min_by(|(_, one), (_, other)| {
            let rate = |up: &Upstream| (up.ejected_until_ms, up.load(now_ms));
            let (one, other) = (rate(one), rate(other));
            one.0.cmp(&other.0).then(one.1.total_cmp(&other.1))
        })?;
        let work_ms = query.times.cold_ms;
        Some(Candidate {
            upstream: first.0,
            expected_ms: work_ms,
            wait_ms: 0.0,
            network_ms: 0.0,
            warm: false,
            rank: 0,
        })
    }

    /// Returns whether this VM is the one that may send to a cold upstream.
    ///
    /// The rate limit of a cold upstream holds for all VMs, so one VM of its failure domain sends, or
    /// one of its region, or any one. Each VM leaves part of the rate unused for two VMs with different
    /// views, and for a VM that restarts within a second.
    fn may_send_cold(&self, upstream: &Upstream, serving: &[&VmDescriptor]) -> bool {
        let near = |fits: &dyn Fn(&VmDescriptor) -> bool| -> Vec<VmKey> {
            let near = serving.iter().filter(|descriptor| fits(descriptor));
            near.map(|descriptor| descriptor.key()).collect()
        };
        let mut candidates = near(&|descriptor| descriptor.domain == upstream.entry.domain);
        if candidates.is_empty() {
            candidates = near(&|descriptor| descriptor.region == upstream.region);
        }
        if candidates.is_empty() {
            candidates = near(&|_| true);
        }
        rendezvous::owner(upstream.hash, &candidates) == Some(self.vms.key())
    }

    /// Returns this VM's share of the connections that an upstream accepts from all VMs.
    ///
    /// An upstream resets connections beyond its limit, and the requests on them may have run.
    pub(super) fn max_in_flight(&self, service: &str, now_ms: u64) -> u32 {
        let all = self.service(service).map_or(u32::MAX, |settings| settings.max_connections);
        (all / self.vms.sharing_vm_count(now_ms) as u32).max(1)
    }
}
