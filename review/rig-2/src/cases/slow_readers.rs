//! Clients read large downloads slowly, until the daemon exceeds the memory of its machine.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::backend::{Answer, Backend, configuration, route};
use crate::daemon::{Daemon, MEMORY_MB, loopback_prefix};
use crate::http;
use crate::record::Record;
use crate::store::Store;

const BACKENDS: usize = 16;
const READERS: usize = 340;
const RESPONSE_BYTES: usize = 3 * 1024 * 1024;
const WORK: Duration = Duration::from_millis(50);
/// The time over which the clients begin.
const START_SPREAD: Duration = Duration::from_millis(6_500);
const DEADLINE_MS: u64 = 8_000;
/// How long the case lasts.
const LENGTH: Duration = Duration::from_secs(12);
/// The callers of requests that may run once, each with a kept connection.
const KEPT_CALLERS: usize = 20;
const CONFIRM_WORK: Duration = Duration::from_millis(840);
/// The requests that the rule lets a machine lose.
const TOLERATED_LOST: usize = 3;

#[derive(Default)]
struct Counts {
    whole: AtomicU32,
    cut: AtomicU32,
    refused: AtomicU32,
    other: AtomicU32,
    /// Each download with its end, for the record.
    ends: Mutex<Vec<String>>,
}

/// What the callers with kept connections saw.
#[derive(Default)]
struct KeptCalls {
    /// The attempts whose connection ended without an answer, on a connection that had had answers.
    unanswered: Mutex<Vec<String>>,
    answered: AtomicU32,
    /// Each request with its end, for the record.
    ends: Mutex<Vec<String>>,
}

pub fn run(record: &Record, has_trouble: bool) -> io::Result<Verdict> {
    let prefix = loopback_prefix();
    let store = Store::start(&format!("{prefix}.1"))?;
    let routes = [route("guides", "download", "8000ms"), route("confirm", "unsafe", "8000ms")];
    store.put("op", "config", &configuration(&routes));
    let answer: Answer = Arc::new(|request| {
        if request.method == "POST" {
            thread::sleep(CONFIRM_WORK);
            return (200, b"confirmed".to_vec());
        }
        thread::sleep(WORK);
        (200, vec![b'x'; RESPONSE_BYTES])
    });
    let backend_ip = format!("{prefix}.2");
    let start_backend = |number: usize| {
        let id = format!("i-{number:08x}");
        Backend::start(&backend_ip, &id, "packetbox", &store, Duration::ZERO, Arc::clone(&answer))
    };
    let backends = (0..BACKENDS).map(start_backend).collect::<io::Result<Vec<_>>>()?;
    let mut daemon =
        Daemon::start(&format!("{prefix}.10"), "front-lc-charleston-1", store.address)?;
    let before_kb = daemon.resident_kb().unwrap_or(0);
    record.line(&format!("the daemon is ready, with {before_kb} kB"));

    let front = daemon.front;
    let began_at = Instant::now();
    let kept = Arc::new(KeptCalls::default());
    let callers: Vec<_> = (0..KEPT_CALLERS)
        .map(|number| {
            let kept = Arc::clone(&kept);
            thread::spawn(move || drop(confirm_again_and_again(front, number, began_at, &kept)))
        })
        .collect();
    let counts = Arc::new(Counts::default());
    let readers: Vec<_> = (0..READERS)
        .map(|number| {
            let counts = Arc::clone(&counts);
            let starts_at = START_SPREAD * number as u32 / READERS as u32;
            thread::spawn(move || {
                thread::sleep(starts_at.saturating_sub(began_at.elapsed()));
                let _ = read_download(front, number, has_trouble, &counts);
            })
        })
        .collect();
    let mut most_kb = before_kb;
    let mut is_killed = false;
    while began_at.elapsed() < LENGTH {
        let resident_kb = daemon.resident_kb().unwrap_or(0);
        most_kb = most_kb.max(resident_kb);
        if resident_kb > MEMORY_MB * 1024 && !is_killed {
            // As the platform does with a process that exceeds `memoryMb`.
            daemon.child.kill()?;
            is_killed = true;
            record.line(&format!("the platform kills the daemon, which has {resident_kb} kB"));
        }
        thread::sleep(Duration::from_millis(10));
    }
    for thread in readers.into_iter().chain(callers) {
        let _ = thread.join();
    }
    let count = |counter: &AtomicU32| counter.load(Ordering::Relaxed);
    record.line(&format!(
        "{READERS} downloads of {RESPONSE_BYTES} bytes: {} whole, {} ended early, {} refused, {} without an answer",
        count(&counts.whole),
        count(&counts.cut),
        count(&counts.refused),
        count(&counts.other),
    ));
    record.line(&format!("most memory: {most_kb} kB; limit: {} kB", MEMORY_MB * 1024));
    let was_passed_on = |id: &String| {
        backends
            .iter()
            .any(|backend| backend.runs.lock().unwrap().iter().any(|run| run.attempt_id == *id))
    };
    for end in counts.ends.lock().unwrap().iter().chain(kept.ends.lock().unwrap().iter()) {
        record.line(end);
    }
    for backend in &backends {
        for run in backend.runs.lock().unwrap().iter() {
            record.line(&format!("{} ran {} {}", backend.id, run.method, run.attempt_id));
        }
    }
    let unanswered = kept.unanswered.lock().unwrap();
    let lost: Vec<&String> = unanswered.iter().filter(|id| was_passed_on(id)).collect();
    for id in &lost {
        record.line(&format!(
            "POST {id} was passed on and run; its kept connection ended without an answer"
        ));
    }
    record.line(&format!("{} of the POSTs answered, {} lost", count(&kept.answered), lost.len()));
    Ok(if lost.len() > TOLERATED_LOST { Verdict::Broken } else { Verdict::Held })
}

