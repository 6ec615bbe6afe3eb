//! Builders of configuration records, for tests and the demo.

use std::net::{Ipv4Addr, SocketAddr};

use sedgepath_core::record::RawRecord;
use serde_json::{Value, json};

/// Creates a record from its parts.
pub fn record(schema: u32, kind: &str, name: &str, body: &Value) -> RawRecord {
    RawRecord { schema, kind: kind.into(), name: name.into(), body: body.to_string().into() }
}

/// Creates the `places` record from regions and their failure domains.
pub fn places(regions: &[(&str, &[&str])]) -> RawRecord {
    let regions: Vec<_> =
        regions.iter().map(|(name, domains)| json!({ "name": name, "domains": domains })).collect();
    record(1, "places", "places", &json!({ "regions": regions }))
}

/// An upstream in a service record.
#[derive(Debug, Clone)]
pub struct UpstreamSpec {
    /// The name of the upstream.
    pub name: Box<str>,
    /// The name of its failure domain.
    pub domain: Box<str>,
    /// The address of the upstream.
    pub address: SocketAddr,
    /// The declared number of concurrent requests.
    pub slots: u32,
}

impl UpstreamSpec {
    /// Creates an upstream with a placeholder address.
    pub fn new(name: &str, domain: &str, slots: u32) -> Self {
        let address = SocketAddr::from((Ipv4Addr::LOCALHOST, 9));
        Self { name: name.into(), domain: domain.into(), address, slots }
    }

    /// Sets the address of the upstream.
    pub fn with_address(mut self, address: SocketAddr) -> Self {
        self.address = address;
        self
    }
}

/// Creates the records of a system with one service and one paying organisation.
///
/// The regions `north` and `south` have one failure domain each, `north-a` and `south-a`. The given
/// domains get equal shares of the traffic, without an effective cap on shifts.
pub fn one_service(
    name: &str,
    longest_deadline_ms: u64,
    upstreams: &[UpstreamSpec],
    domains: &[&str],
) -> Vec<RawRecord> {
    let shares: Vec<_> = domains.iter().map(|domain| (*domain, 1.0)).collect();
    vec![
        places(&[("north", &["north-a"]), ("south", &["south-a"])]),
        service(name, longest_deadline_ms, upstreams),
        steering(name, &shares, 100.0, 10_000),
        organisations(&[("porch", "paying", "porch-key")]),
    ]
}

/// Creates a `service` record.
pub fn service(name: &str, longest_deadline_ms: u64, upstreams: &[UpstreamSpec]) -> RawRecord {
    let upstreams: Vec<_> = upstreams
        .iter()
        .map(|upstream| {
            json!({
                "name": upstream.name,
                "domain": upstream.domain,
                "address": upstream.address,
                "slots": upstream.slots,
            })
        })
        .collect();
    let body = json!({ "longest_deadline_ms": longest_deadline_ms, "upstreams": upstreams });
    record(1, "service", name, &body)
}

/// Creates a `steering` record in which all origin groups have the same shares.
pub fn steering(name: &str, shares: &[(&str, f64)], percent: f64, window_ms: u64) -> RawRecord {
    let shares: Vec<_> = shares
        .iter()
        .map(|(domain, weight)| json!({ "domain": domain, "weight": weight }))
        .collect();
    let body = json!({
        "groups": [{ "origin": "any", "shares": shares }],
        "cap": { "percent": percent, "window_ms": window_ms },
    });
    record(1, "steering", name, &body)
}

/// Creates the `organisations` record from names, plans and keys.
pub fn organisations(organisations: &[(&str, &str, &str)]) -> RawRecord {
    let organisations: Vec<_> = organisations
        .iter()
        .map(|(name, plan, key)| {
            json!({ "name": name, "plan": plan, "key_digests": [key_digest(key).to_hex()] })
        })
        .collect();
    record(1, "organisations", "organisations", &json!({ "organisations": organisations }))
}

/// Returns the digest under which an organisation's key is stored in records.
pub fn key_digest(key: &str) -> sedgepath_core::hash::Digest {
    sedgepath_core::hash::Digest::of(&[b"organisation key", key.as_bytes()])
}
