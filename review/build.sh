#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts, on packages that the workspace uses already.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --offline --locked --manifest-path review/standins/Cargo.toml \
    --target-dir target/review
