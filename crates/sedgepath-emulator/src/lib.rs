//! Discrete-event simulation of callers and upstreams around the core, for comparing steering policies.
//!
//! Each entry VM runs the same [`Steering`](sedgepath_core::direct::Steering) as in the daemon;
//! callers, upstreams and the network are modelled. A simulated minute takes a fraction of a second,
//! and the same seed gives the same results.
//!
//! - [`scenario`]: the scenario files, in YAML.
//! - [`upstream`]: the model of an upstream: slots, a queue, warm objects and faults.
//! - [`run`]: the event loop, the callers and the network delays.
//! - [`policy`]: the policies that are compared.
//! - [`report`]: tables and plots over several seeds.
//!
//! # What is not modelled
//!
//! The processing time of the VMs, lost datagrams between VMs, the store, and the transfer time of
//! bodies: a response takes the same time whatever its size.

pub mod policy;
pub mod report;
pub mod run;
pub mod scenario;
pub mod upstream;

mod setup;
