#!/bin/sh
# Runs the case after the build of the deploy file and review/build-2.sh. Exits with 1 if the rule was broken, 0 if it held,
# and 2 if the case couldn't run. With TROUBLE=0, it does the same without the disruption.
cd "$(dirname "$0")/../.." || exit 2
program=target/review-2/release/worker_gone_after_outage
[ -x "$program" ] && [ -x target/release/fireflywheel_platform ] || exit 2
exec "$program" review/7/record.txt
