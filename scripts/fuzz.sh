#!/usr/bin/env bash
# Builds the fuzz targets with clang++ and runs each for a bounded number of
# inputs, from the valid inputs that the target writes itself and with a fixed
# seed. An input that a target fails on is left in the build directory.
# usage: scripts/fuzz.sh [inputs per target [seed]]
set -eu
cd "$(dirname "$0")/.."
runs="${1:-20000}"
seed="${2:-1}"
build="${FUZZ_BUILD_DIR:-build-fuzz}"
CXX=clang++ scripts/prepare-build.sh "$build"
cmake -S . -B "$build" -G Ninja -DBORAGEWINCH_FUZZ=ON \
  -DCMAKE_C_COMPILER=clang -DCMAKE_CXX_COMPILER=clang++ >/dev/null
ninja -C "$build" -j "${JOBS:-8}" fuzz_targets
corpus=$(mktemp -d)
trap 'rm -rf "$corpus"' EXIT
for source in fuzz/*_fuzz.cc; do
  name=$(basename "$source" .cc)
  mkdir "$corpus/$name"
  FUZZ_SEED_FOLDER="$corpus/$name" "$build/fuzz/$name" -runs=0 \
    >"$build/$name.log" 2>&1
  # A list has a fixed order; libFuzzer would read a directory in the order of
  # the file system.
  seeds=$(find "$corpus/$name" -type f | sort -V | paste -sd,)
  # -timeout is per input, so that one that hangs is reported.
  if "$build/fuzz/$name" -runs="$runs" -seed="$seed" -max_len=4096 \
    -timeout=60 -rss_limit_mb=2048 -artifact_prefix="$build/$name-" \
    -seed_inputs="$seeds" >"$build/$name.log" 2>&1; then
    echo "$name: $(grep -E '^(Done|#[0-9]+.*DONE)' "$build/$name.log" | paste -sd' ')"
  else
    tail -60 "$build/$name.log"
    echo "$name failed: seed $seed, $runs inputs; see $build/$name.log" >&2
    exit 1
  fi
done
