//! A simulation of the protocols between entry VMs, on one clock, with network faults: membership,
//! reports of crashes and of rate limits, and quotas of client accounts.
//!
//! Upstreams are not simulated, and the store only if VMs follow it. Datagrams have a latency, may be
//! lost, and are counted by their bytes on the wire and by the distance between sender and receiver.

mod quotas;
mod start;
mod store;

use std::cmp::Reverse;
use std::collections::{BTreeSet, BinaryHeap};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};

use fastrand::Rng;
use sedgepath_core::clock::HybridTimestamp;
use sedgepath_core::direct::accounts::{AccountKey, Quota};
use sedgepath_core::direct::crashes::{CrashLedger, Verdict};
use sedgepath_core::direct::fingerprint::RequestFingerprints;
use sedgepath_core::direct::quotas::{Quotas, Ticket};
use sedgepath_core::direct::rate_limits::RateLimits;
use sedgepath_core::direct::reports::{Report, ReportQueue};
use sedgepath_core::direct::store_version::StoreVersion;
use sedgepath_core::direct::upstreams::IncarnationKey;
use sedgepath_core::direct::vms::gossip::{Heartbeat, OutgoingMessage, PeerMessage};
use sedgepath_core::direct::vms::{VmDescriptor, VmHeartbeat, VmTable};
use sedgepath_core::hash::{Map, Set};

use crate::direct::{HEARTBEAT_MS, QUOTA_BOUNDS, TIMING};

pub use quotas::{RejectedRequests, SentRequest};
use start::{StartEvent, StartingStore, VmStart};
pub use start::{StoreLoad, TableSize};
pub use store::StoreAccess;
use store::{Follower, SimulatedStore, StoreEvent};

/// The size of a datagram's IP and UDP headers in bytes.
const IP_UDP_HEADER_BYTES: u64 = 28;

/// The number of failure domains in a region.
const DOMAINS_PER_REGION: usize = 3;

/// The time for which a VM collects reports before it sends them, in milliseconds.
const REPORT_DELAY_MS: u64 = 20;

/// How often a VM checks between its heartbeats whether others have joined or gone, in milliseconds.
const MEMBERSHIP_CHECK_INTERVAL_MS: u64 = 500;

const PEER_PORT: u16 = 7_000;

/// The index of a VM.
pub type VmIndex = usize;

/// Bytes sent, by the distance between sender and receiver.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct SentBytes {
    /// Bytes sent within failure domains.
    pub in_domain: u64,
    /// Bytes sent between failure domains of one region.
    pub in_region: u64,
    /// Bytes sent between regions.
    pub between_regions: u64,
}

#[derive(Debug)]
struct Vm {
    table: Option<VmTable>,
    ledger: Option<CrashLedger>,
    limits: Option<RateLimits>,
    reports: ReportQueue,
    quotas: Option<Quotas>,
    /// The requests that wait for tokens.
    waiting: Vec<(AccountKey, Ticket)>,
    /// When they are decided again, in milliseconds.
    decides_at_ms: u64,
    follower: Option<Follower>,
    start: Option<VmStart>,
    boot_at_ms: u64,
    suspended_until_ms: u64,
}

#[derive(Debug)]
enum Event {
    GossipRound { vm: VmIndex, boot: u64 },
    MembershipCheck { vm: VmIndex, boot: u64, next_round_at_ms: u64 },
    ReportRound { vm: VmIndex },
    Ready { vm: VmIndex, boot: u64 },
    QuotaRound { vm: VmIndex, boot: u64 },
    QuotaDecision { vm: VmIndex },
    Arrival { vm: VmIndex, from: VmIndex, message: Box<PeerMessage> },
    Store(StoreEvent),
    Start { vm: VmIndex, boot: u64, event: StartEvent },
}

