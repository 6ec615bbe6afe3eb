//! A backend as PROTOCOL.md describes it: sound unless a case says otherwise.

use std::io::{BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use sedgepath_store_stand_in::StoreStandIn;
use serde_json::json;

use crate::http::{read_body, read_head};
use crate::record::Record;

/// The length of a download, the largest one of the site files.
const PACK_BYTES: usize = 540_000;

/// A request that the backend ran, wholly or in part.
#[derive(Debug, Clone)]
pub struct Run {
    pub id: String,
    pub line: String,
    pub arrived_ms: u64,
    /// Whether the run came to its end before the backend exited.
    pub completed: bool,
}

#[derive(Debug)]
struct State {
    runs: Mutex<Vec<Run>>,
    streams: Mutex<Vec<TcpStream>>,
    ended: AtomicBool,
}

/// A running backend.
#[derive(Debug, Clone)]
pub struct Backend {
    pub name: String,
    pub service: String,
    pub zone: String,
    pub address: SocketAddr,
    work: Duration,
    record: Record,
    state: Arc<State>,
}

impl Backend {
    pub fn start(name: &str, service: &str, zone: &str, work: Duration, record: &Record) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let backend = Self {
            name: name.into(),
            service: service.into(),
            zone: zone.into(),
            address: listener.local_addr().expect("an address"),
            work,
            record: record.clone(),
            state: Arc::new(State {
                runs: Mutex::default(),
                streams: Mutex::default(),
                ended: AtomicBool::new(false),
            }),
        };
        let server = backend.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if server.has_ended() {
                    return;
                }
                let server = server.clone();
                std::thread::spawn(move || server.serve(stream));
            }
        });
        backend
    }

    /// Writes the backend's entry. Heartbeats that change the sequence only don't change an entry, so one
    /// write stands for all.
    pub fn register(&self, store: &StoreStandIn) {
        let entry = json!({
            "address": self.address.to_string(),
            "info": {"service": self.service, "version": "v1", "zone": self.zone, "slots": 8},
            "status": {"state": "ready", "sequence": 1, "coldRemaining": "0ms"},
        });
        store.put("servers", &self.name, entry.to_string().as_bytes());
    }

    /// Exits: the listener and all connections close, and runs in progress are cut.
    pub fn exit(&self) {
        self.state.ended.store(true, Ordering::SeqCst);
        let _ = TcpStream::connect(self.address);
        for stream in self.state.streams.lock().expect("unpoisoned").drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    pub fn has_ended(&self) -> bool {
        self.state.ended.load(Ordering::SeqCst)
    }

    pub fn runs(&self) -> Vec<Run> {
        self.state.runs.lock().expect("unpoisoned").clone()
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(kept) = stream.try_clone() else { return };
        self.state.streams.lock().expect("unpoisoned").push(kept);
        let Ok(mut writer) = stream.try_clone() else { return };
        let mut reader = BufReader::new(stream);
        while let Ok(Some(mut request)) = read_head(&mut reader) {
            if read_body(&mut reader, &mut request).is_err() {
                return;
            }
            let response = self.respond(&request);
            if self.has_ended() || writer.write_all(&response).is_err() {
                return;
            }
        }
    }

    fn respond(&self, request: &crate::http::Message) -> Vec<u8> {
        let id = request.header("x-sedgepath-attempt-id").to_owned();
        let head = format!("X-Sedgepath-Attempt-Id: {id}\r\nKeep-Alive: timeout=10\r\n");
        if request.line.starts_with("GET /health ") {
            return format!(
                "HTTP/1.1 200 OK\r\n{head}X-Sedgepath-Instance-Id: {}\r\nContent-Length: 0\r\n\r\n",
                self.name
            )
            .into_bytes();
        }
        let expected = request.header("x-sedgepath-expected-instance");
        if !expected.is_empty() && expected != self.name {
            return format!(
                "HTTP/1.1 421 Misdirected Request\r\n{head}X-Sedgepath-Instance-Id: {}\r\n\
                 Content-Length: 0\r\n\r\n",
                self.name
            )
            .into_bytes();
        }
        let arrived_ms = self.record.now_ms();
        let index = {
            let mut runs = self.state.runs.lock().expect("unpoisoned");
            let line = request.line.clone();
            runs.push(Run { id: id.clone(), line, arrived_ms, completed: false });
            runs.len() - 1
        };
        self.record.write(&format!("server={} runs id={id} {}", self.name, request.line));
        std::thread::sleep(self.work);
        if self.has_ended() {
            self.record.write(&format!("server={} cut id={id}", self.name));
            return Vec::new();
        }
        self.state.runs.lock().expect("unpoisoned")[index].completed = true;
        let is_pack = request.line.starts_with("GET /packs/");
        let length = if is_pack { PACK_BYTES } else { 0 };
        let body = format!("done {id}\n{}", "x".repeat(length));
        format!(
            "HTTP/1.1 200 OK\r\n{head}X-Sedgepath-Response-Signature: s.{id}\r\n\
             Content-Length: {}\r\n\r\n{body}",
            body.len()
        )
        .into_bytes()
    }
}
