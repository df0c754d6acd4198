#!/bin/sh
# Builds the stand-ins and drivers of cases 6 and up. Needs only rustc, no network and no dependency.
set -eu
cd "$(dirname "$0")"
out=../target/review-2
mkdir -p "$out"
rm -f "$out"/case-*
for source in 6/case.rs 7/case.rs 8/case.rs 9/case.rs 10/case.rs; do
    [ -f "$source" ] || continue
    number=$(dirname "$source")
    rustc --edition 2024 -O -o "$out/case-$number" "$source"
done
