//! Merging and exchange of replicas of the store's tables.

use std::sync::Arc;

use proptest::prelude::*;
use sedgepath_core::direct::replicas::{TableReplica, TableUpdate, VersionedRow};
use sedgepath_core::direct::store_version::StoreVersion;

/// Returns a version of a store that was never restored.
fn at(counter: u64) -> StoreVersion {
    StoreVersion::new(0, counter)
}

fn row(key: &str, version: u64, value: Option<&str>) -> VersionedRow {
    let value = value.map(|value| Arc::from(value.as_bytes()));
    VersionedRow { key: key.into(), version: at(version), value }
}

fn changes(position: u64, rows: Vec<VersionedRow>) -> TableUpdate {
    TableUpdate::new_changes(rows, at(position))
}

fn snapshot(position: u64, rows: Vec<VersionedRow>) -> TableUpdate {
    TableUpdate::new_snapshot(rows, at(position))
}

/// Guards against an older replica restoring the entry of a removed upstream.
#[test]
fn an_older_replica_does_not_restore_a_removed_row() {
    let mut ahead = TableReplica::default();
    ahead.merge(snapshot(5, vec![row("b1", 3, Some("ready")), row("b2", 4, Some("ready"))]));
    let mut behind = TableReplica::default();
    behind.merge(ahead.changes_since(at(0)));
    ahead.merge(changes(9, vec![row("b1", 9, None)]));

    assert_eq!(
        ahead.merge(behind.changes_since(at(0))),
        vec![],
        "the older replica changed the newer one"
    );
    let changes = behind.merge(ahead.changes_since(behind.newest_version()));

    assert_eq!(changes, vec![row("b1", 9, None)]);
}

/// Guards against keeping rows whose removal the store's dropped history no longer shows.
#[test]
fn rows_absent_from_a_snapshot_are_removed() {
    let mut replica = TableReplica::default();
    replica.merge(snapshot(5, vec![row("b1", 3, Some("ready")), row("b2", 4, Some("ready"))]));

    let changes = replica.merge(snapshot(20, vec![row("b2", 4, Some("ready"))]));

    assert_eq!(changes, vec![row("b1", 20, None)]);
    assert_eq!(replica.merge(snapshot(20, vec![row("b2", 4, Some("ready"))])), vec![]);
}

/// Guards against a delayed snapshot removing a row that was written after it.
#[test]
fn a_delayed_snapshot_keeps_newer_rows() {
    let mut replica = TableReplica::default();
    replica.merge(snapshot(5, vec![]));
    replica.merge(changes(9, vec![row("b1", 9, Some("ready"))]));

    assert_eq!(replica.merge(snapshot(7, vec![])), vec![]);
    assert_eq!(replica.changes_since(at(8)).rows, vec![row("b1", 9, Some("ready"))]);
}

/// Guards against a delayed older snapshot restoring a removed upstream, whose removal isn't sent
/// again.
#[test]
fn a_delayed_older_snapshot_restores_nothing() {
    let mut replica = TableReplica::default();
    replica.merge(snapshot(10, vec![row("b2", 4, Some("ready"))]));

    let older = vec![row("b1", 3, Some("ready")), row("b2", 4, Some("ready"))];

    assert_eq!(replica.merge(snapshot(8, older)), vec![]);
    assert_eq!(replica.merge(changes(9, vec![row("b3", 7, Some("ready"))])), vec![]);
    assert_eq!(replica.changes_since(at(0)).rows, vec![row("b2", 4, Some("ready"))]);
}

/// Guards against an incremental update that lacks a removal, because its sender's replica was
/// created after the removal.
#[test]
fn a_replica_created_after_a_removal_sends_a_snapshot() {
    let mut older = TableReplica::default();
    older.merge(snapshot(5, vec![row("b1", 3, Some("ready")), row("b2", 4, Some("ready"))]));
    let mut restarted = TableReplica::default();
    restarted.merge(snapshot(10, vec![row("b2", 9, Some("draining"))]));

    let changes = older.merge(restarted.changes_since(older.position()));

    assert!(changes.contains(&row("b1", 10, None)), "the removal is missing: {changes:?}");
    assert!(changes.contains(&row("b2", 9, Some("draining"))), "{changes:?}");
}

