//! The driver thread, which owns the node.
//!
//! Events arrive over a channel. The node's actions are passed to the sockets, the table workers and
//! the tasks of the requests that they concern. All decisions are the node's.

use std::net::UdpSocket;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use crossbeam::channel::{Receiver, RecvTimeoutError, Sender, unbounded};
use sedgepath_core::configuration::change::{ChangeOutcome, ChangeRequest};
use sedgepath_core::deduplication::tickets::MintError;
use sedgepath_core::event::{Action, Event, LookUp, LookUpAnswer, LookUpError};
use sedgepath_core::hash::Map;
use sedgepath_core::key::{ExchangeKey, ReplyKey, RequestKey, VmKey};
use sedgepath_core::node::Node;
use sedgepath_core::request::{Dispatch, RequestHead, Ticket};
use sedgepath_wire::datagram;
use sedgepath_wire::key::SharedKey;
use sedgepath_wire::time::unix_ms;
use tokio::sync::{mpsc, oneshot};

use crate::logging;
use crate::metrics::Metrics;
use crate::table::TableJob;
use crate::ticket_handover::TicketHandoverJob;

/// The interval between two ticks of the node.
const TICK_INTERVAL: Duration = Duration::from_millis(20);

/// The process's clock in milliseconds since the Unix epoch; it never goes backwards.
///
/// The wall clock is read once, at the start; after that, time advances with the monotonic clock, so
/// that setting the wall clock back can't prolong a lease.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    started: Instant,
    started_at_ms: u64,
}

impl Clock {
    /// Creates a clock that starts at the current wall-clock time.
    pub fn new() -> Self {
        Self { started: Instant::now(), started_at_ms: unix_ms() }
    }

    /// Returns the current time in milliseconds since the Unix epoch.
    pub fn now_ms(&self) -> u64 {
        self.started_at_ms + self.started.elapsed().as_millis() as u64
    }

    /// Converts a time in milliseconds since the Unix epoch to an instant; a time before the start of
    /// the clock becomes the start.
    pub fn instant(&self, at_ms: u64) -> tokio::time::Instant {
        let since_start_ms = at_ms.saturating_sub(self.started_at_ms);
        tokio::time::Instant::from_std(self.started + Duration::from_millis(since_start_ms))
    }
}

impl Default for Clock {
    fn default() -> Self {
        Self::new()
    }
}

/// A read-only query of the node, run on the driver thread.
type NodeQuery = Box<dyn FnOnce(&Node) + Send>;

/// A message to the driver thread.
enum DriverInput {
    Event(Event),
    LookUp(LookUp, oneshot::Sender<Result<LookUpAnswer, LookUpError>>),
    Request(RequestKey, RequestHead, mpsc::UnboundedSender<Action>),
    MintTickets(Box<str>, u32, oneshot::Sender<Result<Vec<Ticket>, MintError>>),
    Change(ChangeRequest, oneshot::Sender<ChangeOutcome>),
    Dispatch(ExchangeKey, VmKey, Dispatch, mpsc::UnboundedSender<Action>),
    Query(NodeQuery),
}

/// A handle by which other threads and tasks reach the node.
#[derive(Debug, Clone)]
pub struct NodeHandle {
    inputs: Sender<DriverInput>,
    next_key: Arc<AtomicU64>,
    revision: Arc<AtomicU64>,
    clock: Clock,
}

impl NodeHandle {
    /// Returns the configuration revision in force.
    pub fn revision(&self) -> u64 {
        self.revision.load(Ordering::Relaxed)
    }

    /// Returns the process's clock.
    pub fn clock(&self) -> Clock {
        self.clock
    }

    /// Sends an event that has no reply.
    pub fn send_event(&self, event: Event) {
        self.send(DriverInput::Event(event));
    }

    /// Looks up the entry VMs of a service; returns `None` if the driver has ended.
    pub async fn look_up(&self, look_up: LookUp) -> Option<Result<LookUpAnswer, LookUpError>> {
        let (sender, receiver) = oneshot::channel();
        self.send(DriverInput::LookUp(look_up, sender));
        receiver.await.ok()
    }

    /// Mints tickets for a service; returns `None` if the driver has ended.
    pub async fn mint_tickets(
        &self,
        service: &str,
        count: u32,
    ) -> Option<Result<Vec<Ticket>, MintError>> {
        let (sender, receiver) = oneshot::channel();
        self.send(DriverInput::MintTickets(service.into(), count, sender));
        receiver.await.ok()
    }

    /// Requests a change of the configuration; returns `None` if the driver has ended.
    pub async fn change_configuration(&self, request: ChangeRequest) -> Option<ChangeOutcome> {
        let (sender, receiver) = oneshot::channel();
        self.send(DriverInput::Change(request, sender));
        receiver.await.ok()
    }

