//! What keeps a request from running twice, as callers say it.

use hyper::HeaderMap;
use sedgepath_core::deduplication::key_digest;
use sedgepath_core::hash::Digest;
use sedgepath_core::request::Deduplication;
use sedgepath_wire::key::SharedKey;
use sedgepath_wire::ticket;

use super::reading::number;

/// The header field with a key of the caller's choice.
const IDEMPOTENCY_KEY: &str = "idempotency-key";

/// The header field with a ticket.
const TICKET: &str = "sedgepath-ticket";

/// The header field with the number of the attempt under a key or ticket, from 1.
const ATTEMPT: &str = "sedgepath-attempt";

/// The most bytes of a key of the caller's choice.
const MAX_KEY_BYTES: usize = 255;

/// Why a request's key or ticket can't be taken.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub(super) enum OnceError {
    /// Both are given; a key never passes from one path to the other.
    #[error("a request takes a key or a ticket, not both")]
    Both,
    /// The key is empty or too long, or given twice.
    #[error("the idempotency key must have between 1 and {MAX_KEY_BYTES} bytes")]
    Key,
    /// The ticket is malformed or forged, or given twice.
    #[error("the ticket is none of this system")]
    Ticket,
}

impl OnceError {
    /// Returns the reason's name as sent to callers.
    pub(super) fn name(self) -> &'static str {
        match self {
            Self::Both => "key_and_ticket",
            Self::Key => "key_invalid",
            Self::Ticket => "ticket_invalid",
        }
    }
}

/// Reads how a request is kept from running twice.
pub(super) fn once(
    headers: &HeaderMap,
    service: &str,
    organisation: Option<Digest>,
    ticket_key: &SharedKey,
) -> Result<Deduplication, OnceError> {
    let count = |name: &str| headers.get_all(name).iter().count();
    match (count(IDEMPOTENCY_KEY), count(TICKET)) {
        (0, 0) => Ok(Deduplication::Repeatable),
        (1, 0) => {
            let key = headers[IDEMPOTENCY_KEY].as_bytes();
            if key.is_empty() || key.len() > MAX_KEY_BYTES {
                return Err(OnceError::Key);
            }
            Ok(Deduplication::Key(key_digest(service, organisation, key)))
        }
        (0, 1) => {
            let text = headers[TICKET].to_str().ok();
            let ticket = text.and_then(|text| ticket::parse(ticket_key, text).ok());
            ticket.map(Deduplication::Ticket).ok_or(OnceError::Ticket)
        }
        (_, 0) => Err(OnceError::Key),
        (0, _) => Err(OnceError::Ticket),
        _ => Err(OnceError::Both),
    }
}

/// Reads the number of the attempt; 0 if the caller does not say.
pub(super) fn attempt(headers: &HeaderMap) -> u32 {
    number(headers, ATTEMPT).and_then(|attempt| u32::try_from(attempt).ok()).unwrap_or(0)
}
