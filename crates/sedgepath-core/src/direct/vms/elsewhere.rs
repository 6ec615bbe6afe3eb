//! The VMs of other failure domains, as these say themselves.
//!
//! Each domain has more than one that speaks for it, and they may disagree: one that hears nobody of its
//! domain speaks for itself alone. So a VM counts as there while any speaker that is not silent lists
//! it, and a speaker that is cut off takes nobody away.

use std::net::SocketAddr;

use super::heartbeat::{StoreHealth, VmDescriptor, VmTiming};
use super::summary::{DomainSummary, Member, SummaryUpdate};
use crate::clock::HybridTimestamp;
use crate::hash::{Map, Set};

/// A VM of another failure domain.
#[derive(Debug)]
pub(super) struct Listed {
    pub(super) card: VmDescriptor,
    pub(super) member: Member,
}

/// Whether a summary says something else than the last one of its sender.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Newer {
    Changed,
    Unchanged,
}

#[derive(Debug)]
struct Told {
    summary: DomainSummary,
    digest: u64,
    listed: Vec<Listed>,
    heard_at_ms: u64,
}

/// The last summary of each VM that speaks for another failure domain.
#[derive(Debug, Default)]
pub(super) struct Elsewhere {
    by_sender: Map<SocketAddr, Told>,
}

impl Elsewhere {
    /// Takes in a summary, and returns whether it says something new; nothing if it is not newer than the last
    /// one of its sender.
    pub(super) fn take(
        &mut self,
        summary: DomainSummary,
        heard_at_ms: u64,
        timing: &VmTiming,
        now_ms: u64,
    ) -> Option<Newer> {
        let (sender, digest) = (summary.sender(), summary.digest());
        let mut unchanged = false;
        if let Some(told) = self.by_sender.get(&sender) {
            let last = &told.summary;
            let newer = if summary.boot == last.boot {
                summary.stamp > last.stamp
            } else {
                // A process that starts after its clock was set back tells of an earlier start.
                summary.boot > last.boot || now_ms >= told.silent_at_ms(timing)
            };
            if !newer {
                return None;
            }
            unchanged = summary.boot == last.boot && digest == told.digest;
        }
        let listed = summary.members.iter();
        let listed = listed.map(|member| Listed { card: summary.card(member), member: *member });
        let told = Told { digest, listed: listed.collect(), heard_at_ms, summary };
        self.by_sender.insert(sender, told);
        Some(if unchanged { Newer::Unchanged } else { Newer::Changed })
    }

    /// Takes in that a VM still says what it said in a summary; returns its failure domain's VMs if it is
    /// known what that was.
    pub(super) fn repeat(
        &mut self,
        sender: SocketAddr,
        (boot, stamp): (u64, HybridTimestamp),
        digest: u64,
        heard_at_ms: u64,
    ) -> Option<&DomainSummary> {
        let told = self.by_sender.get_mut(&sender)?;
        let last = &mut told.summary;
        let newer = boot == last.boot && stamp > last.stamp;
        if !newer || digest != told.digest {
            return None;
        }
        last.store = last.store.aged(heard_at_ms.saturating_sub(told.heard_at_ms));
        last.stamp = stamp;
        told.heard_at_ms = heard_at_ms;
        Some(&told.summary)
    }

    /// Returns what the last summary of a VM is passed on as: whole, or as a digest.
    pub(super) fn news(&self, sender: SocketAddr, whole: bool) -> Option<SummaryUpdate> {
        let Told { summary, digest, .. } = self.by_sender.get(&sender)?;
        Some(if whole {
            SummaryUpdate::Changed(summary.clone())
        } else {
            SummaryUpdate::Unchanged {
                sender,
                boot: summary.boot,
                stamp: summary.stamp,
                digest: *digest,
            }
        })
    }

    /// Forgets the summaries of VMs that have been silent for long.
    pub(super) fn forget(&mut self, forgotten_after_ms: u64, now_ms: u64) {
        self.by_sender.retain(|_, told| now_ms < told.heard_at_ms + forgotten_after_ms);
    }

    /// Returns the VMs that are listed by one that is not silent; some of them twice.
    pub(super) fn listed(&self, timing: VmTiming, now_ms: u64) -> impl Iterator<Item = &Listed> {
        let fresh = self.by_sender.values().filter(move |told| now_ms < told.silent_at_ms(&timing));
        fresh.flat_map(|told| &told.listed)
    }

    /// Returns the VMs that are listed by one that follows the store could be relied on to be heard.
    ///
    /// A summary is passed on with the next heartbeat of the VM that got it, hence a period more.
    pub(super) fn relied_on(&self, timing: VmTiming, now_ms: u64) -> impl Iterator<Item = &Listed> {
        let until_ms = move |told: &Told| {
            let period_ms = told.summary.period_ms;
            let passed_on_ms = period_ms.min(timing.max_silence_ms);
            told.heard_at_ms + timing.reader_silent_after_ms(period_ms) + passed_on_ms
        };
        let fresh = self.by_sender.values().filter(move |told| now_ms < until_ms(told));
        fresh.flat_map(|told| &told.listed)
    }

    /// Returns what the other domains can tell of the store by now.
    pub(super) fn store(&self, timing: &VmTiming, now_ms: u64) -> StoreHealth {
        let fresh = self.by_sender.values().filter(|told| now_ms < told.silent_at_ms(timing));
        let views =
            fresh.map(|told| told.summary.store.aged(now_ms.saturating_sub(told.heard_at_ms)));
        views.fold(StoreHealth::Unknown, StoreHealth::with)
    }

    /// Returns the VMs of a failure domain that are listed as there.
    pub(super) fn of_domain(&self, domain: &str, timing: VmTiming, now_ms: u64) -> Set<SocketAddr> {
        let there = self.listed(timing, now_ms).filter(|listed| *listed.card.domain == *domain);
        there.map(|listed| listed.card.peer_address).collect()
    }
}

impl Told {
    fn silent_at_ms(&self, timing: &VmTiming) -> u64 {
        self.heard_at_ms + timing.silent_after_ms(self.summary.period_ms)
    }
}
