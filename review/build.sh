#!/bin/sh
# Builds the stand-ins that the scripts start. They need no package beside the standard library.
set -eu
cd "$(dirname "$0")/.."
cargo build --release --locked --offline --manifest-path review/standin/Cargo.toml --target-dir target/review
