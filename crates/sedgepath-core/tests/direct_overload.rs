//! The responses to callers when there are more requests than slots.

use std::collections::VecDeque;

use sedgepath_core::direct::Steering;
use sedgepath_core::direct::attempts::{AttemptOutcome, NextStep, RequestState};
use sedgepath_core::direct::upstreams::{LoadReport, UpstreamKey};
use sedgepath_test_support::direct::{begin_request, upstream_entry, vm};

const SLOTS: usize = 3;
const MAX_QUEUED: usize = 9;
const WORK_MS: u64 = 200;
const TARGET_MS: u64 = 400;

/// An upstream with a number of slots and a bounded queue.
#[derive(Debug, Default)]
struct EmulatedUpstream {
    /// The time at which each running request ends, in milliseconds, and the request's index.
    running: Vec<(u64, usize)>,
    waiting: VecDeque<usize>,
}

impl EmulatedUpstream {
    /// Accepts a request, or returns false if the queue is full.
    fn try_accept(&mut self, request: usize, now_ms: u64) -> bool {
        if self.running.len() < SLOTS {
            self.running.push((now_ms + WORK_MS, request));
            return true;
        }
        let has_space = self.waiting.len() < MAX_QUEUED;
        if has_space {
            self.waiting.push_back(request);
        }
        has_space
    }

    /// Removes and returns the requests that have ended, and starts queued ones.
    fn take_ended(&mut self, now_ms: u64) -> Vec<usize> {
        let ended: Vec<_> = self
            .running
            .iter()
            .filter(|(at_ms, _)| *at_ms <= now_ms)
            .map(|(_, request)| *request)
            .collect();
        self.running.retain(|(at_ms, _)| *at_ms > now_ms);
        while self.running.len() < SLOTS
            && let Some(request) = self.waiting.pop_front()
        {
            self.running.push((now_ms + WORK_MS, request));
        }
        ended
    }

    fn report(&self) -> LoadReport {
        let (running, waiting) = (self.running.len() as u32, self.waiting.len() as u32);
        LoadReport { running, waiting, slots: SLOTS as u32 }
    }
}

/// The numbers of requests by result.
#[derive(Debug, Default)]
struct Results {
    in_time: usize,
    late: usize,
    rejected: usize,
    longest_rejection_ms: u64,
}

/// Runs requests at a constant rate through one VM to two upstreams.
fn run(vm: &mut Steering, requests_per_s: u64, seconds: u64) -> Results {
    let mut emulated = [EmulatedUpstream::default(), EmulatedUpstream::default()];
    let mut requests: Vec<RequestState> = Vec::new();
    let mut results = Results::default();
    let keys: Vec<UpstreamKey> = vm.upstreams().of_service("browse").to_vec();
    let index_of = |key: UpstreamKey| {
        keys.iter().position(|other| *other == key).expect("the upstream is registered")
    };
    for now_ms in 0..seconds * 1_000 {
        for index in 0..emulated.len() {
            for request in emulated[index].take_ended(now_ms) {
                let report = Some(emulated[index].report());
                let success = AttemptOutcome::Answered { failed: false, report, body_bytes: 100 };
                vm.record_outcome(&mut requests[request], keys[index], success, now_ms);
                if now_ms - requests[request].arrived_at_ms <= TARGET_MS {
                    results.in_time += 1;
                } else {
                    results.late += 1;
                }
            }
        }
        if now_ms % (1_000 / requests_per_s) != 0 {
            continue;
        }
        let object = (now_ms % 7).to_string();
        let mut request = begin_request(vm, "/reads/1", &object, now_ms);
        loop {
            match vm.next_step(&mut request, 1, now_ms) {
                NextStep::Send(attempt) => {
                    let upstream = &mut emulated[index_of(attempt.upstream)];
                    if upstream.try_accept(requests.len(), now_ms) {
                        requests.push(request);
                        break;
                    }
                    let rejection = AttemptOutcome::Refused { report: Some(upstream.report()) };
                    vm.record_outcome(&mut request, attempt.upstream, rejection, now_ms);
                }
                NextStep::Reject { retry_after_ms, .. } => {
                    assert!(retry_after_ms > 0);
                    results.rejected += 1;
                    let held_ms = now_ms - request.arrived_at_ms;
                    results.longest_rejection_ms = results.longest_rejection_ms.max(held_ms);
                    break;
                }
                NextStep::GiveUp { .. } => panic!("gave up although the request didn't run"),
            }
        }
    }
    results
}

fn vm_with_two_upstreams() -> Steering {
    let mut vm = vm("a1", "north-a", 1);
    vm.apply_configuration(sedgepath_test_support::direct::configuration_of_all_kinds(1));
    for (number, name) in (0..).zip(["b0", "b1"]) {
        vm.upstreams_mut().upsert(upstream_entry(name, "north-a", number), "north", 0);
    }
    vm
}

/// Guards against long queues under overload, which make all responses late.
#[test]
fn under_overload_most_responses_meet_the_target() {
    let results = run(&mut vm_with_two_upstreams(), 50, 20);
    let capacity = 2 * SLOTS * 20 * 1_000 / WORK_MS as usize;
    let served = results.in_time + results.late;
    assert!(served * 100 >= capacity * 90, "{results:?} of {capacity}");
    assert!(results.in_time * 100 >= served * 80, "{results:?}");
    assert_eq!(results.longest_rejection_ms, 0, "a rejection was delayed");
}

/// Guards against rejections while there are free slots.
#[test]
fn with_free_slots_nothing_is_rejected() {
    let results = run(&mut vm_with_two_upstreams(), 20, 20);
    assert_eq!((results.rejected, results.late), (0, 0), "{results:?}");
}
