//! What entry VMs tell each other: heartbeats as datagrams, and rows of the store's tables.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, Empty, Limited};
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode, client};
use hyper_util::rt::TokioIo;
use sedgepath_core::direct::copies::{Page, Table};
use sedgepath_core::direct::vms::VmHeartbeat;
use sedgepath_wire::dial;
use tokio::time::timeout;

use super::pool::Body;
use super::questions::empty;
use super::sending::held;
use super::shell::Shell;
use super::{clock, follow};

/// The largest datagram in bytes.
const MAX_DATAGRAM_BYTES: usize = 1_432;

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

/// The largest answer with rows, in bytes: a table of some thousand upstreams.
const MAX_PAGE_BYTES: usize = 16 * 1024 * 1024;

/// Sends a heartbeat to every VM known, each period.
pub async fn send_heartbeats(shell: Rc<Shell>) {
    loop {
        send_once(&shell).await;
        let period_ms = shell.steering.borrow().vms().period_ms();
        tokio::time::sleep(Duration::from_millis(period_ms)).await;
    }
}

/// Sends one heartbeat to every VM known.
pub async fn send_once(shell: &Shell) {
    let now_ms = clock::now_ms();
    let (heartbeat, addresses) = {
        let mut steering = shell.steering.borrow_mut();
        let ready = steering.can_serve() && !steering.vms().leaving();
        let vms = steering.vms_mut();
        vms.set_ready(ready);
        vms.set_copies(shell.copies.borrow().changed_at(), shell.store_calls.get().view(now_ms));
        (vms.heartbeat(shell.line_clock.tick()), vms.addresses(now_ms))
    };
    let Ok(bytes) = postcard::to_stdvec(&heartbeat) else {
        return;
    };
    for address in addresses {
        if let Err(error) = shell.peers.send_to(&bytes, address).await {
            log::debug!("event=heartbeat_not_sent to={address} error={:?}", error.to_string());
        }
    }
}

/// Takes in heartbeats until the process ends.
pub async fn receive(shell: Rc<Shell>) {
    let mut buffer = [0; MAX_DATAGRAM_BYTES];
    loop {
        let received = shell.peers.recv_from(&mut buffer).await;
        let Some(heartbeat) = read(received, &buffer) else {
            continue;
        };
        shell.line_clock.merge(heartbeat.stamp);
        catch_up(&shell, &heartbeat);
        shell.steering.borrow_mut().vms_mut().heard(heartbeat, clock::now_ms());
    }
}

fn read(received: io::Result<(usize, SocketAddr)>, buffer: &[u8]) -> Option<VmHeartbeat> {
    let (length, _) = received.ok()?;
    postcard::from_bytes(buffer.get(..length)?).ok()
}

/// Fetches what another VM's copies have and this one's lack.
fn catch_up(shell: &Rc<Shell>, heartbeat: &VmHeartbeat) {
    let own = shell.copies.borrow().changed_at();
    for ((table, theirs), own) in Table::ALL.into_iter().zip(heartbeat.changed_at).zip(own) {
        if theirs > own && may_fetch(shell, table) {
            let shell = Rc::clone(shell);
            let address = heartbeat.card.peers;
            tokio::task::spawn_local(async move {
                fetch(&shell, table, theirs, address).await;
                shell.fetching.borrow_mut().remove(&table);
            });
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
        if copy.changed_at() >= theirs {
            return;
        }
        copy.position()
    };
    match timeout(WHOLE_FETCH_TIMEOUT, ask(shell, table, position, address)).await {
        Ok(Ok(page)) => {
            log::debug!("event=rows_fetched table={} from={address}", table.name());
            follow::take_in(shell, table, page);
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
    #[error("the answer can't be read")]
    Decode(#[from] postcard::Error),
}

async fn ask(
    shell: &Shell,
    table: Table,
    after: u64,
    address: SocketAddr,
) -> Result<Page, FetchError> {
    let begun_at_ms = clock::now_ms();
    let stream = dial::connect(address, FETCH_TIMEOUT).await?;
    let (mut connection, task) = client::conn::http1::handshake(TokioIo::new(stream)).await?;
    // The call that uses the connection hears of its end.
    tokio::task::spawn_local(async move { drop(task.await) });
    let mut request = Request::new(Empty::<Bytes>::new());
    if let Ok(uri) = format!("/copies/{}/{after}", table.name()).parse() {
        *request.uri_mut() = uri;
    }
    let sent = timeout(FETCH_TIMEOUT, connection.send_request(request)).await;
    let answer = sent.map_err(|_elapsed| FetchError::Silent)??;
    let mut incoming = Limited::new(answer.into_body(), MAX_PAGE_BYTES);
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
    Ok(postcard::from_bytes(&body)?)
}

/// Gives another VM the rows of a copy that have changed after a version.
pub fn give(shell: &Shell, request: &Request<Incoming>) -> Response<Body> {
    let mut parts = request.uri().path().trim_start_matches("/copies/").split('/');
    let name = parts.next().unwrap_or("");
    let table = Table::ALL.into_iter().find(|table| table.name() == name);
    let after = parts.next().and_then(|after| after.parse().ok());
    let page = table.zip(after).and_then(|(table, after)| {
        let page = shell.copies.borrow().get(table).since(after);
        postcard::to_stdvec(&page).ok()
    });
    page.map_or_else(|| empty(StatusCode::NOT_FOUND), |page| Response::new(held(page.into())))
}
