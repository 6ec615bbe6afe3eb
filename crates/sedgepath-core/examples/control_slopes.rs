//! Measures the traffic of membership and upstream leases per node, by the size of the system.
//!
//! Node cores run on a test bed without requests. Each row has the average rates of datagrams and
//! bytes that a node sends and receives, the maximum bytes sent and received by one node (as encoded,
//! with authentication code and IPv4 and UDP headers), and the times until a join, a leave and a
//! failure are known to all nodes of the same and of the other failure domains, in milliseconds of the
//! simulated clock. A dash means that some nodes never learn of it: summaries of large failure domains
//! omit members that own nothing.
//!
//! `cargo run --release -p sedgepath-core --example control_slopes`

use std::net::{Ipv4Addr, SocketAddr};

use sedgepath_core::identity::NodeSettings;
use sedgepath_core::key::{DomainKey, VmKey};
use sedgepath_core::membership::Member;
use sedgepath_test_support::bed::{NodeIndex, TestBed, Traffic};
use sedgepath_test_support::records::{self, UpstreamSpec};

/// The number of upstreams in a failure domain.
const UPSTREAMS_PER_DOMAIN: usize = 9;

/// The services to which the upstreams are assigned in turn.
const SERVICES: [&str; 4] = ["browse", "deposits", "guides", "keys"];

const LONGEST_DEADLINE_MS: u64 = 2_000;

/// The period over which datagrams are counted, in milliseconds.
const MEASURED_MS: u64 = 20_000;

/// The maximum time to wait until a change is known to all nodes, in milliseconds.
const MAX_PROPAGATION_MS: u64 = 60_000;

/// A size of the system, with its heartbeat and summary intervals.
#[derive(Debug, Clone, Copy)]
struct Size {
    domains: usize,
    members_per_domain: usize,
    heartbeat_every_ms: u64,
    relay_every_ms: u64,
}

impl Size {
    fn with_defaults(domains: usize, members_per_domain: usize) -> Self {
        let settings = NodeSettings::default();
        Self {
            domains,
            members_per_domain,
            heartbeat_every_ms: settings.heartbeat_every_ms,
            relay_every_ms: settings.relay_every_ms,
        }
    }

    fn domain(domain: usize) -> String {
        format!("domain-{domain}")
    }

