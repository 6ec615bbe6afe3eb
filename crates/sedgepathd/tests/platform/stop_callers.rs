//! Callers that send requests of several kinds without end and record how each attempt ends.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::ops::Range;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use super::caller::Connection;

/// The range of work times, in milliseconds.
const WORK_MS: Range<u64> = 100..2_500;

/// The same of requests that may outlast a stop.
const LONG_WORK_MS: Range<u64> = 2_000..2_500;

/// The same of callers that send ahead, whose requests wait for one another.
const PIPELINED_WORK_MS: Range<u64> = 10..300;

/// The same of reads whose work grows, before it does.
const SHORT_WORK_MS: Range<u64> = 350..650;

/// The same after it has grown.
const GROWN_WORK_MS: Range<u64> = 2_000..4_000;

/// The range of the sizes of small responses, in bytes.
const SMALL_BYTES: Range<u64> = 50..500;

/// The range of the sizes of large responses, in bytes.
const LARGE_BYTES: Range<u64> = 100_000..500_000;

/// The same of responses that VMs pass on as they arrive.
const STREAMED_BYTES: Range<u64> = 1_200_000..2_000_000;

/// The range of times that such a response takes, in milliseconds.
const STREAMING_MS: Range<u64> = 500..2_500;

/// The range of deadlines, in milliseconds.
const DEADLINES_MS: Range<u64> = 3_000..4_000;

/// The same of reads whose work grows.
const GROWING_DEADLINES_MS: Range<u64> = 6_000..12_000;

/// The longest time from the opening of a connection to its first request, in milliseconds.
const MAX_FIRST_PAUSE_MS: u64 = 900;

/// The same of reads whose work grows.
const MAX_PAUSE_BEFORE_GROWING_MS: u64 = 600;

/// How long before its deadline a response may be taken for one that the deadline ended.
const DEADLINE_TOLERANCE: Duration = Duration::from_millis(20);

/// The pause of a caller whose connection was refused.
const REFUSED_PAUSE: Duration = Duration::from_millis(20);

/// The time between two connections that are opened for [`CallerKind::LateFirst`].
const OPENING_INTERVAL: Duration = Duration::from_millis(150);

/// The same at a VM that stops.
const OPENING_INTERVAL_AT_STOP: Duration = Duration::from_millis(30);

/// The time between two connections that are opened for [`CallerKind::Growing`].
const GROWING_OPENING_INTERVAL: Duration = Duration::from_millis(90);

/// How often a caller repeats a rejected request.
const MAX_REPEATS: usize = 2;

/// How a caller sends.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum CallerKind {
    /// One request at a time on a kept connection.
    Kept,
    /// The same, with the next request on a connection that the VM has said it closes.
    KeptBeyondClose,
    /// One request each on new connections, after pauses; the connections are opened at regular times.
    LateFirst,
    /// Up to three requests ahead of the response that is read after a pause; large responses.
    Pipelined,
    /// A body in two halves with a pause between.
    Halves,
    /// A body in chunks with pauses between.
    Chunked,
    /// One request at a time over a link with a delay, on kept and new connections.
    Delayed,
    /// One request at a time, with large responses that take a time to send.
    Streamed,
    /// One read each on new connections, after pauses; the connections are opened at regular times. The work
    /// grows at a moment that all callers share.
    Growing,
    /// A repeat of a rejected request at another VM.
    Repeat,
}

/// How an attempt ended for its caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum End {
    /// With a whole response.
    Whole {
        /// Its status code.
        status: u16,
    },
    /// Within a response.
    Truncated {
        /// Its status code.
        status: u16,
    },
    /// With a response to another attempt.
    Foreign,
    /// Without a response.
    Closed,
}

impl End {
    /// Returns whether the caller has an upstream's whole response.
    pub fn is_served(self) -> bool {
        self == Self::Whole { status: 200 }
    }

