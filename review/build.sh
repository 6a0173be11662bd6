#!/bin/sh
# Builds the stand-ins of all cases; needs the Rust toolchain and nothing else.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O -o target/review/standin review/standin/main.rs