/// Returns a replica with a whole table as the store has it at a position.
fn read_whole(position: u64, rows: Vec<VersionedRow>) -> TableReplica {
    let mut replica = TableReplica::default();
    replica.merge(snapshot(position, rows).with_unlisted_removals());
    replica
}

/// Lets one VM fetch from another what that one announces, and returns what has changed.
fn fetch(to: &mut TableReplica, from: &TableReplica) -> Vec<VersionedRow> {
    if from.newest_version() <= to.newest_version() {
        return Vec::new();
    }
    to.merge(from.update_for(to.requester_state()))
}

/// Guards against a removal that stays unknown because only a VM that read the whole table has seen it.
#[test]
fn a_vm_that_read_the_whole_table_announces_what_was_removed_before() {
    let mut in_touch =
        read_whole(5, vec![row("b1", 3, Some("ready")), row("b2", 4, Some("ready"))]);
    let restarted = read_whole(10, vec![row("b1", 3, Some("ready"))]);

    assert_eq!(fetch(&mut in_touch, &restarted), vec![row("b2", 10, None)]);
}

/// Guards against a removal that stays unknown because the VM that reads the whole table again, after the store
/// has lost its history, never had the row.
#[test]
fn a_vm_that_read_the_whole_table_again_announces_what_was_removed_before() {
    let mut in_touch = read_whole(5, vec![]);
    in_touch.merge(changes(7, vec![row("b1", 7, Some("ready"))]));
    let mut reader = read_whole(5, vec![]);
    reader.merge(snapshot(10, vec![]).with_unlisted_removals());

    assert_eq!(fetch(&mut in_touch, &reader), vec![row("b1", 10, None)]);
}

/// Guards against a removal that stays unknown because the VM that saw it has gone, and others have its snapshot.
#[test]
fn a_vm_that_got_a_snapshot_from_another_announces_what_that_one_did() {
    let mut in_touch = read_whole(5, vec![row("b1", 3, Some("ready"))]);
    let mut reader = read_whole(5, vec![row("b1", 3, Some("ready"))]);
    reader.merge(changes(9, vec![row("b1", 9, None)]));
    let mut restarted = TableReplica::default();
    restarted.merge(reader.update_for(restarted.requester_state()));
    drop(reader);

    assert_eq!(fetch(&mut in_touch, &restarted), vec![row("b1", 9, None)]);
}

/// Guards against a removal that stays unknown because a page of the same read shows a later write.
#[test]
fn a_snapshot_of_several_pages_is_announced_up_to_its_position_only() {
    let pages = vec![row("b1", 3, Some("ready")), row("b9", 12, Some("ready"))];
    let mut reader = read_whole(10, pages);
    let mut in_touch = TableReplica::default();
    in_touch.merge(reader.update_for(in_touch.requester_state()));
    reader.merge(changes(12, vec![row("b1", 11, None), row("b9", 12, Some("ready"))]));

    assert!(fetch(&mut in_touch, &reader).contains(&row("b1", 11, None)));
}

/// Guards against a whole fleet that fetches a table because one VM has read it, though nothing was removed.
#[test]
fn a_vm_with_the_same_rows_gets_none() {
    let rows = || vec![row("b1", 3, Some("ready")), row("b2", 4, Some("ready"))];
    let mut in_touch = read_whole(5, rows());
    let restarted = read_whole(10, rows());
    let update = restarted.update_for(in_touch.requester_state());

    assert!(update.rows.is_empty() && !update.is_snapshot(), "{update:?}");
    assert_eq!(in_touch.merge(update), vec![]);
    assert_eq!(in_touch.newest_version(), restarted.newest_version());
    assert_eq!(sorted_rows(&in_touch), rows());
    let mut written_again =
        read_whole(12, vec![row("b1", 3, Some("ready")), row("b2", 11, Some("ready"))]);
    assert!(!fetch(&mut in_touch, &written_again).is_empty(), "the versions differ");
    assert!(fetch(&mut written_again, &in_touch).is_empty());
}

