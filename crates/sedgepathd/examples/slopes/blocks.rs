//! Measures the table of client blocks: its size, the time to build it and the time of a look-up.

use std::net::{IpAddr, Ipv4Addr};
use std::time::Instant;

use sedgepath_core::blocks::{BlockTable, Cidr};
use sedgepath_core::key::OriginKey;

/// The numbers of blocks with which the table is built.
const TABLE_SIZES: [u32; 3] = [11_000, 110_000, 1_100_000];

/// The number of origin groups, one per site, to which the blocks belong.
const ORIGIN_GROUPS: u32 = 420;

/// The number of look-ups that are timed for each table.
const LOOK_UPS_PER_TABLE: u32 = 2_000_000;

/// Prints the size in bytes, the build time and the look-up time for each number of blocks.
pub fn measure() {
    println!("blocks       bytes  bytes/block  build ms  ns/look-up");
    for size in TABLE_SIZES {
        let started = Instant::now();
        let table = BlockTable::new((0..size).map(block));
        let build_ms = started.elapsed().as_millis();
        let mut random = fastrand::Rng::with_seed(1);
        let started = Instant::now();
        let found = (0..LOOK_UPS_PER_TABLE)
            .filter(|_| table.origin(IpAddr::V4(Ipv4Addr::from_bits(random.u32(..)))).is_some())
            .count();
        let each_ns = started.elapsed().as_nanos() as f64 / f64::from(LOOK_UPS_PER_TABLE);
        let bytes = table.size_bytes();
        println!(
            "{size:>9} {bytes:>8} {:>12.1} {build_ms:>9} {each_ns:>11.1}  ({found} found)",
            bytes as f64 / f64::from(size)
        );
    }
}

/// Returns the /24 block with this number; consecutive blocks belong to different origin groups.
fn block(number: u32) -> (Cidr, OriginKey) {
    let address = Ipv4Addr::from_bits(number.wrapping_mul(3_853) << 8);
    let cidr = Cidr { address: IpAddr::V4(address), prefix_bits: 24 };
    (cidr, OriginKey(number % ORIGIN_GROUPS))
}
