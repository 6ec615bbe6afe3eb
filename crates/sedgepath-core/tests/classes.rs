//! Trial and guest traffic never crowds out paying traffic, and nobody waits for nothing.

use sedgepath_core::key::{OriginKey, ServiceKey, UpstreamKey};
use sedgepath_core::record::RawRecord;
use sedgepath_core::request::{CallOutcome, Class, Dispatch, RejectionReason};
use sedgepath_test_support::load::{self, Load, LoadSeen};
use sedgepath_test_support::owner::{Decision, Owner};
use sedgepath_test_support::records;
use serde_json::json;

/// The most that trial traffic may add to the 99th percentile of paying answers, in milliseconds: the
/// rest of one request of 100 ms (give or take a fifth) that holds the slot lent last.
const BOUND_MS: u64 = 120;

fn one_upstream(slots: u32) -> Vec<RawRecord> {
    let upstream = json!({ "name": "u", "domain": "a", "address": "127.0.0.1:9", "slots": slots });
    let body = json!({ "longest_deadline_ms": 60_000, "upstreams": [upstream] });
    vec![records::places(&[("r", &["a"])]), records::record(1, "service", "s", &body)]
}

/// An owner of two slots that has learnt that a request takes 100 ms, and whose slots are now taken.
fn busy_owner() -> Owner {
    let mut owner = Owner::new(&one_upstream(2));
    for _ in 0..20 {
        for exchange in owner.dispatch_many(1, Class::Paying, 5_000) {
            owner.pass_ms(100);
            owner.end(exchange, CallOutcome::Completed);
        }
    }
    owner.dispatch_many(2, Class::Paying, 5_000);
    owner
}

/// Two upstreams of four slots, 100 ms a request: 80 requests fit in a second. Paying callers ask for
/// 30.
fn run(seed: u64, trial_per_s: u64) -> LoadSeen {
    let mut bed = load::bed(seed, 1, &[("u1", 4, 100), ("u2", 4, 100)]);
    let load = Load { seed, paying_per_s: 30, paying_at_once: 1, trial_per_s, deadline_ms: 1_000 };
    load::run(&mut bed, load, 20_000)
}

/// Callers on trial ask for ten times the capacity while paying callers ask for three eighths of it.
/// Every paying request is answered in time, and slower by no more than the stated bound than in the
/// run without trial traffic.
#[test]
fn paying_is_served_as_if_there_were_no_trial() {
    for seed in 1..=3 {
        let alone = run(seed, 0);
        let crowded = run(seed, 800);
        let paying = &crowded.paying;
        assert_eq!(alone.paying.in_time, alone.paying.asked, "seed {seed}");
        assert_eq!(
            paying.in_time, paying.asked,
            "seed {seed}: {} of {} paying in time",
            paying.in_time, paying.asked
        );
        let (before_ms, after_ms) = (alone.paying.percentile_ms(99), paying.percentile_ms(99));
        assert!(after_ms <= before_ms + BOUND_MS, "seed {seed}: {before_ms} ms to {after_ms} ms");
    }
}

/// In the same run callers on trial get a good part of what paying callers leave, and those who don't
/// are told at once.
#[test]
fn trial_gets_what_is_left() {
    let crowded = run(4, 800);
    let trial = &crowded.trial;
    // 80 fit in a second, 30 are taken and the reserve keeps the peaks of paying free.
    assert!(trial.answered >= 20 * 10, "{} of {} trial", trial.answered, trial.asked);
    assert_eq!(crowded.waiting, 0);
    assert!(crowded.slowest_refusal_ms <= 500, "{} ms", crowded.slowest_refusal_ms);
}

/// Without any paying traffic, trial traffic has all slots but the one in reserve; where an upstream
/// has a single slot, trial may use it.
#[test]
fn trial_has_all_but_one_slot_without_paying() {
    let mut owner = Owner::new(&one_upstream(6));
    assert_eq!(owner.dispatch_many(10, Class::Trial, 1_000).len(), 5);
    assert_eq!(owner.dispatch_many(10, Class::Paying, 1_000).len(), 1);
    let mut owner = Owner::new(&one_upstream(1));
    assert_eq!(owner.dispatch_many(10, Class::Guest, 1_000).len(), 1);
}

