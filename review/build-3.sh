#!/bin/sh
# Builds the stand-ins that the scripts of this review start.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-3
rustc -A dead_code --edition 2024 -O -o target/review-3/cases review/standin-3/main.rs
