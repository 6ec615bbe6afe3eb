//! Fetches table rows from other VMs.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use futures_util::future::join_all;
use http_body_util::{BodyExt, Empty, Limited};
use hyper::{Request, StatusCode, client};
use hyper_util::rt::TokioIo;
use sedgepath_core::direct::replicas::{RequesterState, Table, TableUpdate, fetch_delay_ms};
use sedgepath_core::direct::store_version::StoreVersion;
use sedgepath_wire::peer_seal::SealError;
use sedgepath_wire::tcp;
use tokio::time::timeout;

use super::gossip::send_heartbeat;
use super::peer_authentication::RowsExchange;
use super::shared::SharedState;
use super::table_server::RowsError;
use super::{clock, replica_updates, table_server};

/// Timeout of connecting, of the response head and of each frame of the body.
const FETCH_STEP_TIMEOUT: Duration = Duration::from_millis(800);

/// Timeout of a fetch. A configuration of some thousand routes takes more than a second on a link of
/// 10 Mbit/s from which several VMs fetch; with a shorter timeout it would be sent repeatedly and keep
/// the link full.
const TOTAL_FETCH_TIMEOUT: Duration = Duration::from_secs(5);

/// The largest response with rows, in bytes; an uncompressed configuration of several thousand
/// routes fits.
const MAX_RESPONSE_BYTES: usize = 16 * 1024 * 1024;

/// As [`fetch_missing_rows`], but not for tables of which this VM has no copy yet: many VMs without one hear
/// the same peer at once, and request the tables from several ([`bootstrap`](super::bootstrap)).
pub fn fetch_changes(
    shared: &Rc<SharedState>,
    newest_versions: [StoreVersion; 2],
    address: SocketAddr,
) {
    for (table, peer_version) in Table::REQUIRED.into_iter().zip(newest_versions) {
        if shared.replicas.borrow().get(table).is_complete() {
            fetch_newer_rows(shared, table, peer_version, address);
        }
    }
}

/// Fetches the rows that a peer's replicas have and this VM's lack, given the peer's newest version
/// of each table.
pub fn fetch_missing_rows(
    shared: &Rc<SharedState>,
    newest_versions: [StoreVersion; 2],
    address: SocketAddr,
) {
    for (table, peer_version) in Table::REQUIRED.into_iter().zip(newest_versions) {
        fetch_newer_rows(shared, table, peer_version, address);
    }
}

/// Fetches the rows of a table that a peer's replica has and this VM's lacks, given the peer's newest
/// version.
pub fn fetch_newer_rows(
    shared: &Rc<SharedState>,
    table: Table,
    peer_version: StoreVersion,
    address: SocketAddr,
) {
    let own_version = shared.replicas.borrow().get(table).newest_version();
    if peer_version > own_version && try_begin_fetch(shared, table) {
        let shared = Rc::clone(shared);
        tokio::task::spawn_local(async move {
            fetch_table(&shared, table, peer_version, address).await;
            shared.fetch_pace.borrow_mut().end(table);
        });
    }
}

/// Fetches the tables that this VM lacks from a peer, side by side, and returns whether it got one.
pub async fn fetch_missing_tables(shared: &Rc<SharedState>, address: SocketAddr) -> bool {
    let got_tables = Table::ALL.map(|table| fetch_missing_table(shared, table, address));
    join_all(got_tables).await.contains(&true)
}

async fn fetch_missing_table(shared: &Rc<SharedState>, table: Table, address: SocketAddr) -> bool {
    let is_complete = || shared.replicas.borrow().get(table).is_complete();
    if is_complete() || !try_begin_fetch(shared, table) {
        return false;
    }
    fetch_table(shared, table, StoreVersion::from_u64(u64::MAX), address).await;
    shared.fetch_pace.borrow_mut().end(table);
    is_complete()
}

fn try_begin_fetch(shared: &SharedState, table: Table) -> bool {
    shared.fetch_pace.borrow_mut().try_begin(table, clock::now_ms())
}

