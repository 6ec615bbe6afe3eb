//! A caller that checks every answer and keeps count of what it was told.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::time::Instant;

use hdrhistogram::{AdditionError, Histogram};
use serde_json::Value;
use thiserror::Error;

use crate::clock::{now_ms, sleep_ms};
use crate::upstream::{DEADLINE_MS, REQUEST_ID};

mod connection;

use connection::{Answer, Connection};

/// The header on each answer that says what became of the request.
pub const OUTCOME: &str = "sedgepath-outcome";
/// The header with the time, in milliseconds since the Unix epoch, at which to come back.
pub const RETRY_AT_MS: &str = "sedgepath-retry-at-ms";
/// The header with the highest configuration revision seen.
pub const REVISION: &str = "sedgepath-revision";
const DEFAULT_TIMEOUT_MS: u64 = 5_000;
/// A look-up is answered from memory; an entry VM that takes longer is paused or cut off.
const LOOKUP_TIMEOUT_MS: u64 = 1_000;

/// A request to a service, with all of its retries.
#[derive(Debug, Clone)]
pub struct Call {
    class: Box<str>,
    service: Box<str>,
    method: Box<str>,
    target: Box<str>,
    headers: Vec<(Box<str>, Box<str>)>,
    body: Vec<u8>,
    deadline_ms: u64,
    retries: u32,
}

impl Call {
    /// Creates a GET of `target`, as it stands in the request, that is given up after five seconds.
    /// Latencies are recorded under `class`.
    pub fn new(class: &str, service: &str, target: &str) -> Self {
        Self {
            class: class.into(),
            service: service.into(),
            method: "GET".into(),
            target: target.into(),
            headers: Vec::new(),
            body: Vec::new(),
            deadline_ms: now_ms() + DEFAULT_TIMEOUT_MS,
            retries: 0,
        }
    }

    /// Sets the method.
    pub fn with_method(mut self, method: &str) -> Self {
        self.method = method.into();
        self
    }

    /// Adds a header, for example that of the organisation's key or the idempotency key.
    pub fn with_header(mut self, name: &str, value: &str) -> Self {
        self.headers.push((name.into(), value.into()));
        self
    }

    /// Sets the body.
    pub fn with_body(mut self, body: impl Into<Vec<u8>>) -> Self {
        self.body = body.into();
        self
    }

    /// Sets the time, in milliseconds since the Unix epoch, at which the caller gives up.
    pub fn with_deadline_ms(mut self, deadline_ms: u64) -> Self {
        self.deadline_ms = deadline_ms;
        self
    }

    /// Sets how often to come back when told that the request was not run, and when.
    pub fn with_retries(mut self, retries: u32) -> Self {
        self.retries = retries;
        self
    }
}

/// Why an answer cannot be used; in no case is it taken for a success.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum CallFailure {
    /// No entry VM could be connected to, so that nothing was sent.
    #[error("no entry VM could be reached")]
    NoEntry,
    /// The request was sent and the answer's head did not come.
    #[error("no answer came: {0}")]
    NoAnswer(io::ErrorKind),
    /// The body ended before its declared end, or declared none.
    #[error("the answer is not whole: {0}")]
    NotWhole(io::ErrorKind),
    /// The answer does not say what became of the request.
    #[error("the answer has no known outcome")]
    NoOutcome,
    /// The answer carries another request's id. This is never right.
    #[error("the answer belongs to another request")]
    WrongRequest,
    /// The body differs from its digest, or from what its offset generates. This is never right.
    #[error("the body is not what the upstream sent")]
    WrongBody,
}

/// What a caller was told of one request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// It was answered, with this HTTP status.
    Answered {
        /// The HTTP status code.
        status: u16,
    },
    /// It was not run.
    NotRun {
        /// The HTTP status code.
        status: u16,
        /// When to come back.
        retry_at_ms: Option<u64>,
    },
    /// It may have run.
    Unknown,
    /// It failed visibly.
    Failed(CallFailure),
}

/// One request of a call; each retry has an id of its own.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Attempt {
    /// The request's id, by which an upstream's runs can be compared.
    pub request_id: Box<str>,
    /// The class given by the call.
    pub class: Box<str>,
    /// The entry VM that it was sent to.
    pub entry: Option<SocketAddr>,
    /// What the caller was told.
    pub outcome: Outcome,
}

/// The end of a call.
#[derive(Debug)]
pub struct Reply {
    /// The last attempt's outcome.
    pub outcome: Outcome,
    /// The last answer's headers, with names in lower case.
    pub headers: Vec<(Box<str>, Box<str>)>,
    /// The first mebibyte of the last answer's body; all of it was checked.
    pub body: Vec<u8>,
    /// The length of the last answer's body.
    pub length: u64,
}

