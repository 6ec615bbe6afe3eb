//! The two deployments on which steering policies are compared.

use std::collections::BTreeMap;

use sedgepath_core::key::UpstreamKey;
use sedgepath_core::record::RawRecord;
use sedgepath_test_support::bed::TestBed;
use sedgepath_test_support::bed::upstreams::FakeUpstream;
use sedgepath_test_support::records::{self, UpstreamSpec};
use serde_json::json;

/// The number of failure domains in a deployment.
pub const DOMAINS: usize = 6;

/// The number of regions, each of which is the home of one origin group.
pub const REGIONS: usize = 3;

/// The number of entry VMs.
pub const NODES: usize = 10;

/// The window of the shift caps, in milliseconds.
pub const WINDOW_MS: u64 = 5_000;

/// The cap on shifts per window, in percent.
pub const CAP_PERCENT: f64 = 10.0;

/// A service and its upstreams.
#[derive(Debug, Clone, Copy)]
#[expect(clippy::struct_field_names, reason = "the unit is a suffix")]
pub struct Service {
    pub name: &'static str,
    pub upstreams: usize,
    pub slots: u32,
    pub service_ms: u64,
    pub idempotent: bool,
}

impl Service {
    /// Returns the request rate that fills all slots.
    pub fn capacity_per_s(&self) -> f64 {
        self.upstreams as f64 * f64::from(self.slots) * 1_000.0 / self.service_ms as f64
    }

    pub fn upstream(&self, number: usize) -> String {
        format!("{}-{number}", self.name)
    }

    /// Returns the index of each upstream's failure domain.
    pub fn domains(&self) -> BTreeMap<UpstreamKey, usize> {
        (0..self.upstreams)
            .map(|number| (UpstreamKey::of(&self.upstream(number)), number % DOMAINS))
            .collect()
    }
}

/// A deployment of services in regions.
#[derive(Debug, Clone, Copy)]
pub struct Deployment {
    pub name: &'static str,
    pub regions: [&'static str; REGIONS],
    pub services: [Service; 4],
    /// The one-way latency between failure domains of a region, before up to 1 ms of jitter.
    pub domain_latency_ms: u64,
    pub region_latency_ms: u64,
    pub client_latency_ms: u64,
}

const fn service(
    name: &'static str,
    upstreams: usize,
    slots: u32,
    service_ms: u64,
    idempotent: bool,
) -> Service {
    Service { name, upstreams, slots, service_ms, idempotent }
}

/// Magnolia Porch Exchange.
pub const MAGNOLIA: Deployment = Deployment {
    name: "Magnolia",
    regions: ["lowcountry", "piedmont", "gulfside"],
    services: [
        service("browsing", 20, 4, 60, true),
        service("agreements", 10, 4, 120, false),
        service("guides", 10, 4, 200, true),
        service("keys", 10, 4, 80, false),
    ],
    domain_latency_ms: 1,
    region_latency_ms: 20,
    client_latency_ms: 3,
};

/// Clue Cooperative Éireann; the jitter alone gives its mean latency between domains of 0.5 ms.
pub const CLUE: Deployment = Deployment {
    name: "Clue",
    regions: ["Leinster", "Munster", "Connacht"],
    services: [
        service("calendar", 15, 7, 80, true),
        service("payments", 10, 7, 150, false),
        service("packs", 10, 4, 200, true),
        service("holds", 10, 4, 100, false),
    ],
    domain_latency_ms: 0,
    region_latency_ms: 35,
    client_latency_ms: 1,
};

impl Deployment {
    pub fn domain(&self, number: usize) -> String {
        format!("{}-{}", self.regions[number % REGIONS], number / REGIONS)
    }

    /// Returns the shares for callers of a home region, which keeps most of their traffic.
    pub fn shares(home: usize) -> [f64; DOMAINS] {
        std::array::from_fn(|domain| if domain % REGIONS == home { 0.38 } else { 0.06 })
    }

    /// Returns the steering records in which the callers of each region have the home in `homes`.
    pub fn steering(
        &self,
        homes: [usize; REGIONS],
        parameters: SteeringParameters,
    ) -> Vec<RawRecord> {
        let cap = json!({ "percent": parameters.cap_percent, "window_ms": WINDOW_MS });
        let groups: Vec<_> = (0..REGIONS)
            .map(|region| {
                let shares: Vec<_> = Self::shares(homes[region])
                    .iter()
                    .enumerate()
                    .map(|(domain, weight)| json!({ "domain": self.domain(domain), "weight": weight }))
                    .collect();
                json!({ "origin": self.regions[region], "shares": shares })
            })
            .collect();
        self.services
            .iter()
            .map(|service| {
                let body = json!({ "groups": groups, "cap": cap });
                records::record(2, "steering", service.name, &body)
            })
            .collect()
    }

    /// Starts the deployment on a test bed.
    pub fn start(&self, bed: &mut TestBed, parameters: SteeringParameters) {
        for domain in 0..DOMAINS {
            let region = self.regions[domain % REGIONS];
            bed.faults.region_by_domain.insert(self.domain(domain).into(), region.into());
        }
        bed.faults.domain_latency_ms = self.domain_latency_ms;
        bed.faults.region_latency_ms = self.region_latency_ms;
        bed.write_records(&self.records(parameters));
        for service in &self.services {
            for number in 0..service.upstreams {
                let upstream = FakeUpstream::new(service.slots, service.service_ms);
                let upstream = FakeUpstream { slows_when_full: true, ..upstream };
                bed.upstreams.add(&service.upstream(number), upstream);
            }
        }
        for node in 0..NODES {
            bed.add_node(&format!("vm-{node}"), &self.domain(node % DOMAINS));
        }
    }

    fn records(&self, parameters: SteeringParameters) -> Vec<RawRecord> {
        let domains: Vec<_> = (0..DOMAINS).map(|domain| self.domain(domain)).collect();
        let domains_of =
            |region: usize| [domains[region].as_str(), domains[region + REGIONS].as_str()];
        let regions: Vec<_> =
            (0..REGIONS).map(|region| (self.regions[region], domains_of(region))).collect();
        let regions: Vec<(&str, &[&str])> =
            regions.iter().map(|(name, domains)| (*name, domains.as_slice())).collect();
        let blocks: Vec<_> = (0..REGIONS)
            .map(|region| json!({ "block": format!("10.{region}.0.0/16"), "origin": self.regions[region] }))
            .collect();
        let mut all = vec![
            records::places(&regions),
            records::record(1, "clients", "clients", &json!({ "blocks": blocks })),
            records::organisations(&[
                ("member", "paying", "paying-key"),
                ("newcomer", "trial", "trial-key"),
            ]),
        ];
        for service in &self.services {
            let upstreams: Vec<_> = (0..service.upstreams)
                .map(|number| {
                    let domain = &domains[number % DOMAINS];
                    UpstreamSpec::new(&service.upstream(number), domain, service.slots)
                })
                .collect();
            all.push(records::service(service.name, 2_000, &upstreams));
        }
        all.extend(self.steering([0, 1, 2], parameters));
        all
    }
}

/// The steering parameters that differ between the compared variants.
#[derive(Debug, Clone, Copy)]
pub struct SteeringParameters {
    pub cap_percent: f64,
}
