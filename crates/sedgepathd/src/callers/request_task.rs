//! Processes one request from its arrival to its outcome.

use std::collections::HashMap;
use std::sync::Arc;

use bytes::Bytes;
use sedgepath_core::deduplication;
use sedgepath_core::event::{Action, Event};
use sedgepath_core::key::RequestKey;
use sedgepath_core::request::{Deduplication, HopFailure, Outcome, RequestHead};
use sedgepath_wire::frame::{ExchangeId, HeaderField, HomeRequest, HttpRequestHead, PeerOperation};
use tokio::sync::mpsc;
use tokio::task::JoinHandle;

use super::collect::{Collected, collect};
use super::{CallerServer, request_id};
use crate::hop::{HopRequest, HopTarget};
use crate::reply::{Reply, UpstreamResponse};

/// The delay before a retry that is suggested to a caller whose request may have run, in milliseconds.
const UNKNOWN_RETRY_AFTER_MS: u64 = 500;

/// The outcome of a request that may have run.
const UNKNOWN: RequestResult =
    RequestResult::Outcome(Outcome::Unknown { retry_after_ms: UNKNOWN_RETRY_AFTER_MS });

/// The result of processing a request.
pub(super) enum RequestResult {
    /// An upstream's response, to be relayed to the caller.
    Response {
        /// The response.
        response: Box<UpstreamResponse>,
        /// The request that the response belongs to.
        request: RequestKey,
        /// The request's identifier for the log.
        id: Box<str>,
        /// Whether the node has already been told that the relay ended.
        end_reported: bool,
    },
    /// An outcome without an upstream's response.
    Outcome(Outcome),
    /// The final response of the home of the request's ticket, passed on unchanged.
    HomeResponse {
        /// The HTTP status.
        status: u16,
        /// The header fields.
        fields: Vec<HeaderField>,
        /// The body.
        body: Bytes,
    },
}

/// A request in flight, with its attempts and their replies.
pub(super) struct RequestTask {
    callers: Arc<CallerServer>,
    request: RequestKey,
    head: RequestHead,
    http: HttpRequestHead,
    body: Bytes,
    actions: mpsc::UnboundedReceiver<Action>,
    attempt_sender: mpsc::UnboundedSender<(u32, Reply)>,
    attempt_replies: mpsc::UnboundedReceiver<(u32, Reply)>,
    attempt_tasks: HashMap<u32, JoinHandle<()>>,
    responses: HashMap<u32, Box<UpstreamResponse>>,
    attempt_count: u32,
    arrived_at_ms: u64,
    outcome_decided: bool,
}

impl Drop for RequestTask {
    fn drop(&mut self) {
        for task in self.attempt_tasks.values() {
            task.abort();
        }
        if !self.outcome_decided {
            self.callers.handle.send_event(Event::CallerDisconnected { request: self.request });
        }
    }
}

impl RequestTask {
    /// Creates the task of a request and passes the request to the node.
    pub(super) fn new(
        callers: Arc<CallerServer>,
        head: RequestHead,
        http: HttpRequestHead,
        body: Bytes,
    ) -> Self {
        let arrived_at_ms = callers.handle.clock().now_ms();
        let (request, actions) = callers.handle.start_request(head.clone());
        let (attempt_sender, attempt_replies) = mpsc::unbounded_channel();
        Self {
            callers,
            request,
            head,
            http,
            body,
            actions,
            attempt_sender,
            attempt_replies,
            attempt_tasks: HashMap::new(),
            responses: HashMap::new(),
            attempt_count: 0,
            arrived_at_ms,
            outcome_decided: false,
        }
    }

    /// Processes the request until it has an outcome.
    ///
    /// A deduplicated request continues after its caller has disconnected: its response has to be
    /// stored for a repeat, whose outcome would otherwise be unknown.
    pub(super) async fn serve(self) -> RequestResult {
        if self.head.deduplication == Deduplication::Repeatable {
            return self.run().await;
        }
        tokio::spawn(self.run()).await.unwrap_or_else(|error| {
            log::error!("event=request_task_failed error={:?}", error.to_string());
            UNKNOWN
        })
    }

