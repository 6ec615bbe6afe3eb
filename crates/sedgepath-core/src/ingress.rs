//! The ingress side of a request, from its arrival to its single outcome.
//!
//! A request gets exactly one outcome, when it is decided. *Not run* requires proof for each attempt:
//! it was never sent, or was refused before its start. A hop that broke or timed out proves nothing,
//! since the request may still run. Such a request is retried only if a second run is harmless, and
//! otherwise ends *unknown*.
//!
//! [`Ingress::begin`] is the entry for every request that may run. Each method returns the
//! [`Conclusion`] that it reached, so that the once-only system sees every outcome before the caller
//! does.

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
mod places;

use pending::Pending;
pub use places::Places;

/// The retry time told to a caller whose request could not be placed. By then an unresponsive member
/// has been suspected or heard from again.
const RETRY_AFTER_MS: u64 = 500;

/// The minimum time before the deadline for another attempt.
const LEAST_REMAINING_MS: u64 = 5;

/// A request that ends without a relayed answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Conclusion {
    /// The request.
    pub request: RequestKey,
    /// The final outcome.
    pub outcome: Outcome,
}

/// The state of other systems that the ingress decides by.
#[derive(Debug, Clone, Copy)]
pub struct Means<'a> {
    /// The node's view of the configuration and its peers.
    pub view: SystemView<'a>,
    /// The policy that ranks failure domains.
    pub policy: &'a dyn SteeringPolicy,
}

/// The requests that this node serves as ingress.
#[derive(Debug)]
pub struct Ingress {
    pending: Map<RequestKey, Pending>,
    budgets: RetryBudgets,
    look_ups: LookUpCache,
    places: Places,
}

