//! Responses that the VM itself sends to callers, and log lines for how requests end.

use hyper::{Response, StatusCode};
use sedgepath_adapter::headers;
use sedgepath_core::direct::attempts::{Attempt, AttemptOutcome, RejectionReason, RequestState};
use sedgepath_core::direct::steering::Rejection;

use super::connection_pool::Body;
use super::control_server::empty_response;
use super::forwarding::OwnResponse;
use super::shared::SharedState;
use super::{clock, logging};

/// Returns a response of this VM, without a body, that carries the attempt id.
pub fn status_response(status: StatusCode, attempt_id: &str) -> Response<Body> {
    let mut response = empty_response(status);
    response.extensions_mut().insert(OwnResponse::GivenUp(None));
    headers::set_attempt_id(response.headers_mut(), attempt_id);
    response
}

/// Counts and logs a request that an upstream served.
pub fn record_success(
    shared: &SharedState,
    attempt_id: &str,
    state: &RequestState,
    attempt: &Attempt,
) {
    let took_ms = clock::now_ms().saturating_sub(state.arrived_at_ms);
    shared.metrics.record_request("answered", took_ms);
    log::info!(
        target: logging::ROUTINE_TARGET,
        "event=served request={attempt_id} account={} route={} service={} upstream={} sendings={} \
         took_ms={took_ms} configuration={} {}",
        state.account_name(),
        state.route.name,
        state.service,
        attempt.name,
        state.delivered,
        state.version,
        attempt.decision,
    );
}

/// Returns the log target of a request that ends for a reason.
pub fn log_target(reason: RejectionReason) -> &'static str {
    if reason == RejectionReason::Stopping { logging::STOP_TARGET } else { module_path!() }
}

/// The name in logs of a request without a client account.
const NO_ACCOUNT: &str = "none";

/// What is known of a rejected request.
#[derive(Debug, Clone, Copy)]
pub enum RejectedRequest<'a> {
    /// Nothing.
    Unknown,
    /// The name of its client account.
    OfAccount(&'a str),
    /// Its state.
    Begun(&'a RequestState),
}

impl<'a> RejectedRequest<'a> {
    fn state(self) -> Option<&'a RequestState> {
        match self {
            Self::Begun(state) => Some(state),
            Self::Unknown | Self::OfAccount(_) => None,
        }
    }

    fn account(self) -> &'a str {
        match self {
            Self::Unknown => NO_ACCOUNT,
            Self::OfAccount(account) => account,
            Self::Begun(state) => state.account_name(),
        }
    }
}

/// Counts and logs a rejection and returns its response: the request was not run and never will be.
pub fn reject(
    shared: &SharedState,
    attempt_id: &str,
    request: RejectedRequest<'_>,
    rejection: Rejection,
) -> Response<Body> {
    let status = match rejection.reason {
        RejectionReason::NoRoute => StatusCode::NOT_FOUND,
        RejectionReason::Unauthenticated => StatusCode::UNAUTHORIZED,
        RejectionReason::OverQuota => StatusCode::TOO_MANY_REQUESTS,
        _ => StatusCode::SERVICE_UNAVAILABLE,
    };
    let mut response = status_response(status, attempt_id);
    if matches!(status, StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS) {
        headers::set_retry_after(response.headers_mut(), rejection.retry_after_ms);
    }
    response.extensions_mut().insert(OwnResponse::Rejected(rejection));
    let state = request.state();
    let service = state.map_or("none", |state| &*state.service);
    let account = request.account();
    let delivered = state.map_or(0, |state| state.delivered);
    let arrived_at_ms = state.map_or_else(clock::now_ms, |state| state.arrived_at_ms);
    let took_ms = clock::now_ms().saturating_sub(arrived_at_ms);
    let version =
        shared.steering.borrow().configuration().map_or(0, |configuration| configuration.version);
    shared.metrics.record_request("not_run", took_ms);
    shared.metrics.count_rejection(rejection.reason);
    if account != NO_ACCOUNT {
        shared.metrics.count_account_rejection(account);
    }
    log::info!(
        target: log_target(rejection.reason),
        "event=refused request={attempt_id} status={} reason={} account={account} service={service} \
         sendings={delivered} took_ms={took_ms} retry_after_ms={} configuration={version} \
         fingerprint={}",
        status.as_u16(),
        rejection.reason.name(),
        rejection.retry_after_ms,
        state.map_or_else(|| "none".into(), RequestState::fingerprint_text),
    );
    response
}

/// Returns the name of the upstream that a request was sent to last, for logs.
pub fn last_upstream_name(shared: &SharedState, state: &RequestState) -> Box<str> {
    let steering = shared.steering.borrow();
    match state.tried_upstreams.last() {
        None => "none".into(),
        Some(key) => steering
            .upstreams()
            .get(*key)
            .map_or_else(|| "gone".into(), |upstream| upstream.entry.name.clone()),
    }
}

/// Counts and logs a request that ends without a response: its connection has ended, its early start isn't
/// used, or the VM's process ends.
pub fn record_abandoned(shared: &SharedState, attempt_id: &str, state: &RequestState) {
    let took_ms = clock::now_ms().saturating_sub(state.arrived_at_ms);
    shared.metrics.record_request("abandoned", took_ms);
    let process_ends = shared.is_process_ending();
    // Callers may leave in large numbers.
    let target = if process_ends { logging::STOP_TARGET } else { logging::ROUTINE_TARGET };
    log::info!(
        target: target,
        "event=abandoned request={attempt_id} reason={} account={} route={} service={} upstream={} \
         sendings={} in_flight={} took_ms={took_ms}",
        if process_ends { "process_ended" } else { "canceled" },
        state.account_name(),
        state.route.name,
        state.service,
        last_upstream_name(shared, state),
        state.delivered,
        state.in_flight.len(),
    );
}

/// Logs an attempt that brought no usable response.
pub fn log_failed_attempt(
    attempt_id: &str,
    state: &RequestState,
    attempt: &Attempt,
    outcome: AttemptOutcome,
) {
    log::info!(
        "event=sending_failed request={attempt_id} upstream={} service={} outcome={} {} fingerprint={}",
        attempt.name,
        state.service,
        outcome.name(),
        attempt.decision,
        state.fingerprint_text(),
    );
}
