#!/usr/bin/env bash
# Plays the case; TROUBLE=0 leaves the disruption out. Exit code: 1 the rule was
# broken, 0 it held, 2 the case could not run.
cd "$(dirname "$0")/../.." || exit 2
timeout --kill-after=1 118 target/review/case_runner lost-alternative review/5
code=$?
[ "$code" -le 1 ] && exit "$code"
exit 2
