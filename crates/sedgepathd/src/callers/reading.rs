//! Reads what callers send.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use hyper::{HeaderMap, StatusCode};

/// The longest that a request's body may take to arrive.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// The most bytes of a request's body; it is kept until the answer, to be sent again if allowed.
const MAX_BODY_BYTES: usize = 1024 * 1024;

/// The deadline of a request that names none, in milliseconds.
const DEFAULT_TIMEOUT_MS: u64 = 10_000;

pub(super) async fn read_body(incoming: Incoming) -> Result<Bytes, StatusCode> {
    let limited = Limited::new(incoming, MAX_BODY_BYTES);
    match tokio::time::timeout(BODY_TIMEOUT, limited.collect()).await {
        Ok(Ok(collected)) => Ok(collected.to_bytes()),
        Ok(Err(error)) if error.is::<http_body_util::LengthLimitError>() => {
            Err(StatusCode::PAYLOAD_TOO_LARGE)
        }
        Ok(Err(_)) => Err(StatusCode::BAD_REQUEST),
        Err(_elapsed) => Err(StatusCode::REQUEST_TIMEOUT),
    }
}

/// Returns the caller's deadline: a time from now if it sends one, else a point in time.
pub(super) fn deadline_at_ms(headers: &HeaderMap, now_ms: u64) -> u64 {
    if let Some(timeout_ms) = number(headers, "sedgepath-timeout-ms") {
        return now_ms.saturating_add(timeout_ms);
    }
    number(headers, "sedgepath-deadline-ms").unwrap_or(now_ms + DEFAULT_TIMEOUT_MS)
}

pub(super) fn query_value<'a>(query: Option<&'a str>, name: &str) -> Option<&'a str> {
    query?
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .find(|pair| pair.0 == name)
        .map(|pair| pair.1)
}

pub(super) fn number(headers: &HeaderMap, name: &str) -> Option<u64> {
    headers.get(name)?.to_str().ok()?.parse().ok()
}