/// Sends requests that may run once, one after the other on one connection.
fn confirm_again_and_again(
    front: SocketAddr,
    caller: usize,
    began_at: Instant,
    kept: &KeptCalls,
) -> io::Result<()> {
    let mut stream = http::open(front)?;
    let mut reader = BufReader::new(stream.try_clone()?);
    let mut answers = 0;
    while began_at.elapsed() < LENGTH - Duration::from_secs(2) {
        let id = format!("c{caller:07x}{answers:08x}");
        let request = format!(
            "POST /confirm/{caller} HTTP/1.1\r\nHost: hulo84.example\r\n\
             X-Sedgepath-Attempt-Id: {id}\r\nX-Sedgepath-Deadline-Ms: 4000\r\n\
             Content-Length: 2\r\n\r\nok"
        );
        let answer =
            stream.write_all(request.as_bytes()).and_then(|()| http::read_response(&mut reader));
        let end = match &answer {
            Ok(response) => response.status.to_string(),
            Err(error) => format!("no answer ({error})"),
        };
        kept.ends.lock().unwrap().push(format!("POST {id}: {end}"));
        if answer.is_err() {
            if answers > 0 {
                kept.unanswered.lock().unwrap().push(id);
            }
            return Ok(());
        }
        answers += 1;
        kept.answered.fetch_add(1, Ordering::Relaxed);
    }
    Ok(())
}

/// Requests a download and reads it, slowly if `is_slow`, until its deadline.
fn read_download(
    front: SocketAddr,
    number: usize,
    is_slow: bool,
    counts: &Counts,
) -> io::Result<()> {
    let began_at = Instant::now();
    let mut stream = http::connect_with_small_window(front)?;
    let request = format!(
        "GET /guides/{number} HTTP/1.1\r\nHost: hulo84.example\r\n\
         X-Sedgepath-Attempt-Id: {number:016x}\r\nX-Sedgepath-Deadline-Ms: {DEADLINE_MS}\r\n\r\n"
    );
    stream.write_all(request.as_bytes())?;
    let mut reader = BufReader::new(stream);
    let mut line = String::new();
    if reader.read_line(&mut line).unwrap_or(0) == 0 {
        counts.other.fetch_add(1, Ordering::Relaxed);
        counts.ends.lock().unwrap().push(format!("GET {number:016x}: no answer"));
        return Ok(());
    }
    if !line.starts_with("HTTP/1.1 200") {
        counts.refused.fetch_add(1, Ordering::Relaxed);
        counts.ends.lock().unwrap().push(format!("GET {number:016x}: {}", line.trim_end()));
        return Ok(());
    }
    while line != "\r\n" {
        line.clear();
        reader.read_line(&mut line)?;
    }
    let mut read_bytes = 0;
    let mut buffer = [0; 16 * 1024];
    while began_at.elapsed() < Duration::from_millis(DEADLINE_MS) && read_bytes < RESPONSE_BYTES {
        match reader.read(&mut buffer) {
            Ok(0) | Err(_) => break,
            Ok(length) => read_bytes += length,
        }
        if is_slow {
            thread::sleep(Duration::from_millis(50));
        }
    }
    counts.ends.lock().unwrap().push(format!("GET {number:016x}: 200, {read_bytes} bytes read"));
    let counter = if read_bytes == RESPONSE_BYTES { &counts.whole } else { &counts.cut };
    counter.fetch_add(1, Ordering::Relaxed);
    Ok(())
}