    /// Returns whether the response says that the attempt wasn't run.
    pub fn is_rejection(self) -> bool {
        matches!(self, Self::Whole { status: 408 | 421 | 429 | 503 })
    }
}

/// A guarantee to callers that is violated.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptFault {
    /// An attempt got the response to another one.
    ForeignResponse,
    /// An attempt that isn't idempotent ran twice.
    RanTwice,
    /// An attempt ran and was reported as not run.
    RanButRejected,
    /// An attempt ran and ended before its time limit without an upstream's whole response.
    Lost,
}

/// One attempt of a caller.
#[derive(Debug, Clone)]
pub struct Attempt {
    /// The attempt id.
    pub id: String,
    /// The kind of its caller.
    pub kind: CallerKind,
    /// The VM that the caller has connected to.
    pub vm: u8,
    /// Whether it is on the route that isn't idempotent.
    pub is_charge: bool,
    /// The upstream's work before the response, in milliseconds.
    pub work_ms: u64,
    /// The least size of the response, in bytes.
    pub response_bytes: u64,
    /// The time that the response takes to send, in milliseconds.
    pub sending_ms: u64,
    /// The time that the caller allows, in milliseconds.
    pub deadline_ms: u64,
    /// The same, or the timeout of its route if that is shorter.
    pub time_limit_ms: u64,
    /// When its first byte was written.
    pub begun_at: Instant,
    /// When its last byte was written.
    pub sent_at: Instant,
    /// When the caller saw its end.
    pub ended_at: Instant,
    /// How it ended.
    pub end: End,
}

impl Attempt {
    fn head(&self, body_line: &str) -> String {
        let (method, route) = if self.is_charge { ("POST", "charges") } else { ("GET", "reads") };
        let target = [self.work_ms, self.response_bytes, self.sending_ms].map(|n| n.to_string());
        let (target, id) = (target.join(","), &self.id);
        format!(
            "{method} /{route}/1?{target} HTTP/1.1\r\nHost: shop.example\r\n\
             X-Sedgepath-Attempt-Id: {id}\r\nX-Sedgepath-Deadline-Ms: {}\r\n{body_line}\r\n",
            self.deadline_ms
        )
    }

    /// Returns whether the attempt lasted until its time limit.
    pub fn was_ended_by_time_limit(&self) -> bool {
        let waited = self.ended_at.duration_since(self.begun_at) + DEADLINE_TOLERANCE;
        waited >= Duration::from_millis(self.time_limit_ms)
    }

    /// Returns whether the upstream's work alone takes longer than the time limit.
    pub fn is_longer_than_time_limit(&self) -> bool {
        self.work_ms + self.sending_ms >= self.time_limit_ms
    }

    /// Returns whether its work was drawn after work had grown.
    pub fn has_grown_work(&self) -> bool {
        self.work_ms >= GROWN_WORK_MS.start
    }

    /// Returns the guarantees that it shows to be violated, if upstreams ran it so many times.
    pub fn faults(&self, run_count: usize) -> Vec<AttemptFault> {
        let has_run = run_count > 0;
        let is_rejected = self.end.is_rejection();
        let is_lost =
            has_run && !self.end.is_served() && !is_rejected && !self.was_ended_by_time_limit();
        let faults = [
            (self.end == End::Foreign, AttemptFault::ForeignResponse),
            (self.is_charge && run_count > 1, AttemptFault::RanTwice),
            (has_run && is_rejected, AttemptFault::RanButRejected),
            (is_lost, AttemptFault::Lost),
        ];
        faults.into_iter().filter_map(|(is_seen, fault)| is_seen.then_some(fault)).collect()
    }
}

/// A caller of one VM.
#[derive(Debug, Clone)]
pub struct Caller {
    /// How it sends.
    pub kind: CallerKind,
    /// The beginning of its attempt ids.
    pub name: String,
    /// The VM that it sends to.
    pub vm: u8,
    /// The address of this VM or of a link to it.
    pub address: SocketAddr,
    /// Draws what it sends.
    pub random: fastrand::Rng,
    /// How many attempts it has sent.
    pub sent: usize,
    /// What all callers share.
    pub shared: Arc<SharedByCallers>,
}

