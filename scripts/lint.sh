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
[ $# -gt 0 ] || set -- "^$PWD/(src|platform|apps|tests|examples|bench)/"
# Clang 14 has coroutines, but does not name them as libstdc++ 12 and Boost 1.74 expect.
run-clang-tidy -quiet -p build -j "$(nproc)" \
  -extra-arg=-D__cpp_impl_coroutine=201902L -extra-arg=-DBOOST_ASIO_HAS_CO_AWAIT=1 \
  -extra-arg=-DBOOST_ASIO_HAS_STD_COROUTINE=1 "$@" >build/tidy.log 2>&1 || {
  grep -E "error:|warning:" build/tidy.log | sort -u
  exit 1
}
