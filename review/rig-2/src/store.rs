//! A stand-in of the platform's store, by the calls of PROTOCOL.md.

use std::collections::BTreeMap;
use std::io::{self, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use crate::http::{self, Request};

#[derive(Clone)]
struct Row {
    /// Base64; `None` once the row was dropped.
    value: Option<String>,
    version: u64,
}

type RowId = (String, String, String);

#[derive(Default)]
struct Rows {
    rows: BTreeMap<RowId, Row>,
    version: u64,
}

/// The store.
pub struct Store {
    pub address: SocketAddr,
    rows: Mutex<Rows>,
    changed: Condvar,
    began_at: Instant,
}

impl Store {
    pub fn start(ip: &str) -> io::Result<Arc<Self>> {
        let listener = TcpListener::bind((ip, 0))?;
        let store = Arc::new(Self {
            address: listener.local_addr()?,
            rows: Mutex::default(),
            changed: Condvar::new(),
            began_at: Instant::now(),
        });
        let serving = Arc::clone(&store);
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = Arc::clone(&serving);
                std::thread::spawn(move || store.serve(stream));
            }
        });
        Ok(store)
    }

    /// Writes a row as the operator or a backend does.
    pub fn put(&self, table: &str, key: &str, value: &Value) {
        let mut rows = self.rows.lock().unwrap();
        rows.version += 1;
        let row = Row { value: Some(base64(value.to_string().as_bytes())), version: rows.version };
        rows.rows.insert((table.into(), String::new(), key.into()), row);
        self.changed.notify_all();
    }

    /// Drops a row as a backend does that has left.
    #[allow(dead_code)]
    pub fn remove(&self, table: &str, key: &str) {
        let mut rows = self.rows.lock().unwrap();
        rows.version += 1;
        let row = Row { value: None, version: rows.version };
        rows.rows.insert((table.into(), String::new(), key.into()), row);
        self.changed.notify_all();
    }

    fn serve(&self, stream: TcpStream) {
        let Ok(mut writer) = stream.try_clone() else { return };
        let _ = stream.set_nodelay(true);
        let mut reader = BufReader::new(stream);
        while let Ok(Some(request)) = http::read_request(&mut reader) {
            let (status, body) = self.answer(&request);
            std::thread::sleep(Duration::from_millis(4));
            let body = body.to_string();
            let head = format!(
                "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                body.len()
            );
            if writer.write_all((head + &body).as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Request) -> (u16, Value) {
        let (path, query) = request.target.split_once('?').unwrap_or((&request.target, ""));
        let query: BTreeMap<String, String> = query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .map(|(key, value)| (key.to_owned(), decode(value)))
            .collect();
        let text = |name: &str| query.get(name).cloned().unwrap_or_default();
        match (request.method.as_str(), path) {
            ("GET", "/-/rows-get") => self.get(&text("table"), &text("part"), &query),
            ("GET", "/-/rows-parts") => self.parts(&text("table"), &text("after")),
            ("GET", "/-/rows-feed") => self.feed(&text("table"), &query),
            ("POST", "/-/rows-tx") => self.transact(&request.body),
            _ => (404, json!({})),
        }
    }

    fn now(&self) -> String {
        format!("{}ms", self.began_at.elapsed().as_millis())
    }

    fn get(&self, table: &str, part: &str, query: &BTreeMap<String, String>) -> (u16, Value) {
        let limit = query.get("limit").and_then(|text| text.parse().ok()).unwrap_or(500).min(500);
        let from = query.get("from").cloned().unwrap_or_default();
        let to = query.get("to");
        let rows = self.rows.lock().unwrap();
        let mut found: Vec<Value> = rows
            .rows
            .iter()
            .filter(|((t, p, key), _)| t == table && p == part && *key >= from)
            .filter(|((_, _, key), _)| to.is_none_or(|to| key < to))
            .filter(|(_, row)| row.value.is_some())
            .map(|(id, row)| row_json(id, row))
            .take(limit + 1)
            .collect();
        let has_more = found.len() > limit;
        found.truncate(limit);
        (200, json!({"rows": found, "hasMore": has_more, "ver": rows.version, "now": self.now()}))
    }

    fn parts(&self, table: &str, after: &str) -> (u16, Value) {
        let rows = self.rows.lock().unwrap();
        let mut parts: Vec<&str> = rows
            .rows
            .iter()
            .filter(|((t, p, _), row)| t == table && p.as_str() > after && row.value.is_some())
            .map(|((_, p, _), _)| p.as_str())
            .collect();
        parts.dedup();
        (200, json!({"parts": parts, "hasMore": false, "ver": rows.version, "now": self.now()}))
    }

    fn feed(&self, table: &str, query: &BTreeMap<String, String>) -> (u16, Value) {
        let number = |name: &str| query.get(name).and_then(|text| text.parse().ok()).unwrap_or(0);
        let (after, wait_ms): (u64, u64) = (number("after"), number("waitMs"));
        let deadline = Instant::now() + Duration::from_millis(wait_ms.min(30_000));
        let mut rows = self.rows.lock().unwrap();
        loop {
            let mut changed: Vec<(&RowId, &Row)> = rows
                .rows
                .iter()
                .filter(|((t, _, _), row)| t == table && row.version > after)
                .collect();
            let left = deadline.saturating_duration_since(Instant::now());
            if !changed.is_empty() || left.is_zero() {
                changed.sort_by_key(|(_, row)| row.version);
                let changed: Vec<Value> =
                    changed.into_iter().map(|(id, row)| row_json(id, row)).collect();
                let body = json!({"rows": changed, "ver": rows.version, "now": self.now()});
                return (200, body);
            }
            rows = self.changed.wait_timeout(rows, left).unwrap().0;
        }
    }

    fn transact(&self, body: &[u8]) -> (u16, Value) {
        let Ok(call) = serde_json::from_slice::<Value>(body) else { return (400, json!({})) };
        let entries = |name: &str| call[name].as_array().cloned().unwrap_or_default();
        let id = |entry: &Value| -> RowId {
            let text = |name: &str| entry[name].as_str().unwrap_or_default().to_owned();
            (text("table"), text("part"), text("key"))
        };
        let mut rows = self.rows.lock().unwrap();
        let version_of = |rows: &Rows, id: &RowId| {
            rows.rows.get(id).filter(|row| row.value.is_some()).map_or(0, |row| row.version)
        };
        let expected = entries("expect");
        if expected.iter().any(|it| version_of(&rows, &id(it)) != it["ver"].as_u64().unwrap_or(0)) {
            let current: Vec<Value> = expected
                .iter()
                .map(id)
                .filter_map(|id| {
                    let row = rows.rows.get(&id).filter(|row| row.value.is_some())?;
                    Some(row_json(&id, row))
                })
                .collect();
            return (412, json!({"rows": current, "ver": rows.version, "now": self.now()}));
        }
        rows.version += 1;
        let version = rows.version;
        for entry in entries("puts") {
            let value = entry["value"].as_str().map(str::to_owned);
            rows.rows.insert(id(&entry), Row { value, version });
        }
        for entry in entries("drop") {
            rows.rows.insert(id(&entry), Row { value: None, version });
        }
        self.changed.notify_all();
        (200, json!({"ver": version, "now": self.now()}))
    }
}

fn row_json((table, part, key): &RowId, row: &Row) -> Value {
    let mut json = json!({"table": table, "part": part, "key": key, "ver": row.version});
    match &row.value {
        Some(value) => json["value"] = json!(value),
        None => json["removed"] = json!(true),
    }
    json
}

fn decode(text: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = text.as_bytes();
    while let [first, tail @ ..] = rest {
        let code = tail.get(..2).and_then(|hex| std::str::from_utf8(hex).ok());
        match code.filter(|_| *first == b'%').and_then(|hex| u8::from_str_radix(hex, 16).ok()) {
            Some(byte) => {
                bytes.push(byte);
                rest = &tail[2..];
            }
            None => {
                bytes.push(if *first == b'+' { b' ' } else { *first });
                rest = tail;
            }
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let word = u32::from(chunk[0]) << 16
            | u32::from(*chunk.get(1).unwrap_or(&0)) << 8
            | u32::from(*chunk.get(2).unwrap_or(&0));
        for index in 0..4 {
            if index <= chunk.len() {
                text.push(DIGITS[(word >> (18 - 6 * index)) as usize & 63] as char);
            } else {
                text.push('=');
            }
        }
    }
    text
}
