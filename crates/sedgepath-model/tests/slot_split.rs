//! Tests of the slot split model: the slots are never exceeded, and each safeguard prevents an
//! overload.

#![allow(
    clippy::needless_raw_string_hashes,
    reason = "expect-test writes its expectations with hashes"
)]

mod common;

use common::check;
use expect_test::{Expect, expect};
use sedgepath_model::search::find_reachable_state;
use sedgepath_model::slot_split::{Safeguard, SlotSplitModel, State};

fn fixed_roster(members: usize, slots: u8) -> SlotSplitModel {
    SlotSplitModel::new(members, slots).with_pauses()
}

fn changing_roster(members: usize, newcomers: usize, restarts: u8) -> SlotSplitModel {
    SlotSplitModel::new(members, 2).with_newcomers(newcomers).with_restarts(restarts)
}

fn without(removed: Safeguard) -> SlotSplitModel {
    SlotSplitModel::smallest_without(removed)
}

fn check_atomic_removal(members: usize, newcomers: usize, restarts: u8, expected: &Expect) {
    let model = changing_roster(members, newcomers, restarts).with_removal();
    check(&model.with_atomic_heartbeats(), expected);
}

fn assert_reached(model: &SlotSplitModel, wanted: impl Fn(&State) -> bool) {
    let exploration = find_reachable_state(model, wanted);
    assert!(exploration.counterexample().is_some(), "{exploration}");
}

// Guards against an overload with late or lost messages, pauses and restarts on a fixed roster.
#[test]
fn fixed_roster_with_all_safeguards() {
    check(&fixed_roster(2, 2).with_restarts(2), &expect!["26598 states, holds"]);
    check(&fixed_roster(3, 3), &expect!["109342 states, holds"]);
    check(&fixed_roster(3, 2).with_restarts(1), &expect!["172611 states, holds"]);
}

// Guards against an overload while a newcomer takes over from the previous owner.
#[test]
fn newcomer_with_all_safeguards() {
    check(&changing_roster(2, 1, 0).with_pauses(), &expect!["156704 states, holds"]);
    check(&changing_roster(1, 1, 2).with_pauses(), &expect!["190148 states, holds"]);
}

// Guards against an overload with several newcomers, or a newcomer and a restart. Atomic heartbeats
// keep the search small.
#[test]
fn larger_rosters_with_all_safeguards() {
    let three_slots = SlotSplitModel::new(3, 3).with_newcomers(1);
    check(&changing_roster(3, 1, 0).with_atomic_heartbeats(), &expect!["18491 states, holds"]);
    check(&three_slots.with_atomic_heartbeats(), &expect!["86435 states, holds"]);
    check(&changing_roster(2, 1, 1).with_atomic_heartbeats(), &expect!["150797 states, holds"]);
    check(&changing_roster(1, 2, 0).with_atomic_heartbeats(), &expect!["16906 states, holds"]);
}

// Guards against an overload after a member, possibly the owner, failed permanently.
#[test]
fn removal_with_all_safeguards() {
    let fixed = fixed_roster(2, 2).with_restarts(1).with_removal();
    check(&fixed, &expect!["16937 states, holds"]);
    check(&SlotSplitModel::new(3, 2).with_removal(), &expect!["61945 states, holds"]);
    check_atomic_removal(3, 0, 1, &expect!["27630 states, holds"]);
    check_atomic_removal(2, 1, 0, &expect!["16442 states, holds"]);
    check_atomic_removal(1, 2, 0, &expect!["57733 states, holds"]);
    check_atomic_removal(3, 1, 0, &expect!["197916 states, holds"]);
}

// Guards against slots that stay lost after a member failed.
#[test]
fn slots_of_a_removed_member_are_used() {
    assert_reached(&SlotSplitModel::new(2, 2).with_removal(), |state| {
        state.nodes[1].in_flight.count() == 2
    });
}

// Guards against a model in which the lease, a share or a restarted node is never used.
#[test]
fn slots_are_used_on_a_fixed_roster() {
    let model = fixed_roster(2, 2).with_restarts(1);
    assert_reached(&model, |state| state.nodes[0].in_flight.count() == 2);
    assert_reached(&model, |state| state.nodes[1].in_flight.count() == 1);
    assert_reached(&model, |state| {
        let restarted = state.remaining_restarts == 0 && state.orphaned_requests.count() == 0;
        restarted && state.nodes[1].in_flight.count() == 1 && state.nodes[0].in_flight.count() == 1
    });
}

// Guards against a model in which a newcomer never gets the lease.
#[test]
fn newcomer_can_fill_the_upstream() {
    assert_reached(&changing_roster(2, 1, 0), |state| state.nodes[2].in_flight.count() == 2);
}

