//! Measures what membership and the owner's right cost a node, by the sizes of the system.
//!
//! Node cores run on the bed, without requests. Printed for each size: datagrams and bytes a second
//! that a node sends and receives on average, the most that one node sends and receives together
//! (bytes as encoded, with the code and the headers of IPv4 and UDP), and how long a join, a leave
//! and a death take until all nodes of the own and of the other failure domains know, in
//! milliseconds of the bed's clock. A dash stands for nodes that are not told: summaries of large
//! failure domains leave out members that own nothing.
//!
//! The sizes with the default periods take most of the ten minutes of a run on one core.
//!
//! `cargo run --release -p sedgepath-core --example control_slopes`

use std::net::{Ipv4Addr, SocketAddr};

use sedgepath_core::identity::NodeSettings;
use sedgepath_core::key::{DomainKey, VmKey};
use sedgepath_core::membership::Member;
use sedgepath_test_support::bed::{Bed, NodeIndex, Traffic};
use sedgepath_test_support::records::{self, UpstreamSpec};

/// The upstreams of a failure domain: 420 sites in 48 failure domains.
const UPSTREAMS_PER_DOMAIN: usize = 9;

/// The services that these upstreams belong to in turn.
const SERVICES: [&str; 4] = ["browse", "deposits", "guides", "keys"];

const LONGEST_DEADLINE_MS: u64 = 2_000;

/// The time over which datagrams are counted, in milliseconds.
const MEASURED_MS: u64 = 20_000;

/// The longest time that a change is waited for, in milliseconds.
const WAITED_MS: u64 = 60_000;

/// One size of the system.
#[derive(Debug, Clone, Copy)]
struct Size {
    domains: usize,
    members: usize,
    heartbeat_every_ms: u64,
    relay_every_ms: u64,
}

impl Size {
    fn with_defaults(domains: usize, members: usize) -> Self {
        let settings = NodeSettings::default();
        Self {
            domains,
            members,
            heartbeat_every_ms: settings.heartbeat_every_ms,
            relay_every_ms: settings.relay_every_ms,
        }
    }

    fn domain(domain: usize) -> String {
        format!("domain-{domain}")
    }

    /// Creates a settled bed; node `d * members + m` is member `m` of domain `d`.
    fn bed(self) -> Bed {
        let settings = NodeSettings {
            heartbeat_every_ms: self.heartbeat_every_ms,
            // Six periods at the default of 250 ms; three at least, see the module `membership`.
            suspect_after_ms: (3 * self.heartbeat_every_ms).max(1_500),
            relay_every_ms: self.relay_every_ms,
            ..NodeSettings::default()
        };
        let mut bed = Bed::new(1).with_settings(settings);
        bed.write_records(&self.records());
        for domain in 0..self.domains {
            for member in 0..self.members {
                bed.add_node(&format!("vm-{domain}-{member}"), &Self::domain(domain));
            }
        }
        bed.settle(LONGEST_DEADLINE_MS);
        bed.run_for(10 * self.relay_every_ms);
        bed
    }

    fn records(self) -> Vec<sedgepath_core::record::RawRecord> {
        let domains: Vec<_> = (0..self.domains).map(Self::domain).collect();
        let domains: Vec<_> = domains.iter().map(String::as_str).collect();
        let mut records = vec![records::places(&[("region", &domains)])];
        for (place, service) in SERVICES.iter().enumerate() {
            let of_service = (0..UPSTREAMS_PER_DOMAIN).filter(|number| number % 4 == place);
            let upstreams: Vec<_> = of_service
                .flat_map(|number| domains.iter().map(move |domain| (number, domain)))
                .map(|(number, domain)| UpstreamSpec {
                    name: format!("{domain}-up-{number}").into(),
                    domain: (*domain).into(),
                    address: SocketAddr::from((Ipv4Addr::LOCALHOST, 9)),
                    slots: 7,
                })
                .collect();
            records.push(records::service(service, LONGEST_DEADLINE_MS, &upstreams));
        }
        records
    }
}

/// What a size costs a node, a second.
#[derive(Debug, Default)]
struct Cost {
    sent: f64,
    received: f64,
    sent_bytes: f64,
    received_bytes: f64,
    most_bytes: f64,
}

