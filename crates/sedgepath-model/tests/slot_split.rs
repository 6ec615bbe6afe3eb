//! The slot split: what holds, and what each safeguard is there for.

#![allow(
    clippy::needless_raw_string_hashes,
    reason = "expect-test writes its expectations with hashes"
)]

mod common;

use common::check;
use expect_test::{Expect, expect};
use sedgepath_model::search::reach;
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
    let exploration = reach(model, wanted);
    assert!(exploration.counterexample().is_some(), "{exploration}");
}

// Two or three members know each other from the start. Heartbeats and grants are late or lost,
// nodes are paused between check and send, and one or two restart with empty memories. The upstream
// never gets more than its slots, since each use rests on a promise that outlives it.
#[test]
fn fixed_roster_with_all_safeguards() {
    check(&fixed_roster(2, 2).with_restarts(2), &expect!["26598 states, holds"]);
    check(&fixed_roster(3, 3), &expect!["109342 states, holds"]);
    check(&fixed_roster(3, 2).with_restarts(1), &expect!["172611 states, holds"]);
}

// A newcomer joins one or two members while messages are late and nodes are paused. It takes the
// upstream over, and so the old owner has to give way before the newcomer fills it.
#[test]
fn newcomer_with_all_safeguards() {
    check(&changing_roster(2, 1, 0).with_pauses(), &expect!["156704 states, holds"]);
    check(&changing_roster(1, 1, 2).with_pauses(), &expect!["190148 states, holds"]);
}

// Three members and a newcomer, a newcomer next to a restart, and two newcomers at once. So that
// the search stays small, a heartbeat and its grant are exchanged at once or lost, and nobody is
// paused between check and send.
#[test]
fn larger_rosters_with_all_safeguards() {
    let three_slots = SlotSplitModel::new(3, 3).with_newcomers(1);
    check(&changing_roster(3, 1, 0).with_atomic_heartbeats(), &expect!["18491 states, holds"]);
    check(&three_slots.with_atomic_heartbeats(), &expect!["86435 states, holds"]);
    check(&changing_roster(2, 1, 1).with_atomic_heartbeats(), &expect!["150797 states, holds"]);
    check(&changing_roster(1, 2, 0).with_atomic_heartbeats(), &expect!["16906 states, holds"]);
}

// A member, which may be the owner, is gone for good; the platform's list says so late or never,
// and to each node at its own time. The others share out its part only after what it left running
// is over.
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

// The owner is gone, and the member that is left fills the upstream in the end. The property would
// be empty if its slots were lost for good.
#[test]
fn slots_of_a_removed_member_are_used() {
    assert_reached(&SlotSplitModel::new(2, 2).with_removal(), |state| {
        state.nodes[1].in_flight.count() == 2
    });
}

// The owner fills the upstream by its right; a member uses its part when it hears nothing from the
// owner; after a restart both use their parts again. Without such runs the property would be empty.
#[test]
fn slots_are_used_on_a_fixed_roster() {
    let model = fixed_roster(2, 2).with_restarts(1);
    assert_reached(&model, |state| state.nodes[0].in_flight.count() == 2);
    assert_reached(&model, |state| state.nodes[1].in_flight.count() == 1);
    assert_reached(&model, |state| {
        let restarted = state.restarts_left == 0 && state.left_behind.count() == 0;
        restarted && state.nodes[1].in_flight.count() == 1 && state.nodes[0].in_flight.count() == 1
    });
}

// The newcomer gets the roster, is granted by all and fills the upstream. The property would be
// empty if it never could.
#[test]
fn newcomer_can_fill_the_upstream() {
    assert_reached(&changing_roster(2, 1, 0), |state| state.nodes[2].in_flight.count() == 2);
}

