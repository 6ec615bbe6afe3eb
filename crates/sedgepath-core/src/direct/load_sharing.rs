//! What VMs of a region tell each other of the load at upstreams.
//!
//! A VM with callers' requests tells other active VMs of its region, for each upstream that it has used
//! within [`RECENT_USE_MS`], how many requests it has in flight there and the newest report that the
//! upstream has given it. A VM is active for the others while they receive its messages.
//!
//! # Introductions
//!
//! Which VMs are active isn't known beforehand: heartbeats tell of the load of VMs in the own failure
//! domain only. An active VM therefore introduces itself from time to time, by an empty message, to
//! those that may be active ([`VmTable::load_introductions`]); those that are active respond by
//! sending their load.
//!
//! # Bytes
//!
//! [`MAX_BYTES_PER_S`] holds over all receivers. The time until the next message follows from the size of
//! the last. Upstreams that don't fit wait for the next message, those first that waited longest.

mod message;
mod senders;

use std::net::SocketAddr;

use self::message::saturate;
use self::senders::Senders;
use super::demand::DemandReport;
use super::upstreams::{Upstream, UpstreamKey, UpstreamTable};
use super::vms::VmTable;
use super::vms::gossip::{OutgoingMessage, PeerMessage};
use crate::hash::{Map, Set};
use crate::key::VmKey;

pub use self::message::{LoadMessage, SentReport, ShortIncarnationKey, UpstreamLoad};

/// The time after its last use for which a VM tells of an upstream, and after its last request for which
/// it sends messages, in milliseconds.
pub const RECENT_USE_MS: u64 = 1_000;

/// The most bytes that a VM sends each second, those of lower layers included.
pub const MAX_BYTES_PER_S: u64 = 6_000;

/// The bytes of a datagram's IP and UDP headers and of the seal.
pub const DATAGRAM_OVERHEAD_BYTES: u64 = 28 + 26;

/// The shortest time between two messages, in milliseconds.
pub const MIN_INTERVAL_MS: u64 = 100;

/// The time between two messages that their size aims at, at most, in milliseconds: what they tell
/// expires after a second.
const MAX_INTERVAL_MS: u64 = 300;

/// The largest message, in bytes, so that it fits a datagram.
const MAX_MESSAGE_BYTES: usize = 1_400;

/// The time between two messages with the demand, in milliseconds.
const DEMAND_INTERVAL_MS: u64 = 1_000;

/// The most services whose demand is sent.
const MAX_DEMAND_SERVICES: usize = 48;

/// The time between two introductions, in milliseconds.
const INTRODUCTION_INTERVAL_MS: u64 = 2_000;

/// How often a VM without requests checks whether it has some, in milliseconds.
const IDLE_CHECK_INTERVAL_MS: u64 = 250;

/// What was last sent of an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct SentLoad {
    in_flight: u16,
    report_at_ms: Option<u64>,
}

impl SentLoad {
    fn of(upstream: &Upstream) -> Self {
        Self {
            in_flight: saturate(upstream.in_flight.into()),
            report_at_ms: upstream.own_report().map(|report| report.at_ms),
        }
    }
}

/// An upstream that this VM has used lately.
#[derive(Debug, Clone, Copy, Default)]
struct UsedUpstream {
    used_at_ms: u64,
    sent_at_ms: u64,
    sent: Option<SentLoad>,
}

/// What this VM tells others of its load, and which VMs tell it theirs.
#[derive(Debug)]
pub struct LoadSharing {
    boot_at_ms: u64,
    number: u32,
    used: Map<UpstreamKey, UsedUpstream>,
    requested_at_ms: Option<u64>,
    next_send_at_ms: u64,
    next_demand_at_ms: u64,
    next_introduction_at_ms: u64,
    senders: Senders,
}

impl LoadSharing {
    /// Creates the state of a process that started at a time in milliseconds since the Unix epoch.
    pub fn new(boot_at_ms: u64) -> Self {
        Self {
            boot_at_ms,
            number: 0,
            used: Map::default(),
            requested_at_ms: None,
            next_send_at_ms: 0,
            next_demand_at_ms: 0,
            next_introduction_at_ms: 0,
            senders: Senders::default(),
        }
    }

    /// Records a request of a caller.
    pub fn record_request(&mut self, now_ms: u64) {
        self.requested_at_ms = Some(now_ms);
    }

    /// Records that a request was sent to an upstream, or has ended there.
    pub fn record_use(&mut self, upstream: UpstreamKey, now_ms: u64) {
        self.requested_at_ms = Some(now_ms);
        self.used.entry(upstream).or_default().used_at_ms = now_ms;
    }

