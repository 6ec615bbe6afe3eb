//! Several node cores in one thread, with small fakes at their interfaces.
//!
//! The bed plays the shell of each node: it carries actions out and hands events in, at the times of
//! a clock that only the test moves. A seed decides every delay, so a run repeats itself exactly.
//! Callers, upstreams and the table keep counts; tests judge by these and never look into a node.
//!
//! Faults are set at run time: nodes crash, restart, pause and wake; links between nodes, to the
//! table and to upstreams are cut one way or both ways; the table is down, loses answers or applies
//! writes late; clocks of nodes are off.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};

use sedgepath_core::configuration::change::{ChangeOutcome, ChangeRequest};
use sedgepath_core::configuration::store::{Page, Position};
use sedgepath_core::event::{
    Action, Event, ListedVm, LookUp, LookUpAnswer, LookUpError, UpstreamReport,
};
use sedgepath_core::hash::Digest;
use sedgepath_core::identity::{Identity, NodeSettings};
use sedgepath_core::key::{
    BootId, DomainKey, ExchangeKey, OperationKey, ReplyKey, RequestKey, UpstreamKey, VmKey,
};
use sedgepath_core::message::MemberCard;
use sedgepath_core::node::Node;
use sedgepath_core::once::row::HandedOver;
use sedgepath_core::record::RawRecord;
use sedgepath_core::request::{
    AnswerHead, CallEnd, Dispatch, HopEnd, Once, Outcome, RequestHead, StoredAnswer, Ticket,
};
use sedgepath_core::steering::{ByHeadroom, SteeringPolicy};
use sedgepath_core::table::{TableRequest, TableResult};
use sedgepath_platform::TableService;

use crate::table::MemoryTable;

pub mod faults;
mod loads;
pub mod upstreams;

use faults::{Faults, Place};
use loads::LoadHistory;
use upstreams::{FakeUpstreams, Started};

/// The time between two ticks of a node, in milliseconds.
const TICK_EVERY_MS: u64 = 20;

/// The time between two readings of the VM list, in milliseconds.
const LIST_EVERY_MS: u64 = 2_000;

/// The number of a node on the bed.
pub type NodeIndex = usize;

/// The number of a caller's request on the bed.
pub type CallIndex = usize;

/// What a caller saw of its request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Seen {
    /// Nothing yet.
    Waiting,
    /// The whole answer of an upstream.
    Answered {
        /// The upstream that gave it.
        upstream: UpstreamKey,
    },
    /// A final outcome without an answer.
    Concluded(Outcome),
    /// The connection to the entry VM broke.
    Broken,
}

/// What a node sent and received.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Traffic {
    /// The datagrams sent, lost ones among them.
    pub sent: u64,
    /// Their bytes, with the code and the headers of IP and UDP.
    pub sent_bytes: u64,
    /// The datagrams received.
    pub received: u64,
    /// Their bytes, counted like those sent.
    pub received_bytes: u64,
    /// Reads and scans of the table, whether or not they were answered.
    pub table_reads: u64,
    /// Commits to the table, whether or not they were answered.
    pub table_commits: u64,
    /// Pages of records asked of peers.
    pub fetches: u64,
    /// The bytes of the pages that came, as JSON text.
    pub fetched_bytes: u64,
}

/// The bytes of a datagram besides its envelope: a code of 16, and 28 of IPv4 and UDP headers.
const DATAGRAM_EXTRA_BYTES: u64 = 16 + 28;

/// A caller's request.
#[derive(Debug, Clone)]
pub struct Call {
    /// The node that was asked.
    pub node: NodeIndex,
    /// When it was asked, in milliseconds of the bed's clock.
    pub asked_at_ms: u64,
    /// When the outcome came, in milliseconds of the bed's clock.
    pub seen_at_ms: u64,
    /// The request.
    pub head: RequestHead,
    /// What the caller saw.
    pub seen: Seen,
}

#[derive(Debug)]
struct Slot {
    name: Box<str>,
    domain: Box<str>,
    card: MemberCard,
    node: Option<Node>,
    boots: u64,
    skew_ms: i64,
    paused: bool,
    held: VecDeque<Item>,
    requests: BTreeMap<RequestKey, CallIndex>,
    exchanges: BTreeMap<ExchangeKey, Exchange>,
    stopped: bool,
    traffic: Traffic,
}

/// A dispatch at its owner, and whom its reply goes to.
#[derive(Debug, Clone)]
struct Exchange {
    ingress: NodeIndex,
    ingress_boot: u64,
    request: RequestKey,
    attempt: u32,
    call: CallIndex,
}

