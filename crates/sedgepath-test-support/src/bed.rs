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
use sedgepath_core::configuration::store::RecordPage;
use sedgepath_core::event::{Event, ListedVm, LookUp, LookUpAnswer, LookUpError, UpstreamReport};
use sedgepath_core::hash::Digest;
use sedgepath_core::identity::{Identity, NodeSettings};
use sedgepath_core::key::{
    BootId, DomainKey, ExchangeKey, OperationKey, ReplyKey, RequestKey, UpstreamKey,
};
use sedgepath_core::message::MemberDescriptor;
use sedgepath_core::node::Node;
use sedgepath_core::record::RawRecord;
use sedgepath_core::request::{
    AnswerHead, CallOutcome, Deduplication, Dispatch, HopFailure, Outcome, RequestHead, Ticket,
};
use sedgepath_core::steering::{HeadroomPolicy, SteeringPolicy};
use sedgepath_core::table::{TableRequest, TableResult};

use crate::table::MemoryTable;

mod actions;
mod delivery;
pub mod faults;
mod loads;
mod platform;
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
    card: MemberDescriptor,
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
    HopEnded(RequestKey, u32, HopFailure),
    CallEnded(ExchangeKey, CallOutcome, u64),
    Report(UpstreamKey, UpstreamReport),
    Fetched(OperationKey, Option<RecordPage>),
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
    log: Vec<(NodeIndex, sedgepath_core::timeline::TimelineEntry)>,
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
        deduplication: Deduplication::Repeatable,
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
            policy: || Box::new(HeadroomPolicy::new()),
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
        let card = MemberDescriptor {
            name: name.into(),
            domain: DomainKey::of(domain),
            caller_address: address(1),
            peer_address: address(2),
            operator_address: address(3),
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
    pub fn log(&self) -> &[(NodeIndex, sedgepath_core::timeline::TimelineEntry)] {
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
            self.reply(&exchange, BedReply::Ended(HopFailure::Lost), index);
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
        self.handle(index, Event::StopRequested);
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
            peer_address: SocketAddr::from((Ipv4Addr::LOCALHOST, 9)),
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
            deduplication: Deduplication::Repeatable,
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
    Ended(HopFailure),
}
