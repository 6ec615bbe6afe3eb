//! Parses bodies, headers and query parameters of callers' requests.

use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use hyper::{HeaderMap, StatusCode};

use crate::limits::Limits;

/// Reads a request's body within the limits; an error is the HTTP status of the rejection.
pub(super) async fn read_body(incoming: Incoming, limits: &Limits) -> Result<Bytes, StatusCode> {
    let limited = Limited::new(incoming, limits.body_bytes);
    match tokio::time::timeout(limits.body_timeout(), limited.collect()).await {
        Ok(Ok(collected)) => Ok(collected.to_bytes()),
        Ok(Err(error)) if error.is::<http_body_util::LengthLimitError>() => {
            Err(StatusCode::PAYLOAD_TOO_LARGE)
        }
        Ok(Err(_)) => Err(StatusCode::BAD_REQUEST),
        Err(_elapsed) => Err(StatusCode::REQUEST_TIMEOUT),
    }
}

/// Returns a request's deadline in milliseconds since the Unix epoch.
///
/// A timeout relative to now takes precedence over an absolute deadline; a request with neither gets
/// the default timeout.
pub(super) fn parse_deadline_at_ms(headers: &HeaderMap, now_ms: u64, limits: &Limits) -> u64 {
    if let Some(timeout_ms) = header_number(headers, "sedgepath-timeout-ms") {
        return now_ms.saturating_add(timeout_ms);
    }
    header_number(headers, "sedgepath-deadline-ms").unwrap_or(now_ms + limits.default_timeout_ms)
}

pub(super) fn query_value<'a>(query: Option<&'a str>, name: &str) -> Option<&'a str> {
    query?
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .find(|pair| pair.0 == name)
        .map(|pair| pair.1)
}

pub(super) fn header_number(headers: &HeaderMap, name: &str) -> Option<u64> {
    headers.get(name)?.to_str().ok()?.parse().ok()
}
