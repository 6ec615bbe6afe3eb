//! Tests of the retry budget model: the budget holds, and each safeguard prevents an excess.

#![allow(
    clippy::needless_raw_string_hashes,
    reason = "expect-test writes its expectations with hashes"
)]

mod common;

use common::check;
use expect_test::expect;
use sedgepath_model::retry_budget::{RetryBudgetModel, Safeguard};

// Guards against an excess after bursts, including windows that hold only a part of a burst.
#[test]
fn budget_holds_for_one_vm_in_every_window() {
    check(&RetryBudgetModel::new(1, 4), &expect!["7035 states, holds"]);
    check(&RetryBudgetModel::new(1, 4).with_restarts(2), &expect!["54721 states, holds"]);
    check(
        &RetryBudgetModel::new(1, 2).with_slack(3, 1).with_max_requests_per_tick(2),
        &expect!["56730 states, holds"],
    );
    check(&RetryBudgetModel::new(1, 4).with_slack(2, 1), &expect!["126343 states, holds"]);
}

// Guards against an excess when two VMs restart, lose each other and send retries that arrive late.
#[test]
fn budget_holds_for_two_vms_with_restarts_and_lost_peers() {
    check(&RetryBudgetModel::new(2, 2).with_restarts(2), &expect!["26303 states, holds"]);
    check(
        &RetryBudgetModel::new(2, 2).with_slack(2, 2).with_restarts(1),
        &expect!["250244 states, holds"],
    );
    check(&RetryBudgetModel::new(2, 2).with_slack(3, 2), &expect!["224467 states, holds"]);
}

// Sliding windows counted by each process exceed the budget after a restart, or where a window
// holds only a part of a burst.
#[test]
fn per_process_windows_exceed_the_budget() {
    let per_process_window =
        |model: RetryBudgetModel| model.without_safeguard(Safeguard::TokenBucket);
    check(
        &per_process_window(RetryBudgetModel::new(1, 2).with_restarts(1)),
        &expect![[r#"
            65 states, violated: BudgetExceeded after 7 steps
            ReceiveRequest(0), SendRetry(0), Restart(0), DeliverRetry
            SendRetry(0), DeliverRetry, Tick"#]],
    );
    check(
        &per_process_window(RetryBudgetModel::new(1, 4)),
        &expect![[r#"
        574 states, violated: BudgetExceeded after 11 steps
        ReceiveRequest(0), Tick, SendRetry(0), DeliverRetry
        Tick, Tick, ReceiveRequest(0), SendRetry(0)
        DeliverRetry, Tick, Tick"#]],
    );
}

// Guards against safeguards without effect: each one prevents an excess.
#[test]
fn each_safeguard_is_needed() {
    for safeguard in Safeguard::ALL {
        let exploration =
            sedgepath_model::search::explore(&RetryBudgetModel::smallest_without(safeguard));
        assert!(exploration.counterexample().is_some(), "without {safeguard:?}: {exploration}");
    }
}
