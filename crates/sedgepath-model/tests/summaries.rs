//! What failure domains say of their VMs: what holds, and what each rule is there for.

#![allow(
    clippy::needless_raw_string_hashes,
    reason = "expect-test writes its expectations with hashes"
)]

mod common;

use common::check;
use expect_test::expect;
use sedgepath_model::summaries::{Safeguard, SummariesModel};

// Speakers end or hear nobody at any moment, one or both.
#[test]
fn those_who_run_are_named_and_those_who_ended_are_not() {
    check(&SummariesModel::new(), &expect!["323 states, holds"]);
    check(&SummariesModel::new().with_kills(1), &expect!["2225 states, holds"]);
    check(&SummariesModel::new().with_kills(2), &expect!["4324 states, holds"]);
    check(&SummariesModel::new().with_kills(2).with_deafenings(2), &expect!["58052 states, holds"]);
}

// Each rule is left out in turn, and the search finds the fault that it prevents.
#[test]
fn each_rule_is_needed() {
    for safeguard in Safeguard::ALL {
        let exploration =
            sedgepath_model::search::explore(&SummariesModel::smallest_without(safeguard));
        assert!(exploration.counterexample().is_some(), "without {safeguard:?}: {exploration}");
    }
}
