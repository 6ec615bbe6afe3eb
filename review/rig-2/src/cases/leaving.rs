//! A backend reports that it leaves, and gets requests later than `drain` after that.

use std::collections::BTreeMap;
use std::io::{self, BufReader, Write};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use serde_json::{Value, json};

use crate::Verdict;
use crate::backend::{Answer, Backend, configuration, route};
use crate::daemon::{Daemon, loopback_prefix};
use crate::http;
use crate::record::Record;
use crate::store::Store;

const DRAIN: Duration = Duration::from_millis(2_500);
const HEARTBEAT: Duration = Duration::from_millis(1_500);
/// The `coldStart` of the service.
const COLD_START: Duration = Duration::from_millis(3_000);
const CALLERS: usize = 12;
const WORK: Duration = Duration::from_millis(250);
const LEAVING_ID: &str = "i-7f3a91c2";

/// What a backend tells of itself in the store.
#[derive(Clone, Copy)]
struct Beat {
    state: &'static str,
    sequence: u64,
    cold_remaining: Duration,
    born_ms: u64,
}

impl Beat {
    fn to_entry(self, address: SocketAddr) -> Value {
        json!({
            "address": address.to_string(),
            "born": self.born_ms,
            "info": {"service": "packetbox", "zone": "lc-charleston", "version": "1", "slots": 8},
            "status": {
                "state": self.state,
                "sequence": self.sequence,
                "coldRemaining": format!("{}ms", self.cold_remaining.as_millis()),
            },
        })
    }

    /// Writes the beat unless the store has the same but for the sequence: only then the entry changes.
    fn write(self, store: &Store, address: SocketAddr, written: &mut Option<Value>) {
        let entry = self.to_entry(address);
        let without_sequence = |entry: &Value| {
            let mut entry = entry.clone();
            entry["status"]["sequence"] = json!(0);
            entry
        };
        if written.as_ref().map(without_sequence) != Some(without_sequence(&entry)) {
            store.put("servers", LEAVING_ID, &entry);
            *written = Some(entry);
        }
    }
}

fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}

/// The deployment of the cases, with callers of an unsafe route.
struct Scene {
    store: Arc<Store>,
    _steady: Vec<Arc<Backend>>,
    _daemon: Daemon,
    leaving_ip: String,
    answer: Answer,
    is_over: Arc<AtomicBool>,
    ends: Arc<Mutex<BTreeMap<String, String>>>,
    callers: Vec<JoinHandle<()>>,
}

impl Scene {
    fn start() -> io::Result<Self> {
        let prefix = loopback_prefix();
        let store = Store::start(&format!("{prefix}.1"))?;
        store.put("op", "config", &configuration(&[route("confirm", "unsafe", "4000ms")]));
        let answer: Answer = Arc::new(|_| {
            thread::sleep(WORK);
            (200, b"confirmed".to_vec())
        });
        let steady_ip = format!("{prefix}.2");
        let start = |id| {
            Backend::start(&steady_ip, id, "packetbox", &store, Duration::ZERO, Arc::clone(&answer))
        };
        let steady = vec![start("i-00000001")?, start("i-00000002")?];
        let ip = format!("{prefix}.10");
        let daemon = Daemon::start(&ip, "front-lc-charleston-1", store.address)?;
        let is_over = Arc::new(AtomicBool::new(false));
        let ends = Arc::new(Mutex::new(BTreeMap::new()));
        let callers = (0..CALLERS)
            .map(|caller| {
                let (front, is_over, ends) =
                    (daemon.front, Arc::clone(&is_over), Arc::clone(&ends));
                thread::spawn(move || {
                    while !is_over.load(Ordering::SeqCst) {
                        let _ = call_until_closed(front, caller, &is_over, &ends);
                    }
                })
            })
            .collect();
        Ok(Self {
            store,
            _steady: steady,
            _daemon: daemon,
            leaving_ip: format!("{prefix}.3"),
            answer,
            is_over,
            ends,
            callers,
        })
    }

