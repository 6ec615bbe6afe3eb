//! The inputs of admission control that other components of the node provide.

use crate::allowance::Allowance;
use crate::catalogue::{Catalogue, UpstreamEntry};
use crate::key::ServiceKey;

/// The allowances and the configuration on which admission decisions depend.
#[derive(Debug, Clone, Copy)]
pub struct AdmissionContext<'a> {
    /// The upstreams that the node may use, with their limits.
    pub allowances: &'a [Allowance],
    /// The configuration in force.
    pub catalogue: &'a Catalogue,
}

impl<'a> AdmissionContext<'a> {
    /// Returns the upstreams that the node may use and that are configured.
    pub fn upstreams(self) -> impl Iterator<Item = (&'a Allowance, &'a UpstreamEntry)> {
        self.allowances.iter().filter_map(move |allowance| {
            Some((allowance, self.catalogue.upstreams.get(&allowance.upstream)?))
        })
    }

    /// Returns the upstreams of a service that the node may use.
    pub fn upstreams_of(
        self,
        service: ServiceKey,
    ) -> impl Iterator<Item = (&'a Allowance, &'a UpstreamEntry)> {
        self.upstreams().filter(move |(_, entry)| entry.service == service)
    }
}
