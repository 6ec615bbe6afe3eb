//! A stand-in of the platform's store.

use std::collections::BTreeMap;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD as BASE64;
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use serde_json::{Value, json};
use tokio::sync::Notify;

/// How the store answers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mode {
    /// As it should.
    Up,
    /// Not at all, though connections are made.
    Silent,
    /// With 503: nothing was done.
    Refusing,
    /// As it should, this many milliseconds late.
    Slow(u64),
}

#[derive(Debug)]
struct State {
    mode: Mode,
    version: u64,
    rows: BTreeMap<(String, String), (Value, u64)>,
    /// Every change: its version, table, key, and whether the row was removed.
    log: Vec<(u64, String, String, bool)>,
    /// Changes up to this version are forgotten.
    forgotten_at: u64,
    calls: usize,
}

/// The store; it ends with the test's process.
#[derive(Debug, Clone)]
pub struct StoreStandIn {
    state: Arc<Mutex<State>>,
    changed: Arc<Notify>,
    /// Its address.
    pub address: SocketAddr,
}

impl StoreStandIn {
    /// Starts an empty store.
    pub fn new() -> Self {
        let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
        listener.set_nonblocking(true).expect("non-blocking");
        let address = listener.local_addr().expect("an address");
        let state = State {
            mode: Mode::Up,
            version: 0,
            rows: BTreeMap::new(),
            log: Vec::new(),
            forgotten_at: 0,
            calls: 0,
        };
        let store = Self { state: Arc::new(Mutex::new(state)), changed: Arc::default(), address };
        let serving = store.clone();
        std::thread::spawn(move || {
            let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
            runtime.expect("a runtime").block_on(serving.serve(listener));
        });
        store
    }

    async fn serve(self, listener: std::net::TcpListener) {
        let listener = tokio::net::TcpListener::from_std(listener).expect("a listener");
        while let Ok((stream, _)) = listener.accept().await {
            let store = self.clone();
            tokio::spawn(async move {
                let service = service_fn(|request| {
                    let store = store.clone();
                    async move { Ok::<_, Infallible>(store.answer(request).await) }
                });
                let serving = hyper::server::conn::http1::Builder::new()
                    .serve_connection(TokioIo::new(stream), service);
                drop(serving.await);
            });
        }
    }

    /// Sets how the store answers from now on.
    pub fn set_mode(&self, mode: Mode) {
        self.lock().mode = mode;
    }

    /// Returns the number of calls so far.
    pub fn calls(&self) -> usize {
        self.lock().calls
    }

    /// Writes a row as the operator or an upstream does.
    pub fn put(&self, table: &str, key: &str, value: &[u8]) {
        let mut state = self.lock();
        state.version += 1;
        let version = state.version;
        let value = Value::String(BASE64.encode(value));
        state.rows.insert((table.into(), key.into()), (value, version));
        state.log.push((version, table.into(), key.into(), false));
        drop(state);
        self.changed.notify_waiters();
    }

    /// Removes a row.
    pub fn remove(&self, table: &str, key: &str) {
        let mut state = self.lock();
        state.version += 1;
        let version = state.version;
        state.rows.remove(&(table.to_owned(), key.to_owned()));
        state.log.push((version, table.into(), key.into(), true));
        drop(state);
        self.changed.notify_waiters();
    }

    /// Drops all history: feeds that start before now are told so.
    pub fn forget_history(&self) {
        let mut state = self.lock();
        state.forgotten_at = state.version;
        state.log.clear();
    }

    async fn answer(&self, request: Request<Incoming>) -> Response<Full<Bytes>> {
        let mode = {
            let mut state = self.lock();
            state.calls += 1;
            state.mode
        };
        match mode {
            Mode::Silent => return std::future::pending().await,
            Mode::Refusing => return response(StatusCode::SERVICE_UNAVAILABLE, &json!({})),
            Mode::Slow(ms) => tokio::time::sleep(Duration::from_millis(ms)).await,
            Mode::Up => {}
        }
        let query = request.uri().query().unwrap_or("").to_owned();
        let parameter = |name: &str| {
            let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs.into_iter().find(|(key, _)| *key == name).map(|(_, value)| value.to_owned())
        };
        let table = parameter("table").unwrap_or_default();
        match request.uri().path() {
            "/-/rows-get" => response(StatusCode::OK, &self.all(&table)),
            "/-/rows-feed" => {
                let number = |name| parameter(name).and_then(|text| text.parse().ok());
                let after = number("after").unwrap_or(0);
                let wait_ms = number("waitMs").unwrap_or(0);
                self.feed(&table, after, wait_ms).await
            }
            "/-/rows-tx" => self.commit(request).await,
            _ => response(StatusCode::NOT_FOUND, &json!({})),
        }
    }

    fn all(&self, table: &str) -> Value {
        let state = self.lock();
        let rows: Vec<Value> = state
            .rows
            .iter()
            .filter(|((of, _), _)| of == table)
            .map(|((of, key), (value, version))| {
                json!({"table": of, "part": "", "key": key, "value": value, "ver": version})
            })
            .collect();
        json!({"rows": rows, "hasMore": false, "ver": state.version, "now": "1ms"})
    }

    async fn feed(&self, table: &str, after: u64, wait_ms: u64) -> Response<Full<Bytes>> {
        let deadline = tokio::time::Instant::now() + Duration::from_millis(wait_ms);
        loop {
            let changed = self.changed.notified();
            {
                let state = self.lock();
                if after < state.forgotten_at {
                    return response(StatusCode::GONE, &json!({}));
                }
                let rows = changes(&state, table, after);
                if !rows.is_empty() || tokio::time::Instant::now() >= deadline {
                    let page = json!({"rows": rows, "ver": state.version, "now": "1ms"});
                    return response(StatusCode::OK, &page);
                }
            }
            // Woken by a change or by the end of the wait.
            drop(tokio::time::timeout_at(deadline, changed).await);
        }
    }

    async fn commit(&self, request: Request<Incoming>) -> Response<Full<Bytes>> {
        let body = request.into_body().collect().await.expect("a body").to_bytes();
        let body: Value = serde_json::from_slice(&body).expect("a transaction");
        for put in body["puts"].as_array().into_iter().flatten() {
            let value = BASE64.decode(put["value"].as_str().unwrap_or("")).expect("base64");
            let text = |name: &str| put[name].as_str().unwrap_or("").to_owned();
            self.put(&text("table"), &text("key"), &value);
        }
        for drop in body["drop"].as_array().into_iter().flatten() {
            let text = |name: &str| drop[name].as_str().unwrap_or("").to_owned();
            self.remove(&text("table"), &text("key"));
        }
        response(StatusCode::OK, &json!({"ver": self.lock().version, "now": "1ms"}))
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().expect("no test panics while it holds the lock")
    }
}

fn changes(state: &State, table: &str, after: u64) -> Vec<Value> {
    let later = state.log.iter().filter(|(version, of, ..)| *version > after && of == table);
    later
        .filter_map(|(version, of, key, removed)| {
            if *removed {
                return Some(
                    json!({"table": of, "part": "", "key": key, "ver": version, "removed": true}),
                );
            }
            let (value, at) = state.rows.get(&(of.clone(), key.clone()))?;
            (at == version)
                .then(|| json!({"table": of, "part": "", "key": key, "value": value, "ver": at}))
        })
        .collect()
}

fn response(status: StatusCode, body: &Value) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from(body.to_string())));
    *response.status_mut() = status;
    response
}
