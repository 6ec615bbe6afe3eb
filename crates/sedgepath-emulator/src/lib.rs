//! Plays scenarios of callers and upstreams on the core, under one clock, and compares policies.
//!
//! The core's [`Steering`](sedgepath_core::direct::Steering) of each entry VM decides as in the daemon;
//! what surrounds it is modelled. A run of a minute of the scenario's time takes a fraction of a second,
//! and gives the same figures for the same seed.
//!
//! - [`scenario`]: what is played, read from YAML.
//! - [`upstream`]: slots, a queue, warm objects, trouble.
//! - [`run`]: the clock, the callers and the ways between them.
//! - [`policy`]: the policies compared.
//! - [`report`]: tables and plots over seeds.
//!
//! # What is not modelled
//!
//! The time that a VM itself takes, lost datagrams between VMs, the store, and bytes on the way: an
//! answer takes the same time whatever its size.

pub mod policy;
pub mod report;
pub mod run;
pub mod scenario;
pub mod upstream;

mod setup;
