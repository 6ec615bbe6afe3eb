//! The choice of an upstream for a request, with a fallback if none is healthy.

use crate::rendezvous;

use super::serving_keys::ServingKeys;
use super::{NO_UPSTREAM_RETRY_AFTER_MS, Steering};
use crate::direct::attempts::{RejectionReason, RequestState};
use crate::direct::placement::{Candidate, FinishLimits, PlacementQuery};
use crate::direct::upstreams::{IncarnationKey, Upstream, UpstreamKey};

/// The shortest delay that a caller is told when all upstreams are at their rate limits, in
/// milliseconds: other callers wait for the same request.
const MIN_LIMIT_RETRY_AFTER_MS: u64 = 400;

/// The longest such delay, in milliseconds.
const MAX_LIMIT_RETRY_AFTER_MS: u64 = 2_000;

/// The spread of the delays that callers are told while all upstreams pause, in milliseconds, so that
/// they don't all return at the end of the first pause.
const PAUSE_RETRY_SPREAD_MS: u64 = 500;

impl Steering {
    /// Chooses an upstream for a request, or returns `None` if no upstream is usable.
    pub(super) fn choose(
        &self,
        request: &RequestState,
        random: u64,
        now_ms: u64,
    ) -> Option<Candidate> {
        let query = self.placement_query(request, random, now_ms);
        let keys = self.upstreams.of_service(&request.service);
        let upstreams = || keys.iter().filter_map(|key| Some((*key, self.upstreams.get(*key)?)));
        self.choose_free_slot(request, &query, upstreams())
            .or_else(|| query.choose(upstreams()))
            .or_else(|| self.choose_fallback(&request.service, &query, upstreams()))
    }

    /// Returns the rejection of a request for which there is no upstream, with the time until the first
    /// one may get it.
    pub(super) fn no_upstream(
        &self,
        request: &RequestState,
        random: u64,
        now_ms: u64,
    ) -> (RejectionReason, u64) {
        let query = self.placement_query(request, 0, now_ms);
        let keys = self.upstreams.of_service(&request.service).iter();
        let upstreams = keys.filter_map(|key| Some((*key, self.upstreams.get(*key)?)));
        let (mut unpaused, mut pause_ends_at_ms) = (Vec::new(), Vec::new());
        for (_, upstream) in
            upstreams.filter(|(key, upstream)| query.is_permitted_after_pause(*key, upstream))
        {
            match upstream.pause_ends_at_ms(now_ms) {
                None => unpaused.push(upstream.incarnation),
                Some(at_ms) => pause_ends_at_ms.push(at_ms),
            }
        }
        let after_pause = pause_ends_at_ms.into_iter().min().map(|at_ms| {
            let spread_ms = random % PAUSE_RETRY_SPREAD_MS;
            (RejectionReason::UpstreamsPaused, at_ms - now_ms + spread_ms)
        });
        let without_pause = self.unpaused_rejection(unpaused, now_ms);
        let first = without_pause.into_iter().chain(after_pause).min_by_key(|(_, ms)| *ms);
        first.unwrap_or((RejectionReason::NoUpstream, NO_UPSTREAM_RETRY_AFTER_MS))
    }

    /// Returns the rejection of a request that some upstreams may get apart from their rate limits and
    /// health; `None` if there are none.
    fn unpaused_rejection(
        &self,
        upstreams: Vec<IncarnationKey>,
        now_ms: u64,
    ) -> Option<(RejectionReason, u64)> {
        if upstreams.is_empty() {
            return None;
        }
        Some(match self.rate_limits.retry_after_ms(upstreams.into_iter(), now_ms) {
            Some(retry_after_ms) => {
                let retry_after_ms =
                    retry_after_ms.clamp(MIN_LIMIT_RETRY_AFTER_MS, MAX_LIMIT_RETRY_AFTER_MS);
                (RejectionReason::RateLimited, retry_after_ms)
            }
            None => (RejectionReason::NoUpstream, NO_UPSTREAM_RETRY_AFTER_MS),
        })
    }

