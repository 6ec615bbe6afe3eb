//! Requests that crash the upstreams that run them, on one VM and over simulated networks of VMs.

use fastrand::Rng;
use sedgepath_core::direct::Steering;
use sedgepath_core::direct::attempts::{AttemptOutcome, NextStep, RejectionReason, RequestState};
use sedgepath_core::direct::crashes::quarantine::{
    Clocks, MAX_PROBES, PROBE_DELAY_MS, QUARANTINE_MS, QuarantineRow,
};
use sedgepath_core::direct::crashes::{
    CrashLedger, MAX_SUSPECTS, QUARANTINE_CRASHES, SUSPICION_MS, Verdict,
};
use sedgepath_core::direct::fingerprint::{RequestFingerprints, RequestIdentity};
use sedgepath_core::direct::reports::ReportQueue;
use sedgepath_core::direct::store_version::StoreVersion;
use sedgepath_core::direct::upstreams::IncarnationKey;
use sedgepath_core::hash::Digest;
use sedgepath_core::key::VmKey;
use sedgepath_test_support::direct::{
    begin_request, region_of, serving_vm, upstream_entry, vm_with_retry_budget,
};
use sedgepath_test_support::vm_network::VmNetwork;

/// The fraction of datagrams that are lost in some runs.
const LOSS_RATE: f64 = 0.33;

/// The time after which all VMs know that a request crashes its upstreams.
const SETTLED_AFTER_MS: u64 = 3_000;

/// The number of times that a request may run once all VMs know that it crashes its upstreams.
const MAX_LATE_RUNS: u64 = 3;

/// The bytes of control traffic that a VM may send in a second.
const MAX_CONTROL_BYTES_PER_S: u64 = 11_000;

fn fingerprints(target: &str) -> RequestFingerprints {
    RequestFingerprints::of(&RequestIdentity {
        account: None,
        credentials: None,
        caller: [10, 0, 0, 1].into(),
        method: "GET",
        host: "shop.example",
        target,
        body: b"",
        body_bytes: Some(0),
    })
}

fn clocks(now_ms: u64) -> Clocks {
    Clocks { now_ms, unix_ms: 1_000_000 + now_ms }
}

fn ledger() -> CrashLedger {
    CrashLedger::new(VmKey(1))
}

/// Records the crashes of three upstreams, and returns the ledger.
fn ledger_with_fatal(request: &RequestFingerprints) -> CrashLedger {
    let mut ledger = ledger();
    for number in 0..QUARANTINE_CRASHES as u64 {
        ledger.record_crash(request, IncarnationKey(number), &mut ReportQueue::default(), 0);
    }
    ledger
}

/// Returns a version of a store that was never restored.
fn at(counter: u64) -> StoreVersion {
    StoreVersion::new(0, counter)
}

/// Applies the writes that are due, as if the store had accepted them.
fn apply_due_writes(ledger: &mut CrashLedger, version: u64, now_ms: u64) -> usize {
    let writes = ledger.take_due_writes(clocks(now_ms));
    for write in &writes {
        ledger.apply_quarantine_row(write.fingerprint, at(version), write.row, clocks(now_ms));
    }
    writes.len()
}

fn request(vm: &mut Steering, path: &str, target: &str, now_ms: u64) -> RequestState {
    let mut state = begin_request(vm, path, "7", now_ms);
    state.fingerprints = Some(fingerprints(target));
    state
}

/// Performs the next step and ends the attempt, if it is one; returns the step.
fn step(vm: &mut Steering, state: &mut RequestState, end: AttemptOutcome, now_ms: u64) -> NextStep {
    let step = vm.next_step(state, 7, now_ms);
    if let NextStep::Send(attempt) = &step {
        vm.record_outcome(state, attempt.upstream, end, now_ms);
    }
    step
}

const SUCCESS: AttemptOutcome =
    AttemptOutcome::Answered { failed: false, report: None, body_bytes: 1 };

/// Guards against a VM that sends a request on to one upstream after the other, and against a
/// rejection without proof that the request did not run.
#[test]
fn a_request_is_rejected_after_three_crashes() {
    let mut vm = vm_with_retry_budget("a1", "north-a", 1, 4);
    let mut sends = 0;
    for number in 0..10 {
        let now_ms = number * 100;
        let mut state = request(&mut vm, "/reads/1", "/reads/fatal", now_ms);
        loop {
            match step(&mut vm, &mut state, AttemptOutcome::Crashed, now_ms) {
                NextStep::Send(_) => sends += 1,
                NextStep::GiveUp { .. } => break assert!(state.possible_runs > 0),
                NextStep::Forward(to) => panic!("forwarded to {to:?}"),
                NextStep::Reject { reason, retry_after_ms } => {
                    assert_eq!(reason, RejectionReason::CrashesUpstreams);
                    assert_eq!((state.possible_runs, retry_after_ms), (0, PROBE_DELAY_MS));
                    break;
                }
            }
        }
    }
    assert_eq!(sends, QUARANTINE_CRASHES);
}

