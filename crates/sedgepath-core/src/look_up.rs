//! Look-ups: which entry VMs a caller should use, answered from memory.
//!
//! A look-up costs one binary search for the caller's origin group and one table access. Ordered
//! lists are cached by service, origin group and variant, and discarded when the members or the
//! configuration change. Variants spread the callers of a group over the entry VMs in proportion to
//! the group's traffic shares.

use std::net::IpAddr;
use std::sync::Arc;

use crate::event::{LookUp, LookUpAnswer, LookUpError};
use crate::hash::Map;
use crate::key::{DomainKey, OriginKey, ServiceKey, VmKey};
use crate::rendezvous::score;
use crate::request::EntryVm;
use crate::view::SystemView;

/// The maximum number of entry VMs in an answer.
const MAX_ENTRY_VMS: usize = 8;

/// The maximum number of entry VMs of one failure domain in an answer, so that a caller's retries
/// reach other domains.
const MAX_ENTRY_VMS_PER_DOMAIN: usize = 3;

/// The number of different orders among the callers of one origin group.
const VARIANT_COUNT: u64 = 16;

type ListKey = (ServiceKey, OriginKey, u64);

/// A cache of ordered entry VM lists.
#[derive(Debug, Default)]
pub struct LookUpCache {
    lists: Map<ListKey, Arc<[EntryVm]>>,
    fingerprint: u64,
}

impl LookUpCache {
    /// Discards the cached lists if the members that accept work, or the configuration, have
    /// changed.
    pub fn drop_stale_lists(&mut self, view: &SystemView<'_>) {
        let fingerprint = fingerprint(view);
        if fingerprint != self.fingerprint {
            self.fingerprint = fingerprint;
            self.lists.clear();
        }
    }

    /// Answers a look-up; the caller may cache the answer for `valid_ms` milliseconds.
    ///
    /// # Errors
    ///
    /// Fails if the service is unknown, if this node has no usable configuration for it, or if the
    /// caller has seen a newer revision than this node and all members that accept work.
    pub fn answer(
        &mut self,
        look_up: &LookUp,
        valid_ms: u64,
        view: &SystemView<'_>,
    ) -> Result<LookUpAnswer, LookUpError> {
        let service = ServiceKey::of(&look_up.service);
        if !view.configuration_ready || view.catalogue.rejected_services.contains(&service) {
            return Err(LookUpError::Configuration);
        }
        let entry_vms = if look_up.revision_seen > view.revision {
            // A node with an outdated revision must not return itself or other such nodes: they would
            // steer the caller by records that it has already seen replaced.
            up_to_date_entry_vms(look_up.revision_seen, view)?
        } else if view.catalogue.services.contains_key(&service) {
            self.cached_entry_vms(service, look_up.source, view)
        } else {
            return Err(LookUpError::NoService);
        };
        Ok(LookUpAnswer {
            entry_vms,
            expires_at_ms: view.now_ms + valid_ms,
            expires_after_ms: valid_ms,
            revision: view.revision,
        })
    }

    /// Returns entry VMs other than this one, for a caller whose request is rejected here.
    pub fn alternatives(
        &mut self,
        service: ServiceKey,
        source: IpAddr,
        view: &SystemView<'_>,
    ) -> Vec<EntryVm> {
        let own = &view.identity.descriptor.name;
        let list = self.cached_entry_vms(service, source, view);
        list.iter().filter(|entry_vm| entry_vm.name != *own).cloned().collect()
    }

    fn cached_entry_vms(
        &mut self,
        service: ServiceKey,
        source: IpAddr,
        view: &SystemView<'_>,
    ) -> Arc<[EntryVm]> {
        let origin = view.catalogue.origin_of_address(source);
        let variant = variant(source);
        let list = self.lists.entry((service, origin, variant));
        Arc::clone(list.or_insert_with(|| ordered_entry_vms(service, origin, variant, view)))
    }
}

/// Returns the order variant for a caller's address.
fn variant(source: IpAddr) -> u64 {
    let bits = match source {
        IpAddr::V4(address) => u64::from(address.to_bits()),
        IpAddr::V6(address) => (address.to_bits() >> 64) as u64,
    };
    score(bits, 0) % VARIANT_COUNT
}

