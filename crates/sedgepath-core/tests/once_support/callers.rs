//! Callers that repeat their actions through other nodes.

use sedgepath_core::request::Deduplication;
use sedgepath_test_support::bed::{Bed, CallIndex, NodeIndex};

use super::once_support::{head, is_answer};

/// A caller that repeats an action through one node after the other until it has an answer.
#[derive(Debug)]
pub struct Action {
    once: Deduplication,
    attempt: u32,
    call: CallIndex,
    repeat_at_ms: u64,
}

impl Action {
    /// Sends the first attempt of an action.
    pub fn new(bed: &mut Bed, node: NodeIndex, once: Deduplication) -> Self {
        let head = head(bed, once, 1);
        let call = bed.call(node, head);
        Self { once, attempt: 1, call, repeat_at_ms: bed.now_ms() + 1_000 }
    }

    /// Sends the next attempt if the caller has no answer one second after the last one.
    pub fn poll(&mut self, bed: &mut Bed) {
        if bed.now_ms() < self.repeat_at_ms || is_answer(&bed.calls()[self.call].seen) {
            return;
        }
        let node = (bed.calls()[self.call].node + 1) % bed.node_count();
        self.attempt += 1;
        self.repeat_at_ms = bed.now_ms() + 1_000;
        let head = head(bed, self.once, self.attempt);
        self.call = bed.call(node, head);
    }
}

/// Starts `count` actions, one every `gap_ms`, at the nodes in turn, while callers repeat theirs.
pub fn run_actions(
    bed: &mut Bed,
    count: usize,
    gap_ms: u64,
    mut key: impl FnMut(&mut Bed, usize) -> Deduplication,
    mut fault: impl FnMut(&mut Bed, usize),
) {
    let mut actions = Vec::new();
    for number in 0..count {
        fault(bed, number);
        let once = key(bed, number);
        let node = number % bed.node_count();
        actions.push(Action::new(bed, node, once));
        bed.run_for(gap_ms);
        poll_all(bed, &mut actions);
    }
    fault(bed, count);
    for _ in 0..100 {
        bed.run_for(100);
        poll_all(bed, &mut actions);
    }
}

fn poll_all(bed: &mut Bed, actions: &mut [Action]) {
    for action in actions {
        action.poll(bed);
    }
}

/// Kills one node after another, each starting again 15 actions later.
pub fn kill_in_turn(bed: &mut Bed, number: usize) {
    match number % 40 {
        20 => bed.kill(number / 40 % 4),
        35 => bed.start(number / 40 % 4),
        _ => {}
    }
}

/// Pauses two nodes while requests are in progress and wakes them much later.
pub fn pause_two(bed: &mut Bed, number: usize) {
    match number {
        20 | 40 => bed.pause(number / 20),
        180 => {
            bed.wake(1);
            bed.wake(2);
        }
        _ => {}
    }
}
