#!/bin/sh
# Builds the fuzz targets with Clang and runs each for some seconds (default 60) over its corpus.
# New inputs stay in the build folder; a crash is copied by hand into tests/corpus/ with its test.
set -eu
cd "$(dirname "$0")/.."
seconds=${1:-60}
cmake -S . -B build-fuzz -G Ninja -DCMAKE_CXX_COMPILER=clang++ -DPLANTAINSLIP_BUILD_FUZZERS=ON \
  -DPLANTAINSLIP_BUILD_APPS=OFF -DPLANTAINSLIP_BUILD_TESTS=OFF >/dev/null
cmake --build build-fuzz
for program in build-fuzz/fuzz-*; do
  [ -x "$program" ] || continue
  name=$(basename "$program" | sed 's/^fuzz-//')
  mkdir -p "build-fuzz/found/$name"
  echo "$name"
  "$program" -max_total_time="$seconds" -max_len=65536 -print_final_stats=1 \
    -artifact_prefix="build-fuzz/$name-" "build-fuzz/found/$name" "tests/corpus/$name" \
    >"build-fuzz/$name.log" 2>&1 || { echo "$name failed; see build-fuzz/$name.log"; exit 1; }
  grep stat::number_of_executed_units "build-fuzz/$name.log"
done
