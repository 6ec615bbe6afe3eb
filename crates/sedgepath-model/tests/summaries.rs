//! Tests of the summaries model: the properties hold, and each safeguard prevents a violation.

#![allow(
    clippy::needless_raw_string_hashes,
    reason = "expect-test writes its expectations with hashes"
)]

mod common;

use common::check;
use expect_test::expect;
use sedgepath_model::summaries::{Safeguard, SummariesModel};

// Guards against a wrong list of VMs while senders end or stop hearing each other.
#[test]
fn running_vms_are_listed_and_stopped_vms_are_not() {
    check(&SummariesModel::new(), &expect!["323 states, holds"]);
    check(&SummariesModel::new().with_kills(1), &expect!["2225 states, holds"]);
    check(&SummariesModel::new().with_kills(2), &expect!["4324 states, holds"]);
    check(&SummariesModel::new().with_kills(2).with_isolations(2), &expect!["58052 states, holds"]);
}

// Guards against safeguards without effect: each one prevents a violation.
#[test]
fn each_safeguard_is_needed() {
    for safeguard in Safeguard::ALL {
        let exploration =
            sedgepath_model::search::explore(&SummariesModel::smallest_without(safeguard));
        assert!(exploration.counterexample().is_some(), "without {safeguard:?}: {exploration}");
    }
}
