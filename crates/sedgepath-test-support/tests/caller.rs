//! The caller takes for an answer only what is whole, its own and as the upstream sent it.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::thread::{self, JoinHandle};

use sedgepath_test_support::caller::{Call, CallFailure, Caller, Outcome, OutcomeCounts};
use sedgepath_test_support::content::{self, Digest};

/// Serves the given answers in order, each on a connection of its own, and returns the requests.
///
/// The text `{id}` stands for the request's id and `{lookup}` for an answer that names `entries`.
fn entry(entries: &[SocketAddr], answers: &[&str]) -> (SocketAddr, JoinHandle<Vec<String>>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let addr = listener.local_addr().expect("an address");
    let named: Vec<_> = entries.iter().copied().chain([addr]).collect();
    let answers: Vec<_> =
        answers.iter().map(|&text| text.replace("{lookup}", &lookup(&named))).collect();
    let server = thread::spawn(move || {
        let serve = |answer: String| {
            let (mut stream, _) = listener.accept().expect("a connection");
            let mut reader = BufReader::new(stream.try_clone().expect("a clone"));
            let lines: Vec<_> = (&mut reader)
                .lines()
                .map_while(Result::ok)
                .take_while(|line| !line.is_empty())
                .collect();
            let header = |name| lines.iter().find_map(|line| line.strip_prefix(name));
            // What is left unread would reset the connection and take the answer with it.
            let length =
                header("content-length: ").map_or(0, |text| text.parse().expect("a length"));
            reader.read_exact(&mut vec![0; length]).expect("a body");
            let id = header("sedgepath-request-id: ");
            let answer = answer.replace("{id}", id.unwrap_or_default());
            stream.write_all(answer.as_bytes()).expect("written");
            lines.join("\n")
        };
        answers.into_iter().map(serve).collect()
    });
    (addr, server)
}

fn lookup(entries: &[SocketAddr]) -> String {
    let vms: Vec<_> = entries.iter().map(|addr| format!(r#"{{"address":"{addr}"}}"#)).collect();
    let json =
        format!(r#"{{"vms":[{}],"expires_at_ms":99999999999999,"revision":7}}"#, vms.join(","));
    format!("HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length: {}\r\n\r\n{json}", json.len())
}

/// Builds an answer that says "answered" with a body, and with a digest that fits it.
fn answered(extra: &str, body: &str) -> String {
    format!(
        "HTTP/1.1 200 OK\r\nconnection: close\r\nsedgepath-outcome: answered\r\n\
         sedgepath-body-digest: {}\r\ncontent-length: {}\r\n{extra}\r\n{body}",
        Digest::of(body.as_bytes()),
        body.len()
    )
}

const OWN: &str = "sedgepath-request-id: {id}\r\n";

#[test]
fn every_defect_of_an_answer_is_a_visible_failure() {
    // The entry VM answers well, then with another request's answer, a changed body, half a body,
    // no declared length, no outcome, and not at all.
    // Only the first is taken for an answer; each of the others is a failure of its own kind.
    let good = answered(OWN, "a page");
    let answers = [
        "{lookup}",
        &good,
        &answered("sedgepath-request-id: other\r\n", "a page"),
        &good.replace("a page", "A page"),
        &good.replace("a page", "a p"),
        &good.replace("content-length: 6\r\n", ""),
        "HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length: 0\r\n\r\n",
        "",
    ];
    let (addr, server) = entry(&[], &answers);
    let mut caller = Caller::new([addr]);
    let call = Call::new("paying", "calendar", "/a");
    let mut outcomes = answers[1..].iter().map(|_| caller.call(&call).outcome);
    assert_eq!(outcomes.next(), Some(Outcome::Answered { status: 200 }));
    let failures: Vec<_> = outcomes.collect();
    assert!(
        matches!(
            &*failures,
            [
                Outcome::Failed(CallFailure::WrongRequest),
                Outcome::Failed(CallFailure::WrongBody),
                Outcome::Failed(CallFailure::NotWhole(_)),
                Outcome::Failed(CallFailure::NotWhole(_)),
                Outcome::Failed(CallFailure::NoOutcome),
                Outcome::Failed(CallFailure::NoAnswer(_)),
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
fn a_generated_body_is_checked_against_its_offset() {
    // The rest of a large body comes under its entity tag and whole in length, with other bytes than
    // the tag and the offset stand for; its digest was made from these bytes and fits them.
    // The caller holds no copy of the body and still finds it out.
    let wrong = "--------";
    let partial = answered(
        "sedgepath-request-id: {id}\r\netag: \"large-100-1\"\r\ncontent-range: bytes 92-99/100\r\n",
        wrong,
    );
    let (addr, server) = entry(&[], &["{lookup}", &partial]);
    let mut caller = Caller::new([addr]);
    let reply = caller.call(&Call::new("paying", "guides", "/large/100"));
    assert_eq!(reply.outcome, Outcome::Failed(CallFailure::WrongBody));
    assert!(!content::matches(1, 92, wrong.as_bytes()));
    server.join().expect("served");
}

#[test]
fn a_caller_comes_back_only_when_and_as_often_as_told() {
    // The first entry VM that the look-up names is gone; the second says "not run, come back" twice
    // and then answers. A last request may have run.
    // The caller goes past the first untold, comes back with new ids while it has retries, and
    // never repeats the one that may have run.
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let gone = listener.local_addr().expect("an address");
    drop(listener);
    let not_run = format!(
        "HTTP/1.1 503 Busy\r\nconnection: close\r\nsedgepath-outcome: not_run\r\n{}\r\n\r\n",
        "sedgepath-retry-at-ms: 1\r\ncontent-length: 0"
    );
    let unknown = not_run.replace("not_run", "unknown");
    let good = answered(OWN, "done");
    let (addr, server) = entry(&[gone], &["{lookup}", &not_run, &not_run, &good, &unknown]);
    let mut caller = Caller::new([gone, addr]);
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