/// What is due at a time.
#[derive(Debug, Clone)]
enum Item {
    Tick {
        node: NodeIndex,
        boot: u64,
    },
    List {
        node: NodeIndex,
        boot: u64,
    },
    Deliver {
        node: NodeIndex,
        boot: Option<u64>,
        event: Box<BedEvent>,
    },
    Asked {
        node: NodeIndex,
        boot: u64,
        request: RequestKey,
        head: Box<RequestHead>,
    },
    TableArrives {
        node: NodeIndex,
        boot: u64,
        operation: OperationKey,
        request: TableRequest,
    },
    LateWrite {
        request: TableRequest,
    },
    UpstreamArrives {
        owner: NodeIndex,
        boot: u64,
        exchange: ExchangeKey,
        upstream: UpstreamKey,
        call: Option<CallIndex>,
    },
    UpstreamDone {
        started: Started,
    },
}

/// An event on its way to a node; cloneable, unlike [`Event`].
#[derive(Debug, Clone)]
enum BedEvent {
    Datagram(sedgepath_core::message::Envelope),
    Table(OperationKey, TableResult),
    Dispatch(Dispatch, Exchange),
    HopAnswered(RequestKey, u32, AnswerHead),
    HopEnded(RequestKey, u32, HopEnd),
    CallEnded(ExchangeKey, CallEnd, u64),
    Report(UpstreamKey, UpstreamReport),
    Fetched(OperationKey, Option<Page>),
    HandOverEnded(OperationKey, bool),
}

/// Nodes, upstreams and a table under one clock.
#[derive(Debug)]
pub struct Bed {
    now_ms: u64,
    order: u64,
    due: BTreeMap<(u64, u64), Item>,
    random: fastrand::Rng,
    settings: NodeSettings,
    policy: fn() -> Box<dyn SteeringPolicy>,
    loads: LoadHistory,
    nodes: Vec<Slot>,
    table: MemoryTable,
    /// The faults in force.
    pub faults: Faults,
    /// The upstreams and what they counted.
    pub upstreams: FakeUpstreams,
    calls: Vec<Call>,
    changes: BTreeMap<ReplyKey, ChangeOutcome>,
    next_number: u64,
    log: Vec<(NodeIndex, sedgepath_core::timeline::Entry)>,
    minted: Vec<Ticket>,
    /// The transactions that have reached the table.
    pub table_commits: u64,
    /// The readings that have reached the table.
    pub table_reads: u64,
    absent_from_list: BTreeSet<NodeIndex>,
    leaving_in_list: BTreeSet<NodeIndex>,
    leaving_upstreams: Vec<ListedVm>,
}

/// The bed's clock starts well after zero, so that nothing depends on times before the start.
pub const START_MS: u64 = 1_000_000;

/// Creates a guest's repeatable request from loopback.
pub fn guest_request(service: &str, deadline_at_ms: u64) -> RequestHead {
    RequestHead {
        service: service.into(),
        source: IpAddr::V4(Ipv4Addr::LOCALHOST),
        key_digest: None,
        deadline_at_ms,
        once: Once::Repeatable,
        attempt: 0,
        idempotent: true,
        digest: Digest::of(&[b"GET /"]),
        revision_seen: 0,
        forwarded_by: None,
    }
}

impl Bed {
    /// Creates an empty bed whose delays are drawn from a seed.
    pub fn new(seed: u64) -> Self {
        Self {
            now_ms: START_MS,
            order: 0,
            due: BTreeMap::new(),
            random: fastrand::Rng::with_seed(seed),
            settings: NodeSettings { seed, ..NodeSettings::default() },
            policy: || Box::new(ByHeadroom::new()),
            loads: LoadHistory::default(),
            nodes: Vec::new(),
            table: MemoryTable::new(),
            faults: Faults::default(),
            upstreams: FakeUpstreams::default(),
            calls: Vec::new(),
            changes: BTreeMap::new(),
            next_number: 1,
            log: Vec::new(),
            minted: Vec::new(),
            table_commits: 0,
            table_reads: 0,
            absent_from_list: BTreeSet::new(),
            leaving_in_list: BTreeSet::new(),
            leaving_upstreams: Vec::new(),
        }
    }

    /// Sets the settings of the nodes that are added from now on.
    pub fn with_settings(mut self, settings: NodeSettings) -> Self {
        self.settings = settings;
        self
    }

    /// Sets the steering policy of the nodes that are added from now on.
    pub fn with_policy(mut self, policy: fn() -> Box<dyn SteeringPolicy>) -> Self {
        self.policy = policy;
        self
    }

    /// Adds a node and starts it.
    pub fn add_node(&mut self, name: &str, domain: &str) -> NodeIndex {
        let index = self.nodes.len();
        let address = |port: u16| {
            SocketAddr::from((Ipv4Addr::new(127, 1, (index >> 8) as u8, index as u8), port))
        };
        let card = MemberCard {
            name: name.into(),
            domain: DomainKey::of(domain),
            callers: address(1),
            peers: address(2),
            operators: address(3),
            leaving: false,
        };
        self.nodes.push(Slot {
            name: name.into(),
            domain: domain.into(),
            card,
            node: None,
            boots: 0,
            skew_ms: 0,
            paused: false,
            held: VecDeque::new(),
            requests: BTreeMap::new(),
            exchanges: BTreeMap::new(),
            stopped: false,
            traffic: Traffic::default(),
        });
        self.start(index);
        index
    }

