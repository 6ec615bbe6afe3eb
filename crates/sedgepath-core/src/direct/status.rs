//! The state that an entry VM reports to operators.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::Steering;
use super::accounts::ClientAccounts;
use super::quotas::lenders::Lender;

/// The state of a VM, as reported to operators.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct VmStatus {
    /// The VM's name.
    pub name: Box<str>,
    /// The VM's failure domain.
    pub domain: Box<str>,
    /// The VM's region.
    pub region: Box<str>,
    /// Whether the VM knows a configuration and an upstream.
    pub can_serve: bool,
    /// Whether the VM is about to stop.
    pub leaving: bool,
    /// Whether the VM reaches no upstream.
    #[serde(default)]
    pub cut_off: bool,
    /// The version of the active configuration; 0 before there is one.
    pub configuration_version: u64,
    /// The evacuated failure domains, sorted by name.
    pub evacuated: Vec<Box<str>>,
    /// The number of VMs that the limits for all VMs are divided by, including this one.
    #[serde(rename = "sharing")]
    pub sharing_vm_count: usize,
    /// The services that have upstreams, by name.
    pub services: BTreeMap<Box<str>, ServiceStatus>,
    /// The client accounts with the largest quotas, at most [`MAX_QUOTAS`], largest first.
    #[serde(default)]
    pub quotas: Vec<QuotaStatus>,
    /// The other known VMs, sorted by name.
    #[serde(rename = "others")]
    pub other_vms: Vec<OtherVmStatus>,
}

/// The most client accounts in a status.
pub const MAX_QUOTAS: usize = 20;

/// A VM's view of the quota of a client account.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct QuotaStatus {
    /// The account's name.
    pub account: Box<str>,
    /// The quota's rate in requests per second.
    pub rate_per_s: f64,
    /// The requests that may be sent at once beyond the rate.
    pub burst: f64,
    /// The VMs that lend the quota's slots: the peer address, `self` for this VM, or `none` if no VM of
    /// the slot's region serves.
    pub lenders: Vec<Box<str>>,
    /// The number of tokens that this VM holds.
    pub held_tokens: usize,
}

/// A VM's view of a service.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct ServiceStatus {
    /// The number of upstreams.
    pub upstreams: usize,
    /// The number of upstreams that are about to stop.
    pub leaving: usize,
    /// The number of cold upstreams.
    pub cold: usize,
    /// The number of upstreams ejected after failures or because they are unreachable.
    #[serde(rename = "left_out")]
    pub ejected: usize,
    /// The sum of the upstreams' slots.
    pub slots: u32,
    /// The number of this VM's requests in flight.
    pub in_flight: u32,
    /// The estimated load of all upstreams, in requests.
    pub load: f64,
    /// The number of callers' requests in the last window of the retry budget.
    pub requests: u32,
    /// The number of retries in the last window of the retry budget.
    pub repeats: u32,
}

/// Whether a VM reports that it reaches upstreams.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ReportedReach {
    /// The VM reaches upstreams, or doesn't know of any that it doesn't.
    #[default]
    Reaches,
    /// The VM reaches no upstream.
    CutOff,
}

impl ReportedReach {
    pub(super) fn of(cut_off: bool) -> Self {
        if cut_off { Self::CutOff } else { Self::Reaches }
    }
}

/// A VM's view of another VM.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OtherVmStatus {
    /// The other VM's name, or the text of its address if only that is known.
    pub name: Box<str>,
    /// The other VM's failure domain.
    pub domain: Box<str>,
    /// The time since the VM's last heartbeat, in milliseconds; 0 for a VM known from summaries only.
    pub silent_ms: u64,
    /// Whether the VM reports that it accepts new requests.
    pub ready: bool,
    /// Whether the VM is about to stop.
    pub leaving: bool,
    /// Whether the VM reports that it reaches upstreams.
    #[serde(default)]
    pub reach: ReportedReach,
    /// Whether the VM reports that the store responds to it.
    #[serde(rename = "has_store")]
    pub store_reachable: bool,
}

impl Steering {
    /// Returns the VM's state for operators.
    pub fn status(&self, now_ms: u64) -> VmStatus {
        let location = self.location();
        let mut evacuated: Vec<_> = self.evacuated_domains().iter().cloned().collect();
        evacuated.sort_unstable();
        let mut services: BTreeMap<Box<str>, ServiceStatus> = BTreeMap::new();
        for (_, upstream) in self.upstreams().iter() {
            let service = services.entry(upstream.entry.service.clone()).or_default();
            service.upstreams += 1;
            service.leaving += usize::from(upstream.is_leaving());
            service.cold += usize::from(upstream.is_cold(now_ms));
            service.ejected += usize::from(now_ms < upstream.ejected_until_ms);
            service.slots += upstream.entry.slots;
            service.in_flight += upstream.in_flight;
            service.load += upstream.load(now_ms);
        }
        for (name, service) in &mut services {
            (service.requests, service.repeats) = self.budget().counts(name, now_ms);
        }
        VmStatus {
            name: location.name.clone(),
            domain: location.domain.clone(),
            region: location.region.clone(),
            can_serve: self.can_serve(),
            leaving: self.vms().is_leaving(),
            cut_off: self.is_cut_off(),
            configuration_version: self
                .configuration()
                .map_or(0, |configuration| configuration.version),
            evacuated,
            sharing_vm_count: self.vms().sharing_vm_count(now_ms),
            services,
            quotas: self.quota_status(),
            other_vms: self.vms().other_vms(now_ms),
        }
    }

    fn quota_status(&self) -> Vec<QuotaStatus> {
        let accounts = self.configuration().and_then(|active| active.accounts.as_ref());
        let mut limited: Vec<_> = accounts
            .into_iter()
            .flat_map(ClientAccounts::iter)
            .filter_map(|account| Some((account, account.quota?)))
            .collect();
        limited.sort_by(|(one, one_quota), (other, other_quota)| {
            other_quota.rate_per_s.total_cmp(&one_quota.rate_per_s).then(one.name.cmp(&other.name))
        });
        let view = self.quotas().view();
        let lender_name = |lender| match lender {
            None => "none".into(),
            Some(Lender::Own) => "self".into(),
            Some(Lender::Other(address)) => address.to_string().into(),
        };
        let largest = limited.into_iter().take(MAX_QUOTAS);
        largest
            .map(|(account, quota)| QuotaStatus {
                account: account.name.clone(),
                rate_per_s: quota.rate_per_s,
                burst: quota.burst,
                lenders: (0..view.slot_count())
                    .map(|slot| lender_name(view.lender(account.key, slot as u8)))
                    .collect(),
                held_tokens: self.quotas().held_tokens(account.key),
            })
            .collect()
    }
}
