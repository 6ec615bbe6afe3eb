//! The ingress: the handling of a request from its arrival to its outcome.
//!
//! A request gets exactly one outcome. *Not run* requires proof for each attempt: it was never
//! sent, or was rejected before its start. A hop that broke or timed out proves nothing, since the
//! request may still run. Such a request is retried only if a second run is harmless, and otherwise
//! its outcome is *unknown*.
//!
//! Every request that may run passes through [`Ingress::begin`]. The methods return each
//! [`ConcludedRequest`], so that the deduplication system gets the outcome before the caller.

use crate::catalogue::{Catalogue, ServiceEntry};
use crate::event::Action;
use crate::hash::Map;
use crate::key::{DomainKey, OriginKey, RequestKey, ServiceKey};
use crate::look_up::LookUpCache;
use crate::outbox::Outbox;
use crate::request::{
    Class, Deduplication, Dispatch, HopFailure, Outcome, Rejection, RejectionReason, RequestHead,
};
use crate::retry::RetryBudgets;
use crate::shift::ShiftKey;
use crate::steering::SteeringPolicy;
use crate::view::{SystemView, UpstreamOwner};

mod pending;
mod placement;

use pending::PendingRequest;
pub use placement::Placement;

/// The default delay after which a caller should retry, in milliseconds. By then an unresponsive
/// member has been suspected or heard from again.
const RETRY_AFTER_MS: u64 = 500;

/// The minimum time left until the deadline for another attempt, in milliseconds.
const MIN_RETRY_TIME_MS: u64 = 5;

/// A request that ends without a relayed response.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ConcludedRequest {
    /// The key of the request.
    pub request: RequestKey,
    /// The final outcome, for the caller.
    pub outcome: Outcome,
}

/// The state of other components on which the ingress's decisions depend.
#[derive(Debug, Clone, Copy)]
pub struct RoutingContext<'a> {
    /// The node's view of the configuration and its peers.
    pub view: SystemView<'a>,
    /// The policy that ranks failure domains.
    pub policy: &'a dyn SteeringPolicy,
}

/// The requests in flight that this node received from callers.
#[derive(Debug)]
pub struct Ingress {
    pending: Map<RequestKey, PendingRequest>,
    retry_budgets: RetryBudgets,
    look_ups: LookUpCache,
    placement: Placement,
}

impl Ingress {
    /// Creates an ingress without requests; `seed` determines its random choices.
    pub fn new(seed: u64) -> Self {
        Self {
            pending: Map::default(),
            retry_budgets: RetryBudgets::default(),
            look_ups: LookUpCache::default(),
            placement: Placement::new(seed),
        }
    }

    /// Returns the cached lists of entry VMs that answer look-ups.
    pub fn look_ups_mut(&mut self) -> &mut LookUpCache {
        &mut self.look_ups
    }

    /// Sends the first attempt of a request, or concludes the request at once.
    pub fn begin(
        &mut self,
        request: RequestKey,
        head: &RequestHead,
        context: RoutingContext<'_>,
        out: &mut Outbox,
    ) -> Option<ConcludedRequest> {
        let service = ServiceKey::of(&head.service);
        let (entry, class) = match check_request(service, head, &context.view) {
            Ok(_) if !self.placement.is_ready() => {
                let refusal =
                    Rejection { reason: RejectionReason::NotReady, retry_after_ms: RETRY_AFTER_MS };
                return Some(self.conclude_not_run(request, service, head, refusal, &context));
            }
            Ok(entry_and_class) => entry_and_class,
            Err(CheckFailure::Final(outcome)) => {
                return Some(ConcludedRequest { request, outcome });
            }
            Err(CheckFailure::NotRun(reason)) => {
                let refusal = Rejection { reason, retry_after_ms: RETRY_AFTER_MS };
                return Some(self.conclude_not_run(request, service, head, refusal, &context));
            }
        };
        self.retry_budgets.credit_request(service, class);
        let mut pending = PendingRequest::new(head, service, class, &context.view, entry);
        match self.placement.place(&mut pending, &context) {
            Ok(owner) => {
                pending.send_attempt(request, owner, context.view.revision, out);
                self.pending.insert(request, pending);
                None
            }
            Err(refusal) => Some(self.conclude_not_run(request, service, head, refusal, &context)),
        }
    }

    /// Relays the response to an attempt and cancels the other attempts.
    pub fn handle_hop_response(&mut self, request: RequestKey, attempt: u32, out: &mut Outbox) {
        let Some(pending) = self.pending.get_mut(&request) else {
            return;
        };
        if pending.take_attempt(attempt).is_none() {
            return;
        }
        pending.cancel_all(request, out);
        out.push(Action::RelayResponse { request, attempt });
    }

    /// Handles an attempt that ended without a response: unless other attempts are in flight,
    /// retries the request where that is safe, and otherwise concludes it.
    pub fn handle_hop_failure(
        &mut self,
        request: RequestKey,
        attempt: u32,
        failure: HopFailure,
        context: RoutingContext<'_>,
        out: &mut Outbox,
    ) -> Option<ConcludedRequest> {
        let pending = self.pending.get_mut(&request)?;
        let attempt = pending.take_attempt(attempt)?;
        pending.record_failure(attempt, failure);
        if pending.in_flight() > 0 {
            return None;
        }
        self.retry_or_conclude(request, context, out)
    }

