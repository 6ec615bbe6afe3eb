//! What a caller was told.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;

use hdrhistogram::{AdditionError, Histogram};
use thiserror::Error;

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

    pub(super) fn of_class(&mut self, class: &str) -> &mut Histogram<u64> {
        let histogram = self.latencies_us.entry(class.into());
        histogram.or_insert_with(|| Histogram::new(3).expect("three digits are supported"))
    }
}
