//! Sends rows of the store's tables to other VMs.
//!
//! Many VMs may start at once, and each requests whole tables. A VM sends snapshots to a few at a
//! time and rejects the other requests, which bounds its memory and bandwidth; the rejected VMs ask
//! peers that have the table by then. Larger updates are compressed. Encoded rows are cached, since
//! many VMs request the same rows after a change.

use std::cell::RefCell;
use std::io::{self, Read, Write};
use std::sync::Arc;

use bytes::Bytes;
use flate2::Compression;
use flate2::read::ZlibDecoder;
use flate2::write::ZlibEncoder;
use http_body_util::BodyExt;
use hyper::body::{Body as _, Incoming};
use hyper::header::{CONTENT_ENCODING, HeaderMap, HeaderValue};
use hyper::{Request, Response, StatusCode};
use sedgepath_core::direct::replicas::{
    RequesterState, RowsDigest, Table, TableReplica, TableReplicas, TableUpdate, UpdateKind,
    VersionedRow,
};
use sedgepath_core::direct::store_version::StoreVersion;
use sedgepath_core::direct::vms::naming::VmResources;
use sedgepath_core::hash::Map;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

use super::attempt::bytes_body;
use super::clock;
use super::connection_pool::Body;
use super::control_server::empty_response;
use super::peer_authentication::RowsExchange;
use super::shared::SharedState;

/// The number of snapshots that the smallest VM sends to other VMs at a time.
const MIN_CONCURRENT_SNAPSHOTS: usize = 3;

/// The number of snapshots that the largest VM sends at a time.
const MAX_CONCURRENT_SNAPSHOTS: usize = 32;

/// The bandwidth of a VM's link for each snapshot that it sends at a time, in megabits per second: several
/// megabytes arrive before a fetch times out.
const LINK_MBPS_PER_SNAPSHOT: f64 = 6.0;

/// The age up to which an encoded snapshot is sent again, in milliseconds. Its receivers fetch the changes
/// since then; while upstreams register, each of them would otherwise get a snapshot of its own.
const MAX_SNAPSHOT_AGE_MS: u64 = 1_000;

/// The content coding of compressed rows (RFC 9110, section 8.4.1).
const CONTENT_CODING: HeaderValue = HeaderValue::from_static("deflate");

/// The size from which rows are compressed, in bytes; smaller updates fit a packet or two.
const MIN_COMPRESSED_BYTES: usize = 2_048;

/// The largest accepted table after decompression, in bytes.
const MAX_DECOMPRESSED_BYTES: u64 = 16 * 1024 * 1024;

/// The key of the tombstone that states the newest version of an update. No row of the store has it, so VMs of
/// earlier versions store a tombstone without an effect, and announce its version.
const NEWEST_VERSION_KEY: &str = "";

