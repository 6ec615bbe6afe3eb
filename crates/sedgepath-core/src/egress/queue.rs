//! The requests that wait for a slot of a service.

use crate::key::{ExchangeKey, UpstreamKey};
use crate::request::Class;

/// A request that waits.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Waiting {
    /// Its key.
    pub exchange: ExchangeKey,
    /// Its class.
    pub class: Class,
    /// Its deadline, in milliseconds.
    pub deadline_at_ms: u64,
    /// Since when it waits, in milliseconds.
    pub since_ms: u64,
    /// An upstream that it should avoid.
    pub avoid: Option<UpstreamKey>,
}

impl Waiting {
    fn order(&self) -> (Class, u64, ExchangeKey) {
        (self.class, self.deadline_at_ms, self.exchange)
    }

    /// Whether it is paid for.
    pub fn pays(&self) -> bool {
        self.class == Class::Paying
    }
}

/// Requests in the order in which they are served: by class, then by deadline.
#[derive(Debug, Default)]
pub struct Queue {
    waiting: Vec<Waiting>,
}

impl Queue {
    /// Adds a request at its place.
    pub fn push(&mut self, waiting: Waiting) {
        let place = self.waiting.partition_point(|other| other.order() < waiting.order());
        self.waiting.insert(place, waiting);
    }

    /// Returns the requests in order.
    pub fn waiting(&self) -> &[Waiting] {
        &self.waiting
    }

    /// Removes the request at a place.
    pub fn remove(&mut self, place: usize) -> Waiting {
        self.waiting.remove(place)
    }

    /// Removes a request if it waits here.
    pub fn remove_exchange(&mut self, exchange: ExchangeKey) -> Option<Waiting> {
        let place = self.waiting.iter().position(|waiting| waiting.exchange == exchange)?;
        Some(self.waiting.remove(place))
    }

    /// Removes the requests that `refuses` names; it is asked in order.
    pub fn drain_refused(&mut self, refuses: impl FnMut(&mut Waiting) -> bool) -> Vec<Waiting> {
        self.waiting.extract_if(.., refuses).collect()
    }

    /// Removes the last request of a group if more than so many wait.
    pub fn pop_above(&mut self, pays: bool, bound: u32) -> Option<Waiting> {
        let paying = self.paying() as usize;
        let (count, last) =
            if pays { (paying, paying) } else { (self.waiting.len() - paying, self.waiting.len()) };
        (count > bound as usize).then(|| self.waiting.remove(last - 1))
    }

    /// Returns the number of waiting requests that are paid for.
    pub fn paying(&self) -> u32 {
        self.waiting.partition_point(Waiting::pays) as u32
    }
}
