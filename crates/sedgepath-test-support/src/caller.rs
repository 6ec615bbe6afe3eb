//! A caller that verifies every response and records the outcomes of its requests.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Instant;

use serde_json::Value;

use crate::clock::{now_ms, sleep_ms};
use crate::upstream::{DEADLINE_MS, REQUEST_ID};

mod connection;
mod report;

use connection::{Connection, Response};
pub use report::{Attempt, CallFailure, CallerStats, Outcome, OutcomeCounts, Reply};

/// The response header with the outcome of the request.
pub const OUTCOME: &str = "sedgepath-outcome";
/// The response header with the time of the next retry, in milliseconds since the Unix epoch.
pub const RETRY_AT_MS: &str = "sedgepath-retry-at-ms";
/// The header with the highest configuration revision that the sender has seen.
pub const REVISION: &str = "sedgepath-revision";
const DEFAULT_CALL_TIMEOUT_MS: u64 = 5_000;
// Look-ups are served from memory, so a slower entry VM is suspended or unreachable.
const LOOKUP_TIMEOUT_MS: u64 = 1_000;

/// A request to a service, including its retries.
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
    /// Creates a GET of `target`, the request target, with a deadline in five seconds.
    ///
    /// Latencies are recorded under `class`.
    pub fn new(class: &str, service: &str, target: &str) -> Self {
        Self {
            class: class.into(),
            service: service.into(),
            method: "GET".into(),
            target: target.into(),
            headers: Vec::new(),
            body: Vec::new(),
            deadline_ms: now_ms() + DEFAULT_CALL_TIMEOUT_MS,
            retries: 0,
        }
    }

    /// Sets the HTTP method.
    pub fn with_method(mut self, method: &str) -> Self {
        self.method = method.into();
        self
    }

    /// Adds a request header.
    pub fn with_header(mut self, name: &str, value: &str) -> Self {
        self.headers.push((name.into(), value.into()));
        self
    }

    /// Sets the request body.
    pub fn with_body(mut self, body: impl Into<Vec<u8>>) -> Self {
        self.body = body.into();
        self
    }

    /// Sets the deadline, in milliseconds since the Unix epoch.
    pub fn with_deadline_ms(mut self, deadline_ms: u64) -> Self {
        self.deadline_ms = deadline_ms;
        self
    }

    /// Sets the maximum number of retries after responses with a retry time.
    pub fn with_retries(mut self, retries: u32) -> Self {
        self.retries = retries;
        self
    }
}

/// A caller with cached look-ups and idle connections.
#[derive(Debug)]
pub struct Caller {
    bootstrap: Vec<SocketAddr>,
    lookups: BTreeMap<Box<str>, Lookup>,
    connections: BTreeMap<SocketAddr, Connection>,
    revision: u64,
    id: u64,
    last_request_number: u64,
    stats: CallerStats,
}

/// A cached look-up response.
#[derive(Debug, Clone)]
struct Lookup {
    entries: Vec<SocketAddr>,
    expires_at_ms: u64,
}

impl Caller {
    /// Creates a caller that sends its look-ups to the `bootstrap` entry VMs.
    pub fn new(bootstrap: impl Into<Vec<SocketAddr>>) -> Self {
        Self {
            bootstrap: bootstrap.into(),
            lookups: BTreeMap::new(),
            connections: BTreeMap::new(),
            revision: 0,
            id: fastrand::u64(..),
            last_request_number: 0,
            stats: CallerStats::default(),
        }
    }

    /// Returns the statistics of the calls so far.
    pub fn stats(&self) -> &CallerStats {
        &self.stats
    }

    /// Consumes the caller and returns the statistics of its calls.
    pub fn into_stats(self) -> CallerStats {
        self.stats
    }

    /// Clears the cached look-ups.
    pub fn forget_lookups(&mut self) {
        self.lookups.clear();
    }

    /// Returns the entry VMs for a service in order of preference, from the cache or a look-up.
    pub fn lookup(&mut self, service: &str) -> Vec<SocketAddr> {
        let started_at_ms = now_ms();
        let fresh = self.lookups.get(service).filter(|cached| cached.expires_at_ms > started_at_ms);
        if let Some(cached) = fresh {
            return cached.entries.clone();
        }
        let target = format!("/v1/lookup?service={service}");
        for entry in self.bootstrap.clone() {
            let deadline_ms = now_ms() + LOOKUP_TIMEOUT_MS;
            let Ok(response) = self.exchange(entry, "GET", &target, &[], &[], deadline_ms) else {
                continue;
            };
            if let Some(lookup) = self.parse_lookup(&response) {
                let entries = lookup.entries.clone();
                self.lookups.insert(service.into(), lookup);
                return entries;
            }
        }
        Vec::new()
    }

