//! The operators' command line.

use std::process::ExitCode;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let nodes = std::env::var(sedgepath::cli::NODES_VARIABLE).ok();
    let exit = sedgepath::cli::run(&arguments, nodes.as_deref(), &mut std::io::stdout().lock());
    ExitCode::from(exit.code())
}
