//! Entry VMs that tell each other of themselves, on one clock, over a network with faults.
//!
//! Only membership is played: no requests, no store. Datagrams take some milliseconds, may be lost, and are
//! counted by the bytes that they have on the wire and by the way that they go.

use std::cmp::Reverse;
use std::collections::{BTreeSet, BinaryHeap};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};

use fastrand::Rng;
use sedgepath_core::clock::HybridTimestamp;
use sedgepath_core::direct::vms::gossip::{Heartbeat, OutgoingMessage, PeerMessage};
use sedgepath_core::direct::vms::{VmDescriptor, VmHeartbeat, VmTable};
use sedgepath_core::hash::{Map, Set};

use crate::direct::{HEARTBEAT_MS, TIMING};

/// The bytes of a datagram's IP and UDP headers.
const HEADER_BYTES: u64 = 28;

/// The failure domains of a region.
const DOMAINS_PER_REGION: usize = 3;

const PORT: u16 = 7_000;

/// A VM by its number.
pub type Number = usize;

/// The bytes that were sent by the way that they went.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct Sent {
    /// Within failure domains.
    pub in_domain: u64,
    /// Between failure domains of one region.
    pub in_region: u64,
    /// Between regions.
    pub far: u64,
}

#[derive(Debug)]
struct Vm {
    table: Option<VmTable>,
    boot: u64,
    suspended_until_ms: u64,
}

#[derive(Debug)]
enum Event {
    Round { vm: Number, boot: u64 },
    Arrival { vm: Number, from: Number, message: Box<PeerMessage> },
}

/// The VMs and the network between them.
#[derive(Debug)]
pub struct VmNet {
    per_domain: usize,
    now_ms: u64,
    rng: Rng,
    vms: Vec<Vm>,
    due: BinaryHeap<Reverse<(u64, u64)>>,
    events: Map<u64, Event>,
    scheduled: u64,
    boots: u64,
    stamps: u64,
    cut: Set<(Number, Number)>,
    /// The part of the datagrams that is lost.
    pub loss: f64,
    /// What was sent.
    pub sent: Sent,
    /// What each VM has sent, in bytes.
    pub sent_by: Vec<u64>,
}

impl VmNet {
    /// Creates a network in which no VM runs yet.
    pub fn new(domains: usize, per_domain: usize, seed: u64) -> Self {
        let count = domains * per_domain;
        let vm = |_| Vm { table: None, boot: 0, suspended_until_ms: 0 };
        Self {
            per_domain,
            now_ms: 0,
            rng: Rng::with_seed(seed),
            vms: (0..count).map(vm).collect(),
            due: BinaryHeap::new(),
            events: Map::default(),
            scheduled: 0,
            boots: 1_000_000,
            stamps: 0,
            cut: Set::default(),
            loss: 0.0,
            sent: Sent::default(),
            sent_by: vec![0; count],
        }
    }

    /// Creates one in which all VMs run and know each other.
    pub fn running(domains: usize, per_domain: usize, seed: u64) -> Self {
        let mut net = Self::new(domains, per_domain, seed);
        let all: Vec<Number> = (0..net.vms.len()).collect();
        for number in &all {
            net.start(*number, &all);
        }
        net.run_for(3_000);
        net
    }

    /// Returns the number of VMs, running or not.
    pub fn count(&self) -> usize {
        self.vms.len()
    }

    /// Returns the present moment in milliseconds.
    pub fn now_ms(&self) -> u64 {
        self.now_ms
    }

    /// Returns the number of the failure domain of a VM.
    pub fn domain(&self, vm: Number) -> usize {
        vm / self.per_domain
    }

    /// Returns the VMs of a failure domain.
    pub fn of_domain(&self, domain: usize) -> Vec<Number> {
        (domain * self.per_domain..(domain + 1) * self.per_domain).collect()
    }

    /// Returns the VMs of a region.
    pub fn of_region(&self, region: usize) -> Vec<Number> {
        let per_region = DOMAINS_PER_REGION * self.per_domain;
        (region * per_region..(region + 1) * per_region).filter(|vm| *vm < self.count()).collect()
    }

    /// Starts a VM that learns of others from the store.
    pub fn start(&mut self, vm: Number, rows: &[Number]) {
        self.start_at(vm, None);
        let now_ms = self.now_ms;
        let others: Vec<_> = rows.iter().map(|row| (self.card(*row), *row)).collect();
        let table = self.table_mut(vm);
        for (card, row) in others {
            if row != vm {
                table.add_vm(card.peer_address, &card.domain, &card.region, now_ms);
            }
        }
    }

