//! Tests of daemons whose callers have client accounts, against stand-ins of the users' platform.

mod platform;

use std::time::{Duration, Instant};

use platform::caller::{Connection, Response};
use platform::upstream::{Behaviour, UpstreamStandIn};
use platform::{TestCluster, Vm, configuration_with_accounts, wait_for};
use sedgepath_test_support::store::StoreStandIn;
use serde_json::{Value, json};

/// A store with accounts, an upstream, and VMs that serve them.
struct Fixture {
    store: StoreStandIn,
    upstream: UpstreamStandIn,
    site: TestCluster,
    vms: Vec<Vm>,
}

fn account(name: &str, keys: &[&str], rate_per_s: f64) -> Value {
    json!({
        "name": name, "apiKeys": keys, "priority": 1, "ratePerS": rate_per_s, "burst": rate_per_s,
        "homeRegions": [],
    })
}

impl Fixture {
    fn new(accounts: &Value, domains: &[&str]) -> Self {
        let store = StoreStandIn::new().expect("a store");
        store.put("op", "config", configuration_with_accounts(1, accounts).as_bytes());
        let upstream = UpstreamStandIn::new("u0");
        upstream.register(&store, "north-a", "ready", 1);
        let site = TestCluster::new(store.address);
        let numbered = (1..).zip(domains);
        let vms: Vec<Vm> = numbered.map(|(number, domain)| site.start(number, domain)).collect();
        for vm in &vms {
            wait_for("readiness", || vm.is_ready());
        }
        Self { store, upstream, site, vms }
    }

    fn configure(&self, version: u64, accounts: &Value) {
        self.store.put("op", "config", configuration_with_accounts(version, accounts).as_bytes());
    }

    fn request(&self, path: &str, attempt_id: &str, lines: &str) -> Response {
        let mut connection = Connection::new(self.vms[0].caller_address).expect("a connection");
        connection.request_with("GET", path, attempt_id, lines).expect("a response")
    }
}

fn key(key: &str) -> String {
    format!("X-Sedgepath-Key: {key}\r\n")
}

/// Guards against keys that reach an upstream or a log, and against requests that an upstream takes for
/// another account's.
#[test]
fn an_upstream_gets_the_name_of_the_account_and_no_key() {
    let accounts =
        json!([account("one", &["key-1", "key-2"], 0.0), account("two", &["key-3"], 0.0)]);
    let fixture = Fixture::new(&accounts, &["north-a"]);
    let forged = "X-Sedgepath-Tenant: two\r\n";
    let requests = [
        ("/reads/1", key("key-1"), Some("one")),
        ("/reads/1", key("key-2"), Some("one")),
        ("/reads/1", format!("{forged}{}", key("key-3")), Some("two")),
        ("/reads/1", format!("{}{forged}", key("key-1")), Some("one")),
        ("/open/1", forged.into(), None),
        ("/open/1", key("nobody"), None),
        ("/open/1", key("key-1"), Some("one")),
    ];
    for (number, (path, lines, name)) in requests.iter().enumerate() {
        let response = fixture.request(path, &format!("a{number}"), lines);
        assert_eq!(response.status, 200, "{lines:?}");
        let run = fixture.upstream.runs().pop().expect("a run");
        assert_eq!(run.headers.get("x-sedgepath-tenant").map(String::as_str), *name, "{lines:?}");
        assert!(!run.headers.contains_key("x-sedgepath-key"), "{lines:?}");
    }
    let log = fixture.site.log(1);
    assert!(log.contains("account=one") && !log.contains("key-1"), "{log}");
}

/// Guards against requests without the key of an account that are run, or rejected as if the route
/// were missing.
#[test]
fn requests_without_the_key_of_an_account_are_rejected() {
    let accounts = json!([account("one", &["key-1"], 0.0)]);
    let fixture = Fixture::new(&accounts, &["north-a"]);
    let long = "k".repeat(5_000);
    let rejected = [
        String::new(),
        key(""),
        key("key"),
        key("key-1,key-1"),
        key(&long),
        format!("{}{}", key("key-1"), key("key-1")),
        "X-Sedgepath-Key: key-1\u{e9}\r\n".into(),
        "Authorization: key-1\r\n".into(),
    ];
    for (number, lines) in rejected.iter().enumerate() {
        let response = fixture.request("/reads/1", &format!("r{number}"), lines);
        assert_eq!(response.status, 401, "{lines:?}");
        assert_eq!(fixture.request("/none/1", &format!("n{number}"), lines).status, 404);
    }
    assert_eq!(fixture.upstream.received().len(), 0);
    assert_eq!(fixture.request("/reads/1", "a1", &key("key-1")).status, 200);
}