// The owner admits requests in the last tick of its right; they hold their slots for D. The
// member's promise of 2T ends before they do, and the member adds its part.
#[test]
fn promise_without_deadline() {
    check(
        &without(Safeguard::DeadlineInPromise),
        &expect![[r#"
            3282 states, violated: Overload after 8 steps
            SendHeartbeat(0, 1), GetHeartbeat(0, 1), Tick, GetGrant(0, 1)
            CheckAndSend(0), CheckAndSend(0), Tick, CheckAndSend(1)"#]],
    );
}

// The grant is two ticks on its way. Its holder counts the right from the receipt and still admits
// requests when the member's promise is nearly over.
#[test]
fn right_counted_from_receipt() {
    check(
        &without(Safeguard::RightFromSent),
        &expect![[r#"
            7748 states, violated: Overload after 10 steps
            SendHeartbeat(0, 1), GetHeartbeat(0, 1), Tick, Tick
            GetGrant(0, 1), Tick, CheckAndSend(0), CheckAndSend(0)
            Tick, CheckAndSend(1)"#]],
    );
}

// The member has a request in flight when the heartbeat arrives. It grants without naming it, and
// the owner fills all slots on top.
#[test]
fn in_flight_not_named() {
    check(
        &without(Safeguard::InFlightNamed),
        &expect![[r#"
            860 states, violated: Overload after 6 steps
            SendHeartbeat(0, 1), CheckAndSend(0), CheckAndSend(1), GetHeartbeat(0, 1)
            GetGrant(0, 1), CheckAndSend(0)"#]],
    );
}

// A member restarts and uses its part at once, next to the request that its last boot left.
#[test]
fn member_does_not_wait_at_boot() {
    check(
        &without(Safeguard::MemberWaitsAtBoot),
        &expect![[r#"
            132 states, violated: Overload after 4 steps
            CheckAndSend(0), CheckAndSend(1), Restart(1), CheckAndSend(1)"#]],
    );
}

// A member grants the owner and restarts. The new boot waits for D only; the owner fills the
// upstream at the end of its right, and the member, who has forgotten its promise, adds its part.
#[test]
fn promise_not_in_the_wait_at_boot() {
    check(
        &without(Safeguard::PromiseInWaitAtBoot),
        &expect![[r#"
            5869 states, violated: Overload after 9 steps
            SendHeartbeat(0, 1), GetHeartbeat(0, 1), GetGrant(0, 1), Restart(1)
            Tick, CheckAndSend(0), CheckAndSend(0), Tick
            CheckAndSend(1)"#]],
    );
}

// The owner restarts and uses its part at once, while the requests of its last boot still run.
#[test]
fn owner_does_not_wait_at_boot() {
    check(
        &without(Safeguard::OwnerWaitsAtBoot),
        &expect![[r#"
            127 states, violated: Overload after 4 steps
            CheckAndSend(0), Restart(0), CheckAndSend(0), CheckAndSend(1)"#]],
    );
}

// A member restarts while its request runs, and answers a heartbeat. It names nothing in flight,
// and the owner uses the slot that the last boot still holds.
#[test]
fn part_not_named_at_boot() {
    check(
        &without(Safeguard::PartNamedAtBoot),
        &expect![[r#"
            1887 states, violated: Overload after 7 steps
            SendHeartbeat(0, 1), CheckAndSend(0), CheckAndSend(1), Restart(1)
            GetHeartbeat(0, 1), GetGrant(0, 1), CheckAndSend(0)"#]],
    );
}

// The owner checks two requests and is paused until the member's promise has run out. It wakes and
// sends them, and they run for D from now on instead of from the check.
#[test]
fn deadline_counted_from_the_send() {
    check(
        &without(Safeguard::DeadlineFixedAtCheck),
        &expect![[r#"
            8109 states, violated: Overload after 11 steps
            SendHeartbeat(0, 1), GetHeartbeat(0, 1), Tick, GetGrant(0, 1)
            Check(0), Check(0), Tick, Tick
            Tick, Send(0), CheckAndSend(1)"#]],
    );
}

// The first node fills the upstream as its owner and restarts. Meanwhile the newcomer has become
// the owner; the new boot grants it and names only its part, although the last boot held every
// slot.
#[test]
fn only_part_named_at_boot_on_a_changing_roster() {
    check(
        &without(Safeguard::AllSlotsNamedAtBoot),
        &expect![[r#"
            860 states, violated: Overload after 8 steps
            Tick, Tick, CheckAndSend(0), CheckAndSend(0)
            HearRoster(1, 0), Restart(0), ExchangeHeartbeat(1, 0), CheckAndSend(1)"#]],
    );
}

// Two newcomers join a member. The second one knows only of the member and itself; it takes the
// member's grant, which names the first newcomer too, for all that it needs.
#[test]
fn grants_of_another_roster_counted() {
    check(
        &without(Safeguard::SameRoster),
        &expect![[r#"
            3095 states, violated: Overload after 9 steps
            Tick, Tick, CheckAndSend(0), HearRoster(1, 0)
            HearRoster(2, 0), ExchangeHeartbeat(1, 0), CheckAndSend(1), ExchangeHeartbeat(2, 0)
            CheckAndSend(2)"#]],
    );
}

// A newcomer knows of nobody else and so needs nobody's grant. It uses the whole upstream while the
// members use theirs.
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

// A newcomer hears the roster from one member and uses its part of it. The members still use theirs
// of the smaller roster.
#[test]
fn part_used_before_the_roster_is_confirmed() {
    check(
        &without(Safeguard::RosterConfirmed),
        &expect![[r#"
            251 states, violated: Overload after 6 steps
            Tick, Tick, CheckAndSend(0), CheckAndSend(1)
            HearRoster(2, 0), CheckAndSend(2)"#]],
    );
}

// All members have confirmed the larger roster and went down to smaller parts, but what they
// admitted before still runs when the newcomer adds its part.
#[test]
fn no_wait_after_the_roster_is_confirmed() {
    check(
        &without(Safeguard::WaitAfterConfirmed),
        &expect![[r#"
            1095 states, violated: Overload after 8 steps
            Tick, Tick, CheckAndSend(0), CheckAndSend(1)
            HearRoster(2, 0), ExchangeHeartbeat(2, 0), ExchangeHeartbeat(2, 1), CheckAndSend(2)"#]],
    );
}

// A member confirms the newcomer's roster and restarts. The new boot learns the smaller roster from
// a member that has not heard of the newcomer, and uses its part of that one. The newcomer holds
// the word of the last boot for the new one's and uses its part too.
#[test]
fn roster_does_not_tell_boots_apart() {
    check(
        &without(Safeguard::RosterNamesBoots),
        &expect![[r#"
            57673 states, violated: Overload after 11 steps
            Tick, HearRoster(2, 0), ExchangeHeartbeat(2, 0), Restart(0)
            HearRoster(0, 1), Tick, CheckAndSend(1), ExchangeHeartbeat(2, 1)
            CheckAndSend(2), Tick, CheckAndSend(0)"#]],
    );
}

// The owner has a request in flight when it vanishes. The member hears that it is gone, takes it
// off the roster at once and uses all slots, one of which the upstream still works on.
#[test]
fn removal_without_waiting() {
    check(
        &without(Safeguard::WaitBeforeRemoval),
        &expect![[r#"
            216 states, violated: Overload after 5 steps
            CheckAndSend(0), Vanish(0), CheckAndSend(1), Remove(1, 0)
            CheckAndSend(1)"#]],
    );
}

// Two newcomers have the roster from a member that does not know the other one yet, and the member
// is gone. Each takes it off its roster, is alone on it and uses all slots.
#[test]
fn removal_by_an_unconfirmed_boot() {
    check(
        &without(Safeguard::RemovalByConfirmed),
        &expect![[r#"
            40979 states, violated: Overload after 12 steps
            HearRoster(1, 0), HearRoster(2, 0), Vanish(0), Tick
            Tick, Tick, Tick, Remove(1, 0)
            CheckAndSend(1), CheckAndSend(1), Remove(2, 0), CheckAndSend(2)"#]],
    );
}

// The owner gives its right up and takes it back at any time, on a fixed roster, next to restarts
// and a removal. A member uses its part as soon as it hears of a release, and never too early.
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

// The owner has filled the upstream and gives its right up. The member hears of it and adds its
// part.
#[test]
fn release_before_the_requests_are_over() {
    check(
        &without(Safeguard::DrainedBeforeRelease),
        &expect![[r#"
            734 states, violated: Overload after 8 steps
            SendHeartbeat(0, 1), GetHeartbeat(0, 1), GetGrant(0, 1), CheckAndSend(0)
            CheckAndSend(0), GiveUpRight(0), GetRelease(0, 1), CheckAndSend(1)"#]],
    );
}

// The owner has filled the upstream, restarts and gives up a right that it no longer knows. The
// member forgets the promise that guards the requests of the last boot, and adds its part.
#[test]
fn release_right_after_boot() {
    check(
        &without(Safeguard::WaitBeforeRelease),
        &expect![[r#"
            4248 states, violated: Overload after 9 steps
            SendHeartbeat(0, 1), GetHeartbeat(0, 1), GetGrant(0, 1), CheckAndSend(0)
            CheckAndSend(0), Restart(0), GiveUpRight(0), GetRelease(0, 1)
            CheckAndSend(1)"#]],
    );
}

// The owner gives its right up and goes on by a grant that it had before. The member hears of the
// release and adds its part.
#[test]
fn grant_counted_after_a_release() {
    check(
        &without(Safeguard::ReleaseVoidsGrants),
        &expect![[r#"
            1043 states, violated: Overload after 8 steps
            SendHeartbeat(0, 1), GetHeartbeat(0, 1), GetGrant(0, 1), CheckAndSend(0)
            GiveUpRight(0), CheckAndSend(0), GetRelease(0, 1), CheckAndSend(1)"#]],
    );
}

// The owner gives its right up, sends a new heartbeat and is granted again. Then the release
// reaches the member, which takes it for the end of its newer promise.
#[test]
fn overtaken_release_obeyed() {
    check(
        &without(Safeguard::OldReleaseIgnored),
        &expect![[r#"
            1001 states, violated: Overload after 8 steps
            CheckAndSend(0), GiveUpRight(0), SendHeartbeat(0, 1), GetHeartbeat(0, 1)
            GetGrant(0, 1), CheckAndSend(0), GetRelease(0, 1), CheckAndSend(1)"#]],
    );
}
