#!/usr/bin/env bash
# Installs the Debian packages that the build and the tests need.
set -eu
packages=(
  g++ cmake ninja-build ccache clang clang-14 clang-format clang-tidy libclang-rt-14-dev
  libev-dev libjsonrpccpp-dev libjsoncpp-dev libmicrohttpd-dev
  libcurl4-openssl-dev libpopt-dev liblog4cxx-dev libboost-dev
  libboost-test-dev libcsv-dev librapidcheck-dev libxxhash-dev libsodium-dev
)
missing=()
for package in "${packages[@]}"; do
  dpkg -s "$package" >/dev/null 2>&1 || missing+=("$package")
done
if [ ${#missing[@]} -gt 0 ]; then
  export DEBIAN_FRONTEND=noninteractive
  apt-get update -qq
  apt-get install -y -qq --no-install-recommends "${missing[@]}" >/dev/null
fi
