//! The queue of the requests that wait for a slot of a service.

use crate::key::{ExchangeKey, UpstreamKey};
use crate::request::Class;

/// A queued request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QueuedRequest {
    /// The key of the dispatch.
    pub exchange: ExchangeKey,
    /// The class, by which the queue is sorted first.
    pub class: Class,
    /// The deadline, in milliseconds.
    pub deadline_at_ms: u64,
    /// When the request was dispatched to this node, in milliseconds.
    pub queued_at_ms: u64,
    /// An upstream that must not get the request, since an earlier attempt failed there.
    pub avoid_upstream: Option<UpstreamKey>,
}

impl QueuedRequest {
    fn sort_key(&self) -> (Class, u64, ExchangeKey) {
        (self.class, self.deadline_at_ms, self.exchange)
    }

    /// Returns whether the request is of the paying class.
    pub fn is_paying(&self) -> bool {
        self.class == Class::Paying
    }
}

/// The queued requests in serving order: by class, then by deadline.
#[derive(Debug, Default)]
pub struct Queue {
    requests: Vec<QueuedRequest>,
}

impl Queue {
    /// Inserts a request in serving order.
    pub fn push(&mut self, request: QueuedRequest) {
        let index = self.requests.partition_point(|other| other.sort_key() < request.sort_key());
        self.requests.insert(index, request);
    }

    /// Returns the requests in serving order.
    pub fn requests(&self) -> &[QueuedRequest] {
        &self.requests
    }

    /// Removes and returns the request at an index.
    ///
    /// # Panics
    ///
    /// Panics if the index is out of bounds.
    pub fn remove(&mut self, index: usize) -> QueuedRequest {
        self.requests.remove(index)
    }

    /// Removes and returns the request of an exchange, if it is queued.
    pub fn remove_exchange(&mut self, exchange: ExchangeKey) -> Option<QueuedRequest> {
        let index = self.requests.iter().position(|request| request.exchange == exchange)?;
        Some(self.requests.remove(index))
    }

    /// Removes and returns the requests for which `rejects` returns true; it is called in serving
    /// order.
    pub fn remove_where(
        &mut self,
        rejects: impl FnMut(&mut QueuedRequest) -> bool,
    ) -> Vec<QueuedRequest> {
        self.requests.extract_if(.., rejects).collect()
    }

    /// Removes and returns the last paying request if `pays`, and otherwise the last other request,
    /// if more than `bound` of these are queued.
    pub fn pop_over_limit(&mut self, pays: bool, bound: u32) -> Option<QueuedRequest> {
        let paying = self.paying_count() as usize;
        let (count, last) = if pays {
            (paying, paying)
        } else {
            (self.requests.len() - paying, self.requests.len())
        };
        (count > bound as usize).then(|| self.requests.remove(last - 1))
    }

    /// Returns the number of queued paying requests.
    pub fn paying_count(&self) -> u32 {
        self.requests.partition_point(QueuedRequest::is_paying) as u32
    }
}
