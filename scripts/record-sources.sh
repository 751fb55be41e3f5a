#!/usr/bin/env bash
# Records in a build directory which sources it is built from: build-sources for
# scripts/prepare-build.sh, and build_revision.cc for the programs. Every build
# runs it first.
# usage: scripts/record-sources.sh DIRECTORY
set -eu
export LC_ALL=C
directory=$(cd "${1:?usage: scripts/record-sources.sh DIRECTORY}" && pwd)
cd "$(dirname "$0")/.."
scripts/list-sources.sh >"$directory/build-sources.new"
mv "$directory/build-sources.new" "$directory/build-sources"

# The files of the programs; the revision must not depend on times or tests.
product=(CMakeLists.txt src platform)
revision=$(grep -E '^(CMakeLists\.txt|src/|platform/)' "$directory/build-sources" |
  cut -d' ' -f1,2 | sha256sum | cut -c1-16)
commit=
# An unpacked archive may lie inside the work tree of another project.
if [ "$(git rev-parse --show-toplevel 2>/dev/null)" = "$(pwd -P)" ]; then
  commit=$(git log -1 --format=%h --abbrev=12 -- "${product[@]}")
  [ -z "$(git status --porcelain -- "${product[@]}")" ] || commit+="+changes"
fi

generated="$directory/build_revision.cc"
cat >"$generated.new" <<CODE
// Written by scripts/record-sources.sh.
#include "base/build_info.h"

namespace boragewinch {

const BuildInfo& build_info() noexcept {
  static constexpr BuildInfo kInfo{kVersion, "$revision", "$commit"};
  return kInfo;
}

}  // namespace boragewinch
CODE
# An unchanged file keeps its time, so that nothing is linked again.
if cmp -s "$generated.new" "$generated"; then
  rm "$generated.new"
else
  mv "$generated.new" "$generated"
fi
