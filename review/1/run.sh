#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
program=target/review/rolling_restart
[ -x "$program" ] && [ -x target/apps/plantainslip-gateway ] || exit 2
temporary=$(mktemp -d) || exit 2
trap 'rm -rf "$temporary"' EXIT
timeout -k 5 116 "$program" review/1 "$temporary"
code=$?
[ "$code" -le 2 ] || code=2
exit "$code"
