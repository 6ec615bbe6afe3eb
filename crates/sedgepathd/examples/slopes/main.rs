//! The slopes from which docs/CAPACITY.md is worked out, measured on this machine.
//!
//! Blocks of clients and look-ups at full size, a daemon's memory and processor time when idle and
//! under load, the cost of the hop. What nodes say to each other is measured by the examples
//! `control_slopes` and `configuration_spread` of `sedgepath-core`. To be run in release.

use std::error::Error;
use std::process::ExitCode;

mod blocks;
mod daemon;
mod datagrams;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    if arguments.iter().any(|argument| argument == "--settings") {
        return sedgepathd::command::main(arguments);
    }
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("the slopes could not be measured: {error}");
            ExitCode::FAILURE
        }
    }
}

fn run() -> Result<(), Box<dyn Error>> {
    blocks::measure();
    datagrams::measure();
    daemon::measure()
}
