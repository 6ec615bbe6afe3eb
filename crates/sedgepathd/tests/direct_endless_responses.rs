//! Tests of daemons whose upstreams send bytes without end, against stand-ins of the users' platform.

mod platform;

use std::thread;
use std::time::{Duration, Instant};

use platform::upstream::{Behaviour, EndlessPart, UpstreamStandIn};
use platform::{TestCluster, Vm, caller, configure, wait_for};
use sedgepath_test_support::store::StoreStandIn;

/// The time within which a request that fails at one upstream is answered: far less than its deadline of 3 s.
const PROMPT: Duration = Duration::from_secs(1);

/// The time after a deadline within which a VM has given up everything that belongs to the request.
const AFTER_DEADLINE: Duration = Duration::from_millis(500);

/// The requests that are sent before an upstream sends without end.
const EARLIER_REQUESTS: usize = 60;

/// The requests that are sent at once.
const CONCURRENT_REQUESTS: usize = 60;

/// The consecutive responses that aren't whole after which an upstream is left out.
const MAX_BROKEN_BODIES: usize = 4;

/// The memory that these may add to a daemon's, in bytes.
const MAX_ADDED_BYTES: u64 = 12 * 1024 * 1024;

/// A VM with one upstream that sends without end, and perhaps a sound one.
struct Site {
    endless: UpstreamStandIn,
    vm: Vm,
    _cluster: TestCluster,
    _store: StoreStandIn,
}

impl Site {
    fn new(part: EndlessPart, has_sound_upstream: bool) -> Self {
        let store = StoreStandIn::new().expect("a store");
        configure(&store, "0000000c", "3000ms");
        let endless = UpstreamStandIn::new("u1");
        endless.register(&store, "north-a", "ready", 1);
        if has_sound_upstream {
            UpstreamStandIn::new("u2").register(&store, "north-a", "ready", 1);
        }
        let cluster = TestCluster::new(store.address);
        let vm = cluster.start_ready(1, "north-a");
        wait_for("knowing the upstreams", || {
            let known = format!(
                "sedgepath_upstreams{{state=\"known\"}} {}",
                1 + u8::from(has_sound_upstream)
            );
            caller::get(vm.metrics_address, "/metrics")
                .is_some_and(|page| page.text().contains(&known))
        });
        // They earn the VM's retries.
        for number in 0..EARLIER_REQUESTS {
            caller::request(vm.caller_address, "GET", "/reads/1", &format!("e{number}"));
        }
        endless.set_behaviour(Behaviour::Endless(part));
        Self { endless, vm, _cluster: cluster, _store: store }
    }

    /// Sends requests until one has reached the endless upstream, and returns the status of that one and how
    /// long it took.
    fn request(&self, method: &str, path: &str) -> (u16, Duration) {
        for number in 0..100 {
            let received = self.endless.received().len();
            let since = Instant::now();
            let cookie = format!("Cookie: X-Sedgepath-Affinity-Key={number}\r\n");
            let response =
                caller::Connection::new(self.vm.caller_address).and_then(|mut connection| {
                    connection.request_with(method, path, &format!("r{number}"), &cookie)
                });
            if self.endless.received().len() > received {
                return (response.map_or(0, |response| response.status), since.elapsed());
            }
        }
        panic!("no request reached the upstream");
    }

    fn wait_until_closed(&self) -> Duration {
        let since = Instant::now();
        wait_for("the end of the connections", || self.endless.open_endless_responses() == 0);
        since.elapsed()
    }
}

/// Guards against callers that wait for a head without end until their deadline.
#[test]
fn a_head_without_end_is_given_up_at_once() {
    for part in [EndlessPart::Head, EndlessPart::InformationalResponses] {
        // One that isn't idempotent may have run.
        for (method, path, expected) in [("GET", "/reads/1", 200), ("POST", "/charges/1", 502)] {
            let site = Site::new(part, true);
            let (status, took) = site.request(method, path);
            assert!(status == expected && took < PROMPT, "{part:?}, {method}: {status}, {took:?}");
            let took = site.wait_until_closed();
            assert!(took < PROMPT, "{part:?}, {method}: a connection was open for {took:?}");
        }
    }
}

/// Guards against callers whose request waits for the rest of a rejection without end, though its head says that
/// the request has not run.
#[test]
fn a_rejection_without_end_is_sent_to_another_upstream_at_once() {
    let site = Site::new(EndlessPart::RejectionBody, true);
    let (status, took) = site.request("POST", "/charges/1");
    assert!(status == 200 && took < PROMPT, "{status} after {took:?}");
    let took = site.wait_until_closed();
    assert!(took < PROMPT, "a connection was open for {took:?}");
}

/// Guards against responses that are passed on for as long as the caller reads, far beyond the deadline.
#[test]
fn a_body_without_end_is_cut_at_the_deadline() {
    let site = Site::new(EndlessPart::Body, false);
    let since = Instant::now();
    let response =
        caller::request(site.vm.caller_address, "GET", "/reads/1", "r1").expect("a head");
    let took = since.elapsed();
    assert_eq!(
        (response.status, response.body),
        (200, None),
        "a response without end looks complete"
    );
    assert!(took < Duration::from_secs(3) + AFTER_DEADLINE, "it took {took:?}");
    site.wait_until_closed();
}

/// Guards against an upstream that gets most requests because it responds soon, though no response is whole.
#[test]
fn an_upstream_whose_bodies_have_no_end_is_avoided() {
    let site = Site::new(EndlessPart::Body, true);
    site.request("GET", "/reads/1");
    site.wait_until_closed();
    let reached = || site.endless.received().len();
    let reached_before = reached();
    for number in 0..40 {
        let cookie = format!("Cookie: X-Sedgepath-Affinity-Key=o{number}\r\n");
        let connection = caller::Connection::new(site.vm.caller_address);
        let id = format!("a{number}");
        connection
            .and_then(|mut connection| connection.request_with("GET", "/reads/1", &id, &cookie));
    }
    let more = reached() - reached_before;
    assert!(more <= MAX_BROKEN_BODIES, "{more} of 40 more requests were sent there");
}

/// Guards against a daemon whose memory grows with what upstreams send.
#[test]
fn bytes_without_end_take_little_memory() {
    for part in [EndlessPart::Head, EndlessPart::InformationalResponses] {
        let site = Site::new(part, false);
        let before = site.vm.peak_memory_bytes();
        let callers: Vec<_> = (0..CONCURRENT_REQUESTS)
            .map(|number| {
                let address = site.vm.caller_address;
                thread::spawn(move || {
                    caller::request(address, "GET", "/reads/1", &format!("c{number}"))
                })
            })
            .collect();
        for caller in callers {
            caller.join().expect("a caller");
        }
        let added = site.vm.peak_memory_bytes() - before;
        assert!(added < MAX_ADDED_BYTES, "{part:?}: {added} bytes more");
    }
}