/// Guards against innocent requests rejected because their upstreams ended for another reason.
#[test]
fn a_request_that_succeeds_between_crashes_is_served() {
    let mut vm = vm_with_retry_budget("a1", "north-a", 1, 4);
    for number in 0..8 {
        let now_ms = number * 5_000;
        let mut state = request(&mut vm, "/reads/1", "/reads/hot", now_ms);
        let first = step(&mut vm, &mut state, AttemptOutcome::Crashed, now_ms);
        let second = step(&mut vm, &mut state, SUCCESS, now_ms);
        assert!(matches!((&first, &second), (NextStep::Send(_), NextStep::Send(_))), "{second:?}");
    }
}

/// Guards against a second upstream that runs a suspected request at the same time.
#[test]
fn a_suspected_request_is_not_hedged() {
    let mut vm = vm_with_retry_budget("a1", "north-a", 1, 4);
    let mut state = request(&mut vm, "/reads/1", "/reads/fatal", 0);
    assert!(matches!(step(&mut vm, &mut state, AttemptOutcome::Crashed, 0), NextStep::Send(_)));
    let mut repeat = request(&mut vm, "/reads/1", "/reads/fatal", 10);
    assert!(matches!(vm.next_step(&mut repeat, 7, 10), NextStep::Send(_)));
    assert_eq!(vm.hedge(&mut repeat, 7, 2_900), None);
}

/// Guards against lost connections taken for crashes, and against crashes after which the upstream
/// accepts connections again at once.
#[test]
fn a_lost_connection_counts_once_the_entry_is_gone() {
    let verdict_after = |change: &dyn Fn(&mut Steering, &str)| {
        let mut vm = serving_vm("a1", "north-a", 1, 4);
        let mut state = request(&mut vm, "/charges/1", "/charges/1", 0);
        let NextStep::Send(attempt) = step(&mut vm, &mut state, AttemptOutcome::Failed, 0) else {
            panic!("an upstream is free");
        };
        change(&mut vm, &attempt.name);
        vm.maintain_crashes(5_000);
        vm.crashes().verdict(&fingerprints("/charges/1"), 5_000)
    };
    let restarted = |vm: &mut Steering, name: &str| {
        let mut entry = upstream_entry(name, "north-a", 1);
        entry.started_at_ms = Some(4_000);
        vm.upstreams_mut().upsert(entry, region_of("north-a"), 4_000);
    };
    let leaving = |vm: &mut Steering, name: &str| {
        let upstreams = vm.upstreams_mut();
        let entry = upstreams.iter().find(|(_, upstream)| *upstream.entry.name == *name);
        let mut entry = entry.expect("the upstream").1.entry.clone();
        entry.leaving = true;
        entry.sequence += 1;
        let region = region_of(&entry.domain);
        upstreams.upsert(entry, region, 4_000);
        vm.maintain_crashes(4_100);
        vm.upstreams_mut().remove(name, 4_900);
    };
    let removed = |vm: &mut Steering, name: &str| vm.upstreams_mut().remove(name, 4_000);
    assert_eq!(verdict_after(&|_, _| {}), Verdict::Allowed);
    assert_eq!(verdict_after(&leaving), Verdict::Allowed);
    assert_eq!(verdict_after(&removed), Verdict::Suspected { crashes: 1 });
    assert_eq!(verdict_after(&restarted), Verdict::Suspected { crashes: 1 });
}

/// Guards against requests cut off by an upstream's planned end that count as its crash.
#[test]
fn the_end_of_a_leaving_upstream_is_no_crash() {
    let mut vm = serving_vm("a1", "north-a", 1, 4);
    let mut state = request(&mut vm, "/charges/1", "/charges/1", 0);
    let NextStep::Send(attempt) = vm.next_step(&mut state, 7, 0) else {
        panic!("an upstream is free");
    };
    let mut entry = vm.upstreams().get(attempt.upstream).expect("the upstream").entry.clone();
    entry.leaving = true;
    entry.sequence += 1;
    let region = region_of(&entry.domain);
    vm.upstreams_mut().upsert(entry, region, 10);
    vm.record_outcome(&mut state, attempt.upstream, AttemptOutcome::Crashed, 20);
    let verdict = vm.crashes().verdict(&fingerprints("/charges/1"), 20);
    assert_eq!(verdict, Verdict::Allowed);
}