/// What all callers share.
#[derive(Debug)]
pub struct SharedByCallers {
    /// The addresses of all VMs, by number from 1.
    pub addresses: Vec<SocketAddr>,
    /// Which of them stop.
    pub stopping: Vec<AtomicBool>,
    /// The timeout of all routes, in milliseconds.
    pub route_timeout_ms: u64,
    /// Whether the work of [`CallerKind::Growing`] has grown.
    pub has_work_grown: AtomicBool,
    /// Whether callers are to end.
    pub is_over: AtomicBool,
    /// The attempts that have ended.
    pub attempts: Mutex<Vec<Attempt>>,
}

impl SharedByCallers {
    /// Creates the state of callers of VMs at these addresses, with a timeout of all routes in milliseconds.
    pub fn new(addresses: Vec<SocketAddr>, route_timeout_ms: u64) -> Self {
        Self {
            stopping: addresses.iter().map(|_| AtomicBool::new(false)).collect(),
            addresses,
            route_timeout_ms,
            has_work_grown: AtomicBool::new(false),
            is_over: AtomicBool::new(false),
            attempts: Mutex::default(),
        }
    }

    fn is_over(&self) -> bool {
        self.is_over.load(Ordering::Relaxed)
    }

    fn is_stopping(&self, vm: u8) -> bool {
        self.stopping[usize::from(vm) - 1].load(Ordering::Relaxed)
    }
}

/// Starts a caller of kind [`CallerKind::Growing`] for each VM.
pub fn start_growing(
    shared: &Arc<SharedByCallers>,
    random: &mut fastrand::Rng,
) -> Vec<JoinHandle<()>> {
    let start = |(vm, address): (u8, &SocketAddr)| {
        let caller = Caller {
            kind: CallerKind::Growing,
            name: format!("Growing-{vm}"),
            vm,
            address: *address,
            random: random.fork(),
            sent: 0,
            shared: Arc::clone(shared),
        };
        thread::spawn(move || caller.run())
    };
    (1..).zip(&shared.addresses).map(start).collect()
}

impl Caller {
    /// Sends requests until the test's end.
    pub fn run(mut self) {
        if matches!(self.kind, CallerKind::LateFirst | CallerKind::Growing) {
            return self.open_until_stopped();
        }
        while !self.shared.is_over() {
            let Some(connection) = Connection::new(self.address) else {
                thread::sleep(REFUSED_PAUSE);
                continue;
            };
            match self.kind {
                CallerKind::Pipelined => self.send_ahead(connection),
                CallerKind::Delayed if self.random.bool() => self.send_after_pause(connection),
                _ => self.send_one_by_one(connection),
            }
        }
    }

    /// Opens connections at regular times, and sends one request on each.
    fn open_until_stopped(mut self) {
        thread::scope(|scope| {
            for number in 0.. {
                if self.shared.is_over() {
                    return;
                }
                let is_stopping = self.shared.is_stopping(self.vm);
                thread::sleep(match self.kind {
                    CallerKind::Growing => GROWING_OPENING_INTERVAL,
                    _ if is_stopping => OPENING_INTERVAL_AT_STOP,
                    _ => OPENING_INTERVAL,
                });
                if let Some(connection) = Connection::new(self.address) {
                    let name = format!("{}-{number}", self.name);
                    let mut one = Self { name, random: self.random.fork(), ..self.clone() };
                    scope.spawn(move || one.send_after_pause(connection));
                }
            }
        });
    }

