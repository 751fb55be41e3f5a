#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 15. Needs what the deploy file's
# packages bring.
# usage: review/build-3.sh
set -eu
cd "$(dirname "$0")"
mkdir -p ../target/review-3
flags=$(pkg-config --cflags jsoncpp)
libraries=$(pkg-config --libs jsoncpp)
# shellcheck disable=SC2086
"${CXX:-c++}" -std=c++20 -O1 -Wall -Wextra -Wno-missing-field-initializers \
  $flags stand_ins_3/http.cc stand_ins_3/worker.cc \
  stand_ins_3/scenario_main.cc -o ../target/review-3/scenario -pthread \
  $libraries
