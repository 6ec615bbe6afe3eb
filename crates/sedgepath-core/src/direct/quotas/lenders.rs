//! The VMs that lend out the slots of quotas.

use std::net::SocketAddr;

use crate::direct::accounts::AccountKey;
use crate::direct::vms::VmTable;
use crate::key::VmKey;
use crate::rendezvous;

/// The least number of slots of a quota: if one lender fails, the others still lend two thirds.
const MIN_SLOTS: usize = 3;

/// The VMs of a region that run or are about to start.
#[derive(Debug, Default, Clone, PartialEq)]
struct RegionView {
    /// The VMs with their peer addresses.
    vms: Vec<(VmKey, SocketAddr)>,
    /// The share of the region's known VMs that these are.
    heard_share: f64,
}

/// One VM's view of the VMs that lend.
#[derive(Debug)]
pub struct LenderView {
    own: VmKey,
    /// The names of all regions, sorted.
    names: Vec<Box<str>>,
    regions: Vec<RegionView>,
    own_region: usize,
    /// Since when the VMs have been the same, in milliseconds.
    unchanged_since_ms: u64,
}

/// The lender of a slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Lender {
    /// This VM.
    Own,
    /// Another VM, with its peer address.
    Other(SocketAddr),
}

impl LenderView {
    /// Creates the view of a VM that knows no VMs.
    pub fn new(own: VmKey, mut regions: Vec<Box<str>>) -> Self {
        regions.sort_unstable();
        regions.dedup();
        let views = vec![RegionView::default(); regions.len()];
        Self { own, names: regions, regions: views, own_region: 0, unchanged_since_ms: 0 }
    }

    /// Updates the view from the membership table.
    pub fn update(&mut self, vms: &VmTable, now_ms: u64) {
        let own_region = vms.own_region();
        self.own_region = self.names.iter().position(|name| **name == *own_region).unwrap_or(0);
        for (name, region) in self.names.iter().zip(&mut self.regions) {
            let heard = vms.running_or_starting_in_region(name, now_ms);
            if heard != region.vms {
                self.unchanged_since_ms = now_ms;
            }
            let known = vms.known_in_region(name, now_ms).max(heard.len()).max(1);
            let heard_share = heard.len() as f64 / known as f64;
            *region = RegionView { vms: heard, heard_share };
        }
    }

    /// Returns since when the lenders have been the same, in milliseconds.
    pub fn unchanged_since_ms(&self) -> u64 {
        self.unchanged_since_ms
    }

    /// Returns this VM's key.
    pub fn own(&self) -> VmKey {
        self.own
    }

    fn slots_per_region(&self) -> usize {
        MIN_SLOTS.div_ceil(self.regions.len().max(1))
    }

    /// Returns the number of slots of each quota.
    pub fn slot_count(&self) -> usize {
        self.slots_per_region() * self.regions.len()
    }

    /// Returns the slots in the order in which this VM asks their lenders: those of its own region
    /// first, the others in an order that differs between accounts.
    pub fn preferred_slots(&self, account: AccountKey) -> impl Iterator<Item = u8> + use<> {
        let (regions, per_region) = (self.regions.len(), self.slots_per_region());
        let own_region = self.own_region;
        let turn = if regions > 1 { account.0 as usize % (regions - 1) } else { 0 };
        let others = (0..regions.saturating_sub(1))
            .map(move |index| (own_region + 1 + (index + turn) % (regions - 1)) % regions);
        let order = (0..regions.min(1)).map(move |_| own_region).chain(others);
        order.flat_map(move |region| {
            (0..per_region).map(move |index| (region * per_region + index) as u8)
        })
    }

    /// Returns the lender of an account's slot, if any VM of its region serves.
    pub fn lender(&self, account: AccountKey, slot: u8) -> Option<Lender> {
        let per_region = self.slots_per_region();
        let region = self.regions.get(usize::from(slot) / per_region)?;
        let rank = usize::from(slot) % per_region;
        let score = |vm: VmKey| (rendezvous::score(account.0, vm.0), vm.0);
        let mut by_score: Vec<_> =
            region.vms.iter().map(|(vm, address)| (score(*vm), *vm, *address)).collect();
        let rank = rank % by_score.len().max(1);
        if rank >= by_score.len() {
            return None;
        }
        let (_, chosen, _) =
            by_score.select_nth_unstable_by(rank, |one, other| other.0.cmp(&one.0));
        let (_, vm, address) = *chosen;
        Some(if vm == self.own { Lender::Own } else { Lender::Other(address) })
    }

    /// Returns the share of a quota that a slot's lender lends: the slot's part, less what lenders
    /// that this VM doesn't hear may lend.
    pub fn slot_share(&self, slot: u8) -> f64 {
        let region = self.regions.get(usize::from(slot) / self.slots_per_region());
        region.map_or(0.0, |region| region.heard_share) / self.slot_count().max(1) as f64
    }
}
