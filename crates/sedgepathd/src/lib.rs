//! The daemon around the steering node: sockets, threads and files.
//!
//! One thread owns the node ([`driver`]); the other threads and tasks send it events and execute its
//! actions. Requests are processed by asynchronous tasks: [`callers`] accepts them, [`hop`] sends
//! them to the VM that owns the upstream, and [`dispatch`] runs them there. [`direct`] is the other
//! mode of the daemon, in which each VM sends requests to upstreams itself.

pub mod caller_connection;
pub mod callers;
pub mod close_delimited;
pub mod command;
pub mod daemon;
pub mod datagrams;
pub mod direct;
pub mod dispatch;
pub mod driver;
pub mod hop;
pub mod http_connection;
pub mod limits;
pub mod lingering_close;
pub mod logging;
pub mod metrics;
pub mod open_count;
pub mod operators;
pub mod peers;
pub mod reply;
pub mod settings;
pub mod start;
pub mod store;
pub mod table;
pub mod ticket_handover;
pub mod upstreams;
