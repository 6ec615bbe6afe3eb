//! The shell around [`sedgepath_core::direct`]: an entry VM that sends to upstreams itself.
//!
//! One thread runs everything: a VM has a fifth of a core, so threads would only take turns, and the
//! steering state needs no lock. [`shared::Shell`] is what all tasks share.
//!
//! - [`run`]: start, signals, planned stop.
//! - [`ingress`]: callers' connections and their requests.
//! - [`answers`]: the VM's own answers.
//! - [`sending`]: one sending of a request to an upstream.
//! - [`pool`]: connections to upstreams, kept between requests.
//! - [`questions`]: serves what is answered at once.
//! - [`entry`]: look-ups, and whether this VM takes requests.
//! - [`follow`]: follows the store's rows.
//! - [`find`]: how a VM that starts finds the others.
//! - [`peers`]: datagrams between VMs.
//! - [`fetch`], [`giving`]: rows that they fetch from each other, and that they give.
//! - [`lines`], [`metrics`]: what on-call engineers see.

pub mod attempt;
pub mod clock;
pub mod connection_pool;
pub mod control_server;
pub mod discovery;
pub mod entry_queries;
pub mod fetch;
pub mod gossip;
pub mod ingress;
pub mod logging;
pub mod metrics;
pub mod responses;
pub mod run;
pub mod shared;
pub mod store_feed;
pub mod table_server;
