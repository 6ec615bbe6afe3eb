//! Real daemons that send to upstreams themselves, against stand-ins of the users' platform.

mod platform;

use std::time::{Duration, Instant};

use platform::caller::{self, Connection};
use platform::slow_peer::SlowPeer;
use platform::upstream::{Behaviour, UpstreamStandIn};
use platform::{Site, Vm, configure, wait_for};
use sedgepath::cli::{self, Environment};
use sedgepath_test_support::store::{StoreMode, StoreStandIn};

const READS: &str = "/reads/1?q=2";
const CHARGES: &str = "/charges/1";

/// A store with a configuration, some upstreams in it, and a VM that serves them.
struct Served {
    store: StoreStandIn,
    upstreams: Vec<UpstreamStandIn>,
    site: Site,
    vm: Vm,
}

impl Served {
    fn new(upstreams: usize) -> Self {
        let store = StoreStandIn::new().expect("a store");
        configure(&store, "0000000c", "3000ms");
        let upstreams: Vec<_> =
            (0..upstreams).map(|number| UpstreamStandIn::new(&format!("u{number}"))).collect();
        for upstream in &upstreams {
            upstream.register(&store, "north-a", "ready", 1);
        }
        let site = Site::new(store.address);
        let vm = site.start_ready(1, "north-a");
        Self { store, upstreams, site, vm }
    }

    fn all_behave(&self, behaviour: Behaviour) {
        for upstream in &self.upstreams {
            upstream.behave(behaviour);
        }
    }

    fn runs(&self) -> usize {
        self.upstreams.iter().map(|upstream| upstream.runs().len()).sum()
    }
}

/// A request goes from a caller to an upstream and its answer back, as both sent them; the fields that
/// the platform asks for are added.
#[test]
fn a_request_reaches_its_upstream_and_comes_back() {
    let served = Served::new(1);
    let mut connection = Connection::new(served.vm.callers).expect("a connection");

    for number in 0..3 {
        let answer = connection.ask("GET", READS, &format!("a{number}")).expect("an answer");
        assert_eq!((answer.status, answer.text()), (200, format!("a{number} at u0")));
        assert_eq!(answer.fields["x-sedgepath-response-signature"], format!("s.a{number}"));
    }

    let runs = served.upstreams[0].runs();
    assert_eq!(runs.len(), 3);
    assert_eq!(runs[0].line, format!("GET {READS} HTTP/1.1"));
    assert_eq!(runs[0].fields["x-sedgepath-expected-instance"], "u0");
    let left_ms: u64 = runs[0].fields["x-sedgepath-deadline-ms"].parse().expect("a number");
    assert!((1..=3_000).contains(&left_ms), "{left_ms}");
    assert_eq!(served.upstreams[0].connections(), 1, "the connection was not kept");
}

/// Bodies reach the upstream unchanged, with a length, in chunks, and larger than what is held.
#[test]
fn bodies_reach_the_upstream_unchanged() {
    let served = Served::new(1);
    let large = vec![b'x'; 700_000];
    for (number, body) in [b"pay 10".to_vec(), large].into_iter().enumerate() {
        let mut connection = Connection::new(served.vm.callers).expect("a connection");
        let head = format!(
            "POST {CHARGES} HTTP/1.1\r\nHost: shop.example\r\nX-Sedgepath-Attempt-Id: l{number}\r\n\
             Content-Length: {}\r\n\r\n",
            body.len()
        );
        connection.write(head.as_bytes()).expect("written");
        connection.write(&body).expect("written");
        assert_eq!(connection.receive().expect("an answer").status, 200);
        assert_eq!(served.upstreams[0].runs().last().expect("a run").body, body);
    }
    let mut connection = Connection::new(served.vm.callers).expect("a connection");
    let chunked = format!(
        "POST {CHARGES} HTTP/1.1\r\nHost: shop.example\r\nX-Sedgepath-Attempt-Id: c\r\n\
         Transfer-Encoding: chunked\r\n\r\n4\r\npay \r\n2\r\n10\r\n0\r\n\r\n"
    );
    connection.write(chunked.as_bytes()).expect("written");
    assert_eq!(connection.receive().expect("an answer").status, 200);
    assert_eq!(served.upstreams[0].runs().last().expect("a run").body, b"pay 10");
}

/// A charge is run and its answer is lost. It must not run again, at this upstream or another, and the
/// caller must not be told that it was not run.
#[test]
fn a_charge_whose_answer_is_lost_runs_once() {
    for behaviour in [Behaviour::Break, Behaviour::Truncate] {
        let served = Served::new(2);
        served.all_behave(behaviour);
        let answer = caller::ask(served.vm.callers, "POST", CHARGES, "a1").expect("an answer");
        assert_eq!((answer.status, served.runs()), (502, 1), "{behaviour:?}");
    }
}