    async fn run(mut self) -> RequestResult {
        loop {
            tokio::select! {
                action = self.actions.recv() => match action {
                    Some(Action::RelayResponse { attempt, .. }) => {
                        if let Some(response) = self.responses.remove(&attempt) {
                            return self.finish_with_response(*response).await;
                        }
                    }
                    Some(Action::Conclude { outcome, .. }) => {
                        self.outcome_decided = true;
                        if self.attempt_count > 0 && matches!(outcome, Outcome::Unknown { .. }) {
                            self.log_given_up("response_lost");
                        }
                        return RequestResult::Outcome(outcome);
                    }
                    Some(action) => self.handle_action(action),
                    None => return self.node_ended_result(),
                },
                Some((attempt, reply)) = self.attempt_replies.recv() => {
                    // Dropping `self` reports the request as disconnected, so the node forgets it.
                    if let Reply::HomeResponse { status, fields, body } = reply {
                        return RequestResult::HomeResponse { status, fields, body };
                    }
                    self.handle_reply(attempt, reply);
                }
            }
        }
    }

    /// Returns the result of a request whose node has ended. An attempt that was started may run.
    fn node_ended_result(&self) -> RequestResult {
        self.log_given_up("process_ended");
        if self.attempt_count > 0 {
            return UNKNOWN;
        }
        RequestResult::Outcome(deduplication::node_ended(&self.head))
    }

    fn id(&self) -> Box<str> {
        request_id(&self.http.fields)
    }

    fn log_given_up(&self, reason: &str) {
        let id = self.id();
        let now_ms = self.callers.handle.clock().now_ms();
        log::info!(
            "event=gave_up request={id:?} reason={reason} service={:?} sendings={} took_ms={}",
            self.head.service,
            self.attempt_count,
            now_ms.saturating_sub(self.arrived_at_ms),
        );
    }

    async fn finish_with_response(mut self, response: UpstreamResponse) -> RequestResult {
        self.outcome_decided = true;
        let request = self.request;
        let id = self.id();
        if self.head.deduplication == Deduplication::Repeatable {
            let response = Box::new(response);
            return RequestResult::Response { response, request, id, end_reported: false };
        }
        let relay_ended = |whole, stored| Event::RelayEnded { request, whole, stored };
        match collect(response, &*self.http.method == "HEAD").await {
            Collected::Complete(response, stored) => {
                self.callers.handle.send_event(relay_ended(true, Some(stored)));
                RequestResult::Response { response, request, id, end_reported: true }
            }
            Collected::TooLarge(response) => {
                RequestResult::Response { response, request, id, end_reported: false }
            }
            Collected::Aborted => {
                self.callers.handle.send_event(relay_ended(false, None));
                UNKNOWN
            }
        }
    }

    fn handle_action(&mut self, action: Action) {
        match action {
            Action::Forward { attempt, to, address, dispatch, deadline_at_ms, .. } => {
                let target = HopTarget { vm: to, address, deadline_at_ms };
                self.start_attempt(attempt, target, PeerOperation::Run(dispatch));
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
                self.start_attempt(attempt, target, PeerOperation::ServeAsHome(home));
            }
            Action::CancelAttempt { attempt, .. } => {
                if let Some(task) = self.attempt_tasks.remove(&attempt) {
                    task.abort();
                }
                self.responses.remove(&attempt);
            }
            _ => {}
        }
    }

    fn start_attempt(&mut self, attempt: u32, target: HopTarget, operation: PeerOperation) {
        self.attempt_count += 1;
        let callers = &self.callers;
        let id =
            ExchangeId { ingress: callers.vm, boot: callers.boot, request: self.request, attempt };
        let head = self.http.clone();
        let request = HopRequest { id, operation, head, body: self.body.clone() };
        let hops = Arc::clone(&callers.hops);
        let sender = self.attempt_sender.clone();
        let task = tokio::spawn(async move {
            let reply = hops.send(target, request).await;
            // The receiver is gone if another attempt has decided the request's outcome.
            let _receiver_gone = sender.send((attempt, reply));
        });
        self.attempt_tasks.insert(attempt, task);
    }

    fn handle_reply(&mut self, attempt: u32, reply: Reply) {
        let request = self.request;
        let end = match reply {
            Reply::UpstreamResponse(response) => {
                let head = response.head.clone();
                self.responses.insert(attempt, response);
                self.callers.handle.send_event(Event::HopAnswered { request, attempt, head });
                return;
            }
            Reply::Rejected(refusal) => HopFailure::Refused(refusal),
            Reply::NotSent => HopFailure::NotSent,
            Reply::ResponseLost | Reply::HomeResponse { .. } => HopFailure::Lost,
        };
        self.callers.handle.send_event(Event::HopEnded { request, attempt, end });
    }
}
