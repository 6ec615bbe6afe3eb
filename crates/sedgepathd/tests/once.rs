//! Tests deduplication by idempotency keys and tickets through real daemons.

use std::net::SocketAddr;
use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};

use sedgepath_test_support::daemon::Signal;
use sedgepath_test_support::records::{self, UpstreamSpec};
use sedgepath_test_support::store::StoreMode;
use sedgepath_test_support::system::DaemonCluster;
use sedgepath_test_support::upstream::{Behaviour, UpstreamConfig, UpstreamStandIn};
use serde_json::Value;

/// The part of a response that the tests check.
#[derive(Debug, PartialEq, Eq)]
struct CallResult {
    status: u16,
    outcome: String,
    body: String,
}

/// Two daemons in different failure domains, each with an upstream.
struct DaemonPair {
    upstreams: [UpstreamStandIn; 2],
    system: DaemonCluster,
    entries: [SocketAddr; 2],
}

impl DaemonPair {
    fn new() -> Self {
        let upstream = || UpstreamStandIn::new(UpstreamConfig::new(8)).expect("upstream");
        let upstreams = [upstream(), upstream()];
        let specs = [
            UpstreamSpec::new("d1", "north-a", 8).with_address(upstreams[0].addr()),
            UpstreamSpec::new("d2", "south-a", 8).with_address(upstreams[1].addr()),
        ];
        let mut records = records::one_service("deposit", 5_000, &specs, &["north-a", "south-a"]);
        records.push(records::organisations(&[
            ("porch", "paying", "porch-key"),
            ("clue", "paying", "clue"),
        ]));
        let system =
            DaemonCluster::new(Path::new(env!("CARGO_BIN_EXE_sedgepathd"))).expect("platform");
        let system = system.with_daemons(&records, &[("n1", "north-a"), ("s1", "south-a")]);
        let system = system.expect("daemons");
        let entries = [system.addresses[0].caller_address, system.addresses[1].caller_address];
        let pair = Self { upstreams, system, entries };
        pair.wait_until_joined();
        pair
    }

    /// Waits until each daemon serves and forwards to the other, and the upstreams of both failure
    /// domains run requests. A single request is no sign of that, as it may go to either domain.
    fn wait_until_joined(&self) {
        let before: Vec<_> = self.upstreams.iter().map(|upstream| upstream.runs().len()).collect();
        let joined = (0..1_200).any(|_| {
            thread::sleep(Duration::from_millis(50));
            let forwarded = (0..2).all(|from| {
                let tickets = self.mint_tickets(from, 1);
                let first = tickets.first();
                first.is_some_and(|ticket| {
                    self.call_with_ticket(1 - from, ticket, "join").status == 200
                })
            });
            let mut upstreams = self.upstreams.iter().zip(&before);
            forwarded && upstreams.all(|(upstream, runs)| upstream.runs().len() > *runs)
        });
        assert!(joined, "the daemons don't serve and forward requests");
    }

