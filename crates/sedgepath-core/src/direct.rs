//! Steering where the ingress sends to upstreams itself.
//!
//! # Problem
//!
//! Upstreams that queue, refuse with proof and report their load defend themselves, so nothing of the
//! owner's right ([`crate::lease`]), its grants and its split of slots is needed in front of them:
//! a queue at an upstream is a smaller fault than a VM that must wait for its right after each
//! restart. What is left to decide is which upstream runs a request, when a request is sent again
//! and when it is refused. [`Steering`] decides that, without input or output.
//!
//! # Parts
//!
//! - [`routing`]: which services a request may go to, by the configuration in force.
//! - [`upstreams`]: the upstreams as they registered themselves, and what was seen of each.
//! - [`placing`]: which upstream of a service runs a request.
//! - [`waiting`]: how long a request may wait there.
//! - [`attempts`]: what happens after a refusal or a failure.
//! - [`budget`]: how many requests may be sent more than once.
//! - [`copies`]: copies of the store's tables, which VMs pass on to each other.
//! - [`status`]: what a VM says of its state, for operators.
//! - [`vms`]: which entry VMs serve, for look-ups and for splitting what all of them share.
//!
//! # What nodes share
//!
//! Two limits hold for all VMs together: the retry budget and the rate to a cold upstream. Each VM
//! uses its part of the first, by the number of VMs that it knows of; of the second, one VM of the
//! upstream's failure domain uses all (the same rendezvous hash on every VM). Neither needs a
//! message, so both hold while VMs can't hear each other.

pub mod ablation;
pub mod attempts;
pub mod budget;
pub mod placement;
pub mod queueing;
pub mod replicas;
pub mod routing;
pub mod status;
pub mod steering;
pub mod upstreams;
pub mod vms;

pub use steering::{OperatorLimits, Steering, VmLocation};
