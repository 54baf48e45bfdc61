#!/bin/sh
# Builds the stand-ins and the driver of the cases 6 to 9: one program, of the standard library alone.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O -o target/review-2/cases review/standin-2/main.rs