async fn fetch_table(
    shared: &Rc<SharedState>,
    table: Table,
    peer_version: StoreVersion,
    address: SocketAddr,
) {
    let delay_ms = fetch_delay_ms(shared.store_call_state.get().is_reachable());
    if delay_ms > 0 {
        tokio::time::sleep(Duration::from_millis(delay_ms)).await;
    }
    let own_state = {
        let replicas = shared.replicas.borrow();
        let replica = replicas.get(table);
        if replica.newest_version() >= peer_version {
            return;
        }
        replica.requester_state()
    };
    match timeout(TOTAL_FETCH_TIMEOUT, request_rows(shared, table, own_state, address)).await {
        Ok(Ok(update)) => {
            log::debug!("event=rows_fetched table={} from={address}", table.name());
            if update.is_snapshot() {
                replica_updates::log_snapshot(table, address, &update);
            }
            let was_incomplete = !shared.replicas.borrow().get(table).is_complete();
            let same_domain = shared.steering.borrow().vms().domain_addresses().contains(&address);
            if replica_updates::apply_update(shared, table, update)
                && (was_incomplete || !same_domain)
            {
                send_heartbeat(shared).await;
            }
        }
        Ok(Err(FetchError::Unavailable)) => {
            log::debug!("event=fetch_refused table={} from={address}", table.name());
        }
        Ok(Err(error)) => {
            log::info!("event=fetch_failed table={} from={address} error={error:?}", table.name());
        }
        Err(_elapsed) => {
            log::info!("event=fetch_failed table={} from={address} error=timeout", table.name());
        }
    }
}

/// Why rows could not be fetched from a peer. The log contains the `Debug` form.
#[derive(Debug, thiserror::Error)]
enum FetchError {
    #[error("can't connect")]
    Connect(#[from] io::Error),
    #[error("no response")]
    Http(#[from] hyper::Error),
    #[error("the response body is truncated or too large")]
    Body,
    #[error("no data within the timeout")]
    Silent,
    #[error("the VM lacks the table or has reached its limit of snapshots")]
    Unavailable,
    #[error("the response isn't proved")]
    Unproved(#[from] SealError),
    #[error("can't decode the response")]
    Rows(#[from] RowsError),
}

async fn request_rows(
    shared: &SharedState,
    table: Table,
    own_state: RequesterState,
    address: SocketAddr,
) -> Result<TableUpdate, FetchError> {
    let started_at_ms = clock::now_ms();
    let stream = tcp::connect(address, FETCH_STEP_TIMEOUT).await?;
    let (mut connection, task) = client::conn::http1::handshake(TokioIo::new(stream)).await?;
    // A connection error is returned by `send_request` or by the body.
    tokio::task::spawn_local(async move { drop(task.await) });
    let mut request = Request::new(Empty::<Bytes>::new());
    let path = table_server::rows_path(table, own_state);
    let exchange = RowsExchange::new(&path);
    exchange.prove_request(shared, request.headers_mut());
    if let Ok(uri) = path.parse() {
        *request.uri_mut() = uri;
    }
    let sent = timeout(FETCH_STEP_TIMEOUT, connection.send_request(request)).await;
    let response = sent.map_err(|_elapsed| FetchError::Silent)??;
    if response.status() != StatusCode::OK {
        return Err(FetchError::Unavailable);
    }
    let (head, incoming) = response.into_parts();
    let mut incoming = Limited::new(incoming, MAX_RESPONSE_BYTES);
    let mut body = BytesMut::new();
    loop {
        let frame = timeout(FETCH_STEP_TIMEOUT, incoming.frame()).await;
        let Some(frame) = frame.map_err(|_elapsed| FetchError::Silent)? else { break };
        if let Ok(data) = frame.map_err(|_broken| FetchError::Body)?.into_data() {
            body.extend_from_slice(&data);
        }
        let now_ms = clock::now_ms();
        shared.fetch_pace.borrow_mut().record_progress(table, started_at_ms, now_ms);
        shared.bootstrap.borrow_mut().record_rows(now_ms);
    }
    exchange.check_response(shared, &head.headers, &body, address)?;
    Ok(table_server::decode_rows(&head.headers, &body)?)
}
