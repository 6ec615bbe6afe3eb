//! What happens after a refusal or a failure, and how often a request is sent again.

use sedgepath_core::direct::Steering;
use sedgepath_core::direct::attempts::{
    Attempt, AttemptOutcome, NextStep, RejectionReason, RequestState,
};
use sedgepath_core::direct::upstreams::LoadReport;
use sedgepath_test_support::direct::{COLD_PER_S, begin, earning_vm, heartbeat, serving_vm, vm};

const ANSWER: AttemptOutcome =
    AttemptOutcome::Answered { failed: false, report: None, body_bytes: 100 };
const ERROR: AttemptOutcome =
    AttemptOutcome::Answered { failed: true, report: None, body_bytes: 0 };
const REFUSAL: AttemptOutcome = AttemptOutcome::Refused { report: None };

fn send(vm: &mut Steering, attempts: &mut RequestState, now_ms: u64) -> Attempt {
    match vm.next_step(attempts, 1, now_ms) {
        NextStep::Send(to) => to,
        other => panic!("not sent: {other:?}"),
    }
}

/// A charge is sent and the connection breaks: it may have run. It is not sent again, and the caller
/// is not told that it was not run.
#[test]
fn what_may_have_run_once_is_never_sent_again() {
    for outcome in [AttemptOutcome::Failed, AttemptOutcome::TimedOut, ERROR] {
        let mut vm = earning_vm("a1", "north-a", 1, 2);
        let mut attempts = begin(&mut vm, "/charges/1", "x", 0);
        let to = send(&mut vm, &mut attempts, 0);
        vm.record_outcome(&mut attempts, to.upstream, outcome, 10);

        let step = vm.next_step(&mut attempts, 1, 10);

        assert_eq!(
            step,
            NextStep::GiveUp { reason: RejectionReason::RetriesExhausted },
            "after {outcome:?}"
        );
    }
}

/// A charge is refused by its upstream, or no connection could be made. It was not run: another
/// upstream gets it.
#[test]
fn what_was_not_run_is_sent_elsewhere() {
    for outcome in [REFUSAL, AttemptOutcome::Misdirected, AttemptOutcome::Unreachable] {
        let mut vm = earning_vm("a1", "north-a", 1, 2);
        let mut attempts = begin(&mut vm, "/charges/1", "x", 0);
        let first = send(&mut vm, &mut attempts, 0);
        vm.record_outcome(&mut attempts, first.upstream, outcome, 10);

        let second = send(&mut vm, &mut attempts, 10);

        assert_ne!(first.upstream, second.upstream, "after {outcome:?}");
    }
}

/// An idempotent request that fails is sent once more, as its route's two attempts allow; then the
/// caller gets what there is.
#[test]
fn an_idempotent_request_runs_on_at_most_the_routes_attempts() {
    let mut vm = earning_vm("a1", "north-a", 1, 2);
    let mut attempts = begin(&mut vm, "/reads/1", "x", 0);
    for _ in 0..2 {
        let to = send(&mut vm, &mut attempts, 0);
        vm.record_outcome(&mut attempts, to.upstream, ERROR, 10);
    }
    assert_eq!(
        vm.next_step(&mut attempts, 1, 20),
        NextStep::GiveUp { reason: RejectionReason::RetriesExhausted }
    );
}

/// A charge that ran and then finds no other upstream must not be answered with *not run*.
#[test]
fn a_request_that_may_have_run_is_never_refused() {
    let mut vm = vm("a1", "north-a", 1);
    vm.apply_configuration(sedgepath_test_support::direct::all_kinds(1));
    let only = sedgepath_test_support::direct::entry("b0", "north-a", 0);
    vm.upstreams_mut().upsert(only, "north", 0);
    let mut attempts = begin(&mut vm, "/reads/1", "x", 0);
    let to = send(&mut vm, &mut attempts, 0);
    vm.record_outcome(&mut attempts, to.upstream, AttemptOutcome::Failed, 10);

    assert!(matches!(vm.next_step(&mut attempts, 1, 10), NextStep::GiveUp { .. }));
}

