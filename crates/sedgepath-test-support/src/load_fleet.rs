//! A simulated region whose VMs send to the same upstreams and tell each other of their load, on one
//! clock.
//!
//! Callers send requests to random active VMs. Upstreams have a few slots and a bounded queue. Messages
//! between VMs may be lost, repeated or reordered.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

use fastrand::Rng;
use sedgepath_core::clock::HybridTimestamp;
use sedgepath_core::direct::Steering;
use sedgepath_core::direct::attempts::{AttemptOutcome, NextStep, RequestState};
use sedgepath_core::direct::load_sharing::DATAGRAM_OVERHEAD_BYTES;
use sedgepath_core::direct::steering::SteeringConfig;
use sedgepath_core::direct::upstreams::{LoadReport, UpstreamKey};
use sedgepath_core::direct::vms::gossip::{Heartbeat, OutgoingMessage, PeerMessage};
use sedgepath_core::hash::Map;

use crate::direct::{
    HEARTBEAT_MS, begin_request, configuration_of_all_kinds, upstream_entry, vm as new_vm,
};

/// The failure domains of the region.
const REGION_DOMAINS: [&str; 2] = ["north-a", "north-b"];

const SLOTS: usize = 3;
const MAX_QUEUED: usize = 9;
const TARGET_MS: u64 = 400;
const LATENCY_MS: u64 = 1;

/// The longest additional delay of a message between VMs that is reordered, in milliseconds.
const REORDER_MS: u64 = 150;

/// A region and its callers.
#[derive(Debug, Clone)]
pub struct LoadScenario {
    /// The number of VMs, in turn in the two failure domains.
    pub vms: u8,
    /// The number of VMs, the first ones, that callers use.
    pub active: u8,
    /// The number of these, the first ones, that neither send nor receive the load.
    pub without_sharing: u8,
    /// The number of upstreams.
    pub upstreams: u8,
    /// The callers' requests per second.
    pub requests_per_s: f64,
    /// The share of messages between VMs about the load that are lost.
    pub loss: f64,
    /// Whether messages between VMs about the load are repeated and reordered.
    pub disordered: bool,
    /// When the last active VM is killed, in milliseconds.
    pub kill_at_ms: Option<u64>,
    /// The duration in milliseconds.
    pub duration_ms: u64,
    /// The seed of all random choices.
    pub seed: u64,
}

/// What callers, upstreams and the network observed.
#[derive(Debug, Default, Clone, Copy)]
pub struct LoadResult {
    /// The requests that ended in time.
    pub in_time: u32,
    /// The requests that ended late.
    pub late: u32,
    /// The requests that VMs rejected.
    pub rejected_by_vms: u32,
    /// The attempts that upstreams rejected.
    pub rejected_by_upstreams: u32,
    /// The time that requests waited at upstreams, in milliseconds.
    pub waited_ms: u64,
    /// The bytes of messages about the load that VMs sent, those of lower layers included.
    pub load_bytes: u64,
    /// The bytes of the busiest VM among these.
    pub busiest_load_bytes: u64,
    /// The number of upstreams in these messages.
    pub load_entries: u64,
}

#[derive(Debug)]
enum Event {
    Arrival { request: usize, upstream: usize },
    End { request: usize, upstream: usize },
    Response { request: usize, upstream: usize, accepted: bool, report: LoadReport },
    Message { to: usize, from: usize, message: PeerMessage },
}

#[derive(Debug, Default)]
struct EmulatedUpstream {
    running: Vec<usize>,
    /// The waiting requests and when they arrived.
    waiting: VecDeque<(usize, u64)>,
}

impl EmulatedUpstream {
    fn report(&self) -> LoadReport {
        LoadReport::new(self.running.len() as u32, self.waiting.len() as u32, SLOTS as u32)
    }
}

#[derive(Debug)]
struct CallerRequest {
    vm: usize,
    state: RequestState,
}

/// A simulated region.
#[derive(Debug)]
pub struct LoadFleet {
    scenario: LoadScenario,
    now_ms: u64,
    rng: Rng,
    vms: Vec<Option<Steering>>,
    by_address: Map<SocketAddr, usize>,
    upstreams: Vec<EmulatedUpstream>,
    requests: Vec<CallerRequest>,
    events: BTreeMap<u64, Vec<Event>>,
    load_bytes_by_vm: Vec<u64>,
    result: LoadResult,
}

impl LoadFleet {
    /// Runs a scenario to its end.
    pub fn run(scenario: LoadScenario, config: SteeringConfig) -> LoadResult {
        let mut fleet = Self::new(scenario, config);
        while fleet.now_ms < fleet.scenario.duration_ms {
            fleet.step();
        }
        let busiest = fleet.load_bytes_by_vm.iter().max().copied().unwrap_or(0);
        LoadResult { busiest_load_bytes: busiest, ..fleet.result }
    }

