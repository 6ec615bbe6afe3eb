//! The messages with which a VM reports what it observes at upstreams.

use std::net::SocketAddr;

use fastrand::Rng;

use super::VmTable;
use super::gossip::{OutgoingMessage, PeerMessage};
use crate::direct::reports::{DueReports, Reports};
use crate::direct::store_version::StoreVersion;

/// The number of VMs of each other failure domain that get a report.
const REPORT_RECEIVERS_PER_DOMAIN: usize = 2;

impl VmTable {
    /// Returns the messages with reports: to all VMs of this VM's failure domain, and to
    /// some of each other one, which relay them.
    pub fn report_messages(
        &self,
        due: DueReports,
        quarantine_version: StoreVersion,
        rng: &mut Rng,
    ) -> Vec<OutgoingMessage> {
        let message =
            |relay, reports| PeerMessage::Reports(Reports { relay, quarantine_version, reports });
        let to = self.domain_addresses();
        let in_domain = due.in_domain.into_iter();
        let mut outgoing: Vec<_> = in_domain
            .map(|reports| OutgoingMessage { message: message(false, reports), to: to.clone() })
            .collect();
        for reports in due.elsewhere {
            let to = self.some_of_each_other_domain(REPORT_RECEIVERS_PER_DOMAIN, rng);
            outgoing.push(OutgoingMessage { message: message(true, reports), to });
        }
        outgoing
    }

    /// Returns the message by which VMs that lack rows of the quarantine notice it, to one VM of this
    /// VM's failure domain and one of another.
    pub fn quarantine_announcement(
        &self,
        quarantine_version: StoreVersion,
        rng: &mut Rng,
    ) -> OutgoingMessage {
        let message = PeerMessage::Reports(Reports { quarantine_version, ..Reports::default() });
        let in_domain = rng.choose_multiple(self.domain_addresses(), 1);
        let elsewhere = self.some_of_each_other_domain(1, rng);
        let elsewhere = rng.choose_multiple(elsewhere, 1);
        OutgoingMessage { message, to: in_domain.into_iter().chain(elsewhere).collect() }
    }

    fn some_of_each_other_domain(&self, count: usize, rng: &mut Rng) -> Vec<SocketAddr> {
        let domains = self.other_domains().into_iter();
        let addresses = domains.flat_map(|other| {
            rng.choose_multiple(self.known_vms.domain_addresses(&other.domain), count)
        });
        addresses.collect()
    }
}