    /// Refreshes the caches, and cancels the attempts at unresponsive owners and those of requests
    /// whose deadline has passed; then retries or concludes the requests without attempts in
    /// flight.
    pub fn tick(&mut self, context: RoutingContext<'_>, out: &mut Outbox) -> Vec<ConcludedRequest> {
        let now_ms = context.view.now_ms;
        self.look_ups.drop_stale_lists(&context.view);
        self.placement.tick(&context, out);
        let mut due: Vec<_> = self
            .pending
            .iter()
            .filter(|(_, pending)| pending.is_due(&context.view))
            .map(|(request, _)| *request)
            .collect();
        due.sort_unstable();
        let mut concluded = Vec::new();
        for request in due {
            let Some(pending) = self.pending.get_mut(&request) else { continue };
            if pending.deadline_at_ms() <= now_ms {
                pending.time_out_all(request, out);
            } else {
                pending.time_out_unresponsive(request, &context.view, out);
            }
            if pending.in_flight() == 0 {
                concluded.extend(self.retry_or_conclude(request, context, out));
            }
        }
        concluded
    }

    /// Returns the placement of requests, which holds the current shares.
    pub fn placement_mut(&mut self) -> &mut Placement {
        &mut self.placement
    }

    /// Returns the current shares of an origin group's traffic by failure domain, if this node has
    /// had any such traffic.
    pub fn traffic_split(
        &self,
        service: ServiceKey,
        origin: OriginKey,
        context: &RoutingContext<'_>,
    ) -> Option<Vec<(DomainKey, f64)>> {
        self.placement.traffic_split(ShiftKey::of(service, origin, context.view.catalogue))
    }

    /// Returns the number of requests in flight.
    pub fn in_flight(&self) -> usize {
        self.pending.len()
    }

    /// Removes a request whose response was relayed or whose caller disconnected.
    pub fn remove(&mut self, request: RequestKey) {
        self.pending.remove(&request);
    }

    /// Chooses an owner for another attempt and subtracts it from the retry budget.
    fn place_retry(
        &mut self,
        pending: &mut PendingRequest,
        context: &RoutingContext<'_>,
    ) -> Result<UpstreamOwner, Rejection> {
        let (service, class) = (pending.service(), pending.class());
        if !self.retry_budgets.allows_retry(service, class) {
            let reason = RejectionReason::RetryBudget;
            return Err(Rejection { reason, retry_after_ms: RETRY_AFTER_MS });
        }
        let owner = self.placement.place(pending, context)?;
        self.retry_budgets.spend_retry(service, class);
        Ok(owner)
    }

    /// Retries a request whose attempts have all ended, or concludes it.
    fn retry_or_conclude(
        &mut self,
        request: RequestKey,
        context: RoutingContext<'_>,
        out: &mut Outbox,
    ) -> Option<ConcludedRequest> {
        let mut pending = self.pending.remove(&request)?;
        let remaining_ms = pending.deadline_at_ms().saturating_sub(context.view.now_ms);
        let mut retry_rejection = None;
        if pending.may_retry() && remaining_ms >= MIN_RETRY_TIME_MS {
            match self.place_retry(&mut pending, &context) {
                Ok(owner) => {
                    pending.send_attempt(request, owner, context.view.revision, out);
                    self.pending.insert(request, pending);
                    return None;
                }
                Err(rejection) => retry_rejection = Some(rejection),
            }
        }
        if pending.may_have_run() {
            let outcome = Outcome::Unknown { retry_after_ms: RETRY_AFTER_MS };
            return Some(ConcludedRequest { request, outcome });
        }
        let refusal = pending.rejection().or(retry_rejection).unwrap_or(Rejection {
            reason: RejectionReason::Deadline,
            retry_after_ms: RETRY_AFTER_MS,
        });
        let outcome = Outcome::NotRun {
            refusal,
            others: self.look_ups.alternatives(pending.service(), pending.source(), &context.view),
        };
        Some(ConcludedRequest { request, outcome })
    }

    fn conclude_not_run(
        &mut self,
        request: RequestKey,
        service: ServiceKey,
        head: &RequestHead,
        refusal: Rejection,
        context: &RoutingContext<'_>,
    ) -> ConcludedRequest {
        let others = self.look_ups.alternatives(service, head.source, &context.view);
        ConcludedRequest { request, outcome: Outcome::NotRun { refusal, others } }
    }
}

/// The result of a failed check of a request on arrival.
enum CheckFailure {
    /// The outcome, which a retry doesn't change.
    Final(Outcome),
    /// The reason for the outcome *not run*, which may be temporary.
    NotRun(RejectionReason),
}

fn check_request<'a>(
    service: ServiceKey,
    head: &RequestHead,
    view: &SystemView<'a>,
) -> Result<(&'a ServiceEntry, Class), CheckFailure> {
    if !view.configuration_ready {
        return Err(CheckFailure::NotRun(RejectionReason::NotReady));
    }
    if view.catalogue.rejected_services.contains(&service) || head.revision_seen > view.revision {
        return Err(CheckFailure::NotRun(RejectionReason::Configuration));
    }
    let Some(entry) = view.catalogue.services.get(&service) else {
        return Err(CheckFailure::Final(Outcome::NoService));
    };
    let Some(class) = view.catalogue.class_of_key(head.key_digest) else {
        return Err(CheckFailure::Final(Outcome::UnknownOrganisation));
    };
    if entry.once_only && head.deduplication == Deduplication::Repeatable {
        return Err(CheckFailure::Final(Outcome::KeyRequired));
    }
    if head.deadline_at_ms <= view.now_ms {
        return Err(CheckFailure::NotRun(RejectionReason::Deadline));
    }
    Ok((entry, class))
}

/// Returns whether a request's service and organisation are known; only then may it cause a write
/// to the table.
pub fn service_and_caller_known(head: &RequestHead, catalogue: &Catalogue) -> bool {
    catalogue.services.contains_key(&ServiceKey::of(&head.service))
        && catalogue.class_of_key(head.key_digest).is_some()
}