/// Guards against an innocent request that stays rejected, and against probes without end.
#[test]
fn probes_are_few_and_a_success_ends_the_quarantine() {
    let fatal = fingerprints("/reads/fatal");
    let mut ledger = ledger_with_fatal(&fatal);
    assert_eq!(apply_due_writes(&mut ledger, 1, 0), 2, "a row for each fingerprint");
    let mut probes = 0;
    for now_ms in (0..QUARANTINE_MS).step_by(1_000) {
        let claim = ledger.quarantine().probe_claim(&fatal, clocks(now_ms));
        if !claim.is_empty() {
            probes += 1;
            for write in claim {
                ledger.apply_quarantine_row(
                    write.fingerprint,
                    at(1 + probes),
                    write.row,
                    clocks(now_ms),
                );
            }
        }
        assert!(matches!(ledger.verdict(&fatal, now_ms), Verdict::Quarantined { .. }), "{now_ms}");
    }
    assert_eq!(probes, u64::from(MAX_PROBES));

    let innocent = fingerprints("/reads/hot");
    let mut ledger = ledger_with_fatal(&innocent);
    apply_due_writes(&mut ledger, 1, 0);
    ledger.record_success(&innocent, &mut ReportQueue::default(), PROBE_DELAY_MS);
    assert_eq!(apply_due_writes(&mut ledger, 2, PROBE_DELAY_MS), 2);
    assert_eq!(ledger.verdict(&innocent, PROBE_DELAY_MS), Verdict::Allowed);
    assert_eq!(apply_due_writes(&mut ledger, 3, 60_000), 0, "the quarantine is written again");
}

/// Guards against a quarantine that outlives its end, or a row that stays in the store for ever.
#[test]
fn a_quarantine_ends_and_its_row_is_removed() {
    let fatal = fingerprints("/reads/fatal");
    let row = QuarantineRow { probes: 9, probe_at_unix_ms: 0, until_unix_ms: 1_005_000 };
    let mut ledger = ledger();
    ledger.apply_quarantine_row(fatal.of_caller, at(1), Some(row), clocks(0));
    assert_eq!(ledger.verdict(&fatal, 1_000), Verdict::Quarantined { retry_after_ms: 4_000 });
    assert_eq!(ledger.verdict(&fatal, 5_000), Verdict::Allowed);
    let writes = ledger.take_due_writes(clocks(100_000));
    assert_eq!((writes.len(), writes[0].expected, writes[0].row), (1, Some(at(1)), None));
    assert_eq!(ledger.verdict(&fatal, 100_000), Verdict::Allowed);
}

/// Guards against memory that grows with the requests that callers invent.
#[test]
fn the_number_of_suspects_is_bounded_and_the_fatal_ones_stay() {
    let fatal = fingerprints("/reads/fatal");
    let mut ledger = ledger_with_fatal(&fatal);
    for number in 0..2 * MAX_SUSPECTS as u64 {
        let request = fingerprints(&format!("/reads/{number}"));
        ledger.record_crash(&request, IncarnationKey(number), &mut ReportQueue::default(), number);
    }
    assert_eq!(ledger.suspect_count(), MAX_SUSPECTS);
    assert!(matches!(ledger.verdict(&fatal, 0), Verdict::Quarantined { .. }));
    let upstreams = sedgepath_core::direct::upstreams::UpstreamTable::default();
    ledger.maintain(
        &upstreams,
        &mut ReportQueue::default(),
        2 * MAX_SUSPECTS as u64 + SUSPICION_MS,
    );
    assert_eq!(ledger.suspect_count(), 0);
}

/// Guards against a caller without credentials that has the requests of others rejected.
#[test]
fn the_success_of_another_caller_clears_what_both_share() {
    let attacker = fingerprints("/reads/hot");
    let other = RequestFingerprints { of_caller: Digest::of(&[b"other"]), ..attacker };
    let mut ledger = ledger();
    for number in 0..QUARANTINE_CRASHES as u64 {
        ledger.record_crash(&attacker, IncarnationKey(number), &mut ReportQueue::default(), 0);
        ledger.record_success(&other, &mut ReportQueue::default(), 10);
    }
    assert_eq!(ledger.verdict(&other, 20), Verdict::Allowed);
    assert!(matches!(ledger.verdict(&attacker, 20), Verdict::Quarantined { .. }));
}

