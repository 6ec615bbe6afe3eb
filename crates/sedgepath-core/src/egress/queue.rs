//! The queue of the requests that wait for a slot of a service.

use crate::key::{ExchangeKey, UpstreamKey};
use crate::request::Class;

/// A queued request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Waiting {
    /// The key of the dispatch.
    pub exchange: ExchangeKey,
    /// The class, which comes first in the order of the queue.
    pub class: Class,
    /// The deadline, in milliseconds.
    pub deadline_at_ms: u64,
    /// When the request was queued, in milliseconds.
    pub since_ms: u64,
    /// An upstream where the request has failed and which it avoids.
    pub avoid: Option<UpstreamKey>,
}

impl Waiting {
    fn order(&self) -> (Class, u64, ExchangeKey) {
        (self.class, self.deadline_at_ms, self.exchange)
    }

    /// Returns whether the request is of the paying class.
    pub fn pays(&self) -> bool {
        self.class == Class::Paying
    }
}

/// The queued requests in serving order: by class, then by deadline.
#[derive(Debug, Default)]
pub struct Queue {
    waiting: Vec<Waiting>,
}

impl Queue {
    /// Inserts a request in serving order.
    pub fn push(&mut self, waiting: Waiting) {
        let place = self.waiting.partition_point(|other| other.order() < waiting.order());
        self.waiting.insert(place, waiting);
    }

    /// Returns the requests in serving order.
    pub fn waiting(&self) -> &[Waiting] {
        &self.waiting
    }

    /// Removes the request at an index.
    ///
    /// # Panics
    ///
    /// Panics if the index is out of bounds.
    pub fn remove(&mut self, place: usize) -> Waiting {
        self.waiting.remove(place)
    }

    /// Removes the request of an exchange, if it is queued.
    pub fn remove_exchange(&mut self, exchange: ExchangeKey) -> Option<Waiting> {
        let place = self.waiting.iter().position(|waiting| waiting.exchange == exchange)?;
        Some(self.waiting.remove(place))
    }

    /// Removes the requests for which `refuses` returns true; it is called in serving order.
    pub fn drain_refused(&mut self, refuses: impl FnMut(&mut Waiting) -> bool) -> Vec<Waiting> {
        self.waiting.extract_if(.., refuses).collect()
    }

    /// Removes the last paying request, or the last of the others, if more than `bound` of that group
    /// are queued.
    pub fn pop_above(&mut self, pays: bool, bound: u32) -> Option<Waiting> {
        let paying = self.paying() as usize;
        let (count, last) =
            if pays { (paying, paying) } else { (self.waiting.len() - paying, self.waiting.len()) };
        (count > bound as usize).then(|| self.waiting.remove(last - 1))
    }

    /// Returns the number of queued paying requests.
    pub fn paying(&self) -> u32 {
        self.waiting.partition_point(Waiting::pays) as u32
    }
}
