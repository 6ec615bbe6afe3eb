//! Look-ups of entry VMs, and readiness checks.

use hyper::body::Incoming;
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::{Request, Response, StatusCode};
use sedgepath_adapter::entry_vm_query::{self, EntryVmQuery};

use super::attempt::bytes_body;
use super::clock;
use super::connection_pool::Body;
use super::control_server::empty_response;
use super::shared::SharedState;

/// How long callers may use the addresses of a look-up, in milliseconds. Some use them three times
/// as long; a stopping VM closes its listener only after that.
const LOOK_UP_VALIDITY_MS: u64 = 1_000;

/// Responds to a look-up or a readiness check of the platform.
pub fn handle_query(shared: &SharedState, request: &Request<Incoming>) -> Response<Body> {
    let steering = shared.steering.borrow();
    match entry_vm_query::parse(request.method(), request.uri()) {
        Some(EntryVmQuery::Readiness) => {
            let ready = steering.can_serve() && !steering.vms().is_leaving();
            empty_response(if ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE })
        }
        Some(EntryVmQuery::LookUp { domain, region }) => {
            let addresses = steering.vms().look_up(&domain, &region, clock::now_ms());
            let body = entry_vm_query::format_addresses(&addresses, LOOK_UP_VALIDITY_MS);
            let mut response = Response::new(bytes_body(body.into_bytes().into()));
            let content_type = HeaderValue::from_static("application/json");
            response.headers_mut().insert(CONTENT_TYPE, content_type);
            response
        }
        None => empty_response(StatusCode::NOT_FOUND),
    }
}
