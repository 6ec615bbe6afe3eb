//! The caller accepts only complete, unmodified responses to its own requests.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::thread::{self, JoinHandle};

use sedgepath_test_support::caller::{Call, CallFailure, Caller, Outcome, OutcomeCounts};
use sedgepath_test_support::content::{self, Digest};

/// Serves the given responses in order, each on its own connection, and returns the requests.
///
/// `{id}` is replaced by the request id, and `{lookup}` by a look-up response with `entries` and
/// this server.
fn entry(entries: &[SocketAddr], responses: &[&str]) -> (SocketAddr, JoinHandle<Vec<String>>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let addr = listener.local_addr().expect("an address");
    let entry_vms: Vec<_> = entries.iter().copied().chain([addr]).collect();
    let responses: Vec<_> =
        responses.iter().map(|&text| text.replace("{lookup}", &lookup(&entry_vms))).collect();
    let server = thread::spawn(move || {
        let serve = |response: String| {
            let (mut stream, _) = listener.accept().expect("a connection");
            let mut reader = BufReader::new(stream.try_clone().expect("a clone"));
            let lines: Vec<_> = (&mut reader)
                .lines()
                .map_while(Result::ok)
                .take_while(|line| !line.is_empty())
                .collect();
            let header = |name| lines.iter().find_map(|line| line.strip_prefix(name));
            // Unread data would reset the connection and discard the response.
            let length =
                header("content-length: ").map_or(0, |text| text.parse().expect("a length"));
            reader.read_exact(&mut vec![0; length]).expect("a body");
            let id = header("sedgepath-request-id: ");
            let response = response.replace("{id}", id.unwrap_or_default());
            stream.write_all(response.as_bytes()).expect("written");
            lines.join("\n")
        };
        responses.into_iter().map(serve).collect()
    });
    (addr, server)
}

fn lookup(entries: &[SocketAddr]) -> String {
    let vms: Vec<_> = entries.iter().map(|addr| format!(r#"{{"address":"{addr}"}}"#)).collect();
    let json =
        format!(r#"{{"vms":[{}],"expires_at_ms":99999999999999,"revision":7}}"#, vms.join(","));
    format!("HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length: {}\r\n\r\n{json}", json.len())
}

/// Builds a response with the outcome `answered`, a body and its digest.
fn answered(extra: &str, body: &str) -> String {
    format!(
        "HTTP/1.1 200 OK\r\nconnection: close\r\nsedgepath-outcome: answered\r\n\
         sedgepath-body-digest: {}\r\ncontent-length: {}\r\n{extra}\r\n{body}",
        Digest::of(body.as_bytes()),
        body.len()
    )
}

const OWN_REQUEST_ID: &str = "sedgepath-request-id: {id}\r\n";

#[test]
fn each_response_defect_is_reported_as_a_failure() {
    // Guards against accepting a response with a foreign request id, a changed or truncated body, no
    // declared length or no outcome, or a connection that closes without a response.
    let valid = answered(OWN_REQUEST_ID, "a page");
    let responses = [
        "{lookup}",
        &valid,
        &answered("sedgepath-request-id: other\r\n", "a page"),
        &valid.replace("a page", "A page"),
        &valid.replace("a page", "a p"),
        &valid.replace("content-length: 6\r\n", ""),
        "HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length: 0\r\n\r\n",
        "",
    ];
    let (addr, server) = entry(&[], &responses);
    let mut caller = Caller::new([addr]);
    let call = Call::new("paying", "calendar", "/a");
    let mut outcomes = responses[1..].iter().map(|_| caller.call(&call).outcome);
    assert_eq!(outcomes.next(), Some(Outcome::Answered { status: 200 }));
    let failures: Vec<_> = outcomes.collect();
    assert!(
        matches!(
            &*failures,
            [
                Outcome::Failed(CallFailure::RequestIdMismatch),
                Outcome::Failed(CallFailure::BodyMismatch),
                Outcome::Failed(CallFailure::IncompleteBody(_)),
                Outcome::Failed(CallFailure::IncompleteBody(_)),
                Outcome::Failed(CallFailure::MissingOutcome),
                Outcome::Failed(CallFailure::NoResponse(_)),
            ]
        ),
        "{failures:?}"
    );
    let stats = caller.into_stats();
    let expected = OutcomeCounts { answered: 1, failed: 6, ..OutcomeCounts::default() };
    assert_eq!(stats.counts(), expected);
    assert_eq!(stats.latencies_us["paying"].len(), 1);
    server.join().expect("served");
}

#[test]
fn a_generated_body_is_verified_against_its_offset() {
    // Guards against accepting a range of a generated body with wrong content, although its length
    // and its digest are consistent.
    let wrong_body = "--------";
    let partial = answered(
        "sedgepath-request-id: {id}\r\netag: \"large-100-1\"\r\ncontent-range: bytes 92-99/100\r\n",
        wrong_body,
    );
    let (addr, server) = entry(&[], &["{lookup}", &partial]);
    let mut caller = Caller::new([addr]);
    let reply = caller.call(&Call::new("paying", "guides", "/large/100"));
    assert_eq!(reply.outcome, Outcome::Failed(CallFailure::BodyMismatch));
    assert!(!content::matches(1, 92, wrong_body.as_bytes()));
    server.join().expect("served");
}

#[test]
fn a_caller_retries_only_requests_that_were_not_run() {
    // Guards against retrying a request that may have run, reusing a request id for a retry, and
    // giving up at an entry VM that cannot be reached.
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let unreachable = listener.local_addr().expect("an address");
    drop(listener);
    let not_run = format!(
        "HTTP/1.1 503 Busy\r\nconnection: close\r\nsedgepath-outcome: not_run\r\n{}\r\n\r\n",
        "sedgepath-retry-at-ms: 1\r\ncontent-length: 0"
    );
    let unknown = not_run.replace("not_run", "unknown");
    let valid = answered(OWN_REQUEST_ID, "done");
    let (addr, server) = entry(&[unreachable], &["{lookup}", &not_run, &not_run, &valid, &unknown]);
    let mut caller = Caller::new([unreachable, addr]);
    let call = Call::new("trial", "bookings", "/book").with_method("POST").with_retries(2);
    let call = call.with_header("idempotency-key", "k1").with_body("a body");
    assert_eq!(caller.call(&call).outcome, Outcome::Answered { status: 200 });
    assert_eq!(caller.call(&call).outcome, Outcome::Unknown);
    let stats = caller.into_stats();
    let expected = OutcomeCounts { answered: 1, not_run: 2, unknown: 1, failed: 0 };
    assert_eq!(stats.counts(), expected);
    let mut ids: Vec<_> = stats.attempts.iter().map(|attempt| &attempt.request_id).collect();
    ids.sort();
    ids.dedup();
    assert_eq!(ids.len(), 4);
    let requests = server.join().expect("served");
    assert!(requests[1].starts_with("POST /book HTTP/1.1\n"), "{}", requests[1]);
    assert!(requests[1].contains("idempotency-key: k1") && requests[1].contains("revision: 7"));
}
