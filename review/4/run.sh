#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run.
set -u
cd "$(dirname "$0")/../.." || exit 2
program=target/review/release/review_standin
[ -x "$program" ] || exit 2
[ -x target/release/fireflywheel_platform ] || exit 2
exec "$program" origins review/4
