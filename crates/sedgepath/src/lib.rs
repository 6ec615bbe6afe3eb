//! The operators' command line.
//!
//! [`cli`] finds the command, [`commands`] holds each one's options beside what carries them out,
//! [`operations`] does the work from plain options, and [`client`] asks the nodes.

pub mod cli;
pub mod client;
pub mod commands;
pub mod error;
pub mod operations;
pub mod records;
pub mod time;
