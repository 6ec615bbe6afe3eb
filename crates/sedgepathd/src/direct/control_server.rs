//! Serves requests whose responses need no waiting: look-ups, readiness, metrics, rows for peers.

use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};

use super::attempt::bytes_body;
use super::connection_pool::Body;
use super::shared::SharedState;

/// Timeout of an idle connection and of receiving a request's head.
const IDLE_TIMEOUT: Duration = Duration::from_secs(15);

/// The pause after a failed accept, for example while file descriptors are short.
pub const ACCEPT_PAUSE: Duration = Duration::from_millis(10);

/// Returns the response to a request.
pub type Handler = fn(&SharedState, &Request<Incoming>) -> Response<Body>;

/// Accepts connections and handles their requests until the process ends.
pub async fn serve(shared: Rc<SharedState>, listener: TcpListener, handler: Handler) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let shared = Rc::clone(&shared);
        tokio::task::spawn_local(async move { serve_connection(&shared, stream, handler).await });
    }
}

async fn serve_connection(shared: &SharedState, stream: TcpStream, handler: Handler) {
    let service = service_fn(|request: Request<Incoming>| {
        let response = handler(shared, &request);
        async move { Ok::<_, Infallible>(response) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(IDLE_TIMEOUT)
        .serve_connection(TokioIo::new(stream), service);
    if let Err(error) = connection.await {
        log::debug!("event=question_connection_failed error={:?}", error.to_string());
    }
}

/// Returns a response without a body.
pub fn empty_response(status: StatusCode) -> Response<Body> {
    let mut response = Response::new(bytes_body(Bytes::new()));
    *response.status_mut() = status;
    response
}