/// The number of attempts by outcome.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct OutcomeCounts {
    /// Answered.
    pub answered: u64,
    /// Not run.
    pub not_run: u64,
    /// Unknown.
    pub unknown: u64,
    /// Failed visibly.
    pub failed: u64,
}

/// What callers were told, and how long they waited.
#[derive(Debug, Default)]
pub struct CallerStats {
    /// Each attempt in the order of the answers.
    pub attempts: Vec<Attempt>,
    /// The latencies of the answered calls in microseconds, retries included, by class.
    pub latencies_us: BTreeMap<Box<str>, Histogram<u64>>,
}

impl CallerStats {
    /// Counts the attempts by outcome.
    pub fn counts(&self) -> OutcomeCounts {
        let mut counts = OutcomeCounts::default();
        for attempt in &self.attempts {
            *match attempt.outcome {
                Outcome::Answered { .. } => &mut counts.answered,
                Outcome::NotRun { .. } => &mut counts.not_run,
                Outcome::Unknown => &mut counts.unknown,
                Outcome::Failed(_) => &mut counts.failed,
            } += 1;
        }
        counts
    }

    /// Adds another caller's figures.
    pub fn merge(&mut self, other: Self) {
        self.attempts.extend(other.attempts);
        for (class, latencies) in other.latencies_us {
            // It resizes itself, so that no value is out of range.
            let _: Result<(), AdditionError> = self.of_class(&class).add(latencies);
        }
    }

    fn of_class(&mut self, class: &str) -> &mut Histogram<u64> {
        let histogram = self.latencies_us.entry(class.into());
        histogram.or_insert_with(|| Histogram::new(3).expect("three digits are supported"))
    }
}

/// A caller with its look-ups and its connections.
#[derive(Debug)]
pub struct Caller {
    bootstrap: Vec<SocketAddr>,
    lookups: BTreeMap<Box<str>, Lookup>,
    connections: BTreeMap<SocketAddr, Connection>,
    revision: u64,
    id: u64,
    next: u64,
    stats: CallerStats,
}

/// The answer to a look-up.
#[derive(Debug, Clone)]
struct Lookup {
    entries: Vec<SocketAddr>,
    expires_at_ms: u64,
}

impl Caller {
    /// Creates a caller that looks up at these entry VMs.
    pub fn new(bootstrap: impl Into<Vec<SocketAddr>>) -> Self {
        Self {
            bootstrap: bootstrap.into(),
            lookups: BTreeMap::new(),
            connections: BTreeMap::new(),
            revision: 0,
            id: fastrand::u64(..),
            next: 0,
            stats: CallerStats::default(),
        }
    }

    /// Returns the figures so far.
    pub fn stats(&self) -> &CallerStats {
        &self.stats
    }

    /// Returns the figures of all of its calls.
    pub fn into_stats(self) -> CallerStats {
        self.stats
    }

    /// Forgets the answers to its look-ups.
    pub fn forget_lookups(&mut self) {
        self.lookups.clear();
    }

    /// Returns the entry VMs for a service in order of preference, as remembered or looked up.
    pub fn lookup(&mut self, service: &str) -> Vec<SocketAddr> {
        let asked_at_ms = now_ms();
        let fresh = self.lookups.get(service).filter(|known| known.expires_at_ms > asked_at_ms);
        if let Some(known) = fresh {
            return known.entries.clone();
        }
        let target = format!("/v1/lookup?service={service}");
        for entry in self.bootstrap.clone() {
            let deadline_ms = now_ms() + LOOKUP_TIMEOUT_MS;
            let Ok(answer) = self.exchange(entry, "GET", &target, &[], &[], deadline_ms) else {
                continue;
            };
            if let Some(lookup) = self.read_lookup(&answer) {
                let entries = lookup.entries.clone();
                self.lookups.insert(service.into(), lookup);
                return entries;
            }
        }
        Vec::new()
    }

    /// Sends a request, comes back as told, and returns what it was told at last.
    pub fn call(&mut self, call: &Call) -> Reply {
        let start = Instant::now();
        let mut retries = call.retries;
        loop {
            let reply = self.attempt(call);
            match reply.outcome {
                Outcome::NotRun { retry_at_ms: Some(retry_at_ms), .. }
                    if retries > 0 && retry_at_ms < call.deadline_ms =>
                {
                    retries -= 1;
                    sleep_ms(retry_at_ms.saturating_sub(now_ms()));
                }
                Outcome::Answered { .. } => {
                    let latency_us = start.elapsed().as_micros() as u64;
                    self.stats.of_class(&call.class).saturating_record(latency_us);
                    return reply;
                }
                _ => return reply,
            }
        }
    }

