//! The version rules of the table and what a caller sees of each fault.

use sedgepath_core::table::{
    Change, Condition, Row, RowWrite, TableRequest, TableResult, Transaction,
};
use sedgepath_platform::{HttpPlatform, TableService};
use sedgepath_test_support::memory::Outage;
use sedgepath_test_support::platform::PlatformStandIn;
use sedgepath_test_support::table::MemoryTable;

fn put(key: &str, condition: Condition, value: &str) -> RowWrite {
    RowWrite { key: key.into(), condition, change: Change::Put(value.into()) }
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
    let head = || put("head", Condition::Absent, "1");
    assert_eq!(table.execute(&commit([head()])), TableResult::Committed);
    let current = read(&table, "head").expect("the head was written");
    let racing = commit([
        put("log/1", Condition::Absent, "x"),
        put("head", Condition::Version(current.version + 1), "2"),
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
    let insert = commit([put("claim", Condition::Absent, "a")]);
    assert_eq!(table.execute(&insert), TableResult::Committed);
    let first = read(&table, "claim").expect("the claim was written");
    let remove = RowWrite {
        key: "claim".into(),
        condition: Condition::Version(first.version),
        change: Change::Delete,
    };
    assert_eq!(table.execute(&commit([remove])), TableResult::Committed);
    assert_eq!(read(&table, "claim"), None);
    assert_eq!(table.execute(&insert), TableResult::Committed);
    let stale = commit([put("claim", Condition::Version(first.version), "b")]);
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
    let all: Vec<_> = keys.map(|key| put(key, Condition::Any, key)).into();
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
    // A node that boots reads 2,000 rows in one scan, an answer of more than 100 KB.
    // It sees each of them: an answer of this size comes in chunks and declares no length.
    let platform = PlatformStandIn::new().expect("the stand-in starts");
    let client = HttpPlatform::new(platform.base_url());
    let all: Vec<_> = (0..2_000)
        .map(|number| put(&format!("log/{number:04}"), Condition::Absent, "a change of a record"))
        .collect();
    assert_eq!(client.execute(&commit(all)), TableResult::Committed);
    match client.execute(&scan("log/", "", 5_000)) {
        TableResult::Rows(rows) => assert_eq!(rows, platform.state().table().rows()),
        other => panic!("{other:?}"),
    }
    assert_eq!(platform.state().table().rows().len(), 2_000);
}

#[test]
fn a_lost_answer_is_unknown_and_the_write_stands() {
    // The platform carries a commit out and closes the connection without an answer.
    // The caller sees "unknown"; a read shows the row; a repeat of the insert conflicts with it.
    let platform = PlatformStandIn::new().expect("the stand-in starts");
    let client = HttpPlatform::new(platform.base_url());
    platform.state().lose_next_answers(1);
    let insert = commit([put("claim/1", Condition::Absent, "mine")]);
    assert_eq!(client.execute(&insert), TableResult::Unknown);
    let row = read(&client, "claim/1");
    assert_eq!(row.as_ref().map(|row| &*row.value), Some("mine"));
    let expected = TableResult::Conflict { key: "claim/1".into(), current: row };
    assert_eq!(client.execute(&insert), expected);
    let counts = platform.state().counts();
    assert_eq!((counts.table_commits, counts.table_reads), (2, 1));
}

#[test]
fn a_late_write_is_absent_at_first_and_collides_with_a_tombstone() {
    // A commit's answer is lost and the commit itself is still on its way.
    // The caller reads back and sees nothing, then writes a tombstone. When the commit arrives at
    // last it must conflict with the tombstone, so that it has no effect.
    let platform = PlatformStandIn::new().expect("the stand-in starts");
    let client = HttpPlatform::new(platform.base_url());
    platform.state().apply_late(1);
    let insert = commit([put("claim/1", Condition::Absent, "mine")]);
    assert_eq!(client.execute(&insert), TableResult::Unknown);
    assert_eq!(read(&client, "claim/1"), None);
    let tombstone = commit([put("claim/1", Condition::Absent, "not run")]);
    assert_eq!(client.execute(&tombstone), TableResult::Committed);
    let late = platform.state().release_late();
    assert!(matches!(&*late, [TableResult::Conflict { .. }]), "{late:?}");
    let row = read(&client, "claim/1").expect("the tombstone stands");
    assert_eq!(&*row.value, "not run");
}

#[test]
fn an_outage_that_refuses_is_told_from_one_that_is_silent() {
    // The platform answers 503, then closes connections without an answer, then is gone.
    // A commit is "unavailable" when it was refused or could not be sent, and "unknown" when it was
    // sent and nothing came back. A read is "unavailable" each time. The table stays empty.
    let platform = PlatformStandIn::new().expect("the stand-in starts");
    let client = HttpPlatform::new(platform.base_url());
    let insert = commit([put("a", Condition::Absent, "1")]);
    let lookup = TableRequest::Read(vec!["a".into()]);
    platform.state().set_outage(Outage::Refusing);
    assert_eq!(client.execute(&insert), TableResult::Unavailable);
    assert_eq!(client.execute(&lookup), TableResult::Unavailable);
    platform.state().set_outage(Outage::Silent);
    assert_eq!(client.execute(&insert), TableResult::Unknown);
    assert_eq!(client.execute(&lookup), TableResult::Unavailable);
    assert_eq!(platform.state().table().rows(), []);
    drop(platform);
    assert_eq!(client.execute(&insert), TableResult::Unavailable);
    assert_eq!(client.execute(&lookup), TableResult::Unavailable);
}
