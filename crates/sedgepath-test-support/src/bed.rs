//! A deterministic test bed: several node cores in one thread, with fakes at their interfaces.
//!
//! The test bed performs the actions of each node and delivers events to it, on a simulated clock
//! that only the test advances. All delays are drawn from a seeded generator, so runs are
//! reproducible. Callers, upstreams and the table keep counts on which tests assert.
//!
//! Faults are injected at run time: nodes crash, restart, pause and resume; links between nodes, to
//! the table and to upstreams are cut in one direction or in both; the table is unavailable, loses
//! the results of commits or applies them late; node clocks are skewed.

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

use faults::{Faults, LinkEndpoint};
use loads::LoadHistory;
use upstreams::{FakeUpstreams, UpstreamRun};

/// The interval between two ticks of a node, in milliseconds.
const TICK_INTERVAL_MS: u64 = 20;

/// The interval at which nodes receive the VM list, in milliseconds.
const VM_LIST_INTERVAL_MS: u64 = 2_000;

/// The index of a node on the test bed.
pub type NodeIndex = usize;

/// The index of a caller's request on the test bed.
pub type CallIndex = usize;

/// The result of a request as its caller observed it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallResult {
    /// No result yet.
    Pending,
    /// The complete response of an upstream.
    Answered {
        /// The upstream that sent the response.
        upstream: UpstreamKey,
    },
    /// A final outcome without a response from an upstream.
    Concluded(Outcome),
    /// The connection to the entry VM was lost.
    ConnectionLost,
}

/// Counts of the messages that a node sent and received.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Traffic {
    /// Datagrams sent, including lost ones.
    pub sent: u64,
    /// Bytes of the datagrams sent, with authentication code and IP and UDP headers.
    pub sent_bytes: u64,
    /// Datagrams received.
    pub received: u64,
    /// Bytes of the datagrams received, with the same overhead as `sent_bytes`.
    pub received_bytes: u64,
    /// Reads and scans of the table, including those without a result.
    pub table_reads: u64,
    /// Commits to the table, including those without a result.
    pub table_commits: u64,
    /// Pages of records requested from peers.
    pub fetches: u64,
    /// Bytes of the pages received, as JSON.
    pub fetched_bytes: u64,
}

/// The overhead of a datagram: a 16-byte authentication code and 28 bytes of IPv4 and UDP headers.
const DATAGRAM_OVERHEAD_BYTES: u64 = 16 + 28;

/// A request sent by a caller.
#[derive(Debug, Clone)]
pub struct Call {
    /// The node that received the request.
    pub node: NodeIndex,
    /// When the request was sent, in milliseconds of the simulated clock.
    pub sent_at_ms: u64,
    /// When the result arrived, in milliseconds of the simulated clock.
    pub ended_at_ms: u64,
    /// The head of the request.
    pub head: RequestHead,
    /// The result that the caller observed.
    pub result: CallResult,
}

#[derive(Debug)]
struct NodeSlot {
    name: Box<str>,
    domain: Box<str>,
    descriptor: MemberDescriptor,
    node: Option<Node>,
    boot_count: u64,
    skew_ms: i64,
    paused: bool,
    held_items: VecDeque<ScheduledItem>,
    requests: BTreeMap<RequestKey, CallIndex>,
    dispatches: BTreeMap<ExchangeKey, PendingDispatch>,
    stopped: bool,
    traffic: Traffic,
}

/// A dispatch in progress at an owner, with the ingress node that its reply goes to.
#[derive(Debug, Clone)]
struct PendingDispatch {
    ingress: NodeIndex,
    ingress_boot: u64,
    request: RequestKey,
    attempt: u32,
    call: CallIndex,
}

/// Work scheduled for a point in time.
#[derive(Debug, Clone)]
enum ScheduledItem {
    Tick {
        node: NodeIndex,
        boot: u64,
    },
    VmList {
        node: NodeIndex,
        boot: u64,
    },
    Deliver {
        node: NodeIndex,
        boot: Option<u64>,
        event: Box<NodeEvent>,
    },
    CallerRequest {
        node: NodeIndex,
        boot: u64,
        request: RequestKey,
        head: Box<RequestHead>,
    },
    TableRequestArrival {
        node: NodeIndex,
        boot: u64,
        operation: OperationKey,
        request: TableRequest,
    },
    DelayedCommit {
        request: TableRequest,
    },
    UpstreamArrival {
        owner: NodeIndex,
        boot: u64,
        exchange: ExchangeKey,
        upstream: UpstreamKey,
        call: Option<CallIndex>,
    },
    UpstreamEnd {
        run: UpstreamRun,
    },
}