/// Checks that repeats stay within a fifth of the requests and 60 in any ten seconds of the first thirty.
fn assert_within_budget(asked_at_ms: &[u64], repeated_at_ms: &[u64]) {
    let within = |times: &[u64], from_ms: u64| {
        times.iter().filter(|at_ms| (from_ms..from_ms + 10_000).contains(*at_ms)).count() as f64
    };
    for from_ms in (0..20_000).step_by(100) {
        let requests = within(asked_at_ms, from_ms);
        let repeats = within(repeated_at_ms, from_ms);
        assert!(repeats <= 0.2 * requests + 60.0, "{repeats} of {requests} from {from_ms}");
    }
}

/// Every upstream refuses everything. All VMs together send no more repeats than a fifth of the
/// requests and 60 in any ten seconds, or an outage would multiply its own load.
#[test]
fn repeats_of_all_vms_stay_within_the_shared_budget() {
    let names = ["a1", "a2", "a3", "a4"];
    let mut vms: Vec<Steering> = (1..=4)
        .map(|number| serving_vm(names[number as usize - 1], "north-a", number, 4))
        .collect();
    let mut sent_at_ms = Vec::new();
    let mut asked_at_ms = Vec::new();
    for now_ms in (0..30_000).step_by(10) {
        for (index, vm) in vms.iter_mut().enumerate() {
            for (number, name) in (1..).zip(names) {
                if now_ms % 500 == 0 && number != index + 1 {
                    vm.vms_mut().record_heartbeat(heartbeat(name, "north-a", number as u8), now_ms);
                }
            }
            // Traffic comes in waves, so that a window's budget differs from that of the next.
            if (now_ms / 5_000) % 2 == 1 && now_ms % 50 != 0 {
                continue;
            }
            asked_at_ms.push(now_ms);
            let mut attempts = begin(vm, "/reads/1", &now_ms.to_string(), now_ms);
            while let NextStep::Send(to) = vm.next_step(&mut attempts, 1, now_ms) {
                if attempts.delivered > 0 {
                    sent_at_ms.push(now_ms);
                }
                let report = Some(LoadReport { running: 0, waiting: 0, slots: 3 });
                vm.record_outcome(
                    &mut attempts,
                    to.upstream,
                    AttemptOutcome::Refused { report },
                    now_ms,
                );
            }
        }
    }
    assert_within_budget(&asked_at_ms, &sent_at_ms);
    assert!(sent_at_ms.len() > 100, "hardly any repeat was sent: {}", sent_at_ms.len());
}

/// Requests come evenly, and for nine seconds every upstream refuses everything. A tenth of the budget is
/// left unused in any ten seconds: it is for what this VM can't know, and not to be eaten up by its own
/// counting of requests that came before.
#[test]
fn a_tenth_of_the_budget_is_left_unused() {
    let mut vm = serving_vm("a1", "north-a", 1, 4);
    let mut repeated_at_ms = Vec::new();
    for now_ms in (0..40_000).step_by(10) {
        let mut attempts = begin(&mut vm, "/reads/1", &now_ms.to_string(), now_ms);
        while let NextStep::Send(to) = vm.next_step(&mut attempts, 1, now_ms) {
            if attempts.delivered > 0 {
                repeated_at_ms.push(now_ms);
            }
            let refuses = (12_000..21_000).contains(&now_ms);
            vm.record_outcome(
                &mut attempts,
                to.upstream,
                if refuses { REFUSAL } else { ANSWER },
                now_ms,
            );
            if !refuses {
                break;
            }
        }
    }
    let requests_in_10_s = 1_000.0;
    for from_ms in (10_000..30_000).step_by(100) {
        let window = from_ms..from_ms + 10_000;
        let repeats = repeated_at_ms.iter().filter(|at_ms| window.contains(*at_ms)).count();
        let most = 0.9 * (0.2 * requests_in_10_s + 60.0);
        assert!(repeats as f64 <= most, "{repeats} of {most} from {from_ms}");
    }
}