    fn new(scenario: LoadScenario, config: SteeringConfig) -> Self {
        let unshared = SteeringConfig { shared_load: false, ..config };
        let new_steering = |number: u8| {
            let domain = REGION_DOMAINS[usize::from(number) % 2];
            let policy = if number < scenario.without_sharing { unshared } else { config };
            let mut vm = new_vm(&format!("v{number}"), domain, number).with_policy(policy);
            vm.apply_configuration(configuration_of_all_kinds(1));
            for index in 0..scenario.upstreams {
                let domain = REGION_DOMAINS[usize::from(index) % 2];
                let entry = upstream_entry(&format!("b{index}"), domain, index);
                vm.upstreams_mut().upsert(entry, "north", 0);
            }
            vm.vms_mut().set_ready(true);
            vm.vms_mut().set_load(if number < scenario.active { 5 } else { 0 });
            vm
        };
        let mut vms: Vec<Steering> = (0..scenario.vms).map(new_steering).collect();
        let addresses: Vec<_> = vms.iter().map(|vm| vm.vms().peer_address()).collect();
        for (number, vm) in vms.iter_mut().enumerate() {
            for (other, address) in
                addresses.iter().enumerate().filter(|(other, _)| *other != number)
            {
                vm.vms_mut().add_vm(*address, REGION_DOMAINS[other % 2], "north", 0);
            }
        }
        Self {
            now_ms: 0,
            rng: Rng::with_seed(scenario.seed),
            by_address: addresses.into_iter().zip(0..).collect(),
            load_bytes_by_vm: vec![0; vms.len()],
            vms: vms.into_iter().map(Some).collect(),
            upstreams: (0..scenario.upstreams).map(|_| EmulatedUpstream::default()).collect(),
            requests: Vec::new(),
            events: BTreeMap::new(),
            result: LoadResult::default(),
            scenario,
        }
    }

    fn step(&mut self) {
        for event in self.events.remove(&self.now_ms).unwrap_or_default() {
            self.handle(event);
        }
        if self.scenario.kill_at_ms == Some(self.now_ms) {
            self.kill(usize::from(self.scenario.active) - 1);
        }
        for vm in 0..self.vms.len() {
            self.send_messages(vm);
        }
        let per_ms = self.scenario.requests_per_s / 1_000.0;
        let count = per_ms as u32 + u32::from(self.rng.f64() < per_ms.fract());
        for _ in 0..count {
            self.begin_request();
        }
        self.now_ms += 1;
    }

    fn send_messages(&mut self, index: usize) {
        let now_ms = self.now_ms;
        let stamp = HybridTimestamp { time_ms: now_ms, count: 0 };
        let Some(vm) = &mut self.vms[index] else { return };
        // Heartbeats of VMs are spread over their period.
        if (now_ms + index as u64 * 7).is_multiple_of(HEARTBEAT_MS) {
            let messages = vm.vms_mut().periodic_messages(stamp, &mut self.rng, now_ms);
            for OutgoingMessage { message, to } in messages {
                self.deliver(index, &message, &to, LATENCY_MS);
            }
        }
        let Some(vm) = &mut self.vms[index] else { return };
        for OutgoingMessage { message, to } in vm.take_load_messages(now_ms) {
            self.count_load(index, &message, to.len() as u64);
            for receiver in to {
                if self.rng.f64() >= self.scenario.loss {
                    self.deliver_load(index, &message, receiver);
                }
            }
        }
    }

    fn count_load(&mut self, vm: usize, message: &PeerMessage, receivers: u64) {
        let bytes = postcard::to_stdvec(message).expect("the message serializes").len() as u64;
        let sent_bytes = (bytes + DATAGRAM_OVERHEAD_BYTES) * receivers;
        self.load_bytes_by_vm[vm] += sent_bytes;
        self.result.load_bytes += sent_bytes;
        if let PeerMessage::Load(load) = message {
            self.result.load_entries += load.upstreams.len() as u64 * receivers;
        }
    }

    fn deliver_load(&mut self, from: usize, message: &PeerMessage, to: SocketAddr) {
        if !self.scenario.disordered {
            return self.deliver(from, message, &[to], LATENCY_MS);
        }
        for _ in 0..self.rng.usize(1..3) {
            let latency_ms = LATENCY_MS + self.rng.u64(0..REORDER_MS);
            self.deliver(from, message, &[to], latency_ms);
        }
    }

    fn deliver(&mut self, from: usize, message: &PeerMessage, to: &[SocketAddr], latency_ms: u64) {
        for address in to {
            if let Some(to) = self.by_address.get(address).copied() {
                let message = message.clone();
                self.schedule(latency_ms, Event::Message { to, from, message });
            }
        }
    }

    fn schedule(&mut self, delay_ms: u64, event: Event) {
        self.events.entry(self.now_ms + delay_ms.max(1)).or_default().push(event);
    }

    fn begin_request(&mut self) {
        let index = self.rng.usize(..usize::from(self.scenario.active));
        let object = self.rng.u32(..1_000).to_string();
        let Some(vm) = &mut self.vms[index] else { return };
        let state = begin_request(vm, "/reads/1", &object, self.now_ms);
        self.requests.push(CallerRequest { vm: index, state });
        self.continue_request(self.requests.len() - 1);
    }

