//! Tests of the limits of admission control: slots, open connections and new connections of an
//! upstream.

use sedgepath_core::key::{ExchangeKey, UpstreamKey};
use sedgepath_core::record::RawRecord;
use sedgepath_core::request::{CallOutcome, Class, RejectionReason};
use sedgepath_test_support::bed::CallResult;
use sedgepath_test_support::load::{self, Load};
use sedgepath_test_support::owner::{Decision, OwnerHarness};
use sedgepath_test_support::records;
use serde_json::json;

/// Returns records of one upstream `u` of service `s` in failure domain `a`; `extra_fields`
/// overrides its fields.
fn one_upstream(slots: u32, extra_fields: &serde_json::Value) -> Vec<RawRecord> {
    let mut upstream = json!({
        "name": "u", "domain": "a", "address": "127.0.0.1:9", "slots": slots,
    });
    let fields = upstream.as_object_mut().expect("an object was written");
    fields.extend(extra_fields.as_object().expect("fields are given as an object").clone());
    let body = json!({ "longest_deadline_ms": 5_000, "upstreams": [upstream] });
    vec![records::places(&[("r", &["a"])]), records::record(1, "service", "s", &body)]
}

fn owner_of_one_upstream(slots: u32, extra_fields: &serde_json::Value) -> OwnerHarness {
    OwnerHarness::new(&one_upstream(slots, extra_fields))
}

/// Guards against overload that exceeds the slots of an upstream, leaves slots idle or keeps
/// requests in the queue that are rejected in the end.
#[test]
fn overload_stays_within_slots() {
    for seed in 1..=3 {
        let mut bed = load::single_service_bed(seed, 2, &[("u1", 4, 100), ("u2", 4, 100)]);
        let load =
            Load { seed, paying_per_s: 240, paying_burst: 1, trial_per_s: 0, deadline_ms: 2_000 };
        let calls = load::run(&mut bed, load, 10_000);
        let peaks: Vec<_> = bed.upstreams.iter().map(|(_, up)| up.peak_in_flight).collect();
        assert!(peaks.iter().all(|peak| *peak <= 4), "seed {seed}: peaks {peaks:?} of 4 slots");
        assert_eq!(calls.pending, 0, "seed {seed}");
        assert!(
            calls.paying.answered >= 700,
            "seed {seed}: {} of 800 that fit",
            calls.paying.answered
        );
        // Requests for which the queue has no room are rejected at once.
        assert!(
            calls.slowest_rejection_ms <= 500,
            "seed {seed}: {} ms",
            calls.slowest_rejection_ms
        );
    }
}

/// Guards against reusing the slots of calls with lost responses before their deadline, and against
/// callers that get no outcome.
#[test]
fn lost_responses_stay_within_slots() {
    let mut bed = load::single_service_bed(4, 1, &[("u1", 4, 50)]);
    bed.upstreams.get("u1").loses_responses = true;
    bed.upstreams.get("u1").reports_load = false;
    let load =
        Load { seed: 1, paying_per_s: 240, paying_burst: 1, trial_per_s: 0, deadline_ms: 1_000 };
    let calls = load::run(&mut bed, load, 5_000);
    assert!(bed.upstreams.get("u1").peak_in_flight <= 4);
    assert_eq!(calls.pending, 0);
    // A request waits for at most half of its deadline, then holds its slot for the other half.
    let runs = bed.upstreams.get("u1").runs.len();
    assert!(runs <= 4 * 11, "{runs} runs");
}

/// Guards against freeing the slot of a lost call before its deadline, or not at all.
#[test]
fn lost_call_keeps_its_slot_until_its_deadline() {
    let mut owner = owner_of_one_upstream(4, &json!({}));
    let sent = owner.dispatch_many(4, Class::Paying, 2_000);
    owner.advance_ms(10);
    for exchange in &sent {
        owner.end_call(*exchange, CallOutcome::Lost);
    }
    assert_eq!(owner.egress().in_flight(UpstreamKey::of("u")), 4);
    assert!(owner.dispatch_many(4, Class::Paying, 1_500).is_empty());
    owner.advance_ms(1_980);
    assert_eq!(owner.egress().in_flight(UpstreamKey::of("u")), 4);
    owner.advance_ms(20);
    assert_eq!(owner.egress().in_flight(UpstreamKey::of("u")), 0);
    assert_eq!(owner.dispatch_many(4, Class::Paying, 2_000).len(), 4);
}

