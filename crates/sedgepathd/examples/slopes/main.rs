//! Measures the resource usage on which docs/CAPACITY.md is based; run it with `--release`.
//!
//! The table of client blocks, heartbeats, and a daemon's CPU time, memory and latency are measured.
//! The traffic between nodes is measured by the examples `control_slopes` and `configuration_spread`
//! of `sedgepath-core`.

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
