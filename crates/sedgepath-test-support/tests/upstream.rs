//! Exact counts and observable faults of the upstream stand-in.

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::thread;
use std::time::Duration;

use attohttpc::{RequestBuilder, Response};
use sedgepath_test_support::content::{self, Digest};
use sedgepath_test_support::upstream::{
    Behaviour, DEADLINE_MS, DIGEST, IDEMPOTENCY_KEY, IN_FLIGHT, LoadReports, NOT_STARTED,
    REQUEST_ID, UPSTREAM_STATE, UpstreamConfig, UpstreamStandIn,
};
use serde_json::Value;

fn upstream(figures: UpstreamConfig) -> UpstreamStandIn {
    UpstreamStandIn::new(figures).expect("the upstream starts")
}

fn get(upstream: &UpstreamStandIn, path: &str) -> RequestBuilder {
    attohttpc::get(format!("http://{}{path}", upstream.addr()))
}

fn header<'a>(response: &'a Response, name: &str) -> Option<&'a str> {
    response.headers().get(name)?.to_str().ok()
}

fn connect(addr: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(addr).expect("connected");
    let timeout = Some(Duration::from_secs(5));
    stream.set_read_timeout(timeout).expect("a time-out");
    stream
}

/// Sends a request with an empty body on a connection that stays open.
fn send(stream: &mut TcpStream, request: &str, headers: &str) {
    let text = format!("{request} HTTP/1.1\r\nhost: upstream\r\n{headers}\r\n");
    stream.write_all(text.as_bytes()).expect("written");
}

/// Reads one response that ends with `end`.
fn receive(stream: &mut TcpStream, end: &str) -> String {
    let mut text = Vec::new();
    let mut buffer = [0; 4096];
    while !text.ends_with(end.as_bytes()) {
        let count = stream.read(&mut buffer).expect("a response");
        assert_ne!(count, 0, "the response ended early");
        text.extend_from_slice(&buffer[..count]);
    }
    String::from_utf8(text).expect("text")
}

/// Returns whether the next read finds the connection closed.
fn is_closed(stream: &mut TcpStream) -> bool {
    match stream.read(&mut [0]) {
        Ok(count) => count == 0,
        Err(error) => error.kind() == ErrorKind::ConnectionReset,
    }
}

/// Waits for a condition that another thread is about to fulfil.
fn wait_until(what: &str, reached: impl Fn() -> bool) {
    for _ in 0..2_000 {
        if reached() {
            return;
        }
        thread::sleep(Duration::from_millis(5));
    }
    panic!("not reached: {what}");
}

#[test]
fn peaks_count_only_overlapping_requests() {
    // Guards against peaks that count consecutive requests as concurrent, or miss concurrent ones.
    let upstream = upstream(UpstreamConfig::new(7).with_connect_ms(0));
    upstream.set_next_behaviours(5, Behaviour::Hang);
    let mut callers: Vec<_> = (0..5).map(|_| connect(upstream.addr())).collect();
    for (number, caller) in callers.iter_mut().enumerate() {
        send(caller, "GET /a", &format!("{REQUEST_ID}: r{number}\r\n"));
    }
    wait_until("five requests hang", || upstream.counts().in_flight == 5);
    upstream.release_hung();
    for caller in &mut callers {
        receive(caller, "GET /a\n");
    }
    for _ in 0..50 {
        send(&mut callers[0], "GET /a", "");
        receive(&mut callers[0], "GET /a\n");
    }
    let counts = upstream.counts();
    assert_eq!((counts.requests, counts.in_flight, counts.peak_in_flight), (55, 0, 5));
    assert_eq!((counts.connections, counts.peak_connections), (5, 5));
    assert_eq!((counts.connections_opened, counts.connections_rejected), (5, 0));
    assert_eq!(upstream.runs().len(), 55);
    assert!(upstream.runs_by_request_id().values().eq(&[1; 5]));
}