/// VMs and a simulated network between them.
#[derive(Debug)]
pub struct VmNetwork {
    per_domain: usize,
    now_ms: u64,
    rng: Rng,
    vms: Vec<Vm>,
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    events: Map<u64, Event>,
    last_event_id: u64,
    last_boot_at_ms: u64,
    last_timestamp_ms: u64,
    cut: Set<(VmIndex, VmIndex)>,
    quotas: Map<AccountKey, Quota>,
    store: Option<SimulatedStore>,
    starting_store: StartingStore,
    /// The requests that were sent, in order.
    pub sent_requests: Vec<SentRequest>,
    /// The requests that were rejected.
    pub rejected_requests: RejectedRequests,
    /// The fraction of datagrams that are lost.
    pub loss_rate: f64,
    /// The time that a message takes within a region, in milliseconds.
    pub in_region_ms: u64,
    /// The time that a message takes between regions, in milliseconds.
    pub between_regions_ms: u64,
    /// The bytes sent by all VMs, including those of lost datagrams.
    pub sent_bytes: SentBytes,
    /// The bytes sent by each VM.
    pub sent_bytes_by_vm: Vec<u64>,
    /// The reports that reached each VM.
    pub received_reports_by_vm: Vec<u64>,
}

impl VmNetwork {
    /// Creates a network without running VMs.
    pub fn new(domains: usize, per_domain: usize, seed: u64) -> Self {
        let count = domains * per_domain;
        let vm = |_| Vm {
            table: None,
            ledger: None,
            limits: None,
            reports: ReportQueue::default(),
            quotas: None,
            waiting: Vec::new(),
            decides_at_ms: 0,
            follower: None,
            start: None,
            boot_at_ms: 0,
            suspended_until_ms: 0,
        };
        Self {
            per_domain,
            now_ms: 0,
            rng: Rng::with_seed(seed),
            vms: (0..count).map(vm).collect(),
            queue: BinaryHeap::new(),
            events: Map::default(),
            last_event_id: 0,
            last_boot_at_ms: 1_000_000,
            last_timestamp_ms: 0,
            cut: Set::default(),
            quotas: Map::default(),
            store: None,
            starting_store: StartingStore::default(),
            sent_requests: Vec::new(),
            rejected_requests: RejectedRequests::default(),
            loss_rate: 0.0,
            in_region_ms: 2,
            between_regions_ms: 20,
            sent_bytes: SentBytes::default(),
            sent_bytes_by_vm: vec![0; count],
            received_reports_by_vm: vec![0; count],
        }
    }

    /// Creates a network in which all VMs are running and know each other.
    pub fn running(domains: usize, per_domain: usize, seed: u64) -> Self {
        let mut net = Self::new(domains, per_domain, seed);
        let all: Vec<VmIndex> = (0..net.vms.len()).collect();
        for number in &all {
            net.start(*number, &all);
        }
        net.run_for(3_000);
        net
    }

    /// Returns the number of VMs, including those that are not running.
    pub fn count(&self) -> usize {
        self.vms.len()
    }

    /// Returns the time of the simulated clock in milliseconds.
    pub fn now_ms(&self) -> u64 {
        self.now_ms
    }

    /// Returns the index of a VM's failure domain.
    pub fn domain(&self, vm: VmIndex) -> usize {
        vm / self.per_domain
    }

    /// Returns the VMs in a failure domain, running or not.
    pub fn vms_in_domain(&self, domain: usize) -> Vec<VmIndex> {
        (domain * self.per_domain..(domain + 1) * self.per_domain).collect()
    }

    /// Returns the VMs in a region, running or not.
    pub fn vms_in_region(&self, region: usize) -> Vec<VmIndex> {
        let per_region = DOMAINS_PER_REGION * self.per_domain;
        (region * per_region..(region + 1) * per_region).filter(|vm| *vm < self.count()).collect()
    }

    /// Starts a VM that has read the rows of these VMs from the store.
    pub fn start(&mut self, vm: VmIndex, rows: &[VmIndex]) {
        self.start_boot(vm, None);
        let now_ms = self.now_ms;
        let others: Vec<_> = rows.iter().map(|row| (self.descriptor(*row), *row)).collect();
        let table = self.table_mut(vm);
        for (descriptor, row) in others {
            if row != vm {
                table.add_vm(
                    descriptor.peer_address,
                    &descriptor.domain,
                    &descriptor.region,
                    now_ms,
                );
            }
        }
    }

    /// Starts a VM as [`start`](Self::start) does that isn't ready before a time in milliseconds: it has
    /// no configuration yet.
    pub fn start_ready_at(&mut self, vm: VmIndex, rows: &[VmIndex], ready_at_ms: u64) {
        self.start(vm, rows);
        self.table_mut(vm).set_ready(false);
        let boot = self.vms[vm].boot_at_ms;
        self.schedule(ready_at_ms, Event::Ready { vm, boot });
    }

