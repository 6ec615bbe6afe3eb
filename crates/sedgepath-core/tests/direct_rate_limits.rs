//! Rate limits that upstreams state, on one VM and summed over many.

use fastrand::Rng;
use sedgepath_core::direct::Steering;
use sedgepath_core::direct::attempts::{Attempt, AttemptOutcome, NextStep, RejectionReason};
use sedgepath_core::direct::rate_limits::RateLimits;
use sedgepath_core::direct::reports::{Report, ReportQueue};
use sedgepath_core::direct::statements::{StatedLeaving, StatedPause, StatedRateLimit, Statements};
use sedgepath_core::direct::upstreams::IncarnationKey;
use sedgepath_core::key::VmKey;
use sedgepath_test_support::direct::{begin_request, serving_vm, vm_with_retry_budget};

const SUCCESS: AttemptOutcome =
    AttemptOutcome::Answered { failed: false, report: None, body_bytes: 1 };

const UPSTREAM: IncarnationKey = IncarnationKey(7);

/// The window in which operators count an upstream's requests, in milliseconds.
const WINDOW_MS: u64 = 4_000;

/// Returns the most requests that operators allow in a window.
fn allowed(limit_per_s: f64) -> f64 {
    1.5 * limit_per_s * WINDOW_MS as f64 / 1_000.0 + 5.0
}

/// Returns the most requests in a window; `at_ms` is sorted.
fn most_in_a_window(at_ms: &[u64]) -> usize {
    let in_window = |start: &u64| {
        at_ms.partition_point(|at| *at < start + WINDOW_MS) - at_ms.partition_point(|at| at < start)
    };
    at_ms.iter().map(in_window).max().unwrap_or(0)
}

fn keys(count: u64) -> Vec<VmKey> {
    (0..count).map(|number| VmKey::of(&format!("vm-{number}"))).collect()
}

/// Lets the response to an attempt state a rate limit, or none.
fn state_limit(vm: &mut Steering, attempt: &Attempt, per_s: Option<f64>, now_ms: u64) {
    let rate_limit = Some(per_s.map_or(StatedRateLimit::None, StatedRateLimit::PerSecond));
    let (leaving, pause) = (StatedLeaving::No, StatedPause::None);
    vm.record_statements(attempt, Statements { rate_limit, leaving, pause }, now_ms);
}

/// Lets VMs that have all heard of a limit send as much as it allows for a time, each by its view of
/// who shares it, with a pause; returns when requests were sent.
fn send_all(limit_per_s: f64, views: &[Vec<VmKey>], seed: u64) -> Vec<u64> {
    let mut vms: Vec<(RateLimits, &Vec<VmKey>)> = Vec::new();
    for view in views {
        vms.extend(view.iter().map(|key| (RateLimits::new(*key), view)));
    }
    for (vm, _) in &mut vms {
        vm.receive(UPSTREAM, Some(limit_per_s), 0, 0);
    }
    let mut rng = Rng::with_seed(seed);
    let mut sent_at_ms = Vec::new();
    for now_ms in (0..20_000).step_by(10) {
        for (vm, view) in &mut vms {
            if now_ms % 250 == 0 {
                vm.update_parts(|_| view.as_slice(), views.len() == 1, now_ms);
            }
            let is_idle = (8_000..13_000).contains(&now_ms);
            if !is_idle && rng.f64() < 0.5 && vm.allows(UPSTREAM, now_ms) {
                vm.record_send(UPSTREAM, now_ms);
                sent_at_ms.push(now_ms);
            }
        }
    }
    sent_at_ms
}

/// Guards against parts that are rounded up to more than the limit, or down to nothing, whatever the
/// number of VMs.
#[test]
fn the_parts_of_a_limit_add_up() {
    for count in [2, 3, 10, 30, 100, 300] {
        for limit_per_s in [0.0, 0.3, 1.0, 2.7, 5.1, 40.0, 1_000.0] {
            let sent_at_ms = send_all(limit_per_s, &[keys(count)], count);
            let most = most_in_a_window(&sent_at_ms);
            let case = format!("{most} in a window, {count} VMs, {limit_per_s} a second");
            assert!(most as f64 <= allowed(limit_per_s), "{case}");
            let used_per_s = sent_at_ms.len() as f64 / 15.0;
            let reachable_per_s = limit_per_s.min(count as f64 * 20.0);
            assert!(used_per_s >= 0.75 * reachable_per_s, "{used_per_s} a second: {case}");
            assert!(!sent_at_ms.is_empty(), "nobody would learn of the end: {case}");
        }
    }
}

