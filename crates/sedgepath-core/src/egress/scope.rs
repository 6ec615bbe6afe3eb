//! What an owner decides by, besides its own state.

use crate::allowance::Allowance;
use crate::catalogue::{Catalogue, UpstreamEntry};
use crate::key::ServiceKey;

/// What an owner decides by, besides its own state.
#[derive(Debug, Clone, Copy)]
pub struct AdmissionContext<'a> {
    /// What the node may use.
    pub allowances: &'a [Allowance],
    /// The configuration in force.
    pub catalogue: &'a Catalogue,
}

impl<'a> AdmissionContext<'a> {
    /// Returns the upstreams that the node may use.
    pub fn upstreams(self) -> impl Iterator<Item = (&'a Allowance, &'a UpstreamEntry)> {
        self.allowances.iter().filter_map(move |allowance| {
            Some((allowance, self.catalogue.upstreams.get(&allowance.upstream)?))
        })
    }

    /// Returns those of a service.
    pub fn of(
        self,
        service: ServiceKey,
    ) -> impl Iterator<Item = (&'a Allowance, &'a UpstreamEntry)> {
        self.upstreams().filter(move |(_, entry)| entry.service == service)
    }
}
