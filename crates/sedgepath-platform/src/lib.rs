//! The platform's table, object store and VM list, and their client over HTTP.
//!
//! The traits are the border between the system and the platform; callers hold them as trait
//! objects, so that tests can put a stand-in in the platform's place.

mod http;
mod service;

pub use http::HttpPlatform;
pub use service::{ObjectStore, PlatformError, TableService, VmEntry, VmList, VmSnapshot, VmState};
