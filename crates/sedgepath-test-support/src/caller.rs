//! A caller that checks every answer and keeps count of what it was told.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Instant;

use serde_json::Value;

use crate::clock::{now_ms, sleep_ms};
use crate::upstream::{DEADLINE_MS, REQUEST_ID};

mod connection;
mod report;

use connection::{Answer, Connection};
pub use report::{Attempt, CallFailure, CallerStats, Outcome, OutcomeCounts, Reply};

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
                    // Unlike `saturating_record`, which clamps to the size so far, this one resizes.
                    let _in_range = self.stats.of_class(&call.class).record(latency_us).is_ok();
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
