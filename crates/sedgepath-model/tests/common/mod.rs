//! Helpers for the tests of all models.

use expect_test::Expect;
use sedgepath_model::search::{Model, explore};

/// Explores `model` and compares the number of states and the counterexample with `expected`.
pub fn check<M: Model>(model: &M, expected: &Expect) {
    let exploration = explore(model);
    println!("{exploration}");
    expected.assert_eq(&format!("{exploration:#}"));
}
