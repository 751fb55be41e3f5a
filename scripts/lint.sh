#!/usr/bin/env bash
# Runs clang-tidy over the product's sources, several files at a time.
# usage: scripts/lint.sh [build folder]
set -eu
cd "$(dirname "$0")/.."
build="${1:-build}"
git ls-files -z 'src/*.cc' 'platform/*.cc' 'bench/*.cc' |
  xargs -0 -n 4 -P "${LINT_JOBS:-8}" clang-tidy -quiet -p "$build"
