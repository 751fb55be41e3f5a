#!/usr/bin/env bash
# Plays the case "advice-beyond" and writes record.txt beside this file. Needs the
# build of deploy/system.toml and review/build-2.sh. TROUBLE=0: without the
# disruption. Exits with 1 if the rule was broken, 0 if it held, 2 if it could
# not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-2/review-2 ] || exit 2
TMPDIR=$(mktemp -d) || exit 2
export TMPDIR
trap 'rm -rf "$TMPDIR"' EXIT
# The programs end with the runner that started them.
runner=
trap '[ -n "$runner" ] && kill "$runner" && wait "$runner"; exit 2' TERM INT HUP
REVIEW_BIN=target/bin timeout 118 target/review-2/review-2 advice-beyond \
  "review/10/record.txt" &
runner=$!
wait "$runner"
code=$?
[ "$code" -le 1 ] && exit "$code"
exit 2
