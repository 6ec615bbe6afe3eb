//! What the processes of sedgepath say to each other: datagrams, frames and remote calls.
//!
//! Datagrams and frames are authenticated by a keyed BLAKE3 hash whose key comes from the settings;
//! remote calls are not, so their port is for the VMs and the operators alone. Nothing is
//! encrypted: the links between the VMs are the users' own.

pub mod datagram;
pub mod dial;
pub mod frame;
pub mod key;
pub mod rpc;
pub mod ticket;
