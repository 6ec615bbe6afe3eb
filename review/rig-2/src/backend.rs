//! A stand-in of backends.

use std::io::{self, BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::os::fd::AsRawFd;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use crate::http::{self, Request};
use crate::store::Store;

/// The bytes that a link of 1,000 Mbit/s carries in a second.
const LINK_BYTES_PER_S: f64 = 125e6;

const LINK_PIECE_BYTES: usize = 64 * 1024;

/// The link of the daemon's machine, which all responses of backends share.
static LINK: Link = Link { free_at: Mutex::new(None) };

struct Link {
    /// When the link has carried all that was sent so far.
    free_at: Mutex<Option<Instant>>,
}

impl Link {
    /// Waits until the link has carried what was sent before, and takes a number of bytes.
    fn wait_for(&self, bytes: usize) {
        let now = Instant::now();
        let takes = Duration::from_secs_f64(bytes as f64 / LINK_BYTES_PER_S);
        let begins_at = {
            let mut free_at = self.free_at.lock().unwrap();
            let begins_at = free_at.map_or(now, |at| at.max(now));
            *free_at = Some(begins_at + takes);
            begins_at
        };
        thread::sleep(begins_at - now);
    }
}

/// A backend answers each request by a function: status, headers beside the usual ones, and body.
pub type Answer = Arc<dyn Fn(&Request) -> (u16, Vec<u8>) + Send + Sync>;

/// A request that a backend has run.
pub struct Run {
    /// When it arrived.
    pub at: Instant,
    pub attempt_id: String,
    pub method: String,
    pub body_bytes: usize,
    pub headers: Vec<(String, String)>,
}

/// A backend.
pub struct Backend {
    pub id: String,
    #[allow(dead_code)]
    pub address: SocketAddr,
    pub runs: Mutex<Vec<Run>>,
    /// How long it pauses before it reads a body.
    pub read_pause: Duration,
    answer: Answer,
    streams: Mutex<Vec<TcpStream>>,
    has_ended: AtomicBool,
}

impl Backend {
    /// Starts a backend and registers it in the store.
    pub fn start(
        ip: &str,
        id: &str,
        service: &str,
        store: &Store,
        read_pause: Duration,
        answer: Answer,
    ) -> io::Result<Arc<Self>> {
        let backend = Self::listen(address_of(ip)?, id, read_pause, answer)?;
        store.put("servers", id, &entry(backend.address, service));
        Ok(backend)
    }

    /// Starts a backend without registering it.
    pub fn listen(
        address: SocketAddr,
        id: &str,
        read_pause: Duration,
        answer: Answer,
    ) -> io::Result<Arc<Self>> {
        let listener = TcpListener::bind(address)?;
        http::set_small_window(listener.as_raw_fd());
        let address = listener.local_addr()?;
        let backend = Arc::new(Self {
            id: id.into(),
            address,
            runs: Mutex::default(),
            read_pause,
            answer,
            streams: Mutex::default(),
            has_ended: AtomicBool::new(false),
        });
        let serving = Arc::clone(&backend);
        thread::spawn(move || serving.accept(&listener));
        Ok(backend)
    }

    fn accept(self: &Arc<Self>, listener: &TcpListener) {
        for stream in listener.incoming().flatten() {
            if self.has_ended.load(Ordering::SeqCst) {
                return;
            }
            if let Ok(copy) = stream.try_clone() {
                self.streams.lock().unwrap().push(copy);
            }
            let backend = Arc::clone(self);
            thread::spawn(move || backend.serve(stream));
        }
    }

    /// Ends the backend as the end of its process does.
    pub fn end(&self) {
        self.has_ended.store(true, Ordering::SeqCst);
        // Wakes the accepting thread, which closes the listener.
        drop(TcpStream::connect(self.address));
        for stream in self.streams.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        // It cuts off a response that remains unread for some seconds.
        let _ = stream.set_write_timeout(Some(Duration::from_secs(5)));
        let Ok(mut writer) = stream.try_clone() else { return };
        let mut reader = BufReader::new(stream);
        while let Ok(Some(request)) = http::read_request_after(&mut reader, self.read_pause) {
            if self.respond(&request, &mut writer).is_err() {
                return;
            }
        }
    }

    fn respond(&self, request: &Request, writer: &mut TcpStream) -> io::Result<()> {
        let id = http::header(&request.headers, "x-sedgepath-attempt-id").unwrap_or_default();
        let expected = http::header(&request.headers, "x-sedgepath-expected-instance");
        if expected.is_some_and(|expected| expected != self.id) {
            let head = format!(
                "HTTP/1.1 421 X\r\nX-Sedgepath-Attempt-Id: {id}\r\nX-Sedgepath-Not-Executed: 1\r\n\
                 Content-Length: 0\r\n\r\n"
            );
            return writer.write_all(head.as_bytes());
        }
        self.runs.lock().unwrap().push(Run {
            at: Instant::now(),
            attempt_id: id.into(),
            method: request.method.clone(),
            body_bytes: request.body.len(),
            headers: request.headers.clone(),
        });
        let (status, body) = (self.answer)(request);
        if self.has_ended.load(Ordering::SeqCst) {
            return Err(io::ErrorKind::ConnectionReset.into());
        }
        let head = format!(
            "HTTP/1.1 {status} X\r\nX-Sedgepath-Attempt-Id: {id}\r\n\
             X-Sedgepath-Response-Signature: {}.{id}\r\nContent-Length: {}\r\n\
             Keep-Alive: timeout=10\r\n\r\n",
            self.id,
            body.len()
        );
        writer.write_all(head.as_bytes())?;
        for piece in body.chunks(LINK_PIECE_BYTES) {
            LINK.wait_for(piece.len());
            writer.write_all(piece)?;
        }
        Ok(())
    }
}

fn address_of(ip: &str) -> io::Result<SocketAddr> {
    format!("{ip}:0").parse().map_err(io::Error::other)
}

fn entry(address: SocketAddr, service: &str) -> Value {
    json!({
        "address": address.to_string(),
        "info": {"service": service, "zone": "lc-charleston", "version": "1", "slots": 8},
        "status": {"state": "ready", "sequence": 1, "coldRemaining": "0ms"},
    })
}

/// Returns a configuration with one route of a kind to one service.
pub fn configuration(routes: &[Value]) -> Value {
    json!({
        "version": "00000007",
        "services": [{
            "name": "packetbox", "healthPath": "/health", "maxConnections": 360,
            "protocol": "h1", "tls": false, "coldStart": "3s", "coldPerS": 3.6,
        }],
        "limits": {
            "maxHeaderBytes": 16384, "maxBodyBytes": 67_108_864, "headerTimeout": "3000ms",
            "idleTimeout": "15000ms",
        },
        "virtualHosts": [{"host": "hulo84.example", "pathRoutes": routes}],
    })
}

/// Returns a route to the service of [`configuration`].
pub fn route(name: &str, kind: &str, timeout: &str) -> Value {
    json!({
        "name": name, "prefix": format!("/{name}/"), "kind": kind, "timeout": timeout,
        "targetLatency": "400ms", "priority": 2, "service": "packetbox", "maxAttempts": 2,
        "sticky": false, "homeRegions": [],
    })
}
