//! The runtime of [`sedgepath_core::direct`]: an entry VM that sends requests to upstreams itself.
//!
//! One thread runs all tasks: a VM has a fraction of a core, and the steering state needs no lock.
//! [`shared::SharedState`] holds what the tasks share.
//!
//! - [`run`]: start, signals and planned stop.
//! - [`ingress`]: callers' connections and requests.
//! - [`pipelining`]: requests that are started before their turn.
//! - [`responses`]: responses of the VM itself.
//! - [`attempt`]: one attempt of a request at an upstream.
//! - [`statements`]: what upstreams state of themselves with their responses.
//! - [`request_run`]: the sendings of a request, one after the other.
//! - [`forwarding`]: requests that another VM serves for one that reaches no upstream.
//! - [`reach_checks`]: whether this VM reaches upstreams.
//! - [`in_flight_request`]: a caller's request with its attempts.
//! - [`request_body`]: bodies of callers' requests.
//! - [`response_body`]: bodies of upstreams' responses.
//! - [`response_memory`]: the memory that bodies take.
//! - [`connection_pool`]: idle connections to upstreams.
//! - [`crash_checks`]: whether upstreams have crashed.
//! - [`quarantine`]: requests that crash upstreams, in the store.
//! - [`quotas`]: tokens of client accounts' quotas.
//! - [`control_server`]: look-ups, readiness, metrics and rows for peers.
//! - [`entry_queries`]: look-ups and readiness checks.
//! - [`store_feed`]: replicas of the store's tables.
//! - [`discovery`]: how a starting VM finds the others.
//! - [`gossip`]: datagrams between VMs.
//! - [`load_gossip`]: datagrams about the load at upstreams.
//! - [`fetch`], [`table_server`]: table rows fetched from peers and sent to them.
//! - [`logging`], [`metrics`], [`capacity_log`]: logs, metrics and status for operators.

pub mod attempt;
pub mod bootstrap;
pub mod capacity_log;
pub mod clock;
pub mod connection_pool;
pub mod contacts;
pub mod control_server;
pub mod crash_checks;
pub mod discovery;
pub mod entry_queries;
pub mod fetch;
pub mod forwarding;
pub mod give_up;
pub mod gossip;
pub mod in_flight_request;
pub mod ingress;
pub mod load_gossip;
pub mod logging;
pub mod metrics;
pub mod peer_authentication;
pub mod pipelining;
pub mod quarantine;
pub mod quotas;
pub mod reach_checks;
pub mod replica_updates;
pub mod request_body;
pub mod request_run;
pub mod response_body;
pub mod response_memory;
pub mod responses;
pub mod restored_store;
pub mod run;
pub mod shared;
pub mod statements;
pub mod store_feed;
pub mod table_server;