    fn continue_request(&mut self, request: usize) {
        let CallerRequest { vm, state } = &mut self.requests[request];
        let Some(vm) = &mut self.vms[*vm] else { return };
        match vm.next_step(state, self.rng.u64(..), self.now_ms) {
            NextStep::Send(attempt) => {
                let upstream = attempt.name[1..].parse().expect("names end in the index");
                self.schedule(LATENCY_MS, Event::Arrival { request, upstream });
            }
            NextStep::Reject { .. } => self.result.rejected_by_vms += 1,
            NextStep::Forward(_) | NextStep::GiveUp { .. } => {}
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrival { request, upstream } => self.arrive(request, upstream),
            Event::End { request, upstream } => self.end(request, upstream),
            Event::Response { request, upstream, accepted, report } => {
                self.respond(request, upstream, accepted, report);
            }
            Event::Message { to, from, message } => self.receive(to, from, message),
        }
    }

    fn arrive(&mut self, request: usize, index: usize) {
        if self.vms[self.requests[request].vm].is_none() {
            return;
        }
        let upstream = &mut self.upstreams[index];
        if upstream.running.len() >= SLOTS && upstream.waiting.len() >= MAX_QUEUED {
            let report = upstream.report();
            self.result.rejected_by_upstreams += 1;
            let rejection = Event::Response { request, upstream: index, accepted: false, report };
            return self.schedule(LATENCY_MS, rejection);
        }
        upstream.waiting.push_back((request, self.now_ms));
        self.start_waiting(index);
    }

    fn start_waiting(&mut self, index: usize) {
        while self.upstreams[index].running.len() < SLOTS
            && let Some((request, arrived_at_ms)) = self.upstreams[index].waiting.pop_front()
        {
            self.result.waited_ms += self.now_ms - arrived_at_ms;
            self.upstreams[index].running.push(request);
            let work_ms = self.rng.u64(100..200);
            self.schedule(work_ms, Event::End { request, upstream: index });
        }
    }

    fn end(&mut self, request: usize, index: usize) {
        let running = &mut self.upstreams[index].running;
        let Some(position) = running.iter().position(|other| *other == request) else { return };
        running.swap_remove(position);
        self.start_waiting(index);
        let report = self.upstreams[index].report();
        let response = Event::Response { request, upstream: index, accepted: true, report };
        self.schedule(LATENCY_MS, response);
    }

    fn respond(&mut self, request: usize, upstream: usize, accepted: bool, report: LoadReport) {
        let CallerRequest { vm, state } = &mut self.requests[request];
        let Some(vm) = &mut self.vms[*vm] else { return };
        let report = Some(report);
        let outcome = if accepted {
            AttemptOutcome::Answered { failed: false, report, body_bytes: 100 }
        } else {
            AttemptOutcome::Refused { report }
        };
        vm.record_outcome(state, UpstreamKey(upstream as u32), outcome, self.now_ms);
        if !accepted {
            return self.continue_request(request);
        }
        if self.now_ms - state.arrived_at_ms <= TARGET_MS {
            self.result.in_time += 1;
        } else {
            self.result.late += 1;
        }
    }

    fn receive(&mut self, to: usize, from: usize, message: PeerMessage) {
        let now_ms = self.now_ms;
        let from = self.by_address.iter().find(|(_, index)| **index == from).map(|(at, _)| *at);
        let (Some(vm), Some(from)) = (&mut self.vms[to], from) else { return };
        match message {
            PeerMessage::Load(load) => vm.receive_load(from, &load, now_ms),
            PeerMessage::Heartbeat(Heartbeat::Full(heartbeat)) => {
                vm.vms_mut().record_heartbeat(heartbeat, now_ms);
            }
            PeerMessage::Heartbeat(Heartbeat::StateOnly(state)) => {
                vm.vms_mut().record_state(from, state, now_ms);
            }
            PeerMessage::Summary(summary) => vm.vms_mut().record_summary(summary, now_ms),
            PeerMessage::SummaryPart(part, summary) => {
                vm.vms_mut().record_summary(summary.with_part(part), now_ms);
            }
            PeerMessage::RelayedSummary(summaries) => {
                for summary in summaries {
                    vm.vms_mut().record_relayed_summary(summary, now_ms);
                }
            }
            PeerMessage::Reports(_) | PeerMessage::Quota(_) => {}
        }
    }

    /// Ends a VM's process; upstreams cancel its requests.
    fn kill(&mut self, vm: usize) {
        self.vms[vm] = None;
        let is_of_vm = |request: &usize| self.requests[*request].vm == vm;
        for upstream in &mut self.upstreams {
            upstream.running.retain(|request| !is_of_vm(request));
            upstream.waiting.retain(|(request, _)| !is_of_vm(request));
        }
        for index in 0..self.upstreams.len() {
            self.start_waiting(index);
        }
    }
}
