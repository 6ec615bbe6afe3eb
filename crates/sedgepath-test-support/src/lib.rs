//! Stand-ins for the services around the system, for its tests and the demo.
//!
//! Each stand-in listens on loopback, counts what it receives, and stops when it is dropped. Faults
//! can be injected at run time, and tests assert on the counts.

pub mod bed;
pub mod caller;
pub mod content;
pub mod cut_responses;
pub mod daemon;
pub mod direct;
pub mod fleet;
pub mod link;
pub mod load;
pub mod load_fleet;
pub mod owner;
pub mod packet_filter;
pub mod port;
pub mod records;
pub mod system;
pub mod table;
pub mod traffic_shift;
pub mod upstream;
pub mod vm_network;

pub use sedgepath_store_stand_in as store;

pub mod clock;
mod http1;
mod server;
mod sync;
