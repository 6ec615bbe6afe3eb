//! The operators' command line.
//!
//! [`cli`] dispatches to a command, [`commands`] holds the options and output of each command,
//! [`operations`] implements the commands on typed options, and [`client`] calls the nodes.

pub mod cli;
pub mod client;
pub mod commands;
pub mod error;
pub mod operations;
pub mod records;
pub mod time;