    fn post(&self, entry: usize, fields: &[(&'static str, &str)], body: &str) -> CallResult {
        let url = format!("http://{}/v1/call/deposit/echo", self.entries[entry]);
        let request = attohttpc::post(url).header("sedgepath-timeout-ms", 3_000);
        let request =
            fields.iter().fold(request, |request, (name, value)| request.header(*name, *value));
        let response = request.text(body).send().expect("a response");
        let outcome = response.headers().get("sedgepath-outcome").expect("an outcome");
        CallResult {
            status: response.status().as_u16(),
            outcome: outcome.to_str().expect("text").into(),
            body: response.text().expect("a body"),
        }
    }

    fn call_with_key(&self, entry: usize, key: &str, body: &str) -> CallResult {
        self.post(entry, &[("idempotency-key", key), ("sedgepath-key", "porch-key")], body)
    }

    /// Repeats a request until its outcome is known, as the row of its key is updated only after
    /// the response was sent.
    fn repeat_until_known(&self, entry: usize, key: &str, body: &str) -> CallResult {
        let mut repeats = (0..40).map(|_| {
            thread::sleep(Duration::from_millis(100));
            self.call_with_key(entry, key, body)
        });
        repeats.find(|result| result.outcome != "unknown").expect("a known outcome")
    }

    fn call_with_ticket(&self, entry: usize, ticket: &str, body: &str) -> CallResult {
        self.post(entry, &[("sedgepath-ticket", ticket)], body)
    }

    fn mint_tickets(&self, entry: usize, count: usize) -> Vec<String> {
        let entry = self.entries[entry];
        let url = format!("http://{entry}/v1/tickets?service=deposit&count={count}");
        let response = attohttpc::post(url).send().expect("tickets");
        assert_eq!(
            response.headers().get("cache-control").expect("a cache-control header"),
            "no-store"
        );
        let body: Value = response.json().expect("JSON");
        let texts = body["tickets"].as_array().into_iter().flatten();
        texts.filter_map(|text| Some(text.as_str()?.into())).collect()
    }

    /// Returns how often both upstreams together ran a request with this key or ticket.
    fn run_count(&self, key: &str) -> u32 {
        let runs = self.upstreams.iter().map(UpstreamStandIn::runs_by_key);
        runs.filter_map(|runs| runs.get(key).copied()).sum()
    }
}

fn answered(body: &str) -> CallResult {
    CallResult { status: 200, outcome: "answered".into(), body: body.into() }
}

/// Guards against a key that runs twice when repeated at another daemon, is accepted for another
/// request, or collides with the same key of another organisation.
#[test]
fn a_repeated_key_gets_the_stored_response() {
    let pair = DaemonPair::new();
    for (number, entry) in [0, 1, 0, 1].into_iter().enumerate() {
        let key = format!("deposit-{number}");
        assert_eq!(pair.call_with_key(entry, &key, "100"), answered("100"));
        for _ in 0..3 {
            assert_eq!(pair.repeat_until_known(1 - entry, &key, "100"), answered("100"));
        }
        assert_eq!(pair.call_with_key(1 - entry, &key, "200").status, 422);
        assert_eq!(pair.run_count(&key), 1);
    }
    let fields = [("idempotency-key", "deposit-0"), ("sedgepath-key", "clue")];
    assert_eq!(pair.post(0, &fields, "300"), answered("300"));
}

/// Guards against a repeat that runs while the first request is in flight, when the platform's
/// responses to writes are lost or its writes are applied late.
#[test]
fn lost_and_late_writes_cause_no_second_run() {
    let pair = DaemonPair::new();
    let store = &pair.system.store;
    for upstream in &pair.upstreams {
        upstream.set_behaviour(Behaviour::DelayResponse { delay_ms: 600 });
    }
    let keys: Vec<String> = (0..6).map(|number| format!("late-{number}")).collect();
    for (number, key) in keys.iter().enumerate() {
        if number % 2 == 0 {
            store.drop_next_answers(1);
        } else {
            store.hold_next_writes(1);
        }
        thread::scope(|scope| {
            scope.spawn(|| pair.call_with_key(number % 2, key, "100"));
            thread::sleep(Duration::from_millis(250));
            pair.call_with_key(1 - number % 2, key, "100");
        });
        assert_eq!(pair.repeat_until_known(1 - number % 2, key, "100"), answered("100"));
    }
    assert!(!store.apply_held_writes().is_empty());
    for (number, key) in keys.iter().enumerate() {
        assert_eq!(pair.repeat_until_known(number % 2, key, "100"), answered("100"));
        assert_eq!(pair.run_count(key), 1);
    }
}

/// Guards against a ticket that is not forwarded to the daemon that minted it, or that runs twice,
/// and against accepting a forged ticket or a ticket together with a key.
#[test]
fn a_ticket_is_forwarded_to_its_home() {
    let pair = DaemonPair::new();
    for ticket in pair.mint_tickets(0, 5) {
        assert_eq!(pair.call_with_ticket(1, &ticket, "100"), answered("100"));
        assert_eq!(pair.call_with_ticket(0, &ticket, "100"), answered("100"));
        assert_eq!(pair.call_with_ticket(1, &ticket, "100"), answered("100"));
        assert_eq!(pair.call_with_ticket(1, &ticket, "200").status, 422);
        assert_eq!(pair.run_count(&ticket), 1);
        let forged = ticket.replacen('.', ".1", 1);
        assert_eq!(pair.call_with_ticket(1, &forged, "100").status, 400);
        let both = [("sedgepath-ticket", &*ticket), ("idempotency-key", "a key")];
        assert_eq!(pair.post(0, &both, "100").status, 400);
    }
}

/// Guards against a platform outage that stops tickets, or that gives requests with keys a wrong
/// outcome: a first attempt must be `not_run`, a repeat `unknown`.
#[test]
fn tickets_are_served_while_the_platform_is_down() {
    let pair = DaemonPair::new();
    assert_eq!(pair.call_with_key(0, "before", "100"), answered("100"));
    pair.system.store.set_mode(StoreMode::Refusing);
    let first = [("idempotency-key", "first"), ("sedgepath-attempt", "1")];
    let repeat = [("idempotency-key", "before"), ("sedgepath-attempt", "2")];
    let result = pair.post(0, &first, "100");
    assert_eq!((result.status, &*result.outcome), (503, "not_run"), "{result:?}");
    let result = pair.post(1, &repeat, "100");
    assert_eq!((result.status, &*result.outcome), (504, "unknown"), "{result:?}");
    assert_eq!((pair.run_count("first"), pair.run_count("before")), (0, 1));
    for ticket in pair.mint_tickets(0, 10).iter().chain(&pair.mint_tickets(1, 10)) {
        assert_eq!(pair.call_with_ticket(0, ticket, "100"), answered("100"));
        assert_eq!(pair.call_with_ticket(1, ticket, "100"), answered("100"));
        assert_eq!(pair.run_count(ticket), 1);
    }
}

/// Guards against tickets that run, or get an outcome other than `unknown`, after their home was
/// killed, both before and after it has restarted.
#[test]
fn a_killed_home_leaves_its_tickets_unknown() {
    let mut pair = DaemonPair::new();
    let tickets = pair.mint_tickets(0, 6);
    for ticket in &tickets[..3] {
        assert_eq!(pair.call_with_ticket(0, ticket, "100"), answered("100"));
    }
    pair.system.daemons[0].as_mut().expect("a daemon").signal(Signal::Kill).expect("a signal");
    for ticket in &tickets {
        assert_eq!(pair.call_with_ticket(1, ticket, "100").outcome, "unknown");
    }
    pair.system.start_daemon(0).expect("a daemon");
    pair.wait_until_joined();
    for (number, ticket) in tickets.iter().enumerate() {
        for entry in [0, 1] {
            assert_eq!(pair.call_with_ticket(entry, ticket, "100").outcome, "unknown");
        }
        assert_eq!(pair.run_count(ticket), u32::from(number < 3));
    }
}

/// Guards against unknown outcomes after a planned stop of the tickets' home: the other daemon must
/// return the stored responses, and `not_run` for unused tickets.
#[test]
fn a_planned_stop_leaves_nothing_unknown() {
    let mut pair = DaemonPair::new();
    let tickets = pair.mint_tickets(0, 6);
    for ticket in &tickets[..3] {
        assert_eq!(pair.call_with_ticket(0, ticket, "100"), answered("100"));
    }
    let daemon = pair.system.daemons[0].as_mut().expect("a daemon");
    daemon.signal(Signal::Term).expect("a signal");
    let ended = daemon.wait_until(Instant::now() + Duration::from_mins(1)).expect("a wait");
    assert!(ended.is_some_and(|status| status.success()), "{ended:?}");
    for (number, ticket) in tickets.iter().enumerate() {
        let result = pair.call_with_ticket(1, ticket, "100");
        let expected = if number < 3 { "answered" } else { "not_run" };
        assert_eq!(result.outcome, expected, "{result:?}");
        assert_eq!(pair.run_count(ticket), u32::from(number < 3));
    }
}

/// Guards against a response that is not stored because its caller disconnected while the request
/// was in flight.
#[test]
fn a_repeat_after_a_disconnect_gets_the_response() {
    let pair = DaemonPair::new();
    for upstream in &pair.upstreams {
        upstream.set_behaviour(Behaviour::DelayResponse { delay_ms: 600 });
    }
    let url = format!("http://{}/v1/call/deposit/echo", pair.entries[0]);
    let request = attohttpc::post(url).header("idempotency-key", "gone");
    let request = request.header("sedgepath-key", "porch-key").text("100");
    let disconnected = request.timeout(Duration::from_millis(200)).send();
    assert!(disconnected.is_err(), "{disconnected:?}");
    assert_eq!(pair.repeat_until_known(1, "gone", "100"), answered("100"));
    assert_eq!(pair.run_count("gone"), 1);
}
