//! A request between its arrival and its outcome.

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

/// A request in flight, and what its attempts have shown so far.
#[derive(Debug)]
#[expect(clippy::struct_excessive_bools, reason = "each is a fact of its own")]
pub(super) struct Pending {
    service: ServiceKey,
    origin: OriginKey,
    class: Class,
    source: IpAddr,
    deadline_at_ms: u64,
    once_only: bool,
    repeatable: bool,
    attempts: Vec<Attempt>,
    last_attempt: u32,
    home: Option<usize>,
    failed: Vec<VmKey>,
    lost: bool,
    refusal: Option<Rejection>,
    answered: bool,
}

impl Pending {
    pub(super) fn new(
        head: &RequestHead,
        service: ServiceKey,
        class: Class,
        view: &SystemView<'_>,
        entry: &ServiceEntry,
    ) -> Self {
        // The owner's right to an upstream counts on the longest deadline that the record allows.
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
            home: None,
            failed: Vec::new(),
            lost: false,
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

    /// The index of the failure domain where the request counts; none before its first attempt.
    pub(super) fn home(&self) -> Option<usize> {
        self.home
    }

    pub(super) fn set_home(&mut self, home: usize) {
        self.home = Some(home);
    }

    /// Whether an attempt has failed at an owner or is in flight there.
    pub(super) fn has_tried(&self, vm: VmKey) -> bool {
        self.failed.contains(&vm) || self.attempts.iter().any(|attempt| attempt.vm == vm)
    }

    /// Whether an attempt ended without proof that the request was not run.
    pub(super) fn is_lost(&self) -> bool {
        self.lost
    }

    /// The refusal that lets the caller come back soonest.
    pub(super) fn refusal(&self) -> Option<Rejection> {
        self.refusal
    }

    pub(super) fn in_flight(&self) -> usize {
        self.attempts.len()
    }

    /// Whether one more attempt can do no harm: each earlier one has proved that it did not run, or
    /// the request is idempotent and not once-only.
    pub(super) fn may_repeat(&self) -> bool {
        self.repeatable || !self.lost
    }

    /// Sends the request to an owner.
    pub(super) fn send(
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

    /// Takes an attempt out of those in flight, if it is one of them.
    pub(super) fn take_attempt(&mut self, number: u32) -> Option<Attempt> {
        if self.answered {
            return None;
        }
        let index = self.attempts.iter().position(|attempt| attempt.number == number)?;
        Some(self.attempts.remove(index))
    }

    /// Notes what the end of an attempt has shown.
    pub(super) fn note_end(&mut self, attempt: Attempt, end: HopFailure) {
        self.failed.push(attempt.vm);
        match end {
            HopFailure::Refused(refusal) => self.note_refusal(refusal),
            HopFailure::NotSent => self.note_refusal(Rejection {
                reason: RejectionReason::PeerUnreachable,
                retry_after_ms: super::RETRY_AFTER_MS,
            }),
            HopFailure::Lost => self.lost = true,
        }
    }

    fn note_refusal(&mut self, refusal: Rejection) {
        let sooner = self.refusal.is_none_or(|known| refusal.retry_after_ms < known.retry_after_ms);
        if sooner {
            self.refusal = Some(refusal);
        }
    }

    /// Abandons the attempts in flight because another one has brought the answer.
    pub(super) fn abandon_all(&mut self, request: RequestKey, out: &mut Outbox) {
        self.answered = true;
        for attempt in self.attempts.drain(..) {
            out.push(Action::CancelAttempt { request, attempt: attempt.number });
        }
    }

    /// Gives up all attempts in flight; they may run on unseen.
    pub(super) fn give_up_all(&mut self, request: RequestKey, out: &mut Outbox) {
        for attempt in std::mem::take(&mut self.attempts) {
            out.push(Action::CancelAttempt { request, attempt: attempt.number });
            self.note_end(attempt, HopFailure::Lost);
        }
    }

    /// Gives up the attempts at owners that have gone silent.
    ///
    /// A cut link ends no connection: without this a request on it would wait for its deadline,
    /// although other owners could serve it.
    pub(super) fn give_up_silent(
        &mut self,
        request: RequestKey,
        view: &SystemView<'_>,
        out: &mut Outbox,
    ) {
        let silent = |attempt: &Attempt| is_silent(attempt.vm, view);
        let (gone, kept) = std::mem::take(&mut self.attempts).into_iter().partition(silent);
        self.attempts = kept;
        for attempt in gone {
            out.push(Action::CancelAttempt { request, attempt: attempt.number });
            self.note_end(attempt, HopFailure::Lost);
        }
    }

    /// Whether the request's deadline has passed or one of its owners has gone silent.
    pub(super) fn is_due(&self, view: &SystemView<'_>) -> bool {
        let silent = || self.attempts.iter().any(|attempt| is_silent(attempt.vm, view));
        !self.answered && (self.deadline_at_ms <= view.now_ms || silent())
    }
}

fn is_silent(vm: VmKey, view: &SystemView<'_>) -> bool {
    vm != view.identity.vm && view.membership.member(vm).is_none_or(|member| member.suspected)
}