    fn start_leaving_backend(&self, port: u16) -> io::Result<Arc<Backend>> {
        let address = format!("{}:{port}", self.leaving_ip).parse().map_err(io::Error::other)?;
        Backend::listen(address, LEAVING_ID, Duration::ZERO, Arc::clone(&self.answer))
    }

    /// Ends the callers, and judges the requests that reached the leaving backend.
    fn judge(self, backend: &Backend, acknowledged_at: Instant, record: &Record) -> Verdict {
        self.is_over.store(true, Ordering::SeqCst);
        for caller in self.callers {
            let _ = caller.join();
        }
        let ends = self.ends.lock().unwrap();
        let runs = backend.runs.lock().unwrap();
        for (id, end) in ends.iter() {
            record.line(&format!("POST {id}: {end}"));
        }
        for run in runs.iter() {
            record.line(&format!("the leaving backend ran {} {}", run.method, run.attempt_id));
        }
        let late: Vec<_> = runs.iter().filter(|run| run.at > acknowledged_at + DRAIN).collect();
        for run in &late {
            let late_by = run.at - acknowledged_at;
            record.line(&format!(
                "{} reached the leaving backend {:.3} s after the acknowledgement; its caller got {}",
                run.attempt_id,
                late_by.as_secs_f64(),
                ends.get(&run.attempt_id).map_or("nothing", String::as_str),
            ));
        }
        let failed = ends.values().filter(|end| *end != "200").count();
        record.line(&format!(
            "{} requests sent, {failed} of them not answered with 200; {} reached the leaving \
             backend, {} of them later than `drain` after the store's acknowledgement",
            ends.len(),
            runs.len(),
            late.len()
        ));
        if late.is_empty() { Verdict::Held } else { Verdict::Broken }
    }
}

/// Sends requests one after the other on one connection, until that is closed.
fn call_until_closed(
    front: SocketAddr,
    caller: usize,
    is_over: &AtomicBool,
    ends: &Mutex<BTreeMap<String, String>>,
) -> io::Result<()> {
    let mut stream = http::open(front)?;
    let mut reader = BufReader::new(stream.try_clone()?);
    while !is_over.load(Ordering::SeqCst) {
        let id = format!("{caller:04x}{:012x}", unix_ms());
        let request = format!(
            "POST /confirm/{id} HTTP/1.1\r\nHost: hulo84.example\r\nX-Sedgepath-Attempt-Id: {id}\r\n\
             X-Sedgepath-Deadline-Ms: 4000\r\nContent-Length: 2\r\n\r\nok"
        );
        stream.write_all(request.as_bytes())?;
        let response = http::read_response(&mut reader);
        let end = match &response {
            Ok(response) => response.status.to_string(),
            Err(_) => "no answer".into(),
        };
        ends.lock().unwrap().insert(id, end);
        response?;
    }
    Ok(())
}

fn sleep_until(began_at: Instant, at_ms: u64) {
    thread::sleep(
        (began_at + Duration::from_millis(at_ms)).saturating_duration_since(Instant::now()),
    );
}