/// Guards against slots that an outdated report frees, or that a newer one doesn't free.
#[test]
fn newer_report_frees_the_slots_of_lost_calls() {
    let mut owner = owner_of_one_upstream(4, &json!({}));
    let sent = owner.dispatch_many(3, Class::Paying, 4_000);
    owner.advance_ms(10);
    for exchange in &sent {
        owner.end_call(*exchange, CallOutcome::Lost);
    }
    owner.report_load("u", 0, 4, false);
    assert_eq!(owner.egress().in_flight(UpstreamKey::of("u")), 3);
    owner.advance_ms(1_000);
    owner.report_load("u", 1, 4, false);
    assert_eq!(owner.egress().in_flight(UpstreamKey::of("u")), 1);
}

/// Guards against sending new requests while more calls run than a reduced allowance permits.
#[test]
fn shrunk_allowance_admits_nothing_until_calls_have_ended() {
    let mut owner = owner_of_one_upstream(6, &json!({}));
    let sent = owner.dispatch_many(6, Class::Paying, 4_000);
    owner.allowances[0].slots = 3;
    for exchange in &sent[..3] {
        assert!(owner.dispatch_many(1, Class::Paying, 4_000).is_empty());
        owner.end_call(*exchange, CallOutcome::Completed);
    }
    assert_eq!(owner.egress().in_flight(UpstreamKey::of("u")), 3);
    owner.end_call(sent[3], CallOutcome::Completed);
    assert_eq!(owner.egress().in_flight(UpstreamKey::of("u")), 3);
}

/// Guards against calls without the time until which they may be sent, and against sending later.
#[test]
fn nothing_is_sent_after_the_lease_has_ended() {
    let mut owner = owner_of_one_upstream(4, &json!({}));
    let send_by_ms = owner.now_ms() + 100;
    owner.allowances[0].send_by_ms = send_by_ms;
    let first = owner.dispatch("s", Class::Paying, 2_000);
    let sent = Decision::Sent {
        upstream: UpstreamKey::of("u"),
        may_open: true,
        send_by_ms,
        at_ms: send_by_ms - 100,
    };
    assert_eq!(owner.decision(first), sent);
    owner.advance_ms(101);
    let late = owner.dispatch("s", Class::Paying, 2_000);
    assert_eq!(
        owner.rejection(late).map(|refusal| refusal.reason),
        Some(RejectionReason::NotOwner)
    );
}

/// Guards against reports that raise the configured slots, or reduce them for ever.
#[test]
fn reports_lower_the_slots_for_a_while_and_never_raise_them() {
    let mut owner = owner_of_one_upstream(4, &json!({}));
    owner.report_load("u", 0, 10, false);
    assert_eq!(owner.count_admitted(Class::Paying), 4);
    owner.advance_ms(2_000);
    owner.report_load("u", 0, 2, false);
    assert_eq!(owner.count_admitted(Class::Paying), 2);
    owner.advance_ms(10_000);
    assert_eq!(owner.count_admitted(Class::Paying), 4);
}

/// Guards against slots that a rejection doesn't reduce, or reduces for ever.
#[test]
fn rejection_lowers_the_slots_for_a_while() {
    let mut owner = owner_of_one_upstream(8, &json!({}));
    let sent = owner.dispatch_many(8, Class::Paying, 1_000);
    owner.end_call(sent[0], CallOutcome::Refused);
    for exchange in &sent[1..] {
        owner.end_call(*exchange, CallOutcome::Completed);
    }
    assert_eq!(owner.count_admitted(Class::Paying), 4);
    owner.advance_ms(10_000);
    assert_eq!(owner.count_admitted(Class::Paying), 8);
}

/// Guards against more than one request at a time probing an unreachable upstream, against probes
/// without back-off, and against an upstream that stays unused after it has recovered.
#[test]
fn unreachable_upstream_is_probed_by_one_request_with_back_off() {
    let mut owner = owner_of_one_upstream(4, &json!({}));
    let mut attempts = Vec::new();
    while owner.now_ms() < 1_060_000 {
        for exchange in owner.dispatch_and_take_sent(2, Class::Paying, 400) {
            attempts.push(owner.now_ms());
            owner.end_call(exchange, CallOutcome::NotSent);
        }
        owner.advance_ms(20);
    }
    assert!((5..=16).contains(&attempts.len()), "{} attempts", attempts.len());
    owner.advance_ms(30_000);
    let probe = owner.dispatch_many(4, Class::Paying, 400);
    assert_eq!(probe.len(), 1);
    owner.end_call(probe[0], CallOutcome::Completed);
    owner.dispatch_many(4, Class::Paying, 400);
    assert_eq!(owner.egress().in_flight(UpstreamKey::of("u")), 4);
}

/// Guards against an unreachable upstream that attracts requests because its slots are free.
#[test]
fn unreachable_upstream_costs_few_requests() {
    let mut bed = load::single_service_bed(5, 1, &[("u1", 4, 20), ("u2", 4, 20)]);
    bed.upstreams.get("u1").unreachable = true;
    let load =
        Load { seed: 1, paying_per_s: 100, paying_burst: 1, trial_per_s: 0, deadline_ms: 2_000 };
    let calls = load::run(&mut bed, load, 20_000);
    assert!(calls.paying.answered >= calls.paying.sent - 16, "{} answered", calls.paying.answered);
}

