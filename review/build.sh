#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases start, without a network.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --offline --locked --manifest-path review/rig/Cargo.toml --target-dir target/review
