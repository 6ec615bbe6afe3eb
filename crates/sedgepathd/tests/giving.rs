//! Whole tables that a VM gives to others that start.

use http_body_util::BodyExt;
use hyper::{Response, StatusCode};
use sedgepath_core::direct::replicas::{Table, TableReplicas, TableUpdate, VersionedRow};
use sedgepathd::direct::giving::{self, Giving};
use sedgepathd::direct::pool::Body;

/// How many VMs are given a whole table at a time.
const AT_A_TIME: usize = 3;

/// The memory that a VM may take for control, in bytes.
const CONTROL_MEMORY_BYTES: usize = 32 * 1024 * 1024;

fn copies(rows: u32) -> TableReplicas {
    let mut copies = TableReplicas::default();
    let row = |number: u32| VersionedRow {
        key: format!("u{number}").into(),
        version: u64::from(number) + 1,
        value: Some(
            format!("{{\"service\":\"shop\",\"slots\":3,\"number\":{number}}}").into_bytes().into(),
        ),
    };
    let page = TableUpdate {
        rows: (0..rows).map(row).collect(),
        position: u64::from(rows),
        is_snapshot: true,
    };
    copies.get_mut(Table::Upstreams).merge(page);
    copies
}

fn bytes(answer: Response<Body>) -> Vec<u8> {
    let runtime = tokio::runtime::Builder::new_current_thread().build().expect("a runtime");
    let body = runtime.block_on(answer.into_body().collect()).expect("a whole body");
    body.to_bytes().to_vec()
}

/// Guards against a VM that holds the whole table once for each of dozens that start.
#[test]
fn a_whole_table_is_given_to_a_few_at_a_time() {
    let (copies, giving) = (copies(3_000), Giving::default());
    let ask = || giving.answer(&copies, Table::Upstreams, 0);
    let mut given: Vec<_> = (0..AT_A_TIME).map(|_| ask()).collect();
    assert!(given.iter().all(|answer| answer.status() == StatusCode::OK));
    assert_eq!(ask().status(), StatusCode::SERVICE_UNAVAILABLE);

    drop(given.pop());
    assert_eq!(ask().status(), StatusCode::OK, "nothing is given once one has it");
}

/// Guards against a table that comes out changed, and one whose bytes fill the links of VMs that start.
#[test]
fn a_whole_table_arrives_as_it_was_and_small() {
    let (copies, giving) = (copies(3_000), Giving::default());
    let answer = giving.answer(&copies, Table::Upstreams, 0);
    let fields = answer.headers().clone();
    let body = bytes(answer);
    let page = giving::read(&fields, &body).expect("a table");

    let written = postcard::to_stdvec(&page).expect("it can be written").len();
    let mut taken = TableReplicas::default();
    assert_eq!(taken.get_mut(Table::Upstreams).merge(page).len(), 3_000);
    assert!(body.len() * 3 < written, "{} bytes of {written}", body.len());
}

/// Guards against changes being held up behind whole tables.
#[test]
fn changes_are_given_however_many_start() {
    let (copies, giving) = (copies(10), Giving::default());
    let _given: Vec<_> =
        (0..AT_A_TIME).map(|_| giving.answer(&copies, Table::Upstreams, 0)).collect();
    assert_eq!(giving.answer(&copies, Table::Upstreams, 10).status(), StatusCode::OK);
}

/// Guards against a VM that starts taking "no rows" for the whole table of one that has none itself.
#[test]
fn a_vm_without_the_table_gives_nothing() {
    let answer = Giving::default().answer(&TableReplicas::default(), Table::Upstreams, 0);
    assert_eq!(answer.status(), StatusCode::NOT_FOUND);
}

/// Guards against rows that are small on the way and fill a VM's memory when they are read.
#[test]
fn rows_that_grow_without_end_are_refused() {
    let giving = Giving::default();
    let mut copies = TableReplicas::default();
    let huge = VersionedRow {
        key: "u0".into(),
        version: 1,
        value: Some(vec![0; 2 * CONTROL_MEMORY_BYTES].into()),
    };
    let page = TableUpdate { rows: vec![huge], position: 1, is_snapshot: true };
    copies.get_mut(Table::Upstreams).merge(page);
    let answer = giving.answer(&copies, Table::Upstreams, 0);
    let fields = answer.headers().clone();
    giving::read(&fields, &bytes(answer)).expect_err("they are taken");
}
