//! Rows of the store's tables that this VM fetches from others.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, Empty, Limited};
use hyper::{Request, StatusCode, client};
use hyper_util::rt::TokioIo;
use sedgepath_core::direct::replicas::{Table, TableUpdate};
use sedgepath_wire::tcp;
use tokio::time::timeout;

use super::gossip::send_heartbeat;
use super::shared::SharedState;
use super::table_server::RowsError;
use super::{clock, store_feed, table_server};

/// The first pause between two VMs that are asked for the tables at a start, in milliseconds; each later one
/// is twice as long.
const INITIAL_FILL_BACKOFF_MS: u64 = 50;

/// The longest of these pauses, in milliseconds; by then the store is asked.
const MAX_FILL_BACKOFF_MS: u64 = 800;

/// How long a VM that follows the store itself waits for a row that another one has, in milliseconds.
const FETCH_DELAY_MS: u64 = 150;

/// The time after which another VM is asked beside one that has not answered, in milliseconds: a
/// connection and an answer between the farthest regions, twice.
const NEXT_PEER_DELAY_MS: u64 = 350;

/// The longest that another VM may say nothing while rows are fetched from it.
const FETCH_STEP_TIMEOUT: Duration = Duration::from_millis(800);

/// The longest that fetching rows may take. A configuration of some thousand routes takes a second and
/// more on a link of 10 Mbit/s that several VMs ask over; given up on before, it is sent again and
/// again, and keeps the link full.
const TOTAL_FETCH_TIMEOUT: Duration = Duration::from_secs(5);

/// How long rows may come from one VM before another one is asked as well, in milliseconds: by then
/// some VM with a free link has them.
const SLOW_FETCH_AFTER_MS: u64 = 1_000;

/// The largest answer with rows, in bytes: a configuration of some thousand routes, not compressed.
const MAX_RESPONSE_BYTES: usize = 16 * 1024 * 1024;

/// Fetches what another VM's copies have and this one's lack.
pub fn fetch_missing_rows(
    shared: &Rc<SharedState>,
    newest_versions: [u64; 2],
    address: SocketAddr,
) {
    let own_versions = shared.replicas.borrow().newest_version();
    for ((table, peer_version), own_version) in
        Table::ALL.into_iter().zip(newest_versions).zip(own_versions)
    {
        if peer_version > own_version && try_begin_fetch(shared, table) {
            let shared = Rc::clone(shared);
            tokio::task::spawn_local(async move {
                fetch_table(&shared, table, peer_version, address).await;
                shared.last_fetch_at_ms.borrow_mut().remove(&table);
            });
        }
    }
}

/// Asks VMs of the own failure domain for the tables until this one has them.
///
/// A VM that starts beside others that run gets them sooner, and cheaper for the store, than by reading
/// them. If all start together the first of the domain has them soonest; so it is asked in turn with others.
pub async fn fetch_initial_tables(shared: &Rc<SharedState>) {
    let mut backoff_ms = INITIAL_FILL_BACKOFF_MS;
    let mut ask_lowest_address = false;
    while !shared.replicas.borrow().is_complete() && backoff_ms <= MAX_FILL_BACKOFF_MS {
        let domain_addresses = shared.steering.borrow().vms().domain_addresses();
        let lowest = domain_addresses.iter().min().copied();
        let peer = if ask_lowest_address { lowest } else { fastrand::choice(domain_addresses) };
        if let Some(address) = peer {
            fetch_missing_tables(shared, address).await;
        }
        ask_lowest_address = !ask_lowest_address;
        tokio::time::sleep(Duration::from_millis(backoff_ms)).await;
        backoff_ms *= 2;
    }
}

async fn fetch_missing_tables(shared: &Rc<SharedState>, address: SocketAddr) {
    for table in Table::ALL {
        if !shared.replicas.borrow().get(table).is_complete() && try_begin_fetch(shared, table) {
            fetch_table(shared, table, u64::MAX, address).await;
            shared.last_fetch_at_ms.borrow_mut().remove(&table);
        }
    }
}

/// Whether rows of a table may be asked for now, which is then noted.
///
/// The VM that was asked may be stopping or behind a cut, and the next may be too: one after the other
/// with a time-out each would take up the time that a leaving upstream may get requests.
fn try_begin_fetch(shared: &SharedState, table: Table) -> bool {
    let now_ms = clock::now_ms();
    let mut last_fetch_at_ms = shared.last_fetch_at_ms.borrow_mut();
    let allowed =
        last_fetch_at_ms.get(&table).is_none_or(|last_ms| now_ms >= last_ms + NEXT_PEER_DELAY_MS);
    if allowed {
        last_fetch_at_ms.insert(table, now_ms);
    }
    allowed
}

async fn fetch_table(shared: &SharedState, table: Table, peer_version: u64, address: SocketAddr) {
    if shared.store_call_state.get().is_reachable() {
        tokio::time::sleep(Duration::from_millis(FETCH_DELAY_MS)).await;
    }
    let position = {
        let replicas = shared.replicas.borrow();
        let replica = replicas.get(table);
        if replica.newest_version() >= peer_version {
            return;
        }
        replica.position()
    };
    match timeout(TOTAL_FETCH_TIMEOUT, request_rows(shared, table, position, address)).await {
        Ok(Ok(update)) => {
            log::debug!("event=rows_fetched table={} from={address}", table.name());
            let was_incomplete = !shared.replicas.borrow().get(table).is_complete();
            let same_domain = shared.steering.borrow().vms().domain_addresses().contains(&address);
            if store_feed::apply_update(shared, table, update) && (was_incomplete || !same_domain) {
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

/// Why rows could not be fetched from another VM.
#[derive(Debug, thiserror::Error)]
enum FetchError {
    #[error("no connection")]
    Connect(#[from] io::Error),
    #[error("no response")]
    Http(#[from] hyper::Error),
    #[error("the response breaks off or is too large")]
    Body,
    #[error("nothing comes any more")]
    Silent,
    #[error("the VM doesn't have the table, or gives it to as many as it can")]
    Unavailable,
    #[error("the response can't be read")]
    Rows(#[from] RowsError),
}

async fn request_rows(
    shared: &SharedState,
    table: Table,
    after: u64,
    address: SocketAddr,
) -> Result<TableUpdate, FetchError> {
    let started_at_ms = clock::now_ms();
    let stream = tcp::connect(address, FETCH_STEP_TIMEOUT).await?;
    let (mut connection, task) = client::conn::http1::handshake(TokioIo::new(stream)).await?;
    // The call that uses the connection hears of its end.
    tokio::task::spawn_local(async move { drop(task.await) });
    let mut request = Request::new(Empty::<Bytes>::new());
    if let Ok(uri) = format!("/copies/{}/{after}", table.name()).parse() {
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
        if now_ms < started_at_ms + SLOW_FETCH_AFTER_MS {
            shared.last_fetch_at_ms.borrow_mut().insert(table, now_ms);
        }
    }
    Ok(table_server::decode_rows(&head.headers, &body)?)
}