    fn draw(&mut self) -> Attempt {
        self.sent += 1;
        let now = Instant::now();
        let is_large = self.random.u8(..8) == 0;
        let is_long = self.random.bool();
        let is_growing = self.kind == CallerKind::Growing;
        let has_work_grown = self.shared.has_work_grown.load(Ordering::Relaxed);
        let (work_ms, bytes) = match self.kind {
            CallerKind::Growing if has_work_grown => (GROWN_WORK_MS, SMALL_BYTES),
            CallerKind::Growing => (SHORT_WORK_MS, SMALL_BYTES),
            CallerKind::Pipelined => (PIPELINED_WORK_MS, LARGE_BYTES),
            CallerKind::Streamed => (PIPELINED_WORK_MS, STREAMED_BYTES),
            CallerKind::LateFirst if is_long => (LONG_WORK_MS, SMALL_BYTES),
            _ if is_large => (WORK_MS, LARGE_BYTES),
            _ => (WORK_MS, SMALL_BYTES),
        };
        let is_streamed = self.kind == CallerKind::Streamed;
        let mut attempt = Attempt {
            id: format!("{}-{}", self.name, self.sent),
            kind: self.kind,
            vm: self.vm,
            is_charge: !is_growing && (self.has_body() || self.random.u8(..3) > 0),
            work_ms: self.random.u64(work_ms),
            response_bytes: self.random.u64(bytes),
            sending_ms: if is_streamed { self.random.u64(STREAMING_MS) } else { 0 },
            deadline_ms: self.random.u64(if is_growing {
                GROWING_DEADLINES_MS
            } else {
                DEADLINES_MS
            }),
            time_limit_ms: 0,
            begun_at: now,
            sent_at: now,
            ended_at: now,
            end: End::Closed,
        };
        attempt.time_limit_ms = attempt.deadline_ms.min(self.shared.route_timeout_ms);
        attempt
    }

    fn has_body(&self) -> bool {
        matches!(self.kind, CallerKind::Halves | CallerKind::Chunked)
    }

    fn pause(&mut self, ms: Range<u64>) {
        thread::sleep(Duration::from_millis(self.random.u64(ms)));
    }

    fn send_after_pause(&mut self, mut connection: Connection) {
        self.pause(match self.kind {
            CallerKind::Growing => 0..MAX_PAUSE_BEFORE_GROWING_MS,
            _ => 0..MAX_FIRST_PAUSE_MS,
        });
        let attempt = self.draw();
        self.exchange(&mut connection, attempt);
    }

    fn send_one_by_one(&mut self, mut connection: Connection) {
        while !self.shared.is_over() {
            let attempt = self.draw();
            if !self.exchange(&mut connection, attempt) {
                return;
            }
            self.pause(0..50);
        }
    }

    /// Sends requests ahead until the connection ends.
    fn send_ahead(&mut self, mut connection: Connection) {
        let mut waiting = VecDeque::new();
        loop {
            while !self.shared.is_over() && waiting.len() < 3 {
                let mut attempt = self.draw();
                self.send(&mut connection, &mut attempt);
                waiting.push_back(attempt);
            }
            if waiting.is_empty() {
                return;
            }
            self.pause(100..300);
            let Some(mut attempt) = waiting.pop_front() else { return };
            receive(&mut connection, &mut attempt);
            let goes_on = matches!(attempt.end, End::Whole { .. });
            self.record(attempt);
            if !goes_on {
                for mut attempt in waiting {
                    attempt.ended_at = Instant::now();
                    self.record(attempt);
                }
                return;
            }
        }
    }

    /// Sends a request, reads its response and repeats it if it is rejected. Returns whether the
    /// connection can be used again.
    fn exchange(&mut self, connection: &mut Connection, mut attempt: Attempt) -> bool {
        self.send(connection, &mut attempt);
        let response = receive(connection, &mut attempt);
        let retry_after_ms = response.retry_after_ms;
        let is_rejected = attempt.end.is_rejection();
        let is_open = matches!(attempt.end, End::Whole { .. })
            && (!response.closes || self.kind == CallerKind::KeptBeyondClose);
        self.record(attempt.clone());
        if is_rejected && let Some(retry_after_ms) = retry_after_ms {
            self.repeat(&attempt, retry_after_ms);
        }
        is_open
    }

