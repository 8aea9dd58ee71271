#!/bin/sh
# Builds the tests with a sanitizer (address or thread) and runs those that start no processes.
set -eu
cd "$(dirname "$0")/.."
sanitizer=${1:?usage: scripts/sanitize.sh address|thread}
build=build-$sanitizer
cmake -S . -B "$build" -G Ninja -DPLANTAINSLIP_SANITIZER="$sanitizer" >/dev/null
cmake --build "$build"
for kind in unit fault history; do
  "$build/tests/plantainslip-$kind-tests"
done
