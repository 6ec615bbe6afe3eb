//! The keys by which this VM authenticates its messages to other VMs and checks theirs.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use hyper::Request;
use hyper::header::{CONTENT_ENCODING, HeaderMap, HeaderName, HeaderValue};
use sedgepath_adapter::headers::RequestHeaders;
use sedgepath_adapter::store::StoreError;
use sedgepath_core::direct::replicas::TableUpdate;
use sedgepath_core::direct::store_version::StoreVersion;
use sedgepath_core::hash::Map;
use sedgepath_core::table::{
    RowChange, RowCondition, RowWrite, TableRequest, TableResult, Transaction,
};
use sedgepath_wire::peer_keys::{KEY_READ_INTERVAL_MS, PEER_KEY_ROW, PeerKeyring, VM_TABLE};
use sedgepath_wire::peer_seal::{PeerAuthentication, SealError};

use super::clock;
use super::shared::SharedState;

/// The header with the random number of a request for rows.
const NONCE_HEADER: HeaderName = HeaderName::from_static("sedgepath-peer-nonce");

/// The header with the proof of a request for rows, or of its response.
const PROOF_HEADER: HeaderName = HeaderName::from_static("sedgepath-peer-proof");

/// How often a VM checks whether it should read the keys, in milliseconds.
const CHECK_INTERVAL_MS: u64 = 1_000;

/// The least time between two reads of the keys, in milliseconds, so that forged messages don't cost
/// calls of the store.
const MIN_READ_INTERVAL_MS: u64 = 5_000;

/// The longest delay before a read, in milliseconds, so that VMs read one after the other.
const MAX_READ_DELAY_MS: u64 = 2_000;

/// As [`MAX_READ_DELAY_MS`], after a restore of the store, when all VMs read the keys.
const MAX_READ_DELAY_AFTER_RESTORE_MS: u64 = 10_000;

/// Reads the keys again from time to time, and soon after a message with an unknown one, until the
/// process ends. Does nothing if messages are not authenticated.
pub async fn follow_keys(shared: Rc<SharedState>) {
    if shared.peer_seal.borrow().policy() == PeerAuthentication::Off {
        return;
    }
    let mut read_at_ms = clock::now_ms();
    loop {
        tokio::time::sleep(Duration::from_millis(CHECK_INTERVAL_MS)).await;
        let elapsed_ms = clock::now_ms().saturating_sub(read_at_ms);
        if elapsed_ms < MIN_READ_INTERVAL_MS {
            continue;
        }
        let met_unknown_key = shared.peer_seal.borrow_mut().take_met_unknown_key();
        let store_restored = shared.replicas.borrow().era() > shared.peer_keys_era.get();
        if !met_unknown_key && !store_restored && elapsed_ms < KEY_READ_INTERVAL_MS {
            continue;
        }
        let max_delay_ms =
            if store_restored { MAX_READ_DELAY_AFTER_RESTORE_MS } else { MAX_READ_DELAY_MS };
        tokio::time::sleep(Duration::from_millis(fastrand::u64(0..max_delay_ms))).await;
        if let Err(error) = read_keys(&shared).await {
            log::info!("event=peer_keys_not_read error={:?}", error.to_string());
        }
        read_at_ms = clock::now_ms();
    }
}

/// Reads the keys and applies them. Does nothing if messages are not authenticated.
///
/// # Errors
///
/// Fails if the call of the store fails.
pub async fn read_keys(shared: &Rc<SharedState>) -> Result<(), StoreError> {
    if shared.peer_seal.borrow().policy() != PeerAuthentication::Off {
        apply_keys(shared, &shared.store.read_row(VM_TABLE, PEER_KEY_ROW).await?);
    }
    Ok(())
}

/// Applies the row of keys, if the store has it.
///
/// A store that was restored since the keys in force were read may hold older keys, or none. Then the
/// keys in force stay, and are written again.
fn apply_keys(shared: &Rc<SharedState>, update: &TableUpdate) {
    let mut seal = shared.peer_seal.borrow_mut();
    let row = update.rows.iter().find(|row| row.value.is_some());
    let read = row.and_then(|row| row.value.as_deref()).map(PeerKeyring::from_row);
    let keyring = match read {
        None => PeerKeyring::default(),
        Some(Ok(keyring)) => keyring,
        Some(Err(error)) => {
            // The keys in force stay.
            log::warn!("event=peer_keys_unreadable error={:?}", error.to_string());
            return;
        }
    };
    let era = update.position.era();
    if era > shared.peer_keys_era.get() && keyring.precedes(seal.keyring()) {
        let (keyring, restored) = (seal.keyring().clone(), row.map(|row| row.version));
        tokio::task::spawn_local(repeat_write(Rc::clone(shared), keyring, restored));
        return;
    }
    if row.is_none() {
        log::warn!("event=no_peer_keys");
        return;
    }
    if keyring.ids() != seal.keyring().ids() {
        log::info!("event=peer_keys accepted={:?}", keyring.ids());
    }
    seal.set_keyring(keyring);
    shared.peer_keys_era.set(era);
}

