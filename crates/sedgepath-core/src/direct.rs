//! Load balancing on entry VMs that send requests to upstreams directly.
//!
//! Upstreams queue requests, reject what they can't run and report their load, so no slots are
//! reserved in advance. [`Steering`] decides which upstream runs a request, when the request is
//! retried and when it is rejected. It performs no I/O.
//!
//! # Modules
//!
//! - [`accounts`]: the client accounts that send requests.
//! - [`quotas`]: the client accounts' quotas.
//! - [`routing`]: the services that may run a request, by the active configuration.
//! - [`upstreams`]: the registered upstreams, with their observed load and health.
//! - [`placement`]: the choice of one of a service's upstreams for a request.
//! - [`admission`]: whether a request may wait for a slot, and when a rejected caller may return.
//! - [`attempts`]: the state of a request and of its attempts.
//! - [`bootstrap`]: how a VM that starts gets the tables.
//! - [`budget`]: the retry budget.
//! - [`crashes`]: requests that crash the upstreams that run them.
//! - [`demand`]: the demand for services in a region.
//! - [`fingerprint`]: how the repeats of a request are recognised.
//! - [`hot_objects`]: objects with more requests than one upstream carries.
//! - [`load_sharing`]: what VMs tell each other of the load at upstreams.
//! - [`rate_limits`]: the request rates that upstreams accept.
//! - [`regional_capacity`]: how much of its own demand a region serves.
//! - [`reports`]: what VMs tell each other of upstreams.
//! - [`sender_limits`]: how much of one VM's messages the others handle.
//! - [`reach`]: whether this VM reaches upstreams at all.
//! - [`replicas`]: replicas of the store's tables, which VMs exchange with each other.
//! - [`statements`]: what upstreams state of themselves with their responses.
//! - [`status`]: the state that a VM reports to operators.
//! - [`vms`]: the entry VMs that accept requests, for look-ups and for dividing shared limits.
//! - [`ablation`]: switches that turn single mechanisms off for comparison.
//!
//! # Limits shared by all VMs
//!
//! The retry budget, the request rates to an upstream that is cold or states a limit, and the quotas of
//! client accounts are limits over all VMs.
//!
//! - Each VM uses a share of the retry budget that follows from the number of VMs that it knows.
//! - A cold upstream gets requests from one VM only, which every VM determines by the same rendezvous
//!   hash, and one that states a limit from a few.
//! - A few VMs, determined alike too, lend each other VM tokens of an account's quota.
//!
//! The first two need no messages between VMs, so they hold during a network partition; VMs tell each
//! other of a stated limit and of its end. A quota is lent in parts during a partition.

pub mod ablation;
pub mod accounts;
pub mod admission;
pub mod attempts;
pub mod bootstrap;
pub mod budget;
pub mod crashes;
mod decaying_rate;
pub mod demand;
pub mod fingerprint;
pub mod hot_objects;
pub mod load_sharing;
pub mod placement;
pub mod planned_stop;
pub mod quotas;
pub mod rate_limits;
pub mod reach;
pub mod regional_capacity;
pub mod replicas;
pub mod reports;
pub mod routing;
pub mod sender_limits;
pub mod statements;
pub mod status;
pub mod steering;
pub mod store_version;
pub mod upstreams;
pub mod vms;

pub use steering::{OperatorLimits, Steering, VmLocation};
