#!/usr/bin/env bash
# Builds the unit tests with AddressSanitizer, its leak detection and
# UndefinedBehaviorSanitizer, and runs them.
# usage: scripts/sanitize.sh [build|test|all [ctest arguments]]
set -eu
cd "$(dirname "$0")/.."
build="${SANITIZE_BUILD_DIR:-build-asan}"
what="${1:-all}"
[ $# = 0 ] || shift
if [ "$what" != test ]; then
  scripts/prepare-build.sh "$build"
  cmake -S . -B "$build" -G Ninja -DBORAGEWINCH_SANITIZE=ON >/dev/null
  ninja -C "$build" -j "${JOBS:-8}" unit_tests
fi
[ "$what" != build ] || exit 0
# Sanitized code runs about three times as long, so the random tests get fewer
# seeds; the plain build runs all of them.
export BORAGEWINCH_RANDOM_RUNS="${BORAGEWINCH_SANITIZE_RUNS:-30}"
export BORAGEWINCH_RANDOM_SEED="${BORAGEWINCH_SANITIZE_SEED:-1}"
export ASAN_OPTIONS="${ASAN_OPTIONS:-detect_leaks=1:detect_stack_use_after_return=1:strict_string_checks=1}"
export UBSAN_OPTIONS="${UBSAN_OPTIONS:-print_stacktrace=1}"
ctest --test-dir "$build" -LE process --output-on-failure -j "${TEST_JOBS:-8}" "$@"