    /// Writes records and the next head revision to the table, as an operator's change does.
    ///
    /// # Panics
    ///
    /// Panics if a row can't be written, which only a conflict within the bed could cause.
    pub fn write_records(&mut self, records: &[RawRecord]) -> u64 {
        crate::system::write_records(&self.table, records).expect("the bed's own change conflicts")
    }

    /// Returns the time in milliseconds.
    pub fn now_ms(&self) -> u64 {
        self.now_ms
    }

    /// Returns the table as it stands.
    pub fn table(&self) -> &MemoryTable {
        &self.table
    }

    /// Returns a node unless it is down.
    pub fn node(&self, node: NodeIndex) -> Option<&Node> {
        self.nodes[node].node.as_ref()
    }

    /// Returns the number of nodes.
    pub fn node_count(&self) -> usize {
        self.nodes.len()
    }

    /// Whether a node runs and is not paused.
    pub fn runs(&self, node: NodeIndex) -> bool {
        self.nodes[node].node.is_some() && !self.nodes[node].paused
    }

    /// Whether a node has stopped as planned.
    pub fn has_stopped(&self, node: NodeIndex) -> bool {
        self.nodes[node].stopped
    }

    /// Returns the datagrams that a node has sent and received since it was added.
    pub fn traffic(&self, node: NodeIndex) -> Traffic {
        self.nodes[node].traffic
    }

    /// Returns all calls made so far.
    pub fn calls(&self) -> &[Call] {
        &self.calls
    }

    /// Returns what the nodes have logged.
    pub fn log(&self) -> &[(NodeIndex, sedgepath_core::timeline::Entry)] {
        &self.log
    }

    /// Starts a node that is down, with an empty memory and a new boot.
    pub fn start(&mut self, index: NodeIndex) {
        let slot = &mut self.nodes[index];
        slot.boots += 1;
        slot.paused = false;
        slot.stopped = false;
        let boot = BootId((index as u64) << 32 | slot.boots);
        let mut settings = self.settings.clone();
        settings.seed = self.random.u64(..);
        let node = Node::new(Identity::new(slot.card.clone(), boot), settings);
        slot.node = Some(node.with_policy((self.policy)()));
        let boot = slot.boots;
        let first_tick_ms = self.random.u64(0..TICK_EVERY_MS);
        self.schedule(first_tick_ms, Item::Tick { node: index, boot });
        self.schedule(0, Item::List { node: index, boot });
    }

    /// Kills a node: its memory, its connections and what was on its way to it are gone.
    pub fn kill(&mut self, index: NodeIndex) {
        let slot = &mut self.nodes[index];
        slot.node = None;
        slot.held.clear();
        let broken = std::mem::take(&mut slot.requests);
        let dispatched = std::mem::take(&mut slot.exchanges);
        for call in broken.into_values() {
            self.see(call, Seen::Broken);
        }
        // What the node had taken over may run on at an upstream; its ingress sees the hop break.
        for exchange in dispatched.into_values() {
            self.reply(&exchange, BedReply::Ended(HopEnd::Lost), index);
        }
    }

    /// Stops a node's threads without its knowledge.
    pub fn pause(&mut self, index: NodeIndex) {
        self.nodes[index].paused = true;
    }

    /// Lets a paused node go on; what came meanwhile is handed in at once.
    pub fn wake(&mut self, index: NodeIndex) {
        self.nodes[index].paused = false;
        let held = std::mem::take(&mut self.nodes[index].held);
        for item in held {
            self.schedule(0, item);
        }
    }

    /// Asks a node to stop as planned.
    pub fn stop(&mut self, index: NodeIndex) {
        self.handle(index, Event::Stop);
    }

    /// Sets how far a node's clock is ahead.
    pub fn set_skew_ms(&mut self, index: NodeIndex, skew_ms: i64) {
        self.nodes[index].skew_ms = skew_ms;
    }

    /// Takes a node off the platform's VM list, or puts it back.
    pub fn list_node(&mut self, index: NodeIndex, listed: bool) {
        if listed {
            self.absent_from_list.remove(&index);
        } else {
            self.absent_from_list.insert(index);
        }
    }

    /// Marks a node as leaving in the platform's VM list.
    pub fn list_leaving(&mut self, index: NodeIndex) {
        self.leaving_in_list.insert(index);
    }

