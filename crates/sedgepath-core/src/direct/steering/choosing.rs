//! Which upstream gets a request now, and which one where none is sound.

use crate::key::VmKey;
use crate::rendezvous;

use super::Steering;
use crate::direct::attempts::RequestState;
use crate::direct::placement::{Candidate, Question};
use crate::direct::upstreams::{Upstream, UpstreamKey};
use crate::direct::vms::VmDescriptor;

impl Steering {
    pub(super) fn choose(
        &self,
        attempts: &RequestState,
        random: u64,
        now_ms: u64,
    ) -> Option<Candidate> {
        let weights = self.policy.weights;
        let question = Question {
            weights,
            object: attempts.object.filter(|_| weights.object_affinity).unwrap_or(random),
            sticky: attempts.route.sticky && attempts.object.is_some() && weights.object_affinity,
            answer_bytes: self.answer_bytes.get(&attempts.route.name).copied().unwrap_or(0.0),
            domain: &self.location.domain,
            region: &self.location.region,
            far_ms: self.far_ms,
            times: self.times.get(&attempts.service).copied().unwrap_or_default(),
            evacuated: &self.evacuated_domains,
            home_regions: &attempts.route.home_regions,
            max_in_flight: self.max_in_flight(&attempts.service, now_ms),
            tried: &attempts.tried_upstreams,
            now_ms,
        };
        let keys = self.upstreams.of_service(&attempts.service);
        let known = || keys.iter().filter_map(|key| Some((*key, self.upstreams.get(*key)?)));
        question.choose(known()).or_else(|| self.last_resort(&attempts.service, &question, known()))
    }

    /// Chooses when no upstream is sound: a cold one at its rate, else one that failed.
    fn last_resort<'a>(
        &self,
        service: &str,
        question: &Question<'_>,
        known: impl Iterator<Item = (UpstreamKey, &'a Upstream)>,
    ) -> Option<Candidate> {
        let now_ms = question.now_ms;
        let settings = self.service(service);
        let cold_per_s = settings.map_or(1.0, |settings| settings.cold_requests_per_s);
        let serving = self.vms.serving_vms(now_ms);
        let allowed = known.filter(|(key, upstream)| question.allows(*key, upstream));
        let usable = allowed.filter(|(_, upstream)| {
            if upstream.is_cold(now_ms) {
                upstream.cold_room(cold_per_s, now_ms) && self.leads(upstream, &serving)
            } else {
                upstream.in_flight == 0
            }
        });
        let first = usable.min_by(|(_, one), (_, other)| {
            let rate = |up: &Upstream| (up.ejected_until_ms, up.load(now_ms));
            let (one, other) = (rate(one), rate(other));
            one.0.cmp(&other.0).then(one.1.total_cmp(&other.1))
        })?;
        let work_ms = question.times.cold_ms;
        Some(Candidate {
            upstream: first.0,
            expected_ms: work_ms,
            wait_ms: 0.0,
            way_ms: 0.0,
            warm: false,
            rank: 0,
        })
    }

    /// Whether this VM is the one that may send to an upstream while it is cold.
    ///
    /// The bound is for all VMs together. One VM of the upstream's failure domain, or of the region if
    /// there is none, sends; two that disagree on who serves, or two processes of one VM within a second,
    /// stay within the bound by what each leaves of the rate.
    fn leads(&self, upstream: &Upstream, serving: &[&VmDescriptor]) -> bool {
        let near = |fits: &dyn Fn(&VmDescriptor) -> bool| -> Vec<VmKey> {
            let near = serving.iter().filter(|card| fits(card));
            near.map(|card| card.key()).collect()
        };
        let mut candidates = near(&|card| card.domain == upstream.entry.domain);
        if candidates.is_empty() {
            candidates = near(&|card| card.region == upstream.region);
        }
        if candidates.is_empty() {
            candidates = near(&|_| true);
        }
        rendezvous::owner(upstream.hash, &candidates) == Some(self.vms.key())
    }

    /// Returns this VM's part of the connections that an upstream takes from all VMs.
    ///
    /// An upstream resets connections beyond its limit, and what was sent on them may have run.
    pub(super) fn max_in_flight(&self, service: &str, now_ms: u64) -> u32 {
        let all = self.service(service).map_or(u32::MAX, |settings| settings.max_connections);
        (all / self.vms.sharing_vm_count(now_ms) as u32).max(1)
    }
}
