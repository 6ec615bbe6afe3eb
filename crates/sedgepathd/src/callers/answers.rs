//! Answers that the daemon itself gives to callers.

use bytes::Bytes;
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full};
use hyper::header::{CONTENT_TYPE, HeaderName, HeaderValue, RETRY_AFTER};
use hyper::{Response, StatusCode};
use sedgepath_core::request::Outcome;
use sedgepath_wire::frame::HeaderField;
use serde_json::json;

use super::collect::body_of;
use crate::exchange::passed_on;
use crate::reply::{BodyBroken, Reply};

/// The body of any answer to a caller.
pub type ResponseBody = UnsyncBoxBody<Bytes, BodyBroken>;

pub(super) fn conclude(outcome: &Outcome, now_ms: u64) -> Response<ResponseBody> {
    match outcome {
        Outcome::NotRun { refusal, others } => {
            let body = json!({
                "outcome": "not_run",
                "reason": refusal.reason.name(),
                "retry_after_ms": refusal.retry_after_ms,
                "entry_vms": others,
            });
            let retry = (refusal.retry_after_ms, now_ms);
            given_up("not_run", retry, StatusCode::SERVICE_UNAVAILABLE, &body)
        }
        Outcome::Unknown { retry_after_ms } => {
            let body = json!({ "outcome": "unknown", "retry_after_ms": retry_after_ms });
            given_up("unknown", (*retry_after_ms, now_ms), StatusCode::GATEWAY_TIMEOUT, &body)
        }
        Outcome::Repeated(stored) => {
            let mut response = whole_response(StatusCode::OK, body_of(stored));
            if let Some(content_type) = &stored.content_type {
                set(&mut response, "content-type", content_type);
            }
            *response.status_mut() = StatusCode::from_u16(stored.status).unwrap_or(StatusCode::OK);
            set(&mut response, "sedgepath-outcome", "answered");
            set(&mut response, "sedgepath-repeated", "true");
            response
        }
        Outcome::KeyReused => refused(StatusCode::UNPROCESSABLE_ENTITY, "key_reused"),
        Outcome::NoService => refused(StatusCode::NOT_FOUND, "no_service"),
        Outcome::UnknownOrganisation => refused(StatusCode::UNAUTHORIZED, "unknown_organisation"),
        Outcome::KeyRequired => refused(StatusCode::PRECONDITION_REQUIRED, "key_required"),
    }
}

pub(super) fn given_up(
    outcome: &'static str,
    (retry_after_ms, now_ms): (u64, u64),
    status: StatusCode,
    body: &serde_json::Value,
) -> Response<ResponseBody> {
    let mut response = json_response(status, body);
    set(&mut response, "sedgepath-outcome", outcome);
    set(&mut response, "sedgepath-retry-after-ms", &retry_after_ms.to_string());
    set(&mut response, "sedgepath-retry-at-ms", &(now_ms + retry_after_ms).to_string());
    let seconds = retry_after_ms.div_ceil(1_000);
    response.headers_mut().insert(RETRY_AFTER, HeaderValue::from(seconds));
    response
}

/// An answer to a request that could not even be taken; it was not run.
pub(super) fn refused(status: StatusCode, reason: &'static str) -> Response<ResponseBody> {
    let mut response = json_response(status, &json!({ "outcome": "not_run", "reason": reason }));
    set(&mut response, "sedgepath-outcome", "not_run");
    response
}

pub(super) fn json_response(
    status: StatusCode,
    body: &serde_json::Value,
) -> Response<ResponseBody> {
    let mut response = whole_response(status, body.to_string().into());
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    response
}

pub(super) fn whole_response(status: StatusCode, body: Bytes) -> Response<ResponseBody> {
    let body = Full::new(body).map_err(|never| match never {});
    let mut response = Response::new(UnsyncBoxBody::new(body));
    *response.status_mut() = status;
    response
}

/// Adds header fields to an answer.
pub(super) fn append(response: &mut Response<ResponseBody>, fields: &[HeaderField]) {
    for (name, value) in fields {
        let name = HeaderName::from_bytes(name.as_bytes());
        if let (Ok(name), Ok(value)) = (name, HeaderValue::from_bytes(value)) {
            response.headers_mut().append(name, value);
        }
    }
}

/// Turns an answer that the daemon gives into the reply to a peer that passes it on.
pub(super) async fn concluded(response: Response<ResponseBody>) -> Reply {
    let (parts, body) = response.into_parts();
    let fields = passed_on(&parts.headers);
    match body.collect().await {
        Ok(body) => {
            Reply::Concluded { status: parts.status.as_u16(), fields, body: body.to_bytes() }
        }
        Err(BodyBroken) => Reply::Lost,
    }
}

pub(super) fn set(response: &mut Response<ResponseBody>, name: &'static str, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        response.headers_mut().insert(name, value);
    }
}

pub(super) fn outcome_of(response: &Response<ResponseBody>) -> &'static str {
    match response.headers().get("sedgepath-outcome").map(HeaderValue::as_bytes) {
        Some(b"answered") => "answered",
        Some(b"unknown") => "unknown",
        _ => "not_run",
    }
}
