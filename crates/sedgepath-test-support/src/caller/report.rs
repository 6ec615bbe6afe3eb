//! The outcomes that a caller records.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;

use hdrhistogram::{AdditionError, Histogram};
use thiserror::Error;

/// The reasons why a request ended without a valid response.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum CallFailure {
    /// No connection to an entry VM was made, so nothing was sent.
    #[error("no entry VM could be reached")]
    NoEntryVm,
    /// The request was sent but no response head arrived.
    #[error("no response arrived: {0}")]
    NoResponse(io::ErrorKind),
    /// The body could not be read completely, or its length was not declared.
    #[error("the response body is incomplete: {0}")]
    IncompleteBody(io::ErrorKind),
    /// The response has no valid outcome header.
    #[error("the response has no valid outcome header")]
    MissingOutcome,
    /// The response carries the id of another request.
    #[error("the response belongs to another request")]
    RequestIdMismatch,
    /// The body doesn't match the generated content or, if not generated, its digest.
    #[error("the response body differs from what the upstream sent")]
    BodyMismatch,
}

/// The outcome of one request as the caller received it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// An upstream responded.
    Answered {
        /// The HTTP status code.
        status: u16,
    },
    /// The request was not run.
    NotRun {
        /// The HTTP status code.
        status: u16,
        /// When to retry, in milliseconds since the Unix epoch.
        retry_at_ms: Option<u64>,
    },
    /// The request may have run.
    Unknown,
    /// The caller got no valid response.
    Failed(CallFailure),
}

/// One request of a call; each retry has its own request id.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Attempt {
    /// The request id, which the upstream records for each run.
    pub request_id: Box<str>,
    /// The class of the call.
    pub class: Box<str>,
    /// The last entry VM that was tried.
    pub entry: Option<SocketAddr>,
    /// The outcome that the caller received.
    pub outcome: Outcome,
}

/// The result of a call.
#[derive(Debug)]
pub struct Reply {
    /// The outcome of the last attempt.
    pub outcome: Outcome,
    /// The headers of the last response, with names in lower case.
    pub headers: Vec<(Box<str>, Box<str>)>,
    /// The first mebibyte of the last response body; the whole body was verified.
    pub body: Vec<u8>,
    /// The length of the last response body in bytes.
    pub length: u64,
}

/// Numbers of attempts by outcome.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct OutcomeCounts {
    /// Attempts with a response of an upstream.
    pub answered: u64,
    /// Attempts whose request was not run.
    pub not_run: u64,
    /// Attempts whose request may have run.
    pub unknown: u64,
    /// Attempts that got no valid response.
    pub failed: u64,
}

/// The attempts and call latencies that a caller recorded.
#[derive(Debug, Default)]
pub struct CallerStats {
    /// The attempts, of each merged caller in the order of completion.
    pub attempts: Vec<Attempt>,
    /// The latencies of answered calls by class, in microseconds, from the start of the call to the
    /// last response.
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

    /// Adds the statistics of another caller.
    pub fn merge(&mut self, other: Self) {
        self.attempts.extend(other.attempts);
        for (class, latencies) in other.latencies_us {
            // The histogram resizes itself, so no value is out of range.
            let _: Result<(), AdditionError> = self.latencies_of_class(&class).add(latencies);
        }
    }

    pub(super) fn latencies_of_class(&mut self, class: &str) -> &mut Histogram<u64> {
        let histogram = self.latencies_us.entry(class.into());
        histogram.or_insert_with(|| Histogram::new(3).expect("three digits are supported"))
    }
}
