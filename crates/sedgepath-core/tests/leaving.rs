//! Tests that a leaving upstream gets no new requests and that its running requests complete.

use sedgepath_core::key::{UpstreamKey, VmKey};
use sedgepath_core::rendezvous;
use sedgepath_core::request::{CallOutcome, Class, RejectionReason};
use sedgepath_test_support::bed::faults::LinkEndpoint;
use sedgepath_test_support::bed::{CallResult, NodeIndex, TestBed};
use sedgepath_test_support::load;
use sedgepath_test_support::owner::OwnerHarness;
use sedgepath_test_support::records;
use serde_json::json;

/// The maximum time after the first report of leaving for which new requests may still reach the
/// upstream.
const MAX_LEAVING_DELAY_MS: u64 = 3_000;

/// Returns a test bed of three nodes and two upstreams in one failure domain.
fn bed(seed: u64) -> TestBed {
    load::single_service_bed(seed, 3, &[("u1", 4, 100), ("u2", 4, 100)])
}

/// Sends a request every 25 ms to one of the running nodes in offset.
fn run_load(bed: &mut TestBed, duration_ms: u64) {
    for step in 0..duration_ms / 25 {
        let node =
            (0..3).map(|offset| (step as usize + offset) % 3).find(|node| bed.is_running(*node));
        let head = load::request_head(bed, Class::Paying, 1_000);
        bed.call(node.expect("a node runs"), head);
        bed.run_for(25);
    }
}

fn owner_of(name: &str) -> NodeIndex {
    let vms = ["n0", "n1", "n2"].map(VmKey::of);
    let owner = rendezvous::owner(u64::from(UpstreamKey::of(name).0), &vms);
    vms.iter().position(|vm| Some(*vm) == owner).expect("one of them is the owner")
}

/// Returns the number of runs at `u1` that started more than [`MAX_LEAVING_DELAY_MS`] after
/// `reported_at_ms`.
fn late_runs(bed: &mut TestBed, reported_at_ms: u64) -> usize {
    let runs = &bed.upstreams.get("u1").runs;
    runs.iter().filter(|run| run.started_at_ms > reported_at_ms + MAX_LEAVING_DELAY_MS).count()
}

/// Returns the number of requests that callers sent since `start_ms`, and how many got a response.
fn count_sent_and_answered(bed: &TestBed, from_ms: u64) -> (usize, usize) {
    let calls = bed.calls().iter().filter(|call| call.sent_at_ms >= from_ms);
    let answered =
        calls.clone().filter(|call| matches!(call.result, CallResult::Answered { .. })).count();
    (calls.count(), answered)
}

/// Asserts that the response of every run at the leaving upstream reached its caller.
fn assert_all_runs_answered(bed: &mut TestBed) {
    let runs = bed.upstreams.get("u1").runs.clone();
    for run in runs {
        let call = run.call.expect("the run's owner was not killed");
        let seen = &bed.calls()[call].result;
        assert!(matches!(seen, CallResult::Answered { .. }), "{seen:?}");
    }
}

/// Guards against an owner that needs the platform or other failure domains to act on responses
/// that report leaving.
#[test]
fn leaving_response_is_obeyed_without_platform_and_other_domains() {
    let mut bed = bed(1);
    let other_domain_node = bed.add_node("far", "b");
    run_load(&mut bed, 2_000);
    bed.faults.platform_down = true;
    for node in 0..3 {
        bed.faults.cut(LinkEndpoint::Node(node), LinkEndpoint::Node(other_domain_node));
    }
    bed.upstreams.get("u1").leaving = true;
    let reported_at_ms = bed.now_ms();
    run_load(&mut bed, 8_000);
    bed.run_for(2_000);
    assert_eq!(late_runs(&mut bed, reported_at_ms), 0);
    assert_all_runs_answered(&mut bed);
    let (sent, answered) = count_sent_and_answered(&bed, reported_at_ms + MAX_LEAVING_DELAY_MS);
    // The other upstream alone has just enough capacity, and the reported loads lag behind.
    assert!(answered >= sent * 9 / 10, "{answered} of {sent}");
}

/// Reports `u1` as leaving under a steady load, and asserts that no late request reaches it and
/// that no running request is cut off.
fn assert_no_late_runs(seed: u64, report_leaving: impl FnOnce(&mut TestBed)) {
    let mut bed = bed(seed);
    run_load(&mut bed, 2_000);
    report_leaving(&mut bed);
    let reported_at_ms = bed.now_ms();
    run_load(&mut bed, 8_000);
    bed.run_for(2_000);
    assert_eq!(late_runs(&mut bed, reported_at_ms), 0);
    assert_all_runs_answered(&mut bed);
}

