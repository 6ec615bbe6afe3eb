//! Copies of the store's tables that VMs pass on to each other.

use std::sync::Arc;

use proptest::prelude::*;
use sedgepath_core::direct::copies::{CopiedRow, Page, TableCopy};

fn row(key: &str, version: u64, value: Option<&str>) -> CopiedRow {
    let value = value.map(|value| Arc::from(value.as_bytes()));
    CopiedRow { key: key.into(), version, value }
}

fn changes(position: u64, rows: Vec<CopiedRow>) -> Page {
    Page { rows, position, whole: false }
}

fn whole(position: u64, rows: Vec<CopiedRow>) -> Page {
    Page { rows, position, whole: true }
}

/// An upstream leaves; its entry is removed. A VM that was cut off still has the entry and is asked
/// for its rows by one that has the removal. The removed entry must not come back through it, or
/// callers' requests would go to an upstream that is gone.
#[test]
fn a_removed_row_does_not_come_back_through_an_older_copy() {
    let mut ahead = TableCopy::default();
    ahead.merge(whole(5, vec![row("b1", 3, Some("ready")), row("b2", 4, Some("ready"))]));
    let mut behind = TableCopy::default();
    behind.merge(ahead.since(0));
    ahead.merge(changes(9, vec![row("b1", 9, None)]));

    assert_eq!(ahead.merge(behind.since(0)), vec![], "the older copy changed the newer one");
    let news = behind.merge(ahead.since(behind.changed_at()));

    assert_eq!(news, vec![row("b1", 9, None)]);
}

/// A VM reads the whole table after the store has dropped its history. Rows that were removed in the
/// gap are in no feed; they are told by their absence.
#[test]
fn rows_missing_from_a_whole_table_are_removed() {
    let mut copy = TableCopy::default();
    copy.merge(whole(5, vec![row("b1", 3, Some("ready")), row("b2", 4, Some("ready"))]));

    let news = copy.merge(whole(20, vec![row("b2", 4, Some("ready"))]));

    assert_eq!(news, vec![row("b1", 20, None)]);
    assert_eq!(copy.merge(whole(20, vec![row("b2", 4, Some("ready"))])), vec![]);
}

/// A whole table that was read before a row was written arrives after the row. The row is newer than
/// the table's version, so its absence says nothing.
#[test]
fn a_whole_table_that_arrives_late_removes_nothing_newer() {
    let mut copy = TableCopy::default();
    copy.merge(whole(5, vec![]));
    copy.merge(changes(9, vec![row("b1", 9, Some("ready"))]));

    assert_eq!(copy.merge(whole(7, vec![])), vec![]);
    assert_eq!(copy.since(8).rows, vec![row("b1", 9, Some("ready"))]);
}

/// What is asked after a version holds just what has changed since.
#[test]
fn only_later_changes_are_passed_on() {
    let mut copy = TableCopy::default();
    copy.merge(whole(5, vec![row("b1", 3, Some("ready")), row("b2", 4, Some("ready"))]));
    copy.merge(changes(8, vec![row("b3", 8, Some("ready"))]));

    let page = copy.since(4);

    assert!(!page.whole);
    assert_eq!(page.rows, vec![row("b3", 8, Some("ready"))]);
    assert_eq!((copy.changed_at(), copy.position()), (8, 8));
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 256, rng_seed: proptest::test_runner::RngSeed::Fixed(7), ..ProptestConfig::default() })]

    /// VMs hear of changes in different orders, in parts and repeatedly. Whatever the order, copies that
    /// have heard of the same changes hold the same rows.
    #[test]
    fn copies_agree_whatever_the_order(
        history in prop::collection::vec((0_u8..4, prop::option::of(0_u8..3)), 1..20),
        order in prop::collection::vec(any::<prop::sample::Index>(), 0..40),
    ) {
        let rows: Vec<CopiedRow> = history
            .iter()
            .enumerate()
            .map(|(index, (key, value))| {
                let value = value.map(|value| value.to_string());
                row(&key.to_string(), index as u64 + 1, value.as_deref())
            })
            .collect();
        let mut straight = TableCopy::default();
        straight.merge(whole(0, vec![]));
        straight.merge(changes(rows.len() as u64, rows.clone()));

        let mut mixed = TableCopy::default();
        mixed.merge(whole(0, vec![]));
        for index in &order {
            let picked = index.get(&rows).clone();
            mixed.merge(changes(0, vec![picked]));
        }
        mixed.merge(straight.since(0));
        mixed.merge(changes(0, rows));

        let sorted = |copy: &TableCopy| {
            let mut rows = copy.since(0).rows;
            rows.sort_unstable_by(|one, other| one.key.cmp(&other.key));
            rows
        };
        prop_assert_eq!(sorted(&straight), sorted(&mixed));
    }
}
