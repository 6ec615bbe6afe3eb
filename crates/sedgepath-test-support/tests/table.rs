//! The version rules of the table, and the results of its client under faults.

use sedgepath_core::table::{
    Row, RowChange, RowCondition, RowWrite, TableRequest, TableResult, TableService, Transaction,
};
use sedgepath_test_support::store::{BlockingTableClient, CallCounts, StoreMode, StoreStandIn};
use sedgepath_test_support::table::MemoryTable;

const TABLE: &str = "table";

fn client(store: &StoreStandIn) -> BlockingTableClient {
    BlockingTableClient::new(store.address, TABLE).expect("a client")
}

fn put(key: &str, condition: RowCondition, value: &str) -> RowWrite {
    RowWrite { key: key.into(), condition, change: RowChange::Put(value.into()) }
}

fn commit(writes: impl Into<Vec<RowWrite>>) -> TableRequest {
    TableRequest::Commit(Transaction { writes: writes.into() })
}

fn scan(prefix: &str, after: &str, limit: u32) -> TableRequest {
    TableRequest::Scan { prefix: prefix.into(), after: after.into(), limit }
}

fn read(table: &dyn TableService, key: &str) -> Option<Row> {
    match table.execute(&TableRequest::Read(vec![key.into()])) {
        TableResult::Rows(rows) => rows.into_iter().next(),
        other => panic!("read of {key} gave {other:?}"),
    }
}

#[test]
fn a_failed_condition_leaves_all_rows_unchanged() {
    // Guards against a partial commit: all conditions must be checked before the first write.
    let table = MemoryTable::new();
    let head = || put("head", RowCondition::Absent, "1");
    assert_eq!(table.execute(&commit([head()])), TableResult::Committed);
    let current = read(&table, "head").expect("the head was written");
    let conflicting = commit([
        put("log/1", RowCondition::Absent, "x"),
        put("head", RowCondition::Version(current.version + 1), "2"),
        head(),
    ]);
    let expected = TableResult::Conflict { key: "head".into(), current: Some(current.clone()) };
    assert_eq!(table.execute(&conflicting), expected);
    assert_eq!(table.rows(), [current]);
}

#[test]
fn a_recreated_row_never_has_an_old_version() {
    // Guards against versions that restart with a recreated row: a stale conditional write would then
    // overwrite another node's claim.
    let table = MemoryTable::new();
    let insert = commit([put("claim", RowCondition::Absent, "a")]);
    assert_eq!(table.execute(&insert), TableResult::Committed);
    let first = read(&table, "claim").expect("the claim was written");
    let remove = RowWrite {
        key: "claim".into(),
        condition: RowCondition::Version(first.version),
        change: RowChange::Delete,
    };
    assert_eq!(table.execute(&commit([remove])), TableResult::Committed);
    assert_eq!(read(&table, "claim"), None);
    assert_eq!(table.execute(&insert), TableResult::Committed);
    let stale = commit([put("claim", RowCondition::Version(first.version), "b")]);
    let result = table.execute(&stale);
    assert!(
        matches!(result, TableResult::Conflict { current: Some(row), .. } if &*row.value == "a")
    );
}

#[test]
fn a_paged_scan_returns_each_key_of_its_prefix_once() {
    // Guards against pages that repeat or skip rows, or that contain keys outside the prefix.
    let table = MemoryTable::new();
    let keys = ["a", "log/1", "log/2", "log/3", "m"];
    let all: Vec<_> = keys.map(|key| put(key, RowCondition::Any, key)).into();
    assert_eq!(table.execute(&commit(all)), TableResult::Committed);
    let page = |after: &str| match table.execute(&scan("log/", after, 2)) {
        TableResult::Rows(rows) => rows.into_iter().map(|row| row.key).collect::<Vec<_>>(),
        other => panic!("{other:?}"),
    };
    assert_eq!(page(""), ["log/1".into(), "log/2".into()]);
    assert_eq!(page("log/2"), ["log/3".into()]);
    assert_eq!(page("log/3"), []);
}

#[test]
fn a_long_scan_is_complete_over_http() {
    // Guards against a scan that stops at the page limit of the store.
    let store = StoreStandIn::new().expect("the stand-in starts");
    let client = client(&store);
    for part in 0..40 {
        let rows = (0..50).map(|number| {
            let key = format!("log/{:04}", 50 * part + number);
            put(&key, RowCondition::Absent, "a change of a record")
        });
        assert_eq!(client.execute(&commit(rows.collect::<Vec<_>>())), TableResult::Committed);
    }
    store.put(TABLE, "loh", b"behind the prefix");
    let keys = |request| match client.execute(&request) {
        TableResult::Rows(rows) => rows.into_iter().map(|row| row.key).collect::<Vec<_>>(),
        other => panic!("{other:?}"),
    };
    let expected: Vec<Box<str>> =
        (0..2_000).map(|number| format!("log/{number:04}").into()).collect();
    assert_eq!(keys(scan("log/", "", 5_000)), expected);
    assert_eq!(keys(scan("log/", "log/0498", 600)), expected[499..1_099]);
}

