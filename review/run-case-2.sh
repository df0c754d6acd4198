#!/bin/sh
# Runs case N: exit 0 if the rule held, 1 if it was broken, 2 if the case could not run. TROUBLE=0 leaves the
# disruption out. Ends all processes that the case started, by their ids, and removes its temporary folder.
cd "$(dirname "$0")/.." || exit 2
number=$1
driver=target/review-2/case-$number
for program in "$driver" target/release/notchpoint; do
    [ -x "$program" ] || { echo "could not run: $program is not built"; exit 2; }
done
REVIEW_ROOT=$PWD
REVIEW_RECORD=$PWD/review/$number/record.txt
REVIEW_WORK=$(mktemp -d) || exit 2
# The driver ends everything within a second if this script is gone.
SCRIPT_PID=$$
export REVIEW_ROOT REVIEW_RECORD REVIEW_WORK SCRIPT_PID
finish() {
    [ -f "$REVIEW_WORK/pids" ] && while read -r pid; do
        # Only a process that was started on this case's folder is ended.
        if tr '\0' '\n' 2>/dev/null <"/proc/$pid/environ" | grep -q "^BALANCER_STATE=$REVIEW_WORK/"; then
            kill -KILL "$pid" 2>/dev/null
        fi
    done <"$REVIEW_WORK/pids"
    if [ -n "$KEEP" ]; then echo "kept: $REVIEW_WORK"; else rm -rf "$REVIEW_WORK"; fi
}
trap finish EXIT
timeout -k 2 115 "$driver" &
running=$!
trap 'kill -TERM "$running" 2>/dev/null; wait "$running"; exit 2' INT TERM HUP
wait "$running"
status=$?
[ "$status" -le 2 ] || { echo "could not run: the driver ended with status $status"; status=2; }
exit "$status"
