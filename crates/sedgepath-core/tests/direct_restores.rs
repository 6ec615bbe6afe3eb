//! Replicas of tables of a store that is restored from an older copy.

use std::rc::Rc;
use std::sync::Arc;

use proptest::prelude::*;
use sedgepath_core::direct::replicas::{
    LostWrite, OpenDifference, RowContents, RowDecoder, Table, TableReplica, TableUpdate,
    VersionedRow,
};
use sedgepath_core::direct::store_version::StoreVersion;
use sedgepath_core::direct::upstreams::UpstreamEntry;

/// Decodes rows of this test: `config` has a version, the keys of upstreams begin with `u` and their
/// values are a sequence number, all others are unordered.
#[derive(Debug)]
struct TestDecoder;

impl RowDecoder for TestDecoder {
    fn decode(&self, _table: Table, key: &str, value: &[u8]) -> RowContents {
        let number = std::str::from_utf8(value).ok().and_then(|text| text.parse().ok());
        match (number, key) {
            (Some(version), "config") => RowContents::Configuration { version },
            (Some(sequence), key) if key.starts_with('u') => {
                RowContents::Upstream(Box::new(entry(key, sequence)))
            }
            _ => RowContents::Unordered,
        }
    }
}

fn entry(name: &str, sequence: u64) -> UpstreamEntry {
    UpstreamEntry {
        name: name.into(),
        service: "shop".into(),
        address: ([127, 0, 0, 1], 80).into(),
        domain: "north-a".into(),
        slots: 1,
        leaving: false,
        cold_remaining_ms: 0,
        sequence,
        started_at_ms: None,
    }
}

fn replica() -> TableReplica {
    TableReplica::new(Table::Operators, Rc::new(TestDecoder))
}

fn row(era: u32, key: &str, counter: u64, value: Option<&str>) -> VersionedRow {
    let value = value.map(|value| Arc::from(value.as_bytes()));
    VersionedRow { key: key.into(), version: StoreVersion::new(era, counter), value }
}

fn update(era: u32, counter: u64, rows: Vec<VersionedRow>, is_snapshot: bool) -> TableUpdate {
    let position = StoreVersion::new(era, counter);
    if is_snapshot {
        TableUpdate::new_snapshot(rows, position)
    } else {
        TableUpdate::new_changes(rows, position)
    }
}

fn snapshot(era: u32, counter: u64, rows: Vec<VersionedRow>) -> TableUpdate {
    update(era, counter, rows, true)
}

fn changes(era: u32, counter: u64, rows: Vec<VersionedRow>) -> TableUpdate {
    update(era, counter, rows, false)
}

/// Returns the rows that a replica gives to a VM that starts, in the order of their keys.
fn given(replica: &TableReplica) -> Vec<(String, String)> {
    let rows = replica.changes_since(StoreVersion::default()).rows;
    let mut rows: Vec<_> = rows
        .into_iter()
        .filter_map(|row| {
            let value = String::from_utf8_lossy(row.value.as_deref()?).into_owned();
            Some((row.key.into_string(), value))
        })
        .collect();
    rows.sort_unstable();
    rows
}

fn text(pairs: &[(&str, &str)]) -> Vec<(String, String)> {
    pairs.iter().map(|(key, value)| ((*key).to_owned(), (*value).to_owned())).collect()
}

/// Guards against a version of a later era that is ordered before one of an earlier era.
#[test]
fn the_era_orders_versions_before_the_counter() {
    let versions = [(0, 0), (0, 9), (1, 0), (1, 3), (2, 1), (700, 1 << 39)];
    let versions = versions.map(|(era, counter)| StoreVersion::new(era, counter));
    assert!(versions.is_sorted());
    assert_eq!((versions[5].era(), versions[5].counter()), (700, 1 << 39));
    assert_eq!(StoreVersion::new(0, 9).to_u64(), 9, "earlier program versions know no eras");
}

