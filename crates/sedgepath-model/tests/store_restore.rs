//! Tests of the model of a store that is restored: the properties hold, and each safeguard prevents a
//! violation.

#![allow(
    clippy::needless_raw_string_hashes,
    reason = "expect-test writes its expectations with hashes"
)]

mod common;

use common::check;
use expect_test::expect;
use sedgepath_model::search::explore;
use sedgepath_model::store_restore::{Safeguard, StoreRestoreModel, Violation};

/// Guards against values that go back, VMs that stay behind and calls without an end after a restore.
#[test]
fn replicas_follow_a_store_that_is_restored() {
    check(&StoreRestoreModel::new(1).with_restarts(1), &expect!["283645 states, holds"]);
    check(&StoreRestoreModel::new(2), &expect!["858126 states, holds"]);
}

/// Guards against safeguards without effect: each one prevents its violation.
#[test]
fn each_safeguard_is_needed() {
    let violations = [
        (Safeguard::EraBeforeCounter, Violation::ReadsOn),
        (Safeguard::ChangesOfOneEra, Violation::StaysBehind),
        (Safeguard::NewerValueKept, Violation::WentBack),
        (Safeguard::MissingRowKept, Violation::WentBack),
    ];
    assert_eq!(violations.map(|(safeguard, _)| safeguard), Safeguard::ALL);
    for (safeguard, violation) in violations {
        let exploration = explore(&StoreRestoreModel::smallest_without(safeguard));
        let found = exploration.counterexample().map(|found| found.violation);
        assert_eq!(found, Some(violation), "without {safeguard:?}: {exploration}");
    }
}
