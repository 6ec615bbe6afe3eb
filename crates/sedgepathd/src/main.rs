//! The daemon that runs on every entry VM.

fn main() {}