fn measure(bed: &mut Bed) -> Cost {
    let nodes = bed.node_count();
    let before: Vec<Traffic> = (0..nodes).map(|node| bed.traffic(node)).collect();
    bed.run_for(MEASURED_MS);
    let mut cost = Cost::default();
    let per_s = |after: u64, before: u64| (after - before) as f64 * 1_000.0 / MEASURED_MS as f64;
    for (node, before) in before.iter().enumerate() {
        let after = bed.traffic(node);
        let sent_bytes = per_s(after.sent_bytes, before.sent_bytes);
        let received_bytes = per_s(after.received_bytes, before.received_bytes);
        cost.sent += per_s(after.sent, before.sent) / nodes as f64;
        cost.received += per_s(after.received, before.received) / nodes as f64;
        cost.sent_bytes += sent_bytes / nodes as f64;
        cost.received_bytes += received_bytes / nodes as f64;
        cost.most_bytes = cost.most_bytes.max(sent_bytes + received_bytes);
    }
    cost
}

/// How long a change took to reach all nodes, in milliseconds; none if it was not told to all.
#[derive(Debug, Default)]
struct Spread {
    own_domain_ms: Option<u64>,
    other_domains_ms: Option<u64>,
}

fn spread(
    bed: &mut Bed,
    name: &str,
    domain: &str,
    known: impl Fn(Option<&Member>) -> bool,
) -> Spread {
    let started_at_ms = bed.now_ms();
    let vm = VmKey::of(name);
    let mut spread = Spread::default();
    while bed.now_ms() < started_at_ms + WAITED_MS {
        bed.run_for(20);
        let after_ms = bed.now_ms() - started_at_ms;
        let all = |own: bool| {
            let mut others = (0..bed.node_count()).filter_map(|node: NodeIndex| bed.node(node));
            others.all(|node| {
                let identity = node.outbox().identity();
                let concerned = (identity.descriptor.domain == DomainKey::of(domain)) == own;
                !concerned || identity.vm == vm || known(node.membership().member(vm))
            })
        };
        let (own, others) = (all(true), all(false));
        spread.own_domain_ms = spread.own_domain_ms.or(own.then_some(after_ms));
        spread.other_domains_ms = spread.other_domains_ms.or(others.then_some(after_ms));
        if own && others {
            break;
        }
    }
    spread
}

fn print_spread(spread: &Spread) {
    let text = |after_ms: Option<u64>| after_ms.map_or("-".to_owned(), |ms| ms.to_string());
    print!(" {:>6}/{:<6}", text(spread.own_domain_ms), text(spread.other_domains_ms));
}

fn run(size: Size) {
    let mut bed = size.bed();
    let cost = measure(&mut bed);
    print!(
        "{:>5} {:>7} {:>7} {:>7} {:>7} {:>8.1} {:>8.1} {:>9.0} {:>9.0} {:>9.0} ",
        bed.node_count(),
        size.domains,
        size.members,
        size.heartbeat_every_ms,
        size.relay_every_ms,
        cost.sent,
        cost.received,
        cost.sent_bytes,
        cost.received_bytes,
        cost.most_bytes,
    );
    let domain = Size::domain(0);
    bed.add_node("vm-new", &domain);
    print_spread(&spread(&mut bed, "vm-new", &domain, |member| member.is_some()));
    bed.run_for(10 * size.relay_every_ms);
    bed.stop(0);
    let leaving = |member: Option<&Member>| member.is_none_or(|member| member.descriptor.leaving);
    print_spread(&spread(&mut bed, "vm-0-0", &domain, leaving));
    bed.kill(1);
    let silent = |member: Option<&Member>| member.is_none_or(|member| member.suspected);
    print_spread(&spread(&mut bed, "vm-0-1", &domain, silent));
    println!();
}

fn main() {
    println!(
        "{:>5} {:>7} {:>7} {:>7} {:>7} {:>8} {:>8} {:>9} {:>9} {:>9}  {:^13} {:^13} {:^13}",
        "nodes",
        "domains",
        "members",
        "beat_ms",
        "sum_ms",
        "sent/s",
        "recv/s",
        "sent_B/s",
        "recv_B/s",
        "most_B/s",
        "join_ms",
        "leave_ms",
        "death_ms"
    );
    for (domains, members) in [(5, 2), (5, 10), (5, 20), (5, 40), (10, 4), (25, 4), (50, 4)] {
        run(Size::with_defaults(domains, members));
    }
    let large = |domains, members, heartbeat_every_ms, relay_every_ms| Size {
        domains,
        members,
        heartbeat_every_ms,
        relay_every_ms,
    };
    for (domains, members) in [(5, 10), (5, 20), (5, 40), (10, 20), (20, 10), (50, 4)] {
        run(large(domains, members, 1_000, 5_000));
    }
    run(large(5, 40, 1_500, 10_000));
}
