//! Which VMs follow the store.
//!
//! Each region has its own, so that one behind a cut goes on by itself; with few regions there are more
//! of each, so that the death of one is never a gap. Nobody is elected: the first of a region in the
//! order of failure domains and addresses follow it, and a VM that hears no other of its region ranks
//! first.

use std::net::SocketAddr;

use super::elsewhere::Listed;
use super::{Peer, VmTable};
use crate::hash::Set;

/// How many VMs follow the store at the least, over all regions, if there are as many: with two, one
/// may die and another be cut off before the silence of either shows.
const MIN_READERS: usize = 3;

/// The time after which one more VM tries the store while none of the region has an answer, in
/// milliseconds: about a call to a store that is there.
pub const STEP_IN_MS: u64 = 250;

/// The steps for which a VM that has stepped in goes on trying: long enough for a call that is begun
/// late in the first of them.
const STEPS_TO_TRY: usize = 3;

/// How long a VM without the tables waits for others to give them to it, in milliseconds for each VM of its failure
/// domain: those that may start with it, and get them one after the other.
const PATIENCE_PER_VM_MS: u64 = 30;

/// The longest that it waits, in milliseconds, but for what is left to chance.
const MAX_PATIENCE_MS: u64 = 600;

/// A VM that may follow the store.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct Reader<'a> {
    domain: &'a str,
    address: SocketAddr,
    has_store: bool,
}

/// The VMs of the own region that may follow the store, beside this one.
#[derive(Debug)]
struct Region<'a> {
    name: &'a str,
    readers: Vec<Reader<'a>>,
    others: Set<&'a str>,
}

impl<'a> Region<'a> {
    fn add(&mut self, region: &'a str, reader: Reader<'a>) {
        if *region == *self.name {
            self.readers.push(reader);
        } else {
            self.others.insert(region);
        }
    }

    /// Leaves one entry of each VM: that which says that it has the store, if there is one.
    fn merge(&mut self) {
        self.readers.sort_unstable();
        self.readers.reverse();
        self.readers.dedup_by(|one, other| one.address == other.address);
    }

    fn before(&self, own: (&str, SocketAddr)) -> usize {
        let before = |reader: &&Reader<'_>| (reader.domain, reader.address) < own;
        self.readers.iter().filter(before).count()
    }

    fn with_store(&self) -> usize {
        self.readers.iter().filter(|reader| reader.has_store).count()
    }
}

impl VmTable {
    /// Whether this VM is one of those that follow the store.
    ///
    /// The store may turn away just those that follow it. While none of the region has an answer, the
    /// others try in turn, the next one each [`STEP_IN_MS`]; all at once, or each for as long as the
    /// store is away, would be a load that keeps it down.
    pub fn should_read_store(&mut self, now_ms: u64) -> bool {
        let region = self.region(now_ms);
        let readers = MIN_READERS.div_ceil(1 + region.others.len());
        let before = region.before((&self.own.descriptor.domain, self.own.descriptor.peer_address));
        let (with_store, others) = (region.with_store(), region.readers.len());
        let answered = self.own.state.store_health.is_reachable();
        if with_store > 0 || answered {
            self.without_contact_since_ms = None;
        } else {
            self.without_contact_since_ms.get_or_insert(now_ms);
        }
        // One that follows the store without being of the first goes on until these have an answer.
        let needed = with_store < readers && answered;
        before < readers || needed || self.steps_in(before - readers, 1 + others - readers, now_ms)
    }

    /// Whether a VM that doesn't have the tables reads them from the store now.
    ///
    /// All VMs may start at the same moment; then the first of each failure domain reads them for it. The others
    /// wait for a time, and up to twice that by `draw`, a number from 0 to 1 of their own, so that not all read at
    /// once. With few others that is short: the one that would give them the tables may be gone.
    pub fn should_read_store_at_start(&self, waited_ms: u64, draw: f64, now_ms: u64) -> bool {
        let others = self.known.of_domain(&self.own.descriptor.domain).count() as u64;
        let patience_ms = (others * PATIENCE_PER_VM_MS).min(MAX_PATIENCE_MS) as f64;
        waited_ms as f64 >= patience_ms * (1.0 + draw) || self.first_of_domain(now_ms)
    }

    /// Whether this VM is the first of its failure domain that may be running.
    fn first_of_domain(&self, now_ms: u64) -> bool {
        let own = &self.own.descriptor;
        let region = self.region(now_ms);
        let of_domain = region.readers.iter().filter(|reader| *reader.domain == *own.domain);
        of_domain.filter(|reader| reader.address < own.peer_address).count() == 0
    }

    fn steps_in(&self, number: usize, others: usize, now_ms: u64) -> bool {
        let Some(since_ms) = self.without_contact_since_ms else {
            return false;
        };
        let step = (now_ms.saturating_sub(since_ms) / STEP_IN_MS) as usize % others;
        let steps_since = (step + others - number) % others;
        steps_since < STEPS_TO_TRY
    }

    fn region(&self, now_ms: u64) -> Region<'_> {
        let own = &self.own.descriptor;
        let mut region = Region { name: &own.region, readers: Vec::new(), others: Set::default() };
        for peer in self.peers.values() {
            let Peer { card, state, heard_at_ms } = peer;
            let silent_after_ms = self.timing.reader_silent_after_ms(state.period_ms);
            if now_ms < heard_at_ms + silent_after_ms && !state.leaving {
                let (address, has_store) = (card.peer_address, state.store_health.is_reachable());
                region.add(&card.region, Reader { domain: &card.domain, address, has_store });
            }
        }
        for Listed { card, member } in self.elsewhere.relied_on(self.timing, now_ms) {
            let (address, has_store) = (card.peer_address, member.has_store);
            region.add(&card.region, Reader { domain: &card.domain, address, has_store });
        }
        for (address, standing) in self.known.expected(now_ms) {
            let reader = Reader { domain: &standing.domain, address, has_store: false };
            region.add(&standing.region, reader);
        }
        region.merge();
        region
    }
}
