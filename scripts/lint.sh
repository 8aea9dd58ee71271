#!/bin/sh
# Checks formatting with clang-format and the code with clang-tidy. `--fix` formats in place.
set -eu
cd "$(dirname "$0")/.."
files=$(git ls-files -co --exclude-standard '*.cpp' '*.hpp')
if [ "${1:-}" = --fix ]; then
  # shellcheck disable=SC2086
  clang-format -i $files
  exit 0
fi
# shellcheck disable=SC2086
clang-format --dry-run -Werror $files
cmake -S . -B build -G Ninja -DPLANTAINSLIP_BUILD_BENCH=ON >/dev/null
run-clang-tidy -quiet -p build -j "$(nproc)" "^$PWD/(src|apps|tests|examples|bench)/" >build/tidy.log 2>&1 || {
  grep -E "error:|warning:" build/tidy.log | sort -u
  exit 1
}