/// The store performs a heartbeat whose answer was lost 6 s later, after the backend has said that it leaves.
pub fn late_heartbeat(record: &Record, has_trouble: bool) -> io::Result<Verdict> {
    const LOST_BEAT_AT_MS: u64 = 2_900;
    const LEAVES_AT_MS: u64 = 6_000;
    const PERFORMED_AT_MS: u64 = LOST_BEAT_AT_MS + 5_980;
    const ENDS_AT_MS: u64 = LEAVES_AT_MS + 4_000;

    let scene = Scene::start()?;
    let began_at = Instant::now();
    let backend = scene.start_leaving_backend(0)?;
    let born_ms = unix_ms();
    let (store, address) = (&scene.store, backend.address);
    let mut written = None;
    let mut sequence = 0;
    let mut beat = |state, at_ms: u64| {
        sleep_until(began_at, at_ms);
        sequence += 1;
        let cold_remaining = COLD_START.saturating_sub(Duration::from_millis(at_ms));
        Beat { state, sequence, cold_remaining, born_ms }
    };
    beat("ready", 0).write(store, address, &mut written);
    record.line("the backend has started");
    beat("ready", 1_450).write(store, address, &mut written);
    let lost = beat("ready", LOST_BEAT_AT_MS);
    record.line("the answer to a heartbeat is lost (state ready, coldRemaining 100ms, sequence 3)");
    beat("ready", 4_350).write(store, address, &mut written);
    beat("ready", 5_800).write(store, address, &mut written);
    beat("draining", LEAVES_AT_MS).write(store, address, &mut written);
    let acknowledged_at = Instant::now();
    record.line("the store acknowledges that the backend is draining (sequence 6)");
    beat("draining", 7_250).write(store, address, &mut written);
    beat("draining", 8_700).write(store, address, &mut written);
    if has_trouble {
        sleep_until(began_at, PERFORMED_AT_MS);
        store.put("servers", LEAVING_ID, &lost.to_entry(address));
        record.line("the store performs the call of the lost heartbeat, 5.98 s after it");
    }
    sleep_until(began_at, ENDS_AT_MS);
    store.remove("servers", LEAVING_ID);
    backend.end();
    record.line("the backend has ended");
    thread::sleep(HEARTBEAT);
    Ok(scene.judge(&backend, acknowledged_at, record))
}

/// A backend starts again under its id, with a clock that was set back meanwhile; later it leaves.
pub fn clock_behind(record: &Record, has_trouble: bool) -> io::Result<Verdict> {
    const CRASHES_AT_MS: u64 = 1_000;
    const RESTARTS_AT_MS: u64 = 1_800;
    const STEP_BACK_MS: u64 = 2_000;
    const LEAVES_AT_MS: u64 = 7_800;
    const ENDS_AT_MS: u64 = LEAVES_AT_MS + 4_000;

    let scene = Scene::start()?;
    let began_at = Instant::now();
    let first = scene.start_leaving_backend(0)?;
    let store = &scene.store;
    let address = first.address;
    let first_born_ms = unix_ms();
    let mut written = None;
    let cold_remaining = COLD_START;
    let beat = Beat { state: "ready", sequence: 1, cold_remaining, born_ms: first_born_ms };
    beat.write(store, address, &mut written);
    record.line("the backend has started");
    sleep_until(began_at, CRASHES_AT_MS);
    first.end();
    record.line("it has crashed");
    sleep_until(began_at, RESTARTS_AT_MS);
    let backend = scene.start_leaving_backend(address.port())?;
    let step_back_ms = if has_trouble { STEP_BACK_MS } else { 0 };
    let born_ms = unix_ms() - step_back_ms;
    record.line(&format!(
        "it has started again under its id; `born` is {} ms after the first",
        born_ms as i64 - first_born_ms as i64
    ));
    for sequence in 1..=4 {
        let cold_remaining = COLD_START.saturating_sub(HEARTBEAT * (sequence as u32 - 1));
        Beat { state: "ready", sequence, cold_remaining, born_ms }.write(
            store,
            address,
            &mut written,
        );
        sleep_until(began_at, RESTARTS_AT_MS + 1_500 * sequence);
    }
    sleep_until(began_at, LEAVES_AT_MS);
    let cold_remaining = Duration::ZERO;
    Beat { state: "draining", sequence: 5, cold_remaining, born_ms }.write(
        store,
        address,
        &mut written,
    );
    let acknowledged_at = Instant::now();
    record.line("the store acknowledges that the backend is draining");
    sleep_until(began_at, ENDS_AT_MS);
    store.remove("servers", LEAVING_ID);
    backend.end();
    record.line("the backend has ended");
    thread::sleep(HEARTBEAT);
    Ok(scene.judge(&backend, acknowledged_at, record))
}