    /// Marks an upstream as leaving in the platform's VM list.
    pub fn list_upstream_leaving(&mut self, name: &str, domain: &str) {
        self.leaving_upstreams.push(ListedVm {
            name: name.into(),
            domain: domain.into(),
            peers: SocketAddr::from((Ipv4Addr::LOCALHOST, 9)),
            leaving: true,
        });
    }

    /// Creates a guest's repeatable request that waits for two seconds.
    pub fn head(&self, service: &str) -> RequestHead {
        RequestHead {
            service: service.into(),
            source: IpAddr::V4(Ipv4Addr::LOCALHOST),
            key_digest: None,
            deadline_at_ms: self.now_ms + 2_000,
            once: Once::Repeatable,
            attempt: 0,
            idempotent: true,
            digest: Digest::of(&[b"GET /"]),
            revision_seen: 0,
            forwarded_by: None,
        }
    }

    /// Sends a caller's request to a node; `head.deadline_at_ms` is by the bed's clock.
    pub fn call(&mut self, node: NodeIndex, head: RequestHead) -> CallIndex {
        let call = self.calls.len();
        let now_ms = self.now_ms;
        self.calls.push(Call {
            node,
            asked_at_ms: now_ms,
            seen_at_ms: now_ms,
            head: head.clone(),
            seen: Seen::Waiting,
        });
        if self.nodes[node].node.is_none() {
            self.see(call, Seen::Broken);
            return call;
        }
        let request = RequestKey(self.number());
        self.nodes[node].requests.insert(request, call);
        let mut head = head;
        head.deadline_at_ms = head.deadline_at_ms.saturating_add_signed(self.nodes[node].skew_ms);
        self.ask(node, request, head);
        call
    }

    /// Asks a node for tickets; there are none if it refuses or does not run.
    pub fn mint(&mut self, node: NodeIndex, service: &str, count: u32) -> Vec<Ticket> {
        self.minted.clear();
        if self.runs(node) {
            let reply = ReplyKey(self.number());
            self.handle(node, Event::MintTickets { reply, service: service.into(), count });
        }
        std::mem::take(&mut self.minted)
    }

    /// Hands a request to a node; one that is paused finds it when it wakes.
    fn ask(&mut self, node: NodeIndex, request: RequestKey, head: RequestHead) {
        if self.nodes[node].paused {
            let boot = self.nodes[node].boots;
            let item = Item::Asked { node, boot, request, head: Box::new(head) };
            self.nodes[node].held.push_back(item);
        } else {
            self.handle(node, Event::Request { request, head });
        }
    }

    /// Asks a node for a change of the configuration, as an operator's command does.
    pub fn change(&mut self, node: NodeIndex, request: ChangeRequest) -> ReplyKey {
        let reply = ReplyKey(self.number());
        self.handle(node, Event::Change { reply, request });
        reply
    }

    /// Returns what became of a change; none until the node has told.
    pub fn change_outcome(&self, reply: ReplyKey) -> Option<&ChangeOutcome> {
        self.changes.get(&reply)
    }

    /// Asks a node which entry VMs to use.
    ///
    /// # Errors
    ///
    /// Fails as the node's look-up does.
    ///
    /// # Panics
    ///
    /// Panics if the node is down.
    pub fn look_up(
        &mut self,
        node: NodeIndex,
        look_up: &LookUp,
    ) -> Result<LookUpAnswer, LookUpError> {
        self.nodes[node].node.as_mut().expect("the node is down").look_up(look_up)
    }

    /// Hands an event to a node at once and carries its actions out.
    pub fn handle(&mut self, index: NodeIndex, event: Event) {
        let now_ms = self.local_ms(index);
        let Some(node) = self.nodes[index].node.as_mut() else {
            return;
        };
        let actions = node.handle(now_ms, event);
        self.carry_out(index, actions);
    }

    /// Lets time pass until nodes that have just started use their upstreams: a lone one does so 2T + D
    /// after its boot, by the longest deadline D of its failure domain's services.
    pub fn settle(&mut self, longest_deadline_ms: u64) {
        let settings = &self.settings;
        let granted_ms = 4 * settings.heartbeat_every_ms;
        self.run_for(2 * settings.suspect_after_ms + longest_deadline_ms + granted_ms);
    }

    /// Lets time pass.
    pub fn run_for(&mut self, duration_ms: u64) {
        let until_ms = self.now_ms + duration_ms;
        while let Some(entry) = self.due.first_entry() {
            let (at_ms, _) = *entry.key();
            if at_ms > until_ms {
                break;
            }
            let item = entry.remove();
            self.now_ms = self.now_ms.max(at_ms);
            self.take(item);
        }
        self.now_ms = until_ms;
    }

