//! Cases of the second review: each starts the daemon with the command of the deploy file, beside
//! stand-ins of the platform's store, of backends and of clients.
//!
//! `review-rig-2 CASE FOLDER` writes `FOLDER/record.txt`. It exits with 1 if the rule was broken, 0 if it held,
//! and 2 if the case couldn't run. `TROUBLE=0` leaves the disruption out.

mod backend;
mod cases;
mod daemon;
mod http;
mod record;
mod store;

use std::process::ExitCode;

/// What a case has found.
pub enum Verdict {
    /// The rule was broken.
    Broken,
    /// The rule held.
    Held,
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [case, folder] = arguments.as_slice() else {
        eprintln!("usage: review-rig-2 CASE FOLDER");
        return ExitCode::from(2);
    };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    match std::panic::catch_unwind(|| cases::run(case, folder, has_trouble)) {
        Ok(Ok(Verdict::Broken)) => ExitCode::from(1),
        Ok(Ok(Verdict::Held)) => ExitCode::from(0),
        Err(_panic) => ExitCode::from(2),
        Ok(Err(error)) => {
            eprintln!("the case couldn't run: {error}");
            ExitCode::from(2)
        }
    }
}
