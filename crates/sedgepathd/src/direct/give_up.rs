//! Requests that a VM gives up after they were sent: their responses, log lines and counts.

use std::fmt;

use hyper::{Response, StatusCode};
use sedgepath_core::direct::attempts::{Rejection, RejectionReason};

use super::clock;
use super::connection_pool::Body;
use super::forwarding::{Forwarded, OwnResponse, Responder};
use super::in_flight_request::InFlightRequest;
use super::responses::{RejectedRequest, last_upstream_name, log_target, reject, status_response};

/// The reason, for logs and counters, of a request that another VM has given up.
const GIVEN_UP_BY_NEIGHBOUR: &str = "neighbour_gave_up";

/// Why a VM gives a request up.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum GiveUpReason {
    /// It may have run, and isn't sent again.
    NotSentAgain(RejectionReason),
    /// Its deadline has passed.
    TimedOut,
    /// It can't be sent again, since its body wasn't kept.
    BodyWasStreamed,
}

impl GiveUpReason {
    /// A planned stop ends the requests that are still in flight, or sends them no more.
    pub const STOPPING: Self = Self::NotSentAgain(RejectionReason::Stopping);

    /// Returns the name for logs, counters and other VMs.
    pub fn name(self) -> &'static str {
        match self {
            Self::NotSentAgain(reason) => reason.name(),
            Self::TimedOut => "timed_out",
            Self::BodyWasStreamed => "body_was_streamed",
        }
    }

    fn log_target(self) -> &'static str {
        match self {
            Self::NotSentAgain(reason) => log_target(reason),
            Self::TimedOut | Self::BodyWasStreamed => module_path!(),
        }
    }

    fn from_name(name: &str) -> Option<Self> {
        [Self::TimedOut, Self::BodyWasStreamed]
            .into_iter()
            .find(|reason| reason.name() == name)
            .or_else(|| RejectionReason::from_name(name).map(Self::NotSentAgain))
    }
}

/// How a VM has given a request up.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct GivenUp {
    /// The reason.
    pub reason: GiveUpReason,
    /// The number of sendings still in flight, which the VM breaks off.
    pub in_flight: u32,
}

impl GivenUp {
    /// Returns the form in which another VM is told.
    pub fn to_text(self) -> String {
        format!("{} {}", self.reason.name(), self.in_flight)
    }

    /// Parses what another VM tells; `None` if it can't be read.
    pub fn parse(text: &str) -> Option<Self> {
        let (reason, in_flight) = text.split_once(' ')?;
        let reason = GiveUpReason::from_name(reason)?;
        Some(Self { reason, in_flight: in_flight.parse().ok()? })
    }
}

/// What the log says of a request that is given up: its times, and its sendings in flight.
#[derive(Debug)]
struct Progress {
    took_ms: u64,
    in_flight: u32,
    sent_ms_ago: Option<u64>,
    left_ms: u64,
    stopping_ms: Option<u64>,
}

impl Progress {
    /// Returns the progress of a request with a number of sendings in flight.
    fn of(request: &InFlightRequest, in_flight: u32) -> Self {
        let now_ms = clock::now_ms();
        let state = &request.state;
        let since = |at_ms: u64| now_ms.saturating_sub(at_ms);
        Self {
            took_ms: since(state.arrived_at_ms),
            in_flight,
            sent_ms_ago: request.last_sent_at_ms.map(since),
            left_ms: state.deadline_at_ms.saturating_sub(now_ms),
            stopping_ms: request.shared.stop_began_at_ms.get().map(since),
        }
    }
}

impl fmt::Display for Progress {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "took_ms={} in_flight={}", self.took_ms, self.in_flight)?;
        if let Some(sent_ms_ago) = self.sent_ms_ago {
            write!(f, " sent_ms_ago={sent_ms_ago}")?;
        }
        write!(f, " left_ms={}", self.left_ms)?;
        if let Some(stopping_ms) = self.stopping_ms {
            write!(f, " stopping_ms={stopping_ms}")?;
        }
        Ok(())
    }
}

/// Returns how many sendings of a request that is given up for a reason are in flight.
fn sendings_in_flight(request: &InFlightRequest, reason: GiveUpReason) -> u32 {
    let recorded = request.recorded_sendings();
    match reason {
        // The deadline has just ended one, which is recorded.
        GiveUpReason::TimedOut => recorded + 1,
        // The last one is recorded, but couldn't begin.
        GiveUpReason::BodyWasStreamed => recorded.saturating_sub(1),
        GiveUpReason::NotSentAgain(_) => recorded,
    }
}