    /// Passes a caller's request to the node; the actions for this request arrive on the channel.
    pub fn start_request(
        &self,
        head: RequestHead,
    ) -> (RequestKey, mpsc::UnboundedReceiver<Action>) {
        let request = RequestKey(self.allocate_key());
        let (sender, receiver) = mpsc::unbounded_channel();
        self.send(DriverInput::Request(request, head, sender));
        (request, receiver)
    }

    /// Passes a request dispatched by a peer to the node; the actions for this request arrive on the
    /// channel.
    pub fn start_dispatch(
        &self,
        from: VmKey,
        dispatch: Dispatch,
    ) -> (ExchangeKey, mpsc::UnboundedReceiver<Action>) {
        let exchange = ExchangeKey(self.allocate_key());
        let (sender, receiver) = mpsc::unbounded_channel();
        self.send(DriverInput::Dispatch(exchange, from, dispatch, sender));
        (exchange, receiver)
    }

    /// Runs a query of the node on the driver thread; returns `None` if the driver has ended.
    pub async fn query<T: Send + 'static>(
        &self,
        query: impl FnOnce(&Node) -> T + Send + 'static,
    ) -> Option<T> {
        let (sender, receiver) = oneshot::channel();
        self.send(DriverInput::Query(Box::new(move |node| {
            // The receiver may have been dropped in the meantime.
            let _receiver_gone = sender.send(query(node));
        })));
        receiver.await.ok()
    }

    fn allocate_key(&self) -> u64 {
        self.next_key.fetch_add(1, Ordering::Relaxed)
    }

    fn send(&self, input: DriverInput) {
        // Inputs are ignored once the driver has ended, as the process is stopping then.
        let _driver_ended = self.inputs.send(input);
    }
}

/// The channels and sockets by which the driver executes actions.
#[derive(Debug)]
pub struct DriverOutputs {
    /// The socket from which datagrams are sent.
    pub socket: UdpSocket,
    /// The key that authenticates datagrams.
    pub datagram_key: SharedKey,
    /// The queue of the table workers.
    pub table: Sender<TableJob>,
    /// The queue of page fetches from peers.
    pub fetches: mpsc::UnboundedSender<crate::operators::FetchJob>,
    /// The queue of ticket handovers to peers.
    pub handovers: mpsc::UnboundedSender<TicketHandoverJob>,
    /// The daemon's metrics.
    pub metrics: Arc<Metrics>,
}

/// Starts the driver thread, which ends when the node has stopped.
pub fn start(node: Node, clock: Clock, outputs: DriverOutputs) -> (NodeHandle, JoinHandle<()>) {
    let (inputs, received) = unbounded();
    let revision = Arc::new(AtomicU64::new(0));
    let handle = NodeHandle {
        inputs,
        next_key: Arc::new(AtomicU64::new(1)),
        revision: Arc::clone(&revision),
        clock,
    };
    let driver = Driver {
        node,
        clock,
        revision,
        outputs,
        request_tasks: Map::default(),
        exchange_tasks: Map::default(),
        pending_look_ups: Map::default(),
        pending_mints: Map::default(),
        pending_changes: Map::default(),
        next_reply_key: 0,
        stopped: false,
    };
    let thread = std::thread::spawn(move || driver.run(&received));
    (handle, thread)
}

struct Driver {
    node: Node,
    clock: Clock,
    revision: Arc<AtomicU64>,
    outputs: DriverOutputs,
    request_tasks: Map<RequestKey, mpsc::UnboundedSender<Action>>,
    exchange_tasks: Map<ExchangeKey, mpsc::UnboundedSender<Action>>,
    pending_look_ups: Map<ReplyKey, oneshot::Sender<Result<LookUpAnswer, LookUpError>>>,
    pending_mints: Map<ReplyKey, oneshot::Sender<Result<Vec<Ticket>, MintError>>>,
    pending_changes: Map<ReplyKey, oneshot::Sender<ChangeOutcome>>,
    next_reply_key: u64,
    stopped: bool,
}

impl Driver {
    fn run(mut self, inputs: &Receiver<DriverInput>) {
        let mut next_tick = Instant::now();
        while !self.stopped {
            let now = Instant::now();
            if now >= next_tick {
                next_tick = now + TICK_INTERVAL;
                let actions = self.node.tick(self.clock.now_ms());
                self.execute_actions(actions);
                self.outputs.metrics.update_gauges(&self.node);
            }
            match inputs.recv_deadline(next_tick) {
                Ok(input) => self.handle_input(input),
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return,
            }
        }
    }

