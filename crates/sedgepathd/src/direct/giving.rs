//! Rows of the store's tables that this VM gives to others.
//!
//! Many VMs may start at the same moment, and each of them asks for whole tables. A VM gives these to a few
//! at a time and refuses the others, who find another VM that has them by then; else one VM would hold
//! them for all, in its memory and on its link.

use std::cell::RefCell;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::{Body as HttpBody, Frame, SizeHint};
use sedgepath_core::direct::copies::{Copies, Table};
use sedgepath_core::hash::Map;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

use super::pool::Body;
use super::sending::held;

/// How many other VMs a VM gives a whole table to at a time.
const MAX_GIVEN: usize = 3;

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
    /// Returns the rows of a table that have changed after a version, or none if the whole table is
    /// needed and given to as many VMs as it may be.
    pub fn give(&self, copies: &Copies, table: Table, after: u64) -> Option<Body> {
        let copy = copies.get(table);
        if !copy.gives_whole(after) {
            return write(&copy.since(after)).map(held);
        }
        let permit = Arc::clone(&self.free).try_acquire_owned().ok()?;
        let mut written = self.written.borrow_mut();
        let changed_at = copy.changed_at();
        if written.get(&table).is_none_or(|written| written.changed_at != changed_at) {
            let bytes = write(&copy.since(0))?;
            written.insert(table, Written { changed_at, bytes });
        }
        let whole = written.get(&table)?.bytes.clone();
        Some(Given { rows: Full::new(whole), _permit: permit }.boxed_unsync())
    }

    /// Forgets the tables as they were written, unless they are being given.
    pub fn forget(&self) {
        if self.free.available_permits() == MAX_GIVEN {
            self.written.borrow_mut().clear();
        }
    }
}

fn write(page: &sedgepath_core::direct::copies::Page) -> Option<Bytes> {
    match postcard::to_stdvec(page) {
        Ok(bytes) => Some(bytes.into()),
        Err(error) => {
            log::error!("event=rows_not_written error={:?}", error.to_string());
            None
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
