#!/usr/bin/env bash
# Fails if a source file differs from its clang-format form.
set -eu
cd "$(dirname "$0")/.."
git ls-files -z '*.h' '*.cc' | xargs -0 clang-format --dry-run -Werror
