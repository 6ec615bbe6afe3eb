//! The failure domains that the settings name, and of which no VM has been heard.
//!
//! A VM that starts reads the rows of its own failure domain, and hears of the others a moment later. For
//! that moment it assumes that each of them is as large as its own: otherwise it would take far too large a
//! part of the limits that all VMs share.

use super::known_vms::Locality;

/// The expected failure domains of which no VM has been heard since the start.
#[derive(Debug, Default)]
pub(super) struct UnheardDomains {
    own_domain: Box<str>,
    localities: Vec<Locality>,
    /// Until when VMs are assumed in them, in milliseconds: a failure domain may have none.
    assumed_until_ms: u64,
}

impl UnheardDomains {
    /// Creates the expectation of a VM that starts, of the failure domains other than its own.
    pub(super) fn new(
        own_domain: &str,
        localities: impl Iterator<Item = Locality>,
        assumed_until_ms: u64,
    ) -> Self {
        let others = localities.filter(|locality| *locality.domain != *own_domain);
        Self { own_domain: own_domain.into(), localities: others.collect(), assumed_until_ms }
    }

    /// Returns this VM's failure domain.
    pub(super) fn own_domain(&self) -> &str {
        &self.own_domain
    }

    /// Records that a VM of a failure domain was heard.
    pub(super) fn record_heard(&mut self, domain: &str) {
        self.localities.retain(|locality| *locality.domain != *domain);
    }

    /// Returns the unheard failure domains.
    pub(super) fn localities(&self) -> &[Locality] {
        &self.localities
    }

    /// Returns the unheard failure domains in which VMs are still assumed.
    pub(super) fn assumed(&self, now_ms: u64) -> impl Iterator<Item = &Locality> {
        let is_assumed = now_ms < self.assumed_until_ms;
        self.localities.iter().filter(move |_| is_assumed)
    }
}
