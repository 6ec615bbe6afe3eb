//! Tests the path of a request through daemons that run as separate processes.

use std::path::Path;
use std::time::Duration;

use sedgepath_test_support::caller::{Call, Caller, Outcome};
use sedgepath_test_support::records::{self, UpstreamSpec};
use sedgepath_test_support::system::DaemonCluster;
use sedgepath_test_support::upstream::{UpstreamConfig, UpstreamStandIn};

/// Guards against a request that is lost, changed or run twice when the daemon that accepts it has
/// no upstream in its own failure domain and forwards it to another daemon.
#[test]
fn a_request_is_forwarded_to_another_daemon_and_answered() {
    let upstream = UpstreamStandIn::new(UpstreamConfig::new(4)).expect("upstream");
    let spec = UpstreamSpec::new("b1", "south-a", 4).with_address(upstream.addr());
    let records = records::one_service("browse", 5_000, &[spec], &["south-a"]);
    let system = DaemonCluster::new(Path::new(env!("CARGO_BIN_EXE_sedgepathd"))).expect("platform");
    let system = system.with_daemons(&records, &[("n1", "north-a"), ("s1", "south-a")]);
    let system = system.expect("daemons");
    let mut caller = Caller::new([system.addresses[0].caller_address]);

    let call = Call::new("guest", "browse", "/v1/call/browse/echo")
        .with_method("POST")
        .with_body("hello")
        .with_deadline_ms(u64::MAX / 2);
    let reply = std::iter::repeat_with(|| caller.call(&call))
        .take(100)
        .inspect(|_| std::thread::sleep(Duration::from_millis(100)))
        .find(|reply| matches!(reply.outcome, Outcome::Answered { .. }))
        .expect("a response");

    assert_eq!(reply.outcome, Outcome::Answered { status: 200 });
    assert_eq!(&*reply.body, b"hello");
    assert_eq!(upstream.runs().len(), 1);
}
