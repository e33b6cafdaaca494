#!/bin/sh
# Builds what the cases 6 to 10 start beside the program: one binary with their stand-ins and checks, without
# dependencies and without a network. Run it after the build of deploy/balancer.toml.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O -o target/review-2/cases review/kit-2/cases.rs