/// Repeats a fatal request at random VMs; returns the runs, and those after all VMs must know.
fn repeat_fatal(net: &mut VmNetwork, seed: u64) -> (u64, u64) {
    let fatal = fingerprints("/reads/fatal");
    let mut rng = Rng::with_seed(seed);
    let (mut runs, mut late_runs, mut third_at_ms) = (0, 0, u64::MAX);
    for _ in 0..30 {
        let vm = rng.usize(0..net.count());
        let verdict = net.verdict(vm, &fatal);
        if verdict.is_some_and(|verdict| verdict < Verdict::ProbeDue) {
            late_runs += u64::from(net.now_ms() > third_at_ms.saturating_add(SETTLED_AFTER_MS));
            net.crash(vm, &fatal, IncarnationKey(runs));
            runs += 1;
            if runs == QUARANTINE_CRASHES as u64 {
                third_at_ms = net.now_ms();
            }
        }
        net.run_for(200);
    }
    (runs, late_runs)
}

/// Guards against a bound that holds on each VM and not over all of them, also with a third of the
/// datagrams lost.
#[test]
fn the_runs_of_a_fatal_request_are_bounded_over_all_vms() {
    for (per_domain, loss_rate, most_runs) in
        [(5, 0.0, 3), (5, LOSS_RATE, 6), (17, LOSS_RATE, 6), (50, LOSS_RATE, 6)]
    {
        let mut net = VmNetwork::running(6, per_domain, 11);
        net.loss_rate = loss_rate;
        let (runs, late_runs) = repeat_fatal(&mut net, 12);
        let vms = net.count();
        assert!(runs <= most_runs, "{runs} runs at {vms} VMs, loss {loss_rate}");
        assert!(late_runs <= MAX_LATE_RUNS, "{late_runs} at {vms} VMs, loss {loss_rate}");
    }
}

/// Guards against innocent requests rejected on some VMs after others have served them.
#[test]
fn a_success_on_one_vm_clears_the_request_on_all() {
    let hot = fingerprints("/reads/hot");
    let mut net = VmNetwork::running(4, 5, 11);
    for number in 0..6 {
        net.crash(number, &hot, IncarnationKey(number as u64));
        net.run_for(300);
        net.succeed(19 - number, &hot);
        net.run_for(300);
        for vm in 0..net.count() {
            assert_eq!(net.verdict(vm, &hot), Some(Verdict::Allowed), "VM {vm} after {number}");
        }
    }
}

/// Guards against control traffic that grows with the number of VMs: an upstream's crash under
/// twenty requests.
#[test]
fn the_bytes_of_a_crash_are_bounded() {
    let mut net = VmNetwork::running(6, 17, 11);
    let before: u64 = net.sent_bytes_by_vm.iter().sum();
    for number in 0..20 {
        net.crash(5 * number, &fingerprints(&format!("/reads/{number}")), IncarnationKey(1));
    }
    net.run_for(300);
    for number in 0..20 {
        net.succeed(5 * number, &fingerprints(&format!("/reads/{number}")));
    }
    net.run_for(700);
    let bytes = net.sent_bytes_by_vm.iter().sum::<u64>() - before;
    let bytes_per_vm = bytes / net.count() as u64;
    assert!(bytes_per_vm < MAX_CONTROL_BYTES_PER_S, "{bytes_per_vm} bytes a VM in a second");
}

/// Guards against a quarantine that is lost, or a removed one that is back, once the store was restored
/// from a copy, and against VMs that all write it again at the same moment.
#[test]
fn a_lost_quarantine_is_written_again() {
    let fatal = fingerprints("/reads/fatal").of_caller;
    let row = QuarantineRow { probes: 1, probe_at_unix_ms: 0, until_unix_ms: 9_000_000 };
    let restored_version = StoreVersion::new(1, 7);
    let mut first_writes_at_ms = Vec::new();
    for vm in 0..8 {
        let mut ledger = CrashLedger::new(VmKey(vm));
        ledger.apply_quarantine_row(fatal, at(40), Some(row), clocks(0));
        ledger.repeat_quarantine_write(fatal, Some(row), None, 0);
        let due_at_ms = (0..10_000).find(|now_ms| {
            let writes = ledger.take_due_writes(clocks(*now_ms));
            writes.iter().any(|write| (write.expected, write.row) == (None, Some(row)))
        });
        first_writes_at_ms.push(due_at_ms.expect("a write"));

        ledger.apply_quarantine_row(fatal, restored_version, Some(row), clocks(10_000));
        assert_eq!(ledger.take_due_writes(clocks(20_000)), vec![], "another VM has written it");

        ledger.repeat_quarantine_write(fatal, None, Some(restored_version), 20_000);
        let removals = ledger.take_due_writes(clocks(23_000));
        assert_eq!(removals.len(), 1);
        assert_eq!((removals[0].expected, removals[0].row), (Some(restored_version), None));
    }
    first_writes_at_ms.sort_unstable();
    first_writes_at_ms.dedup();
    assert!(first_writes_at_ms.len() > 4, "{first_writes_at_ms:?}");
}
