//! The thread that owns the node.
//!
//! Events come in over a channel; the node's actions go out to the sockets, the table workers
//! and the tasks of the requests that they concern. Nothing here decides anything.

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

use crate::homes::HandOverJob;
use crate::logging;
use crate::metrics::Metrics;
use crate::table::TableJob;

/// The time between two ticks of the node.
const TICK_EVERY: Duration = Duration::from_millis(20);

/// The process's clock in milliseconds since the Unix epoch; it never runs backwards.
///
/// The wall clock is read once. Deadlines and rights are kept on the monotonic clock, so that a
/// wall clock set back while the process runs can't prolong a right.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    started: Instant,
    started_at_ms: u64,
}

impl Clock {
    /// Starts the clock from the wall clock.
    pub fn new() -> Self {
        Self { started: Instant::now(), started_at_ms: unix_ms() }
    }

    /// Returns the time in milliseconds.
    pub fn now_ms(&self) -> u64 {
        self.started_at_ms + self.started.elapsed().as_millis() as u64
    }

    /// Returns the instant of a time in milliseconds.
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

/// A question to the node, answered on its thread.
type Question = Box<dyn FnOnce(&Node) + Send>;

/// What the driver is told.
enum Input {
    Event(Event),
    LookUp(LookUp, oneshot::Sender<Result<LookUpAnswer, LookUpError>>),
    Request(RequestKey, RequestHead, mpsc::UnboundedSender<Action>),
    Mint(Box<str>, u32, oneshot::Sender<Result<Vec<Ticket>, MintError>>),
    Change(ChangeRequest, oneshot::Sender<ChangeOutcome>),
    Dispatch(ExchangeKey, VmKey, Dispatch, mpsc::UnboundedSender<Action>),
    Ask(Question),
}

/// Hands events to the node and takes its actions.
#[derive(Debug, Clone)]
pub struct Handle {
    inputs: Sender<Input>,
    numbers: Arc<AtomicU64>,
    revision: Arc<AtomicU64>,
    clock: Clock,
}

impl Handle {
    /// Returns the configuration revision in force.
    pub fn revision(&self) -> u64 {
        self.revision.load(Ordering::Relaxed)
    }

    /// Returns the process's clock.
    pub fn clock(&self) -> Clock {
        self.clock
    }

    /// Hands over an event that awaits nothing.
    pub fn event(&self, event: Event) {
        self.send(Input::Event(event));
    }

    /// Asks which entry VMs to use; none if the process is about to end.
    pub async fn look_up(&self, look_up: LookUp) -> Option<Result<LookUpAnswer, LookUpError>> {
        let (sender, receiver) = oneshot::channel();
        self.send(Input::LookUp(look_up, sender));
        receiver.await.ok()
    }

    /// Asks for tickets; none if the process is about to end.
    pub async fn mint(&self, service: &str, count: u32) -> Option<Result<Vec<Ticket>, MintError>> {
        let (sender, receiver) = oneshot::channel();
        self.send(Input::Mint(service.into(), count, sender));
        receiver.await.ok()
    }

    /// Asks for a change of the configuration; none if the process is about to end.
    pub async fn change(&self, request: ChangeRequest) -> Option<ChangeOutcome> {
        let (sender, receiver) = oneshot::channel();
        self.send(Input::Change(request, sender));
        receiver.await.ok()
    }

    /// Hands over a caller's request; the actions that concern it arrive on the channel.
    pub fn request(&self, head: RequestHead) -> (RequestKey, mpsc::UnboundedReceiver<Action>) {
        let request = RequestKey(self.next_number());
        let (sender, receiver) = mpsc::unbounded_channel();
        self.send(Input::Request(request, head, sender));
        (request, receiver)
    }

    /// Hands over a dispatched request; the actions that concern it arrive on the channel.
    pub fn dispatch(
        &self,
        from: VmKey,
        dispatch: Dispatch,
    ) -> (ExchangeKey, mpsc::UnboundedReceiver<Action>) {
        let exchange = ExchangeKey(self.next_number());
        let (sender, receiver) = mpsc::unbounded_channel();
        self.send(Input::Dispatch(exchange, from, dispatch, sender));
        (exchange, receiver)
    }

