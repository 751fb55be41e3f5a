#!/usr/bin/env bash
# Builds the stand-ins of the cases against the libraries of the deploy build
# in target/. Run it from anywhere, after the build of deploy/system.toml.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
g++ -std=c++20 -O1 -g1 -I. -Isrc $(pkg-config --cflags jsoncpp) \
  -o target/review/case_runner review/stand_ins/*.cc \
  target/libbw_net.a target/libbw_kernel.a target/libbw_base.a \
  $(pkg-config --libs jsoncpp libmicrohttpd libcurl liblog4cxx libsodium libxxhash popt) -lev
