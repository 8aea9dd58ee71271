#!/bin/sh
# Installs what the build needs, all from Debian.
set -eu
packages="g++ cmake ninja-build ccache clang-14 clang-format clang-tidy libclang-rt-14-dev
libcivetweb-dev libnghttp2-dev libboost-dev libcli11-dev libgoogle-glog-dev libabsl-dev
nlohmann-json3-dev libxxhash-dev doctest-dev libtrompeloeil-cpp-dev librapidcheck-dev
libbenchmark-dev libssl-dev"
missing=""
for package in $packages; do
  dpkg -s "$package" >/dev/null 2>&1 || missing="$missing $package"
done
[ -z "$missing" ] && exit 0
run=""
[ "$(id -u)" = 0 ] || run=sudo
$run apt-get update -q >/dev/null 2>&1 || true
# shellcheck disable=SC2086
$run env DEBIAN_FRONTEND=noninteractive apt-get install -y -q $missing >/dev/null