/// An event in transit to a node; cloneable, unlike [`Event`].
#[derive(Debug, Clone)]
enum NodeEvent {
    Datagram(sedgepath_core::message::Envelope),
    Table(OperationKey, TableResult),
    Dispatch(Dispatch, PendingDispatch),
    HopAnswered(RequestKey, u32, AnswerHead),
    HopEnded(RequestKey, u32, HopFailure),
    CallEnded(ExchangeKey, CallOutcome, u64),
    Report(UpstreamKey, UpstreamReport),
    PageFetched(OperationKey, Option<RecordPage>),
    TicketHandoverEnded(OperationKey, bool),
}

/// Nodes, upstreams and a table on one simulated clock.
#[derive(Debug)]
pub struct TestBed {
    now_ms: u64,
    last_sequence: u64,
    scheduled: BTreeMap<(u64, u64), ScheduledItem>,
    random: fastrand::Rng,
    settings: NodeSettings,
    policy: fn() -> Box<dyn SteeringPolicy>,
    loads: LoadHistory,
    nodes: Vec<NodeSlot>,
    table: MemoryTable,
    /// The faults currently injected.
    pub faults: Faults,
    /// The upstreams and their counts.
    pub upstreams: FakeUpstreams,
    calls: Vec<Call>,
    changes: BTreeMap<ReplyKey, ChangeOutcome>,
    last_key: u64,
    log: Vec<(NodeIndex, sedgepath_core::timeline::TimelineEntry)>,
    minted_tickets: Vec<Ticket>,
    /// The number of commits that have reached the table.
    pub table_commits: u64,
    /// The number of reads and scans that have reached the table.
    pub table_reads: u64,
    unlisted_nodes: BTreeSet<NodeIndex>,
    leaving_nodes: BTreeSet<NodeIndex>,
    leaving_upstreams: Vec<ListedVm>,
}

/// The initial time of the simulated clock, in milliseconds, high enough to subtract timeouts from.
pub const START_TIME_MS: u64 = 1_000_000;

/// Creates the head of a repeatable guest request from loopback.
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

impl TestBed {
    /// Creates an empty test bed whose delays are drawn from a generator with this seed.
    pub fn new(seed: u64) -> Self {
        Self {
            now_ms: START_TIME_MS,
            last_sequence: 0,
            scheduled: BTreeMap::new(),
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
            last_key: 1,
            log: Vec::new(),
            minted_tickets: Vec::new(),
            table_commits: 0,
            table_reads: 0,
            unlisted_nodes: BTreeSet::new(),
            leaving_nodes: BTreeSet::new(),
            leaving_upstreams: Vec::new(),
        }
    }

    /// Sets the settings of nodes added from now on.
    pub fn with_settings(mut self, settings: NodeSettings) -> Self {
        self.settings = settings;
        self
    }

