//! Callers that retry their actions through other nodes.

use sedgepath_core::request::Deduplication;
use sedgepath_test_support::bed::{CallIndex, NodeIndex, TestBed};

use super::once_support::{head, is_answered};

/// An action that its caller retries through one node after another until it has a response.
#[derive(Debug)]
pub struct Action {
    key: Deduplication,
    attempt: u32,
    call: CallIndex,
    retry_at_ms: u64,
}

impl Action {
    /// Sends the first attempt of an action.
    pub fn new(bed: &mut TestBed, node: NodeIndex, key: Deduplication) -> Self {
        let head = head(bed, key, 1);
        let call = bed.call(node, head);
        Self { key, attempt: 1, call, retry_at_ms: bed.now_ms() + 1_000 }
    }

    /// Sends the next attempt if the caller has no response one second after the last attempt.
    pub fn poll(&mut self, bed: &mut TestBed) {
        if bed.now_ms() < self.retry_at_ms || is_answered(&bed.calls()[self.call].result) {
            return;
        }
        let node = (bed.calls()[self.call].node + 1) % bed.node_count();
        self.attempt += 1;
        self.retry_at_ms = bed.now_ms() + 1_000;
        let head = head(bed, self.key, self.attempt);
        self.call = bed.call(node, head);
    }
}

/// Starts `count` actions, one every `interval_ms`, at the nodes in turn, while callers retry theirs.
pub fn run_actions(
    bed: &mut TestBed,
    count: usize,
    interval_ms: u64,
    mut new_key: impl FnMut(&mut TestBed, usize) -> Deduplication,
    mut inject_fault: impl FnMut(&mut TestBed, usize),
) {
    let mut actions = Vec::new();
    for number in 0..count {
        inject_fault(bed, number);
        let key = new_key(bed, number);
        let node = number % bed.node_count();
        actions.push(Action::new(bed, node, key));
        bed.run_for(interval_ms);
        poll_all(bed, &mut actions);
    }
    inject_fault(bed, count);
    for _ in 0..100 {
        bed.run_for(100);
        poll_all(bed, &mut actions);
    }
}

fn poll_all(bed: &mut TestBed, actions: &mut [Action]) {
    for action in actions {
        action.poll(bed);
    }
}

/// Kills one node after another and restarts each 15 actions later.
pub fn kill_nodes_in_turn(bed: &mut TestBed, number: usize) {
    match number % 40 {
        20 => bed.kill(number / 40 % 4),
        35 => bed.start(number / 40 % 4),
        _ => {}
    }
}

/// Pauses two nodes while requests are in progress and resumes both at action 180.
pub fn pause_two_nodes(bed: &mut TestBed, number: usize) {
    match number {
        20 | 40 => bed.pause(number / 20),
        180 => {
            bed.resume(1);
            bed.resume(2);
        }
        _ => {}
    }
}
