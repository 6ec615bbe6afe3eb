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
use sedgepath_core::direct::replicas::{Table, TableReplica, TableReplicas, TableUpdate};
use sedgepath_core::direct::store_version::StoreVersion;
use sedgepath_core::hash::Map;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

use super::attempt::bytes_body;
use super::connection_pool::Body;
use super::control_server::empty_response;
use super::peer_authentication::RowsExchange;
use super::shared::SharedState;

/// The most snapshots that are sent to other VMs at a time.
const MAX_CONCURRENT_SNAPSHOTS: usize = 3;

/// The content coding of compressed rows (RFC 9110, section 8.4.1).
const CONTENT_CODING: HeaderValue = HeaderValue::from_static("deflate");

/// The size from which rows are compressed, in bytes; smaller updates fit a packet or two.
const MIN_COMPRESSED_BYTES: usize = 2_048;

/// The largest accepted table after decompression, in bytes.
const MAX_DECOMPRESSED_BYTES: u64 = 16 * 1024 * 1024;

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
    let mut parts = request.uri().path().trim_start_matches("/copies/").split('/');
    let name = parts.next().unwrap_or("");
    let table = Table::ALL.into_iter().find(|table| table.name() == name);
    let after = parts.next().and_then(|after| after.parse().ok()).map(StoreVersion::from_u64);
    let Some((table, after)) = table.zip(after) else {
        return empty_response(StatusCode::NOT_FOUND);
    };
    let path = request.uri().path();
    let Ok(exchange) = RowsExchange::accept(shared, path, request.headers()) else {
        return empty_response(StatusCode::FORBIDDEN);
    };
    let mut response = shared.table_server.respond(&shared.replicas.borrow(), table, after);
    if let Some(EncodedBody(bytes)) = response.extensions_mut().remove() {
        exchange.prove_response(shared, response.headers_mut(), &bytes);
    }
    shared.metrics.count_peer_bytes("rows", response.body().size_hint().lower() as usize);
    response
}

/// Decodes rows from the headers and the body of a peer's response.
///
/// # Errors
///
/// Fails if the rows are corrupt, or exceed the size limit after decompression.
pub fn decode_rows(headers: &HeaderMap, body: &[u8]) -> Result<TableUpdate, RowsError> {
    if headers.get(CONTENT_ENCODING) != Some(&CONTENT_CODING) {
        return Ok(postcard::from_bytes(body)?);
    }
    let mut rows = Vec::new();
    ZlibDecoder::new(body).take(MAX_DECOMPRESSED_BYTES).read_to_end(&mut rows)?;
    Ok(postcard::from_bytes(&rows)?)
}

/// Encoded rows of a replica.
#[derive(Debug, Clone)]
struct EncodedRows {
    newest_version: StoreVersion,
    bytes: Bytes,
    compressed: bool,
}

/// The body of a response with rows, an extension of the response.
#[derive(Debug, Clone)]
struct EncodedBody(Bytes);

impl EncodedRows {
    fn new(replica: &TableReplica, after: StoreVersion) -> Result<Self, RowsError> {
        let (newest_version, plain) =
            (replica.newest_version(), postcard::to_stdvec(&replica.changes_since(after))?);
        if plain.len() < MIN_COMPRESSED_BYTES {
            return Ok(Self { newest_version, bytes: plain.into(), compressed: false });
        }
        let mut encoder = ZlibEncoder::new(Vec::new(), Compression::fast());
        encoder.write_all(&plain)?;
        Ok(Self { newest_version, bytes: encoder.finish()?.into(), compressed: true })
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

/// Serves table rows and bounds how many snapshots are sent at a time.
#[derive(Debug)]
pub struct TableServer {
    snapshot_permits: Arc<Semaphore>,
    /// Encoded rows by table and by the version after which they have changed.
    encoded: RefCell<Map<(Table, StoreVersion), EncodedRows>>,
}

impl Default for TableServer {
    fn default() -> Self {
        Self {
            snapshot_permits: Arc::new(Semaphore::new(MAX_CONCURRENT_SNAPSHOTS)),
            encoded: RefCell::default(),
        }
    }
}

impl TableServer {
    /// Responds with the rows of a table that have changed after a version.
    ///
    /// The status is 404 if this VM's replica is incomplete, and 503 if a snapshot is needed and
    /// the limit of concurrent snapshots is reached.
    pub fn respond(
        &self,
        replicas: &TableReplicas,
        table: Table,
        after: StoreVersion,
    ) -> Response<Body> {
        let replica = replicas.get(table);
        if !replica.is_complete() {
            return empty_response(StatusCode::NOT_FOUND);
        }
        let mut permit = None;
        if replica.requires_snapshot(after) {
            permit = Arc::clone(&self.snapshot_permits).try_acquire_owned().ok();
            if permit.is_none() {
                return empty_response(StatusCode::SERVICE_UNAVAILABLE);
            }
        }
        match self.encoded_rows(replica, table, after) {
            Ok(encoded) => encoded.to_response(permit),
            Err(error) => {
                log::error!("event=rows_not_written error={:?}", error.to_string());
                empty_response(StatusCode::INTERNAL_SERVER_ERROR)
            }
        }
    }

    /// Returns encoded rows, from the cache if they are current.
    fn encoded_rows(
        &self,
        replica: &TableReplica,
        table: Table,
        after: StoreVersion,
    ) -> Result<EncodedRows, RowsError> {
        let mut cache = self.encoded.borrow_mut();
        let cached = cache.get(&(table, after));
        if let Some(current) =
            cached.filter(|cached| cached.newest_version == replica.newest_version())
        {
            return Ok(current.clone());
        }
        let encoded = EncodedRows::new(replica, after)?;
        cache.insert((table, after), encoded.clone());
        Ok(encoded)
    }

    /// Discards the cached rows.
    pub fn clear_cache(&self) {
        self.encoded.borrow_mut().clear();
    }
}