/// Guards against two halves of the VMs that don't hear each other and each use the whole limit.
#[test]
fn vms_that_disagree_on_who_shares_a_limit_keep_near_it() {
    for limit_per_s in [1.0, 2.7, 5.1] {
        let all = keys(30);
        let views = [all[..15].to_vec(), all[15..].to_vec()];
        let most = most_in_a_window(&send_all(limit_per_s, &views, 1));
        assert!(most as f64 <= allowed(limit_per_s), "{most} at {limit_per_s} a second");
    }
}

/// Guards against limits of which a VM learns only by its own requests, and against those that stay
/// after their end.
#[test]
fn a_limit_is_told_and_renewed_and_ends() {
    let [one, other] = [VmKey(1), VmKey(2)];
    let (mut teller, mut listener) = (RateLimits::new(one), RateLimits::new(other));
    let mut reports = ReportQueue::default();
    let mut told = |teller: &mut RateLimits, per_s, sent_at_ms, now_ms| {
        teller.record_response(UPSTREAM, per_s, sent_at_ms, &mut reports, now_ms);
        let due = reports.take_due(now_ms);
        for report in due.in_domain.into_iter().flatten() {
            let Report::RateLimit { upstream, per_s, age_ms } = report else {
                panic!("another report");
            };
            listener.receive(upstream, per_s, age_ms, now_ms);
        }
        listener.limit_per_s(UPSTREAM)
    };
    assert_eq!(told(&mut teller, Some(2.7), 0, 100), Some(2.7));
    assert_eq!(told(&mut teller, Some(1.0), 0, 300), Some(1.0));
    assert_eq!(told(&mut teller, None, 50, 400), Some(1.0), "a response from before the limit");
    assert_eq!(told(&mut teller, None, 500, 700), None);
    assert!(!listener.receive(UPSTREAM, Some(1.0), 200, 750), "an overtaken report");
    assert_eq!(listener.limit_per_s(UPSTREAM), None);

    listener.receive(UPSTREAM, Some(1.0), 0, 1_000);
    listener.forget_outdated(|_| true, 30_000);
    assert_eq!(listener.limit_per_s(UPSTREAM), Some(1.0));
    listener.forget_outdated(|_| true, 62_000);
    assert_eq!(listener.limit_per_s(UPSTREAM), None, "nothing is heard of it");
    listener.receive(UPSTREAM, Some(1.0), 0, 70_000);
    listener.forget_outdated(|_| false, 70_000);
    assert_eq!(listener.limit_per_s(UPSTREAM), None, "the upstream is gone");
}

/// Guards against damaged or hostile reports.
#[test]
fn unusable_limits_of_other_vms_are_ignored() {
    let mut vm = RateLimits::new(VmKey(1));
    for per_s in [f64::NAN, f64::INFINITY, -1.0] {
        assert!(!vm.receive(UPSTREAM, Some(per_s), u64::MAX, 10));
        assert!(vm.is_empty());
    }
    vm.receive(UPSTREAM, Some(f64::MAX), u64::MAX, 10);
    vm.update_parts(|_| &[VmKey(1)], true, 1_000);
    assert!(vm.allows(UPSTREAM, 1_100));
}

/// What became of some requests.
#[derive(Debug, Default)]
struct Run {
    /// The names of the upstreams that got requests, in order, and when, in milliseconds.
    sent: Vec<(Box<str>, u64)>,
    rejected: Vec<(RejectionReason, u64)>,
}

/// Sends requests for one object at a VM for ten seconds, each answered after 50 ms with the stated
/// limits.
fn run_requests(vm: &mut Steering, stated: &dyn Fn(&str) -> Option<f64>) -> Run {
    let mut run = Run::default();
    for now_ms in (0..10_000).step_by(100) {
        if now_ms % 300 == 0 {
            vm.update_rate_limits(now_ms);
        }
        let mut request = begin_request(vm, "/reads/1", "7", now_ms);
        match vm.next_step(&mut request, 7, now_ms) {
            NextStep::Send(attempt) => {
                let end_ms = now_ms + 50;
                let limit = stated(&attempt.name);
                state_limit(vm, &attempt, limit, end_ms);
                vm.record_outcome(&mut request, attempt.upstream, SUCCESS, end_ms);
                run.sent.push((attempt.name, now_ms));
            }
            NextStep::Reject { reason, retry_after_ms } => {
                run.rejected.push((reason, retry_after_ms));
            }
            NextStep::GiveUp { reason } => panic!("given up: {reason:?}"),
            NextStep::Forward(to) => panic!("forwarded to {to:?}"),
        }
    }
    run
}