/// Guards against a row that is kept because it arrived while the VM was told that its rows are the table's.
#[test]
fn rows_that_changed_since_the_request_are_not_taken_for_the_tables() {
    let mut vm = read_whole(5, vec![row("b1", 3, Some("ready"))]);
    let other = read_whole(12, vec![row("b1", 3, Some("ready"))]);
    let update = other.update_for(vm.requester_state());
    vm.merge(changes(8, vec![row("b2", 8, Some("ready"))]));

    assert_eq!(vm.merge(update), vec![]);
    assert_eq!(vm.position(), at(8));
    assert_eq!(fetch(&mut vm, &other), vec![row("b2", 12, None)]);
}

/// Guards against all VMs fetching whole tables at once while most of a large fleet's upstreams are replaced.
#[test]
fn a_vm_that_lags_by_some_removals_gets_no_snapshot() {
    const UPSTREAMS: u64 = 20_000;
    let key = |number: u64| format!("b{number}");
    let registered = (1..=UPSTREAMS).map(|number| row(&key(number), number, Some("ready")));
    let mut replica = TableReplica::default();
    replica.merge(snapshot(UPSTREAMS, registered.collect()));
    for version in UPSTREAMS + 1..=2 * UPSTREAMS {
        let lagging = at(version.saturating_sub(1_000).max(UPSTREAMS));
        replica.merge(changes(version, vec![row(&key(version - UPSTREAMS), version, None)]));
        assert!(!replica.requires_snapshot(lagging), "at version {version}");
    }
    assert!(replica.requires_snapshot(at(UPSTREAMS)), "tombstones are kept without limit");
}

/// Guards against incremental updates with unchanged rows, and against ones that may lack removals.
#[test]
fn an_incremental_update_holds_only_later_changes() {
    let mut replica = TableReplica::default();
    replica.merge(snapshot(5, vec![row("b1", 3, Some("ready")), row("b2", 4, Some("ready"))]));
    replica.merge(changes(8, vec![row("b3", 8, Some("ready"))]));

    assert!(replica.changes_since(at(4)).is_snapshot(), "removals up to version 5 are unknown");
    let update = replica.changes_since(at(5));

    assert!(!update.is_snapshot());
    assert_eq!(update.rows, vec![row("b3", 8, Some("ready"))]);
    assert_eq!((replica.newest_version(), replica.position()), (at(8), at(8)));
}

/// An event that affects the replicas of one table.
#[derive(Debug, Clone)]
enum ReplicaEvent {
    /// A row of the store is written, or removed if false.
    Change(u8, bool),
    /// A VM restarts and reads a snapshot from the store.
    RestartFromStore(usize),
    /// A VM restarts and gets a snapshot from another VM.
    RestartFromVm(usize, usize),
    /// A VM reads the changes from the store.
    ReadFromStore(usize),
    /// A VM gets the changes from another VM.
    ReadFromVm(usize, usize),
    /// A VM restarts and has read nothing yet.
    RestartEmpty(usize),
    /// A VM requests the changes, or a snapshot if true, from the store; the update is in transit.
    RequestFromStore(usize, bool),
    /// A VM requests the changes from another VM; the update is in transit.
    RequestFromVm(usize, usize),
    /// One of the updates in transit arrives.
    Arrive(prop::sample::Index),
}

fn event() -> impl Strategy<Value = ReplicaEvent> {
    let vm = 0..4_usize;
    prop_oneof![
        4 => (0..5_u8, any::<bool>()).prop_map(|(key, exists)| ReplicaEvent::Change(key, exists)),
        1 => vm.clone().prop_map(ReplicaEvent::RestartFromStore),
        1 => (vm.clone(), vm.clone()).prop_map(|(vm, from)| ReplicaEvent::RestartFromVm(vm, from)),
        2 => vm.clone().prop_map(ReplicaEvent::ReadFromStore),
        4 => (vm.clone(), vm.clone()).prop_map(|(vm, from)| ReplicaEvent::ReadFromVm(vm, from)),
        1 => vm.clone().prop_map(ReplicaEvent::RestartEmpty),
        2 => (vm.clone(), any::<bool>())
            .prop_map(|(vm, in_full)| ReplicaEvent::RequestFromStore(vm, in_full)),
        2 => (vm.clone(), vm).prop_map(|(vm, from)| ReplicaEvent::RequestFromVm(vm, from)),
        4 => any::<prop::sample::Index>().prop_map(ReplicaEvent::Arrive),
    ]
}