// Requests admitted at the end of the lease outlast the member's promise of 2T.
#[test]
fn promise_without_deadline() {
    check(
        &without(Safeguard::DeadlineInPromise),
        &expect![[r#"
            3282 states, violated: Overload after 8 steps
            SendHeartbeat(0, 1), ReceiveHeartbeat(0, 1), Tick, ReceiveGrant(0, 1)
            CheckAndSend(0), CheckAndSend(0), Tick, CheckAndSend(1)"#]],
    );
}

// A lease measured from the receipt of a late grant outlasts the member's promise.
#[test]
fn lease_counted_from_receipt() {
    check(
        &without(Safeguard::LeaseFromSendTime),
        &expect![[r#"
            7748 states, violated: Overload after 10 steps
            SendHeartbeat(0, 1), ReceiveHeartbeat(0, 1), Tick, Tick
            ReceiveGrant(0, 1), Tick, CheckAndSend(0), CheckAndSend(0)
            Tick, CheckAndSend(1)"#]],
    );
}

// The owner fills the slots of the member's unreported request.
#[test]
fn in_flight_not_reported() {
    check(
        &without(Safeguard::InFlightReported),
        &expect![[r#"
            860 states, violated: Overload after 6 steps
            SendHeartbeat(0, 1), CheckAndSend(0), CheckAndSend(1), ReceiveHeartbeat(0, 1)
            ReceiveGrant(0, 1), CheckAndSend(0)"#]],
    );
}

// A restarted member uses its share next to the request of its previous boot.
#[test]
fn member_does_not_wait_at_boot() {
    check(
        &without(Safeguard::MemberWaitsAtBoot),
        &expect![[r#"
            132 states, violated: Overload after 4 steps
            CheckAndSend(0), CheckAndSend(1), Restart(1), CheckAndSend(1)"#]],
    );
}

// A restarted member waits for D only and uses its share before its promise has ended.
#[test]
fn boot_wait_does_not_cover_promise() {
    check(
        &without(Safeguard::BootWaitCoversPromise),
        &expect![[r#"
            5869 states, violated: Overload after 9 steps
            SendHeartbeat(0, 1), ReceiveHeartbeat(0, 1), ReceiveGrant(0, 1), Restart(1)
            Tick, CheckAndSend(0), CheckAndSend(0), Tick
            CheckAndSend(1)"#]],
    );
}

// A restarted owner uses its share next to the requests of its previous boot.
#[test]
fn owner_does_not_wait_at_boot() {
    check(
        &without(Safeguard::OwnerWaitsAtBoot),
        &expect![[r#"
            127 states, violated: Overload after 4 steps
            CheckAndSend(0), Restart(0), CheckAndSend(0), CheckAndSend(1)"#]],
    );
}

// A restarted member reports nothing in flight, and the owner uses the slot of its previous boot.
#[test]
fn share_not_reported_at_boot() {
    check(
        &without(Safeguard::ShareReportedAtBoot),
        &expect![[r#"
            1887 states, violated: Overload after 7 steps
            SendHeartbeat(0, 1), CheckAndSend(0), CheckAndSend(1), Restart(1)
            ReceiveHeartbeat(0, 1), ReceiveGrant(0, 1), CheckAndSend(0)"#]],
    );
}

// Requests admitted before a pause run for D after the pause and outlast the promise.
#[test]
fn deadline_counted_from_the_send() {
    check(
        &without(Safeguard::DeadlineFixedAtCheck),
        &expect![[r#"
            8109 states, violated: Overload after 11 steps
            SendHeartbeat(0, 1), ReceiveHeartbeat(0, 1), Tick, ReceiveGrant(0, 1)
            Check(0), Check(0), Tick, Tick
            Tick, Send(0), CheckAndSend(1)"#]],
    );
}

// A former owner restarts and reports only its share, although its previous boot held every slot.
#[test]
fn only_share_reported_at_boot_on_a_changing_roster() {
    check(
        &without(Safeguard::AllSlotsReportedAtBoot),
        &expect![[r#"
            860 states, violated: Overload after 8 steps
            Tick, Tick, CheckAndSend(0), CheckAndSend(0)
            ReceiveRoster(1, 0), Restart(0), ExchangeHeartbeat(1, 0), CheckAndSend(1)"#]],
    );
}

// A newcomer accepts a grant for a roster with another newcomer, which it does not know.
#[test]
fn grants_of_another_roster_counted() {
    check(
        &without(Safeguard::SameRoster),
        &expect![[r#"
            3095 states, violated: Overload after 9 steps
            Tick, Tick, CheckAndSend(0), ReceiveRoster(1, 0)
            ReceiveRoster(2, 0), ExchangeHeartbeat(1, 0), CheckAndSend(1), ExchangeHeartbeat(2, 0)
            CheckAndSend(2)"#]],
    );
}

// A newcomer that knows no other node needs no grant and uses the whole upstream.
#[test]
fn roster_not_from_a_member() {
    check(
        &without(Safeguard::RosterFromMember),
        &expect![[r#"
            149 states, violated: Overload after 5 steps
            Tick, Tick, CheckAndSend(0), CheckAndSend(1)
            CheckAndSend(2)"#]],
    );
}

// A newcomer uses its share by the new roster while members use theirs by the smaller one.
#[test]
fn share_used_before_the_roster_is_confirmed() {
    check(
        &without(Safeguard::RosterConfirmed),
        &expect![[r#"
            251 states, violated: Overload after 6 steps
            Tick, Tick, CheckAndSend(0), CheckAndSend(1)
            ReceiveRoster(2, 0), CheckAndSend(2)"#]],
    );
}

// A newcomer uses its share while requests that members admitted by the smaller roster still run.
#[test]
fn no_wait_after_the_roster_is_confirmed() {
    check(
        &without(Safeguard::WaitAfterConfirmation),
        &expect![[r#"
            1095 states, violated: Overload after 8 steps
            Tick, Tick, CheckAndSend(0), CheckAndSend(1)
            ReceiveRoster(2, 0), ExchangeHeartbeat(2, 0), ExchangeHeartbeat(2, 1), CheckAndSend(2)"#]],
    );
}

// A newcomer takes the confirmation of a member's previous boot for one of its new boot, which has
// learned the smaller roster.
#[test]
fn roster_without_boot_numbers() {
    check(
        &without(Safeguard::RosterNamesBoots),
        &expect![[r#"
            57673 states, violated: Overload after 11 steps
            Tick, ReceiveRoster(2, 0), ExchangeHeartbeat(2, 0), Restart(0)
            ReceiveRoster(0, 1), Tick, CheckAndSend(1), ExchangeHeartbeat(2, 1)
            CheckAndSend(2), Tick, CheckAndSend(0)"#]],
    );
}

// The remaining member uses all slots while the request of the failed owner still runs.
#[test]
fn removal_without_waiting() {
    check(
        &without(Safeguard::WaitBeforeRemoval),
        &expect![[r#"
            216 states, violated: Overload after 5 steps
            CheckAndSend(0), FailPermanently(0), CheckAndSend(1), RemoveFromRoster(1, 0)
            CheckAndSend(1)"#]],
    );
}

// Two newcomers that do not know each other remove the only member, and each uses all slots.
#[test]
fn removal_by_an_unconfirmed_boot() {
    check(
        &without(Safeguard::RemovalByConfirmedBoot),
        &expect![[r#"
            40979 states, violated: Overload after 12 steps
            ReceiveRoster(1, 0), ReceiveRoster(2, 0), FailPermanently(0), Tick
            Tick, Tick, Tick, RemoveFromRoster(1, 0)
            CheckAndSend(1), CheckAndSend(1), RemoveFromRoster(2, 0), CheckAndSend(2)"#]],
    );
}

// Guards against an overload when the owner releases its lease and renews it at any time.
#[test]
fn release_with_all_safeguards() {
    let two = fixed_roster(2, 2).with_releases();
    check(&two.clone().with_restarts(2), &expect!["34309 states, holds"]);
    check(&two.with_restarts(1).with_removal(), &expect!["23544 states, holds"]);
    check(&SlotSplitModel::new(3, 3).with_releases(), &expect!["106789 states, holds"]);
    check(
        &SlotSplitModel::new(3, 2).with_releases().with_restarts(1),
        &expect!["192167 states, holds"],
    );
}

// The member uses its share next to the requests of an owner that fills the upstream.
#[test]
fn release_before_requests_end() {
    check(
        &without(Safeguard::DrainedBeforeRelease),
        &expect![[r#"
            734 states, violated: Overload after 8 steps
            SendHeartbeat(0, 1), ReceiveHeartbeat(0, 1), ReceiveGrant(0, 1), CheckAndSend(0)
            CheckAndSend(0), ReleaseLease(0), ReceiveRelease(0, 1), CheckAndSend(1)"#]],
    );
}

// A restarted owner releases the lease under which its previous boot filled the upstream.
#[test]
fn release_right_after_boot() {
    check(
        &without(Safeguard::WaitBeforeRelease),
        &expect![[r#"
            4248 states, violated: Overload after 9 steps
            SendHeartbeat(0, 1), ReceiveHeartbeat(0, 1), ReceiveGrant(0, 1), CheckAndSend(0)
            CheckAndSend(0), Restart(0), ReleaseLease(0), ReceiveRelease(0, 1)
            CheckAndSend(1)"#]],
    );
}

// The owner continues by an old grant after its release.
#[test]
fn grant_counted_after_a_release() {
    check(
        &without(Safeguard::ReleaseVoidsGrants),
        &expect![[r#"
            1043 states, violated: Overload after 8 steps
            SendHeartbeat(0, 1), ReceiveHeartbeat(0, 1), ReceiveGrant(0, 1), CheckAndSend(0)
            ReleaseLease(0), CheckAndSend(0), ReceiveRelease(0, 1), CheckAndSend(1)"#]],
    );
}

// A release that arrives late ends the promise of a later grant.
#[test]
fn late_release_applied() {
    check(
        &without(Safeguard::LateReleaseIgnored),
        &expect![[r#"
            1001 states, violated: Overload after 8 steps
            CheckAndSend(0), ReleaseLease(0), SendHeartbeat(0, 1), ReceiveHeartbeat(0, 1)
            ReceiveGrant(0, 1), CheckAndSend(0), ReceiveRelease(0, 1), CheckAndSend(1)"#]],
    );
}
