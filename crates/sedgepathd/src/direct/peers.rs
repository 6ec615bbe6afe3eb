//! What entry VMs tell each other: datagrams each period, and rows of the store's tables.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, Empty, Limited};
use hyper::body::{Body as _, Incoming};
use hyper::{Request, Response, StatusCode, client};
use hyper_util::rt::TokioIo;
use sedgepath_core::clock::Stamp;
use sedgepath_core::direct::copies::{Page, Table};
use sedgepath_core::direct::vms::rounds::{Heartbeat, PeerMessage, Round};
use sedgepath_core::direct::vms::{PassedOn, VmHeartbeat};
use sedgepath_wire::dial;
use tokio::time::timeout;

use super::giving::RowsError;
use super::pool::Body;
use super::questions::empty;
use super::shell::Shell;
use super::{clock, follow, giving};

/// The largest datagram in bytes.
const MAX_DATAGRAM_BYTES: usize = 1_432;

/// The bytes of a datagram that are taken up by what stands before its list of summaries.
const PART_HEAD_BYTES: usize = 4;

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

/// Tells the other VMs of this one and of its failure domain, each period.
pub async fn send_rounds(shell: Rc<Shell>) {
    loop {
        send_round(&shell).await;
        let period_ms = shell.steering.borrow().vms().period_ms();
        tokio::time::sleep(Duration::from_millis(period_ms)).await;
    }
}

/// Sends what is due each period.
pub async fn send_round(shell: &Shell) {
    let (stamp, now_ms) = note_own_state(shell);
    let mut rng = fastrand::Rng::new();
    let round = shell.steering.borrow_mut().vms_mut().round(stamp, &mut rng, now_ms);
    send(shell, round).await;
}

/// Tells those that may lack them that this VM's copies have changed, or that its view of the store has.
pub async fn announce(shell: &Shell) {
    let (stamp, now_ms) = note_own_state(shell);
    let mut rng = fastrand::Rng::new();
    let round = shell.steering.borrow_mut().vms_mut().announce(stamp, &mut rng, now_ms);
    send(shell, round).await;
}

/// Sends a heartbeat to the VMs of the own failure domain.
pub async fn send_heartbeat(shell: &Shell) {
    let (stamp, now_ms) = note_own_state(shell);
    let (heartbeat, addresses) = {
        let mut steering = shell.steering.borrow_mut();
        let vms = steering.vms_mut();
        (vms.heartbeat(stamp), vms.addresses(now_ms))
    };
    let message = PeerMessage::Heartbeat(Heartbeat::Whole(heartbeat));
    send_to_all(shell, &message, &addresses).await;
}

fn note_own_state(shell: &Shell) -> (Stamp, u64) {
    let now_ms = clock::now_ms();
    let mut steering = shell.steering.borrow_mut();
    let ready = steering.can_serve() && !steering.vms().leaving();
    let vms = steering.vms_mut();
    vms.set_ready(ready);
    vms.set_copies(shell.copies.borrow().changed_at(), shell.store_calls.get().view(now_ms));
    (shell.line_clock.tick(), now_ms)
}

async fn send(shell: &Shell, round: Round) {
    send_to_all(shell, &PeerMessage::Heartbeat(round.heartbeat), &round.heartbeat_to).await;
    for (address, summary) in round.summaries {
        send_to_all(shell, &PeerMessage::Summary(summary), &[address]).await;
    }
    for part in parts(round.passed_on) {
        send_to_all(shell, &PeerMessage::PassedOn(part), &round.passed_on_to).await;
    }
}

/// Splits summaries into as many datagrams as they need.
fn parts(passed_on: Vec<PassedOn>) -> Vec<Vec<PassedOn>> {
    let mut parts: Vec<Vec<PassedOn>> = Vec::new();
    let mut room_bytes = 0;
    for summary in passed_on {
        let bytes = postcard::to_stdvec(&summary).map_or(MAX_DATAGRAM_BYTES, |bytes| bytes.len());
        match parts.last_mut() {
            Some(part) if bytes <= room_bytes => part.push(summary),
            _ => {
                parts.push(vec![summary]);
                room_bytes = MAX_DATAGRAM_BYTES - PART_HEAD_BYTES;
            }
        }
        room_bytes = room_bytes.saturating_sub(bytes);
    }
    parts
}