    /// Asks the node something on its own thread; none if the process is about to end.
    pub async fn ask<T: Send + 'static>(
        &self,
        question: impl FnOnce(&Node) -> T + Send + 'static,
    ) -> Option<T> {
        let (sender, receiver) = oneshot::channel();
        self.send(Input::Ask(Box::new(move |node| {
            // The asker may have gone away; then nobody needs the answer.
            let _unread = sender.send(question(node));
        })));
        receiver.await.ok()
    }

    fn next_number(&self) -> u64 {
        self.numbers.fetch_add(1, Ordering::Relaxed)
    }

    fn send(&self, input: Input) {
        // The driver ends only with the process; what comes after that concerns nobody.
        let _ended = self.inputs.send(input);
    }
}

/// What the driver needs to carry out actions.
#[derive(Debug)]
pub struct Outlets {
    /// The socket that datagrams leave by.
    pub socket: UdpSocket,
    /// The key of datagrams.
    pub datagram_key: SharedKey,
    /// The queue of the table workers.
    pub table: Sender<TableJob>,
    /// The queue of fetches from peers.
    pub fetches: mpsc::UnboundedSender<crate::operators::FetchJob>,
    /// The queue of hand-overs to peers.
    pub hand_overs: mpsc::UnboundedSender<HandOverJob>,
    /// What is counted.
    pub metrics: Arc<Metrics>,
}

/// Starts the thread that owns the node. It ends when the node has stopped.
pub fn start(node: Node, clock: Clock, outlets: Outlets) -> (Handle, JoinHandle<()>) {
    let (inputs, received) = unbounded();
    let revision = Arc::new(AtomicU64::new(0));
    let handle = Handle {
        inputs,
        numbers: Arc::new(AtomicU64::new(1)),
        revision: Arc::clone(&revision),
        clock,
    };
    let driver = Driver {
        node,
        clock,
        revision,
        outlets,
        requests: Map::default(),
        exchanges: Map::default(),
        look_ups: Map::default(),
        mints: Map::default(),
        changes: Map::default(),
        next_reply: 0,
        stopped: false,
    };
    let thread = std::thread::spawn(move || driver.run(&received));
    (handle, thread)
}

struct Driver {
    node: Node,
    clock: Clock,
    revision: Arc<AtomicU64>,
    outlets: Outlets,
    requests: Map<RequestKey, mpsc::UnboundedSender<Action>>,
    exchanges: Map<ExchangeKey, mpsc::UnboundedSender<Action>>,
    look_ups: Map<ReplyKey, oneshot::Sender<Result<LookUpAnswer, LookUpError>>>,
    mints: Map<ReplyKey, oneshot::Sender<Result<Vec<Ticket>, MintError>>>,
    changes: Map<ReplyKey, oneshot::Sender<ChangeOutcome>>,
    next_reply: u64,
    stopped: bool,
}

impl Driver {
    fn run(mut self, inputs: &Receiver<Input>) {
        let mut next_tick = Instant::now();
        while !self.stopped {
            let now = Instant::now();
            if now >= next_tick {
                next_tick = now + TICK_EVERY;
                let actions = self.node.tick(self.clock.now_ms());
                self.carry_out(actions);
                self.outlets.metrics.observe(&self.node);
            }
            match inputs.recv_deadline(next_tick) {
                Ok(input) => self.take(input),
                Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => return,
            }
        }
    }