/// Why rows can't be encoded or decoded. The log contains the `Debug` form.
#[derive(Debug, thiserror::Error)]
pub enum RowsError {
    /// Compression or decompression failed.
    #[error("can't compress or decompress the rows")]
    Compression(#[from] io::Error),
    /// Serialization or deserialization failed.
    #[error("can't encode or decode the rows")]
    Decode(#[from] postcard::Error),
}

/// Responds to a peer's request for the rows of a table that have changed after a version.
pub fn handle_rows_request(shared: &SharedState, request: &Request<Incoming>) -> Response<Body> {
    let path = request.uri().path();
    let Some((table, requester)) = parse_rows_path(path) else {
        return empty_response(StatusCode::NOT_FOUND);
    };
    let Ok(exchange) = RowsExchange::accept(shared, path, request.headers()) else {
        return empty_response(StatusCode::FORBIDDEN);
    };
    let now_ms = clock::now_ms();
    let replicas = shared.replicas.borrow();
    let mut response = shared.table_server.respond(&replicas, table, requester, now_ms);
    if let Some(EncodedBody(bytes)) = response.extensions_mut().remove() {
        exchange.prove_response(shared, response.headers_mut(), &bytes);
    }
    shared.metrics.count_peer_bytes("rows", response.body().size_hint().lower() as usize);
    response
}

/// Returns the path of a request for the rows of a table.
pub fn rows_path(table: Table, requester: RequesterState) -> String {
    let path = format!("/copies/{}/{}", table.name(), requester.position.to_u64());
    match requester.rows {
        Some(RowsDigest(rows)) => format!("{path}/{rows:016x}"),
        None => path,
    }
}

/// Parses the path of a request for the rows of a table. VMs of earlier versions leave out the digest.
fn parse_rows_path(path: &str) -> Option<(Table, RequesterState)> {
    let mut parts = path.strip_prefix("/copies/")?.split('/');
    let name = parts.next()?;
    let table = Table::ALL.into_iter().find(|table| table.name() == name)?;
    let position = StoreVersion::from_u64(parts.next()?.parse().ok()?);
    let rows = parts.next().and_then(|digest| u64::from_str_radix(digest, 16).ok());
    Some((table, RequesterState { position, rows: rows.map(RowsDigest) }))
}

fn encode_update(mut update: TableUpdate) -> Result<Vec<u8>, RowsError> {
    let version = update.newest_version;
    if update.rows.iter().all(|row| row.version < version) {
        update.rows.push(VersionedRow { key: NEWEST_VERSION_KEY.into(), version, value: None });
    }
    Ok(postcard::to_stdvec(&update)?)
}

fn decode_update(bytes: &[u8]) -> Result<TableUpdate, RowsError> {
    let mut update: TableUpdate = postcard::from_bytes(bytes)?;
    let newest_version = update.rows.iter().map(|row| row.version).max().unwrap_or_default();
    update.rows.retain(|row| &*row.key != NEWEST_VERSION_KEY);
    Ok(update.with_newest_version(newest_version))
}

/// Decodes rows from the headers and the body of a peer's response.
///
/// # Errors
///
/// Fails if the rows are corrupt, or exceed the size limit after decompression.
pub fn decode_rows(headers: &HeaderMap, body: &[u8]) -> Result<TableUpdate, RowsError> {
    if headers.get(CONTENT_ENCODING) != Some(&CONTENT_CODING) {
        return decode_update(body);
    }
    let mut rows = Vec::new();
    ZlibDecoder::new(body).take(MAX_DECOMPRESSED_BYTES).read_to_end(&mut rows)?;
    decode_update(&rows)
}

/// Encoded rows of a replica.
#[derive(Debug, Clone)]
struct EncodedRows {
    newest_version: StoreVersion,
    encoded_at_ms: u64,
    bytes: Bytes,
    compressed: bool,
}

/// The body of a response with rows, an extension of the response.
#[derive(Debug, Clone)]
struct EncodedBody(Bytes);

impl EncodedRows {
    fn new(
        replica: &TableReplica,
        requester: RequesterState,
        now_ms: u64,
    ) -> Result<Self, RowsError> {
        let plain = encode_update(replica.update_for(requester))?;
        let compressed = plain.len() >= MIN_COMPRESSED_BYTES;
        let bytes = if compressed {
            let mut encoder = ZlibEncoder::new(Vec::new(), Compression::fast());
            encoder.write_all(&plain)?;
            encoder.finish()?
        } else {
            plain
        };
        let newest_version = replica.newest_version();
        Ok(Self { newest_version, encoded_at_ms: now_ms, bytes: bytes.into(), compressed })
    }

    fn to_response(&self, permit: Option<OwnedSemaphorePermit>) -> Response<Body> {
        // The body holds the permit until it is sent or its receiver disconnects.
        let body = bytes_body(self.bytes.clone()).map_frame(move |frame| {
            let _permit = &permit;
            frame
        });
        let mut response = Response::new(body.boxed_unsync());
        if self.compressed {
            response.headers_mut().insert(CONTENT_ENCODING, CONTENT_CODING);
        }
        response.extensions_mut().insert(EncodedBody(self.bytes.clone()));
        response
    }
}

/// What encoded rows contain, besides the table they are of.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum EncodedPart {
    Snapshot,
    ChangesSince(StoreVersion),
    Unchanged(RowsDigest),
}

impl EncodedPart {
    fn of(kind: UpdateKind, requester: RequesterState) -> Self {
        match kind {
            UpdateKind::Changes => Self::ChangesSince(requester.position),
            UpdateKind::Snapshot => Self::Snapshot,
            UpdateKind::Unchanged(rows) => Self::Unchanged(rows),
        }
    }
}

/// Returns the number of snapshots that a VM with these resources sends at a time.
pub fn max_snapshots(resources: VmResources) -> usize {
    let by_link = (resources.link_mbps / LINK_MBPS_PER_SNAPSHOT) as usize;
    by_link.clamp(MIN_CONCURRENT_SNAPSHOTS, MAX_CONCURRENT_SNAPSHOTS)
}

/// Serves table rows and bounds how many snapshots are sent at a time.
#[derive(Debug)]
pub struct TableServer {
    snapshot_permits: Arc<Semaphore>,
    encoded: RefCell<Map<(Table, EncodedPart), EncodedRows>>,
}

impl Default for TableServer {
    fn default() -> Self {
        Self {
            snapshot_permits: Arc::new(Semaphore::new(MIN_CONCURRENT_SNAPSHOTS)),
            encoded: RefCell::default(),
        }
    }
}

impl TableServer {
    /// Sets the number of snapshots that are sent at a time.
    #[must_use]
    pub fn with_max_snapshots(self, max_snapshots: usize) -> Self {
        Self { snapshot_permits: Arc::new(Semaphore::new(max_snapshots)), ..self }
    }

