#!/usr/bin/env bash
# Plays the case; TROUBLE=0 leaves the disruption out. Exit code: 1 the rule was
# broken, 0 it held, 2 the case could not run.
cd "$(dirname "$0")/../.." || exit 2
TMPDIR=$(mktemp -d) || exit 2
export TMPDIR
timeout --kill-after=2 115 target/review/case_runner foreign-check-in review/3 &
runner=$!
trap 'kill -TERM "$runner" 2>/dev/null' TERM INT HUP
wait "$runner"
code=$?
# A signal ends the first wait early.
while kill -0 "$runner" 2>/dev/null; do
  wait "$runner"
  code=$?
done
# The runner ends its programs itself unless it was killed.
while read -r pid; do
  case "$(readlink "/proc/$pid/exe")" in
    "$PWD"/target/bin/boraged-*) kill -KILL "$pid" ;;
  esac
done <"$TMPDIR/pids" 2>/dev/null
rm -rf "$TMPDIR"
[ "$code" -le 1 ] && exit "$code"
exit 2
