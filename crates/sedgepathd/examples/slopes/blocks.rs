//! The table of client blocks at full size.

use std::net::{IpAddr, Ipv4Addr};
use std::time::Instant;

use sedgepath_core::blocks::{BlockTable, Cidr};
use sedgepath_core::key::OriginKey;

/// The sizes at which the table is built.
const SIZES: [u32; 3] = [11_000, 110_000, 1_100_000];

/// The origin groups that the blocks belong to: one per site.
const GROUPS: u32 = 420;

/// The look-ups of one measurement.
const LOOK_UPS: u32 = 2_000_000;

/// Prints bytes, time to build and time to look up.
pub fn measure() {
    println!("blocks       bytes  bytes/block  build ms  ns/look-up");
    for size in SIZES {
        let started = Instant::now();
        let table = BlockTable::new((0..size).map(block));
        let build_ms = started.elapsed().as_millis();
        let mut random = fastrand::Rng::with_seed(1);
        let started = Instant::now();
        let found = (0..LOOK_UPS)
            .filter(|_| table.origin(IpAddr::V4(Ipv4Addr::from_bits(random.u32(..)))).is_some())
            .count();
        let each_ns = started.elapsed().as_nanos() as f64 / f64::from(LOOK_UPS);
        let bytes = table.size_bytes();
        println!(
            "{size:>9} {bytes:>8} {:>12.1} {build_ms:>9} {each_ns:>11.1}  ({found} found)",
            bytes as f64 / f64::from(size)
        );
    }
}

/// Returns a block of its own /24 or, past those, of a /25 within; groups change from block to block.
fn block(number: u32) -> (Cidr, OriginKey) {
    let address = Ipv4Addr::from_bits(number.wrapping_mul(3_853) << 8);
    let cidr = Cidr { address: IpAddr::V4(address), prefix_bits: 24 };
    (cidr, OriginKey(number % GROUPS))
}