/// All VMs are killed and start again while every upstream refuses. None has heard of the others yet,
/// it has but three seeds; were each to take the slack for its own, all together would exceed it.
#[test]
fn vms_that_start_together_do_not_each_spend_the_whole_slack() {
    let mut repeats = 0;
    let mut requests = 0;
    for number in 1..=10 {
        let mut vm = serving_vm(&format!("a{number}"), "north-a", number, 4);
        for seed in 11..14 {
            vm.vms_mut().add_address(([10, 0, 0, seed], 7_000).into(), 0);
        }
        for now_ms in (0..2_000).step_by(50) {
            requests += 1;
            let mut attempts = begin(&mut vm, "/reads/1", &now_ms.to_string(), now_ms);
            while let NextStep::Send(to) = vm.next_step(&mut attempts, 1, now_ms) {
                repeats += u32::from(attempts.delivered > 0);
                vm.record_outcome(&mut attempts, to.upstream, REFUSAL, now_ms);
            }
        }
    }
    assert!(f64::from(repeats) <= 0.2 * f64::from(requests) + 60.0, "{repeats} of {requests}");
}

/// Every upstream refuses everything, as when more is placed near than there is room for. Ten VMs are
/// stopped and started in turn, six are killed together, then all; a new process knows neither what the
/// last one spent nor, for half a second, the other VMs. All together keep to the budget in any ten seconds.
#[test]
fn vms_that_restart_while_every_upstream_refuses_stay_within_the_budget() {
    const VMS: u8 = 10;
    let names: Vec<String> = (0..VMS).map(|number| format!("a{number}")).collect();
    let start = |number: u8, now_ms: u64| {
        let mut vm = serving_vm(&names[usize::from(number)], "north-a", number, 4);
        // The seeds: three of the addresses on which VMs listen.
        for seed in (0..VMS).filter(|seed| *seed != number).take(3) {
            vm.vms_mut().add_address(([10, 0, 0, seed], 7_000).into(), now_ms);
        }
        vm
    };
    let mut vms: Vec<Steering> = (0..VMS).map(|number| start(number, 0)).collect();
    let mut asked_at_ms = Vec::new();
    let mut repeated_at_ms = Vec::new();
    for now_ms in (0..30_000).step_by(10) {
        let restarting: Vec<u8> = match now_ms {
            22_000 => (0..6).collect(),
            25_000 => (0..VMS).collect(),
            5_000..=14_000 if now_ms % 1_000 == 0 => vec![(now_ms / 1_000 - 5) as u8],
            _ => Vec::new(),
        };
        for number in restarting {
            vms[usize::from(number)] = start(number, now_ms);
        }
        for (index, vm) in vms.iter_mut().enumerate() {
            if now_ms % 500 == 250 {
                for number in (0..VMS).filter(|number| usize::from(*number) != index) {
                    let heard = heartbeat(&names[usize::from(number)], "north-a", number);
                    vm.vms_mut().record_heartbeat(heard, now_ms);
                }
            }
            if now_ms % 100 != 10 * index as u64 {
                continue;
            }
            asked_at_ms.push(now_ms);
            let mut attempts = begin(vm, "/reads/1", &now_ms.to_string(), now_ms);
            while let NextStep::Send(to) = vm.next_step(&mut attempts, 1, now_ms) {
                if attempts.delivered > 0 {
                    repeated_at_ms.push(now_ms);
                }
                vm.record_outcome(&mut attempts, to.upstream, REFUSAL, now_ms);
            }
        }
    }
    assert_within_budget(&asked_at_ms, &repeated_at_ms);
}