/// Guards against callers turned away while other upstreams have room.
#[test]
fn requests_beyond_a_limit_go_to_other_upstreams() {
    let mut vm = serving_vm("a1", "north-a", 1, 2);
    let preferred = run_requests(&mut vm, &|_| None).sent[0].0.clone();
    let run = run_requests(&mut vm, &|name| (*name == *preferred).then_some(2.7));
    let at_preferred: Vec<u64> =
        run.sent.iter().filter(|(name, _)| *name == preferred).map(|(_, at_ms)| *at_ms).collect();
    assert_eq!(run.rejected, []);
    let (count, most) = (at_preferred.len(), most_in_a_window(&at_preferred));
    // What the limit states, with one request saved up.
    assert!((10..=27).contains(&count), "{count} requests in 10 s");
    assert!(most as f64 <= 2.7 * 4.0 + 1.0, "{most} requests in a window");
}

/// Guards against the rate of limited upstreams spent on requests whose objects are warm elsewhere.
#[test]
fn the_rate_of_limited_upstreams_goes_to_warm_objects() {
    let mut vm = serving_vm("a1", "north-a", 1, 4);
    for object in 0..40 {
        let mut request = begin_request(&mut vm, "/reads/1", &object.to_string(), 0);
        let NextStep::Send(attempt) = vm.next_step(&mut request, 7, 0) else {
            panic!("an upstream is free");
        };
        vm.record_outcome(&mut request, attempt.upstream, SUCCESS, 10);
    }
    let (mut sent, mut sent_warm) = (0, 0);
    for now_ms in (1_000..11_000).step_by(20) {
        let object = now_ms / 20 % 40;
        let mut request = begin_request(&mut vm, "/reads/1", &object.to_string(), now_ms);
        if let NextStep::Send(attempt) = vm.next_step(&mut request, 7, now_ms) {
            state_limit(&mut vm, &attempt, Some(2.0), now_ms + 10);
            vm.record_outcome(&mut request, attempt.upstream, SUCCESS, now_ms + 10);
            sent += 1;
            sent_warm += usize::from(attempt.decision.warm);
        }
    }
    assert!(sent > 100, "{sent} requests in 10 s");
    assert!(sent_warm * 2 > sent, "{sent_warm} of {sent} to a warm upstream");
}

/// Guards against requests that are held, or rejected without the time to come back, once all
/// upstreams are at their limits.
#[test]
fn requests_beyond_all_limits_are_rejected_with_a_time() {
    let mut vm = serving_vm("a1", "north-a", 1, 1);
    let run = run_requests(&mut vm, &|_| Some(1.0));
    assert!(!run.rejected.is_empty());
    for (reason, retry_after_ms) in run.rejected {
        assert_eq!(reason, RejectionReason::RateLimited);
        assert!((400..=2_000).contains(&retry_after_ms), "{retry_after_ms}");
    }
}

/// Guards against retries that go past a limit.
#[test]
fn retries_keep_to_a_limit_too() {
    let mut vm = vm_with_retry_budget("a1", "north-a", 1, 1);
    for number in 0..4 {
        let mut request = begin_request(&mut vm, "/reads/1", &number.to_string(), 100);
        while let NextStep::Send(attempt) = vm.next_step(&mut request, 7, 100) {
            state_limit(&mut vm, &attempt, Some(0.1), 110);
            let rejected = AttemptOutcome::Refused { report: None };
            vm.record_outcome(&mut request, attempt.upstream, rejected, 110);
        }
    }
    vm.update_rate_limits(120);
    let mut request = begin_request(&mut vm, "/reads/1", "9", 130);
    let step = vm.next_step(&mut request, 7, 130);
    assert!(
        matches!(step, NextStep::Reject { reason: RejectionReason::RateLimited, .. }),
        "{step:?}"
    );
}
