//! The caller's side: from a request's arrival to its one outcome.
//!
//! A request gets exactly one outcome, at the moment it is decided. That it was *not run* is said
//! only with proof for each of its attempts: never sent, or refused before its start. A hop that
//! broke or timed out proves nothing, since the request may run although nobody hears of it: such a
//! request is sent again only if a second run does no harm, and otherwise ends *unknown*.
//!
//! [`Ingress::begin_request`] is the entry for every request that may run; each method returns the
//! [`Conclusion`] that it came to, so that the system that keeps once-only requests from running
//! twice sees every outcome before the caller does.

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

/// When a caller whose request could not be placed should come back, in milliseconds: by then a
/// silent member has been suspected or heard of again.
const RETRY_AFTER_MS: u64 = 500;

/// The least time that must be left for a further attempt, in milliseconds.
const LEAST_REMAINING_MS: u64 = 5;

/// The final outcome of a request that no answer is relayed for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Conclusion {
    /// The request.
    pub request: RequestKey,
    /// Its outcome.
    pub outcome: Outcome,
}

/// What the ingress decides by.
#[derive(Debug, Clone, Copy)]
pub struct Means<'a> {
    /// What the node knows.
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
    /// Creates an ingress without requests, whose random choices follow a seed.
    pub fn new(seed: u64) -> Self {
        Self {
            pending: Map::default(),
            budgets: RetryBudgets::default(),
            look_ups: LookUpCache::default(),
            places: Places::new(seed),
        }
    }

    /// Returns the lists of entry VMs that look-ups are answered from.
    pub fn look_ups_mut(&mut self) -> &mut LookUpCache {
        &mut self.look_ups
    }

    /// Sends a request to its first target, or concludes it at once.
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

    /// Relays the answer that an attempt has brought; the other attempts are abandoned.
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

    /// Takes in an attempt that ended without an answer: tries again where that is safe, else
    /// concludes the request.
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

    /// Gives up attempts whose owner has gone silent and requests whose deadline has passed.
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

    /// Returns where the traffic stands.
    pub fn places_mut(&mut self) -> &mut Places {
        &mut self.places
    }

    /// Returns where the traffic of an origin group stands, if any has come.
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

    /// Forgets a request whose answer has been relayed or whose caller has gone.
    pub fn forget(&mut self, request: RequestKey) {
        self.pending.remove(&request);
    }

    /// Finds the owner for a further attempt and pays for it out of the budget.
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

    /// Sends a request whose attempts have all ended once more, or concludes it.
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

/// Why a request is not let in.
enum Denied {
    /// With an outcome that says all.
    Outcome(Outcome),
    /// As not run, for a reason that may pass.
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

/// Whether a request's service and organisation are known, so that it may cost a write to the table.
pub fn knows(head: &RequestHead, catalogue: &Catalogue) -> bool {
    catalogue.services.contains_key(&ServiceKey::of(&head.service))
        && catalogue.class_of_key(head.key_digest).is_some()
}