    fn placement_query<'a>(
        &'a self,
        request: &'a RequestState,
        random: u64,
        now_ms: u64,
    ) -> PlacementQuery<'a> {
        let weights = self.placement_weights(request);
        PlacementQuery {
            weights,
            object: request.object.filter(|_| weights.object_affinity).unwrap_or(random),
            sticky: request.route.sticky && request.object.is_some() && weights.object_affinity,
            response_bytes: self.response_bytes.get(&request.route.name).copied().unwrap_or(0.0),
            domain: &self.location.domain,
            region: &self.location.region,
            other_region_rtt_ms: self.other_region_rtt_ms,
            times: self.service_times.get(&request.service).copied().unwrap_or_default(),
            evacuated: &self.evacuated_domains,
            home_regions: &request.route.home_regions,
            account_home_regions: request
                .account
                .as_ref()
                .map_or(&[], |(_, account)| &account.home_regions),
            rate_limits: &self.rate_limits,
            max_in_flight: self.max_in_flight(&request.service, now_ms),
            limits: FinishLimits {
                target_at_ms: request.arrived_at_ms + request.route.target_ms,
                deadline_at_ms: request.deadline_at_ms,
                is_repeatable: request.route.kind.may_retry(),
            },
            tried_upstreams: &request.tried_upstreams,
            now_ms,
        }
    }

    /// Chooses an upstream when none is healthy: a cold one within its rate limit, or an unhealthy one
    /// without requests in flight.
    fn choose_fallback<'a>(
        &self,
        service: &str,
        query: &PlacementQuery<'_>,
        upstreams: impl Iterator<Item = (UpstreamKey, &'a Upstream)>,
    ) -> Option<Candidate> {
        let now_ms = query.now_ms;
        let settings = self.service(service);
        let cold_requests_per_s = settings.map_or(1.0, |settings| settings.cold_requests_per_s);
        let serving = ServingKeys::new(&self.vms, now_ms);
        let eligible = upstreams.filter(|(key, upstream)| query.is_eligible(*key, upstream));
        let usable = eligible.filter(|(_, upstream)| {
            if upstream.is_cold(now_ms) {
                upstream.has_cold_capacity(cold_requests_per_s, now_ms)
                    && self.may_send_to_cold(upstream, &serving)
            } else {
                upstream.in_flight == 0
            }
        });
        let (key, upstream) = usable.min_by(|(_, one), (_, other)| {
            one.ejected_until_ms
                .cmp(&other.ejected_until_ms)
                .then(one.load(now_ms).total_cmp(&other.load(now_ms)))
        })?;
        Some(Candidate {
            upstream: key,
            expected_ms: query.times.cold_ms,
            wait_ms: 0.0,
            finish_ms: query.times.cold_ms,
            network_ms: 0.0,
            spread_ms: 0.0,
            pace: query.pace(upstream),
            warm: false,
            needs_cache: query.sticky,
            rank: 0,
        })
    }

    /// Returns whether this VM is the one that may send to a cold upstream.
    ///
    /// The rate limit of a cold upstream holds for all VMs together, so only one VM sends to it: one of
    /// its failure domain if any serves, else one of its region, else any one. That VM leaves some of
    /// the rate unused, in case VMs with different views choose two, or the VM restarts within a
    /// second. Many that start together and haven't heard each other would each choose themselves.
    fn may_send_to_cold(&self, upstream: &Upstream, serving: &ServingKeys) -> bool {
        let (domain, region) = (&upstream.entry.domain, &upstream.region);
        let candidates = serving.senders_to_cold(domain, region, &self.location.domain);
        rendezvous::owner(upstream.hash, candidates) == Some(self.vms.key())
    }

    /// Returns this VM's share of the connections that an upstream accepts from all VMs.
    ///
    /// An upstream resets connections beyond its limit, and the requests on them may have run.
    pub(super) fn max_in_flight(&self, service: &str, now_ms: u64) -> u32 {
        let max_connections =
            self.service(service).map_or(u32::MAX, |settings| settings.max_connections);
        (max_connections / self.vms.sharing_vm_count(now_ms) as u32).max(1)
    }
}