/// An upstream breaks off in the middle of an answer. The caller of an idempotent request gets the
/// whole answer of another upstream, never a part that looks whole.
#[test]
fn a_truncated_answer_is_replaced_by_a_whole_one() {
    let served = Served::new(2);
    let home = home(&served);
    served.upstreams[home].behave(Behaviour::Truncate);

    let answer = caller::ask(served.vm.callers, "GET", READS, "a1").expect("an answer");

    assert_eq!((answer.status, answer.text()), (200, format!("a1 at u{}", 1 - home)));
}

/// Guards against repeats whose cause, or whose use, on call can't see.
#[test]
fn repeats_are_counted_by_cause_and_outcome() {
    let served = Served::new(2);
    let home = home(&served);
    served.upstreams[home].behave(Behaviour::Truncate);
    caller::ask(served.vm.callers, "GET", READS, "a1").expect("an answer");

    let text = attohttpc::get(format!("http://{}/metrics", served.vm.metrics))
        .send()
        .and_then(attohttpc::Response::text)
        .expect("the metrics");

    for (labels, count) in [
        (r#"cause="failed",outcome="answered""#, 1),
        (r#"cause="first",outcome="failed""#, 1),
        (r#"cause="first",outcome="answered""#, 12),
    ] {
        let line = format!("sedgepath_sendings_total{{{labels}}} {count}\n");
        assert!(text.contains(&line), "{line}: {text}");
    }
}

/// Returns which upstream has the object of all requests; finding out takes some requests, which pay for
/// the repeat of a later one.
fn home(served: &Served) -> usize {
    let ask = |number: u8| {
        let answer = caller::ask(served.vm.callers, "GET", READS, &format!("h{number}"));
        usize::from(answer.expect("an answer").text().ends_with("u1"))
    };
    let homes: Vec<usize> = (0..12).map(ask).collect();
    homes[homes.len() - 1]
}

/// An upstream answers a request twice. The second answer waits on the kept connection, where the next
/// request's answer is expected; it must not be given to the next caller.
#[test]
fn an_extra_answer_reaches_no_other_request() {
    let served = Served::new(1);
    served.upstreams[0].behave(Behaviour::AnswerTwice);
    let mut connection = Connection::new(served.vm.callers).expect("a connection");
    for number in 0..12 {
        let attempt = format!("a{number}");
        let answer = connection.ask("POST", CHARGES, &attempt).expect("an answer");
        if answer.status == 200 {
            assert_eq!(answer.text(), format!("{attempt} at u0"));
        }
    }
}

/// An answer without a length ends with its connection; the caller gets it whole.
#[test]
fn an_answer_without_a_length_is_whole() {
    let served = Served::new(1);
    served.upstreams[0].behave(Behaviour::Unframed);
    let answer = caller::ask(served.vm.callers, "GET", READS, "a1").expect("an answer");
    assert_eq!((answer.status, answer.text()), (200, "a1 at u0".into()));
}

/// All upstreams are full and say that they did not run the charge: the caller is told so at once,
/// with the time to come back, and nothing has run.
#[test]
fn a_refusal_is_true_and_says_when_to_come_back() {
    let served = Served::new(2);
    served.all_behave(Behaviour::Refuse);
    let answer = caller::ask(served.vm.callers, "POST", CHARGES, "a1").expect("an answer");
    assert_eq!((answer.status, served.runs()), (503, 0));
    let seconds: f64 = answer.fields["retry-after"].parse().expect("a number");
    assert!(seconds > 0.0 && seconds < 3.0, "{seconds}");
}

/// An upstream is gone and another has its address. It must not run the request; one that is named
/// gets it.
#[test]
fn a_reused_address_runs_nothing_of_the_former_upstream() {
    let served = Served::new(2);
    let home = home(&served);
    served.upstreams[home].rename("stranger");
    let before = served.upstreams[home].runs().len();

    let answer = caller::ask(served.vm.callers, "POST", CHARGES, "a1").expect("an answer");

    assert_eq!((answer.status, answer.text()), (200, format!("a1 at u{}", 1 - home)));
    assert_eq!(served.upstreams[home].runs().len(), before);
}

/// A caller leaves while its request runs: the upstream sees its connection end, so that it can stop.
#[test]
fn a_caller_that_leaves_cancels_its_request() {
    let served = Served::new(1);
    served.upstreams[0].behave(Behaviour::Silent);
    let mut connection = Connection::new(served.vm.callers).expect("a connection");
    connection.send("GET", READS, "a1", 30_000).expect("sent");
    wait_for("the request", || served.upstreams[0].received().len() == 1);
    drop(connection);
    wait_for("the cancellation", || served.upstreams[0].broken_off() == 1);
}

/// An upstream never answers. The caller is told at the route's timeout, not at its own later
/// deadline, and not that the charge was not run.
#[test]
fn a_request_is_given_up_at_the_routes_timeout() {
    let served = Served::new(1);
    configure(&served.store, "0000000d", "300ms");
    served.upstreams[0].behave(Behaviour::Silent);
    wait_for("the new timeout", || {
        let begun = Instant::now();
        let answer = caller::ask(served.vm.callers, "POST", CHARGES, "a1");
        answer.is_some_and(|answer| answer.status == 504) && begun.elapsed().as_millis() < 2_000
    });
}

/// An upstream says that it leaves, another's entry is removed. Neither gets a new request.
#[test]
fn leaving_upstreams_get_nothing_new() {
    let served = Served::new(3);
    served.upstreams[0].register(&served.store, "north-a", "draining", 2);
    served.store.remove("servers", "u1");
    std::thread::sleep(Duration::from_millis(2_500));
    let before: Vec<_> = served.upstreams.iter().map(|up| up.received().len()).collect();

    for number in 0..20 {
        caller::ask(served.vm.callers, "GET", READS, &format!("a{number}")).expect("an answer");
    }

    let after: Vec<_> = served.upstreams.iter().map(|up| up.received().len()).collect();
    assert_eq!((after[0], after[1], after[2]), (before[0], before[1], before[2] + 20));
}

/// Entries that can't be read name no upstream and disturb nothing else; neither does a configuration
/// that can't be read.
#[test]
fn entries_that_cannot_be_read_disturb_nothing() {
    let served = Served::new(1);
    let odd: [&[u8]; 5] = [
        b"\xff\xfe",
        b"{}",
        br#"{"address":"127.0.0.1:1","info":{"service":"shop","zone":"north-a","slots":"3"},"status":{"state":"ready","sequence":1,"coldRemaining":"0ms"}}"#,
        br#"{"address":"127.0.0.1:1","info":{"service":"shop","zone":"north-a","slots":3},"status":{"state":"resting","sequence":1,"coldRemaining":"0ms"}}"#,
        br#"{"address":"127.0.0.1:1","info":{"service":"shop","zone":"north-a","slots":3},"status":{"state":"ready","sequence":1,"coldRemaining":"0ms"},"born":"x"}"#,
    ];
    for (number, value) in odd.iter().enumerate() {
        served.store.put("servers", &format!("odd{number}"), value);
    }
    served.store.put("op", "config", b"{\"version\":\"0000000f\"}");
    std::thread::sleep(Duration::from_secs(1));
    for number in 0..10 {
        let answer = caller::ask(served.vm.callers, "GET", READS, &format!("a{number}"));
        assert_eq!(answer.expect("an answer").text(), format!("a{number} at u0"));
    }
}

/// The VM is asked to stop while a request runs. The request gets its whole answer, the VM says that
/// it takes no more, and it ends by itself within the grace; the last line of its log says so.
#[test]
fn a_planned_stop_cuts_nothing() {
    let mut served = Served::new(1);
    served.upstreams[0].behave(Behaviour::Slow(2_000));
    let mut connection = Connection::new(served.vm.callers).expect("a connection");
    connection.send("POST", CHARGES, "a1", 4_000).expect("sent");
    wait_for("the request", || served.upstreams[0].received().len() == 1);

    served.vm.terminate();
    wait_for("an end of readiness", || !served.vm.is_ready());

    let answer = connection.receive().expect("an answer");
    assert_eq!((answer.status, answer.text()), (200, "a1 at u0".into()));
    assert_eq!(answer.fields.get("connection").map(String::as_str), Some("close"));
    let begun = Instant::now();
    wait_for("the end", || served.vm.ended().is_some());
    assert!(begun.elapsed() < Duration::from_secs(6));
    assert!(served.vm.ended().is_some_and(|status| status.success()));
    let log = served.site.log(1);
    let last = log.lines().last().expect("a line");
    assert!(last.ends_with("event=stopped requests=0"), "{last}");
}

/// The settings are read anew on a signal while a request runs: nothing is cut.
#[test]
fn a_reload_cuts_nothing() {
    let served = Served::new(1);
    served.upstreams[0].behave(Behaviour::Slow(500));
    let mut connection = Connection::new(served.vm.callers).expect("a connection");
    connection.send("GET", READS, "a1", 4_000).expect("sent");
    wait_for("the request", || served.upstreams[0].received().len() == 1);
    served.vm.signal("-HUP");
    assert_eq!(connection.receive().expect("an answer").status, 200);
    assert_eq!(connection.ask("GET", READS, "a2").expect("an answer").status, 200);
}

/// The store is silent, and a VM is killed and starts again. It gets configuration and upstreams from
/// another VM and serves, though it has none of its own to go by.
#[test]
fn a_vm_that_starts_without_the_store_learns_from_another() {
    let served = Served::new(1);
    let second = served.site.start_ready(2, "north-a");
    served.store.set_mode(StoreMode::Unresponsive);
    second.kill();

    let second = served.site.start(2, "north-a");

    wait_for("readiness without the store", || second.is_ready());
    let answer = caller::ask(second.callers, "GET", READS, "a1").expect("an answer");
    assert_eq!(answer.status, 200);
}

/// An engineer on call asks two VMs for their state, and one that is not there. Each tells its
/// configuration, its service's upstreams by state and the other VM; the lost one is an error that
/// names the address.
#[test]
fn the_command_line_shows_the_state_of_vms() {
    let served = Served::new(2);
    let second = served.site.start_ready(2, "north-b");
    served.upstreams[1].register(&served.store, "north-a", "draining", 2);
    let status = |addresses: &[String]| {
        let mut arguments = vec!["status".to_owned()];
        arguments.extend(addresses.iter().flat_map(|at| ["--metrics".to_owned(), at.clone()]));
        let mut out = Vec::new();
        cli::execute(&arguments, &Environment::default(), &mut out)
            .map(|()| String::from_utf8(out).expect("text"))
    };
    let both = [served.vm.metrics.to_string(), second.metrics.to_string()];
    let expected = [
        "vm1 in north-a serves by configuration 12\n",
        "vm2 in north-b serves by configuration 12\n",
        "2 upstreams (1 leaving, 0 cold, 0 left out), load 0 of 8 slots",
        "1 other VMs heard; limits are split among 2:",
    ];
    wait_for("the state of both", || {
        let shown = status(&both).expect("the state");
        expected.iter().all(|line| shown.contains(line))
    });
    let lost = second.metrics.to_string();
    second.kill();
    let error = status(std::slice::from_ref(&lost)).expect_err("no state");
    assert!(error.to_string().contains(&lost), "{error}");
}

/// A VM starts without the store; the only other VM hands its rows on over a slow link, in pieces over
/// more than a second. They are taken as they come. Given up on and begun anew they would never be
/// whole, and asked for again and again they would only make the link slower.
#[test]
fn rows_that_come_slowly_are_taken() {
    let store = StoreStandIn::new().expect("a store");
    configure(&store, "0000000c", "3000ms");
    UpstreamStandIn::new("u0").register(&store, "north-a", "ready", 1);
    let site = Site::new(store.address);
    let peer = SlowPeer::new(site.peer_address(1), &store);
    store.set_mode(StoreMode::Unresponsive);

    let vm = site.start(2, "north-a");

    wait_for("readiness by slow rows", || {
        peer.tell(site.peer_address(2));
        vm.is_ready()
    });
    assert!(peer.asked() <= 6, "asked {} times for two tables", peer.asked());
}

/// The store's history is gone, and an upstream left in the gap: its removal is in no feed. The VM
/// reads all rows anew and finds it missing.
#[test]
fn a_forgotten_history_hides_no_removal() {
    let served = Served::new(2);
    served.store.set_mode(StoreMode::Refusing);
    std::thread::sleep(Duration::from_millis(300));
    served.store.remove("servers", "u0");
    served.store.drop_history();
    served.store.set_mode(StoreMode::Normal);

    wait_for("the removal", || {
        let before = served.upstreams[0].received().len();
        for number in 0..10 {
            caller::ask(served.vm.callers, "GET", READS, &format!("a{number}"));
        }
        served.upstreams[0].received().len() == before
            && served.upstreams[1].received().len() > before
    });
}

/// Callers look up where to go: VMs that serve, and none that has been killed.
#[test]
fn a_killed_vm_is_no_longer_named() {
    let served = Served::new(1);
    let second = served.site.start_ready(2, "north-a");
    let look_up = || {
        let path = "/-/resolve?name=shop.example&region=north&zone=north-a";
        caller::get(served.vm.look_ups, path).map_or_else(String::new, |answer| answer.text())
    };
    let address = second.callers.to_string();
    wait_for("a look-up that names both", || look_up().contains(&address));
    second.kill();
    wait_for("a look-up without the killed one", || {
        let named = look_up();
        !named.contains(&address) && named.contains(&served.vm.callers.to_string())
    });
}

/// All VMs start again, and callers come at once. The store's answer is on its way: a request that
/// arrives before it is served when it comes, in place of being refused and coming back later.
#[test]
fn a_request_waits_for_a_vm_that_is_starting() {
    let served = Served::new(1);
    served.store.set_mode(StoreMode::DelayedByMs(150));
    let starting = served.site.start(9, "south-a");
    let mut connection = None;
    wait_for("a listener", || {
        connection = Connection::new(starting.callers);
        connection.is_some()
    });
    let answer = connection.and_then(|mut connection| connection.ask("GET", READS, "a1"));
    assert_eq!(answer.expect("an answer").status, 200);
}
