//! Look-ups, and whether this VM takes requests.

use hyper::body::Incoming;
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::{Request, Response, StatusCode};
use sedgepath_adapter::entry_vm_query::{self, EntryVmQuery};

use super::clock;
use super::pool::Body;
use super::questions::empty;
use super::sending::held;
use super::shell::Shell;

/// How long callers may use the answer to a look-up, in milliseconds. Some use it for three times as
/// long, which must be over before a stopping VM closes its listener.
const VALID_FOR_MS: u64 = 1_000;

/// Answers a look-up or the platform's question for readiness.
pub fn answer(shell: &Shell, request: &Request<Incoming>) -> Response<Body> {
    let steering = shell.steering.borrow();
    match entry_vm_query::parse(request.method(), request.uri()) {
        Some(EntryVmQuery::Readiness) => {
            let ready = steering.can_serve() && !steering.vms().is_leaving();
            empty(if ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE })
        }
        Some(EntryVmQuery::LookUp { domain, region }) => {
            let named = steering.vms().look_up(&domain, &region, clock::now_ms());
            let body = entry_vm_query::format_addresses(&named, VALID_FOR_MS);
            let mut response = Response::new(held(body.into_bytes().into()));
            let json = HeaderValue::from_static("application/json");
            response.headers_mut().insert(CONTENT_TYPE, json);
            response
        }
        None => empty(StatusCode::NOT_FOUND),
    }
}
