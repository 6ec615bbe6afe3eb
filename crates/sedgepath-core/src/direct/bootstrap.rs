//! How a starting VM gets the tables: from the VMs of its failure domain, or from the store.
//!
//! All VMs of a failure domain may start at once. The first one by address reads the store, and every VM
//! that has the tables hands them to others, so that the VMs with the tables grow exponentially in number
//! and the store's calls grow with the number of failure domains. The hand-over takes as long as it
//! progresses. While it doesn't, since the first VMs are dead, slow or turned away by the store, more VMs
//! read the store with each interval, up to a few at a time; then the next ones take their turn, so that a
//! store that comes back isn't read by all.

use std::net::SocketAddr;

use fastrand::Rng;

use super::vms::DomainAtStart;
use crate::weighted::choose_weighted;

/// The time without progress after which the next VMs read the store, in milliseconds, if a VM that precedes
/// them is running or the tables are on their way: several pages of a table over a slow link.
const TAKEOVER_INTERVAL_MS: u64 = 1_000;

/// As [`TAKEOVER_INTERVAL_MS`], per other VM of the failure domain, while no VM that precedes is heard: it may
/// be down, and callers wait.
const UNHEARD_TAKEOVER_MS_PER_VM: u64 = 30;

/// The most VMs of a failure domain that read the store at a time while nobody gets the tables.
const MAX_READERS: usize = 4;

/// The longest time for which the first VM waits for the response of another one before it reads the store,
/// in milliseconds: if only this VM was restarted, the others have the tables.
const MAX_FIRST_RESPONSE_WAIT_MS: u64 = 250;

/// The first pause after a VM that couldn't hand over the tables, in milliseconds; it doubles after each.
const INITIAL_REQUEST_PAUSE_MS: u64 = 50;

/// The longest pause, in milliseconds.
const MAX_REQUEST_PAUSE_MS: u64 = 800;

/// A VM's way to its first copy of the tables.
#[derive(Debug)]
pub struct Bootstrap {
    started_at_ms: u64,
    /// When rows last arrived, or another VM got the tables or began to read them, in milliseconds.
    progress_at_ms: u64,
    max_holders: usize,
    max_readers: usize,
    /// Whether a request to another VM has ended, with or without rows.
    has_asked: bool,
    /// Whether rows have arrived from another VM.
    has_rows: bool,
    next_request_at_ms: u64,
    pause_ms: u64,
    /// Whether the next request without a known holder goes to the first VM by address.
    asks_first: bool,
}

impl Bootstrap {
    /// Creates the state of a VM that starts now.
    pub fn new(now_ms: u64) -> Self {
        Self {
            started_at_ms: now_ms,
            progress_at_ms: now_ms,
            max_holders: 0,
            max_readers: 0,
            has_asked: false,
            has_rows: false,
            next_request_at_ms: now_ms,
            pause_ms: INITIAL_REQUEST_PAUSE_MS,
            asks_first: false,
        }
    }

    /// Records that this VM has discovered those of its failure domain. Only from now on it can tell whether
    /// they get the tables.
    pub fn record_discovery(&mut self, now_ms: u64) {
        self.started_at_ms = now_ms;
        self.progress_at_ms = now_ms;
    }

    /// Records that rows arrive from another VM.
    pub fn record_rows(&mut self, now_ms: u64) {
        self.has_rows = true;
        self.progress_at_ms = now_ms;
    }

    /// Records the end of a request for the tables, and whether it brought them.
    pub fn record_response(&mut self, got_tables: bool, rng: &mut Rng, now_ms: u64) {
        self.has_asked = true;
        if got_tables {
            self.progress_at_ms = now_ms;
            self.pause_ms = INITIAL_REQUEST_PAUSE_MS;
        }
        self.next_request_at_ms = now_ms + rng.u64(self.pause_ms / 2..=self.pause_ms);
        if !got_tables {
            self.pause_ms = (self.pause_ms * 2).min(MAX_REQUEST_PAUSE_MS);
        }
    }

    /// Returns whether this VM reads the store for tables that it lacks.
    pub fn reads_store(&mut self, domain: &DomainAtStart, now_ms: u64) -> bool {
        self.update_progress(domain, now_ms);
        if domain.others.is_empty() {
            return true;
        }
        // As long as the tables are handed over, or about to be, nobody else needs the store.
        let are_coming = self.has_rows || !domain.holders.is_empty() || domain.readers > 0;
        let interval_ms = if domain.hears_preceding || are_coming {
            TAKEOVER_INTERVAL_MS
        } else {
            (domain.others.len() as u64 * UNHEARD_TAKEOVER_MS_PER_VM).min(TAKEOVER_INTERVAL_MS)
        };
        let waited_ms = now_ms.saturating_sub(self.started_at_ms);
        if !self.has_asked
            && !self.has_rows
            && waited_ms < interval_ms.min(MAX_FIRST_RESPONSE_WAIT_MS)
        {
            return false;
        }
        let intervals = (now_ms.saturating_sub(self.progress_at_ms) / interval_ms) as usize;
        let intervals = if are_coming { intervals.checked_sub(1) } else { Some(intervals) };
        let vm_count = domain.others.len() + 1;
        intervals.is_some_and(|intervals| is_turn(domain.rank, vm_count, intervals))
    }

    /// Returns the VM to request the tables from now, if it is time for a request.
    pub fn next_peer(
        &mut self,
        domain: &DomainAtStart,
        rng: &mut Rng,
        now_ms: u64,
    ) -> Option<SocketAddr> {
        self.update_progress(domain, now_ms);
        if now_ms < self.next_request_at_ms {
            return None;
        }
        if !domain.holders.is_empty() {
            return choose_weighted(&domain.holders, rng.u64(..));
        }
        // A VM that was restarted alone has not heard the others yet.
        self.asks_first = !self.asks_first;
        if self.asks_first {
            rng.choice(domain.others.iter().copied())
        } else {
            domain.others.iter().min().copied()
        }
    }

    /// Records progress if more VMs of the domain have the tables, or read them, than before.
    fn update_progress(&mut self, domain: &DomainAtStart, now_ms: u64) {
        if domain.readers > self.max_readers {
            self.max_readers = domain.readers;
            self.progress_at_ms = now_ms;
        }
        if domain.holders.len() > self.max_holders {
            if self.max_holders == 0 {
                self.next_request_at_ms = self.next_request_at_ms.min(now_ms);
            }
            self.max_holders = domain.holders.len();
            self.progress_at_ms = now_ms;
        }
    }
}

/// Returns whether a VM reads the store after a number of intervals without progress: at first the first VM,
/// then twice as many each time up to [`MAX_READERS`], and then as many of the following ones in turn.
fn is_turn(rank: usize, vm_count: usize, intervals: usize) -> bool {
    let doublings = MAX_READERS.ilog2() as usize;
    if intervals <= doublings {
        return rank < 1 << intervals;
    }
    let first = (intervals - doublings) * MAX_READERS % vm_count;
    (rank % vm_count + vm_count - first) % vm_count < MAX_READERS
}
