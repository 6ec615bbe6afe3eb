//! The VM's own answers to callers, and the lines that tell how requests ended.

use hyper::{Response, StatusCode};
use sedgepath_adapter::headers;
use sedgepath_core::direct::attempts::{Attempt, AttemptOutcome, RejectionReason, RequestState};
use sedgepath_core::direct::steering::Rejection;

use super::pool::Body;
use super::questions::empty;
use super::shell::Shell;
use super::{clock, lines};

/// Answers with a status alone.
pub fn plain(status: StatusCode, attempt: &str) -> Response<Body> {
    let mut response = empty(status);
    headers::set_attempt_id(response.headers_mut(), attempt);
    response
}

/// Notes a request that was served.
pub fn served(shell: &Shell, attempt: &str, attempts: &RequestState, to: &Attempt) {
    let took_ms = clock::now_ms().saturating_sub(attempts.arrived_at_ms);
    shell.metrics.answered("answered", took_ms);
    log::info!(
        target: lines::CALM,
        "event=served request={attempt} route={} service={} upstream={} sendings={} \
         took_ms={took_ms} configuration={} {}",
        attempts.route.name,
        attempts.service,
        to.name,
        attempts.delivered,
        attempts.version,
        to.decision,
    );
}

/// Tells the caller that the request was not run and never will be.
pub fn refuse(
    shell: &Shell,
    attempt: &str,
    attempts: Option<&RequestState>,
    refusal: Rejection,
) -> Response<Body> {
    let status = match refusal.reason {
        RejectionReason::NoRoute => StatusCode::NOT_FOUND,
        _ => StatusCode::SERVICE_UNAVAILABLE,
    };
    let mut response = plain(status, attempt);
    if status == StatusCode::SERVICE_UNAVAILABLE {
        headers::set_retry_after(response.headers_mut(), refusal.retry_after_ms);
    }
    let service = attempts.map_or("none", |attempts| &*attempts.service);
    let sendings = attempts.map_or(0, |attempts| attempts.delivered);
    let arrived_at_ms = attempts.map_or_else(clock::now_ms, |attempts| attempts.arrived_at_ms);
    let took_ms = clock::now_ms().saturating_sub(arrived_at_ms);
    let version =
        shell.steering.borrow().configuration().map_or(0, |configuration| configuration.version);
    shell.metrics.answered("not_run", took_ms);
    shell.metrics.refused(refusal.reason);
    log::info!(
        "event=refused request={attempt} status={} reason={} service={service} \
         sendings={sendings} took_ms={took_ms} retry_after_ms={} configuration={version}",
        status.as_u16(),
        refusal.reason.name(),
        refusal.retry_after_ms,
    );
    response
}

/// Passes on the last answer, or tells the caller that the request may have run.
pub fn gave_up(
    shell: &Shell,
    attempt: &str,
    attempts: &RequestState,
    reason: &str,
    last: Option<Response<Body>>,
) -> Response<Body> {
    let response = last.unwrap_or_else(|| {
        let late = reason == "timed_out";
        plain(if late { StatusCode::GATEWAY_TIMEOUT } else { StatusCode::BAD_GATEWAY }, attempt)
    });
    let took_ms = clock::now_ms().saturating_sub(attempts.arrived_at_ms);
    shell.metrics.answered("gave_up", took_ms);
    let last_upstream = attempts.tried_upstreams.last().and_then(|key| {
        let steering = shell.steering.borrow();
        steering.upstreams().get(*key).map(|upstream| upstream.entry.name.clone())
    });
    log::info!(
        "event=gave_up request={attempt} reason={reason} status={} route={} service={} \
         upstream={} sendings={} runs={} took_ms={took_ms} configuration={}",
        response.status().as_u16(),
        attempts.route.name,
        attempts.service,
        last_upstream.as_deref().unwrap_or("gone"),
        attempts.delivered,
        attempts.possible_runs,
        attempts.version,
    );
    response
}

/// Notes a sending that brought no good answer.
pub fn note(attempt: &str, attempts: &RequestState, to: &Attempt, outcome: AttemptOutcome) {
    log::info!(
        "event=sending_failed request={attempt} upstream={} service={} outcome={} {}",
        to.name,
        attempts.service,
        outcome.name(),
        to.decision,
    );
}