/// Writes the keys in force again, unless somebody has written the row since it was read. A failed write
/// is tried again with the next read.
async fn repeat_write(
    shared: Rc<SharedState>,
    keyring: PeerKeyring,
    restored: Option<StoreVersion>,
) {
    let row = match keyring.to_row() {
        Ok(row) => row,
        Err(error) => {
            log::error!("event=peer_keys_not_written error={:?}", error.to_string());
            return;
        }
    };
    let condition =
        restored.map_or(RowCondition::Absent, |version| RowCondition::Version(version.to_u64()));
    let write = RowWrite { key: PEER_KEY_ROW.into(), condition, change: RowChange::Put(row) };
    let commit = TableRequest::Commit(Transaction { writes: vec![write] });
    let written = shared.store.execute(VM_TABLE, &commit).await == TableResult::Committed;
    log::info!("event=peer_keys_written_again keys={:?} written={written}", keyring.ids());
}

/// Returns the message of a datagram, or counts why there is none.
pub fn open<'a>(shared: &SharedState, datagram: &'a [u8], from: SocketAddr) -> Option<&'a [u8]> {
    match shared.peer_seal.borrow_mut().open(datagram, from) {
        Ok(message) => Some(message),
        Err(error) => {
            count_rejected(shared, "datagram", from, error);
            None
        }
    }
}

fn count_rejected(shared: &SharedState, kind: &str, from: SocketAddr, error: SealError) {
    shared.metrics.count_rejected_peer_message(error.name());
    log::debug!("event=peer_message_rejected kind={kind} from={from} reason={}", error.name());
}

/// A request for rows and its proof.
#[derive(Debug)]
pub struct RowsExchange {
    nonce: String,
    path: String,
}

impl RowsExchange {
    /// Creates the exchange for a request of this VM.
    pub fn new(path: &str) -> Self {
        Self { nonce: format!("{:016x}", fastrand::u64(..)), path: path.into() }
    }

    /// Returns the exchange of a peer's request.
    ///
    /// # Errors
    ///
    /// Fails if the request isn't proved although it must be.
    pub fn accept(
        shared: &SharedState,
        path: &str,
        headers: &HeaderMap,
    ) -> Result<Self, SealError> {
        let header = |name| headers.get(name).and_then(|value: &HeaderValue| value.to_str().ok());
        let exchange =
            Self { nonce: header(NONCE_HEADER).unwrap_or_default().into(), path: path.into() };
        let proof = header(PROOF_HEADER);
        let checked = shared.peer_seal.borrow_mut().check_proof(&exchange.request_parts(), proof);
        match checked {
            Ok(()) => Ok(exchange),
            Err(error) => {
                shared.metrics.count_rejected_peer_message(error.name());
                Err(error)
            }
        }
    }

    /// Adds the nonce and the proof to this VM's request, if its messages are authenticated.
    pub fn prove_request(&self, shared: &SharedState, headers: &mut HeaderMap) {
        insert_proof(shared, &self.request_parts(), headers);
        if headers.contains_key(PROOF_HEADER)
            && let Ok(nonce) = HeaderValue::from_str(&self.nonce)
        {
            headers.insert(NONCE_HEADER, nonce);
        }
    }

    /// Adds the proof to a response of this VM.
    pub fn prove_response(&self, shared: &SharedState, headers: &mut HeaderMap, body: &[u8]) {
        let coding = coding_of(headers);
        insert_proof(shared, &self.response_parts(&coding, body), headers);
    }

    /// Checks a peer's response.
    ///
    /// # Errors
    ///
    /// Fails if the response isn't proved although it must be.
    pub fn check_response(
        &self,
        shared: &SharedState,
        headers: &HeaderMap,
        body: &[u8],
        from: SocketAddr,
    ) -> Result<(), SealError> {
        let proof = headers.get(PROOF_HEADER).and_then(|value| value.to_str().ok());
        let coding = coding_of(headers);
        let parts = self.response_parts(&coding, body);
        let checked = shared.peer_seal.borrow_mut().check_proof(&parts, proof);
        checked.inspect_err(|error| count_rejected(shared, "rows", from, *error))
    }

    fn request_parts(&self) -> [&[u8]; 3] {
        [b"request", self.nonce.as_bytes(), self.path.as_bytes()]
    }

    fn response_parts<'a>(&'a self, coding: &'a [u8], body: &'a [u8]) -> [&'a [u8]; 5] {
        [b"response", self.nonce.as_bytes(), self.path.as_bytes(), coding, body]
    }
}

/// A request that a VM forwards to another one, and its proof.
///
/// The proof covers the receiver, what the sender tells of the request, and the request's method, target,
/// host, attempt id and time, but not its body, which may be streamed.
#[derive(Debug)]
pub struct ForwardExchange {
    nonce: String,
    sent_at_unix_ms: u64,
    to: String,
    forwarded: String,
}

impl ForwardExchange {
    /// Creates the exchange for a request of this VM.
    pub fn new(to: SocketAddr, forwarded: &str) -> Self {
        let sent_at_unix_ms = clock::unix_ms();
        Self {
            nonce: format!("{:016x}-{sent_at_unix_ms}", fastrand::u64(..)),
            sent_at_unix_ms,
            to: to.to_string(),
            forwarded: forwarded.into(),
        }
    }

