//! Explanations of the routing of a request: its inputs, their age, and the policy.

use std::net::IpAddr;

use serde::{Deserialize, Serialize};

use crate::catalogue::ANY_ORIGIN;
use crate::hash::Digest;
use crate::key::{DomainKey, OriginKey, ServiceKey};
use crate::record::TrafficCap;
use crate::request::Class;
use crate::steering::{CandidateDomain, SteeringPolicy};
use crate::view::SystemView;

/// A request whose routing is to be explained.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExplainRequest {
    /// The name of the service.
    pub service: Box<str>,
    /// The caller's address.
    pub source: IpAddr,
    /// The digest of the organisation's key, if the caller sends one.
    pub key_digest: Option<Digest>,
}

/// The result of the checks that the node makes before it routes a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum AdmissionCheck {
    /// The request passes the checks.
    Open,
    /// The node isn't ready to serve, for lack of a configuration or because it is stopping.
    NotReady,
    /// The node can't read the service's records.
    Refused,
    /// No service has the requested name.
    NoService,
    /// The organisation's key is unknown.
    UnknownOrganisation,
}

/// A failure domain that the request could go to, with the load known to this node.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ExplainedCandidate {
    /// The name of the failure domain.
    pub domain: Box<str>,
    /// The name of the domain's region.
    pub region: Box<str>,
    /// The share in the steering record, from 0 to 1.
    pub share: f64,
    /// The current share of the traffic, from 0 to 1, which follows the target share within the
    /// shift cap; `None` if this node has had no traffic of the group.
    pub standing: Option<f64>,
    /// The slots that the domain's nodes last reported.
    pub slots: u32,
    /// The requests in flight that the domain's nodes last reported.
    pub in_flight: u32,
    /// The configured slots of the domain's upstreams, without drained ones.
    pub declared_slots: u32,
    /// The age of the oldest of these reports, in milliseconds.
    pub report_age_ms: u64,
    /// Whether an entry VM of the domain accepts work.
    pub serves: bool,
    /// Whether a drain of the whole domain is in force.
    pub draining: bool,
    /// The domain's upstreams of the service that are being drained.
    pub drained_upstreams: Vec<Box<str>>,
}

/// The explanation of a request's routing by one node.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Explanation {
    /// The name of the node that explains; other nodes may know other loads and shares.
    pub node: Box<str>,
    /// The configuration revision in force at the node.
    pub revision: u64,
    /// Whether the node would admit the request.
    pub entrance: AdmissionCheck,
    /// The origin group of the caller's address.
    pub origin: Box<str>,
    /// Whether a configured address block contains the caller's address; otherwise the group is
    /// `any`.
    pub origin_by_block: bool,
    /// The origin group whose shares apply to the caller; `None` without a steering record.
    pub shares_of: Option<Box<str>>,
    /// The organisation that the key belongs to.
    pub organisation: Option<Box<str>>,
    /// The caller's class, unless its key is unknown.
    pub class: Option<Class>,
    /// The schema of the steering record.
    pub schema: Option<u32>,
    /// The shift cap: the maximum share that may move within a window.
    pub cap: Option<TrafficCap>,
    /// The name of the policy that ranks the failure domains.
    pub policy: Box<str>,
    /// The failure domains that have a share in the steering record.
    pub candidates: Vec<ExplainedCandidate>,
}

