#!/bin/sh
# Builds the stand-ins of all cases, with the compiler alone: they use the standard library and nothing else.
# The sender itself comes from the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/[0-9]/case.rs; do
    [ -f "$source" ] || continue
    case=$(basename "$(dirname "$source")")
    rustc --edition 2024 -O -A warnings -o "target/review/case-$case" "$source"
done