/// All writes to the store's table, in the order of their versions.
#[derive(Debug, Default)]
struct History {
    rows: Vec<VersionedRow>,
}

impl History {
    fn change(&mut self, key: u8, exists: bool) {
        let version = self.rows.len() as u64 + 1;
        self.rows.push(row(&key.to_string(), version, exists.then_some("ready")));
    }

    fn changes_after(&self, position: u64) -> TableUpdate {
        let mut last = std::collections::BTreeMap::new();
        for row in self.rows.iter().filter(|row| row.version.counter() > position) {
            last.insert(row.key.clone(), row.clone());
        }
        changes(self.rows.len() as u64, last.into_values().collect())
    }

    fn rows_at(&self, position: u64) -> Vec<VersionedRow> {
        let mut last = std::collections::BTreeMap::new();
        for row in self.rows.iter().filter(|row| row.version.counter() <= position) {
            last.insert(row.key.clone(), row.clone());
        }
        last.into_values().filter(|row| row.value.is_some()).collect()
    }
}

fn sorted_rows(replica: &TableReplica) -> Vec<VersionedRow> {
    let mut rows = replica.changes_since(at(0)).rows;
    rows.sort_unstable_by(|one, other| one.key.cmp(&other.key));
    rows
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 2_000, rng_seed: proptest::test_runner::RngSeed::Fixed(11), ..ProptestConfig::default() })]

    /// Guards against a replica that differs from the store's table at the replica's position, after
    /// restarts and with updates out of order.
    #[test]
    fn a_replica_equals_the_store_at_its_position(events in prop::collection::vec(event(), 1..60)) {
        let mut history = History::default();
        let mut replicas: Vec<TableReplica> = (0..4).map(|_| TableReplica::default()).collect();
        let mut in_transit: Vec<(usize, TableUpdate)> = Vec::new();
        for event in events {
            let newest = history.rows.len() as u64;
            match event {
                ReplicaEvent::Change(key, exists) => history.change(key, exists),
                ReplicaEvent::RestartEmpty(vm) => {
                    // The updates requested by the previous process are lost.
                    in_transit.retain(|(requester, _)| *requester != vm);
                    replicas[vm] = TableReplica::default();
                }
                ReplicaEvent::RequestFromStore(vm, in_full) => {
                    let update = if in_full || !replicas[vm].is_complete() {
                        snapshot(newest, history.rows_at(newest))
                    } else {
                        history.changes_after(replicas[vm].position().counter())
                    };
                    in_transit.push((vm, update));
                }
                ReplicaEvent::RequestFromVm(vm, from) if replicas[from].is_complete() => {
                    let update = replicas[from].changes_since(replicas[vm].position());
                    in_transit.push((vm, update));
                }
                ReplicaEvent::Arrive(index) if !in_transit.is_empty() => {
                    let (vm, update) = in_transit.swap_remove(index.index(in_transit.len()));
                    replicas[vm].merge(update);
                }
                ReplicaEvent::RestartFromStore(vm) => {
                    in_transit.retain(|(requester, _)| *requester != vm);
                    replicas[vm] = TableReplica::default();
                    replicas[vm].merge(snapshot(newest, history.rows_at(newest)));
                }
                ReplicaEvent::RestartFromVm(vm, from) if vm != from => {
                    in_transit.retain(|(requester, _)| *requester != vm);
                    replicas[vm] = TableReplica::default();
                    let update = replicas[from].changes_since(at(0));
                    replicas[vm].merge(update);
                }
                ReplicaEvent::ReadFromStore(vm) if replicas[vm].is_complete() => {
                    let position = replicas[vm].position();
                    replicas[vm].merge(history.changes_after(position.counter()));
                }
                ReplicaEvent::ReadFromVm(vm, from) if replicas[from].is_complete() => {
                    let position = replicas[vm].position();
                    let update = replicas[from].changes_since(position);
                    replicas[vm].merge(update);
                }
                _ => {}
            }
            for replica in replicas.iter().filter(|replica| replica.is_complete()) {
                prop_assert_eq!(sorted_rows(replica), history.rows_at(replica.position().counter()));
            }
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 2_000, rng_seed: proptest::test_runner::RngSeed::Fixed(23), ..ProptestConfig::default() })]

    /// Guards against replicas that stay different although each VM hears what all others announce, whoever has
    /// read the whole table and whoever has read changes.
    #[test]
    fn vms_that_hear_each_other_have_the_same_rows(events in prop::collection::vec(event(), 1..60)) {
        let mut history = History::default();
        let mut replicas: Vec<TableReplica> = (0..4).map(|_| TableReplica::default()).collect();
        for event in events {
            let newest = history.rows.len() as u64;
            match event {
                ReplicaEvent::Change(key, exists) => history.change(key, exists),
                ReplicaEvent::RestartEmpty(vm) => replicas[vm] = TableReplica::default(),
                ReplicaEvent::RestartFromStore(vm) => {
                    replicas[vm] = read_whole(newest, history.rows_at(newest));
                }
                ReplicaEvent::RequestFromStore(vm, true) => {
                    let update = snapshot(newest, history.rows_at(newest));
                    replicas[vm].merge(update.with_unlisted_removals());
                }
                ReplicaEvent::RestartFromVm(vm, from) if replicas[from].is_complete() => {
                    let update = replicas[from].update_for(at(0).into());
                    replicas[vm] = TableReplica::default();
                    replicas[vm].merge(update);
                }
                ReplicaEvent::ReadFromStore(vm) if replicas[vm].is_complete() => {
                    let position = replicas[vm].position();
                    replicas[vm].merge(history.changes_after(position.counter()));
                }
                ReplicaEvent::ReadFromVm(vm, from) if replicas[from].is_complete() => {
                    let from = replicas[from].update_for(replicas[vm].requester_state());
                    replicas[vm].merge(from);
                }
                _ => {}
            }
        }
        replicas.retain(TableReplica::is_complete);
        for _ in 0..replicas.len() {
            for vm in 0..replicas.len() {
                for from in 0..replicas.len() {
                    let announcer = replicas[from].newest_version();
                    if announcer > replicas[vm].newest_version() {
                        let update = replicas[from].update_for(replicas[vm].requester_state());
                        replicas[vm].merge(update);
                    }
                }
            }
        }
        let newest = replicas.iter().map(|replica| replica.position().counter()).max();
        for replica in &replicas {
            prop_assert_eq!(sorted_rows(replica), history.rows_at(newest.unwrap_or_default()));
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 256, rng_seed: proptest::test_runner::RngSeed::Fixed(7), ..ProptestConfig::default() })]

    /// Guards against replicas that differ after receiving the same changes in different orders.
    #[test]
    fn replicas_converge_in_any_order(
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
        let mut in_order = TableReplica::default();
        in_order.merge(snapshot(0, vec![]));
        in_order.merge(changes(rows.len() as u64, rows.clone()));

        let mut out_of_order = TableReplica::default();
        out_of_order.merge(snapshot(0, vec![]));
        for index in &order {
            let row = index.get(&rows).clone();
            out_of_order.merge(changes(0, vec![row]));
        }
        out_of_order.merge(in_order.changes_since(at(0)));
        out_of_order.merge(changes(0, rows));

        let sorted = |replica: &TableReplica| {
            let mut rows = replica.changes_since(at(0)).rows;
            rows.sort_unstable_by(|one, other| one.key.cmp(&other.key));
            rows
        };
        prop_assert_eq!(sorted(&in_order), sorted(&out_of_order));
    }
}
