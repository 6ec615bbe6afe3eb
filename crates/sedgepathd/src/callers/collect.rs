//! The answer of a once-only request, gathered before its caller gets it.
//!
//! Repeats get the stored answer. It is handed to the node before the caller gets its first byte:
//! the other way round, a caller that has seen the answer's head and repeats the request on a broken
//! connection could find that nobody kept it.

use bytes::{Bytes, BytesMut};
use sedgepath_core::request::StoredAnswer;

use crate::reply::{Answer, BodyReceiver, body};

/// The largest answer that is kept for repeats, in bytes; a larger one is relayed as it comes.
const MAX_STORED_BYTES: usize = 64 * 1024;

/// An answer that was gathered.
pub(super) enum Collected {
    /// It is whole and small enough to be kept.
    Whole(Box<Answer>, StoredAnswer),
    /// It is too large to be kept.
    Large(Box<Answer>),
    /// It broke off.
    Broken,
}

/// Gathers an answer. That to a `HEAD` declares the length of a body that does not come.
pub(super) async fn collect(mut answer: Answer, is_head: bool) -> Collected {
    let mut gathered = BytesMut::new();
    while let Some(part) = answer.body.recv().await {
        let Ok(bytes) = part else {
            return Collected::Broken;
        };
        gathered.extend_from_slice(&bytes);
        if gathered.len() > MAX_STORED_BYTES {
            answer.body = chain(gathered.freeze(), answer.body);
            return Collected::Large(Box::new(answer));
        }
    }
    let length = gathered.len() as u64;
    if !is_head && answer.http.body_bytes.is_some_and(|declared| declared != length) {
        return Collected::Broken;
    }
    let bytes = gathered.freeze();
    let stored = stored(&answer, &bytes);
    answer.http.body_bytes = answer.http.body_bytes.or(Some(length));
    answer.body = whole(bytes);
    Collected::Whole(Box::new(answer), stored)
}

/// Returns a body that brings these bytes and ends.
fn whole(bytes: Bytes) -> BodyReceiver {
    let (sender, receiver) = body();
    if !bytes.is_empty() {
        // The channel is empty and takes several parts, and the receiver is here.
        let _taken = sender.try_send(Ok(bytes));
    }
    receiver
}

/// Returns a body that brings these bytes and then the rest.
fn chain(first: Bytes, mut rest: BodyReceiver) -> BodyReceiver {
    let (sender, receiver) = body();
    tokio::spawn(async move {
        let mut part = Some(Ok(first));
        while let Some(next) = part {
            if sender.send(next).await.is_err() {
                return;
            }
            part = rest.recv().await;
        }
    });
    receiver
}

fn stored(answer: &Answer, bytes: &Bytes) -> StoredAnswer {
    let content_type = answer
        .http
        .fields
        .iter()
        .find(|(name, _)| &**name == "content-type")
        .and_then(|(_, value)| std::str::from_utf8(value).ok())
        .map(Into::into);
    let (body, hex) = match std::str::from_utf8(bytes) {
        Ok(text) => (text.into(), false),
        Err(_) => (to_hex(bytes), true),
    };
    StoredAnswer { status: answer.head.status, content_type, body, hex }
}

fn to_hex(bytes: &[u8]) -> Box<str> {
    use std::fmt::Write;
    let hex = bytes.iter().fold(String::with_capacity(bytes.len() * 2), |mut hex, byte| {
        let _infallible = write!(hex, "{byte:02x}");
        hex
    });
    hex.into()
}

/// Returns the body of a stored answer.
pub(super) fn body_of(stored: &StoredAnswer) -> Bytes {
    if !stored.hex {
        return Bytes::copy_from_slice(stored.body.as_bytes());
    }
    let digits = stored.body.as_bytes().chunks(2);
    let bytes = digits.filter_map(|pair| std::str::from_utf8(pair).ok());
    bytes.filter_map(|pair| u8::from_str_radix(pair, 16).ok()).collect()
}