    /// Starts a VM that knows only the addresses of seed VMs.
    pub fn start_with_seeds(&mut self, vm: VmIndex, seeds: &[VmIndex]) {
        self.start_boot(vm, None);
        self.add_seeds(vm, seeds);
    }

    /// Starts a VM that knows seed addresses and whose clock was set back, so its boot time is too old.
    pub fn start_with_clock_set_back(&mut self, vm: VmIndex, seeds: &[VmIndex]) {
        let boot = self.last_boot_at_ms - 900_000;
        self.start_boot(vm, Some(boot));
        self.add_seeds(vm, seeds);
    }

    fn add_seeds(&mut self, vm: VmIndex, seeds: &[VmIndex]) {
        let now_ms = self.now_ms;
        for seed in seeds {
            self.table_mut(vm).add_address(address(*seed), now_ms);
        }
    }

    fn start_boot(&mut self, vm: VmIndex, boot: Option<u64>) {
        self.last_boot_at_ms += 1;
        let boot = boot.unwrap_or(self.last_boot_at_ms);
        let mut heartbeat = VmHeartbeat::new(self.descriptor(vm), boot, HEARTBEAT_MS);
        heartbeat.state.ready = true;
        let table = VmTable::new(heartbeat, TIMING);
        let regions = (0..self.count()).map(|vm| self.descriptor(vm).region).collect();
        self.vms[vm] = Vm {
            ledger: Some(CrashLedger::new(table.key())),
            limits: Some(RateLimits::new(table.key())),
            reports: ReportQueue::default(),
            quotas: Some(Quotas::new(table.key(), QUOTA_BOUNDS, regions, boot)),
            waiting: Vec::new(),
            decides_at_ms: 0,
            follower: None,
            start: None,
            table: Some(table),
            boot_at_ms: boot,
            suspended_until_ms: 0,
        };
        let first_ms = self.now_ms + self.rng.u64(1..100);
        self.schedule(first_ms, Event::GossipRound { vm, boot });
        self.schedule(first_ms, Event::QuotaRound { vm, boot });
    }

    /// Kills VMs, which announce nothing.
    pub fn kill(&mut self, vms: &[VmIndex]) {
        for vm in vms {
            self.vms[*vm].table = None;
            self.vms[*vm].ledger = None;
            self.vms[*vm].limits = None;
            self.vms[*vm].quotas = None;
            self.vms[*vm].follower = None;
            self.vms[*vm].start = None;
            self.vms[*vm].waiting.clear();
        }
    }

    /// Suspends VMs for a duration in milliseconds.
    pub fn suspend(&mut self, vms: &[VmIndex], for_ms: u64) {
        for vm in vms {
            self.vms[*vm].suspended_until_ms = self.now_ms + for_ms;
        }
    }

    /// Drops all datagrams from some VMs to others.
    pub fn cut_one_way(&mut self, from: &[VmIndex], to: &[VmIndex]) {
        for from in from {
            self.cut.extend(to.iter().map(|to| (*from, *to)));
        }
    }

    /// Drops all datagrams between two groups of VMs.
    pub fn cut(&mut self, group: &[VmIndex], others: &[VmIndex]) {
        self.cut_one_way(group, others);
        self.cut_one_way(others, group);
    }

    /// Restores all links that were cut.
    pub fn heal_all(&mut self) {
        self.cut.clear();
    }

    /// Returns a VM's membership table, or `None` if the VM is not running.
    pub fn table(&self, vm: VmIndex) -> Option<&VmTable> {
        self.vms[vm].table.as_ref()
    }

    /// Returns a mutable reference to a VM's membership table.
    ///
    /// # Panics
    ///
    /// Panics if the VM is not running.
    pub fn table_mut(&mut self, vm: VmIndex) -> &mut VmTable {
        self.vms[vm].table.as_mut().expect("the VM should be running")
    }

    /// Returns what a VM may do with a request, or `None` if the VM is not running.
    pub fn verdict(&self, vm: VmIndex, request: &RequestFingerprints) -> Option<Verdict> {
        Some(self.vms[vm].ledger.as_ref()?.verdict(request, self.now_ms))
    }

    /// Records that a VM lost a request at an upstream that crashed.
    pub fn crash(&mut self, vm: VmIndex, request: &RequestFingerprints, upstream: IncarnationKey) {
        let now_ms = self.now_ms;
        let Vm { ledger, reports, .. } = &mut self.vms[vm];
        if let Some(ledger) = ledger {
            ledger.record_crash(request, upstream, reports, now_ms);
            self.schedule(now_ms + REPORT_DELAY_MS, Event::ReportRound { vm });
        }
    }

