#!/bin/sh
# Builds the stand-ins and drivers of all cases, offline, with the compiler alone (standard library only).
cd "$(dirname "$0")/.." || exit 2
mkdir -p target/review || exit 2
for case in review/[1-3]; do
    [ -f "$case/case.rs" ] || continue
    rustc --edition 2024 -O "$case/case.rs" -o "target/review/case-${case##*/}" || exit 1
done
