//! Exhaustively explored models of the protocols whose rules have to hold in every order of events.
//!
//! A model specifies one protocol independently of its implementation: a `State` with all parties
//! and the messages in flight, `steps` for everything that may happen next, and `violation` for the
//! properties. [`search::explore`] tries every order of events and returns the number of reachable
//! states or a shortest counterexample. A step may come at any time or never, which covers slow
//! messages, paused processes and lost responses.
//!
//! Every model can omit one of its safeguards. Tests check that the search then finds the fault
//! which the safeguard prevents.
//!
//! `cargo run -p sedgepath-model --example explore` prints the results of all models and variants;
//! with `--trace` it adds the counterexamples.

pub mod claim;
pub mod conditional_write;
pub mod configuration;
pub mod quota_lending;
pub mod retry_budget;
pub mod search;
pub mod slot_split;
pub mod store_restore;
pub mod summaries;
mod variant;
