//! The core of a sedgepath node: a deterministic state machine without I/O.
//!
//! [`node::Node`] combines membership, configuration, routing, shift caps, admission, once-only
//! claims, tickets, retries and drains. It handles [`event::Event`]s and returns
//! [`event::Action`]s; the driver supplies the time and the random seed.

pub mod allowance;
pub mod blocks;
pub mod catalogue;
pub mod clock;
pub mod configuration;
pub mod deduplication;
pub mod direct;
pub mod drain;
pub mod egress;
pub mod event;
pub mod explain;
pub mod hash;
pub mod identity;
pub mod ingress;
pub mod key;
pub mod lease;
pub mod look_up;
pub mod membership;
pub mod message;
pub mod node;
pub mod outbox;
pub mod record;
pub mod rendezvous;
pub mod request;
pub mod retry;
pub mod schema;
pub mod shift;
pub mod steering;
pub mod stop;
pub mod table;
pub mod timeline;
pub mod view;
mod weighted;
