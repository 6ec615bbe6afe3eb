//! The retry budget of all VMs: what holds, and what each rule is there for.

#![allow(
    clippy::needless_raw_string_hashes,
    reason = "expect-test writes its expectations with hashes"
)]

mod common;

use common::check;
use expect_test::expect;
use sedgepath_model::retry_budget::{RetryBudgetModel, Safeguard};

// One VM whose callers come in any order of calm and bursts, and which sends repeats whenever it may: also where the
// window of operators holds a part of a burst only.
#[test]
fn one_vm_keeps_the_budget_in_every_window() {
    check(&RetryBudgetModel::new(1, 4), &expect!["7035 states, holds"]);
    check(&RetryBudgetModel::new(1, 4).with_restarts(2), &expect!["54721 states, holds"]);
    check(
        &RetryBudgetModel::new(1, 2).with_slack(3, 1).with_asks(2),
        &expect!["56730 states, holds"],
    );
    check(&RetryBudgetModel::new(1, 4).with_slack(2, 1), &expect!["126343 states, holds"]);
}

// Two VMs restart at any moment, in turn or together, once or twice; they may not hear each other, and repeats
// arrive late.
#[test]
fn two_vms_that_restart_and_lose_each_other_keep_the_budget() {
    check(&RetryBudgetModel::new(2, 2).with_restarts(2), &expect!["26303 states, holds"]);
    check(
        &RetryBudgetModel::new(2, 2).with_slack(2, 2).with_restarts(1),
        &expect!["250244 states, holds"],
    );
    check(&RetryBudgetModel::new(2, 2).with_slack(3, 2), &expect!["224467 states, holds"]);
}

// Each process counts its own last window. Operators see an excess after a restart, and, with a window of four ticks,
// without any: requests of a burst are spent in a window that holds a part of it.
#[test]
fn windows_that_each_process_counts_do_not_add_up() {
    let counting = |model: RetryBudgetModel| model.with_removed(Safeguard::Bucket);
    check(
        &counting(RetryBudgetModel::new(1, 2).with_restarts(1)),
        &expect![[r#"
            65 states, violated: Excess after 7 steps
            Ask(0), Repeat(0), Restart(0), Arrive
            Repeat(0), Arrive, Tick"#]],
    );
    check(
        &counting(RetryBudgetModel::new(1, 4)),
        &expect![[r#"
        574 states, violated: Excess after 11 steps
        Ask(0), Tick, Repeat(0), Arrive
        Tick, Tick, Ask(0), Repeat(0)
        Arrive, Tick, Tick"#]],
    );
}

// Each rule is left out in turn, and the search finds the excess that it prevents.
#[test]
fn each_rule_is_needed() {
    for safeguard in Safeguard::ALL {
        let exploration =
            sedgepath_model::search::explore(&RetryBudgetModel::smallest_without(safeguard));
        assert!(exploration.counterexample().is_some(), "without {safeguard:?}: {exploration}");
    }
}
