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

use super::pool::Body;
use super::questions::empty;
use super::sending::held;
use super::shell::Shell;

/// How many other VMs a VM gives a whole table to at a time.
const MAX_GIVEN: usize = 3;

/// The name of the compression in the field that tells of it (RFC 9110, 8.4.1).
const COMPRESSION: HeaderValue = HeaderValue::from_static("deflate");

/// The size from which rows are compressed, in bytes: a few rows fit a packet or two as they are.
const COMPRESSED_FROM_BYTES: usize = 2_048;

/// The largest table that is taken, in bytes, once it is no longer compressed: some ten thousand upstreams.
const MAX_PAGE_BYTES: u64 = 16 * 1024 * 1024;

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
pub fn answer(shell: &Shell, request: &Request<Incoming>) -> Response<Body> {
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

/// Reads rows that another VM has given, with the fields of its answer.
///
/// # Errors
///
/// Fails if they are damaged, or more than a VM can hold.
pub fn read(fields: &HeaderMap, body: &[u8]) -> Result<TableUpdate, RowsError> {
    if fields.get(CONTENT_ENCODING) != Some(&COMPRESSION) {
        return Ok(postcard::from_bytes(body)?);
    }
    let mut rows = Vec::new();
    ZlibDecoder::new(body).take(MAX_PAGE_BYTES).read_to_end(&mut rows)?;
    Ok(postcard::from_bytes(&rows)?)
}

/// Rows as they are sent.
#[derive(Debug, Clone)]
struct Written {
    changed_at: u64,
    bytes: Bytes,
    compressed: bool,
}

impl Written {
    fn new(copy: &TableReplica, after: u64) -> Result<Self, RowsError> {
        let (changed_at, plain) =
            (copy.newest_version(), postcard::to_stdvec(&copy.changes_since(after))?);
        if plain.len() < COMPRESSED_FROM_BYTES {
            return Ok(Self { changed_at, bytes: plain.into(), compressed: false });
        }
        let mut encoder = ZlibEncoder::new(Vec::new(), Compression::fast());
        encoder.write_all(&plain)?;
        Ok(Self { changed_at, bytes: encoder.finish()?.into(), compressed: true })
    }

    fn answer(&self, permit: Option<OwnedSemaphorePermit>) -> Response<Body> {
        // The permit lives as long as the body: until it is sent, or its receiver is gone.
        let rows = held(self.bytes.clone()).map_frame(move |frame| {
            let _permit = &permit;
            frame
        });
        let mut answer = Response::new(rows.boxed_unsync());
        if self.compressed {
            answer.headers_mut().insert(CONTENT_ENCODING, COMPRESSION);
        }
        answer
    }
}

/// What is being given.
#[derive(Debug)]
pub struct Giving {
    free: Arc<Semaphore>,
    /// The rows that were written lately, by the version after which they have changed.
    written: RefCell<Map<(Table, u64), Written>>,
}

impl Default for Giving {
    fn default() -> Self {
        Self { free: Arc::new(Semaphore::new(MAX_GIVEN)), written: RefCell::default() }
    }
}

impl Giving {
    /// Answers with the rows of a table that have changed after a version; without any if this VM doesn't have the
    /// table, or if the whole table is needed and given to as many VMs as it may be.
    pub fn answer(&self, copies: &TableReplicas, table: Table, after: u64) -> Response<Body> {
        let copy = copies.get(table);
        if !copy.is_complete() {
            return empty(StatusCode::NOT_FOUND);
        }
        let mut permit = None;
        if copy.requires_snapshot(after) {
            permit = Arc::clone(&self.free).try_acquire_owned().ok();
            if permit.is_none() {
                return empty(StatusCode::SERVICE_UNAVAILABLE);
            }
        }
        match self.written(copy, table, after) {
            Ok(written) => written.answer(permit),
            Err(error) => {
                log::error!("event=rows_not_written error={:?}", error.to_string());
                empty(StatusCode::INTERNAL_SERVER_ERROR)
            }
        }
    }

    /// Returns rows, written once for all that ask for the same.
    fn written(&self, copy: &TableReplica, table: Table, after: u64) -> Result<Written, RowsError> {
        let mut written = self.written.borrow_mut();
        let before = written.get(&(table, after));
        if let Some(same) = before.filter(|before| before.changed_at == copy.newest_version()) {
            return Ok(same.clone());
        }
        let new = Written::new(copy, after)?;
        written.insert((table, after), new.clone());
        Ok(new)
    }

    /// Forgets the rows as they were written.
    pub fn forget(&self) {
        self.written.borrow_mut().clear();
    }
}
