//! Tests of daemons whose upstreams work for a while before they read the body of their request.

mod platform;

use std::ops::RangeInclusive;
use std::time::Duration;

use platform::caller::{Connection, Response};
use platform::{TestCluster, Vm, configuration, late_reader, route, wait_for};
use sedgepath_test_support::store::StoreStandIn;
use serde_json::json;

/// The work before the body is read: longer than a silent upstream's bytes may stay unacknowledged.
const WORK: Duration = Duration::from_secs(4);

/// A body that is kept in memory, so that it can be sent again, in bytes.
const BUFFERED_BODY_BYTES: usize = 240_000;

/// A body that is sent on as it arrives, and exceeds the system's buffers on the way, in bytes.
const STREAMED_BODY_BYTES: usize = 24_000_000;

/// VMs, and an upstream that reads late and that some of them don't reach.
struct Site {
    _store: StoreStandIn,
    cluster: TestCluster,
    vms: Vec<Vm>,
}

impl Site {
    /// Starts VMs with these numbers, of which `cut` don't reach the upstream.
    fn new(vms: RangeInclusive<u8>, cut: &[u8]) -> Self {
        let store = StoreStandIn::new().expect("a store");
        sedgepath::operations::peer_keys::rotate(store.address).expect("a key");
        let routes = [route("reads", "safe", "8000ms"), route("charges", "unsafe", "8000ms")];
        let mut configuration = configuration("0000000c", &routes);
        configuration["limits"]["maxBodyBytes"] = STREAMED_BODY_BYTES.into();
        store.put("op", "config", configuration.to_string().as_bytes());
        let cluster = TestCluster::new(store.address);
        let cut: Vec<_> = cut.iter().map(|number| cluster.ipv4(*number)).collect();
        let entry = json!({
            "address": late_reader::start(WORK, &cut).to_string(),
            "info": {"service": "shop", "version": "v1", "zone": "north-a", "slots": 4},
            "status": {"state": "ready", "sequence": 1, "coldRemaining": "0ms"},
        });
        store.put("servers", "late", entry.to_string().as_bytes());
        let vms: Vec<_> =
            vms.map(|number| cluster.start_at_own_address(number, "north-a", &[])).collect();
        let known = format!("sedgepath_vms {}", vms.len());
        for vm in &vms {
            wait_for("readiness", || vm.is_ready());
            wait_for("knowing the other VMs", || vm.metrics().contains(&known));
        }
        Self { _store: store, cluster, vms }
    }

    /// Sends charges with bodies of several sizes to the first VM, and checks that they are answered.
    fn assert_charges_are_answered(&self) {
        for (attempt_id, body_bytes) in
            [("buffered", BUFFERED_BODY_BYTES), ("streamed", STREAMED_BODY_BYTES)]
        {
            let status = self.charge(attempt_id, body_bytes).map(|response| response.status);
            let logs = || format!("{}\n{}", self.cluster.log(1), self.cluster.log(2));
            assert_eq!(status, Some(200), "{attempt_id}: {}", logs());
        }
    }

    /// Sends a charge with a body of a size in bytes and reads its response.
    fn charge(&self, attempt_id: &str, body_bytes: usize) -> Option<Response> {
        let mut connection = Connection::new(self.vms[0].caller_address)?;
        let head = format!(
            "POST /charges/1 HTTP/1.1\r\nHost: shop.example\r\n\
             X-Sedgepath-Attempt-Id: {attempt_id}\r\nX-Sedgepath-Deadline-Ms: 8000\r\n\
             Content-Length: {body_bytes}\r\n\r\n"
        );
        connection.write(head.as_bytes())?;
        connection.write(&vec![b'x'; body_bytes])?;
        connection.receive()
    }
}

/// Guards against a charge that is broken off, long before its deadline, because its upstream works before it
/// reads the body.
#[test]
fn a_charge_whose_upstream_reads_its_body_late_is_answered() {
    Site::new(1..=1, &[]).assert_charges_are_answered();
}

/// Guards against the same between the two VMs that a charge passes through.
#[test]
fn a_forwarded_charge_whose_upstream_reads_its_body_late_is_answered() {
    let site = Site::new(1..=2, &[1]);
    wait_for("noticing the cut", || {
        let mut connection = Connection::new(site.vms[0].caller_address).expect("a connection");
        connection.send("GET", "/reads/1", "notice", 300).expect("a request");
        connection.receive();
        site.vms[0].is_cut_off()
    });
    site.assert_charges_are_answered();
}