    /// Returns when to call [`take_due`](Self::take_due) again after a call, in milliseconds.
    pub fn next_send_at_ms(&self, now_ms: u64) -> u64 {
        if self.has_requests(now_ms) {
            self.next_send_at_ms.max(now_ms + MIN_INTERVAL_MS)
        } else {
            now_ms + IDLE_CHECK_INTERVAL_MS
        }
    }

    /// Returns the messages that are due: the load for active VMs, and introductions.
    pub fn take_due(
        &mut self,
        upstreams: &UpstreamTable,
        vms: &VmTable,
        demand: &dyn Fn() -> DemandReport,
        now_ms: u64,
    ) -> Vec<OutgoingMessage> {
        if !self.has_requests(now_ms) {
            self.used.clear();
            return Vec::new();
        }
        if now_ms < self.next_send_at_ms {
            return Vec::new();
        }
        let mut outgoing = Vec::new();
        let receivers = vms.load_receivers(self.senders.active(now_ms));
        if !receivers.is_empty() {
            outgoing.extend(self.load_message(receivers, upstreams, demand, now_ms));
        }
        if now_ms >= self.next_introduction_at_ms {
            self.next_introduction_at_ms = now_ms + INTRODUCTION_INTERVAL_MS;
            let is_active = |address| self.senders.is_active(address, now_ms);
            let to = vms.load_introductions(&is_active, now_ms);
            if !to.is_empty() {
                let message = self.numbered(MIN_INTERVAL_MS, None, Vec::new());
                outgoing.push(OutgoingMessage { message: PeerMessage::Load(message), to });
            }
        }
        let bytes: u64 = outgoing.iter().map(sent_bytes).sum();
        self.next_send_at_ms = now_ms + interval_ms(bytes);
        outgoing
    }

    /// Returns the message with the upstreams that are due, if any is, and with the demand if it is due.
    fn load_message(
        &mut self,
        receivers: Vec<SocketAddr>,
        upstreams: &UpstreamTable,
        demand: &dyn Fn() -> DemandReport,
        now_ms: u64,
    ) -> Option<OutgoingMessage> {
        let demand = self.due_demand(demand, now_ms);
        let mut message = LoadMessage { demand, ..LoadMessage::default() };
        let with_demand_bytes = message.max_bytes();
        let interval_bytes = MAX_BYTES_PER_S * MAX_INTERVAL_MS / 1_000 / receivers.len() as u64;
        let usual_bytes = interval_bytes.saturating_sub(DATAGRAM_OVERHEAD_BYTES) as usize;
        let free_bytes = usual_bytes.min(MAX_MESSAGE_BYTES - with_demand_bytes);
        let due = self.due_upstreams(upstreams, now_ms);
        let due_count = due.len();
        message.upstreams = self.take_entries(due, free_bytes, now_ms);
        if message.upstreams.is_empty() && message.demand.is_none() {
            return None;
        }
        let parts = due_count.div_ceil(message.upstreams.len().max(1)).max(1) as u64;
        let bytes = (message.max_bytes() as u64 + DATAGRAM_OVERHEAD_BYTES) * receivers.len() as u64;
        let LoadMessage { demand, upstreams, .. } = message;
        let message = self.numbered(interval_ms(bytes) * parts, demand, upstreams);
        Some(OutgoingMessage { message: PeerMessage::Load(message), to: receivers })
    }

    fn due_demand(
        &mut self,
        demand: &dyn Fn() -> DemandReport,
        now_ms: u64,
    ) -> Option<DemandReport> {
        if now_ms < self.next_demand_at_ms {
            return None;
        }
        self.next_demand_at_ms = now_ms + DEMAND_INTERVAL_MS;
        let mut demand = demand();
        demand.services.truncate(MAX_DEMAND_SERVICES);
        (!demand.services.is_empty()).then_some(demand)
    }

