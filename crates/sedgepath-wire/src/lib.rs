//! What the processes of sedgepath say to each other: datagrams, frames and remote calls.
//!
//! All of it is authenticated by a keyed BLAKE3 hash whose key comes from the settings. Nothing is
//! encrypted: the links between the VMs are the users' own.

pub mod datagram;
pub mod frame;
pub mod key;
pub mod rpc;
pub mod ticket;