/// Guards against callers who come back when they are told becoming the load that the retry budget keeps away.
#[test]
fn callers_are_not_told_without_end_to_come_back_at_once() {
    let mut vm = earning_vm("a1", "north-a", 1, 4);
    let report = Some(LoadReport { running: 0, waiting: 0, slots: 3 });
    // When each caller asks next and when it gives up.
    let mut callers: Vec<(u64, u64)> = Vec::new();
    let (mut asked, mut at_once) = (0, 0);
    for now_ms in (0..20_000).step_by(10) {
        if now_ms % 50 == 0 {
            callers.push((now_ms, now_ms + 3_000));
        }
        callers.retain(|(_, gives_up_at_ms)| now_ms < *gives_up_at_ms);
        for (asks_at_ms, _) in callers.iter_mut().filter(|(at_ms, _)| *at_ms <= now_ms) {
            asked += 1;
            let mut attempts = begin(&mut vm, "/reads/1", &asked.to_string(), now_ms);
            let retry_after_ms = loop {
                match vm.next_step(&mut attempts, asked, now_ms) {
                    NextStep::Send(to) => {
                        vm.record_outcome(
                            &mut attempts,
                            to.upstream,
                            AttemptOutcome::Refused { report },
                            now_ms,
                        );
                    }
                    NextStep::Reject { retry_after_ms, .. } => break retry_after_ms,
                    NextStep::GiveUp { reason } => panic!("given up: {reason:?}"),
                }
            };
            at_once += u64::from(retry_after_ms < 100);
            *asks_at_ms = now_ms + retry_after_ms;
        }
    }
    assert!(at_once > 0, "nobody is told to come back at once");
    assert!(at_once as f64 <= 0.9 * (asked + 50) as f64, "{at_once} of {asked}");
}

/// Every upstream refuses a request. Its caller is told soon, and what is left of the retry budget
/// serves others.
#[test]
fn one_request_reaches_only_some_of_many_full_upstreams() {
    let mut vm = serving_vm("a1", "north-a", 1, 4);
    for number in 0..600 {
        begin(&mut vm, "/reads/1", &number.to_string(), 20_000);
    }
    let mut attempts = begin(&mut vm, "/reads/1", "x", 20_000);
    while let NextStep::Send(to) = vm.next_step(&mut attempts, 1, 20_000) {
        vm.record_outcome(&mut attempts, to.upstream, REFUSAL, 20_000);
    }
    assert_eq!(attempts.delivered, 3);
}

/// The upstream of an idempotent request loses its power: it neither answers nor resets. Without a
/// second sending the caller waits until its deadline.
#[test]
fn a_silent_upstream_gets_a_second_one_beside_it() {
    let mut vm = earning_vm("a1", "north-a", 1, 2);
    let mut attempts = begin(&mut vm, "/reads/1", "x", 0);
    let first = send(&mut vm, &mut attempts, 0);
    let at_ms = vm.hedge_at_ms(&attempts).expect("no second sending is planned");
    assert!((1_000..2_000).contains(&at_ms), "at {at_ms}");

    let second = vm.hedge(&mut attempts, 1, at_ms).expect("no second sending");

    assert_ne!(first.upstream, second.upstream);
    assert_eq!(vm.hedge_at_ms(&attempts), None, "a third sending is planned");
    vm.record_outcome(&mut attempts, second.upstream, ANSWER, at_ms + 200);
    vm.cancel_request(&mut attempts, at_ms + 200);
    let idle = vm.upstreams().iter().all(|(_, upstream)| upstream.in_flight == 0);
    assert!(idle, "a sending was not counted down");
}

/// The upstream is only slow at this request: it answers others meanwhile. A second sending would
/// add to the load that slows it down.
#[test]
fn a_busy_upstream_gets_no_second_one_beside_it() {
    let mut vm = earning_vm("a1", "north-a", 1, 2);
    let mut attempts = begin(&mut vm, "/reads/1", "x", 0);
    send(&mut vm, &mut attempts, 0);
    let mut other = begin(&mut vm, "/reads/1", "x", 0);
    let to = send(&mut vm, &mut other, 0);
    vm.record_outcome(&mut other, to.upstream, ANSWER, 500);
    let at_ms = vm.hedge_at_ms(&attempts).expect("no second sending is planned");

    assert_eq!(vm.hedge(&mut attempts, 1, at_ms), None);
}

