//! Rows of the store's tables that this VM gives to others.
//!
//! Many VMs may start at the same moment, and each of them asks for whole tables. A VM gives these to a few
//! at a time and refuses the others, who find another VM that has them by then; else one VM would hold
//! them for all, in its memory and on its link. Whole tables are compressed: their rows are much alike.

use std::cell::RefCell;
use std::io::{self, Read, Write};
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

use bytes::Bytes;
use flate2::Compression;
use flate2::read::ZlibDecoder;
use flate2::write::ZlibEncoder;
use http_body_util::{BodyExt, Full};
use hyper::body::{Body as HttpBody, Frame, SizeHint};
use hyper::header::{CONTENT_ENCODING, HeaderMap, HeaderValue};
use hyper::{Response, StatusCode};
use sedgepath_core::direct::copies::{Copies, Page, Table, TableCopy};
use sedgepath_core::hash::Map;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

use super::pool::Body;
use super::questions::empty;
use super::sending::held;

/// How many other VMs a VM gives a whole table to at a time.
const MAX_GIVEN: usize = 3;

/// The name of the compression in the field that tells of it (RFC 9110, 8.4.1).
const COMPRESSION: HeaderValue = HeaderValue::from_static("deflate");

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

/// Reads rows that another VM has given, with the fields of its answer.
///
/// # Errors
///
/// Fails if they are damaged, or more than a VM can hold.
pub fn read(fields: &HeaderMap, body: &[u8]) -> Result<Page, RowsError> {
    if fields.get(CONTENT_ENCODING) != Some(&COMPRESSION) {
        return Ok(postcard::from_bytes(body)?);
    }
    let mut rows = Vec::new();
    ZlibDecoder::new(body).take(MAX_PAGE_BYTES).read_to_end(&mut rows)?;
    Ok(postcard::from_bytes(&rows)?)
}

fn write(page: &Page) -> Result<Vec<u8>, postcard::Error> {
    postcard::to_stdvec(page)
}

fn write_compressed(page: &Page) -> Result<Bytes, RowsError> {
    let mut compressed = ZlibEncoder::new(Vec::new(), Compression::fast());
    compressed.write_all(&write(page)?)?;
    Ok(compressed.finish()?.into())
}

/// A whole table as it is sent.
#[derive(Debug)]
struct Written {
    changed_at: u64,
    bytes: Bytes,
}

/// What is being given.
#[derive(Debug)]
pub struct Giving {
    free: Arc<Semaphore>,
    written: RefCell<Map<Table, Written>>,
}

impl Default for Giving {
    fn default() -> Self {
        Self { free: Arc::new(Semaphore::new(MAX_GIVEN)), written: RefCell::default() }
    }
}

impl Giving {
    /// Answers with the rows of a table that have changed after a version; without any if this VM doesn't have the
    /// table, or if the whole table is needed and given to as many VMs as it may be.
    pub fn answer(&self, copies: &Copies, table: Table, after: u64) -> Response<Body> {
        if !copies.get(table).known() {
            return empty(StatusCode::NOT_FOUND);
        }
        match self.give(copies.get(table), table, after) {
            Ok(Some(answer)) => answer,
            Ok(None) => empty(StatusCode::SERVICE_UNAVAILABLE),
            Err(error) => {
                log::error!("event=rows_not_written error={:?}", error.to_string());
                empty(StatusCode::INTERNAL_SERVER_ERROR)
            }
        }
    }

    fn give(
        &self,
        copy: &TableCopy,
        table: Table,
        after: u64,
    ) -> Result<Option<Response<Body>>, RowsError> {
        if !copy.gives_whole(after) {
            let changes = write(&copy.since(after))?;
            return Ok(Some(Response::new(held(changes.into()))));
        }
        let Ok(permit) = Arc::clone(&self.free).try_acquire_owned() else {
            return Ok(None);
        };
        let rows = Full::new(self.whole(copy, table)?);
        let mut answer = Response::new(Given { rows, _permit: permit }.boxed_unsync());
        answer.headers_mut().insert(CONTENT_ENCODING, COMPRESSION);
        Ok(Some(answer))
    }

    /// Returns the whole table, written once for all that ask for it.
    fn whole(&self, copy: &TableCopy, table: Table) -> Result<Bytes, RowsError> {
        let mut written = self.written.borrow_mut();
        let changed_at = copy.changed_at();
        if let Some(written) = written.get(&table).filter(|whole| whole.changed_at == changed_at) {
            return Ok(written.bytes.clone());
        }
        let bytes = write_compressed(&copy.since(0))?;
        written.insert(table, Written { changed_at, bytes: bytes.clone() });
        Ok(bytes)
    }

    /// Forgets the tables as they were written, unless they are being given.
    pub fn forget(&self) {
        if self.free.available_permits() == MAX_GIVEN {
            self.written.borrow_mut().clear();
        }
    }
}

/// A whole table on its way to another VM.
#[derive(Debug)]
struct Given {
    rows: Full<Bytes>,
    /// Given back once the table is sent, or its receiver is gone.
    _permit: OwnedSemaphorePermit,
}

impl HttpBody for Given {
    type Data = Bytes;
    type Error = super::pool::BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Self::Error>>> {
        Pin::new(&mut self.rows).poll_frame(cx).map_err(|never| match never {})
    }

    fn is_end_stream(&self) -> bool {
        self.rows.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.rows.size_hint()
    }
}