/// Simulates the driver's connection pool and records the connections that the upstream sees.
#[derive(Default)]
struct SimulatedDriver {
    idle: u32,
    open: u32,
    opened_at_ms: Vec<u64>,
    running: Vec<(ExchangeKey, u64)>,
}

impl SimulatedDriver {
    /// Starts the calls that were sent and ends those that are due; `keep_open` keeps connections
    /// open.
    fn step(&mut self, owner: &mut OwnerHarness, sent: Vec<ExchangeKey>, keep_open: bool) {
        for exchange in sent {
            let Decision::Sent { may_open, .. } = owner.decision(exchange) else { continue };
            if self.idle > 0 {
                self.idle -= 1;
            } else if may_open {
                self.open += 1;
                self.opened_at_ms.push(owner.now_ms());
                owner.set_open_connections("u", self.open);
            } else {
                owner.end_call(exchange, CallOutcome::NotSent);
                continue;
            }
            self.running.push((exchange, owner.now_ms() + 50));
        }
        let now_ms = owner.now_ms();
        let (ended, running) =
            self.running.iter().partition(|(_, ends_at_ms)| *ends_at_ms <= now_ms);
        self.running = running;
        for (exchange, _) in ended {
            if keep_open {
                self.idle += 1;
            } else {
                self.open -= 1;
                owner.set_open_connections("u", self.open);
            }
            owner.end_call(exchange, CallOutcome::Completed);
        }
    }

    fn max_opened_in_a_second(&self) -> usize {
        let opened = &self.opened_at_ms;
        let in_second =
            |from: u64| opened.iter().filter(|at| (from..from + 1_000).contains(*at)).count();
        opened.iter().map(|from| in_second(*from)).max().unwrap_or(0)
    }
}

fn run_connections(owner: &mut OwnerHarness, keep_open: bool) -> (SimulatedDriver, u32) {
    let mut driver = SimulatedDriver::default();
    let mut peak_open = 0;
    for _ in 0..500 {
        let sent = owner.dispatch_and_take_sent(4, Class::Paying, 1_000);
        driver.step(owner, sent, keep_open);
        peak_open = peak_open.max(driver.open);
        owner.advance_ms(20);
    }
    (driver, peak_open)
}

/// Guards against opening more connections in a second than the upstream's rate allows.
#[test]
fn new_connections_stay_within_their_rate() {
    let mut owner = owner_of_one_upstream(8, &json!({ "new_connections_per_s": 10 }));
    let (driver, _) = run_connections(&mut owner, false);
    assert!(driver.max_opened_in_a_second() <= 10, "{}", driver.max_opened_in_a_second());
    assert!(driver.opened_at_ms.len() >= 80, "{} opened", driver.opened_at_ms.len());
}

/// Guards against more open connections than the limit, and against not reusing the open ones.
#[test]
fn open_connections_stay_within_their_limit() {
    let mut owner = owner_of_one_upstream(8, &json!({ "connections": 3 }));
    let (driver, peak_open) = run_connections(&mut owner, true);
    assert_eq!(peak_open, 3);
    assert_eq!(driver.opened_at_ms.len(), 3);
    assert!(owner.sent_count() > 300, "{} sent", owner.sent_count());
}

/// Guards against a warm-up that starts before the first use, isn't linear, or isn't repeated after
/// a long idle time.
#[test]
fn cold_upstream_warms_up_from_its_first_use() {
    let mut owner = owner_of_one_upstream(8, &json!({ "cold_slots": 2, "warm_up_ms": 4_000 }));
    owner.advance_ms(10_000);
    assert_eq!(owner.count_admitted(Class::Paying), 2);
    owner.advance_ms(2_000);
    assert_eq!(owner.count_admitted(Class::Paying), 5);
    owner.advance_ms(2_000);
    assert_eq!(owner.count_admitted(Class::Paying), 8);
    owner.advance_ms(120_000);
    assert_eq!(owner.count_admitted(Class::Paying), 2);
}

/// Guards against a load generator that itself causes failures: all requests that fit get a
/// response.
#[test]
fn load_that_fits_is_answered() {
    let mut bed = load::single_service_bed(6, 2, &[("u1", 4, 20), ("u2", 4, 20)]);
    let load =
        Load { seed: 1, paying_per_s: 50, paying_burst: 1, trial_per_s: 10, deadline_ms: 2_000 };
    let calls = load::run(&mut bed, load, 5_000);
    assert_eq!(calls.paying.answered, calls.paying.sent);
    assert_eq!(calls.trial.answered, calls.trial.sent);
    assert!(bed.calls().iter().all(|call| call.result != CallResult::Pending));
}

