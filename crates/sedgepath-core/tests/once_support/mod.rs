//! A test system with a once-only service, and an oracle for at-most-once execution that uses only
//! what callers and upstreams observed.

use std::collections::BTreeMap;

use sedgepath_core::hash::Digest;
use sedgepath_core::request::{Deduplication, Outcome, RequestHead};
use sedgepath_test_support::bed::upstreams::FakeUpstream;
use sedgepath_test_support::bed::{Bed, CallIndex, Seen, guest_request};
use sedgepath_test_support::records::{self, UpstreamSpec};

/// Creates four nodes in two failure domains and a service with an upstream in each.
pub fn bed(seed: u64) -> Bed {
    let mut bed = Bed::new(seed);
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

/// Returns a request whose digest depends only on its key or ticket, so that repeats share it.
pub fn head(bed: &Bed, once: Deduplication, attempt: u32) -> RequestHead {
    RequestHead {
        deduplication: once,
        attempt,
        idempotent: false,
        digest: Digest::of(&[format!("{once:?}").as_bytes()]),
        ..guest_request("deposit", bed.now_ms() + 2_000)
    }
}

/// Whether a caller has its answer.
pub fn is_answer(seen: &Seen) -> bool {
    matches!(seen, Seen::Answered { .. } | Seen::Concluded(Outcome::Repeated(_)))
}

/// Whether a caller was told that its request was not run.
pub fn is_not_run(seen: &Seen) -> bool {
    matches!(seen, Seen::Concluded(Outcome::NotRun { .. }))
}

/// The counts of the oracle.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Verdict {
    /// Keys that ran more than once.
    pub ran_twice: usize,
    /// Requests that ran although their caller was told *not run*.
    pub ran_after_not_run: usize,
    /// Requests answered *not run* although an earlier or the same attempt ran, before or after.
    pub denied_after_run: usize,
    /// Repeats that got the answer of another action.
    pub wrong_answers: usize,
    /// Keys whose newest request got any other outcome, such as *unknown*, or none.
    pub unknown: usize,
    /// Keys whose newest request was answered.
    pub answered: usize,
    /// Keys whose newest request was answered *not run*.
    pub not_run: usize,
}

impl Verdict {
    /// Whether no guarantee was violated.
    pub fn holds(&self) -> bool {
        self.ran_twice + self.ran_after_not_run + self.denied_after_run + self.wrong_answers == 0
    }
}

/// Evaluates all calls so far.
pub fn judge(bed: &Bed) -> Verdict {
    let ran_twice = bed.upstreams.runs_by_key().values().filter(|runs| **runs > 1).count();
    let mut verdict = Verdict { ran_twice, ..Verdict::default() };
    let mut by_key: BTreeMap<String, Vec<CallIndex>> = BTreeMap::new();
    for (index, call) in bed.calls().iter().enumerate() {
        by_key.entry(format!("{:?}", call.head.deduplication)).or_default().push(index);
        if is_not_run(&call.seen) {
            verdict.ran_after_not_run += usize::from(bed.upstreams.runs_of(index) > 0);
        }
    }
    for calls in by_key.values() {
        judge_key(bed, calls, &mut verdict);
    }
    verdict
}

fn judge_key(bed: &Bed, calls: &[CallIndex], verdict: &mut Verdict) {
    let ran = calls.iter().find(|call| bed.upstreams.runs_of(**call) > 0);
    for call in calls {
        if let Seen::Concluded(Outcome::Repeated(stored)) = &bed.calls()[*call].seen {
            let own = ran.map(|ran| format!("call {ran}"));
            verdict.wrong_answers += usize::from(own.as_deref() != Some(&*stored.body));
        }
    }
    // Without an attempt number, *not run* is about the request alone and not about the action.
    let attempt = |call: &CallIndex| bed.calls()[*call].head.attempt;
    let ran_from =
        calls.iter().filter(|call| attempt(call) > 0 && bed.upstreams.runs_of(**call) > 0);
    let ran_from = ran_from.map(attempt).min().unwrap_or(u32::MAX);
    let denied = calls.iter().filter(|call| is_not_run(&bed.calls()[**call].seen));
    verdict.denied_after_run += denied.filter(|call| attempt(call) >= ran_from).count();
    let newest = &bed.calls()[calls[calls.len() - 1]];
    match &newest.seen {
        seen if is_answer(seen) => verdict.answered += 1,
        Seen::Concluded(Outcome::NotRun { .. }) => verdict.not_run += 1,
        _ => verdict.unknown += 1,
    }
}

/// Ends all faults, lets late writes and pending work finish, and evaluates all calls.
pub fn settle(bed: &mut Bed) -> Verdict {
    bed.faults.platform_down = false;
    bed.faults.lost_answers_percent = 0;
    bed.faults.heal_all();
    for node in 0..bed.node_count() {
        bed.wake(node);
        if bed.node(node).is_none() {
            bed.start(node);
        }
    }
    bed.run_for(20_000);
    judge(bed)
}

/// Asserts that no guarantee was violated.
pub fn assert_holds(verdict: &Verdict) {
    assert!(verdict.holds(), "{verdict:?}");
}
