#!/bin/sh
# Runs the tests of one build folder. Prints the entries of KNOWN-RED.txt and passes over just the
# tests that they name (lines of the form `test: NAME`, with NAME as doctest prints it).
set -eu
build=$1
excluded=""
if [ -f KNOWN-RED.txt ]; then
  cat KNOWN-RED.txt
  excluded=$(sed -n 's/^test: //p' KNOWN-RED.txt | sed 's/,/\\\\,/g' | paste -sd, -)
fi
failed=0
for program in "$build"/tests/plantainslip-*-tests; do
  echo "$(basename "$program")"
  if [ -n "$excluded" ]; then
    "$program" "--test-case-exclude=$excluded" || failed=1
  else
    "$program" || failed=1
  fi
done
for example in "$build"/examples/example-*; do
  [ -x "$example" ] && [ -f "$example" ] || continue
  "$example" >/dev/null || { echo "$(basename "$example") failed"; failed=1; }
done
exit $failed