/// A charge is never sent to a second upstream while the first may run it.
#[test]
fn a_charge_gets_no_second_upstream_beside_the_first() {
    let mut vm = earning_vm("a1", "north-a", 1, 2);
    let mut attempts = begin(&mut vm, "/charges/1", "x", 0);
    send(&mut vm, &mut attempts, 0);
    assert_eq!(vm.hedge_at_ms(&attempts), None);
}

/// Guards against two processes of one VM sending more to a cold upstream within a second than it bears.
#[test]
fn a_vm_that_restarts_within_the_second_spares_cold_upstreams() {
    let mut sent_to: Vec<Box<str>> = Vec::new();
    for started_at_ms in [0, 400] {
        let mut vm = serving_vm("a1", "north-a", 1, 1);
        for domain in ["north-a", "north-b", "south-a", "south-b"] {
            vm.upstreams_mut().mark_domain_cold(domain, 2_000);
        }
        for now_ms in (started_at_ms..started_at_ms + 400).step_by(5) {
            let mut attempts = begin(&mut vm, "/reads/1", &now_ms.to_string(), now_ms);
            if let NextStep::Send(to) = vm.next_step(&mut attempts, now_ms, now_ms) {
                sent_to.push(to.name.clone());
                vm.record_outcome(&mut attempts, to.upstream, ANSWER, now_ms);
            }
        }
    }
    for name in ["b0", "b1", "b2", "b3"] {
        let count = sent_to.iter().filter(|to| &***to == name).count();
        assert!(count > 0 && count as f64 <= 1.5 * COLD_PER_S, "{count} to {name}");
    }
}

/// All upstreams have just come back, cold. Each crashes above its rate, which holds for all VMs
/// together though none hears what the others send.
#[test]
fn cold_upstreams_get_no_more_than_their_rate_of_all_vms_together() {
    let names = ["a1", "a2", "b1"];
    let domains = ["north-a", "north-a", "north-b"];
    let mut vms: Vec<Steering> =
        (0..3).map(|index| serving_vm(names[index], domains[index], index as u8 + 1, 1)).collect();
    for vm in &mut vms {
        for index in 0..3 {
            vm.vms_mut()
                .record_heartbeat(heartbeat(names[index], domains[index], index as u8 + 1), 0);
        }
        for domain in ["north-a", "north-b", "south-a", "south-b"] {
            vm.upstreams_mut().mark_domain_cold(domain, 2_000);
        }
    }
    let mut sent: Vec<(Box<str>, u64)> = Vec::new();
    for now_ms in (0..1_900).step_by(5) {
        for vm in &mut vms {
            let mut attempts = begin(vm, "/reads/1", &now_ms.to_string(), now_ms);
            if let NextStep::Send(to) = vm.next_step(&mut attempts, now_ms, now_ms) {
                sent.push((to.name.clone(), now_ms));
                vm.record_outcome(&mut attempts, to.upstream, ANSWER, now_ms);
            }
        }
    }
    assert!(!sent.is_empty(), "cold upstreams get nothing at all");
    for name in ["b0", "b1", "b2", "b3"] {
        for from_ms in (0..1_000).step_by(50) {
            let window = from_ms..from_ms + 1_000;
            let count = sent.iter().filter(|(to, at)| **to == *name && window.contains(at)).count();
            assert!(count as f64 <= COLD_PER_S, "{count} to {name} from {from_ms}");
        }
    }
}

/// Guards against a request with a sending under way reaching a fourth upstream.
#[test]
fn a_second_sending_counts_what_is_under_way() {
    let mut vm = earning_vm("a1", "north-a", 1, 4);
    let mut attempts = begin(&mut vm, "/reads/1", "x", 0);
    for _ in 0..2 {
        let to = send(&mut vm, &mut attempts, 0);
        vm.record_outcome(&mut attempts, to.upstream, REFUSAL, 10);
    }
    send(&mut vm, &mut attempts, 10);

    assert_eq!(vm.hedge_at_ms(&attempts), None, "a fourth upstream would be reached");
}