    fn take(&mut self, item: Item) {
        let node = match &item {
            Item::Tick { node, .. }
            | Item::List { node, .. }
            | Item::Deliver { node, .. }
            | Item::Asked { node, .. } => Some(*node),
            _ => None,
        };
        if let Some(node) = node
            && self.nodes[node].paused
        {
            self.nodes[node].held.push_back(item);
            return;
        }
        match item {
            Item::Tick { node, boot } => self.tick(node, boot),
            Item::List { node, boot } => self.list(node, boot),
            Item::Deliver { node, boot, event } => self.deliver(node, boot, *event),
            Item::TableArrives { node, boot, operation, request } => {
                self.table_arrives(node, boot, operation, &request);
            }
            Item::LateWrite { request } => {
                // Its answer was lost when it was sent; what became of it shows in the table.
                let _unseen = self.table.execute(&request);
            }
            Item::UpstreamArrives { owner, boot, exchange, upstream, call } => {
                self.upstream_arrives(owner, boot, exchange, upstream, call);
            }
            Item::Asked { node, boot, request, head } => {
                if self.is_boot(node, boot) {
                    self.handle(node, Event::Request { request, head: *head });
                }
            }
            Item::UpstreamDone { started } => self.upstream_done(&started),
        }
    }

    fn tick(&mut self, index: NodeIndex, boot: u64) {
        if !self.is_boot(index, boot) {
            return;
        }
        let now_ms = self.local_ms(index);
        if let Some(node) = self.nodes[index].node.as_mut() {
            let actions = node.tick(now_ms);
            self.carry_out(index, actions);
        }
        self.schedule(TICK_EVERY_MS, Item::Tick { node: index, boot });
    }

    fn list(&mut self, index: NodeIndex, boot: u64) {
        if !self.is_boot(index, boot) {
            return;
        }
        if self.faults.reaches(Place::Node(index), Place::Platform) && !self.faults.platform_down {
            let listed = self.listed();
            self.handle(index, Event::VmList(listed));
        }
        self.schedule(LIST_EVERY_MS, Item::List { node: index, boot });
    }

    fn listed(&self) -> Vec<ListedVm> {
        let present = self
            .nodes
            .iter()
            .enumerate()
            .filter(|(index, _)| !self.absent_from_list.contains(index));
        let listed = present.map(|(index, slot)| ListedVm {
            name: slot.name.clone(),
            domain: slot.domain.clone(),
            peers: slot.card.peers,
            leaving: self.leaving_in_list.contains(&index),
        });
        listed.chain(self.leaving_upstreams.iter().cloned()).collect()
    }

    fn deliver(&mut self, index: NodeIndex, boot: Option<u64>, event: BedEvent) {
        if boot.is_some_and(|boot| !self.is_boot(index, boot)) || self.nodes[index].node.is_none() {
            if let BedEvent::Dispatch(_, exchange) = event {
                self.reply(&exchange, BedReply::Ended(HopEnd::NotSent), index);
            }
            return;
        }
        let event = match event {
            BedEvent::Datagram(envelope) => Event::Datagram(envelope),
            BedEvent::Table(operation, result) => Event::Table { operation, result },
            BedEvent::HopAnswered(request, attempt, head) => {
                Event::HopAnswered { request, attempt, head }
            }
            BedEvent::HopEnded(request, attempt, end) => Event::HopEnded { request, attempt, end },
            BedEvent::CallEnded(exchange, end, took_ms) => {
                self.nodes[index].exchanges.remove(&exchange);
                Event::CallEnded { exchange, end, took_ms }
            }
            BedEvent::Report(upstream, report) => Event::UpstreamReport { upstream, report },
            BedEvent::HandOverEnded(operation, taken) => Event::HandOverEnded { operation, taken },
            BedEvent::Fetched(operation, page) => Event::Fetched { operation, page },
            BedEvent::Dispatch(dispatch, exchange) => {
                let key = ExchangeKey(self.number());
                let from = VmKey::of(&self.nodes[exchange.ingress].name);
                self.nodes[index].exchanges.insert(key, exchange);
                Event::Dispatched { exchange: key, from, dispatch }
            }
        };
        self.handle(index, event);
    }

    fn carry_out(&mut self, index: NodeIndex, actions: Vec<Action>) {
        for action in actions {
            self.act(index, action);
        }
    }

