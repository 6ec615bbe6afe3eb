//! Tests of the model of writes with conditions: the properties hold across restores of the store, and
//! each safeguard prevents a violation.

#![allow(
    clippy::needless_raw_string_hashes,
    reason = "expect-test writes its expectations with hashes"
)]

mod common;

use common::check;
use expect_test::expect;
use sedgepath_model::conditional_write::{ConditionalWriteModel, Safeguard, Violation};
use sedgepath_model::search::explore;

/// Guards against claims that two VMs believe, and rows overwritten unread, because a restored store
/// gives versions out again.
#[test]
fn a_claim_is_made_once_in_each_era() {
    check(&ConditionalWriteModel::new(1), &expect!["47932 states, holds"]);
    check(&ConditionalWriteModel::new(2), &expect!["353652 states, holds"]);
}

/// Guards against safeguards without effect: each one prevents its violation.
#[test]
fn each_safeguard_is_needed() {
    let violations = [
        (Safeguard::EarlierEraNotSent, Violation::OverwrittenUnread),
        (Safeguard::EraOfResponseChecked, Violation::ClaimedTwice),
    ];
    assert_eq!(violations.map(|(safeguard, _)| safeguard), Safeguard::ALL);
    for (safeguard, violation) in violations {
        let exploration = explore(&ConditionalWriteModel::new(1).without_safeguard(safeguard));
        let found = exploration.counterexample().map(|found| found.violation);
        assert_eq!(found, Some(violation), "without {safeguard:?}: {exploration}");
    }
}