/// Guards against a row that is ignored since its version is lower than one before a restore.
#[test]
fn a_row_written_after_a_restore_replaces_one_with_a_higher_counter() {
    let mut replica = replica();
    replica.merge(snapshot(1, 50, vec![row(1, "config", 50, Some("26"))]));
    replica.merge(snapshot(2, 20, vec![row(2, "config", 12, Some("24"))]));
    assert_eq!(given(&replica), text(&[("config", "26")]), "the configuration went back");

    let written = row(2, "config", 21, Some("27"));
    assert_eq!(replica.merge(changes(2, 21, vec![written.clone()])), vec![written]);
    assert_eq!(replica.position(), StoreVersion::new(2, 21));
}

/// Guards against a replica that stays behind its store for ever, as its position is of another era.
#[test]
fn updates_of_an_earlier_era_change_nothing() {
    let mut replica = replica();
    replica.merge(snapshot(2, 20, vec![row(2, "config", 12, Some("24"))]));
    let late = vec![row(1, "config", 90, Some("23")), row(1, "u1", 95, Some("5"))];

    assert_eq!(replica.merge(changes(1, 99, late.clone())), vec![]);
    assert_eq!(replica.merge(snapshot(1, 99, late)), vec![]);
    assert_eq!(replica.position(), StoreVersion::new(2, 20));
    assert_eq!(replica.merge(changes(3, 9, vec![row(3, "u1", 9, Some("5"))])), vec![]);
    assert_eq!(replica.position().era(), 2, "changes of an era without its snapshot");
}

/// Guards against a copy that brings back an upstream that has left or an earlier entry of one, and
/// against ignoring what its writer has written anew.
#[test]
fn a_copy_brings_back_no_upstream() {
    let mut replica = replica();
    let rows = vec![row(1, "u1", 3, Some("1")), row(1, "u2", 4, Some("1"))];
    replica.merge(snapshot(1, 5, rows));
    replica.merge(changes(1, 9, vec![row(1, "u1", 8, Some("7")), row(1, "u2", 9, None)]));

    let copy = vec![row(2, "u1", 3, Some("1")), row(2, "u2", 4, Some("1"))];
    assert_eq!(replica.merge(snapshot(2, 5, copy)), vec![]);
    for difference in OpenDifference::ALL {
        assert_eq!(replica.settle(difference), vec![], "an upstream that has left is back");
    }
    assert_eq!(given(&replica), text(&[("u1", "7")]));

    let written = vec![row(2, "u1", 6, Some("8")), row(2, "u2", 7, Some("9"))];
    assert_eq!(replica.merge(changes(2, 7, written.clone())), written);
}

/// Guards against an upstream, or a domain that is being emptied, that a restored store lacks until its
/// writer has written it again, and against keeping it for ever.
#[test]
fn a_row_that_a_copy_lacks_holds_until_the_replica_settles() {
    let mut replica = replica();
    let rows = vec![row(1, "config", 3, Some("4")), row(1, "evacuate/a", 4, Some("{}"))];
    replica.merge(snapshot(1, 4, rows));
    replica.merge(changes(1, 6, vec![row(1, "u1", 5, Some("1")), row(1, "u2", 6, Some("1"))]));

    assert_eq!(replica.merge(snapshot(2, 2, vec![])), vec![]);
    assert_eq!(given(&replica), text(&[("config", "4")]), "others keep their own rows");
    let written = row(2, "u1", 3, Some("2"));
    replica.merge(changes(2, 3, vec![written]));

    let mut removed = replica.settle(OpenDifference::Missing);
    removed.sort_unstable_by(|one, other| one.key.cmp(&other.key));
    assert_eq!(removed, vec![row(2, "evacuate/a", 2, None), row(2, "u2", 2, None)]);
    assert_eq!(given(&replica), text(&[("config", "4"), ("u1", "2")]));
}

/// Guards against emptying a domain again that operators have taken back, and against ignoring that they
/// do empty it.
#[test]
fn a_removed_row_that_a_copy_has_holds_once_the_replica_settles() {
    for taken_back_again in [true, false] {
        let mut replica = replica();
        replica.merge(snapshot(1, 4, vec![row(1, "evacuate/a", 4, Some("{}"))]));
        replica.merge(changes(1, 5, vec![row(1, "evacuate/a", 5, None)]));
        let restored = row(2, "evacuate/a", 4, Some("{}"));
        assert_eq!(replica.merge(snapshot(2, 4, vec![restored.clone()])), vec![]);
        if taken_back_again {
            replica.merge(changes(2, 5, vec![row(2, "evacuate/a", 5, None)]));
        }
        let expected = if taken_back_again { vec![] } else { vec![restored] };
        assert_eq!(replica.settle(OpenDifference::Missing), vec![]);
        assert_eq!(replica.settle(OpenDifference::Removed), expected);
    }
}