impl SystemView<'_> {
    /// Explains how a request would be routed.
    ///
    /// `current_shares` holds the current shares of the caller's origin group, if known.
    pub fn explain(
        &self,
        request: &ExplainRequest,
        policy: &dyn SteeringPolicy,
        current_shares: Option<&[(DomainKey, f64)]>,
    ) -> Explanation {
        let service = ServiceKey::of(&request.service);
        let origin = self.catalogue.origin_of_address(request.source);
        let steering =
            self.catalogue.services.get(&service).and_then(|entry| entry.steering.as_ref());
        let has_own_shares = steering.is_some_and(|steering| steering.shares.contains_key(&origin));
        let organisation =
            request.key_digest.and_then(|key| self.catalogue.organisation_of_key(key));
        let organisation = organisation.and_then(|key| self.catalogue.organisations.get(&key));
        let class = self.catalogue.class_of_key(request.key_digest);
        let shares = self.catalogue.shares(service, origin).unwrap_or_default();
        let current_shares_iter = current_shares.into_iter().flatten();
        let mut domains: Vec<_> =
            shares.iter().chain(current_shares_iter).map(|(domain, _)| *domain).collect();
        domains.sort_unstable();
        domains.dedup();
        let origin_name = self.origin_name(origin);
        let shares = self.catalogue.shares(service, origin).unwrap_or_default();
        let domains: Vec<_> = shares.iter().map(|share| share.0).collect();
        Explanation {
            node: self.identity.descriptor.name.clone(),
            revision: self.revision,
            entrance: self.check_admission(service, class),
            origin_by_block: origin != OriginKey::of(ANY_ORIGIN),
            shares_of: steering
                .map(|_| if has_own_shares { origin_name.clone() } else { ANY_ORIGIN.into() }),
            origin: origin_name,
            organisation: organisation.map(|entry| entry.name.clone()),
            class,
            schema: steering.map(|steering| steering.schema),
            cap: steering.map(|steering| steering.cap),
            policy: policy.name().into(),
            candidates: self
                .candidates(service, origin, &domains)
                .iter()
                .map(|candidate| self.explain_candidate(service, candidate, current_shares))
                .collect(),
        }
    }

    fn check_admission(&self, service: ServiceKey, class: Option<Class>) -> AdmissionCheck {
        if !self.configuration_ready {
            return AdmissionCheck::NotReady;
        }
        if self.catalogue.rejected_services.contains(&service) {
            return AdmissionCheck::Refused;
        }
        if !self.catalogue.services.contains_key(&service) {
            return AdmissionCheck::NoService;
        }
        if class.is_none() { AdmissionCheck::UnknownOrganisation } else { AdmissionCheck::Open }
    }

    fn origin_name(&self, origin: OriginKey) -> Box<str> {
        self.catalogue.origins.get(&origin).cloned().unwrap_or_else(|| ANY_ORIGIN.into())
    }

    fn explain_candidate(
        &self,
        service: ServiceKey,
        candidate: &CandidateDomain,
        current_shares: Option<&[(DomainKey, f64)]>,
    ) -> ExplainedCandidate {
        let share_of_candidate = |shares: &[(DomainKey, f64)]| {
            shares.iter().find(|(domain, _)| *domain == candidate.domain).map(|(_, share)| *share)
        };
        let entry = self.catalogue.domains.get(&candidate.domain);
        let region = entry.and_then(|entry| self.catalogue.regions.get(&entry.region));
        ExplainedCandidate {
            domain: entry.map(|entry| entry.name.clone()).unwrap_or_default(),
            region: region.cloned().unwrap_or_default(),
            share: candidate.share,
            standing: current_shares.map(|shares| share_of_candidate(shares).unwrap_or_default()),
            slots: candidate.slots,
            in_flight: candidate.in_flight,
            declared_slots: candidate.declared_slots,
            report_age_ms: candidate.report_age_ms,
            serves: candidate.accepts_work,
            draining: entry.is_some_and(|entry| entry.draining),
            drained_upstreams: self.drained_upstreams(service, candidate.domain),
        }
    }

    fn drained_upstreams(&self, service: ServiceKey, domain: DomainKey) -> Vec<Box<str>> {
        let upstreams = self.catalogue.services.get(&service).map(|entry| &entry.upstreams);
        upstreams
            .into_iter()
            .flatten()
            .filter(|upstream| self.catalogue.is_draining(**upstream))
            .filter_map(|upstream| self.catalogue.upstreams.get(upstream))
            .filter(|entry| entry.domain == domain)
            .map(|entry| entry.name.clone())
            .collect()
    }
}
