#!/usr/bin/env bash
# Installs packages, builds, and runs a morning of each example user: three
# availability zones on loopback with three entry hosts each, three control
# hosts, fake workers, the sheet import, jobs, and a planned stop.
# usage: scripts/demo.sh [jobs per user]
set -eu
cd "$(dirname "$0")/.."
jobs="${1:-300}"
build="${BUILD_DIR:-build}"
if [ -z "${DEMO_NO_BUILD:-}" ]; then
  scripts/install-packages.sh
  scripts/prepare-build.sh "$build"
  cmake -S . -B "$build" -G Ninja >/dev/null
  ninja -C "$build" -j "${JOBS:-8}"
fi
for user in zapisnik rila; do
  scripts/run-fleet.sh "$user" "$jobs"
done
