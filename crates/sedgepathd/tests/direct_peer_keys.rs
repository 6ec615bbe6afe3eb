//! Tests which messages daemons accept from each other, against stand-ins of the users' platform.

mod platform;

use std::net::{SocketAddr, UdpSocket};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use platform::caller::{Connection, get};
use platform::slow_peer::SlowPeer;
use platform::upstream::UpstreamStandIn;
use platform::{TestCluster, Vm, configure, wait_for};
use sedgepath_core::direct::reports::{Report, Reports};
use sedgepath_core::direct::store_version::StoreVersion;
use sedgepath_core::direct::vms::gossip::{Heartbeat, PeerMessage};
use sedgepath_core::hash::Digest;
use sedgepath_test_support::direct::heartbeat;
use sedgepath_test_support::store::{FIRST_ERA, StoreMode, StoreStandIn};
use sedgepath_wire::peer_keys::{PEER_KEY_ROW, PeerKeyring, VM_TABLE};
use sedgepath_wire::peer_seal::{PeerAuthentication, PeerSeal};

const LOOK_UP: &str = "/-/resolve?name=shop.example&region=north&zone=north-a";

/// The configuration that the intruder announces.
const FORGED_VERSION: &str = "000000ff";

fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).expect("the clock is past 1970");
    u64::try_from(since.as_millis()).expect("a time of this age")
}

fn names(vm: &Vm, address: SocketAddr) -> bool {
    get(vm.look_up_address, LOOK_UP)
        .is_some_and(|response| response.text().contains(&address.to_string()))
}

/// A store with a configuration, an upstream and the first key of the VMs.
struct Fixture {
    store: StoreStandIn,
    upstream: UpstreamStandIn,
    cluster: TestCluster,
}

impl Fixture {
    fn new() -> Self {
        let store = StoreStandIn::new().expect("a store");
        configure(&store, "0000000c", "3000ms");
        let upstream = UpstreamStandIn::new("u0");
        upstream.register(&store, "north-a", "ready", 1);
        let cluster = TestCluster::new(store.address);
        sedgepath::operations::peer_keys::rotate(store.address).expect("the first key");
        Self { store, upstream, cluster }
    }
}

/// A node that reaches the VMs and has a key, but not theirs.
struct Intruder {
    socket: UdpSocket,
    seal: PeerSeal,
    rows: SlowPeer,
    address: SocketAddr,
}

impl Intruder {
    fn new(cluster: &TestCluster) -> Self {
        let address = cluster.peer_address(9);
        let forged = StoreStandIn::new().expect("a store");
        configure(&forged, FORGED_VERSION, "3000ms");
        // The forged rows are newer than any of the store.
        for number in 0..100 {
            forged.put("servers", &format!("x{number}"), b"{}");
        }
        configure(&forged, FORGED_VERSION, "3000ms");
        let rows = SlowPeer::new(address, &forged);
        let mut sending = address;
        sending.set_port(0);
        let socket = UdpSocket::bind(sending).expect("the address is free");
        let own = socket.local_addr().expect("an address");
        let mut seal = PeerSeal::new(PeerAuthentication::Require, own, 1);
        seal.set_keyring(PeerKeyring::default().rotated("not theirs".into(), 0));
        Self { socket, seal, rows, address }
    }

    /// Sends every kind of message to a VM, without a seal and with one of its own key.
    fn attack(&mut self, vm: SocketAddr, ghost: SocketAddr) {
        let mut full = heartbeat("ghost", "north-a", 9);
        full.descriptor.peer_address = self.address;
        full.descriptor.caller_address = ghost;
        full.descriptor.capacity_per_s = 100_000;
        full.state.boot_at_ms = unix_ms();
        full.state.newest_version = [StoreVersion::new(FIRST_ERA, 1_000); 2];
        let state = full.state;
        let messages = [
            PeerMessage::Heartbeat(Heartbeat::Full(full)),
            PeerMessage::Heartbeat(Heartbeat::StateOnly(state)),
            PeerMessage::Reports(Reports {
                relay: true,
                quarantine_version: StoreVersion::new(FIRST_ERA, 1_000),
                reports: vec![Report::Cleared {
                    fingerprint: Digest::of(&[b"a request"]),
                    incarnations: Vec::new(),
                }],
            }),
        ];
        for message in messages {
            let bytes = postcard::to_stdvec(&message).expect("a message");
            let sealed = self.seal.seal(&bytes, vm, unix_ms()).expect("a key").into_owned();
            for datagram in [bytes, sealed] {
                // The VM may be starting.
                drop(self.socket.send_to(&datagram, vm));
            }
        }
        self.rows.announce_rows(vm);
    }
}

/// Attacks two VMs for some seconds and returns whether look-ups named others than these two, and
/// whether rows were fetched from the intruder.
fn attack_vms(policy: &str) -> (bool, bool) {
    let fixture = Fixture::new();
    let cluster = &fixture.cluster;
    let vms = [1, 2].map(|number| cluster.start_authenticated(number, "north-a", policy));
    wait_for("both VMs in look-ups", || {
        vms.iter().all(|vm| vms.iter().all(|other| names(vm, other.caller_address)))
    });
    let mut intruder = Intruder::new(cluster);
    let ghost: SocketAddr = "192.0.2.9:80".parse().expect("an address");
    let mut named_others = false;
    for _ in 0..30 {
        for number in [1, 2] {
            intruder.attack(cluster.peer_address(number), ghost);
        }
        thread::sleep(Duration::from_millis(100));
        named_others |= vms
            .iter()
            .any(|vm| names(vm, ghost) || !vms.iter().all(|other| names(vm, other.caller_address)));
    }
    let fetched = intruder.rows.request_count() > 0;
    let in_force = format!("version={}", u64::from_str_radix(FORGED_VERSION, 16).expect("hex"));
    let forged = [1, 2].iter().any(|number| cluster.log(*number).contains(&in_force));
    assert_eq!(forged, fetched, "forged rows in force");
    if policy == "require" {
        for vm in &vms {
            let response = platform::caller::request(vm.caller_address, "GET", "/reads/1", "a");
            assert_eq!(response.map(|response| response.status), Some(200));
        }
        let response = get(cluster.peer_address(1), "/copies/operators/0");
        assert_eq!(response.map(|response| response.status), Some(403), "rows for anybody");
        let metrics = get(vms[0].metrics_address, "/metrics").expect("metrics").text();
        for reason in ["unsealed", "forged"] {
            let counted = format!("sedgepath_peer_messages_rejected_total{{reason=\"{reason}\"}}");
            assert!(metrics.contains(&counted), "no {counted} in {metrics}");
        }
    }
    (named_others, fetched)
}

