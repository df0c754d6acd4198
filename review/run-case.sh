#!/bin/sh
# Runs case N in a temporary folder of its own: exit 1 if the rule was broken, 0 if it held, 2 if the case
# could not run. Ends all processes that the case started, by their ids. Used by review/N/run.sh.
cd "$(dirname "$0")/.." || exit 2
case=$1
program=target/review/case-$case
[ -x "$program" ] || { echo "build first: review/build.sh" >&2; exit 2; }
RUN_COMMAND=$(sed -n 's/^run = "\([^"]*\)".*/\1/p' deploy/balancer.toml)
[ -n "$RUN_COMMAND" ] || { echo "deploy/balancer.toml names no command" >&2; exit 2; }
WORK=$(mktemp -d) || exit 2
RECORD=review/$case/record.txt
SCRIPT_PID=$$
export RUN_COMMAND WORK RECORD SCRIPT_PID
finish() {
    [ -f "$WORK/pids" ] && while read -r pid; do
        # Only a process whose folder is this case's is ended.
        if tr '\0' '\n' 2>/dev/null <"/proc/$pid/environ" | grep -q "^BALANCER_STATE=$WORK/"; then
            kill -KILL "$pid" 2>/dev/null
        fi
    done <"$WORK/pids"
    if [ -n "$KEEP" ]; then echo "kept: $WORK"; else rm -rf "$WORK"; fi
}
trap finish EXIT
timeout -k 2 113 "$program" &
running=$!
trap 'kill -TERM "$running" 2>/dev/null; wait "$running"; exit 2' INT TERM HUP
wait "$running"
status=$?
[ "$status" -le 2 ] || status=2
exit "$status"