    fn take(&mut self, input: Input) {
        let event = match input {
            Input::Event(event) => event,
            Input::LookUp(look_up, sender) => {
                let reply = self.next_reply();
                self.look_ups.insert(reply, sender);
                Event::LookUp { reply, look_up }
            }
            Input::Mint(service, count, sender) => {
                let reply = self.next_reply();
                self.mints.insert(reply, sender);
                Event::MintTickets { reply, service, count }
            }
            Input::Change(request, sender) => {
                let reply = self.next_reply();
                self.changes.insert(reply, sender);
                Event::Change { reply, request }
            }
            Input::Request(request, head, sender) => {
                self.requests.insert(request, sender);
                Event::Request { request, head }
            }
            Input::Dispatch(exchange, from, dispatch, sender) => {
                self.exchanges.insert(exchange, sender);
                Event::Dispatched { exchange, from, dispatch }
            }
            Input::Ask(question) => {
                question(&self.node);
                return;
            }
        };
        match &event {
            Event::RelayEnded { request, .. } | Event::CallerDisconnected { request } => {
                self.requests.remove(request);
            }
            Event::CallEnded { exchange, .. } => {
                self.exchanges.remove(exchange);
            }
            _ => {}
        }
        let actions = self.node.handle(self.clock.now_ms(), event);
        self.carry_out(actions);
    }

    fn next_reply(&mut self) -> ReplyKey {
        self.next_reply += 1;
        ReplyKey(self.next_reply)
    }

    fn carry_out(&mut self, actions: Vec<Action>) {
        self.revision.store(self.node.configuration().revision(), Ordering::Relaxed);
        for action in actions {
            self.outlets.metrics.count(&action);
            match action {
                Action::AnswerLookUp { reply, answer } => {
                    if let Some(sender) = self.look_ups.remove(&reply) {
                        // The caller may have gone away.
                        let _unread = sender.send(answer);
                    }
                }
                Action::AnswerTickets { reply, tickets } => {
                    if let Some(sender) = self.mints.remove(&reply) {
                        // The caller may have gone away.
                        let _unread = sender.send(tickets);
                    }
                }
                Action::HandOverTickets { operation, to, address, tickets } => {
                    let job = HandOverJob { operation, to, address, tickets };
                    let _ended = self.outlets.hand_overs.send(job);
                }
                Action::AnswerChange { reply, outcome } => {
                    if let Some(sender) = self.changes.remove(&reply) {
                        // The operator may have gone away.
                        let _unread = sender.send(outcome);
                    }
                }
                Action::Forward { request, .. }
                | Action::ForwardHome { request, .. }
                | Action::RelayResponse { request, .. }
                | Action::CancelAttempt { request, .. } => {
                    tell(self.requests.get(&request), action);
                }
                Action::Conclude { request, .. } => {
                    tell(self.requests.remove(&request).as_ref(), action);
                }
                Action::CallUpstream { exchange, .. } | Action::CancelCall { exchange } => {
                    tell(self.exchanges.get(&exchange), action);
                }
                Action::RejectDispatch { exchange, .. } => {
                    tell(self.exchanges.remove(&exchange).as_ref(), action);
                }
                Action::SendDatagram { to, envelope } => self.send_datagram(to, &envelope),
                Action::Table { operation, request } => {
                    let _ended = self.outlets.table.send(TableJob { operation, request });
                }
                Action::FetchPage { operation, from, after } => {
                    let job = crate::operators::FetchJob { operation, from, after };
                    let _ended = self.outlets.fetches.send(job);
                }
                Action::Log(entry) => {
                    logging::entry(&self.node.outbox().identity().descriptor.name, &entry);
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
        match datagram::encode(&self.outlets.datagram_key, envelope) {
            Ok(bytes) => {
                self.outlets.metrics.sent_datagram(bytes.len());
                // A datagram may be lost at any point; the protocols repeat what matters.
                let _lost = self.outlets.socket.send_to(&bytes, to);
            }
            Err(error) => log::error!("event=datagram_unsent reason={}", error.name()),
        }
    }
}

/// Hands an action to the task that it concerns.
fn tell(task: Option<&mpsc::UnboundedSender<Action>>, action: Action) {
    if let Some(task) = task {
        // A task that has ended reports that by an event of its own.
        let _ended = task.send(action);
    }
}
