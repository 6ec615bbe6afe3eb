#!/bin/sh
# Builds the stand-ins of the second review (cases 4 and later), offline. The daemon itself is built as the
# deploy file says.
set -eu
cd "$(dirname "$0")/.."
cargo build --release --offline --locked --manifest-path review/rig-2/Cargo.toml --target-dir target/review-2
