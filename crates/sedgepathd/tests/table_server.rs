//! Snapshots of tables that a VM sends to others that start.

use http_body_util::BodyExt;
use hyper::{Response, StatusCode};
use sedgepath_core::direct::replicas::{Table, TableReplicas, TableUpdate, VersionedRow};
use sedgepath_core::direct::store_version::StoreVersion;
use sedgepathd::direct::connection_pool::Body;
use sedgepathd::direct::table_server::{self, TableServer};

/// How many snapshots are sent at a time.
const MAX_CONCURRENT_SNAPSHOTS: usize = 3;

/// The memory that a VM may use for control data, in bytes.
const CONTROL_MEMORY_BYTES: usize = 32 * 1024 * 1024;

fn replicas(rows: u32) -> TableReplicas {
    let mut replicas = TableReplicas::default();
    let row = |number: u32| VersionedRow {
        key: format!("u{number}").into(),
        version: StoreVersion::new(0, u64::from(number) + 1),
        value: Some(
            format!("{{\"service\":\"shop\",\"slots\":3,\"number\":{number}}}").into_bytes().into(),
        ),
    };
    let position = StoreVersion::new(0, u64::from(rows));
    let update = TableUpdate::new_snapshot((0..rows).map(row).collect(), position);
    replicas.get_mut(Table::Upstreams).merge(update);
    replicas
}

fn body_bytes(response: Response<Body>) -> Vec<u8> {
    let runtime = tokio::runtime::Builder::new_current_thread().build().expect("a runtime");
    let body = runtime.block_on(response.into_body().collect()).expect("a complete body");
    body.to_bytes().to_vec()
}

/// Guards against memory use that grows with the number of VMs that start.
#[test]
fn a_snapshot_is_sent_to_a_limited_number_of_vms_at_a_time() {
    let (replicas, server) = (replicas(3_000), TableServer::default());
    let request = || server.respond(&replicas, Table::Upstreams, StoreVersion::default(), 0);
    let mut responses: Vec<_> = (0..MAX_CONCURRENT_SNAPSHOTS).map(|_| request()).collect();
    assert!(responses.iter().all(|response| response.status() == StatusCode::OK));
    assert_eq!(request().status(), StatusCode::SERVICE_UNAVAILABLE);

    drop(responses.pop());
    assert_eq!(
        request().status(),
        StatusCode::OK,
        "no permit was released with the dropped response"
    );
}

/// Guards against a table that arrives changed, and against one that fills the links of starting
/// VMs.
#[test]
fn a_snapshot_is_compressed_and_arrives_unchanged() {
    let (replicas, server) = (replicas(3_000), TableServer::default());
    let response = server.respond(&replicas, Table::Upstreams, StoreVersion::default(), 0);
    let headers = response.headers().clone();
    let body = body_bytes(response);
    let update = table_server::decode_rows(&headers, &body).expect("a table");

    let encoded_len = postcard::to_stdvec(&update).expect("the update encodes").len();
    let mut received = TableReplicas::default();
    assert_eq!(received.get_mut(Table::Upstreams).merge(update).len(), 3_000);
    assert!(body.len() * 3 < encoded_len, "{} bytes of {encoded_len}", body.len());
}

/// Guards against changes that wait behind snapshots.
#[test]
fn changes_are_sent_while_all_snapshot_permits_are_held() {
    let (replicas, server) = (replicas(10), TableServer::default());
    let _responses: Vec<_> = (0..MAX_CONCURRENT_SNAPSHOTS)
        .map(|_| server.respond(&replicas, Table::Upstreams, StoreVersion::default(), 0))
        .collect();
    assert_eq!(
        server.respond(&replicas, Table::Upstreams, StoreVersion::new(0, 10), 0).status(),
        StatusCode::OK
    );
}

/// Guards against a removal that a VM doesn't announce, since the snapshot that it got lists none.
#[test]
fn a_snapshot_tells_what_its_sender_announces() {
    let (mut replicas, server) = (replicas(10), TableServer::default());
    let removal = VersionedRow { key: "u0".into(), version: StoreVersion::new(0, 11), value: None };
    let update = TableUpdate::new_changes(vec![removal], StoreVersion::new(0, 11));
    replicas.get_mut(Table::Upstreams).merge(update);
    let response = server.respond(&replicas, Table::Upstreams, StoreVersion::default(), 0);
    let headers = response.headers().clone();
    let update = table_server::decode_rows(&headers, &body_bytes(response)).expect("a table");

    assert_eq!((update.rows.len(), update.newest_version), (9, StoreVersion::new(0, 11)));
}

