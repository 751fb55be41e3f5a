#!/usr/bin/env bash
# Empties a build directory unless the next build is certain to bring it up to
# date. CMake refuses a directory that was configured for another folder, and
# ninja compares only modification times, so that it keeps objects of other
# sources, another compiler or another kind of machine if they are newer.
# usage: scripts/prepare-build.sh DIRECTORY
set -eu
export LC_ALL=C
cd "$(dirname "$0")/.."
directory="${1:?usage: scripts/prepare-build.sh DIRECTORY}"
origin="$directory/build-origin"
sources="$directory/build-sources"

# What the contents of a build directory depend on, besides the sources.
# Upgraded packages bring headers with old modification times.
print_origin() {
  local compiler="${CXX:-c++}"
  echo "folder $(pwd -P)"
  echo "machine $(uname -m)"
  echo "compiler $("$compiler" -dumpmachine) $("$compiler" --version | head -1)"
  echo "packages $(dpkg-query -W -f '${Package} ${Version}\n' '*-dev' |
    sha256sum | cut -d' ' -f1)"
}

# Prints the reason if an object may be newer than a source that it was not
# compiled from; ninja would keep it.
# usage: print_stale TIME-OF-LAST-COMMAND <NEW-SOURCES
print_stale() {
  awk -v last="$1" '
    NR == FNR { digest[$1] = $2; time[$1] = $3; next }
    digest[$1] != $2 && $3 + 0 <= last + 0 {
      print $1 " has changed, but was not modified since the last build"; exit
    }
    digest[$1] == $2 && $3 + 0 < time[$1] + 0 {
      print $1 " has an older modification time than at the last build"; exit
    }' "$sources" -
}

expected=$(print_origin)
reason=
if [ ! -e "$directory/CMakeCache.txt" ] && [ ! -e "$directory/.ninja_log" ]; then
  : # Nothing that a build would use again.
elif [ ! -e "$origin" ]; then
  reason="it has no record of its origin"
elif [ "$(cat "$origin")" != "$expected" ]; then
  reason="it comes from another folder, machine, compiler or set of packages"
elif [ -e "$directory/.ninja_log" ]; then
  if [ ! -e "$sources" ]; then
    reason="it has no record of its sources"
  else
    last=$(find "$directory/.ninja_log" -printf '%T@')
    reason=$(scripts/list-sources.sh | print_stale "$last")
  fi
fi
if [ -n "$reason" ]; then
  echo "$directory is built again from empty: $reason" >&2
  # The record goes first, so that an interrupted removal is repeated.
  rm -f "$origin"
  find "$directory" -mindepth 1 -delete
fi
mkdir -p "$directory"
printf '%s\n' "$expected" >"$origin"