    /// Sets the steering policy of nodes added from now on.
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
        let descriptor = MemberDescriptor {
            name: name.into(),
            domain: DomainKey::of(domain),
            caller_address: address(1),
            peer_address: address(2),
            operator_address: address(3),
            leaving: false,
        };
        self.nodes.push(NodeSlot {
            name: name.into(),
            domain: domain.into(),
            descriptor,
            node: None,
            boot_count: 0,
            skew_ms: 0,
            paused: false,
            held_items: VecDeque::new(),
            requests: BTreeMap::new(),
            dispatches: BTreeMap::new(),
            stopped: false,
            traffic: Traffic::default(),
        });
        self.start(index);
        index
    }

    /// Writes records to the table as an operator's change does and returns the new head revision.
    ///
    /// # Panics
    ///
    /// Panics if a row can't be written because of a conflicting write.
    pub fn write_records(&mut self, records: &[RawRecord]) -> u64 {
        crate::system::write_records(&self.table, records)
            .expect("another write conflicts with the test bed's change")
    }

    /// Returns the time of the simulated clock in milliseconds.
    pub fn now_ms(&self) -> u64 {
        self.now_ms
    }

    /// Returns the table with its current rows.
    pub fn table(&self) -> &MemoryTable {
        &self.table
    }

    /// Returns a node, or `None` if it is down.
    pub fn node(&self, node: NodeIndex) -> Option<&Node> {
        self.nodes[node].node.as_ref()
    }

    /// Returns the number of nodes, running or not.
    pub fn node_count(&self) -> usize {
        self.nodes.len()
    }

    /// Returns whether a node is running and not paused.
    pub fn is_running(&self, node: NodeIndex) -> bool {
        self.nodes[node].node.is_some() && !self.nodes[node].paused
    }

    /// Returns whether a node has completed a graceful shutdown.
    pub fn has_stopped(&self, node: NodeIndex) -> bool {
        self.nodes[node].stopped
    }

    /// Returns the traffic of a node since it was added.
    pub fn traffic(&self, node: NodeIndex) -> Traffic {
        self.nodes[node].traffic
    }

    /// Returns all calls so far, by [`CallIndex`].
    pub fn calls(&self) -> &[Call] {
        &self.calls
    }

    /// Returns the timeline entries that the nodes have logged.
    pub fn log(&self) -> &[(NodeIndex, sedgepath_core::timeline::TimelineEntry)] {
        &self.log
    }

    /// Starts a node that is down, with empty state and a new boot id.
    pub fn start(&mut self, index: NodeIndex) {
        let slot = &mut self.nodes[index];
        slot.boot_count += 1;
        slot.paused = false;
        slot.stopped = false;
        let boot = BootId((index as u64) << 32 | slot.boot_count);
        let mut settings = self.settings.clone();
        settings.seed = self.random.u64(..);
        let node = Node::new(Identity::new(slot.descriptor.clone(), boot), settings);
        slot.node = Some(node.with_policy((self.policy)()));
        let boot = slot.boot_count;
        let first_tick_ms = self.random.u64(0..TICK_INTERVAL_MS);
        self.schedule(first_tick_ms, ScheduledItem::Tick { node: index, boot });
        self.schedule(0, ScheduledItem::VmList { node: index, boot });
    }

    /// Kills a node: its state, its connections and pending events of its boot are lost.
    pub fn kill(&mut self, index: NodeIndex) {
        let slot = &mut self.nodes[index];
        slot.node = None;
        slot.held_items.clear();
        let requests = std::mem::take(&mut slot.requests);
        let dispatches = std::mem::take(&mut slot.dispatches);
        for call in requests.into_values() {
            self.record_result(call, CallResult::ConnectionLost);
        }
        // The upstream may still run a dispatched request, so the ingress sees the hop as lost.
        for pending in dispatches.into_values() {
            self.send_reply(&pending, DispatchReply::Failed(HopFailure::Lost), index);
        }
    }

    /// Suspends a node: it handles nothing until [`Self::resume`].
    pub fn pause(&mut self, index: NodeIndex) {
        self.nodes[index].paused = true;
    }

    /// Resumes a paused node; events that arrived during the pause are delivered immediately.
    pub fn resume(&mut self, index: NodeIndex) {
        self.nodes[index].paused = false;
        let held = std::mem::take(&mut self.nodes[index].held_items);
        for item in held {
            self.schedule(0, item);
        }
    }

    /// Requests a graceful shutdown of a node.
    pub fn stop(&mut self, index: NodeIndex) {
        self.handle(index, Event::StopRequested);
    }

    /// Sets the offset of a node's clock from the simulated clock, in milliseconds.
    pub fn set_skew_ms(&mut self, index: NodeIndex, skew_ms: i64) {
        self.nodes[index].skew_ms = skew_ms;
    }

    /// Adds a node to the platform's VM list or removes it.
    pub fn set_node_listed(&mut self, index: NodeIndex, listed: bool) {
        if listed {
            self.unlisted_nodes.remove(&index);
        } else {
            self.unlisted_nodes.insert(index);
        }
    }

    /// Marks a node as leaving in the platform's VM list.
    pub fn mark_node_leaving(&mut self, index: NodeIndex) {
        self.leaving_nodes.insert(index);
    }

    /// Marks an upstream as leaving in the platform's VM list.
    pub fn mark_upstream_leaving(&mut self, name: &str, domain: &str) {
        self.leaving_upstreams.push(ListedVm {
            name: name.into(),
            domain: domain.into(),
            peer_address: SocketAddr::from((Ipv4Addr::LOCALHOST, 9)),
            leaving: true,
        });
    }

    /// Creates the head of a repeatable guest request with a deadline in two seconds.
    pub fn request_head(&self, service: &str) -> RequestHead {
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

    /// Sends a caller's request to a node; `head.deadline_at_ms` is a time of the simulated clock.
    pub fn call(&mut self, node: NodeIndex, head: RequestHead) -> CallIndex {
        let call = self.calls.len();
        let now_ms = self.now_ms;
        self.calls.push(Call {
            node,
            sent_at_ms: now_ms,
            ended_at_ms: now_ms,
            head: head.clone(),
            result: CallResult::Pending,
        });
        if self.nodes[node].node.is_none() {
            self.record_result(call, CallResult::ConnectionLost);
            return call;
        }
        let request = RequestKey(self.next_key());
        self.nodes[node].requests.insert(request, call);
        let mut head = head;
        head.deadline_at_ms = head.deadline_at_ms.saturating_add_signed(self.nodes[node].skew_ms);
        self.deliver_request(node, request, head);
        call
    }

    /// Requests tickets from a node; returns none if it rejects the request or is not running.
    pub fn mint_tickets(&mut self, node: NodeIndex, service: &str, count: u32) -> Vec<Ticket> {
        self.minted_tickets.clear();
        if self.is_running(node) {
            let reply = ReplyKey(self.next_key());
            self.handle(node, Event::MintTickets { reply, service: service.into(), count });
        }
        std::mem::take(&mut self.minted_tickets)
    }

    /// Delivers a request to a node, or holds it until the node resumes.
    fn deliver_request(&mut self, node: NodeIndex, request: RequestKey, head: RequestHead) {
        if self.nodes[node].paused {
            let boot = self.nodes[node].boot_count;
            let item = ScheduledItem::CallerRequest { node, boot, request, head: Box::new(head) };
            self.nodes[node].held_items.push_back(item);
        } else {
            self.handle(node, Event::Request { request, head });
        }
    }

    /// Submits a configuration change to a node, as an operator's command does.
    pub fn request_change(&mut self, node: NodeIndex, request: ChangeRequest) -> ReplyKey {
        let reply = ReplyKey(self.next_key());
        self.handle(node, Event::Change { reply, request });
        reply
    }

    /// Returns the outcome of a change, or `None` until the node has replied.
    pub fn change_outcome(&self, reply: ReplyKey) -> Option<&ChangeOutcome> {
        self.changes.get(&reply)
    }

    /// Looks up entry VMs at a node.
    ///
    /// # Errors
    ///
    /// Returns the node's error if the look-up fails.
    ///
    /// # Panics
    ///
    /// Panics if the node is down.
    pub fn look_up(
        &mut self,
        node: NodeIndex,
        look_up: &LookUp,
    ) -> Result<LookUpAnswer, LookUpError> {
        self.nodes[node].node.as_mut().expect("the node should be running").look_up(look_up)
    }

    /// Delivers an event to a node immediately and performs the resulting actions.
    pub fn handle(&mut self, index: NodeIndex, event: Event) {
        let now_ms = self.node_time_ms(index);
        let Some(node) = self.nodes[index].node.as_mut() else {
            return;
        };
        let actions = node.handle(now_ms, event);
        self.perform_actions(index, actions);
    }

    /// Advances the clock until nodes that have just started hold the leases of their upstreams.
    ///
    /// A single node acquires them 2T + D after its boot, where T is the suspicion timeout and D the
    /// longest deadline of the services in its failure domain.
    pub fn settle(&mut self, longest_deadline_ms: u64) {
        let settings = &self.settings;
        let grant_ms = 4 * settings.heartbeat_every_ms;
        self.run_for(2 * settings.suspect_after_ms + longest_deadline_ms + grant_ms);
    }

    /// Advances the clock and processes all work that falls due.
    pub fn run_for(&mut self, duration_ms: u64) {
        let until_ms = self.now_ms + duration_ms;
        while let Some(entry) = self.scheduled.first_entry() {
            let (at_ms, _) = *entry.key();
            if at_ms > until_ms {
                break;
            }
            let item = entry.remove();
            self.now_ms = self.now_ms.max(at_ms);
            self.process_item(item);
        }
        self.now_ms = until_ms;
    }

    /// Returns whether a node can connect to another and receive its responses.
    fn can_connect(&self, from: NodeIndex, to: NodeIndex) -> bool {
        let outbound = self.faults.is_open(LinkEndpoint::Node(from), LinkEndpoint::Node(to));
        let inbound = self.faults.is_open(LinkEndpoint::Node(to), LinkEndpoint::Node(from));
        outbound && inbound && self.nodes[to].node.is_some()
    }

    fn can_reach_upstream(&self, from: NodeIndex, upstream: UpstreamKey) -> bool {
        self.faults.is_open(LinkEndpoint::Node(from), LinkEndpoint::Upstream(upstream))
    }

    fn delay_ms(&mut self, from: NodeIndex, to: NodeIndex) -> u64 {
        if from == to {
            return 0;
        }
        let base_ms = self.faults.latency_ms(&self.nodes[from].domain, &self.nodes[to].domain);
        base_ms + self.random.u64(0..=self.faults.jitter_ms)
    }

    fn node_time_ms(&self, index: NodeIndex) -> u64 {
        self.now_ms.saturating_add_signed(self.nodes[index].skew_ms)
    }

    fn is_current_boot(&self, index: NodeIndex, boot: u64) -> bool {
        self.nodes[index].boot_count == boot && self.nodes[index].node.is_some()
    }

    fn record_result(&mut self, call: CallIndex, result: CallResult) {
        if self.calls[call].result == CallResult::Pending {
            self.calls[call].result = result;
            self.calls[call].ended_at_ms = self.now_ms;
        }
    }

    fn schedule(&mut self, delay_ms: u64, item: ScheduledItem) {
        self.last_sequence += 1;
        self.scheduled.insert((self.now_ms + delay_ms, self.last_sequence), item);
    }

    fn next_key(&mut self) -> u64 {
        self.last_key += 1;
        self.last_key
    }
}

/// The reply of an owner to a dispatch.
enum DispatchReply {
    Answered(AnswerHead),
    Failed(HopFailure),
}