    fn repeat(&mut self, rejected: &Attempt, mut retry_after_ms: u64) {
        for repeat in 1..=MAX_REPEATS {
            thread::sleep(Duration::from_millis(retry_after_ms));
            let vm = self.random.usize(..self.shared.addresses.len());
            let Some(mut connection) = Connection::new(self.shared.addresses[vm]) else { continue };
            let id = format!("{}r{repeat}", rejected.id);
            let begun_at = Instant::now();
            let (vm, kind) = (vm as u8 + 1, CallerKind::Repeat);
            let mut attempt =
                Attempt { id, kind, vm, begun_at, end: End::Closed, ..rejected.clone() };
            self.send(&mut connection, &mut attempt);
            let response = receive(&mut connection, &mut attempt);
            let is_rejected = attempt.end.is_rejection();
            self.record(attempt);
            match response.retry_after_ms {
                Some(next_ms) if is_rejected => retry_after_ms = next_ms,
                _ => return,
            }
        }
    }

    /// Writes a request as this kind of caller does. The VM may have closed the connection, which reading
    /// shows.
    fn send(&mut self, connection: &mut Connection, attempt: &mut Attempt) {
        attempt.begun_at = Instant::now();
        let _written = self.write(connection, attempt);
        attempt.sent_at = Instant::now();
    }

    fn write(&mut self, connection: &mut Connection, attempt: &Attempt) -> Option<()> {
        if !attempt.is_charge {
            return connection.write(attempt.head("").as_bytes());
        }
        let body = vec![b'b'; self.random.usize(600..60_000)];
        if self.kind == CallerKind::Chunked {
            connection.write(attempt.head("Transfer-Encoding: chunked\r\n").as_bytes())?;
            for chunk in body.chunks(body.len() / 3) {
                self.pause(50..250);
                let size = format!("{:x}\r\n", chunk.len());
                connection.write(&[size.as_bytes(), chunk, b"\r\n"].concat())?;
            }
            return connection.write(b"0\r\n\r\n");
        }
        let head = attempt.head(&format!("Content-Length: {}\r\n", body.len()));
        if self.kind != CallerKind::Halves {
            return connection.write(&[head.as_bytes(), &body].concat());
        }
        let (first, second) = body.split_at(body.len() / 2);
        connection.write(&[head.as_bytes(), first].concat())?;
        self.pause(100..600);
        connection.write(second)
    }

    fn record(&self, attempt: Attempt) {
        self.shared.attempts.lock().expect("attempts").push(attempt);
    }
}

/// What a response says of the connection and of a repeat.
#[derive(Debug, Default)]
struct ResponseSummary {
    closes: bool,
    retry_after_ms: Option<u64>,
}

/// Reads the response to an attempt.
fn receive(connection: &mut Connection, attempt: &mut Attempt) -> ResponseSummary {
    let response = connection.receive();
    attempt.ended_at = Instant::now();
    let Some(response) = response else { return ResponseSummary::default() };
    let status = response.status;
    let id = response.headers.get("x-sedgepath-attempt-id");
    attempt.end = match response.body {
        None => End::Truncated { status },
        Some(body)
            if status == 200 && !body.starts_with(format!("{} at u", attempt.id).as_bytes()) =>
        {
            End::Foreign
        }
        Some(_) if id.is_some_and(|id| *id != attempt.id) => End::Foreign,
        Some(_) => End::Whole { status },
    };
    let retry_after_s: Option<f64> =
        response.headers.get("retry-after").and_then(|text| text.parse().ok());
    ResponseSummary {
        closes: response.headers.get("connection").is_some_and(|value| value == "close"),
        retry_after_ms: retry_after_s.map(|seconds| (seconds * 1_000.0) as u64),
    }
}