    fn act(&mut self, index: NodeIndex, action: Action) {
        match action {
            Action::Send { to, envelope } => self.send(index, to, &envelope),
            Action::Forward { request, attempt, to, dispatch, .. } => {
                self.forward(index, request, attempt, to, dispatch);
            }
            Action::ForwardHome { request, attempt, to, .. } => {
                self.forward_home(index, request, attempt, to);
            }
            Action::Relay { request, attempt } => self.relay(index, request, attempt),
            Action::AnswerTickets { tickets, .. } => {
                self.minted = tickets.unwrap_or_default();
            }
            Action::HandOver { operation, to, tickets, .. } => {
                self.hand_over(index, operation, to, tickets);
            }
            Action::Abandon { .. } | Action::AnswerLookUp { .. } | Action::Cancel { .. } => {}
            Action::Conclude { request, outcome } => {
                if let Some(call) = self.nodes[index].requests.remove(&request) {
                    self.see(call, Seen::Concluded(outcome));
                }
            }
            Action::CallUpstream { exchange, upstream, send_by_ms, .. } => {
                self.call_upstream(index, exchange, upstream, send_by_ms);
            }
            Action::Refuse { exchange, refusal } => {
                if let Some(entry) = self.nodes[index].exchanges.remove(&exchange) {
                    self.reply(&entry, BedReply::Ended(HopEnd::Refused(refusal)), index);
                }
            }
            Action::Table { operation, request } => self.table_request(index, operation, request),
            Action::Fetch { operation, from, after } => {
                self.fetch(index, operation, from, &after);
            }
            Action::AnswerChange { reply, outcome } => {
                self.changes.insert(reply, outcome);
            }
            Action::Log(entry) => self.log.push((index, entry)),
            Action::Stopped => {
                self.nodes[index].stopped = true;
                self.kill(index);
            }
        }
    }

    fn send(
        &mut self,
        from: NodeIndex,
        to: SocketAddr,
        envelope: &sedgepath_core::message::Envelope,
    ) {
        let size = postcard::experimental::serialized_size(envelope);
        let bytes = size.map_or(0, |size| size as u64 + DATAGRAM_EXTRA_BYTES);
        self.nodes[from].traffic.sent += 1;
        self.nodes[from].traffic.sent_bytes += bytes;
        let Some(target) = self.nodes.iter().position(|slot| slot.card.peers == to) else {
            return;
        };
        if !self.faults.reaches(Place::Node(from), Place::Node(target)) {
            return;
        }
        let copies = self.faults.datagram_copies(&mut self.random);
        for _ in 0..copies {
            self.nodes[target].traffic.received += 1;
            self.nodes[target].traffic.received_bytes += bytes;
            let delay_ms = self.delay_ms(from, target);
            let mut envelope = envelope.clone();
            self.loads.replace(&mut envelope, &self.faults, self.now_ms);
            let event = Box::new(BedEvent::Datagram(envelope));
            self.schedule(delay_ms, Item::Deliver { node: target, boot: None, event });
        }
    }

    fn forward(
        &mut self,
        index: NodeIndex,
        request: RequestKey,
        attempt: u32,
        to: VmKey,
        dispatch: Dispatch,
    ) {
        let Some(call) = self.nodes[index].requests.get(&request).copied() else {
            return;
        };
        let ingress_boot = self.nodes[index].boots;
        let exchange = Exchange { ingress: index, ingress_boot, request, attempt, call };
        let target = self.nodes.iter().position(|slot| VmKey::of(&slot.name) == to);
        match target {
            Some(target) if self.connects(index, target) => {
                let delay_ms = self.delay_ms(index, target);
                let boot = Some(self.nodes[target].boots);
                let event = Box::new(BedEvent::Dispatch(dispatch, exchange));
                self.schedule(delay_ms, Item::Deliver { node: target, boot, event });
            }
            _ => self.reply(&exchange, BedReply::Ended(HopEnd::NotSent), index),
        }
    }

    /// The home serves the request as if the caller had come to it; its outcome is the caller's.
    fn forward_home(&mut self, index: NodeIndex, request: RequestKey, attempt: u32, to: VmKey) {
        let Some(call) = self.nodes[index].requests.get(&request).copied() else {
            return;
        };
        let target = self.nodes.iter().position(|slot| VmKey::of(&slot.name) == to);
        let Some(target) = target.filter(|target| self.connects(index, *target)) else {
            self.handle(index, Event::HopEnded { request, attempt, end: HopEnd::NotSent });
            return;
        };
        self.nodes[index].requests.remove(&request);
        self.handle(index, Event::CallerGone { request });
        let mut head = self.calls[call].head.clone();
        head.forwarded_by = Some(VmKey::of(&self.nodes[index].name));
        head.deadline_at_ms = head.deadline_at_ms.saturating_add_signed(self.nodes[target].skew_ms);
        let forwarded = RequestKey(self.number());
        self.nodes[target].requests.insert(forwarded, call);
        self.ask(target, forwarded, head);
    }

    fn relay(&mut self, index: NodeIndex, request: RequestKey, _attempt: u32) {
        let Some(call) = self.nodes[index].requests.remove(&request) else {
            return;
        };
        if let Some(upstream) = self.upstreams.answered(call) {
            self.see(call, Seen::Answered { upstream });
        }
        let once = self.calls[call].head.once != Once::Repeatable;
        let stored = once.then(|| StoredAnswer {
            status: 200,
            content_type: None,
            body: format!("call {call}").into(),
            hex: false,
        });
        self.handle(index, Event::RelayEnded { request, whole: true, stored });
    }