/// The actual state of a call at the upstream, whether or not the owner knows it.
#[derive(Debug, Clone, Copy)]
struct ActualCall {
    exchange: ExchangeKey,
    ends_at_ms: u64,
    /// When the response is lost, if it is lost.
    lost_at_ms: Option<u64>,
}

/// Guards against random steps after which the upstream runs more requests than the allowance when
/// one is sent, or a request gets no decision.
#[test]
fn random_steps_never_exceed_the_slots() {
    for seed in 1..=40 {
        let mut random = fastrand::Rng::with_seed(seed);
        let mut owner = owner_of_one_upstream(6, &json!({}));
        let mut running: Vec<ActualCall> = Vec::new();
        let mut dispatched = Vec::new();
        for _ in 0..1_500 {
            match random.u32(0..100) {
                0..8 => owner.allowances[0].slots = random.u32(0..=6),
                8..10 => owner.allowances[0].send_by_ms = owner.now_ms() + random.u64(0..20_000),
                10..14 => report_running(&mut owner, &running, random.u32(3..9)),
                14 => end_random_call(&mut owner, &mut running, CallOutcome::Refused, &mut random),
                _ => {
                    let class = Class::ALL[random.usize(0..3)];
                    dispatched.push(owner.dispatch("s", class, random.u64(0..3_000)));
                }
            }
            start_sent_calls(&mut owner, &mut running, &mut random, seed);
            owner.advance_ms(random.u64(0..30));
            start_sent_calls(&mut owner, &mut running, &mut random, seed);
            end_due_calls(&mut owner, &mut running);
            start_sent_calls(&mut owner, &mut running, &mut random, seed);
        }
        owner.advance_ms(3_000);
        let undecided = dispatched.iter().filter(|key| owner.decision(**key) == Decision::Queued);
        assert_eq!(undecided.count(), 0, "seed {seed}");
        assert!(owner.sent_count() > 50, "seed {seed}: {} sent", owner.sent_count());
    }
}

fn report_running(owner: &mut OwnerHarness, running: &[ActualCall], slots: u32) {
    let now_ms = owner.now_ms();
    let in_flight = running.iter().filter(|call| now_ms < call.ends_at_ms).count();
    owner.report_load("u", in_flight as u32, slots, false);
}

fn start_sent_calls(
    owner: &mut OwnerHarness,
    running: &mut Vec<ActualCall>,
    random: &mut fastrand::Rng,
    seed: u64,
) {
    for exchange in owner.take_sent() {
        let Decision::Sent { send_by_ms, at_ms: now_ms, .. } = owner.decision(exchange) else {
            continue;
        };
        assert!(now_ms <= send_by_ms, "seed {seed}: sent {} ms late", now_ms - send_by_ms);
        // The call ends by the time to send by, which is no later than its deadline.
        let duration_ms = random.u64(1..900).min(send_by_ms - now_ms);
        let lost = random.u32(0..4) == 0;
        let lost_at_ms = lost.then(|| now_ms + random.u64(0..=duration_ms));
        running.push(ActualCall { exchange, ends_at_ms: now_ms + duration_ms, lost_at_ms });
        let in_flight = running.iter().filter(|call| now_ms < call.ends_at_ms).count();
        let slots = owner.allowances[0].slots as usize;
        assert!(in_flight <= slots, "seed {seed}: {in_flight} in flight for {slots} slots");
    }
}

/// Reports to the owner the losses and ends of calls that are due; a lost call runs on, and its end
/// isn't reported.
fn end_due_calls(owner: &mut OwnerHarness, running: &mut Vec<ActualCall>) {
    let now_ms = owner.now_ms();
    let is_over = |call: &ActualCall| call.ends_at_ms <= now_ms;
    for call in running.clone() {
        match call.lost_at_ms {
            Some(lost_at_ms) if lost_at_ms <= now_ms => {
                owner.end_call(call.exchange, CallOutcome::Lost);
            }
            None if is_over(&call) => {
                running.retain(|other| other.exchange != call.exchange);
                owner.end_call(call.exchange, CallOutcome::Completed);
            }
            _ => {}
        }
    }
    running.retain(|call| !is_over(call));
}

fn end_random_call(
    owner: &mut OwnerHarness,
    running: &mut Vec<ActualCall>,
    outcome: CallOutcome,
    random: &mut fastrand::Rng,
) {
    let Some(index) = (!running.is_empty()).then(|| random.usize(0..running.len())) else { return };
    if running[index].lost_at_ms.is_none() {
        let call = running.remove(index);
        owner.end_call(call.exchange, outcome);
    }
}
