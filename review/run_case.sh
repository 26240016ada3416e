#!/bin/sh
# Runs a case: run_case.sh NAME FOLDER. TROUBLE=0 leaves its disruption out; the stand-ins read it (standin/src/main.rs).
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run. Also when this script is ended before
# the case is over, the processes that were started are ended, each by its id.
set -u
cd "$(dirname "$0")/.." || exit 2
program=target/review/release/review_standin
[ -x "$program" ] || exit 2
[ -x target/release/fireflywheel_platform ] || exit 2
TROUBLE=${TROUBLE:-1}
export TROUBLE
"$program" "$1" "$2" &
pid=$!
end() {
    trap '' TERM INT HUP
    # Stopped first, it starts no further process meanwhile.
    kill -STOP "$pid" 2>/dev/null
    children=$(cat /proc/"$pid"/task/*/children 2>/dev/null)
    kill -KILL $children "$pid" 2>/dev/null
    rm -rf "${TMPDIR:-/tmp}/review-$pid"
    exit 2
}
trap end TERM INT HUP
wait "$pid"
