//! Once-only actions through real daemons: keys and tickets, repeats, an outage and a kill.

use std::net::SocketAddr;
use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};

use sedgepath_test_support::daemon::Signal;
use sedgepath_test_support::records::{self, UpstreamSpec};
use sedgepath_test_support::store::StoreMode;
use sedgepath_test_support::system::System;
use sedgepath_test_support::upstream::{Behaviour, UpstreamFigures, UpstreamStandIn};
use serde_json::Value;

/// What a caller is told.
#[derive(Debug, PartialEq, Eq)]
struct Told {
    status: u16,
    outcome: String,
    body: String,
}

/// Two daemons of two domains, each with an upstream.
struct Pair {
    upstreams: [UpstreamStandIn; 2],
    system: System,
    entries: [SocketAddr; 2],
}

impl Pair {
    fn new() -> Self {
        let upstream = || UpstreamStandIn::new(UpstreamFigures::new(8)).expect("upstream");
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
        let system = System::new(Path::new(env!("CARGO_BIN_EXE_sedgepathd"))).expect("platform");
        let system = system.with_daemons(&records, &[("n1", "north-a"), ("s1", "south-a")]);
        let system = system.expect("daemons");
        let entries = [system.addresses[0].callers, system.addresses[1].callers];
        let pair = Self { upstreams, system, entries };
        pair.wait_until_joined();
        pair
    }

    /// Waits until each daemon serves and forwards to the other, and the upstreams of both failure
    /// domains run requests: traffic goes to either, also while the right to one has not begun.
    fn wait_until_joined(&self) {
        let before: Vec<_> = self.upstreams.iter().map(|upstream| upstream.runs().len()).collect();
        let joined = (0..1_200).any(|_| {
            thread::sleep(Duration::from_millis(50));
            let forwarded = (0..2).all(|from| {
                let tickets = self.mint(from, 1);
                let first = tickets.first();
                first.is_some_and(|ticket| self.ticket(1 - from, ticket, "join").status == 200)
            });
            let mut upstreams = self.upstreams.iter().zip(&before);
            forwarded && upstreams.all(|(upstream, runs)| upstream.runs().len() > *runs)
        });
        assert!(joined, "the daemons do not serve");
    }

