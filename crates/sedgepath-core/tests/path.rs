//! Tests of requests that pass through several nodes.

use sedgepath_test_support::bed::upstreams::FakeUpstream;
use sedgepath_test_support::bed::{CallResult, TestBed};
use sedgepath_test_support::records::{self, UpstreamSpec};

fn bed() -> TestBed {
    let mut bed = TestBed::new(1);
    let upstreams = [UpstreamSpec::new("b1", "north-a", 4), UpstreamSpec::new("b2", "south-a", 4)];
    bed.write_records(&[
        records::places(&[("north", &["north-a"]), ("south", &["south-a"])]),
        records::service("browse", 5_000, &upstreams),
        records::steering("browse", &[("north-a", 1.0), ("south-a", 1.0)], 100.0, 10_000),
    ]);
    bed.upstreams.add("b1", FakeUpstream::new(4, 10));
    bed.upstreams.add("b2", FakeUpstream::new(4, 10));
    bed.add_node("n1", "north-a");
    bed.add_node("n2", "north-a");
    bed.add_node("s1", "south-a");
    bed.settle(5_000);
    bed
}

/// Guards against requests without a response or with several runs although nothing fails, and
/// against an unused domain.
#[test]
fn requests_reach_upstreams_of_both_domains() {
    let mut bed = bed();
    for number in 0..60 {
        let head = bed.request_head("browse");
        bed.call(number % 3, head);
        bed.run_for(20);
    }
    bed.run_for(3_000);
    let answered = bed
        .calls()
        .iter()
        .filter(|call| matches!(call.result, CallResult::Answered { .. }))
        .count();
    assert_eq!(answered, 60, "{:?}", bed.calls().last());
    let runs: Vec<usize> = bed.upstreams.iter().map(|(_, upstream)| upstream.runs.len()).collect();
    assert_eq!(runs.iter().sum::<usize>(), 60);
    assert!(runs.iter().all(|count| *count > 10), "{runs:?}");
}
