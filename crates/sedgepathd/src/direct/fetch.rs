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

use super::giving::RowsError;
use super::peers::send_heartbeat;
use super::shell::Shell;
use super::{clock, follow, giving};

/// The first pause between two VMs that are asked for the tables at a start, in milliseconds; each later one
/// is twice as long.
const FILL_PAUSE_MS: u64 = 50;

/// The longest of these pauses, in milliseconds; by then the store is asked.
const MAX_FILL_PAUSE_MS: u64 = 800;

/// How long a VM that follows the store itself waits for a row that another one has, in milliseconds.
const FETCH_DELAY_MS: u64 = 150;

/// The time after which another VM is asked beside one that has not answered, in milliseconds: a
/// connection and an answer between the farthest regions, twice.
const ASK_ANOTHER_MS: u64 = 350;

/// The longest that another VM may say nothing while rows are fetched from it.
const FETCH_TIMEOUT: Duration = Duration::from_millis(800);

/// The longest that fetching rows may take. A configuration of some thousand routes takes a second and
/// more on a link of 10 Mbit/s that several VMs ask over; given up on before, it is sent again and
/// again, and keeps the link full.
const WHOLE_FETCH_TIMEOUT: Duration = Duration::from_secs(5);

/// How long rows may come from one VM before another one is asked as well, in milliseconds: by then
/// some VM with a free link has them.
const SLOW_FETCH_MS: u64 = 1_000;

/// The largest answer with rows, in bytes: a configuration of some thousand routes, not compressed.
const MAX_PAGE_BYTES: usize = 16 * 1024 * 1024;

/// Fetches what another VM's copies have and this one's lack.
pub fn catch_up(shell: &Rc<Shell>, changed_at: [u64; 2], address: SocketAddr) {
    let own = shell.copies.borrow().newest_version();
    for ((table, theirs), own) in Table::ALL.into_iter().zip(changed_at).zip(own) {
        if theirs > own && may_fetch(shell, table) {
            let shell = Rc::clone(shell);
            tokio::task::spawn_local(async move {
                fetch(&shell, table, theirs, address).await;
                shell.fetching.borrow_mut().remove(&table);
            });
        }
    }
}

/// Asks VMs of the own failure domain for the tables until this one has them.
///
/// A VM that starts beside others that run gets them sooner, and cheaper for the store, than by reading
/// them. If all start together the first of the domain has them soonest; so it is asked in turn with others.
pub async fn fill(shell: &Rc<Shell>) {
    let mut pause_ms = FILL_PAUSE_MS;
    let mut ask_first = false;
    while !shell.copies.borrow().is_complete() && pause_ms <= MAX_FILL_PAUSE_MS {
        let near = shell.steering.borrow().vms().domain_addresses();
        let first = near.iter().min().copied();
        let asked = if ask_first { first } else { fastrand::choice(near) };
        if let Some(address) = asked {
            fill_from(shell, address).await;
        }
        ask_first = !ask_first;
        tokio::time::sleep(Duration::from_millis(pause_ms)).await;
        pause_ms *= 2;
    }
}

async fn fill_from(shell: &Rc<Shell>, address: SocketAddr) {
    for table in Table::ALL {
        if !shell.copies.borrow().get(table).is_complete() && may_fetch(shell, table) {
            fetch(shell, table, u64::MAX, address).await;
            shell.fetching.borrow_mut().remove(&table);
        }
    }
}

/// Whether rows of a table may be asked for now, which is then noted.
///
/// The VM that was asked may be stopping or behind a cut, and the next may be too: one after the other
/// with a time-out each would take up the time that a leaving upstream may get requests.
fn may_fetch(shell: &Shell, table: Table) -> bool {
    let now_ms = clock::now_ms();
    let mut fetching = shell.fetching.borrow_mut();
    let may = fetching.get(&table).is_none_or(|asked_at_ms| now_ms >= asked_at_ms + ASK_ANOTHER_MS);
    if may {
        fetching.insert(table, now_ms);
    }
    may
}

async fn fetch(shell: &Shell, table: Table, theirs: u64, address: SocketAddr) {
    if shell.store_calls.get().answers() {
        tokio::time::sleep(Duration::from_millis(FETCH_DELAY_MS)).await;
    }
    let position = {
        let copies = shell.copies.borrow();
        let copy = copies.get(table);
        if copy.newest_version() >= theirs {
            return;
        }
        copy.position()
    };
    match timeout(WHOLE_FETCH_TIMEOUT, ask(shell, table, position, address)).await {
        Ok(Ok(page)) => {
            log::debug!("event=rows_fetched table={} from={address}", table.name());
            let first = !shell.copies.borrow().get(table).is_complete();
            let near = shell.steering.borrow().vms().domain_addresses().contains(&address);
            if follow::take_in(shell, table, page) && (first || !near) {
                send_heartbeat(shell).await;
            }
        }
        Ok(Err(FetchError::Refused)) => {
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
    #[error("no answer")]
    Http(#[from] hyper::Error),
    #[error("the answer breaks off or is too large")]
    Body,
    #[error("nothing comes any more")]
    Silent,
    #[error("the VM doesn't have the table, or gives it to as many as it can")]
    Refused,
    #[error("the answer can't be read")]
    Rows(#[from] RowsError),
}

async fn ask(
    shell: &Shell,
    table: Table,
    after: u64,
    address: SocketAddr,
) -> Result<TableUpdate, FetchError> {
    let begun_at_ms = clock::now_ms();
    let stream = tcp::connect(address, FETCH_TIMEOUT).await?;
    let (mut connection, task) = client::conn::http1::handshake(TokioIo::new(stream)).await?;
    // The call that uses the connection hears of its end.
    tokio::task::spawn_local(async move { drop(task.await) });
    let mut request = Request::new(Empty::<Bytes>::new());
    if let Ok(uri) = format!("/copies/{}/{after}", table.name()).parse() {
        *request.uri_mut() = uri;
    }
    let sent = timeout(FETCH_TIMEOUT, connection.send_request(request)).await;
    let answer = sent.map_err(|_elapsed| FetchError::Silent)??;
    if answer.status() != StatusCode::OK {
        return Err(FetchError::Refused);
    }
    let (head, incoming) = answer.into_parts();
    let mut incoming = Limited::new(incoming, MAX_PAGE_BYTES);
    let mut body = BytesMut::new();
    loop {
        let frame = timeout(FETCH_TIMEOUT, incoming.frame()).await;
        let Some(frame) = frame.map_err(|_elapsed| FetchError::Silent)? else { break };
        if let Ok(data) = frame.map_err(|_broken| FetchError::Body)?.into_data() {
            body.extend_from_slice(&data);
        }
        let now_ms = clock::now_ms();
        if now_ms < begun_at_ms + SLOW_FETCH_MS {
            shell.fetching.borrow_mut().insert(table, now_ms);
        }
    }
    Ok(giving::read(&head.headers, &body)?)
}