    /// Records that a VM relayed the response to a request.
    pub fn succeed(&mut self, vm: VmIndex, request: &RequestFingerprints) {
        let now_ms = self.now_ms;
        let Vm { ledger, reports, .. } = &mut self.vms[vm];
        if let Some(ledger) = ledger {
            ledger.record_success(request, reports, now_ms);
            self.schedule(now_ms + REPORT_DELAY_MS, Event::ReportRound { vm });
        }
    }

    /// Records a response to a VM in which an upstream states a rate limit.
    pub fn state_limit(&mut self, vm: VmIndex, upstream: IncarnationKey, per_s: f64) {
        let now_ms = self.now_ms;
        let Vm { limits, reports, .. } = &mut self.vms[vm];
        if let Some(limits) = limits {
            limits.record_response(upstream, Some(per_s), now_ms, reports, now_ms);
            self.schedule(now_ms + REPORT_DELAY_MS, Event::ReportRound { vm });
        }
    }

    /// Returns the limit of an upstream as known to a VM, in requests per second.
    pub fn limit_per_s(&self, vm: VmIndex, upstream: IncarnationKey) -> Option<f64> {
        self.vms[vm].limits.as_ref()?.limit_per_s(upstream)
    }

    /// Returns the VMs that are running.
    pub fn running_vms(&self) -> BTreeSet<VmIndex> {
        (0..self.count()).filter(|vm| self.vms[*vm].table.is_some()).collect()
    }

    /// Returns the VMs that a VM regards as serving.
    pub fn serving(&self, vm: VmIndex) -> BTreeSet<VmIndex> {
        let Some(table) = self.table(vm) else {
            return BTreeSet::new();
        };
        let descriptors = table.serving_vms(self.now_ms);
        descriptors.into_iter().map(|descriptor| vm_index(descriptor.peer_address)).collect()
    }

    /// Advances the clock in steps of 100 ms until a condition holds; returns the time in milliseconds,
    /// or `None` if the condition doesn't hold within `within_ms`.
    pub fn run_until(
        &mut self,
        within_ms: u64,
        mut holds: impl FnMut(&Self) -> bool,
    ) -> Option<u64> {
        let started_at_ms = self.now_ms;
        while self.now_ms < started_at_ms + within_ms {
            self.run_for(100);
            if holds(self) {
                return Some(self.now_ms - started_at_ms);
            }
        }
        None
    }

    /// Advances the clock and processes all events that fall due.
    pub fn run_for(&mut self, duration_ms: u64) {
        let until_ms = self.now_ms + duration_ms;
        while let Some(Reverse((at_ms, id))) = self.queue.peek().copied() {
            if at_ms > until_ms {
                break;
            }
            self.queue.pop();
            self.now_ms = at_ms;
            if let Some(event) = self.events.remove(&id) {
                self.handle_event(event);
            }
        }
        self.now_ms = until_ms;
    }

    fn handle_event(&mut self, event: Event) {
        match event {
            Event::GossipRound { vm, boot } => self.run_gossip_round(vm, boot),
            Event::MembershipCheck { vm, boot, next_round_at_ms } => {
                self.check_membership(vm, boot, next_round_at_ms);
            }
            Event::ReportRound { vm } => self.send_reports(vm),
            Event::Ready { vm, boot } => {
                if self.vms[vm].boot_at_ms == boot
                    && let Some(table) = &mut self.vms[vm].table
                {
                    table.set_ready(true);
                }
            }
            Event::QuotaRound { vm, boot } => self.run_quota_round(vm, boot),
            Event::QuotaDecision { vm } => self.decide_waiting(vm),
            Event::Arrival { vm, from, message } => self.deliver(vm, from, message),
            Event::Store(event) => self.handle_store_event(event),
            Event::Start { vm, boot, event } => self.handle_start_event(vm, boot, event),
        }
    }