/// Guards against a node without the key that is taken for a VM, or whose rows come into force. The
/// same messages do both where they need not be authenticated.
#[test]
fn a_node_without_the_key_changes_nothing() {
    assert_eq!(attack_vms("off"), (true, true));
    assert_eq!(attack_vms("require"), (false, false));
}

/// Sends requests to the VMs in turn until it is told to stop, and returns how many were answered
/// and those that were not.
fn run_caller(vms: &[SocketAddr], stop: &AtomicBool) -> (usize, Vec<String>) {
    let (mut answered, mut lost) = (0, Vec::new());
    for number in 0.. {
        if stop.load(Ordering::Relaxed) {
            break;
        }
        let outcome = (0..50).find_map(|attempt| {
            // Without a connection nothing was sent.
            let mut connection = Connection::new(vms[(number + attempt) % vms.len()])?;
            match connection.request("GET", "/reads/1", &format!("{number}.{attempt}")) {
                Some(response) if matches!(response.status, 408 | 421 | 429 | 503) => {
                    thread::sleep(Duration::from_millis(50));
                    None
                }
                other => Some(other),
            }
        });
        match outcome.flatten() {
            Some(response) if response.status == 200 => answered += 1,
            other => lost.push(format!("{number}: {:?}", other.map(|other| other.status))),
        }
        thread::sleep(Duration::from_millis(5));
    }
    (answered, lost)
}

fn restart(cluster: &TestCluster, mut vm: Vm, number: u8, policy: &str) -> Vm {
    vm.terminate();
    wait_for("the end of a VM", || vm.exit_status().is_some());
    cluster.start_authenticated(number, "north-a", policy)
}

/// Guards against requests that are lost, and VMs that don't hear each other, while VMs are restarted
/// in turn with authentication and while the key is replaced.
#[test]
fn authentication_is_introduced_and_the_key_replaced_without_a_lost_request() {
    let fixture = Fixture::new();
    let cluster = &fixture.cluster;
    let mut vms = [1, 2].map(|number| cluster.start_ready(number, "north-a"));
    let addresses = vms.each_ref().map(|vm| vm.caller_address);
    let stop = Arc::new(AtomicBool::new(false));
    let caller = thread::spawn({
        let stop = Arc::clone(&stop);
        move || run_caller(&addresses, &stop)
    });
    let heard = |vms: &[Vm; 2]| {
        wait_for("both VMs in look-ups", || {
            vms.iter().all(|vm| vms.iter().all(|other| names(vm, other.caller_address)))
        });
    };
    for policy in ["sign", "require"] {
        for number in [1, 2] {
            let [one, two] = vms;
            vms = match number {
                1 => [restart(cluster, one, 1, policy), two],
                _ => [one, restart(cluster, two, 2, policy)],
            };
            heard(&vms);
        }
    }

    // A key that is used as soon as it is read, so that one VM uses it before the other knows it.
    let rows = fixture.store.rows(VM_TABLE);
    let row = rows.iter().find(|row| &*row.key == PEER_KEY_ROW).expect("the keys");
    let keyring = PeerKeyring::from_row(&row.value).expect("keys").rotated("new".into(), 0);
    let replaced = keyring.to_row().expect("a row");
    fixture.store.put(VM_TABLE, PEER_KEY_ROW, replaced.as_bytes());
    let [one, two] = vms;
    vms = [restart(cluster, one, 1, "require"), two];
    let accepted = "event=peer_keys accepted=[0, 1]";
    wait_for("the other VM reads the key", || cluster.log(2).contains(accepted));
    heard(&vms);
    stop.store(true, Ordering::Relaxed);
    let (answered, lost) = caller.join().expect("a caller");
    assert!(lost.is_empty() && answered > 100, "{answered} answered, lost: {lost:?}");
    assert!(!fixture.upstream.runs().is_empty());
}

/// Guards against a VM that never serves because the store was silent when it started, and against
/// one that takes rows from others without a key.
#[test]
fn a_vm_that_starts_without_the_store_serves_once_the_store_is_back() {
    let fixture = Fixture::new();
    let cluster = &fixture.cluster;
    let first = cluster.start_authenticated(1, "north-a", "require");
    fixture.store.set_mode(StoreMode::Refusing);
    let second = cluster.start_unready(2, "north-a", "require");
    let silent_until = Instant::now() + Duration::from_secs(2);
    while Instant::now() < silent_until {
        assert!(!second.is_ready(), "it took rows without a key");
        thread::sleep(Duration::from_millis(100));
    }
    fixture.store.set_mode(StoreMode::Normal);
    wait_for("readiness", || second.is_ready());
    wait_for("both VMs in look-ups", || names(&first, second.caller_address));
}
