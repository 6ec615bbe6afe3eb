//! Limits that all VMs share, while VMs that start together haven't heard each other.

use fastrand::Rng;
use sedgepath_core::clock::HybridTimestamp;
use sedgepath_core::direct::Steering;
use sedgepath_core::direct::accounts::AccountKey;
use sedgepath_core::direct::attempts::{Attempt, AttemptOutcome, NextStep};
use sedgepath_core::direct::quotas::lenders::{Lender, LenderView};
use sedgepath_core::direct::statements::{StatedLeaving, StatedPause, StatedRateLimit, Statements};
use sedgepath_core::direct::vms::gossip::{Heartbeat, PeerMessage};
use sedgepath_test_support::direct::{
    COLD_PER_S, DOMAINS, HEARTBEAT_MS, begin_request, heartbeat, starting_vm, with_upstreams,
};

const SUCCESS: AttemptOutcome =
    AttemptOutcome::Answered { failed: false, report: None, body_bytes: 1 };

/// The number of VMs in each failure domain.
const VMS_PER_DOMAIN: u8 = 3;

/// The window in which operators count the requests to a cold upstream, in milliseconds.
const COLD_WINDOW_MS: u64 = 1_000;

/// The window in which operators count the requests to an upstream with a rate limit, in milliseconds.
const LIMIT_WINDOW_MS: u64 = 4_000;

/// A request that a VM has sent.
#[derive(Debug)]
struct Sent {
    upstream: Box<str>,
    at_ms: u64,
}

/// Returns the most requests to an upstream within a window.
fn most_in_a_window(sent: &[Sent], upstream: &str, window_ms: u64) -> usize {
    let at_ms = || sent.iter().filter(|sent| *sent.upstream == *upstream).map(|sent| sent.at_ms);
    at_ms()
        .map(|from| at_ms().filter(|at| (from..from + window_ms).contains(at)).count())
        .max()
        .unwrap_or(0)
}

/// VMs of all failure domains that start together, each with one upstream of each domain.
struct StartingVms {
    vms: Vec<Steering>,
    sent: Vec<Sent>,
}

impl StartingVms {
    fn new() -> Self {
        let number = |domain: u8, index: u8| domain * VMS_PER_DOMAIN + index + 1;
        let mut vms = Vec::new();
        for (domain, (name, _)) in (0_u8..).zip(DOMAINS) {
            let in_domain: Vec<u8> =
                (0..VMS_PER_DOMAIN).map(|index| number(domain, index)).collect();
            for own in &in_domain {
                let others: Vec<u8> =
                    in_domain.iter().copied().filter(|other| other != own).collect();
                let vm = starting_vm(&format!("vm{own}"), name, *own, &others, 0);
                vms.push(with_upstreams(vm, 1));
            }
        }
        Self { vms, sent: Vec::new() }
    }

    /// Lets all VMs hear each other, once a period.
    fn exchange_heartbeats(&mut self, now_ms: u64) {
        if !now_ms.is_multiple_of(HEARTBEAT_MS) {
            return;
        }
        let heartbeats: Vec<_> = (1_u8..)
            .zip(&self.vms)
            .map(|(number, vm)| heartbeat(&vm.location().name, &vm.location().domain, number))
            .collect();
        for vm in &mut self.vms {
            for heartbeat in &heartbeats {
                vm.vms_mut().record_heartbeat(heartbeat.clone(), now_ms);
            }
        }
    }

    /// Sends a request by each VM, if it finds an upstream that it may use.
    fn send_all(&mut self, now_ms: u64, respond: impl Fn(&mut Steering, &Attempt)) {
        for vm in &mut self.vms {
            let mut request = begin_request(vm, "/reads/1", &now_ms.to_string(), now_ms);
            if let NextStep::Send(attempt) = vm.next_step(&mut request, now_ms, now_ms) {
                self.sent.push(Sent { upstream: attempt.name.clone(), at_ms: now_ms });
                respond(vm, &attempt);
                vm.record_outcome(&mut request, attempt.upstream, SUCCESS, now_ms);
            }
        }
    }

    fn make_upstreams_cold(&mut self, until_ms: u64) {
        for vm in &mut self.vms {
            for (domain, _) in DOMAINS {
                vm.upstreams_mut().mark_domain_cold(domain, until_ms);
            }
        }
    }
}

/// Guards against VMs that hear nobody yet and each take themselves for the only one that may send to a cold
/// upstream.
#[test]
fn vms_that_start_together_do_not_exceed_the_rate_of_cold_upstreams() {
    let mut starting = StartingVms::new();
    starting.make_upstreams_cold(5_000);
    for now_ms in (0..3_000).step_by(10) {
        if now_ms >= 500 {
            starting.exchange_heartbeats(now_ms);
        }
        starting.send_all(now_ms, |_, _| {});
    }
    for upstream in ["b0", "b1", "b2", "b3"] {
        let most = most_in_a_window(&starting.sent, upstream, COLD_WINDOW_MS);
        assert!(most as f64 <= 1.5 * COLD_PER_S, "{most} requests a second to {upstream}");
        let first = starting.sent.iter().find(|sent| *sent.upstream == *upstream);
        assert!(first.is_some_and(|sent| sent.at_ms < 100), "{upstream} waits: {first:?}");
    }
}