    fn run_gossip_round(&mut self, vm: VmIndex, boot: u64) {
        if self.vms[vm].boot_at_ms != boot {
            return;
        }
        let resumes_at_ms = self.vms[vm].suspended_until_ms;
        if self.now_ms < resumes_at_ms {
            return self.schedule(resumes_at_ms, Event::GossipRound { vm, boot });
        }
        self.last_timestamp_ms += 1;
        let timestamp = HybridTimestamp { time_ms: self.last_timestamp_ms, count: 0 };
        self.update_replica_state(vm);
        let (now_ms, mut rng) = (self.now_ms, self.rng.fork());
        let Some(table) = &mut self.vms[vm].table else {
            return;
        };
        let messages = table.periodic_messages(timestamp, &mut rng, now_ms);
        let period_ms = table.period_ms();
        self.send_all(vm, messages);
        let next_round_at_ms = now_ms + period_ms;
        self.schedule(next_round_at_ms, Event::GossipRound { vm, boot });
        self.schedule_membership_check(vm, boot, next_round_at_ms);
    }

    fn schedule_membership_check(&mut self, vm: VmIndex, boot: u64, next_round_at_ms: u64) {
        let at_ms = self.now_ms + MEMBERSHIP_CHECK_INTERVAL_MS;
        if at_ms < next_round_at_ms {
            self.schedule(at_ms, Event::MembershipCheck { vm, boot, next_round_at_ms });
        }
    }

    fn check_membership(&mut self, vm: VmIndex, boot: u64, next_round_at_ms: u64) {
        let (now_ms, mut rng) = (self.now_ms, self.rng.fork());
        let is_suspended = now_ms < self.vms[vm].suspended_until_ms;
        if self.vms[vm].boot_at_ms != boot || is_suspended {
            return;
        }
        let stamp = self.next_timestamp();
        if let Some(table) = &mut self.vms[vm].table {
            let messages = table.membership_change_messages(stamp, &mut rng, now_ms);
            self.send_all(vm, messages);
            self.schedule_membership_check(vm, boot, next_round_at_ms);
        }
    }

    fn send_reports(&mut self, vm: VmIndex) {
        let (now_ms, mut rng) = (self.now_ms, self.rng.fork());
        let resumes_at_ms = self.vms[vm].suspended_until_ms;
        let Vm { table: Some(table), reports, .. } = &mut self.vms[vm] else {
            return;
        };
        if now_ms < resumes_at_ms {
            return self.schedule(resumes_at_ms, Event::ReportRound { vm });
        }
        let due = reports.take_due(now_ms);
        let next_at_ms = reports.due_at_ms();
        let messages = table.report_messages(due, StoreVersion::default(), &mut rng);
        self.send_all(vm, messages);
        if let Some(at_ms) = next_at_ms {
            self.schedule(at_ms, Event::ReportRound { vm });
        }
    }

    fn send_all(&mut self, from: VmIndex, messages: Vec<OutgoingMessage>) {
        for OutgoingMessage { message, to } in messages {
            for to in to {
                self.send(from, to, message.clone());
            }
        }
    }

    /// Returns the time that a message takes from one VM to another, in milliseconds.
    fn latency_ms(&self, from: VmIndex, to: VmIndex) -> u64 {
        let region = |vm| self.domain(vm) / DOMAINS_PER_REGION;
        if region(from) == region(to) { self.in_region_ms } else { self.between_regions_ms }
    }

    fn send(&mut self, from: VmIndex, to: SocketAddr, message: PeerMessage) {
        let to = vm_index(to);
        let encoded = postcard::to_stdvec(&message).expect("peer messages are serializable");
        let bytes = IP_UDP_HEADER_BYTES + encoded.len() as u64;
        self.sent_bytes_by_vm[from] += bytes;
        let same_region =
            self.domain(from) / DOMAINS_PER_REGION == self.domain(to) / DOMAINS_PER_REGION;
        let latency_ms = self.latency_ms(from, to);
        if self.domain(from) == self.domain(to) {
            self.sent_bytes.in_domain += bytes;
        } else if same_region {
            self.sent_bytes.in_region += bytes;
        } else {
            self.sent_bytes.between_regions += bytes;
        }
        if !self.cut.contains(&(from, to)) && self.rng.f64() >= self.loss_rate {
            let arrives_at_ms = self.now_ms + latency_ms + self.rng.u64(0..3);
            self.schedule(
                arrives_at_ms,
                Event::Arrival { vm: to, from, message: Box::new(message) },
            );
        }
    }

