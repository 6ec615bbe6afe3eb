//! Rows of the store's tables on their way between VMs, and which of them this VM gives to others.
//!
//! Many VMs may start at the same moment, and each of them asks for whole tables. A VM gives these to a few
//! at a time and refuses the others, who find another VM that has them by then; else one VM would hold
//! them for all, in its memory and on its link. Rows are much alike, so many of them are compressed; and many VMs
//! ask for the same ones within a moment of a change, so they are written once.

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
use sedgepath_core::hash::Map;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

use super::attempt::bytes_body;
use super::connection_pool::Body;
use super::control_server::empty_response;
use super::shared::SharedState;

/// How many other VMs a VM gives a whole table to at a time.
const MAX_CONCURRENT_SNAPSHOTS: usize = 3;

/// The name of the compression in the field that tells of it (RFC 9110, 8.4.1).
const CONTENT_CODING: HeaderValue = HeaderValue::from_static("deflate");

/// The size from which rows are compressed, in bytes: a few rows fit a packet or two as they are.
const MIN_COMPRESSED_BYTES: usize = 2_048;

/// The largest table that is taken, in bytes, once it is no longer compressed: some ten thousand upstreams.
const MAX_DECOMPRESSED_BYTES: u64 = 16 * 1024 * 1024;

/// Why rows can't be given to another VM, or read.
#[derive(Debug, thiserror::Error)]
pub enum RowsError {
    /// They can't be compressed or decompressed.
    #[error("the rows can't be compressed or decompressed")]
    Compression(#[from] io::Error),
    /// They can't be encoded or decoded.
    #[error("the rows can't be encoded or decoded")]
    Decode(#[from] postcard::Error),
}

/// Gives another VM the rows of a copy that have changed after a version.
pub fn handle_rows_request(shared: &SharedState, request: &Request<Incoming>) -> Response<Body> {
    let mut parts = request.uri().path().trim_start_matches("/copies/").split('/');
    let name = parts.next().unwrap_or("");
    let table = Table::ALL.into_iter().find(|table| table.name() == name);
    let after = parts.next().and_then(|after| after.parse().ok());
    let Some((table, after)) = table.zip(after) else {
        return empty_response(StatusCode::NOT_FOUND);
    };
    let response = shared.table_server.respond(&shared.replicas.borrow(), table, after);
    shared.metrics.count_peer_bytes("rows", response.body().size_hint().lower() as usize);
    response
}

/// Reads rows that another VM has given, with the fields of its answer.
///
/// # Errors
///
/// Fails if they are damaged, or more than a VM can hold.
pub fn decode_rows(headers: &HeaderMap, body: &[u8]) -> Result<TableUpdate, RowsError> {
    if headers.get(CONTENT_ENCODING) != Some(&CONTENT_CODING) {
        return Ok(postcard::from_bytes(body)?);
    }
    let mut rows = Vec::new();
    ZlibDecoder::new(body).take(MAX_DECOMPRESSED_BYTES).read_to_end(&mut rows)?;
    Ok(postcard::from_bytes(&rows)?)
}

/// Rows as they are sent.
#[derive(Debug, Clone)]
struct EncodedRows {
    newest_version: u64,
    bytes: Bytes,
    compressed: bool,
}

impl EncodedRows {
    fn new(replica: &TableReplica, after: u64) -> Result<Self, RowsError> {
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
        // The permit lives as long as the body: until it is sent, or its receiver is gone.
        let body = bytes_body(self.bytes.clone()).map_frame(move |frame| {
            let _permit = &permit;
            frame
        });
        let mut response = Response::new(body.boxed_unsync());
        if self.compressed {
            response.headers_mut().insert(CONTENT_ENCODING, CONTENT_CODING);
        }
        response
    }
}

/// What is being given.
#[derive(Debug)]
pub struct TableServer {
    snapshot_permits: Arc<Semaphore>,
    /// The rows that were written lately, by the version after which they have changed.
    encoded: RefCell<Map<(Table, u64), EncodedRows>>,
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
    /// Answers with the rows of a table that have changed after a version; without any if this VM doesn't have the
    /// table, or if the whole table is needed and given to as many VMs as it may be.
    pub fn respond(&self, replicas: &TableReplicas, table: Table, after: u64) -> Response<Body> {
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

    /// Returns rows, written once for all that ask for the same.
    fn encoded_rows(
        &self,
        replica: &TableReplica,
        table: Table,
        after: u64,
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

    /// Forgets the rows as they were written.
    pub fn clear_cache(&self) {
        self.encoded.borrow_mut().clear();
    }
}
