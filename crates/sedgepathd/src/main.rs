//! The sedgepath daemon, which runs on every entry VM.

use std::process::ExitCode;

fn main() -> ExitCode {
    sedgepathd::command::main(std::env::args().skip(1).collect())
}