async fn send_to_all(shell: &Shell, message: &PeerMessage, addresses: &[SocketAddr]) {
    let bytes = match postcard::to_stdvec(message) {
        Ok(bytes) => bytes,
        Err(error) => {
            log::error!("event=datagram_not_written error={:?}", error.to_string());
            return;
        }
    };
    for address in addresses {
        shell.metrics.told_peer(message.name(), bytes.len());
        if let Err(error) = shell.peers.send_to(&bytes, address).await {
            log::debug!("event=datagram_not_sent to={address} error={:?}", error.to_string());
        }
    }
}

/// Takes in datagrams until the process ends.
pub async fn receive(shell: Rc<Shell>) {
    let mut buffer = [0; MAX_DATAGRAM_BYTES];
    loop {
        let received = shell.peers.recv_from(&mut buffer).await;
        match read(received, &buffer) {
            Some((_, PeerMessage::Heartbeat(Heartbeat::Whole(heartbeat)))) => {
                take_heartbeat(&shell, heartbeat).await;
            }
            Some((from, PeerMessage::Heartbeat(Heartbeat::Short(short)))) => {
                shell.line_clock.merge(short.stamp);
                let changed_at = short.changed_at;
                let now_ms = clock::now_ms();
                if shell.steering.borrow_mut().vms_mut().heard_short(from, short, now_ms) {
                    catch_up(&shell, changed_at, from);
                }
            }
            Some((_, PeerMessage::Summary(summary))) => {
                shell.line_clock.merge(summary.stamp);
                catch_up(&shell, summary.changed_at, summary.sender());
                shell.steering.borrow_mut().vms_mut().take_summary(summary, clock::now_ms());
            }
            Some((_, PeerMessage::PassedOn(summaries))) => {
                let mut steering = shell.steering.borrow_mut();
                for passed_on in summaries {
                    steering.vms_mut().take_passed_on(passed_on, clock::now_ms());
                }
            }
            None => {}
        }
    }
}

fn read(
    received: io::Result<(usize, SocketAddr)>,
    buffer: &[u8],
) -> Option<(SocketAddr, PeerMessage)> {
    let (length, from) = received.ok()?;
    let message = postcard::from_bytes(buffer.get(..length)?).ok()?;
    Some((from, message))
}

async fn take_heartbeat(shell: &Rc<Shell>, heartbeat: VmHeartbeat) {
    shell.line_clock.merge(heartbeat.stamp);
    catch_up(shell, heartbeat.changed_at, heartbeat.card.peers);
    let welcome = {
        let now_ms = clock::now_ms();
        let mut steering = shell.steering.borrow_mut();
        let (address, domain) = (heartbeat.card.peers, heartbeat.card.domain.clone());
        let elsewhere = domain != steering.place().domain;
        steering.vms_mut().heard(heartbeat, now_ms);
        elsewhere.then(|| {
            let mut rng = fastrand::Rng::new();
            let stamp = shell.line_clock.tick();
            (address, steering.vms().welcome(&domain, stamp, &mut rng, now_ms))
        })
    };
    if let Some((address, welcome)) = welcome {
        send_to_all(shell, &PeerMessage::Summary(welcome), &[address]).await;
    }
}

/// Fetches what another VM's copies have and this one's lack.
fn catch_up(shell: &Rc<Shell>, changed_at: [u64; 2], address: SocketAddr) {
    let own = shell.copies.borrow().changed_at();
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
    while !shell.copies.borrow().known() && pause_ms <= MAX_FILL_PAUSE_MS {
        let near = shell.steering.borrow().vms().near();
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
        if !shell.copies.borrow().get(table).known() && may_fetch(shell, table) {
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
        if copy.changed_at() >= theirs {
            return;
        }
        copy.position()
    };
    match timeout(WHOLE_FETCH_TIMEOUT, ask(shell, table, position, address)).await {
        Ok(Ok(page)) => {
            log::debug!("event=rows_fetched table={} from={address}", table.name());
            let first = !shell.copies.borrow().get(table).known();
            let near = shell.steering.borrow().vms().near().contains(&address);
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

/// Gives another VM the rows of a copy that have changed after a version.
pub fn give(shell: &Shell, request: &Request<Incoming>) -> Response<Body> {
    let mut parts = request.uri().path().trim_start_matches("/copies/").split('/');
    let name = parts.next().unwrap_or("");
    let table = Table::ALL.into_iter().find(|table| table.name() == name);
    let after = parts.next().and_then(|after| after.parse().ok());
    let Some((table, after)) = table.zip(after) else {
        return empty(StatusCode::NOT_FOUND);
    };
    let answer = shell.giving.answer(&shell.copies.borrow(), table, after);
    shell.metrics.told_peer("rows", answer.body().size_hint().lower() as usize);
    answer
}