#[test]
fn a_read_of_several_keys_writes_nothing() {
    // Guards against a read of several keys that changes rows, or that fails for keys without a row.
    let store = StoreStandIn::new().expect("the stand-in starts");
    let client = client(&store);
    store.put(TABLE, "handover/a", b"done");
    store.put(TABLE, "ticket/a/1", b"ran");
    let before = store.rows(TABLE);
    let keys = ["handover/a", "ticket/a/1", "ticket/a/2", "handover/a"].map(Into::into);
    let TableResult::Rows(rows) = client.execute(&TableRequest::Read(keys.into())) else {
        panic!("no rows");
    };
    let rows: Vec<_> = rows.iter().map(|row| (&*row.key, &*row.value)).collect();
    assert_eq!(rows, [("handover/a", "done"), ("ticket/a/1", "ran")]);
    assert_eq!(store.rows(TABLE), before);
    assert_eq!(store.counts(), CallCounts { reads: 0, polls: 0, writes: 1 });
}

#[test]
fn a_commit_of_too_many_rows_writes_nothing() {
    // Guards against a partial write above the store's limit of 100 entries, of which a row with a
    // condition and a value takes two.
    let store = StoreStandIn::new().expect("the stand-in starts");
    let client = client(&store);
    let rows = |count: usize| {
        let row = |number| put(&format!("claim/{number}"), RowCondition::Absent, "mine");
        commit((0..count).map(row).collect::<Vec<_>>())
    };
    assert_eq!(client.execute(&rows(51)), TableResult::Unavailable);
    assert_eq!(store.rows(TABLE), []);
    assert_eq!(client.execute(&rows(50)), TableResult::Committed);
}

#[test]
fn a_commit_with_a_lost_response_has_an_unknown_result() {
    // Guards against reporting a commit as failed, or retrying it internally, when its response is
    // lost after the commit was applied.
    let store = StoreStandIn::new().expect("the stand-in starts");
    let client = client(&store);
    store.drop_next_answers(1);
    let insert = commit([put("claim/1", RowCondition::Absent, "mine")]);
    assert_eq!(client.execute(&insert), TableResult::Unknown);
    let row = read(&client, "claim/1");
    assert_eq!(row.as_ref().map(|row| &*row.value), Some("mine"));
    let expected = TableResult::Conflict { key: "claim/1".into(), current: row };
    assert_eq!(client.execute(&insert), expected);
    assert_eq!(store.counts(), CallCounts { reads: 1, polls: 0, writes: 2 });
}

#[test]
fn a_delayed_commit_conflicts_with_a_tombstone() {
    // Guards against a delayed commit that takes effect after a tombstone was written in its place.
    let store = StoreStandIn::new().expect("the stand-in starts");
    let client = client(&store);
    store.hold_next_writes(1);
    let insert = commit([put("claim/1", RowCondition::Absent, "mine")]);
    assert_eq!(client.execute(&insert), TableResult::Unknown);
    assert_eq!(read(&client, "claim/1"), None);
    let tombstone = commit([put("claim/1", RowCondition::Absent, "not run")]);
    assert_eq!(client.execute(&tombstone), TableResult::Committed);
    assert_eq!(store.apply_held_writes(), [false]);
    let row = read(&client, "claim/1").expect("the tombstone exists");
    assert_eq!(&*row.value, "not run");
}

#[test]
fn an_outage_is_unknown_only_for_commits_that_were_sent() {
    // Guards against reporting a commit as not applied when it was sent and no response arrived, and
    // against an unknown result for commits that were rejected or never sent, or for reads.
    let store = StoreStandIn::new().expect("the stand-in starts");
    let client = client(&store);
    let insert = commit([put("a", RowCondition::Absent, "1")]);
    let lookup = TableRequest::Read(vec!["a".into()]);
    store.set_mode(StoreMode::Refusing);
    assert_eq!(client.execute(&insert), TableResult::Unavailable);
    assert_eq!(client.execute(&lookup), TableResult::Unavailable);
    store.set_mode(StoreMode::ClosingConnections);
    assert_eq!(client.execute(&insert), TableResult::Unknown);
    assert_eq!(client.execute(&lookup), TableResult::Unavailable);
    assert_eq!(store.rows(TABLE), []);
    drop(store);
    assert_eq!(client.execute(&insert), TableResult::Unavailable);
    assert_eq!(client.execute(&lookup), TableResult::Unavailable);
}
