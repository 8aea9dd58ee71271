#!/bin/sh
# Checks formatting with clang-format and the code with clang-tidy: all of it, or the .cpp files
# given. `--fix` formats in place and checks nothing.
set -eu
cd "$(dirname "$0")/.."
sources=$(git ls-files -co --exclude-standard '*.cpp' '*.hpp')
if [ "${1:-}" = --fix ]; then
  # shellcheck disable=SC2086
  clang-format -i $sources
  exit 0
fi
# shellcheck disable=SC2086
clang-format --dry-run -Werror $sources 2>&1 | grep -E "error|warning" | cut -d: -f1 | sort -u >build/format.log || true
if [ -s build/format.log ]; then
  echo "not formatted (scripts/lint.sh --fix mends it):"
  cat build/format.log
  exit 1
fi
cmake -S . -B build -G Ninja -DPLANTAINSLIP_BUILD_BENCH=ON >/dev/null
[ $# -gt 0 ] || set -- "^$PWD/(src|apps|tests|examples|bench)/"
run-clang-tidy -quiet -p build -j "$(nproc)" "$@" >build/tidy.log 2>&1 || {
  grep -E "error:|warning:" build/tidy.log | sort -u
  exit 1
}
