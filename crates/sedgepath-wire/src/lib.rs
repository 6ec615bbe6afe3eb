//! What the processes of sedgepath say to each other: datagrams, frames and remote calls.
//!
//! Datagrams, frames and remote calls are authenticated by a keyed BLAKE3 hash whose keys come from the
//! settings. Nothing is encrypted: the links between the VMs are the users' own.

pub mod datagram;
pub mod frame;
pub mod key;
pub mod rpc;
pub mod signed_call;
pub mod tcp;
pub mod ticket;
pub mod time;
