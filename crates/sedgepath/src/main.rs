//! The `sedgepath` binary: runs the command line of the process.

use std::process::ExitCode;

use sedgepath::cli::{self, Environment};

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let exit = cli::run(&arguments, &Environment::from_process(), &mut std::io::stdout().lock());
    ExitCode::from(exit.code())
}