    fn post(&self, entry: usize, fields: &[(&'static str, &str)], body: &str) -> Told {
        let url = format!("http://{}/v1/call/deposit/echo", self.entries[entry]);
        let request = attohttpc::post(url).header("sedgepath-timeout-ms", 3_000);
        let request =
            fields.iter().fold(request, |request, (name, value)| request.header(*name, *value));
        let response = request.text(body).send().expect("an answer");
        let outcome = response.headers().get("sedgepath-outcome").expect("an outcome");
        Told {
            status: response.status().as_u16(),
            outcome: outcome.to_str().expect("text").into(),
            body: response.text().expect("a body"),
        }
    }

    fn key(&self, entry: usize, key: &str, body: &str) -> Told {
        self.post(entry, &[("idempotency-key", key), ("sedgepath-key", "porch-key")], body)
    }

    /// Repeats a request until its end is known: the row of a key that has just ended says so only
    /// some milliseconds after the answer.
    fn repeat(&self, entry: usize, key: &str, body: &str) -> Told {
        let mut repeats = (0..40).map(|_| {
            thread::sleep(Duration::from_millis(100));
            self.key(entry, key, body)
        });
        repeats.find(|told| told.outcome != "unknown").expect("a known end")
    }

    fn ticket(&self, entry: usize, ticket: &str, body: &str) -> Told {
        self.post(entry, &[("sedgepath-ticket", ticket)], body)
    }

    fn mint(&self, entry: usize, count: usize) -> Vec<String> {
        let entry = self.entries[entry];
        let url = format!("http://{entry}/v1/tickets?service=deposit&count={count}");
        let response = attohttpc::post(url).send().expect("tickets");
        assert_eq!(response.headers().get("cache-control").expect("a word on caches"), "no-store");
        let body: Value = response.json().expect("JSON");
        let texts = body["tickets"].as_array().into_iter().flatten();
        texts.filter_map(|text| Some(text.as_str()?.into())).collect()
    }

    /// The runs under a key or ticket at both upstreams.
    fn runs(&self, key: &str) -> u32 {
        let runs = self.upstreams.iter().map(UpstreamStandIn::runs_by_key);
        runs.filter_map(|runs| runs.get(key).copied()).sum()
    }
}

fn answered(body: &str) -> Told {
    Told { status: 200, outcome: "answered".into(), body: body.into() }
}

/// A caller sends a deposit through one daemon and repeats it through the other, and once more with
/// another amount. It gets the first answer again, from the table, and a refusal; the upstreams ran
/// one deposit. Another organisation's equal key is a key of its own.
#[test]
fn a_repeated_key_gets_the_stored_answer() {
    let pair = Pair::new();
    for (number, entry) in [0, 1, 0, 1].into_iter().enumerate() {
        let key = format!("deposit-{number}");
        assert_eq!(pair.key(entry, &key, "100"), answered("100"));
        for _ in 0..3 {
            assert_eq!(pair.repeat(1 - entry, &key, "100"), answered("100"));
        }
        assert_eq!(pair.key(1 - entry, &key, "200").status, 422);
        assert_eq!(pair.runs(&key), 1);
    }
    let fields = [("idempotency-key", "deposit-0"), ("sedgepath-key", "clue")];
    assert_eq!(pair.post(0, &fields, "300"), answered("300"));
}

/// Answers to the platform's writes are lost, or the writes land only after all is over. While a
/// deposit runs, it is repeated through the other daemon. The first one has made sure of its claim by
/// then, so the repeat does not run, and what lands late changes nothing.
#[test]
fn lost_and_late_writes_run_nothing_twice() {
    let pair = Pair::new();
    let store = &pair.system.store;
    for upstream in &pair.upstreams {
        upstream.set_behaviour(Behaviour::DelayAnswer { delay_ms: 600 });
    }
    let keys: Vec<String> = (0..6).map(|number| format!("late-{number}")).collect();
    for (number, key) in keys.iter().enumerate() {
        if number % 2 == 0 {
            store.drop_next_answers(1);
        } else {
            store.hold_next_writes(1);
        }
        thread::scope(|scope| {
            scope.spawn(|| pair.key(number % 2, key, "100"));
            thread::sleep(Duration::from_millis(250));
            pair.key(1 - number % 2, key, "100");
        });
        assert_eq!(pair.repeat(1 - number % 2, key, "100"), answered("100"));
    }
    assert!(!store.apply_held_writes().is_empty());
    for (number, key) in keys.iter().enumerate() {
        assert_eq!(pair.repeat(number % 2, key, "100"), answered("100"));
        assert_eq!(pair.runs(key), 1);
    }
}

/// A ticket is used at the daemon that did not mint it: that one forwards the request home. Repeats
/// through both get the answer again; a forged ticket, and a ticket beside a key, are refused.
#[test]
fn a_ticket_is_forwarded_to_its_home() {
    let pair = Pair::new();
    for ticket in pair.mint(0, 5) {
        assert_eq!(pair.ticket(1, &ticket, "100"), answered("100"));
        assert_eq!(pair.ticket(0, &ticket, "100"), answered("100"));
        assert_eq!(pair.ticket(1, &ticket, "100"), answered("100"));
        assert_eq!(pair.ticket(1, &ticket, "200").status, 422);
        assert_eq!(pair.runs(&ticket), 1);
        let forged = ticket.replacen('.', ".1", 1);
        assert_eq!(pair.ticket(1, &forged, "100").status, 400);
        let both = [("sedgepath-ticket", &*ticket), ("idempotency-key", "a key")];
        assert_eq!(pair.post(0, &both, "100").status, 400);
    }
}

/// The platform goes down. A first request with a key hears at once that it was not run, a repeat
/// that its end is unknown; tickets go on being minted, forwarded and run.
#[test]
fn tickets_are_served_while_the_platform_is_down() {
    let pair = Pair::new();
    assert_eq!(pair.key(0, "before", "100"), answered("100"));
    pair.system.store.set_mode(StoreMode::Refusing);
    let first = [("idempotency-key", "first"), ("sedgepath-attempt", "1")];
    let repeat = [("idempotency-key", "before"), ("sedgepath-attempt", "2")];
    let told = pair.post(0, &first, "100");
    assert_eq!((told.status, &*told.outcome), (503, "not_run"), "{told:?}");
    let told = pair.post(1, &repeat, "100");
    assert_eq!((told.status, &*told.outcome), (504, "unknown"), "{told:?}");
    assert_eq!((pair.runs("first"), pair.runs("before")), (0, 1));
    for ticket in pair.mint(0, 10).iter().chain(&pair.mint(1, 10)) {
        assert_eq!(pair.ticket(0, ticket, "100"), answered("100"));
        assert_eq!(pair.ticket(1, ticket, "100"), answered("100"));
        assert_eq!(pair.runs(ticket), 1);
    }
}

/// The home of used and unused tickets is killed and started again. What became of them is unknown
/// everywhere, also at the new process, and none runs a second time.
#[test]
fn a_killed_home_leaves_its_tickets_unknown() {
    let mut pair = Pair::new();
    let tickets = pair.mint(0, 6);
    for ticket in &tickets[..3] {
        assert_eq!(pair.ticket(0, ticket, "100"), answered("100"));
    }
    pair.system.daemons[0].as_mut().expect("a daemon").signal(Signal::Kill).expect("a signal");
    for ticket in &tickets {
        assert_eq!(pair.ticket(1, ticket, "100").outcome, "unknown");
    }
    pair.system.start_daemon(0).expect("a daemon");
    pair.wait_until_joined();
    for (number, ticket) in tickets.iter().enumerate() {
        for entry in [0, 1] {
            assert_eq!(pair.ticket(entry, ticket, "100").outcome, "unknown");
        }
        assert_eq!(pair.runs(ticket), u32::from(number < 3));
    }
}

/// The home of used and unused tickets stops as planned. The other daemon goes on to give the
/// answers of the used ones, and says of the others that they were not run.
#[test]
fn a_planned_stop_leaves_nothing_unknown() {
    let mut pair = Pair::new();
    let tickets = pair.mint(0, 6);
    for ticket in &tickets[..3] {
        assert_eq!(pair.ticket(0, ticket, "100"), answered("100"));
    }
    let daemon = pair.system.daemons[0].as_mut().expect("a daemon");
    daemon.signal(Signal::Term).expect("a signal");
    let ended = daemon.wait_until(Instant::now() + Duration::from_mins(1)).expect("a wait");
    assert!(ended.is_some_and(|status| status.success()), "{ended:?}");
    for (number, ticket) in tickets.iter().enumerate() {
        let told = pair.ticket(1, ticket, "100");
        let expected = if number < 3 { "answered" } else { "not_run" };
        assert_eq!(told.outcome, expected, "{told:?}");
        assert_eq!(pair.runs(ticket), u32::from(number < 3));
    }
}

/// A caller gives up on its connection while its deposit runs, and repeats it elsewhere. The first
/// daemon has gone on to learn the answer, so the repeat gets it.
#[test]
fn a_caller_that_goes_away_finds_its_answer() {
    let pair = Pair::new();
    for upstream in &pair.upstreams {
        upstream.set_behaviour(Behaviour::DelayAnswer { delay_ms: 600 });
    }
    let url = format!("http://{}/v1/call/deposit/echo", pair.entries[0]);
    let request = attohttpc::post(url).header("idempotency-key", "gone");
    let request = request.header("sedgepath-key", "porch-key").text("100");
    let gone = request.timeout(Duration::from_millis(200)).send();
    assert!(gone.is_err(), "{gone:?}");
    assert_eq!(pair.repeat(1, "gone", "100"), answered("100"));
    assert_eq!(pair.runs("gone"), 1);
}
