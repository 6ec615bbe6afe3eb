//! The bytes of a caller's connection, split where its requests end.

use std::collections::VecDeque;

use bytes::{Bytes, BytesMut};
use hyper::http;

use super::head_end::HeadEndSearch;
use super::plain_head;

/// Bytes that are read within this time have the same arrival time, in milliseconds. Bounds what is kept of
/// a caller that sends single bytes.
pub const ARRIVAL_RESOLUTION_MS: u64 = 5;

/// What the next byte that hyper gets belongs to.
#[derive(Debug)]
enum Position {
    /// The head of the next request.
    Head(HeadEndSearch),
    /// Nothing: hyper has a complete head, and reports the request before it reads further.
    BehindHead,
    /// The body of the request in progress.
    Body {
        /// The number of bytes up to the body's end.
        left: u64,
    },
    /// Not known, for the rest of the connection.
    Unknown,
}

/// When bytes were read from the socket.
#[derive(Debug, Clone, Copy)]
struct Arrival {
    /// The position behind the last byte.
    end: u64,
    at_ms: u64,
}

/// The search for heads behind the request in progress.
#[derive(Debug, Default)]
struct Search {
    head_start: u64,
    searched_to: u64,
    head_end: HeadEndSearch,
    /// Whether the head that starts here isn't plain, so that nothing behind it may be started.
    has_stopped: bool,
}

impl Search {
    fn starting_at(position: u64) -> Self {
        Self { head_start: position, searched_to: position, ..Self::default() }
    }
}

/// The head of a plain request behind the one in progress.
#[derive(Debug)]
pub struct FoundHead {
    /// The head, as the request's handler gets it.
    pub parts: http::request::Parts,
    /// The position in the connection's bytes behind the head.
    pub end: u64,
    /// When the head was complete, in milliseconds.
    pub arrived_at_ms: u64,
}

/// A request that hyper has reached.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReachedHead {
    /// The position in the connection's bytes behind the head; `None` if it isn't known.
    pub end: Option<u64>,
    /// When the head was complete, in milliseconds, if the request has waited for its turn.
    pub arrived_at_ms: Option<u64>,
}

/// The bytes of a connection that were read from the socket and that hyper hasn't got yet.
///
/// hyper gets the bytes up to the end of a head, and those of the next request only when the response to
/// this one is ready.
#[derive(Debug)]
pub struct RequestStream {
    buffer: BytesMut,
    arrivals: VecDeque<Arrival>,
    /// The number of bytes that hyper has got.
    passed: u64,
    position: Position,
    /// When the head that hyper has got was complete, in milliseconds, if it waited in the buffer.
    head_arrived_at_ms: Option<u64>,
    /// Whether a request is in progress.
    is_busy: bool,
    /// Whether the body of the request in progress, or of the last one, is known to have been read to its end.
    is_body_read: bool,
    /// Whether requests behind the one in progress may be started.
    allows_search: bool,
    search: Search,
}

impl Default for RequestStream {
    fn default() -> Self {
        Self {
            buffer: BytesMut::new(),
            arrivals: VecDeque::new(),
            passed: 0,
            position: Position::Head(HeadEndSearch::default()),
            head_arrived_at_ms: None,
            is_busy: false,
            is_body_read: false,
            allows_search: false,
            search: Search::default(),
        }
    }
}

impl RequestStream {
    /// Returns the number of buffered bytes.
    pub fn buffered_bytes(&self) -> usize {
        self.buffer.len()
    }

    /// Returns whether hyper may get more bytes now. Else they belong to the next request.
    pub fn may_pass(&self) -> bool {
        !(self.is_busy && matches!(self.position, Position::Head(_)))
    }

    /// Returns how many of the next bytes hyper may get, without moving the position.
    pub fn passable_bytes(&self, bytes: &[u8]) -> usize {
        match self.position {
            Position::Head(mut head_end) => head_end.find_in(bytes).unwrap_or(bytes.len()),
            Position::Body { left } => usize::try_from(left).unwrap_or(usize::MAX).min(bytes.len()),
            Position::BehindHead | Position::Unknown => bytes.len(),
        }
    }

    /// Returns how many bytes of a chunk hyper may get, which was read while nothing was buffered, and
    /// buffers the others.
    pub fn pass_directly(&mut self, chunk: &[u8], now_ms: u64) -> usize {
        let length = self.pass(chunk);
        if length < chunk.len() {
            self.push(&chunk[length..], now_ms);
        }
        length
    }

    /// Appends bytes that were read from the socket.
    pub fn push(&mut self, bytes: &[u8], now_ms: u64) {
        self.buffer.extend_from_slice(bytes);
        let end = self.passed + self.buffer.len() as u64;
        match self.arrivals.back_mut() {
            Some(last) if now_ms < last.at_ms + ARRIVAL_RESOLUTION_MS => last.end = end,
            _ => self.arrivals.push_back(Arrival { end, at_ms: now_ms }),
        }
    }

