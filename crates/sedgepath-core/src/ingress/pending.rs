//! The state of a request between its arrival and its outcome.

use std::net::IpAddr;

use super::{
    Class, Deduplication, Dispatch, HopFailure, Rejection, RejectionReason, RequestHead,
    ServiceEntry, SystemView, UpstreamOwner,
};
use crate::event::Action;
use crate::key::{OriginKey, RequestKey, ServiceKey, VmKey};
use crate::outbox::Outbox;

/// An attempt in flight.
#[derive(Debug, Clone, Copy)]
pub(super) struct Attempt {
    number: u32,
    vm: VmKey,
}

/// A request in flight, with its attempts and their results so far.
#[derive(Debug)]
#[expect(clippy::struct_excessive_bools, reason = "the flags are independent")]
pub(super) struct PendingRequest {
    service: ServiceKey,
    origin: OriginKey,
    class: Class,
    source: IpAddr,
    deadline_at_ms: u64,
    once_only: bool,
    may_run_twice: bool,
    attempts: Vec<Attempt>,
    last_attempt: u32,
    domain_index: Option<usize>,
    failed_owners: Vec<VmKey>,
    may_have_run: bool,
    rejection: Option<Rejection>,
    has_response: bool,
}

impl PendingRequest {
    pub(super) fn new(
        head: &RequestHead,
        service: ServiceKey,
        class: Class,
        view: &SystemView<'_>,
        entry: &ServiceEntry,
    ) -> Self {
        // The leases of upstreams assume that no request runs longer than the service's longest
        // deadline.
        let latest_deadline_at_ms = view.now_ms + entry.longest_deadline_ms;
        let once_only = head.deduplication != Deduplication::Repeatable;
        let may_run_twice = head.idempotent && !once_only;
        Self {
            service,
            origin: view.catalogue.origin_of_address(head.source),
            class,
            source: head.source,
            deadline_at_ms: head.deadline_at_ms.min(latest_deadline_at_ms),
            once_only,
            may_run_twice,
            attempts: Vec::new(),
            last_attempt: 0,
            domain_index: None,
            failed_owners: Vec::new(),
            may_have_run: false,
            rejection: None,
            has_response: false,
        }
    }

    pub(super) fn service(&self) -> ServiceKey {
        self.service
    }

    pub(super) fn origin(&self) -> OriginKey {
        self.origin
    }

    pub(super) fn source(&self) -> IpAddr {
        self.source
    }

    pub(super) fn deadline_at_ms(&self) -> u64 {
        self.deadline_at_ms
    }

    pub(super) fn class(&self) -> Class {
        self.class
    }

    /// Returns the index of the failure domain whose share the request counts towards; `None`
    /// before its first attempt.
    pub(super) fn domain_index(&self) -> Option<usize> {
        self.domain_index
    }

    pub(super) fn set_domain_index(&mut self, index: usize) {
        self.domain_index = Some(index);
    }

    /// Returns whether an attempt has failed at a VM or is in flight there.
    pub(super) fn has_tried(&self, vm: VmKey) -> bool {
        self.failed_owners.contains(&vm) || self.attempts.iter().any(|attempt| attempt.vm == vm)
    }

    /// Returns whether an attempt ended without proof that the request was not run.
    pub(super) fn may_have_run(&self) -> bool {
        self.may_have_run
    }

    /// Returns the rejection with the shortest retry delay, if an attempt was rejected or not sent.
    pub(super) fn rejection(&self) -> Option<Rejection> {
        self.rejection
    }

    pub(super) fn in_flight(&self) -> usize {
        self.attempts.len()
    }

    /// Returns whether another attempt is safe: the request was certainly not run by any earlier
    /// one, or it is idempotent and not once-only.
    pub(super) fn may_retry(&self) -> bool {
        self.may_run_twice || !self.may_have_run
    }

