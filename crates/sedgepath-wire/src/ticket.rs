//! The text format of tickets, as callers receive and send them.
//!
//! `t1.<home>.<boot>.<number>.<service>.<expiry>.<mac>`, all fields but the first in hexadecimal. The
//! MAC covers the preceding text. Without it, a caller could forge a ticket, and thereby use up a
//! ticket of another caller or exhaust the memory of a home.

use sedgepath_core::key::{BootId, ServiceKey, VmKey};
use sedgepath_core::request::Ticket;

use crate::key::SharedKey;

/// The version of the format, which starts every ticket.
const FORMAT_VERSION: &str = "t1";

/// Why a text is not a valid ticket.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum TicketError {
    /// The text does not follow the ticket format.
    #[error("invalid ticket format")]
    Malformed,
    /// The MAC does not match the other fields.
    #[error("ticket has an invalid MAC")]
    Forged,
}

/// Formats a ticket as text with its MAC.
pub fn format(key: &SharedKey, ticket: &Ticket) -> String {
    let Ticket { home, boot, number, service, expires_at_ms } = *ticket;
    let fields = format!(
        "{FORMAT_VERSION}.{:x}.{:x}.{number:x}.{:x}.{expires_at_ms:x}",
        home.0, boot.0, service.0
    );
    let mac = u128::from_be_bytes(key.mac(&[fields.as_bytes()]));
    format!("{fields}.{mac:032x}")
}

/// Parses a ticket and verifies its MAC.
///
/// # Errors
///
/// Fails if the text is not a ticket, or its MAC was not computed with this key.
pub fn parse(key: &SharedKey, text: &str) -> Result<Ticket, TicketError> {
    let (fields, mac) = text.rsplit_once('.').ok_or(TicketError::Malformed)?;
    let mac = (mac.len() == 32).then(|| u128::from_str_radix(mac, 16).ok()).flatten();
    let mac = mac.ok_or(TicketError::Malformed)?;
    if !key.verify(&[fields.as_bytes()], &mac.to_be_bytes()) {
        return Err(TicketError::Forged);
    }
    parse_fields(fields).ok_or(TicketError::Malformed)
}

fn parse_fields(fields: &str) -> Option<Ticket> {
    let mut fields = fields.split('.');
    if fields.next()? != FORMAT_VERSION {
        return None;
    }
    let mut number = || u64::from_str_radix(fields.next()?, 16).ok();
    Some(Ticket {
        home: VmKey(number()?),
        boot: BootId(number()?),
        number: number()?,
        service: ServiceKey(u32::try_from(number()?).ok()?),
        expires_at_ms: number()?,
    })
}