#[test]
fn a_response_frees_its_slot_before_the_caller_can_send_again() {
    // Guards against freeing the slot after the response is sent: the caller's next request would
    // then count as concurrent with the previous one.
    let upstream = upstream(UpstreamConfig::new(1));
    let mut connections = [connect(upstream.addr()), connect(upstream.addr())];
    for number in 0..2_000 {
        let connection = &mut connections[number % 2];
        send(connection, "GET /a", "");
        receive(connection, "GET /a\n");
        assert_eq!(upstream.counts().in_flight, 0, "after response {number}");
    }
    assert_eq!(upstream.counts().peak_in_flight, 1);
}

#[test]
fn connections_above_the_limit_are_closed_and_counted() {
    // Guards against accepting connections above the limit, and against a closed connection that
    // still counts towards the limit.
    let figures = UpstreamConfig::new(1).with_max_connections(2).with_connect_ms(0);
    let upstream = upstream(figures);
    let mut first = connect(upstream.addr());
    let mut second = connect(upstream.addr());
    for connection in [&mut first, &mut second] {
        send(connection, "GET /a", "");
        receive(connection, "GET /a\n");
    }
    let mut third = connect(upstream.addr());
    wait_until("one connection rejected", || upstream.counts().connections_rejected == 1);
    assert!(is_closed(&mut third));
    drop(first);
    wait_until("one connection closed", || upstream.counts().connections == 1);
    let mut fourth = connect(upstream.addr());
    send(&mut fourth, "GET /a", "");
    receive(&mut fourth, "GET /a\n");
    let counts = upstream.counts();
    assert_eq!((counts.peak_connections, counts.connections_opened), (2, 3));
    assert!((1..=3).contains(&counts.peak_opened_per_s), "{counts:?}");
}

#[test]
fn a_truncated_response_declares_its_full_length() {
    // Guards against a truncated response that declares its actual length, which callers could not
    // detect.
    let upstream = upstream(UpstreamConfig::new(1));
    upstream.set_next_behaviours(1, Behaviour::Truncate);
    let truncated = get(&upstream, "/large/200000").send().expect("a head");
    assert_eq!(header(&truncated, "content-length"), Some("200000"));
    assert_eq!(truncated.bytes().expect("half a body").len(), 100_000);
    let complete = get(&upstream, "/large/200000").send().expect("a head");
    assert_eq!(complete.bytes().expect("a body").len(), 200_000);
    assert_eq!(upstream.runs().len(), 2);
}

#[test]
fn only_a_rejection_proves_that_a_request_did_not_run() {
    // Guards against counting a rejected request as run, not counting one whose response is lost, and
    // deduplicating requests in the stand-in, which would hide duplicates sent by the system.
    let upstream = upstream(UpstreamConfig::new(1));
    upstream.set_next_behaviours(1, Behaviour::Reject);
    upstream.set_next_behaviours(1, Behaviour::Close);
    let charge = || get(&upstream, "/charge").header(IDEMPOTENCY_KEY, "k1");
    let rejected = charge().send().expect("a rejection");
    assert_eq!(rejected.status().as_u16(), 503);
    assert_eq!(header(&rejected, NOT_STARTED), Some("true"));
    assert_eq!(upstream.runs(), []);
    charge().send().expect_err("no response");
    assert!(charge().send().expect("a response").is_success());
    assert_eq!(upstream.runs_by_key(), [("k1".into(), 2)].into());
    assert_eq!(upstream.counts().requests, 3);
}

#[test]
fn a_confirmed_cancellation_or_an_expired_deadline_prevents_the_run() {
    // Guards against running a request after its confirmed cancellation or its deadline, and against
    // confirming the cancellation of a request that has run.
    let upstream = upstream(UpstreamConfig::new(1));
    let cancel = |id: &str| {
        let url = format!("http://{}/cancel", upstream.addr());
        let response = attohttpc::post(url).header(REQUEST_ID, id).send();
        response.expect("a response").status().as_u16()
    };
    upstream.set_next_behaviours(1, Behaviour::DelayStart { delay_ms: 60_000 });
    let mut caller = connect(upstream.addr());
    send(&mut caller, "GET /a", &format!("{REQUEST_ID}: waits\r\n"));
    wait_until("the request waits", || upstream.counts().in_flight == 1);
    assert_eq!(cancel("waits"), 200);
    assert!(receive(&mut caller, "not started\n").starts_with("HTTP/1.1 503 "));
    let late = get(&upstream, "/a").header(DEADLINE_MS, "1").send();
    assert_eq!(late.expect("a rejection").status().as_u16(), 503);
    assert_eq!(upstream.runs(), []);
    let ran = get(&upstream, "/a").header(REQUEST_ID, "ran").send();
    assert!(ran.expect("a response").is_success());
    assert_eq!(cancel("ran"), 409);
}

