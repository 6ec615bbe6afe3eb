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
    repeatable: bool,
    attempts: Vec<Attempt>,
    last_attempt: u32,
    domain_index: Option<usize>,
    failed_owners: Vec<VmKey>,
    may_have_run: bool,
    refusal: Option<Rejection>,
    answered: bool,
}

impl PendingRequest {
    pub(super) fn new(
        head: &RequestHead,
        service: ServiceKey,
        class: Class,
        view: &SystemView<'_>,
        entry: &ServiceEntry,
    ) -> Self {
        // The owner's lease of an upstream assumes the longest deadline of the record.
        let latest_ms = view.now_ms + entry.longest_deadline_ms;
        let once_only = head.deduplication != Deduplication::Repeatable;
        let repeatable = head.idempotent && !once_only;
        Self {
            service,
            origin: view.catalogue.origin_of_address(head.source),
            class,
            source: head.source,
            deadline_at_ms: head.deadline_at_ms.min(latest_ms),
            once_only,
            repeatable,
            attempts: Vec::new(),
            last_attempt: 0,
            domain_index: None,
            failed_owners: Vec::new(),
            may_have_run: false,
            refusal: None,
            answered: false,
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

    /// Returns the index of the failure domain whose share the request counts towards; `None` before
    /// its first attempt.
    pub(super) fn domain_index(&self) -> Option<usize> {
        self.domain_index
    }

    pub(super) fn set_domain_index(&mut self, home: usize) {
        self.domain_index = Some(home);
    }

    /// Returns whether an attempt has failed at an owner or is in flight there.
    pub(super) fn has_tried(&self, vm: VmKey) -> bool {
        self.failed_owners.contains(&vm) || self.attempts.iter().any(|attempt| attempt.vm == vm)
    }

    /// Returns whether an attempt ended without proof that it was not run.
    pub(super) fn may_have_run(&self) -> bool {
        self.may_have_run
    }

    /// Returns the rejection with the shortest retry time, if an attempt was refused.
    pub(super) fn refusal(&self) -> Option<Rejection> {
        self.refusal
    }

    pub(super) fn in_flight(&self) -> usize {
        self.attempts.len()
    }

    /// Returns whether another attempt is safe: all earlier ones were proved not run, or the request
    /// is idempotent and not once-only.
    pub(super) fn may_retry(&self) -> bool {
        self.repeatable || !self.may_have_run
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

    /// Removes an attempt from those in flight; returns `None` if it isn't one of them or the request
    /// was answered.
    pub(super) fn take_attempt(&mut self, number: u32) -> Option<Attempt> {
        if self.answered {
            return None;
        }
        let index = self.attempts.iter().position(|attempt| attempt.number == number)?;
        Some(self.attempts.remove(index))
    }

    /// Records the failure of an attempt.
    pub(super) fn record_failure(&mut self, attempt: Attempt, end: HopFailure) {
        self.failed_owners.push(attempt.vm);
        match end {
            HopFailure::Refused(refusal) => self.record_refusal(refusal),
            HopFailure::NotSent => self.record_refusal(Rejection {
                reason: RejectionReason::PeerUnreachable,
                retry_after_ms: super::RETRY_AFTER_MS,
            }),
            HopFailure::Lost => self.may_have_run = true,
        }
    }

    fn record_refusal(&mut self, refusal: Rejection) {
        let sooner = self.refusal.is_none_or(|known| refusal.retry_after_ms < known.retry_after_ms);
        if sooner {
            self.refusal = Some(refusal);
        }
    }

    /// Marks the request as answered and abandons the attempts in flight.
    pub(super) fn abandon_all(&mut self, request: RequestKey, out: &mut Outbox) {
        self.answered = true;
        for attempt in self.attempts.drain(..) {
            out.push(Action::CancelAttempt { request, attempt: attempt.number });
        }
    }

    /// Abandons all attempts in flight as lost, since they may still run.
    pub(super) fn give_up_all(&mut self, request: RequestKey, out: &mut Outbox) {
        for attempt in std::mem::take(&mut self.attempts) {
            out.push(Action::CancelAttempt { request, attempt: attempt.number });
            self.record_failure(attempt, HopFailure::Lost);
        }
    }

    /// Abandons the attempts at owners that are suspected or no longer members, as lost.
    ///
    /// A cut link doesn't close connections, so a request would otherwise wait for its deadline
    /// although other owners could serve it.
    pub(super) fn give_up_unresponsive(
        &mut self,
        request: RequestKey,
        view: &SystemView<'_>,
        out: &mut Outbox,
    ) {
        let silent = |attempt: &Attempt| is_unresponsive(attempt.vm, view);
        let (gone, kept) = std::mem::take(&mut self.attempts).into_iter().partition(silent);
        self.attempts = kept;
        for attempt in gone {
            out.push(Action::CancelAttempt { request, attempt: attempt.number });
            self.record_failure(attempt, HopFailure::Lost);
        }
    }

    /// Returns whether the deadline has passed or the owner of an attempt is unresponsive.
    pub(super) fn is_due(&self, view: &SystemView<'_>) -> bool {
        let silent = || self.attempts.iter().any(|attempt| is_unresponsive(attempt.vm, view));
        !self.answered && (self.deadline_at_ms <= view.now_ms || silent())
    }
}

fn is_unresponsive(vm: VmKey, view: &SystemView<'_>) -> bool {
    vm != view.identity.vm && view.membership.member(vm).is_none_or(|member| member.suspected)
}
