//! The upstream stand-in's counts are exact and its faults visible to a caller.

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::thread;
use std::time::Duration;

use attohttpc::{RequestBuilder, Response};
use sedgepath_test_support::content::{self, Digest};
use sedgepath_test_support::upstream::{
    Behaviour, DEADLINE_MS, DIGEST, IDEMPOTENCY_KEY, IN_FLIGHT, LoadReports, NOT_STARTED,
    REQUEST_ID, UPSTREAM_STATE, UpstreamFigures, UpstreamStandIn,
};
use serde_json::Value;

fn upstream(figures: UpstreamFigures) -> UpstreamStandIn {
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

/// Reads one answer that ends with `end`.
fn receive(stream: &mut TcpStream, end: &str) -> String {
    let mut text = Vec::new();
    let mut piece = [0; 4096];
    while !text.ends_with(end.as_bytes()) {
        let count = stream.read(&mut piece).expect("an answer");
        assert_ne!(count, 0, "the answer ended early");
        text.extend_from_slice(&piece[..count]);
    }
    String::from_utf8(text).expect("text")
}

/// Tells whether the next read finds the end, rather than a byte or no news.
fn is_closed(stream: &mut TcpStream) -> bool {
    match stream.read(&mut [0]) {
        Ok(count) => count == 0,
        Err(error) => error.kind() == ErrorKind::ConnectionReset,
    }
}

/// Waits for a count that another thread is about to reach.
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
fn peaks_count_what_overlaps_and_nothing_else() {
    // Five callers each hold a connection and a request that hangs; then they are released, and one
    // of them sends fifty more, each as soon as it has the answer before.
    // The peaks are five exactly, and each request id has run once.
    let upstream = upstream(UpstreamFigures::new(7).with_connect_ms(0));
    upstream.behave_next(5, Behaviour::Hang);
    let mut callers: Vec<_> = (0..5).map(|_| connect(upstream.addr())).collect();
    for (number, caller) in callers.iter_mut().enumerate() {
        send(caller, "GET /a", &format!("{REQUEST_ID}: r{number}\r\n"));
    }
    wait_until("five hang", || upstream.counts().in_flight == 5);
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
    assert_eq!((counts.connections_opened, counts.connections_refused), (5, 0));
    assert_eq!(upstream.runs().len(), 55);
    assert!(upstream.runs_by_request_id().values().eq(&[1; 5]));
}

#[test]
fn an_answer_frees_its_slot_before_its_caller_can_send_again() {
    // One caller has two connections and never more than one request: it sends each on the other
    // connection as soon as it has the whole answer before.
    // None is in flight after each answer, and the peak is one. Were the slot freed after the answer,
    // the next request could be counted beside it, and a test would fail without a fault.
    let upstream = upstream(UpstreamFigures::new(1));
    let mut connections = [connect(upstream.addr()), connect(upstream.addr())];
    for number in 0..2_000 {
        let connection = &mut connections[number % 2];
        send(connection, "GET /a", "");
        receive(connection, "GET /a\n");
        assert_eq!(upstream.counts().in_flight, 0, "after answer {number}");
    }
    assert_eq!(upstream.counts().peak_in_flight, 1);
}

#[test]
fn connections_above_the_limit_are_closed_and_counted() {
    // An upstream that takes two connections gets a third, which is closed without an answer; one of
    // the first two ends and a fourth is served. The peak is two.
    let figures = UpstreamFigures::new(1).with_max_connections(2).with_connect_ms(0);
    let upstream = upstream(figures);
    let mut first = connect(upstream.addr());
    let mut second = connect(upstream.addr());
    for kept in [&mut first, &mut second] {
        send(kept, "GET /a", "");
        receive(kept, "GET /a\n");
    }
    let mut third = connect(upstream.addr());
    wait_until("one refused", || upstream.counts().connections_refused == 1);
    assert!(is_closed(&mut third));
    drop(first);
    wait_until("one closed", || upstream.counts().connections == 1);
    let mut fourth = connect(upstream.addr());
    send(&mut fourth, "GET /a", "");
    receive(&mut fourth, "GET /a\n");
    let counts = upstream.counts();
    assert_eq!((counts.peak_connections, counts.connections_opened), (2, 3));
    assert!((1..=3).contains(&counts.peak_opened_per_s), "{counts:?}");
}

#[test]
fn a_truncated_answer_declares_more_than_it_brings() {
    // The upstream runs the request, declares the whole body, sends half of it and closes.
    // A caller that compares the length sees it; one that takes the close for the end does not.
    let upstream = upstream(UpstreamFigures::new(1));
    upstream.behave_next(1, Behaviour::Truncate);
    let cut = get(&upstream, "/large/200000").send().expect("a head");
    assert_eq!(header(&cut, "content-length"), Some("200000"));
    assert_eq!(cut.bytes().expect("half a body").len(), 100_000);
    let whole = get(&upstream, "/large/200000").send().expect("a head");
    assert_eq!(whole.bytes().expect("a body").len(), 200_000);
    assert_eq!(upstream.runs().len(), 2);
}

#[test]
fn a_refusal_proves_that_nothing_ran_and_a_lost_answer_does_not() {
    // A once-only request is refused before its start, then run without an answer, then run again.
    // The caller sees "not started", a closed connection and an answer. The key has run twice: the
    // stand-in does not remove repeats, so that a system that repeats is found out.
    let upstream = upstream(UpstreamFigures::new(1));
    upstream.behave_next(1, Behaviour::Refuse);
    upstream.behave_next(1, Behaviour::Close);
    let charge = || get(&upstream, "/charge").header(IDEMPOTENCY_KEY, "k1");
    let refused = charge().send().expect("a refusal");
    assert_eq!(refused.status().as_u16(), 503);
    assert_eq!(header(&refused, NOT_STARTED), Some("true"));
    assert_eq!(upstream.runs(), []);
    charge().send().expect_err("no answer");
    assert!(charge().send().expect("an answer").is_success());
    assert_eq!(upstream.runs_by_key(), [("k1".into(), 2)].into());
    assert_eq!(upstream.counts().requests, 3);
}

#[test]
fn a_confirmed_cancellation_or_a_passed_deadline_prevents_the_run() {
    // A request waits for its start and is cancelled meanwhile; another arrives after its deadline;
    // a third has run when it is to be cancelled.
    // The first two are answered "not started" and leave no run; the third's cancellation fails.
    let upstream = upstream(UpstreamFigures::new(1));
    let cancel = |id: &str| {
        let url = format!("http://{}/cancel", upstream.addr());
        let answer = attohttpc::post(url).header(REQUEST_ID, id).send();
        answer.expect("an answer").status().as_u16()
    };
    upstream.behave_next(1, Behaviour::DelayStart { delay_ms: 60_000 });
    let mut caller = connect(upstream.addr());
    send(&mut caller, "GET /a", &format!("{REQUEST_ID}: waits\r\n"));
    wait_until("it waits", || upstream.counts().in_flight == 1);
    assert_eq!(cancel("waits"), 200);
    assert!(receive(&mut caller, "not started\n").starts_with("HTTP/1.1 503 "));
    let late = get(&upstream, "/a").header(DEADLINE_MS, "1").send();
    assert_eq!(late.expect("a refusal").status().as_u16(), 503);
    assert_eq!(upstream.runs(), []);
    let ran = get(&upstream, "/a").header(REQUEST_ID, "ran").send();
    assert!(ran.expect("an answer").is_success());
    assert_eq!(cancel("ran"), 409);
}

#[test]
fn a_large_body_can_be_resumed_on_the_same_entity_only() {
    // A caller has the first 70,001 bytes and asks for the rest under the entity tag it knows.
    // It gets just the rest; after the body was replaced it gets the whole new one instead.
    let upstream = upstream(UpstreamFigures::new(1));
    let first = get(&upstream, "/large/150000").header("range", "bytes=0-70000").send();
    let first = first.expect("an answer");
    assert_eq!(first.status().as_u16(), 206);
    assert_eq!(header(&first, "content-range"), Some("bytes 0-70000/150000"));
    let etag = header(&first, "etag").expect("a tag").to_owned();
    assert!(content::matches(1, 0, &first.bytes().expect("a body")));
    let resume = || {
        let request = get(&upstream, "/large/150000").header("range", "bytes=70001-");
        request.header("if-range", &etag).send().expect("an answer")
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
fn an_answer_names_its_request_and_its_body_and_a_report_can_mislead() {
    // A body is echoed with its digest and the request's id. Then the upstream leaves, claims a load
    // that it does not have, and at last reports nothing.
    let upstream = upstream(UpstreamFigures::new(3));
    let body = vec![7_u8; 100_000];
    let url = format!("http://{}/echo", upstream.addr());
    let echo = attohttpc::put(url).header(REQUEST_ID, "r1").bytes(&body).send();
    let echo = echo.expect("an answer");
    assert_eq!(header(&echo, REQUEST_ID), Some("r1"));
    assert_eq!(header(&echo, DIGEST), Some(&*Digest::of(&body).to_string()));
    assert_eq!(header(&echo, UPSTREAM_STATE), None);
    assert_eq!(echo.bytes().expect("a body"), body);
    upstream.set_leaving(true);
    upstream.set_load_reports(LoadReports::Misleading { in_flight: 9 });
    let load: Value = get(&upstream, "/load").send().expect("a report").json().expect("JSON");
    assert_eq!((&load["in_flight"], &load["slots"]), (&9.into(), &3.into()));
    assert_eq!(load["state"], "leaving");
    assert!(load["as_of_ms"].is_u64());
    upstream.set_load_reports(LoadReports::Missing);
    assert_eq!(get(&upstream, "/load").send().expect("none").status().as_u16(), 404);
    let answer = get(&upstream, "/a").send().expect("an answer");
    assert_eq!(header(&answer, UPSTREAM_STATE), Some("leaving"));
    assert_eq!(header(&answer, IN_FLIGHT), None);
    assert_eq!(upstream.counts().requests, 2);
}

#[test]
fn a_drop_ends_what_hangs_and_what_is_idle() {
    // One caller hangs, another is idle on an open connection, and the upstream is dropped.
    // The drop returns, since it waits for every thread; both callers see the end and no
    // answer, and the port can be listened on again, as an upstream that is restarted does.
    let stopped = upstream(UpstreamFigures::new(1));
    let addr = stopped.addr();
    stopped.set_behaviour(Behaviour::Hang);
    let mut hanging = connect(addr);
    let mut idle = connect(addr);
    send(&mut hanging, "GET /a", "");
    wait_until("it hangs", || stopped.counts().in_flight == 1);
    drop(stopped);
    assert!(is_closed(&mut idle));
    assert!(is_closed(&mut hanging));
    let again = UpstreamStandIn::new_at(addr, UpstreamFigures::new(1)).expect("restarted");
    assert!(get(&again, "/a").send().expect("an answer").is_success());
}
