//! The protocols between sedgepath processes: datagrams, frames and remote calls.
//!
//! Every message is authenticated by a keyed BLAKE3 hash whose key is derived from a secret in the
//! settings. Nothing is encrypted: the network between the VMs is trusted to be private.

pub mod datagram;
pub mod frame;
pub mod key;
pub mod peer_keys;
pub mod peer_seal;
pub mod rpc;
pub mod signed_call;
pub mod tcp;
pub mod ticket;
pub mod time;
