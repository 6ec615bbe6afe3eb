//! One caller's request from its arrival to its outcome.

use std::collections::HashMap;
use std::sync::Arc;

use bytes::Bytes;
use http_body_util::combinators::UnsyncBoxBody;
use hyper::header::HeaderValue;
use hyper::{Response, StatusCode};
use sedgepath_core::event::{Action, Event};
use sedgepath_core::key::RequestKey;
use sedgepath_core::request::HopEnd;
use sedgepath_wire::frame::{ExchangeId, HttpRequestHead, Purpose};
use tokio::sync::mpsc;
use tokio::task::JoinHandle;

use super::Callers;
use super::answers::{ResponseBody, conclude, refused};
use super::relay::RelayBody;
use crate::hop::{HopRequest, HopTarget};
use crate::reply::{Answer, Reply};

/// One request on its way to its outcome.
pub(super) struct Serving<'a> {
    pub(super) callers: &'a Callers,
    pub(super) request: RequestKey,
    pub(super) http: HttpRequestHead,
    pub(super) body: Bytes,
    pub(super) actions: mpsc::UnboundedReceiver<Action>,
    pub(super) attempt_sender: mpsc::UnboundedSender<(u32, Reply)>,
    pub(super) attempts: mpsc::UnboundedReceiver<(u32, Reply)>,
    pub(super) running: HashMap<u32, JoinHandle<()>>,
    pub(super) replies: HashMap<u32, Box<Answer>>,
    pub(super) concluded: bool,
}

impl Drop for Serving<'_> {
    fn drop(&mut self) {
        for task in self.running.values() {
            task.abort();
        }
        if !self.concluded {
            self.callers.handle.event(Event::CallerGone { request: self.request });
        }
    }
}

impl Serving<'_> {
    pub(super) async fn run(mut self) -> Response<ResponseBody> {
        loop {
            tokio::select! {
                action = self.actions.recv() => match action {
                    Some(Action::Relay { attempt, .. }) => {
                        if let Some(answer) = self.replies.remove(&attempt) {
                            return self.relay(*answer);
                        }
                    }
                    Some(Action::Conclude { outcome, .. }) => {
                        self.concluded = true;
                        return conclude(&outcome, self.callers.handle.clock().now_ms());
                    }
                    Some(action) => self.act(action),
                    None => return refused(StatusCode::SERVICE_UNAVAILABLE, "not_ready"),
                },
                Some((attempt, reply)) = self.attempts.recv() => self.replied(attempt, reply),
            }
        }
    }

    fn act(&mut self, action: Action) {
        match action {
            Action::Forward { attempt, to, address, dispatch, deadline_at_ms, .. } => {
                let target = HopTarget { vm: to, address, deadline_at_ms };
                self.attempt(attempt, target, Purpose::Run(dispatch));
            }
            Action::Abandon { attempt, .. } => {
                if let Some(task) = self.running.remove(&attempt) {
                    task.abort();
                }
                self.replies.remove(&attempt);
            }
            _ => {}
        }
    }

    fn attempt(&mut self, attempt: u32, target: HopTarget, purpose: Purpose) {
        let callers = self.callers;
        let id =
            ExchangeId { from: callers.vm, boot: callers.boot, request: self.request, attempt };
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
            Reply::Refused(refusal) => HopEnd::Refused(refusal),
            Reply::NotSent => HopEnd::NotSent,
            Reply::Lost | Reply::Concluded { .. } => HopEnd::Lost,
        };
        self.callers.handle.event(Event::HopEnded { request, attempt, end });
    }

    fn relay(mut self, answer: Answer) -> Response<ResponseBody> {
        self.concluded = true;
        let status = StatusCode::from_u16(answer.head.status).unwrap_or(StatusCode::BAD_GATEWAY);
        let body = RelayBody {
            parts: answer.body,
            left_bytes: answer.http.body_bytes,
            handle: self.callers.handle.clone(),
            request: self.request,
            ended: false,
        };
        let mut response = Response::new(UnsyncBoxBody::new(body));
        *response.status_mut() = status;
        let headers = response.headers_mut();
        for (name, value) in &answer.http.fields {
            let name = hyper::header::HeaderName::from_bytes(name.as_bytes());
            if let (Ok(name), Ok(value)) = (name, HeaderValue::from_bytes(value)) {
                headers.append(name, value);
            }
        }
        headers.insert("sedgepath-outcome", HeaderValue::from_static("answered"));
        if let Ok(name) = HeaderValue::from_str(&self.callers.name) {
            headers.insert("sedgepath-entry-vm", name);
        }
        response
    }
}
