//! Parses the headers by which callers request deduplication: idempotency keys and tickets.

use hyper::HeaderMap;
use sedgepath_core::deduplication::key_digest;
use sedgepath_core::hash::Digest;
use sedgepath_core::request::Deduplication;
use sedgepath_wire::key::SharedKey;
use sedgepath_wire::ticket;

use super::parsing::header_number;

/// The header with an idempotency key that the caller has chosen.
const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";

/// The header with a ticket.
const TICKET_HEADER: &str = "sedgepath-ticket";

/// The header with the number of the attempt under a key or ticket, starting at 1.
const ATTEMPT_HEADER: &str = "sedgepath-attempt";

/// The maximum length of an idempotency key in bytes.
const MAX_KEY_BYTES: usize = 255;

/// An invalid combination or value of deduplication headers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub(super) enum DeduplicationError {
    /// The request has an idempotency key and a ticket.
    #[error("the request has both an idempotency key and a ticket")]
    KeyAndTicket,
    /// The key is empty, too long, or given more than once.
    #[error("the request must have one idempotency key of 1 to {MAX_KEY_BYTES} bytes")]
    InvalidKey,
    /// The ticket is malformed, forged, or given more than once.
    #[error("the ticket is malformed, forged or given more than once")]
    InvalidTicket,
}

impl DeduplicationError {
    /// Returns the reason as sent to callers.
    pub(super) fn name(self) -> &'static str {
        match self {
            Self::KeyAndTicket => "key_and_ticket",
            Self::InvalidKey => "key_invalid",
            Self::InvalidTicket => "ticket_invalid",
        }
    }
}

/// Parses the deduplication that a request asks for.
pub(super) fn parse_deduplication(
    headers: &HeaderMap,
    service: &str,
    organisation: Option<Digest>,
    ticket_key: &SharedKey,
) -> Result<Deduplication, DeduplicationError> {
    let count = |name: &str| headers.get_all(name).iter().count();
    match (count(IDEMPOTENCY_KEY_HEADER), count(TICKET_HEADER)) {
        (0, 0) => Ok(Deduplication::Repeatable),
        (1, 0) => {
            let key = headers[IDEMPOTENCY_KEY_HEADER].as_bytes();
            if key.is_empty() || key.len() > MAX_KEY_BYTES {
                return Err(DeduplicationError::InvalidKey);
            }
            Ok(Deduplication::Key(key_digest(service, organisation, key)))
        }
        (0, 1) => {
            let text = headers[TICKET_HEADER].to_str().ok();
            let ticket = text.and_then(|text| ticket::parse(ticket_key, text).ok());
            ticket.map(Deduplication::Ticket).ok_or(DeduplicationError::InvalidTicket)
        }
        (_, 0) => Err(DeduplicationError::InvalidKey),
        (0, _) => Err(DeduplicationError::InvalidTicket),
        _ => Err(DeduplicationError::KeyAndTicket),
    }
}

/// Parses the number of the attempt; 0 if the header is missing or invalid.
pub(super) fn attempt_number(headers: &HeaderMap) -> u32 {
    header_number(headers, ATTEMPT_HEADER)
        .and_then(|attempt| u32::try_from(attempt).ok())
        .unwrap_or(0)
}
