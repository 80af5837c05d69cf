#!/usr/bin/env bash
# Builds the stand-ins that the review's scripts start; needs no network.
set -eu
root=$(cd "$(dirname "$0")/.." && pwd)
CARGO_TARGET_DIR="$root/target/review" cargo build --offline --locked --release \
    --manifest-path "$root/review/standins/Cargo.toml"