/// Guards against a domain that stays empty, since its evacuation was taken back between two whole reads
/// of a restored store.
#[test]
fn a_row_that_a_later_snapshot_lacks_is_no_longer_held_back() {
    let mut replica = replica();
    replica.merge(snapshot(1, 4, vec![row(1, "evacuate/a", 4, Some("{}"))]));
    replica.merge(changes(1, 5, vec![row(1, "evacuate/a", 5, None)]));
    replica.merge(snapshot(2, 4, vec![row(2, "evacuate/a", 4, Some("{}"))]));

    replica.merge(snapshot(2, 5, vec![]));

    assert_eq!(replica.settle(OpenDifference::Removed), vec![]);
    assert_eq!(given(&replica), text(&[]));
}

/// Guards against writes of VMs that are lost with a restore and that nobody repeats.
#[test]
fn lost_writes_are_told_once() {
    let mut replica = replica();
    let rows = vec![row(1, "u1", 3, Some("1")), row(1, "u2", 4, Some("1"))];
    replica.merge(snapshot(1, 5, rows));
    replica.merge(changes(1, 9, vec![row(1, "u1", 8, Some("7")), row(1, "u3", 9, Some("1"))]));
    replica.merge(changes(1, 10, vec![row(1, "u2", 10, None)]));
    let copy = vec![row(2, "u1", 3, Some("1")), row(2, "u2", 4, Some("1"))];
    replica.merge(snapshot(2, 5, copy));

    let mut lost = replica.take_lost_writes();
    lost.sort_unstable_by(|one, other| one.key.cmp(&other.key));
    let write = |key: &str, value: Option<&str>, counter: Option<u64>| LostWrite {
        key: key.into(),
        value: value.map(|value| Arc::from(value.as_bytes())),
        restored_version: counter.map(|counter| StoreVersion::new(2, counter)),
    };
    assert_eq!(
        lost,
        vec![
            write("u1", Some("7"), Some(3)),
            write("u2", None, Some(4)),
            write("u3", Some("1"), None)
        ]
    );
    assert_eq!(replica.take_lost_writes(), vec![]);
}

/// What happens to the store's table, and to the replicas of three VMs.
#[derive(Debug, Clone)]
enum Event {
    /// The row with a key is written, or removed if false.
    Write(usize, bool),
    /// The store keeps a copy of itself.
    Copy,
    /// The store is restored from its copy, and a write is repeated for each row that it then lacks.
    Restore,
    /// A VM reads the store.
    Read(usize),
    /// A VM gets the rows of another one.
    Fetch(usize, usize),
    /// A VM asks the store; the response arrives later.
    Request(usize),
    /// The oldest response arrives.
    Arrive,
    /// A VM restarts.
    Restart(usize),
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        6 => (0..4_usize, prop::bool::weighted(0.7)).prop_map(|(key, exists)| Event::Write(key, exists)),
        1 => Just(Event::Copy),
        1 => Just(Event::Restore),
        4 => (0..3_usize).prop_map(Event::Read),
        4 => (0..3_usize, 0..3_usize).prop_map(|(vm, from)| Event::Fetch(vm, from)),
        2 => (0..3_usize).prop_map(Event::Request),
        2 => Just(Event::Arrive),
        1 => (0..3_usize).prop_map(Event::Restart),
    ]
}

const KEYS: [&str; 4] = ["config", "u1", "u2", "evacuate/a"];

/// The store's table, with the log of its changes.
#[derive(Debug, Clone, Default)]
struct Store {
    era: u32,
    log: Vec<VersionedRow>,
}

impl Store {
    fn write(&mut self, key: &str, value: Option<&str>) {
        let counter = self.log.len() as u64 + 1;
        self.log.push(row(self.era, key, counter, value));
    }

