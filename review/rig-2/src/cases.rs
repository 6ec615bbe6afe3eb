//! The cases.

mod chunked_get;
mod leaving;
mod slow_readers;

use std::io;

use crate::Verdict;
use crate::record::Record;

/// Runs a case by its name.
pub fn run(case: &str, folder: &str, has_trouble: bool) -> io::Result<Verdict> {
    let record = Record::create(folder)?;
    record.line(&format!("case {case}, disruption: {has_trouble}"));
    match case {
        "slow-readers" => slow_readers::run(&record, has_trouble),
        "chunked-get" => chunked_get::run(&record, has_trouble),
        "late-heartbeat" => leaving::late_heartbeat(&record, has_trouble),
        "clock-behind" => leaving::clock_behind(&record, has_trouble),
        _ => Err(io::Error::other("there is no such case")),
    }
}
