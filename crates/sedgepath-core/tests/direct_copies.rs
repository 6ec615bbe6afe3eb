//! Copies of the store's tables that VMs pass on to each other.

use std::sync::Arc;

use proptest::prelude::*;
use sedgepath_core::direct::replicas::{TableReplica, TableUpdate, VersionedRow};

fn row(key: &str, version: u64, value: Option<&str>) -> VersionedRow {
    let value = value.map(|value| Arc::from(value.as_bytes()));
    VersionedRow { key: key.into(), version, value }
}

fn changes(position: u64, rows: Vec<VersionedRow>) -> TableUpdate {
    TableUpdate { rows, position, is_snapshot: false }
}

fn whole(position: u64, rows: Vec<VersionedRow>) -> TableUpdate {
    TableUpdate { rows, position, is_snapshot: true }
}

/// An upstream leaves; its entry is removed. A VM that was cut off still has the entry and is asked
/// for its rows by one that has the removal. The removed entry must not come back through it, or
/// callers' requests would go to an upstream that is gone.
#[test]
fn a_removed_row_does_not_come_back_through_an_older_copy() {
    let mut ahead = TableReplica::default();
    ahead.merge(whole(5, vec![row("b1", 3, Some("ready")), row("b2", 4, Some("ready"))]));
    let mut behind = TableReplica::default();
    behind.merge(ahead.changes_since(0));
    ahead.merge(changes(9, vec![row("b1", 9, None)]));

    assert_eq!(
        ahead.merge(behind.changes_since(0)),
        vec![],
        "the older copy changed the newer one"
    );
    let news = behind.merge(ahead.changes_since(behind.newest_version()));

    assert_eq!(news, vec![row("b1", 9, None)]);
}

/// A VM reads the whole table after the store has dropped its history. Rows that were removed in the
/// gap are in no feed; they are told by their absence.
#[test]
fn rows_missing_from_a_whole_table_are_removed() {
    let mut copy = TableReplica::default();
    copy.merge(whole(5, vec![row("b1", 3, Some("ready")), row("b2", 4, Some("ready"))]));

    let news = copy.merge(whole(20, vec![row("b2", 4, Some("ready"))]));

    assert_eq!(news, vec![row("b1", 20, None)]);
    assert_eq!(copy.merge(whole(20, vec![row("b2", 4, Some("ready"))])), vec![]);
}

/// A whole table that was read before a row was written arrives after the row. The row is newer than
/// the table's version, so its absence says nothing.
#[test]
fn a_whole_table_that_arrives_late_removes_nothing_newer() {
    let mut copy = TableReplica::default();
    copy.merge(whole(5, vec![]));
    copy.merge(changes(9, vec![row("b1", 9, Some("ready"))]));

    assert_eq!(copy.merge(whole(7, vec![])), vec![]);
    assert_eq!(copy.changes_since(8).rows, vec![row("b1", 9, Some("ready"))]);
}

/// A VM restarts and asks the store and a neighbour for the whole table at once. An upstream leaves
/// meanwhile, and the neighbour's answer, without it, comes first. The store's older one must not bring the
/// upstream back: nobody would tell of its removal again, and it would get requests for seconds.
#[test]
fn an_older_table_that_arrives_late_brings_nothing_back() {
    let mut copy = TableReplica::default();
    copy.merge(whole(10, vec![row("b2", 4, Some("ready"))]));

    let older = vec![row("b1", 3, Some("ready")), row("b2", 4, Some("ready"))];

    assert_eq!(copy.merge(whole(8, older)), vec![]);
    assert_eq!(copy.merge(changes(9, vec![row("b3", 7, Some("ready"))])), vec![]);
    assert_eq!(copy.changes_since(0).rows, vec![row("b2", 4, Some("ready"))]);
}

