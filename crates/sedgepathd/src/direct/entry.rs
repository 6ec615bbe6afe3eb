//! Look-ups, and whether this VM takes requests.

use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;

use hyper::body::Incoming;
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use sedgepath_adapter::look_up::{self, EntryQuestion};
use tokio::net::{TcpListener, TcpStream};

use super::clock;
use super::pool::Body;
use super::sending::held;
use super::shell::Shell;

/// How long callers may use the answer to a look-up, in milliseconds. Some use it for three times as
/// long, which must be over before a stopping VM closes its listener.
const VALID_FOR_MS: u64 = 1_000;

/// How long a connection may stay idle.
const IDLE_TIMEOUT: Duration = Duration::from_secs(15);

/// Answers questions until the process ends.
pub async fn serve(shell: Rc<Shell>, listener: TcpListener) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(Duration::from_millis(10)).await;
            continue;
        };
        let shell = Rc::clone(&shell);
        tokio::task::spawn_local(async move { connection(&shell, stream).await });
    }
}

async fn connection(shell: &Rc<Shell>, stream: TcpStream) {
    let service = service_fn(|request: Request<Incoming>| {
        let answer = answer(shell, &request);
        async move { Ok::<_, Infallible>(answer) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(IDLE_TIMEOUT)
        .serve_connection(TokioIo::new(stream), service);
    if let Err(error) = connection.await {
        log::debug!("event=entry_connection_failed error={:?}", error.to_string());
    }
}

fn answer(shell: &Shell, request: &Request<Incoming>) -> Response<Body> {
    let steering = shell.steering.borrow();
    match look_up::read(request.method(), request.uri()) {
        Some(EntryQuestion::Ready) => {
            let ready = steering.can_serve() && !steering.vms().leaving();
            status(if ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE })
        }
        Some(EntryQuestion::LookUp { domain, region }) => {
            let named = steering.vms().look_up(&domain, &region, clock::now_ms());
            let mut response =
                Response::new(held(look_up::answer(&named, VALID_FOR_MS).into_bytes().into()));
            let json = HeaderValue::from_static("application/json");
            response.headers_mut().insert(CONTENT_TYPE, json);
            response
        }
        None => status(StatusCode::NOT_FOUND),
    }
}

fn status(status: StatusCode) -> Response<Body> {
    let mut response = Response::new(held(bytes::Bytes::new()));
    *response.status_mut() = status;
    response
}