    /// Sends a request, retries it as its responses direct, and returns the last reply.
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
                    // `saturating_record` would clamp to the current range instead of resizing.
                    let _in_range =
                        self.stats.latencies_of_class(&call.class).record(latency_us).is_ok();
                    return reply;
                }
                _ => return reply,
            }
        }
    }

    fn attempt(&mut self, call: &Call) -> Reply {
        self.last_request_number += 1;
        let request_id: Box<str> = format!("{:016x}-{}", self.id, self.last_request_number).into();
        let mut headers = call.headers.clone();
        headers.push((REQUEST_ID.into(), request_id.clone()));
        headers.push((DEADLINE_MS.into(), call.deadline_ms.to_string().into()));
        let mut sent_to = None;
        let mut result = Err(CallFailure::NoEntryVm);
        for entry in self.lookup(&call.service) {
            let (method, target) = (&call.method, &call.target);
            result = self.exchange(entry, method, target, &headers, &call.body, call.deadline_ms);
            sent_to = Some(entry);
            // Only a request that was never sent may go to the next entry VM.
            if result.as_ref().err() != Some(&CallFailure::NoEntryVm) {
                break;
            }
        }
        let (outcome, response) = match result {
            Ok(response) => (outcome_of(&response, &request_id), response),
            Err(failure) => (Outcome::Failed(failure), Response::default()),
        };
        self.stats.attempts.push(Attempt {
            request_id,
            class: call.class.clone(),
            entry: sent_to,
            outcome: outcome.clone(),
        });
        Reply {
            outcome,
            headers: response.head.headers,
            body: response.body,
            length: response.body_bytes,
        }
    }

    /// Sends one request on an idle or a new connection and reads the complete response.
    fn exchange(
        &mut self,
        entry: SocketAddr,
        method: &str,
        target: &str,
        headers: &[(Box<str>, Box<str>)],
        body: &[u8],
        deadline_ms: u64,
    ) -> Result<Response, CallFailure> {
        let idle = self.connections.remove(&entry).filter(Connection::is_open);
        let mut connection = match idle {
            Some(connection) => connection,
            None => Connection::new(entry, deadline_ms).or(Err(CallFailure::NoEntryVm))?,
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
        let response = connection.exchange(&request, method == "HEAD", deadline_ms)?;
        let revision = response.head.header(REVISION).and_then(|value| value.parse().ok());
        self.revision = self.revision.max(revision.unwrap_or(0));
        if !response.head.wants_close() {
            self.connections.insert(entry, connection);
        }
        Ok(response)
    }

    /// Parses a look-up response; the entry VMs are the first list field that holds addresses.
    fn parse_lookup(&mut self, response: &Response) -> Option<Lookup> {
        let json: Value = serde_json::from_slice(&response.body).ok()?;
        let fields = json.as_object()?;
        let lists = fields.values().filter_map(Value::as_array);
        let mut entries =
            lists.map(|list| list.iter().filter_map(parse_address).collect::<Vec<_>>());
        let revision = fields.get("revision").and_then(Value::as_u64);
        self.revision = self.revision.max(revision.unwrap_or(0));
        Some(Lookup {
            entries: entries.find(|entries| !entries.is_empty()).unwrap_or_default(),
            expires_at_ms: fields.get("expires_at_ms")?.as_u64()?,
        })
    }
}

/// Parses an address given as a string or as the field `address` of an object.
fn parse_address(value: &Value) -> Option<SocketAddr> {
    let value = value.get("address").unwrap_or(value);
    value.as_str()?.parse().ok()
}

fn outcome_of(response: &Response, request_id: &str) -> Outcome {
    if let Some(failure) = &response.failure {
        return Outcome::Failed(failure.clone());
    }
    let status = response.status;
    match response.head.header(OUTCOME) {
        Some("answered") if response.head.header(REQUEST_ID) == Some(request_id) => {
            Outcome::Answered { status }
        }
        Some("answered") => Outcome::Failed(CallFailure::RequestIdMismatch),
        Some("not_run" | "not-run" | "not run") => Outcome::NotRun {
            status,
            retry_at_ms: response.head.header(RETRY_AT_MS).and_then(|value| value.parse().ok()),
        },
        Some("unknown") => Outcome::Unknown,
        _ => Outcome::Failed(CallFailure::MissingOutcome),
    }
}
