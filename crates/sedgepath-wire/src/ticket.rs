//! The text form of a ticket, as callers carry it.
//!
//! `t1.<home>.<boot>.<number>.<service>.<expiry>.<code>`, all but the first in hexadecimal digits.
//! The code is a keyed hash of what stands before it: a caller that could make up a ticket could
//! have one refused as used that was given to somebody else, or wear out the home's memory.

use sedgepath_core::key::{BootId, ServiceKey, VmKey};
use sedgepath_core::request::Ticket;

use crate::key::SharedKey;

/// The first part of each ticket: the version of the form.
const VERSION: &str = "t1";

/// Why a text is not a ticket.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum TicketError {
    /// It does not have the form of a ticket.
    #[error("the text does not have the form of a ticket")]
    Malformed,
    /// Its code is not that of its other parts.
    #[error("the ticket is forged")]
    Forged,
}

/// Writes a ticket as text.
pub fn format(key: &SharedKey, ticket: &Ticket) -> String {
    let Ticket { home, boot, number, service, expires_at_ms } = *ticket;
    let parts =
        format!("{VERSION}.{:x}.{:x}.{number:x}.{:x}.{expires_at_ms:x}", home.0, boot.0, service.0);
    let code = u128::from_be_bytes(key.code(&[parts.as_bytes()]));
    format!("{parts}.{code:032x}")
}

/// Reads a ticket from its text.
///
/// # Errors
///
/// Fails if the text is not a ticket that a node with this key has written.
pub fn parse(key: &SharedKey, text: &str) -> Result<Ticket, TicketError> {
    let (parts, code) = text.rsplit_once('.').ok_or(TicketError::Malformed)?;
    let code = (code.len() == 32).then(|| u128::from_str_radix(code, 16).ok()).flatten();
    let code = code.ok_or(TicketError::Malformed)?;
    if !key.verify(&[parts.as_bytes()], &code.to_be_bytes()) {
        return Err(TicketError::Forged);
    }
    read(parts).ok_or(TicketError::Malformed)
}

fn read(parts: &str) -> Option<Ticket> {
    let mut parts = parts.split('.');
    if parts.next()? != VERSION {
        return None;
    }
    let mut number = || u64::from_str_radix(parts.next()?, 16).ok();
    Some(Ticket {
        home: VmKey(number()?),
        boot: BootId(number()?),
        number: number()?,
        service: ServiceKey(u32::try_from(number()?).ok()?),
        expires_at_ms: number()?,
    })
}
