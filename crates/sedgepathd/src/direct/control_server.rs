//! Serves requests that don't come from callers: look-ups, readiness, metrics, and what other VMs ask
//! for.

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
use crate::caller_connection::shut_down;
use crate::lingering_close::LingeringStream;
use crate::open_count::UnwrittenResponses;

/// Timeout of an idle connection and of receiving a request's head.
const IDLE_TIMEOUT: Duration = Duration::from_secs(15);

/// The pause after a failed accept, for example while file descriptors are short.
pub const ACCEPT_PAUSE: Duration = Duration::from_millis(10);

/// Accepts connections and handles their requests until the process ends.
pub async fn serve<H, F>(shared: Rc<SharedState>, listener: TcpListener, handler: H)
where
    H: Fn(Rc<SharedState>, Request<Incoming>) -> F + Copy + 'static,
    F: Future<Output = Response<Body>> + 'static,
{
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let shared = Rc::clone(&shared);
        tokio::task::spawn_local(async move { serve_connection(&shared, stream, handler).await });
    }
}

async fn serve_connection<H, F>(shared: &Rc<SharedState>, stream: TcpStream, handler: H)
where
    H: Fn(Rc<SharedState>, Request<Incoming>) -> F,
    F: Future<Output = Response<Body>>,
{
    let unwritten = UnwrittenResponses::default();
    let service = service_fn(|mut request: Request<Incoming>| {
        request.extensions_mut().insert(unwritten.clone());
        let response = handler(Rc::clone(shared), request);
        async move { Ok::<_, Infallible>(response.await) }
    });
    let mut connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(IDLE_TIMEOUT)
        .serve_connection(
            TokioIo::new(LingeringStream::new(stream).with_unwritten(unwritten.clone())),
            service,
        );
    if let Err(error) = (&mut connection).await {
        log::debug!("event=question_connection_failed error={:?}", error.to_string());
        shut_down(connection.into_parts().io).await;
    }
}

/// Returns a response without a body.
pub fn empty_response(status: StatusCode) -> Response<Body> {
    let mut response = Response::new(bytes_body(Bytes::new()));
    *response.status_mut() = status;
    response
}
