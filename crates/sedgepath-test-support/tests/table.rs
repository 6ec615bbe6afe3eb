//! The version rules of the table and what a caller sees of each fault.

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
fn a_failed_condition_leaves_every_row_as_it_was() {
    // An operator's change writes three rows; the second one's version is out of date.
    // The caller sees the first key that failed and the row that stands there; no row is written,
    // not even the one before it, because conditions are checked before any write.
    let table = MemoryTable::new();
    let head = || put("head", RowCondition::Absent, "1");
    assert_eq!(table.execute(&commit([head()])), TableResult::Committed);
    let current = read(&table, "head").expect("the head was written");
    let racing = commit([
        put("log/1", RowCondition::Absent, "x"),
        put("head", RowCondition::Version(current.version + 1), "2"),
        head(),
    ]);
    let expected = TableResult::Conflict { key: "head".into(), current: Some(current.clone()) };
    assert_eq!(table.execute(&racing), expected);
    assert_eq!(table.rows(), [current]);
}

#[test]
fn a_row_that_is_created_again_never_has_an_old_version() {
    // A claim is inserted, removed and inserted again by another node.
    // The first node's write, conditional on the version that it knew, must conflict: were versions
    // to start again with the row, it would pass and overwrite the other node's claim.
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
fn a_scan_gives_the_keys_of_its_prefix_page_by_page() {
    // A node reads the log in pages of two, with other keys before and after those of the log.
    // It sees each row once, in order, and an empty page at the end.
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
fn a_long_scan_comes_whole_over_http() {
    // A node that boots reads 2,000 rows in one scan; the store gives 500 at once and takes 100
    // entries in a write. The caller sees each row, in order, and those after a key alone.
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
fn several_keys_are_read_at_one_moment_and_nothing_is_written() {
    // A node reads a hand-over and two tickets, of which one was never used, in one call.
    // The caller sees the rows that exist, and the store's version stays.
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
    assert_eq!(store.counts(), CallCounts { reads: 0, writes: 1 });
}

#[test]
fn a_write_of_too_many_rows_does_nothing() {
    // The store takes a hundred entries at once; a row with a condition and a value counts twice.
    // The caller hears that nothing was done, and the store that takes fifty such rows takes them.
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
fn a_lost_answer_is_unknown_and_the_write_stands() {
    // The platform carries a commit out and closes the connection without an answer.
    // The caller sees "unknown"; a read shows the row; a repeat of the insert conflicts with it.
    let store = StoreStandIn::new().expect("the stand-in starts");
    let client = client(&store);
    store.drop_next_answers(1);
    let insert = commit([put("claim/1", RowCondition::Absent, "mine")]);
    assert_eq!(client.execute(&insert), TableResult::Unknown);
    let row = read(&client, "claim/1");
    assert_eq!(row.as_ref().map(|row| &*row.value), Some("mine"));
    let expected = TableResult::Conflict { key: "claim/1".into(), current: row };
    assert_eq!(client.execute(&insert), expected);
    assert_eq!(store.counts(), CallCounts { reads: 1, writes: 2 });
}

#[test]
fn a_late_write_is_absent_at_first_and_collides_with_a_tombstone() {
    // A commit's answer is lost and the commit itself is still on its way.
    // The caller reads back and sees nothing, then writes a tombstone. When the commit arrives at
    // last it must conflict with the tombstone, so that it has no effect.
    let store = StoreStandIn::new().expect("the stand-in starts");
    let client = client(&store);
    store.hold_next_writes(1);
    let insert = commit([put("claim/1", RowCondition::Absent, "mine")]);
    assert_eq!(client.execute(&insert), TableResult::Unknown);
    assert_eq!(read(&client, "claim/1"), None);
    let tombstone = commit([put("claim/1", RowCondition::Absent, "not run")]);
    assert_eq!(client.execute(&tombstone), TableResult::Committed);
    assert_eq!(store.apply_held_writes(), [false]);
    let row = read(&client, "claim/1").expect("the tombstone stands");
    assert_eq!(&*row.value, "not run");
}

#[test]
fn an_outage_that_refuses_is_told_from_one_that_is_silent() {
    // The platform answers 503, then closes connections without an answer, then is gone.
    // A commit is "unavailable" when it was refused or could not be sent, and "unknown" when it was
    // sent and nothing came back. A read is "unavailable" each time. The table stays empty.
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