/// Guards against VMs with the same rows that wait for permits, and fetch whole tables.
#[test]
fn vms_with_the_same_rows_are_told_so_while_all_snapshot_permits_are_held() {
    let (ahead, server) = (replicas(10), TableServer::default());
    let mut restarted = TableReplicas::default();
    let rows = ahead.get(Table::Upstreams).changes_since(StoreVersion::default()).rows;
    let whole = TableUpdate::new_snapshot(rows, StoreVersion::new(0, 20)).with_unlisted_removals();
    restarted.get_mut(Table::Upstreams).merge(whole);
    let _responses: Vec<_> = (0..MAX_CONCURRENT_SNAPSHOTS)
        .map(|_| server.respond(&restarted, Table::Upstreams, StoreVersion::default(), 0))
        .collect();
    let requester = ahead.get(Table::Upstreams).requester_state();
    let response = server.respond(&restarted, Table::Upstreams, requester, 0);
    assert_eq!(response.status(), StatusCode::OK);
    let headers = response.headers().clone();
    let update = table_server::decode_rows(&headers, &body_bytes(response)).expect("an update");

    assert!(update.rows.is_empty() && !update.is_snapshot(), "{update:?}");
}

/// Guards against a VM that goes on using a removed upstream, as it gets a snapshot from before the removal.
#[test]
fn a_recent_snapshot_is_sent_again_to_starting_vms_only() {
    let (mut replicas, server) = (replicas(10), TableServer::default());
    let rows_for = |replicas: &TableReplicas, after, now_ms| {
        let response = server.respond(replicas, Table::Upstreams, after, now_ms);
        let headers = response.headers().clone();
        let update = table_server::decode_rows(&headers, &body_bytes(response)).expect("a table");
        assert!(update.is_snapshot());
        update.rows.len()
    };
    assert_eq!(rows_for(&replicas, StoreVersion::default(), 0), 10);
    let removal = VersionedRow { key: "u0".into(), version: StoreVersion::new(0, 11), value: None };
    let position = StoreVersion::new(0, 11);
    let update = TableUpdate::new_changes(vec![removal], position);
    replicas.get_mut(Table::Upstreams).merge(update);

    assert_eq!(rows_for(&replicas, StoreVersion::default(), 900), 10, "it was encoded anew");
    // The snapshot with which this replica began lists no removals before version 10.
    assert_eq!(rows_for(&replicas, StoreVersion::new(0, 9), 900), 9);
    assert_eq!(rows_for(&replicas, StoreVersion::default(), 2_000), 9, "the snapshot is too old");
}

/// Guards against a starting VM that takes an incomplete replica for the whole table.
#[test]
fn a_vm_without_the_table_responds_not_found() {
    let response = TableServer::default().respond(
        &TableReplicas::default(),
        Table::Upstreams,
        StoreVersion::default(),
        0,
    );
    assert_eq!(response.status(), StatusCode::NOT_FOUND);
}

/// Guards against compressed rows that exhaust a VM's memory when they are decoded.
#[test]
fn rows_that_decompress_beyond_the_limit_are_rejected() {
    let server = TableServer::default();
    let mut replicas = TableReplicas::default();
    let huge = VersionedRow {
        key: "u0".into(),
        version: StoreVersion::new(0, 1),
        value: Some(vec![0; 2 * CONTROL_MEMORY_BYTES].into()),
    };
    let update = TableUpdate::new_snapshot(vec![huge], StoreVersion::new(0, 1));
    replicas.get_mut(Table::Upstreams).merge(update);
    let response = server.respond(&replicas, Table::Upstreams, StoreVersion::default(), 0);
    let headers = response.headers().clone();
    table_server::decode_rows(&headers, &body_bytes(response))
        .expect_err("decoded without a size limit");
}

/// Guards against rows of another VM whose body ends early and that decode to a shorter table.
#[test]
fn no_rows_of_a_peer_that_end_early_decode() {
    for rows in [0, 1, 10, 60] {
        let (replicas, server) = (replicas(rows), TableServer::default());
        let response = server.respond(&replicas, Table::Upstreams, StoreVersion::default(), 0);
        let headers = response.headers().clone();
        let body = body_bytes(response);
        let whole = table_server::decode_rows(&headers, &body).expect("a table");
        assert_eq!(whole.rows.len(), rows as usize);
        for cut in 0..body.len() {
            let decoded = table_server::decode_rows(&headers, &body[..cut]);
            // The checksum of compressed rows may be missing, the rows may not.
            let is_sound = decoded.as_ref().map_or(true, |update| *update == whole);
            assert!(is_sound, "{cut} of {} bytes of {rows} rows: {decoded:?}", body.len());
        }
    }
}