#[test]
fn a_large_body_can_be_resumed_only_while_its_etag_matches() {
    // Guards against resuming a download with the rest of a different body.
    let upstream = upstream(UpstreamConfig::new(1));
    let first = get(&upstream, "/large/150000").header("range", "bytes=0-70000").send();
    let first = first.expect("a response");
    assert_eq!(first.status().as_u16(), 206);
    assert_eq!(header(&first, "content-range"), Some("bytes 0-70000/150000"));
    let etag = header(&first, "etag").expect("a tag").to_owned();
    assert!(content::matches(1, 0, &first.bytes().expect("a body")));
    let resume = || {
        let request = get(&upstream, "/large/150000").header("range", "bytes=70001-");
        request.header("if-range", &etag).send().expect("a response")
    };
    let rest = resume().bytes().expect("a body");
    assert_eq!(rest.len(), 150_000 - 70_001);
    assert!(content::matches(1, 70_001, &rest));
    upstream.set_large_revision(2);
    let replaced = resume();
    assert_eq!(replaced.status().as_u16(), 200);
    let replaced = replaced.bytes().expect("a body");
    assert_eq!(replaced.len(), 150_000);
    assert!(content::matches(2, 0, &replaced) && !content::matches(1, 0, &replaced));
}

#[test]
fn a_response_has_its_request_id_and_digest_and_load_reports_can_be_false() {
    // Guards against responses that can't be matched to their request or body, and against load
    // reports that ignore the configured fault.
    let upstream = upstream(UpstreamConfig::new(3));
    let body = vec![7_u8; 100_000];
    let url = format!("http://{}/echo", upstream.addr());
    let echo = attohttpc::put(url).header(REQUEST_ID, "r1").bytes(&body).send();
    let echo = echo.expect("a response");
    assert_eq!(header(&echo, REQUEST_ID), Some("r1"));
    assert_eq!(header(&echo, DIGEST), Some(&*Digest::of(&body).to_string()));
    assert_eq!(header(&echo, UPSTREAM_STATE), None);
    assert_eq!(echo.bytes().expect("a body"), body);
    upstream.set_leaving(true);
    upstream.set_load_reports(LoadReports::FixedInFlight { in_flight: 9 });
    let load: Value = get(&upstream, "/load").send().expect("a report").json().expect("JSON");
    assert_eq!((&load["in_flight"], &load["slots"]), (&9.into(), &3.into()));
    assert_eq!(load["state"], "leaving");
    assert!(load["as_of_ms"].is_u64());
    upstream.set_load_reports(LoadReports::Disabled);
    assert_eq!(get(&upstream, "/load").send().expect("none").status().as_u16(), 404);
    let response = get(&upstream, "/a").send().expect("a response");
    assert_eq!(header(&response, UPSTREAM_STATE), Some("leaving"));
    assert_eq!(header(&response, IN_FLIGHT), None);
    assert_eq!(upstream.counts().requests, 2);
}

#[test]
fn a_drop_closes_hanging_and_idle_connections() {
    // Guards against a drop that hangs on a connection thread, and against a port that can't be
    // listened on again by a restarted upstream.
    let stopped = upstream(UpstreamConfig::new(1));
    let addr = stopped.addr();
    stopped.set_behaviour(Behaviour::Hang);
    let mut hanging = connect(addr);
    let mut idle = connect(addr);
    send(&mut hanging, "GET /a", "");
    wait_until("the request hangs", || stopped.counts().in_flight == 1);
    drop(stopped);
    assert!(is_closed(&mut idle));
    assert!(is_closed(&mut hanging));
    let again = UpstreamStandIn::new_at(addr, UpstreamConfig::new(1)).expect("restarted");
    assert!(get(&again, "/a").send().expect("a response").is_success());
}
