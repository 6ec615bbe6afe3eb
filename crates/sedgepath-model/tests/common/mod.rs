//! What the tests of all models share.

use expect_test::Expect;
use sedgepath_model::search::{Model, explore};

/// Explores `model`, prints what was found, and compares it: the number of states, the violation,
/// the length of the shortest trace and its actions.
pub fn check<M: Model>(model: &M, expected: &Expect) {
    let exploration = explore(model);
    println!("{exploration}");
    expected.assert_eq(&format!("{exploration:#}"));
}
