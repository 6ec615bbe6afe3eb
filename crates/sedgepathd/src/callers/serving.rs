//! One caller's request from its arrival to its outcome.

use std::collections::HashMap;
use std::sync::Arc;

use bytes::Bytes;
use sedgepath_core::event::{Action, Event};
use sedgepath_core::key::RequestKey;
use sedgepath_core::request::{Deduplication, HopFailure, Outcome, RequestHead};
use sedgepath_wire::frame::{ExchangeId, HeaderField, HomeRequest, HttpRequestHead, PeerOperation};
use tokio::sync::mpsc;
use tokio::task::JoinHandle;

use super::Callers;
use super::collect::{Collected, collect};
use crate::hop::{HopRequest, HopTarget};
use crate::reply::{Answer, Reply};

/// When to ask again for an action whose answer broke off, in milliseconds.
const RETRY_AFTER_MS: u64 = 500;

/// What a request came to.
pub(super) enum Served {
    /// An answer of an upstream; the node knows of its end if it `is_ended`.
    Answer {
        /// The answer.
        answer: Box<Answer>,
        /// The request.
        request: RequestKey,
        /// Whether the node has been told how the relay ended.
        is_ended: bool,
    },
    /// An outcome without an answer.
    Outcome(Outcome),
    /// The word of the home of the request's ticket, passed on as it is.
    Passed {
        /// The HTTP status.
        status: u16,
        /// The header.
        fields: Vec<HeaderField>,
        /// The body.
        body: Bytes,
    },
    /// The process is about to end.
    Stopping,
}

/// One request on its way to its outcome.
pub(super) struct Serving {
    callers: Arc<Callers>,
    request: RequestKey,
    head: RequestHead,
    http: HttpRequestHead,
    body: Bytes,
    actions: mpsc::UnboundedReceiver<Action>,
    attempt_sender: mpsc::UnboundedSender<(u32, Reply)>,
    attempts: mpsc::UnboundedReceiver<(u32, Reply)>,
    running: HashMap<u32, JoinHandle<()>>,
    replies: HashMap<u32, Box<Answer>>,
    concluded: bool,
}

impl Drop for Serving {
    fn drop(&mut self) {
        for task in self.running.values() {
            task.abort();
        }
        if !self.concluded {
            self.callers.handle.event(Event::CallerDisconnected { request: self.request });
        }
    }
}

impl Serving {
    /// Hands a request to the node.
    pub(super) fn new(
        callers: Arc<Callers>,
        head: RequestHead,
        http: HttpRequestHead,
        body: Bytes,
    ) -> Self {
        let (request, actions) = callers.handle.request(head.clone());
        let (attempt_sender, attempts) = mpsc::unbounded_channel();
        Self {
            callers,
            request,
            head,
            http,
            body,
            actions,
            attempt_sender,
            attempts,
            running: HashMap::new(),
            replies: HashMap::new(),
            concluded: false,
        }
    }

    /// Carries the request to its outcome.
    ///
    /// A once-only request goes on when its caller has gone: what became of it has to be learnt and
    /// kept for the repeat, which would end *unknown* otherwise.
    pub(super) async fn serve(self) -> Served {
        if self.head.deduplication == Deduplication::Repeatable {
            return self.run().await;
        }
        tokio::spawn(self.run()).await.unwrap_or(Served::Stopping)
    }

    async fn run(mut self) -> Served {
        loop {
            tokio::select! {
                action = self.actions.recv() => match action {
                    Some(Action::RelayResponse { attempt, .. }) => {
                        if let Some(answer) = self.replies.remove(&attempt) {
                            return self.answered(*answer).await;
                        }
                    }
                    Some(Action::Conclude { outcome, .. }) => {
                        self.concluded = true;
                        return Served::Outcome(outcome);
                    }
                    Some(action) => self.act(action),
                    None => return Served::Stopping,
                },
                Some((attempt, reply)) = self.attempts.recv() => {
                    // The node forgets the request when this is dropped.
                    if let Reply::Concluded { status, fields, body } = reply {
                        return Served::Passed { status, fields, body };
                    }
                    self.replied(attempt, reply);
                }
            }
        }
    }

    async fn answered(mut self, answer: Answer) -> Served {
        self.concluded = true;
        let request = self.request;
        if self.head.deduplication == Deduplication::Repeatable {
            return Served::Answer { answer: Box::new(answer), request, is_ended: false };
        }
        let ended = |whole, stored| Event::RelayEnded { request, whole, stored };
        match collect(answer, &*self.http.method == "HEAD").await {
            Collected::Whole(answer, stored) => {
                self.callers.handle.event(ended(true, Some(stored)));
                Served::Answer { answer, request, is_ended: true }
            }
            Collected::Large(answer) => Served::Answer { answer, request, is_ended: false },
            Collected::Broken => {
                self.callers.handle.event(ended(false, None));
                Served::Outcome(Outcome::Unknown { retry_after_ms: RETRY_AFTER_MS })
            }
        }
    }

    fn act(&mut self, action: Action) {
        match action {
            Action::Forward { attempt, to, address, dispatch, deadline_at_ms, .. } => {
                let target = HopTarget { vm: to, address, deadline_at_ms };
                self.attempt(attempt, target, PeerOperation::Run(dispatch));
            }
            Action::ForwardHome { attempt, to, boot, address, deadline_at_ms, .. } => {
                let target = HopTarget { vm: to, address, deadline_at_ms };
                let now_ms = self.callers.handle.clock().now_ms();
                let home = HomeRequest {
                    boot,
                    service: self.head.service.clone(),
                    caller_ip: self.head.source,
                    key_digest: self.head.key_digest,
                    remaining_ms: deadline_at_ms.saturating_sub(now_ms),
                    deduplication: self.head.deduplication,
                    attempt: self.head.attempt,
                    digest: self.head.digest,
                };
                self.attempt(attempt, target, PeerOperation::ServeAsHome(home));
            }
            Action::CancelAttempt { attempt, .. } => {
                if let Some(task) = self.running.remove(&attempt) {
                    task.abort();
                }
                self.replies.remove(&attempt);
            }
            _ => {}
        }
    }

    fn attempt(&mut self, attempt: u32, target: HopTarget, purpose: PeerOperation) {
        let callers = &self.callers;
        let id =
            ExchangeId { ingress: callers.vm, boot: callers.boot, request: self.request, attempt };
        let request = HopRequest { id, purpose, head: self.http.clone(), body: self.body.clone() };
        let hops = Arc::clone(&callers.hops);
        let sender = self.attempt_sender.clone();
        let task = tokio::spawn(async move {
            let reply = hops.send(target, request).await;
            // The request may have got its outcome from another attempt.
            let _unread = sender.send((attempt, reply));
        });
        self.running.insert(attempt, task);
    }

    fn replied(&mut self, attempt: u32, reply: Reply) {
        let request = self.request;
        let end = match reply {
            Reply::Answer(answer) => {
                let head = answer.head.clone();
                self.replies.insert(attempt, answer);
                self.callers.handle.event(Event::HopAnswered { request, attempt, head });
                return;
            }
            Reply::Refused(refusal) => HopFailure::Refused(refusal),
            Reply::NotSent => HopFailure::NotSent,
            Reply::Lost | Reply::Concluded { .. } => HopFailure::Lost,
        };
        self.callers.handle.event(Event::HopEnded { request, attempt, end });
    }
}