/// Counts and logs a request that is given up and returns its response: the last one of an
/// upstream, else 504 or 502, which say that the request may have run.
pub fn give_up(
    request: &InFlightRequest,
    reason: GiveUpReason,
    last_response: Option<Response<Body>>,
) -> Response<Body> {
    let (shared, state, attempt_id) = (&request.shared, &request.state, &request.attempt_id);
    let progress = Progress::of(request, sendings_in_flight(request, reason));
    let response = last_response.unwrap_or_else(|| {
        let status = match reason {
            GiveUpReason::TimedOut => StatusCode::GATEWAY_TIMEOUT,
            _ => StatusCode::BAD_GATEWAY,
        };
        let mut response = status_response(status, attempt_id);
        let given_up = GivenUp { reason, in_flight: progress.in_flight };
        response.extensions_mut().insert(OwnResponse::GivenUp(Some(given_up)));
        response
    });
    shared.metrics.record_request("gave_up", progress.took_ms);
    if progress.in_flight > 0 {
        shared.metrics.count_request_ended_in_flight(reason.name());
    }
    log::info!(
        target: reason.log_target(),
        "event=gave_up request={attempt_id} reason={} status={} account={} route={} service={} \
         upstream={} sendings={} runs={} {progress} configuration={} fingerprint={}",
        reason.name(),
        response.status().as_u16(),
        state.account_name(),
        state.route.name,
        state.service,
        last_upstream_name(shared, state),
        state.delivered,
        state.possible_runs,
        state.version,
        state.fingerprint_text(),
    );
    response
}

/// Ends a request that wasn't sent since it arrived: it is rejected, or given up if its early start may have
/// run.
pub fn end_unsent(request: &InFlightRequest, rejection: Rejection) -> Response<Body> {
    if request.state.was_started_early {
        return give_up(request, GiveUpReason::NotSentAgain(rejection.reason), None);
    }
    let rejected = RejectedRequest::Begun(&request.state);
    reject(&request.shared, &request.attempt_id, rejected, rejection)
}

/// Counts a request whose response another VM has sent, and logs it if that VM has given it up.
pub fn record_forwarded(request: &InFlightRequest, status: StatusCode, forwarded: Forwarded) {
    let (shared, state, attempt_id) = (&request.shared, &request.state, &request.attempt_id);
    let progress = Progress::of(request, request.recorded_sendings());
    let Responder::Vm(given_up) = forwarded.responder else {
        shared.metrics.record_request("answered", progress.took_ms);
        return;
    };
    shared.metrics.record_request("gave_up", progress.took_ms);
    let their_in_flight = given_up.map_or(0, |given_up| given_up.in_flight);
    if progress.in_flight + their_in_flight > 0 {
        shared.metrics.count_request_ended_in_flight(GIVEN_UP_BY_NEIGHBOUR);
    }
    log::info!(
        target: given_up.map_or(module_path!(), |given_up| given_up.reason.log_target()),
        "event=gave_up request={attempt_id} reason={GIVEN_UP_BY_NEIGHBOUR} status={} to={} \
         neighbour_reason={} neighbour_in_flight={their_in_flight} account={} route={} service={} \
         {progress} configuration={}",
        status.as_u16(),
        forwarded.peer_address,
        given_up.map_or("unknown", |given_up| given_up.reason.name()),
        state.account_name(),
        state.route.name,
        state.service,
        state.version,
    );
}

/// Logs that another VM has given up a request that an upstream of this VM still has.
pub fn log_failed_forwarding(request: &InFlightRequest, forwarded: Forwarded) {
    let reason = match forwarded.responder {
        Responder::Vm(given_up) => given_up.map(|given_up| given_up.reason),
        Responder::Upstream => None,
    };
    log::info!(
        target: reason.map_or(module_path!(), GiveUpReason::log_target),
        "event=sending_failed request={} to={} service={} outcome={GIVEN_UP_BY_NEIGHBOUR} \
         neighbour_reason={} fingerprint={}",
        request.attempt_id,
        forwarded.peer_address,
        request.state.service,
        reason.map_or("unknown", GiveUpReason::name),
        request.state.fingerprint_text(),
    );
}