    /// Responds with the rows of a table that a VM lacks.
    ///
    /// The status is 404 if this VM's replica is incomplete, and 503 if a snapshot is needed and
    /// the limit of concurrent snapshots is reached.
    pub fn respond(
        &self,
        replicas: &TableReplicas,
        table: Table,
        requester: impl Into<RequesterState>,
        now_ms: u64,
    ) -> Response<Body> {
        let requester = requester.into();
        let replica = replicas.get(table);
        if !replica.is_complete() {
            return empty_response(StatusCode::NOT_FOUND);
        }
        let mut permit = None;
        let part = EncodedPart::of(replica.update_kind_for(requester), requester);
        if part == EncodedPart::Snapshot {
            permit = Arc::clone(&self.snapshot_permits).try_acquire_owned().ok();
            if permit.is_none() {
                return empty_response(StatusCode::SERVICE_UNAVAILABLE);
            }
        }
        match self.encoded_rows(replica, (table, part), requester, now_ms) {
            Ok(encoded) => encoded.to_response(permit),
            Err(error) => {
                log::error!("event=rows_not_written error={:?}", error.to_string());
                empty_response(StatusCode::INTERNAL_SERVER_ERROR)
            }
        }
    }

    /// Returns encoded rows, from the cache if they are current.
    ///
    /// A VM without the table gets a recent snapshot too. One that has an older copy doesn't: it may lack
    /// the removal of an upstream.
    fn encoded_rows(
        &self,
        replica: &TableReplica,
        key: (Table, EncodedPart),
        requester: RequesterState,
        now_ms: u64,
    ) -> Result<EncodedRows, RowsError> {
        let newest_version = replica.newest_version();
        let is_usable = |cached: &&EncodedRows| {
            let is_recent = now_ms < cached.encoded_at_ms + MAX_SNAPSHOT_AGE_MS
                && cached.newest_version.era() == newest_version.era();
            let has_none = requester.position == StoreVersion::default();
            cached.newest_version == newest_version || has_none && is_recent
        };
        let mut cache = self.encoded.borrow_mut();
        if let Some(usable) = cache.get(&key).filter(is_usable) {
            return Ok(usable.clone());
        }
        let encoded = EncodedRows::new(replica, requester, now_ms)?;
        cache.insert(key, encoded.clone());
        Ok(encoded)
    }

    /// Discards cached rows, except for recent snapshots.
    pub fn expire_cache(&self, now_ms: u64) {
        self.encoded.borrow_mut().retain(|(_, part), rows| {
            *part == EncodedPart::Snapshot && now_ms < rows.encoded_at_ms + MAX_SNAPSHOT_AGE_MS
        });
    }
}