/// Guards against a damaged account that is served as another one, or takes the others down.
#[test]
fn a_damaged_account_leaves_the_others_alone() {
    let accounts = json!([
        account("one", &["key-1", "shared"], 0.0),
        account("two", &["key-2", "shared"], 0.0),
        account("three", &["key-3", "shared"], 0.0),
        account("negative", &["key-4"], -1.0),
        account("no\r\nname", &["key-5"], 0.0),
        account("twin", &["key-6"], 0.0),
        account("twin", &["key-7"], 0.0),
        {"name": "no keys"},
        7,
        {"name": "wrong", "apiKeys": "key-8"},
    ]);
    let fixture = Fixture::new(&accounts, &["north-a"]);
    for (name, status) in [("key-1", 200), ("key-2", 200), ("key-3", 200), ("shared", 401)] {
        assert_eq!(fixture.request("/reads/1", name, &key(name)).status, status, "{name}");
    }
    for number in 4..=8 {
        let name = format!("key-{number}");
        assert_eq!(fixture.request("/reads/1", &name, &key(&name)).status, 401, "{name}");
    }
    let log = fixture.site.log(1);
    assert!(log.matches("event=account_unreadable").count() >= 7, "{log}");
}

/// Guards against a key that works on a kept connection after it was taken away or moved.
#[test]
fn a_key_that_is_taken_away_works_no_more() {
    let accounts =
        json!([account("one", &["key-1", "key-2"], 0.0), account("two", &["key-3"], 0.0)]);
    let fixture = Fixture::new(&accounts, &["north-a", "south-a"]);
    let mut connections: Vec<_> = fixture
        .vms
        .iter()
        .map(|vm| Connection::new(vm.caller_address).expect("a connection"))
        .collect();
    let ask = |connection: &mut Connection, lines: &str| {
        connection.request_with("GET", "/reads/1", "k", lines).expect("a response").status
    };
    for connection in &mut connections {
        assert_eq!(ask(connection, &key("key-1")), 200);
    }
    let changed =
        json!([account("one", &["key-1"], 0.0), account("two", &["key-3", "key-2"], 0.0)]);
    fixture.configure(3, &changed);
    let changed =
        json!([account("one", &["key-4"], 0.0), account("two", &["key-3", "key-2"], 0.0)]);
    fixture.configure(4, &changed);
    for connection in &mut connections {
        wait_for("the new key", || ask(connection, &key("key-4")) == 200);
        assert_eq!(ask(connection, &key("key-1")), 401);
        assert_eq!(ask(connection, &key("key-2")), 200);
        let run = fixture.upstream.runs().pop().expect("a run");
        assert_eq!(run.headers["x-sedgepath-tenant"], "two");
    }
}

/// Guards against the requests of an account over its quota that run on several VMs, and against
/// rejections without the time to come back.
#[test]
fn a_quota_holds_over_several_vms() {
    const RATE_PER_S: f64 = 20.0;
    let accounts =
        json!([account("hot", &["key-1"], RATE_PER_S), account("calm", &["key-2"], RATE_PER_S)]);
    let fixture = Fixture::new(&accounts, &["north-a", "north-b", "south-a", "south-a"]);
    fixture.upstream.set_behaviour(Behaviour::Respond);
    std::thread::sleep(Duration::from_secs(2));
    let until = Instant::now() + Duration::from_secs(5);
    let send = |vm: &Vm, number: usize| {
        let mut connection = Connection::new(vm.caller_address).expect("a connection");
        let (mut rejected, mut calm) = (0_usize, (0_usize, 0_usize));
        let mut sent = 0;
        while Instant::now() < until {
            sent += 1;
            let id = format!("h{number}-{sent}");
            let response =
                connection.request_with("GET", "/reads/1", &id, &key("key-1")).expect("a response");
            if response.status != 200 {
                assert_eq!(response.status, 429);
                let seconds: f64 = response.headers["retry-after"].parse().expect("seconds");
                assert!((0.0..=2.0).contains(&seconds), "{seconds}");
                rejected += 1;
            }
            if sent % 20 == 0 {
                let id = format!("c{number}-{sent}");
                let response = connection.request_with("GET", "/reads/2", &id, &key("key-2"));
                calm.0 += 1;
                calm.1 += usize::from(response.expect("a response").status == 200);
            }
            std::thread::sleep(Duration::from_millis(15));
        }
        (rejected, calm)
    };
    let results: Vec<_> = std::thread::scope(|scope| {
        let threads: Vec<_> = fixture
            .vms
            .iter()
            .enumerate()
            .map(|(number, vm)| scope.spawn(move || send(vm, number)))
            .collect();
        threads.into_iter().map(|thread| thread.join().expect("no panic")).collect()
    });
    let metrics = platform::caller::get(fixture.vms[0].metrics_address, "/metrics");
    let counted = format!("sedgepath_account_refusals_total{{account=\"hot\"}} {}", results[0].0);
    let metrics = metrics.expect("metrics").text();
    assert!(metrics.contains(&counted), "no {counted}");
    let runs = fixture.upstream.runs();
    let hot = runs.iter().filter(|run| run.headers["x-sedgepath-tenant"] == "hot").count();
    let allowed = (RATE_PER_S * 5.0 + RATE_PER_S) * 1.1 + 20.0;
    assert!(hot as f64 <= allowed, "{hot} requests ran, {allowed} allowed");
    assert!(hot as f64 >= 0.7 * RATE_PER_S * 5.0, "{hot} requests ran");
    assert!(results.iter().map(|result| result.0).sum::<usize>() > 100);
    let calm = results.iter().fold((0, 0), |sum, (_, calm)| (sum.0 + calm.0, sum.1 + calm.1));
    assert!(calm.1 * 20 >= calm.0 * 19, "{} of {} requests of the calm account", calm.1, calm.0);
}
