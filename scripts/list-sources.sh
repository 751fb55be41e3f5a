#!/usr/bin/env bash
# Prints "path digest modification-time" for each file that is compiled or that
# controls the build, sorted by path.
set -eu
export LC_ALL=C
cd "$(dirname "$0")/.."
roots=()
for root in CMakeLists.txt src platform tests bench soak fuzz examples; do
  [ ! -e "$root" ] || roots+=("$root")
done
# usage: list_files FORMAT-OF-FIND
list_files() { find "${roots[@]}" -type f -printf "$1"; }
join <(list_files '%p\0' | xargs -0 sha256sum | awk '{ print $2, $1 }' | sort) \
  <(list_files '%p %T@\n' | sort)
