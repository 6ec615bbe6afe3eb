//! A test system with a once-only service, and an oracle for at-most-once execution that uses only
//! what callers and upstreams observed.

use std::collections::BTreeMap;

use sedgepath_core::hash::Digest;
use sedgepath_core::request::{Deduplication, Outcome, RequestHead};
use sedgepath_test_support::bed::upstreams::FakeUpstream;
use sedgepath_test_support::bed::{CallIndex, CallResult, TestBed, guest_request};
use sedgepath_test_support::records::{self, UpstreamSpec};

/// Creates four nodes in two failure domains and a service with an upstream in each.
pub fn bed(seed: u64) -> TestBed {
    let mut bed = TestBed::new(seed);
    let upstreams =
        [UpstreamSpec::new("d1", "north-a", 16), UpstreamSpec::new("d2", "south-a", 16)];
    let mut service = records::service("deposit", 5_000, &upstreams);
    service.body = service.body.replacen('{', "{\"once_only\":true,", 1).into();
    bed.write_records(&[
        records::places(&[("north", &["north-a"]), ("south", &["south-a"])]),
        service,
        records::steering("deposit", &[("north-a", 1.0), ("south-a", 1.0)], 100.0, 10_000),
    ]);
    bed.upstreams.add("d1", FakeUpstream::new(16, 30));
    bed.upstreams.add("d2", FakeUpstream::new(16, 30));
    bed.add_node("n1", "north-a");
    bed.add_node("n2", "north-a");
    bed.add_node("s1", "south-a");
    bed.add_node("s2", "south-a");
    bed.settle(5_000);
    bed
}

/// Returns a request whose digest depends only on its key or ticket, so that retries share it.
pub fn head(bed: &TestBed, key: Deduplication, attempt: u32) -> RequestHead {
    RequestHead {
        deduplication: key,
        attempt,
        idempotent: false,
        digest: Digest::of(&[format!("{key:?}").as_bytes()]),
        ..guest_request("deposit", bed.now_ms() + 2_000)
    }
}

/// Returns whether a caller has the response to its action.
pub fn is_answered(seen: &CallResult) -> bool {
    matches!(seen, CallResult::Answered { .. } | CallResult::Concluded(Outcome::Repeated(_)))
}

/// Returns whether a caller was told that its request was not run.
pub fn is_not_run(seen: &CallResult) -> bool {
    matches!(seen, CallResult::Concluded(Outcome::NotRun { .. }))
}

/// The violations and outcomes that the oracle counted.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Verdict {
    /// Keys that ran more than once.
    pub ran_twice: usize,
    /// Requests that ran although their caller was told *not run*.
    pub ran_after_not_run: usize,
    /// Requests told *not run* although an earlier or the same attempt ran, before or after.
    pub not_run_despite_run: usize,
    /// Retries that got the response of another action.
    pub wrong_responses: usize,
    /// Keys whose newest request got any other outcome, such as *unknown*, or none.
    pub unknown: usize,
    /// Keys whose newest request got its response.
    pub answered: usize,
    /// Keys whose newest request was told *not run*.
    pub not_run: usize,
}

impl Verdict {
    /// Returns whether no guarantee was violated.
    pub fn holds(&self) -> bool {
        self.ran_twice + self.ran_after_not_run + self.not_run_despite_run + self.wrong_responses
            == 0
    }
}

/// Evaluates all calls so far.
pub fn evaluate(bed: &TestBed) -> Verdict {
    let ran_twice = bed.upstreams.runs_by_key().values().filter(|runs| **runs > 1).count();
    let mut verdict = Verdict { ran_twice, ..Verdict::default() };
    let mut calls_by_key: BTreeMap<String, Vec<CallIndex>> = BTreeMap::new();
    for (index, call) in bed.calls().iter().enumerate() {
        calls_by_key.entry(format!("{:?}", call.head.deduplication)).or_default().push(index);
        if is_not_run(&call.result) {
            verdict.ran_after_not_run += usize::from(bed.upstreams.run_count(index) > 0);
        }
    }
    for calls in calls_by_key.values() {
        evaluate_key(bed, calls, &mut verdict);
    }
    verdict
}

fn evaluate_key(bed: &TestBed, calls: &[CallIndex], verdict: &mut Verdict) {
    let ran = calls.iter().find(|call| bed.upstreams.run_count(**call) > 0);
    for call in calls {
        if let CallResult::Concluded(Outcome::Repeated(stored)) = &bed.calls()[*call].result {
            let expected = ran.map(|ran| format!("call {ran}"));
            verdict.wrong_responses += usize::from(expected.as_deref() != Some(&*stored.body));
        }
    }
    // Without an attempt number, *not run* applies to the request alone and not to the action.
    let attempt = |call: &CallIndex| bed.calls()[*call].head.attempt;
    let numbered_runs =
        calls.iter().filter(|call| attempt(call) > 0 && bed.upstreams.run_count(**call) > 0);
    let first_run_attempt = numbered_runs.map(attempt).min().unwrap_or(u32::MAX);
    let not_run = calls.iter().filter(|call| is_not_run(&bed.calls()[**call].result));
    verdict.not_run_despite_run +=
        not_run.filter(|call| attempt(call) >= first_run_attempt).count();
    let newest = &bed.calls()[calls[calls.len() - 1]];
    match &newest.result {
        seen if is_answered(seen) => verdict.answered += 1,
        CallResult::Concluded(Outcome::NotRun { .. }) => verdict.not_run += 1,
        _ => verdict.unknown += 1,
    }
}

/// Ends all faults, lets late writes and pending work finish, and evaluates all calls.
pub fn settle(bed: &mut TestBed) -> Verdict {
    bed.faults.platform_down = false;
    bed.faults.lost_commit_result_percent = 0;
    bed.faults.heal_all();
    for node in 0..bed.node_count() {
        bed.resume(node);
        if bed.node(node).is_none() {
            bed.start(node);
        }
    }
    bed.run_for(20_000);
    evaluate(bed)
}

/// Asserts that no guarantee was violated.
pub fn assert_holds(verdict: &Verdict) {
    assert!(verdict.holds(), "{verdict:?}");
}