/// A VM restarts and reads the whole table just after an upstream has left. A neighbour that still has
/// the upstream asks it what has changed since. The restarted VM has never heard of the removal, so
/// it must give the whole table: of the changes that it knows the neighbour would believe that they
/// are all, and go on sending to the upstream that has left.
#[test]
fn a_copy_begun_after_a_removal_does_not_hide_it() {
    let mut neighbour = TableReplica::default();
    neighbour.merge(whole(5, vec![row("b1", 3, Some("ready")), row("b2", 4, Some("ready"))]));
    let mut restarted = TableReplica::default();
    restarted.merge(whole(10, vec![row("b2", 9, Some("draining"))]));

    let news = neighbour.merge(restarted.changes_since(neighbour.position()));

    assert!(news.contains(&row("b1", 10, None)), "the removal is hidden: {news:?}");
    assert!(news.contains(&row("b2", 9, Some("draining"))), "{news:?}");
}

/// What is asked after a version holds just what has changed since, unless the copy began later.
#[test]
fn only_later_changes_are_passed_on() {
    let mut copy = TableReplica::default();
    copy.merge(whole(5, vec![row("b1", 3, Some("ready")), row("b2", 4, Some("ready"))]));
    copy.merge(changes(8, vec![row("b3", 8, Some("ready"))]));

    assert!(copy.changes_since(4).is_snapshot, "what was removed at 5 is not known here");
    let page = copy.changes_since(5);

    assert!(!page.is_snapshot);
    assert_eq!(page.rows, vec![row("b3", 8, Some("ready"))]);
    assert_eq!((copy.newest_version(), copy.position()), (8, 8));
}

/// What happens in the life of some copies of one table.
#[derive(Debug, Clone)]
enum Happening {
    /// The store's row of a key gets a value, or is removed.
    Change(u8, bool),
    /// A copy is lost; its VM reads the whole table from the store.
    Restart(usize),
    /// A copy is lost; its VM gets the table from another VM.
    RestartFrom(usize, usize),
    /// A copy takes what has changed from the store.
    Follow(usize),
    /// A copy takes what has changed from another.
    Fetch(usize, usize),
    /// A copy is lost; nothing has been read for it yet.
    Lose(usize),
    /// A VM asks the store for what its copy lacks, or for the whole table; the answer is on its way.
    AskStore(usize, bool),
    /// A VM asks another for what its copy lacks; the answer is on its way.
    AskVm(usize, usize),
    /// One of the answers on their way arrives.
    Arrive(prop::sample::Index),
}

fn happening() -> impl Strategy<Value = Happening> {
    let vm = 0..4_usize;
    prop_oneof![
        4 => (0..5_u8, any::<bool>()).prop_map(|(key, there)| Happening::Change(key, there)),
        1 => vm.clone().prop_map(Happening::Restart),
        1 => (vm.clone(), vm.clone()).prop_map(|(vm, from)| Happening::RestartFrom(vm, from)),
        2 => vm.clone().prop_map(Happening::Follow),
        4 => (vm.clone(), vm.clone()).prop_map(|(vm, from)| Happening::Fetch(vm, from)),
        1 => vm.clone().prop_map(Happening::Lose),
        2 => (vm.clone(), any::<bool>()).prop_map(|(vm, all)| Happening::AskStore(vm, all)),
        2 => (vm.clone(), vm).prop_map(|(vm, from)| Happening::AskVm(vm, from)),
        4 => any::<prop::sample::Index>().prop_map(Happening::Arrive),
    ]
}

/// The store's table at each version.
#[derive(Debug, Default)]
struct History {
    rows: Vec<VersionedRow>,
}

impl History {
    fn change(&mut self, key: u8, there: bool) {
        let version = self.rows.len() as u64 + 1;
        self.rows.push(row(&key.to_string(), version, there.then_some("ready")));
    }

    fn after(&self, position: u64) -> TableUpdate {
        let mut last = std::collections::BTreeMap::new();
        for row in self.rows.iter().filter(|row| row.version > position) {
            last.insert(row.key.clone(), row.clone());
        }
        changes(self.rows.len() as u64, last.into_values().collect())
    }

    fn at(&self, position: u64) -> Vec<VersionedRow> {
        let mut last = std::collections::BTreeMap::new();
        for row in self.rows.iter().filter(|row| row.version <= position) {
            last.insert(row.key.clone(), row.clone());
        }
        last.into_values().filter(|row| row.value.is_some()).collect()
    }
}

