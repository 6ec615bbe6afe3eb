//! Runs one case of the review: `review-rig CASE FOLDER`. Exits with 1 if the rule was broken, 0 if it held,
//! and 2 if the case couldn't run.

mod backend;
mod fleet;
mod hidden_removal;
mod http;
mod record;
mod slow_readers;

use std::path::PathBuf;

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, folder] = arguments.as_slice() else {
        eprintln!("usage: review-rig CASE FOLDER");
        std::process::exit(2);
    };
    let folder = PathBuf::from(folder);
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let broken = match case.as_str() {
        "hidden-removal" => hidden_removal::run(&folder, trouble),
        "slow-readers" => slow_readers::run(&folder, trouble),
        _ => {
            eprintln!("unknown case {case}");
            std::process::exit(2);
        }
    };
    std::process::exit(i32::from(broken));
}

/// Creates a temporary folder for settings and logs.
pub fn temporary_folder() -> PathBuf {
    let folder = std::env::temp_dir().join(format!("review-rig-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a temporary folder");
    folder
}