    fn call_upstream(
        &mut self,
        index: NodeIndex,
        exchange: ExchangeKey,
        upstream: UpstreamKey,
        send_by_ms: u64,
    ) {
        let delay_ms = self.faults.pause_before_send_ms;
        let sent_at_ms = self.local_ms(index) + delay_ms;
        if sent_at_ms > send_by_ms || !self.reaches_upstream(index, upstream) {
            let event = BedEvent::CallEnded(exchange, CallEnd::NotSent, 0);
            if let Some(entry) = self.nodes[index].exchanges.get(&exchange).cloned() {
                self.reply(&entry, BedReply::Ended(HopEnd::NotSent), index);
            }
            self.deliver_later(index, 0, event);
            return;
        }
        let boot = self.nodes[index].boots;
        let call = self.nodes[index].exchanges.get(&exchange).map(|entry| entry.call);
        let item = Item::UpstreamArrives { owner: index, boot, exchange, upstream, call };
        self.schedule(delay_ms + 1, item);
    }

    fn upstream_arrives(
        &mut self,
        owner: NodeIndex,
        boot: u64,
        exchange: ExchangeKey,
        upstream: UpstreamKey,
        call: Option<CallIndex>,
    ) {
        let head = call.map(|call| self.calls[call].head.clone());
        let started = self.upstreams.start(
            Started { owner, boot, exchange, upstream, call, at_ms: self.now_ms },
            head.as_ref(),
            &mut self.random,
        );
        match started {
            Ok(takes_ms) => {
                let started = Started { owner, boot, exchange, upstream, call, at_ms: self.now_ms };
                self.schedule(takes_ms, Item::UpstreamDone { started });
            }
            Err(end) => self.call_ended(owner, boot, exchange, upstream, end, 0),
        }
    }

    fn upstream_done(&mut self, started: &Started) {
        let end = self.upstreams.finish(started);
        let took_ms = self.now_ms - started.at_ms;
        let Started { owner, boot, exchange, upstream, .. } = *started;
        self.call_ended(owner, boot, exchange, upstream, end, took_ms);
    }

    fn call_ended(
        &mut self,
        owner: NodeIndex,
        boot: u64,
        exchange: ExchangeKey,
        upstream: UpstreamKey,
        end: CallEnd,
        took_ms: u64,
    ) {
        if !self.is_boot(owner, boot) {
            return;
        }
        let end = if self.reaches_upstream(owner, upstream) { end } else { CallEnd::Lost };
        let report = self.upstreams.report(upstream, self.local_ms(owner));
        if let Some(report) = report.filter(|_| end != CallEnd::Lost) {
            self.deliver_later(owner, 0, BedEvent::Report(upstream, report));
        }
        if let Some(entry) = self.nodes[owner].exchanges.get(&exchange).cloned() {
            let domain = DomainKey::of(&self.nodes[owner].domain);
            let reply = match end {
                CallEnd::Whole => BedReply::Answered(AnswerHead { status: 200, upstream, domain }),
                CallEnd::Refused => BedReply::Ended(HopEnd::Refused(upstreams::REFUSAL)),
                CallEnd::NotSent | CallEnd::Cancelled => BedReply::Ended(HopEnd::NotSent),
                CallEnd::Lost => BedReply::Ended(HopEnd::Lost),
            };
            self.reply(&entry, reply, owner);
        }
        self.deliver_later(owner, 0, BedEvent::CallEnded(exchange, end, took_ms));
    }

    /// Sends the reply to a dispatch back to its ingress.
    fn reply(&mut self, exchange: &Exchange, reply: BedReply, from: NodeIndex) {
        let ingress = exchange.ingress;
        let cut = !self.faults.reaches(Place::Node(from), Place::Node(ingress));
        let Exchange { request, attempt, .. } = *exchange;
        let event = match reply {
            _ if cut => BedEvent::HopEnded(request, attempt, HopEnd::Lost),
            BedReply::Answered(head) => BedEvent::HopAnswered(request, attempt, head),
            BedReply::Ended(end) => BedEvent::HopEnded(request, attempt, end),
        };
        let delay_ms = self.delay_ms(from, ingress);
        let boot = Some(exchange.ingress_boot);
        self.schedule(delay_ms, Item::Deliver { node: ingress, boot, event: Box::new(event) });
    }

    fn table_request(&mut self, index: NodeIndex, operation: OperationKey, request: TableRequest) {
        match request {
            TableRequest::Commit(_) => self.nodes[index].traffic.table_commits += 1,
            TableRequest::Read(_) | TableRequest::Scan { .. } => {
                self.nodes[index].traffic.table_reads += 1;
            }
        }
        let boot = self.nodes[index].boots;
        let down = self.faults.platform_down;
        if down || !self.faults.reaches(Place::Node(index), Place::Platform) {
            let event = BedEvent::Table(operation, TableResult::Unavailable);
            self.deliver_later(index, 5, event);
            return;
        }
        let delay_ms = self.faults.table_delay_ms(&mut self.random);
        let item = Item::TableArrives { node: index, boot, operation, request };
        self.schedule(delay_ms, item);
    }