    /// Sends a new attempt to an owner.
    pub(super) fn send_attempt(
        &mut self,
        request: RequestKey,
        owner: UpstreamOwner,
        revision: u64,
        out: &mut Outbox,
    ) {
        self.last_attempt += 1;
        self.attempts.push(Attempt { number: self.last_attempt, vm: owner.vm });
        out.push(Action::Forward {
            request,
            attempt: self.last_attempt,
            to: owner.vm,
            address: owner.address,
            dispatch: Dispatch {
                service: self.service,
                class: self.class,
                origin: self.origin,
                remaining_ms: self.deadline_at_ms.saturating_sub(out.now_ms()),
                once_only: self.once_only,
                avoid_upstream: None,
                revision,
            },
            deadline_at_ms: self.deadline_at_ms,
        });
    }

    /// Removes an attempt from those in flight; returns `None` if it isn't one of them or the
    /// request already has a response.
    pub(super) fn take_attempt(&mut self, number: u32) -> Option<Attempt> {
        if self.has_response {
            return None;
        }
        let index = self.attempts.iter().position(|attempt| attempt.number == number)?;
        Some(self.attempts.remove(index))
    }

    /// Records the failure of an attempt.
    pub(super) fn record_failure(&mut self, attempt: Attempt, failure: HopFailure) {
        self.failed_owners.push(attempt.vm);
        match failure {
            HopFailure::Refused(rejection) => self.record_rejection(rejection),
            HopFailure::NotSent => self.record_rejection(Rejection {
                reason: RejectionReason::PeerUnreachable,
                retry_after_ms: super::RETRY_AFTER_MS,
            }),
            HopFailure::Lost => self.may_have_run = true,
        }
    }

    fn record_rejection(&mut self, rejection: Rejection) {
        let is_sooner = self
            .rejection
            .is_none_or(|earliest| rejection.retry_after_ms < earliest.retry_after_ms);
        if is_sooner {
            self.rejection = Some(rejection);
        }
    }

    /// Records that the request has a response and cancels the attempts in flight.
    pub(super) fn cancel_all(&mut self, request: RequestKey, out: &mut Outbox) {
        self.has_response = true;
        for attempt in self.attempts.drain(..) {
            out.push(Action::CancelAttempt { request, attempt: attempt.number });
        }
    }

    /// Cancels all attempts in flight and records them as lost, since they may still run.
    pub(super) fn time_out_all(&mut self, request: RequestKey, out: &mut Outbox) {
        for attempt in std::mem::take(&mut self.attempts) {
            out.push(Action::CancelAttempt { request, attempt: attempt.number });
            self.record_failure(attempt, HopFailure::Lost);
        }
    }

    /// Cancels the attempts at owners that are suspected or no longer members, and records them as
    /// lost.
    ///
    /// A broken link doesn't close connections, so a request would otherwise wait for its deadline
    /// although other owners could serve it.
    pub(super) fn time_out_unresponsive(
        &mut self,
        request: RequestKey,
        view: &SystemView<'_>,
        out: &mut Outbox,
    ) {
        let is_at_unresponsive = |attempt: &Attempt| is_unresponsive(attempt.vm, view);
        let (unresponsive, remaining) =
            std::mem::take(&mut self.attempts).into_iter().partition(is_at_unresponsive);
        self.attempts = remaining;
        for attempt in unresponsive {
            out.push(Action::CancelAttempt { request, attempt: attempt.number });
            self.record_failure(attempt, HopFailure::Lost);
        }
    }

    /// Returns whether the deadline has passed or the owner of an attempt is unresponsive.
    pub(super) fn is_due(&self, view: &SystemView<'_>) -> bool {
        let has_unresponsive =
            || self.attempts.iter().any(|attempt| is_unresponsive(attempt.vm, view));
        !self.has_response && (self.deadline_at_ms <= view.now_ms || has_unresponsive())
    }
}

fn is_unresponsive(vm: VmKey, view: &SystemView<'_>) -> bool {
    vm != view.identity.vm && view.membership.member(vm).is_none_or(|member| member.suspected)
}