    fn handle_input(&mut self, input: DriverInput) {
        let event = match input {
            DriverInput::Event(event) => event,
            DriverInput::LookUp(look_up, sender) => {
                let reply = self.next_reply_key();
                self.pending_look_ups.insert(reply, sender);
                Event::LookUp { reply, look_up }
            }
            DriverInput::MintTickets(service, count, sender) => {
                let reply = self.next_reply_key();
                self.pending_mints.insert(reply, sender);
                Event::MintTickets { reply, service, count }
            }
            DriverInput::Change(request, sender) => {
                let reply = self.next_reply_key();
                self.pending_changes.insert(reply, sender);
                Event::Change { reply, request }
            }
            DriverInput::Request(request, head, sender) => {
                self.request_tasks.insert(request, sender);
                Event::Request { request, head }
            }
            DriverInput::Dispatch(exchange, from, dispatch, sender) => {
                self.exchange_tasks.insert(exchange, sender);
                Event::Dispatched { exchange, from, dispatch }
            }
            DriverInput::Query(query) => {
                query(&self.node);
                return;
            }
        };
        match &event {
            Event::RelayEnded { request, .. } | Event::CallerDisconnected { request } => {
                self.request_tasks.remove(request);
            }
            Event::CallEnded { exchange, .. } => {
                self.exchange_tasks.remove(exchange);
            }
            _ => {}
        }
        let actions = self.node.handle(self.clock.now_ms(), event);
        self.execute_actions(actions);
    }

    fn next_reply_key(&mut self) -> ReplyKey {
        self.next_reply_key += 1;
        ReplyKey(self.next_reply_key)
    }

    fn execute_actions(&mut self, actions: Vec<Action>) {
        self.revision.store(self.node.configuration().revision(), Ordering::Relaxed);
        for action in actions {
            self.outputs.metrics.count_action(&action);
            match action {
                Action::AnswerLookUp { reply, answer } => {
                    if let Some(sender) = self.pending_look_ups.remove(&reply) {
                        // The caller may have disconnected.
                        let _receiver_gone = sender.send(answer);
                    }
                }
                Action::AnswerTickets { reply, tickets } => {
                    if let Some(sender) = self.pending_mints.remove(&reply) {
                        // The caller may have disconnected.
                        let _receiver_gone = sender.send(tickets);
                    }
                }
                Action::HandOverTickets { operation, to, address, tickets } => {
                    let job = TicketHandoverJob { operation, to, address, tickets };
                    let _receiver_ended = self.outputs.handovers.send(job);
                }
                Action::AnswerChange { reply, outcome } => {
                    if let Some(sender) = self.pending_changes.remove(&reply) {
                        // The operator may have disconnected.
                        let _receiver_gone = sender.send(outcome);
                    }
                }
                Action::Forward { request, .. }
                | Action::ForwardHome { request, .. }
                | Action::RelayResponse { request, .. }
                | Action::CancelAttempt { request, .. } => {
                    forward_action(self.request_tasks.get(&request), action);
                }
                Action::Conclude { request, .. } => {
                    forward_action(self.request_tasks.remove(&request).as_ref(), action);
                }
                Action::CallUpstream { exchange, .. } | Action::CancelCall { exchange } => {
                    forward_action(self.exchange_tasks.get(&exchange), action);
                }
                Action::RejectDispatch { exchange, .. } => {
                    forward_action(self.exchange_tasks.remove(&exchange).as_ref(), action);
                }
                Action::SendDatagram { to, envelope } => self.send_datagram(to, &envelope),
                Action::Table { operation, request } => {
                    let _receiver_ended = self.outputs.table.send(TableJob { operation, request });
                }
                Action::FetchPage { operation, from, after } => {
                    let job = crate::operators::FetchJob { operation, from, after };
                    let _receiver_ended = self.outputs.fetches.send(job);
                }
                Action::Log(entry) => {
                    logging::log_timeline_entry(
                        &self.node.outbox().identity().descriptor.name,
                        &entry,
                    );
                }
                Action::Stopped => self.stopped = true,
            }
        }
    }

    fn send_datagram(
        &self,
        to: std::net::SocketAddr,
        envelope: &sedgepath_core::message::Envelope,
    ) {
        match datagram::encode(&self.outputs.datagram_key, envelope) {
            Ok(bytes) => {
                self.outputs.metrics.count_sent_datagram(bytes.len());
                // Errors are ignored: datagrams may be lost anyway, and the protocols resend what
                // matters.
                let _best_effort = self.outputs.socket.send_to(&bytes, to);
            }
            Err(error) => log::error!("event=datagram_unsent reason={}", error.name()),
        }
    }
}

/// Sends an action to the task of the request or exchange that it concerns.
fn forward_action(task: Option<&mpsc::UnboundedSender<Action>>, action: Action) {
    if let Some(task) = task {
        // A task that has ended reports its end by an event.
        let _task_ended = task.send(action);
    }
}
