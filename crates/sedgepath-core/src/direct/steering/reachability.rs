//! What a VM does that reaches no upstream: which upstreams it checks, and which VM gets its requests.

use std::net::SocketAddr;

use fastrand::Rng;

use super::Steering;
use crate::direct::attempts::{
    ForwardedRequest, Forwarding, NextStep, RejectionReason, RequestState,
};
use crate::direct::reach::ReachChange;
use crate::direct::upstreams::{Upstream, UpstreamKey};
use crate::direct::vms::VmDescriptor;

/// The most VMs that are asked to serve one request.
const MAX_ASKED_VMS: usize = 3;

/// An upstream to which a connection is opened to see whether this VM reaches upstreams.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct UpstreamCheck {
    /// The key of the upstream.
    pub upstream: UpstreamKey,
    /// The address to connect to.
    pub address: SocketAddr,
}

impl Steering {
    /// Returns whether this VM reaches no upstream.
    pub fn is_cut_off(&self) -> bool {
        self.reach.is_cut_off()
    }

    /// Records whether a connection to an upstream could be opened.
    pub fn record_connection(&mut self, key: UpstreamKey, connected: bool, now_ms: u64) {
        if connected {
            self.reach.record_connected(now_ms);
        } else {
            self.reach.record_connection_failure(key, now_ms);
        }
    }

    /// Returns the upstreams to which connections are to be opened now, as evidence of whether this VM
    /// reaches upstreams; empty if no check is due. The check must end with
    /// [`record_check`](Self::record_check).
    pub fn begin_check(&mut self, rng: &mut Rng, now_ms: u64) -> Vec<UpstreamCheck> {
        if self.upstreams.is_empty() {
            return Vec::new();
        }
        let Some(count) = self.reach.begin_check(self.upstreams.len(), now_ms) else {
            return Vec::new();
        };
        let untried = self.draw(|key| !self.reach.has_failed(key), count, rng);
        if untried.is_empty() { self.draw(|_| true, count, rng) } else { untried }
    }

    /// Returns up to `count` upstreams other than `refusing` that have not failed lately.
    pub fn other_upstreams(
        &self,
        refusing: UpstreamKey,
        count: usize,
        rng: &mut Rng,
    ) -> Vec<UpstreamCheck> {
        self.draw(|key| key != refusing && !self.reach.has_failed(key), count, rng)
    }

    /// Draws up to `count` of the upstreams that may be checked.
    fn draw(
        &self,
        may_check: impl Fn(UpstreamKey) -> bool,
        count: usize,
        rng: &mut Rng,
    ) -> Vec<UpstreamCheck> {
        let mut candidates: Vec<_> =
            self.upstreams.iter().filter(|(key, _)| may_check(*key)).collect();
        candidates.sort_unstable_by_key(|(key, _)| *key);
        let check = |(upstream, known): (_, &Upstream)| UpstreamCheck {
            upstream,
            address: known.entry.address,
        };
        rng.choose_multiple(candidates, count).into_iter().map(check).collect()
    }

    /// Records the end of a check: for each upstream, whether it accepted a connection.
    pub fn record_check(
        &mut self,
        results: &[(UpstreamKey, bool)],
        now_ms: u64,
    ) -> Option<ReachChange> {
        let change = self.reach.record_check(results, self.upstreams.len(), now_ms);
        self.vms.set_cut_off(self.reach.is_cut_off());
        if change == Some(ReachChange::Recovered) {
            // They were not unreachable for the others, so they have neither crashed nor restarted.
            for key in self.reach.failed_upstreams() {
                if let Some(upstream) = self.upstreams.get_mut(key) {
                    upstream.forget_unreachability();
                }
            }
            self.reach.clear_failures();
        }
        change
    }

    /// Returns the step of a request at a VM that is cut off: another VM that reaches upstreams, or a
    /// rejection if this VM was asked by another one. `None` if no VM is known to reach upstreams.
    pub(super) fn step_when_cut_off(
        &self,
        request: &RequestState,
        random: u64,
        now_ms: u64,
    ) -> Option<NextStep> {
        if !self.is_cut_off() {
            return None;
        }
        if !request.is_forwarded
            && let Some(forwarding) = self.choose_neighbour(request, random, now_ms)
        {
            return Some(NextStep::Forward(forwarding));
        }
        let was_asked = request.is_forwarded || !request.asked_vms.is_empty();
        was_asked.then_some(NextStep::Reject {
            reason: RejectionReason::CutOff,
            retry_after_ms: super::NO_UPSTREAM_RETRY_AFTER_MS,
        })
    }

    /// Chooses another VM for a request, of those that it wasn't forwarded to yet.
    pub(super) fn choose_neighbour(
        &self,
        request: &RequestState,
        random: u64,
        now_ms: u64,
    ) -> Option<Forwarding> {
        if request.asked_vms.len() >= MAX_ASKED_VMS {
            return None;
        }
        let account_homes =
            request.account.as_ref().map_or(&[][..], |(_, account)| &*account.home_regions);
        let is_home = |homes: &[Box<str>], region: &str| {
            homes.is_empty() || homes.iter().any(|home| **home == *region)
        };
        let may_serve = |vm: &VmDescriptor| {
            is_home(&request.route.home_regions, &vm.region)
                && is_home(account_homes, &vm.region)
                && !request.asked_vms.contains(&vm.peer_address)
        };
        let neighbour = self.vms.choose_neighbour(&may_serve, random, now_ms)?;
        Some(Forwarding {
            peer_address: neighbour.peer_address,
            request: ForwardedRequest {
                delivered: request.delivered + request.in_flight.len() as u32,
                possible_runs: request.possible_runs + request.in_flight.len() as u32,
                is_probe: request.is_probe,
            },
        })
    }

    pub(super) fn expected_work_ms(&self, request: &RequestState) -> f64 {
        self.service_times.get(&request.service).copied().unwrap_or_default().work_ms(false)
    }

    /// Forwards a request whose upstream may have been cut off while it had it, if the request may run
    /// twice.
    pub fn hedge_by_neighbour(
        &mut self,
        request: &mut RequestState,
        random: u64,
        now_ms: u64,
    ) -> Option<Forwarding> {
        let may_forward = self.is_cut_off() && !request.is_forwarded;
        if !may_forward
            || !self.may_hedge(request, now_ms)
            || !self.stop_allows_sending_again(self.expected_work_ms(request), now_ms)
        {
            return None;
        }
        let forwarding = self.choose_neighbour(request, random, now_ms)?;
        let vm_count = self.vms.max_known_vm_count(now_ms);
        if !self.budget.try_withdraw(&request.service, vm_count, now_ms) {
            return None;
        }
        request.record_forwarding(forwarding);
        Some(forwarding)
    }
}
