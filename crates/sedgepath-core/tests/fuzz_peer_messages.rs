//! Fuzz test of corrupted peer messages in any order, and a test of messages with extreme times.
//!
//! CI runs a fixed seed; the environment variables `FUZZ_CASES` and `FUZZ_SEED` set longer runs.

mod fuzz_support;

use std::net::{IpAddr, Ipv4Addr};

use fuzz_support::config;
use proptest::prelude::*;
use sedgepath_core::clock::HybridTimestamp;
use sedgepath_core::direct::accounts::{AccountKey, Quota};
use sedgepath_core::direct::crashes::CrashLedger;
use sedgepath_core::direct::load_sharing::{
    LoadMessage, LoadSharing, SentReport, ShortIncarnationKey, UpstreamLoad,
};
use sedgepath_core::direct::quotas::{QuotaMessage, Quotas, TokenGrant, TokenRequest};
use sedgepath_core::direct::reports::{Report, ReportQueue, Reports};
use sedgepath_core::direct::store_version::StoreVersion;
use sedgepath_core::direct::upstreams::{IncarnationKey, UpstreamTable};
use sedgepath_core::direct::vms::gossip::{Heartbeat, PeerMessage};
use sedgepath_core::direct::vms::{
    DomainMember, DomainSummary, RelayedSummary, StoreHealth, SummaryPart, SummaryUpdate, VmTable,
};
use sedgepath_core::hash::Digest;
use sedgepath_test_support::direct::{QUOTA_BOUNDS, heartbeat, upstream_entry, vm_table};

const NOW_MS: u64 = 1_000;

fn summary() -> DomainSummary {
    let ip = |number| IpAddr::V4(Ipv4Addr::new(10, 0, 0, number));
    let member = |number| DomainMember {
        ip: ip(number),
        ready: true,
        store_reachable: true,
        capacity_per_s: 100,
    };
    DomainSummary {
        stamp: HybridTimestamp { time_ms: 5, count: 0 },
        period_ms: 500,
        boot_at_ms: 1,
        domain: "south-a".into(),
        region: "south".into(),
        sender: ip(4),
        caller_port: 80,
        peer_port: 7_000,
        members: vec![member(4), member(5)],
        changed_at: [1, 2].map(StoreVersion::from_u64),
        store_health: StoreHealth::Reachable { for_ms: 100 },
        receiver_domain_vms: vec![ip(1), ip(2)],
        part: SummaryPart::WHOLE,
    }
}

fn load_message() -> LoadMessage {
    let entry = upstream_entry("b0", "north-a", 0);
    let report =
        SentReport { in_flight: 1, running: 3, waiting: 2, pace_percent: 250, age_ms: 130 };
    let upstream = ShortIncarnationKey::of(IncarnationKey::of(&entry));
    let upstreams = vec![UpstreamLoad { upstream, in_flight: 2, report: Some(report) }; 2];
    LoadMessage { boot_at_ms: 1, number: 2, period_ms: 100, demand: None, upstreams }
}

fn messages() -> Vec<PeerMessage> {
    let fingerprint = Digest::of(&[b"request"]);
    let heartbeat = heartbeat("a2", "north-a", 2);
    let changed = SummaryUpdate::Changed(summary());
    let unchanged = SummaryUpdate::Unchanged {
        sender: summary().sender(),
        boot_at_ms: 1,
        stamp: HybridTimestamp { time_ms: 6, count: 0 },
        digest: 7,
    };
    let part = SummaryPart { index: 1, count: 2 };
    let changed_part = SummaryUpdate::ChangedPart(part, summary());
    let unchanged_part = SummaryUpdate::UnchangedPart {
        part,
        sender: summary().sender(),
        boot_at_ms: 1,
        stamp: HybridTimestamp { time_ms: 6, count: 0 },
        digest: 7,
    };
    vec![
        PeerMessage::Heartbeat(Heartbeat::Full(heartbeat)),
        PeerMessage::Summary(summary()),
        PeerMessage::RelayedSummary(vec![
            RelayedSummary { age_ms: 10, update: changed },
            RelayedSummary { age_ms: 10, update: unchanged },
            RelayedSummary { age_ms: 10, update: changed_part },
            RelayedSummary { age_ms: 10, update: unchanged_part },
        ]),
        PeerMessage::Reports(Reports {
            relay: true,
            quarantine_version: StoreVersion::from_u64(3),
            reports: vec![
                Report::Crashed { fingerprint, incarnation: IncarnationKey(1) },
                Report::Cleared { fingerprint, incarnations: vec![IncarnationKey(1)] },
            ],
        }),
        PeerMessage::Quota(QuotaMessage::Request(TokenRequest {
            nonce: 1,
            account: AccountKey(1),
            slot: 0,
            tokens: 3,
        })),
        PeerMessage::Quota(QuotaMessage::Grant(TokenGrant {
            nonce: 1,
            account: AccountKey(1),
            tokens: 3,
            retry_after_ms: 50,
        })),
        PeerMessage::Load(load_message()),
        PeerMessage::SummaryPart(part, summary()),
    ]
}

/// The load at upstreams, as other VMs tell it.
struct Load {
    sharing: LoadSharing,
    upstreams: UpstreamTable,
}

