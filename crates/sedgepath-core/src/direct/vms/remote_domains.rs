//! The VMs of other failure domains, as listed in summaries of these domains.
//!
//! Several VMs send summaries of a domain, and may disagree: a VM that is cut off lists only itself.
//! A VM therefore counts as running while any recent summary lists it.

use std::net::SocketAddr;

use super::heartbeat::{StoreHealth, VmDescriptor, VmTiming};
use super::summary::{DomainMember, DomainSummary, SummaryPart, SummaryUpdate};
use crate::clock::HybridTimestamp;
use crate::hash::{Map, Set};

/// A VM of another failure domain, as listed in a summary.
#[derive(Debug)]
pub(super) struct RemoteVm {
    pub(super) descriptor: VmDescriptor,
    pub(super) member: DomainMember,
}

/// Whether a summary differs in content from the last one of its sender.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum SummaryChange {
    Changed,
    Unchanged,
}

#[derive(Debug)]
struct ReceivedSummary {
    summary: DomainSummary,
    digest: u64,
    vms: Vec<RemoteVm>,
    heard_at_ms: u64,
}

/// The source of a summary: its sender's address for datagrams, and the index of the part.
pub(super) type SummaryKey = (SocketAddr, u16);

/// The last summary from each VM that sends them for another failure domain, part by part.
#[derive(Debug, Default)]
pub(super) struct RemoteDomains {
    by_sender: Map<SummaryKey, ReceivedSummary>,
}

/// What a sender says of an unchanged summary.
#[derive(Debug, Clone, Copy)]
pub(super) struct Renewal {
    pub(super) sender: SocketAddr,
    pub(super) part: SummaryPart,
    pub(super) boot_at_ms: u64,
    pub(super) stamp: HybridTimestamp,
    pub(super) digest: u64,
}

impl RemoteDomains {
    /// Stores a summary and returns whether its content changed, or `None` if it isn't newer than the
    /// last one of its sender.
    pub(super) fn apply_summary(
        &mut self,
        summary: DomainSummary,
        heard_at_ms: u64,
        timing: &VmTiming,
        now_ms: u64,
    ) -> Option<SummaryChange> {
        let (sender, part, digest) = (summary.sender(), summary.part, summary.digest());
        let mut unchanged = false;
        if let Some(received) = self.by_sender.get(&(sender, part.index)) {
            let last = &received.summary;
            let newer = if summary.boot_at_ms == last.boot_at_ms {
                summary.stamp > last.stamp
            } else {
                // A process whose clock was set back reports an earlier start.
                summary.boot_at_ms > last.boot_at_ms || now_ms >= received.silent_at_ms(timing)
            };
            if !newer {
                return None;
            }
            unchanged = summary.boot_at_ms == last.boot_at_ms && digest == received.digest;
        }
        let members = summary.members.iter();
        let vms = members
            .map(|member| RemoteVm { descriptor: summary.descriptor(member), member: *member })
            .collect();
        let received = ReceivedSummary { summary, digest, vms, heard_at_ms };
        self.by_sender.insert((sender, part.index), received);
        // The VMs of a part that there is no longer have moved to others, or are gone.
        self.by_sender.retain(|(from, index), _| *from != sender || *index < part.count);
        Some(if unchanged { SummaryChange::Unchanged } else { SummaryChange::Changed })
    }

    /// Updates the time of a sender's last summary, and returns the summary, if the sender reports that
    /// its content is unchanged and the digest matches; otherwise returns `None`.
    pub(super) fn renew(&mut self, renewal: Renewal, heard_at_ms: u64) -> Option<&DomainSummary> {
        let Renewal { sender, part, boot_at_ms, stamp, digest } = renewal;
        let received = self.by_sender.get_mut(&(sender, part.index))?;
        let last = &mut received.summary;
        let newer = boot_at_ms == last.boot_at_ms && stamp > last.stamp;
        if !newer || digest != received.digest || part != last.part {
            return None;
        }
        last.store_health =
            last.store_health.extrapolate(heard_at_ms.saturating_sub(received.heard_at_ms));
        last.stamp = stamp;
        received.heard_at_ms = heard_at_ms;
        Some(&received.summary)
    }

    /// Returns the last summary from a source to be relayed, in full or as a digest.
    pub(super) fn relayed_update(&self, key: SummaryKey, in_full: bool) -> Option<SummaryUpdate> {
        let ReceivedSummary { summary, digest, .. } = self.by_sender.get(&key)?;
        let (sender, part, digest) = (key.0, summary.part, *digest);
        let (boot_at_ms, stamp) = (summary.boot_at_ms, summary.stamp);
        Some(match (in_full, part == SummaryPart::WHOLE) {
            (true, true) => SummaryUpdate::Changed(summary.clone()),
            (true, false) => SummaryUpdate::ChangedPart(part, summary.clone()),
            (false, true) => SummaryUpdate::Unchanged { sender, boot_at_ms, stamp, digest },
            (false, false) => {
                SummaryUpdate::UnchangedPart { part, sender, boot_at_ms, stamp, digest }
            }
        })
    }

    /// Removes the summaries of senders that have been silent for too long.
    pub(super) fn remove_silent(&mut self, forget_after_ms: u64, now_ms: u64) {
        self.by_sender.retain(|_, received| now_ms < received.heard_at_ms + forget_after_ms);
    }

    /// Returns the VMs listed by senders that aren't silent; a VM may occur several times.
    pub(super) fn live_vms(
        &self,
        timing: VmTiming,
        now_ms: u64,
    ) -> impl Iterator<Item = &RemoteVm> {
        let recent =
            self.by_sender.values().filter(move |received| now_ms < received.silent_at_ms(&timing));
        recent.flat_map(|received| &received.vms)
    }

    /// Returns the VMs listed by senders that aren't silent by the shorter limit for store readers.
    ///
    /// The limit is extended by one period, since a summary is relayed with its receiver's next
    /// periodic messages.
    pub(super) fn reader_candidates(
        &self,
        timing: VmTiming,
        now_ms: u64,
    ) -> impl Iterator<Item = &RemoteVm> {
        let silent_at_ms = move |received: &ReceivedSummary| {
            let period_ms = received.summary.period_ms;
            let relay_delay_ms = period_ms.min(timing.max_silence_ms);
            received.heard_at_ms + timing.reader_silent_after_ms(period_ms) + relay_delay_ms
        };
        let recent =
            self.by_sender.values().filter(move |received| now_ms < silent_at_ms(received));
        recent.flat_map(|received| &received.vms)
    }

    /// Combines the other failure domains' views of the store.
    pub(super) fn store_health(&self, timing: &VmTiming, now_ms: u64) -> StoreHealth {
        let recent =
            self.by_sender.values().filter(|received| now_ms < received.silent_at_ms(timing));
        let views = recent.map(|received| {
            received.summary.store_health.extrapolate(now_ms.saturating_sub(received.heard_at_ms))
        });
        views.fold(StoreHealth::Unknown, StoreHealth::combine)
    }

    /// Returns the addresses of the VMs of a failure domain listed by senders that aren't silent.
    pub(super) fn domain_addresses(
        &self,
        domain: &str,
        timing: VmTiming,
        now_ms: u64,
    ) -> Set<SocketAddr> {
        let in_domain = self.live_vms(timing, now_ms).filter(|vm| *vm.descriptor.domain == *domain);
        in_domain.map(|vm| vm.descriptor.peer_address).collect()
    }
}

impl ReceivedSummary {
    fn silent_at_ms(&self, timing: &VmTiming) -> u64 {
        self.heard_at_ms + timing.silent_after_ms(self.summary.period_ms)
    }
}
