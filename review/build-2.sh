#!/usr/bin/env bash
# Builds the stand-ins of review/6 to review/10 against the libraries that the
# command `build` of deploy/system.toml has made in target/.
# usage: review/build-2.sh
set -eu
cd "$(dirname "$0")/.."
out="target/review-2"
mkdir -p "$out"
read -ra flags <<<"$(pkg-config --cflags --libs jsoncpp libmicrohttpd libcurl liblog4cxx libsodium libxxhash)"
"${CXX:-c++}" -std=c++20 -O1 -g1 -Wall -Wextra -Isrc -Ireview/stand_ins_2 \
  review/stand_ins_2/*.cc -o "$out/review-2" \
  target/libbw_net.a target/libbw_kernel.a target/libbw_base.a \
  -ljsonrpccpp-server -ljsonrpccpp-common -lev "${flags[@]}"
