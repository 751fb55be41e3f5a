#!/usr/bin/env bash
# Runs clang-tidy over the product's sources, several files at a time. A file
# that passed before with the same content, project headers, checks and linter
# is not checked again; LINT_CACHE_DIR= (empty) checks all files.
# usage: scripts/lint.sh [build directory, in which all sources were compiled]
set -eu
cd "$(dirname "$0")/.."
build="${1:-build}"
jobs="${LINT_JOBS:-8}"
cache="${LINT_CACHE_DIR-${XDG_CACHE_HOME:-$HOME/.cache}/boragewinch-lint}"
list_sources() { git ls-files 'src/*.cc' 'platform/*.cc' 'bench/*.cc' 'soak/*.cc'; }
if [ -z "$cache" ]; then
  list_sources | xargs -n 4 -P "$jobs" clang-tidy -quiet -p "$build"
  exit
fi
mkdir -p "$cache"

# Hash of what affects the result of every file. The packages stand for the
# system's headers.
common=$({
  clang-tidy --version
  cat .clang-tidy CMakeLists.txt
  dpkg-query -W -f '${Package} ${Version}\n' '*-dev'
} 2>/dev/null | sha256sum | cut -d' ' -f1)

# Prints "key source" for each source: the key covers the source and the
# project's headers that ninja recorded for its object file. A source without a
# record gets no key.
print_keys() {
  {
    git ls-files '*.h' '*.cc' | xargs sha256sum
    echo "--"
    ninja -C "$build" -t deps
  } | awk -v root="$(pwd)/" -v common="$common" '
    /^--$/ { deps = 1; next }
    !deps { hash[$2] = $1; next }
    /^[^ ]/ { source = ""; next }
    NF == 1 {
      path = $1
      sub(/^(\.\.\/)+/, "", path)
      if (index(path, root) == 1) path = substr(path, length(root) + 1)
      if (source == "") { source = path; text[path] = common }
      if (path in hash) text[source] = text[source] " " path hash[path]
    }
    END { for (source in text) print source "\t" text[source] }
  ' | while IFS=$'\t' read -r source text; do
    echo "$(printf '%s' "$text" | sha256sum | cut -d' ' -f1) $source"
  done | sort -k2
}

# Usage: lint_one KEY SOURCE; KEY is "-" for a source without one.
lint_one() {
  [ "$1" != - ] && [ -e "$LINT_CACHE/$1" ] && return
  clang-tidy -quiet -p "$LINT_BUILD" "$2" || return
  [ "$1" = - ] || : >"$LINT_CACHE/$1"
}
export -f lint_one
export LINT_CACHE="$cache" LINT_BUILD="$build"

list_sources | sort |
  join -1 1 -2 2 -a 1 -e - -o 2.1,0 - <(print_keys) |
  xargs -n 2 -P "$jobs" bash -c 'lint_one "$0" "$1"'
# Results older than 30 days mostly belong to old contents.
find "$cache" -type f -mtime +30 -delete