    /// Returns the recently used upstreams with requests in flight or with a change since they were last
    /// sent, those first that were sent longest ago, and forgets the others.
    fn due_upstreams<'a>(
        &mut self,
        upstreams: &'a UpstreamTable,
        now_ms: u64,
    ) -> Vec<(u64, UpstreamKey, &'a Upstream)> {
        let mut due = Vec::new();
        self.used.retain(|key, used| {
            let Some(upstream) = upstreams.get(*key) else { return false };
            if upstream.in_flight > 0 || used.sent != Some(SentLoad::of(upstream)) {
                due.push((used.sent_at_ms, *key, upstream));
            }
            upstream.in_flight > 0 || now_ms < used.used_at_ms + RECENT_USE_MS
        });
        due.sort_unstable_by_key(|(sent_at_ms, key, _)| (*sent_at_ms, *key));
        due
    }

    /// Returns the entries of the first upstreams, as many as fit.
    fn take_entries(
        &mut self,
        due: Vec<(u64, UpstreamKey, &Upstream)>,
        mut free_bytes: usize,
        now_ms: u64,
    ) -> Vec<UpstreamLoad> {
        let mut entries = Vec::new();
        for (_, key, upstream) in due {
            let entry = entry_of(upstream, now_ms);
            let bytes = entry.encoded_bytes();
            if bytes > free_bytes && !entries.is_empty() {
                break;
            }
            free_bytes = free_bytes.saturating_sub(bytes);
            if let Some(used) = self.used.get_mut(&key) {
                (used.sent_at_ms, used.sent) = (now_ms, Some(SentLoad::of(upstream)));
            }
            entries.push(entry);
        }
        entries
    }

    fn numbered(
        &mut self,
        period_ms: u64,
        demand: Option<DemandReport>,
        upstreams: Vec<UpstreamLoad>,
    ) -> LoadMessage {
        self.number = self.number.wrapping_add(1);
        let period_ms = saturate(period_ms);
        LoadMessage {
            boot_at_ms: self.boot_at_ms,
            number: self.number,
            period_ms,
            demand,
            upstreams,
        }
    }

    /// Records what another VM tells of upstreams. Returns whether the message is newer than the last one
    /// of its sender.
    pub fn receive(
        &mut self,
        from: SocketAddr,
        message: &LoadMessage,
        upstreams: &mut UpstreamTable,
        now_ms: u64,
    ) -> bool {
        let key = VmTable::key_of(from);
        let Some(accepted) = self.senders.accept(from, key, message, now_ms) else {
            return false;
        };
        forget_vm(upstreams, accepted.sender, &accepted.ended_at);
        for entry in &message.upstreams {
            let Some((key, upstream)) = upstreams.by_short_key_mut(entry.upstream) else {
                continue;
            };
            upstream.receive_load(accepted.sender, entry, message.period_ms, now_ms);
            self.senders.record_stated(from, key, entry.in_flight);
        }
        true
    }

    /// Forgets what an earlier process at an address has told, since a later one runs there.
    pub fn record_process(
        &mut self,
        address: SocketAddr,
        boot_at_ms: u64,
        upstreams: &mut UpstreamTable,
    ) {
        if let Some((vm, ended_at)) = self.senders.end_earlier_process(address, boot_at_ms) {
            forget_vm(upstreams, vm, &ended_at);
        }
    }

    /// Returns the number of other VMs that have sent their load lately.
    pub fn active_vms(&self, now_ms: u64) -> usize {
        self.senders.active(now_ms).count()
    }

    fn has_requests(&self, now_ms: u64) -> bool {
        self.requested_at_ms.is_some_and(|at_ms| now_ms < at_ms + RECENT_USE_MS)
    }
}

fn forget_vm(upstreams: &mut UpstreamTable, vm: VmKey, ended_at: &Set<UpstreamKey>) {
    for key in ended_at {
        if let Some(upstream) = upstreams.get_mut(*key) {
            upstream.forget_load_of(vm);
        }
    }
}

fn entry_of(upstream: &Upstream, now_ms: u64) -> UpstreamLoad {
    let recent = upstream.own_report().filter(|report| now_ms < report.at_ms + RECENT_USE_MS);
    UpstreamLoad {
        upstream: ShortIncarnationKey::of(upstream.incarnation),
        in_flight: saturate(upstream.in_flight.into()),
        report: recent.map(|own| SentReport::new(own.report, own.in_flight, now_ms - own.at_ms)),
    }
}

fn sent_bytes(outgoing: &OutgoingMessage) -> u64 {
    let PeerMessage::Load(message) = &outgoing.message else { return 0 };
    (message.max_bytes() as u64 + DATAGRAM_OVERHEAD_BYTES) * outgoing.to.len() as u64
}

/// Returns the time that a number of bytes takes at [`MAX_BYTES_PER_S`], in milliseconds, but at least
/// [`MIN_INTERVAL_MS`].
fn interval_ms(bytes: u64) -> u64 {
    (bytes * 1_000).div_ceil(MAX_BYTES_PER_S).max(MIN_INTERVAL_MS)
}
