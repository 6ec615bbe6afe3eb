//! Maps client address blocks to origin groups by longest prefix match.
//!
//! Every node holds the whole table, so memory per block matters. Each address family has a pair of
//! arrays in the order of addresses: range starts (4 bytes for IPv4, 8 for IPv6, whose prefixes have
//! at most 64 bits) and group indexes (2 bytes). Building the table flattens nested blocks into
//! disjoint ranges, so a look-up is one binary search.

use std::net::IpAddr;

use crate::key::OriginKey;

/// An address block in CIDR notation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Cidr {
    /// The first address of the block.
    pub address: IpAddr,
    /// The prefix length in bits.
    pub prefix_bits: u8,
}

/// An error from parsing a CIDR block.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum CidrError {
    /// The text has no `/`.
    #[error("expected a block of the form ADDRESS/PREFIX")]
    MissingPrefix,
    /// The part before the `/` is not an IP address.
    #[error("the part before the '/' is not an IP address")]
    InvalidAddress,
    /// The prefix length is not a number or exceeds the address family's maximum.
    #[error("the prefix length is not a number of at most 32 for IPv4 or 64 for IPv6")]
    InvalidPrefix,
    /// The address has bits set beyond the prefix.
    #[error("the address has bits set behind its prefix")]
    HostBitsSet,
}

impl Cidr {
    /// Parses a block such as `192.0.2.0/24`.
    ///
    /// # Errors
    ///
    /// Fails if the text is not an IP address and a prefix length separated by `/`, if the prefix is
    /// longer than 32 bits for IPv4 or 64 bits for IPv6, or if the address has bits set beyond the
    /// prefix.
    pub fn parse(text: &str) -> Result<Self, CidrError> {
        let (address, prefix) = text.split_once('/').ok_or(CidrError::MissingPrefix)?;
        let address = address.parse::<IpAddr>().ok().ok_or(CidrError::InvalidAddress)?;
        let prefix_bits = prefix.parse::<u8>().ok().ok_or(CidrError::InvalidPrefix)?;
        let cidr = Self { address, prefix_bits };
        if prefix_bits > cidr.max_prefix_bits() {
            return Err(CidrError::InvalidPrefix);
        }
        if cidr.first() & (cidr.span() - 1) != 0 || cidr.has_interface_bits() {
            return Err(CidrError::HostBitsSet);
        }
        Ok(cidr)
    }

    fn max_prefix_bits(&self) -> u8 {
        match self.address {
            IpAddr::V4(_) => 32,
            IpAddr::V6(_) => 64,
        }
    }

    fn has_interface_bits(&self) -> bool {
        match self.address {
            IpAddr::V4(_) => false,
            IpAddr::V6(address) => address.to_bits() as u64 != 0,
        }
    }

    /// Returns the routing bits of the block's first address.
    fn first(&self) -> u128 {
        routing_bits(self.address)
    }

    /// Returns the number of different routing bits that the block covers.
    fn span(&self) -> u128 {
        1 << (self.max_prefix_bits() - self.prefix_bits)
    }
}

/// Returns the bits of an address that the table distinguishes, as an integer: all 32 bits of an
/// IPv4 address, the upper 64 bits of an IPv6 address.
fn routing_bits(address: IpAddr) -> u128 {
    match address {
        IpAddr::V4(address) => u128::from(address.to_bits()),
        IpAddr::V6(address) => address.to_bits() >> 64,
    }
}

/// An index into [`BlockTable::groups`], or [`NO_GROUP`].
type GroupIndex = u16;

/// The index of addresses that no block contains.
const NO_GROUP: GroupIndex = GroupIndex::MAX;

/// A longest-prefix-match table from addresses to origin groups.
#[derive(Debug, Clone, Default)]
pub struct BlockTable {
    groups: Vec<OriginKey>,
    v4_starts: Vec<u32>,
    v4_groups: Vec<GroupIndex>,
    v6_starts: Vec<u64>,
    v6_groups: Vec<GroupIndex>,
}