impl Load {
    fn new() -> Self {
        let mut upstreams = UpstreamTable::default();
        upstreams.upsert(upstream_entry("b0", "north-a", 0), "north", 0);
        Self { sharing: LoadSharing::new(1), upstreams }
    }
}

fn receive(
    vm: &mut VmTable,
    crashes: &mut CrashLedger,
    quotas: &mut Quotas,
    load: &mut Load,
    message: PeerMessage,
) {
    match message {
        PeerMessage::Load(message) => {
            let from = ([10, 0, 0, 2], 7_000).into();
            load.sharing.receive(from, &message, &mut load.upstreams, NOW_MS);
        }
        PeerMessage::Quota(QuotaMessage::Request(request)) => {
            let quota = Quota { rate_per_s: 5.0, burst: 5.0 };
            if let Some(grant) = quotas.lend(request, Some(quota), NOW_MS) {
                assert!(grant.tokens <= request.tokens, "{grant:?}");
            }
        }
        PeerMessage::Quota(QuotaMessage::Grant(grant)) => {
            let is_answer = quotas.receive_grant(([10, 0, 0, 2], 7_000).into(), grant, NOW_MS);
            assert!(!is_answer, "nothing was asked for");
        }
        PeerMessage::Heartbeat(Heartbeat::Full(heartbeat)) => {
            vm.record_heartbeat(heartbeat, NOW_MS);
        }
        PeerMessage::Heartbeat(Heartbeat::StateOnly(state)) => {
            vm.record_state(([10, 0, 0, 2], 7_000).into(), state, NOW_MS);
        }
        PeerMessage::Summary(summary) => vm.record_summary(summary, NOW_MS),
        PeerMessage::SummaryPart(part, summary) => {
            vm.record_summary(summary.with_part(part), NOW_MS);
        }
        PeerMessage::RelayedSummary(summaries) => {
            for relayed in summaries {
                vm.record_relayed_summary(relayed, NOW_MS);
            }
        }
        PeerMessage::Reports(reports) => {
            for report in &reports.reports {
                crashes.receive(report, NOW_MS);
            }
        }
    }
}

proptest! {
    #![proptest_config(config(2_000))]

    /// Guards against a datagram that panics the process or leaves look-ups without a result.
    #[test]
    fn corrupted_datagrams_do_not_stop_a_vm(
        corruptions in prop::collection::vec((0..8_usize, any::<u16>(), any::<u8>()), 1..8),
        later_ms in 0..60_000_u64,
    ) {
        let mut vm = vm_table("a1", "north-a", 1);
        let mut crashes = CrashLedger::new(vm.key());
        let mut load = Load::new();
        let mut quotas = Quotas::new(vm.key(), QUOTA_BOUNDS, vec!["north".into()], 1);
        quotas.view_mut().update(&vm, NOW_MS);
        for (message_index, offset, byte) in corruptions {
            let mut bytes =
                postcard::to_stdvec(&messages()[message_index]).expect("the message serializes");
            let offset = usize::from(offset) % bytes.len();
            bytes[offset] = byte;
            if let Ok(message) = postcard::from_bytes(&bytes) {
                receive(&mut vm, &mut crashes, &mut quotas, &mut load, message);
            }
        }
        let now_ms = NOW_MS + later_ms;
        for (_, upstream) in load.upstreams.iter() {
            prop_assert!((0.0..=24.0).contains(&upstream.load(now_ms)));
        }
        crashes.maintain(&UpstreamTable::default(), &mut ReportQueue::default(), now_ms);
        prop_assert!(!vm.look_up("north-a", "north", now_ms).is_empty());
        vm.should_read_store(now_ms);
        vm.store_health(StoreHealth::Unknown, now_ms);
        vm.periodic_messages(HybridTimestamp::default(), &mut fastrand::Rng::with_seed(1), now_ms);
    }
}

/// Guards against overflow on extreme times in a message.
#[test]
fn extreme_times_do_not_overflow() {
    let mut vm = vm_table("a1", "north-a", 1);
    let mut summary = summary();
    summary.period_ms = u64::MAX;
    summary.store_health = StoreHealth::Reachable { for_ms: u64::MAX };
    vm.record_summary(summary.clone(), NOW_MS);
    vm.record_relayed_summary(
        RelayedSummary { age_ms: u64::MAX, update: SummaryUpdate::Changed(summary) },
        NOW_MS,
    );
    let mut heartbeat = heartbeat("a2", "north-a", 2);
    heartbeat.state.period_ms = u64::MAX;
    heartbeat.state.store_health = StoreHealth::Reachable { for_ms: u64::MAX };
    vm.record_heartbeat(heartbeat, NOW_MS);

    vm.should_read_store(NOW_MS + 1);
    assert_eq!(
        vm.serving_vms(NOW_MS + 12_000).len(),
        1,
        "a VM with an extreme period never counts as silent"
    );
    assert!(vm.store_health(StoreHealth::Unknown, NOW_MS + 1).is_reachable());
    vm.periodic_messages(HybridTimestamp::default(), &mut fastrand::Rng::with_seed(1), NOW_MS + 1);
}