    /// Starts a VM that knows nothing but some addresses.
    pub fn start_with_seeds(&mut self, vm: Number, seeds: &[Number]) {
        self.start_at(vm, None);
        self.add_seeds(vm, seeds);
    }

    /// Starts a VM that knows some addresses and whose clock was set back by an hour.
    pub fn start_with_clock_set_back(&mut self, vm: Number, seeds: &[Number]) {
        let boot = self.boots - 900_000;
        self.start_at(vm, Some(boot));
        self.add_seeds(vm, seeds);
    }

    fn add_seeds(&mut self, vm: Number, seeds: &[Number]) {
        let now_ms = self.now_ms;
        for seed in seeds {
            self.table_mut(vm).add_address(address(*seed), now_ms);
        }
    }

    fn start_at(&mut self, vm: Number, boot: Option<u64>) {
        self.boots += 1;
        let boot = boot.unwrap_or(self.boots);
        let mut own = VmHeartbeat::new(self.card(vm), boot, HEARTBEAT_MS);
        own.state.ready = true;
        self.vms[vm] = Vm { table: Some(VmTable::new(own, TIMING)), boot, suspended_until_ms: 0 };
        let first_ms = self.now_ms + self.rng.u64(1..100);
        self.at(first_ms, Event::Round { vm, boot });
    }

    /// Ends VMs without a word.
    pub fn kill(&mut self, vms: &[Number]) {
        for vm in vms {
            self.vms[*vm].table = None;
        }
    }

    /// Lets VMs stand still for a time.
    pub fn suspend(&mut self, vms: &[Number], for_ms: u64) {
        for vm in vms {
            self.vms[*vm].suspended_until_ms = self.now_ms + for_ms;
        }
    }

    /// Loses all that some VMs send to others.
    pub fn cut_one_way(&mut self, from: &[Number], to: &[Number]) {
        for from in from {
            self.cut.extend(to.iter().map(|to| (*from, *to)));
        }
    }

    /// Loses all that some VMs and others send to each other.
    pub fn cut(&mut self, some: &[Number], others: &[Number]) {
        self.cut_one_way(some, others);
        self.cut_one_way(others, some);
    }

    /// Ends all cuts.
    pub fn mend(&mut self) {
        self.cut.clear();
    }

    /// Returns a VM's table.
    pub fn table(&self, vm: Number) -> Option<&VmTable> {
        self.vms[vm].table.as_ref()
    }

    /// Returns a VM's table to be changed.
    ///
    /// # Panics
    ///
    /// Panics if the VM doesn't run.
    pub fn table_mut(&mut self, vm: Number) -> &mut VmTable {
        self.vms[vm].table.as_mut().expect("the VM runs")
    }

    /// Returns the VMs that run.
    pub fn live(&self) -> BTreeSet<Number> {
        (0..self.count()).filter(|vm| self.vms[*vm].table.is_some()).collect()
    }

    /// Returns the VMs that one of them takes for serving.
    pub fn serving(&self, vm: Number) -> BTreeSet<Number> {
        let Some(table) = self.table(vm) else {
            return BTreeSet::new();
        };
        let cards = table.serving_vms(self.now_ms);
        cards.into_iter().map(|card| number(card.peer_address)).collect()
    }

    /// Returns how long it takes until a condition holds, tried each 100 ms, or none if it doesn't hold within
    /// a time in milliseconds.
    pub fn run_until(
        &mut self,
        within_ms: u64,
        mut holds: impl FnMut(&Self) -> bool,
    ) -> Option<u64> {
        let begun_at_ms = self.now_ms;
        while self.now_ms < begun_at_ms + within_ms {
            self.run_for(100);
            if holds(self) {
                return Some(self.now_ms - begun_at_ms);
            }
        }
        None
    }

    /// Lets time pass.
    pub fn run_for(&mut self, ms: u64) {
        let until_ms = self.now_ms + ms;
        while let Some(Reverse((at_ms, id))) = self.due.peek().copied() {
            if at_ms > until_ms {
                break;
            }
            self.due.pop();
            self.now_ms = at_ms;
            if let Some(event) = self.events.remove(&id) {
                self.happen(event);
            }
        }
        self.now_ms = until_ms;
    }

    fn happen(&mut self, event: Event) {
        match event {
            Event::Round { vm, boot } => self.round(vm, boot),
            Event::Arrival { vm, from, message } => self.arrive(vm, from, message),
        }
    }