impl BlockTable {
    /// Builds the table from blocks in any order; of two equal blocks the later takes precedence.
    ///
    /// # Panics
    ///
    /// Panics if the blocks refer to 65,535 groups or more.
    pub fn new(blocks: impl IntoIterator<Item = (Cidr, OriginKey)>) -> Self {
        let mut groups = Vec::new();
        let mut index_by_origin = crate::hash::Map::default();
        let mut v4 = Vec::new();
        let mut v6 = Vec::new();
        for (cidr, origin) in blocks {
            let index = *index_by_origin.entry(origin).or_insert_with(|| {
                groups.push(origin);
                assert!(groups.len() < usize::from(NO_GROUP), "too many origin groups");
                (groups.len() - 1) as GroupIndex
            });
            let range = BlockRange { first: cidr.first(), end: cidr.first() + cidr.span(), index };
            match cidr.address {
                IpAddr::V4(_) => v4.push(range),
                IpAddr::V6(_) => v6.push(range),
            }
        }
        let v4 = flatten_ranges(v4);
        let v6 = flatten_ranges(v6);
        Self {
            groups,
            v4_starts: v4.iter().map(|start| start.0 as u32).collect(),
            v4_groups: v4.iter().map(|start| start.1).collect(),
            v6_starts: v6.iter().map(|start| start.0 as u64).collect(),
            v6_groups: v6.iter().map(|start| start.1).collect(),
        }
    }

    /// Returns the origin group of the most specific block that contains an address.
    pub fn origin(&self, address: IpAddr) -> Option<OriginKey> {
        let address = address.to_canonical();
        let index = match address {
            IpAddr::V4(address) => find_group(&self.v4_starts, &self.v4_groups, address.to_bits()),
            IpAddr::V6(_) => {
                find_group(&self.v6_starts, &self.v6_groups, routing_bits(address) as u64)
            }
        };
        self.groups.get(usize::from(index)).copied()
    }

    /// Returns the memory that the range starts and group indexes occupy, in bytes.
    pub fn size_bytes(&self) -> usize {
        self.v4_starts.capacity() * 4
            + self.v6_starts.capacity() * 8
            + (self.v4_groups.capacity() + self.v6_groups.capacity()) * 2
    }
}

fn find_group<T: Ord + Copy>(starts: &[T], groups: &[GroupIndex], address_bits: T) -> GroupIndex {
    match starts.partition_point(|start| *start <= address_bits) {
        0 => NO_GROUP,
        count => groups[count - 1],
    }
}

#[derive(Debug, Clone, Copy)]
struct BlockRange {
    first: u128,
    end: u128,
    index: GroupIndex,
}

/// Flattens nested or disjoint ranges into the sorted starts of disjoint ranges, each with the group
/// of the innermost block.
///
/// CIDR blocks are either nested or disjoint, so a stack of the enclosing ranges suffices.
fn flatten_ranges(mut ranges: Vec<BlockRange>) -> Vec<(u128, GroupIndex)> {
    ranges.sort_by(|a, b| a.first.cmp(&b.first).then(b.end.cmp(&a.end)));
    let mut starts = Vec::with_capacity(ranges.len() * 2);
    let mut open: Vec<BlockRange> = Vec::new();
    for range in ranges {
        close_ranges(&mut open, range.first, &mut starts);
        push_range_start(&mut starts, range.first, range.index);
        open.push(range);
    }
    close_ranges(&mut open, u128::MAX, &mut starts);
    starts
}

/// Ends the open ranges that end at or before `until`; the enclosing range continues after each.
fn close_ranges(open: &mut Vec<BlockRange>, until: u128, starts: &mut Vec<(u128, GroupIndex)>) {
    while let Some(range) = open.pop_if(|range| range.end <= until) {
        let outer_index = open.last().map_or(NO_GROUP, |outer| outer.index);
        push_range_start(starts, range.end, outer_index);
    }
}

fn push_range_start(starts: &mut Vec<(u128, GroupIndex)>, start: u128, index: GroupIndex) {
    if let Some(last) = starts.last_mut()
        && last.0 == start
    {
        last.1 = index;
        return;
    }
    if starts.last().is_some_and(|last| last.1 == index) {
        return;
    }
    starts.push((start, index));
}
