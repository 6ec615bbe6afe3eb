//! Buffers the response to a deduplicated request so that it can be stored for repeats.
//!
//! The response is passed to the node before the caller gets its first byte. Otherwise a caller that
//! has seen the response's head, loses its connection and repeats the request might find no stored
//! response.

use bytes::{Bytes, BytesMut};
use sedgepath_core::request::StoredAnswer;

use crate::reply::{BodyReceiver, UpstreamResponse, body_channel};

/// The largest response body that is stored for repeats, in bytes; larger bodies are streamed.
const MAX_STORED_BYTES: usize = 64 * 1024;

/// The result of buffering a response.
pub(super) enum Collected {
    /// The body is complete and small enough to be stored.
    Complete(Box<UpstreamResponse>, StoredAnswer),
    /// The body is too large to be stored; the response streams it from the start.
    TooLarge(Box<UpstreamResponse>),
    /// The body ended early.
    Aborted,
}

/// Buffers a response. The length is not checked for a `HEAD` request, whose response declares the
/// length of a body that is not sent.
pub(super) async fn collect(mut response: UpstreamResponse, is_head: bool) -> Collected {
    let mut buffer = BytesMut::new();
    while let Some(chunk) = response.body.recv().await {
        let Ok(bytes) = chunk else {
            return Collected::Aborted;
        };
        buffer.extend_from_slice(&bytes);
        if buffer.len() > MAX_STORED_BYTES {
            response.body = prepend_to_body(buffer.freeze(), response.body);
            return Collected::TooLarge(Box::new(response));
        }
    }
    let length = buffer.len() as u64;
    if !is_head && response.http.body_bytes.is_some_and(|declared| declared != length) {
        return Collected::Aborted;
    }
    let bytes = buffer.freeze();
    let stored = to_stored_answer(&response, &bytes);
    response.http.body_bytes = response.http.body_bytes.or(Some(length));
    response.body = buffered_body(bytes);
    Collected::Complete(Box::new(response), stored)
}

/// Returns a body that consists of these bytes.
fn buffered_body(bytes: Bytes) -> BodyReceiver {
    let (sender, receiver) = body_channel();
    if !bytes.is_empty() {
        // Can't fail: the channel is empty and its receiver is still held.
        let _sent = sender.try_send(bytes);
    }
    sender.finish();
    receiver
}

/// Returns a body that starts with these bytes and continues with the rest.
fn prepend_to_body(first: Bytes, mut rest: BodyReceiver) -> BodyReceiver {
    let (sender, receiver) = body_channel();
    tokio::spawn(async move {
        let mut next_chunk = Some(Ok(first));
        while let Some(chunk) = next_chunk {
            let Ok(chunk) = chunk else { return };
            if sender.send(chunk).await.is_err() {
                return;
            }
            next_chunk = rest.recv().await;
        }
        sender.finish();
    });
    receiver
}

fn to_stored_answer(response: &UpstreamResponse, bytes: &Bytes) -> StoredAnswer {
    let content_type = response
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
    StoredAnswer { status: response.head.status, content_type, body, hex }
}

fn to_hex(bytes: &[u8]) -> Box<str> {
    use std::fmt::Write;
    let hex = bytes.iter().fold(String::with_capacity(bytes.len() * 2), |mut hex, byte| {
        let _infallible = write!(hex, "{byte:02x}");
        hex
    });
    hex.into()
}

/// Decodes the body of a stored response.
pub(super) fn stored_body(stored: &StoredAnswer) -> Bytes {
    if !stored.hex {
        return Bytes::copy_from_slice(stored.body.as_bytes());
    }
    let digits = stored.body.as_bytes().chunks(2);
    let bytes = digits.filter_map(|pair| std::str::from_utf8(pair).ok());
    bytes.filter_map(|pair| u8::from_str_radix(pair, 16).ok()).collect()
}