    fn round(&mut self, vm: Number, boot: u64) {
        if self.vms[vm].boot != boot {
            return;
        }
        let resumes_at_ms = self.vms[vm].suspended_until_ms;
        if self.now_ms < resumes_at_ms {
            return self.at(resumes_at_ms, Event::Round { vm, boot });
        }
        self.stamps += 1;
        let stamp = HybridTimestamp { time_ms: self.stamps, count: 0 };
        let (now_ms, mut rng) = (self.now_ms, self.rng.fork());
        let Some(table) = &mut self.vms[vm].table else {
            return;
        };
        let round = table.periodic_messages(stamp, &mut rng, now_ms);
        let period_ms = table.period_ms();
        for OutgoingMessage { message, to } in round {
            for to in to {
                self.send(vm, to, message.clone());
            }
        }
        self.at(now_ms + period_ms, Event::Round { vm, boot });
    }

    fn send(&mut self, from: Number, to: SocketAddr, message: PeerMessage) {
        let to = number(to);
        let written = postcard::to_stdvec(&message).expect("it can be written");
        let bytes = HEADER_BYTES + written.len() as u64;
        self.sent_by[from] += bytes;
        let near = self.domain(from) / DOMAINS_PER_REGION == self.domain(to) / DOMAINS_PER_REGION;
        let way_ms = if near { 2 } else { 20 };
        if self.domain(from) == self.domain(to) {
            self.sent.in_domain += bytes;
        } else if near {
            self.sent.in_region += bytes;
        } else {
            self.sent.far += bytes;
        }
        if !self.cut.contains(&(from, to)) && self.rng.f64() >= self.loss {
            let arrives_at_ms = self.now_ms + way_ms + self.rng.u64(0..3);
            self.at(arrives_at_ms, Event::Arrival { vm: to, from, message: Box::new(message) });
        }
    }

    fn arrive(&mut self, vm: Number, from: Number, message: Box<PeerMessage>) {
        let resumes_at_ms = self.vms[vm].suspended_until_ms;
        if self.now_ms < resumes_at_ms {
            return self.at(resumes_at_ms, Event::Arrival { vm, from, message });
        }
        let now_ms = self.now_ms;
        let own_domain = self.domain(vm);
        let mut welcome = None;
        self.stamps += 1;
        let stamp = HybridTimestamp { time_ms: self.stamps, count: 0 };
        let mut rng = self.rng.fork();
        let Some(table) = &mut self.vms[vm].table else {
            return;
        };
        match *message {
            PeerMessage::Heartbeat(Heartbeat::StateOnly(state)) => {
                table.record_state(address(from), state, now_ms);
            }
            PeerMessage::Heartbeat(Heartbeat::Full(heartbeat)) => {
                let domain = heartbeat.descriptor.domain.clone();
                table.record_heartbeat(heartbeat, now_ms);
                if from / self.per_domain != own_domain {
                    welcome = Some(table.join_reply(&domain, stamp, &mut rng, now_ms));
                }
            }
            PeerMessage::Summary(summary) => table.record_summary(summary, now_ms),
            PeerMessage::RelayedSummary(summaries) => {
                for passed_on in summaries {
                    table.record_relayed_summary(passed_on, now_ms);
                }
            }
        }
        if let Some(welcome) = welcome {
            self.send(vm, address(from), welcome);
        }
    }

    fn at(&mut self, at_ms: u64, event: Event) {
        self.scheduled += 1;
        self.due.push(Reverse((at_ms, self.scheduled)));
        self.events.insert(self.scheduled, event);
    }

    fn card(&self, vm: Number) -> VmDescriptor {
        let domain = self.domain(vm);
        let peers = address(vm);
        VmDescriptor {
            name: format!("front-domain-{domain}-{vm}").into(),
            domain: format!("region-domain-{domain}").into(),
            region: format!("region-{}", domain / DOMAINS_PER_REGION).into(),
            caller_address: SocketAddr::new(peers.ip(), 8_641),
            peer_address: peers,
        }
    }
}

fn address(vm: Number) -> SocketAddr {
    let [_, _, high, low] = (vm as u32 + 1).to_be_bytes();
    SocketAddr::new(IpAddr::V4(Ipv4Addr::new(10, 0, high, low)), PORT)
}

fn number(address: SocketAddr) -> Number {
    match address.ip() {
        IpAddr::V4(ip) => {
            let [_, _, high, low] = ip.octets();
            usize::from(u16::from_be_bytes([high, low])) - 1
        }
        IpAddr::V6(_) => unreachable!("all VMs have IPv4 addresses"),
    }
}
