#!/bin/sh
# Exit status: 0 the rule held, 1 it was broken, 2 the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")" || exit 2
number=$(basename "$PWD")
REVIEW_ROOT=$(cd ../.. && pwd)
REVIEW_RECORD=$PWD/record.txt
export REVIEW_ROOT REVIEW_RECORD
driver=$REVIEW_ROOT/target/review-2/case-$number
for program in "$driver" "$REVIEW_ROOT/target/release/notchpoint"; do
    [ -x "$program" ] || { echo "could not run: $program is not built"; exit 2; }
done
exec "$driver"
