//! The platform in memory, served over HTTP on loopback.

use std::io::{self, Read};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::thread::{self, JoinHandle};

use serde::Serialize;
use thiserror::Error;
use tiny_http::{Method, Request, Response, Server};

use crate::clock::sleep_ms;
use crate::memory::{MemoryPlatform, Served};

const WORKERS: usize = 16;
const CLOSE_ATTEMPTS: usize = 1_000;
const MAX_BODY_BYTES: u64 = 16 * 1024 * 1024;
const OBJECTS: &str = "/objects/";

/// A stand-in could not be started.
#[derive(Debug, Error)]
pub enum StartError {
    /// No socket could be opened on loopback.
    #[error("cannot listen on loopback")]
    Listen(#[from] io::Error),
    /// The HTTP server could not be started.
    #[error("cannot start the HTTP server: {0}")]
    Server(Box<dyn std::error::Error + Send + Sync>),
}

/// The platform's HTTP service; it stops when it is dropped.
///
/// The drop waits for the workers. The library's own threads, one for each connection, end by
/// themselves within five seconds after their connections have closed.
pub struct PlatformStandIn {
    state: Arc<MemoryPlatform>,
    /// Present until the drop.
    server: Option<Arc<Server>>,
    addr: SocketAddr,
    workers: Vec<JoinHandle<()>>,
}

impl std::fmt::Debug for PlatformStandIn {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("PlatformStandIn")
            .field("addr", &self.addr)
            .field("state", &self.state)
            .finish_non_exhaustive()
    }
}

impl PlatformStandIn {
    /// Starts an empty platform on a free port of 127.0.0.1.
    ///
    /// # Errors
    ///
    /// Returns a [`StartError`] if the server cannot listen.
    pub fn new() -> Result<Self, StartError> {
        let server = Server::http("127.0.0.1:0").map_err(StartError::Server)?;
        let addr = server.server_addr().to_ip().ok_or_else(no_address)?;
        let server = Arc::new(server);
        let state = Arc::new(MemoryPlatform::new());
        let workers = (0..WORKERS).map(|_| spawn_worker(&server, &state)).collect();
        Ok(Self { state, server: Some(server), addr, workers })
    }

    /// Returns the URL for [`sedgepath_platform::HttpPlatform::new`].
    pub fn base_url(&self) -> String {
        format!("http://{}", self.addr)
    }

    /// Returns the platform behind the server, with its faults and counts.
    pub fn state(&self) -> &Arc<MemoryPlatform> {
        &self.state
    }
}

impl Drop for PlatformStandIn {
    fn drop(&mut self) {
        for _ in &self.workers {
            if let Some(server) = &self.server {
                server.unblock();
            }
        }
        for worker in self.workers.drain(..) {
            let _: thread::Result<()> = worker.join();
        }
        self.server = None;
        // The library closes the socket in a thread of its own. A caller that connected meanwhile
        // would see its request lost, where a platform that is gone refuses the connection.
        for _ in 0..CLOSE_ATTEMPTS {
            if TcpStream::connect(self.addr).is_err() {
                break;
            }
            sleep_ms(1);
        }
    }
}

fn no_address() -> io::Error {
    io::Error::from(io::ErrorKind::AddrNotAvailable)
}

fn spawn_worker(server: &Arc<Server>, state: &Arc<MemoryPlatform>) -> JoinHandle<()> {
    let server = Arc::clone(server);
    let state = Arc::clone(state);
    thread::spawn(move || {
        for request in server.incoming_requests() {
            handle(&state, request);
        }
    })
}

/// The part of an HTTP answer that this server needs.
enum Reply {
    Json(Vec<u8>),
    Bytes(Vec<u8>),
    Status(u16),
    Close,
}

fn handle(state: &MemoryPlatform, mut request: Request) {
    let reply = match read_body(&mut request) {
        Ok(body) => route(state, request.method(), request.url(), &body),
        Err(_) => Reply::Status(400),
    };
    // A caller that has gone away is no failure of the platform.
    let _: io::Result<()> = match reply {
        Reply::Json(body) => request.respond(Response::from_data(body)),
        // A chunked answer would not declare the object's length, which its reader compares.
        Reply::Bytes(body) => {
            request.respond(Response::from_data(body).with_chunked_threshold(usize::MAX))
        }
        Reply::Status(status) => request.respond(Response::empty(status)),
        Reply::Close => {
            drop(request.into_writer());
            Ok(())
        }
    };
}

fn read_body(request: &mut Request) -> io::Result<Vec<u8>> {
    let mut body = Vec::new();
    let declared = request.body_length();
    let reader = request.as_reader();
    reader.take(MAX_BODY_BYTES).read_to_end(&mut body)?;
    if declared.is_none_or(|length| length == body.len()) {
        Ok(body)
    } else {
        Err(io::ErrorKind::UnexpectedEof.into())
    }
}

fn route(state: &MemoryPlatform, method: &Method, path: &str, body: &[u8]) -> Reply {
    match (method, path, path.strip_prefix(OBJECTS)) {
        (Method::Post, "/table", _) => match serde_json::from_slice(body) {
            Ok(request) => reply(state.serve_table(&request), json),
            Err(_) => Reply::Status(400),
        },
        (Method::Get, "/vms", _) => reply(state.serve_vms(), json),
        (Method::Get, _, Some(name)) => {
            reply(state.serve_get(name), |found| found.map_or(Reply::Status(404), Reply::Bytes))
        }
        (Method::Put, _, Some(name)) => reply(state.serve_put(name, body), |()| Reply::Status(204)),
        (Method::Delete, _, Some(name)) => reply(state.serve_delete(name), |()| Reply::Status(204)),
        _ => Reply::Status(404),
    }
}

fn reply<T>(served: Served<T>, answer: impl FnOnce(T) -> Reply) -> Reply {
    match served {
        Served::Answer(value) => answer(value),
        Served::Refused => Reply::Status(503),
        Served::Lost => Reply::Close,
    }
}

fn json<T: Serialize>(value: T) -> Reply {
    serde_json::to_vec(&value).map_or(Reply::Status(500), Reply::Json)
}