    /// Adds the nonce and the proof to this VM's request, if its messages are authenticated.
    pub fn prove_request<B>(&self, shared: &SharedState, request: &mut Request<B>) {
        let parts = self.parts(request);
        let parts: Vec<&[u8]> = parts.iter().map(Vec::as_slice).collect();
        insert_proof(shared, &parts, request.headers_mut());
        if request.headers().contains_key(PROOF_HEADER)
            && let Ok(nonce) = HeaderValue::from_str(&self.nonce)
        {
            request.headers_mut().insert(NONCE_HEADER, nonce);
        }
    }

    /// Checks the proof of another VM's request, and removes it. Each request is accepted once.
    ///
    /// # Errors
    ///
    /// Fails if the request isn't proved although it must be, or was received before.
    pub fn accept<B>(
        shared: &SharedState,
        forwarded: &str,
        request: &mut Request<B>,
    ) -> Result<(), SealError> {
        let text = |value: Option<HeaderValue>| {
            value.and_then(|value| value.to_str().map(Box::<str>::from).ok())
        };
        let nonce = text(request.headers_mut().remove(NONCE_HEADER)).unwrap_or_default();
        let proof = text(request.headers_mut().remove(PROOF_HEADER));
        let sent_at_unix_ms = nonce.split_once('-').and_then(|(_, at_ms)| at_ms.parse().ok());
        let exchange = Self {
            nonce: nonce.into(),
            sent_at_unix_ms: sent_at_unix_ms.unwrap_or_default(),
            to: shared.steering.borrow().vms().peer_address().to_string(),
            forwarded: forwarded.into(),
        };
        let parts = exchange.parts(request);
        let parts: Vec<&[u8]> = parts.iter().map(Vec::as_slice).collect();
        let mut checked = shared.peer_seal.borrow_mut().check_proof(&parts, proof.as_deref());
        if checked.is_ok() && proof.is_some() {
            let mut nonces = shared.forward_nonces.borrow_mut();
            let (nonce, sent_at_unix_ms) = (&exchange.nonce, exchange.sent_at_unix_ms);
            if !nonces.accept(nonce, sent_at_unix_ms, clock::unix_ms()) {
                checked = Err(SealError::Replayed);
            }
        }
        checked.inspect_err(|error| shared.metrics.count_rejected_peer_message(error.name()))
    }

    fn parts<B>(&self, request: &Request<B>) -> [Vec<u8>; 7] {
        let headers = RequestHeaders::parse(request.headers(), request.uri());
        let target = request.uri().path_and_query().map_or("", |target| target.as_str());
        [
            b"forward".to_vec(),
            self.nonce.as_bytes().to_vec(),
            self.to.as_bytes().to_vec(),
            self.forwarded.as_bytes().to_vec(),
            request.method().as_str().as_bytes().to_vec(),
            target.as_bytes().to_vec(),
            [headers.host, "\n", headers.attempt_id].concat().into_bytes(),
        ]
    }
}

/// The time for which a forwarded request is accepted after it was sent, by the clocks of both VMs, in
/// milliseconds.
const FORWARD_VALIDITY_MS: u64 = 30_000;

/// The nonces of the requests that were accepted lately, so that a recorded one can't be sent again.
#[derive(Debug, Default)]
pub struct RecentNonces {
    expires_at_unix_ms: Map<Box<str>, u64>,
    pruned_at_unix_ms: u64,
}

impl RecentNonces {
    /// Returns whether a request is recent and hasn't been accepted before, and remembers it.
    pub fn accept(&mut self, nonce: &str, sent_at_unix_ms: u64, now_unix_ms: u64) -> bool {
        if now_unix_ms.abs_diff(sent_at_unix_ms) > FORWARD_VALIDITY_MS {
            return false;
        }
        if now_unix_ms.abs_diff(self.pruned_at_unix_ms) > FORWARD_VALIDITY_MS {
            self.pruned_at_unix_ms = now_unix_ms;
            self.expires_at_unix_ms.retain(|_, at_ms| now_unix_ms < *at_ms);
        }
        // The clock may be set back meanwhile by as much as a request may be old.
        let expires_at_ms = now_unix_ms.max(sent_at_unix_ms) + 2 * FORWARD_VALIDITY_MS;
        self.expires_at_unix_ms.insert(nonce.into(), expires_at_ms).is_none()
    }
}

fn coding_of(headers: &HeaderMap) -> Vec<u8> {
    headers.get(CONTENT_ENCODING).map(|coding| coding.as_bytes().to_vec()).unwrap_or_default()
}

fn insert_proof(shared: &SharedState, parts: &[&[u8]], headers: &mut HeaderMap) {
    let proof = shared.peer_seal.borrow().prove(parts, clock::unix_ms());
    if let Some(proof) = proof.and_then(|proof| HeaderValue::try_from(proof).ok()) {
        headers.insert(PROOF_HEADER, proof);
    }
}
