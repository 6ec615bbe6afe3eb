//! Tests of daemons that join while callers send requests, against stand-ins of the users'
//! platform.

mod platform;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use platform::caller::Connection;
use platform::upstream::{Behaviour, UpstreamStandIn};
use platform::{TestCluster, configure, wait_for};
use sedgepath_test_support::store::StoreStandIn;

/// The number of concurrent callers.
const CALLERS: usize = 8;

/// The number of actions that each caller requests.
const ACTIONS_PER_CALLER: usize = 30;

/// The processing time of an upstream, in milliseconds: long enough that a killed VM has requests
/// in flight.
const WORK_MS: u64 = 60;

/// How often a caller tries an action that is reported as not run.
const MAX_TRIES: usize = 20;

/// The addresses that callers may use.
type EntryAddresses = Arc<Mutex<Vec<SocketAddr>>>;

/// Requests an action until it is done or may have run; returns whether it succeeded.
fn perform_action(entry_addresses: &EntryAddresses, number: usize, action: &str) -> bool {
    for attempt in 0..MAX_TRIES {
        let addresses = entry_addresses.lock().expect("no thread panics with it").clone();
        let address = addresses[(number + attempt) % addresses.len()];
        // Without a connection nothing was sent; after a closed connection the action may have run.
        let Some(mut connection) = Connection::new(address) else { continue };
        match connection.request("POST", "/charges/1", &format!("{action}.{attempt}")) {
            Some(response) if matches!(response.status, 408 | 421 | 429 | 503) => {
                thread::sleep(Duration::from_millis(50));
            }
            Some(response) => return response.status == 200,
            None => return false,
        }
    }
    false
}

fn run_caller(entry_addresses: &EntryAddresses, caller: usize) -> Vec<String> {
    let actions = (0..ACTIONS_PER_CALLER).map(|number| (number, format!("c{caller}-{number}")));
    let answered =
        actions.filter(|(number, action)| perform_action(entry_addresses, *number, action));
    answered.map(|(_, action)| action).collect()
}

/// Counts the runs of each action at all upstreams, over all its attempts.
fn runs_by_action(upstreams: &[UpstreamStandIn]) -> BTreeMap<String, usize> {
    let mut runs = BTreeMap::new();
    for run in upstreams.iter().flat_map(UpstreamStandIn::runs) {
        let attempt = &run.headers["x-sedgepath-attempt-id"];
        let action = attempt.split('.').next().unwrap_or(attempt);
        *runs.entry(action.to_owned()).or_insert(0) += 1;
    }
    runs
}

/// Guards against an action that runs twice while VMs join, one is killed and responses are lost.
#[test]
fn actions_run_once_while_vms_join() {
    let store = StoreStandIn::new().expect("a store");
    configure(&store, "0000000c", "3000ms");
    let upstreams: Vec<_> =
        (0..4).map(|number| UpstreamStandIn::new(&format!("u{number}"))).collect();
    for upstream in &upstreams {
        upstream.set_behaviour(Behaviour::DelayedByMs(WORK_MS));
        upstream.register(&store, "north-a", "ready", 1);
    }
    let site = TestCluster::new(store.address);
    let first = site.start_ready(1, "north-a");
    let entry_addresses: EntryAddresses = Arc::new(Mutex::new(vec![first.caller_address]));
    let callers: Vec<_> = (0..CALLERS)
        .map(|caller| {
            let entry_addresses = Arc::clone(&entry_addresses);
            thread::spawn(move || run_caller(&entry_addresses, caller))
        })
        .collect();

    upstreams[0].set_behaviour(Behaviour::CloseWithoutResponse);
    let joined = [site.start_ready(2, "north-a"), site.start_ready(3, "south-a")];
    entry_addresses
        .lock()
        .expect("no thread panics with it")
        .extend(joined.iter().map(|vm| vm.caller_address));
    thread::sleep(Duration::from_millis(2 * WORK_MS));
    first.kill();
    upstreams[0].set_behaviour(Behaviour::Reject);
    upstreams[1].set_behaviour(Behaviour::TruncateResponse);
    let answered: Vec<String> =
        callers.into_iter().flat_map(|caller| caller.join().expect("it ends")).collect();

    let runs = runs_by_action(&upstreams);
    let repeated: Vec<_> = runs.iter().filter(|(_, count)| **count > 1).collect();
    assert!(repeated.is_empty(), "{repeated:?}");
    assert!(
        answered.iter().all(|action| runs.get(action) == Some(&1)),
        "an answered action was not run"
    );
    let served_by_joined = site.log(2).matches("event=served").count();
    assert!(served_by_joined > 0, "a joined VM served no request");
    assert!(
        answered.len() * 2 > CALLERS * ACTIONS_PER_CALLER,
        "only {} were answered",
        answered.len()
    );
}

/// Guards against a joined VM that look-ups at other VMs don't list.
#[test]
fn look_ups_at_all_vms_list_a_joined_vm() {
    let store = StoreStandIn::new().expect("a store");
    configure(&store, "0000000c", "3000ms");
    let upstream = UpstreamStandIn::new("u0");
    upstream.register(&store, "north-a", "ready", 1);
    let site = TestCluster::new(store.address);
    let vms = [site.start_ready(1, "north-a"), site.start_ready(2, "north-b")];
    let joined = site.start_ready(3, "north-b");

    for vm in &vms {
        wait_for("the joined VM in look-ups", || {
            let path = "/-/resolve?name=shop.example&region=north&zone=north-b";
            let response = platform::caller::get(vm.look_up_address, path);
            response.is_some_and(|response| {
                response.text().contains(&joined.caller_address.to_string())
            })
        });
    }
}
