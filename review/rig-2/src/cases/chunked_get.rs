//! A safe request bears a long body in chunks.

use std::io;
use std::sync::Arc;
use std::time::Duration;

use crate::Verdict;
use crate::backend::{Answer, Backend, configuration, route};
use crate::daemon::{Daemon, loopback_prefix};
use crate::http;
use crate::record::Record;
use crate::store::Store;

const REQUESTS: usize = 20;
const BODY_BYTES: usize = 300 * 1024;
const CHUNK_BYTES: usize = 16 * 1024;

pub fn run(record: &Record, has_trouble: bool) -> io::Result<Verdict> {
    let prefix = loopback_prefix();
    let store = Store::start(&format!("{prefix}.1"))?;
    store.put("op", "config", &configuration(&[route("search", "safe", "3000ms")]));
    let answer: Answer = Arc::new(|request| {
        let sum = request.body.iter().map(|byte| u64::from(*byte)).sum::<u64>();
        (200, format!("{} bytes, sum {sum}", request.body.len()).into_bytes())
    });
    let backend = Backend::start(
        &format!("{prefix}.2"),
        "i-7f3a91c2",
        "packetbox",
        &store,
        Duration::ZERO,
        answer,
    )?;
    let daemon = Daemon::start(&format!("{prefix}.10"), "front-lc-charleston-1", store.address)?;
    record.line("the daemon is ready");

    for number in 0..REQUESTS {
        let framing = if has_trouble {
            "Transfer-Encoding: chunked".to_owned()
        } else {
            format!("Content-Length: {BODY_BYTES}")
        };
        let mut request = format!(
            "GET /search/{number} HTTP/1.1\r\nHost: hulo84.example\r\n\
             X-Sedgepath-Attempt-Id: {number:016x}\r\nX-Sedgepath-Deadline-Ms: 3000\r\n{framing}\r\n\r\n"
        )
        .into_bytes();
        let body = vec![1; BODY_BYTES];
        if has_trouble {
            for chunk in body.chunks(CHUNK_BYTES) {
                request.extend(format!("{:x}\r\n", chunk.len()).as_bytes());
                request.extend(chunk);
                request.extend(b"\r\n");
            }
            request.extend(b"0\r\n\r\n");
        } else {
            request.extend(body);
        }
        let response = http::call(daemon.front, &request)?;
        record.line(&format!(
            "request {number:016x} sent with {BODY_BYTES} bytes; answer {} {:?}",
            response.status,
            String::from_utf8_lossy(&response.body),
        ));
    }
    let runs = backend.runs.lock().unwrap();
    for run in runs.iter() {
        let framing = ["content-length", "transfer-encoding"]
            .map(|name| format!("{name}: {}", http::header(&run.headers, name).unwrap_or("none")));
        record.line(&format!(
            "the backend ran {} {} with {} bytes; {}",
            run.method,
            run.attempt_id,
            run.body_bytes,
            framing.join(", ")
        ));
    }
    let changed = runs.iter().filter(|run| run.body_bytes != BODY_BYTES).count();
    record.line(&format!("{} run, {changed} of them with another body than was sent", runs.len()));
    if runs.is_empty() {
        return Err(io::Error::other("nothing was run"));
    }
    Ok(if changed > 0 { Verdict::Broken } else { Verdict::Held })
}