    fn table_arrives(
        &mut self,
        index: NodeIndex,
        boot: u64,
        operation: OperationKey,
        request: &TableRequest,
    ) {
        let commits = matches!(request, TableRequest::Commit(_));
        self.table_commits += u64::from(commits);
        self.table_reads += u64::from(!commits);
        if commits && self.faults.late_writes > 0 {
            self.faults.late_writes -= 1;
            let late_by_ms = self.faults.late_by_ms;
            self.schedule(late_by_ms, Item::LateWrite { request: request.clone() });
            self.answer_table(index, boot, operation, TableResult::Unknown);
            return;
        }
        let result = self.table.execute(request);
        let lost = commits && self.faults.loses_answer(&mut self.random);
        self.answer_table(index, boot, operation, if lost { TableResult::Unknown } else { result });
    }

    fn answer_table(
        &mut self,
        index: NodeIndex,
        boot: u64,
        operation: OperationKey,
        result: TableResult,
    ) {
        let delay_ms = self.faults.table_delay_ms(&mut self.random);
        let event = Box::new(BedEvent::Table(operation, result));
        self.schedule(delay_ms, Item::Deliver { node: index, boot: Some(boot), event });
    }

    fn fetch(
        &mut self,
        index: NodeIndex,
        operation: OperationKey,
        from: SocketAddr,
        after: &Position,
    ) {
        let target = self.nodes.iter().position(|slot| slot.card.operators == from);
        let reached = target.filter(|target| self.connects(index, *target) && self.runs(*target));
        let page = reached.and_then(|target| self.node(target)).map(|node| node.page(after));
        let bytes = page.as_ref().map_or(0, |page| serde_json::json!(page).to_string().len());
        self.nodes[index].traffic.fetches += 1;
        self.nodes[index].traffic.fetched_bytes += bytes as u64;
        let delay_ms = target.map_or(0, |target| 2 * self.delay_ms(index, target));
        self.deliver_later(index, delay_ms, BedEvent::Fetched(operation, page));
    }

    fn hand_over(
        &mut self,
        index: NodeIndex,
        operation: OperationKey,
        to: VmKey,
        tickets: HandedOver,
    ) {
        let target = self.nodes.iter().position(|slot| VmKey::of(&slot.name) == to);
        let target = target.filter(|target| self.connects(index, *target) && self.runs(*target));
        if let Some(target) = target {
            self.handle(target, Event::HandedOver(tickets));
        }
        self.deliver_later(index, 10, BedEvent::HandOverEnded(operation, target.is_some()));
    }

    fn deliver_later(&mut self, index: NodeIndex, delay_ms: u64, event: BedEvent) {
        let boot = Some(self.nodes[index].boots);
        self.schedule(delay_ms, Item::Deliver { node: index, boot, event: Box::new(event) });
    }

    /// Whether a connection can be made and answered between two nodes.
    fn connects(&self, from: NodeIndex, to: NodeIndex) -> bool {
        let there = self.faults.reaches(Place::Node(from), Place::Node(to));
        let back = self.faults.reaches(Place::Node(to), Place::Node(from));
        there && back && self.nodes[to].node.is_some()
    }

    fn reaches_upstream(&self, from: NodeIndex, upstream: UpstreamKey) -> bool {
        self.faults.reaches(Place::Node(from), Place::Upstream(upstream))
    }

    fn delay_ms(&mut self, from: NodeIndex, to: NodeIndex) -> u64 {
        if from == to {
            return 0;
        }
        let base_ms = self.faults.delay_ms(&self.nodes[from].domain, &self.nodes[to].domain);
        base_ms + self.random.u64(0..=self.faults.jitter_ms)
    }

    fn local_ms(&self, index: NodeIndex) -> u64 {
        self.now_ms.saturating_add_signed(self.nodes[index].skew_ms)
    }

    fn is_boot(&self, index: NodeIndex, boot: u64) -> bool {
        self.nodes[index].boots == boot && self.nodes[index].node.is_some()
    }

    fn see(&mut self, call: CallIndex, seen: Seen) {
        if self.calls[call].seen == Seen::Waiting {
            self.calls[call].seen = seen;
            self.calls[call].seen_at_ms = self.now_ms;
        }
    }

    fn schedule(&mut self, delay_ms: u64, item: Item) {
        self.order += 1;
        self.due.insert((self.now_ms + delay_ms, self.order), item);
    }

    fn number(&mut self) -> u64 {
        self.next_number += 1;
        self.next_number
    }
}

/// The reply to a dispatch.
enum BedReply {
    Answered(AnswerHead),
    Ended(HopEnd),
}