    fn attempt(&mut self, call: &Call) -> Reply {
        self.next += 1;
        let request_id: Box<str> = format!("{:016x}-{}", self.id, self.next).into();
        let mut headers = call.headers.clone();
        headers.push((REQUEST_ID.into(), request_id.clone()));
        headers.push((DEADLINE_MS.into(), call.deadline_ms.to_string().into()));
        let mut sent_to = None;
        let mut result = Err(CallFailure::NoEntry);
        for entry in self.lookup(&call.service) {
            let (method, target) = (&call.method, &call.target);
            result = self.exchange(entry, method, target, &headers, &call.body, call.deadline_ms);
            sent_to = Some(entry);
            // Only a request that was never sent may go to the next entry VM untold.
            if result.as_ref().err() != Some(&CallFailure::NoEntry) {
                break;
            }
        }
        let (outcome, answer) = match result {
            Ok(answer) => (outcome_of(&answer, &request_id), answer),
            Err(failure) => (Outcome::Failed(failure), Answer::default()),
        };
        self.stats.attempts.push(Attempt {
            request_id,
            class: call.class.clone(),
            entry: sent_to,
            outcome: outcome.clone(),
        });
        Reply { outcome, headers: answer.head.headers, body: answer.body, length: answer.length }
    }

    /// Sends one request on a kept or a new connection and reads its answer to the end.
    fn exchange(
        &mut self,
        entry: SocketAddr,
        method: &str,
        target: &str,
        headers: &[(Box<str>, Box<str>)],
        body: &[u8],
        deadline_ms: u64,
    ) -> Result<Answer, CallFailure> {
        let kept = self.connections.remove(&entry).filter(Connection::is_open);
        let mut connection = match kept {
            Some(connection) => connection,
            None => Connection::new(entry, deadline_ms).or(Err(CallFailure::NoEntry))?,
        };
        let mut lines = vec![
            format!("{method} {target} HTTP/1.1"),
            format!("host: {entry}"),
            format!("content-length: {}", body.len()),
            format!("{REVISION}: {}", self.revision),
        ];
        lines.extend(headers.iter().map(|(name, value)| format!("{name}: {value}")));
        lines.push("\r\n".into());
        let mut request = lines.join("\r\n").into_bytes();
        request.extend_from_slice(body);
        let answer = connection.exchange(&request, method == "HEAD", deadline_ms)?;
        let revision = answer.head.get(REVISION).and_then(|value| value.parse().ok());
        self.revision = self.revision.max(revision.unwrap_or(0));
        if !answer.head.wants_close() {
            self.connections.insert(entry, connection);
        }
        Ok(answer)
    }

    /// Reads the entry VMs out of the first list that holds addresses, whatever it is called.
    fn read_lookup(&mut self, answer: &Answer) -> Option<Lookup> {
        let json: Value = serde_json::from_slice(&answer.body).ok()?;
        let fields = json.as_object()?;
        let lists = fields.values().filter_map(Value::as_array);
        let mut entries = lists.map(|list| list.iter().filter_map(address).collect::<Vec<_>>());
        let revision = fields.get("revision").and_then(Value::as_u64);
        self.revision = self.revision.max(revision.unwrap_or(0));
        Some(Lookup {
            entries: entries.find(|entries| !entries.is_empty()).unwrap_or_default(),
            expires_at_ms: fields.get("expires_at_ms")?.as_u64()?,
        })
    }
}

/// Reads a text that is an address, or the field `address` of an object.
fn address(value: &Value) -> Option<SocketAddr> {
    let value = value.get("address").unwrap_or(value);
    value.as_str()?.parse().ok()
}

fn outcome_of(answer: &Answer, request_id: &str) -> Outcome {
    if let Some(failure) = &answer.failure {
        return Outcome::Failed(failure.clone());
    }
    let status = answer.status;
    match answer.head.get(OUTCOME) {
        Some("answered") if answer.head.get(REQUEST_ID) == Some(request_id) => {
            Outcome::Answered { status }
        }
        Some("answered") => Outcome::Failed(CallFailure::WrongRequest),
        Some("not_run" | "not-run" | "not run") => Outcome::NotRun {
            status,
            retry_at_ms: answer.head.get(RETRY_AT_MS).and_then(|value| value.parse().ok()),
        },
        Some("unknown") => Outcome::Unknown,
        _ => Outcome::Failed(CallFailure::NoOutcome),
    }
}
