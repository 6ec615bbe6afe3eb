//! Look-up throughput of a node on one core, with a large configuration.
//!
//! Each look-up comes from a source address in a random client block.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};

use criterion::{Criterion, Throughput, criterion_group, criterion_main};
use sedgepath_core::clock::HybridTimestamp;
use sedgepath_core::event::{Event, LookUp};
use sedgepath_core::key::{BootId, DomainKey, VmKey};
use sedgepath_core::message::{
    Envelope, MemberDescriptor, MemberSummary, MembershipSummary, Message,
};
use sedgepath_core::record::RawRecord;
use sedgepath_test_support::bed::TestBed;
use sedgepath_test_support::records::{self, UpstreamSpec};
use serde_json::json;

const BLOCK_COUNT: u32 = 1_100_000;
const ORIGIN_COUNT: u32 = 13;
const DOMAIN_COUNT: usize = 48;
const REGION_COUNT: usize = 13;
const SITE_COUNT: usize = 420;
const MEMBER_COUNT: usize = 42;
const MEMBERS_PER_OTHER_DOMAIN: usize = 8;

fn domain(number: usize) -> String {
    format!("domain-{number}")
}

/// Returns the first address of a /28 block; the blocks are spread over the address space.
fn block(number: u32) -> Ipv4Addr {
    Ipv4Addr::from_bits(0x0100_0000 + number * 0x100)
}

fn records() -> Vec<RawRecord> {
    let names: Vec<String> = (0..DOMAIN_COUNT).map(domain).collect();
    let regions: Vec<(String, Vec<&str>)> = (0..REGION_COUNT)
        .map(|region| {
            let domains =
                names.iter().skip(region).step_by(REGION_COUNT).map(String::as_str).collect();
            (format!("region-{region}"), domains)
        })
        .collect();
    let regions: Vec<(&str, &[&str])> =
        regions.iter().map(|(name, domains)| (name.as_str(), domains.as_slice())).collect();
    let upstreams: Vec<_> = (0..SITE_COUNT)
        .map(|site| UpstreamSpec::new(&format!("site-{site}"), &names[site % DOMAIN_COUNT], 100))
        .collect();
    let groups: Vec<_> = (0..ORIGIN_COUNT as usize)
        .map(|origin| {
            let shares: Vec<_> = (0..8)
                .map(|rank| json!({ "domain": names[(origin * 4 + rank) % DOMAIN_COUNT], "weight": 8 - rank }))
                .collect();
            json!({ "origin": format!("origin-{origin}"), "shares": shares })
        })
        .collect();
    let cap = json!({ "percent": 10.0, "window_ms": 10_000 });
    let blocks: Vec<_> = (0..BLOCK_COUNT)
        .map(|number| {
            json!({ "block": format!("{}/28", block(number)), "origin": format!("origin-{}", number % ORIGIN_COUNT) })
        })
        .collect();
    vec![
        records::places(&regions),
        records::service("browse", 5_000, &upstreams),
        records::record(2, "steering", "browse", &json!({ "groups": groups, "cap": cap })),
        records::record(1, "clients", "clients", &json!({ "blocks": blocks })),
    ]
}

fn descriptor(domain_number: usize, member: usize) -> MemberDescriptor {
    let [high, low] = (member as u16).to_be_bytes();
    let address =
        |port| SocketAddr::from((Ipv4Addr::new(10, domain_number as u8, high, low), port));
    MemberDescriptor {
        name: format!("vm-{domain_number}-{member}").into(),
        domain: DomainKey::of(&domain(domain_number)),
        caller_address: address(1),
        peer_address: address(2),
        operator_address: address(3),
        leaving: false,
    }
}

fn member_summary(descriptor: MemberDescriptor) -> MemberSummary {
    MemberSummary {
        vm: VmKey::of(&descriptor.name),
        boot: BootId(1),
        age_ms: 0,
        revision: 1,
        leaving: false,
        loads: Vec::new(),
        descriptor: Some(descriptor),
    }
}

/// Creates a node that has the records and knows all members.
fn bed() -> TestBed {
    let mut bed = TestBed::new(1);
    bed.write_records(&records());
    bed.add_node("vm-0-0", &domain(0));
    bed.run_for(5_000);
    for domain_number in 0..DOMAIN_COUNT {
        let members = if domain_number == 0 { MEMBER_COUNT } else { MEMBERS_PER_OTHER_DOMAIN };
        let lines =
            (1..=members).map(|member| member_summary(descriptor(domain_number, member))).collect();
        let summary = MembershipSummary {
            domain: DomainKey::of(&domain(domain_number)),
            forward_in_domain: false,
            members: lines,
        };
        let envelope = Envelope {
            from: VmKey::of("relay"),
            boot: BootId(1),
            sequence: domain_number as u64,
            stamp: HybridTimestamp::default(),
            message: Message::Summary(summary),
        };
        bed.handle(0, Event::Datagram(envelope));
    }
    bed.run_for(20);
    bed
}

fn look_ups(criterion: &mut Criterion) {
    let mut bed = bed();
    let mut random = fastrand::Rng::with_seed(1);
    let mut group = criterion.benchmark_group("look_up");
    group.throughput(Throughput::Elements(1));
    let mut look_up_once = move || {
        let source = IpAddr::V4(block(random.u32(0..BLOCK_COUNT)));
        let look_up = LookUp { service: "browse".into(), source, revision_seen: 1 };
        let answer = bed.look_up(0, &look_up);
        assert!(answer.is_ok_and(|answer| answer.entry_vms.len() == 8));
    };
    group.bench_function("1.1 M blocks, 48 domains, 42 members", |bencher| {
        bencher.iter(&mut look_up_once);
    });
    group.finish();
}

criterion_group!(benches, look_ups);
criterion_main!(benches);
