//! What the requests that are started early may use of a VM.

use std::cell::{Cell, RefCell};
use std::net::IpAddr;
use std::rc::Rc;

use sedgepath_core::hash::Map;

use crate::direct::ingress::MAX_CONCURRENT_REQUESTS;

/// The most requests of a connection that are started early.
pub const MAX_STARTED_PER_CONNECTION: usize = 16;

/// The number of requests in flight from which none is started early: half of what a VM accepts, so that
/// early requests don't cause the rejection of others.
pub const MAX_IN_FLIGHT_REQUESTS: usize = MAX_CONCURRENT_REQUESTS / 2;

/// The divisor of the process's memory that gives the limit for responses to early requests.
const RESPONSE_MEMORY_DIVISOR: usize = 8;

/// The divisor of the process's memory that gives the limit for bytes that are read ahead.
const READ_AHEAD_MEMORY_DIVISOR: usize = 16;

/// The memory that is reserved for a response before its size is known, in bytes. Most large responses
/// fit.
const RESERVED_RESPONSE_BYTES: usize = 128 * 1024;

/// The divisor of the VM's early requests that gives the limit for one caller's address, so that a
/// caller with many connections leaves room for others.
const ADDRESS_DIVISOR: usize = 4;

/// The early requests of a VM, and the memory that they use.
#[derive(Debug)]
pub struct PipelineBounds {
    max_response_bytes: usize,
    max_read_ahead_bytes: usize,
    response_bytes: Cell<usize>,
    read_ahead_bytes: Cell<usize>,
    started_by_address: RefCell<Map<IpAddr, usize>>,
}

impl PipelineBounds {
    /// Creates the bounds of a process with a limit of its memory in bytes.
    pub fn new(memory_bytes: usize) -> Rc<Self> {
        Rc::new(Self {
            max_response_bytes: memory_bytes / RESPONSE_MEMORY_DIVISOR,
            max_read_ahead_bytes: memory_bytes / READ_AHEAD_MEMORY_DIVISOR,
            response_bytes: Cell::new(0),
            read_ahead_bytes: Cell::new(0),
            started_by_address: RefCell::default(),
        })
    }

    /// Returns the most early requests of one caller's address.
    pub fn max_started_per_address(&self) -> usize {
        let max_started = self.max_response_bytes / RESERVED_RESPONSE_BYTES;
        (max_started / ADDRESS_DIVISOR).max(1)
    }

    /// Reserves what an early request of a caller needs; `None` beyond the bounds.
    pub fn try_start(self: &Rc<Self>, caller: IpAddr) -> Option<Reservation> {
        let response_bytes = self.response_bytes.get() + RESERVED_RESPONSE_BYTES;
        let mut started = self.started_by_address.borrow_mut();
        let by_caller = started.get(&caller).copied().unwrap_or(0);
        if response_bytes > self.max_response_bytes || by_caller >= self.max_started_per_address() {
            return None;
        }
        self.response_bytes.set(response_bytes);
        started.insert(caller, by_caller + 1);
        Some(Reservation {
            bounds: Rc::clone(self),
            caller,
            response_bytes: RESERVED_RESPONSE_BYTES,
        })
    }

    /// Returns how many more bytes may be read ahead, of all connections together.
    pub fn read_ahead_room_bytes(&self) -> usize {
        self.max_read_ahead_bytes.saturating_sub(self.read_ahead_bytes.get())
    }

    /// Replaces the number of bytes that a connection has read ahead.
    pub fn set_read_ahead_bytes(&self, of_connection: &mut usize, bytes: usize) {
        self.read_ahead_bytes.set(self.read_ahead_bytes.get() - *of_connection + bytes);
        *of_connection = bytes;
    }
}

/// The part of the bounds that an early request uses until it is dropped.
#[derive(Debug)]
pub struct Reservation {
    bounds: Rc<PipelineBounds>,
    caller: IpAddr,
    response_bytes: usize,
}

impl Reservation {
    /// Replaces the reserved memory by the size of the response. Returns whether the response may wait
    /// for its turn.
    pub fn try_hold(&mut self, response_bytes: usize) -> bool {
        let total = self.bounds.response_bytes.get() - self.response_bytes + response_bytes;
        if total > self.bounds.max_response_bytes {
            return false;
        }
        self.bounds.response_bytes.set(total);
        self.response_bytes = response_bytes;
        true
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        let bounds = &self.bounds;
        bounds.response_bytes.set(bounds.response_bytes.get() - self.response_bytes);
        let mut started = bounds.started_by_address.borrow_mut();
        if let Some(by_caller) = started.get_mut(&self.caller) {
            *by_caller -= 1;
            if *by_caller == 0 {
                started.remove(&self.caller);
            }
        }
    }
}