/// Guards against ignoring an operator's drain record of an upstream.
#[test]
fn drained_upstream_gets_no_new_requests() {
    let body = json!({ "target": "upstream", "active": true });
    let drain = records::record(1, "drain", "u1", &body);
    assert_no_late_runs(2, |bed| {
        bed.write_records(&[drain]);
    });
}

/// Guards against ignoring the leaving mark in the platform's list of VMs.
#[test]
fn upstream_leaving_in_vm_list_gets_no_new_requests() {
    assert_no_late_runs(3, |bed| bed.mark_upstream_leaving("u1", "a"));
}

/// Guards against ignoring responses that report leaving while the upstream's failure domain is
/// drained.
#[test]
fn leaving_response_is_obeyed_in_drained_domain() {
    let body = json!({ "target": "domain", "active": true });
    let drain = records::record(1, "drain", "a", &body);
    assert_no_late_runs(10, |bed| {
        bed.write_records(&[drain]);
        bed.run_for(3_000);
        bed.upstreams.get("u1").leaving = true;
    });
}

/// Guards against losing the information that an upstream is leaving when its owner fails.
#[test]
fn next_owner_learns_of_leaving_upstream_from_peers() {
    for seed in 4..=6 {
        let mut bed = bed(seed);
        run_load(&mut bed, 2_000);
        bed.faults.platform_down = true;
        bed.faults.loss_percent = 20;
        bed.upstreams.get("u1").leaving = true;
        run_load(&mut bed, 300);
        let reported_at_ms = bed.now_ms();
        bed.upstreams.get("u1").reports_load = false;
        run_load(&mut bed, 700);
        bed.kill(owner_of("u1"));
        run_load(&mut bed, 15_000);
        bed.run_for(2_000);
        assert_eq!(late_runs(&mut bed, reported_at_ms), 0, "seed {seed}");
    }
}

/// Guards against a restarted owner that sends to a leaving upstream because it missed the report.
#[test]
fn restarted_owner_learns_of_leaving_upstream_from_peers() {
    for seed in 7..=12 {
        let mut bed = bed(seed);
        let owner = owner_of("u1");
        bed.kill(owner);
        // The others use the upstream, and get its report, once their grants to its owner have
        // expired.
        run_load(&mut bed, 16_000);
        bed.upstreams.get("u1").leaving = true;
        run_load(&mut bed, 1_000);
        let reported_at_ms = bed.now_ms();
        bed.upstreams.get("u1").reports_load = false;
        run_load(&mut bed, 10_000);
        assert_eq!(late_runs(&mut bed, reported_at_ms), 0, "seed {seed}");
        bed.start(owner);
        run_load(&mut bed, 15_000);
        bed.run_for(2_000);
        assert_eq!(late_runs(&mut bed, reported_at_ms), 0, "seed {seed}");
    }
}

fn owner_of_two_upstreams() -> OwnerHarness {
    let upstream =
        |name: &str| json!({ "name": name, "domain": "a", "address": "127.0.0.1:9", "slots": 4 });
    let body =
        json!({ "longest_deadline_ms": 5_000, "upstreams": [upstream("u1"), upstream("u2")] });
    OwnerHarness::new(&[
        records::places(&[("r", &["a"])]),
        records::record(1, "service", "s", &body),
    ])
}

/// Guards against reporting slots of leaving upstreams, queueing for them, or cancelling calls in
/// flight.
#[test]
fn leaving_upstream_has_no_slots_and_its_queue_is_rejected() {
    let mut owner = owner_of_two_upstreams();
    let running = owner.dispatch_many(8, Class::Paying, 2_000);
    assert_eq!(owner.reported_load(), (8, 8));
    owner.report_load("u1", 4, 4, true);
    assert_eq!(owner.reported_load(), (4, 4));
    let queued = owner.dispatch("s", Class::Paying, 2_000);
    owner.report_load("u2", 4, 4, true);
    assert_eq!(owner.reported_load(), (0, 0));
    assert_eq!(
        owner.rejection(queued).map(|refusal| refusal.reason),
        Some(RejectionReason::NoUpstream)
    );
    assert!(owner.cancelled().is_empty());
    for exchange in running {
        owner.end_call(exchange, CallOutcome::Completed);
    }
    assert!(owner.dispatch_many(1, Class::Paying, 2_000).is_empty());
}

/// Guards against an upstream that still counts as leaving long after it has come back.
#[test]
fn leaving_mark_expires() {
    let mut owner = owner_of_two_upstreams();
    owner.report_load("u1", 0, 4, true);
    owner.advance_ms(14 * 60_000);
    assert_eq!(owner.reported_load().0, 4);
    owner.advance_ms(2 * 60_000);
    assert_eq!(owner.reported_load().0, 8);
}
