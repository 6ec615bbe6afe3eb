//! Exhaustively explored models of the protocols that must not go wrong.
//!
//! A model is a small specification of one protocol: the state of all parties together with the
//! messages under way, and the list of everything that may happen next. It shares no code with the
//! node; it states the rules on which the node relies and is small enough that *every* order of
//! events can be tried. [`search::explore`] does so breadth-first and returns either the number of
//! reachable states, none of which breaks a property, or a shortest counterexample.
//!
//! Each model takes the safeguard that it leaves out, if any. A rule that can be taken away without
//! any violation is not proved to be needed, so the tests take each one away in turn and assert
//! that the search finds the fault which the rule is there to prevent.
//!
//! # How to read a model
//!
//! Each module begins with the problem, the ways weighed, the properties, and what it leaves out.
//! The types named `State` hold what the parties know; `steps` lists what may happen; `violation`
//! states the properties. Nothing in a model waits: a slow message, a paused process and a lost
//! answer are all the same thing, a step that comes late or never.
//!
//! `cargo run -p sedgepath-model --example explore` prints a table of all models and variants, and
//! with `--trace` the counterexamples.

pub mod claim;
pub mod configuration;
pub mod retry_budget;
pub mod search;
pub mod slot_split;
pub mod summaries;
mod variant;