    /// Starts a test bed and waits until its upstreams are leased.
    fn start_bed(self) -> TestBed {
        let settings = NodeSettings {
            heartbeat_every_ms: self.heartbeat_every_ms,
            // At least three heartbeat intervals, which membership requires.
            suspect_after_ms: (3 * self.heartbeat_every_ms).max(1_500),
            relay_every_ms: self.relay_every_ms,
            ..NodeSettings::default()
        };
        let mut bed = TestBed::new(1).with_settings(settings);
        bed.write_records(&self.records());
        for domain in 0..self.domains {
            for member in 0..self.members_per_domain {
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
        for (index, service) in SERVICES.iter().enumerate() {
            let of_service = (0..UPSTREAMS_PER_DOMAIN).filter(|number| number % 4 == index);
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

/// The traffic of a node, averaged over all nodes except for the maximum.
#[derive(Debug, Default)]
#[expect(clippy::struct_field_names, reason = "the unit is a suffix")]
struct NodeTraffic {
    sent_per_s: f64,
    received_per_s: f64,
    sent_bytes_per_s: f64,
    received_bytes_per_s: f64,
    max_bytes_per_s: f64,
}

fn measure_traffic(bed: &mut TestBed) -> NodeTraffic {
    let nodes = bed.node_count();
    let before: Vec<Traffic> = (0..nodes).map(|node| bed.traffic(node)).collect();
    bed.run_for(MEASURED_MS);
    let mut traffic = NodeTraffic::default();
    let per_s = |after: u64, before: u64| (after - before) as f64 * 1_000.0 / MEASURED_MS as f64;
    for (node, before) in before.iter().enumerate() {
        let after = bed.traffic(node);
        let sent_bytes = per_s(after.sent_bytes, before.sent_bytes);
        let received_bytes = per_s(after.received_bytes, before.received_bytes);
        traffic.sent_per_s += per_s(after.sent, before.sent) / nodes as f64;
        traffic.received_per_s += per_s(after.received, before.received) / nodes as f64;
        traffic.sent_bytes_per_s += sent_bytes / nodes as f64;
        traffic.received_bytes_per_s += received_bytes / nodes as f64;
        traffic.max_bytes_per_s = traffic.max_bytes_per_s.max(sent_bytes + received_bytes);
    }
    traffic
}

/// The times until a change was known to all nodes, in milliseconds; `None` if some never learned it.
#[derive(Debug, Default)]
struct Propagation {
    own_domain_ms: Option<u64>,
    other_domains_ms: Option<u64>,
}

fn measure_propagation(
    bed: &mut TestBed,
    name: &str,
    domain: &str,
    is_known: impl Fn(Option<&Member>) -> bool,
) -> Propagation {
    let started_at_ms = bed.now_ms();
    let vm = VmKey::of(name);
    let mut propagation = Propagation::default();
    while bed.now_ms() < started_at_ms + MAX_PROPAGATION_MS {
        bed.run_for(20);
        let after_ms = bed.now_ms() - started_at_ms;
        let known_to_all = |own_domain: bool| {
            let mut nodes = (0..bed.node_count()).filter_map(|node: NodeIndex| bed.node(node));
            nodes.all(|node| {
                let identity = node.outbox().identity();
                let is_counted =
                    (identity.descriptor.domain == DomainKey::of(domain)) == own_domain;
                !is_counted || identity.vm == vm || is_known(node.membership().member(vm))
            })
        };
        let (own_domain, other_domains) = (known_to_all(true), known_to_all(false));
        propagation.own_domain_ms = propagation.own_domain_ms.or(own_domain.then_some(after_ms));
        propagation.other_domains_ms =
            propagation.other_domains_ms.or(other_domains.then_some(after_ms));
        if own_domain && other_domains {
            break;
        }
    }
    propagation
}

fn print_propagation(propagation: &Propagation) {
    let text = |after_ms: Option<u64>| after_ms.map_or("-".to_owned(), |ms| ms.to_string());
    print!(" {:>6}/{:<6}", text(propagation.own_domain_ms), text(propagation.other_domains_ms));
}

fn run(size: Size) {
    let mut bed = size.start_bed();
    let traffic = measure_traffic(&mut bed);
    print!(
        "{:>5} {:>7} {:>7} {:>7} {:>7} {:>8.1} {:>8.1} {:>9.0} {:>9.0} {:>9.0} ",
        bed.node_count(),
        size.domains,
        size.members_per_domain,
        size.heartbeat_every_ms,
        size.relay_every_ms,
        traffic.sent_per_s,
        traffic.received_per_s,
        traffic.sent_bytes_per_s,
        traffic.received_bytes_per_s,
        traffic.max_bytes_per_s,
    );
    let domain = Size::domain(0);
    bed.add_node("vm-new", &domain);
    print_propagation(&measure_propagation(&mut bed, "vm-new", &domain, |member| member.is_some()));
    bed.run_for(10 * size.relay_every_ms);
    bed.stop(0);
    let leaving = |member: Option<&Member>| member.is_none_or(|member| member.descriptor.leaving);
    print_propagation(&measure_propagation(&mut bed, "vm-0-0", &domain, leaving));
    bed.kill(1);
    let suspected = |member: Option<&Member>| member.is_none_or(|member| member.suspected);
    print_propagation(&measure_propagation(&mut bed, "vm-0-1", &domain, suspected));
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
    for (domains, members_per_domain) in
        [(5, 2), (5, 10), (5, 20), (5, 40), (10, 4), (25, 4), (50, 4)]
    {
        run(Size::with_defaults(domains, members_per_domain));
    }
    let large = |domains, members_per_domain, heartbeat_every_ms, relay_every_ms| Size {
        domains,
        members_per_domain,
        heartbeat_every_ms,
        relay_every_ms,
    };
    for (domains, members_per_domain) in [(5, 10), (5, 20), (5, 40), (10, 20), (20, 10), (50, 4)] {
        run(large(domains, members_per_domain, 1_000, 5_000));
    }
    run(large(5, 40, 1_500, 10_000));
}