/// Guards against cold upstreams that stay unused because a VM waits for others that don't run.
#[test]
fn a_vm_that_hears_nobody_uses_cold_upstreams_of_all_domains_after_a_while() {
    let mut alone = StartingVms {
        vms: vec![with_upstreams(starting_vm("vm1", "north-a", 1, &[2, 3], 0), 1)],
        sent: Vec::new(),
    };
    alone.make_upstreams_cold(5_000);
    for now_ms in (0..3_000).step_by(10) {
        alone.send_all(now_ms, |_, _| {});
    }
    for upstream in ["b0", "b1", "b2", "b3"] {
        assert!(
            most_in_a_window(&alone.sent, upstream, COLD_WINDOW_MS) > 0,
            "{upstream} is unused"
        );
    }
}

/// Guards against VMs that hear nobody yet and each use the whole rate limit of an upstream.
#[test]
fn vms_that_start_together_do_not_exceed_a_rate_limit() {
    const LIMIT_PER_S: f64 = 10.0;
    let mut starting = StartingVms::new();
    for now_ms in (0..LIMIT_WINDOW_MS).step_by(10) {
        if now_ms >= 1_000 {
            starting.exchange_heartbeats(now_ms);
        }
        if now_ms.is_multiple_of(250) {
            starting.vms.iter_mut().for_each(|vm| vm.update_rate_limits(now_ms));
        }
        starting.send_all(now_ms, |vm, attempt| {
            let rate_limit = Some(StatedRateLimit::PerSecond(LIMIT_PER_S));
            let (leaving, pause) = (StatedLeaving::No, StatedPause::None);
            vm.record_statements(attempt, Statements { rate_limit, leaving, pause }, now_ms);
        });
    }
    let allowed = 1.5 * LIMIT_PER_S * LIMIT_WINDOW_MS as f64 / 1_000.0 + 5.0;
    for upstream in ["b0", "b1", "b2", "b3"] {
        let most = most_in_a_window(&starting.sent, upstream, LIMIT_WINDOW_MS);
        assert!(most as f64 <= allowed, "{most} requests to {upstream}");
    }
}

/// Guards against VMs that hear nobody yet and take too large shares of an upstream's connections and of the
/// retry budget.
#[test]
fn vms_that_start_together_count_each_other_before_they_have_heard_each_other() {
    let starting = StartingVms::new();
    for vm in &starting.vms {
        let counts = [vm.vms().sharing_vm_count(0), vm.vms().max_known_vm_count(0)];
        assert!(counts.iter().all(|count| *count >= starting.vms.len()), "{counts:?}");
    }
}

/// Guards against a VM that the others of its failure domain ignore, as it sends the heartbeat that introduces it
/// before it knows them, and one without its description afterwards.
#[test]
fn a_vm_introduces_itself_after_its_discovery() {
    let mut vm = starting_vm("vm1", "north-a", 1, &[2], 0);
    let heartbeat = |vm: &mut Steering, now_ms| {
        let stamp = HybridTimestamp { time_ms: now_ms, count: 0 };
        let sent = vm.vms_mut().periodic_messages(stamp, &mut Rng::with_seed(1), now_ms);
        sent.into_iter().next().expect("a heartbeat").message
    };
    for now_ms in 0..2 {
        heartbeat(&mut vm, now_ms);
    }
    vm.vms_mut().record_discovery(2);
    let message = heartbeat(&mut vm, 2);
    assert!(matches!(message, PeerMessage::Heartbeat(Heartbeat::Full(_))), "{message:?}");
}

/// Guards against VMs that hear nobody yet and each lend out an account's whole quota.
#[test]
fn vms_that_start_together_do_not_lend_more_than_a_quota() {
    let starting = StartingVms::new();
    let regions = || DOMAINS.map(|(_, region)| region.into()).to_vec();
    for account in (0..50).map(AccountKey) {
        let mut lent = 0.0;
        for vm in &starting.vms {
            let mut view = LenderView::new(vm.vms().key(), regions());
            view.update(vm.vms(), 0);
            let own = (0..view.slot_count() as u8)
                .filter(|slot| view.lender(account, *slot) == Some(Lender::Own));
            lent += own.map(|slot| view.slot_share(slot)).sum::<f64>();
        }
        assert!(lent > 0.0 && lent < 1.0 + 1e-9, "{lent} of the quota of account {account:?}");
    }
}
