//! Fuzz test of peer messages that are corrupted, forged, repeated or out of order.
//!
//! CI runs a fixed seed; the environment variables `FUZZ_CASES` and `FUZZ_SEED` set longer runs.

mod fuzz_support;

use std::net::{IpAddr, Ipv4Addr};

use fuzz_support::config;
use proptest::prelude::*;
use sedgepath_core::clock::HybridTimestamp;
use sedgepath_core::direct::vms::gossip::{Heartbeat, PeerMessage};
use sedgepath_core::direct::vms::{
    DomainMember, DomainSummary, RelayedSummary, StoreHealth, SummaryUpdate, VmTable,
};
use sedgepath_test_support::direct::{heartbeat, vms};

const NOW_MS: u64 = 1_000;

fn summary() -> DomainSummary {
    let ip = |number| IpAddr::V4(Ipv4Addr::new(10, 0, 0, number));
    let member = |number| DomainMember { ip: ip(number), ready: true, store_reachable: true };
    DomainSummary {
        stamp: HybridTimestamp { time_ms: 5, count: 0 },
        period_ms: 500,
        boot_at_ms: 1,
        domain: "south-a".into(),
        region: "south".into(),
        sender: ip(4),
        callers_port: 80,
        peers_port: 7_000,
        members: vec![member(4), member(5)],
        changed_at: [1, 2],
        store_health: StoreHealth::Reachable { for_ms: 100 },
        receiver_domain_vms: vec![ip(1), ip(2)],
    }
}

fn messages() -> Vec<PeerMessage> {
    let whole = heartbeat("a2", "north-a", 2);
    let changed = RelayedSummary { age_ms: 10, update: SummaryUpdate::Changed(summary()) };
    let same = SummaryUpdate::Unchanged {
        sender: summary().sender(),
        boot_at_ms: 1,
        stamp: HybridTimestamp { time_ms: 6, count: 0 },
        digest: 7,
    };
    vec![
        PeerMessage::Heartbeat(Heartbeat::Full(whole)),
        PeerMessage::Summary(summary()),
        PeerMessage::RelayedSummary(vec![changed, RelayedSummary { age_ms: 10, update: same }]),
    ]
}

fn take(vm: &mut VmTable, message: PeerMessage) {
    match message {
        PeerMessage::Heartbeat(Heartbeat::Full(heartbeat)) => {
            vm.record_heartbeat(heartbeat, NOW_MS);
        }
        PeerMessage::Heartbeat(Heartbeat::StateOnly(state)) => {
            vm.record_state(([10, 0, 0, 2], 7_000).into(), state, NOW_MS);
        }
        PeerMessage::Summary(summary) => vm.record_summary(summary, NOW_MS),
        PeerMessage::RelayedSummary(summaries) => {
            for relayed in summaries {
                vm.record_relayed_summary(relayed, NOW_MS);
            }
        }
    }
}

proptest! {
    #![proptest_config(config(2_000))]

    /// Guards against a datagram that panics the process or leaves look-ups without an answer.
    #[test]
    fn no_datagram_stops_a_vm(
        picks in prop::collection::vec((0..3_usize, any::<u16>(), any::<u8>()), 1..8),
        later_ms in 0..60_000_u64,
    ) {
        let mut vm = vms("a1", "north-a", 1);
        for (pick, place, byte) in picks {
            let mut bytes = postcard::to_stdvec(&messages()[pick]).expect("the message serializes");
            let place = usize::from(place) % bytes.len();
            bytes[place] = byte;
            if let Ok(message) = postcard::from_bytes(&bytes) {
                take(&mut vm, message);
            }
        }
        let now_ms = NOW_MS + later_ms;
        prop_assert!(!vm.look_up("north-a", "north", now_ms).is_empty());
        vm.should_read_store(now_ms);
        vm.store_health(StoreHealth::Unknown, now_ms);
        vm.periodic_messages(HybridTimestamp::default(), &mut fastrand::Rng::with_seed(1), now_ms);
    }
}

/// Guards against overflow on extreme times in a message.
#[test]
fn extreme_times_do_not_overflow() {
    let mut vm = vms("a1", "north-a", 1);
    let mut extreme = summary();
    extreme.period_ms = u64::MAX;
    extreme.store_health = StoreHealth::Reachable { for_ms: u64::MAX };
    vm.record_summary(extreme.clone(), NOW_MS);
    vm.record_relayed_summary(
        RelayedSummary { age_ms: u64::MAX, update: SummaryUpdate::Changed(extreme) },
        NOW_MS,
    );
    let mut near = heartbeat("a2", "north-a", 2);
    near.state.period_ms = u64::MAX;
    near.state.store_health = StoreHealth::Reachable { for_ms: u64::MAX };
    vm.record_heartbeat(near, NOW_MS);

    vm.should_read_store(NOW_MS + 1);
    assert_eq!(
        vm.serving_vms(NOW_MS + 12_000).len(),
        1,
        "a VM with an extreme period never counts as silent"
    );
    assert!(vm.store_health(StoreHealth::Unknown, NOW_MS + 1).is_reachable());
    vm.periodic_messages(HybridTimestamp::default(), &mut fastrand::Rng::with_seed(1), NOW_MS + 1);
}