impl Ingress {
    /// Creates an ingress without requests; `seed` determines its random choices.
    pub fn new(seed: u64) -> Self {
        Self {
            pending: Map::default(),
            budgets: RetryBudgets::default(),
            look_ups: LookUpCache::default(),
            places: Places::new(seed),
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
        means: Means<'_>,
        out: &mut Outbox,
    ) -> Option<Conclusion> {
        let service = ServiceKey::of(&head.service);
        let (entry, class) = match admit(service, head, &means.view) {
            Ok(_) if !self.places.is_ready() => {
                let refusal =
                    Rejection { reason: RejectionReason::NotReady, retry_after_ms: RETRY_AFTER_MS };
                return Some(self.not_run(request, service, head, refusal, &means));
            }
            Ok(admitted) => admitted,
            Err(Denied::Outcome(outcome)) => return Some(Conclusion { request, outcome }),
            Err(Denied::NotRun(reason)) => {
                let refusal = Rejection { reason, retry_after_ms: RETRY_AFTER_MS };
                return Some(self.not_run(request, service, head, refusal, &means));
            }
        };
        self.budgets.earn(service, class);
        let mut pending = Pending::new(head, service, class, &means.view, entry);
        match self.places.place(&mut pending, &means) {
            Ok(owner) => {
                pending.send(request, owner, means.view.revision, out);
                self.pending.insert(request, pending);
                None
            }
            Err(refusal) => Some(self.not_run(request, service, head, refusal, &means)),
        }
    }

    /// Relays the answer of an attempt and abandons the other attempts.
    pub fn hop_answered(&mut self, request: RequestKey, attempt: u32, out: &mut Outbox) {
        let Some(pending) = self.pending.get_mut(&request) else {
            return;
        };
        if pending.take_attempt(attempt).is_none() {
            return;
        }
        pending.abandon_all(request, out);
        out.push(Action::RelayResponse { request, attempt });
    }

    /// Handles an attempt that ended without an answer: retries the request where that is safe, and
    /// otherwise concludes it.
    pub fn hop_ended(
        &mut self,
        request: RequestKey,
        attempt: u32,
        end: HopFailure,
        means: Means<'_>,
        out: &mut Outbox,
    ) -> Option<Conclusion> {
        let pending = self.pending.get_mut(&request)?;
        let ended = pending.take_attempt(attempt)?;
        pending.note_end(ended, end);
        if pending.in_flight() > 0 {
            return None;
        }
        self.try_again(request, means, out)
    }

    /// Gives up attempts whose owner is suspected, and requests whose deadline has passed.
    pub fn tick(&mut self, means: Means<'_>, out: &mut Outbox) -> Vec<Conclusion> {
        let now_ms = means.view.now_ms;
        self.look_ups.drop_stale_lists(&means.view);
        self.places.tick(&means, out);
        let mut due: Vec<_> = self
            .pending
            .iter()
            .filter(|(_, pending)| pending.is_due(&means.view))
            .map(|(request, _)| *request)
            .collect();
        due.sort_unstable();
        let mut concluded = Vec::new();
        for request in due {
            let Some(pending) = self.pending.get_mut(&request) else { continue };
            if pending.deadline_at_ms() <= now_ms {
                pending.give_up_all(request, out);
            } else {
                pending.give_up_silent(request, &means.view, out);
            }
            if pending.in_flight() == 0 {
                concluded.extend(self.try_again(request, means, out));
            }
        }
        concluded
    }

    /// Returns the placement of requests, which holds the current shares.
    pub fn places_mut(&mut self) -> &mut Places {
        &mut self.places
    }

    /// Returns the current shares of an origin group's traffic, if this node has had any.
    pub fn standing(
        &self,
        service: ServiceKey,
        origin: OriginKey,
        means: &Means<'_>,
    ) -> Option<Vec<(DomainKey, f64)>> {
        self.places.standing(ShiftKey::of(service, origin, means.view.catalogue))
    }

    /// Returns the number of requests in flight.
    pub fn in_flight(&self) -> usize {
        self.pending.len()
    }

    /// Removes a request whose answer was relayed or whose caller disconnected.
    pub fn forget(&mut self, request: RequestKey) {
        self.pending.remove(&request);
    }

    /// Chooses an owner for another attempt and spends a retry of the budget.
    fn place_again(
        &mut self,
        pending: &mut Pending,
        means: &Means<'_>,
    ) -> Result<UpstreamOwner, Rejection> {
        let (service, class) = (pending.service(), pending.class());
        if !self.budgets.allow(service, class) {
            let reason = RejectionReason::RetryBudget;
            return Err(Rejection { reason, retry_after_ms: RETRY_AFTER_MS });
        }
        let owner = self.places.place(pending, means)?;
        self.budgets.spend(service, class);
        Ok(owner)
    }

    /// Retries a request whose attempts have all ended, or concludes it.
    fn try_again(
        &mut self,
        request: RequestKey,
        means: Means<'_>,
        out: &mut Outbox,
    ) -> Option<Conclusion> {
        let mut pending = self.pending.remove(&request)?;
        let left_ms = pending.deadline_at_ms().saturating_sub(means.view.now_ms);
        let mut refusal = None;
        if pending.may_repeat() && left_ms >= LEAST_REMAINING_MS {
            match self.place_again(&mut pending, &means) {
                Ok(owner) => {
                    pending.send(request, owner, means.view.revision, out);
                    self.pending.insert(request, pending);
                    return None;
                }
                Err(found) => refusal = Some(found),
            }
        }
        if pending.is_lost() {
            let outcome = Outcome::Unknown { retry_after_ms: RETRY_AFTER_MS };
            return Some(Conclusion { request, outcome });
        }
        let refusal = pending.refusal().or(refusal).unwrap_or(Rejection {
            reason: RejectionReason::Deadline,
            retry_after_ms: RETRY_AFTER_MS,
        });
        let outcome = Outcome::NotRun {
            refusal,
            others: self.look_ups.alternatives(pending.service(), pending.source(), &means.view),
        };
        Some(Conclusion { request, outcome })
    }

    fn not_run(
        &mut self,
        request: RequestKey,
        service: ServiceKey,
        head: &RequestHead,
        refusal: Rejection,
        means: &Means<'_>,
    ) -> Conclusion {
        let others = self.look_ups.alternatives(service, head.source, &means.view);
        Conclusion { request, outcome: Outcome::NotRun { refusal, others } }
    }
}

/// The rejection of a request on arrival.
enum Denied {
    /// A final outcome, which a retry doesn't change.
    Outcome(Outcome),
    /// Not run, for a reason that may be temporary.
    NotRun(RejectionReason),
}

fn admit<'a>(
    service: ServiceKey,
    head: &RequestHead,
    view: &SystemView<'a>,
) -> Result<(&'a ServiceEntry, Class), Denied> {
    if !view.configuration_ready {
        return Err(Denied::NotRun(RejectionReason::NotReady));
    }
    if view.catalogue.rejected_services.contains(&service) || head.revision_seen > view.revision {
        return Err(Denied::NotRun(RejectionReason::Configuration));
    }
    let Some(entry) = view.catalogue.services.get(&service) else {
        return Err(Denied::Outcome(Outcome::NoService));
    };
    let Some(class) = view.catalogue.class_of_key(head.key_digest) else {
        return Err(Denied::Outcome(Outcome::UnknownOrganisation));
    };
    if entry.once_only && head.deduplication == Deduplication::Repeatable {
        return Err(Denied::Outcome(Outcome::KeyRequired));
    }
    if head.deadline_at_ms <= view.now_ms {
        return Err(Denied::NotRun(RejectionReason::Deadline));
    }
    Ok((entry, class))
}

/// Returns whether a request's service and organisation are known; only then may it cause a write to
/// the table.
pub fn knows(head: &RequestHead, catalogue: &Catalogue) -> bool {
    catalogue.services.contains_key(&ServiceKey::of(&head.service))
        && catalogue.class_of_key(head.key_digest).is_some()
}
