//! The table of client blocks: which origin group an address belongs to.
//!
//! At full size the table holds 1.1 million blocks on every node, so it is a pair of sorted arrays
//! per address family: 4 bytes of address (8 for IPv6, whose blocks are at most /64) and 2 bytes of
//! group for each border. Overlapping blocks are cut into disjoint ranges when the table is built,
//! the longest prefix winning, so that a look-up is one binary search.

use std::net::IpAddr;

use crate::key::OriginKey;

/// A block of addresses in CIDR form.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Cidr {
    /// The first address.
    pub address: IpAddr,
    /// The length of the prefix in bits.
    pub prefix_bits: u8,
}

/// Why a block's text could not be read.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum CidrError {
    /// The text has no `/`.
    #[error("a block is written as ADDRESS/PREFIX")]
    NoPrefix,
    /// The part before the `/` is no address.
    #[error("the part before the '/' is not an IP address")]
    Address,
    /// The prefix is no number or longer than the family allows.
    #[error("the prefix is not a number of at most 32 bits for IPv4 or 64 for IPv6")]
    Prefix,
    /// The address has bits set behind the prefix.
    #[error("the address has bits set behind its prefix")]
    HostBits,
}

impl Cidr {
    /// Reads a block such as `192.0.2.0/24`.
    ///
    /// # Errors
    ///
    /// Fails if the text is not an address of the family's form, a `/` and a prefix that covers all
    /// bits set.
    pub fn parse(text: &str) -> Result<Self, CidrError> {
        let (address, prefix) = text.split_once('/').ok_or(CidrError::NoPrefix)?;
        let address = address.parse::<IpAddr>().ok().ok_or(CidrError::Address)?;
        let prefix_bits = prefix.parse::<u8>().ok().ok_or(CidrError::Prefix)?;
        let cidr = Self { address, prefix_bits };
        if prefix_bits > cidr.width_bits() {
            return Err(CidrError::Prefix);
        }
        if cidr.first() & (cidr.span() - 1) != 0 || cidr.low_bits_set() {
            return Err(CidrError::HostBits);
        }
        Ok(cidr)
    }

    fn width_bits(&self) -> u8 {
        match self.address {
            IpAddr::V4(_) => 32,
            IpAddr::V6(_) => 64,
        }
    }

    fn low_bits_set(&self) -> bool {
        match self.address {
            IpAddr::V4(_) => false,
            IpAddr::V6(address) => address.to_bits() as u64 != 0,
        }
    }

    /// The block's first position in its family's space.
    fn first(&self) -> u128 {
        position(self.address)
    }

    /// The number of positions that the block covers.
    fn span(&self) -> u128 {
        1 << (self.width_bits() - self.prefix_bits)
    }
}

/// IPv4 addresses are positions of 32 bits, IPv6 ones the upper 64 bits of the address.
fn position(address: IpAddr) -> u128 {
    match address {
        IpAddr::V4(address) => u128::from(address.to_bits()),
        IpAddr::V6(address) => address.to_bits() >> 64,
    }
}

/// The index of a group in [`BlockTable::groups`]; [`NO_GROUP`] stands for none.
type GroupIndex = u16;

const NO_GROUP: GroupIndex = GroupIndex::MAX;

/// Maps addresses to origin groups.
#[derive(Debug, Clone, Default)]
pub struct BlockTable {
    groups: Vec<OriginKey>,
    v4_starts: Vec<u32>,
    v4_groups: Vec<GroupIndex>,
    v6_starts: Vec<u64>,
    v6_groups: Vec<GroupIndex>,
}

impl BlockTable {
    /// Builds the table from blocks in any order; of two equal blocks the later one wins.
    ///
    /// # Panics
    ///
    /// Panics if the blocks name 65,535 groups or more.
    pub fn new(blocks: impl IntoIterator<Item = (Cidr, OriginKey)>) -> Self {
        let mut groups = Vec::new();
        let mut index_of = crate::hash::Map::default();
        let mut v4 = Vec::new();
        let mut v6 = Vec::new();
        for (cidr, origin) in blocks {
            let index = *index_of.entry(origin).or_insert_with(|| {
                groups.push(origin);
                assert!(groups.len() < usize::from(NO_GROUP), "too many origin groups");
                (groups.len() - 1) as GroupIndex
            });
            let range = Range { first: cidr.first(), end: cidr.first() + cidr.span(), index };
            match cidr.address {
                IpAddr::V4(_) => v4.push(range),
                IpAddr::V6(_) => v6.push(range),
            }
        }
        let v4 = flatten(v4);
        let v6 = flatten(v6);
        Self {
            groups,
            v4_starts: v4.iter().map(|border| border.0 as u32).collect(),
            v4_groups: v4.iter().map(|border| border.1).collect(),
            v6_starts: v6.iter().map(|border| border.0 as u64).collect(),
            v6_groups: v6.iter().map(|border| border.1).collect(),
        }
    }

    /// Returns the origin group of an address, if a block covers it.
    pub fn origin(&self, address: IpAddr) -> Option<OriginKey> {
        let address = address.to_canonical();
        let index = match address {
            IpAddr::V4(address) => find(&self.v4_starts, &self.v4_groups, address.to_bits()),
            IpAddr::V6(_) => find(&self.v6_starts, &self.v6_groups, position(address) as u64),
        };
        self.groups.get(usize::from(index)).copied()
    }

    /// Returns the memory that the table's arrays take, in bytes.
    pub fn size_bytes(&self) -> usize {
        self.v4_starts.capacity() * 4
            + self.v6_starts.capacity() * 8
            + (self.v4_groups.capacity() + self.v6_groups.capacity()) * 2
    }
}

fn find<T: Ord + Copy>(starts: &[T], groups: &[GroupIndex], position: T) -> GroupIndex {
    match starts.partition_point(|start| *start <= position) {
        0 => NO_GROUP,
        after => groups[after - 1],
    }
}

#[derive(Debug, Clone, Copy)]
struct Range {
    first: u128,
    end: u128,
    index: GroupIndex,
}

/// Cuts nested ranges into borders, each with the group that holds from there on.
///
/// Blocks are either nested or disjoint, so a stack of the open ones suffices.
fn flatten(mut ranges: Vec<Range>) -> Vec<(u128, GroupIndex)> {
    ranges.sort_by(|a, b| a.first.cmp(&b.first).then(b.end.cmp(&a.end)));
    let mut borders = Vec::with_capacity(ranges.len() * 2);
    let mut open: Vec<Range> = Vec::new();
    for range in ranges {
        close_until(&mut open, range.first, &mut borders);
        push_border(&mut borders, range.first, range.index);
        open.push(range);
    }
    close_until(&mut open, u128::MAX, &mut borders);
    borders
}

fn close_until(open: &mut Vec<Range>, position: u128, borders: &mut Vec<(u128, GroupIndex)>) {
    while let Some(range) = open.pop_if(|range| range.end <= position) {
        let outer = open.last().map_or(NO_GROUP, |outer| outer.index);
        push_border(borders, range.end, outer);
    }
}

fn push_border(borders: &mut Vec<(u128, GroupIndex)>, position: u128, index: GroupIndex) {
    if let Some(last) = borders.last_mut()
        && last.0 == position
    {
        last.1 = index;
        return;
    }
    if borders.last().is_some_and(|last| last.1 == index) {
        return;
    }
    borders.push((position, index));
}
