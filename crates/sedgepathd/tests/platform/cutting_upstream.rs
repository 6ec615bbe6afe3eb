//! An upstream that ends its responses early, and sends bytes behind them.

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::Duration;

use sedgepath_test_support::packet_filter::{drop_packets_from, reset_on_drop};
use sedgepath_test_support::store::StoreStandIn;
use serde_json::json;

use super::upstream::read_fields;

/// The entries of the upstream in the store.
const ENTRIES: usize = 40;

/// How long a response stalls before its connection ends: longer than the requests' deadline.
const STALL: Duration = Duration::from_secs(4);

/// The size from which a response is given time to be passed on before a reset discards it, in bytes.
const LARGE_BYTES: usize = 100_000;

/// That time.
const PASSING_ON: Duration = Duration::from_millis(100);

/// The pause between the parts of a response without an end.
const ENDLESS_INTERVAL: Duration = Duration::from_millis(20);

/// Returns a shape with the text of its body in upper case.
fn shouted(shape: &[u8]) -> Vec<u8> {
    String::from_utf8_lossy(shape).replace("hello", "HELLO").into_bytes()
}

/// How often a request ran.
#[derive(Debug, Default, Clone, Copy)]
pub struct Runs {
    pub total: usize,
    /// The runs that weren't the first of their connection.
    pub on_kept_connections: usize,
    /// The runs whose request came with HTTP/1.0.
    pub as_http_1_0: usize,
}

/// An upstream that responds to `/ROUTE/SHAPE/CUT/END` with the first `CUT` bytes of a shape, and runs until the
/// test's process ends.
///
/// `END` is `fin` or `rst`; `stall`, a late `fin`; `endless`, with which the body goes on. Others send the whole
/// shape and keep the connection: `keep`; `left`, with which the first `CUT` bytes of the shape with its text in upper
/// case come behind it; and `late`, with which the first shape with its text in upper case comes before the
/// connection's next response.
#[derive(Debug)]
pub struct CuttingUpstream {
    runs: Arc<Mutex<BTreeMap<String, Runs>>>,
}

impl CuttingUpstream {
    /// Starts an upstream with these shapes that some VMs don't reach, and writes its entries to the store.
    pub fn new(
        shapes: impl IntoIterator<Item = Vec<u8>>,
        store: &StoreStandIn,
        cut_from: &[Ipv4Addr],
    ) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        drop_packets_from(&listener, cut_from).expect("a filter");
        let address = listener.local_addr().expect("an address");
        let shapes: Arc<[_]> = shapes.into_iter().collect();
        let runs = Arc::new(Mutex::new(BTreeMap::new()));
        let counted = Arc::clone(&runs);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (shapes, runs) = (Arc::clone(&shapes), Arc::clone(&counted));
                thread::spawn(move || serve(&stream, &shapes, &runs));
            }
        });
        register(address, store);
        Self { runs }
    }

    /// Returns how often a request ran, by its method and target.
    pub fn runs(&self, request: &str) -> Runs {
        let runs = self.runs.lock().unwrap_or_else(PoisonError::into_inner);
        runs.get(request).copied().unwrap_or_default()
    }
}

fn register(address: SocketAddr, store: &StoreStandIn) {
    // Failures of some of its entries leave others to send to.
    let entry = json!({
        "address": address.to_string(),
        "info": {"service": "shop", "version": "v1", "zone": "north-a", "slots": 64},
        "status": {"state": "ready", "sequence": 1, "coldRemaining": "0ms"},
    });
    for number in 0..ENTRIES {
        store.put("servers", &format!("u{number}"), entry.to_string().as_bytes());
    }
}

/// Serves a connection until it ends.
fn serve(
    mut stream: &TcpStream,
    shapes: &[Vec<u8>],
    runs: &Mutex<BTreeMap<String, Runs>>,
) -> Option<()> {
    let mut reader = BufReader::new(stream);
    let mut late = Vec::new();
    for earlier_requests in 0.. {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        read_fields(&mut reader)?;
        let (request, version) = line.trim_end().rsplit_once(' ')?;
        record_run(runs, request, version, earlier_requests);
        let mut parts = request.rsplit('/');
        let end = parts.next()?;
        let cut: usize = parts.next()?.parse().ok()?;
        let number: usize = parts.next()?.parse().ok()?;
        let shape = shapes.get(number)?;
        if !late.is_empty() {
            stream.write_all(&std::mem::take(&mut late)).ok()?;
        }
        match end {
            "keep" => stream.write_all(shape).ok()?,
            "left" => stream.write_all(&[shape, &shouted(shape)[..cut]].concat()).ok()?,
            "late" => {
                stream.write_all(shape).ok()?;
                late = shouted(&shapes[0]);
            }
            _ => {
                stream.write_all(&shape[..cut]).ok()?;
                return end_response(stream, end, shape.len() >= LARGE_BYTES);
            }
        }
    }
    None
}

fn record_run(
    runs: &Mutex<BTreeMap<String, Runs>>,
    request: &str,
    version: &str,
    earlier_requests: usize,
) {
    let mut runs = runs.lock().unwrap_or_else(PoisonError::into_inner);
    let runs = runs.entry(request.into()).or_default();
    runs.total += 1;
    runs.on_kept_connections += usize::from(earlier_requests > 0);
    runs.as_http_1_0 += usize::from(version == "HTTP/1.0");
}

fn end_response(mut stream: &TcpStream, end: &str, is_large: bool) -> Option<()> {
    match end {
        "rst" => {
            if is_large {
                thread::sleep(PASSING_ON);
            }
            reset_on_drop(stream).ok()?;
        }
        "stall" => thread::sleep(STALL),
        "endless" => loop {
            thread::sleep(ENDLESS_INTERVAL);
            stream.write_all(&[b'x'; 1000]).ok()?;
        },
        _ => {}
    }
    Some(())
}