fn sorted_rows(copy: &TableReplica) -> Vec<VersionedRow> {
    let mut rows = copy.changes_since(0).rows;
    rows.sort_unstable_by(|one, other| one.key.cmp(&other.key));
    rows
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 2_000, rng_seed: proptest::test_runner::RngSeed::Fixed(11), ..ProptestConfig::default() })]

    /// VMs restart, follow the store and fetch from each other, in any order; answers overtake each other.
    /// A copy that says that it has all changes up to a version holds what the store held then: no row too
    /// many, none too few.
    #[test]
    fn a_copy_holds_what_it_says(happenings in prop::collection::vec(happening(), 1..60)) {
        let mut history = History::default();
        let mut copies: Vec<TableReplica> = (0..4).map(|_| TableReplica::default()).collect();
        let mut on_their_way: Vec<(usize, TableUpdate)> = Vec::new();
        for happening in happenings {
            let newest = history.rows.len() as u64;
            match happening {
                Happening::Change(key, there) => history.change(key, there),
                Happening::Lose(vm) => {
                    // The answers to the last process find no one.
                    on_their_way.retain(|(asker, _)| *asker != vm);
                    copies[vm] = TableReplica::default();
                }
                Happening::AskStore(vm, all) => {
                    let page = if all || !copies[vm].is_complete() {
                        whole(newest, history.at(newest))
                    } else {
                        history.after(copies[vm].position())
                    };
                    on_their_way.push((vm, page));
                }
                Happening::AskVm(vm, from) if copies[from].is_complete() => {
                    let page = copies[from].changes_since(copies[vm].position());
                    on_their_way.push((vm, page));
                }
                Happening::Arrive(index) if !on_their_way.is_empty() => {
                    let (vm, page) = on_their_way.swap_remove(index.index(on_their_way.len()));
                    copies[vm].merge(page);
                }
                Happening::Restart(vm) => {
                    on_their_way.retain(|(asker, _)| *asker != vm);
                    copies[vm] = TableReplica::default();
                    copies[vm].merge(whole(newest, history.at(newest)));
                }
                Happening::RestartFrom(vm, from) if vm != from => {
                    on_their_way.retain(|(asker, _)| *asker != vm);
                    copies[vm] = TableReplica::default();
                    let page = copies[from].changes_since(0);
                    copies[vm].merge(page);
                }
                Happening::Follow(vm) if copies[vm].is_complete() => {
                    let position = copies[vm].position();
                    copies[vm].merge(history.after(position));
                }
                Happening::Fetch(vm, from) if copies[from].is_complete() => {
                    let position = copies[vm].position();
                    let page = copies[from].changes_since(position);
                    copies[vm].merge(page);
                }
                _ => {}
            }
            for copy in copies.iter().filter(|copy| copy.is_complete()) {
                prop_assert_eq!(sorted_rows(copy), history.at(copy.position()));
            }
        }
    }
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
        let rows: Vec<VersionedRow> = history
            .iter()
            .enumerate()
            .map(|(index, (key, value))| {
                let value = value.map(|value| value.to_string());
                row(&key.to_string(), index as u64 + 1, value.as_deref())
            })
            .collect();
        let mut straight = TableReplica::default();
        straight.merge(whole(0, vec![]));
        straight.merge(changes(rows.len() as u64, rows.clone()));

        let mut mixed = TableReplica::default();
        mixed.merge(whole(0, vec![]));
        for index in &order {
            let picked = index.get(&rows).clone();
            mixed.merge(changes(0, vec![picked]));
        }
        mixed.merge(straight.changes_since(0));
        mixed.merge(changes(0, rows));

        let sorted = |copy: &TableReplica| {
            let mut rows = copy.changes_since(0).rows;
            rows.sort_unstable_by(|one, other| one.key.cmp(&other.key));
            rows
        };
        prop_assert_eq!(sorted(&straight), sorted(&mixed));
    }
}