    fn deliver(&mut self, vm: VmIndex, from: VmIndex, message: Box<PeerMessage>) {
        let resumes_at_ms = self.vms[vm].suspended_until_ms;
        if self.now_ms < resumes_at_ms {
            return self.schedule(resumes_at_ms, Event::Arrival { vm, from, message });
        }
        if let PeerMessage::Quota(message) = *message {
            return self.deliver_quota_message(vm, from, message);
        }
        let now_ms = self.now_ms;
        let own_domain = self.domain(vm);
        let (mut join_reply, mut announced) = (None, None);
        self.last_timestamp_ms += 1;
        let timestamp = HybridTimestamp { time_ms: self.last_timestamp_ms, count: 0 };
        let mut rng = self.rng.fork();
        let Vm { table: Some(table), ledger: Some(ledger), limits: Some(limits), reports, .. } =
            &mut self.vms[vm]
        else {
            return;
        };
        let mut has_news = false;
        match *message {
            PeerMessage::Heartbeat(Heartbeat::StateOnly(state)) => {
                if table.record_state(address(from), state, now_ms) {
                    announced = Some(state.newest_version[0]);
                }
            }
            PeerMessage::Heartbeat(Heartbeat::Full(heartbeat)) => {
                announced = Some(heartbeat.state.newest_version[0]);
                let domain = heartbeat.descriptor.domain.clone();
                let has_joined = table.record_heartbeat(heartbeat, now_ms);
                if from / self.per_domain != own_domain {
                    join_reply = Some(table.join_reply(&domain, timestamp, &mut rng, now_ms));
                } else if has_joined && table.introduces_itself(&mut rng) {
                    let heartbeat = Heartbeat::Full(table.heartbeat(timestamp));
                    join_reply = Some(vec![PeerMessage::Heartbeat(heartbeat)]);
                }
            }
            PeerMessage::Quota(_) | PeerMessage::Load(_) => {}
            PeerMessage::Summary(summary) => {
                announced = Some(summary.changed_at[0]);
                table.record_summary(summary, now_ms);
            }
            PeerMessage::SummaryPart(part, summary) => {
                announced = Some(summary.changed_at[0]);
                table.record_summary(summary.with_part(part), now_ms);
            }
            PeerMessage::RelayedSummary(summaries) => {
                for summary in summaries {
                    table.record_relayed_summary(summary, now_ms);
                }
            }
            PeerMessage::Reports(received) => {
                self.received_reports_by_vm[vm] += received.reports.len() as u64;
                for report in &received.reports {
                    let is_news = match report {
                        Report::RateLimit { upstream, per_s, age_ms } => {
                            limits.receive(*upstream, *per_s, *age_ms, now_ms)
                        }
                        _ => ledger.receive(report, now_ms),
                    };
                    if is_news && received.relay {
                        reports.relay(report.clone(), now_ms);
                    }
                    has_news |= is_news;
                }
            }
        }
        if has_news {
            self.schedule(now_ms + REPORT_DELAY_MS, Event::ReportRound { vm });
        }
        if let Some(announced) = announced {
            self.hear_version(vm, announced, from);
        }
        for message in join_reply.into_iter().flatten() {
            self.send(vm, address(from), message);
        }
    }

    fn schedule(&mut self, at_ms: u64, event: Event) {
        self.last_event_id += 1;
        self.queue.push(Reverse((at_ms, self.last_event_id)));
        self.events.insert(self.last_event_id, event);
    }

    fn descriptor(&self, vm: VmIndex) -> VmDescriptor {
        let domain = self.domain(vm);
        let peer_address = address(vm);
        VmDescriptor {
            name: format!("front-domain-{domain}-{vm}").into(),
            domain: format!("region-domain-{domain}").into(),
            region: format!("region-{}", domain / DOMAINS_PER_REGION).into(),
            caller_address: SocketAddr::new(peer_address.ip(), 8_641),
            peer_address,
            capacity_per_s: 200,
        }
    }
}

fn address(vm: VmIndex) -> SocketAddr {
    let [_, _, high, low] = (vm as u32 + 1).to_be_bytes();
    SocketAddr::new(IpAddr::V4(Ipv4Addr::new(10, 0, high, low)), PEER_PORT)
}

fn vm_index(address: SocketAddr) -> VmIndex {
    match address.ip() {
        IpAddr::V4(ip) => {
            let [_, _, high, low] = ip.octets();
            usize::from(u16::from_be_bytes([high, low])) - 1
        }
        IpAddr::V6(_) => unreachable!("all VMs have IPv4 addresses"),
    }
}
