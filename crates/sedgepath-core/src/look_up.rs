//! Look-ups: which entry VMs a caller should use, answered from memory alone.
//!
//! A look-up costs one search for the caller's origin group and one table access: the ordered lists
//! are kept by service, origin group and variant, and made anew only after the members or the
//! configuration have changed. Variants spread the callers of a group over the entry VMs, in
//! proportion to where the group's traffic goes.

use std::net::IpAddr;
use std::sync::Arc;

use crate::event::{LookUp, LookUpAnswer, LookUpError};
use crate::hash::Map;
use crate::key::{DomainKey, OriginKey, ServiceKey, VmKey};
use crate::rendezvous::score;
use crate::request::EntryVm;
use crate::view::SystemView;

/// The most entry VMs that an answer names.
const MAX_NAMED: usize = 8;

/// The most entry VMs of one failure domain that an answer names: after these a caller had better
/// try another domain.
const MAX_NAMED_PER_DOMAIN: usize = 3;

/// The number of different orders that callers of one origin group are given.
const VARIANTS: u64 = 16;

type ListKey = (ServiceKey, OriginKey, u64);

/// The ordered lists of entry VMs.
#[derive(Debug, Default)]
pub struct LookUpCache {
    lists: Map<ListKey, Arc<[EntryVm]>>,
    fingerprint: u64,
}

impl LookUpCache {
    /// Drops the lists if the members that serve, or the configuration, have changed.
    pub fn drop_stale_lists(&mut self, view: &SystemView<'_>) {
        let fingerprint = fingerprint(view);
        if fingerprint != self.fingerprint {
            self.fingerprint = fingerprint;
            self.lists.clear();
        }
    }

    /// Answers a look-up; the answer may be used for `valid_ms` milliseconds.
    ///
    /// # Errors
    ///
    /// Fails if the service is unknown or the node can't answer for it: its records can't be read
    /// here, or the caller has seen a newer revision than any member that this node could name.
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
            // A node that is behind must not name itself or others that are: the caller would be
            // steered by records that it has already seen replaced.
            not_behind(look_up.revision_seen, view)?
        } else if view.catalogue.services.contains_key(&service) {
            self.list(service, look_up.source, view)
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

    /// Returns other entry VMs for a caller whose request is refused here.
    pub fn alternatives(
        &mut self,
        service: ServiceKey,
        source: IpAddr,
        view: &SystemView<'_>,
    ) -> Vec<EntryVm> {
        let own = &view.identity.card.name;
        let list = self.list(service, source, view);
        list.iter().filter(|entry_vm| entry_vm.name != *own).cloned().collect()
    }

    fn list(
        &mut self,
        service: ServiceKey,
        source: IpAddr,
        view: &SystemView<'_>,
    ) -> Arc<[EntryVm]> {
        let origin = view.catalogue.origin_of_address(source);
        let variant = variant(source);
        let list = self.lists.entry((service, origin, variant));
        Arc::clone(list.or_insert_with(|| ordered(service, origin, variant, view)))
    }
}

fn variant(source: IpAddr) -> u64 {
    let bits = match source {
        IpAddr::V4(address) => u64::from(address.to_bits()),
        IpAddr::V6(address) => (address.to_bits() >> 64) as u64,
    };
    score(bits, 0) % VARIANTS
}

/// An entry VM that could be named.
struct Named {
    vm: VmKey,
    domain: DomainKey,
    entry_vm: EntryVm,
}

fn serving(view: &SystemView<'_>) -> Vec<Named> {
    let card = &view.identity.card;
    let own = (!card.leaving).then_some((view.identity.vm, card));
    let members = view.membership.members();
    let others = members
        .iter()
        .filter(|(_, member)| member.accepts_work())
        .map(|(vm, member)| (*vm, &member.card));
    own.into_iter()
        .chain(others)
        .map(|(vm, card)| Named {
            vm,
            domain: card.domain,
            entry_vm: EntryVm { name: card.name.clone(), address: card.caller_address },
        })
        .collect()
}

fn ordered(
    service: ServiceKey,
    origin: OriginKey,
    variant: u64,
    view: &SystemView<'_>,
) -> Arc<[EntryVm]> {
    let shares = view.catalogue.shares(service, origin).unwrap_or_default();
    let mut named: Vec<_> = serving(view)
        .into_iter()
        .map(|named| (domain_order(named.domain, shares, variant, view), named))
        .collect();
    named.sort_by(|(order, a), (other, b)| {
        let key = |named: &Named| (score(variant, named.vm.0), named.vm);
        order.total_cmp(other).then(a.domain.cmp(&b.domain)).then_with(|| key(a).cmp(&key(b)))
    });
    let mut taken: Map<DomainKey, usize> = Map::default();
    named.retain(|(_, named)| {
        let count = taken.entry(named.domain).or_default();
        *count += 1;
        *count <= MAX_NAMED_PER_DOMAIN
    });
    named.into_iter().take(MAX_NAMED).map(|(_, named)| named.entry_vm).collect()
}

/// Returns the place of a failure domain in a variant's order, the first having the least value.
///
/// Weighted rendezvous hashing: with `u` uniform from the hash, the least of `-ln(u) / share` falls
/// on each domain with a chance of its share. Domains without a share come last, those of this
/// node's region first among them.
fn domain_order(
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
    let near = region(&domain) == region(&view.identity.card.domain);
    if near { f64::MAX } else { f64::INFINITY }
}

fn not_behind(revision_seen: u64, view: &SystemView<'_>) -> Result<Arc<[EntryVm]>, LookUpError> {
    let named: Arc<[EntryVm]> = view
        .membership
        .members()
        .into_iter()
        .filter(|(_, member)| member.accepts_work() && member.revision >= revision_seen)
        .take(MAX_NAMED)
        .map(|(_, member)| EntryVm {
            name: member.card.name.clone(),
            address: member.card.caller_address,
        })
        .collect();
    if named.is_empty() { Err(LookUpError::Configuration) } else { Ok(named) }
}

fn fingerprint(view: &SystemView<'_>) -> u64 {
    let own = score(view.revision, u64::from(view.identity.card.leaving));
    // The sum does not depend on the order of the members.
    let members = view.membership.members();
    members
        .iter()
        .filter(|(_, member)| member.accepts_work())
        .fold(own, |sum, (vm, member)| sum.wrapping_add(score(vm.0, member.boot.0)))
}