    fn update_after(&self, position: Option<StoreVersion>) -> TableUpdate {
        let known = position.filter(|position| position.era() == self.era);
        let after = known.map_or(0, StoreVersion::counter);
        let mut rows = std::collections::BTreeMap::new();
        for row in self.log.iter().filter(|row| row.version.counter() > after) {
            rows.insert(row.key.clone(), row.clone());
        }
        let mut rows: Vec<_> = rows.into_values().collect();
        if known.is_none() {
            rows.retain(|row| row.value.is_some());
        }
        update(self.era, self.log.len() as u64, rows, known.is_none())
    }

    fn value(&self, key: &str) -> Option<Arc<[u8]>> {
        self.log.iter().rev().find(|row| &*row.key == key)?.value.clone()
    }
}

fn read(replica: &mut TableReplica, store: &Store) {
    let position = replica.is_complete().then(|| replica.position());
    replica.merge(store.update_after(position));
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 2_000, rng_seed: proptest::test_runner::RngSeed::Fixed(45), ..ProptestConfig::default() })]

    /// Guards against replicas that differ from a restored store once its writers have written again, and
    /// against a configuration that goes back at any VM.
    #[test]
    fn replicas_equal_a_restored_store_in_the_end(events in prop::collection::vec(event(), 1..80)) {
        let mut store = Store::default();
        let mut copy = store.clone();
        let mut replicas = [replica(), replica(), replica()];
        let mut in_transit = std::collections::VecDeque::new();
        let mut number = 10;
        let mut written: [Option<String>; 4] = Default::default();
        for event in events {
            let versions_before: Vec<_> = replicas.iter().map(configuration_of).collect();
            let mut restarted = None;
            match event {
                Event::Write(key, exists) => {
                    number += 1;
                    // A configuration is never removed.
                    let exists = exists || KEYS[key] == "config";
                    written[key] = exists.then(|| number.to_string());
                    store.write(KEYS[key], written[key].as_deref());
                }
                Event::Copy => copy = store.clone(),
                Event::Restore => {
                    store = Store { era: store.era + 1, log: copy.log.clone() };
                    for row in &mut store.log {
                        row.version = StoreVersion::new(store.era, row.version.counter());
                    }
                }
                Event::Read(vm) => read(&mut replicas[vm], &store),
                Event::Fetch(vm, from) if vm != from && replicas[from].is_complete() => {
                    let position = replicas[vm].position();
                    if replicas[from].newest_version() > replicas[vm].newest_version() {
                        let update = replicas[from].changes_since(position);
                        replicas[vm].merge(update);
                    }
                }
                Event::Request(vm) => {
                    let position = replicas[vm].is_complete().then(|| replicas[vm].position());
                    in_transit.push_back((vm, store.update_after(position)));
                }
                Event::Arrive => {
                    if let Some((vm, update)) = in_transit.pop_front() {
                        replicas[vm].merge(update);
                    }
                }
                Event::Restart(vm) => {
                    in_transit.retain(|(requester, _)| *requester != vm);
                    replicas[vm] = replica();
                    restarted = Some(vm);
                }
                Event::Fetch(..) => {}
            }
            for (vm, before) in versions_before.into_iter().enumerate() {
                if restarted != Some(vm) {
                    prop_assert!(configuration_of(&replicas[vm]) >= before, "the configuration of VM {vm} went back");
                }
            }
        }
        // The writers write again what the store has lost.
        for (key, value) in KEYS.iter().zip(&written) {
            if store.value(key).as_deref() != value.as_ref().map(String::as_bytes) {
                store.write(key, value.as_deref());
            }
        }
        for replica in &mut replicas {
            read(replica, &store);
            for difference in OpenDifference::ALL {
                replica.settle(difference);
            }
            for (key, value) in KEYS.iter().zip(&written) {
                let given = given(replica).into_iter().find(|(given, _)| given == key);
                prop_assert_eq!(given.map(|(_, value)| value), value.clone(), "{}", key);
            }
        }
    }
}

fn configuration_of(replica: &TableReplica) -> u64 {
    let rows = given(replica);
    let row = rows.iter().find(|(key, _)| key == "config");
    row.and_then(|(_, value)| value.parse().ok()).unwrap_or(0)
}