/// Paying callers once held two of six slots, then four, then all. Trial traffic leaves as many free for
/// a while, but no more than half of all beyond what paying callers hold; then it gets them back.
#[test]
fn reserve_follows_the_recent_peak_of_paying() {
    let mut owner = Owner::new(&one_upstream(6));
    for (held, left) in [(2, 4), (4, 3), (6, 3)] {
        let paying = owner.dispatch_many(held, Class::Paying, 1_000);
        for exchange in paying {
            owner.end(exchange, CallOutcome::Completed);
        }
        assert_eq!(owner.fits(Class::Trial), left);
    }
    owner.dispatch_many(3, Class::Paying, 1_000);
    assert_eq!(owner.fits(Class::Trial), 1);
    owner.pass_ms(120_000);
    assert_eq!(owner.fits(Class::Trial), 5);
}

/// All slots are taken. Requests of both classes wait; when slots fall free, paying ones go first, and
/// of one class that with the nearest deadline.
#[test]
fn queue_serves_paying_first_then_the_nearest_deadline() {
    let mut owner = Owner::new(&one_upstream(2));
    let running = owner.dispatch_many(2, Class::Paying, 5_000);
    let trial = owner.dispatch("s", Class::Trial, 2_000);
    let late = owner.dispatch("s", Class::Paying, 4_000);
    let soon = owner.dispatch("s", Class::Paying, 3_000);
    owner.end(running[0], CallOutcome::Completed);
    let sent: Vec<_> = [soon, late, trial].map(|exchange| owner.is_sent(exchange)).into();
    assert_eq!(sent, [true, false, false]);
    owner.end(running[1], CallOutcome::Completed);
    assert!(owner.is_sent(late));
    assert!(!owner.is_sent(trial));
}

/// The queue fills up. Once what is ahead would outlast the deadline, a request is refused at once,
/// with a time to come back that grows with what is ahead.
#[test]
fn request_that_the_queue_cannot_serve_in_time_is_refused_at_once() {
    let mut owner = busy_owner();
    let waiting: Vec<_> = (0..20).map(|_| owner.dispatch("s", Class::Paying, 300)).collect();
    let refused: Vec<_> = waiting.iter().filter_map(|key| owner.refusal(*key)).collect();
    // Two slots, 100 ms a request: the fifth in the queue would start after 250 ms.
    assert!((14..=18).contains(&refused.len()), "{} refused", refused.len());
    assert!(refused.iter().all(|refusal| refusal.reason == RejectionReason::Full));
    assert!(refused.iter().all(|refusal| (50..=1_000).contains(&refusal.retry_after_ms)));
}

/// Nothing ends at an upstream any more. Those that wait are refused as soon as they can no longer be
/// served in time, not at their deadline.
#[test]
fn queued_request_that_can_no_longer_make_it_is_refused_then() {
    let mut owner = busy_owner();
    let waiting = owner.dispatch("s", Class::Paying, 1_000);
    assert_eq!(owner.decision(waiting), Decision::Queued);
    owner.pass_ms(900);
    assert_eq!(owner.refusal(waiting).map(|refusal| refusal.reason), Some(RejectionReason::Full));
}

/// Callers go away: one whose request waits is taken out of the queue, one whose request runs is left
/// running while its cancellation is tried.
#[test]
fn callers_that_go_away_leave_the_queue() {
    let mut owner = Owner::new(&one_upstream(1));
    let running = owner.dispatch("s", Class::Paying, 5_000);
    let waiting = owner.dispatch("s", Class::Paying, 5_000);
    owner.gone(waiting);
    owner.gone(running);
    assert_eq!(
        owner.refusal(waiting).map(|refusal| refusal.reason),
        Some(RejectionReason::Cancelled)
    );
    assert_eq!(owner.cancelled(), [running]);
    assert_eq!(owner.load().1, 1);
}

/// A request has failed at the only upstream and should avoid it, another's deadline has passed on its
/// way. Both are refused at once, though slots are free.
#[test]
fn request_that_no_upstream_may_run_is_refused_at_once() {
    let mut owner = Owner::new(&one_upstream(2));
    let dispatch = Dispatch {
        service: ServiceKey::of("s"),
        class: Class::Paying,
        origin: OriginKey::of("any"),
        remaining_ms: 5_000,
        once_only: false,
        avoid_upstream: Some(UpstreamKey::of("u")),
        revision: 1,
    };
    let avoiding = owner.hand_in(&dispatch);
    assert_eq!(
        owner.refusal(avoiding).map(|refusal| refusal.reason),
        Some(RejectionReason::NoUpstream)
    );
    let late = owner.hand_in(&Dispatch { remaining_ms: 0, avoid_upstream: None, ..dispatch });
    assert_eq!(owner.refusal(late).map(|refusal| refusal.reason), Some(RejectionReason::Deadline));
}
