//! The shell around the steering node: sockets, threads and files.
//!
//! One thread owns the node ([`driver`]); everything else hands it events and carries out its
//! actions. Requests flow through tasks of an asynchronous runtime: [`callers`] takes them,
//! [`hop`] carries them to the owner of an upstream, [`exchange`] runs them there.

pub mod callers;
pub mod command;
pub mod daemon;
pub mod datagrams;
pub mod direct;
pub mod driver;
pub mod exchange;
pub mod homes;
pub mod hop;
pub mod limits;
pub mod logging;
pub mod metrics;
pub mod operators;
pub mod peers;
pub mod reply;
pub mod settings;
pub mod start;
pub mod store;
pub mod table;
pub mod upstreams;
