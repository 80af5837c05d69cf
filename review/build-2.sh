#!/bin/sh
# Builds the stand-ins of the second review, the project's own among them. It needs no network after
# the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
CARGO_TARGET_DIR=target/review-2 cargo build --offline --locked --release \
    --manifest-path review/standins-2/Cargo.toml