/// An entry VM that an answer may contain.
struct EntryVmCandidate {
    vm: VmKey,
    domain: DomainKey,
    entry_vm: EntryVm,
}

fn entry_vm_candidates(view: &SystemView<'_>) -> Vec<EntryVmCandidate> {
    let descriptor = &view.identity.descriptor;
    let own = (!descriptor.leaving).then_some((view.identity.vm, descriptor));
    let members = view.membership.members();
    let others = members
        .iter()
        .filter(|(_, member)| member.accepts_work())
        .map(|(vm, member)| (*vm, &member.descriptor));
    own.into_iter()
        .chain(others)
        .map(|(vm, descriptor)| EntryVmCandidate {
            vm,
            domain: descriptor.domain,
            entry_vm: EntryVm { name: descriptor.name.clone(), address: descriptor.caller_address },
        })
        .collect()
}

fn ordered_entry_vms(
    service: ServiceKey,
    origin: OriginKey,
    variant: u64,
    view: &SystemView<'_>,
) -> Arc<[EntryVm]> {
    let shares = view.catalogue.shares(service, origin).unwrap_or_default();
    let mut candidates: Vec<_> = entry_vm_candidates(view)
        .into_iter()
        .map(|candidate| (domain_sort_key(candidate.domain, shares, variant, view), candidate))
        .collect();
    candidates.sort_by(|(a_domain_key, a), (b_domain_key, b)| {
        let vm_key = |candidate: &EntryVmCandidate| (score(variant, candidate.vm.0), candidate.vm);
        a_domain_key
            .total_cmp(b_domain_key)
            .then(a.domain.cmp(&b.domain))
            .then_with(|| vm_key(a).cmp(&vm_key(b)))
    });
    let mut count_by_domain: Map<DomainKey, usize> = Map::default();
    candidates.retain(|(_, candidate)| {
        let count = count_by_domain.entry(candidate.domain).or_default();
        *count += 1;
        *count <= MAX_ENTRY_VMS_PER_DOMAIN
    });
    candidates.into_iter().take(MAX_ENTRY_VMS).map(|(_, candidate)| candidate.entry_vm).collect()
}

/// Returns the sort key of a failure domain in a variant's order.
///
/// Implements weighted rendezvous hashing: with `u` uniform from the hash, each domain has the
/// smallest `-ln(u) / share` with a probability equal to its share. Domains without a share come
/// last, those of this node's region first among them.
fn domain_sort_key(
    domain: DomainKey,
    shares: &[(DomainKey, f64)],
    variant: u64,
    view: &SystemView<'_>,
) -> f64 {
    let share = shares.iter().find(|share| share.0 == domain).map_or(0.0, |share| share.1);
    if share > 0.0 {
        let uniform = (score(variant, u64::from(domain.0)) >> 11) as f64 / (1_u64 << 53) as f64;
        return -uniform.max(f64::MIN_POSITIVE).ln() / share;
    }
    let region = |domain| view.catalogue.domains.get(domain).map(|entry| entry.region);
    let same_region = region(&domain) == region(&view.identity.descriptor.domain);
    if same_region { f64::MAX } else { f64::INFINITY }
}

fn up_to_date_entry_vms(
    revision_seen: u64,
    view: &SystemView<'_>,
) -> Result<Arc<[EntryVm]>, LookUpError> {
    let entry_vms: Arc<[EntryVm]> = view
        .membership
        .members()
        .into_iter()
        .filter(|(_, member)| member.accepts_work() && member.revision >= revision_seen)
        .take(MAX_ENTRY_VMS)
        .map(|(_, member)| EntryVm {
            name: member.descriptor.name.clone(),
            address: member.descriptor.caller_address,
        })
        .collect();
    if entry_vms.is_empty() { Err(LookUpError::Configuration) } else { Ok(entry_vms) }
}

fn fingerprint(view: &SystemView<'_>) -> u64 {
    let own = score(view.revision, u64::from(view.identity.descriptor.leaving));
    // Addition is commutative, so the order of the members does not matter.
    let members = view.membership.members();
    members
        .iter()
        .filter(|(_, member)| member.accepts_work())
        .fold(own, |sum, (vm, member)| sum.wrapping_add(score(vm.0, member.boot.0)))
}