    /// Takes at most `max_bytes` of the buffered bytes that hyper may get.
    pub fn take(&mut self, max_bytes: usize) -> Bytes {
        let buffer = std::mem::take(&mut self.buffer);
        let length = self.pass(&buffer[..max_bytes.min(buffer.len())]);
        self.buffer = buffer;
        if matches!(self.position, Position::BehindHead) {
            self.head_arrived_at_ms = Some(self.arrival_of(self.passed));
        }
        let passed = self.passed;
        self.arrivals.retain(|arrival| arrival.end > passed);
        let taken = self.buffer.split_to(length).freeze();
        if self.buffer.is_empty() {
            // Idle connections hold no memory.
            self.buffer = BytesMut::new();
        }
        taken
    }

    /// Returns how many of the next bytes hyper may get, and moves the position behind them.
    fn pass(&mut self, bytes: &[u8]) -> usize {
        let mut length = bytes.len();
        match &mut self.position {
            Position::Head(head_end) => {
                if let Some(end) = head_end.find_in(bytes) {
                    length = end;
                    self.head_arrived_at_ms = None;
                    self.position = Position::BehindHead;
                }
            }
            Position::BehindHead => {
                if length > 0 {
                    self.position = Position::Unknown;
                }
            }
            Position::Body { left } => {
                length = usize::try_from(*left).map_or(length, |left| left.min(length));
                *left -= length as u64;
                if *left == 0 {
                    self.position = Position::Head(HeadEndSearch::default());
                }
            }
            Position::Unknown => {}
        }
        self.passed += length as u64;
        length
    }

    fn arrival_of(&self, end: u64) -> u64 {
        let arrival = self.arrivals.iter().find(|arrival| arrival.end >= end);
        arrival.map_or(0, |arrival| arrival.at_ms)
    }

    /// Records that hyper has reached a request with a body of a length in bytes, if it is known.
    /// Requests behind it may be started if it is `plain`.
    pub fn record_reached(&mut self, body_bytes: Option<u64>, plain: bool) -> ReachedHead {
        let is_behind_head = matches!(self.position, Position::BehindHead);
        self.position = match body_bytes.filter(|_| is_behind_head) {
            None => Position::Unknown,
            Some(0) => Position::Head(HeadEndSearch::default()),
            Some(left) => Position::Body { left },
        };
        self.is_busy = true;
        self.is_body_read = false;
        self.allows_search = plain && matches!(self.position, Position::Head(_));
        if self.search.head_start < self.passed {
            self.search = Search::starting_at(self.passed);
        }
        ReachedHead {
            end: is_behind_head.then_some(self.passed),
            arrived_at_ms: self.head_arrived_at_ms.take(),
        }
    }

    /// Keeps requests behind the one in progress from being started.
    pub fn stop_search(&mut self) {
        self.allows_search = false;
    }

    /// Records that the response to the request in progress is ready.
    pub fn record_answered(&mut self) {
        self.is_busy = false;
        self.allows_search = false;
    }

    /// Records that the body of the request in progress, of unknown length, was read to its end.
    pub fn record_body_read(&mut self) {
        self.is_body_read = true;
    }

    /// Returns whether the next bytes may belong to a request of which hyper has got a part: one that has its
    /// response before its body has arrived, or whose head hyper doesn't accept.
    pub fn is_within_request(&self) -> bool {
        match self.position {
            Position::Head(head_end) => head_end.has_begun(),
            Position::BehindHead | Position::Body { .. } => true,
            Position::Unknown => !self.is_body_read,
        }
    }

    /// Returns the next head behind the request in progress that hasn't been returned yet. `None` if it
    /// is incomplete, not plain, or `may_start` rejects it.
    pub fn next_plain_head(
        &mut self,
        may_start: impl FnOnce(&http::request::Parts) -> bool,
    ) -> Option<FoundHead> {
        if !self.allows_search || self.search.has_stopped {
            return None;
        }
        let search = &mut self.search;
        let unsearched = (search.searched_to - self.passed) as usize;
        let Some(length) = search.head_end.find_in(&self.buffer[unsearched..]) else {
            search.searched_to = self.passed + self.buffer.len() as u64;
            return None;
        };
        let start = (search.head_start - self.passed) as usize;
        let parts = plain_head::parse(&self.buffer[start..unsearched + length]);
        let Some(parts) = parts.filter(may_start) else {
            search.has_stopped = true;
            return None;
        };
        let end = search.searched_to + length as u64;
        self.search = Search::starting_at(end);
        Some(FoundHead { parts, end, arrived_at_ms: self.arrival_of(end) })
    }
}
