//! Tests of the quota lending model: the quota holds, and each safeguard prevents an excess.

#![allow(
    clippy::needless_raw_string_hashes,
    reason = "expect-test writes its expectations with hashes"
)]

mod common;

use common::check;
use expect_test::expect;
use sedgepath_model::quota_lending::{QuotaLendingModel, Safeguard};
use sedgepath_model::search::explore;

/// Guards against an excess through lost, delayed and repeated grants, restarts and partitions.
#[test]
fn the_quota_holds() {
    check(&QuotaLendingModel::new(), &expect!["6749 states, holds"]);
    check(&QuotaLendingModel::new().with_restarts(1), &expect!["13767 states, holds"]);
    check(&QuotaLendingModel::new().with_cuts(1), &expect!["28138 states, holds"]);
    check(&QuotaLendingModel::new().with_cuts(2), &expect!["51774 states, holds"]);
}

/// Guards against safeguards without effect: each one prevents an excess.
#[test]
fn each_safeguard_is_needed() {
    for safeguard in Safeguard::ALL {
        let exploration = explore(&QuotaLendingModel::smallest_without(safeguard));
        assert!(exploration.counterexample().is_some(), "without {safeguard:?}: {exploration}");
    }
}
